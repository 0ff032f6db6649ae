// Maps the counters of all modules to the metric names that the administration interface shows.
#pragma once

#include "tamarack/configuration_replica.h"
#include "tamarack/control_channel.h"
#include "tamarack/forwarder.h"
#include "tamarack/health.h"
#include "tamarack/membership.h"

namespace tamarack {

using named_counters = std::map<std::string, std::uint64_t>;

// Adds the counters to totals. Existing values are incremented, so that the partitions of a balancer are summed.
void add_counters(const forwarder_counters& counters, named_counters& totals);
void add_counters(const control_channel_counters& counters, named_counters& totals);
void add_counters(const membership_counters& counters, named_counters& totals);
void add_counters(const health_counters& counters, named_counters& totals);
void add_counters(const replica_counters& counters, named_counters& totals);

} // namespace tamarack
