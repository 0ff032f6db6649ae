// Makes this balancer the feeder of its failure domain while there is none, by writing a key under a lease to the
// store.
//
// The key only tells other balancers where to read; it is no lock. Several feeders in one slot do no harm, and a
// missing feeder only costs calls to the store. A lost answer, a deleted key or a lease that ended unnoticed is
// therefore handled by claiming the slot again. So is a new epoch of the store, which may grant the number of the lease
// to another host.
#pragma once

#include "entry/replica.h"
#include "tamarack/resilience.h"

namespace tamarack::entry {

struct grant_lease {
    duration time_to_live{};
};
struct put_feeder {
    feeder_registration registration;
    std::uint64_t       lease = 0;
    std::uint64_t       replaced_revision = 0; // of the registration that it replaces; 0: only if there is none
};
struct renew_lease {
    std::uint64_t lease = 0;
};
struct end_lease {
    std::uint64_t lease = 0;
};
using claim_call = std::variant<grant_lease, put_feeder, renew_lease, end_lease>;

std::string_view to_string(const claim_call& call);

// Answer of the store to a claim call.
struct claim_answer {
    std::uint64_t lease = 0;       // the granted one; 0 for other calls
    std::uint64_t store_epoch = 0; // in which the store executed the call; 0: unknown
};

enum class claim_error : std::uint8_t {
    unavailable, // no answer, or refused; the call may have been executed
    conflict,    // the slot is taken
    lease_ended,
};

std::string_view to_string(claim_error error);

struct claim_settings {
    feeder_registration self;     // registration of this balancer
    duration            delay{};  // before a claim; longer on hosts with little capacity, so that a stronger host wins
    duration            spread{}; // random addition to the delay, so that few hosts claim at the same time
};

enum class claim_permission : std::uint8_t {
    none, // the replica is not current, or the balancer is not ready
    if_vacant,
    if_vacant_or_lost, // also if the registered feeder has lost the store
};

class feeder_claim {
public:
    feeder_claim(const claim_settings& settings, const replica& store_replica, std::uint64_t random_seed);

    // The call to make now; nullopt: none. A feeder keeps its slot without permission as long as its lease lasts, and
    // gives it up when the balancer stops.
    std::optional<claim_call> next_call(steady_time now, claim_permission permission, bool is_stopping);
    void                      succeeded(const claim_answer& answer, steady_time now);
    void                      failed(claim_error error, steady_time now);

    // This balancer is a feeder.
    bool holds_slot() const { return state_ == state::holding; }

private:
    enum class state : std::uint8_t {
        idle,
        granted, // has a lease, but has not written the key of the slot yet
        holding, // has written the key, and renews the lease
    };

    std::optional<claim_call> begin_call(const claim_call& call);
    std::optional<claim_call> begin_claim(steady_time now, claim_permission permission);
    put_feeder                put_registration() const;
    const known_feeder*       registered_feeder() const; // of the own slot; null: there is none
    bool                      is_slot_taken_by_other() const;
    bool                      is_lease_lost() const;
    void                      reset(steady_time now);

    claim_settings             settings_;
    const replica&             store_replica_;
    random_source              random_;
    state                      state_ = state::idle;
    bool                       is_call_pending_ = false;
    std::uint64_t              lease_ = 0;
    std::uint64_t              lease_epoch_ = 0;    // of the store that granted the lease
    std::optional<steady_time> claim_due_;          // when the vacant slot is claimed
    steady_time                next_call_due_{};    // next renewal or next attempt
    steady_time                lease_expires_at_{}; // counted from the start of the grant or the last renewal
    claim_call                 latest_call_;        // the pending call, or the last one
    steady_time                latest_call_time_{};
};

} // namespace tamarack::entry
