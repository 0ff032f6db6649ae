// The decision for each packet: deliver to a backend server, relay to a peer, reply to the caller, or drop.
//
// Implements docs/design.md section 2.2. One forwarder is used by one thread at a time; it does no I/O and owns no
// thread.
//
//   fabric -> receive_from_fabric -+-> deliver / relay / reply_to_caller
//   peers  -> receive_from_peer   -+
//   timer  -> tick
#pragma once

#include "tamarack/flow_table.h"
#include "tamarack/ownership.h"
#include "tamarack/relay.h"

namespace tamarack {

// Input of the forwarder from the control thread. Immutable once published. A flow is lost if neither its present
// holders nor those of the previous rankings (the candidates of a lookup) have its placement.
struct forwarding_state {
    steady_time                          built_at{}; // a paused forwarder resumes with a state built after the pause
    std::shared_ptr<const configuration> services;   // the published configuration; never null
    ownership_history                    owners;     // owners.present is never null
    std::vector<member>                  members;    // every member that is not dead, including this balancer
    std::vector<backend_status>          statuses;   // sorted by id; without an entry: available, no penalty
    bool        may_place = true;  // false: no peer has answered since the start or a pause, or superseded
    bool        leaving = false;   // graceful stop in progress
    steady_time no_reset_before{}; // lost flows are not reset earlier; set after a network partition
    bool        network_partition_suspected = false; // every member of some failure domain is unreachable
};

// See tamarack/selection.h.
enum class selection_policy : std::uint8_t { two_choices_by_load, weighted_hash, bounded_load_hash };

struct forwarder_settings {
    member_id           self = 0;
    incarnation_number  self_incarnation = 0;
    std::uint64_t       hash_seed = 0;
    flow_table_settings table;
    relay_keys          keys;
    duration            reset_grace = std::chrono::seconds(3); // after the start; until then lost flows are not reset
    duration            settle_time = std::chrono::seconds(2); // the same after a change of the ranking in any bucket
    duration            dead_server_grace =
        std::chrono::seconds(10);                // time that a backend server is unavailable before its flows are reset
    std::uint32_t    replies_per_second = 1'000; // refusals, resets and ICMP for packets without a placement
    selection_policy policy = selection_policy::two_choices_by_load;
};

// Counters since the start. Each field is exported as the metric of the same name with the prefix tamarack_.
struct forwarder_counters {
    std::uint64_t packets_from_fabric = 0;
    std::uint64_t packets_from_peers = 0;
    std::uint64_t packets_delivered = 0;
    std::uint64_t packets_relayed = 0;
    std::uint64_t packets_malformed = 0;
    std::uint64_t packets_fragment = 0;
    std::uint64_t frames_rejected = 0;       // invalid MAC, version or field
    std::uint64_t frames_stale_receiver = 0; // addressed to an earlier incarnation of this balancer
    std::uint64_t frames_stale_sender = 0;   // from an earlier incarnation of the sender or the owner
    std::uint64_t hops_exceeded = 0;
    std::uint64_t no_service = 0;
    std::uint64_t flows_placed = 0;        // by this balancer as the owner
    std::uint64_t flows_adopted = 0;       // placement taken over from another holder
    std::uint64_t flows_refused = 0;       // no backend server, limit reached, or table full
    std::uint64_t flows_reset_lost = 0;    // placement lost: no candidate holds it
    std::uint64_t flows_reset_dead = 0;    // backend server removed, or unavailable for longer than dead_server_grace
    std::uint64_t flows_stalled = 0;       // dead path: the caller keeps repeating the same bytes
    std::uint64_t dropped_unsettled = 0;   // no placement, and too early to reset or place the flow
    std::uint64_t dropped_paused = 0;      // received during a pause, or before the next acknowledgement
    std::uint64_t dropped_refused = 0;     // late duplicate of a refused SYN
    std::uint64_t dropped_table_full = 0;  // the second holder had no room for a new placement
    std::uint64_t dropped_unreachable = 0; // address of the next hop or of the backend server not known
    std::uint64_t placement_conflicts = 0; // two different acknowledged placements for one flow
    std::uint64_t replies_suppressed = 0;  // replies above replies_per_second
    std::uint64_t evictions = 0;
};

// A placement of an idle flow, sent to another holder over the control channel.
struct replicated_placement {
    flow_key         key;
    placement_record record;
};

// Explains to operators where a flow is delivered and why.
struct flow_explanation {
    flow_key                 key;
    std::size_t              bucket = 0;
    holders                  bucket_holders;
    std::string              service;        // empty if no service has this address
    std::optional<placement> held_placement; // held by this balancer
    std::string              backend_server; // name of the backend server of held_placement
    std::string              reason;         // one sentence
};

class forwarder {
public:
    // The clock must outlive the forwarder. Decisions are deterministic: equal inputs give equal decisions.
    forwarder(const forwarder_settings& settings, const clock& time);
    ~forwarder();
    forwarder(const forwarder&) = delete;
    forwarder& operator=(const forwarder&) = delete;
    forwarder(forwarder&&) noexcept;
    forwarder& operator=(forwarder&&) noexcept;

    void publish(std::shared_ptr<const forwarding_state> state);

    // Applies new keys, timeouts and the service share; the size of the flow table does not change.
    void reconfigure(const relay_keys& keys, const flow_table_settings& table);

    // Handles a GUE packet from the fabric. fabric_endpoint is its outer source address; replies to the caller are sent
    // there.
    void receive_from_fabric(byte_view udp_payload, const endpoint& fabric_endpoint, action_buffer& out);

    // Handles a datagram received on the relay port.
    void receive_from_peer(byte_view datagram, action_buffer& out);

    // Expires placements incrementally; call it every 10 to 100 ms.
    void tick(action_buffer& out);

    // Newest configuration revision seen in a relay frame, and the member that has it. The control thread requests it
    // from that member.
    struct seen_revision {
        revision_number revision = 0;
        member_id       sender = 0; // 0: the published configuration has this revision
    };
    seen_revision newest_revision_seen() const;

    // Returns established placements that have been idle for a second and that another current holder is not known to
    // have, grouped by that holder; at most limit of them. Later calls continue through the table.
    std::map<member_id, std::vector<replicated_placement>> placements_to_replicate(std::size_t limit);
    // Stores a placement received over the control channel from a peer that holds it. False if this balancer holds a
    // different placement for the flow, or has no room.
    bool store_replicated(member_id peer, const replicated_placement& item);
    // Records that the peer has stored these placements.
    void acknowledge_replicated(member_id peer, std::span<const flow_key> flows);

    // Number of placements that no other live member is known to hold. A graceful stop waits until it is 0.
    std::size_t unreplicated_placements();

    const forwarder_counters& counters() const;
    const flow_table&         flows() const;
    flow_explanation          explain(const flow_tuple& flow);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace tamarack
