// udp_socket on Linux sockets.
#include "tamarack/udp_socket.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace tamarack {

namespace {

constexpr std::size_t v4_offset = 12; // of the IPv4 address within its IPv4-mapped form

struct socket_address {
    sockaddr_in6 storage{}; // or a sockaddr_in, which is smaller
    socklen_t    size = 0;  // 0: the socket cannot send to this address family

    sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
};

socket_address to_socket_address(const endpoint& destination, bool for_v4) {
    socket_address result;
    if (for_v4) {
        if (!destination.address.is_v4()) return result;
        auto& address = reinterpret_cast<sockaddr_in&>(result.storage);
        address.sin_family = AF_INET;
        address.sin_port = htons(destination.port);
        std::memcpy(&address.sin_addr, destination.address.bytes.data() + v4_offset, sizeof address.sin_addr);
        result.size = sizeof address;
        return result;
    }
    sockaddr_in6& address = result.storage;
    address.sin6_family = AF_INET6;
    address.sin6_port = htons(destination.port);
    std::memcpy(&address.sin6_addr, destination.address.bytes.data(), sizeof address.sin6_addr);
    result.size = sizeof address;
    return result;
}

endpoint from_socket_address(const sockaddr_in6& address) {
    endpoint result;
    if (address.sin6_family == AF_INET) {
        const auto& v4 = reinterpret_cast<const sockaddr_in&>(address);
        result.address = ip_address::v4(ntohl(v4.sin_addr.s_addr));
        result.port = ntohs(v4.sin_port);
        return result;
    }
    std::memcpy(result.address.bytes.data(), &address.sin6_addr, result.address.bytes.size());
    result.port = ntohs(address.sin6_port);
    return result;
}

bool set_option(int handle, int level, int option, int value) {
    return ::setsockopt(handle, level, option, &value, sizeof value) == 0;
}

std::string error_text(const char* call, const endpoint& listen) {
    return std::string(call) + " " + listen.to_string() + ": " + std::strerror(errno);
}

} // namespace

//----------------------------------------------------------------------------------------------------------------------
// Receiving
//----------------------------------------------------------------------------------------------------------------------

struct receive_batch::impl {
    std::vector<std::byte>                  memory = std::vector<std::byte>(max_datagrams * max_size);
    std::array<sockaddr_in6, max_datagrams> addresses{};
    std::array<iovec, max_datagrams>        vectors{};
    std::array<mmsghdr, max_datagrams>      messages{};
    std::array<item, max_datagrams>         items{};
    std::size_t                             count = 0; // number of valid items

    impl() {
        for (std::size_t i = 0; i < max_datagrams; ++i) {
            vectors[i] = {memory.data() + i * max_size, max_size};
            messages[i].msg_hdr.msg_iov = &vectors[i];
            messages[i].msg_hdr.msg_iovlen = 1;
            messages[i].msg_hdr.msg_name = &addresses[i];
        }
    }
};

receive_batch::receive_batch() : impl_(std::make_unique<impl>()) {}
receive_batch::~receive_batch() = default;
receive_batch::receive_batch(receive_batch&&) noexcept = default;
receive_batch& receive_batch::operator=(receive_batch&&) noexcept = default;

std::span<const receive_batch::item> receive_batch::items() const {
    return std::span(impl_->items).first(impl_->count);
}

udp_socket::receive_result udp_socket::receive(receive_batch& batch) const {
    receive_batch::impl& parts = *batch.impl_;
    parts.count = 0;
    for (mmsghdr& message : parts.messages)
        message.msg_hdr.msg_namelen = sizeof(sockaddr_in6);
    int count = -1;
    do {
        count = ::recvmmsg(handle_, parts.messages.data(), receive_batch::max_datagrams, MSG_DONTWAIT, nullptr);
    } while (count < 0 && errno == EINTR);
    receive_result result;
    for (std::size_t i = 0; count > 0 && i < static_cast<std::size_t>(count); ++i) {
        const mmsghdr& message = parts.messages[i];
        ++result.datagrams;
        if ((message.msg_hdr.msg_flags & MSG_TRUNC) != 0) {
            ++result.too_long;
            continue;
        }
        const auto* bytes = parts.memory.data() + i * receive_batch::max_size;
        parts.items[parts.count++] = {from_socket_address(parts.addresses[i]), byte_view(bytes, message.msg_len)};
    }
    return result;
}

//----------------------------------------------------------------------------------------------------------------------
// Sending
//----------------------------------------------------------------------------------------------------------------------

namespace {

// A batch of datagrams in the format of sendmmsg.
class send_batch {
public:
    static constexpr std::size_t capacity = receive_batch::max_datagrams;

    bool full() const { return count_ == capacity; }

    void add(const outgoing_datagram& datagram, const socket_address& address) {
        addresses_[count_] = address;
        // sendmmsg only reads the bytes.
        vectors_[count_] = {const_cast<std::byte*>(datagram.bytes.data()), datagram.bytes.size()};
        mmsghdr& message = messages_[count_];
        message = {};
        message.msg_hdr.msg_name = addresses_[count_].get();
        message.msg_hdr.msg_namelen = address.size;
        message.msg_hdr.msg_iov = &vectors_[count_];
        message.msg_hdr.msg_iovlen = 1;
        ++count_;
    }

    // Sends and empties the batch; returns the number of datagrams that could not be sent. A datagram that the host
    // rejects (because of its size, its route or an earlier ICMP error) is skipped. If the send buffer is full, all
    // remaining datagrams are dropped, since waiting would delay receiving.
    std::size_t flush(int handle) {
        std::size_t position = 0;
        std::size_t failed = 0;
        while (position < count_) {
            const auto remaining = static_cast<unsigned>(count_ - position);
            const int  sent = ::sendmmsg(handle, &messages_[position], remaining, MSG_DONTWAIT);
            if (sent > 0) {
                position += static_cast<std::size_t>(sent);
                continue;
            }
            if (errno == EINTR) continue;
            const bool is_buffer_full = errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOBUFS;
            failed += is_buffer_full ? remaining : 1;
            position += is_buffer_full ? remaining : 1;
        }
        count_ = 0;
        return failed;
    }

private:
    std::array<socket_address, capacity> addresses_;
    std::array<iovec, capacity>          vectors_;
    std::array<mmsghdr, capacity>        messages_;
    std::size_t                          count_ = 0;
};

} // namespace

std::size_t udp_socket::send(std::span<const outgoing_datagram> datagrams) const {
    send_batch  batch;
    std::size_t failed = 0;
    for (const outgoing_datagram& datagram : datagrams) {
        const socket_address address = to_socket_address(datagram.destination, is_v4_);
        if (address.size == 0) {
            ++failed;
            continue;
        }
        batch.add(datagram, address);
        if (batch.full()) failed += batch.flush(handle_);
    }
    return failed + batch.flush(handle_);
}

//----------------------------------------------------------------------------------------------------------------------
// Opening and closing
//----------------------------------------------------------------------------------------------------------------------

result<udp_socket, std::string> udp_socket::open(const endpoint& listen, const udp_socket_settings& settings) {
    const bool is_v4 = listen.address.is_v4();
    udp_socket socket(::socket(is_v4 ? AF_INET : AF_INET6, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), is_v4);
    if (socket.handle_ < 0) return error_text("socket", listen);
    // An IPv6 socket also accepts IPv4, so that one wildcard address serves both.
    if (!is_v4 && !set_option(socket.handle_, IPPROTO_IPV6, IPV6_V6ONLY, 0)) return error_text("setsockopt", listen);
    if (settings.share_port && !set_option(socket.handle_, SOL_SOCKET, SO_REUSEPORT, 1))
        return error_text("setsockopt", listen);
    if (settings.receive_buffer != 0) {
        const int size = static_cast<int>(std::min<std::size_t>(settings.receive_buffer, INT32_MAX));
        if (!set_option(socket.handle_, SOL_SOCKET, SO_RCVBUF, size)) return error_text("setsockopt", listen);
    }
    socket_address address = to_socket_address(listen, is_v4);
    if (::bind(socket.handle_, address.get(), address.size) != 0) return error_text("bind", listen);
    return socket;
}

udp_socket::udp_socket(udp_socket&& other) noexcept : handle_(std::exchange(other.handle_, -1)), is_v4_(other.is_v4_) {}

udp_socket& udp_socket::operator=(udp_socket&& other) noexcept {
    std::swap(handle_, other.handle_);
    std::swap(is_v4_, other.is_v4_);
    return *this;
}

udp_socket::~udp_socket() {
    if (handle_ >= 0) ::close(handle_);
}

endpoint udp_socket::address() const {
    socket_address address;
    address.size = sizeof address.storage;
    if (::getsockname(handle_, address.get(), &address.size) != 0) return {};
    return from_socket_address(address.storage);
}

} // namespace tamarack
