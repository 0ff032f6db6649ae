// Counters by metric name: one row for each field, with the prefix of its part.
#include "tamarack/counter_names.h"

namespace tamarack {

void add_counters(const forwarder_counters& counters, named_counters& all) {
    all["packets_from_fabric"] += counters.packets_from_fabric;
    all["packets_from_peers"] += counters.packets_from_peers;
    all["packets_delivered"] += counters.packets_delivered;
    all["packets_relayed"] += counters.packets_relayed;
    all["packets_malformed"] += counters.packets_malformed;
    all["packets_fragment"] += counters.packets_fragment;
    all["frames_rejected"] += counters.frames_rejected;
    all["frames_stale_sender"] += counters.frames_stale_sender;
    all["hops_exceeded"] += counters.hops_exceeded;
    all["no_service"] += counters.no_service;
    all["flows_placed"] += counters.flows_placed;
    all["flows_adopted"] += counters.flows_adopted;
    all["flows_refused"] += counters.flows_refused;
    all["flows_reset_lost"] += counters.flows_reset_lost;
    all["flows_reset_dead"] += counters.flows_reset_dead;
    all["flows_stalled"] += counters.flows_stalled;
    all["dropped_unsettled"] += counters.dropped_unsettled;
    all["dropped_paused"] += counters.dropped_paused;
    all["dropped_table_full"] += counters.dropped_table_full;
    all["dropped_unreachable"] += counters.dropped_unreachable;
    all["placement_conflicts"] += counters.placement_conflicts;
    all["replies_suppressed"] += counters.replies_suppressed;
    all["evictions"] += counters.evictions;
}

void add_counters(const control_channel_counters& counters, named_counters& all) {
    all["control_datagrams_sent"] += counters.datagrams_sent;
    all["control_bytes_sent"] += counters.bytes_sent;
    all["control_datagrams_received"] += counters.datagrams_received;
    all["control_bytes_received"] += counters.bytes_received;
    for (const auto refused : counters.over_budget)
        all["control_over_budget"] += refused;
    for (std::size_t i = 0; i < counters.rejected.size(); ++i) {
        all["control_rejected_" + std::string(to_string(static_cast<open_error>(i)))] += counters.rejected.at(i);
    }
}

void add_counters(const membership_counters& counters, named_counters& all) {
    all["membership_pings_sent"] += counters.pings_sent;
    all["membership_ping_requests_sent"] += counters.ping_requests_sent;
    all["membership_acknowledgements_sent"] += counters.acknowledgements_sent;
    all["membership_updates_messages_sent"] += counters.updates_messages_sent;
    all["membership_requests_sent"] += counters.requests_sent;
    all["membership_records_sent"] += counters.records_sent;
    all["membership_suspicions"] += counters.suspicions;
    all["membership_refutations"] += counters.refutations;
    all["membership_deaths"] += counters.deaths;
    all["membership_pauses"] += counters.pauses;
    all["membership_malformed"] += counters.malformed;
    all["membership_not_sent"] += counters.not_sent;
}

void add_counters(const replica_counters& counters, named_counters& all) {
    all["configuration_revisions_adopted"] += counters.revisions_adopted;
    all["configuration_changes_committed"] += counters.changes_committed;
    all["configuration_commit_conflicts"] += counters.commit_conflicts;
    all["configuration_store_calls"] += counters.store_calls;
    all["configuration_store_failures"] += counters.store_failures;
    all["configuration_store_answers_missing"] += counters.store_answers_missing;
    all["configuration_heads_older"] += counters.heads_older;
    all["configuration_heads_unreadable"] += counters.heads_unreadable;
    all["configuration_heads_written_back"] += counters.heads_written_back;
    all["configuration_changes_submitted_again"] += counters.changes_submitted_again;
    all["configuration_changes_lost"] += counters.changes_lost;
    all["configuration_histories_different"] += counters.histories_different;
    all["configuration_peer_messages_malformed"] += counters.peer_messages_malformed;
    all["configuration_peer_messages_unknown"] += counters.peer_messages_unknown;
    all["configuration_peer_messages_unsolicited"] += counters.peer_messages_unsolicited;
    all["configuration_peer_requests_sent"] += counters.peer_requests_sent;
    all["configuration_peer_requests_expired"] += counters.peer_requests_expired;
    all["configuration_peer_requests_served"] += counters.peer_requests_served;
    all["configuration_peer_requests_declined"] += counters.peer_requests_declined;
    all["configuration_deltas_pushed"] += counters.deltas_pushed;
    all["configuration_deltas_duplicate"] += counters.deltas_duplicate;
    all["configuration_snapshots_fetched"] += counters.snapshots_fetched;
    all["configuration_snapshots_abandoned"] += counters.snapshots_abandoned;
    all["configuration_peer_bytes_sent"] += counters.peer_bytes_sent;
}

void add_counters(const health_counters& counters, named_counters& all) {
    all["health_probes_sent"] += counters.probes_sent;
    all["health_probes_failed"] += counters.probes_failed;
    all["health_taken_out"] += counters.taken_out;
    all["health_panics"] += counters.panics;
    all["health_opinions_cut"] += counters.opinions_cut;
    all["health_loads_not_sent"] += counters.loads_not_sent;
    all["health_messages_sent"] += counters.messages_sent;
    all["health_malformed"] += counters.malformed;
}

} // namespace tamarack
