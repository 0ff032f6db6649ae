// Claims and renews the key of a feeder.
#include "entry/feeder_claim.h"

namespace tamarack::entry {

namespace {

constexpr duration lease_time = std::chrono::seconds(6);
constexpr duration renewal_interval = std::chrono::seconds(2);
constexpr duration retry_interval = std::chrono::milliseconds(700);

} // namespace

std::string_view to_string(const claim_call& call) {
    if (std::holds_alternative<grant_lease>(call)) return "grant_lease";
    if (std::holds_alternative<put_feeder>(call)) return "put_feeder";
    return std::holds_alternative<renew_lease>(call) ? "renew_lease" : "end_lease";
}

std::string_view to_string(claim_error error) {
    switch (error) {
    case claim_error::unavailable:
        return "unavailable";
    case claim_error::conflict:
        return "conflict";
    case claim_error::lease_ended:
        return "lease_ended";
    }
    return "unknown";
}

feeder_claim::feeder_claim(const claim_settings& settings, const replica& store_replica, std::uint64_t random_seed)
    : settings_(settings), store_replica_(store_replica), random_(random_seed) {}

std::optional<claim_call> feeder_claim::begin_call(const claim_call& call) {
    is_call_pending_ = true;
    latest_call_ = call;
    return call;
}

std::optional<claim_call> feeder_claim::next_call(steady_time now, claim_permission permission, bool is_stopping) {
    if (is_call_pending_) return std::nullopt;
    latest_call_time_ = now;
    if (state_ == state::holding && is_slot_taken_by_other()) reset(now);
    if (state_ == state::holding && now >= lease_expires_at_) reset(now);
    if (is_lease_lost()) reset(now);
    if (is_stopping) {
        if (state_ == state::idle) return std::nullopt;
        return begin_call(end_lease{lease_}); // immediately: the process may end before the next renewal
    }
    if (permission == claim_permission::none) claim_due_.reset();
    if (now < next_call_due_) return std::nullopt;
    if (state_ == state::holding) return begin_call(renew_lease{lease_});
    if (permission == claim_permission::none) return std::nullopt;
    if (state_ == state::idle) return begin_claim(now, permission);
    return begin_call(put_registration());
}

// A registration of an earlier process keeps its key: followers that have just read the registration would be rejected
// otherwise.
put_feeder feeder_claim::put_registration() const {
    const known_feeder* replaced = registered_feeder();
    if (replaced == nullptr) return {settings_.self, lease_, 0};
    feeder_registration registration = settings_.self;
    if (!is_slot_taken_by_other()) registration.key = replaced->registration.key;
    return {registration, lease_, replaced->revision.number};
}

// A registration of an earlier process of this balancer is replaced without a delay: its lease is not renewed any more.
std::optional<claim_call> feeder_claim::begin_claim(steady_time now, claim_permission permission) {
    if (is_slot_taken_by_other() && permission != claim_permission::if_vacant_or_lost) {
        claim_due_.reset();
        return std::nullopt;
    }
    if (!claim_due_) {
        const auto spread = std::uniform_int_distribution<duration::rep>(0, settings_.spread.count())(random_);
        const bool is_own = registered_feeder() != nullptr && !is_slot_taken_by_other();
        claim_due_ = is_own ? now : now + settings_.delay + duration(spread);
    }
    if (now < *claim_due_) return std::nullopt;
    return begin_call(grant_lease{lease_time});
}

const known_feeder* feeder_claim::registered_feeder() const {
    const auto feeder = store_replica_.feeders().find({settings_.self.failure_domain, settings_.self.slot});
    return feeder == store_replica_.feeders().end() ? nullptr : &feeder->second;
}

bool feeder_claim::is_slot_taken_by_other() const {
    const known_feeder* feeder = registered_feeder();
    return feeder != nullptr && feeder->registration.name != settings_.self.name;
}

bool feeder_claim::is_lease_lost() const {
    return state_ != state::idle && store_replica_.complete_revision().epoch > lease_epoch_;
}

void feeder_claim::reset(steady_time now) {
    state_ = state::idle;
    claim_due_.reset();
    next_call_due_ = now + retry_interval;
}

// A call that names a lease may have found another host's lease in a new epoch of the store.
void feeder_claim::succeeded(const claim_answer& answer, steady_time now) {
    const bool is_grant = std::holds_alternative<grant_lease>(latest_call_);
    if (!is_grant && answer.store_epoch != lease_epoch_) return failed(claim_error::lease_ended, now);
    is_call_pending_ = false;
    if (is_grant) {
        state_ = state::granted;
        lease_ = answer.lease;
        lease_epoch_ = answer.store_epoch;
        lease_expires_at_ = latest_call_time_ + lease_time;
        next_call_due_ = now;
    } else if (std::holds_alternative<end_lease>(latest_call_)) {
        reset(now);
    } else {
        state_ = state::holding;
        if (std::holds_alternative<renew_lease>(latest_call_)) lease_expires_at_ = latest_call_time_ + lease_time;
        next_call_due_ = now + renewal_interval;
    }
}

void feeder_claim::failed(claim_error error, steady_time now) {
    is_call_pending_ = false;
    const bool was_renewal = std::holds_alternative<renew_lease>(latest_call_);
    // A renewal without an answer is repeated until the lease must have expired. After any other failure the claim
    // starts over; a lease that was granted in the meantime expires by itself.
    if (was_renewal && error == claim_error::unavailable && now < lease_expires_at_) {
        next_call_due_ = now + retry_interval;
        return;
    }
    reset(now);
}

} // namespace tamarack::entry
