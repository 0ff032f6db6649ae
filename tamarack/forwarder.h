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

// Everything the forwarder needs from the control thread. Immutable once published.
struct forwarding_state {
    steady_time                          built{};  // a forwarder that noticed a pause waits for a later one
    std::shared_ptr<const configuration> services; // never null
    ownership_history                    owners;   // present is never null
    std::vector<member>                  members;  // all that are not dead, this balancer included
    std::vector<backend_status>          statuses; // in order of id; a missing one is available and neutral
    bool        may_place = true;                  // false: started, or paused, and not yet acknowledged by a peer
    bool        leaving = false;                   // graceful stop in progress
    steady_time no_reset_before{};           // no flow is reset for lack of a placement before; set after a healed cut
    bool        partition_suspected = false; // all members of some failure domain are unreachable
};

// See tamarack/selection.h.
enum class selection_policy : std::uint8_t { two_choices_by_load, weighted_hash, bounded_load_hash };

struct forwarder_settings {
    member_id           self = 0;
    incarnation         life = 0;
    std::uint64_t       hash_seed = 0;
    flow_table_settings table;
    relay_keys          keys;
    duration reset_grace = std::chrono::seconds(3); // after the start no flow is reset for lack of a placement
    duration settle_time = std::chrono::seconds(2); // after a change of any ranking
    duration dead_server_grace =
        std::chrono::seconds(10);                // a backend server is out this long before its flows are reset
    std::uint32_t    replies_per_second = 1'000; // refusals, resets and ICMP for packets without a placement
    selection_policy policy = selection_policy::two_choices_by_load;
};

// Counters since the start. Each row is a metric of the same name with the prefix tamarack_.
struct forwarder_counters {
    std::uint64_t packets_from_fabric = 0;
    std::uint64_t packets_from_peers = 0;
    std::uint64_t packets_delivered = 0;
    std::uint64_t packets_relayed = 0;
    std::uint64_t packets_malformed = 0;
    std::uint64_t packets_fragment = 0;
    std::uint64_t frames_rejected = 0;       // bad MAC, version, field
    std::uint64_t frames_stale_receiver = 0; // sent to an earlier life of this balancer
    std::uint64_t frames_stale_sender = 0;   // older incarnation than known
    std::uint64_t hops_exceeded = 0;
    std::uint64_t no_service = 0;
    std::uint64_t flows_placed = 0;        // as owner
    std::uint64_t flows_adopted = 0;       // own proposal replaced by a holder's placement
    std::uint64_t flows_refused = 0;       // no backend server, limit, or table full
    std::uint64_t flows_reset_lost = 0;    // placement_lost: no candidate holds the placement
    std::uint64_t flows_reset_dead = 0;    // backend server gone or out for longer than the grace time
    std::uint64_t flows_stalled = 0;       // dead path detected
    std::uint64_t dropped_unsettled = 0;   // no placement, too early to reset or to place
    std::uint64_t dropped_paused = 0;      // waited in a queue while the process was paused
    std::uint64_t dropped_refused = 0;     // late copy of a refused SYN
    std::uint64_t dropped_table_full = 0;  // second holder without room for a new placement
    std::uint64_t dropped_unreachable = 0; // no relay address of the next hop, or no address of the backend server
    std::uint64_t placement_conflicts = 0; // two different established placements met
    std::uint64_t replies_suppressed = 0;  // over replies_per_second
    std::uint64_t evictions = 0;
};

// A placement on its way to another holder over the control channel, for flows without packets.
struct replicated_placement {
    flow_key         flow;
    placement_record record;
};

// Where a flow goes and why, for operators.
struct flow_explanation {
    flow_key                 key;
    std::size_t              bucket = 0;
    holders                  responsible;
    std::string              service;        // empty: no service at this address
    std::optional<placement> held;           // by this balancer
    std::string              backend_server; // of the placement held
    std::string              reason;         // one sentence
};

class forwarder {
public:
    // The clock must outlive the forwarder. Equal inputs give equal decisions.
    forwarder(const forwarder_settings& settings, const clock& time);
    ~forwarder();
    forwarder(const forwarder&) = delete;
    forwarder& operator=(const forwarder&) = delete;
    forwarder(forwarder&&) noexcept;
    forwarder& operator=(forwarder&&) noexcept;

    void publish(std::shared_ptr<const forwarding_state> state);

    // Takes over keys, timeouts and service share; the size of the flow table stays.
    void reconfigure(const relay_keys& keys, const flow_table_settings& table);

    // A GUE packet from the fabric; fabric is its outer source, where replies to the caller go.
    void receive_from_fabric(byte_view udp_payload, const endpoint& fabric, action_buffer& out);

    // A datagram on the relay port.
    void receive_from_peer(byte_view datagram, action_buffer& out);

    // Expires placements in small steps; call it every 10 to 100 ms.
    void tick(action_buffer& out);

    // Newest revision seen in a relay frame, and who sent it, for the control thread to ask for.
    struct seen_revision {
        revision_number revision = 0;
        member_id       sender = 0; // 0: this balancer's own
    };
    seen_revision newest_revision_seen() const;

    // Up to limit established placements without a packet for a second that a present holder other than this balancer
    // is not known to have, grouped by that holder. A later call returns others.
    std::map<member_id, std::vector<replicated_placement>> placements_to_replicate(std::size_t limit);
    // Stores a placement received over the control channel from a peer that holds it. False if a different one is held,
    // or there is no room.
    bool store_replicated(member_id peer, const replicated_placement& item);
    // The peer has stored these placements.
    void acknowledge_replicated(member_id peer, std::span<const flow_key> flows);

    // Placements that no other live member is known to hold; a graceful stop waits for 0.
    std::size_t unreplicated_placements();

    const forwarder_counters& counters() const;
    const flow_table&         flows() const;
    flow_explanation          explain(const flow_tuple& flow);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace tamarack
