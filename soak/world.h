// One run of the soak: real balancers, the stand-in of the store, callers and backend servers, faults by a seed.
#pragma once

#include "tamarack/tamarack.h"

#include <string>
#include <vector>

namespace soak {

struct run_settings {
    std::string        program; // tamarack-entry
    std::string        folder;  // of settings and logs; kept after a failure
    std::uint64_t      seed = 1;
    unsigned           balancers = 6;
    unsigned           backends = 8;
    unsigned           network = 0; // second byte of the loopback addresses, so that runs do not meet
    tamarack::duration faults_for = std::chrono::seconds(6);
    tamarack::duration calm_for = std::chrono::seconds(9);
    bool               packet_faults = true; // false: as when the earlier seeds failed
};

struct run_report {
    std::vector<std::string> violations;
    std::uint64_t            flows = 0;
    std::uint64_t            answered = 0; // requests
    std::uint64_t            failed = 0;   // flows without an answer
    std::uint64_t            faults = 0;
    std::uint64_t            store_calls = 0;
};

run_report run(const run_settings& settings);

} // namespace soak
