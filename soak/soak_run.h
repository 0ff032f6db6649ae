// One run of the soak: balancer processes, a stand-in for the store, simulated callers and backend servers, and random
// faults. The seed determines all random choices.
#pragma once

#include "tamarack/tamarack.h"

#include <array>
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
    bool has_load_faults = true;  // evacuations, warm-ups, slow and hanging backend servers, too many flows; false: as
                                  // with has_packet_faults
};

struct run_report {
    std::vector<std::string>     violations;
    std::uint64_t                opened_flows = 0;
    std::uint64_t                answered_requests = 0;
    std::uint64_t                failed_flows = 0; // reset, or without an answer
    std::uint64_t                injected_faults = 0;
    std::uint64_t                store_calls = 0;
    std::uint64_t                evacuations = 0;
    std::uint64_t                warmup_flows = 0;          // first deliveries to backend servers that are warming up
    std::uint64_t                busiest_warmup_second = 0; // most of them at one backend server in a second
    // SYNs by the route's priority: reset by a balancer, and refused by a backend server whose queue was full.
    std::array<std::uint64_t, 3> refused_syns{};
    std::array<std::uint64_t, 3> overflowed_syns{};
};

run_report run(const run_settings& settings);

} // namespace soak
