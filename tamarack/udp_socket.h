// UDP sockets that send and receive in batches (recvmmsg, sendmmsg).
#pragma once

#include "tamarack/result.h"
#include "tamarack/tamarack.h"

namespace tamarack {

// Batch of received datagrams in reusable memory. Used by one thread.
class receive_batch {
public:
    static constexpr std::size_t max_datagrams = 64;
    static constexpr std::size_t max_size = 9'216; // bytes; fits jumbo frames

    struct item {
        endpoint  source;
        byte_view bytes; // valid until the next receive
    };

    receive_batch();
    ~receive_batch();
    receive_batch(receive_batch&&) noexcept;
    receive_batch& operator=(receive_batch&&) noexcept;
    receive_batch(const receive_batch&) = delete;
    receive_batch& operator=(const receive_batch&) = delete;

    std::span<const item> items() const;

private:
    friend class udp_socket;
    struct impl;
    std::unique_ptr<impl> impl_;
};

struct outgoing_datagram {
    endpoint  destination;
    byte_view bytes;
};

struct udp_socket_settings {
    std::size_t receive_buffer = 0; // bytes; 0: the host's default
    bool        share_port = false; // several sockets of this process share the port; the host distributes packets
};

class udp_socket {
public:
    // Port 0 selects any free port. The error names the call that failed.
    static result<udp_socket, std::string> open(const endpoint& listen, const udp_socket_settings& settings = {});

    udp_socket(udp_socket&& other) noexcept;
    udp_socket& operator=(udp_socket&& other) noexcept;
    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;
    ~udp_socket();

    int      handle() const { return handle_; }
    endpoint address() const; // bound address and port

    struct receive_result {
        std::size_t datagrams = 0; // datagrams read from the socket; 0: none was available
        std::size_t too_long = 0;  // of these, left out of the batch because they exceed max_size
    };

    // Receives the available datagrams, at most max_datagrams, without blocking.
    receive_result receive(receive_batch& batch) const;
    // Sends without blocking; returns the number of datagrams that could not be sent.
    std::size_t    send(std::span<const outgoing_datagram> datagrams) const;

private:
    explicit udp_socket(int handle, bool is_v4) : handle_(handle), is_v4_(is_v4) {}

    int  handle_ = -1;
    bool is_v4_ = true;
};

} // namespace tamarack
