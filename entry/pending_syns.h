// Packets that arrive before the balancer's first listing: SYNs, and later packets of flows that opened before its
// start.
//
// Load pattern: all hosts start at the same time, and the fabric sends them packets before they know any backend
// server. A SYN is held until its caller would have sent the next copy: that copy may open the flow through another
// balancer, and a second backend server that answered the flow would give the caller a wrong reference. The age of a
// SYN counts from when it was read, so that packets must be read as they arrive.
#pragma once

#include "entry/flow_tracker.h"

namespace tamarack::entry {

struct pending_limits {
    std::size_t max_packets = 4'096;
    std::size_t max_bytes = 1'048'576; // of all packets; SYNs have 36 bytes
};

struct pending_packet {
    std::vector<std::byte> bytes; // as received
    steady_time            arrived_at{};
    steady_time            useful_until{};
    bool                   is_syn = false;
};

// Each packet that is held ends as one of the others, or still waits.
struct pending_counters {
    std::uint64_t held = 0;
    std::uint64_t released = 0;
    std::uint64_t expired = 0;  // the caller has sent the next copy, or given up
    std::uint64_t replaced = 0; // by a copy, or for a SYN by a later packet of its flow, that arrived here
};

class pending_syns {
public:
    explicit pending_syns(const pending_limits& limits = {}) : limits_(limits) {}

    // The bytes are copied. False: there is no room, and the packet is to be dropped.
    bool                        hold(const segment& packet, byte_view bytes, steady_time now);
    // A copy of the SYN has been forwarded without being held.
    void                        forget(const segment& syn);
    // The packet, which is no SYN, shows that its flow has opened through another balancer.
    void                        forget_opened(const segment& later_packet);
    // Takes out the packets that are still useful, oldest first. The SYNs of one release are limited by the number of
    // slots of all backend servers; the rest wait for the next release.
    std::vector<pending_packet> release(std::size_t slots, steady_time now);
    void                        expire(steady_time now);

    bool                    is_empty() const { return packets_.empty(); }
    std::size_t             size() const { return packets_.size(); }
    const pending_counters& syns() const { return syns_; }
    const pending_counters& later_packets() const { return later_packets_; }
    std::uint64_t           refused_count() const { return refused_; } // packets for which there was no room

private:
    // A SYN and its copies have the same key, and a later packet and its retransmission.
    struct packet_key {
        flow_key      flow = 0;
        bool          is_syn = false;
        bool          is_end = false; // FIN or RST
        std::uint32_t sequence = 0;
        std::uint32_t acknowledged = 0; // 0 for a SYN: its copies differ in it
        std::uint16_t payload_size = 0;

        friend auto operator<=>(const packet_key&, const packet_key&) = default;
    };
    using packet_map = std::map<packet_key, pending_packet>;

    static packet_key    key_of_packet(const segment& packet);
    pending_counters&    counters_of(const pending_packet& packet) { return packet.is_syn ? syns_ : later_packets_; }
    bool                 has_room(const pending_packet& packet) const;
    packet_map::iterator remove(packet_map::iterator packet);

    pending_limits   limits_;
    packet_map       packets_;
    std::size_t      bytes_ = 0;              // of packets_
    std::size_t      later_packet_count_ = 0; // in packets_
    steady_time      next_release_{};         // of SYNs that the last release left
    pending_counters syns_;
    pending_counters later_packets_;
    std::uint64_t    refused_ = 0;
};

} // namespace tamarack::entry
