// Selection policies for new flows.
#include "tamarack/selection.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

// Uniform in (0, 1), from the flow and the backend server (SplitMix64 finalizer).
double uniform_hash(const flow_key& key, backend_server_id id) {
    std::uint64_t value = key.high ^ (std::uint64_t{id} * 0x9e3779b97f4a7c15U);
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    value ^= value >> 31U;
    constexpr double two_to_53 = 9007199254740992.0;
    return (static_cast<double>(value >> 11U) + 0.5) / two_to_53;
}

// Weighted rendezvous hashing: a backend server has the highest value with a probability proportional to its weight.
double rendezvous_value(const flow_key& key, backend_server_id id, double weight) {
    return -weight / std::log(uniform_hash(key, id));
}

// Each placement is held by two balancers, so a balancer holds about 2 / member_count of the flows of the cluster.
double held_share(std::uint32_t member_count) {
    return member_count < 2 ? 1.0 : 2.0 / member_count;
}

bool at_limit(const indexed_server& candidate, const selection_input& input) {
    const std::uint32_t limit = candidate.server->limits.max_flows;
    if (limit == 0) return false;
    return static_cast<double>(input.flows.backend_flow_count(candidate.server->id)) >=
           std::ceil(limit * held_share(input.member_count));
}

struct weighted_candidate {
    const indexed_server* server = nullptr;
    double                weight = 0;
    double                value = 0; // rendezvous
};

// Calls visit with each backend server that can take the flow.
template <class Visitor>
void for_each_candidate(const selection_input& input, const Visitor& visit) {
    for (const auto& item : input.target.backend_servers) {
        const indexed_server* server = input.index.server(item.id);
        if (server == nullptr) continue;
        const double weight = effective_weight(*server, input.now);
        if (weight <= 0 || at_limit(*server, input)) continue;
        visit(weighted_candidate{server, weight, rendezvous_value(input.key, item.id, weight)});
    }
}

// Flows per weight with the new flow included, multiplied by the load penalty.
double load_score(const weighted_candidate& candidate, const flow_table& flows) {
    const double held_flows = static_cast<double>(flows.backend_flow_count(candidate.server->server->id)) + 1;
    return held_flows / candidate.weight * static_cast<double>(candidate.server->status.load_penalty);
}

} // namespace

double effective_weight(const indexed_server& candidate, wall_time now) {
    const backend_server& server = *candidate.server;
    if (server.state != backend_state::active || !candidate.status.available) return 0;
    const double full_weight = server.weight;
    const auto   age = now - server.joined;
    if (age >= slow_start_time) return full_weight;
    const double progress =
        std::max(0.0, std::chrono::duration<double>(age) / std::chrono::duration<double>(slow_start_time));
    return full_weight * std::max(slow_start_floor, progress);
}

const indexed_server* two_choices_by_load::select(const selection_input& input) const {
    if (input.hash_only) return weighted_hash{}.select(input);
    weighted_candidate first;
    weighted_candidate second;
    for_each_candidate(input, [&](const weighted_candidate& candidate) {
        if (candidate.value > first.value) {
            second = first;
            first = candidate;
        } else if (candidate.value > second.value) {
            second = candidate;
        }
    });
    if (second.server == nullptr) return first.server;
    return load_score(second, input.flows) < load_score(first, input.flows) ? second.server : first.server;
}

const indexed_server* weighted_hash::select(const selection_input& input) const {
    weighted_candidate best;
    for_each_candidate(input, [&](const weighted_candidate& candidate) {
        if (candidate.value > best.value) best = candidate;
    });
    return best.server;
}

const indexed_server* bounded_load_hash::select(const selection_input& input) const {
    double total_weight = 0;
    double total_flows = 1;
    for_each_candidate(input, [&](const weighted_candidate& candidate) {
        total_weight += candidate.weight;
        total_flows += static_cast<double>(input.flows.backend_flow_count(candidate.server->server->id));
    });
    weighted_candidate best;
    for_each_candidate(input, [&](const weighted_candidate& candidate) {
        const double allowed = std::ceil(max_overload * total_flows * candidate.weight / total_weight);
        const double held_flows = static_cast<double>(input.flows.backend_flow_count(candidate.server->server->id));
        if (held_flows < allowed && candidate.value > best.value) best = candidate;
    });
    return best.server;
}

const indexed_server* select(selection_policy policy, const selection_input& input) {
    switch (policy) {
    case selection_policy::two_choices_by_load:
        return two_choices_by_load{}.select(input);
    case selection_policy::weighted_hash:
        return weighted_hash{}.select(input);
    case selection_policy::bounded_load_hash:
        return bounded_load_hash{}.select(input);
    }
    return nullptr;
}

} // namespace tamarack
