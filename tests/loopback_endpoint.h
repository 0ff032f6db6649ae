// Loopback addresses for tests that open sockets.
#pragma once

#include "tamarack/tamarack.h"

#include <unistd.h>

namespace tamarack {

// Returns the address 127.NETWORK.x.x, where x.x is derived from the process id so that concurrent processes differ.
// Each test uses its own network number.
inline endpoint loopback_endpoint(std::uint8_t network, std::uint16_t port) {
    const auto process = static_cast<std::uint32_t>(::getpid());
    return {ip_address::v4((127U << 24U) | (std::uint32_t{network} << 16U) | (process & 0xffffU)), port};
}

} // namespace tamarack
