// Listens on a TCP port and accepts connections on a thread of its own.
//
// gRPC's listener gives up for ever at the first accept that lacks a descriptor. This one goes on, and leaves
// descriptors for the balancer's own connections: idle clients must not keep it from its platform and from probing.
#pragma once

#include "tamarack/result.h"
#include "tamarack/tamarack.h"
#include "tamarack/waiting_report.h"

#include <functional>
#include <thread>

namespace tamarack {

class connection_acceptor {
public:
    // Takes over the descriptor of the connection, which does not block.
    using connection_handler = std::function<void(int listener, int connection)>;

    // Port 0 selects any free port. The error names the call that failed.
    static result<std::unique_ptr<connection_acceptor>, std::string> open(const endpoint& listen);
    ~connection_acceptor();
    connection_acceptor(const connection_acceptor&) = delete;
    connection_acceptor& operator=(const connection_acceptor&) = delete;

    endpoint address() const { return address_; } // with the actual port
    void     start(connection_handler handler);   // call it once; the handler is called on the acceptor's thread
    void     stop();                              // closes the port; returns after the last call of the handler

private:
    connection_acceptor(int handle, const endpoint& address) : handle_(handle), address_(address) {}
    void run(const std::stop_token& stop);
    void accept_waiting();
    void report(const std::string& reason);

    int                handle_; // negative after stop()
    endpoint           address_;
    connection_handler handler_;
    waiting_report     report_;
    std::jthread       thread_;
};

} // namespace tamarack
