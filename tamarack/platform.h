// Interface to the platform's key-value service: requests, responses, and the concept that adapters model.
//
// The decision logic emits store_request values, and receives store_response values later; it never blocks. To support
// another protocol of the platform, add an adapter.
#pragma once

#include "tamarack/tamarack.h"

#include <concepts>
#include <functional>

namespace tamarack {

enum class store_operation : std::uint8_t {
    get,
    compare_and_swap, // writes value if the version of the key is expected_version
    watch,            // answers when the version of the key is higher than expected_version, or at the deadline
    grant_lease,      // key: name of the lease; value: holder. Renews the lease if the holder is the same
    revoke_lease,
    list, // returns the keys with the prefix key, one per line in value
};

struct store_request {
    std::uint64_t   id = 0; // echoed in the response
    store_operation operation = store_operation::get;
    std::string     key;
    std::string     value;
    std::uint64_t   expected_version = 0; // 0: the key must not exist
    duration        lease_time{};         // grant_lease only
    duration        deadline{};           // relative to the time of submission
};

enum class store_status : std::uint8_t {
    ok,
    not_found,
    conflict,        // compare_and_swap: the version differs; version and value are the current ones
    unchanged,       // watch: no change before the deadline
    rate_limited,    // did not take effect
    unavailable,     // did not take effect
    unknown_outcome, // the answer was lost or late; the request may have taken effect
};

std::string_view to_string(store_status status);

struct store_response {
    std::uint64_t id = 0;
    store_status  status = store_status::ok;
    std::string   value;
    std::uint64_t version = 0; // of the key; increases with each write
};

// An adapter answers each request exactly once, from any thread, within its deadline and a small delay.
template <class Store>
concept key_value_store = requires(Store& store, store_request request,
                                   std::function<void(store_response)> on_response) {
    { store.submit(std::move(request), std::move(on_response)) } -> std::same_as<void>;
};

} // namespace tamarack
