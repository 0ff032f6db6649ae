// Settings of the entry balancer, read from an INI file (inih). All problems of a file are reported together.
#pragma once

#include "entry/model.h"
#include "tamarack/result.h"

#include <filesystem>
#include <map>

namespace tamarack::entry {

struct settings {
    std::string                                     name;           // [balancer] unique among the balancers
    std::string                                     failure_domain; // [balancer] of the host
    std::map<std::string, std::string, std::less<>> regions;        // [balancer] by failure domain
    bool                    is_first_start = false; // [balancer] the whole system starts for the first time
    endpoint                packets_address;        // [balancer] receives callers' packets from the fabric
    endpoint                readiness_address;      // [balancer] answers the fabric's readiness checks
    std::optional<endpoint> metrics_address;        // [balancer] serves metrics; nullopt: not served
    std::optional<endpoint> status_address;         // [balancer] answers an operator on this host; nullopt: not served
    endpoint                peer_address;           // [peers] serves the replica of the store to other balancers
    std::vector<endpoint>   contacts;               // [peers] hosts to ask at the start; their port is not used
    endpoint                store_address;          // [store]
    duration                stop_grace = std::chrono::seconds(6); // [stop] the host kills the process after it
    double                  processor_share = 1.0;                // [limits] in cores
    double                  link_mbps = 1'000.0;                  // [limits] of the host's link
    duration change_deadline = std::chrono::seconds(3);           // [limits] for a change to be in force everywhere
    double   warmup_overrun = 1.0; // [limits] factor by which backend servers may exceed their warm-up rate
    double   warmup_slack = 0.0;   // [limits] new flows in a second beyond that
    std::map<std::string, std::string> raw_values;     // text of each key in the file, by "[section] key"
    std::size_t                        memory_mb = 64; // [limits] of the process
    std::filesystem::file_time_type    modified_at{};  // modification time of the file, taken before it was read
};

result<settings, findings> read_settings(std::string_view text, const std::string& file_name);
result<settings, findings> read_settings_file(const std::string& file_name);

// Settings for a start, which needs the required keys only: a key that is unknown, or that is not required and has a
// value that is not accepted, is reported and left at its default.
struct start_settings {
    std::optional<settings> values; // nullopt: a required key is missing or its value is not accepted
    findings                problems;
    std::string             text; // of the file
};
start_settings read_start_settings(const std::string& file_name);

// The epoch if the time cannot be read; read_settings_file then reports why.
std::filesystem::file_time_type modification_time(const std::string& file_name);

// Keys that differ between two versions of the settings. Only some take effect without a restart.
struct settings_difference {
    std::vector<std::string> immediate_keys; // take effect immediately; "[section] key"
    std::vector<std::string> restart_keys;   // take effect after a restart; "[section] key"

    bool empty() const { return immediate_keys.empty() && restart_keys.empty(); }
};

settings_difference compare_settings(const settings& current, const settings& next);

// The text of docs/entry-settings.md.
std::string settings_reference();

} // namespace tamarack::entry
