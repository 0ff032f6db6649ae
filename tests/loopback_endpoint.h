// Loopback addresses for tests that open sockets.
#pragma once

#include "tamarack/tamarack.h"

#include <unistd.h>

namespace tamarack {

// 127.NETWORK.x.x with the number of this process, so that no other process uses it. Each test takes its own network.
inline endpoint loopback_endpoint(std::uint8_t network, std::uint16_t port) {
    const auto process = static_cast<std::uint32_t>(::getpid());
    return {ip_address::v4((127U << 24U) | (std::uint32_t{network} << 16U) | (process & 0xffffU)), port};
}

} // namespace tamarack
