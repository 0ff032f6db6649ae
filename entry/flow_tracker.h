// What the packets of callers show: which flows are open, which requests wait for an answer, and which backend servers
// answer. It only improves decisions: a balancer without it forwards every packet by its reference alone.
//
// Load pattern: callers' packets reach backend servers through several balancers, and answers pass none of them. So the
// progress of a caller's acknowledgements is the only evidence of an answer.
#pragma once

#include "entry/model.h"

namespace tamarack::entry {

// Load and signs of life of one backend server, as seen by this balancer.
struct backend_activity {
    std::uint32_t waiting = 0;        // flows whose request has no answer yet
    std::uint32_t open = 0;           // flows
    steady_time   last_sign{};        // of life: a caller acknowledged something new
    steady_time   last_chosen{};      // for a new flow
    steady_time   avoid_until{};      // no new flow before; the epoch: not avoided
    unsigned      failures = 0;       // in a row, without a sign of life between
    unsigned      unanswered = 0;     // SYNs since the last sign of life
    steady_time   unanswered_since{}; // the first of them
};

struct tracked_flow {
    backend_reference target = 0;
    std::uint32_t     sent_to = 0;      // end of the caller's data, so far
    std::uint32_t     acknowledged = 0; // by the caller
    steady_time       first_syn{};
    steady_time       last_seen{};
    steady_time       progressed{};     // last new data or acknowledgement
    steady_time       request_at{};     // when the waiting request came
    std::string       request_id{};     // of the last request; empty: none seen
    bool              copied = false;   // a copy of its SYN was seen
    bool              seen_syn = false; // the handshake passed this balancer
    bool              open = false;     // the caller has sent something after its SYN
    bool              waiting = false;  // a request without an answer
    bool              closing = false;  // FIN or RST seen
};

// What a packet showed about its flow.
struct flow_progress {
    std::optional<duration> handshake;        // from the SYN to the caller's answer to the SYN+ACK
    std::optional<duration> answered;         // from the request to the caller's first acknowledgement of an answer
    bool                    repeated = false; // data that was sent before
};

class flow_tracker {
public:
    explicit flow_tracker(std::size_t capacity) : capacity_(capacity) {}

    tracked_flow*       find(const segment& packet);
    const tracked_flow* find(const segment& packet) const;
    // Starts or restarts a flow; null when the table is full.
    tracked_flow*       start(const segment& packet, backend_reference target, steady_time now);
    // Takes a later packet of the flow into account.
    flow_progress       note_packet(tracked_flow& flow, const segment& packet, steady_time now);
    // Moves a flow that is not open to another backend server.
    void                move(tracked_flow& flow, backend_reference target);

    // A SYN goes to the backend server.
    void     note_syn(backend_reference target, steady_time now);
    // How long the caller's answer to a SYN+ACK usually takes, from the SYN on.
    duration handshake_time() const { return handshake_time_; }

    backend_activity&       activity(backend_reference target) { return activity_[target]; }
    // Without any flow or sign for one that has not been seen.
    const backend_activity& activity(backend_reference target) const;
    const backend_activity* find_activity(backend_reference target) const;
    std::size_t             size() const { return flows_.size(); }
    std::size_t             activity_size() const { return activity_.size(); } // backend servers
    // Forgets flows idle for longer than the timeout, a part of the table with each call, and what is known of backend
    // servers that have had no flow for long.
    void                    expire(steady_time now, duration idle_timeout);

private:
    static std::uint64_t key_of(const segment& packet);
    void                 note_sign(backend_activity& target, steady_time now);
    void                 stop_waiting(tracked_flow& flow);
    void                 close(tracked_flow& flow);
    void                 expire_activity(steady_time now);

    std::size_t                                             capacity_; // flows
    std::unordered_map<std::uint64_t, tracked_flow>         flows_; // by hash of the caller's and the route's address
    std::unordered_map<backend_reference, backend_activity> activity_;
    duration                                                handshake_time_ = std::chrono::milliseconds(10); // smoothed
    std::uint64_t                                           scan_position_ = 0; // bucket at which expire goes on
    steady_time                                             activity_scan_due_{};
};

} // namespace tamarack::entry
