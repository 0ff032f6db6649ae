// Local replica of the store: the routing table, the registered backend servers and the feeders.
//
// Records arrive from the store and from other balancers in any order. Within an epoch of the store, the revision
// decides which state of a key is newer. The routing table never reverts to a lower version.
//
// A store that begins a new epoch has an older copy of its state, until the operator and the backend servers have
// written it again. A state of a later epoch is therefore newer only if its writer says so: the operator by the
// version, a backend server by its start time and the number of its report. A registration that is older by that is
// held: it applies if it is still in the store after the hold time, when all others have been written again or have
// expired.
//
// During an outage of the store, registrations may expire although their backend servers are alive. Removals seen
// during an outage, or within the hold time after it, are therefore held: the backend server stays in use until it
// registers again, or the store has confirmed after the hold time that it has not.
//
// The evacuation of a failure domain applies at once. Its end applies at once, too, unless only the copy that the store
// was restored from lacks the record: then the evacuation is held, until the operator has written again.
#pragma once

#include "entry/model.h"

#include <algorithm>
#include <map>
#include <unordered_set>

namespace tamarack::entry {

// Backend servers register again within about two seconds after the store has recovered.
inline constexpr duration removal_hold_time = std::chrono::milliseconds(2'300);
// Registrations in a restored copy whose backend servers have ended expire after several missed reports.
inline constexpr duration restored_state_hold_time = std::chrono::seconds(10);

// The replica is current while the store has confirmed it within this time. Covers the longest time between two answers
// of an available store.
inline constexpr duration max_confirmation_age = std::chrono::milliseconds(3'100);
// Balancers that a record may pass between the store and a replica. A circle of balancers that read from each other
// exceeds it within a few answers.
inline constexpr unsigned max_store_distance = 8;

struct known_feeder {
    feeder_registration registration;
    store_revision      revision{};
    std::uint64_t       changed_generation = 0; // generation of the last change
};

// An evacuated failure domain.
struct known_evacuation {
    std::string                failure_domain;
    store_revision             revision{};
    std::uint64_t              changed_generation = 0;  // generation of the last change
    std::optional<steady_time> held_removal_due;        // set: the removal is held until this time
    store_revision             held_removal_revision{}; // of the listing that lacks the record
};

// A registered backend server and the replica's bookkeeping for it.
struct known_backend {
    backend_registration       registration;
    backend_reference          reference = 0;
    store_revision             revision{};
    steady_time                registration_received{}; // when the current registration was received
    std::optional<steady_time> removed_at;              // set: removed, but kept for packets of its open flows
    std::optional<steady_time> held_removal_due;        // set: a removal is held until this time
    store_revision             held_removal_revision{}; // revision of the held removal
    store_revision             registered_until{};      // the held removal took place after this revision
    std::optional<record>      held_registration;       // of a restored copy, and older than the known registration
    steady_time                held_registration_due{}; // when the held registration applies
    std::uint64_t              changed_generation = 0;  // generation of the last change
    bool                       is_usable = true;        // false: its latest record cannot be decoded

    backend_id id() const { return {reference, registration.identity}; }
    bool takes_new_flows() const { return is_usable && !removed_at && registration.state == backend_state::active; }
};

// A state of a key that was not applied, although it differs from the known one, since it was taken for an older one.
struct ignored_record {
    std::string    key;
    store_revision revision{};
    store_revision known_revision{};
};

// Effect of applying a record.
enum class replica_change : std::uint8_t {
    none,
    feeders_changed,
    evacuations_changed,
    routing_changed,
    backend_registered,
    backend_changed,
    backend_removed,
    removal_held,
    registration_held,
    state_confirmed // the known state, from a later epoch
};

class replica {
public:
    explicit replica(std::uint64_t first_generation = 0)
        : generation_(first_generation), first_generation_(first_generation) {}

    // Ignores a record that is not newer than the known state of its key.
    replica_change apply(const record& item, steady_time now);
    // Applies a complete listing of the store. The revision is that of the listing's first page. Keys that the listing
    // lacks have been removed, unless the replica holds a state that is not older than the revision: such a record was
    // created while the later pages were read. Removals by the first listing of an epoch are held. Every change up
    // to the last revision is in the listing; it is lower if the source holds removals.
    void           apply_listing(std::span<const record> items, const store_revision& revision, steady_time now,
                                 const store_revision& complete_until);
    void           apply_listing(std::span<const record> items, const store_revision& revision, steady_time now) {
                  apply_listing(items, revision, now, revision);
    }

    // The store does not answer, or refuses calls. Removals are held from now on, until the hold time after the store
    // has become available again.
    void        note_store_unavailable();
    // The store has answered, or a balancer whose replica the store has confirmed this long ago. The distance is the
    // number of balancers between the store and this one.
    void        note_store_available(steady_time now, duration confirmation_age = {}, unsigned distance = 0);
    // Applies held removals and registrations for which the store has confirmed the replica since they were due, and
    // forgets old removals. Returns the number of removals that took effect.
    std::size_t expire(steady_time now);

    // Records ignored so far, and the last one of them.
    std::uint64_t         ignored_count() const { return ignored_count_; }
    const ignored_record& last_ignored() const { return last_ignored_; }

    // Null until the first configuration has been received.
    const routing_table*                                  routing() const { return routing_.get(); }
    const route*                                          find_route(const endpoint& address) const;
    // The backend server that a packet with the reference goes to; null: none has it. If several have it, one that is
    // registered holds it before those that were removed, and the one that started first before all others: it may have
    // open flows when the others are added. All balancers agree, whatever they have read first.
    const known_backend*                                  find_backend(backend_reference reference) const;
    // The backend server of a flow, whether or not it holds the reference; if its identity is not known, the holder.
    const known_backend*                                  find_backend(const backend_id& id) const;
    // Backend servers whose reference another one holds. They keep the flows that they have, and get no new ones.
    std::span<const known_backend* const>                 backends_without_reference() const;
    // Takes new flows, holds its reference, and no other one that had it was removed lately: that one may have open
    // flows on balancers that lag behind, or be registered again.
    bool                                                  is_available(const known_backend& backend) const;
    std::span<const known_backend* const>                 available_backends(std::string_view service) const;
    const std::unordered_map<std::string, known_backend>& backends() const { return backends_; }
    // Failure domains whose backend servers get no new flows, by key of the store.
    const std::map<std::string, known_evacuation>&        evacuations() const { return evacuations_; }
    bool                                                  is_evacuated(std::string_view failure_domain) const;
    // When the last evacuation of the failure domain ended; nullopt: none has ended lately.
    std::optional<steady_time>                            evacuation_end(std::string_view failure_domain) const;
    // A complete listing has been applied at least once.
    bool                                                  is_complete() const { return is_complete_; }
    // The replica contains every change up to this revision.
    const store_revision&                                 complete_revision() const { return complete_revision_; }
    void                                                  set_complete_revision(const store_revision& revision);
    // Keys that the replica lacks had been removed at this revision. Later than complete_revision while the source
    // holds removals: the keys that the source lacked are gone all the same.
    store_revision             listed_revision() const { return std::max(listed_revision_, complete_revision_); }
    // When the store last confirmed, directly or through a feeder, that nothing newer exists.
    steady_time                last_confirmation() const { return last_confirmation_; }
    // Complete, and confirmed by the store within max_confirmation_age. Other balancers may rely on the replica.
    bool                       is_current(steady_time now) const;
    // Balancers between the store and this replica at the last confirmation; 0: the store itself confirmed it.
    unsigned                   store_distance() const { return store_distance_; }
    // Start of the store's current uninterrupted availability; nullopt while it is unavailable.
    std::optional<steady_time> store_available_since() const { return store_available_since_; }

    // Increases with each change of the replica. Its first value differs between processes, so that a position issued
    // by another process is detected.
    std::uint64_t                      generation() const { return generation_; }
    // Latest state of all records that changed after a generation, without held removals. Nullopt: the generation was
    // not issued by this process, or removals since then have been forgotten.
    std::optional<std::vector<record>> changes_after(std::uint64_t generation) const;
    // The same for a follower, which may hold records that this replica has never seen. Nullopt also if a listing has
    // been applied since then: it does not tell which of those were removed.
    std::optional<std::vector<record>> changes_for_follower(std::uint64_t generation) const;
    // Latest state of all records with a higher revision, without held removals. Nullopt: removals since then have
    // been forgotten, or the revision is of another epoch than complete_revision.
    std::optional<std::vector<record>> changes_after_revision(const store_revision& revision) const;
    // Whoever has received all records that this balancer serves has every change up to this revision. Its epoch is
    // that of complete_revision.
    store_revision                     shareable_revision() const;
    // About the size of the store's answers to a listing of the records, in bytes.
    std::size_t                        listing_size() const { return listing_size_; }
    // Latest state of all records that have not been removed.
    std::vector<record>                records() const;
    // By failure domain and slot.
    const std::map<std::pair<std::string, unsigned>, known_feeder>& feeders() const { return feeders_; }

private:
    struct endpoint_hash {
        std::size_t operator()(const endpoint& value) const;
    };

    replica_change apply_content(const record& item, steady_time now);
    void           note_ignored(const record& item);
    void           keep_raw_value(const record& item);
    void           forget_raw_value(const std::string& key);
    void           note_confirmed(const std::string& key);
    replica_change apply_routing(const record& item, const std::shared_ptr<const routing_table>& table);
    replica_change apply_backend(const record& item, const backend_registration& registration, steady_time now);
    replica_change take_registration(const record& item, const backend_registration& registration,
                                     known_backend& backend, steady_time now);
    bool           is_older_copy(const record& item, const backend_registration& registration,
                                 const known_backend& backend) const;
    static bool    is_before_held_registration(const record& item, const known_backend& backend);
    bool           is_newer_table(const record& item, const routing_table& table) const;
    void           begin_availability(steady_time now);
    void           apply_held_registrations(steady_time now);
    replica_change apply_feeder(const record& item, const feeder_registration& registration);
    replica_change remove_feeder(const record& item, steady_time now);
    replica_change apply_evacuation(const record& item, const evacuation& order);
    replica_change remove_evacuation(const record& item, steady_time now);
    void           remove_unlisted_evacuations(const std::unordered_set<std::string_view>& listed_keys,
                                               const store_revision& revision, steady_time now);
    std::size_t    expire_evacuations(steady_time now);
    bool           was_dropped(const record& item, bool is_known) const;
    // The key was still registered at the second revision.
    replica_change apply_removal(const record& item, const store_revision& registered_until, steady_time now);
    void           mark_unusable(const record& item);
    // Whether the key was removed at the record's revision or later. Erases a tombstone that is older than the record.
    bool           was_removed_since(const record& item);
    void           expire_tombstones(steady_time now);
    record         record_of(const std::string& key, const known_backend& backend) const;
    // Records for which is_newer(revision, generation of the last change) is true.
    template <class IsNewer>
    std::vector<record> collect_changes(IsNewer is_newer) const;
    bool                holds_removals(steady_time now) const;
    bool                is_confirmed_at(steady_time due) const;
    void                refresh_indexes() const;

    // Remembers a removal, so that an older state of the key is not applied and followers learn of the removal.
    struct tombstone {
        store_revision revision;               // of the removal
        std::uint64_t  changed_generation = 0; // generation of the removal
        steady_time    created_at{};
    };

    std::shared_ptr<const routing_table>                      routing_;
    store_revision                                            routing_revision_;
    std::uint64_t                                             routing_changed_generation_ = 0;
    std::string                                               routing_key_;
    std::string                                               routing_raw_value_;
    std::unordered_map<endpoint, const route*, endpoint_hash> routes_by_address_; // into *routing_
    std::unordered_map<std::string, known_backend>            backends_;          // by key of the store
    std::unordered_map<std::string, std::string>              raw_values_;        // as stored, by key
    std::size_t                                listing_size_ = 0; // of raw_values_ and routing_raw_value_, in bytes
    std::unordered_map<std::string, tombstone> tombstones_;       // by key
    // Indexes into backends_, valid if indexes_are_current_.
    mutable std::unordered_map<backend_reference, const known_backend*>        backends_by_reference_;
    mutable std::unordered_map<std::string, std::vector<const known_backend*>> available_by_service_;
    mutable std::vector<const known_backend*>                                  backends_without_reference_; // few
    mutable bool                                                               indexes_are_current_ = true;
    std::map<std::pair<std::string, unsigned>, known_feeder>                   feeders_; // by failure domain and slot
    std::unordered_map<std::string, std::pair<std::string, unsigned>>          feeder_slots_by_key_; // into feeders_
    std::map<std::string, known_evacuation>                                    evacuations_;         // by key
    std::map<std::string, steady_time, std::less<>>                            evacuation_ends_; // by failure domain
    std::optional<steady_time>                                                 store_available_since_;
    steady_time                                                                last_confirmation_{};
    unsigned       store_distance_ = 0; // of the last confirmation
    store_revision complete_revision_;
    std::uint64_t  generation_ = 0;
    std::uint64_t  first_generation_ = 0;
    std::uint64_t  forgotten_generation_ = 0; // generation of the newest forgotten removal
    store_revision forgotten_revision_;       // up to it removals were forgotten or preceded a listing
    std::uint64_t  listed_generation_ = 0;    // of the last listing that was newer than all before it
    store_revision listed_revision_{};        // of that listing
    bool           is_complete_ = false;
    std::uint64_t  ignored_count_ = 0;
    ignored_record last_ignored_;
};

} // namespace tamarack::entry
