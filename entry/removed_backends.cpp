// Removals of the replica since the last check.
#include "entry/removed_backends.h"

#include <utility>

namespace tamarack::entry {

void removed_backends::update(steady_time now) {
    if (store_replica_.generation() == checked_generation_) return;
    for (const auto& [key, backend] : store_replica_.backends()) {
        if (backend.removed_at && *backend.removed_at >= checked_at_) removed_.insert(backend.reference);
    }
    checked_generation_ = store_replica_.generation();
    checked_at_ = now;
}

std::unordered_set<backend_reference> removed_backends::take_removed() {
    auto ended = std::exchange(removed_, {});
    // Another backend server may have the reference now, or the same one has registered again.
    std::erase_if(ended, [&](backend_reference reference) {
        const known_backend* backend = store_replica_.find_backend(reference);
        return backend == nullptr || !backend->removed_at;
    });
    return ended;
}

} // namespace tamarack::entry
