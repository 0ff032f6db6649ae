// Carries out commands at a balancer's administration interface, and writes the answers as text or JSON.
//
// A change that got no answer is repeated with the same operation id, at the next balancer if there are several; the
// same id is never committed twice.
#pragma once

#include "tamarack/admin_view.h"
#include "tamarack/command.h"

#include <functional>

namespace tamarack {

// Exit codes of tamarackctl.
enum class exit_code : std::uint8_t {
    done = 0,            // also: a dry run found the change valid
    wrong_command = 1,   // command line, command or settings of the client
    refused = 2,         // not permitted, unknown name, or the change has problems; nothing was changed
    conflict = 3,        // the service was changed in between; nothing was changed
    unavailable = 4,     // no balancer or no store; nothing was changed
    outcome_unknown = 5, // a change may have been committed; repeat it with the same operation id
};

struct admin_client_settings {
    std::vector<std::string> servers;   // "host:port", tried in turn
    std::string              authority; // PEM texts; all empty: no TLS
    std::string              certificate;
    std::string              key;
    std::string              operator_name;
    duration                 timeout = std::chrono::seconds(15); // of a command, with all attempts
};

struct command_options {
    bool            json = false;
    bool            exposition = false; // show counters: text exposition format
    bool            dry_run = false;
    revision_number base_revision = 0;
    std::string     operation_id; // empty: a new one is made
    view_size       size;
};

struct command_outcome {
    exit_code   code = exit_code::done;
    std::string output; // for standard output
    std::string error;  // for standard error, one or more lines
};

// The outcome of a line that is not a command: it points at the place.
command_outcome wrong_command(const std::string& line, const command_error& error, const command_options& options);

// Random, 128 bits in hexadecimal digits.
std::string make_operation_id();

class admin_client {
public:
    explicit admin_client(const admin_client_settings& settings);
    ~admin_client();
    admin_client(const admin_client&) = delete;
    admin_client& operator=(const admin_client&) = delete;

    // Any command but watch, of which it gives one view. Waits for the answer.
    command_outcome run(const command& what, const command_options& options);

    // Begins the graceful stop of the first server.
    command_outcome stop_balancer(const command_options& options);

    // Names for the completion of a prompt; empty when no balancer answers.
    std::vector<std::string> service_names();
    std::vector<std::string> backend_server_names(const std::string& service);

    class impl;

private:
    std::unique_ptr<impl> impl_;
};

} // namespace tamarack
