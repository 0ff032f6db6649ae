// Splits batches of packets by traffic partition.
#include "tamarack/node_packet_handler.h"

#include <algorithm>

namespace tamarack {

namespace {

using partition_list = std::array<std::size_t, receive_batch::max_datagrams>;

// Calls function for each packet: the packets of one partition together, in their order within the batch.
template <class Function>
void for_each_partition(node& balancer, std::span<const receive_batch::item> packets, const partition_list& partitions,
                        std::size_t partition_count, Function function) {
    for (std::size_t partition = 0; partition < partition_count; ++partition) {
        const auto last = partitions.begin() + static_cast<std::ptrdiff_t>(packets.size());
        const auto first = std::find(partitions.begin(), last, partition);
        if (first == last) continue;
        const auto handle_partition = [&](forwarder& target) {
            for (auto i = static_cast<std::size_t>(first - partitions.begin()); i < packets.size(); ++i)
                if (partitions[i] == partition) function(target, packets[i]);
        };
        balancer.with_forwarder(partition, std::ref(handle_partition)); // by reference: no allocation
    }
}

} // namespace

void node_packet_handler::handle_fabric(std::span<const receive_batch::item> packets, action_buffer& out) {
    partition_list partitions;
    for (std::size_t i = 0; i < packets.size(); ++i)
        partitions[i] = balancer_.partition_of_fabric_packet(packets[i].bytes);
    for_each_partition(balancer_, packets, partitions, partitions_,
                       [&out](forwarder& target, const receive_batch::item& packet) {
                           target.receive_from_fabric(packet.bytes, packet.source, out);
                       });
}

void node_packet_handler::handle_relay(std::span<const receive_batch::item> frames, action_buffer& out) {
    partition_list partitions;
    for (std::size_t i = 0; i < frames.size(); ++i)
        partitions[i] = balancer_.partition_of_relay_frame(frames[i].bytes);
    for_each_partition(
        balancer_, frames, partitions, partitions_,
        [&out](forwarder& target, const receive_batch::item& frame) { target.receive_from_peer(frame.bytes, out); });
}

void node_packet_handler::tick(std::size_t thread, action_buffer& out) {
    balancer_.with_forwarder(thread, [&out](forwarder& target) { target.tick(out); });
}

} // namespace tamarack
