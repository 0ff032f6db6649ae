// Rules and costs of the candidates for a new flow.
#include "entry/placement.h"

#include <algorithm>
#include <utility>

namespace tamarack::entry {

namespace {

// Waiting requests per slot that a backend server of another failure domain must save: requests and answers that cross
// domains take longer and are charged.
constexpr double   other_domain_cost = 1.5;
// Load of an open flow that waits for no answer, relative to a flow that waits for one.
constexpr double   idle_flow_load = 0.1;
// How much longer requests take during the warm-up.
constexpr double   warmup_factor = 1.6;
// A handshake takes at most this many times the usual time, plus a margin for a busy host.
constexpr int      handshake_factor = 3;
constexpr duration handshake_margin = std::chrono::milliseconds(25);
// The share of new flows that a failure domain takes grows evenly over this time after its evacuation: all balancers
// see the end of the evacuation at the same moment, and its backend servers may have caches to fill.
constexpr duration evacuation_return_time = std::chrono::seconds(3);

std::uint64_t total_weight_of(const route& matched_route) {
    std::uint64_t total_weight = 0;
    for (const service_share& share : matched_route.services)
        total_weight += share.weight;
    return total_weight;
}

// Whether a new flow of the route can go to the service. Without weights all go to the first one.
bool gets_flows_of(std::string_view service, const route& matched_route) {
    if (total_weight_of(matched_route) == 0) return matched_route.services.front().service == service;
    return std::ranges::any_of(matched_route.services, [&](const service_share& share) {
        return share.weight > 0 && share.service == service;
    });
}

} // namespace

std::string_view to_string(exclusion reason) {
    switch (reason) {
    case exclusion::none:
        return "none";
    case exclusion::evacuated:
        return "evacuated";
    case exclusion::returning:
        return "returning";
    case exclusion::region_not_allowed:
        return "region_not_allowed";
    case exclusion::warmup_limit:
        return "warmup_limit";
    case exclusion::unresponsive:
        return "unresponsive";
    case exclusion::other_service:
        return "other_service";
    }
    return "unknown";
}

placement::placement(placement_settings settings, const replica& store_replica, flow_tracker& flows,
                     backend_conditions& conditions, std::uint64_t random_seed)
    : settings_(std::move(settings)), store_replica_(store_replica), flows_(flows), conditions_(conditions),
      warmup_(settings_.warmup, store_replica), random_(random_seed), tie_break_seed_(random_()) {}

placement::placement(const placement& other, flow_tracker& flows, backend_conditions& conditions)
    : settings_(other.settings_), store_replica_(other.store_replica_), flows_(flows), conditions_(conditions),
      warmup_(other.warmup_), random_(other.random_), tie_break_seed_(other.tie_break_seed_) {}

//----------------------------------------------------------------------------------------------------------------------
// Rules
//----------------------------------------------------------------------------------------------------------------------

std::string_view placement::region_of(const known_backend& backend) const {
    const auto region = settings_.regions.find(backend.registration.failure_domain);
    return region == settings_.regions.end() ? std::string_view() : region->second;
}

bool placement::is_in_allowed_region(const known_backend& backend, const route& matched_route) const {
    if (matched_route.allowed_regions.empty()) return true;
    const std::string_view region = region_of(backend);
    return !region.empty() &&
           std::ranges::find(matched_route.allowed_regions, region) != matched_route.allowed_regions.end();
}

bool placement::is_returning(const known_backend& backend, double position, steady_time now) const {
    const auto end = store_replica_.evacuation_end(backend.registration.failure_domain);
    if (!end || now >= *end + evacuation_return_time) return false;
    return std::chrono::duration<double>(now - *end) < position * evacuation_return_time;
}

exclusion placement::lasting_rule_against(const known_backend& backend, const route& matched_route) const {
    if (store_replica_.is_evacuated(backend.registration.failure_domain)) return exclusion::evacuated;
    if (!is_in_allowed_region(backend, matched_route)) return exclusion::region_not_allowed;
    return exclusion::none;
}

exclusion placement::rule_against(const known_backend& backend, const route& matched_route, double returning_position,
                                  steady_time now) const {
    const exclusion lasting_rule = lasting_rule_against(backend, matched_route);
    if (lasting_rule != exclusion::none) return lasting_rule;
    if (!warmup_.may_place(backend, now)) return exclusion::warmup_limit;
    if (is_returning(backend, returning_position, now)) return exclusion::returning;
    return exclusion::none;
}

// Load pattern: versions of the configuration come in quick succession, and may give an address to another service
// between a SYN and its copy. The candidates of choose take new flows and belong to a service that draw can return.
bool placement::allows(const known_backend& backend, const route& matched_route) const {
    return store_replica_.is_available(backend) && gets_flows_of(backend.registration.service, matched_route) &&
           lasting_rule_against(backend, matched_route) == exclusion::none;
}

// Load pattern: a backend server that answers SYNs with a reset, or not at all, processes no request. It would look
// idle and attract all new flows. Therefore a SYN without an answer counts as load, and after this timeout as a failure
// of the backend server.
duration placement::syn_answer_timeout() const {
    return handshake_factor * flows_.handshake_time() + handshake_margin;
}

bool placement::has_overdue_syn(const backend_activity& activity, steady_time now) const {
    return activity.unanswered_syns > 0 && now >= activity.first_unanswered_syn + syn_answer_timeout();
}

// Whether choose would treat the backend server as unresponsive, without recording it.
bool placement::is_avoided(backend_reference reference, steady_time now) const {
    return has_overdue_syn(std::as_const(flows_).activity(reference), now) || conditions_.is_avoided(reference, now);
}

//----------------------------------------------------------------------------------------------------------------------
// Choice
//----------------------------------------------------------------------------------------------------------------------

placement::flow_draw placement::draw(const route& matched_route) {
    flow_draw           drawn{.returning_position = std::uniform_real_distribution<double>()(random_),
                              .service = matched_route.services.front().service};
    const std::uint64_t total_weight = total_weight_of(matched_route);
    if (total_weight == 0 || matched_route.services.size() == 1) return drawn;
    auto position = std::uniform_int_distribution<std::uint64_t>(0, total_weight - 1)(random_);
    for (const service_share& share : matched_route.services) {
        drawn.service = share.service;
        if (position < share.weight) break;
        position -= share.weight;
    }
    return drawn;
}

const known_backend* placement::choose(const route& matched_route, const flow_draw& drawn,
                                       std::string_view preferred_domain, backend_reference tried, steady_time now) {
    note_feeders(now);
    preferred_domain = usable_domain(matched_route, drawn, preferred_domain, now);
    choice               best;
    choice               returning;              // if there is no other
    const known_backend* unresponsive = nullptr; // whose avoidance ends first
    for (const known_backend* candidate : store_replica_.available_backends(drawn.service)) {
        const exclusion rule = rule_against(*candidate, matched_route, drawn.returning_position, now);
        if (rule != exclusion::none && rule != exclusion::returning) continue;
        const backend_activity& activity = flows_.activity(candidate->reference);
        if (has_overdue_syn(activity, now)) note_overdue_syns(candidate->reference, activity, now);
        const steady_time avoided_until = conditions_.avoided_until(candidate->reference);
        if (candidate->reference == tried || now < avoided_until) {
            const bool ends_first =
                unresponsive == nullptr || avoided_until < conditions_.avoided_until(unresponsive->reference);
            if (ends_first) unresponsive = candidate;
            continue;
        }
        offer(rule == exclusion::none ? best : returning, *candidate, preferred_domain, now);
    }
    if (best.backend != nullptr) return best.backend;
    return returning.backend != nullptr ? returning.backend : unresponsive;
}

// Without a usable preferred domain all candidates would cost the surcharge, and flows would cross domains for nothing.
std::string_view placement::usable_domain(const route& matched_route, const flow_draw& drawn,
                                          std::string_view preferred_domain, steady_time now) const {
    if (preferred_domain == settings_.failure_domain) return preferred_domain;
    const auto is_usable = [&](const known_backend* candidate) {
        return candidate->registration.failure_domain == preferred_domain &&
               rule_against(*candidate, matched_route, drawn.returning_position, now) == exclusion::none &&
               !is_avoided(candidate->reference, now);
    };
    const bool is_any_usable = std::ranges::any_of(store_replica_.available_backends(drawn.service), is_usable);
    return is_any_usable ? preferred_domain : std::string_view(settings_.failure_domain);
}

void placement::note_overdue_syns(backend_reference reference, const backend_activity& activity, steady_time now) {
    const auto evidence =
        activity.unanswered_syns > 1 ? silence_evidence::repeated_packet : silence_evidence::single_packet;
    conditions_.note_unresponsive(reference, evidence, activity.first_unanswered_syn, now);
}

void placement::offer(choice& best, const known_backend& candidate, std::string_view preferred_domain,
                      steady_time now) const {
    const double cost = cost_of(candidate, preferred_domain, now);
    const bool   is_better =
        best.backend == nullptr || cost < best.cost || (cost == best.cost && wins_tie(candidate, *best.backend));
    if (is_better) best = {&candidate, cost};
}

// Equal backend servers take turns, in an order that differs between balancers: balancers that start at the same time
// must not send their first flows to the same backend server. reference_of serves as a hash function here.
bool placement::wins_tie(const known_backend& left, const known_backend& right) const {
    const steady_time left_chosen = flows_.activity(left.reference).last_chosen;
    const steady_time right_chosen = flows_.activity(right.reference).last_chosen;
    if (left_chosen != right_chosen) return left_chosen < right_chosen;
    return reference_of(left.reference ^ tie_break_seed_) < reference_of(right.reference ^ tie_break_seed_);
}

double placement::cost_of(const known_backend& backend, std::string_view preferred_domain, steady_time now) const {
    const backend_activity& activity = flows_.activity(backend.reference);
    const bool              is_warming_up = now < backend.registration_received + backend.registration.warmup_remaining;
    const double            slots = std::max(1U, backend.registration.slots);
    const double load = activity.waiting_flows + activity.unanswered_syns + idle_flow_load * activity.open_flows;
    // The owner of a limited backend server knows all of its load. Of other backend servers a balancer sees a part.
    const double unseen_load = warmup_.is_limited(backend, now) ? 0.0 : 1.0;
    const double cost = (load + unseen_load) * (is_warming_up ? warmup_factor : 1.0) *
                        conditions_.cost_factor(backend.reference, now) / slots;
    return backend.registration.failure_domain == preferred_domain ? cost : cost + other_domain_cost;
}

std::vector<backend_candidate> placement::explain(const route& matched_route, const flow_draw& drawn,
                                                  std::string_view preferred_domain, steady_time now) const {
    preferred_domain = usable_domain(matched_route, drawn, preferred_domain, now);
    std::vector<backend_candidate> candidates;
    for (const service_share& share : matched_route.services) {
        for (const known_backend* backend : store_replica_.available_backends(share.service)) {
            exclusion rule = rule_against(*backend, matched_route, drawn.returning_position, now);
            if (rule == exclusion::none && share.service != drawn.service) rule = exclusion::other_service;
            if (rule == exclusion::none && is_avoided(backend->reference, now)) rule = exclusion::unresponsive;
            candidates.push_back({backend, cost_of(*backend, preferred_domain, now), rule, region_of(*backend)});
        }
    }
    std::ranges::sort(candidates, [this](const backend_candidate& left, const backend_candidate& right) {
        const std::pair left_rank(left.excluded != exclusion::none, left.cost);
        const std::pair right_rank(right.excluded != exclusion::none, right.cost);
        return left_rank != right_rank ? left_rank < right_rank : wins_tie(*left.backend, *right.backend);
    });
    return candidates;
}

} // namespace tamarack::entry
