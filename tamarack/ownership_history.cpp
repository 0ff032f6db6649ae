// Reconstructs previous rankings for a balancer that has just started.
#include "tamarack/ownership.h"

#include <algorithm>

namespace tamarack {

namespace {

// Rankings that are reconstructed; routes have room for the holders of two of them.
constexpr std::size_t max_reconstructed = 3;

incarnation_number milliseconds_of(wall_time time) {
    return static_cast<incarnation_number>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count());
}

// Incarnations (start times) within previous_ranking_lifetime, latest first.
std::vector<incarnation_number> recent_starts(std::span<const member> members, wall_time now) {
    const incarnation_number        oldest = milliseconds_of(now - previous_ranking_lifetime);
    std::vector<incarnation_number> starts;
    for (const auto& item : members) {
        if (item.incarnation >= oldest) starts.push_back(item.incarnation);
    }
    std::sort(starts.begin(), starts.end(), std::greater<>());
    starts.erase(std::unique(starts.begin(), starts.end()), starts.end());
    return starts;
}

std::shared_ptr<const ownership> ranking_before(std::span<const member> members, incarnation_number start) {
    std::vector<member> older;
    std::copy_if(members.begin(), members.end(), std::back_inserter(older),
                 [&](const member& item) { return item.incarnation < start; });
    return older.empty() ? nullptr : std::make_shared<ownership>(older);
}

} // namespace

ownership_history reconstruct_history(std::span<const member> members, wall_time now, steady_time steady_now) {
    ownership_history result;
    result.present = std::make_shared<ownership>(members);
    result.present_since = steady_now;
    auto starts = recent_starts(members, now);
    // The ranking before all recent starts is kept: it matters most when many balancers start at the same time.
    if (starts.size() > max_reconstructed) starts.erase(starts.begin() + max_reconstructed - 1, starts.end() - 1);
    for (const auto start : starts) {
        if (auto ranking = ranking_before(members, start)) result.previous.push_back({std::move(ranking), steady_now});
    }
    return result;
}

} // namespace tamarack
