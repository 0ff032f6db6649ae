// Settings of the daemon, read from an INI file (inih).
//
// One table of keys drives reading, checking and the reference in docs/settings.md. All problems of a file are reported
// together, each with its file, line, key and accepted form.
#pragma once

#include "tamarack/node.h"
#include "tamarack/result.h"

namespace tamarack {

enum class log_level : std::uint8_t { info, warning, error };

// Files of the administration interface, in PEM form; all empty when it listens on loopback without TLS.
struct tls_files {
    std::string certificate;
    std::string key;
    std::string authority; // signs the certificates of operators

    bool complete() const { return !certificate.empty() && !key.empty() && !authority.empty(); }
    bool empty() const { return certificate.empty() && key.empty() && authority.empty(); }
};

struct daemon_settings {
    node_settings         node;   // self holds the control, relay and admin addresses
    endpoint              fabric; // receives callers' packets from the fabric
    std::size_t           traffic_threads = 2;
    std::size_t           receive_buffer = 4'194'304; // bytes, of each traffic socket
    std::vector<endpoint> platform;                   // empty: configuration comes from peers only
    std::string           platform_authority;         // PEM file; empty: plain text
    tls_files             admin_tls;
    log_level             level = log_level::info;

    // Text of each key that the file sets, by "[section] key", to find out what a later version changes.
    std::map<std::string, std::string> texts;
};

// Reads the settings from text; the file name is used in findings and to find key files given by relative names.
result<daemon_settings, findings> read_settings(std::string_view text, const std::string& file_name);
result<daemon_settings, findings> read_settings_file(const std::string& file_name);

// What a newly read file changes. Only some keys take effect without a restart.
struct settings_difference {
    std::vector<std::string> in_force;      // "[section] key"
    std::vector<std::string> needs_restart; // "[section] key"
};

settings_difference compare(const daemon_settings& present, const daemon_settings& next);

// The present settings with those of the next ones that take effect without a restart.
daemon_settings take_over(const daemon_settings& present, const daemon_settings& next);

// The text of docs/settings.md.
std::string settings_reference();

// Reads a control key: 64 hexadecimal digits in a file that only its owner can read. The error is the message.
result<control_key, std::string> read_control_key(const std::string& file_name);

} // namespace tamarack
