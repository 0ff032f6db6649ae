// The adapter for the platform's key-value service over gRPC (proto/platform.proto).
//
// Which failures mean that a write did not take effect is decided in platform_grpc.cpp.
#pragma once

#include "tamarack/platform.h"

namespace tamarack {

struct platform_grpc_settings {
    std::vector<endpoint> addresses;         // of the service; the first one that answers is used
    std::string           root_certificates; // PEM, to check the service's certificate; empty: plain text
    duration              default_deadline = std::chrono::seconds(2); // for requests without one
};

class platform_grpc {
public:
    using handler = std::function<void(store_response)>;

    explicit platform_grpc(const platform_grpc_settings& settings);
    platform_grpc(const platform_grpc&) = delete;
    platform_grpc& operator=(const platform_grpc&) = delete;
    ~platform_grpc(); // cancels the calls in progress and waits for their answers; not to be called by a handler

    // Any thread. The handler runs once, on a thread of the gRPC library, within the deadline and a small delay; it
    // must not block.
    void submit(store_request request, handler done);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

static_assert(key_value_store<platform_grpc>);

} // namespace tamarack
