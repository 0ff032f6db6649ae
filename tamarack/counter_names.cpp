// Counters by metric name: one line for each field, with the prefix of its module.
#include "tamarack/counter_names.h"

namespace tamarack {

void add_counters(const forwarder_counters& counters, named_counters& totals) {
    totals["packets_from_fabric"] += counters.packets_from_fabric;
    totals["packets_from_peers"] += counters.packets_from_peers;
    totals["packets_delivered"] += counters.packets_delivered;
    totals["packets_relayed"] += counters.packets_relayed;
    totals["packets_malformed"] += counters.packets_malformed;
    totals["packets_fragment"] += counters.packets_fragment;
    totals["frames_rejected"] += counters.frames_rejected;
    totals["frames_stale_sender"] += counters.frames_stale_sender;
    totals["hops_exceeded"] += counters.hops_exceeded;
    totals["no_service"] += counters.no_service;
    totals["flows_placed"] += counters.flows_placed;
    totals["flows_adopted"] += counters.flows_adopted;
    totals["flows_refused"] += counters.flows_refused;
    totals["flows_reset_lost"] += counters.flows_reset_lost;
    totals["flows_reset_dead"] += counters.flows_reset_dead;
    totals["flows_stalled"] += counters.flows_stalled;
    totals["dropped_unsettled"] += counters.dropped_unsettled;
    totals["dropped_paused"] += counters.dropped_paused;
    totals["dropped_table_full"] += counters.dropped_table_full;
    totals["dropped_unreachable"] += counters.dropped_unreachable;
    totals["placement_conflicts"] += counters.placement_conflicts;
    totals["replies_suppressed"] += counters.replies_suppressed;
    totals["evictions"] += counters.evictions;
}

void add_counters(const control_channel_counters& counters, named_counters& totals) {
    totals["control_datagrams_sent"] += counters.datagrams_sent;
    totals["control_bytes_sent"] += counters.bytes_sent;
    totals["control_datagrams_received"] += counters.datagrams_received;
    totals["control_bytes_received"] += counters.bytes_received;
    for (const std::uint64_t count : counters.over_budget)
        totals["control_over_budget"] += count;
    for (std::size_t i = 0; i < counters.rejected.size(); ++i) {
        totals["control_rejected_" + std::string(to_string(static_cast<open_error>(i)))] += counters.rejected.at(i);
    }
}

void add_counters(const membership_counters& counters, named_counters& totals) {
    totals["membership_pings_sent"] += counters.pings_sent;
    totals["membership_ping_requests_sent"] += counters.ping_requests_sent;
    totals["membership_acknowledgements_sent"] += counters.acknowledgements_sent;
    totals["membership_updates_messages_sent"] += counters.updates_messages_sent;
    totals["membership_requests_sent"] += counters.requests_sent;
    totals["membership_records_sent"] += counters.records_sent;
    totals["membership_suspicions"] += counters.suspicions;
    totals["membership_refutations"] += counters.refutations;
    totals["membership_deaths"] += counters.deaths;
    totals["membership_pauses"] += counters.pauses;
    totals["membership_malformed"] += counters.malformed;
    totals["membership_not_sent"] += counters.not_sent;
}

void add_counters(const replica_counters& counters, named_counters& totals) {
    totals["configuration_revisions_adopted"] += counters.revisions_adopted;
    totals["configuration_changes_committed"] += counters.changes_committed;
    totals["configuration_commit_conflicts"] += counters.commit_conflicts;
    totals["configuration_store_calls"] += counters.store_calls;
    totals["configuration_store_failures"] += counters.store_failures;
    totals["configuration_store_answers_missing"] += counters.store_answers_missing;
    totals["configuration_heads_older"] += counters.heads_older;
    totals["configuration_heads_unreadable"] += counters.heads_unreadable;
    totals["configuration_heads_written_back"] += counters.heads_written_back;
    totals["configuration_changes_submitted_again"] += counters.changes_submitted_again;
    totals["configuration_changes_lost"] += counters.changes_lost;
    totals["configuration_histories_different"] += counters.histories_different;
    totals["configuration_peer_messages_malformed"] += counters.peer_messages_malformed;
    totals["configuration_peer_messages_unknown"] += counters.peer_messages_unknown;
    totals["configuration_peer_messages_unsolicited"] += counters.peer_messages_unsolicited;
    totals["configuration_peer_requests_sent"] += counters.peer_requests_sent;
    totals["configuration_peer_requests_expired"] += counters.peer_requests_expired;
    totals["configuration_peer_requests_served"] += counters.peer_requests_served;
    totals["configuration_peer_requests_declined"] += counters.peer_requests_declined;
    totals["configuration_deltas_pushed"] += counters.deltas_pushed;
    totals["configuration_deltas_duplicate"] += counters.deltas_duplicate;
    totals["configuration_snapshots_fetched"] += counters.snapshots_fetched;
    totals["configuration_snapshots_abandoned"] += counters.snapshots_abandoned;
    totals["configuration_peer_bytes_sent"] += counters.peer_bytes_sent;
}

void add_counters(const health_counters& counters, named_counters& totals) {
    totals["health_probes_sent"] += counters.probes_sent;
    totals["health_probes_failed"] += counters.probes_failed;
    totals["health_taken_out"] += counters.taken_out;
    totals["health_panics"] += counters.panics;
    totals["health_opinions_cut"] += counters.opinions_cut;
    totals["health_loads_not_sent"] += counters.loads_not_sent;
    totals["health_messages_sent"] += counters.messages_sent;
    totals["health_malformed"] += counters.malformed;
}

} // namespace tamarack
