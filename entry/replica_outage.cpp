// What the replica holds back while the store is away or has been restored from a copy, and what it forgets over time.
#include "entry/replica.h"

#include <algorithm>

namespace tamarack::entry {

namespace {

// Flows live for at most this long, so that no packet needs a removed backend server after it.
constexpr duration removed_backend_retention = std::chrono::seconds(60);
// Sources that lag by more than this are not used, so that no older state of a key can arrive after it.
constexpr duration tombstone_retention = std::chrono::minutes(10);

} // namespace

void replica::note_store_unavailable() {
    store_available_since_.reset();
}

void replica::note_store_available(steady_time now, duration confirmation_age, unsigned distance) {
    last_confirmation_ = std::max(last_confirmation_, now - confirmation_age);
    store_distance_ = distance;
    if (!store_available_since_) begin_availability(now);
}

void replica::begin_availability(steady_time now) {
    store_available_since_ = now;
    for (auto& [key, backend] : backends_) {
        if (backend.held_removal_due) backend.held_removal_due = now + removal_hold_time;
    }
}

bool replica::is_current(steady_time now) const {
    return is_complete_ && last_confirmation_ != steady_time{} && now - last_confirmation_ <= max_confirmation_age &&
           store_distance_ < max_store_distance;
}

bool replica::holds_removals(steady_time now) const {
    return !store_available_since_ || now < *store_available_since_ + removal_hold_time;
}

std::size_t replica::expire(steady_time now) {
    apply_held_registrations(now);
    std::size_t applied_removals = 0;
    for (auto& [key, backend] : backends_) {
        if (!backend.held_removal_due || !is_confirmed_at(*backend.held_removal_due)) continue;
        backend.held_removal_due.reset();
        backend.removed_at = now;
        backend.revision = backend.held_removal_revision;
        backend.changed_generation = ++generation_;
        ++applied_removals;
    }
    const std::size_t forgotten_backends = std::erase_if(backends_, [&](const auto& key_and_backend) {
        const known_backend& backend = key_and_backend.second;
        const bool           is_expired =
            backend.removed_at && !backend.held_registration && now > *backend.removed_at + removed_backend_retention;
        if (is_expired) {
            tombstones_[key_and_backend.first] = {backend.revision, backend.changed_generation, now};
            forget_raw_value(key_and_backend.first);
        }
        return is_expired;
    });
    if (applied_removals + forgotten_backends > 0) indexes_are_current_ = false;
    applied_removals += expire_evacuations(now);
    expire_tombstones(now);
    return applied_removals;
}

// A balancer that has not heard from the store since cannot know what has been written there.
bool replica::is_confirmed_at(steady_time due) const {
    return store_available_since_ && last_confirmation_ >= due;
}

void replica::apply_held_registrations(steady_time now) {
    for (auto& [key, backend] : backends_) {
        if (!backend.held_registration || !is_confirmed_at(backend.held_registration_due)) continue;
        const record item = *backend.held_registration;
        take_registration(item, std::get<backend_registration>(item.content), backend, now);
    }
}

// A follower whose position precedes a forgotten removal has to list again.
void replica::expire_tombstones(steady_time now) {
    std::erase_if(tombstones_, [&](const auto& key_and_tombstone) {
        const bool is_expired = now > key_and_tombstone.second.created_at + tombstone_retention;
        if (is_expired) {
            forgotten_generation_ = std::max(forgotten_generation_, key_and_tombstone.second.changed_generation);
            forgotten_revision_ = std::max(forgotten_revision_, key_and_tombstone.second.revision);
        }
        return is_expired;
    });
}

} // namespace tamarack::entry
