// Which balancers hold the placement of a flow: a ranking of the members for each bucket of flow keys.
//
// Immutable once built; the control thread builds a new one when the members change and publishes it.
#pragma once

#include "tamarack/packet.h"

namespace tamarack {

// 61 buckets for each of 267 members: ownership shares differ by about 13%, and building takes milliseconds.
inline constexpr std::size_t bucket_count = 16'384;
inline constexpr std::size_t ranks_kept = 4;

std::size_t bucket_of(const flow_key& key);

// Members responsible for a bucket. 0 stands for none.
struct holders {
    std::array<member_id, ranks_kept> ranks{};    // best first; [0] is the owner
    member_id                         second = 0; // best rank in another failure domain, else rank 2

    member_id   owner() const { return ranks[0]; }
    friend bool operator==(const holders&, const holders&) = default;
};

class ownership {
public:
    // Ranks the members that are alive or suspect; leaving and dead members own nothing.
    explicit ownership(std::span<const member> members);
    ~ownership();
    ownership(const ownership&) = delete;
    ownership& operator=(const ownership&) = delete;
    ownership(ownership&&) noexcept;
    ownership& operator=(ownership&&) noexcept;

    const holders& of(std::size_t bucket) const;
    std::size_t    member_count() const; // ranked members

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

// The present ranking with the ones that it replaced, newest first.
struct ownership_history {
    struct entry {
        std::shared_ptr<const ownership> ranking;
        steady_time                      replaced{};
    };
    std::shared_ptr<const ownership> present;
    steady_time                      present_since{};
    std::vector<entry>               previous; // replaced less than previous_view_lifetime ago; at most max_previous
};

inline constexpr duration    previous_view_lifetime = std::chrono::seconds(60);
inline constexpr std::size_t max_previous = 16;

// Makes the new ranking present if it differs from the old one in any bucket; drops the ones that are too old.
ownership_history advance(const ownership_history& history, std::shared_ptr<const ownership> next, steady_time now);

// History for a balancer that has just started: the views before the recent starts, told by the members' incarnations.
// Without it, several balancers that start together would not know whom to ask for the placements of their buckets.
ownership_history reconstruct_history(std::span<const member> members, wall_time now, steady_time steady_now);

} // namespace tamarack
