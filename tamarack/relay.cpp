// Wire format of relay frames. All numbers are big-endian; the fixed header has no padding.
//
// The MAC is checked before the fields, so that only senders with a valid key can observe the result of a field check.
#include "tamarack/relay.h"

#include <algorithm>
#include <boost/endian/buffers.hpp>
#include <cstring>
#include <sodium.h>

namespace tamarack {

namespace {

using boost::endian::big_uint16_buf_t;
using boost::endian::big_uint32_buf_t;
using boost::endian::big_uint64_buf_t;

constexpr std::uint8_t frame_version = 1;
constexpr std::uint8_t flag_acknowledged = 0x01;
constexpr std::uint8_t flag_possibly_delivered = 0x02;
constexpr std::uint8_t state_shift = 2; // position of the two bits with the flow state
constexpr std::uint8_t state_mask = 0x03;
constexpr std::uint8_t flag_unverified = 0x10;
constexpr std::uint8_t known_flags =
    flag_acknowledged | flag_possibly_delivered | flag_unverified | state_mask << state_shift;

static_assert(relay_mac_size == crypto_shorthash_BYTES);
static_assert(sizeof(relay_key) == crypto_shorthash_KEYBYTES);

struct wire_endpoint {
    std::array<std::uint8_t, 16> address;
    big_uint16_buf_t             port;
};

struct wire_header {
    std::uint8_t                                   version;
    std::uint8_t                                   kind;
    std::uint8_t                                   hops;
    std::uint8_t                                   route_length;
    std::uint8_t                                   flags;
    std::uint8_t                                   reserved; // 0
    big_uint16_buf_t                               generation;
    big_uint32_buf_t                               sender;
    big_uint64_buf_t                               sender_incarnation;
    big_uint32_buf_t                               owner;
    big_uint64_buf_t                               owner_incarnation;
    big_uint32_buf_t                               last_hop_token;
    std::array<big_uint32_buf_t, max_route_length> route;
    big_uint32_buf_t                               place_sequence;
    big_uint32_buf_t                               acknowledged_highest;
    big_uint64_buf_t                               acknowledged_earlier;
    big_uint64_buf_t                               revision;
    big_uint64_buf_t                               flow_high;
    big_uint64_buf_t                               flow_low;
    big_uint32_buf_t                               backend_server;
    big_uint32_buf_t                               service;
    big_uint32_buf_t                               sequence_mark;
    wire_endpoint                                  tunnel;
    wire_endpoint                                  fabric;
};

constexpr std::size_t wire_header_size = 140;
static_assert(sizeof(wire_header) == wire_header_size && alignof(wire_header) == 1);

using relay_mac = std::array<unsigned char, relay_mac_size>;

relay_mac make_mac(byte_view message, const relay_key& key) {
    relay_mac mac{};
    crypto_shorthash(mac.data(), reinterpret_cast<const unsigned char*>(message.data()), message.size(),
                     reinterpret_cast<const unsigned char*>(key.data()));
    return mac;
}

bool mac_matches(byte_view message, byte_view received, const relay_key& key) {
    return sodium_memcmp(make_mac(message, key).data(), received.data(), relay_mac_size) == 0;
}

wire_endpoint to_wire(const endpoint& item) {
    return {item.address.bytes, big_uint16_buf_t(item.port)};
}

endpoint from_wire(const wire_endpoint& item) {
    return {ip_address{item.address}, item.port.value()};
}

wire_header to_wire(const relay_header& header) {
    wire_header wire{};
    wire.version = frame_version;
    wire.kind = static_cast<std::uint8_t>(header.kind);
    wire.hops = header.hops;
    wire.route_length = header.route_length;
    if (header.placement.acknowledged) wire.flags |= flag_acknowledged;
    if (header.placement.possibly_delivered) wire.flags |= flag_possibly_delivered;
    if (header.placement.unverified) wire.flags |= flag_unverified;
    wire.flags |= static_cast<std::uint8_t>(static_cast<unsigned>(header.placement.state) << state_shift);
    wire.generation = header.placement.generation;
    wire.sender = header.sender;
    wire.sender_incarnation = header.sender_incarnation;
    wire.owner = header.owner;
    wire.owner_incarnation = header.owner_incarnation;
    wire.last_hop_token = header.last_hop_token;
    std::copy(header.route.begin(), header.route.end(), wire.route.begin());
    wire.place_sequence = header.place_sequence;
    wire.acknowledged_highest = header.acknowledgement.highest;
    wire.acknowledged_earlier = header.acknowledgement.earlier;
    wire.revision = header.revision;
    wire.flow_high = header.key.high;
    wire.flow_low = header.key.low;
    wire.backend_server = header.placement.backend_server;
    wire.service = header.placement.service;
    wire.sequence_mark = header.placement.sequence_mark;
    wire.tunnel = to_wire(header.placement.tunnel);
    wire.fabric = to_wire(header.fabric_endpoint);
    return wire;
}

relay_header from_wire(const wire_header& wire) {
    relay_header header;
    header.kind = static_cast<relay_kind>(wire.kind);
    header.sender = wire.sender.value();
    header.sender_incarnation = wire.sender_incarnation.value();
    header.owner = wire.owner.value();
    header.owner_incarnation = wire.owner_incarnation.value();
    header.last_hop_token = wire.last_hop_token.value();
    header.hops = wire.hops;
    header.route_length = wire.route_length;
    std::transform(wire.route.begin(), wire.route.end(), header.route.begin(),
                   [](const big_uint32_buf_t& id) { return id.value(); });
    header.place_sequence = wire.place_sequence.value();
    header.acknowledgement = {wire.acknowledged_highest.value(), wire.acknowledged_earlier.value()};
    header.revision = wire.revision.value();
    header.key = {wire.flow_high.value(), wire.flow_low.value()};
    header.placement.backend_server = wire.backend_server.value();
    header.placement.service = wire.service.value();
    header.placement.sequence_mark = wire.sequence_mark.value();
    header.placement.tunnel = from_wire(wire.tunnel);
    header.placement.generation = wire.generation.value();
    header.placement.acknowledged = (wire.flags & flag_acknowledged) != 0;
    header.placement.possibly_delivered = (wire.flags & flag_possibly_delivered) != 0;
    header.placement.unverified = (wire.flags & flag_unverified) != 0;
    header.placement.state = static_cast<flow_state>(wire.flags >> state_shift & state_mask);
    header.fabric_endpoint = from_wire(wire.fabric);
    return header;
}

// The first route_length members must be set and the others 0.
bool valid_route(const relay_header& header) {
    if (header.route_length > max_route_length) return false;
    const auto end = header.route.begin() + header.route_length;
    return std::none_of(header.route.begin(), end, [](member_id id) { return id == 0; }) &&
           std::all_of(end, header.route.end(), [](member_id id) { return id == 0; });
}

bool valid_placement(const relay_header& header) {
    const placement_record& placement = header.placement;
    const bool              is_required =
        header.kind == relay_kind::adopt || header.kind == relay_kind::offer || header.kind == relay_kind::decline;
    const bool is_half_open = placement.state == flow_state::half_open;
    const bool has_mark = placement.sequence_mark != 0;
    if (has_mark && (placement.state == flow_state::established || placement.backend_server == 0)) return false;
    const bool is_new = !placement.acknowledged && !placement.possibly_delivered && !placement.unverified;
    if (placement.backend_server == 0) return !is_required && is_new && is_half_open;
    if (placement.unverified && placement.acknowledged) return false;
    return placement.service != 0 && placement.tunnel.port != 0 && placement.state <= flow_state::closing;
}

bool valid_fields(const relay_header& header) {
    const bool routed = header.kind == relay_kind::place || header.kind == relay_kind::lookup;
    if (header.sender == 0 || header.hops > max_relay_hops) return false;
    if (routed != (header.owner != 0) || (!routed && header.owner_incarnation != 0)) return false;
    if ((header.kind == relay_kind::place) != (header.last_hop_token != 0)) return false;
    if (!routed && header.route_length != 0) return false;
    if (header.acknowledgement.highest == 0 && header.acknowledgement.earlier != 0) return false;
    return valid_route(header) && valid_placement(header);
}

bool valid_kind(std::uint8_t kind) {
    return kind >= static_cast<std::uint8_t>(relay_kind::forward) &&
           kind <= static_cast<std::uint8_t>(relay_kind::decline);
}

} // namespace

std::uint32_t incarnation_token(member_id id, incarnation_number number) {
    const std::uint64_t mixed = (number ^ (std::uint64_t{id} << 40U)) * 0x9e3779b97f4a7c15U;
    return static_cast<std::uint32_t>(mixed >> 32U) | 1U;
}

std::string_view to_string(relay_error error) {
    switch (error) {
    case relay_error::truncated:
        return "truncated";
    case relay_error::bad_version:
        return "bad version";
    case relay_error::bad_field:
        return "bad field";
    case relay_error::bad_mac:
        return "bad MAC";
    }
    return "unknown";
}

void append_relay_frame(const relay_header& header, byte_view inner, const relay_keys& keys,
                        std::vector<std::byte>& out) {
    const wire_header wire = to_wire(header);
    const auto        start = out.size();
    const byte_view   fixed = std::as_bytes(std::span(&wire, 1));
    out.reserve(start + wire_header_size + inner.size() + relay_mac_size);
    out.insert(out.end(), fixed.begin(), fixed.end());
    out.insert(out.end(), inner.begin(), inner.end());
    const relay_mac mac = make_mac(byte_view(out).subspan(start), keys.signing);
    const byte_view trailer = std::as_bytes(std::span(mac));
    out.insert(out.end(), trailer.begin(), trailer.end());
}

result<relay_frame, relay_error> parse_relay_frame(byte_view datagram, const relay_keys& keys) {
    if (datagram.size() < wire_header_size + relay_mac_size) return relay_error::truncated;
    wire_header wire; // NOLINT: filled from the datagram
    std::memcpy(&wire, datagram.data(), wire_header_size);
    if (wire.version != frame_version) return relay_error::bad_version;

    const byte_view message = datagram.first(datagram.size() - relay_mac_size);
    const byte_view mac = datagram.last(relay_mac_size);
    if (!mac_matches(message, mac, keys.signing) &&
        !(keys.also_accepted && mac_matches(message, mac, *keys.also_accepted)))
        return relay_error::bad_mac;

    if (!valid_kind(wire.kind) || wire.reserved != 0 || (wire.flags & ~unsigned{known_flags}) != 0)
        return relay_error::bad_field;
    const relay_frame frame{from_wire(wire), message.subspan(wire_header_size)};
    if (!valid_fields(frame.header)) return relay_error::bad_field;
    if (frame.inner.empty() != (frame.header.kind == relay_kind::adopt)) return relay_error::bad_field;
    return frame;
}

std::optional<flow_key> peek_flow_key(byte_view datagram) {
    if (datagram.size() < sizeof(wire_header)) return std::nullopt;
    wire_header wire;
    std::memcpy(&wire, datagram.data(), sizeof wire);
    return flow_key{wire.flow_high.value(), wire.flow_low.value()};
}

} // namespace tamarack
