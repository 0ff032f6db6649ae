// Encodes and decodes the packets of the soak's callers and backend servers. Independent of the code under test, so
// that both cannot share a fault.
#pragma once

#include "tamarack/tamarack.h"

#include <boost/endian/conversion.hpp>
#include <cstring>

namespace soak {

inline constexpr std::uint8_t syn = 128;
inline constexpr std::uint8_t ack = 32;
inline constexpr std::uint8_t fin = 16;
inline constexpr std::uint8_t rst = 8;

struct packet {
    static constexpr std::size_t header_size = 36; // bytes

    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint32_t reference = 0; // backend reference; callers copy it from the answers
    std::uint16_t source_port = 0;
    std::uint32_t source = 0; // IPv4
    std::uint16_t destination_port = 0;
    std::uint32_t destination = 0;
    std::uint8_t  flags = 0;
    std::string   payload;

    std::vector<std::byte> encode() const {
        std::vector<std::byte> bytes(header_size + payload.size());
        write_big_endian(bytes, 0, sequence);
        write_big_endian(bytes, 4, acknowledged);
        write_big_endian(bytes, 8, reference);
        write_big_endian(bytes, 12, source_port);
        write_big_endian(bytes, 14, source);
        write_big_endian(bytes, 18, destination_port);
        write_big_endian(bytes, 20, destination);
        write_big_endian(bytes, 28, static_cast<std::uint16_t>(payload.size()));
        bytes[30] = std::byte{flags};
        std::memcpy(bytes.data() + header_size, payload.data(), payload.size());
        return bytes;
    }

    static std::optional<packet> decode(std::span<const std::byte> bytes) {
        if (bytes.size() < header_size) return std::nullopt;
        packet decoded;
        decoded.sequence = read_big_endian<std::uint32_t>(bytes, 0);
        decoded.acknowledged = read_big_endian<std::uint32_t>(bytes, 4);
        decoded.reference = read_big_endian<std::uint32_t>(bytes, 8);
        decoded.source_port = read_big_endian<std::uint16_t>(bytes, 12);
        decoded.source = read_big_endian<std::uint32_t>(bytes, 14);
        decoded.destination_port = read_big_endian<std::uint16_t>(bytes, 18);
        decoded.destination = read_big_endian<std::uint32_t>(bytes, 20);
        decoded.flags = std::to_integer<std::uint8_t>(bytes[30]);
        decoded.payload.assign(reinterpret_cast<const char*>(bytes.data()) + header_size, bytes.size() - header_size);
        return decoded;
    }

    template <class Number>
    static void write_big_endian(std::span<std::byte> bytes, std::size_t offset, Number value) {
        boost::endian::native_to_big_inplace(value);
        std::memcpy(bytes.data() + offset, &value, sizeof value);
    }
    template <class Number>
    static Number read_big_endian(std::span<const std::byte> bytes, std::size_t offset) {
        Number value{};
        std::memcpy(&value, bytes.data() + offset, sizeof value);
        return boost::endian::big_to_native(value);
    }
};

} // namespace soak
