// Makes this balancer the feeder of its failure domain when there is none, by a key under a lease.
//
// The key is a hint for others, not a lock: several feeders at once do no harm, and a missing one only costs calls. So
// a lost answer, a key that is taken away and a lease that ends unseen need no repair beyond claiming anew.
#pragma once

#include "entry/replica.h"
#include "tamarack/resilience.h"

namespace tamarack::entry {

struct grant_lease {
    duration time_to_live{};
};
struct put_feeder { // only if the slot is vacant
    feeder_registration registration;
    std::uint64_t       lease = 0;
};
struct renew_lease {
    std::uint64_t lease = 0;
};
struct end_lease {
    std::uint64_t lease = 0;
};
using claim_call = std::variant<grant_lease, put_feeder, renew_lease, end_lease>;

enum class claim_error : std::uint8_t {
    unavailable, // no answer, or refused; the call may have been executed
    conflict,    // the slot is taken
    lease_ended,
};

std::string_view to_string(claim_error error);

struct claim_settings {
    feeder_registration self;    // slot and address of this balancer's feed
    duration            delay{}; // before a claim; longer on weaker hosts, so that a strong one wins
};

class feeder_claim {
public:
    feeder_claim(const claim_settings& settings, const replica& known, std::uint64_t random_seed);

    // Eligible: reads the store itself, successfully, and is not stopping. Slot: the one that needs a feeder.
    std::optional<claim_call> next_call(steady_time now, bool eligible, unsigned slot);
    // The lease that was granted; ignored for other calls.
    void                      succeeded(std::uint64_t lease, steady_time now);
    void                      failed(claim_error error, steady_time now);

    bool holds() const { return state_ == state::holding; }

private:
    enum class state : std::uint8_t { idle, granted, holding, ending };

    std::optional<claim_call> start(const claim_call& call);
    std::optional<claim_call> claim_when_vacant(steady_time now, unsigned slot);
    bool                      overtaken() const;
    void                      reset(steady_time now);

    claim_settings             settings_;
    const replica&             known_;
    random_source              random_;
    state                      state_ = state::idle;
    bool                       under_way_ = false;
    std::uint64_t              lease_ = 0;
    std::optional<steady_time> claim_at_;  // when a vacant slot is claimed
    steady_time                due_{};     // next renewal, or next attempt
    steady_time                expires_{}; // of the lease, counted from before its renewal
    claim_call                 call_;      // the present or the last one
    steady_time                called_{};
};

} // namespace tamarack::entry
