// Decides on each packet of a caller: which backend server receives it, or whether the caller gets a reset.
//
// A packet of an open flow goes to the backend server that its reference names, through whichever balancer it arrives.
// A SYN goes to the least loaded backend server, preferably of the own failure domain. The backend server then sends
// its reference to the caller, which adds it to the flow's packets.
#pragma once

#include "entry/admission.h"
#include "entry/placement.h"
#include "entry/removed_backends.h"
#include "entry/spillover.h"
#include "entry/unknown_flows.h"

namespace tamarack::entry {

enum class packet_action : std::uint8_t {
    deliver, // to the backend server
    reset,   // tell the caller that the flow is over
    drop,    // the caller retransmits it
};

// Reason for a decision; names a counter and is a log field.
enum class decision_reason : std::uint8_t {
    placed,            // new flow
    placed_again,      // retransmitted SYN, delivered to the same backend server
    placed_elsewhere,  // retransmitted SYN; the first backend server has not responded
    by_reference,      // later packet
    stalled,           // later packet that retransmits data; the backend server has not responded in the meantime
    by_flow,           // later packet whose reference differs from the backend server that the flow is pinned to
    no_route,          // no route has the address
    no_backend,        // the service has no backend server that takes new flows
    not_synchronized,  // the replica is not complete yet
    unknown_reference, // no backend server has the reference; it may belong to one that is not known yet
    backend_gone,      // the flow's backend server has been removed
    not_admitted,      // new flow; the service is short of capacity, and others go first
};
inline constexpr std::size_t decision_reason_count = 12;

std::string_view to_string(packet_action action); // past tense, as the outcome of a packet
std::string_view to_string(decision_reason reason);

struct steering_decision {
    packet_action        action = packet_action::drop;
    decision_reason      reason = decision_reason::not_synchronized;
    const known_backend* backend = nullptr; // set if delivered; valid until the replica changes
    const tracked_flow*  flow = nullptr;    // of a later packet, if tracked; valid until the next decision
    flow_progress        progress{};        // what the packet shows about its flow
};

// Whether a service takes new flows of a route, and where they go.
struct service_flow_status {
    std::string                   service;
    admission_status              status{};
    double                        admitted_share = 1.0; // of the route's new flows
    std::map<std::string, double> spilled{};            // part of the flows that goes to other failure domains, by name
};

// Explains the destination of a flow. The pointers are valid until the next packet or change of the replica.
struct flow_explanation {
    const route*                     matched_route = nullptr; // null: no route has the address
    const tracked_flow*              flow = nullptr;          // null: this balancer does not track the flow
    steering_decision                next_decision{}; // if the next packet is the SYN of a new flow on the route
    std::vector<backend_candidate>   candidates{};    // for that flow; those that may be chosen first
    std::vector<service_flow_status> outlooks{};      // by service of the route
};

struct steering_settings {
    std::string           failure_domain; // of this balancer
    region_map            regions{};      // by failure domain
    std::size_t           flow_capacity = 65'536;
    warmup_limit_settings warmup{};
    // After the first synchronization and after an outage of the store, no flow is reset for an unknown reference or a
    // removed backend server during this time.
    duration              settle_time = std::chrono::seconds(4);
};

class steering {
public:
    steering(const steering_settings& settings, const replica& store_replica, std::uint64_t random_seed);
    steering(const steering&) = delete; // some members refer to others
    steering& operator=(const steering&) = delete;

    steering_decision         decide(const segment& packet, steady_time now);
    flow_explanation          explain(const endpoint& caller, const endpoint& route_address, steady_time now) const;
    // Idle flows whose backend server has ended, to be reset now: the segments name the caller, the route and the
    // caller's last acknowledgement. To be called at every tick.
    std::vector<segment>      end_orphaned_flows(steady_time now);
    void                      expire(steady_time now);
    const flow_tracker&       flows() const { return flows_; }
    const warmup_limit&       warmup() const { return placement_.warmup(); }
    // The process was paused, and packets have waited meanwhile.
    void                      note_pause(steady_time now);
    backend_conditions&       conditions() { return conditions_; }
    const backend_conditions& conditions() const { return conditions_; }
    admission&                new_flow_admission() { return admission_; }
    const admission&          new_flow_admission() const { return admission_; }
    const spillover&          new_flow_spillover() const { return spillover_; }

private:
    // A copy for trying a decision. All parts that decide on new flows are copied; the flows are not, since they are
    // many and concern other packets only.
    struct without_flows {};
    steering(const steering& other, without_flows);

    steering_decision decide_syn(const segment& packet, steady_time now);
    steering_decision decide_later_packet(const segment& packet, steady_time now);
    static bool       is_syn_of_other_flow(const segment& packet, const tracked_flow& flow);
    static bool       is_syn_retransmission(const segment& packet, const tracked_flow& flow);
    steering_decision place(const segment& packet, const route& matched_route, tracked_flow* tracked, steady_time now);
    void note_progress(const route& matched_route, const known_backend& backend, const flow_progress& progress,
                       steady_time now);
    bool is_stalled(const tracked_flow& flow, steady_time now);
    bool is_settled(steady_time now) const;
    // Also records when the first packet of the flow arrived, if it is this one.
    bool is_confirmed_since_first_packet(const segment& packet, steady_time now);
    static steering_decision refuse_syn(const segment& packet, decision_reason reason, bool is_tracked);
    static steering_decision refuse(const segment& packet, decision_reason reason, bool is_proved);
    steering_decision        refuse_unrouted(const segment& packet, const tracked_flow* flow, steady_time now);
    steering_decision refuse_removed(const segment& packet, const known_backend& backend, const tracked_flow* flow,
                                     steady_time now);

    steering_settings  settings_;
    const replica&     store_replica_;
    flow_tracker       flows_;
    backend_conditions conditions_;
    placement          placement_;
    congestion         congestion_;
    admission          admission_;
    spillover          spillover_;
    removed_backends   removed_backends_;
    unknown_flows      unknown_flows_; // whose route or backend server the replica lacks
};

} // namespace tamarack::entry
