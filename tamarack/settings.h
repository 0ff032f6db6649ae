// Settings of the daemon, read from an INI file (inih).
//
// One table of keys defines parsing, validation and the reference in docs/settings.md. All problems of a file are
// reported together, each with its file, line, key and accepted form.
#pragma once

#include "tamarack/node.h"
#include "tamarack/result.h"

namespace tamarack {

enum class log_level : std::uint8_t { info, warning, error };

// Names of the PEM files of the administration interface; all empty when it listens on loopback without TLS.
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
    std::vector<endpoint> platform;                   // empty: the configuration comes from peers only
    std::string           platform_authority;         // PEM file; empty: plain text
    tls_files             admin_tls;
    log_level             min_log_level = log_level::info;

    // Unparsed value of each key that the file sets, by "[section] key". compare() finds changed keys by them.
    std::map<std::string, std::string> raw_values;
};

// Reads the settings from text. The file name appears in findings, and names of key files are relative to its folder.
result<daemon_settings, findings> read_settings(std::string_view text, const std::string& file_name);
result<daemon_settings, findings> read_settings_file(const std::string& file_name);
// The text of the file, which is never empty.
result<std::string, findings>     read_settings_text(const std::string& file_name);

// Keys, as "[section] key", whose values differ between the current settings and a reloaded file.
struct settings_difference {
    std::vector<std::string> in_force;      // the new value takes effect without a restart
    std::vector<std::string> needs_restart; // the current value stays until a restart
};

settings_difference compare(const daemon_settings& current, const daemon_settings& reloaded);

// The current settings, updated with the reloaded values that take effect without a restart.
daemon_settings apply_reloadable(const daemon_settings& current, const daemon_settings& reloaded);

// The text of docs/settings.md.
std::string settings_reference();

// Reads a control key: 64 hexadecimal digits in a file that only its owner can access. The error describes the problem.
result<control_key, std::string> read_control_key(const std::string& file_name);

} // namespace tamarack
