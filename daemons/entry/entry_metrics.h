// Counters and distributions of the entry balancer, in the form that collectors read.
#pragma once

#include "daemons/entry/packet_port.h"

namespace tamarack::entry {

// What the event loop knows beside the packets.
struct process_status {
    bool                                 ready = false;
    bool                                 feeding = false;
    std::size_t                          followers = 0;
    std::size_t                          flows = 0;
    std::uint64_t                        rejected_calls = 0; // of followers without a proof
    std::map<std::string, std::uint64_t> calls;              // reading and claiming calls, by result
};

std::string metrics_text(const packet_counters& packets, const process_status& status, const replica& known,
                         steady_time now);

} // namespace tamarack::entry
