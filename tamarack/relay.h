// Relay frames carry callers' packets between balancers, with the placement of their flow.
//
// A frame is a fixed header (Boost.Endian), the inner packet, and a SipHash-2-4 MAC over both. See docs/design.md
// sections 2.2 and 2.6.
#pragma once

#include "tamarack/flow_table.h"

namespace tamarack {

enum class relay_kind : std::uint8_t {
    forward = 1, // to the owner
    place = 2,   // from the owner along a route that ends at the second holder
    adopt = 3,   // to the owner: placement of a holder, which wins over a proposed one; without a packet
    lookup = 4,  // from the owner along a route of candidates, to find the placement
    offer = 5,   // to the owner: a packet with a placement from outside the current pair of holders
    decline = 6, // to the owner: the packet of a place frame with a different placement to use instead
};

inline constexpr std::size_t  max_route_length = 4;
inline constexpr std::uint8_t max_relay_hops = 10;       // forward, lookup route, answer to the owner, place route
inline constexpr std::uint8_t max_first_answer_hops = 6; // forward, place route, answer to the owner
inline constexpr std::size_t  relay_mac_size = 8;

// Wire representation of a placement. backend_server 0 in a place frame proposes to refuse the flow.
struct placement_record {
    backend_server_id backend_server = 0;
    service_id        service = 0;
    endpoint          tunnel;                        // lets a hop with an older configuration deliver the packet
    std::uint16_t     generation = 1;                // incremented when a 5-tuple is used again after its flow ended
    bool              possibly_delivered = false;    // sent before: must not be replaced by another choice
    bool              acknowledged = false;          // acknowledged by a holder: wins over an unacknowledged one
    bool              unverified = false;            // unused since before a pause: any other placement wins over it
    flow_state        state = flow_state::half_open; // as known to the sender
    std::uint32_t     sequence_mark = 0;             // see placement::sequence_mark; 0 for an established flow

    friend bool operator==(const placement_record&, const placement_record&) = default;
};

// Acknowledgement of place frames that the recipient of the frame has sent.
struct place_acknowledgement {
    std::uint32_t highest = 0; // highest sequence number received; 0: none
    std::uint64_t earlier = 0; // bit i is set if highest - 1 - i was received

    friend bool operator==(const place_acknowledgement&, const place_acknowledgement&) = default;
};

// Hash of a member id and its incarnation. Never 0. Two tokens are equal by chance with probability 2^-31.
std::uint32_t incarnation_token(member_id id, incarnation_number number);

struct relay_header {
    relay_kind         kind = relay_kind::forward;
    member_id          sender = 0; // member that sent this hop
    incarnation_number sender_incarnation = 0;
    member_id          owner = 0; // owner that started a place or lookup frame, else 0
    incarnation_number owner_incarnation = 0;
    std::uint32_t      last_hop_token = 0; // incarnation_token of the last hop of a place frame, else 0
    std::uint8_t       hops = 0;           // hops so far
    std::uint8_t       route_length = 0;
    std::array<member_id, max_route_length> route{};            // members still to visit after the receiver
    std::uint32_t                           place_sequence = 0; // assigned by the owner for the last hop
    place_acknowledgement                   acknowledgement;    // of place frames of the recipient
    revision_number                         revision = 0; // configuration of the sender, or of the owner if routed
    flow_key                                key;
    placement_record                        placement;
    endpoint fabric_endpoint; // destination of replies to the caller; port 0: do not reply

    friend bool operator==(const relay_header&, const relay_header&) = default;
};

enum class relay_error : std::uint8_t { truncated, bad_version, bad_field, bad_mac };

std::string_view to_string(relay_error error);

using relay_key = std::array<std::byte, 16>;

// Frames are signed with signing; during a key rotation a second key is accepted too.
struct relay_keys {
    relay_key                signing{};
    std::optional<relay_key> also_accepted;
};

struct relay_frame {
    relay_header header;
    byte_view    inner; // view into the received datagram; empty for adopt
};

// Appends the whole frame to out.
void append_relay_frame(const relay_header& header, byte_view inner, const relay_keys& keys,
                        std::vector<std::byte>& out);

result<relay_frame, relay_error> parse_relay_frame(byte_view datagram, const relay_keys& keys);

// Flow key of an unverified frame, to select the traffic partition that verifies it.
std::optional<flow_key> peek_flow_key(byte_view datagram);

} // namespace tamarack
