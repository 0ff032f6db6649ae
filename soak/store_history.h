// Copies of the store of the last seconds, one of which it can be restored from.
#pragma once

#include "standins/kv_store.h"

#include <deque>

namespace soak {

class store_history {
public:
    void note(const standin::kv_store& store, tamarack::steady_time now) {
        if (!copies_.empty() && now < copies_.back().taken_at + copy_interval) return;
        copies_.push_back({now, store});
        while (copies_.front().taken_at < now - longest_age)
            copies_.pop_front();
    }
    // The newest copy that is not younger than this; null: there is none.
    const standin::kv_store* copy_before(tamarack::steady_time time) const {
        const standin::kv_store* found = nullptr;
        for (const copy& each : copies_) {
            if (each.taken_at <= time) found = &each.store;
        }
        return found;
    }

private:
    static constexpr tamarack::duration copy_interval = std::chrono::milliseconds(250);
    static constexpr tamarack::duration longest_age = std::chrono::seconds(8);

    struct copy {
        tamarack::steady_time taken_at{};
        standin::kv_store     store;
    };
    std::deque<copy> copies_; // oldest first
};

} // namespace soak
