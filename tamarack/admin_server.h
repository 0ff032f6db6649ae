// The administration interface (gRPC, proto/admin.proto) of one balancer.
//
// Calls arrive on gRPC's threads and run on the control thread, which takes them from a queue. With TLS, clients need a
// certificate signed by the authority; its common name is the operator's name in the audit trail.
#pragma once

#include "tamarack/administered_balancer.h"
#include "tamarack/result.h"

namespace tamarack {

struct admin_server_settings {
    endpoint    address;     // port 0: any free port
    std::string certificate; // PEM texts; all empty: no TLS
    std::string key;
    std::string authority;
    std::size_t max_pending_calls = 256; // further calls are refused
};

// Queues work for the control thread. Work that is queued when the control thread ends may be dropped.
using control_queue = std::function<void(std::function<void()> work)>;

class admin_server {
public:
    // The balancer must outlive all work in the queue. The error describes why the port could not be opened.
    static result<std::unique_ptr<admin_server>, std::string>
    start(const admin_server_settings& settings, administered_balancer& balancer, control_queue queue);
    ~admin_server();
    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;

    endpoint address() const; // with the actual port

    // Answers the waiting calls with UNAVAILABLE and accepts no more. May be called from any thread; waits for gRPC's
    // threads.
    void stop();

private:
    admin_server();
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace tamarack
