// The two ends of flows: callers and backend servers, in one process, with what each of them has seen.
#pragma once

#include "soak/packet.h"
#include "tamarack/udp_socket.h"

#include <map>
#include <random>
#include <set>

namespace soak {

using tamarack::duration;
using tamarack::endpoint;
using tamarack::steady_time;

struct caller_flow {
    enum class state : std::uint8_t { opening, open, closed };

    std::uint32_t route_address = 0;
    std::uint16_t route_port = 0;
    std::uint16_t port = 0;
    state         at = state::opening;
    steady_time   started{};
    steady_time   sent_at{};  // last transmission
    unsigned      copies = 0; // of the SYN, or of the request
    unsigned      requests_left = 1;
    std::uint32_t sequence = 0; // next byte to send
    std::uint32_t acknowledged = 0;
    std::uint32_t echo = 0;
    std::string   backend; // whose SYN+ACK was taken
    std::string   request; // not answered yet; empty: none
    steady_time   next_request{};
    unsigned      balancer = 0; // that took the SYN
};

struct backend_flow {
    bool          open = false;
    std::uint32_t sequence = 0; // of the SYN+ACK
};

struct soak_backend {
    enum class state : std::uint8_t { active, draining, dark, crashed };

    std::string                           id;
    std::uint64_t                         identity = 0;
    std::string                           service;
    std::string                           failure_domain;
    endpoint                              address;
    state                                 at = state::active;
    steady_time                           changed_at{};
    steady_time                           leaves_at{};
    std::uint64_t                         sequence = 0; // of its registrations
    std::map<std::uint16_t, backend_flow> flows;        // by the caller's port
    std::unique_ptr<tamarack::udp_socket> socket;

    bool alive() const { return socket != nullptr && (at == state::active || at == state::draining); }
};

} // namespace soak
