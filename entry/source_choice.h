// Chooses the source of the next read call: the store itself, or a balancer that serves the records it has read.
//
// Load pattern: each call to the store has a price and counts toward a rate limit that grows more slowly than the
// fleet. Therefore one balancer of each failure domain, the feeder, reads the store, and the others read from it. A
// balancer that gets no answer from its feeder reads the store itself. If the store refuses it, too, it reads from
// feeders of other failure domains.
#pragma once

#include "entry/replica.h"
#include "tamarack/resilience.h"

namespace tamarack::entry {

// A contact is a balancer from the settings, which is asked for a first listing without authentication.
enum class source_kind : std::uint8_t { store, feeder, contact };

struct record_source {
    source_kind kind = source_kind::store;
    endpoint    address; // of a feeder or contact
    feed_key    key{};   // of a feeder

    friend bool operator==(const record_source&, const record_source&) = default;
};

struct source_settings {
    std::string           name; // of this balancer
    std::string           failure_domain;
    std::vector<endpoint> contacts; // balancers that may serve a first listing while the store is unavailable
};

class source_choice {
public:
    source_choice(const source_settings& settings, const replica& store_replica, std::uint64_t random_seed);

    // The best source that is not waiting for its retry time; nullopt: there is none.
    std::optional<record_source> choose(steady_time now);
    // Earliest time at which choose returns a source again.
    steady_time                  next_available_at() const;
    void                         succeeded(const record_source& source);
    void                         failed(const record_source& source, bool is_full, steady_time now);
    // A feeder prefers the store to other feeders.
    void                         set_is_feeder(bool is_feeder) { is_feeder_ = is_feeder; }
    // The lowest feeder slot of this failure domain that is vacant or whose feeder is not full. If it is vacant, the
    // failure domain needs a feeder in it.
    unsigned                     open_slot() const;

private:
    struct source_health {
        unsigned    consecutive_failures = 0;
        steady_time retry_at{};
        bool        is_full = false; // accepts no further followers
    };

    std::vector<record_source> candidates() const; // best first
    steady_time                retry_at(const record_source& source) const;

    source_settings                   settings_;
    const replica&                    store_replica_;
    random_source                     random_;
    bool                              is_feeder_ = false;
    source_health                     store_health_;
    std::map<endpoint, source_health> balancer_health_; // of feeders and contacts whose last call failed, by address
};

} // namespace tamarack::entry
