// Encodes and decodes the inner TCP packets that the stand-ins exchange. IPv4 only; the balancer reads only headers.
#pragma once

#include "tamarack/packet.h"

#include <boost/endian/conversion.hpp>
#include <cstring>

namespace standin {

inline constexpr std::uint8_t fin_flag = 0x01;
inline constexpr std::uint8_t syn_flag = 0x02;
inline constexpr std::uint8_t rst_flag = 0x04;
inline constexpr std::uint8_t ack_flag = 0x10;

inline constexpr std::size_t ip_header_size = 20;
inline constexpr std::size_t tcp_header_size = 20;

// Ones' complement sum of the Internet checksum (RFC 1071), folded but not inverted. An odd last byte is padded with 0.
inline std::uint32_t ones_complement_sum(const std::uint8_t* data, std::size_t size, std::uint32_t sum = 0) {
    for (std::size_t i = 0; i < size; i += 2) {
        const std::uint32_t low_byte = i + 1 < size ? data[i + 1] : 0U;
        sum += (static_cast<std::uint32_t>(data[i]) << 8U) + low_byte;
    }
    while (sum > 0xffffU)
        sum = (sum & 0xffffU) + (sum >> 16U);
    return sum;
}

struct tcp_segment {
    std::uint8_t     flags = ack_flag;
    std::uint32_t    sequence = 0;
    std::uint32_t    acknowledgement = 0;
    std::string_view payload;
};

// Encodes a GUE packet that contains an IPv4 TCP segment from flow.source to flow.destination.
inline std::vector<std::byte> make_gue_segment(const tamarack::flow_tuple& flow, const tcp_segment& segment) {
    const std::size_t         inner_size = ip_header_size + tcp_header_size + segment.payload.size();
    std::vector<std::uint8_t> inner(inner_size);
    std::uint8_t* const       ip = inner.data();
    std::uint8_t* const       tcp = ip + ip_header_size;
    ip[0] = 0x45;
    boost::endian::store_big_u16(ip + 2, static_cast<std::uint16_t>(inner_size));
    ip[8] = 64;
    ip[9] = static_cast<std::uint8_t>(flow.protocol);
    std::memcpy(ip + 12, flow.source.address.bytes.data() + 12, 4);
    std::memcpy(ip + 16, flow.destination.address.bytes.data() + 12, 4);
    boost::endian::store_big_u16(ip + 10, static_cast<std::uint16_t>(~ones_complement_sum(ip, ip_header_size)));
    boost::endian::store_big_u16(tcp, flow.source.port);
    boost::endian::store_big_u16(tcp + 2, flow.destination.port);
    boost::endian::store_big_u32(tcp + 4, segment.sequence);
    boost::endian::store_big_u32(tcp + 8, segment.acknowledgement);
    tcp[12] = (tcp_header_size / 4) << 4U;
    tcp[13] = segment.flags;
    boost::endian::store_big_u16(tcp + 14, 0xffff);
    std::memcpy(tcp + tcp_header_size, segment.payload.data(), segment.payload.size());
    const auto          tcp_size = static_cast<std::uint32_t>(inner_size - ip_header_size);
    const std::uint32_t pseudo_header_sum =
        ones_complement_sum(ip + 12, 8, static_cast<std::uint32_t>(ip[9]) + tcp_size);
    boost::endian::store_big_u16(tcp + 16,
                                 static_cast<std::uint16_t>(~ones_complement_sum(tcp, tcp_size, pseudo_header_sum)));

    const auto             header = tamarack::make_gue_header(true);
    std::vector<std::byte> packet(header.size() + inner.size());
    std::memcpy(packet.data(), header.data(), header.size());
    std::memcpy(packet.data() + header.size(), inner.data(), inner.size());
    return packet;
}

// A received segment. The payload is a view into the datagram.
struct received_segment {
    tamarack::packet_info info;
    std::uint8_t          flags = 0;
    std::string_view      payload;
};

// Nullopt: not a GUE packet with a valid inner packet, or the inner packet is an ICMP error.
inline std::optional<received_segment> read_gue_segment(tamarack::byte_view datagram) {
    const auto inner = tamarack::decapsulate(datagram);
    if (!inner.has_value()) return std::nullopt;
    const auto info = tamarack::parse_packet(inner.value());
    if (!info.has_value() || info.value().icmp_error) return std::nullopt;
    const tamarack::byte_view bytes = inner.value();
    received_segment          segment{info.value(), 0, {}};
    if (info.value().flow.protocol == tamarack::transport::tcp) {
        segment.flags = std::to_integer<std::uint8_t>(bytes[ip_header_size + 13]);
    }
    const auto payload = bytes.last(info.value().payload_size);
    segment.payload = {reinterpret_cast<const char*>(payload.data()), payload.size()};
    return segment;
}

} // namespace standin
