// Where the next reading call goes: the store itself, or a balancer that reads it for others (a feeder).
//
// Load pattern: each call on the store has a price and counts toward a rate that grows more slowly than the fleet. So
// one balancer in each failure domain reads the store and the others read from it. A balancer that gets nothing there
// reads the store itself; one that the store turns away, too, reads from feeders of other failure domains.
#pragma once

#include "entry/replica.h"
#include "tamarack/resilience.h"

namespace tamarack::entry {

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
    std::vector<endpoint> contacts; // balancers that may give a first listing while the store does not
};

class source_choice {
public:
    source_choice(const source_settings& settings, const replica& known, std::uint64_t random_seed);

    // The best source whose wait after a failure is over; nullopt: none.
    std::optional<record_source> choose(steady_time now);
    // When choose finds a source again.
    steady_time                  next_due() const;
    void                         succeeded(const record_source& source);
    void                         failed(const record_source& source, bool is_full, steady_time now);
    // This balancer is a feeder: it reads the store, whatever other feeders there are.
    void                         set_feeding(bool feeding) { feeding_ = feeding; }
    // The first slot whose feeder is missing, after feeders that are full. Another feeder would help in it.
    unsigned                     open_slot() const;

private:
    struct trial {
        unsigned    failures = 0; // in a row
        steady_time retry_at{};
        bool        full = false; // takes no further followers
    };

    std::vector<record_source> candidates() const; // best first
    steady_time                retry_at(const record_source& source) const;

    source_settings           settings_;
    const replica&            known_;
    random_source             random_;
    bool                      feeding_ = false;
    trial                     store_;
    std::map<endpoint, trial> others_; // feeders and contacts that failed last, by address
};

} // namespace tamarack::entry
