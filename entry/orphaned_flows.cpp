// Removals of the replica since the last check.
#include "entry/orphaned_flows.h"

namespace tamarack::entry {

const std::unordered_set<backend_reference>& orphaned_flows::ended_backends(steady_time now) {
    if (store_replica_.generation() == checked_generation_) return ended_backends_;
    for (const auto& [key, backend] : store_replica_.backends()) {
        if (backend.removed_at && *backend.removed_at >= checked_at_) ended_backends_.insert(backend.reference);
    }
    checked_generation_ = store_replica_.generation();
    checked_at_ = now;
    // Another backend server may have the reference now, or the same one has registered again.
    std::erase_if(ended_backends_, [&](backend_reference reference) {
        const known_backend* backend = store_replica_.find_backend(reference);
        return backend == nullptr || !backend->removed_at;
    });
    return ended_backends_;
}

} // namespace tamarack::entry
