// Part of a service's new flows that goes to backend servers of other failure domains.
//
// Flows stay in the own failure domain, until requests wait longer there than in another one by more than the price of
// the distance. The part that leaves changes in small steps: the balancers of a failure domain see the same delays, and
// would otherwise all move their flows at once.
#pragma once

#include "entry/congestion.h"
#include "entry/replica.h"
#include "tamarack/resilience.h"

#include <set>

namespace tamarack::entry {

class spillover {
public:
    spillover(std::string own_domain, const replica& store_replica, const congestion& waiting,
              std::uint64_t random_seed);
    // A copy that decides as the other one would.
    spillover(const spillover& other, const congestion& waiting);

    // The failure domain whose backend servers a new flow prefers.
    const std::string&            choose_domain(const std::string& service, steady_time now);
    // Part of the new flows that leaves, by failure domain.
    std::map<std::string, double> shares(const std::string& service) const;
    // Part of the new flows that leaves.
    double                        total_share(const std::string& service) const;
    void                          expire(steady_time now);

private:
    struct service_state {
        std::map<std::string, double> shares; // by failure domain, without those that get nothing
        steady_time                   last_update{};
        steady_time                   last_used{};
    };

    void     update(const std::string& service, service_state& state, steady_time now);
    double   changed_share(const std::string& service, const std::string& failure_domain, double share, double seconds,
                           steady_time now) const;
    duration penalty_of(const std::string& service, const std::string& failure_domain) const;
    std::set<std::string> other_domains(const std::string& service) const;

    std::string                          own_domain_;
    const replica&                       store_replica_;
    const congestion&                    congestion_;
    random_source                        random_;
    std::map<std::string, service_state> services_; // by name
};

} // namespace tamarack::entry
