// Counters of all parts under the names that the administration interface shows.
#pragma once

#include "tamarack/configuration_replica.h"
#include "tamarack/control_channel.h"
#include "tamarack/forwarder.h"
#include "tamarack/health.h"
#include "tamarack/membership.h"

namespace tamarack {

using named_counters = std::map<std::string, std::uint64_t>;

// Adds to the rows that are there already, so that the partitions of a balancer sum up.
void add_counters(const forwarder_counters& counters, named_counters& all);
void add_counters(const control_channel_counters& counters, named_counters& all);
void add_counters(const membership_counters& counters, named_counters& all);
void add_counters(const health_counters& counters, named_counters& all);
void add_counters(const replica_counters& counters, named_counters& all);

} // namespace tamarack
