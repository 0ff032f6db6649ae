// Client of the balancers' administration interface: runs commands and formats the answers as text or JSON.
//
// A change without an answer is retried with the same operation id, at the next balancer if there are several. The same
// id is never committed twice.
#pragma once

#include "tamarack/admin_view.h"
#include "tamarack/command.h"

#include <functional>

namespace tamarack {

// Exit codes of tamarackctl.
enum class exit_code : std::uint8_t {
    success = 0,         // also when a dry run found the change valid
    usage_error = 1,     // error in the command line, the command or the settings of the client
    refused = 2,         // not permitted, unknown name, or the change has problems; nothing was changed
    conflict = 3,        // the service was changed concurrently; nothing was changed
    unavailable = 4,     // no balancer or no store available; nothing was changed
    outcome_unknown = 5, // the change may have been committed; repeat it with the same operation id
};

struct admin_client_settings {
    std::vector<std::string> servers;   // "host:port", tried in turn
    std::string              authority; // PEM texts; all empty: no TLS
    std::string              certificate;
    std::string              key;
    std::string              operator_name;
    duration                 timeout = std::chrono::seconds(15); // of a command, including all attempts
};

struct command_options {
    bool            json = false;
    bool            exposition = false; // "show counters" prints the text exposition format
    bool            dry_run = false;
    revision_number base_revision = 0;
    std::string     operation_id; // empty: a new one is generated
    view_size       size;
};

struct command_outcome {
    exit_code   code = exit_code::success;
    std::string output; // for standard output
    std::string error;  // for standard error, one or more lines
};

// The outcome of a line that does not parse: shows the line with a pointer to the column of the error.
command_outcome command_error_outcome(const std::string& line, const command_error& error,
                                      const command_options& options);

// 128 random bits as hexadecimal digits.
std::string make_operation_id();

class admin_client {
public:
    explicit admin_client(const admin_client_settings& settings);
    ~admin_client();
    admin_client(const admin_client&) = delete;
    admin_client& operator=(const admin_client&) = delete;

    // Runs a command and waits for the answer. "watch" gives a single frame of the live view.
    command_outcome run(const command& requested, const command_options& options);

    // Starts the graceful stop of the first server.
    command_outcome stop_balancer(const command_options& options);

    // Names for the completion of the prompt; empty when no balancer answers.
    std::vector<std::string> service_names();
    std::vector<std::string> backend_server_names(const std::string& service);

    class impl;

private:
    std::unique_ptr<impl> impl_;
};

} // namespace tamarack
