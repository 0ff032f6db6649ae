// Lookups by steering, and the records that a balancer serves to its followers.
#include "entry/replica.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace tamarack::entry {

namespace {

// Decides by what the records say, and not by revisions: a registration that has lapsed, or that a restored store has
// lost, is written again under a new one. A start time that is not known claims nothing.
bool holds_reference_before(const known_backend& left, const known_backend& right) {
    const auto rank_of = [](const known_backend& backend) {
        constexpr std::int64_t      never = std::numeric_limits<std::int64_t>::max();
        const backend_registration& registration = backend.registration;
        const std::int64_t          started = registration.started_unix_ms == 0 ? never : registration.started_unix_ms;
        return std::tuple(backend.removed_at.has_value(), started, registration.identity,
                          std::string_view(registration.name));
    };
    return rank_of(left) < rank_of(right);
}

} // namespace

// Rebuilds the indexes on the next lookup instead of on each change, since a listing brings thousands of records.
void replica::refresh_indexes() const {
    if (indexes_are_current_) return;
    indexes_are_current_ = true;
    backends_by_reference_.clear();
    available_by_service_.clear();
    backends_without_reference_.clear();
    for (const auto& [key, backend] : backends_) {
        const known_backend*& holder = backends_by_reference_[backend.reference];
        if (holder == nullptr) {
            holder = &backend;
        } else if (holds_reference_before(backend, *holder)) {
            backends_without_reference_.push_back(std::exchange(holder, &backend));
        } else {
            backends_without_reference_.push_back(&backend);
        }
    }
    for (const auto& [key, backend] : backends_) {
        if (is_available(backend)) available_by_service_[backend.registration.service].push_back(&backend);
    }
}

const route* replica::find_route(const endpoint& address) const {
    const auto found = routes_by_address_.find(address);
    return found == routes_by_address_.end() ? nullptr : found->second;
}

const known_backend* replica::find_backend(backend_reference reference) const {
    refresh_indexes();
    const auto found = backends_by_reference_.find(reference);
    return found == backends_by_reference_.end() ? nullptr : found->second;
}

const known_backend* replica::find_backend(const backend_id& id) const {
    const known_backend* holder = find_backend(id.reference);
    if (holder == nullptr || id.identity == 0 || holder->registration.identity == id.identity) return holder;
    for (const known_backend* other : backends_without_reference_) {
        if (other->id() == id) return other;
    }
    return holder;
}

std::span<const known_backend* const> replica::backends_without_reference() const {
    refresh_indexes();
    return backends_without_reference_;
}

bool replica::is_available(const known_backend& backend) const {
    if (!backend.takes_new_flows() || find_backend(backend.reference) != &backend) return false;
    return std::ranges::none_of(backends_without_reference_, [&](const known_backend* other) {
        return other->reference == backend.reference && other->removed_at;
    });
}

std::span<const known_backend* const> replica::available_backends(std::string_view service) const {
    refresh_indexes();
    const auto found = available_by_service_.find(std::string(service));
    if (found == available_by_service_.end()) return {};
    return found->second;
}

record replica::record_of(const std::string& key, const known_backend& backend) const {
    if (backend.removed_at)
        return {.key = key, .revision = backend.revision, .content = removed_record{}, .raw_value = {}};
    return {
        .key = key, .revision = backend.revision, .content = backend.registration, .raw_value = raw_values_.at(key)};
}

std::optional<std::vector<record>> replica::changes_after(std::uint64_t generation) const {
    if (generation < std::max(first_generation_, forgotten_generation_) || generation > generation_)
        return std::nullopt;
    return collect_changes([&](const store_revision& /*revision*/, std::uint64_t changed_generation) {
        return changed_generation > generation;
    });
}

std::optional<std::vector<record>> replica::changes_for_follower(std::uint64_t generation) const {
    if (generation < listed_generation_) return std::nullopt;
    return changes_after(generation);
}

std::optional<std::vector<record>> replica::changes_after_revision(const store_revision& revision) const {
    if (revision.epoch != complete_revision_.epoch || revision < forgotten_revision_) return std::nullopt;
    return collect_changes([&](const store_revision& record_revision, std::uint64_t /*changed_generation*/) {
        return record_revision > revision;
    });
}

template <class IsNewer>
std::vector<record> replica::collect_changes(IsNewer is_newer) const {
    std::vector<record> changes;
    if (routing_ && is_newer(routing_revision_, routing_changed_generation_)) {
        changes.push_back(
            {.key = routing_key_, .revision = routing_revision_, .content = routing_, .raw_value = routing_raw_value_});
    }
    for (const auto& [key, backend] : backends_) {
        if (is_newer(backend.revision, backend.changed_generation)) changes.push_back(record_of(key, backend));
    }
    for (const auto& [key, domain_and_slot] : feeder_slots_by_key_) {
        const known_feeder& feeder = feeders_.at(domain_and_slot);
        if (!is_newer(feeder.revision, feeder.changed_generation)) continue;
        changes.push_back({.key = key,
                           .revision = feeder.revision,
                           .content = feeder.registration,
                           .raw_value = raw_values_.at(key)});
    }
    for (const auto& [key, evacuated] : evacuations_) {
        if (!is_newer(evacuated.revision, evacuated.changed_generation)) continue;
        changes.push_back({.key = key,
                           .revision = evacuated.revision,
                           .content = evacuation{evacuated.failure_domain},
                           .raw_value = raw_values_.at(key)});
    }
    for (const auto& [key, removal] : tombstones_) {
        if (is_newer(removal.revision, removal.changed_generation))
            changes.push_back({.key = key, .revision = removal.revision, .content = removed_record{}, .raw_value = {}});
    }
    return changes;
}

// Held states are not shared yet. The returned revision precedes them, so that followers can still learn of them from
// the store later.
store_revision replica::shareable_revision() const {
    store_revision revision = complete_revision_;
    const auto     precede = [&](const store_revision& held_after) {
        revision.number = std::min(revision.number, held_after.epoch == revision.epoch ? held_after.number : 0);
    };
    for (const auto& [key, evacuated] : evacuations_) {
        // The listing of the new epoch does not tell when the record was removed.
        if (evacuated.held_removal_due) precede({evacuated.held_removal_revision.epoch, 0});
    }
    for (const auto& [key, backend] : backends_) {
        if (backend.held_removal_due) precede(backend.registered_until);
        if (!backend.held_registration) continue;
        const store_revision& held = backend.held_registration->revision;
        precede({held.epoch, held.number - 1});
    }
    return revision;
}

// Held registrations are listed, too, after the state in use: they are in the store, and each balancer decides for
// itself. One that holds a removal of the key from an earlier epoch learns that the key is registered.
std::vector<record> replica::records() const {
    auto live_records = collect_changes([](const store_revision&, std::uint64_t) { return true; });
    std::erase_if(live_records,
                  [](const record& item) { return std::holds_alternative<removed_record>(item.content); });
    for (const auto& [key, backend] : backends_) {
        if (backend.held_registration) live_records.push_back(*backend.held_registration);
    }
    return live_records;
}

} // namespace tamarack::entry
