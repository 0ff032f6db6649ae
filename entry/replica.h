// What this balancer knows of the store: the routing table and the registered backend servers.
//
// Records arrive from the store and from peers in any order; the revision decides which state of a key is newer. The
// routing table never goes back to a lower version.
//
// A store that was away may have let registrations lapse whose backend servers live. Removals seen within the hold time
// after its return are therefore held: the backend server stays in use until the hold ends or it registers again.
#pragma once

#include "entry/model.h"

#include <map>

namespace tamarack::entry {

// Backend servers register again within about two seconds of the store's return.
inline constexpr duration removal_hold = std::chrono::milliseconds(2'300);

struct known_feeder {
    feeder_registration registration;
    std::uint64_t       revision = 0;
    std::uint64_t       changed_at = 0; // generation
};

// A backend server with what the balancer knows beside its registration.
struct known_backend {
    backend_registration       registration;
    backend_reference          reference = 0;
    std::uint64_t              revision = 0;
    steady_time                registered{};         // when this state was learned
    std::optional<steady_time> removed_at;           // set: gone, kept for the packets of its flows
    std::optional<steady_time> removal_due;          // set: a held removal
    std::uint64_t              removal_revision = 0; // of the held removal
    std::uint64_t              changed_at = 0;       // generation
    bool                       usable = true; // false: its registration cannot be read, or its reference is ambiguous

    bool takes_new_flows() const { return usable && !removed_at && registration.state == backend_state::active; }
};

// What applying a record did.
enum class replica_change : std::uint8_t {
    none,
    feeders,
    routing,
    backend_registered,
    backend_changed,
    backend_removed,
    removal_held
};

class replica {
public:
    explicit replica(std::uint64_t first_generation = 0)
        : generation_(first_generation), first_generation_(first_generation) {}

    // A record that is not newer than the known state of its key changes nothing.
    replica_change apply(const record& item, steady_time now);
    // All records of the store up to a revision, that of the listing's first page. Known keys that are missing in it
    // have been removed, unless their state is newer: those were made while the other pages were read.
    void           apply_snapshot(std::span<const record> items, std::uint64_t revision, steady_time now);

    // The store did not answer, or refused; removals are held from now on until the hold after its return.
    void        store_lost();
    // The store, or a feeder that heard from it so long ago, has answered.
    void        store_returned(steady_time now, duration proof_age = {});
    // Ends holds that are due and forgets what has been gone for long. Returns the number of removals that took effect.
    std::size_t expire(steady_time now);

    // Null until the first configuration is known.
    const routing_table*                                  routing() const { return routing_.get(); }
    const route*                                          find_route(const endpoint& address) const;
    const known_backend*                                  find(backend_reference reference) const;
    std::span<const known_backend* const>                 backends_of(std::string_view service) const;
    const std::unordered_map<std::string, known_backend>& backends() const { return backends_; }
    // The backend servers were read completely at least once.
    bool                                                  complete() const { return complete_; }
    // Every change up to this revision is contained.
    std::uint64_t                                         complete_to() const { return complete_to_; }
    void                                                  set_complete_to(std::uint64_t revision);
    // When the store last proved, directly or through a feeder, that this balancer knows everything.
    steady_time                                           last_proof() const { return last_proof_; }
    // Since when the store has answered without a break; nullopt while it does not.
    std::optional<steady_time>                            store_steady_since() const { return steady_since_; }

    // Grows with each change of what is known. Starts at a number that differs from process to process, so that a
    // position of another process is told apart.
    std::uint64_t                      generation() const { return generation_; }
    // What changed after a generation, in its last state; held removals are left out. Nullopt: the generation is not
    // one of this process, or removals since then have been forgotten.
    std::optional<std::vector<record>> changes_after(std::uint64_t generation) const;
    // What has a higher revision than this one, in its last state; held removals are left out. Nullopt: removals since
    // then have been forgotten.
    std::optional<std::vector<record>> changes_after_revision(std::uint64_t revision) const;
    // Whoever has all records that this balancer gives to others contains every change up to this revision.
    std::uint64_t                      given_to() const;
    // All records in their last state.
    std::vector<record>                records() const;
    // By failure domain and slot.
    const std::map<std::pair<std::string, unsigned>, known_feeder>& feeders() const { return feeders_; }

private:
    struct endpoint_hash {
        std::size_t operator()(const endpoint& value) const;
    };

    replica_change apply_routing(const record& item, const std::shared_ptr<const routing_table>& table);
    replica_change apply_backend(const record& item, const backend_registration& registration, steady_time now);
    replica_change apply_feeder(const record& item, const feeder_registration& registration);
    replica_change remove_feeder(const record& item, steady_time now);
    replica_change apply_removal(const record& item, steady_time now);
    void           mark_unusable(const record& item);
    // Whether the key was removed at this revision or later; ends the memory of an earlier removal.
    bool           was_removed_after(const record& item);
    void           forget_removals(steady_time now);
    record         record_of(const std::string& key, const known_backend& known) const;
    // Records whose revision and generation are newer, as the function says.
    template <class IsNewer>
    std::vector<record> collect_changes(IsNewer is_newer) const;
    bool                holds_removals(steady_time now) const;
    void                refresh_index() const;

    struct tombstone {
        std::uint64_t revision = 0;   // of the removal
        std::uint64_t changed_at = 0; // generation
        steady_time   since{};
    };

    std::shared_ptr<const routing_table>                      routing_;
    std::uint64_t                                             routing_revision_ = 0;
    std::uint64_t                                             routing_changed_at_ = 0; // generation
    std::string                                               routing_key_;
    std::string                                               routing_raw_;
    std::unordered_map<endpoint, const route*, endpoint_hash> routes_;     // into *routing_
    std::unordered_map<std::string, known_backend>            backends_;   // by key of the store
    std::unordered_map<std::string, std::string>              raw_;        // as stored, by key
    std::unordered_map<std::string, tombstone>                tombstones_; // by key
    mutable std::unordered_map<backend_reference, const known_backend*>
        references_; // into backends_, if index_current_
    mutable std::unordered_map<std::string, std::vector<const known_backend*>>
                                                                      services_; // those that take new flows, likewise
    mutable bool                                                      index_current_ = true;
    std::map<std::pair<std::string, unsigned>, known_feeder>          feeders_;     // by failure domain and slot
    std::unordered_map<std::string, std::pair<std::string, unsigned>> feeder_keys_; // into feeders_, by key
    std::optional<steady_time>                                        steady_since_;
    std::optional<steady_time>                                        returned_at_; // set after an outage
    steady_time                                                       last_proof_{};
    std::uint64_t                                                     complete_to_ = 0;
    std::uint64_t                                                     generation_ = 0;
    std::uint64_t                                                     first_generation_ = 0;
    std::uint64_t forgotten_to_ = 0;       // generation of the newest removal that was forgotten
    std::uint64_t forgotten_revision_ = 0; // the highest one of a removal that was forgotten
    bool          complete_ = false;
};

} // namespace tamarack::entry
