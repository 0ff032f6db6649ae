// Balancers that the benchmark compares with. They use a real node for configuration and membership, so that revisions
// reach them at the same time, and replace only the decision for each packet.
#pragma once

#include "fakes/cluster.h"

namespace fakes {

enum class baseline {
    hash_modulo,      // hash modulo the active backend servers
    consistent_hash,  // rendezvous hash over the active backend servers, no state
    local_flow_table, // the same with a flow table on each balancer
    least_loaded,     // one table for all balancers, and each new flow to the backend server with the fewest flows: the
                      // bound
};

std::string_view to_string(baseline kind);

// Balancers of the given kind. Those made by one factory share what the kind shares.
cluster::balancer_factory baseline_factory(baseline kind);

} // namespace fakes
