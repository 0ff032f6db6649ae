// Names of the metrics.
#include "daemons/entry/entry_metrics.h"

namespace tamarack::entry {

namespace {

void add_backends(const replica& known, counter_map& values) {
    for (const char* state : {"active", "draining", "removed"})
        values["entry_backend_servers_" + std::string(state)] = 0;
    for (const auto& [key, backend] : known.backends()) {
        const auto state = backend.removed_at ? std::string_view("removed") : to_string(backend.registration.state);
        ++values["entry_backend_servers_" + std::string(state)];
    }
}

} // namespace

std::string metrics_text(const packet_counters& packets, const process_status& status, const replica& known,
                         steady_time now) {
    counter_map values;
    for (std::size_t i = 0; i < decision_reason_count; ++i)
        values["entry_decisions_" + std::string(to_string(static_cast<decision_reason>(i)))] = packets.decisions.at(i);
    values["entry_packets_malformed"] = packets.malformed;
    values["entry_syns_stale"] = packets.stale_syns;
    values["entry_packets_unsent"] = packets.unsent;
    values["entry_ready"] = status.ready ? 1 : 0;
    values["entry_feeding"] = status.feeding ? 1 : 0;
    values["entry_followers"] = status.followers;
    values["entry_flows"] = status.flows;
    values["entry_follower_calls_rejected"] = status.rejected_calls;
    values["entry_configuration_version"] = known.routing() == nullptr ? 0 : known.routing()->version;
    values["entry_store_revision"] = known.complete_revision();
    values["entry_knowledge_age_ms"] = to_milliseconds(now - known.last_confirmation());
    for (const auto& [outcome, count] : status.calls)
        values["entry_calls_" + outcome] = count;
    add_backends(known, values);
    return exposition_text(values, {{"entry_handshake_seconds", packets.handshakes.snapshot()},
                                    {"entry_answer_seconds", packets.answers.snapshot()}});
}

} // namespace tamarack::entry
