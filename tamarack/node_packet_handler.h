// Passes batches of packets to the traffic partitions of a node; the packets of one partition are handled together
// under its lock.
#pragma once

#include "tamarack/node.h"
#include "tamarack/traffic_loop.h"

namespace tamarack {

class node_packet_handler final : public packet_handler {
public:
    // The node must outlive the handler.
    node_packet_handler(node& balancer, std::size_t partitions) : balancer_(balancer), partitions_(partitions) {}

    void handle_fabric(std::span<const receive_batch::item> packets, action_buffer& out) override;
    void handle_relay(std::span<const receive_batch::item> frames, action_buffer& out) override;
    void tick(std::size_t thread, action_buffer& out) override; // partition and thread have the same number

private:
    node&       balancer_;
    std::size_t partitions_;
};

} // namespace tamarack
