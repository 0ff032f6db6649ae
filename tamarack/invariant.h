// Runtime checks of the guarantees in docs/design.md section 1.3.
//
// A violation is counted and logged in every build. It terminates the process only in checked builds or when a test
// enables that, so that a production host keeps serving the flows that are not affected.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace tamarack {

enum class invariant : std::uint8_t {
    right_service,           // a packet is delivered only for the service of its destination
    one_backend_server,      // a placement never changes its backend server
    refused_never_forwarded, // a refused flow has no placement
    revision_monotonic,      // the configuration revision never decreases
    no_flow_to_draining,     // a backend server that is known to be draining gets no new flow
    table_cap,               // the flow table never exceeds its cap
    control_budget,          // control bytes per 10 s window stay within the budget
    count,
};

std::string_view to_string(invariant which);

// Counts a violation when the condition is false, and logs it with the detail.
void check(invariant which, bool condition, std::string_view detail = {});

std::uint64_t violations(invariant which);
std::uint64_t total_violations();

// For tests: whether the first violation terminates the process.
void set_violations_fatal(bool fatal);

} // namespace tamarack
