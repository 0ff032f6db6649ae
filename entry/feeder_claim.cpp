// Claiming and renewing the key of a feeder.
#include "entry/feeder_claim.h"

namespace tamarack::entry {

namespace {

constexpr duration lease_time = std::chrono::seconds(6);
constexpr duration renewal_interval = std::chrono::seconds(2);
constexpr duration retry_interval = std::chrono::milliseconds(700);
// Claims of equally strong hosts are spread over this time.
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

feeder_claim::feeder_claim(const claim_settings& settings, const replica& known, std::uint64_t random_seed)
    : settings_(settings), known_(known), random_(random_seed) {}

std::optional<claim_call> feeder_claim::start(const claim_call& call) {
    under_way_ = true;
    call_ = call;
    return call;
}

std::optional<claim_call> feeder_claim::next_call(steady_time now, bool eligible, unsigned slot) {
    if (under_way_) return std::nullopt;
    called_ = now;
    if (state_ == state::ending) return start(end_lease{lease_});
    if (state_ == state::holding && overtaken()) reset(now);
    if (state_ == state::holding && now >= expires_) reset(now);
    if (!eligible) {
        claim_at_.reset();
        if (state_ == state::idle) return std::nullopt;
        return start(end_lease{lease_}); // at once: a process that stops may end before the next renewal
    }
    if (now < due_) return std::nullopt;
    if (state_ == state::idle) return claim_when_vacant(now, slot);
    if (state_ == state::granted) return start(put_feeder{settings_.self, lease_});
    return start(renew_lease{lease_});
}

std::optional<claim_call> feeder_claim::claim_when_vacant(steady_time now, unsigned slot) {
    const bool vacant = !known_.feeders().contains({settings_.self.failure_domain, slot});
    if (!vacant) {
        claim_at_.reset();
        return std::nullopt;
    }
    if (!claim_at_) {
        const auto spread = std::uniform_int_distribution<duration::rep>(0, claim_spread.count())(random_);
        claim_at_ = now + settings_.delay + duration(spread);
    }
    if (now < *claim_at_) return std::nullopt;
    settings_.self.slot = slot;
    return start(grant_lease{lease_time});
}

bool feeder_claim::overtaken() const {
    const auto found = known_.feeders().find({settings_.self.failure_domain, settings_.self.slot});
    return found != known_.feeders().end() && found->second.registration.name != settings_.self.name;
}

void feeder_claim::reset(steady_time now) {
    state_ = state::idle;
    claim_at_.reset();
    due_ = now + retry_interval;
}

void feeder_claim::succeeded(std::uint64_t lease, steady_time now) {
    under_way_ = false;
    if (std::holds_alternative<grant_lease>(call_)) {
        state_ = state::granted;
        lease_ = lease;
        expires_ = called_ + lease_time;
        due_ = now;
    } else if (std::holds_alternative<end_lease>(call_)) {
        reset(now);
    } else {
        state_ = state::holding;
        if (std::holds_alternative<renew_lease>(call_)) expires_ = called_ + lease_time;
        due_ = now + renewal_interval;
    }
}

void feeder_claim::failed(claim_error error, steady_time now) {
    under_way_ = false;
    const bool renewing = std::holds_alternative<renew_lease>(call_);
    // A renewal without an answer is repeated while the lease may run; anything else starts anew, and a lease that was
    // granted meanwhile ends by itself.
    if (renewing && error == claim_error::unavailable && now < expires_) {
        due_ = now + retry_interval;
        return;
    }
    reset(now);
}

} // namespace tamarack::entry
