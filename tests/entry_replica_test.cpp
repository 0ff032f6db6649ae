// Merging of store records into the replica: order of arrival, outages of the store, expired registrations, and
// forgotten removals.
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

replica synchronized_replica() {
    replica store_replica;
    store_replica.note_store_available(start - 1min);
    return store_replica;
}

} // namespace

BOOST_AUTO_TEST_CASE(records_may_arrive_in_any_order) {
    const bool passed = rc::check("the last revision of each key wins", [] {
        const auto          count = *rc::gen::inRange<std::uint64_t>(1, 12);
        std::vector<record> records;
        for (std::uint64_t revision = 1; revision <= count; ++revision) {
            auto registration = registration_of(*rc::gen::inRange<std::uint64_t>(1, 4));
            registration.slots = static_cast<std::uint32_t>(revision);
            const bool is_removal = *rc::gen::inRange(0, 3) == 0;
            records.push_back(is_removal ? removal_record(revision, registration.identity)
                                         : backend_record(revision, registration));
        }
        auto shuffled_records = records;
        std::shuffle(shuffled_records.begin(), shuffled_records.end(), std::mt19937(*rc::gen::arbitrary<unsigned>()));
        replica in_order = synchronized_replica();
        replica out_of_order = synchronized_replica();
        for (const record& item : records)
            in_order.apply(item, start);
        for (const record& item : shuffled_records)
            out_of_order.apply(item, start);
        for (std::uint64_t identity = 1; identity < 4; ++identity) {
            const known_backend* expected = in_order.find_backend(reference_of(identity));
            const known_backend* actual = out_of_order.find_backend(reference_of(identity));
            const bool           expected_is_live = expected != nullptr && !expected->removed_at;
            const bool           actual_is_live = actual != nullptr && !actual->removed_at;
            RC_ASSERT(expected_is_live == actual_is_live);
            if (expected_is_live) RC_ASSERT(expected->registration.slots == actual->registration.slots);
        }
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(the_configuration_never_reverts_to_an_older_version) {
    replica store_replica = synchronized_replica();
    store_replica.apply(configuration_record(5, 9), start);
    BOOST_TEST((store_replica.apply(configuration_record(4, 10), start) == replica_change::none));
    BOOST_TEST((store_replica.apply(configuration_record(6, 8), start) == replica_change::none));
    BOOST_TEST(store_replica.routing()->version == 9U);
}

BOOST_AUTO_TEST_CASE(a_key_that_is_missing_in_a_listing_is_removed) {
    replica store_replica = synchronized_replica();
    store_replica.apply(backend_record(3, registration_of(1)), start);
    store_replica.apply(backend_record(8, registration_of(2)), start); // created after the listing
    store_replica.apply_listing({}, at_revision(5), start);
    BOOST_TEST(store_replica.find_backend(reference_of(1))->removed_at.has_value());
    BOOST_TEST(!store_replica.find_backend(reference_of(2))->removed_at.has_value());
}

// Registrations expire during an outage of the store although their backend servers are alive and register again. The
// expiry must not take them out of use.
BOOST_AUTO_TEST_CASE(registrations_that_expire_during_an_outage_are_held) {
    replica store_replica = synchronized_replica();
    store_replica.apply(backend_record(3, registration_of(1)), start);
    store_replica.note_store_unavailable();
    store_replica.note_store_available(start + 5s);
    BOOST_TEST((store_replica.apply(removal_record(7, 1), start + 5s) == replica_change::removal_held));
    BOOST_TEST(store_replica.available_backends("desk").size() == 1U);
    store_replica.apply(backend_record(8, registration_of(1)), start + 6s);
    store_replica.expire(start + 20s);
    BOOST_TEST(store_replica.available_backends("desk").size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_expired_registration_is_removed_after_the_hold_time) {
    replica store_replica = synchronized_replica();
    store_replica.apply(backend_record(3, registration_of(1)), start);
    store_replica.note_store_unavailable();
    store_replica.note_store_available(start + 5s);
    store_replica.apply_listing({}, at_revision(7), start + 5s);
    store_replica.expire(start + 5s + removal_hold_time);
    BOOST_TEST(store_replica.available_backends("desk").size() == 1U); // not confirmed since
    store_replica.note_store_available(start + 5s + removal_hold_time);
    store_replica.expire(start + 5s + removal_hold_time);
    BOOST_TEST(store_replica.available_backends("desk").empty());
}

// After an outage a balancer's next call to the store got no answer for five seconds. It dropped all backend servers
// when the hold time was over, although they had registered again (hunt of aik-ops, clock-step-and-lapse).
BOOST_AUTO_TEST_CASE(backend_servers_stay_in_use_while_the_store_has_not_been_heard_after_the_hold_time) {
    replica store_replica = synchronized_replica();
    store_replica.apply(backend_record(3, registration_of(1)), start);
    store_replica.note_store_unavailable();
    store_replica.note_store_available(start + 5s);
    store_replica.apply(removal_record(7, 1), start + 5s);
    for (const duration later : {3s, 5s, 30s})
        BOOST_TEST(store_replica.expire(start + 5s + later) == 0U);
    store_replica.note_store_available(start + 40s, 33s); // through balancers, of a time within the hold
    BOOST_TEST(store_replica.expire(start + 40s) == 0U);
    store_replica.apply(backend_record(8, registration_of(1)), start + 41s);
    store_replica.note_store_available(start + 41s);
    BOOST_TEST(store_replica.expire(start + 41s) == 0U);
    BOOST_TEST(store_replica.available_backends("desk").size() == 1U);
}

// A second outage during the hold time must not end the hold.
BOOST_AUTO_TEST_CASE(the_hold_time_starts_again_after_a_second_outage) {
    replica store_replica = synchronized_replica();
    store_replica.apply(backend_record(3, registration_of(1)), start);
    store_replica.note_store_unavailable();
    store_replica.note_store_available(start + 1s);
    store_replica.apply(removal_record(7, 1), start + 1s);
    store_replica.note_store_unavailable();
    store_replica.expire(start + 10s);
    BOOST_TEST(store_replica.available_backends("desk").size() == 1U);
    store_replica.note_store_available(start + 10s);
    store_replica.expire(start + 11s);
    BOOST_TEST(store_replica.available_backends("desk").size() == 1U);
    store_replica.note_store_available(start + 10s + removal_hold_time);
    store_replica.expire(start + 10s + removal_hold_time);
    BOOST_TEST(store_replica.available_backends("desk").empty());
}

// A draining backend server gets no new flows, but the packets of its open flows must still reach it when its
// registration expires during an outage.
BOOST_AUTO_TEST_CASE(an_expired_draining_registration_is_held_for_its_open_flows) {
    replica store_replica = synchronized_replica();
    auto    draining = registration_of(1);
    draining.state = backend_state::draining;
    store_replica.apply(backend_record(3, draining), start);
    store_replica.note_store_unavailable();
    store_replica.note_store_available(start + 5s);
    BOOST_TEST((store_replica.apply(removal_record(7, 1), start + 5s) == replica_change::removal_held));
    BOOST_TEST(store_replica.available_backends("desk").empty());
    BOOST_TEST(!store_replica.find_backend(reference_of(1))->removed_at.has_value());
}

BOOST_AUTO_TEST_CASE(an_unusable_record_stops_new_flows_and_keeps_open_flows) {
    replica store_replica = synchronized_replica();
    store_replica.apply(backend_record(3, registration_of(1)), start);
    store_replica.apply({"backend/1", at_revision(4), unusable_record{"not JSON"}, "x"}, start);
    BOOST_TEST(store_replica.available_backends("desk").empty());
    BOOST_TEST(store_replica.find_backend(reference_of(1)) != nullptr);
    store_replica.apply(backend_record(5, registration_of(1)), start);
    BOOST_TEST(store_replica.available_backends("desk").size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_removed_backend_server_is_forgotten_after_the_longest_flow_lifetime) {
    replica store_replica = synchronized_replica();
    store_replica.apply(backend_record(3, registration_of(1)), start);
    store_replica.apply(removal_record(4, 1), start);
    store_replica.expire(start + 61s);
    BOOST_TEST(store_replica.find_backend(reference_of(1)) == nullptr);
    BOOST_TEST((store_replica.apply(backend_record(3, registration_of(1)), start + 62s) == replica_change::none));
}

BOOST_AUTO_TEST_CASE(followers_get_newer_records_without_held_removals) {
    replica store_replica = synchronized_replica();
    store_replica.apply(configuration_record(2, 1), start);
    store_replica.apply(backend_record(3, registration_of(1)), start);
    store_replica.apply(backend_record(4, registration_of(2)), start);
    store_replica.apply(removal_record(5, 2), start);
    BOOST_TEST(store_replica.changes_after(store_replica.generation())->empty());
    BOOST_TEST(store_replica.changes_after(1)->size() == 2U); // all but the configuration, which came first
    store_replica.note_store_unavailable();
    store_replica.apply(removal_record(6, 1), start);
    const auto changes = store_replica.changes_after(0).value();
    for (const record& item : changes)
        BOOST_TEST((item.key != "backend/1" || std::holds_alternative<backend_registration>(item.content)));
    // The removal is reported as a change only when it takes effect.
    const std::uint64_t earlier_generation = store_replica.generation();
    store_replica.note_store_available(start + 1s);
    store_replica.note_store_available(start + 10s);
    store_replica.expire(start + 10s);
    const auto later_changes = store_replica.changes_after(earlier_generation).value();
    BOOST_REQUIRE(later_changes.size() == 1U);
    BOOST_TEST(std::holds_alternative<removed_record>(later_changes.front().content));
}

// What was held before an unreadable record must not apply after it: the revision of the key would go back, and a copy
// that the store was restored from would be used again.
BOOST_AUTO_TEST_CASE(an_unreadable_record_ends_what_was_held_before) {
    replica store_replica = synchronized_replica();
    store_replica.apply(backend_record(4, registration_of(1)), start);
    store_replica.note_store_unavailable();
    store_replica.apply(removal_record(7, 1), start + 5s);
    store_replica.apply({"backend/1", at_revision(8), unusable_record{"not JSON"}, "x"}, start + 6s);
    store_replica.note_store_available(start + 7s);
    store_replica.note_store_available(start + 10s);
    store_replica.expire(start + 10s);
    const known_backend* backend = store_replica.find_backend(reference_of(1));
    BOOST_REQUIRE(backend != nullptr);
    BOOST_TEST(!backend->removed_at.has_value());
    BOOST_TEST((backend->revision == at_revision(8)));

    backend_registration newer = registration_of(2);
    newer.report_number = 9;
    store_replica.apply(backend_record(9, newer), start + 11s);
    record copy = backend_record(0, registration_of(2)); // with an earlier report
    copy.revision = {2, 5};
    BOOST_TEST((store_replica.apply(copy, start + 12s) == replica_change::registration_held));
    store_replica.apply({copy.key, {2, 6}, unusable_record{"not JSON"}, "x"}, start + 13s);
    store_replica.note_store_available(start + 30s);
    store_replica.expire(start + 30s);
    BOOST_TEST((store_replica.find_backend(reference_of(2))->revision == store_revision{2, 6}));
    BOOST_TEST(!store_replica.find_backend(reference_of(2))->takes_new_flows());
}

// A registration of a restored copy that this balancer holds is in the store: a follower must not take the key for
// removed, nor skip the registration when it reads from another source later.
BOOST_AUTO_TEST_CASE(a_held_registration_is_listed_and_precedes_the_shared_revision) {
    replica store_replica = synchronized_replica();
    store_replica.apply_listing(std::vector{backend_record(3, registration_of(1))}, at_revision(3), start);
    store_replica.apply(removal_record(4, 1), start);
    record copy = backend_record(0, registration_of(1));
    copy.revision = {2, 3};
    store_replica.apply_listing(std::vector{copy}, {2, 9}, start + 1s);
    BOOST_TEST(store_replica.find_backend(reference_of(1))->removed_at.has_value());
    const std::vector<record> listed = store_replica.records();
    BOOST_REQUIRE(listed.size() == 1U);
    BOOST_TEST((listed.front().revision == store_revision{2, 3}));
    BOOST_TEST((store_replica.shareable_revision() == store_revision{2, 2}));
    store_replica.note_store_available(start + 12s);
    store_replica.expire(start + 12s);
    BOOST_TEST(store_replica.find_backend(reference_of(1))->takes_new_flows());
    BOOST_TEST((store_replica.shareable_revision() == store_revision{2, 9}));
}

// This balancer has not seen that the backend server was removed in the second epoch and is in the copy of the third. A
// follower that holds the removal must learn of the copy from its listing, or it would lose the backend server.
BOOST_AUTO_TEST_CASE(a_registration_of_a_copy_ends_a_held_removal_of_an_earlier_epoch_at_a_follower) {
    backend_registration registration = registration_of(1);
    registration.report_number = 7;
    replica store_replica = synchronized_replica();
    store_replica.apply_listing(std::vector{backend_record(3, registration)}, at_revision(3), start);
    record copy = backend_record(0, registration_of(1)); // with an earlier report
    copy.revision = {3, 2};
    store_replica.apply_listing(std::vector{copy}, {3, 9}, start);

    replica follower = synchronized_replica();
    follower.apply_listing(std::vector{backend_record(3, registration)}, at_revision(3), start);
    follower.apply_listing({}, {2, 8}, start);
    BOOST_TEST(follower.find_backend(reference_of(1))->held_removal_due.has_value());
    follower.apply_listing(store_replica.records(), store_replica.listed_revision(), start,
                           store_replica.shareable_revision());
    follower.note_store_available(start + 5s);
    follower.expire(start + 5s);
    BOOST_TEST(follower.find_backend(reference_of(1))->takes_new_flows());
}

// A watch on the new epoch may repeat a removal that precedes the registration of the copy, which is held.
BOOST_AUTO_TEST_CASE(a_removal_that_precedes_a_held_registration_is_ignored) {
    backend_registration registration = registration_of(1);
    registration.report_number = 7;
    replica store_replica = synchronized_replica();
    store_replica.apply_listing(std::vector{backend_record(3, registration)}, at_revision(3), start);
    record copy = backend_record(0, registration_of(1)); // with an earlier report
    copy.revision = {2, 22};
    store_replica.apply_listing(std::vector{copy}, {2, 30}, start);
    record removal = removal_record(0, 1);
    removal.revision = {2, 19};
    BOOST_TEST((store_replica.apply(removal, start + 1s) == replica_change::none));
    store_replica.note_store_available(start + 5s);
    store_replica.expire(start + 5s);
    BOOST_TEST(store_replica.find_backend(reference_of(1))->takes_new_flows());
}

// Records from several sources arrive in any order. A held removal must not be cancelled by an older
// registration.
BOOST_AUTO_TEST_CASE(an_older_registration_does_not_cancel_a_held_removal) {
    replica store_replica = synchronized_replica();
    store_replica.apply(backend_record(3, registration_of(1)), start);
    store_replica.note_store_unavailable();
    store_replica.note_store_available(start);
    store_replica.apply(removal_record(8, 1), start);
    store_replica.apply(backend_record(6, registration_of(1)), start);
    store_replica.note_store_available(start + 5s);
    store_replica.expire(start + 5s);
    BOOST_TEST(store_replica.find_backend(reference_of(1))->removed_at.has_value());
    BOOST_TEST((store_replica.apply(backend_record(7, registration_of(1)), start + 5s) == replica_change::none));
}

// A balancer runs for months, so that its memory must not grow with each backend server that was ever removed.
BOOST_AUTO_TEST_CASE(old_removals_are_forgotten_and_followers_that_missed_them_list_again) {
    replica store_replica = synchronized_replica();
    store_replica.apply(backend_record(3, registration_of(1)), start);
    const std::uint64_t earlier_generation = store_replica.generation();
    store_replica.apply(removal_record(4, 1), start);
    const std::uint64_t removal_generation = store_replica.generation();
    store_replica.expire(start + 61s);
    BOOST_TEST(store_replica.changes_after(earlier_generation).has_value());
    store_replica.expire(start + 12min);
    BOOST_TEST(!store_replica.changes_after(earlier_generation).has_value());
    BOOST_TEST(store_replica.records().empty());
    // Newer changes are still available.
    const std::uint64_t current_generation = store_replica.generation();
    BOOST_TEST(current_generation >= removal_generation);
    store_replica.apply(backend_record(9, registration_of(2)), start + 12min);
    BOOST_TEST(store_replica.changes_after(current_generation).value().size() == 1U);
}

// Found by the test of the feed tree (a host killed and started while another was paused): a balancer that had just
// listed served changes after an older revision without the removals between the two, so that a backend server that had
// left was in use again on its follower.
BOOST_AUTO_TEST_CASE(a_listing_does_not_prove_the_removals_before_it) {
    replica store_replica;
    store_replica.apply_listing(std::vector{backend_record(3, registration_of(1))}, at_revision(10), start);
    BOOST_TEST(!store_replica.changes_after_revision(at_revision(7)).has_value());
    BOOST_TEST(store_replica.changes_after_revision(at_revision(10)).has_value());
    const std::uint64_t position = store_replica.generation();
    store_replica.apply_listing(std::vector{backend_record(3, registration_of(1))}, at_revision(20), start);
    BOOST_TEST(!store_replica.changes_after_revision(at_revision(15)).has_value());
    BOOST_TEST(!store_replica.changes_for_follower(position).has_value()); // it may hold a key that came and went
    BOOST_TEST(store_replica.changes_after(position).has_value());         // the log reports what the listing changed
}

// Applying a listing must take linear time. With quadratic time, 13,000 records took a minute.
BOOST_AUTO_TEST_CASE(a_listing_of_thousands_of_backend_servers_is_applied_quickly) {
    replica             store_replica = synchronized_replica();
    std::vector<record> records;
    for (std::uint64_t identity = 1; identity <= 13'000; ++identity)
        records.push_back(backend_record(identity, registration_of(identity)));
    const auto started = std::chrono::steady_clock::now();
    store_replica.apply_listing(records, at_revision(20'000), start);
    BOOST_TEST(store_replica.available_backends("desk").size() >= 12'999U);
    BOOST_TEST((std::chrono::steady_clock::now() - started < 2s));
}

BOOST_AUTO_TEST_CASE(references_are_never_zero_and_rarely_collide) {
    std::map<backend_reference, int> identities_by_reference;
    for (std::uint64_t identity = 0; identity < 13'000; ++identity)
        ++identities_by_reference[reference_of(identity)];
    BOOST_TEST(identities_by_reference.count(0) == 0U);
    BOOST_TEST(identities_by_reference.size() >= 12'999U);
}

// A balancer that knows of a removal may list from one that still holds it. The backend server would stay in use, since
// the removal is not sent again.
BOOST_AUTO_TEST_CASE(a_removed_key_is_not_taken_from_a_source_that_holds_the_removal) {
    replica store_replica = synchronized_replica();
    store_replica.apply_listing({}, at_revision(8), start);
    BOOST_TEST((store_replica.apply(backend_record(4, registration_of(1)), start) == replica_change::none));
    BOOST_TEST(store_replica.available_backends("desk").empty());
    store_replica.apply(backend_record(9, registration_of(1)), start);
    BOOST_TEST(store_replica.available_backends("desk").size() == 1U);
}

// Load pattern: balancers that read from each other after an outage, each of which makes the other list again.
BOOST_AUTO_TEST_CASE(a_listing_that_is_not_newer_than_the_last_leaves_followers_at_their_position) {
    replica store_replica = synchronized_replica();
    store_replica.apply_listing({}, at_revision(8), start);
    store_replica.apply_listing({}, at_revision(9), start);
    const std::uint64_t position = store_replica.generation();
    store_replica.apply_listing({}, at_revision(9), start);
    BOOST_TEST(store_replica.changes_for_follower(position).has_value());
    store_replica.apply_listing({}, at_revision(10), start);
    BOOST_TEST(!store_replica.changes_for_follower(position).has_value());
}

// One malformed answer must not end the process, nor leave a backend server or feeder without an address.
BOOST_AUTO_TEST_CASE(a_record_without_a_revision_is_ignored) {
    replica      store_replica = synchronized_replica();
    record       backend = backend_record(0, registration_of(1));
    const record feeder{"feeder/north/0", {}, feeder_registration{"near", "north", 0, service_address, {}}, "raw"};
    backend.revision = {};
    BOOST_TEST((store_replica.apply(backend, start) == replica_change::none));
    BOOST_TEST((store_replica.apply(feeder, start) == replica_change::none));
    BOOST_TEST((store_replica.apply({"backend/2", {}, removed_record{}, {}}, start) == replica_change::none));
    BOOST_TEST(store_replica.backends().empty());
    BOOST_TEST(store_replica.feeders().empty());
    BOOST_TEST(store_replica.records().empty());
}
