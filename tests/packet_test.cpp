// Tests of packets: guards against misread headers, replies that a caller's network stack would discard, and flow keys
// that differ between balancers.
#define BOOST_TEST_MODULE packet
#include "tamarack/packet.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;

namespace {

using bytes = std::vector<std::byte>;

constexpr std::uint8_t fin = 1;
constexpr std::uint8_t syn = 2;
constexpr std::uint8_t rst = 4;
constexpr std::uint8_t ack = 16;

struct flow_ends {
    endpoint caller;
    endpoint service;
};
const flow_ends v4{endpoint::parse("192.0.2.1:40000").value(), endpoint::parse("198.51.100.7:443").value()};
const flow_ends v6{endpoint::parse("[2001:db8::1]:40000").value(), endpoint::parse("[2001:db8:7::7]:443").value()};

bytes operator+(bytes left, const bytes& right) {
    left.insert(left.end(), right.begin(), right.end());
    return left;
}

bytes number(std::uint64_t value, std::size_t size) {
    bytes out(size);
    for (std::size_t i = 0; i < size; ++i)
        out[size - 1 - i] = static_cast<std::byte>(value >> (8 * i));
    return out;
}

bytes address(const ip_address& item) {
    const auto all = std::as_bytes(std::span(item.bytes));
    return {all.begin() + (item.is_v4() ? 12 : 0), all.end()};
}

bytes ip(const endpoint& from, const endpoint& to, std::uint8_t protocol, const bytes& payload) {
    const bytes addresses = address(from.address) + address(to.address);
    const bytes kind = number(protocol, 1);
    if (from.address.is_v4())
        return number(0x4500, 2) + number(20 + payload.size(), 2) + bytes(5) + kind + bytes(2) + addresses + payload;
    return number(0x60000000, 4) + number(payload.size(), 2) + kind + bytes(1) + addresses + payload;
}

bytes tcp(const flow_ends& ends, std::uint8_t flags, std::size_t payload = 0) {
    return number(ends.caller.port, 2) + number(ends.service.port, 2) + number(1'000, 4) + number(5'000, 4) +
           number(0x50, 1) + number(flags, 1) + bytes(6 + payload);
}

bytes tcp_packet(const flow_ends& ends, std::uint8_t flags, std::size_t payload = 0) {
    return ip(ends.caller, ends.service, 6, tcp(ends, flags, payload));
}

bytes udp_packet(const flow_ends& ends, std::size_t payload) {
    const bytes ports = number(ends.caller.port, 2) + number(ends.service.port, 2);
    return ip(ends.caller, ends.service, 17, ports + number(8 + payload, 2) + bytes(2 + payload));
}

// An IPv6 packet with extension headers of 16 bytes each; following holds their next-header fields.
bytes extended(std::uint8_t first, const std::vector<std::uint8_t>& following) {
    bytes headers;
    for (const std::uint8_t next : following)
        headers = headers + number(next, 1) + number(1, 1) + bytes(14);
    return ip(v6.caller, v6.service, first, headers + tcp(v6, syn));
}

bytes with_byte(bytes packet, std::size_t offset, std::uint8_t value) {
    packet[offset] = std::byte{value};
    return packet;
}

std::uint64_t value_at(const bytes& data, std::size_t offset, std::size_t size) {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < size; ++i)
        value = value << 8U | std::to_integer<std::uint64_t>(data.at(offset + i));
    return value;
}

// RFC 1071: the folded sum over data with a correct checksum is 0xffff.
std::uint64_t internet_sum(const bytes& data) {
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < data.size(); ++i)
        sum += std::to_integer<std::uint64_t>(data[i]) << (i % 2 == 0 ? 8U : 0U);
    while (sum > 0xffff)
        sum = (sum & 0xffff) + (sum >> 16U);
    return sum;
}

// Checks the header and checksums of a reply and returns its payload.
bytes checked_reply(const bytes& reply, const flow_ends& ends, std::uint8_t protocol) {
    const bool  is_v4 = ends.caller.address.is_v4();
    bytes       payload(reply.begin() + (is_v4 ? 20 : 40), reply.end());
    const bytes header(reply.begin(), reply.begin() + (is_v4 ? 20 : 40));
    const bytes addresses = address(ends.service.address) + address(ends.caller.address);
    BOOST_TEST((bytes(header.begin() + (is_v4 ? 12 : 8), header.end()) == addresses));
    BOOST_TEST(value_at(header, is_v4 ? 9 : 6, 1) == protocol);
    BOOST_TEST(value_at(header, is_v4 ? 2 : 4, 2) == (is_v4 ? reply.size() : payload.size()));
    if (is_v4) BOOST_TEST(internet_sum(header) == 0xffffU);
    const bool has_pseudo_header = !is_v4 || protocol == 6;
    const auto pseudo = has_pseudo_header ? addresses + number(payload.size(), 4) + number(protocol, 4) : bytes{};
    BOOST_TEST(internet_sum(pseudo + payload) == 0xffffU);
    return payload;
}

} // namespace

BOOST_AUTO_TEST_CASE(gue_headers_are_checked) {
    for (const flow_ends& ends : {v4, v6}) {
        const auto  header = make_gue_header(ends.caller.address.is_v4());
        const bytes inner = tcp_packet(ends, syn);
        const bytes packet = bytes(header.begin(), header.end()) + inner;
        const auto  found = decapsulate(packet).value();
        BOOST_TEST((bytes(found.begin(), found.end()) == inner));
        for (const std::size_t offset : {0U, 1U, 2U, 3U}) // version, control bit and length; protocol; flags
            BOOST_TEST((decapsulate(with_byte(packet, offset, 0x41)).error() == packet_error::bad_gue_header));
    }
    // A protocol that contradicts the inner packet.
    BOOST_TEST((decapsulate(number(0x00040000, 4) + tcp_packet(v6, syn)).error() == packet_error::bad_ip_header));
}

BOOST_AUTO_TEST_CASE(tcp_and_udp_are_read) {
    for (const flow_ends& ends : {v4, v6}) {
        const packet_info opening = parse_packet(tcp_packet(ends, syn)).value();
        BOOST_TEST((opening.flow == flow_tuple{transport::tcp, ends.caller, ends.service}));
        BOOST_TEST((opening.syn && !opening.fin && !opening.rst && !opening.icmp_error));
        BOOST_TEST((opening.sequence == 1'000U && opening.acknowledgement == 0U)); // ACK is not set
        const packet_info closing = parse_packet(tcp_packet(ends, fin | ack, 100) + bytes(9)).value();
        BOOST_TEST((!closing.syn && closing.fin && closing.acknowledgement == 5'000U));
        BOOST_TEST(closing.payload_size == 100U); // without the bytes after the packet
        BOOST_TEST(!parse_packet(tcp_packet(ends, syn | ack)).value().syn);
        BOOST_TEST(parse_packet(tcp_packet(ends, rst)).value().rst);
        const packet_info datagram = parse_packet(udp_packet(ends, 33)).value();
        BOOST_TEST((datagram.flow == flow_tuple{transport::udp, ends.caller, ends.service}));
        BOOST_TEST(datagram.payload_size == 33U);
    }
    const bytes options = ip(v4.caller, v4.service, 6, number(0x01010101, 4) + tcp(v4, syn));
    BOOST_TEST(parse_packet(with_byte(options, 0, 0x46)).value().syn);
    BOOST_TEST(parse_packet(extended(0, {60, 6})).value().syn);
    BOOST_TEST(parse_packet(with_byte(tcp_packet(v4, syn), 6, 0x40)).value().syn); // do not fragment
}

BOOST_AUTO_TEST_CASE(malformed_packets_are_rejected_with_the_reason) {
    using enum packet_error;
    bytes mapped = tcp_packet(v6, ack); // IPv4-mapped address: would match the IPv4 flow
    std::copy_n(std::as_bytes(std::span(v4.service.address.bytes)).begin(), 16, mapped.begin() + 24);
    std::vector<std::tuple<std::string, bytes, packet_error>> cases = {
        {"IPv4 header of 16 bytes", with_byte(tcp_packet(v4, ack), 0, 0x44), bad_ip_header},
        {"IP version 5", with_byte(tcp_packet(v4, ack), 0, 0x55), bad_ip_header},
        {"more fragments", with_byte(tcp_packet(v4, ack), 6, 0x20), fragment},
        {"fragment offset", with_byte(tcp_packet(v4, ack), 7, 0x01), fragment},
        {"fragment header", extended(60, {44}), fragment},
        {"hop-by-hop options in second place", extended(60, {0, 6}), bad_ip_header},
        {"routing header", extended(43, {6}), unsupported_protocol},
        {"five extension headers", extended(60, {60, 60, 60, 60, 6}), unsupported_protocol},
        {"extension header past the end", with_byte(extended(60, {6}), 41, 0xff), truncated},
        {"IPv4-mapped address in IPv6", mapped, bad_ip_header},
        {"ping", ip(v4.caller, v4.service, 1, number(8, 1) + bytes(30)), unsupported_protocol},
    };
    // Forged sources, which must not get a reply.
    for (const char* text : {"0.0.0.0", "224.0.0.1", "255.255.255.255", "::", "ff02::1"}) {
        const endpoint source{ip_address::parse(text).value(), 1};
        const endpoint service = source.address.is_v4() ? v4.service : v6.service;
        cases.emplace_back(text, ip(source, service, 6, tcp(v4, syn)), bad_ip_header);
    }
    for (const flow_ends& ends : {v4, v6}) {
        const std::size_t header = ends.caller.address.is_v4() ? 20 : 40;
        const bytes       segment = tcp_packet(ends, ack);
        const bytes       datagram = udp_packet(ends, 4);
        cases.emplace_back("TCP header of 16 bytes", with_byte(segment, header + 12, 0x40), bad_transport_header);
        cases.emplace_back("TCP options past the end", with_byte(segment, header + 12, 0x60), truncated);
        cases.emplace_back("UDP length below 8", with_byte(datagram, header + 5, 7), bad_transport_header);
        cases.emplace_back("UDP length past the end", with_byte(datagram, header + 5, 13), truncated);
        for (auto end = segment.begin(); end != segment.end(); ++end)
            cases.emplace_back("cut", bytes(segment.begin(), end), truncated);
    }
    for (const auto& [name, packet, expected] : cases) {
        const auto parsed = parse_packet(packet);
        BOOST_TEST((!parsed.has_value() && parsed.error() == expected), name << " of " << packet.size() << " bytes");
    }
}

BOOST_AUTO_TEST_CASE(icmp_errors_belong_to_the_flow_they_quote) {
    for (const flow_ends& ends : {v4, v6}) {
        const bool         is_v4 = ends.caller.address.is_v4();
        const std::uint8_t protocol = is_v4 ? 1 : 58;
        const endpoint     router{ip_address::parse(is_v4 ? "10.9.9.9" : "2001:db8:9::9").value(), 0};
        const bytes        quoted = tcp_packet({ends.service, ends.caller}, ack);
        bytes              error = number(is_v4 ? 3 : 2, 1) + bytes(7) + quoted;
        error.erase(error.end() - 12, error.end()); // up to 8 bytes after the quoted IP header
        const packet_info parsed = parse_packet(ip(router, ends.service, protocol, error)).value();
        BOOST_TEST((parsed.icmp_error && parsed.flow == flow_tuple{transport::tcp, ends.caller, ends.service}));
        bytes none;
        append_tcp_reset(parsed, none); // errors are never answered
        append_port_unreachable(error, parsed, none);
        BOOST_TEST(none.empty());
        // A forged error: sent to a different address than the source of the quoted packet.
        BOOST_TEST(!parse_packet(ip(router, router, protocol, error)).has_value());
        error.pop_back();
        BOOST_TEST(!parse_packet(ip(router, ends.service, protocol, error)).has_value());
    }
}

BOOST_AUTO_TEST_CASE(resets_follow_rfc_9293) {
    for (const flow_ends& ends : {v4, v6}) {
        const auto reset_for = [&ends](std::uint8_t flags, std::size_t payload) {
            bytes out(3); // replies are appended
            append_tcp_reset(parse_packet(tcp_packet(ends, flags, payload)).value(), out);
            return bytes(out.begin() + 3, out.end());
        };
        const bytes answer = checked_reply(reset_for(ack, 10), ends, 6);
        BOOST_TEST(value_at(answer, 0, 4) == (std::uint64_t{ends.service.port} << 16U | ends.caller.port));
        BOOST_TEST(value_at(answer, 4, 4) == 5'000U);
        BOOST_TEST(value_at(answer, 12, 2) == 0x5004U); // 20 bytes, RST
        const bytes refusal = checked_reply(reset_for(syn | fin, 9), ends, 6);
        BOOST_TEST(value_at(refusal, 4, 8) == 1'011U);   // sequence number 0, acknowledges SYN, FIN and payload
        BOOST_TEST(value_at(refusal, 12, 2) == 0x5014U); // RST and ACK
        BOOST_TEST(reset_for(rst | ack, 0).empty());
    }
}

BOOST_AUTO_TEST_CASE(port_unreachable_quotes_the_packet) {
    for (const flow_ends& ends : {v4, v6}) {
        const bool is_v4 = ends.caller.address.is_v4();
        for (const std::size_t payload : {0U, 5U, 3'000U}) {
            const bytes inner = udp_packet(ends, payload);
            bytes       out;
            append_port_unreachable(inner + bytes(7), parse_packet(inner).value(), out);
            const bytes error = checked_reply(out, ends, is_v4 ? 1 : 58);
            BOOST_TEST(value_at(error, 0, 2) == (is_v4 ? 0x0303U : 0x0104U));
            BOOST_TEST(out.size() == std::min<std::size_t>(inner.size() + (is_v4 ? 28 : 48), is_v4 ? 576 : 1'280));
            BOOST_TEST(std::equal(error.begin() + 8, error.end(), inner.begin()));
        }
    }
}

// Balancers of different versions must agree on the owner of a flow, so the value of the key is part of the protocol.
BOOST_AUTO_TEST_CASE(flow_keys_are_fixed) {
    const flow_key key = make_flow_key({transport::tcp, v4.caller, v4.service}, 7);
    BOOST_TEST((key == flow_key{1164055785463386782U, 9923675605190057774U}));
    BOOST_TEST((make_flow_key({transport::udp, v4.caller, v4.service}, 7) != key));
}
