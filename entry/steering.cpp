// Steering by reference, and the choice of a backend server for new flows.
#include "entry/steering.h"

#include <algorithm>
#include <limits>

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
// A confirmation by the store this long after a packet covers all writes that preceded the packet, also if it comes
// through a feeder.
constexpr duration         confirmation_margin = std::chrono::milliseconds(300);
// Callers retransmit data after 200 ms and after 400 ms more. The second retransmission rules out the loss of a single
// packet.
constexpr duration         stall_time = std::chrono::milliseconds(450);
// A handshake takes at most this many times the usual time, plus a margin for a busy host.
constexpr int              handshake_factor = 3;
constexpr duration         handshake_margin = std::chrono::milliseconds(25);

} // namespace

std::string_view to_string(decision_reason reason) {
    static constexpr std::array<std::string_view, decision_reason_count> names = {
        "placed",   "placed_again", "placed_elsewhere", "by_reference",      "stalled",     "by_flow",
        "no_route", "no_backend",   "not_synchronized", "unknown_reference", "backend_gone"};
    return names.at(static_cast<std::size_t>(reason));
}

steering::steering(const steering_settings& settings, const replica& store_replica, std::uint64_t random_seed)
    : settings_(settings), store_replica_(store_replica), flows_(settings.flow_capacity), random_(random_seed),
      tie_break_seed_(random_()) {}

steering_decision steering::decide(const segment& packet, steady_time now) {
    return packet.syn ? decide_syn(packet, now) : decide_later_packet(packet, now);
}

//----------------------------------------------------------------------------------------------------------------------
// New flows
//----------------------------------------------------------------------------------------------------------------------

steering_decision steering::decide_syn(const segment& packet, steady_time now) {
    if (store_replica_.routing() == nullptr || !store_replica_.is_complete())
        return {packet_action::drop, decision_reason::not_synchronized};
    const route* matched_route = store_replica_.find_route(packet.destination);
    if (matched_route == nullptr) {
        // While the store is unavailable, a route may have been added that this balancer does not know.
        if (!store_replica_.store_available_since()) return {packet_action::drop, decision_reason::no_route};
        return {packet_action::reset, decision_reason::no_route};
    }
    tracked_flow* tracked = flows_.find(packet);
    if (tracked != nullptr && tracked->is_open) {
        // A late retransmission of the SYN of an open flow.
        const known_backend* backend = store_replica_.find_backend(tracked->reference);
        if (backend != nullptr && !backend->removed_at)
            return {packet_action::deliver, decision_reason::placed_again, backend};
    }
    return place(packet, *matched_route, tracked, now);
}

// Callers number their retransmissions of a SYN. The network may also duplicate a packet, which keeps its number.
bool steering::is_syn_retransmission(const segment& packet, const tracked_flow& flow) {
    if (flow.is_closing) return false;
    return packet.acknowledged > 0 || (!flow.is_open && packet.sequence == flow.next_sequence);
}

steering_decision steering::place(const segment& packet, const route& matched_route, tracked_flow* tracked,
                                  steady_time now) {
    const bool        is_retransmission = tracked != nullptr && is_syn_retransmission(packet, *tracked);
    backend_reference excluded = 0;
    if (is_retransmission) {
        tracked->syn_was_retransmitted = true;
        const known_backend* first_backend = store_replica_.find_backend(tracked->reference);
        // A SYN and its retransmission that were queued on the way may arrive together, so that the backend server has
        // had no time to answer the first one.
        const bool           answer_may_follow = now - tracked->first_syn < syn_answer_timeout();
        const bool           may_be_alive =
            answer_may_follow || flows_.activity(tracked->reference).last_response > tracked->first_syn;
        if (!may_be_alive) note_unresponsive(tracked->reference, now);
        if (may_be_alive && first_backend != nullptr && first_backend->takes_new_flows())
            return {packet_action::deliver, decision_reason::placed_again, first_backend};
        excluded = tracked->reference;
    }
    const known_backend* chosen = choose_backend(matched_route, excluded, now);
    if (chosen == nullptr) return {packet_action::reset, decision_reason::no_backend};
    if (is_retransmission) {
        flows_.reassign(*tracked, chosen->reference);
    } else {
        flows_.start(packet, chosen->reference, now);
    }
    flows_.note_syn(chosen->reference, now);
    return {packet_action::deliver, is_retransmission ? decision_reason::placed_elsewhere : decision_reason::placed,
            chosen};
}

std::string_view steering::choose_service(const route& matched_route) {
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

// Load pattern: many short flows and some long ones with pauses, over backend servers with few slots each, of which
// some may be unresponsive, warming up or in another failure domain. Only this balancer's own counts are used: load
// reports lag, and health probes occupy slots.
const known_backend* steering::choose_backend(const route& matched_route, backend_reference excluded, steady_time now) {
    const known_backend* best = nullptr;
    const known_backend* fallback = nullptr; // the avoided backend server whose avoidance ends first
    double               best_cost = std::numeric_limits<double>::infinity();
    const auto           candidates = store_replica_.available_backends(choose_service(matched_route));
    for (const known_backend* candidate : candidates) {
        const backend_activity& activity = flows_.activity(candidate->reference);
        if (activity.unanswered_syns > 0 && now >= activity.first_unanswered_syn + syn_answer_timeout())
            note_unresponsive(candidate->reference, now);
        if (candidate->reference == excluded || now < activity.avoid_until) {
            const bool is_better_fallback =
                fallback == nullptr || activity.avoid_until < flows_.activity(fallback->reference).avoid_until;
            if (is_better_fallback) fallback = candidate;
            continue;
        }
        const double cost = cost_of(*candidate, activity, now);
        if (cost > best_cost || (cost == best_cost && !wins_tie(*candidate, *best))) continue;
        best = candidate;
        best_cost = cost;
    }
    return best != nullptr ? best : fallback;
}

// Equal backend servers take turns, in an order that differs between balancers: balancers that start at the same time
// must not send their first flows to the same backend server. reference_of serves as a hash function here.
bool steering::wins_tie(const known_backend& left, const known_backend& right) {
    const steady_time left_chosen = flows_.activity(left.reference).last_chosen;
    const steady_time right_chosen = flows_.activity(right.reference).last_chosen;
    if (left_chosen != right_chosen) return left_chosen < right_chosen;
    return reference_of(left.reference ^ tie_break_seed_) < reference_of(right.reference ^ tie_break_seed_);
}

double steering::cost_of(const known_backend& candidate, const backend_activity& activity, steady_time now) const {
    const bool   is_warming_up = now < candidate.registration_received + candidate.registration.warmup_remaining;
    const double slots = std::max(1U, candidate.registration.slots);
    const double load = activity.waiting_flows + activity.unanswered_syns + idle_flow_load * activity.open_flows;
    const double cost = (load + 1.0) * (is_warming_up ? warmup_factor : 1.0) / slots;
    return candidate.registration.failure_domain == settings_.failure_domain ? cost : cost + other_domain_cost;
}

flow_explanation steering::explain(const endpoint& caller, const endpoint& route_address, steady_time now) const {
    segment packet;
    packet.source = caller;
    packet.destination = route_address;
    flow_explanation explanation{
        .matched_route = store_replica_.find_route(route_address), .flow = flows_.find(packet), .candidates = {}};
    if (explanation.matched_route == nullptr) return explanation;
    for (const service_share& share : explanation.matched_route->services) {
        for (const known_backend* backend : store_replica_.available_backends(share.service)) {
            const backend_activity& activity = flows_.activity(backend->reference);
            explanation.candidates.push_back({backend, cost_of(*backend, activity, now), now < activity.avoid_until});
        }
    }
    std::ranges::sort(explanation.candidates, [](const backend_candidate& left, const backend_candidate& right) {
        return std::pair(left.is_avoided, left.cost) < std::pair(right.is_avoided, right.cost);
    });
    return explanation;
}

void steering::note_unresponsive(backend_reference reference, steady_time now) {
    backend_activity& activity = flows_.activity(reference);
    activity.unanswered_syns = 0;
    if (now < activity.avoid_until) return;
    activity.avoid_until = now + backoff_limit(avoidance_backoff, activity.consecutive_failures);
    ++activity.consecutive_failures;
}

// Load pattern: a backend server that answers SYNs with a reset, or not at all, processes no request. It would look
// idle and attract all new flows. Therefore a SYN without an answer counts as load, and after this timeout as a failure
// of the backend server.
duration steering::syn_answer_timeout() const {
    return handshake_factor * flows_.handshake_time() + handshake_margin;
}

//----------------------------------------------------------------------------------------------------------------------
// Later packets
//----------------------------------------------------------------------------------------------------------------------

steering_decision steering::decide_later_packet(const segment& packet, steady_time now) {
    if (store_replica_.routing() == nullptr || !store_replica_.is_complete())
        return {packet_action::drop, decision_reason::not_synchronized};
    tracked_flow* flow = flows_.find(packet);
    if (store_replica_.find_route(packet.destination) == nullptr) return refuse_unrouted(packet, flow, now);
    backend_reference reference = packet.reference;
    // Two backend servers may have answered the SYN and its retransmission. The flow is pinned to the one whose answer
    // the caller acknowledged first; the reference in a later answer does not move it.
    const bool        is_pinned = flow != nullptr && flow->is_open;
    if (is_pinned) reference = flow->reference;
    const known_backend* backend = store_replica_.find_backend(reference);
    if (backend == nullptr)
        return refuse(packet, decision_reason::unknown_reference, is_confirmed_since_first_packet(packet, now));
    if (backend->removed_at) return refuse_removed(packet, *backend, flow, now);
    if (flow == nullptr) {
        flow = flows_.start(packet, reference, now);
        if (flow != nullptr) flow->next_sequence = packet.sequence;
    } else if (!flow->is_open && flow->reference != reference) {
        flows_.reassign(*flow, reference);
    }
    steering_decision decision{packet_action::deliver, decision_reason::by_reference, backend, flow, {}};
    if (flow != nullptr) decision.progress = flows_.note_packet(*flow, packet, now);
    if (packet.reference != reference) decision.reason = decision_reason::by_flow;
    if (decision.progress.is_retransmission && is_stalled(*flow, now)) {
        decision.reason = decision_reason::stalled;
        note_unresponsive(reference, now);
    }
    return decision;
}

// A reset may break a flow that is alive, so that it takes a proof. Without it the packet is dropped, and the caller
// retransmits it. A caller's reset is never answered.
steering_decision steering::refuse(const segment& packet, decision_reason reason, bool is_proved) {
    const bool resets = is_proved && !packet.rst;
    return {resets ? packet_action::reset : packet_action::drop, reason};
}

// The route may be new, and its flows opened through balancers that know it already. A flow that is tracked was
// forwarded by this balancer while its route existed: the route has been dropped.
steering_decision steering::refuse_unrouted(const segment& packet, const tracked_flow* flow, steady_time now) {
    const bool was_dropped = flow != nullptr && store_replica_.store_available_since();
    return refuse(packet, decision_reason::no_route, was_dropped || is_confirmed_since_first_packet(packet, now));
}

// The backend server may have registered again, and the flow may have opened since. A flow that was tracked before the
// removal has ended with the earlier registration.
steering_decision steering::refuse_removed(const segment& packet, const known_backend& backend,
                                           const tracked_flow* flow, steady_time now) {
    const bool precedes_removal = flow != nullptr && flow->first_syn < *backend.removed_at;
    const bool is_proved = precedes_removal ? is_settled(now) : is_confirmed_since_first_packet(packet, now);
    return refuse(packet, decision_reason::backend_gone, is_proved);
}

// Load pattern: a backend server that stops responding usually has many open flows. Their requests are retransmitted
// without progress before a new flow shows the failure. A single stalled flow is enough to direct new flows elsewhere.
bool steering::is_stalled(const tracked_flow& flow, steady_time now) {
    const backend_activity& activity = flows_.activity(flow.reference);
    return now - flow.last_progress >= stall_time && activity.last_response <= flow.last_progress;
}

bool steering::is_settled(steady_time now) const {
    const auto available_since = store_replica_.store_available_since();
    return available_since && now >= *available_since + settings_.settle_time;
}

// Load pattern: a new backend server or route gets flows from balancers that already know it, and their packets may
// arrive through a balancer that does not know it yet, or that has lost the store without noticing. Therefore only a
// confirmation by the store after the flow's first packet shows that the store has nothing that the replica lacks. It
// is not certain while a restored store has not been written again.
bool steering::is_confirmed_since_first_packet(const segment& packet, steady_time now) {
    const steady_time first_packet = unknown_flows_.first_packet(packet, now);
    return is_settled(now) && store_replica_.last_confirmation() >= first_packet + confirmation_margin;
}

void steering::expire(steady_time now) {
    const routing_table* routing = store_replica_.routing();
    flows_.expire(now, routing == nullptr ? std::chrono::seconds(15) : routing->idle_timeout);
    unknown_flows_.expire(now);
}

} // namespace tamarack::entry
