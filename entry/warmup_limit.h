// Limits the new flows of a backend server during its warm-up (slow start). The limit holds for the sum over all
// balancers, although none of them knows how many others there are or what they do.
//
// One balancer at a time, the owner, may place flows on a server that is warming up: the feeder of the server's failure
// domain or, if that has none, one of the registered feeders by rendezvous hashing. Feeders are registered in the
// store, so that each balancer derives the owner from its own replica.
//
// Two balancers are never owners of a server within the same second. A feeder becomes an owner only when its replica
// has named it for the handover time. Until then each balancer that relied on an earlier registration has received the
// change, or its replica is no longer current; in both cases it has stopped.
//
// The owner takes half of the limit. Packets that it sends in two seconds may arrive within one, and a balancer that
// has started after the end of an evacuation does not know of the warm-up that follows.
#pragma once

#include "entry/replica.h"

#include <deque>

namespace tamarack::entry {

struct warmup_limit_settings {
    std::string balancer;      // name of this balancer; empty: it is never an owner
    double      overrun = 1.0; // factor by which a backend server may exceed the rate of its service's policy
    double      slack = 0.0;   // new flows in a second beyond that
};

class warmup_limit {
public:
    warmup_limit(warmup_limit_settings settings, const replica& store_replica);

    // Notes a change of the registered feeders. To be called before each placement: the handover time counts from here.
    void observe_feeders(steady_time now);
    // The backend server is warming up, and its service limits the new flows meanwhile.
    bool is_limited(const known_backend& backend, steady_time now) const;
    // Always true for a backend server that is not limited.
    bool may_place(const known_backend& backend, steady_time now) const;
    // The SYN of a new flow is delivered to the backend server.
    void note_placed(const known_backend& backend, steady_time now);

    // The balancer that may place flows on the backend server; nullopt: no feeder is registered.
    std::optional<std::string_view> owner_of(const known_backend& backend) const;
    // New flows that the owner places on a backend server of the service within a second.
    std::size_t                     share_of(std::string_view service) const;

    std::uint64_t placed_count() const { return placed_count_; } // on limited backend servers
    std::size_t   limited_count(steady_time now) const;          // backend servers
    std::size_t   owned_count(steady_time now) const;            // limited ones on which this balancer may place flows

private:
    // The feeder of a failure domain. The generation changes with each registration, also of the same balancer.
    struct observed_feeder {
        std::uint64_t generation = 0; // of the registration; 0: there is none
        steady_time   changed_at{};   // when the change was observed
    };

    const service_policy* limiting_policy(std::string_view service) const;            // null: the service has no limit
    std::uint64_t         feeder_generation(const std::string& failure_domain) const; // 0: there is no feeder
    bool                  are_feeders_observed() const; // they have not changed since the last observation
    steady_time           owner_changed_at(const std::string& failure_domain) const;
    bool                  is_owner(const known_backend& backend, steady_time now) const;
    std::size_t           placed_lately(backend_reference reference, steady_time now) const;

    warmup_limit_settings                                          settings_;
    const replica&                                                 store_replica_;
    std::map<std::string, observed_feeder>                         feeders_;    // by failure domain
    std::unordered_map<backend_reference, std::deque<steady_time>> placements_; // of the last second, oldest first
    std::uint64_t                                                  placed_count_ = 0;
};

} // namespace tamarack::entry
