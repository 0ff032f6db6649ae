// One run of the soak: balancer processes, a stand-in for the store, simulated callers and backend servers, and random
// faults. The seed determines all random choices.
#pragma once

#include "tamarack/tamarack.h"

#include <string>
#include <vector>

namespace soak {

struct run_settings {
    std::string        program; // path of tamarack-entry
    std::string        folder;  // for settings files and logs
    std::uint64_t      seed = 1;
    unsigned           balancer_count = 6;
    unsigned           backend_count = 8;
    unsigned           network = 0; // second byte of the loopback addresses; concurrent runs need different ones
    tamarack::duration fault_duration = std::chrono::seconds(6);
    tamarack::duration calm_duration = std::chrono::seconds(9); // without faults, after them
    bool               has_packet_faults = true; // false: reproduces seeds recorded before packet faults existed
    bool               has_restores = true;      // the store is restored from copies; false: as with has_packet_faults
    bool has_start_faults = true; // starts lack something, restarts overlap; false: as with has_packet_faults
};

struct run_report {
    std::vector<std::string> violations;
    std::uint64_t            opened_flows = 0;
    std::uint64_t            answered_requests = 0;
    std::uint64_t            failed_flows = 0; // reset, or without an answer
    std::uint64_t            injected_faults = 0;
    std::uint64_t            store_calls = 0;
};

run_report run(const run_settings& settings);

} // namespace soak
