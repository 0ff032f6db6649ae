// How long a held packet stays useful, and the order and pace of the release.
#include "entry/pending_syns.h"

#include <algorithm>

namespace tamarack::entry {

namespace {

// From each transmission of a SYN to the next one; after the last, to the end of the caller's attempt.
constexpr std::array<duration, 3> syn_intervals = {std::chrono::milliseconds(200), std::chrono::milliseconds(400),
                                                   std::chrono::milliseconds(800)};
// Callers retransmit the other packets after 200 ms at the earliest.
constexpr duration                later_packet_interval = std::chrono::milliseconds(200);
// Covers the way from the caller and the way to the backend server.
constexpr duration                travel_margin = std::chrono::milliseconds(10);
// Later packets may use this part of the room, since a SYN that is not held costs its caller more.
constexpr std::size_t             later_packet_divisor = 2;
// Limits the released SYNs to about what the slots can process in an interval.
constexpr duration                release_interval = std::chrono::milliseconds(100);
constexpr std::size_t             syns_per_slot = 3; // in one interval

// Compares sequence numbers, which wrap around.
bool is_after(std::uint32_t left, std::uint32_t right) {
    return static_cast<std::int32_t>(left - right) > 0;
}

duration useful_time(const segment& packet) {
    if (!packet.syn) return later_packet_interval - travel_margin;
    const std::size_t copy = std::min<std::size_t>(packet.acknowledged, syn_intervals.size() - 1);
    return syn_intervals.at(copy) - travel_margin;
}

} // namespace

pending_syns::packet_key pending_syns::key_of_packet(const segment& packet) {
    if (packet.syn) return {.flow = key_of(packet), .is_syn = true, .sequence = packet.sequence};
    return {.flow = key_of(packet),
            .is_syn = false,
            .is_end = packet.fin || packet.rst,
            .sequence = packet.sequence,
            .acknowledged = packet.acknowledged,
            .payload_size = packet.payload_size};
}

bool pending_syns::has_room(const pending_packet& packet) const {
    const std::size_t divisor = packet.is_syn ? 1 : later_packet_divisor;
    const std::size_t count = packet.is_syn ? packets_.size() : later_packet_count_;
    return count < limits_.max_packets / divisor && bytes_ + packet.bytes.size() <= limits_.max_bytes / divisor;
}

pending_syns::packet_map::iterator pending_syns::remove(packet_map::iterator packet) {
    bytes_ -= packet->second.bytes.size();
    later_packet_count_ -= packet->second.is_syn ? 0 : 1;
    return packets_.erase(packet);
}

// Copies that overtake each other on the way keep the newest one, whose time is the longest.
bool pending_syns::hold(const segment& packet, byte_view bytes, steady_time now) {
    if (!packet.syn) forget_opened(packet);
    pending_packet   held{.bytes = {bytes.begin(), bytes.end()},
                          .arrived_at = now,
                          .useful_until = now + useful_time(packet),
                          .is_syn = packet.syn};
    const packet_key key = key_of_packet(packet);
    if (const auto earlier = packets_.find(key); earlier != packets_.end()) {
        held.useful_until = std::max(held.useful_until, earlier->second.useful_until);
        ++counters_of(held).replaced;
        remove(earlier);
    }
    if (!has_room(held)) expire(now);
    if (!has_room(held)) {
        ++refused_;
        return false;
    }
    bytes_ += held.bytes.size();
    later_packet_count_ += held.is_syn ? 0 : 1;
    ++counters_of(held).held;
    packets_.emplace(key, std::move(held));
    return true;
}

void pending_syns::forget(const segment& syn) {
    const auto earlier = packets_.find(key_of_packet(syn));
    if (earlier == packets_.end()) return;
    ++counters_of(earlier->second).replaced;
    remove(earlier);
}

// The caller may have reused the port: the packets of the earlier flow have sequence numbers before that of the SYN.
void pending_syns::forget_opened(const segment& later_packet) {
    const flow_key flow = key_of(later_packet);
    for (auto packet = packets_.lower_bound({.flow = flow}); packet != packets_.end() && packet->first.flow == flow;) {
        if (!packet->first.is_syn || !is_after(later_packet.sequence, packet->first.sequence)) {
            ++packet;
            continue;
        }
        ++counters_of(packet->second).replaced;
        packet = remove(packet);
    }
}

void pending_syns::expire(steady_time now) {
    for (auto packet = packets_.begin(); packet != packets_.end();) {
        if (now < packet->second.useful_until) {
            ++packet;
            continue;
        }
        ++counters_of(packet->second).expired;
        packet = remove(packet);
    }
}

std::vector<pending_packet> pending_syns::release(std::size_t slots, steady_time now) {
    expire(now);
    std::vector<packet_map::iterator> oldest_first;
    for (auto packet = packets_.begin(); packet != packets_.end(); ++packet)
        oldest_first.push_back(packet);
    std::stable_sort(oldest_first.begin(), oldest_first.end(), [](const auto& left, const auto& right) {
        return left->second.arrived_at < right->second.arrived_at;
    });
    std::size_t                 syns_left = now < next_release_ ? 0 : slots * syns_per_slot;
    std::vector<pending_packet> released;
    for (const auto& packet : oldest_first) {
        if (packet->second.is_syn && syns_left == 0) continue;
        if (packet->second.is_syn) --syns_left;
        ++counters_of(packet->second).released;
        released.push_back(packet->second);
        remove(packet);
    }
    if (now >= next_release_ && !packets_.empty()) next_release_ = now + release_interval;
    return released;
}

} // namespace tamarack::entry
