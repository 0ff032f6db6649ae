// Merging of store records into the routing table and the set of backend servers.
#include "entry/replica.h"

#include <algorithm>
#include <unordered_set>

namespace tamarack::entry {

namespace {

// Flows are at most this old, so that no packet needs a removed backend server for longer.
constexpr duration keep_removed = std::chrono::seconds(60);
// Sources that are behind by more than this are not followed, so that no older state of the key can arrive.
constexpr duration keep_tombstone = std::chrono::minutes(10);

} // namespace

backend_reference reference_of(std::uint64_t identity) {
    // SplitMix64's finalizer: near identities get unrelated references.
    identity = (identity ^ (identity >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    identity = (identity ^ (identity >> 27U)) * 0x94d049bb133111ebULL;
    identity ^= identity >> 31U;
    const auto reference = static_cast<backend_reference>(identity);
    return reference == 0 ? 1 : reference;
}

std::size_t replica::endpoint_hash::operator()(const endpoint& value) const {
    std::size_t hash = value.port;
    for (const std::uint8_t byte : value.address.bytes)
        hash = hash * 0x100000001b3ULL + byte; // FNV-1a's prime
    return hash;
}

//----------------------------------------------------------------------------------------------------------------------
// Applying
//----------------------------------------------------------------------------------------------------------------------

replica_change replica::apply(const record& item, steady_time now) {
    if (const auto* table = std::get_if<std::shared_ptr<const routing_table>>(&item.content))
        return apply_routing(item, *table);
    if (const auto* registration = std::get_if<backend_registration>(&item.content))
        return apply_backend(item, *registration, now);
    if (const auto* registration = std::get_if<feeder_registration>(&item.content))
        return apply_feeder(item, *registration);
    if (std::holds_alternative<removed_record>(item.content)) return apply_removal(item, now);
    mark_unusable(item);
    return replica_change::none;
}

replica_change replica::apply_routing(const record& item, const std::shared_ptr<const routing_table>& table) {
    if (item.revision <= routing_revision_) return replica_change::none;
    if (routing_ && table->version < routing_->version) return replica_change::none;
    routing_ = table;
    routing_revision_ = item.revision;
    routing_key_ = item.key;
    routing_raw_ = item.raw;
    routes_.clear();
    for (const route& each : routing_->routes)
        routes_[each.address] = &each;
    routing_changed_at_ = ++generation_;
    return replica_change::routing;
}

bool replica::was_removed_after(const record& item) {
    const auto gone = tombstones_.find(item.key);
    if (gone == tombstones_.end()) return false;
    if (item.revision <= gone->second.revision) return true;
    tombstones_.erase(gone);
    return false;
}

replica_change replica::apply_backend(const record& item, const backend_registration& registration, steady_time now) {
    if (was_removed_after(item)) return replica_change::none;
    known_backend& known = backends_[item.key];
    if (item.revision <= known.revision) return replica_change::none;
    const bool is_new = known.revision == 0 || known.removed_at.has_value();
    known.registration = registration;
    known.reference = reference_of(registration.identity);
    known.revision = item.revision;
    known.registered = now;
    known.removed_at.reset();
    if (item.revision > known.removal_revision) known.removal_due.reset();
    known.usable = true;
    known.changed_at = ++generation_;
    raw_[item.key] = item.raw;
    index_current_ = false;
    return is_new ? replica_change::backend_registered : replica_change::backend_changed;
}

replica_change replica::apply_feeder(const record& item, const feeder_registration& registration) {
    if (was_removed_after(item)) return replica_change::none;
    const std::pair place(registration.failure_domain, registration.slot);
    known_feeder&   known = feeders_[place];
    if (item.revision <= known.revision) return replica_change::none;
    known = {registration, item.revision, ++generation_};
    feeder_keys_[item.key] = place;
    raw_[item.key] = item.raw;
    return replica_change::feeders;
}

replica_change replica::remove_feeder(const record& item, steady_time now) {
    const auto found = feeder_keys_.find(item.key);
    const auto known = feeders_.find(found->second);
    if (known == feeders_.end() || item.revision <= known->second.revision) return replica_change::none;
    feeders_.erase(known);
    feeder_keys_.erase(found);
    raw_.erase(item.key);
    tombstones_[item.key] = {item.revision, ++generation_, now};
    return replica_change::feeders;
}

replica_change replica::apply_removal(const record& item, steady_time now) {
    if (feeder_keys_.contains(item.key)) return remove_feeder(item, now);
    const auto found = backends_.find(item.key);
    if (found == backends_.end()) {
        tombstone& known = tombstones_[item.key];
        if (item.revision > known.revision) known = {item.revision, ++generation_, now};
        return replica_change::none;
    }
    known_backend& known = found->second;
    if (item.revision <= known.revision || known.removed_at) return replica_change::none;
    if (holds_removals(now)) {
        if (!known.removal_due) known.removal_due = returned_at_.value_or(now) + removal_hold;
        known.removal_revision = std::max(known.removal_revision, item.revision);
        return replica_change::removal_held;
    }
    known.revision = item.revision;
    known.removed_at = now;
    known.removal_due.reset();
    known.changed_at = ++generation_;
    index_current_ = false;
    return replica_change::backend_removed;
}

void replica::mark_unusable(const record& item) {
    const auto found = backends_.find(item.key);
    if (found == backends_.end() || item.revision <= found->second.revision) return;
    found->second.usable = false;
    found->second.revision = item.revision;
    found->second.changed_at = ++generation_;
    raw_[item.key] = item.raw;
    index_current_ = false;
}

void replica::apply_snapshot(std::span<const record> items, std::uint64_t revision, steady_time now) {
    std::unordered_set<std::string_view> present;
    for (const record& item : items) {
        present.insert(item.key);
        apply(item, now);
    }
    std::vector<record> missing;
    for (const auto& [key, place] : feeder_keys_) {
        if (feeders_.at(place).revision < revision && !present.contains(key))
            missing.push_back({.key = key, .revision = revision, .content = removed_record{}, .raw = {}});
    }
    for (const auto& [key, known] : backends_) {
        if (!known.removed_at && known.revision < revision && !present.contains(key))
            missing.push_back({.key = key, .revision = revision, .content = removed_record{}, .raw = {}});
    }
    for (const record& item : missing)
        apply(item, now);
    complete_ = true;
    set_complete_to(revision);
}

void replica::set_complete_to(std::uint64_t revision) {
    complete_to_ = std::max(complete_to_, revision);
}

//----------------------------------------------------------------------------------------------------------------------
// The store's absence
//----------------------------------------------------------------------------------------------------------------------

void replica::store_lost() {
    steady_since_.reset();
    returned_at_.reset();
}

void replica::store_returned(steady_time now, duration proof_age) {
    last_proof_ = std::max(last_proof_, now - proof_age);
    if (steady_since_) return;
    steady_since_ = now;
    returned_at_ = now;
    for (auto& [key, known] : backends_) {
        if (known.removal_due) known.removal_due = now + removal_hold;
    }
}

bool replica::holds_removals(steady_time now) const {
    if (!steady_since_) return true;
    return returned_at_ && now < *returned_at_ + removal_hold;
}

std::size_t replica::expire(steady_time now) {
    std::size_t ended = 0;
    for (auto& [key, known] : backends_) {
        if (!known.removal_due || now < *known.removal_due || !steady_since_) continue;
        known.removal_due.reset();
        known.removed_at = now;
        known.revision = known.removal_revision;
        known.changed_at = ++generation_;
        ++ended;
    }
    const std::size_t forgotten = std::erase_if(backends_, [&](const auto& each) {
        const bool old = each.second.removed_at && now > *each.second.removed_at + keep_removed;
        if (old) {
            tombstones_[each.first] = {each.second.revision, each.second.changed_at, now};
            raw_.erase(each.first);
        }
        return old;
    });
    if (ended + forgotten > 0) index_current_ = false;
    forget_removals(now);
    return ended;
}

// A follower whose position is before a forgotten removal has to list again.
void replica::forget_removals(steady_time now) {
    std::erase_if(tombstones_, [&](const auto& each) {
        const bool old = now > each.second.since + keep_tombstone;
        if (old) {
            forgotten_to_ = std::max(forgotten_to_, each.second.changed_at);
            forgotten_revision_ = std::max(forgotten_revision_, each.second.revision);
        }
        return old;
    });
}

//----------------------------------------------------------------------------------------------------------------------
// Lookup
//----------------------------------------------------------------------------------------------------------------------

// Built when it is needed, since a listing brings thousands of records.
void replica::refresh_index() const {
    if (index_current_) return;
    index_current_ = true;
    references_.clear();
    services_.clear();
    for (const auto& [key, known] : backends_) {
        const known_backend*& slot = references_[known.reference];
        // The live one wins; among live ones the lower identity, so that all balancers agree.
        const bool            better = slot == nullptr || (slot->removed_at && !known.removed_at) ||
                            (slot->removed_at.has_value() == known.removed_at.has_value() &&
                             known.registration.identity < slot->registration.identity);
        if (better) slot = &known;
    }
    for (const auto& [key, known] : backends_) {
        if (!known.takes_new_flows() || references_[known.reference] != &known) continue;
        services_[known.registration.service].push_back(&known);
    }
}

const route* replica::find_route(const endpoint& address) const {
    const auto found = routes_.find(address);
    return found == routes_.end() ? nullptr : found->second;
}

const known_backend* replica::find(backend_reference reference) const {
    refresh_index();
    const auto found = references_.find(reference);
    return found == references_.end() ? nullptr : found->second;
}

std::span<const known_backend* const> replica::backends_of(std::string_view service) const {
    refresh_index();
    const auto found = services_.find(std::string(service));
    if (found == services_.end()) return {};
    return found->second;
}

record replica::record_of(const std::string& key, const known_backend& known) const {
    if (known.removed_at) return {.key = key, .revision = known.revision, .content = removed_record{}, .raw = {}};
    return {.key = key, .revision = known.revision, .content = known.registration, .raw = raw_.at(key)};
}

std::optional<std::vector<record>> replica::changes_after(std::uint64_t generation) const {
    if (generation < std::max(first_generation_, forgotten_to_) || generation > generation_) return std::nullopt;
    return collect_changes([&](std::uint64_t /*revision*/, std::uint64_t each) { return each > generation; });
}

std::optional<std::vector<record>> replica::changes_after_revision(std::uint64_t revision) const {
    if (revision < forgotten_revision_) return std::nullopt;
    return collect_changes([&](std::uint64_t each, std::uint64_t /*generation*/) { return each > revision; });
}

template <class IsNewer>
std::vector<record> replica::collect_changes(IsNewer is_newer) const {
    std::vector<record> changes;
    if (routing_ && is_newer(routing_revision_, routing_changed_at_)) {
        changes.push_back(
            {.key = routing_key_, .revision = routing_revision_, .content = routing_, .raw = routing_raw_});
    }
    for (const auto& [key, known] : backends_) {
        if (is_newer(known.revision, known.changed_at)) changes.push_back(record_of(key, known));
    }
    for (const auto& [key, place] : feeder_keys_) {
        const known_feeder& known = feeders_.at(place);
        if (!is_newer(known.revision, known.changed_at)) continue;
        changes.push_back({.key = key, .revision = known.revision, .content = known.registration, .raw = raw_.at(key)});
    }
    for (const auto& [key, removed] : tombstones_) {
        if (is_newer(removed.revision, removed.changed_at))
            changes.push_back({.key = key, .revision = removed.revision, .content = removed_record{}, .raw = {}});
    }
    return changes;
}

// A held removal is not given to others yet, so that they must be able to learn of it from the store later.
std::uint64_t replica::given_to() const {
    std::uint64_t revision = complete_to_;
    for (const auto& [key, known] : backends_) {
        if (known.removal_due) revision = std::min(revision, known.removal_revision - 1);
    }
    return revision;
}

std::vector<record> replica::records() const {
    auto all = collect_changes([](std::uint64_t, std::uint64_t) { return true; });
    std::erase_if(all, [](const record& item) { return std::holds_alternative<removed_record>(item.content); });
    return all;
}

} // namespace tamarack::entry
