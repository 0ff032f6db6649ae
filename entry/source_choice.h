// Chooses the source of the next read call: the store itself, or a balancer that serves the records it has read.
//
// Load pattern: each call to the store has a price and counts toward a rate limit that grows more slowly than the
// fleet, and a listing for each of hundreds of hosts that start at the same time fills the store's link for seconds.
// Therefore one balancer of each failure domain, the feeder, reads the store. It has a limited number of followers and
// names them to further balancers, which read from one of the followers instead: the balancers of a failure domain form
// a tree. A balancer that loses its source moves to another tree before it turns to the store.
#pragma once

#include "entry/replica.h"
#include "tamarack/resilience.h"

namespace tamarack::entry {

// A contact is a balancer from the settings, which is asked for a first listing without authentication.
enum class source_kind : std::uint8_t { store, feeder, contact };

std::string_view to_string(source_kind kind);

struct record_source {
    source_kind kind = source_kind::store;
    endpoint    address; // of a balancer
    feed_key    key{};   // of a feeder, or of the feeder at the root of the balancer's tree

    friend bool operator==(const record_source&, const record_source&) = default;
};

struct source_settings {
    std::string           name; // of this balancer
    std::string           failure_domain;
    endpoint              address;  // where this balancer serves its own followers
    std::vector<endpoint> contacts; // balancers that may serve a first listing while the store is unavailable
    // Time within which a change of the store must reach every balancer that the store serves.
    duration              change_deadline = std::chrono::seconds(3);
    double                link_mbps = 1'000.0; // of the host's link
    // The whole system starts for the first time, and stronger hosts become the feeders.
    bool                  awaits_first_feeder = false;
};

// How long the first listing waits for feeders, which may have started at the same moment or not at all.
struct first_listing_limits {
    duration least_delay{}; // before the store is read instead
    duration most_delay{};
    duration connect_timeout{}; // of a call to a feeder
    duration timeout{};         // of a call to a feeder
};

enum class source_failure : std::uint8_t {
    no_answer,   // timed out, or without a valid answer
    unreachable, // the connection failed or broke
    not_current, // answers, but has no recent confirmation by the store
    full,        // accepts no further followers
};

class source_choice {
public:
    source_choice(const source_settings& settings, const replica& store_replica, std::uint64_t random_seed);

    // The best source that is not waiting for its retry time; nullopt: there is none.
    std::optional<record_source> choose(steady_time now);
    // The last confirmation by the store is so old that only the store's own answer keeps the deadline of a change, and
    // the store is not waiting for its retry time. Choose returns the store then, whatever other sources there are.
    bool                         needs_store(steady_time now) const;
    // Since the last confirmation by the store.
    bool                         has_store_failed() const;
    // Until needs_store, for a call to another balancer. Not below zero; nullopt before the first listing.
    std::optional<duration>      time_until_fallback(steady_time now) const;
    // Longest time from a change to its use while a source is lost and the store is available.
    duration                     change_bound() const;
    // Longest answer to a watch of the store, in bytes, that is read rather than a listing.
    std::size_t                  longest_changes_answer() const;
    // Earliest time at which choose returns a source again.
    steady_time                  next_available_at(steady_time now) const;
    // Distance: of this balancer from the store, by the answer.
    void                         succeeded(const record_source& source, unsigned distance);
    // Followers: of a source that is full; one of them is the next source.
    void failed(const record_source& source, source_failure failure, std::span<const endpoint> followers,
                steady_time now);
    // The feeders have been looked up in the store before the first listing. If there are any, one of them serves the
    // listing, and the store is read only after a delay that differs between balancers. Returns when to look again;
    // nullopt: the first listing may begin.
    std::optional<steady_time> note_feeders_looked_up(steady_time now);
    first_listing_limits       limits_of_first_listing() const;
    // The source has answered the last call to it, if only with a refusal, or has not been called lately.
    bool                       has_answered(const record_source& source) const;
    void                       set_holds_slot(bool holds_slot) { holds_slot_ = holds_slot; }
    // A feeder that the store turns away reads from one of its own followers that the store serves.
    void        set_own_followers(std::vector<endpoint> followers) { own_followers_ = std::move(followers); }
    // A feeder's next attempt to read the store after a failure.
    steady_time store_retry_at() const;
    // This balancer is the feeder of its failure domain, or was it until its restart. It prefers the store.
    bool        is_feeder() const;
    // The store serves this balancer, but not the feeder of its failure domain, whose place it may take.
    bool        may_replace_feeder() const { return is_served_by_store_ && has_feeder_lost_store(); }

private:
    struct balancer_health {
        unsigned    consecutive_failures = 0;
        steady_time retry_at{};
        bool        has_answered = true; // the last call, though not with records
    };
    // The wait after a failure depends on the other sources, which may fail or recover meanwhile.
    struct store_health {
        unsigned    consecutive_failures = 0;
        steady_time failed_at{};
        double      jitter = 0; // random, 0 to 1; drawn at the failure
    };

    void                       add_tree(const std::string& failure_domain, const known_feeder* feeder,
                                        std::vector<record_source>& sources) const;
    std::vector<record_source> feeders_of_own_domain() const;
    std::vector<record_source> feeders_of_other_domains() const;
    void                       add_own_followers(std::vector<record_source>& sources) const;
    std::vector<record_source> candidates(steady_time now) const; // best first
    steady_time                retry_at(const record_source& source) const;
    bool                       starts_with_store(steady_time now) const;
    bool                       prefers_store() const;
    bool                       lacks_source(steady_time now) const;
    bool                       does_own_tree_answer() const;
    duration                   longest_answer_transfer() const;
    steady_time                store_retry_after(const backoff_settings& backoff) const;
    backoff_settings           answering_tree_backoff() const;
    backoff_settings           lost_tree_backoff() const;
    backoff_settings           backoff_of(const record_source& source, source_failure failure) const;
    void                       delay_store(const record_source& stale_source, steady_time now);
    void                       follow_branch(const record_source& source, std::span<const endpoint> followers);
    const known_feeder*        registered_feeder(const record_source& source) const; // null: it is no feeder
    const known_feeder*        feeder_of_own_domain() const;
    bool                       has_feeder_lost_store() const;
    void                       note_feeder_state(const record_source& source, bool reads_store);
    duration                   random_between(duration least, duration most);

    source_settings                     settings_;
    const replica&                      store_replica_;
    random_source                       random_;
    std::size_t                         rotation_; // start of the order of other failure domains; differs by balancer
    bool                                holds_slot_ = false;
    store_health                        store_health_;
    std::map<endpoint, balancer_health> balancer_health_; // of feeders and contacts whose last call failed, by address
    std::vector<endpoint>               own_followers_;
    std::string                         branch_domain_; // root of the tree that branch_ belongs to
    std::vector<endpoint>               branch_;        // balancers of that tree to read from, best first
    std::optional<steady_time>          store_due_;    // a balancer that is no feeder does not read the store before it
    unsigned                            lookups_left_; // for a first feeder
    unsigned                            unanswered_feeders_ = 0;     // in a row
    bool                                is_served_by_store_ = false; // the store is the source, and answered last
    // Registration of the own feeder when it had lost the store; nullopt: it has not.
    std::optional<store_revision>       lost_feeder_revision_;
};

} // namespace tamarack::entry
