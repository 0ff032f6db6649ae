// Ownership: guards against uneven shares, against buckets that move without need, and against a second holder in the
// owner's failure domain.
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
        members[i].failure_domain = "domain-" + std::to_string(i % domains);
    }
    return members;
}

std::shared_ptr<const ownership> rank(const std::vector<member>& members) {
    return std::make_shared<const ownership>(members);
}

} // namespace

BOOST_AUTO_TEST_CASE(shares_are_even) {
    const ownership                  ranking(members_in(267, 16));
    std::map<member_id, std::size_t> owned;
    std::map<member_id, std::size_t> second;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket) {
        ++owned[ranking.of(bucket).owner()];
        ++second[ranking.of(bucket).second];
    }
    BOOST_TEST(owned.size() == 267U);
    BOOST_TEST(second.size() == 267U);
    // 61 on average with a standard deviation of 8: within 5 of these.
    for (const auto& [id, buckets] : owned)
        BOOST_TEST((buckets > 61 - 5 * 8 && buckets < 61 + 5 * 8), "member " << id << " owns " << buckets);
}

BOOST_AUTO_TEST_CASE(the_second_holder_is_the_best_rank_in_another_domain) {
    // 20 of 22 members share a domain, so that the others are often beyond the ranks kept.
    std::vector<member> members = members_in(22, 1);
    members[20].failure_domain = members[21].failure_domain = "other";
    const ownership ranking(members);
    std::size_t     beyond = 0;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket) {
        const holders& entry = ranking.of(bucket);
        BOOST_REQUIRE((entry.second != entry.owner() && (entry.second > 20) != (entry.owner() > 20)));
        if (std::find(entry.ranks.begin(), entry.ranks.end(), entry.second) == entry.ranks.end()) ++beyond;
        // In the ranking without the owner's domain the second holder is the owner.
        if (entry.owner() <= 20) {
            const std::vector<member> others(members.begin() + 20, members.end());
            static const ownership    without_domain(others);
            BOOST_REQUIRE(without_domain.of(bucket).owner() == entry.second);
        }
    }
    BOOST_TEST(beyond > bucket_count / 2);
    const ownership single_domain(members_in(5, 1));
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket)
        BOOST_REQUIRE(single_domain.of(bucket).second == single_domain.of(bucket).ranks[1]);
}

BOOST_AUTO_TEST_CASE(only_the_buckets_of_a_lost_member_change_owner) {
    std::vector<member> members = members_in(9, 4);
    const ownership     before(members);
    members[3].state = member_state::dead;
    members[5].state = member_state::leaving;
    members[6].state = member_state::suspect;     // still ranked
    std::reverse(members.begin(), members.end()); // members learn of each other in any order
    const ownership after(members);
    BOOST_TEST(after.member_count() == 7U);
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket) {
        const auto&            old = before.of(bucket).ranks;
        std::vector<member_id> remaining;
        std::copy_if(old.begin(), old.end(), std::back_inserter(remaining),
                     [](member_id id) { return id != 4 && id != 6; });
        BOOST_REQUIRE(std::equal(remaining.begin(), remaining.end(), after.of(bucket).ranks.begin()));
    }
}

BOOST_AUTO_TEST_CASE(few_members_leave_ranks_empty) {
    const ownership none({});
    BOOST_TEST(none.of(0).owner() == 0U);
    const ownership one(members_in(1, 1));
    BOOST_TEST(one.of(5).owner() == 1U);
    BOOST_TEST(one.of(5).ranks[1] == 0U);
    BOOST_TEST(one.of(5).second == 0U);
}

BOOST_AUTO_TEST_CASE(history_keeps_replaced_rankings_for_their_lifetime) {
    const steady_time start{std::chrono::hours(1)};
    const auto        three = rank(members_in(3, 3));
    const auto        four = rank(members_in(4, 3));
    ownership_history history = advance({}, three, start);
    BOOST_TEST((history.present == three && history.previous.empty()));

    history = advance(history, rank(members_in(3, 3)), start + std::chrono::seconds(1));
    BOOST_TEST((history.present == three && history.present_since == start)); // equal: nothing changes

    const steady_time changed = start + std::chrono::seconds(2);
    history = advance(history, four, changed);
    BOOST_TEST((history.present == four && history.present_since == changed));
    BOOST_TEST((history.previous.size() == 1 && history.previous[0].ranking == three));

    history = advance(history, four, changed + previous_view_lifetime - duration(1));
    BOOST_TEST(history.previous.size() == 1U);
    history = advance(history, four, changed + previous_view_lifetime);
    BOOST_TEST(history.previous.empty());

    for (std::size_t i = 0; i < max_previous + 5; ++i)
        history = advance(history, i % 2 == 0 ? three : four, changed);
    BOOST_TEST(history.previous.size() == max_previous);
    BOOST_TEST((history.previous[0].ranking == four)); // newest first
}
