// UDP sockets of the stand-ins. IPv4 loopback addresses only, so that a wrong flag cannot send traffic to other
// machines.
#pragma once

#include "tamarack/tamarack.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <glog/logging.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace standin {

inline tamarack::endpoint loopback_endpoint(const std::string& text) {
    const auto parsed = tamarack::endpoint::parse(text);
    CHECK(parsed.has_value()) << "expected an IPv4 address and a port: " << text;
    CHECK(parsed->address.is_v4() && parsed->address.bytes[12] == 127) << "not a loopback address: " << text;
    return *parsed;
}

inline sockaddr_in to_sockaddr(const tamarack::endpoint& endpoint) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    std::memcpy(&address.sin_addr, endpoint.address.bytes.data() + 12, 4);
    return address;
}

class udp_socket {
public:
    explicit udp_socket(const std::optional<tamarack::endpoint>& listen) : handle_(::socket(AF_INET, SOCK_DGRAM, 0)) {
        PCHECK(handle_ >= 0) << "socket";
        constexpr int buffer_size = 8 << 20; // bytes
        ::setsockopt(handle_, SOL_SOCKET, SO_RCVBUF, &buffer_size, sizeof buffer_size);
        ::setsockopt(handle_, SOL_SOCKET, SO_SNDBUF, &buffer_size, sizeof buffer_size);
        const auto address = to_sockaddr(listen.value_or(tamarack::endpoint{tamarack::ip_address::v4(0x7f000001), 0}));
        PCHECK(::bind(handle_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
            << "bind " << (listen ? listen->to_string() : "any port");
    }
    ~udp_socket() {
        if (handle_ >= 0) ::close(handle_);
    }
    udp_socket(udp_socket&& other) noexcept : handle_(std::exchange(other.handle_, -1)) {}
    udp_socket& operator=(udp_socket&&) = delete;
    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;

    void connect(const tamarack::endpoint& peer) const {
        const auto address = to_sockaddr(peer);
        PCHECK(::connect(handle_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) << "connect";
    }
    // Returns 0, or errno if the send failed.
    int send_to(const tamarack::endpoint& destination, tamarack::byte_view bytes) const {
        const auto address = to_sockaddr(destination);
        const auto sent = ::sendto(handle_, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&address),
                                   sizeof address);
        return sent < 0 ? errno : 0;
    }
    // For a connected socket. Returns 0, or errno if the send failed.
    int send(tamarack::byte_view bytes) const { return ::send(handle_, bytes.data(), bytes.size(), 0) < 0 ? errno : 0; }
    // Does not block; empty if no datagram is waiting. The view is valid until the next call.
    tamarack::byte_view receive() {
        const auto size = ::recv(handle_, receive_buffer_.data(), receive_buffer_.size(), MSG_DONTWAIT);
        if (size <= 0) return {};
        return {receive_buffer_.data(), static_cast<std::size_t>(size)};
    }
    int handle() const { return handle_; }

private:
    int                          handle_;
    std::array<std::byte, 65536> receive_buffer_{};
};

} // namespace standin
