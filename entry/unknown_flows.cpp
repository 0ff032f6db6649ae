// Bounded table of arrival times.
#include "entry/unknown_flows.h"

namespace tamarack::entry {

namespace {

// All are forgotten when the limit is reached, which only delays resets.
constexpr std::size_t max_flows = 16'384;
// Callers retransmit at least every 1.6 s.
constexpr duration    retention = std::chrono::seconds(10);

} // namespace

steady_time unknown_flows::first_packet(const segment& packet, steady_time now) {
    if (arrivals_.size() >= max_flows) arrivals_.clear();
    const auto [arrival, is_new] = arrivals_.try_emplace(key_of(packet), arrival_times{.first = now, .last = now});
    arrival->second.last = now;
    return arrival->second.first;
}

void unknown_flows::expire(steady_time now) {
    std::erase_if(arrivals_, [&](const auto& key_and_times) { return now > key_and_times.second.last + retention; });
}

} // namespace tamarack::entry
