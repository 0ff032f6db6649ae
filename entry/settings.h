// Settings of the entry balancer, read from an INI file (inih). All problems of a file are reported together.
#pragma once

#include "entry/model.h"
#include "tamarack/result.h"

#include <filesystem>
#include <map>

namespace tamarack::entry {

struct settings {
    std::string             name;           // [balancer] unique among the balancers
    std::string             failure_domain; // [balancer] of the host
    endpoint                packets;        // [balancer] receives callers' packets from the fabric
    endpoint                readiness;      // [balancer] answers the fabric's readiness checks
    std::optional<endpoint> metrics;        // [balancer] serves metrics; none: nowhere
    std::optional<endpoint> status;         // [balancer] answers an operator on this host; none: nowhere
    endpoint                peer_address;   // [peers] serves what is known of the store to other balancers
    std::vector<endpoint>   contacts;       // [peers] hosts to ask at the start; their port is not used
    endpoint                store;          // [store]
    duration                stop_grace = std::chrono::seconds(6); // [stop] the host ends the process after it
    double                  processor_share = 1.0;                // [limits] of one core
    double                  link_mbps = 1'000.0;                  // [limits] of the host's link
    std::map<std::string, std::string> texts;                     // of each key that the file sets, by "[section] key"
    std::size_t                        memory_mb = 64;            // [limits] of the process
    std::filesystem::file_time_type    written{};                 // last change of the file, taken before it was read
};

result<settings, findings>      read_settings(std::string_view text, const std::string& file_name);
result<settings, findings>      read_settings_file(const std::string& file_name);
// Epoch where the file cannot be read; reading it then reports the reason.
std::filesystem::file_time_type last_change(const std::string& file_name);

// What a newly read file changes. Only some keys take effect without a restart.
struct settings_difference {
    std::vector<std::string> in_force;      // "[section] key"
    std::vector<std::string> needs_restart; // "[section] key"

    bool empty() const { return in_force.empty() && needs_restart.empty(); }
};

settings_difference compare(const settings& present, const settings& next);

// The text of docs/entry-settings.md.
std::string settings_reference();

} // namespace tamarack::entry
