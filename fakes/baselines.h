// Baseline balancers that the benchmark compares the node with. They use a real node for configuration and membership,
// so that revisions reach them at the same time, and replace only the decision for each packet.
#pragma once

#include "fakes/cluster.h"

namespace fakes {

enum class baseline {
    hash_modulo,      // hash modulo the active backend servers
    consistent_hash,  // rendezvous hash over the active backend servers, no state
    local_flow_table, // consistent_hash for new flows, with a flow table on each balancer
    least_loaded,     // one flow table shared by all balancers; each new flow goes to the backend server with the
                      // fewest flows. Upper bound for the quality of the balancing
};

std::string_view to_string(baseline kind);

// Creates balancers of the given kind. All least_loaded balancers of one factory share a flow table.
cluster::balancer_factory baseline_factory(baseline kind);

} // namespace fakes
