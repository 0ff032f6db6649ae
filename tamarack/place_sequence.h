// Sequence numbers of place frames between pairs of balancers, and their acknowledgement on frames in the other
// direction.
//
// An acknowledgement that is lost costs one more relay of the flow's next packet, nothing else. Numbers wrap around.
#pragma once

#include "tamarack/relay.h"

#include <bitset>
#include <unordered_map>

namespace tamarack {

// Is never given out, so that a placement can say that nobody has been sent its present state.
inline constexpr std::uint32_t unsent_place_sequence = UINT32_MAX;

class place_sequences {
public:
    // The first number should differ from life to life, so that a peer's acknowledgement of an earlier life's frames
    // does not fit the frames of this one.
    explicit place_sequences(std::uint32_t first = 0) : first_(first) {}

    // Number for the next place frame to the peer; never 0 or unsent_place_sequence.
    std::uint32_t next(member_id peer);

    // True if the peer is known to have recorded the frame. False also for frames that are too old to tell.
    bool acknowledged(member_id peer, std::uint32_t sequence) const;

    // A place frame of the owner was recorded here.
    void                  received(member_id owner, std::uint32_t sequence);
    // What to tell the owner.
    place_acknowledgement acknowledgement_for(member_id owner) const;
    // What the peer told.
    void                  apply(member_id peer, const place_acknowledgement& acknowledgement);

    // Forgets what was exchanged with an earlier life of the peer; a lower life than known changes nothing.
    void note_life(member_id peer, incarnation life);

private:
    static constexpr std::size_t remembered = 4096; // sequence numbers whose acknowledgement can be looked up

    struct peer_state {
        incarnation             life = 0;
        std::uint32_t           sent = 0; // last number given out
        bool                    any_sent = false;
        std::bitset<remembered> confirmed; // by number modulo remembered; cleared when the number is given out
        place_acknowledgement   seen;      // of the peer's frames
    };

    std::uint32_t                             first_;
    std::unordered_map<member_id, peer_state> peers_;
};

} // namespace tamarack
