// Rules and costs of the candidates for a new flow.
#include "entry/placement.h"

#include <algorithm>

namespace tamarack::entry {

namespace {

// Waiting requests per slot that a backend server of another failure domain must save: requests and answers that cross
// domains take longer and are charged.
constexpr double           other_domain_cost = 1.5;
// Load of an open flow that waits for no answer, relative to a flow that waits for one.
constexpr double           idle_flow_load = 0.1;
// How much longer requests take during the warm-up.
constexpr double           warmup_factor = 1.6;
// A backend server that does not respond is avoided for the base time, which doubles with each further failure.
constexpr backoff_settings avoidance_backoff = {std::chrono::milliseconds(400), std::chrono::seconds(6)};
// A handshake takes at most this many times the usual time, plus a margin for a busy host.
constexpr int              handshake_factor = 3;
constexpr duration         handshake_margin = std::chrono::milliseconds(25);
// The share of new flows that a failure domain takes grows evenly over this time after its evacuation: all balancers
// see the end of the evacuation at the same moment, and its backend servers may have caches to fill.
constexpr duration         evacuation_return_time = std::chrono::seconds(3);

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
    case exclusion::tried_before:
        return "tried_before";
    case exclusion::unresponsive:
        return "unresponsive";
    }
    return "unknown";
}

placement::placement(placement_settings settings, const replica& store_replica, flow_tracker& flows,
                     std::uint64_t random_seed)
    : settings_(std::move(settings)), store_replica_(store_replica), flows_(flows), random_(random_seed),
      tie_break_seed_(random_()) {}

//----------------------------------------------------------------------------------------------------------------------
// Rules
//----------------------------------------------------------------------------------------------------------------------

bool placement::is_in_allowed_region(const known_backend& backend, const route& matched_route) const {
    return is_region_allowed(backend.registration.failure_domain, matched_route);
}

bool placement::is_region_allowed(const std::string& failure_domain, const route& matched_route) const {
    if (matched_route.allowed_regions.empty()) return true;
    const auto region = settings_.regions.find(failure_domain);
    return region != settings_.regions.end() &&
           std::ranges::find(matched_route.allowed_regions, region->second) != matched_route.allowed_regions.end();
}

bool placement::is_returning(const known_backend& backend, double position, steady_time now) const {
    const auto end = store_replica_.evacuation_end(backend.registration.failure_domain);
    if (!end || now >= *end + evacuation_return_time) return false;
    return std::chrono::duration<double>(now - *end) < position * evacuation_return_time;
}

exclusion placement::rule_against(const known_backend& backend, const route& matched_route, double returning_position,
                                  steady_time now) const {
    if (store_replica_.is_evacuated(backend.registration.failure_domain)) return exclusion::evacuated;
    if (!is_in_allowed_region(backend, matched_route)) return exclusion::region_not_allowed;
    if (is_returning(backend, returning_position, now)) return exclusion::returning;
    return exclusion::none;
}

bool placement::allows(const known_backend& backend, const route& matched_route) const {
    return backend.takes_new_flows() && !store_replica_.is_evacuated(backend.registration.failure_domain) &&
           is_in_allowed_region(backend, matched_route);
}

void placement::note_unresponsive(backend_reference reference, steady_time now) {
    backend_activity& activity = flows_.activity(reference);
    activity.unanswered_syns = 0;
    if (now < activity.avoid_until) return;
    activity.avoid_until = now + backoff_limit(avoidance_backoff, activity.consecutive_failures);
    ++activity.consecutive_failures;
}

// Load pattern: a backend server that answers SYNs with a reset, or not at all, processes no request. It would look
// idle and attract all new flows. Therefore a SYN without an answer counts as load, and after this timeout as a failure
// of the backend server.
duration placement::syn_answer_timeout() const {
    return handshake_factor * flows_.handshake_time() + handshake_margin;
}

//----------------------------------------------------------------------------------------------------------------------
// Choice
//----------------------------------------------------------------------------------------------------------------------

const std::string& placement::choose_service(const route& matched_route) {
    std::uint32_t total_weight = 0;
    for (const service_share& share : matched_route.services)
        total_weight += share.weight;
    if (total_weight == 0 || matched_route.services.size() == 1) return matched_route.services.front().service;
    auto position = std::uniform_int_distribution<std::uint32_t>(0, total_weight - 1)(random_);
    for (const service_share& share : matched_route.services) {
        if (position < share.weight) return share.service;
        position -= share.weight;
    }
    return matched_route.services.back().service;
}

const known_backend* placement::choose(const route& matched_route, const std::string& service,
                                       std::string_view preferred_domain, backend_reference tried, steady_time now) {
    choice               best;
    choice               returning;              // if there is no other
    const known_backend* unresponsive = nullptr; // whose avoidance ends first
    const double         returning_position = std::uniform_real_distribution<double>()(random_);
    for (const known_backend* candidate : store_replica_.available_backends(service)) {
        const exclusion rule = rule_against(*candidate, matched_route, returning_position, now);
        if (rule != exclusion::none && rule != exclusion::returning) continue;
        const backend_activity& activity = flows_.activity(candidate->reference);
        if (activity.unanswered_syns > 0 && now >= activity.first_unanswered_syn + syn_answer_timeout())
            note_unresponsive(candidate->reference, now);
        if (candidate->reference == tried || now < activity.avoid_until) {
            const bool ends_first =
                unresponsive == nullptr || activity.avoid_until < flows_.activity(unresponsive->reference).avoid_until;
            if (ends_first) unresponsive = candidate;
            continue;
        }
        offer(rule == exclusion::none ? best : returning, *candidate, preferred_domain, now);
    }
    if (best.backend != nullptr) return best.backend;
    return returning.backend != nullptr ? returning.backend : unresponsive;
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
    const double cost = (load + 1.0) * (is_warming_up ? warmup_factor : 1.0) / slots;
    return backend.registration.failure_domain == preferred_domain ? cost : cost + other_domain_cost;
}

std::vector<backend_candidate> placement::explain(const route& matched_route, steady_time now) const {
    std::vector<backend_candidate> candidates;
    for (const service_share& share : matched_route.services) {
        for (const known_backend* backend : store_replica_.available_backends(share.service)) {
            exclusion rule = rule_against(*backend, matched_route, 0.5, now);
            if (rule == exclusion::none && now < flows_.activity(backend->reference).avoid_until)
                rule = exclusion::unresponsive;
            candidates.push_back({backend, cost_of(*backend, settings_.failure_domain, now), rule});
        }
    }
    std::ranges::sort(candidates, [](const backend_candidate& left, const backend_candidate& right) {
        return std::pair(left.excluded != exclusion::none, left.cost) <
               std::pair(right.excluded != exclusion::none, right.cost);
    });
    return candidates;
}

} // namespace tamarack::entry
