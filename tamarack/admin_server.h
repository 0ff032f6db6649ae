// The administration interface (gRPC, proto/admin.proto) of one balancer.
//
// Calls arrive on gRPC's threads and are executed on the control thread through a queue. With TLS, clients need a
// certificate of the authority, whose common name is the operator's name in the audit trail.
#pragma once

#include "tamarack/administered_balancer.h"
#include "tamarack/result.h"

namespace tamarack {

struct admin_server_settings {
    endpoint    address;     // port 0: any free one
    std::string certificate; // PEM texts; all empty: no TLS
    std::string key;
    std::string authority;
    std::size_t max_waiting = 256; // calls at once; further ones are refused
};

// Runs work on the control thread, later. May drop it when the control thread ends.
using control_queue = std::function<void(std::function<void()> work)>;

class admin_server {
public:
    // The balancer must live until the queue runs nothing more. The error says why the port could not be opened.
    static result<std::unique_ptr<admin_server>, std::string>
    start(const admin_server_settings& settings, administered_balancer& balancer, control_queue queue);
    ~admin_server();
    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;

    endpoint address() const; // with the port that is open

    // Answers the waiting calls with UNAVAILABLE and takes no more. Any thread; waits for gRPC's threads.
    void stop();

private:
    admin_server();
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace tamarack
