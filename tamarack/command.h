// The operators' command and query language: parses one line of text into one typed command. to_string(change) converts
// a change back to text.
//
// docs/commands.md lists the commands. The grammar is written with Boost.Spirit X3. An error gives the column and what
// was expected there; the completion of the prompt uses the same information.
#pragma once

#include "tamarack/configuration.h"

namespace tamarack {

// "change service". Limits that are not set keep their value.
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
// At most one of since and age is set; zero means no restriction.
struct show_history {
    std::optional<std::string> service;
    std::optional<std::string> operator_name;
    wall_time                  since{};
    duration                   age{}; // maximum age of a change
};
struct show_counters {};
struct show_flows {};
struct explain_flow {
    flow_tuple flow;
};
struct watch_cluster {};
struct show_help {};

// The change never holds a change_service: "change service" is parsed into change_limits.
using command =
    std::variant<change, change_limits, show_services, show_service, show_backend_servers, show_balancers, show_health,
                 show_history, show_counters, show_flows, explain_flow, watch_cluster, show_help>;

enum class expected_kind : std::uint8_t { word, service_name, backend_server_name, other };

// A token that the grammar accepts at a position of a line.
struct expectation {
    expected_kind kind = expected_kind::other;
    std::string   text; // the word itself, or a description

    friend bool operator==(const expectation&, const expectation&) = default;
};

struct command_error {
    std::size_t              column = 1; // of the first character that does not match; counted in bytes from 1
    std::string              found;      // the word at the column; empty at the end of the line
    std::vector<expectation> expected;

    finding to_finding() const;
};

result<command, command_error> parse_command(std::string_view line);

// The tokens that can follow the text; empty when the text itself has an error.
std::vector<expectation> expected_after(std::string_view text);

// The service name in an incomplete command, for the completion of the names of its backend servers.
std::string service_named_in(std::string_view text);

// True for names of services and backend servers: 1 to 63 letters, digits, '.', '_', '-'; the first is a letter or
// digit.
bool is_name(std::string_view text);

// True for names of operators and operation ids: 1 to 64 printable ASCII characters without spaces.
bool is_printable_word(std::string_view text);

// "2026-12-04T10:30:00Z"
std::string to_text(wall_time time);

// The text of "help": all commands with their meaning. docs/commands.md holds the same list.
std::string command_help();

} // namespace tamarack
