// Parsing of GUE and inner IP packets, flow keys, and the replies that a balancer sends to callers.
//
// Checksums of received packets are not verified: packets are forwarded unchanged, and the backend server verifies
// them.
#include "tamarack/packet.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <cstring>

namespace tamarack {

namespace {

using boost::endian::load_big_u16;
using boost::endian::load_big_u32;
using boost::endian::store_big_u16;
using boost::endian::store_big_u32;

// IANA protocol numbers.
constexpr std::uint8_t protocol_hop_by_hop = 0;
constexpr std::uint8_t protocol_icmp = 1;
constexpr std::uint8_t protocol_ipv4 = 4;
constexpr std::uint8_t protocol_tcp = 6;
constexpr std::uint8_t protocol_udp = 17;
constexpr std::uint8_t protocol_ipv6 = 41;
constexpr std::uint8_t protocol_fragment = 44;
constexpr std::uint8_t protocol_icmpv6 = 58;
constexpr std::uint8_t protocol_destination_options = 60;

// Sizes in bytes.
constexpr std::size_t ipv4_header_size = 20; // without options
constexpr std::size_t ipv6_header_size = 40;
constexpr std::size_t tcp_header_size = 20; // without options
constexpr std::size_t udp_header_size = 8;
constexpr std::size_t icmp_header_size = 8;
constexpr std::size_t quoted_transport_size = 8; // minimum of the transport header that an ICMP error quotes

// Longer chains of options are not used in practice, and each header costs time.
constexpr std::size_t max_extension_headers = 4;

constexpr std::uint8_t tcp_flag_fin = 0x01;
constexpr std::uint8_t tcp_flag_syn = 0x02;
constexpr std::uint8_t tcp_flag_rst = 0x04;
constexpr std::uint8_t tcp_flag_ack = 0x10;

constexpr std::uint8_t reply_hop_limit = 64;
// Largest ICMP errors: RFC 1812 section 4.3.2.3, and the IPv6 minimum MTU (RFC 4443 section 3.1).
constexpr std::size_t  max_icmp_packet = 576;
constexpr std::size_t  max_icmpv6_packet = 1280;

// Offset of the IPv4 address in its IPv4-mapped form.
constexpr std::size_t v4_offset = 12;

const unsigned char* unsigned_bytes(byte_view view) {
    return reinterpret_cast<const unsigned char*>(view.data());
}

std::uint8_t u8(byte_view view, std::size_t offset) {
    return std::to_integer<std::uint8_t>(view[offset]);
}

std::uint16_t u16(byte_view view, std::size_t offset) {
    return load_big_u16(unsigned_bytes(view) + offset);
}

std::uint32_t u32(byte_view view, std::size_t offset) {
    return load_big_u32(unsigned_bytes(view) + offset);
}

// Error for which a packet is rejected, or nothing.
using failure = std::optional<packet_error>;

// IP version, protocol and payload of a packet. The addresses are stored in the flow tuple.
struct ip_packet {
    bool         v4 = true;
    std::uint8_t protocol = 0;
    byte_view    payload;
};

// Whether the bytes are a whole packet or the start of one that an ICMP error quotes. The length field of a quoted
// packet may exceed the bytes present, and a first fragment is accepted, since it has the ports.
enum class packet_extent : std::uint8_t { whole, quoted };

ip_address v4_address(byte_view view, std::size_t offset) {
    ip_address address;
    address.bytes[v4_offset - 2] = address.bytes[v4_offset - 1] = 0xff;
    std::copy_n(unsigned_bytes(view) + offset, 4, address.bytes.begin() + v4_offset);
    return address;
}

ip_address v6_address(byte_view view, std::size_t offset) {
    ip_address address;
    std::copy_n(unsigned_bytes(view) + offset, address.bytes.size(), address.bytes.begin());
    return address;
}

// True if a reply may be sent to the address. Unspecified, multicast and broadcast sources are forged.
bool usable_source(const ip_address& address, bool v4) {
    if (!v4) return address.bytes[0] != 0xff && address != ip_address{};
    const std::uint32_t value = load_big_u32(address.bytes.data() + v4_offset);
    return value != 0 && value >> 28 != 0xe && value != 0xffffffff;
}

failure read_ipv4(byte_view bytes, packet_extent extent, ip_packet& ip, flow_tuple& flow) {
    if (bytes.size() < ipv4_header_size) return packet_error::truncated;
    const std::size_t header_size = (u8(bytes, 0) & 0x0fU) * std::size_t{4};
    const std::size_t total_size = u16(bytes, 2);
    if (header_size < ipv4_header_size || total_size < header_size) return packet_error::bad_ip_header;
    if (bytes.size() < header_size) return packet_error::truncated;
    if (bytes.size() < total_size && extent == packet_extent::whole) return packet_error::truncated;

    const std::uint16_t fragment = u16(bytes, 6);
    const bool          more_fragments = (fragment & 0x2000U) != 0;
    if ((fragment & 0x1fffU) != 0) return packet_error::fragment;
    if (more_fragments && extent == packet_extent::whole) return packet_error::fragment;

    flow.source.address = v4_address(bytes, 12);
    flow.destination.address = v4_address(bytes, 16);
    ip = {true, u8(bytes, 9), bytes.first(std::min(bytes.size(), total_size)).subspan(header_size)};
    return {};
}

// Skips hop-by-hop and destination options.
failure skip_extension_headers(ip_packet& ip) {
    for (std::size_t header_count = 0;; ++header_count) {
        if (ip.protocol == protocol_fragment) return packet_error::fragment;
        const bool hop_by_hop = ip.protocol == protocol_hop_by_hop;
        if (!hop_by_hop && ip.protocol != protocol_destination_options) return {};
        if (hop_by_hop && header_count > 0) return packet_error::bad_ip_header; // RFC 8200: must be the first one
        if (header_count == max_extension_headers) return packet_error::unsupported_protocol;
        if (ip.payload.size() < 8) return packet_error::truncated;
        const std::size_t size = (std::size_t{u8(ip.payload, 1)} + 1) * 8;
        if (ip.payload.size() < size) return packet_error::truncated;
        ip.protocol = u8(ip.payload, 0);
        ip.payload = ip.payload.subspan(size);
    }
}

failure read_ipv6(byte_view bytes, packet_extent extent, ip_packet& ip, flow_tuple& flow) {
    if (bytes.size() < ipv6_header_size) return packet_error::truncated;
    const std::size_t total_size = ipv6_header_size + u16(bytes, 4);
    if (bytes.size() < total_size && extent == packet_extent::whole) return packet_error::truncated;

    flow.source.address = v6_address(bytes, 8);
    flow.destination.address = v6_address(bytes, 24);
    // IPv4-mapped addresses are not valid on the wire; if accepted, an IPv6 packet could match an IPv4 flow.
    if (flow.source.address.is_v4() || flow.destination.address.is_v4()) return packet_error::bad_ip_header;
    ip = {false, u8(bytes, 6), bytes.first(std::min(bytes.size(), total_size)).subspan(ipv6_header_size)};
    return skip_extension_headers(ip);
}

failure read_ip(byte_view bytes, packet_extent extent, ip_packet& ip, flow_tuple& flow) {
    if (bytes.empty()) return packet_error::truncated;
    const unsigned version = u8(bytes, 0) >> 4U;
    if (version == 4) return read_ipv4(bytes, extent, ip, flow);
    if (version == 6) return read_ipv6(bytes, extent, ip, flow);
    return packet_error::bad_ip_header;
}

failure read_tcp(byte_view segment, packet_info& info) {
    if (segment.size() < tcp_header_size) return packet_error::truncated;
    const std::size_t header_size = (u8(segment, 12) >> 4U) * std::size_t{4};
    if (header_size < tcp_header_size) return packet_error::bad_transport_header;
    if (segment.size() < header_size) return packet_error::truncated;

    const std::uint8_t flags = u8(segment, 13);
    const bool         acknowledges = (flags & tcp_flag_ack) != 0;
    info.flow.protocol = transport::tcp;
    info.flow.source.port = u16(segment, 0);
    info.flow.destination.port = u16(segment, 2);
    info.syn = (flags & tcp_flag_syn) != 0 && !acknowledges;
    info.fin = (flags & tcp_flag_fin) != 0;
    info.rst = (flags & tcp_flag_rst) != 0;
    info.sequence = u32(segment, 4);
    info.acknowledgement = acknowledges ? u32(segment, 8) : 0;
    info.payload_size = static_cast<std::uint32_t>(segment.size() - header_size);
    return {};
}

failure read_udp(byte_view datagram, packet_info& info) {
    if (datagram.size() < udp_header_size) return packet_error::truncated;
    const std::size_t size = u16(datagram, 4);
    if (size < udp_header_size) return packet_error::bad_transport_header;
    if (datagram.size() < size) return packet_error::truncated;

    info.flow.protocol = transport::udp;
    info.flow.source.port = u16(datagram, 0);
    info.flow.destination.port = u16(datagram, 2);
    info.payload_size = static_cast<std::uint32_t>(size - udp_header_size);
    return {};
}

// True for ICMP types that report an undelivered packet. Source quench and redirect (4, 5) are obsolete or unsafe to
// follow.
bool is_icmp_error(std::uint8_t type, bool v4) {
    if (v4) return type == 3 || type == 11 || type == 12;
    return type >= 1 && type <= 4;
}

// The quoted packet was sent by the backend server with the service's address as its source, so source and destination
// of the flow are those of the quoted packet, swapped.
failure read_icmp(const ip_packet& ip, packet_info& info) {
    if (ip.payload.size() < icmp_header_size) return packet_error::truncated;
    if (!is_icmp_error(u8(ip.payload, 0), ip.v4)) return packet_error::unsupported_protocol;

    ip_packet  quoted;
    flow_tuple reply;
    if (const failure error = read_ip(ip.payload.subspan(icmp_header_size), packet_extent::quoted, quoted, reply))
        return error;
    if (quoted.protocol != protocol_tcp && quoted.protocol != protocol_udp) return packet_error::unsupported_protocol;
    if (quoted.payload.size() < quoted_transport_size) return packet_error::truncated;
    // An ICMP error is sent to the source of the quoted packet; otherwise it is forged.
    if (reply.source.address != info.flow.destination.address) return packet_error::bad_transport_header;

    info.icmp_error = true;
    info.flow.protocol = static_cast<transport>(quoted.protocol);
    info.flow.source = {reply.destination.address, u16(quoted.payload, 2)};
    info.flow.destination = {reply.source.address, u16(quoted.payload, 0)};
    return {};
}

failure read_packet(byte_view inner, packet_info& info) {
    ip_packet ip;
    if (const failure error = read_ip(inner, packet_extent::whole, ip, info.flow)) return error;
    if (!usable_source(info.flow.source.address, ip.v4)) return packet_error::bad_ip_header;
    if (ip.protocol == protocol_tcp) return read_tcp(ip.payload, info);
    if (ip.protocol == protocol_udp) return read_udp(ip.payload, info);
    if (ip.protocol == (ip.v4 ? protocol_icmp : protocol_icmpv6)) return read_icmp(ip, info);
    return packet_error::unsupported_protocol;
}

// Sum of 16-bit words for the Internet checksum (RFC 1071), not yet folded.
std::uint64_t add_words(std::uint64_t sum, byte_view bytes) {
    std::size_t i = 0;
    for (; i + 1 < bytes.size(); i += 2)
        sum += u16(bytes, i);
    if (i < bytes.size()) sum += std::uint64_t{u8(bytes, i)} << 8;
    return sum;
}

std::uint16_t fold_checksum(std::uint64_t sum) {
    while (sum >> 16 != 0)
        sum = (sum & 0xffff) + (sum >> 16);
    return static_cast<std::uint16_t>(~sum);
}

byte_view address_bytes(const ip_address& address) {
    const byte_view all = std::as_bytes(std::span(address.bytes));
    return address.is_v4() ? all.subspan(v4_offset) : all;
}

// Sum over the pseudo header of TCP and ICMPv6.
std::uint64_t pseudo_header_sum(const ip_address& source, const ip_address& destination, std::uint8_t protocol,
                                std::size_t size) {
    return add_words(add_words(protocol + size, address_bytes(source)), address_bytes(destination));
}

// A reply being built: an IP header without options, and space for the payload.
struct reply {
    std::vector<std::byte>& out;
    std::size_t             start;       // of the IP header in out
    std::size_t             header_size; // of the IP header
    std::size_t             payload_size;

    unsigned char* header() const { return reinterpret_cast<unsigned char*>(out.data()) + start; }
    unsigned char* payload() const { return header() + header_size; }
    byte_view      header_view() const { return byte_view(out).subspan(start, header_size); }
    byte_view      payload_view() const { return byte_view(out).subspan(start + header_size, payload_size); }
};

void fill_ipv4_header(const reply& packet, std::uint8_t protocol) {
    unsigned char* header = packet.header();
    header[0] = 0x45;
    store_big_u16(header + 2, static_cast<std::uint16_t>(packet.header_size + packet.payload_size));
    store_big_u16(header + 6, 0x4000); // do not fragment: the identification stays 0
    header[8] = reply_hop_limit;
    header[9] = protocol;
}

void fill_ipv6_header(const reply& packet, std::uint8_t protocol) {
    unsigned char* header = packet.header();
    header[0] = 0x60;
    store_big_u16(header + 4, static_cast<std::uint16_t>(packet.payload_size));
    header[6] = protocol;
    header[7] = reply_hop_limit;
}

// Appends an IP header from the service to the caller and zeros for the payload.
reply start_reply(const flow_tuple& flow, std::uint8_t protocol, std::size_t payload_size,
                  std::vector<std::byte>& out) {
    const bool        v4 = flow.source.address.is_v4();
    const std::size_t header_size = v4 ? ipv4_header_size : ipv6_header_size;
    const reply       packet{out, out.size(), header_size, payload_size};
    out.resize(out.size() + header_size + payload_size);

    v4 ? fill_ipv4_header(packet, protocol) : fill_ipv6_header(packet, protocol);
    const byte_view source = address_bytes(flow.destination.address);
    const byte_view destination = address_bytes(flow.source.address);
    std::copy(destination.begin(), destination.end(),
              out.begin() + static_cast<std::ptrdiff_t>(packet.start + header_size - destination.size()));
    std::copy(source.begin(), source.end(),
              out.begin() +
                  static_cast<std::ptrdiff_t>(packet.start + header_size - destination.size() - source.size()));
    if (v4) store_big_u16(packet.header() + 10, fold_checksum(add_words(0, packet.header_view())));
    return packet;
}

// Replies need source and destination of the same IP version, and ICMP errors are never answered.
bool can_reply(const packet_info& packet) {
    return !packet.icmp_error && packet.flow.source.address.is_v4() == packet.flow.destination.address.is_v4();
}

// Removes bytes after the end of the packet.
byte_view without_trailing_bytes(byte_view inner) {
    std::size_t size = inner.size();
    if (inner.size() >= ipv4_header_size && u8(inner, 0) >> 4 == 4) size = u16(inner, 2);
    if (inner.size() >= ipv6_header_size && u8(inner, 0) >> 4 == 6) size = ipv6_header_size + u16(inner, 4);
    return inner.first(std::min(size, inner.size()));
}

} // namespace

std::string_view to_string(packet_error error) {
    switch (error) {
    case packet_error::truncated:
        return "truncated";
    case packet_error::bad_gue_header:
        return "bad GUE header";
    case packet_error::bad_ip_header:
        return "bad IP header";
    case packet_error::fragment:
        return "fragment";
    case packet_error::unsupported_protocol:
        return "unsupported protocol";
    case packet_error::bad_transport_header:
        return "bad transport header";
    }
    return "unknown";
}

flow_key make_flow_key(const flow_tuple& flow, std::uint64_t hash_seed) {
    // Stored as whole words in network byte order: the hash reads words, and reading a word written by several stores
    // would stall the processor.
    constexpr std::size_t                           address_size = sizeof(ip_address::bytes);
    std::array<unsigned char, 2 * address_size + 8> bytes; // NOLINT: every byte is written below
    std::memcpy(bytes.data(), flow.source.address.bytes.data(), address_size);
    std::memcpy(bytes.data() + address_size, flow.destination.address.bytes.data(), address_size);
    const std::uint64_t ports = std::uint64_t{flow.source.port} << 16U | flow.destination.port;
    boost::endian::store_big_u64(bytes.data() + 2 * address_size,
                                 ports << 32U | static_cast<std::uint64_t>(flow.protocol));
    const XXH128_hash_t hash = XXH3_128bits_withSeed(bytes.data(), bytes.size(), hash_seed);
    return {hash.high64, hash.low64};
}

gue_header make_gue_header(bool inner_is_v4) {
    return {std::byte{0}, std::byte{inner_is_v4 ? protocol_ipv4 : protocol_ipv6}, std::byte{0}, std::byte{0}};
}

result<byte_view, packet_error> decapsulate(byte_view udp_payload) {
    if (udp_payload.size() < gue_header_size) return packet_error::truncated;
    // Variant, control bit, length of optional fields and flags must be zero.
    if (u8(udp_payload, 0) != 0 || u16(udp_payload, 2) != 0) return packet_error::bad_gue_header;
    const std::uint8_t protocol = u8(udp_payload, 1);
    if (protocol != protocol_ipv4 && protocol != protocol_ipv6) return packet_error::bad_gue_header;
    const byte_view inner = udp_payload.subspan(gue_header_size);
    if (inner.empty()) return packet_error::truncated;
    if (u8(inner, 0) >> 4 != (protocol == protocol_ipv4 ? 4 : 6)) return packet_error::bad_ip_header;
    return inner;
}

result<packet_info, packet_error> parse_packet(byte_view inner) {
    result<packet_info, packet_error> parsed{packet_info{}}; // filled in place to avoid a copy
    if (const failure error = read_packet(inner, parsed.assume_value())) parsed = *error;
    return parsed;
}

void append_tcp_reset(const packet_info& packet, std::vector<std::byte>& out) {
    if (packet.flow.protocol != transport::tcp || packet.rst || !can_reply(packet)) return;
    const reply    reset = start_reply(packet.flow, protocol_tcp, tcp_header_size, out);
    unsigned char* tcp = reset.payload();
    store_big_u16(tcp, packet.flow.destination.port);
    store_big_u16(tcp + 2, packet.flow.source.port);
    tcp[12] = tcp_header_size / 4 << 4;
    if (packet.acknowledgement != 0) {
        store_big_u32(tcp + 4, packet.acknowledgement);
        tcp[13] = tcp_flag_rst;
    } else {
        // Used without ACK, and for an acknowledgement number of 0: the sequence number 0 of this form is correct for
        // both.
        const std::uint32_t length = packet.payload_size + (packet.syn ? 1U : 0U) + (packet.fin ? 1U : 0U);
        store_big_u32(tcp + 8, packet.sequence + length);
        tcp[13] = tcp_flag_rst | tcp_flag_ack;
    }
    const std::uint64_t sum =
        pseudo_header_sum(packet.flow.destination.address, packet.flow.source.address, protocol_tcp, tcp_header_size);
    store_big_u16(tcp + 16, fold_checksum(add_words(sum, reset.payload_view())));
}

void append_port_unreachable(byte_view inner, const packet_info& packet, std::vector<std::byte>& out) {
    if (!can_reply(packet)) return;
    const bool         v4 = packet.flow.source.address.is_v4();
    const std::uint8_t protocol = v4 ? protocol_icmp : protocol_icmpv6;
    const std::size_t  max_payload = v4 ? max_icmp_packet - ipv4_header_size : max_icmpv6_packet - ipv6_header_size;
    const byte_view    packet_bytes = without_trailing_bytes(inner);
    const byte_view    quote = packet_bytes.first(std::min(packet_bytes.size(), max_payload - icmp_header_size));
    const reply        error = start_reply(packet.flow, protocol, icmp_header_size + quote.size(), out);
    unsigned char*     icmp = error.payload();
    icmp[0] = v4 ? 3 : 1; // destination unreachable
    icmp[1] = v4 ? 3 : 4; // port unreachable
    std::copy_n(unsigned_bytes(quote), quote.size(), icmp + icmp_header_size);
    const std::uint64_t sum = v4 ? 0
                                 : pseudo_header_sum(packet.flow.destination.address, packet.flow.source.address,
                                                     protocol, error.payload_size);
    store_big_u16(icmp + 2, fold_checksum(add_words(sum, error.payload_view())));
}

} // namespace tamarack
