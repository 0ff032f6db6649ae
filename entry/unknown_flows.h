// Remembers when the first packet arrived of each flow that names something which the replica lacks.
//
// Load pattern: callers change the balancer with open flows, also while their new balancer lags behind the store. What
// such a flow names had been written to the store before its first packet arrived here, so that only a confirmation by
// the store after that packet shows that it is gone.
#pragma once

#include "entry/flow_tracker.h"

namespace tamarack::entry {

class unknown_flows {
public:
    // Arrival of the flow's first packet; now, if this is it.
    steady_time first_packet(const segment& packet, steady_time now);
    // Forgets flows without recent packets.
    void        expire(steady_time now);

private:
    struct arrival_times {
        steady_time first{};
        steady_time last{};
    };

    std::unordered_map<flow_key, arrival_times> arrivals_;
};

} // namespace tamarack::entry
