// A TCP proxy on loopback that harms the connections which pass it.
#pragma once

#include "tamarack/tamarack.h"

#include <boost/asio/io_context.hpp>

namespace soak {

struct proxy_faults {
    bool               refuse = false;           // new connections are closed at once
    bool               silent_to_server = false; // bytes are taken and thrown away
    bool               silent_to_client = false;
    tamarack::duration delay{}; // of each chunk, both ways
};

class loopback_proxy {
public:
    loopback_proxy(boost::asio::io_context& context, const tamarack::endpoint& listen,
                   const tamarack::endpoint& server);
    ~loopback_proxy();
    loopback_proxy(const loopback_proxy&) = delete;
    loopback_proxy& operator=(const loopback_proxy&) = delete;

    proxy_faults& faults();
    // Open connections lose their bytes from now on, while new ones work.
    void          silence_connections();
    void          reset_connections();

private:
    struct impl;
    std::shared_ptr<impl> impl_; // pending operations hold it, too
};

} // namespace soak
