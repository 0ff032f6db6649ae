// Infers from the packets of callers which flows are open, which requests wait for an answer, and which backend servers
// respond. This information only improves decisions: without it, a balancer forwards every packet by its reference.
//
// Load pattern: callers' packets reach backend servers through several balancers, and answers bypass the balancers. An
// answer can therefore only be inferred from the advance of the caller's acknowledgement numbers.
#pragma once

#include "entry/model.h"

#include <unordered_set>

namespace tamarack::entry {

// Load and responsiveness of one backend server, as observed by this balancer.
struct backend_activity {
    std::uint32_t waiting_flows = 0;        // open flows whose request has no answer yet
    std::uint32_t open_flows = 0;           // waiting or not
    steady_time   last_response{};          // a caller last acknowledged new data
    steady_time   last_chosen{};            // for a new flow
    steady_time   avoid_until{};            // gets no new flows before it; the epoch: not avoided
    unsigned      consecutive_failures = 0; // without a response in between
    unsigned      unanswered_syns = 0;      // since the last response
    steady_time   first_unanswered_syn{};   // when the first of them was forwarded
};

// Hash of the caller's and the route's address. Flows with the same hash share an entry wherever it is the key.
using flow_key = std::uint64_t;
flow_key key_of(const segment& packet);

struct tracked_flow {
    endpoint          caller;
    endpoint          route_address;
    backend_reference reference = 0;                 // of the flow's backend server
    std::uint64_t     identity = 0;                  // of the flow's backend server; certain if syn_was_seen
    std::uint32_t     syn_sequence = 0;              // valid if syn_was_seen
    std::uint32_t     next_sequence = 0;             // sequence number after the data that the caller has sent
    std::uint32_t     acknowledged = 0;              // by the caller
    steady_time       first_syn{};                   // when it was forwarded; if no SYN was seen, the first packet
    steady_time       last_seen{};                   // last packet
    steady_time       last_progress{};               // last new data or acknowledgement of the caller
    steady_time       request_received{};            // start of the request that waits for an answer
    std::string       request_id{};                  // of the last request; empty: none seen
    bool              syn_was_retransmitted = false; // a retransmission of its SYN was seen
    bool              syn_was_seen = false;          // the SYN passed this balancer
    bool              is_open = false;               // the caller has sent a packet after its SYN
    bool              is_waiting = false;            // a request has no answer yet
    bool              is_overdue = false;            // its last request waited for much longer than usual
    bool              is_closing = false;            // FIN or RST seen

    // The identity of a flow that another balancer has placed is that of the reference's holder, as known here when its
    // last packet came, and may be wrong.
    backend_id backend() const { return {reference, syn_was_seen ? identity : 0}; }
};

// What a packet shows about its flow.
struct flow_progress {
    std::optional<duration> handshake_time{};          // from the SYN to the caller's answer to the SYN+ACK
    std::optional<duration> answer_time{};             // from the request to the first acknowledgement of an answer
    bool                    starts_request = false;    // on a flow that waited for no answer
    std::uint32_t           answered_bytes = 0;        // that the acknowledgement of answer_time covers
    bool                    is_retransmission = false; // it carries data that the caller has sent before
};

class flow_tracker {
public:
    explicit flow_tracker(std::size_t capacity) : capacity_(capacity) {}
    // A copy that knows the activity of the backend servers, but no flow.
    flow_tracker without_flows() const;

    tracked_flow*       find(const segment& packet);
    const tracked_flow* find(const segment& packet) const;
    tracked_flow*       find(flow_key key);
    // Starts or restarts a flow; null if the table is full.
    tracked_flow*       start(const segment& packet, const backend_id& backend, steady_time now);
    // Updates the flow and its backend server's activity from a packet after the SYN.
    flow_progress       note_packet(tracked_flow& flow, const segment& packet, steady_time now);
    // Assigns a flow that is not open to another backend server.
    void                reassign(tracked_flow& flow, const backend_id& backend);

    // Open flows of the backend servers with these identities that wait for no answer. Checks the whole table.
    std::vector<tracked_flow*> idle_flows(const std::unordered_set<std::uint64_t>& identities);
    // The flow has been reset.
    void                       note_reset(tracked_flow& flow, steady_time now);

    // A SYN is forwarded to the backend server.
    void     note_syn(backend_reference reference, steady_time now);
    // Smoothed time from a SYN to the caller's answer to the SYN+ACK.
    duration handshake_time() const { return handshake_time_; }

    backend_activity&       activity(backend_reference reference) { return activity_[reference]; }
    // An empty activity for a backend server that is not tracked.
    const backend_activity& activity(backend_reference reference) const;
    const backend_activity* find_activity(backend_reference reference) const;
    std::size_t             flow_count() const { return flows_.size(); }
    std::size_t             activity_count() const { return activity_.size(); } // backend servers
    // Forgets flows that were idle for longer than the timeout, and the activity of backend servers that have had no
    // flow for minutes. Each call checks a part of the flow table.
    void                    expire(steady_time now, duration idle_timeout);

private:
    void note_response(backend_activity& activity, steady_time now);
    void stop_waiting(tracked_flow& flow);
    void close(tracked_flow& flow);
    void expire_activity(steady_time now);

    std::size_t                                             capacity_; // flows
    std::unordered_map<flow_key, tracked_flow>              flows_;
    std::unordered_map<backend_reference, backend_activity> activity_;
    duration                                                handshake_time_ = std::chrono::milliseconds(10); // smoothed
    std::uint64_t                                           next_scan_bucket_ = 0; // where expire continues
    steady_time                                             activity_scan_due_{};
};

} // namespace tamarack::entry
