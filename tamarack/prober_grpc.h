// Probes backend servers over gRPC (proto/load_report.proto).
#pragma once

#include "tamarack/node.h"

namespace tamarack {

class prober_grpc {
public:
    using handler = std::function<void(const probe_result&)>;

    prober_grpc();
    ~prober_grpc(); // cancels open probes, and waits until their handlers have run
    prober_grpc(const prober_grpc&) = delete;
    prober_grpc& operator=(const prober_grpc&) = delete;

    // Calls the handler once with the result, on the prober's completion thread, within the deadline and a small delay.
    // A backend server that does not implement load reports, or that sheds the call, counts as reachable. Must always
    // be called by the same thread.
    void start(const probe_request& request, handler on_result);

    // Closes connections to backend servers that have not been probed for a while. Must be called by the thread that
    // calls start.
    void close_unused(steady_time now);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace tamarack
