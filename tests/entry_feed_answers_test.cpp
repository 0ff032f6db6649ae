// What a balancer answers to its followers, and when.
#define BOOST_TEST_MODULE entry_feed_answers
#include "entry/feed.h"
#include "entry_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace tamarack::entry;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t follower_limit = 3;

struct feed_fixture {
    replica     store_replica{1'000};
    feed        served_feed{store_replica, {.max_followers = follower_limit, .peer_port = 7720}, steady_time{}};
    steady_time now{1h};

    static feed_call call(std::uint64_t number, std::uint32_t follower = 1) {
        return {number, ip_address::v4(follower)};
    }
    // The store confirms the replica now.
    void load(std::vector<record> records) {
        store_replica.note_store_available(now);
        store_replica.apply_listing(records, at_revision(5), now);
    }
    feed_answer list(std::uint32_t follower = 1) {
        const auto answer = served_feed.list(call(1'000, follower), now);
        BOOST_REQUIRE(answer.has_value());
        return *answer;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(feeding, feed_fixture)

BOOST_AUTO_TEST_CASE(a_balancer_serves_followers_only_while_the_store_confirms_its_replica) {
    BOOST_TEST(
        (served_feed.resume(call(1), at_revision(0), now).status == feed_status::not_current)); // not synchronized yet
    load({configuration_record(1, 1), backend_record(2, registration_of(1))});
    const feed_answer listing = list();
    BOOST_TEST(listing.records.size() == 2U);
    BOOST_TEST(listing.revision.number == 5U);
    BOOST_TEST((served_feed.resume(call(2), at_revision(5), now + 3s).status == feed_status::ok));
    BOOST_TEST((served_feed.resume(call(3), at_revision(5), now + 3'200ms).status == feed_status::not_current));
}

// A watch that ends without a change says that there is none. A balancer that has lost the store must not say so.
BOOST_AUTO_TEST_CASE(a_watch_that_the_store_has_not_confirmed_is_refused) {
    load({backend_record(2, registration_of(1))});
    BOOST_TEST(!served_feed.watch(call(1), list().position, 2'300ms, now).has_value());
    BOOST_TEST(served_feed.poll(now + 2'200ms).empty());
    const auto answers = served_feed.poll(now + 2'300ms);
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST((answers.front().answer.status == feed_status::not_current));
}

// A feeder that has lost the store watches another one in short calls, between which it tries the store.
BOOST_AUTO_TEST_CASE(a_short_watch_ends_with_the_age_of_the_confirmation) {
    load({backend_record(2, registration_of(1))});
    BOOST_TEST(!served_feed.watch(call(1), list().position, 300ms, now).has_value());
    const auto answers = served_feed.poll(now + 300ms);
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST((answers.front().answer.status == feed_status::ok));
    BOOST_TEST((answers.front().answer.confirmation_age == 300ms));
}

// Confirmations reach all levels of the tree at once; with a wait at each level they would be too old at the third.
BOOST_AUTO_TEST_CASE(a_waiting_follower_gets_each_confirmation_of_the_store) {
    load({backend_record(2, registration_of(1))});
    served_feed.watch(call(1), list().position, 2'300ms, now);
    store_replica.note_store_available(now + 500ms, 40ms, 3);
    const auto answers = served_feed.poll(now + 500ms);
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST((answers.front().answer.status == feed_status::ok));
    BOOST_TEST(answers.front().answer.records.empty());
    BOOST_TEST((answers.front().answer.confirmation_age == 40ms));
    BOOST_TEST(answers.front().answer.distance == 4U);
}

BOOST_AUTO_TEST_CASE(a_waiting_follower_gets_a_change_immediately) {
    load({backend_record(2, registration_of(1))});
    now += 5s; // no removals are held
    store_replica.note_store_available(now);
    served_feed.watch(call(1), list().position, 1s, now);
    store_replica.apply(removal_record(7, 1), now);
    const auto changed = served_feed.poll(now);
    BOOST_REQUIRE(changed.size() == 1U);
    BOOST_REQUIRE(changed.front().answer.records.size() == 1U);
    BOOST_TEST(std::holds_alternative<removed_record>(changed.front().answer.records.front().content));
}

// All hosts start together: a feeder is asked for a listing before it has read its own.
BOOST_AUTO_TEST_CASE(a_listing_waits_for_the_first_listing_of_the_feeder) {
    BOOST_TEST(!served_feed.list(call(1), now).has_value());
    BOOST_TEST(served_feed.poll(now).empty());
    load({backend_record(2, registration_of(1))});
    const auto listed = served_feed.poll(now);
    BOOST_REQUIRE(listed.size() == 1U);
    BOOST_TEST(listed.front().answer.records.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_listing_is_refused_if_the_feeder_does_not_synchronize) {
    BOOST_TEST(!served_feed.list(call(1), now).has_value());
    const auto refused = served_feed.poll(now + 300ms);
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused.front().answer.status == feed_status::not_current));
}

// A follower that has read from another source must get all records that are newer than its own, and no others.
BOOST_AUTO_TEST_CASE(a_feeder_returns_the_changes_after_a_revision) {
    store_replica.note_store_available(now - 1min);
    load({configuration_record(1, 1), backend_record(2, registration_of(1)), backend_record(3, registration_of(2)),
          feeder_record(4, "x", "north", 0, 7)});
    store_replica.apply(removal_record(6, 1), now);
    store_replica.apply(backend_record(7, registration_of(3)), now);
    store_replica.set_complete_revision(at_revision(7));
    BOOST_TEST((served_feed.resume(call(1), at_revision(4), now).status ==
                feed_status::history_dropped)); // before the listing
    const feed_answer answer = served_feed.resume(call(1), at_revision(5), now);
    BOOST_TEST(answer.records.size() == 2U);
    BOOST_TEST(answer.revision.number == 7U);
    BOOST_TEST(answer.position == store_replica.generation());
    BOOST_TEST(served_feed.resume(call(2), at_revision(7), now).records.empty());
    const auto resume_later = [&](std::uint64_t revision, duration delay) {
        store_replica.expire(now + delay);
        store_replica.note_store_available(now + delay);
        return served_feed.resume(call(3), at_revision(revision), now + delay);
    };
    BOOST_TEST(resume_later(5, 2min).records.size() == 2U); // forgets the backend server, but not its removal
    BOOST_TEST((resume_later(5, 20min).status == feed_status::history_dropped));
    BOOST_TEST((resume_later(6, 20min).status == feed_status::ok));
}

// This balancer has listed from a source that holds removals of an outage, so that it is complete up to an early
// revision only. A follower that has read the store itself still knows a backend server that has left since, and no
// later change names it: the listing must tell that it is gone.
BOOST_AUTO_TEST_CASE(a_listing_tells_a_follower_of_the_keys_that_the_balancers_source_lacked) {
    store_replica.note_store_available(now);
    store_replica.apply_listing(std::vector{backend_record(2, registration_of(1))}, at_revision(28), now,
                                at_revision(0));
    const feed_answer listing = list();
    BOOST_TEST(listing.revision.number == 0U);
    BOOST_TEST(listing.listed_revision.number == 28U);

    replica follower;
    follower.note_store_available(now - 1min);
    follower.apply_listing(std::vector{backend_record(2, registration_of(1)), backend_record(5, registration_of(3))},
                           at_revision(27), now);
    follower.apply_listing(listing.records, listing.listed_revision, now, listing.revision);
    BOOST_TEST(follower.find_backend(reference_of(1))->takes_new_flows());
    BOOST_TEST(!follower.find_backend(reference_of(3))->takes_new_flows());
}

// If a feeder stops while it holds a removal, its followers must still learn of the removal from the store or another
// feeder.
// Hypothesis 3 of the incident of issue 24: a revision of one epoch is no position in another, whichever is the later
// one.
BOOST_AUTO_TEST_CASE(a_follower_does_not_resume_at_a_balancer_in_another_epoch) {
    store_replica.note_store_available(now);
    load({backend_record(2, registration_of(1))});
    BOOST_TEST((served_feed.resume(call(1), {1, 5}, now).status == feed_status::ok));
    BOOST_TEST((served_feed.resume(call(1), {2, 5}, now).status == feed_status::not_current));
    store_replica.apply_listing(std::vector{backend_record(2, registration_of(1))}, {2, 5}, now);
    BOOST_TEST((served_feed.resume(call(1), {1, 5}, now).status == feed_status::history_dropped));
    BOOST_TEST((served_feed.resume(call(1), {2, 5}, now).status == feed_status::ok));
}

BOOST_AUTO_TEST_CASE(a_held_removal_is_not_covered_by_the_revision_of_an_answer) {
    store_replica.note_store_available(now - 1min);
    load({backend_record(2, registration_of(1))});
    store_replica.note_store_unavailable();
    store_replica.note_store_available(now);
    store_replica.apply(removal_record(7, 1), now);
    store_replica.set_complete_revision(at_revision(9));
    BOOST_TEST(list().revision.number == 6U);
    BOOST_TEST(served_feed.resume(call(1), at_revision(5), now).records.empty());
    now += 5s;
    store_replica.note_store_available(now);
    store_replica.expire(now);
    store_replica.note_store_available(now);
    const feed_answer answer = served_feed.resume(call(1), at_revision(6), now);
    BOOST_TEST(answer.revision.number == 9U);
    BOOST_REQUIRE(answer.records.size() == 1U);
    BOOST_TEST(std::holds_alternative<removed_record>(answer.records.front().content));
}

// A change must be encoded once for all followers, not once per follower.
BOOST_AUTO_TEST_CASE(followers_at_the_same_position_share_an_answer) {
    load({backend_record(2, registration_of(1))});
    for (std::uint32_t follower = 1; follower <= follower_limit; ++follower)
        served_feed.watch(call(follower, follower), list().position, 1s, now);
    store_replica.apply(backend_record(7, registration_of(3)), now);
    const auto due = served_feed.poll(now);
    BOOST_REQUIRE(due.size() == 1U);
    BOOST_TEST(due.front().calls.size() == follower_limit);
    BOOST_TEST(due.front().answer.records.size() == 1U);
    BOOST_TEST(served_feed.poll(now + 10s).empty());
}

// A restarted feeder cannot interpret the positions of the earlier process.
BOOST_AUTO_TEST_CASE(a_position_of_an_earlier_process_leads_to_a_listing) {
    load({});
    BOOST_TEST((served_feed.watch(call(1), 123, 1s, now)->status == feed_status::history_dropped));
    BOOST_TEST((served_feed.watch(call(1), 99'999, 1s, now)->status == feed_status::history_dropped));
}

// The load of a balancer must not grow with the fleet: further balancers read from its followers.
BOOST_AUTO_TEST_CASE(a_balancer_names_its_followers_to_those_that_it_cannot_serve) {
    load({});
    for (std::uint32_t follower = 1; follower <= follower_limit; ++follower)
        BOOST_TEST((served_feed.resume(call(follower, follower), at_revision(5), now).status == feed_status::ok));
    const feed_answer answer = served_feed.resume(call(9, 9), at_revision(5), now);
    BOOST_TEST((answer.status == feed_status::full));
    BOOST_REQUIRE(answer.followers.size() == follower_limit);
    BOOST_TEST((answer.followers.front() == endpoint{ip_address::v4(1), 7720}));
    BOOST_TEST((served_feed.list(call(9, 9), now)->status == feed_status::full));
    BOOST_TEST((served_feed.watch(call(9, 9), 1'000, 1s, now)->status == feed_status::full));
    BOOST_TEST((served_feed.resume(call(2, 2), at_revision(5), now).status == feed_status::ok)); // it keeps its place
}

BOOST_AUTO_TEST_CASE(the_place_of_a_follower_that_is_gone_is_given_to_another) {
    load({});
    for (std::uint32_t follower = 1; follower <= follower_limit; ++follower)
        served_feed.resume(call(follower, follower), at_revision(5), now);
    now += 3s;
    store_replica.note_store_available(now);
    BOOST_TEST((served_feed.resume(call(9, 9), at_revision(5), now).status == feed_status::full));
    now += 2s;
    store_replica.note_store_available(now);
    BOOST_TEST((served_feed.resume(call(9, 9), at_revision(5), now).status == feed_status::ok));
}

BOOST_AUTO_TEST_SUITE_END()

// Two balancers that have both lost the store and read from each other must not keep each other current.
BOOST_AUTO_TEST_CASE(balancers_that_read_from_each_other_do_not_stay_current) {
    steady_time now{1h};
    replica     first(1'000);
    replica     second(2'000);
    feed        first_feed(first, {}, now);
    feed        second_feed(second, {}, now);
    for (replica* each : {&first, &second}) {
        each->note_store_available(now);
        each->apply_listing({}, at_revision(5), now);
    }
    const auto copy_confirmation = [&](feed& source, replica& follower) {
        const feed_answer answer = source.resume({1, ip_address::v4(1)}, at_revision(5), now);
        if (answer.status != feed_status::ok) return;
        follower.note_store_available(now, answer.confirmation_age, answer.distance);
    };
    const steady_time lost_at = now;
    while (first.is_current(now) || second.is_current(now)) {
        now += 50ms;
        copy_confirmation(first_feed, second);
        copy_confirmation(second_feed, first);
        BOOST_REQUIRE((now - lost_at <= max_confirmation_age + 50ms));
    }
}
