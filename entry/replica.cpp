// Merges store records into the routing table, the set of backend servers and the set of feeders.
#include "entry/replica.h"

#include <algorithm>
#include <unordered_set>

namespace tamarack::entry {

namespace {

// Flows live for at most this long, so that no packet needs a removed backend server after it.
constexpr duration removed_backend_retention = std::chrono::seconds(60);
// Sources that lag by more than this are not used, so that no older state of a key can arrive after it.
constexpr duration tombstone_retention = std::chrono::minutes(10);

// Whether one state of a backend server is older than another by its own account, whichever epoch they were stored in.
bool is_older_report(const backend_registration& state, const backend_registration& other) {
    if (state.started_unix_ms != other.started_unix_ms) return state.started_unix_ms < other.started_unix_ms;
    return state.report_number < other.report_number;
}

} // namespace

backend_reference reference_of(std::uint64_t identity) {
    // SplitMix64's finalizer: similar identities get unrelated references.
    identity = (identity ^ (identity >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    identity = (identity ^ (identity >> 27U)) * 0x94d049bb133111ebULL;
    identity ^= identity >> 31U;
    const auto reference = static_cast<backend_reference>(identity);
    return reference == 0 ? 1 : reference;
}

std::size_t replica::endpoint_hash::operator()(const endpoint& value) const {
    std::size_t hash = value.port;
    for (const std::uint8_t byte : value.address.bytes)
        hash = hash * 0x100000001b3ULL + byte; // the FNV prime, as in FNV-1a
    return hash;
}

//----------------------------------------------------------------------------------------------------------------------
// Applying
//----------------------------------------------------------------------------------------------------------------------

replica_change replica::apply(const record& item, steady_time now) {
    const replica_change change = apply_content(item, now);
    if (change == replica_change::none) note_ignored(item);
    if (change == replica_change::state_confirmed) note_confirmed(item.key);
    return change;
}

// A follower may hold an older registration of the epoch, which this state replaces.
void replica::note_confirmed(const std::string& key) {
    if (key == routing_key_) {
        routing_changed_generation_ = ++generation_;
    } else {
        backends_.at(key).changed_generation = ++generation_;
    }
}

void replica::note_ignored(const record& item) {
    store_revision known_revision;
    if (item.key == routing_key_ && item.raw_value != routing_raw_value_) known_revision = routing_revision_;
    if (const auto found = backends_.find(item.key); found != backends_.end()) {
        const bool is_removal = std::holds_alternative<removed_record>(item.content);
        const bool is_known = is_removal ? found->second.removed_at.has_value()
                                         : !found->second.removed_at && raw_values_.at(item.key) == item.raw_value;
        if (!is_known) known_revision = found->second.revision;
    }
    if (known_revision == store_revision{}) return;
    ++ignored_count_;
    last_ignored_ = {item.key, item.revision, known_revision};
}

replica_change replica::apply_content(const record& item, steady_time now) {
    if (item.revision.number == 0) return replica_change::none; // no state of a key: the store counts from 1
    if (const auto* table = std::get_if<std::shared_ptr<const routing_table>>(&item.content))
        return apply_routing(item, *table);
    if (const auto* registration = std::get_if<backend_registration>(&item.content))
        return apply_backend(item, *registration, now);
    if (const auto* registration = std::get_if<feeder_registration>(&item.content))
        return apply_feeder(item, *registration);
    if (std::holds_alternative<removed_record>(item.content)) {
        const store_revision registered_until{item.revision.epoch, item.revision.number - 1};
        return apply_removal(item, registered_until, now);
    }
    mark_unusable(item);
    return replica_change::none;
}

bool replica::is_newer_table(const record& item, const routing_table& table) const {
    if (!routing_) return true;
    if (item.revision.epoch != routing_revision_.epoch && table.version != routing_->version)
        return table.version > routing_->version;
    return item.revision > routing_revision_ && table.version >= routing_->version;
}

replica_change replica::apply_routing(const record& item, const std::shared_ptr<const routing_table>& table) {
    if (!is_newer_table(item, *table)) return replica_change::none;
    routing_revision_ = item.revision;
    if (routing_ && item.raw_value == routing_raw_value_) return replica_change::state_confirmed;
    routing_ = table;
    routing_key_ = item.key;
    routing_raw_value_ = item.raw_value;
    routes_by_address_.clear();
    for (const route& listed_route : routing_->routes)
        routes_by_address_[listed_route.address] = &listed_route;
    routing_changed_generation_ = ++generation_;
    return replica_change::routing_changed;
}

bool replica::was_removed_since(const record& item) {
    const auto found = tombstones_.find(item.key);
    if (found == tombstones_.end()) return false;
    if (item.revision <= found->second.revision) return true;
    tombstones_.erase(found);
    return false;
}

// A copy that the store was restored from. A backend server that was removed since then may have ended: only a later
// report shows that it has not.
bool replica::is_older_copy(const record& item, const backend_registration& registration,
                            const known_backend& backend) const {
    const bool is_known = backend.revision.number != 0;
    if (!is_known || item.revision.epoch == backend.revision.epoch) return false;
    if (backend.removed_at) return !is_older_report(backend.registration, registration);
    return is_older_report(registration, backend.registration);
}

replica_change replica::apply_backend(const record& item, const backend_registration& registration, steady_time now) {
    if (was_removed_since(item)) return replica_change::none;
    // A source that holds a removal still lists the key, also to a balancer that has learned of the removal elsewhere.
    const bool has_been_removed = is_complete_ && !backends_.contains(item.key) && item.revision <= complete_revision_;
    if (has_been_removed) return replica_change::none;
    known_backend& backend = backends_[item.key];
    if (item.revision <= backend.revision) return replica_change::none;
    if (backend.held_registration && item.revision <= backend.held_registration->revision) return replica_change::none;
    if (item.revision > backend.held_removal_revision) backend.held_removal_due.reset();
    if (!is_older_copy(item, registration, backend)) return take_registration(item, registration, backend, now);
    if (backend.held_removal_due) return replica_change::none; // removed after this state
    backend.held_registration = item;
    backend.held_registration_due = now + restored_state_hold_time;
    return replica_change::registration_held;
}

replica_change replica::take_registration(const record& item, const backend_registration& registration,
                                          known_backend& backend, steady_time now) {
    const bool is_new = backend.revision.number == 0 || backend.removed_at.has_value();
    const bool is_from_other_epoch = item.revision.epoch != backend.revision.epoch;
    backend.revision = item.revision;
    backend.held_registration.reset();
    if (!is_new && is_from_other_epoch && backend.is_usable && raw_values_.at(item.key) == item.raw_value)
        return replica_change::state_confirmed;
    backend.registration = registration;
    backend.reference = reference_of(registration.identity);
    backend.registration_received = now;
    backend.removed_at.reset();
    backend.is_usable = true;
    backend.changed_generation = ++generation_;
    raw_values_[item.key] = item.raw_value;
    indexes_are_current_ = false;
    return is_new ? replica_change::backend_registered : replica_change::backend_changed;
}

replica_change replica::apply_feeder(const record& item, const feeder_registration& registration) {
    if (was_removed_since(item)) return replica_change::none;
    const std::pair domain_and_slot(registration.failure_domain, registration.slot);
    known_feeder&   feeder = feeders_[domain_and_slot];
    if (item.revision <= feeder.revision) return replica_change::none;
    feeder = {registration, item.revision, ++generation_};
    feeder_slots_by_key_[item.key] = domain_and_slot;
    raw_values_[item.key] = item.raw_value;
    return replica_change::feeders_changed;
}

replica_change replica::remove_feeder(const record& item, steady_time now) {
    const auto slot = feeder_slots_by_key_.find(item.key);
    const auto feeder = feeders_.find(slot->second);
    if (feeder == feeders_.end() || item.revision <= feeder->second.revision) return replica_change::none;
    feeders_.erase(feeder);
    feeder_slots_by_key_.erase(slot);
    raw_values_.erase(item.key);
    tombstones_[item.key] = {item.revision, ++generation_, now};
    return replica_change::feeders_changed;
}

replica_change replica::apply_removal(const record& item, const store_revision& registered_until, steady_time now) {
    if (feeder_slots_by_key_.contains(item.key)) return remove_feeder(item, now);
    const auto found = backends_.find(item.key);
    if (found == backends_.end()) {
        tombstone& removal = tombstones_[item.key];
        if (item.revision > removal.revision) removal = {item.revision, ++generation_, now};
        return replica_change::none;
    }
    known_backend& backend = found->second;
    if (backend.held_registration && item.revision > backend.held_registration->revision)
        backend.held_registration.reset();
    if (item.revision <= backend.revision) return replica_change::none;
    if (backend.removed_at) {
        backend.revision = item.revision;
        return replica_change::state_confirmed;
    }
    if (holds_removals(now)) {
        if (!backend.held_removal_due) {
            backend.held_removal_due = store_available_since_.value_or(now) + removal_hold_time;
            backend.registered_until = registered_until;
        }
        backend.held_removal_revision = std::max(backend.held_removal_revision, item.revision);
        return replica_change::removal_held;
    }
    backend.revision = item.revision;
    backend.removed_at = now;
    backend.held_removal_due.reset();
    backend.changed_generation = ++generation_;
    indexes_are_current_ = false;
    return replica_change::backend_removed;
}

void replica::mark_unusable(const record& item) {
    const auto found = backends_.find(item.key);
    if (found == backends_.end() || item.revision <= found->second.revision) return;
    found->second.is_usable = false;
    found->second.revision = item.revision;
    found->second.changed_generation = ++generation_;
    raw_values_[item.key] = item.raw_value;
    indexes_are_current_ = false;
}

void replica::apply_listing(std::span<const record> items, const store_revision& revision, steady_time now,
                            const store_revision& complete_until) {
    // Registrations that the copy lacks are written again, as after an outage, which may have been too short to notice.
    if (is_complete_ && revision.epoch > complete_revision_.epoch && store_available_since_) begin_availability(now);
    std::unordered_set<std::string_view> listed_keys;
    for (const record& item : items) {
        listed_keys.insert(item.key);
        // Followers list as well, so that confirmed states need not be sent to them.
        if (apply_content(item, now) == replica_change::none) note_ignored(item);
    }
    std::vector<record> removals;
    for (const auto& [key, domain_and_slot] : feeder_slots_by_key_) {
        if (feeders_.at(domain_and_slot).revision < revision && !listed_keys.contains(key))
            removals.push_back({.key = key, .revision = revision, .content = removed_record{}, .raw_value = {}});
    }
    for (const auto& [key, backend] : backends_) {
        const bool is_registered = !backend.removed_at || backend.held_registration;
        if (is_registered && backend.revision < revision && !listed_keys.contains(key))
            removals.push_back({.key = key, .revision = revision, .content = removed_record{}, .raw_value = {}});
    }
    // The listing does not tell when the keys were removed.
    const bool           is_same_epoch = revision.epoch == complete_revision_.epoch;
    const store_revision registered_until{revision.epoch, is_same_epoch ? complete_revision_.number : 0};
    for (const record& item : removals)
        apply_removal(item, registered_until, now);
    // Keys that were removed before the listing are unknown unless the replica held them. A follower may hold one.
    forgotten_revision_ = std::max(forgotten_revision_, revision);
    // A listing that is no newer than an earlier one tells of no further removals. Balancers that read from each other
    // would otherwise make each other list again and again.
    if (is_complete_ && revision > listed_revision_) listed_generation_ = ++generation_;
    listed_revision_ = std::max(listed_revision_, revision);
    is_complete_ = true;
    set_complete_revision(complete_until);
}

void replica::set_complete_revision(const store_revision& revision) {
    complete_revision_ = std::max(complete_revision_, revision);
}

//----------------------------------------------------------------------------------------------------------------------
// Store outages and removals
//----------------------------------------------------------------------------------------------------------------------

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
            raw_values_.erase(key_and_backend.first);
        }
        return is_expired;
    });
    if (applied_removals + forgotten_backends > 0) indexes_are_current_ = false;
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

//----------------------------------------------------------------------------------------------------------------------
// Lookup
//----------------------------------------------------------------------------------------------------------------------

// Rebuilds the indexes on the next lookup instead of on each change, since a listing brings thousands of records.
void replica::refresh_indexes() const {
    if (indexes_are_current_) return;
    indexes_are_current_ = true;
    backends_by_reference_.clear();
    available_by_service_.clear();
    for (const auto& [key, backend] : backends_) {
        const known_backend*& preferred = backends_by_reference_[backend.reference];
        // If two backend servers share a reference, one that is not removed is preferred, then the lower identity, so
        // that all balancers agree.
        const bool            is_preferred = preferred == nullptr || (preferred->removed_at && !backend.removed_at) ||
                                  (preferred->removed_at.has_value() == backend.removed_at.has_value() &&
                                   backend.registration.identity < preferred->registration.identity);
        if (is_preferred) preferred = &backend;
    }
    for (const auto& [key, backend] : backends_) {
        if (!backend.takes_new_flows() || backends_by_reference_[backend.reference] != &backend) continue;
        available_by_service_[backend.registration.service].push_back(&backend);
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
    for (const auto& [key, removal] : tombstones_) {
        if (is_newer(removal.revision, removal.changed_generation))
            changes.push_back({.key = key, .revision = removal.revision, .content = removed_record{}, .raw_value = {}});
    }
    return changes;
}

// Held removals are not shared yet. The returned revision precedes them, so that followers can still learn of them
// from the store later.
store_revision replica::shareable_revision() const {
    store_revision revision = complete_revision_;
    for (const auto& [key, backend] : backends_) {
        if (!backend.held_removal_due) continue;
        const bool is_same_epoch = backend.registered_until.epoch == revision.epoch;
        revision.number = std::min(revision.number, is_same_epoch ? backend.registered_until.number : 0);
    }
    return revision;
}

std::vector<record> replica::records() const {
    auto live_records = collect_changes([](const store_revision&, std::uint64_t) { return true; });
    std::erase_if(live_records,
                  [](const record& item) { return std::holds_alternative<removed_record>(item.content); });
    return live_records;
}

} // namespace tamarack::entry
