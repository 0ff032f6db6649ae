// Adapter for the platform's key-value service over gRPC (proto/platform.proto).
//
// platform_grpc.cpp describes which failures mean that a write did not take effect.
#pragma once

#include "tamarack/platform.h"

namespace tamarack {

struct platform_grpc_settings {
    std::vector<endpoint> addresses;         // of the service; the first reachable one is used
    std::string           root_certificates; // PEM, to verify the service's certificate; empty: no TLS
    duration              default_deadline = std::chrono::seconds(2); // of requests without a deadline
};

class platform_grpc {
public:
    using handler = std::function<void(store_response)>;

    explicit platform_grpc(const platform_grpc_settings& settings);
    platform_grpc(const platform_grpc&) = delete;
    platform_grpc& operator=(const platform_grpc&) = delete;
    ~platform_grpc(); // cancels open calls, and waits until their handlers have run; must not be called by a handler

    // May be called by any thread. The handler runs once, on the adapter's completion thread, within the deadline and a
    // small delay. It must not block.
    void submit(store_request request, handler on_response);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

static_assert(key_value_store<platform_grpc>);

} // namespace tamarack
