// The functions of a balancer that the administration interface uses. The daemon's control loop implements them; all
// calls are made on the control thread.
#pragma once

#include "tamarack/metrics.h"
#include "tamarack/node.h"

namespace tamarack {

// Totals of the flow table over all partitions of a balancer.
struct flow_summary {
    std::uint64_t                              held = 0;
    std::uint64_t                              capacity = 0;
    std::uint64_t                              memory_bytes = 0;
    std::optional<std::uint64_t>               unreplicated; // held by no other balancer; set only while leaving
    std::map<backend_server_id, std::uint64_t> counts;
};

using change_callback = std::function<void(const change_result&)>;

class administered_balancer {
public:
    administered_balancer() = default;
    administered_balancer(const administered_balancer&) = delete;
    administered_balancer& operator=(const administered_balancer&) = delete;
    virtual ~administered_balancer() = default;

    // Calls the callback once, on the control thread: before submit() returns, or later. If the balancer ends first,
    // the callback is not called.
    virtual void       submit(const change_request& request, change_callback callback) = 0;
    virtual void       begin_stop(std::string_view initiator) = 0;
    virtual stop_state state() const = 0;

    virtual const member&               self() const = 0;
    virtual const clock&                time() const = 0;
    virtual const configuration&        current() const = 0;
    virtual std::vector<change_record>  recent_changes() const = 0; // oldest first
    virtual std::vector<member_status>  members() const = 0;
    virtual std::vector<backend_status> statuses() const = 0; // a backend server without one is available and neutral
    virtual counter_map                 counters() const = 0;
    virtual distribution_map            distributions() const = 0;
    virtual flow_summary                flows() = 0;
    virtual flow_explanation            explain(const flow_tuple& flow) = 0;
};

} // namespace tamarack
