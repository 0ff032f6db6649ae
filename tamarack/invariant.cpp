// Counting and logging of violated invariants.
#include "tamarack/invariant.h"

#include "tamarack/events.h"

#include <glog/logging.h>

namespace tamarack {

namespace {

constexpr std::size_t invariant_count = static_cast<std::size_t>(invariant::count);

std::array<std::atomic<std::uint64_t>, invariant_count> violation_counts{};

#ifdef TAMARACK_CHECKED
std::atomic<bool> violations_fatal{true};
#else
std::atomic<bool> violations_fatal{false};
#endif

} // namespace

std::string_view to_string(invariant which) {
    switch (which) {
    case invariant::right_service:
        return "right_service";
    case invariant::one_backend_server:
        return "one_backend_server";
    case invariant::refused_never_forwarded:
        return "refused_never_forwarded";
    case invariant::revision_monotonic:
        return "revision_monotonic";
    case invariant::no_flow_to_draining:
        return "no_flow_to_draining";
    case invariant::table_cap:
        return "table_cap";
    case invariant::control_budget:
        return "control_budget";
    case invariant::count:
        break;
    }
    return "unknown";
}

void check(invariant which, bool condition, std::string_view detail) {
    if (condition) [[likely]]
        return;
    violation_counts.at(static_cast<std::size_t>(which)).fetch_add(1, std::memory_order_relaxed);
    const auto line = [&] {
        return format_event(event::invariant_violated, {{"invariant", to_string(which)}, {"detail", detail}});
    };
    if (violations_fatal) LOG(FATAL) << line();
    LOG_EVERY_N(ERROR, 1000) << line();
}

std::uint64_t violations(invariant which) {
    return violation_counts.at(static_cast<std::size_t>(which));
}

std::uint64_t total_violations() {
    std::uint64_t sum = 0;
    for (const auto& counter : violation_counts)
        sum += counter;
    return sum;
}

void set_violations_fatal(bool fatal) {
    violations_fatal = fatal;
}

} // namespace tamarack
