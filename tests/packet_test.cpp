// Packets: guards against misread headers, replies that a caller's stack would discard, and flow keys that differ
// between balancers.
#define BOOST_TEST_MODULE packet
#include "tamarack/packet.h"

#include <boost/endian/conversion.hpp>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace tamarack;

namespace {

using bytes = std::vector<std::byte>;

constexpr std::uint8_t fin = 1;
constexpr std::uint8_t syn = 2;
constexpr std::uint8_t rst = 4;
constexpr std::uint8_t ack = 16;

const endpoint caller4{ip_address::v4(0xc0000201), 40'000};
const endpoint service4{ip_address::v4(0xc6336407), 443};
const endpoint caller6{ip_address::parse("2001:db8::1").value(), 40'000};
const endpoint service6{ip_address::parse("2001:db8:7::7").value(), 443};

// The ends of a flow in each IP version.
struct flow_ends {
    endpoint caller;
    endpoint service;
};
const std::array<flow_ends, 2> both_versions = {{{caller4, service4}, {caller6, service6}}};

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
    return item.is_v4() ? bytes(all.begin() + 12, all.end()) : bytes(all.begin(), all.end());
}

bytes ip(const endpoint& from, const endpoint& to, std::uint8_t protocol, const bytes& payload) {
    if (from.address.is_v4()) {
        return number(0x4500, 2) + number(20 + payload.size(), 2) + number(0, 4) + number(64, 1) + number(protocol, 1) +
               number(0, 2) + address(from.address) + address(to.address) + payload;
    }
    return number(0x60000000, 4) + number(payload.size(), 2) + number(protocol, 1) + number(64, 1) +
           address(from.address) + address(to.address) + payload;
}

bytes tcp(const endpoint& from, const endpoint& to, std::uint8_t flags, std::size_t payload = 0,
          std::uint32_t sequence = 1'000, std::uint32_t acknowledgement = 5'000) {
    return number(from.port, 2) + number(to.port, 2) + number(sequence, 4) + number(acknowledgement, 4) +
           number(0x50, 1) + number(flags, 1) + number(0, 6) + bytes(payload);
}

bytes udp(const endpoint& from, const endpoint& to, std::size_t payload) {
    return number(from.port, 2) + number(to.port, 2) + number(8 + payload, 2) + number(0, 2) + bytes(payload);
}

std::uint16_t u16(byte_view view, std::size_t at) {
    return boost::endian::load_big_u16(reinterpret_cast<const unsigned char*>(view.data()) + at);
}

std::uint32_t u32(byte_view view, std::size_t at) {
    return boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(view.data()) + at);
}

// RFC 1071: the sum over data with a correct checksum is 0xffff.
std::uint32_t internet_sum(const bytes& data) {
    std::uint32_t sum = 0;
    for (std::size_t i = 0; i < data.size(); ++i)
        sum += std::to_integer<std::uint32_t>(data[i]) << (i % 2 == 0 ? 8 : 0);
    while (sum > 0xffff)
        sum = (sum & 0xffff) + (sum >> 16);
    return sum;
}

// Checks lengths, addresses and checksums of a reply, and returns its payload.
bytes checked_reply(const bytes& reply, const endpoint& service, const endpoint& caller, std::uint8_t protocol) {
    const bool        v4 = service.address.is_v4();
    const std::size_t header = v4 ? 20 : 40;
    BOOST_REQUIRE(reply.size() > header);
    bytes       payload(reply.begin() + static_cast<std::ptrdiff_t>(header), reply.end());
    const bytes addresses = address(service.address) + address(caller.address);
    BOOST_TEST(std::equal(addresses.begin(), addresses.end(), reply.begin() + (v4 ? 12 : 8)));
    BOOST_TEST(std::to_integer<int>(reply[v4 ? 9 : 6]) == int{protocol});
    BOOST_TEST(u16(reply, v4 ? 2 : 4) == (v4 ? reply.size() : payload.size()));
    if (v4) BOOST_TEST(internet_sum({reply.begin(), reply.begin() + 20}) == 0xffffU);
    const bool has_pseudo_header = !v4 || protocol == 6;
    const auto pseudo = has_pseudo_header ? addresses + number(payload.size(), 4) + number(protocol, 4) : bytes{};
    BOOST_TEST(internet_sum(pseudo + payload) == 0xffffU);
    return payload;
}

packet_error error_of(const bytes& inner) {
    const auto parsed = parse_packet(inner);
    BOOST_REQUIRE(!parsed.has_value());
    return parsed.error();
}

} // namespace

BOOST_AUTO_TEST_CASE(gue_headers_are_checked) {
    const bytes inner4 = ip(caller4, service4, 6, tcp(caller4, service4, syn));
    const bytes inner6 = ip(caller6, service6, 6, tcp(caller6, service6, syn));
    for (const bytes& inner : {inner4, inner6}) {
        const auto  header = make_gue_header(inner == inner4);
        const bytes packet = bytes(header.begin(), header.end()) + inner;
        const auto  found = decapsulate(packet);
        BOOST_REQUIRE(found.has_value());
        BOOST_TEST(std::equal(inner.begin(), inner.end(), found.value().begin(), found.value().end()));
        for (const std::size_t at : {0U, 2U, 3U}) { // version, control bit and header length; flags
            bytes changed = packet;
            changed[at] = std::byte{0x41};
            BOOST_TEST((decapsulate(changed).error() == packet_error::bad_gue_header));
        }
    }
    BOOST_TEST((decapsulate(number(0x00040000, 4) + inner6).error() == packet_error::bad_ip_header));
    BOOST_TEST((decapsulate(number(0x00060000, 4) + inner4).error() == packet_error::bad_gue_header));
    BOOST_TEST((decapsulate(number(0x00040000, 4)).error() == packet_error::truncated));
    BOOST_TEST((decapsulate(number(0, 3)).error() == packet_error::truncated));
}

BOOST_AUTO_TEST_CASE(tcp_and_udp_are_read) {
    for (const auto& [caller, service] : both_versions) {
        const auto opening = parse_packet(ip(caller, service, 6, tcp(caller, service, syn, 0, 77)));
        BOOST_REQUIRE(opening.has_value());
        BOOST_TEST((opening.value().flow == flow_tuple{transport::tcp, caller, service}));
        BOOST_TEST((opening.value().syn && !opening.value().fin && !opening.value().rst));
        BOOST_TEST(opening.value().sequence == 77U);
        BOOST_TEST(opening.value().acknowledgement == 0U);

        const auto closing = parse_packet(ip(caller, service, 6, tcp(caller, service, fin | ack, 100)) + number(0, 9));
        BOOST_REQUIRE(closing.has_value());
        BOOST_TEST((!closing.value().syn && closing.value().fin));
        BOOST_TEST(closing.value().acknowledgement == 5'000U);
        BOOST_TEST(closing.value().payload_size == 100U); // without the bytes after the packet

        BOOST_TEST(!parse_packet(ip(caller, service, 6, tcp(caller, service, syn | ack))).value().syn);
        BOOST_TEST(parse_packet(ip(caller, service, 6, tcp(caller, service, rst))).value().rst);

        const auto datagram = parse_packet(ip(caller, service, 17, udp(caller, service, 33)));
        BOOST_REQUIRE(datagram.has_value());
        BOOST_TEST((datagram.value().flow == flow_tuple{transport::udp, caller, service}));
        BOOST_TEST(datagram.value().payload_size == 33U);
    }
}

BOOST_AUTO_TEST_CASE(options_and_extension_headers_are_skipped) {
    bytes options = ip(caller4, service4, 6, number(0x01010101, 4) + tcp(caller4, service4, syn));
    options[0] = std::byte{0x46};
    BOOST_TEST((parse_packet(options).value().flow == flow_tuple{transport::tcp, caller4, service4}));

    const bytes segment = tcp(caller6, service6, syn);
    const auto  skip = [](std::uint8_t next) { return number(next, 1) + number(1, 1) + bytes(14); };
    BOOST_TEST((parse_packet(ip(caller6, service6, 0, skip(60) + skip(6) + segment)).value().flow ==
                flow_tuple{transport::tcp, caller6, service6}));
    BOOST_TEST((error_of(ip(caller6, service6, 60, skip(0) + skip(6) + segment)) == packet_error::bad_ip_header));
    BOOST_TEST((error_of(ip(caller6, service6, 43, skip(6) + segment)) == packet_error::unsupported_protocol));
    const bytes chain = skip(60) + skip(60) + skip(60) + skip(60);
    BOOST_TEST((error_of(ip(caller6, service6, 60, chain + skip(6) + segment)) == packet_error::unsupported_protocol));
    BOOST_TEST((error_of(ip(caller6, service6, 60, number(0x06ff, 2) + bytes(6))) == packet_error::truncated));
}

BOOST_AUTO_TEST_CASE(fragments_are_told_apart) {
    bytes packet = ip(caller4, service4, 6, tcp(caller4, service4, ack));
    packet[6] = std::byte{0x40}; // do not fragment
    BOOST_TEST(parse_packet(packet).has_value());
    packet[6] = std::byte{0x20}; // more fragments
    BOOST_TEST((error_of(packet) == packet_error::fragment));
    packet[6] = std::byte{0x00};
    packet[7] = std::byte{0x01}; // offset
    BOOST_TEST((error_of(packet) == packet_error::fragment));
    BOOST_TEST((error_of(ip(caller6, service6, 44, bytes(8) + tcp(caller6, service6, ack))) == packet_error::fragment));
}

BOOST_AUTO_TEST_CASE(lengths_are_checked) {
    for (const auto& [caller, service] : both_versions) {
        for (const bytes& whole : {ip(caller, service, 6, tcp(caller, service, ack, 10)),
                                   ip(caller, service, 17, udp(caller, service, 10))}) {
            for (auto end = whole.begin(); end != whole.end(); ++end)
                BOOST_TEST((error_of({whole.begin(), end}) == packet_error::truncated));
        }
        bytes segment = tcp(caller, service, ack);
        segment[12] = std::byte{0x40}; // header of 16 bytes
        BOOST_TEST((error_of(ip(caller, service, 6, segment)) == packet_error::bad_transport_header));
        segment[12] = std::byte{0x60}; // options past the end
        BOOST_TEST((error_of(ip(caller, service, 6, segment)) == packet_error::truncated));
        bytes datagram = udp(caller, service, 4);
        datagram[5] = std::byte{7};
        BOOST_TEST((error_of(ip(caller, service, 17, datagram)) == packet_error::bad_transport_header));
        datagram[5] = std::byte{13};
        BOOST_TEST((error_of(ip(caller, service, 17, datagram)) == packet_error::truncated));
    }
    bytes packet = ip(caller4, service4, 6, tcp(caller4, service4, ack));
    packet[0] = std::byte{0x44}; // header of 16 bytes
    BOOST_TEST((error_of(packet) == packet_error::bad_ip_header));
    packet[0] = std::byte{0x55}; // version
    BOOST_TEST((error_of(packet) == packet_error::bad_ip_header));
}

// An IPv6 packet with IPv4-mapped addresses would be taken for the IPv4 flow; forged sources must get no reply.
BOOST_AUTO_TEST_CASE(misleading_addresses_are_refused) {
    bytes mapped = ip(caller6, service6, 6, tcp(caller6, service6, ack));
    std::copy_n(std::as_bytes(std::span(service4.address.bytes)).begin(), 16, mapped.begin() + 24);
    BOOST_TEST((error_of(mapped) == packet_error::bad_ip_header));
    for (const char* text : {"0.0.0.0", "224.0.0.1", "255.255.255.255", "::", "ff02::1"}) {
        const endpoint  source{ip_address::parse(text).value(), 1};
        const endpoint& service = source.address.is_v4() ? service4 : service6;
        BOOST_TEST((error_of(ip(source, service, 6, tcp(source, service, syn))) == packet_error::bad_ip_header), text);
    }
}

BOOST_AUTO_TEST_CASE(icmp_errors_belong_to_the_flow_they_quote) {
    const endpoint router4{ip_address::v4(0x0a090909), 0};
    const endpoint router6{ip_address::parse("2001:db8:9::9").value(), 0};
    for (const auto& [caller, service, router, protocol, type] :
         {std::tuple(caller4, service4, router4, std::uint8_t{1}, 3),
          std::tuple(caller6, service6, router6, std::uint8_t{58}, 2)}) {
        for (const std::uint8_t quoted_protocol : {std::uint8_t{6}, std::uint8_t{17}}) {
            const bytes quoted = ip(service, caller, quoted_protocol, tcp(service, caller, ack, 400));
            const bytes cut(quoted.begin(), quoted.end() - 412); // 8 bytes after the IP header
            const bytes error = number(static_cast<std::uint64_t>(type), 1) + number(4, 1) + number(0, 6) + cut;
            const auto  parsed = parse_packet(ip(router, service, protocol, error));
            BOOST_REQUIRE(parsed.has_value());
            BOOST_TEST(parsed.value().icmp_error);
            BOOST_TEST((parsed.value().flow == flow_tuple{static_cast<transport>(quoted_protocol), caller, service}));
            BOOST_TEST(!parsed.value().syn);
            bytes reply;
            append_tcp_reset(parsed.value(), reply); // errors are never answered
            append_port_unreachable(error, parsed.value(), reply);
            BOOST_TEST(reply.empty());

            BOOST_TEST(
                (error_of(ip(router, service, protocol, {error.begin(), error.end() - 1})) == packet_error::truncated));
            // Sent to another address than the source of the quoted packet.
            BOOST_TEST((error_of(ip(router, router, protocol, error)) == packet_error::bad_transport_header));
        }
        const bytes echo = number(protocol == 1 ? 8 : 128, 1) + bytes(30);
        BOOST_TEST((error_of(ip(caller, service, protocol, echo)) == packet_error::unsupported_protocol));
    }
}

BOOST_AUTO_TEST_CASE(resets_follow_rfc_9293) {
    for (const flow_ends& ends : both_versions) {
        const endpoint& caller = ends.caller;
        const endpoint& service = ends.service;
        const auto      reset_for = [&](std::uint8_t flags, std::size_t payload) {
            bytes out(3, std::byte{9}); // replies are appended
            append_tcp_reset(parse_packet(ip(caller, service, 6, tcp(caller, service, flags, payload))).value(), out);
            return bytes(out.begin() + 3, out.end());
        };
        const bytes answer = checked_reply(reset_for(ack, 10), service, caller, 6);
        BOOST_TEST(u16(answer, 0) == service.port);
        BOOST_TEST(u16(answer, 2) == caller.port);
        BOOST_TEST(u32(answer, 4) == 5'000U);
        BOOST_TEST(u16(answer, 12) == 0x5004U); // 20 bytes, RST

        const bytes refusal = checked_reply(reset_for(syn, 0), service, caller, 6);
        BOOST_TEST(u32(refusal, 4) == 0U);
        BOOST_TEST(u32(refusal, 8) == 1'001U);
        BOOST_TEST(u16(refusal, 12) == 0x5014U); // RST and ACK
        BOOST_TEST(u32(checked_reply(reset_for(syn | fin, 9), service, caller, 6), 8) == 1'011U);
        BOOST_TEST(reset_for(rst, 0).empty());
        BOOST_TEST(reset_for(rst | ack, 0).empty());
    }
}

BOOST_AUTO_TEST_CASE(port_unreachable_quotes_the_packet) {
    for (const auto& [caller, service] : both_versions) {
        const bool v4 = caller.address.is_v4();
        for (const std::size_t payload : {0U, 5U, 3'000U}) {
            const bytes inner = ip(caller, service, 17, udp(caller, service, payload));
            bytes       out;
            append_port_unreachable(inner + number(0, 7), parse_packet(inner).value(), out);
            BOOST_TEST(out.size() <= (v4 ? 576U : 1'280U));
            const bytes error = checked_reply(out, service, caller, v4 ? 1 : 58);
            BOOST_TEST(u16(error, 0) == (v4 ? 0x0303U : 0x0104U));
            const std::size_t quoted = error.size() - 8;
            BOOST_TEST(quoted == std::min<std::size_t>(inner.size(), (v4 ? 576 - 20 : 1'280 - 40) - 8));
            BOOST_TEST(std::equal(error.begin() + 8, error.end(), inner.begin()));
        }
    }
}

// Balancers of different builds must agree on the owner of a flow, so the key's value is part of the protocol.
BOOST_AUTO_TEST_CASE(flow_keys_are_fixed_and_distinct) {
    const flow_tuple flow{transport::tcp, caller4, service4};
    const flow_key   key = make_flow_key(flow, 7);
    BOOST_TEST(key.high == 1225937042751775242U);
    BOOST_TEST(key.low == 1970626009736420960U);
    flow_tuple other = flow;
    other.protocol = transport::udp;
    std::set<std::pair<std::uint64_t, std::uint64_t>> keys;
    for (const flow_key& item :
         {key, make_flow_key(flow, 8), make_flow_key(other, 7), make_flow_key({transport::tcp, service4, caller4}, 7),
          make_flow_key({transport::tcp, {caller4.address, 40'001}, service4}, 7),
          make_flow_key({transport::tcp, caller4, {service4.address, 444}}, 7)})
        keys.emplace(item.high, item.low);
    BOOST_TEST(keys.size() == 6U);
}
