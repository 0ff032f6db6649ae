// Sequence numbers of place frames between pairs of balancers, acknowledged by frames in the other direction.
//
// A lost acknowledgement only causes one more relay of the flow's next packet. Numbers wrap around.
#pragma once

#include "tamarack/relay.h"

#include <bitset>
#include <unordered_map>

namespace tamarack {

// Never assigned to a frame. Marks a placement whose present state has not been sent to another holder.
inline constexpr std::uint32_t unsent_place_sequence = UINT32_MAX;

class place_sequences {
public:
    // The first number should differ between incarnations, so that a peer's acknowledgement of frames of an earlier
    // incarnation does not match frames of this one.
    explicit place_sequences(std::uint32_t first = 0) : first_sequence_(first) {}

    // Returns the number for the next place frame to the peer; never 0 or unsent_place_sequence.
    std::uint32_t next_sequence(member_id peer);

    // True if the peer is known to have recorded the frame. False also for frames older than the window.
    bool is_acknowledged(member_id peer, std::uint32_t sequence) const;

    // Records that a place frame of the owner was received and stored.
    void                  record_received(member_id owner, std::uint32_t sequence);
    // Acknowledgement to send to the owner.
    place_acknowledgement acknowledgement_for(member_id owner) const;
    // Applies an acknowledgement received from the peer.
    void                  apply_acknowledgement(member_id peer, const place_acknowledgement& acknowledgement);

    // Drops the state of earlier incarnations of the peer. An older incarnation than the known one changes nothing.
    void record_incarnation(member_id peer, incarnation_number number);

private:
    static constexpr std::size_t window_size = 4096; // latest sequence numbers whose acknowledgement is kept

    struct peer_state {
        incarnation_number       newest_incarnation = 0;
        std::uint32_t            last_sent = 0; // last number assigned
        bool                     any_sent = false;
        std::bitset<window_size> acknowledged_frames; // by number modulo window_size; cleared on assignment
        place_acknowledgement    received_frames;     // received from the peer
    };

    std::uint32_t                             first_sequence_;
    std::unordered_map<member_id, peer_state> peers_;
};

} // namespace tamarack
