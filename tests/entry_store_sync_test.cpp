// The sequence of read calls and their failures, answers to followers, the claim of a feeder slot, and the end of a
// graceful stop.
#define BOOST_TEST_MODULE entry_store_sync
#include "entry/feed.h"
#include "entry/feeder_claim.h"
#include "entry/lifecycle.h"
#include "entry/store_sync.h"
#include "entry_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace tamarack::entry;
using namespace std::chrono_literals;

namespace {

record feeder_record(std::uint64_t revision, const std::string& name, const std::string& failure_domain, unsigned slot,
                     std::uint32_t address) {
    return {"feeder/" + failure_domain + "/" + std::to_string(slot), revision,
            feeder_registration{name, failure_domain, slot, {ip_address::v4(address), 7720}}, "raw"};
}

constexpr std::uint32_t own_domain_feeder = 0x0a010001;   // in the failure domain of the tested balancer
constexpr std::uint32_t other_domain_feeder = 0x0a020001; // in another failure domain
constexpr std::uint32_t contact_address = 0x0a030001;

struct sync_fixture {
    replica     store_replica{1'000};
    store_sync  sync{store_replica,
                    {.name = "self", .failure_domain = "north", .contacts = {{ip_address::v4(contact_address), 7720}}},
                    1};
    steady_time now{1h};

    read_call next() {
        const auto call = sync.next_call(now);
        BOOST_REQUIRE(call.has_value());
        return *call;
    }
    // Advances the time until a call is due.
    read_call wait_for_next() {
        for (int step = 0; step < 1'000; ++step, now += 10ms) {
            if (const auto call = sync.next_call(now)) return *call;
        }
        BOOST_FAIL("no call within 10 s");
        return {};
    }
    void answer(std::vector<record> records, std::uint64_t position, std::uint64_t revision, bool has_more = false) {
        sync.succeeded({std::move(records), position, revision, {}, has_more}, now);
    }
    void complete_listing(std::vector<record> records = {}) {
        next();
        records.push_back(configuration_record(1, 1));
        records.push_back(backend_record(2, registration_of(1)));
        answer(std::move(records), 5, 5);
    }
    void fail(read_error error) { sync.failed(error, now); }
};

bool is_store(const read_call& call) {
    return call.source.kind == source_kind::store;
}

bool is_sent_to(const read_call& call, std::uint32_t address) {
    return call.source.kind != source_kind::store && call.source.address.address == ip_address::v4(address);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(reading_the_store, sync_fixture)

BOOST_AUTO_TEST_CASE(a_listing_is_followed_by_a_watch_from_its_revision) {
    BOOST_TEST((next().kind == read_kind::list));
    BOOST_TEST(!sync.next_call(now).has_value()); // one call at a time
    answer({configuration_record(1, 1)}, 5, 5);
    const read_call watch = next();
    BOOST_TEST((watch.kind == read_kind::watch));
    BOOST_TEST(watch.after_position == 5U);
    BOOST_TEST((watch.timeout > watch.max_wait));
}

// The pages of a listing are no snapshot: only a watch from the first page's revision sees a removal that happened
// between two pages.
BOOST_AUTO_TEST_CASE(the_watch_starts_at_the_revision_of_the_first_page) {
    next();
    answer({backend_record(2, registration_of(1))}, 5, 5, true);
    const read_call second = next();
    BOOST_TEST((second.kind == read_kind::list));
    BOOST_TEST(second.after_key == "backend/1");
    BOOST_TEST(!store_replica.is_complete());
    answer({backend_record(6, registration_of(2))}, 7, 7);
    BOOST_TEST(store_replica.is_complete());
    BOOST_TEST(next().after_position == 5U);
}

BOOST_AUTO_TEST_CASE(a_dropped_history_leads_to_an_immediate_listing) {
    complete_listing();
    next();
    fail(read_error::history_dropped);
    BOOST_TEST((next().kind == read_kind::list));
}

// The connection of a watch may break at any time. A single break must not count as an outage of the store.
BOOST_AUTO_TEST_CASE(a_broken_watch_is_repeated_immediately_and_a_second_failure_is_an_outage) {
    complete_listing();
    next();
    fail(read_error::unreachable);
    BOOST_TEST(store_replica.store_available_since().has_value());
    BOOST_TEST((next().kind == read_kind::watch));
    fail(read_error::unreachable);
    BOOST_TEST(!store_replica.store_available_since().has_value());
    BOOST_TEST(!sync.next_call(now).has_value());
    wait_for_next();
}

BOOST_AUTO_TEST_CASE(calls_to_an_unavailable_store_become_less_frequent) {
    complete_listing();
    unsigned calls = 0;
    for (int step = 0; step < 1'000; ++step, now += 10ms) {
        if (!sync.next_call(now)) continue;
        ++calls;
        fail(read_error::refused);
    }
    BOOST_TEST(calls <= 25U); // in 10 s
    BOOST_TEST(calls >= 6U);  // so that its recovery is noticed within two seconds
}

BOOST_AUTO_TEST_CASE(changes_in_quick_succession_are_read_together) {
    complete_listing();
    unsigned calls = 0;
    for (unsigned step = 0; step < 100; ++step, now += 10ms) { // an event every 10 ms for 1 s
        if (!sync.next_call(now)) continue;
        ++calls;
        answer({backend_record(10U + step, registration_of(1))}, 200, 200);
    }
    BOOST_TEST(calls <= 6U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(reading_from_feeders, sync_fixture)

BOOST_AUTO_TEST_CASE(a_balancer_follows_the_feeder_of_its_failure_domain) {
    complete_listing({feeder_record(3, "near", "north", 0, own_domain_feeder),
                      feeder_record(4, "far", "south", 0, other_domain_feeder)});
    const read_call first = next();
    BOOST_TEST(is_sent_to(first, own_domain_feeder));
    // A position is only valid at its source, but a revision of the store is valid at every source.
    BOOST_TEST((first.kind == read_kind::resume));
    BOOST_TEST(first.after_position == 5U);
    answer({backend_record(6, registration_of(1))}, 77, 6);
    now += 50ms;
    const read_call watch = next();
    BOOST_TEST(is_sent_to(watch, own_domain_feeder));
    BOOST_TEST(watch.after_position == 77U);
    BOOST_TEST(!sync.is_current_from_store(now)); // other balancers must not rely on a follower
}

// Many followers switch to a new feeder at the same time. Complete listings for all of them kept it busy for a second.
BOOST_AUTO_TEST_CASE(a_balancer_lists_from_a_feeder_only_if_the_feeder_has_forgotten_removals) {
    complete_listing({feeder_record(3, "near", "north", 0, own_domain_feeder)});
    BOOST_TEST((next().kind == read_kind::resume));
    fail(read_error::history_dropped);
    const read_call call = next();
    BOOST_TEST(is_sent_to(call, own_domain_feeder));
    BOOST_TEST((call.kind == read_kind::list));
}

// A crashed feeder must not delay changes: the store is read immediately, from the last revision of the replica.
BOOST_AUTO_TEST_CASE(a_follower_reads_the_store_when_its_feeder_fails) {
    complete_listing({feeder_record(3, "near", "north", 0, own_domain_feeder)});
    next();
    fail(read_error::unreachable);
    const read_call call = next();
    BOOST_TEST(is_store(call));
    BOOST_TEST((call.kind == read_kind::watch));
    BOOST_TEST(call.after_position == 5U);
    BOOST_TEST(store_replica.store_available_since().has_value());
    answer({}, 5, 5);
    BOOST_TEST(sync.is_current_from_store(now));
    now += 10s;
    BOOST_TEST(is_sent_to(next(), own_domain_feeder)); // the feeder is tried again, since it may have recovered
}

// The store may refuse single hosts, including the feeder of the failure domain.
BOOST_AUTO_TEST_CASE(a_balancer_that_the_store_refuses_reads_from_another_failure_domain) {
    complete_listing({feeder_record(3, "near", "north", 0, own_domain_feeder),
                      feeder_record(4, "far", "south", 0, other_domain_feeder)});
    next();
    fail(read_error::refused);
    BOOST_TEST(is_store(next()));
    fail(read_error::refused);
    BOOST_TEST(is_sent_to(next(), other_domain_feeder));
}

BOOST_AUTO_TEST_CASE(a_balancer_that_starts_during_an_outage_of_the_store_asks_its_contacts) {
    BOOST_TEST(is_store(next()));
    fail(read_error::timed_out);
    const read_call call = next();
    BOOST_TEST(is_sent_to(call, contact_address));
    answer({configuration_record(1, 1), backend_record(2, registration_of(1))}, 9, 5);
    BOOST_TEST(store_replica.is_complete());
    // The answer of a contact does not show that the store is available.
    BOOST_TEST(!store_replica.store_available_since().has_value());
}

// A feeder that has lost the store may still answer. Its answers must not count as the recovery of the store: flows on
// routes that were added during the outage would be reset.
BOOST_AUTO_TEST_CASE(an_outdated_answer_of_a_feeder_is_no_recovery_of_the_store) {
    complete_listing({feeder_record(3, "near", "north", 0, own_domain_feeder),
                      feeder_record(4, "far", "south", 0, other_domain_feeder)});
    next();
    fail(read_error::refused);
    next();
    fail(read_error::refused);
    BOOST_TEST(!store_replica.store_available_since().has_value());
    BOOST_TEST(is_sent_to(next(), other_domain_feeder));
    sync.succeeded({{}, 77, 5, 10s, false}, now);
    BOOST_TEST(!store_replica.store_available_since().has_value());
    BOOST_TEST(!sync.is_store_available());
    // A feeder with a recent confirmation by the store shows that the store has recovered.
    BOOST_TEST((next().kind == read_kind::watch));
    sync.succeeded({{}, 77, 5, 2s, false}, now);
    BOOST_TEST(store_replica.store_available_since().has_value());
    BOOST_TEST(sync.is_store_available());
}

BOOST_AUTO_TEST_CASE(a_feeder_reads_the_store_even_if_there_are_other_feeders) {
    sync.set_is_feeder(true);
    complete_listing({feeder_record(3, "self", "north", 0, contact_address),
                      feeder_record(4, "far", "south", 0, other_domain_feeder)});
    BOOST_TEST(is_store(next()));
}

BOOST_AUTO_TEST_CASE(a_full_feeder_opens_the_next_slot) {
    complete_listing({feeder_record(3, "near", "north", 0, own_domain_feeder)});
    BOOST_TEST(sync.open_slot() == 0U);
    next();
    fail(read_error::full);
    BOOST_TEST(sync.open_slot() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

struct feed_fixture {
    replica     store_replica{1'000};
    feed        served_feed{store_replica, "self", {}, steady_time{}};
    steady_time now{1h};
};

} // namespace

BOOST_AUTO_TEST_CASE(a_feeder_answers_watches_only_while_it_is_current) {
    replica store_replica(1'000);
    feed    served_feed(store_replica, "self", {}, steady_time{});
    BOOST_TEST((served_feed.list(steady_time{}).status == feed_status::not_current)); // not synchronized yet
    const steady_time now{1h};
    store_replica.apply_listing(std::vector{configuration_record(1, 1), backend_record(2, registration_of(1))}, 5, now);
    const feed_answer listing = served_feed.list(now);
    BOOST_TEST(listing.records.size() == 2U);
    BOOST_TEST(listing.revision == 5U);
    BOOST_TEST((served_feed.watch(1, listing.position, 1s, false, now)->status == feed_status::not_current));
    BOOST_TEST(!served_feed.watch(2, listing.position, 1s, true, now).has_value());
    BOOST_TEST(served_feed.poll(true, now + 900ms).empty());
    const auto answers = served_feed.poll(false, now + 950ms);
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST((answers.front().answer.status == feed_status::not_current));
}

BOOST_FIXTURE_TEST_CASE(a_waiting_follower_gets_a_change_immediately_and_an_empty_answer_after_its_wait, feed_fixture) {
    store_replica.note_store_available(now - 1min);
    store_replica.apply_listing(std::vector{backend_record(2, registration_of(1))}, 5, now);
    const auto position = served_feed.list(now).position;
    served_feed.watch(1, position, 1s, true, now);
    const auto unchanged = served_feed.poll(true, now + 1s);
    BOOST_REQUIRE(unchanged.size() == 1U);
    BOOST_TEST(unchanged.front().answer.records.empty());
    served_feed.watch(2, position, 1s, true, now + 1s);
    store_replica.apply(removal_record(7, 1), now + 1s);
    const auto changed = served_feed.poll(true, now + 1s);
    BOOST_REQUIRE(changed.size() == 1U);
    BOOST_REQUIRE(changed.front().answer.records.size() == 1U);
    BOOST_TEST(std::holds_alternative<removed_record>(changed.front().answer.records.front().content));
}

// A follower that has read from another source must get all records that are newer than its own, and no others.
BOOST_FIXTURE_TEST_CASE(a_feeder_returns_the_changes_after_a_revision, feed_fixture) {
    store_replica.note_store_available(now - 1min);
    store_replica.apply_listing(std::vector{configuration_record(1, 1), backend_record(2, registration_of(1)),
                                            backend_record(3, registration_of(2)),
                                            feeder_record(4, "x", "north", 0, 7)},
                                5, now);
    store_replica.apply(removal_record(6, 1), now);
    store_replica.apply(backend_record(7, registration_of(3)), now);
    store_replica.set_complete_revision(7);
    const feed_answer answer = served_feed.resume(4, true, now);
    BOOST_TEST(answer.records.size() == 2U);
    BOOST_TEST(answer.revision == 7U);
    BOOST_TEST(answer.position == store_replica.generation());
    BOOST_TEST(served_feed.resume(7, true, now).records.empty());
    BOOST_TEST((served_feed.resume(4, false, now).status == feed_status::not_current));
    store_replica.expire(now + 2min); // forgets the removed backend server, but not its removal
    BOOST_TEST(served_feed.resume(5, true, now).records.size() == 2U);
    store_replica.expire(now + 20min);
    BOOST_TEST((served_feed.resume(5, true, now).status == feed_status::history_dropped));
    BOOST_TEST((served_feed.resume(6, true, now).status == feed_status::ok));
}

// If a feeder stops while it holds a removal, its followers must still learn of the removal from the store or another
// feeder.
BOOST_FIXTURE_TEST_CASE(a_held_removal_is_not_covered_by_the_revision_of_an_answer, feed_fixture) {
    store_replica.note_store_available(now - 1min);
    store_replica.apply_listing(std::vector{backend_record(2, registration_of(1))}, 5, now);
    store_replica.note_store_unavailable();
    store_replica.note_store_available(now);
    store_replica.apply(removal_record(7, 1), now);
    store_replica.set_complete_revision(9);
    BOOST_TEST(served_feed.list(now).revision == 6U);
    BOOST_TEST(served_feed.resume(5, true, now).records.empty());
    store_replica.expire(now + 5s);
    const feed_answer answer = served_feed.resume(6, true, now + 5s);
    BOOST_TEST(answer.revision == 9U);
    BOOST_REQUIRE(answer.records.size() == 1U);
    BOOST_TEST(std::holds_alternative<removed_record>(answer.records.front().content));
}

// A change must be encoded once for all followers, not once per follower.
BOOST_FIXTURE_TEST_CASE(followers_at_the_same_position_share_an_answer, feed_fixture) {
    store_replica.note_store_available(now - 1min);
    store_replica.apply_listing(std::vector{backend_record(2, registration_of(1))}, 5, now);
    const auto earlier_position = served_feed.list(now).position;
    store_replica.apply(backend_record(6, registration_of(2)), now);
    const auto position = served_feed.list(now).position;
    BOOST_REQUIRE(earlier_position != position);
    for (std::uint64_t call = 1; call <= 5; ++call)
        served_feed.watch(call, position, 1s, true, now);
    store_replica.apply(backend_record(7, registration_of(3)), now);
    const auto due = served_feed.poll(true, now);
    BOOST_REQUIRE(due.size() == 1U);
    BOOST_TEST(due.front().calls.size() == 5U);
    BOOST_TEST(due.front().answer.records.size() == 1U);
    BOOST_TEST(served_feed.follower_count() == 0U);
}

// A restarted feeder cannot interpret the positions of the earlier process.
BOOST_AUTO_TEST_CASE(a_position_of_an_earlier_process_leads_to_a_listing) {
    replica           store_replica(50'000);
    feed              served_feed(store_replica, "self", {}, steady_time{});
    const steady_time now{1h};
    store_replica.apply_listing({}, 5, now);
    BOOST_TEST((served_feed.watch(1, 1'234, 1s, true, now)->status == feed_status::history_dropped));
    BOOST_TEST((served_feed.watch(1, 99'999, 1s, true, now)->status == feed_status::history_dropped));
}

BOOST_FIXTURE_TEST_CASE(a_feeder_limits_the_number_of_its_followers, feed_fixture) {
    store_replica.apply_listing({}, 5, now);
    std::uint64_t call = 0;
    while (!served_feed.watch(++call, store_replica.generation(), 1s, true, now))
        BOOST_REQUIRE(call < 1'000U);
    BOOST_TEST((served_feed.watch(++call, store_replica.generation(), 1s, true, now)->status == feed_status::full));
}

namespace {

struct claim_fixture {
    replica      store_replica{1'000};
    feeder_claim claim{
        {.self = {"self", "north", 0, {ip_address::v4(own_domain_feeder), 7720}}, .delay = 100ms}, store_replica, 1};
    steady_time now{1h};

    template <class Call>
    Call wait_for(bool is_eligible = true) {
        for (int step = 0; step < 1'000; ++step, now += 10ms) {
            const auto call = claim.next_call(now, is_eligible, 0);
            if (!call) continue;
            BOOST_REQUIRE(std::holds_alternative<Call>(*call));
            return std::get<Call>(*call);
        }
        BOOST_FAIL("no call within 10 s");
        return {};
    }
    void become_feeder() {
        wait_for<grant_lease>();
        claim.succeeded(7, now);
        BOOST_TEST(wait_for<put_feeder>().lease == 7U);
        claim.succeeded(0, now);
        BOOST_TEST(claim.holds_slot());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(claiming, claim_fixture)

BOOST_AUTO_TEST_CASE(a_vacant_slot_is_claimed_renewed_and_released_at_the_stop) {
    become_feeder();
    BOOST_TEST(wait_for<renew_lease>().lease == 7U);
    claim.succeeded(0, now);
    BOOST_TEST(claim.holds_slot());
    const auto stopping = claim.next_call(now, false, 0);
    // Incident inc-5afb: the lease was ended only after a renewal, before which a stopping process may exit.
    BOOST_REQUIRE((stopping && std::holds_alternative<end_lease>(*stopping)));
    claim.succeeded(0, now);
    BOOST_TEST(!claim.holds_slot());
}

BOOST_AUTO_TEST_CASE(a_taken_slot_is_not_claimed) {
    store_replica.apply(feeder_record(3, "other", "north", 0, own_domain_feeder), now);
    for (int step = 0; step < 1'000; ++step, now += 10ms)
        BOOST_REQUIRE(!claim.next_call(now, true, 0).has_value());
}

BOOST_AUTO_TEST_CASE(a_lost_race_leaves_the_slot_to_the_winner) {
    wait_for<grant_lease>();
    claim.succeeded(7, now);
    wait_for<put_feeder>();
    claim.failed(claim_error::conflict, now);
    BOOST_TEST(!claim.holds_slot());
}

// The lease may expire while the process is paused, or the key may be deleted without notice.
BOOST_AUTO_TEST_CASE(a_slot_whose_lease_ended_unnoticed_is_claimed_again) {
    become_feeder();
    wait_for<renew_lease>();
    claim.failed(claim_error::lease_ended, now);
    BOOST_TEST(!claim.holds_slot());
    wait_for<grant_lease>();
}

BOOST_AUTO_TEST_CASE(renewals_without_an_answer_are_repeated_until_the_lease_must_have_expired) {
    become_feeder();
    unsigned renewals = 0;
    for (int step = 0; step < 700 && claim.holds_slot(); ++step, now += 10ms) {
        const auto call = claim.next_call(now, true, 0);
        if (!call) continue;
        if (!std::holds_alternative<renew_lease>(*call)) break;
        ++renewals;
        claim.failed(claim_error::unavailable, now);
    }
    BOOST_TEST(!claim.holds_slot());
    BOOST_TEST(renewals >= 3U);
}

BOOST_AUTO_TEST_CASE(a_feeder_whose_slot_was_taken_by_another_steps_down) {
    become_feeder();
    store_replica.apply(feeder_record(9, "other", "north", 0, other_domain_feeder), now);
    for (int step = 0; step < 300; ++step, now += 10ms)
        claim.next_call(now, true, 0);
    BOOST_TEST(!claim.holds_slot());
}

BOOST_AUTO_TEST_SUITE_END()

// Found by the soak test (seed 3): after a pause of its process, a balancer placed a SYN whose retransmission had
// already opened the flow through another balancer.
BOOST_AUTO_TEST_CASE(a_pause_of_the_process_is_detected) {
    pause_detector pauses;
    steady_time    now{1h};
    BOOST_TEST(!pauses.note_loop_iteration(now));
    for (int iteration = 0; iteration < 10; ++iteration)
        BOOST_TEST(!pauses.note_loop_iteration(now += 110ms));
    BOOST_TEST(pauses.note_loop_iteration(now += 1s));
    BOOST_TEST(!pauses.note_loop_iteration(now += 100ms));
}

BOOST_AUTO_TEST_CASE(a_stopping_balancer_leaves_the_rotation_before_it_exits) {
    lifecycle         life(6s);
    const steady_time start{1h};
    BOOST_TEST(!life.is_ready());
    life.note_synchronized();
    BOOST_TEST(life.is_ready());
    life.request_stop(start);
    BOOST_TEST(!life.is_ready());
    BOOST_TEST(!life.may_exit(start + 900ms)); // the fabric has not noticed yet
    life.note_packet(start + 1'400ms);
    BOOST_TEST(!life.may_exit(start + 1'500ms)); // packets still arrive
    BOOST_TEST(life.may_exit(start + 1'700ms));
    for (auto now = start; now < start + 6s; now += 100ms)
        life.note_packet(now);
    BOOST_TEST(life.may_exit(start + 5'600ms)); // the host kills the process at 6 s
}
