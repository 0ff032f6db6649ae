// Packets as callers and backend servers of the soak write and read them, apart from the code under test.
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
    static constexpr std::size_t head_size = 36; // bytes

    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint32_t echo = 0;
    std::uint16_t source_port = 0;
    std::uint32_t source = 0; // IPv4
    std::uint16_t destination_port = 0;
    std::uint32_t destination = 0;
    std::uint8_t  flags = 0;
    std::string   payload;

    std::vector<std::byte> encode() const {
        std::vector<std::byte> bytes(head_size + payload.size());
        put(bytes, 0, sequence);
        put(bytes, 4, acknowledged);
        put(bytes, 8, echo);
        put(bytes, 12, source_port);
        put(bytes, 14, source);
        put(bytes, 18, destination_port);
        put(bytes, 20, destination);
        put(bytes, 28, static_cast<std::uint16_t>(payload.size()));
        bytes[30] = std::byte{flags};
        std::memcpy(bytes.data() + head_size, payload.data(), payload.size());
        return bytes;
    }

    static std::optional<packet> decode(std::span<const std::byte> bytes) {
        if (bytes.size() < head_size) return std::nullopt;
        packet read;
        read.sequence = take<std::uint32_t>(bytes, 0);
        read.acknowledged = take<std::uint32_t>(bytes, 4);
        read.echo = take<std::uint32_t>(bytes, 8);
        read.source_port = take<std::uint16_t>(bytes, 12);
        read.source = take<std::uint32_t>(bytes, 14);
        read.destination_port = take<std::uint16_t>(bytes, 18);
        read.destination = take<std::uint32_t>(bytes, 20);
        read.flags = std::to_integer<std::uint8_t>(bytes[30]);
        read.payload.assign(reinterpret_cast<const char*>(bytes.data()) + head_size, bytes.size() - head_size);
        return read;
    }

    template <class Number>
    static void put(std::span<std::byte> bytes, std::size_t offset, Number value) {
        boost::endian::native_to_big_inplace(value);
        std::memcpy(bytes.data() + offset, &value, sizeof value);
    }
    template <class Number>
    static Number take(std::span<const std::byte> bytes, std::size_t offset) {
        Number value{};
        std::memcpy(&value, bytes.data() + offset, sizeof value);
        return boost::endian::big_to_native(value);
    }
};

} // namespace soak
