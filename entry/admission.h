// Admits or refuses new flows, so that a service that runs out of capacity refuses what costs callers least.
//
// While the delay at the backend servers is below a target, every flow is admitted. Above it, the balancer admits work
// at a rate that follows the delay, and serves the routes in the order of their priority within that rate. All
// balancers of a failure domain see the same backend servers, and come to the same rates without messages.
//
// A flow is refused at the first transmission of its SYN or not at all; retransmissions of a refused SYN are refused,
// too. So a refusal means that nothing has run.
#pragma once

#include "entry/congestion.h"
#include "entry/flow_tracker.h"
#include "tamarack/resilience.h"

#include <deque>
#include <utility>

namespace tamarack::entry {

struct admission_counts {
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
};

// What a service's new flows meet now.
struct admission_status {
    bool     is_refusing = false;
    duration delay{};     // at the backend servers
    duration target{};    // of the delay
    double   share = 1.0; // admitted part of the work that callers ask for
};

// A service has begun or ended to refuse flows.
struct admission_change {
    std::string service;
    bool        is_refusing = false;
    duration    delay{};
};

class admission {
public:
    admission(congestion& waiting, std::uint64_t random_seed);
    // A copy that decides as the other one would.
    admission(const admission& other, congestion& waiting);

    // For a SYN of which the balancer knows no earlier transmission.
    bool admit(const route& matched_route, const std::string& service, const segment& syn, steady_time now);
    // The SYN is refused for another reason. Its retransmissions are refused, too, as long as there is room for it.
    void note_refused(const segment& syn, steady_time now);
    // An answer of a backend server to a request of the route.
    void note_answer(const std::string& service, const std::string& route, answer_kind kind);
    void expire(steady_time now);

    admission_status                                 status(const std::string& service) const;
    // Admitted part of the route's flows.
    double                                           share(const std::string& service, const std::string& route) const;
    const std::map<std::uint32_t, admission_counts>& counts_by_priority() const { return counts_; }
    // Services, in order.
    std::vector<std::string>                         services() const;
    // Changes since the last call.
    std::vector<admission_change>                    take_changes() { return std::exchange(changes_, {}); }

private:
    // New flows of one route. Work is the time for which a request occupies a slot, in seconds.
    struct route_demand {
        std::uint32_t priority = 0;
        duration      response_goal{};
        duration      time_limit{};
        double        work = 0;         // of a request
        std::uint64_t arrivals = 0;     // since the last update
        double        arrival_rate = 0; // per second, smoothed
        double        share = 1.0;      // 0 .. 1, that is admitted
        double        credit = 0;       // a flow is admitted at 1
        steady_time   last_arrival{};
    };
    struct service_state {
        std::map<std::string, route_demand> routes; // by name
        bool                                is_refusing = false;
        double                              rate = 0;          // admitted work per second while refusing
        double                              answered = 0;      // work since the last update
        double                              answered_rate = 0; // work per second, smoothed
        double                              offered_rate = 0;  // work per second, smoothed
        duration                            delay{};
        duration                            target{};
        steady_time                         last_update{};
        std::optional<steady_time>          above_since;        // the delay calls for refusing
        std::optional<steady_time>          delayed_since;      // the delay exceeds the target while flows are refused
        double                              smoothed_error = 0; // of the delay, while flows are refused
        std::optional<steady_time>          saturated_since;    // the backend servers are full
        std::optional<steady_time>          open_since;         // the rate has exceeded the demand
    };
    // SYN that was refused.
    struct refused_syn {
        flow_key      key = 0;
        std::uint32_t sequence = 0;
        steady_time   at{};
    };

    bool        was_refused(flow_key key, const segment& syn) const;
    static bool is_controlled(const service_state& state);
    static bool take_credit(const service_state& state, route_demand& demand);
    void        update(const std::string& service, service_state& state, steady_time now);
    void        update_rates(const std::string& service, service_state& state, double seconds);
    duration    target_of(const service_state& state) const;
    void        watch(const std::string& service, service_state& state, double error, steady_time now);
    void        adjust(const std::string& service, service_state& state, double error, double seconds, steady_time now);
    // Returns whether the backend servers have become slow without being full.
    bool        note_slowness(const std::string& service, service_state& state, steady_time now) const;
    static void share_out(service_state& state);
    void        set_refusing(const std::string& service, service_state& state, bool is_refusing);
    void        forget_refused(steady_time now);

    congestion&                                 congestion_;
    random_source                               random_;
    std::map<std::string, service_state>        services_; // by name
    std::unordered_map<flow_key, std::uint32_t> refused_;  // sequence numbers; the entries of refused_order_
    std::deque<refused_syn>                     refused_order_;
    std::map<std::uint32_t, admission_counts>   counts_; // by priority
    std::vector<admission_change>               changes_;
};

} // namespace tamarack::entry
