// The operators' command and query language: one line of text to one typed command. to_string(change) is the way back.
//
// docs/commands.md lists the commands. The grammar is written with Boost.Spirit X3; an error points at the column and
// says what was expected there, and the same knowledge gives the completion of the prompt.
#pragma once

#include "tamarack/configuration.h"

namespace tamarack {

// "change service": a limit that is not named keeps its value.
struct change_limits {
    std::string                  service;
    std::optional<std::uint32_t> max_flows;
    std::optional<std::uint32_t> max_new_flows_per_second;
};

struct show_services {};
struct show_service {
    std::string service;
};
struct show_backend_servers {
    std::optional<std::string> service;
};
struct show_balancers {};
struct show_health {};
// Zero times mean no restriction; at most one of since and age is set.
struct show_history {
    std::optional<std::string> service;
    std::optional<std::string> operator_name;
    wall_time                  since{};
    duration                   age{}; // counted back from now
};
struct show_counters {};
struct show_flows {};
struct explain_flow {
    flow_tuple flow;
};
struct watch_cluster {};
struct show_help {};

// change never holds a change_service here: it is written as change_limits.
using command =
    std::variant<change, change_limits, show_services, show_service, show_backend_servers, show_balancers, show_health,
                 show_history, show_counters, show_flows, explain_flow, watch_cluster, show_help>;

enum class expected_kind : std::uint8_t { word, service_name, backend_server_name, other };

// What could stand at a place of a line.
struct expectation {
    expected_kind kind = expected_kind::other;
    std::string   text; // the word itself, or a description

    friend bool operator==(const expectation&, const expectation&) = default;
};

struct command_error {
    std::size_t              column = 1; // of the first character that does not fit; counted in bytes from 1
    std::string              found;      // the text there; empty at the end of the line
    std::vector<expectation> expected;

    finding to_finding() const;
};

result<command, command_error> parse_command(std::string_view line);

// What can follow the text; nothing when the text itself is wrong.
std::vector<expectation> expected_after(std::string_view text);

// Service named in the text, for the completion of the names of its backend servers.
std::string service_in(std::string_view text);

// Names of services and backend servers: 1 to 63 letters, digits, '.', '_', '-', first a letter or digit.
bool is_name(std::string_view text);

// Names of operators and ids of operations: 1 to 64 printable ASCII characters without spaces.
bool is_word(std::string_view text);

// "2026-12-04T10:30:00Z"
std::string to_text(wall_time time);

// All commands with their meaning.
std::string command_help();

} // namespace tamarack
