// Invariants of the promises in docs/design.md section 1.3.
//
// A violation is counted in every build; it ends the process in checked builds and where a test asks for it, so that a
// production host keeps serving the flows that are not affected.
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
    no_flow_to_draining,     // no new flow to a backend server known to be draining
    table_cap,               // the flow table never exceeds its cap
    control_budget,          // control bytes per 10 s window stay within the budget
    count,
};

std::string_view to_string(invariant what);

// Counts a violation when the condition is false. The detail is logged.
void check(invariant what, bool condition, std::string_view detail = {});

std::uint64_t violations(invariant what);
std::uint64_t total_violations();

// Tests set this to end the process at the first violation.
void set_violations_fatal(bool fatal);

} // namespace tamarack
