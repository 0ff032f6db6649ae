// Assigns flows to the balancers that hold their placements: a ranking of the members for each bucket of flow keys.
//
// Rankings are immutable; the control thread builds and publishes a new one when the members change.
#pragma once

#include "tamarack/packet.h"

namespace tamarack {

// 61 buckets per member at 267 members: ownership shares vary by about 13%, and building a ranking takes milliseconds.
inline constexpr std::size_t bucket_count = 16'384;
inline constexpr std::size_t ranks_kept = 4;

std::size_t bucket_of(const flow_key& key);

// Members responsible for a bucket; 0: none.
struct holders {
    std::array<member_id, ranks_kept> ranks{};    // best first; [0] is the owner
    member_id                         second = 0; // second holder: best rank in another failure domain, else ranks[1]

    member_id   owner() const { return ranks[0]; }
    friend bool operator==(const holders&, const holders&) = default;
};

class ownership {
public:
    // Ranks the members that are alive or suspect. Leaving and dead members own no buckets.
    explicit ownership(std::span<const member> members);
    ~ownership();
    ownership(const ownership&) = delete;
    ownership& operator=(const ownership&) = delete;
    ownership(ownership&&) noexcept;
    ownership& operator=(ownership&&) noexcept;

    const holders& holders_of(std::size_t bucket) const;
    std::size_t    member_count() const; // ranked members

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

// The present ranking and the ones that it replaced in the last previous_ranking_lifetime, at most
// max_previous_rankings.
struct ownership_history {
    struct entry {
        std::shared_ptr<const ownership> ranking;
        steady_time                      replaced_at{};
    };
    std::shared_ptr<const ownership> present;
    steady_time                      present_since{};
    std::vector<entry>               previous; // newest first
};

inline constexpr duration    previous_ranking_lifetime = std::chrono::seconds(60);
inline constexpr std::size_t max_previous_rankings = 16;

// Returns the history with next as the present ranking, if it differs from the present one in any bucket. Drops
// previous rankings that are older than previous_ranking_lifetime.
ownership_history advance(const ownership_history& history, std::shared_ptr<const ownership> next, steady_time now);

// History for a balancer that has just started: the rankings before the recent starts of members, derived from their
// incarnations. Without it, balancers that start at the same time would not know which members to ask for the
// placements of their buckets.
ownership_history reconstruct_history(std::span<const member> members, wall_time now, steady_time steady_now);

} // namespace tamarack
