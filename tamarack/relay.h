// Relay frames: callers' packets on their way between balancers, with the placement of their flow.
//
// A frame is a fixed header (Boost.Endian), the inner packet, and a SipHash-2-4 MAC over both. See docs/design.md
// sections 2.2 and 2.6.
#pragma once

#include "tamarack/flow_table.h"

namespace tamarack {

enum class relay_kind : std::uint8_t {
    forward = 1, // to the owner
    place = 2,   // from the owner along a route that ends at the second holder
    adopt = 3,   // to the owner: a holder's placement, which wins over a proposed one; carries no packet
    lookup = 4,  // from the owner along a route of candidates: who has the placement?
    offer = 5,   // to the owner: a packet with the placement of a holder outside the present pair
    decline = 6, // to the owner: the packet of a place frame with another choice, which the owner has to place
};

inline constexpr std::size_t  max_route_length = 4;
inline constexpr std::uint8_t max_relay_hops = 10;       // arrival, lookup route, answer to the owner, place route
inline constexpr std::uint8_t max_first_answer_hops = 6; // arrival, place route, answer to the owner
inline constexpr std::size_t  relay_mac_size = 8;

// The placement as it travels. backend_server 0 in a place frame proposes a refusal.
struct placement_record {
    backend_server_id backend_server = 0;
    service_id        service = 0;
    endpoint          tunnel;              // so that a hop with an older configuration can deliver
    std::uint16_t     generation = 1;      // rises when a 5-tuple is used again after its flow ended
    bool              retried = false;     // sent before, perhaps delivered: its choice must not be replaced by another
    bool              established = false; // a holder has acknowledged it: it wins over one that nobody has
    bool              doubtful = false;    // from before a pause: any other placement wins over it
    flow_state        state = flow_state::half_open; // as the sender knows it
    std::uint32_t     sequence_mark = 0;             // see placement::sequence_mark; 0 for an established flow

    friend bool operator==(const placement_record&, const placement_record&) = default;
};

// Acknowledges place frames of the member that the frame is sent to.
struct place_acknowledgement {
    std::uint32_t highest = 0; // highest sequence number received; 0: none
    std::uint64_t earlier = 0; // bit i set: highest - 1 - i was received

    friend bool operator==(const place_acknowledgement&, const place_acknowledgement&) = default;
};

// Stands for one life of a member. Never 0. Two tokens are equal by chance once in 2^31.
std::uint32_t life_token(member_id id, incarnation life);

struct relay_header {
    relay_kind    kind = relay_kind::forward;
    member_id     sender = 0; // of this hop
    incarnation   sender_life = 0;
    member_id     owner = 0; // the owner that started a place or lookup, else 0
    incarnation   owner_life = 0;
    std::uint32_t last_token = 0; // of the last member of a place frame's route, see life_token
    std::uint8_t  hops = 0;       // taken so far
    std::uint8_t  route_length = 0;
    std::array<member_id, max_route_length> route{};            // members still to visit after the receiver
    std::uint32_t                           place_sequence = 0; // of the owner towards the last member of the route
    place_acknowledgement                   acknowledgement;    // for frames of the receiver
    revision_number                         revision = 0;       // newest that the sender knows
    flow_key                                flow;
    placement_record                        placement;
    endpoint                                fabric; // where replies to the caller go

    friend bool operator==(const relay_header&, const relay_header&) = default;
};

enum class relay_error : std::uint8_t { truncated, bad_version, bad_field, bad_mac };

std::string_view to_string(relay_error error);

using relay_key = std::array<std::byte, 16>;

// Up to two keys are valid during a rotation; the first one signs.
struct relay_keys {
    relay_key                signing{};
    std::optional<relay_key> also_accepted;
};

struct relay_frame {
    relay_header header;
    byte_view    inner; // empty for adopt; a view into the received datagram
};

// Appends the whole frame to out.
void append_relay_frame(const relay_header& header, byte_view inner, const relay_keys& keys,
                        std::vector<std::byte>& out);

result<relay_frame, relay_error> parse_relay_frame(byte_view datagram, const relay_keys& keys);

// Flow key of a frame that has not been verified yet, to choose the partition that verifies it.
std::optional<flow_key> peek_flow_key(byte_view datagram);

} // namespace tamarack
