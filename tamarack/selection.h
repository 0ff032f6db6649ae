// Selection of a backend server for a new flow: see docs/design.md section 2.3.
//
// A policy is a class that satisfies the concept backend_selector; the forwarder takes it as a setting
// (selection_policy).
#pragma once

#include "tamarack/flow_table.h"
#include "tamarack/service_index.h"

#include <concepts>

namespace tamarack {

inline constexpr duration slow_start_time = std::chrono::seconds(30);
inline constexpr double   slow_start_floor = 0.1; // share of the weight at the moment of joining

// Input of a selection policy.
struct selection_input {
    const service&       target;
    const service_index& index;
    const flow_table&    flows;
    const flow_key&      key;
    wall_time            now{};
    std::uint32_t        member_count = 1; // number of balancers that share the limits
    // Select by the hash alone, not by load. Set while the balancers' membership views may differ: several of them may
    // then act as owner of the flow, and must select the same backend server.
    bool                 hash_only = false;
};

template <class Policy>
concept backend_selector = requires(const Policy& policy, const selection_input& input) {
    { policy.select(input) } -> std::same_as<const indexed_server*>; // nullptr: no backend server can take the flow
};

// Weight of the backend server, reduced during slow start; 0 if it takes no new flows.
double effective_weight(const indexed_server& candidate, wall_time now);

// Power of two choices: of the two best by weighted rendezvous hash, the one with the lower load per weight. The
// default.
struct two_choices_by_load {
    const indexed_server* select(const selection_input& input) const;
};

// The best by weighted rendezvous hash.
struct weighted_hash {
    const indexed_server* select(const selection_input& input) const;
};

// The best by weighted rendezvous hash among those that hold at most max_overload times their share of the flows.
struct bounded_load_hash {
    static constexpr double max_overload = 1.1;

    const indexed_server* select(const selection_input& input) const;
};

static_assert(backend_selector<two_choices_by_load> && backend_selector<weighted_hash> &&
              backend_selector<bounded_load_hash>);

const indexed_server* select(selection_policy policy, const selection_input& input);

} // namespace tamarack
