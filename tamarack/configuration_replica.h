// A balancer's copy of the configuration: commits operators' changes, follows the store, and spreads changes to peers.
//
// Implements docs/design.md section 2.4. No I/O: the node feeds events and carries out the actions.
//
//   operator -> submit          -+                       +-> store    requests to the platform's store
//   store    -> store_answered   |                       |-> messages payloads for peers, to be authenticated and sent
//   peers    -> heard, receive   +-> the newest head ----+-> changes  finished submissions
//   timer    -> tick             |
//   members  -> set_members     -+
//
// Who calls the store: two members of each failure domain hold a watch; a member that commits a change reads and
// writes; each failure domain polls once a minute; a new host reads only if its peers don't answer. Everybody else
// learns from peers. The revision held never decreases.
#pragma once

#include "tamarack/configuration.h"
#include "tamarack/platform.h"

namespace tamarack {

struct replica_settings {
    member_id     self = 0;
    std::string   failure_domain;
    std::string   cluster = "default";
    bool          use_store = true; // false: no platform; the configuration comes from peers only
    duration      store_deadline = std::chrono::seconds(2);
    duration      watch_deadline = std::chrono::seconds(30);  // of one long poll
    duration      change_deadline = std::chrono::seconds(10); // a submission is answered within this time
    std::uint32_t bytes_per_second = 2'048;                   // sent to peers, with the overhead of each message
    std::uint32_t burst_bytes = 2'048;
    std::uint32_t message_overhead = 72; // bytes: IP and UDP headers, envelope
};

enum class replica_priority : std::uint8_t {
    news, // requests and recent changes
    bulk, // parts of a snapshot, which may wait
};

struct replica_message {
    member_id              to = 0;
    replica_priority       priority = replica_priority::news;
    std::vector<std::byte> payload; // at most max_replica_payload
};

inline constexpr std::size_t max_replica_payload = 1'100; // bytes; fits the smallest IPv6 MTU with all headers

struct replica_actions {
    std::vector<store_request>   store;
    std::vector<replica_message> messages;
    std::vector<change_result>   changes;
};

// Counters since the start. Each row is a metric of the same name with the prefix tamarack_configuration_.
struct replica_counters {
    std::uint64_t revisions_adopted = 0;       // newer heads taken over, from any source
    std::uint64_t changes_committed = 0;       // by this member
    std::uint64_t commit_conflicts = 0;        // compare-and-swaps that met another version
    std::uint64_t store_calls = 0;             // requests handed out
    std::uint64_t store_failures = 0;          // answers other than a value, a conflict or "unchanged"
    std::uint64_t store_answers_missing = 0;   // no answer within the deadline and a margin
    std::uint64_t heads_older = 0;             // reads of the store older than the known head
    std::uint64_t heads_unreadable = 0;        // values of the store that can't be decoded
    std::uint64_t heads_written_back = 0;      // the store was restored to an older state
    std::uint64_t changes_submitted_again = 0; // lost by a restored store, committed anew
    std::uint64_t changes_lost = 0;            // lost by a restored store and no longer valid
    std::uint64_t histories_different = 0;     // the same revision with other contents
    std::uint64_t peer_messages_malformed = 0;
    std::uint64_t peer_messages_unknown = 0; // from no live member
    std::uint64_t peer_messages_unsolicited = 0;
    std::uint64_t peer_requests_sent = 0;
    std::uint64_t peer_requests_expired = 0;
    std::uint64_t peer_requests_served = 0;
    std::uint64_t peer_requests_declined = 0; // the byte budget was used up, or the snapshot is not held
    std::uint64_t deltas_pushed = 0;          // sent without request
    std::uint64_t deltas_duplicate = 0;       // received, but known already
    std::uint64_t snapshots_fetched = 0;
    std::uint64_t snapshots_abandoned = 0;
    std::uint64_t peer_bytes_sent = 0; // with the overhead of each message
};

class configuration_replica {
public:
    // The clock must outlive the replica.
    configuration_replica(const replica_settings& settings, const clock& time, std::uint64_t random_seed);
    configuration_replica(const configuration_replica&) = delete;
    configuration_replica& operator=(const configuration_replica&) = delete;
    ~configuration_replica();

    // Events.
    void            set_members(std::span<const member> members);    // all known; only alive and suspect ones are used
    void            heard(member_id from, revision_number revision); // digest of a gossip message or relay frame
    void            receive(member_id from, byte_view payload);      // authenticated
    void            store_answered(const store_response& response);  // ignores ids that it did not hand out
    void            submit(const change_request& request);
    void            tick(); // every 10 to 100 ms
    replica_actions take_actions();

    // Queries.
    revision_number                      revision() const;
    std::shared_ptr<const configuration> current() const;        // never null; immutable
    std::span<const change_record>       recent_changes() const; // oldest first; valid until the next event
    bool                                 watches_store() const;  // elected as a watcher of its failure domain
    const replica_counters&              counters() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace tamarack
