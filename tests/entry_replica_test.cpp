// Merging of records: order, outages of the store, lapsed registrations, ambiguous references.
#define BOOST_TEST_MODULE entry_replica
#include "entry_fixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <rapidcheck.h>

using namespace tamarack;
using namespace tamarack::entry;
using namespace std::chrono_literals;

namespace {

constexpr steady_time start{1h};

replica steady_replica() {
    replica known;
    known.store_returned(start - 1min);
    return known;
}

} // namespace

BOOST_AUTO_TEST_CASE(records_may_come_in_any_order) {
    const bool passed = rc::check("the last revision of each key wins", [] {
        const auto          count = *rc::gen::inRange<std::uint64_t>(1, 12);
        std::vector<record> records;
        for (std::uint64_t revision = 1; revision <= count; ++revision) {
            auto registration = registration_of(*rc::gen::inRange<std::uint64_t>(1, 4));
            registration.slots = static_cast<std::uint32_t>(revision);
            const bool gone = *rc::gen::inRange(0, 3) == 0;
            records.push_back(gone ? removal(revision, registration.identity) : backend_record(revision, registration));
        }
        auto shuffled = records;
        std::shuffle(shuffled.begin(), shuffled.end(), std::mt19937(*rc::gen::arbitrary<unsigned>()));
        replica in_order = steady_replica();
        replica mixed = steady_replica();
        for (const record& item : records)
            in_order.apply(item, start);
        for (const record& item : shuffled)
            mixed.apply(item, start);
        for (std::uint64_t identity = 1; identity < 4; ++identity) {
            const known_backend* left = in_order.find(reference_of(identity));
            const known_backend* right = mixed.find(reference_of(identity));
            const bool           left_live = left != nullptr && !left->removed_at;
            const bool           right_live = right != nullptr && !right->removed_at;
            RC_ASSERT(left_live == right_live);
            if (left_live) RC_ASSERT(left->registration.slots == right->registration.slots);
        }
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(the_configuration_never_goes_back) {
    replica known = steady_replica();
    known.apply(configuration_record(5, 9), start);
    BOOST_TEST((known.apply(configuration_record(4, 10), start) == replica_change::none));
    BOOST_TEST((known.apply(configuration_record(6, 8), start) == replica_change::none));
    BOOST_TEST(known.routing()->version == 9U);
}

BOOST_AUTO_TEST_CASE(a_listing_without_a_key_removes_it) {
    replica known = steady_replica();
    known.apply(backend_record(3, registration_of(1)), start);
    known.apply(backend_record(8, registration_of(2)), start); // made after the listing
    known.apply_snapshot({}, 5, start);
    BOOST_TEST(known.find(reference_of(1))->removed_at.has_value());
    BOOST_TEST(!known.find(reference_of(2))->removed_at.has_value());
}

// The store lets registrations lapse while it is away; their backend servers live and register again.
BOOST_AUTO_TEST_CASE(registrations_that_lapse_during_an_outage_are_held) {
    replica known = steady_replica();
    known.apply(backend_record(3, registration_of(1)), start);
    known.store_lost();
    known.store_returned(start + 5s);
    BOOST_TEST((known.apply(removal(7, 1), start + 5s) == replica_change::removal_held));
    BOOST_TEST(known.backends_of("desk").size() == 1U);
    known.apply(backend_record(8, registration_of(1)), start + 6s);
    known.expire(start + 20s);
    BOOST_TEST(known.backends_of("desk").size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_lapsed_registration_that_does_not_come_back_is_gone) {
    replica known = steady_replica();
    known.apply(backend_record(3, registration_of(1)), start);
    known.store_lost();
    known.store_returned(start + 5s);
    known.apply_snapshot({}, 7, start + 5s);
    known.expire(start + 5s + removal_hold);
    BOOST_TEST(known.backends_of("desk").empty());
}

// A second outage during the hold must not end it.
BOOST_AUTO_TEST_CASE(a_hold_starts_again_with_the_stores_second_return) {
    replica known = steady_replica();
    known.apply(backend_record(3, registration_of(1)), start);
    known.store_lost();
    known.store_returned(start + 1s);
    known.apply(removal(7, 1), start + 1s);
    known.store_lost();
    known.expire(start + 10s);
    BOOST_TEST(known.backends_of("desk").size() == 1U);
    known.store_returned(start + 10s);
    known.expire(start + 11s);
    BOOST_TEST(known.backends_of("desk").size() == 1U);
    known.expire(start + 10s + removal_hold);
    BOOST_TEST(known.backends_of("desk").empty());
}

// It gets no new flows in any case, and the packets of its open flows must still reach it.
BOOST_AUTO_TEST_CASE(a_draining_registration_that_lapses_is_held_for_its_flows) {
    replica known = steady_replica();
    auto    leaving = registration_of(1);
    leaving.state = backend_state::draining;
    known.apply(backend_record(3, leaving), start);
    known.store_lost();
    known.store_returned(start + 5s);
    BOOST_TEST((known.apply(removal(7, 1), start + 5s) == replica_change::removal_held));
    BOOST_TEST(known.backends_of("desk").empty());
    BOOST_TEST(!known.find(reference_of(1))->removed_at.has_value());
}

BOOST_AUTO_TEST_CASE(a_record_that_cannot_be_read_takes_no_new_flows_and_keeps_its_flows) {
    replica known = steady_replica();
    known.apply(backend_record(3, registration_of(1)), start);
    known.apply({"backend/1", 4, unusable_record{"not JSON"}, "x"}, start);
    BOOST_TEST(known.backends_of("desk").empty());
    BOOST_TEST(known.find(reference_of(1)) != nullptr);
    known.apply(backend_record(5, registration_of(1)), start);
    BOOST_TEST(known.backends_of("desk").size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_removed_backend_server_is_forgotten_after_the_longest_flow) {
    replica known = steady_replica();
    known.apply(backend_record(3, registration_of(1)), start);
    known.apply(removal(4, 1), start);
    known.expire(start + 61s);
    BOOST_TEST(known.find(reference_of(1)) == nullptr);
    BOOST_TEST((known.apply(backend_record(3, registration_of(1)), start + 62s) == replica_change::none));
}

BOOST_AUTO_TEST_CASE(followers_get_what_is_newer_without_held_removals) {
    replica known = steady_replica();
    known.apply(configuration_record(2, 1), start);
    known.apply(backend_record(3, registration_of(1)), start);
    known.apply(backend_record(4, registration_of(2)), start);
    known.apply(removal(5, 2), start);
    BOOST_TEST(known.changes_after(known.generation())->empty());
    BOOST_TEST(known.changes_after(1)->size() == 2U); // all but the configuration, which came first
    known.store_lost();
    known.apply(removal(6, 1), start);
    const auto all = known.changes_after(0).value();
    for (const record& item : all)
        BOOST_TEST((item.key != "backend/1" || std::holds_alternative<backend_registration>(item.content)));
    // The removal takes effect, and only then is news.
    const std::uint64_t before = known.generation();
    known.store_returned(start + 1s);
    known.expire(start + 10s);
    const auto news = known.changes_after(before).value();
    BOOST_REQUIRE(news.size() == 1U);
    BOOST_TEST(std::holds_alternative<removed_record>(news.front().content));
}

// Records of several sources come in any order: an older registration must not undo a removal that is held.
BOOST_AUTO_TEST_CASE(an_older_registration_does_not_end_a_held_removal) {
    replica known = steady_replica();
    known.apply(backend_record(3, registration_of(1)), start);
    known.store_lost();
    known.store_returned(start);
    known.apply(removal(8, 1), start);
    known.apply(backend_record(6, registration_of(1)), start);
    known.expire(start + 5s);
    BOOST_TEST(known.find(reference_of(1))->removed_at.has_value());
    BOOST_TEST((known.apply(backend_record(7, registration_of(1)), start + 5s) == replica_change::none));
}

// A balancer that runs for months must not remember each backend server that ever left.
BOOST_AUTO_TEST_CASE(old_removals_are_forgotten_and_followers_behind_them_list_again) {
    replica known = steady_replica();
    known.apply(backend_record(3, registration_of(1)), start);
    const std::uint64_t before = known.generation();
    known.apply(removal(4, 1), start);
    const std::uint64_t after = known.generation();
    known.expire(start + 61s);
    BOOST_TEST(known.changes_after(before).has_value());
    known.expire(start + 12min);
    BOOST_TEST(!known.changes_after(before).has_value());
    BOOST_TEST(known.records().empty());
    // What is newer is still given as changes.
    const std::uint64_t present = known.generation();
    BOOST_TEST(present >= after);
    known.apply(backend_record(9, registration_of(2)), start + 12min);
    BOOST_TEST(known.changes_after(present).value().size() == 1U);
}

// The time of a listing must grow with its size, not with its square: 13,000 records took a minute.
BOOST_AUTO_TEST_CASE(a_listing_of_thousands_of_backend_servers_is_taken_at_once) {
    replica             known = steady_replica();
    std::vector<record> records;
    for (std::uint64_t identity = 1; identity <= 13'000; ++identity)
        records.push_back(backend_record(identity, registration_of(identity)));
    const auto begin = std::chrono::steady_clock::now();
    known.apply_snapshot(records, 20'000, start);
    BOOST_TEST(known.backends_of("desk").size() >= 12'999U);
    BOOST_TEST((std::chrono::steady_clock::now() - begin < 2s));
}

BOOST_AUTO_TEST_CASE(references_are_never_zero_and_rarely_meet) {
    std::map<backend_reference, int> seen;
    for (std::uint64_t identity = 0; identity < 13'000; ++identity)
        ++seen[reference_of(identity)];
    BOOST_TEST(seen.count(0) == 0U);
    BOOST_TEST(seen.size() >= 12'999U);
}
