// Callers' packets: GUE encapsulation, IPv4/IPv6 with TCP, UDP and ICMP, flow keys, and replies to the caller.
//
// Parsers accept untrusted bytes: they check every length, modify nothing and allocate nothing.
#pragma once

#include "tamarack/result.h"
#include "tamarack/tamarack.h"

namespace tamarack {

enum class packet_error : std::uint8_t {
    truncated,
    bad_gue_header,
    bad_ip_header,
    fragment,
    unsupported_protocol,
    bad_transport_header,
};

std::string_view to_string(packet_error error);

// 128-bit hash of a flow tuple. Equal keys are treated as the same flow (probability 2^-64 per pair to be wrong).
struct flow_key {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend bool operator==(const flow_key&, const flow_key&) = default;
};

// XXH3-128 with hash_seed, which must be the same on all balancers of the cluster.
flow_key make_flow_key(const flow_tuple& flow, std::uint64_t hash_seed);

// Fields of an inner packet that the forwarder needs.
struct packet_info {
    flow_tuple    flow;               // from caller to service, also for an ICMP error that quotes a reply
    bool          icmp_error = false; // an ICMP error that quotes a packet of the flow
    bool          syn = false;        // TCP: SYN without ACK
    bool          fin = false;
    bool          rst = false;
    std::uint32_t sequence = 0;        // TCP
    std::uint32_t acknowledgement = 0; // TCP; 0 if ACK is not set
    std::uint32_t payload_size = 0;    // bytes after the transport header
};

inline constexpr std::size_t gue_header_size = 4;

using gue_header = std::array<std::byte, gue_header_size>;

// Header for an inner packet of the given IP version (4 or 6): variant 0, no optional fields.
gue_header make_gue_header(bool inner_is_v4);

// Returns the inner packet of a GUE packet (the payload of the outer UDP datagram).
result<byte_view, packet_error> decapsulate(byte_view udp_payload);

// Parses an inner IP packet.
result<packet_info, packet_error> parse_packet(byte_view inner);

// Replies that a balancer sends to the caller with the service's address as their source. These functions append a
// whole IP packet with valid checksums to out.

// Appends a RST for a caller's TCP packet (RFC 9293 section 3.5.2), or nothing if the packet is itself a RST.
void append_tcp_reset(const packet_info& packet, std::vector<std::byte>& out);

// Appends an ICMP or ICMPv6 destination unreachable (port unreachable) message that quotes the packet.
void append_port_unreachable(byte_view inner, const packet_info& packet, std::vector<std::byte>& out);

} // namespace tamarack
