// A running balancer: the node with its sockets, threads, store, prober and administration interface.
//
// The thread that calls run is the control thread. Each traffic thread has its own sockets and its traffic partition.
// gRPC has its own threads, which only pass calls to the control thread.
#pragma once

#include "tamarack/settings.h"

namespace tamarack {

class balancer_process {
public:
    // Opens the ports; returns an error text on failure. The settings file is read again on SIGHUP.
    static result<std::unique_ptr<balancer_process>, std::string> open(const daemon_settings& settings,
                                                                       const std::string&     settings_file);
    ~balancer_process();
    balancer_process(const balancer_process&) = delete;
    balancer_process& operator=(const balancer_process&) = delete;

    // Runs until a signal or an operator stops the balancer. Call it once.
    void run();

private:
    balancer_process();
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace tamarack
