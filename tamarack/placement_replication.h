// Replication of placements of idle flows over the control channel: batches, and the answers that confirm them.
//
// Does no I/O: the node passes payloads between this class and the control channel, and placements between this class
// and the forwarders.
#pragma once

#include "tamarack/forwarder.h"

namespace tamarack {

// Most placements per message, so that it fits into a datagram of the control channel.
inline constexpr std::size_t max_batch_placements = 30;

// Flows whose placements a peer has stored.
struct confirmed_batch {
    member_id             peer = 0;
    std::vector<flow_key> flows;
};

class placement_replication {
public:
    explicit placement_replication(const clock& time);

    // Returns the payload of a batch for the peer, with the first max_batch_placements items. The batch is pending
    // until it is confirmed or replaced by the next one.
    std::vector<std::byte> make_batch(member_id peer, std::span<const replicated_placement> items);
    // True while a batch for the peer waits for its answer. Only one batch per peer is in flight, so that a slow peer
    // is not flooded; a batch without an answer is abandoned after a time-out of 3 s.
    bool                   awaits_answer_from(member_id peer) const;

    // Placements of a received batch, in order; nothing if the payload is malformed. The current configuration supplies
    // the tunnel addresses.
    struct received_batch {
        std::uint64_t                     number = 0;
        std::vector<replicated_placement> items;
    };
    static std::optional<received_batch> read_batch(byte_view payload, const configuration& current);
    // Payload of the answer; stored[i] is true if items[i] has been stored.
    static std::vector<std::byte>        make_answer(std::uint64_t number, const std::vector<bool>& stored);
    // Flows that the peer confirms; nothing if the payload is malformed or answers no pending batch.
    std::optional<confirmed_batch>       read_answer(member_id peer, byte_view payload);

private:
    struct pending_batch {
        std::uint64_t         number = 0;
        steady_time           sent_at{};
        std::vector<flow_key> flows;
    };

    const clock&                       time_;
    std::uint64_t                      next_number_ = 1;
    std::map<member_id, pending_batch> pending_; // at most one for each peer
};

} // namespace tamarack
