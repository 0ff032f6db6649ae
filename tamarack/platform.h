// The platform's key-value service as the library sees it: requests, responses, and the concept that an adapter meets.
//
// The decision logic emits store_request values and is given store_response values later; it never waits. Another
// protocol of the platform means one new adapter file.
#pragma once

#include "tamarack/tamarack.h"

#include <concepts>
#include <functional>

namespace tamarack {

enum class store_operation : std::uint8_t {
    get,
    compare_and_swap, // writes value if the version of the key is expected_version
    watch,            // answers when the version of the key is higher than expected_version, or at the deadline
    grant_lease,      // key: name of the lease; value: holder; renews it for the same holder
    revoke_lease,
    list, // keys that start with key, one per line in value
};

struct store_request {
    std::uint64_t   id = 0; // echoed in the response
    store_operation operation = store_operation::get;
    std::string     key;
    std::string     value;
    std::uint64_t   expected_version = 0; // 0: the key must not exist
    duration        lease_time{};         // grant_lease
    duration        deadline{};           // from now
};

enum class store_status : std::uint8_t {
    ok,
    not_found,
    conflict,        // compare_and_swap: another version; version and value are the present ones
    unchanged,       // watch: the deadline passed without a change
    rate_limited,    // did not take effect
    unavailable,     // did not take effect
    unknown_outcome, // the answer was lost or late: it may have taken effect
};

std::string_view to_string(store_status status);

struct store_response {
    std::uint64_t id = 0;
    store_status  status = store_status::ok;
    std::string   value;
    std::uint64_t version = 0; // of the key; rises with each write
};

// An adapter answers each request exactly once, from any thread, within its deadline and a small delay.
template <class Store>
concept key_value_store = requires(Store& store, store_request request, std::function<void(store_response)> done) {
    { store.submit(std::move(request), std::move(done)) } -> std::same_as<void>;
};

} // namespace tamarack
