// Claims and renews the key of a feeder.
#include "entry/feeder_claim.h"

namespace tamarack::entry {

namespace {

constexpr duration lease_time = std::chrono::seconds(6);
constexpr duration renewal_interval = std::chrono::seconds(2);
constexpr duration retry_interval = std::chrono::milliseconds(700);
// Claims of hosts with the same delay are spread over this time.
constexpr duration claim_spread = std::chrono::milliseconds(250);

} // namespace

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

std::optional<claim_call> feeder_claim::next_call(steady_time now, bool is_eligible, unsigned slot) {
    if (is_call_pending_) return std::nullopt;
    latest_call_time_ = now;
    if (state_ == state::ending) return begin_call(end_lease{lease_});
    if (state_ == state::holding && is_slot_taken_by_other()) reset(now);
    if (state_ == state::holding && now >= lease_expires_at_) reset(now);
    if (!is_eligible) {
        claim_due_.reset();
        if (state_ == state::idle) return std::nullopt;
        return begin_call(end_lease{lease_}); // immediately: a stopping process may end before the next renewal
    }
    if (now < next_call_due_) return std::nullopt;
    if (state_ == state::idle) return claim_if_vacant(now, slot);
    if (state_ == state::granted) return begin_call(put_feeder{settings_.self, lease_});
    return begin_call(renew_lease{lease_});
}

std::optional<claim_call> feeder_claim::claim_if_vacant(steady_time now, unsigned slot) {
    const bool is_vacant = !store_replica_.feeders().contains({settings_.self.failure_domain, slot});
    if (!is_vacant) {
        claim_due_.reset();
        return std::nullopt;
    }
    if (!claim_due_) {
        const auto spread = std::uniform_int_distribution<duration::rep>(0, claim_spread.count())(random_);
        claim_due_ = now + settings_.delay + duration(spread);
    }
    if (now < *claim_due_) return std::nullopt;
    settings_.self.slot = slot;
    return begin_call(grant_lease{lease_time});
}

bool feeder_claim::is_slot_taken_by_other() const {
    const auto feeder = store_replica_.feeders().find({settings_.self.failure_domain, settings_.self.slot});
    return feeder != store_replica_.feeders().end() && feeder->second.registration.name != settings_.self.name;
}

void feeder_claim::reset(steady_time now) {
    state_ = state::idle;
    claim_due_.reset();
    next_call_due_ = now + retry_interval;
}

void feeder_claim::succeeded(std::uint64_t lease, steady_time now) {
    is_call_pending_ = false;
    if (std::holds_alternative<grant_lease>(latest_call_)) {
        state_ = state::granted;
        lease_ = lease;
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
