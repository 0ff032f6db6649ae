// Steering by reference, and the choice of a backend server for new flows.
#include "entry/steering.h"

#include <algorithm>
#include <limits>

namespace tamarack::entry {

namespace {

// A confirmation by the store this long after a packet covers all writes that preceded the packet, also if it comes
// through a feeder.
constexpr duration confirmation_margin = std::chrono::milliseconds(300);
// Callers abandon a SYN after 1.4 s; the network duplicates no packet later than that.
constexpr duration syn_copy_time = std::chrono::seconds(2);
// Callers retransmit data after 200 ms and after 400 ms more. The second retransmission rules out the loss of a single
// packet.
constexpr duration stall_time = std::chrono::milliseconds(450);

} // namespace

std::string_view to_string(packet_action action) {
    switch (action) {
    case packet_action::deliver:
        return "delivered";
    case packet_action::reset:
        return "reset";
    case packet_action::drop:
        return "dropped";
    }
    return "unknown";
}

std::string_view to_string(decision_reason reason) {
    static constexpr std::array<std::string_view, decision_reason_count> names = {
        "placed",   "placed_again", "placed_elsewhere", "by_reference",      "stalled",      "by_flow",
        "no_route", "no_backend",   "not_synchronized", "unknown_reference", "backend_gone", "not_admitted"};
    return names.at(static_cast<std::size_t>(reason));
}

steering::steering(const steering_settings& settings, const replica& store_replica, std::uint64_t random_seed)
    : settings_(settings), store_replica_(store_replica), flows_(settings.flow_capacity),
      conditions_(store_replica, flows_, random_seed + 1),
      placement_({settings.failure_domain, settings.regions, settings.warmup}, store_replica, flows_, conditions_,
                 random_seed),
      admission_(congestion_, random_seed),
      spillover_(settings.failure_domain, store_replica, congestion_, random_seed), removed_backends_(store_replica) {}

steering::steering(const steering& other, without_flows)
    : settings_(other.settings_), store_replica_(other.store_replica_), flows_(other.flows_.without_flows()),
      conditions_(other.conditions_, flows_), placement_(other.placement_, flows_, conditions_),
      congestion_(other.congestion_), admission_(other.admission_, congestion_),
      spillover_(other.spillover_, congestion_), removed_backends_(store_replica_) {}

steering_decision steering::decide(const segment& packet, steady_time now) {
    return packet.syn ? decide_syn(packet, now) : decide_later_packet(packet, now);
}

//----------------------------------------------------------------------------------------------------------------------
// New flows
//----------------------------------------------------------------------------------------------------------------------

steering_decision steering::decide_syn(const segment& packet, steady_time now) {
    if (store_replica_.routing() == nullptr || !store_replica_.is_complete())
        return {packet_action::drop, decision_reason::not_synchronized};
    tracked_flow* tracked = flows_.find(packet);
    const route*  matched_route = store_replica_.find_route(packet.destination);
    if (matched_route == nullptr) {
        // While the store is unavailable, a route may have been added that this balancer does not know.
        if (!store_replica_.store_available_since()) return {packet_action::drop, decision_reason::no_route};
        return refuse_syn(packet, decision_reason::no_route, tracked != nullptr);
    }
    if (tracked != nullptr && tracked->is_open && !is_syn_of_other_flow(packet, *tracked)) {
        // A late retransmission of the SYN of an open flow, which its caller does not need any more.
        const known_backend* backend = store_replica_.find_backend(tracked->backend());
        if (backend != nullptr && !backend->removed_at) {
            if (placement_.allows(*backend, *matched_route))
                return {packet_action::deliver, decision_reason::placed_again, backend};
            // The flow is open and needs no SYN, unless it has ended elsewhere and its caller reuses the port.
            const bool may_be_copy = packet.acknowledged > 0 || now < tracked->last_seen + syn_copy_time;
            if (may_be_copy) return {packet_action::drop, decision_reason::no_backend};
        }
    }
    return place(packet, *matched_route, tracked, now);
}

// Another balancer may have delivered the first transmission of a SYN that this one does not track: the caller may have
// opened the flow since, and a reset would end it.
steering_decision steering::refuse_syn(const segment& packet, decision_reason reason, bool is_tracked) {
    const bool may_have_been_delivered = packet.acknowledged > 0 && !is_tracked;
    return {may_have_been_delivered ? packet_action::drop : packet_action::reset, reason};
}

// The caller has reused the port of a flow whose end did not pass this balancer.
bool steering::is_syn_of_other_flow(const segment& packet, const tracked_flow& flow) {
    return flow.syn_was_seen && packet.sequence != flow.syn_sequence;
}

// Callers number their retransmissions of a SYN. The network may also duplicate a packet, which keeps its number.
bool steering::is_syn_retransmission(const segment& packet, const tracked_flow& flow) {
    if (flow.is_closing || is_syn_of_other_flow(packet, flow)) return false;
    return packet.acknowledged > 0 || (!flow.is_open && packet.sequence == flow.next_sequence);
}

steering_decision steering::place(const segment& packet, const route& matched_route, tracked_flow* tracked,
                                  steady_time now) {
    const bool        is_retransmission = tracked != nullptr && is_syn_retransmission(packet, *tracked);
    backend_reference tried = 0;
    if (is_retransmission) {
        tracked->syn_was_retransmitted = true;
        const known_backend* first_backend = store_replica_.find_backend(tracked->backend());
        // A SYN and its retransmission that were queued on the way may arrive together, so that the backend server has
        // had no time to answer the first one.
        const bool           answer_may_follow = now - tracked->first_syn < placement_.syn_answer_timeout();
        const bool           has_responded = flows_.activity(tracked->reference).last_response > tracked->first_syn;
        const bool           may_be_alive = answer_may_follow || has_responded;
        if (has_responded && !answer_may_follow) conditions_.note_loss(now);
        if (!may_be_alive) {
            conditions_.note_unresponsive(tracked->reference, silence_evidence::repeated_packet, tracked->first_syn,
                                          now);
        }
        if (may_be_alive && first_backend != nullptr && placement_.allows(*first_backend, matched_route))
            return {packet_action::deliver, decision_reason::placed_again, first_backend};
        tried = tracked->reference;
    }
    const placement::flow_draw drawn = placement_.draw(matched_route);
    // Admission applies to untracked flows only: a tracked one may have been delivered before.
    if (tracked == nullptr && !admission_.admit(matched_route, drawn.service, packet, now))
        return {packet_action::reset, decision_reason::not_admitted};
    const std::string&   preferred_domain = spillover_.choose_domain(drawn.service, now);
    const known_backend* chosen = placement_.choose(matched_route, drawn, preferred_domain, tried, now);
    if (chosen == nullptr) {
        const steering_decision refusal = refuse_syn(packet, decision_reason::no_backend, tracked != nullptr);
        if (tracked == nullptr && refusal.action == packet_action::reset) admission_.note_refused(packet, now);
        return refusal;
    }
    if (is_retransmission) {
        flows_.reassign(*tracked, chosen->id());
    } else {
        flows_.start(packet, chosen->id(), now);
    }
    flows_.note_syn(chosen->reference, now);
    conditions_.note_placed(chosen->reference, now);
    placement_.note_placed(*chosen, now);
    return {packet_action::deliver, is_retransmission ? decision_reason::placed_elsewhere : decision_reason::placed,
            chosen};
}

// The decision is tried on a copy, so that it follows the same rules as the next one and changes nothing.
flow_explanation steering::explain(const endpoint& caller, const endpoint& route_address, steady_time now) const {
    segment packet;
    packet.source = caller;
    packet.destination = route_address;
    packet.syn = true;
    flow_explanation explanation{.matched_route = store_replica_.find_route(route_address),
                                 .flow = flows_.find(packet)};
    steering         trial(*this, without_flows{});
    explanation.next_decision = trial.decide(packet, now);
    if (explanation.matched_route == nullptr) return explanation;
    const route&               matched_route = *explanation.matched_route;
    steering                   choice(*this, without_flows{}); // with the same random numbers
    const placement::flow_draw drawn = choice.placement_.draw(matched_route);
    const std::string&         preferred_domain = choice.spillover_.choose_domain(drawn.service, now);
    explanation.candidates = placement_.explain(matched_route, drawn, preferred_domain, now);
    for (const service_share& share : matched_route.services) {
        explanation.outlooks.push_back({share.service, admission_.status(share.service),
                                        admission_.share(share.service, matched_route.name),
                                        spillover_.shares(share.service)});
    }
    return explanation;
}

//----------------------------------------------------------------------------------------------------------------------
// Later packets
//----------------------------------------------------------------------------------------------------------------------

steering_decision steering::decide_later_packet(const segment& packet, steady_time now) {
    if (store_replica_.routing() == nullptr || !store_replica_.is_complete())
        return {packet_action::drop, decision_reason::not_synchronized};
    tracked_flow* flow = flows_.find(packet);
    const route*  matched_route = store_replica_.find_route(packet.destination);
    if (matched_route == nullptr) return refuse_unrouted(packet, flow, now);
    backend_reference reference = packet.reference;
    // Two backend servers may have answered the SYN and its retransmission. The flow is pinned to the one whose answer
    // the caller acknowledged first; the reference in a later answer does not move it.
    const bool        is_pinned = flow != nullptr && flow->is_open;
    if (is_pinned) reference = flow->reference;
    // Of two backend servers with the reference, the one that this balancer has placed the flow on.
    const bool           is_known_flow = flow != nullptr && !flow->is_closing && flow->reference == reference;
    const known_backend* backend =
        is_known_flow ? store_replica_.find_backend(flow->backend()) : store_replica_.find_backend(reference);
    if (backend == nullptr)
        return refuse(packet, decision_reason::unknown_reference, is_confirmed_since_first_packet(packet, now));
    if (backend->removed_at) return refuse_removed(packet, *backend, flow, now);
    if (flow == nullptr) {
        flow = flows_.start(packet, backend->id(), now);
        if (flow != nullptr) flow->next_sequence = packet.sequence;
    } else if (!flow->is_open && flow->reference != reference) {
        flows_.reassign(*flow, backend->id());
    }
    if (flow != nullptr) flow->identity = backend->registration.identity;
    steering_decision decision{packet_action::deliver, decision_reason::by_reference, backend, flow, {}};
    if (flow != nullptr) {
        decision.progress = flows_.note_packet(*flow, packet, now);
        conditions_.note_progress(*backend, matched_route->kind, packet, *flow, decision.progress, now);
        note_progress(*matched_route, *backend, decision.progress, now);
    }
    if (packet.reference != reference) decision.reason = decision_reason::by_flow;
    if (decision.progress.is_retransmission && is_stalled(*flow, now)) {
        decision.reason = decision_reason::stalled;
        conditions_.note_unresponsive(reference, silence_evidence::repeated_packet, flow->last_progress, now);
    }
    return decision;
}

void steering::note_progress(const route& matched_route, const known_backend& backend, const flow_progress& progress,
                             steady_time now) {
    const backend_registration& registration = backend.registration;
    if (progress.handshake_time)
        congestion_.note_handshake(registration.service, registration.failure_domain, *progress.handshake_time, now);
    if (!progress.answer_time) return;
    const answer_kind kind = congestion_.note_answer(registration, matched_route.name, progress, now);
    admission_.note_answer(registration.service, matched_route.name, kind);
}

// A reset may break a flow that is alive, so that it takes a proof by the store: a backend server that answers nothing
// may only be full. Without it the packet is dropped, and the caller
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

// A removal counts when the store has confirmed it and has been available for long enough: registrations may expire
// during an outage although their backend servers live.
std::vector<segment> steering::end_orphaned_flows(steady_time now) {
    removed_backends_.update(now);
    std::unordered_set<std::uint64_t> lost_backends; // identities
    if (is_settled(now)) lost_backends = removed_backends_.take_removed();
    if (lost_backends.empty()) return {};
    std::vector<segment> resets;
    for (tracked_flow* flow : flows_.idle_flows(lost_backends)) {
        const known_backend* backend = store_replica_.find_backend(flow->backend());
        if (backend == nullptr || !backend->removed_at || flow->first_syn >= *backend->removed_at) continue;
        segment reset;
        reset.source = flow->caller;
        reset.destination = flow->route_address;
        reset.acknowledged = flow->acknowledged;
        resets.push_back(reset);
        flows_.note_reset(*flow, now);
    }
    return resets;
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

void steering::note_pause(steady_time now) {
    conditions_.note_pause(now);
    congestion_.note_pause(now);
}

void steering::expire(steady_time now) {
    const routing_table* routing = store_replica_.routing();
    flows_.expire(now, routing == nullptr ? std::chrono::seconds(15) : routing->idle_timeout);
    unknown_flows_.expire(now);
    conditions_.expire(now);
    placement_.note_feeders(now);
    congestion_.expire(now);
    admission_.expire(now);
    spillover_.expire(now);
}

} // namespace tamarack::entry
