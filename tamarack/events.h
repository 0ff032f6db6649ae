// Numbered log events, written through glog in one line form:
//
//   T4001 member state changed member_id=7 state=suspect failure_domain=north
//
// docs/events.md is the catalogue. The meaning of a number never changes; a retired number is not used again.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace tamarack {

enum class event : std::uint16_t {
    starting = 1001,
    listening = 1002,
    stop_requested = 1003,
    stopped = 1004,
    pause_detected = 1005,
    socket_failed = 1006,
    thread_failed = 1007,
    start_failed = 1008,
    restarted = 1009,

    settings_problem = 2001,
    settings_reread = 2002,
    setting_needs_restart = 2003,
    settings_kept = 2004,
    no_platform = 2005,

    change_accepted = 3001,
    change_refused = 3002,
    change_unknown = 3003,
    revision_in_force = 3004,

    member_changed = 4001,

    backend_server_out = 5001,
    backend_server_back = 5002,

    backend_server_registered = 5003,
    record_removed = 5004,
    feeder_registered = 5005,
    domain_evacuated = 5006,
    reference_used = 5007,

    packet_delivered = 6001,
    packet_not_delivered = 6002,
    synchronized = 6003,
    record_unusable = 6004,
    lines_left_out = 6005,
    feeding_began = 6006,
    feeding_ended = 6007,
    follower_rejected = 6008,
    source_changed = 6009,
    record_ignored = 6010,
    changes_late = 6011,
    refusing_began = 6021,
    refusing_ended = 6022,

    call_refused = 7001,
    calls_overloaded = 7002,
    grpc_message = 7003,

    store_unavailable = 8001,
    store_available = 8002,
    store_is_older = 8003,
    history_differs = 8004,
    head_unreadable = 8005,
    store_call_failed = 8006,
    store_too_old = 8007,
    store_epoch_changed = 8008,

    invariant_violated = 9001,
};

enum class severity : std::uint8_t { info, warning, error };

std::string_view to_string(severity level);

struct event_description {
    event            number;
    severity         level;
    std::string_view text;
    std::string_view meaning; // meaning and remedy, for the catalogue
};

std::span<const event_description> event_table();

// The description of an event.
const event_description& describe(event number);

struct event_field {
    std::string key;
    std::string value;

    event_field(std::string_view name, std::string_view text) : key(name), value(text) {}
    event_field(std::string_view name, const char* text) : key(name), value(text) {}
    event_field(std::string_view name, const std::string& text) : key(name), value(text) {}
    event_field(std::string_view name, std::uint64_t number) : key(name), value(std::to_string(number)) {}
};

// " key=value" for each field. Values that are not plain words are quoted, so that a value cannot forge a field.
std::string format_fields(std::initializer_list<event_field> fields);
// The whole line without glog's prefix.
std::string format_event(event number, std::initializer_list<event_field> fields);

// File and line are those of the calling code (the linter, clang 14, does not support std::source_location).
void log_event(event number, std::initializer_list<event_field> fields, const char* file = __builtin_FILE(),
               int line = __builtin_LINE());

// The text of docs/events.md.
std::string event_reference();

} // namespace tamarack
