// Merges store records into the routing table, the set of backend servers and the set of feeders.
#include "entry/replica.h"

#include <algorithm>

namespace tamarack::entry {

namespace {

// Whether one state of a backend server is older than another by its own account, whichever epoch they were stored in.
bool is_older_report(const backend_registration& state, const backend_registration& other) {
    if (state.started_unix_ms != other.started_unix_ms) return state.started_unix_ms < other.started_unix_ms;
    return state.report_number < other.report_number;
}

// Bytes. The store encodes values as base64, and names the key, the revisions and the lease beside each.
std::size_t size_in_listing(std::string_view raw_value) {
    constexpr std::size_t item_size = 180;
    return raw_value.size() * 4 / 3 + item_size;
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
    if (const auto* order = std::get_if<evacuation>(&item.content)) return apply_evacuation(item, *order);
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
    listing_size_ += size_in_listing(item.raw_value);
    if (!routing_raw_value_.empty()) listing_size_ -= size_in_listing(routing_raw_value_);
    routing_raw_value_ = item.raw_value;
    routes_by_address_.clear();
    for (const route& listed_route : routing_->routes)
        routes_by_address_[listed_route.address] = &listed_route;
    routing_changed_generation_ = ++generation_;
    return replica_change::routing_changed;
}

void replica::keep_raw_value(const record& item) {
    const auto [kept, is_new] = raw_values_.try_emplace(item.key);
    if (!is_new) listing_size_ -= size_in_listing(kept->second);
    kept->second = item.raw_value;
    listing_size_ += size_in_listing(item.raw_value);
}

void replica::forget_raw_value(const std::string& key) {
    const auto found = raw_values_.find(key);
    if (found == raw_values_.end()) return;
    listing_size_ -= size_in_listing(found->second);
    raw_values_.erase(found);
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

// The store has a later state of the key than the record, though it is not in use yet.
bool replica::is_before_held_registration(const record& item, const known_backend& backend) {
    return backend.held_registration && item.revision <= backend.held_registration->revision;
}

// A source that holds a removal still lists the key, also to a balancer that has learned of the removal elsewhere.
bool replica::was_dropped(const record& item, bool is_known) const {
    return is_complete_ && !is_known && item.revision <= complete_revision_;
}

replica_change replica::apply_backend(const record& item, const backend_registration& registration, steady_time now) {
    if (was_removed_since(item) || was_dropped(item, backends_.contains(item.key))) return replica_change::none;
    known_backend& backend = backends_[item.key];
    if (item.revision <= backend.revision) return replica_change::none;
    if (is_before_held_registration(item, backend)) return replica_change::none;
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
    keep_raw_value(item);
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
    keep_raw_value(item);
    return replica_change::feeders_changed;
}

replica_change replica::remove_feeder(const record& item, steady_time now) {
    const auto slot = feeder_slots_by_key_.find(item.key);
    const auto feeder = feeders_.find(slot->second);
    if (feeder == feeders_.end() || item.revision <= feeder->second.revision) return replica_change::none;
    feeders_.erase(feeder);
    feeder_slots_by_key_.erase(slot);
    forget_raw_value(item.key);
    tombstones_[item.key] = {item.revision, ++generation_, now};
    return replica_change::feeders_changed;
}

replica_change replica::apply_removal(const record& item, const store_revision& registered_until, steady_time now) {
    if (feeder_slots_by_key_.contains(item.key)) return remove_feeder(item, now);
    if (evacuations_.contains(item.key)) return remove_evacuation(item, now);
    const auto found = backends_.find(item.key);
    if (found == backends_.end()) {
        tombstone& removal = tombstones_[item.key];
        if (item.revision > removal.revision) removal = {item.revision, ++generation_, now};
        return replica_change::none;
    }
    known_backend& backend = found->second;
    if (item.revision <= backend.revision || is_before_held_registration(item, backend)) return replica_change::none;
    backend.held_registration.reset();
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
    known_backend& backend = found->second;
    if (is_before_held_registration(item, backend)) return;
    if (item.revision > backend.held_removal_revision) backend.held_removal_due.reset();
    backend.held_registration.reset();
    backend.is_usable = false;
    backend.revision = item.revision;
    backend.changed_generation = ++generation_;
    keep_raw_value(item);
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
    remove_unlisted_evacuations(listed_keys, revision, now);
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

} // namespace tamarack::entry
