// Packets of PROTOCOL.md. The keyed sum has a key of the harness's own, which the system does not know.
#pragma once

#include "base.hpp"

namespace review {

inline constexpr std::uint8_t flag_syn = 128;
inline constexpr std::uint8_t flag_ack = 32;
inline constexpr std::uint8_t flag_fin = 16;
inline constexpr std::uint8_t flag_rst = 8;

struct packet {
    static constexpr std::size_t head_size = 36;

    std::uint32_t seq = 0;
    std::uint32_t ack = 0;
    std::uint32_t echo = 0;
    endpoint      source;
    endpoint      destination;
    std::uint32_t sum = 0;
    std::uint8_t  flags = 0;
    std::string   data;

    bool has(std::uint8_t flag) const { return (flags & flag) != 0; }

    // FNV-1a over a key and all fields except echo, pad and BOUNCED.
    std::uint32_t compute_sum() const {
        std::uint32_t hash = 2'166'136'261U ^ 0x5eed1234U;
        const auto    add = [&hash](std::uint64_t value, int bytes) {
            for (; bytes > 0; --bytes, value >>= 8)
                hash = (hash ^ (value & 255)) * 16'777'619U;
        };
        add(seq, 4);
        add(ack, 4);
        add(source.address, 4);
        add(source.port, 2);
        add(destination.address, 4);
        add(destination.port, 2);
        add(flags & ~2U, 1);
        for (const char byte : data)
            add(static_cast<unsigned char>(byte), 1);
        return hash;
    }

    std::string encode(bool with_sum = true) const {
        std::string bytes;
        const auto  add = [&bytes](std::uint64_t value, int size) {
            for (int i = size - 1; i >= 0; --i)
                bytes += static_cast<char>(value >> (8 * i) & 255);
        };
        add(seq, 4);
        add(ack, 4);
        add(echo, 4);
        add(source.port, 2);
        add(source.address, 4);
        add(destination.port, 2);
        add(destination.address, 4);
        add(with_sum ? compute_sum() : 0, 4);
        add(data.size(), 2);
        add(flags, 1);
        add(0, 5);
        return bytes + data;
    }

    static std::optional<packet> decode(std::string_view bytes) {
        if (bytes.size() < head_size) return std::nullopt;
        const auto field = [&bytes](std::size_t offset, std::size_t size) {
            std::uint64_t value = 0;
            for (std::size_t i = 0; i < size; ++i)
                value = value << 8 | static_cast<unsigned char>(bytes[offset + i]);
            return value;
        };
        packet decoded;
        decoded.seq = static_cast<std::uint32_t>(field(0, 4));
        decoded.ack = static_cast<std::uint32_t>(field(4, 4));
        decoded.echo = static_cast<std::uint32_t>(field(8, 4));
        decoded.source = {static_cast<ip>(field(14, 4)), static_cast<std::uint16_t>(field(12, 2))};
        decoded.destination = {static_cast<ip>(field(20, 4)), static_cast<std::uint16_t>(field(18, 2))};
        decoded.sum = static_cast<std::uint32_t>(field(24, 4));
        decoded.flags = static_cast<std::uint8_t>(field(30, 1));
        decoded.data = std::string(bytes.substr(head_size));
        if (decoded.data.size() != field(28, 2)) return std::nullopt;
        return decoded;
    }
};

class udp_port {
public:
    udp_port(event_loop& loop, const endpoint& local, std::function<void(std::string_view)> on_datagram)
        : loop_(loop), handle_(open_socket(SOCK_DGRAM, local)) {
        loop_.watch(handle_, POLLIN, [this, on_datagram = std::move(on_datagram)](short) {
            char bytes[2'048];
            for (;;) {
                const ssize_t size = ::recv(handle_, bytes, sizeof bytes, 0);
                if (size < 0) return;
                on_datagram({bytes, static_cast<std::size_t>(size)});
            }
        });
    }
    ~udp_port() {
        loop_.forget(handle_);
        ::close(handle_);
    }
    udp_port(const udp_port&) = delete;
    udp_port& operator=(const udp_port&) = delete;

    void send(const endpoint& to, const std::string& bytes) const {
        const sockaddr_in address = to_sockaddr(to);
        ::sendto(handle_, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    }

private:
    event_loop& loop_;
    int         handle_ = -1;
};

} // namespace review
