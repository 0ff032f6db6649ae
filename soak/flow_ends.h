// State of the two ends of a flow, the caller and the backend server. The process of the soak runs both.
#pragma once

#include "soak/backend_load.h"
#include "soak/packet.h"
#include "tamarack/udp_socket.h"

#include <map>
#include <random>
#include <set>

namespace soak {

using tamarack::endpoint;

struct caller_flow {
    enum class state : std::uint8_t { opening, open, closed };

    std::uint32_t           route_address = 0;
    std::uint16_t           route_port = 0;
    std::uint16_t           port = 0;
    std::size_t             route_index = 0; // in the order of the configuration
    state                   current_state = state::opening;
    steady_time             started_at{};
    steady_time             last_sent_at{};      // time of the last packet
    unsigned                retransmissions = 0; // of the SYN, or of the pending request
    unsigned                remaining_requests = 1;
    std::uint32_t           sequence = 0;     // next byte to send
    std::uint32_t           acknowledged = 0; // next byte expected
    std::uint32_t           reference = 0;    // backend reference from the last answer
    std::string             backend_id;       // id of the backend server whose SYN+ACK was accepted
    std::string             pending_request;  // id of the request without an answer so far; empty: none
    steady_time             next_request_at{};
    unsigned                balancer_index = 0; // of the balancer that got the last packet
    std::array<unsigned, 3> syn_balancers{};    // of those that got the SYN and its copies
};

struct backend_flow {
    bool          is_open = false; // a packet after the SYN has arrived
    std::uint32_t sequence = 0;    // of the SYN+ACK; 0: none sent yet
};

struct soak_backend {
    enum class state : std::uint8_t {
        active,
        draining,     // registered as draining; serves its open flows
        unresponsive, // ignores all packets, as after a failure of its host
        crashed,      // has lost its flows and answers each packet with a RST
    };
    // Independent of the state; the registration stays.
    enum class disturbance : std::uint8_t {
        none,
        slow,    // requests take ten times as long
        hanging, // ignores all packets, but keeps its flows
    };

    std::string                           id;
    std::uint64_t                         identity = 0; // prefixes each packet that a balancer delivers to it
    std::string                           service;
    std::string                           failure_domain;
    endpoint                              address;
    state                                 current_state = state::active;
    steady_time                           changed_at{}; // last change of the state, or last registration
    steady_time                           removal_at{}; // it leaves the run then, unless it is active
    std::uint64_t                         registration_sequence = 0;
    std::map<std::uint16_t, backend_flow> flows; // by the caller's port
    std::unique_ptr<tamarack::udp_socket> socket;
    disturbance                           current_disturbance = disturbance::none;
    steady_time                           disturbance_ends_at{};
    std::optional<steady_time>            last_hang_ended_at;
    work_queue<packet>                    requests;
    warmup_state                          warmup;

    bool is_alive() const {
        return socket != nullptr && (current_state == state::active || current_state == state::draining);
    }
    bool is_hanging() const { return current_disturbance == disturbance::hanging; }
    // Balancers may still take it for hanging for a while after that.
    bool was_hanging_since(steady_time time) const {
        return is_hanging() || (last_hang_ended_at && *last_hang_ended_at > time);
    }
};

} // namespace soak
