// Assigns the counters and distributions to the names of the metrics.
#include "daemons/entry/entry_metrics.h"

#include <algorithm>
#include <cmath>
#include <sys/resource.h>

namespace tamarack::entry {

namespace {

void add_backend_server_counts(const replica& store_replica, counter_map& metrics) {
    for (const char* state : {"active", "draining", "removed"})
        metrics["entry_backend_servers_" + std::string(state)] = 0;
    for (const auto& [key, backend] : store_replica.backends()) {
        const auto state = backend.removed_at ? std::string_view("removed") : to_string(backend.registration.state);
        ++metrics["entry_backend_servers_" + std::string(state)];
    }
    const auto is_registered = [](const known_backend* backend) { return !backend->removed_at; };
    metrics["entry_backend_servers_without_reference"] =
        static_cast<std::uint64_t>(std::ranges::count_if(store_replica.backends_without_reference(), is_registered));
}

void add_pending_counts(const pending_syns& pending, counter_map& metrics) {
    metrics["entry_syns_held"] = pending.syns().held;
    metrics["entry_syns_released"] = pending.syns().released;
    metrics["entry_syns_expired"] = pending.syns().expired;
    metrics["entry_syns_replaced"] = pending.syns().replaced;
    metrics["entry_packets_held"] = pending.later_packets().held;
    metrics["entry_packets_released"] = pending.later_packets().released;
    metrics["entry_packets_not_held"] = pending.refused_count();
}

void add_report_counts(const process_status& status, counter_map& metrics) {
    metrics["entry_reports_sent"] = status.reports.sent;
    metrics["entry_reports_received"] = status.reports.received;
    metrics["entry_reports_accepted"] = status.reports.accepted;
    metrics["entry_report_bytes_sent"] = status.reports.bytes_sent;
    for (std::size_t i = 0; i < report_drop_count; ++i) {
        metrics["entry_reports_dropped_" + std::string(to_string(static_cast<report_drop>(i)))] =
            status.reports.dropped.at(i);
    }
    metrics["entry_report_datagrams_malformed"] = status.report_datagrams.malformed;
    metrics["entry_report_datagrams_unauthenticated"] = status.report_datagrams.unauthenticated;
    metrics["entry_report_datagrams_stale"] = status.report_datagrams.stale;
    metrics["entry_report_datagrams_unsent"] = status.report_datagrams.unsent;
}

// Bytes of physical memory that the process has used at most; nullopt if the host does not tell.
std::optional<std::uint64_t> peak_memory() {
    constexpr std::uint64_t bytes_per_kilobyte = 1'024;
    rusage                  usage{};
    if (::getrusage(RUSAGE_SELF, &usage) != 0) return std::nullopt;
    return static_cast<std::uint64_t>(usage.ru_maxrss) * bytes_per_kilobyte;
}

std::uint64_t to_percent(double share) {
    constexpr double hundred = 100.0;
    return static_cast<std::uint64_t>(std::lround(hundred * share));
}

} // namespace

counter_map load_metrics(const steering& flow_steering) {
    counter_map metrics;
    double      admitted = 1.0;
    double      spilled = 0.0;
    duration    delay{};
    for (const std::string& service : flow_steering.new_flow_admission().services()) {
        const admission_status status = flow_steering.new_flow_admission().status(service);
        admitted = std::min(admitted, status.share);
        delay = std::max(delay, status.delay);
        spilled = std::max(spilled, flow_steering.new_flow_spillover().total_share(service));
    }
    metrics["entry_admitted_percent"] = to_percent(admitted);
    metrics["entry_spilled_percent"] = to_percent(spilled);
    metrics["entry_queue_delay_ms"] = static_cast<std::uint64_t>(to_milliseconds(delay));
    for (const auto& [priority, counts] : flow_steering.new_flow_admission().counts_by_priority()) {
        metrics["entry_flows_admitted_priority_" + std::to_string(priority)] = counts.admitted;
        metrics["entry_flows_refused_priority_" + std::to_string(priority)] = counts.refused;
    }
    return metrics;
}

std::string format_metrics(const packet_counters& packets, const pending_syns& pending, const process_status& status,
                           const replica& store_replica, steady_time now) {
    counter_map metrics;
    for (std::size_t i = 0; i < decision_reason_count; ++i) {
        metrics["entry_decisions_" + std::string(to_string(static_cast<decision_reason>(i)))] =
            packets.decisions_by_reason.at(i);
    }
    metrics["entry_packets_malformed"] = packets.malformed;
    metrics["entry_flows_orphaned"] = packets.orphaned_flows;
    metrics["entry_syns_stale"] = packets.stale_syns;
    add_pending_counts(pending, metrics);
    metrics["entry_packets_unsent"] = packets.send_failures;
    metrics["entry_ready"] = status.is_ready ? 1 : 0;
    metrics["entry_feeding"] = status.is_feeder ? 1 : 0;
    metrics["entry_followers"] = status.follower_count;
    metrics["entry_flows"] = status.flow_count;
    metrics["entry_backend_servers_avoided"] = status.avoided_backend_servers;
    metrics["entry_backend_servers_slow"] = status.slow_backend_servers;
    metrics["entry_follower_calls_rejected"] = status.rejected_requests;
    metrics["entry_restarts"] = status.restarts;
    metrics["entry_log_lines_omitted"] = status.omitted_log_lines;
    metrics["entry_store_fallbacks"] = status.store_fallbacks;
    metrics["entry_change_bound_ms"] = static_cast<std::uint64_t>(to_milliseconds(status.change_bound));
    metrics["entry_listing_bytes"] = store_replica.listing_size();
    metrics["entry_log_lines_dropped"] = status.dropped_log_lines;
    metrics["entry_accepts_failed"] = status.failed_accepts;
    metrics["entry_listeners_missing"] = status.missing_listeners;
    metrics["entry_warmup_flows"] = status.warmup_flows;
    metrics["entry_warmup_servers"] = status.warmup_servers;
    metrics["entry_warmup_servers_owned"] = status.warmup_servers_owned;
    if (const auto bytes = peak_memory()) metrics["entry_memory_peak_bytes"] = *bytes;
    metrics["entry_configuration_version"] = store_replica.routing() == nullptr ? 0 : store_replica.routing()->version;
    metrics["entry_store_revision"] = store_replica.complete_revision().number;
    metrics["entry_store_epoch"] = store_replica.complete_revision().epoch;
    metrics["entry_records_ignored"] = store_replica.ignored_count();
    metrics["entry_failure_domains_evacuated"] = store_replica.evacuations().size();
    metrics["entry_knowledge_age_ms"] = to_milliseconds(now - store_replica.last_confirmation());
    metrics["entry_store_distance"] = store_replica.store_distance();
    for (const auto& [call_result, count] : status.calls_by_result)
        metrics["entry_calls_" + call_result] = count;
    for (const auto& [kind, count] : status.calls_by_kind)
        metrics["entry_calls_to_" + kind] = count;
    add_report_counts(status, metrics);
    metrics.insert(status.load_metrics.begin(), status.load_metrics.end());
    add_backend_server_counts(store_replica, metrics);
    return exposition_text(metrics, {{"entry_handshake_seconds", packets.handshake_seconds.snapshot()},
                                     {"entry_answer_seconds", packets.response_seconds.snapshot()}});
}

} // namespace tamarack::entry
