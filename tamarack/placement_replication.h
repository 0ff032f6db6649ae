// Replication of quiet placements over the control channel: batches, and the answers that confirm them.
//
// No I/O: the node moves payloads between this class and the control channel, and placements between it and the
// forwarders.
#pragma once

#include "tamarack/forwarder.h"

namespace tamarack {

// Placements in one message, so that it fits into a datagram of the control channel.
inline constexpr std::size_t max_batch_placements = 30;

// What a peer has confirmed.
struct confirmed_batch {
    member_id             peer = 0;
    std::vector<flow_key> flows;
};

class placement_replication {
public:
    explicit placement_replication(const clock& time);

    // Payload of a batch for the peer; at most max_batch_placements are taken. The batch is remembered until it is
    // confirmed or a few seconds have passed.
    std::vector<std::byte> make_batch(member_id peer, std::span<const replicated_placement> items);
    // True while a batch for the peer waits for its answer: one at a time, so that a slow peer is not flooded.
    bool                   waiting_for(member_id peer) const;

    // Placements of a received batch, in order; nothing if it is malformed. tunnel_of resolves addresses.
    struct received_batch {
        std::uint64_t                     number = 0;
        std::vector<replicated_placement> items;
    };
    static std::optional<received_batch> read_batch(byte_view payload, const configuration& known);
    // Payload of the answer; stored[i] tells about items[i].
    static std::vector<std::byte>        make_answer(std::uint64_t number, const std::vector<bool>& stored);
    // Flows that the peer confirms; nothing if it is malformed or nothing was asked.
    std::optional<confirmed_batch>       read_answer(member_id peer, byte_view payload);

private:
    struct pending_batch {
        std::uint64_t         number = 0;
        steady_time           sent{};
        std::vector<flow_key> flows;
    };

    const clock&                       time_;
    std::uint64_t                      next_number_ = 1;
    std::map<member_id, pending_batch> pending_; // at most one for each peer
};

} // namespace tamarack
