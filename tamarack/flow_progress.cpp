// State transitions of flows; see docs/design.md section 2.2.
#include "tamarack/flow_progress.h"

namespace tamarack {

namespace {

constexpr unsigned      stall_repeats = 6; // repeats of one sequence number, over at least stall_time
constexpr duration      stall_time = std::chrono::seconds(10);
constexpr std::uint32_t min_stalled_payload = 2; // bytes; 0 or 1 can be a keep-alive or zero-window probe

// Serial number arithmetic (RFC 1982).
bool is_after(std::uint32_t sequence, std::uint32_t other) {
    return static_cast<std::int32_t>(sequence - other) > 0;
}

// Sequence number after the packet's last byte.
std::uint32_t end_sequence(const packet_info& packet) {
    return packet.sequence + packet.payload_size + (packet.fin ? 1U : 0U);
}

void advance_half_open(placement& item, const packet_info& packet) {
    // A sequence number not after the SYN belongs to a late packet of an earlier connection with the same 5-tuple.
    if (!is_after(packet.sequence, item.sequence_mark())) return;
    if (packet.syn) return item.set_sequence_mark(packet.sequence);
    if (packet.fin || packet.rst) return close_flow(item, packet);
    mark_established(item);
}

void advance_closing(placement& item, const packet_info& packet) {
    if (packet.syn || !is_after(packet.sequence, item.sequence_mark())) return;
    if (packet.fin || packet.rst) return close_flow(item, packet);
    mark_established(item); // later bytes: the end seen was that of an earlier connection with the 5-tuple
}

} // namespace

void mark_established(placement& item) {
    item.state = flow_state::established;
    item.set_sequence_mark(0);
    item.repeats = 0;
}

bool advance_state(placement& item, const packet_info& packet) {
    if (packet.flow.protocol != transport::tcp) return false;
    const flow_state before = item.state;
    if (before == flow_state::half_open) {
        advance_half_open(item, packet);
    } else if (before == flow_state::closing) {
        advance_closing(item, packet);
    } else if (packet.fin || packet.rst) {
        close_flow(item, packet);
    }
    return item.state != before;
}

void close_flow(placement& item, const packet_info& packet) {
    item.state = flow_state::closing;
    item.set_sequence_mark(end_sequence(packet));
    item.repeats = 0;
}

bool is_tuple_reuse(const placement& item, const packet_info& packet) {
    return packet.syn && item.state == flow_state::closing && is_after(packet.sequence, item.sequence_mark());
}

bool detect_stall(placement& item, const packet_info& packet, std::uint32_t now_ticks) {
    if (packet.flow.protocol != transport::tcp || packet.payload_size < min_stalled_payload) return false;
    if (packet.syn || packet.fin || packet.rst || item.state == flow_state::half_open) return false;
    if (item.state == flow_state::closing) return item.repeats > stall_repeats;
    const auto now = static_cast<std::uint16_t>(now_ticks);
    // 16 bits of a multiplicative hash; several consecutive matches by chance are very unlikely.
    const auto hash = static_cast<std::uint16_t>((packet.sequence * 0x9e3779b1U) >> 16U);
    if (hash != item.last_sequence_hash || item.repeats == 0) {
        item.last_sequence_hash = hash;
        item.repeats = 1;
        item.repeats_since = now;
        return false;
    }
    if (item.repeats <= stall_repeats) ++item.repeats;
    const auto elapsed = static_cast<std::uint16_t>(now - item.repeats_since) * flow_table::tick_length;
    return item.repeats > stall_repeats && elapsed >= stall_time;
}

void close_stalled_flow(placement& item, const packet_info& packet) {
    close_flow(item, packet);
    item.repeats = stall_repeats + 1;
}

} // namespace tamarack
