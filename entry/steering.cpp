// Steering by reference, and the choice of a backend server for new flows.
#include "entry/steering.h"

#include <algorithm>
#include <limits>

namespace tamarack::entry {

namespace {

// Extra waiting requests per slot that a backend server of another failure domain must save: its answers and requests
// cross domains, which takes longer and is priced.
constexpr double           other_domain_cost = 1.5;
// Weight of an open flow that does not wait at present, relative to one that does.
constexpr double           open_flow_share = 0.1;
// How much longer work takes during the warm-up.
constexpr double           warmup_factor = 1.6;
// A backend server without a sign of life is avoided for this long, doubling with each further failure.
constexpr backoff_settings avoidance = {std::chrono::milliseconds(400), std::chrono::seconds(6)};
// What the store says this long after a packet covers all that was written before it, through a feeder, too.
constexpr duration         proof_margin = std::chrono::milliseconds(300);
constexpr std::size_t      max_unknown = 4'096; // references; forgotten together, which only delays resets
// Ends repeat data after 200 ms and after 400 ms more; the second repetition is no accident of one packet.
constexpr duration         stall_time = std::chrono::milliseconds(450);
// A handshake takes at most this many times the usual time, and some time more for a busy host.
constexpr int              handshake_factor = 3;
constexpr duration         handshake_margin = std::chrono::milliseconds(25);

} // namespace

std::string_view to_string(reason why) {
    static constexpr std::array<std::string_view, reason_count> names = {
        "placed",   "placed_again", "placed_elsewhere", "by_reference",      "stalled",     "by_flow",
        "no_route", "no_backend",   "not_synchronized", "unknown_reference", "backend_gone"};
    return names.at(static_cast<std::size_t>(why));
}

steering::steering(const steering_settings& settings, const replica& known, std::uint64_t random_seed)
    : settings_(settings), known_(known), flows_(settings.flow_capacity), random_(random_seed), order_(random_()) {}

steering_decision steering::decide(const segment& packet, steady_time now) {
    return packet.syn ? decide_syn(packet, now) : decide_open(packet, now);
}

//----------------------------------------------------------------------------------------------------------------------
// New flows
//----------------------------------------------------------------------------------------------------------------------

steering_decision steering::decide_syn(const segment& packet, steady_time now) {
    if (known_.routing() == nullptr || !known_.complete()) return {verdict::drop, reason::not_synchronized};
    const route* to = known_.find_route(packet.destination);
    if (to == nullptr) {
        // A route may have been added that a balancer without the store does not know.
        if (!known_.store_steady_since()) return {verdict::drop, reason::no_route};
        return {verdict::reset, reason::no_route};
    }
    tracked_flow* earlier = flows_.find(packet);
    if (earlier != nullptr && earlier->open) {
        // A late copy of the SYN of an open flow.
        const known_backend* target = known_.find(earlier->target);
        if (target != nullptr && !target->removed_at) return {verdict::deliver, reason::placed_again, target};
    }
    return place(packet, *to, earlier, now);
}

// Callers count the copies that they send; the network may double a packet, too.
bool steering::is_copy_of(const segment& packet, const tracked_flow& flow) {
    if (flow.closing) return false;
    return packet.acknowledged > 0 || (!flow.open && packet.sequence == flow.sent_to);
}

steering_decision steering::place(const segment& packet, const route& to, tracked_flow* earlier, steady_time now) {
    const bool        is_copy = earlier != nullptr && is_copy_of(packet, *earlier);
    backend_reference except = 0;
    if (is_copy) {
        earlier->copied = true;
        const known_backend* first = known_.find(earlier->target);
        // Copies that come together have waited on the way: the first one has had no time to be answered.
        const bool           early = now - earlier->first_syn < silence_limit();
        const bool           alive = early || flows_.activity(earlier->target).last_sign > earlier->first_syn;
        if (!alive) note_silence(earlier->target, now);
        if (alive && first != nullptr && first->takes_new_flows())
            return {verdict::deliver, reason::placed_again, first};
        except = earlier->target;
    }
    const known_backend* chosen = choose(to, except, now);
    if (chosen == nullptr) return {verdict::reset, reason::no_backend};
    if (is_copy) {
        flows_.move(*earlier, chosen->reference);
    } else {
        flows_.start(packet, chosen->reference, now);
    }
    flows_.note_syn(chosen->reference, now);
    return {verdict::deliver, is_copy ? reason::placed_elsewhere : reason::placed, chosen};
}

std::string_view steering::pick_service(const route& to) {
    std::uint32_t total = 0;
    for (const service_share& share : to.services)
        total += share.weight;
    if (total == 0 || to.services.size() == 1) return to.services.front().service;
    auto position = std::uniform_int_distribution<std::uint32_t>(0, total - 1)(random_);
    for (const service_share& share : to.services) {
        if (position < share.weight) return share.service;
        position -= share.weight;
    }
    return to.services.back().service;
}

// Load pattern: many short flows and long ones with pauses, over backend servers with few slots each, of which some may
// be dark, cold or in another failure domain. Own counts alone: reports lag, and probes take slots.
const known_backend* steering::choose(const route& to, backend_reference except, steady_time now) {
    const known_backend* best = nullptr;
    const known_backend* fallback = nullptr; // of the avoided ones, that whose time ends first
    double               best_cost = std::numeric_limits<double>::infinity();
    const auto           candidates = known_.backends_of(pick_service(to));
    for (const known_backend* candidate : candidates) {
        const backend_activity& seen = flows_.activity(candidate->reference);
        if (seen.unanswered > 0 && now >= seen.unanswered_since + silence_limit())
            note_silence(candidate->reference, now);
        if (candidate->reference == except || now < seen.avoid_until) {
            const bool sooner =
                fallback == nullptr || seen.avoid_until < flows_.activity(fallback->reference).avoid_until;
            if (sooner) fallback = candidate;
            continue;
        }
        const double cost = cost_of(*candidate, seen, now);
        if (cost > best_cost || (cost == best_cost && !is_better_tie(*candidate, *best))) continue;
        best = candidate;
        best_cost = cost;
    }
    return best != nullptr ? best : fallback;
}

// Equal ones take turns, in an order of this balancer's own: balancers that start together must not send their first
// flows to the same backend server.
bool steering::is_better_tie(const known_backend& left, const known_backend& right) {
    const steady_time left_chosen = flows_.activity(left.reference).last_chosen;
    const steady_time right_chosen = flows_.activity(right.reference).last_chosen;
    if (left_chosen != right_chosen) return left_chosen < right_chosen;
    return reference_of(left.reference ^ order_) < reference_of(right.reference ^ order_);
}

double steering::cost_of(const known_backend& candidate, const backend_activity& seen, steady_time now) const {
    const bool   warming = now < candidate.registered + candidate.registration.warmup_left;
    const double slots = std::max(1U, candidate.registration.slots);
    const double load = seen.waiting + seen.unanswered + open_flow_share * seen.open;
    const double cost = (load + 1.0) * (warming ? warmup_factor : 1.0) / slots;
    return candidate.registration.failure_domain == settings_.failure_domain ? cost : cost + other_domain_cost;
}

flow_explanation steering::explain(const endpoint& caller, const endpoint& route_address, steady_time now) const {
    segment packet;
    packet.source = caller;
    packet.destination = route_address;
    flow_explanation found{.to = known_.find_route(route_address), .flow = flows_.find(packet), .candidates = {}};
    if (found.to == nullptr) return found;
    for (const service_share& share : found.to->services) {
        for (const known_backend* each : known_.backends_of(share.service)) {
            const backend_activity& seen = flows_.activity(each->reference);
            found.candidates.push_back({each, cost_of(*each, seen, now), now < seen.avoid_until});
        }
    }
    std::ranges::sort(found.candidates, [](const weighed_backend& left, const weighed_backend& right) {
        return std::pair(left.avoided, left.cost) < std::pair(right.avoided, right.cost);
    });
    return found;
}

void steering::note_silence(backend_reference target, steady_time now) {
    backend_activity& seen = flows_.activity(target);
    seen.unanswered = 0;
    if (now < seen.avoid_until) return;
    seen.avoid_until = now + backoff_limit(avoidance, seen.failures);
    ++seen.failures;
}

// Load pattern: a backend server that answers SYNs with a reset, or not at all, holds no request and would look idle,
// so that it attracted all new flows. A SYN without an answer counts as load, and one that is overdue as silence.
duration steering::silence_limit() const {
    return handshake_factor * flows_.handshake_time() + handshake_margin;
}

//----------------------------------------------------------------------------------------------------------------------
// Later packets
//----------------------------------------------------------------------------------------------------------------------

steering_decision steering::decide_open(const segment& packet, steady_time now) {
    if (known_.routing() == nullptr || !known_.complete()) return {verdict::drop, reason::not_synchronized};
    if (known_.find_route(packet.destination) == nullptr) {
        if (packet.rst) return {verdict::drop, reason::no_route};
        return {known_.store_steady_since() ? verdict::reset : verdict::drop, reason::no_route};
    }
    tracked_flow*     flow = flows_.find(packet);
    backend_reference reference = packet.reference;
    // Two backend servers may have answered copies of the SYN. The flow is at the one whose answer the caller
    // acknowledged first; the reference of a later answer does not move it.
    const bool        pinned = flow != nullptr && flow->open;
    if (pinned) reference = flow->target;
    const known_backend* target = known_.find(reference);
    if (target == nullptr) {
        const bool certain = is_certainly_unknown(reference, now);
        if (packet.rst || !certain) return {verdict::drop, reason::unknown_reference};
        return {verdict::reset, reason::unknown_reference};
    }
    if (target->removed_at) {
        if (packet.rst || !settled(now)) return {verdict::drop, reason::backend_gone};
        return {verdict::reset, reason::backend_gone};
    }
    if (flow == nullptr) {
        flow = flows_.start(packet, reference, now);
        if (flow != nullptr) flow->sent_to = packet.sequence;
    } else if (!flow->open && flow->target != reference) {
        flows_.move(*flow, reference);
    }
    steering_decision decision{verdict::deliver, reason::by_reference, target, flow, {}};
    if (flow != nullptr) decision.progress = flows_.note_packet(*flow, packet, now);
    if (packet.reference != reference) decision.why = reason::by_flow;
    if (decision.progress.repeated && is_stalled(*flow, now)) {
        decision.why = reason::stalled;
        note_silence(reference, now);
    }
    return decision;
}

// Load pattern: a backend server that went dark holds many open flows, whose requests are repeated without progress
// before new flows notice. One of them is enough to send new flows elsewhere.
bool steering::is_stalled(const tracked_flow& flow, steady_time now) {
    const backend_activity& seen = flows_.activity(flow.target);
    return now - flow.progressed >= stall_time && seen.last_sign <= flow.progressed;
}

bool steering::settled(steady_time now) const {
    const auto since = known_.store_steady_since();
    return since && now >= *since + settings_.settle_time;
}

// Load pattern: a new backend server gets flows from balancers that know it, and their packets may come through one
// that does not yet, or that lost the store unnoticed. So only what the store proved after the first such packet
// counts.
bool steering::is_certainly_unknown(backend_reference reference, steady_time now) {
    if (unknown_since_.size() >= max_unknown) unknown_since_.clear();
    const auto [first, is_new] = unknown_since_.try_emplace(reference, now);
    return settled(now) && known_.last_proof() >= first->second + proof_margin;
}

void steering::expire(steady_time now) {
    const routing_table* routing = known_.routing();
    flows_.expire(now, routing == nullptr ? std::chrono::seconds(15) : routing->idle_timeout);
}

} // namespace tamarack::entry
