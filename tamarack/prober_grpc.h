// Probes backend servers over gRPC (proto/load_report.proto).
#pragma once

#include "tamarack/node.h"

namespace tamarack {

class prober_grpc {
public:
    using done = std::function<void(const probe_result&)>;

    prober_grpc();
    ~prober_grpc(); // cancels open probes and waits for them; their results are still given
    prober_grpc(const prober_grpc&) = delete;
    prober_grpc& operator=(const prober_grpc&) = delete;

    // Gives the result once, on one of gRPC's threads, within the deadline and a small delay. A backend server that
    // answers without load reports, or that sheds the call, is reachable. One thread.
    void start(const probe_request& request, done give);

    // Closes connections to backend servers that have not been probed for a while. Same thread as start.
    void close_unused(steady_time now);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace tamarack
