// The table of events, and the formatting of log lines.
#include "tamarack/events.h"

#include <algorithm>
#include <array>

namespace tamarack {

namespace {

constexpr std::array descriptions = std::to_array<event_description>({
    {event::starting, severity::info, "starting", "The daemon has read its settings."},
    {event::listening, severity::info, "listening",
     "A port is open. `port`: fabric, relay, control or admin. Entry balancer: only if it could not be opened before."},
    {event::stop_requested, severity::info, "stop requested",
     "A graceful stop begins: the balancer announces that it is leaving and waits until others hold its flows. `by`: a "
     "signal or an operator. A second signal ends the wait."},
    {event::stopped, severity::info, "stopped",
     "The daemon ends. `unreplicated`: flows that no other balancer holds; they break unless it is 0."},
    {event::pause_detected, severity::warning, "pause detected",
     "A thread did not run for `milliseconds`. Packets queued meanwhile were discarded; senders retransmit them. "
     "Look for an overloaded or suspended host."},
    {event::start_failed, severity::error, "start failed", "The daemon ends, see `reason`."},
    {event::socket_failed, severity::error, "socket failed",
     "A socket could not be opened or used, see `reason`. It is tried again; a balancer serves meanwhile if it can do "
     "without the socket, otherwise its start waits."},
    {event::thread_failed, severity::error, "thread failed", "A thread ended by an exception; the daemon ends."},
    {event::restarted, severity::error, "restarted",
     "Entry balancer: an exception ended the event loop, see `reason`. The balancer drops its state and starts again "
     "in the "
     "same process. Lack of memory or descriptors is the usual reason; anything else is a fault of the program: report "
     "it "
     "with the surrounding log lines."},

    {event::settings_problem, severity::error, "settings problem",
     "One problem of the settings file. All of them are logged. A start waits until the file can be used. The entry "
     "balancer needs only the required keys for that, and uses the defaults of others."},
    {event::settings_reread, severity::info, "settings reread",
     "SIGHUP: the file was read; `in_force` lists the keys that changed and took effect."},
    {event::setting_needs_restart, severity::warning, "setting needs a restart",
     "SIGHUP: the key was changed in the file, but the old value stays until a restart."},
    {event::settings_kept, severity::error, "settings kept",
     "SIGHUP: the file has problems, so no setting was changed."},
    {event::no_platform, severity::warning, "no platform",
     "[platform] addresses is none: the configuration comes from peers only, and changes are refused."},

    {event::change_accepted, severity::info, "change accepted", "An operator's change was committed as `revision`."},
    {event::change_refused, severity::warning, "change refused",
     "An operator's change was not committed, see `status` and `reason`."},
    {event::change_unknown, severity::warning, "change outcome unknown",
     "The store did not answer in time. Repeat the command with the same operation id."},
    {event::revision_in_force, severity::info, "revision in force",
     "This balancer now forwards according to a newer configuration."},

    {event::member_changed, severity::info, "member state changed",
     "This balancer's view of the state of another balancer changed."},

    {event::backend_server_out, severity::warning, "backend server out",
     "Probes failed: the backend server gets no new flows, and its flows are reset once it has been out for 10 s."},
    {event::backend_server_back, severity::info, "backend server back", "Probes succeed again."},

    {event::backend_server_registered, severity::info, "backend server registered",
     "Entry balancer: a backend server registered or changed its registration in the store, as `revision`."},
    {event::record_removed, severity::info, "record removed",
     "Entry balancer: a registration of a backend server or feeder, or the evacuation of a failure domain ended. After "
     "an outage of the store the line comes "
     "when the removal takes effect, since the backend server is held in use for a while."},
    {event::feeder_registered, severity::info, "feeder registered",
     "Entry balancer: a balancer reads the store for the others of its failure domain."},
    {event::domain_evacuated, severity::info, "failure domain evacuated",
     "Entry balancer: by order of the operator, backend servers of the failure domain get no new flows."},

    {event::reference_used, severity::warning, "reference already used",
     "Entry balancer: `backend_server` has the 32-bit reference of `holder`, which started first and may have open "
     "flows. It gets no new flows until that one has ended. Starting it under another id gives it a reference of its "
     "own."},
    {event::packet_delivered, severity::info, "packet delivered",
     "Entry balancer: a SYN (`reason` placed..., `copy`: 0 for the first), the first packet of a request, or a packet "
     "that shows a stalled flow went to a backend server. `reason` is explained in docs/OPERATIONS.md."},
    {event::packet_not_delivered, severity::warning, "packet not delivered",
     "Entry balancer: a packet was answered with a reset or dropped, see `reason` and `outcome`."},
    {event::synchronized, severity::info, "synchronized",
     "Entry balancer: configuration and backend servers are known; the balancer takes traffic."},
    {event::record_unusable, severity::warning, "record unusable",
     "Entry balancer: a record of the store cannot be used, see `reason`. Look for another program that writes it."},
    {event::lines_left_out, severity::warning, "lines left out",
     "`count` lines are not in the log since the last such line: lines of single packets beyond their rate, and "
     "`dropped` lines of all kinds, since the reader of the log did not keep up. Look at the program that reads it."},

    {event::feeding_began, severity::info, "feeding began",
     "Entry balancer: this balancer reads the store for its failure domain."},
    {event::feeding_ended, severity::info, "feeding ended",
     "Entry balancer: the balancer stops, lost its lease, or was replaced after it had lost the store; others of its "
     "failure domain read from other failure domains until there is a new feeder."},
    {event::follower_rejected, severity::warning, "follower rejected",
     "Entry balancer: a host requested records, or sent condition reports, without proof that it knows the key of a "
     "feeder, which the store holds. A follower may do so shortly after a change of the feeder; otherwise look for "
     "another program."},
    {event::source_changed, severity::info, "source changed",
     "Entry balancer: records come from another `source` now: the store, or the balancer at `address`. `distance` "
     "counts "
     "the balancers between the store and this one."},
    {event::record_ignored, severity::info, "record ignored",
     "Entry balancer: a source delivered a state of `key` that differs from the known one and is older, by `revision` "
     "and "
     "`known_revision`. `count` counts all such records since the start; lines are rate-limited."},
    {event::changes_late, severity::warning, "changes may come late",
     "Entry balancer: the records of the store, about `listing_bytes` as the store sends them, are too long for the "
     "link "
     "of the host. When this balancer loses its source, a change takes up to `bound_ms` to be in force, which is more "
     "than the deadline."},
    {event::refusing_began, severity::warning, "refusing began",
     "Entry balancer: `service` is short of capacity: requests wait for `delay_ms` at its backend servers, and a part "
     "of "
     "its new flows is answered with a reset, the lowest priority first."},
    {event::refusing_ended, severity::info, "refusing ended",
     "Entry balancer: all new flows of `service` are admitted again."},

    {event::call_refused, severity::warning, "administration call refused", "See `reason`; nothing was done."},
    {event::calls_overloaded, severity::warning, "administration calls overloaded",
     "Too many calls wait for the control thread; further ones are refused."},
    {event::grpc_message, severity::warning, "gRPC message",
     "A message of the gRPC library, such as a failed TLS handshake. At most one a second is logged."},

    {event::store_unavailable, severity::warning, "store unavailable",
     "The platform's key-value service does not answer. Forwarding goes on; changes are refused."},
    {event::store_available, severity::info, "store available", "The platform's key-value service answers again."},
    {event::store_is_older, severity::warning, "store is older",
     "The store persistently holds a lower revision than this balancer, for example after a restore; the balancer "
     "writes its configuration back."},
    {event::history_differs, severity::warning, "history differs",
     "The store holds a different history of changes than this balancer; the changes that the store lacks are "
     "committed again under their operation ids."},
    {event::head_unreadable, severity::error, "stored head unreadable",
     "The stored configuration cannot be decoded. Look for another program that writes the key. One in 100 is logged."},
    {event::store_call_failed, severity::warning, "store call failed",
     "A call of the key-value service failed with a gRPC code. One in 100 is logged."},

    {event::store_too_old, severity::error, "store too old",
     "The store was restored to a state older than the kept changes: changes that it took since then stay in the audit "
     "archive and are not committed again. Compare the archive with the configuration."},
    {event::store_epoch_changed, severity::warning, "store epoch changed",
     "Entry balancer: the store answers from another epoch: it was restored from a copy, and issues revisions again. "
     "`call`, `after` and `result` are those of the first call that showed it."},

    {event::invariant_violated, severity::error, "invariant violated",
     "The program violated one of its invariants, which is a fault of the program. Report it with the surrounding "
     "log lines."},
});

bool is_plain(char letter) {
    return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') || (letter >= '0' && letter <= '9') ||
           std::string_view("._:/@+,[]-").find(letter) != std::string_view::npos;
}

void append_quoted(std::string& line, std::string_view value) {
    constexpr std::string_view digits = "0123456789abcdef";
    line += '"';
    for (const char letter : value) {
        const auto code = static_cast<unsigned char>(letter);
        if (letter == '"' || letter == '\\') {
            line += '\\';
            line += letter;
        } else if (code < 0x20 || code == 0x7f) {
            line += "\\x";
            line += digits[code >> 4U];
            line += digits[code & 0xfU];
        } else {
            line += letter;
        }
    }
    line += '"';
}

} // namespace

std::string_view to_string(severity level) {
    switch (level) {
    case severity::info:
        return "info";
    case severity::warning:
        return "warning";
    case severity::error:
        return "error";
    }
    return "unknown";
}

std::span<const event_description> event_table() {
    return descriptions;
}

const event_description& describe(event number) {
    const auto* found = std::ranges::find(descriptions, number, &event_description::number);
    return found == descriptions.end() ? descriptions.back() : *found;
}

std::string format_event(event number, std::initializer_list<event_field> fields) {
    std::string line("T");
    line.append(std::to_string(static_cast<unsigned>(number))).append(" ").append(describe(number).text);
    return line + format_fields(fields);
}

std::string format_fields(std::initializer_list<event_field> fields) {
    std::string line;
    for (const event_field& field : fields) {
        line += " " + field.key + "=";
        if (!field.value.empty() && std::ranges::all_of(field.value, is_plain)) {
            line += field.value;
        } else {
            append_quoted(line, field.value);
        }
    }
    return line;
}

std::string event_reference() {
    std::string text =
        "# Log events\n\n"
        "<!-- Written by `tamarackd --reference=events`; a test compares it with the table of events. -->\n\n"
        "Each event is one line on standard error: glog's prefix, the number, the text, and fields as `key=value`. A "
        "value that is not a plain\nword is quoted.\n\n"
        "| Number | Severity | Text | Meaning |\n|---|---|---|---|\n";
    for (const event_description& each : descriptions) {
        text += "| T" + std::to_string(static_cast<unsigned>(each.number)) + " | " +
                std::string(to_string(each.level)) + " | " + std::string(each.text) + " | " +
                std::string(each.meaning) + " |\n";
    }
    return text;
}

} // namespace tamarack
