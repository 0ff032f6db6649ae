// Selection of a backend server for a new flow: see docs/design.md section 2.3.
//
// A policy is a class that meets backend_selector; the forwarder takes it as a setting (selection_policy).
#pragma once

#include "tamarack/flow_table.h"
#include "tamarack/service_index.h"

#include <concepts>

namespace tamarack {

inline constexpr duration slow_start_time = std::chrono::seconds(30);
inline constexpr double   slow_start_floor = 0.1; // share of the weight at the moment of joining

// What a policy may look at.
struct selection_input {
    const service&       target;
    const service_index& index;
    const flow_table&    flows;
    const flow_key&      key;
    wall_time            now{};
    std::uint32_t        members = 1;       // balancers that share the limits
    bool                 hash_only = false; // views may differ: independent owners must select alike
};

template <class Policy>
concept backend_selector = requires(const Policy& policy, const selection_input& input) {
    { policy.select(input) } -> std::same_as<const indexed_server*>; // null: none can take the flow
};

// Weight with slow start; 0 if the backend server takes no new flow.
double effective_weight(const indexed_server& candidate, wall_time now);

// The two best by weighted rendezvous hash of the flow; the lower score wins. The default.
struct two_choices_by_load {
    const indexed_server* select(const selection_input& input) const;
};

// The best by weighted rendezvous hash.
struct weighted_hash {
    const indexed_server* select(const selection_input& input) const;
};

// The best by weighted rendezvous hash among those that hold at most bound times their share.
struct bounded_load_hash {
    static constexpr double bound = 1.1;

    const indexed_server* select(const selection_input& input) const;
};

static_assert(backend_selector<two_choices_by_load> && backend_selector<weighted_hash> &&
              backend_selector<bounded_load_hash>);

const indexed_server* select(selection_policy policy, const selection_input& input);

} // namespace tamarack
