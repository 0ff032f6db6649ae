// Metrics of the entry balancer in the text exposition format that collectors read.
#pragma once

#include "daemons/entry/packet_handler.h"
#include "daemons/entry/report_socket.h"

namespace tamarack::entry {

// State of the process other than the packet counters.
struct process_status {
    bool                                 is_ready = false;
    bool                                 is_feeder = false;
    std::size_t                          follower_count = 0;
    std::size_t                          flow_count = 0;
    std::size_t                          avoided_backend_servers = 0; // since they do not respond
    std::size_t                          slow_backend_servers = 0;    // with fewer new flows for it
    std::uint64_t                        rejected_requests = 0;       // of followers without the feeder's key
    unsigned                             restarts = 0;                // of this process, after exceptions
    std::uint64_t                        omitted_log_lines = 0;       // beyond their rate, or dropped
    std::uint64_t                        dropped_log_lines = 0;       // the reader of the log was too far behind
    std::uint64_t                        store_fallbacks = 0;         // reads of the store in place of other balancers
    duration                             change_bound{};              // from a change to its use while a source is lost
    std::uint64_t                        failed_accepts = 0;
    std::size_t                          missing_listeners = 0;    // optional ones that are not open
    std::uint64_t                        warmup_flows = 0;         // placed on backend servers under a warm-up limit
    std::size_t                          warmup_servers = 0;       // backend servers under a warm-up limit
    std::size_t                          warmup_servers_owned = 0; // of these: the balancer may place flows on them
    report_counters                      reports;
    report_datagram_counters             report_datagrams;
    std::map<std::string, std::uint64_t> calls_by_result; // by outcome of a read, or "claim_" + that of a claim
    std::map<std::string, std::uint64_t> calls_by_kind;   // by source and kind of call
    counter_map                          load_metrics;    // see below
};

// Admission and spillover; of the shares and the delay that of the service with the least capacity.
counter_map load_metrics(const steering& flow_steering);

std::string format_metrics(const packet_counters& packets, const pending_syns& pending, const process_status& status,
                           const replica& store_replica, steady_time now);

} // namespace tamarack::entry
