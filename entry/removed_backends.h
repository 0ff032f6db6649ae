// Notes the backend servers that were removed since the last look, and may still have idle flows here.
//
// Load pattern: callers keep flows open with pauses of seconds between their requests. When a backend server ends
// without closing its flows, the next request on each of them would be lost, and a request that must not run twice is
// not repeated by its caller. A reset while the flow is idle costs the caller nothing: the next request opens a new
// flow.
#pragma once

#include "entry/replica.h"

#include <unordered_set>

namespace tamarack::entry {

class removed_backends {
public:
    explicit removed_backends(const replica& store_replica) : store_replica_(store_replica) {}

    // Notes removals. Cheap unless the replica has changed.
    void                              update(steady_time now);
    // Identities of the backend servers that have been removed since the last call, and not registered again.
    std::unordered_set<std::uint64_t> take_removed();

private:
    const replica&                    store_replica_;
    std::unordered_set<std::uint64_t> removed_;                // identities
    std::uint64_t                     checked_generation_ = 0; // of the replica
    steady_time                       checked_at_{};
};

} // namespace tamarack::entry
