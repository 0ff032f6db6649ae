// Removals of the replica since the last check.
#include "entry/removed_backends.h"

#include <utility>

namespace tamarack::entry {

void removed_backends::update(steady_time now) {
    if (store_replica_.generation() == checked_generation_) return;
    for (const auto& [key, backend] : store_replica_.backends()) {
        if (backend.removed_at && *backend.removed_at >= checked_at_) removed_.insert(backend.registration.identity);
    }
    checked_generation_ = store_replica_.generation();
    checked_at_ = now;
}

std::unordered_set<std::uint64_t> removed_backends::take_removed() {
    auto ended = std::exchange(removed_, {});
    std::erase_if(ended, [&](std::uint64_t identity) {
        const known_backend* backend = store_replica_.find_backend({reference_of(identity), identity});
        return backend == nullptr || !backend->removed_at; // it has registered again
    });
    return ended;
}

} // namespace tamarack::entry
