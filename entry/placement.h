// Chooses the backend server of a new flow.
//
// A backend server is a candidate if it is registered for the service and takes new flows. Rules may exclude a
// candidate: for this flow only, or for all new flows. Of the others the one with the lowest cost is chosen.
//
// Load pattern: many short flows and some long ones with pauses, over backend servers with few slots each, of which
// some may be unresponsive, warming up or in another failure domain. The load of a backend server is counted by this
// balancer itself, since load reports lag and health probes occupy slots. Reports of other balancers can exclude a
// backend server or raise its cost.
#pragma once

#include "entry/backend_condition.h"
#include "entry/flow_tracker.h"
#include "entry/replica.h"
#include "entry/warmup_limit.h"
#include "tamarack/resilience.h"

namespace tamarack::entry {

// Why a candidate is not chosen, or only if there is no other.
enum class exclusion : std::uint8_t {
    none,
    evacuated,          // the operator has evacuated its failure domain
    returning,          // the evacuation of its failure domain has just ended, and flows return gradually
    region_not_allowed, // the route allows other regions only
    warmup_limit,       // it is warming up, and this balancer may place no further flow on it now
    unresponsive,       // it has not responded lately; chosen if there is no other candidate
    other_service,      // the route is split, and this flow falls to another service
};

std::string_view to_string(exclusion reason);

// A backend server as a candidate for a new flow.
struct backend_candidate {
    const known_backend* backend = nullptr;
    double               cost = 0; // waiting requests per slot, plus surcharges
    exclusion            excluded = exclusion::none;
    std::string_view     region{}; // of its failure domain; empty: none
};

// Regions of the failure domains, by name.
using region_map = std::map<std::string, std::string, std::less<>>;

struct placement_settings {
    std::string           failure_domain; // of this balancer
    region_map            regions;        // by failure domain; a failure domain without an entry is in no region
    warmup_limit_settings warmup{};
};

class placement {
public:
    placement(placement_settings settings, const replica& store_replica, flow_tracker& flows,
              backend_conditions& conditions, std::uint64_t random_seed);

    // A copy that decides as the other one would, with its own counts.
    placement(const placement& other, flow_tracker& flows, backend_conditions& conditions);

    // The random part of a choice.
    struct flow_draw {
        double      returning_position = 0; // 0 to 1; the flow goes to domains that have returned this far
        std::string service;                // one of the route's services, by their weights
    };
    flow_draw            draw(const route& matched_route);
    // The backend server of a new flow; null: there is none that takes it. Backend servers of the preferred failure
    // domain cost no surcharge; those of the own one if the flow can go to none there. Tried: an earlier SYN of the
    // flow went to it and was not answered; 0: none.
    const known_backend* choose(const route& matched_route, const flow_draw& drawn, std::string_view preferred_domain,
                                backend_reference tried, steady_time now);
    // Whether a choice that was made earlier still holds: choose could take the backend server for a flow of the route,
    // but for the pace of its new flows. To be asked before a remembered choice is used for a SYN.
    bool                 allows(const known_backend& backend, const route& matched_route) const;
    // All candidates of all services of the route, as the next flow finds them: those that may be chosen first, the
    // cheapest at the head.
    std::vector<backend_candidate> explain(const route& matched_route, const flow_draw& drawn,
                                           std::string_view preferred_domain, steady_time now) const;

    // The SYN of a new flow, or of one that moves, is delivered to the backend server.
    void note_placed(const known_backend& backend, steady_time now) { warmup_.note_placed(backend, now); }
    // To be called regularly, so that changes of the registered feeders are noticed without new flows.
    void note_feeders(steady_time now) { warmup_.observe_feeders(now); }
    const warmup_limit& warmup() const { return warmup_; }

    // Time after which a SYN that has not been answered counts as a failure of the backend server.
    duration syn_answer_timeout() const;

private:
    struct choice {
        const known_backend* backend = nullptr;
        double               cost = 0;
    };

    void note_overdue_syns(backend_reference reference, const backend_activity& activity, steady_time now);
    void offer(choice& best, const known_backend& candidate, std::string_view preferred_domain, steady_time now) const;
    std::string_view region_of(const known_backend& backend) const; // empty: none
    bool             is_in_allowed_region(const known_backend& backend, const route& matched_route) const;
    bool             has_overdue_syn(const backend_activity& activity, steady_time now) const;
    bool             is_avoided(backend_reference reference, steady_time now) const;
    // The first rule that excludes the backend server from all flows of the route, whenever they were placed. A rule
    // that limits the pace of new flows belongs into rule_against.
    exclusion        lasting_rule_against(const known_backend& backend, const route& matched_route) const;
    // The first rule that excludes the backend server from a new flow. Responsiveness is checked separately.
    exclusion        rule_against(const known_backend& backend, const route& matched_route, double returning_position,
                                  steady_time now) const;
    std::string_view usable_domain(const route& matched_route, const flow_draw& drawn,
                                   std::string_view preferred_domain, steady_time now) const;
    bool             is_returning(const known_backend& backend, double position, steady_time now) const;
    double           cost_of(const known_backend& backend, std::string_view preferred_domain, steady_time now) const;
    bool             wins_tie(const known_backend& left, const known_backend& right) const;

    placement_settings  settings_;
    const replica&      store_replica_;
    flow_tracker&       flows_;
    backend_conditions& conditions_;
    warmup_limit        warmup_;
    random_source       random_;
    std::uint64_t       tie_break_seed_; // gives each balancer its own order of equal backend servers
};

} // namespace tamarack::entry
