// What one balancer tells others about a backend server.
#pragma once

#include "entry/model.h"

namespace tamarack::entry {

enum class backend_condition : std::uint8_t {
    well,         // has responded again after another condition was reported
    slow,         // its response times are outliers among the backend servers of its service
    unresponsive, // does not answer SYNs or requests
};

struct condition_report {
    backend_reference reference = 0;
    backend_condition condition = backend_condition::well;
    duration          age{};      // since the observation
    duration          validity{}; // after the observation; the condition is unknown afterwards
};

} // namespace tamarack::entry
