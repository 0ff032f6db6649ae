// A TCP proxy on loopback that injects faults into the connections through it.
#pragma once

#include "tamarack/tamarack.h"

#include <boost/asio/io_context.hpp>

namespace soak {

struct proxy_faults {
    bool               refuses_connections = false;  // closes new connections at once
    bool               blackholes_to_server = false; // reads the bytes and discards them
    bool               blackholes_to_client = false;
    tamarack::duration delay{}; // of each chunk, in both directions
};

class loopback_proxy {
public:
    loopback_proxy(boost::asio::io_context& context, const tamarack::endpoint& listen,
                   const tamarack::endpoint& server);
    ~loopback_proxy();
    loopback_proxy(const loopback_proxy&) = delete;
    loopback_proxy& operator=(const loopback_proxy&) = delete;

    proxy_faults& faults();
    // Discards all further bytes of the connections that are open now. New connections work.
    void          blackhole_connections();
    void          reset_connections();

private:
    struct impl;
    std::shared_ptr<impl> impl_; // shared with pending operations
};

} // namespace soak
