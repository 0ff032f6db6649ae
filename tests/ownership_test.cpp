// Tests of ownership: guards against uneven shares, buckets that move without need, and a second holder in the owner's
// failure domain.
#define BOOST_TEST_MODULE ownership
#include "tamarack/ownership.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace tamarack;

namespace {

std::vector<member> members_in(std::size_t count, std::size_t domains) {
    std::vector<member> members(count);
    for (std::size_t i = 0; i < count; ++i) {
        members[i].id = static_cast<member_id>(i + 1);
        members[i].failure_domain = std::to_string(i % domains);
    }
    return members;
}

} // namespace

BOOST_AUTO_TEST_CASE(shares_are_even) {
    const ownership                                 ranking(members_in(267, 16));
    std::map<member_id, std::array<std::size_t, 2>> shares; // as owner, as second holder
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket) {
        BOOST_REQUIRE(ranking.holders_of(bucket).ranks.back() != 0);
        ++shares[ranking.holders_of(bucket).owner()][0];
        ++shares[ranking.holders_of(bucket).second][1];
    }
    BOOST_TEST(shares.size() == 267U);
    // The average is 61 and the standard deviation 8; all shares must be within 5 standard deviations.
    for (const auto& [id, share] : shares)
        BOOST_TEST((std::min(share[0], share[1]) > 21 && std::max(share[0], share[1]) < 101), "member " << id);
}

BOOST_AUTO_TEST_CASE(the_second_holder_is_the_best_rank_in_another_domain) {
    // 20 of 22 members share a domain, so that the best of the other two often ranks below the ranks kept.
    std::vector<member> members = members_in(22, 1);
    members[20].failure_domain = members[21].failure_domain = "other";
    const ownership ranking(members);
    const ownership others({members.begin() + 20, members.end()});
    const ownership single_domain({members.begin(), members.begin() + 20});
    std::size_t     beyond_kept_ranks = 0;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket) {
        const holders& entry = ranking.holders_of(bucket);
        const bool     owner_is_other = entry.owner() > 20;
        beyond_kept_ranks += std::count(entry.ranks.begin(), entry.ranks.end(), entry.second) == 0 ? 1 : 0;
        BOOST_REQUIRE(entry.second == (owner_is_other ? single_domain : others).holders_of(bucket).owner());
        BOOST_REQUIRE(single_domain.holders_of(bucket).second == single_domain.holders_of(bucket).ranks[1]);
    }
    BOOST_TEST(beyond_kept_ranks > bucket_count / 2);
}

BOOST_AUTO_TEST_CASE(only_the_buckets_of_a_lost_member_change) {
    std::vector<member> members = members_in(40, 4);
    const ownership     before(members);
    members[3].state = member_state::dead;
    members[5].state = member_state::leaving;
    members[6].state = member_state::suspect;     // still ranked
    std::reverse(members.begin(), members.end()); // the result must not depend on the order
    const ownership after(members);
    BOOST_TEST(after.member_count() == 38U);
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket) {
        const auto&            old = before.holders_of(bucket).ranks;
        std::vector<member_id> remaining;
        std::copy_if(old.begin(), old.end(), std::back_inserter(remaining),
                     [](member_id id) { return id != 4 && id != 6; });
        BOOST_REQUIRE(std::equal(remaining.begin(), remaining.end(), after.holders_of(bucket).ranks.begin()));
    }
    BOOST_TEST((ownership({}).holders_of(0) == holders{}));
    BOOST_TEST((ownership(members_in(1, 1)).holders_of(0) == holders{{1, 0, 0, 0}, 0}));
}

BOOST_AUTO_TEST_CASE(history_keeps_replaced_rankings_for_their_lifetime) {
    const auto        rank = [](std::size_t count) { return std::make_shared<const ownership>(members_in(count, 3)); };
    const auto        three = rank(3);
    const auto        four = rank(4);
    const steady_time start{std::chrono::hours(1)};
    const steady_time changed = start + std::chrono::seconds(2);
    ownership_history history = advance({}, three, start);
    history = advance(history, rank(3), changed); // equal: nothing changes
    BOOST_TEST((history.present == three && history.present_since == start && history.previous.empty()));
    history = advance(history, four, changed);
    BOOST_TEST((history.present == four && history.present_since == changed));
    history = advance(history, four, changed + previous_ranking_lifetime - duration(1));
    BOOST_TEST((history.previous.size() == 1 && history.previous[0].ranking == three));
    BOOST_TEST(advance(history, four, changed + previous_ranking_lifetime).previous.empty());
    for (std::size_t i = 0; i < max_previous_rankings + 5; ++i)
        history = advance(history, i % 2 == 0 ? three : four, changed);
    BOOST_TEST(
        (history.previous.size() == max_previous_rankings && history.previous[0].ranking == four)); // newest first
}
