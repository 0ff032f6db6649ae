// A balancer's replica of the configuration: commits operators' changes, follows the store, and disseminates changes.
//
// Implements docs/design.md section 2.4. No I/O: the node passes events in and executes the actions.
//
//   operator -> submit          -+                       +-> store    requests to the platform's store
//   store    -> store_answered   |                       |-> messages payloads for peers, to be authenticated and sent
//   peers    -> receive_digest, -+-> current head -------+-> changes  results of submissions
//               receive         -+
//   timer    -> tick             |
//   members  -> set_members     -+
//
// The head, stored under one key of the store, is the configuration with its recent changes (configuration_head.h).
//
// Few members call the store: two members of each failure domain watch it; a member that commits a change reads and
// writes it; each failure domain polls it once a minute; and a new host reads it only if its peers don't answer. All
// others learn of changes from peers. The revision held never decreases.
#pragma once

#include "tamarack/configuration.h"
#include "tamarack/platform.h"

namespace tamarack {

struct replica_settings {
    member_id     self = 0;
    std::string   failure_domain;
    std::string   cluster = "default";
    bool          use_store = true; // false: no platform is configured; the configuration comes from peers only
    duration      store_deadline = std::chrono::seconds(2);
    duration      watch_deadline = std::chrono::seconds(30);  // of one watch call (long poll)
    duration      change_deadline = std::chrono::seconds(10); // a submitted change is answered within this time
    std::uint32_t bytes_per_second = 2'048;                   // sent to peers, including message_overhead
    std::uint32_t burst_bytes = 2'048;
    std::uint32_t message_overhead = 72; // bytes: IP and UDP headers, envelope
};

enum class replica_priority : std::uint8_t {
    normal, // requests and recent changes
    bulk,   // chunks of a snapshot, which may be delayed
};

struct replica_message {
    member_id              recipient = 0;
    replica_priority       priority = replica_priority::normal;
    std::vector<std::byte> payload; // at most max_replica_payload
};

inline constexpr std::size_t max_replica_payload = 1'100; // bytes; fits the smallest IPv6 MTU including all headers

struct replica_actions {
    std::vector<store_request>   store;
    std::vector<replica_message> messages;
    std::vector<change_result>   changes;
};

// Counters since the start. Each member is exported as a metric of the same name with the prefix
// tamarack_configuration_.
struct replica_counters {
    std::uint64_t revisions_adopted = 0;       // newer heads, from any source
    std::uint64_t changes_committed = 0;       // by this member
    std::uint64_t commit_conflicts = 0;        // compare-and-swaps that failed because of another version
    std::uint64_t store_calls = 0;             // requests
    std::uint64_t store_failures = 0;          // answers with one of the failure statuses
    std::uint64_t store_answers_missing = 0;   // no answer within the deadline plus a margin
    std::uint64_t heads_older = 0;             // reads of the store that were older than the current head
    std::uint64_t heads_unreadable = 0;        // stored values that can't be decoded
    std::uint64_t heads_written_back = 0;      // after the store was restored to an older state
    std::uint64_t changes_submitted_again = 0; // lost by a restored store, and committed again
    std::uint64_t changes_lost = 0;            // lost by a restored store; no longer valid, or not committed in time
    std::uint64_t histories_different = 0;     // adopted heads that lack changes of the current one
    std::uint64_t peer_messages_malformed = 0;
    std::uint64_t peer_messages_unknown = 0; // sender is not a live member
    std::uint64_t peer_messages_unsolicited = 0;
    std::uint64_t peer_requests_sent = 0;
    std::uint64_t peer_requests_expired = 0;
    std::uint64_t peer_requests_served = 0;
    std::uint64_t peer_requests_declined = 0; // byte budget exhausted, or snapshot not held
    std::uint64_t deltas_pushed = 0;          // sent without a request
    std::uint64_t deltas_duplicate = 0;       // received, but already applied
    std::uint64_t snapshots_fetched = 0;
    std::uint64_t snapshots_abandoned = 0;
    std::uint64_t peer_bytes_sent = 0; // including message_overhead
};

class configuration_replica {
public:
    // The clock must outlive the replica.
    configuration_replica(const replica_settings& settings, const clock& time, std::uint64_t random_seed);
    configuration_replica(const configuration_replica&) = delete;
    configuration_replica& operator=(const configuration_replica&) = delete;
    ~configuration_replica();

    // Events.
    void set_members(std::span<const member> members);               // all known members; dead ones are ignored
    void receive_digest(member_id sender, revision_number revision); // revision in a gossip message or relay frame
    void receive(member_id sender, byte_view payload);               // payload is authenticated
    void store_answered(const store_response& response);             // unknown ids are ignored
    void submit(const change_request& request);
    void tick(); // every 10 to 100 ms
    replica_actions take_actions();

    // Queries.
    revision_number                      revision() const;
    std::shared_ptr<const configuration> current() const;        // never null; immutable
    std::span<const change_record>       recent_changes() const; // oldest first; valid until the next event
    bool                                 watches_store() const;  // is an elected watcher of its failure domain
    const replica_counters&              counters() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace tamarack
