// The sequence of calls on the store, its failures, and the end of a graceful stop.
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

record feeder_record(std::uint64_t revision, const std::string& name, const std::string& domain, unsigned slot,
                     std::uint32_t address) {
    return {"feeder/" + domain + "/" + std::to_string(slot), revision,
            feeder_registration{name, domain, slot, {ip_address::v4(address), 7720}}, "raw"};
}

constexpr std::uint32_t own_feeder = 0x0a010001;   // in the failure domain of the balancer
constexpr std::uint32_t other_feeder = 0x0a020001; // in another one
constexpr std::uint32_t contact_address = 0x0a030001;

struct sync_fixture {
    replica    known{1'000};
    store_sync sync{
        known, {.name = "self", .failure_domain = "north", .contacts = {{ip_address::v4(contact_address), 7720}}}, 1};
    steady_time now{1h};

    read_call next() {
        const auto call = sync.next_call(now);
        BOOST_REQUIRE(call.has_value());
        return *call;
    }
    // Waits until a call is due.
    read_call wait_for_next() {
        for (int step = 0; step < 1'000; ++step, now += 10ms) {
            if (const auto call = sync.next_call(now)) return *call;
        }
        BOOST_FAIL("no call within 10 s");
        return {};
    }
    void answer(std::vector<record> records, std::uint64_t position, std::uint64_t revision, bool more = false) {
        sync.succeeded({std::move(records), position, revision, {}, more}, now);
    }
    void list(std::vector<record> feeders = {}) {
        next();
        feeders.push_back(configuration_record(1, 1));
        feeders.push_back(backend_record(2, registration_of(1)));
        answer(std::move(feeders), 5, 5);
    }
    void fail(read_error error) { sync.failed(error, now); }
};

bool is_store(const read_call& call) {
    return call.source.kind == source_kind::store;
}

bool is_at(const read_call& call, std::uint32_t address) {
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
    BOOST_TEST((watch.timeout > watch.wait));
}

// Pages are no snapshot: what is removed between two pages is only seen by a watch from the first page's revision.
BOOST_AUTO_TEST_CASE(the_watch_begins_at_the_revision_of_the_first_page) {
    next();
    answer({backend_record(2, registration_of(1))}, 5, 5, true);
    const read_call second = next();
    BOOST_TEST((second.kind == read_kind::list));
    BOOST_TEST(second.after_key == "backend/1");
    BOOST_TEST(!known.complete());
    answer({backend_record(6, registration_of(2))}, 7, 7);
    BOOST_TEST(known.complete());
    BOOST_TEST(next().after_position == 5U);
}

BOOST_AUTO_TEST_CASE(a_dropped_history_leads_to_a_listing_at_once) {
    list();
    next();
    fail(read_error::history_dropped);
    BOOST_TEST((next().kind == read_kind::list));
}

// A watch may be cut at any time; that alone is no outage.
BOOST_AUTO_TEST_CASE(a_cut_watch_is_repeated_at_once_and_a_second_failure_is_an_outage) {
    list();
    next();
    fail(read_error::unreachable);
    BOOST_TEST(known.store_steady_since().has_value());
    BOOST_TEST((next().kind == read_kind::watch));
    fail(read_error::unreachable);
    BOOST_TEST(!known.store_steady_since().has_value());
    BOOST_TEST(!sync.next_call(now).has_value());
    wait_for_next();
}

BOOST_AUTO_TEST_CASE(repeated_calls_of_an_absent_store_become_rarer) {
    list();
    unsigned calls = 0;
    for (int step = 0; step < 1'000; ++step, now += 10ms) {
        if (!sync.next_call(now)) continue;
        ++calls;
        fail(read_error::refused);
    }
    BOOST_TEST(calls <= 25U); // in 10 s
    BOOST_TEST(calls >= 6U);  // its return is noticed within two seconds
}

BOOST_AUTO_TEST_CASE(changes_in_quick_succession_share_an_answer) {
    list();
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
    list({feeder_record(3, "near", "north", 0, own_feeder), feeder_record(4, "far", "south", 0, other_feeder)});
    const read_call first = next();
    BOOST_TEST(is_at(first, own_feeder));
    // Positions belong to their source; a revision of the store means the same everywhere.
    BOOST_TEST((first.kind == read_kind::resume));
    BOOST_TEST(first.after_position == 5U);
    answer({backend_record(6, registration_of(1))}, 77, 6);
    now += 50ms;
    const read_call watch = next();
    BOOST_TEST(is_at(watch, own_feeder));
    BOOST_TEST(watch.after_position == 77U);
    BOOST_TEST(!sync.is_direct(now)); // others may not rely on a follower
}

// Many followers turn to a new feeder at the same moment: whole listings for all of them kept it busy for a second.
BOOST_AUTO_TEST_CASE(a_balancer_lists_from_a_feeder_only_if_that_has_forgotten_removals) {
    list({feeder_record(3, "near", "north", 0, own_feeder)});
    BOOST_TEST((next().kind == read_kind::resume));
    fail(read_error::history_dropped);
    const read_call call = next();
    BOOST_TEST(is_at(call, own_feeder));
    BOOST_TEST((call.kind == read_kind::list));
}

// A feeder that is killed must not delay changes: the store is asked at once, from the revision that is known.
BOOST_AUTO_TEST_CASE(a_follower_turns_to_the_store_when_its_feeder_fails) {
    list({feeder_record(3, "near", "north", 0, own_feeder)});
    next();
    fail(read_error::unreachable);
    const read_call call = next();
    BOOST_TEST(is_store(call));
    BOOST_TEST((call.kind == read_kind::watch));
    BOOST_TEST(call.after_position == 5U);
    BOOST_TEST(known.store_steady_since().has_value());
    answer({}, 5, 5);
    BOOST_TEST(sync.is_direct(now));
    now += 10s;
    BOOST_TEST(is_at(next(), own_feeder)); // it may have returned
}

// The store may turn single hosts away, the feeder of the failure domain among them.
BOOST_AUTO_TEST_CASE(a_balancer_that_the_store_turns_away_reads_from_another_failure_domain) {
    list({feeder_record(3, "near", "north", 0, own_feeder), feeder_record(4, "far", "south", 0, other_feeder)});
    next();
    fail(read_error::refused);
    BOOST_TEST(is_store(next()));
    fail(read_error::refused);
    BOOST_TEST(is_at(next(), other_feeder));
}

BOOST_AUTO_TEST_CASE(a_balancer_that_starts_while_the_store_is_away_asks_its_contacts) {
    BOOST_TEST(is_store(next()));
    fail(read_error::timed_out);
    const read_call call = next();
    BOOST_TEST(is_at(call, contact_address));
    answer({configuration_record(1, 1), backend_record(2, registration_of(1))}, 9, 5);
    BOOST_TEST(known.complete());
    BOOST_TEST(!known.store_steady_since().has_value()); // a contact proves nothing about the store
}

// A feeder that has lost the store may still answer. They must not count as the store's return: flows on routes
// that were added meanwhile would be reset.
BOOST_AUTO_TEST_CASE(an_old_listing_of_a_feeder_is_no_return_of_the_store) {
    list({feeder_record(3, "near", "north", 0, own_feeder), feeder_record(4, "far", "south", 0, other_feeder)});
    next();
    fail(read_error::refused);
    next();
    fail(read_error::refused);
    BOOST_TEST(!known.store_steady_since().has_value());
    BOOST_TEST(is_at(next(), other_feeder));
    sync.succeeded({{}, 77, 5, 10s, false}, now);
    BOOST_TEST(!known.store_steady_since().has_value());
    BOOST_TEST(!sync.reachable());
    // One that has just heard from the store proves its return.
    BOOST_TEST((next().kind == read_kind::watch));
    sync.succeeded({{}, 77, 5, 2s, false}, now);
    BOOST_TEST(known.store_steady_since().has_value());
    BOOST_TEST(sync.reachable());
}

BOOST_AUTO_TEST_CASE(a_feeder_reads_the_store_although_there_are_other_feeders) {
    sync.set_feeding(true);
    list({feeder_record(3, "self", "north", 0, contact_address), feeder_record(4, "far", "south", 0, other_feeder)});
    BOOST_TEST(is_store(next()));
}

BOOST_AUTO_TEST_CASE(a_full_feeder_opens_the_next_slot) {
    list({feeder_record(3, "near", "north", 0, own_feeder)});
    BOOST_TEST(sync.open_slot() == 0U);
    next();
    fail(read_error::full);
    BOOST_TEST(sync.open_slot() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

struct feed_fixture {
    replica     known{1'000};
    feed        followers{known, "self", {}, steady_time{}};
    steady_time now{1h};
};

} // namespace

BOOST_AUTO_TEST_CASE(a_feeder_answers_watches_only_while_it_is_current) {
    replica known(1'000);
    feed    followers(known, "self", {}, steady_time{});
    BOOST_TEST((followers.list(steady_time{}).status == feed_status::not_current)); // not synchronized yet
    const steady_time now{1h};
    known.apply_snapshot(std::vector{configuration_record(1, 1), backend_record(2, registration_of(1))}, 5, now);
    const feed_answer listing = followers.list(now);
    BOOST_TEST(listing.records.size() == 2U);
    BOOST_TEST(listing.revision == 5U);
    BOOST_TEST((followers.watch(1, listing.position, 1s, false, now)->status == feed_status::not_current));
    BOOST_TEST(!followers.watch(2, listing.position, 1s, true, now).has_value());
    BOOST_TEST(followers.poll(true, now + 900ms).empty());
    const auto lost = followers.poll(false, now + 950ms);
    BOOST_REQUIRE(lost.size() == 1U);
    BOOST_TEST((lost.front().answer.status == feed_status::not_current));
}

BOOST_FIXTURE_TEST_CASE(a_waiting_follower_gets_a_change_at_once_and_nothing_at_the_end_of_its_wait, feed_fixture) {
    known.store_returned(now - 1min);
    known.apply_snapshot(std::vector{backend_record(2, registration_of(1))}, 5, now);
    const auto position = followers.list(now).position;
    followers.watch(1, position, 1s, true, now);
    const auto ended = followers.poll(true, now + 1s);
    BOOST_REQUIRE(ended.size() == 1U);
    BOOST_TEST(ended.front().answer.records.empty());
    followers.watch(2, position, 1s, true, now + 1s);
    known.apply(removal(7, 1), now + 1s);
    const auto changed = followers.poll(true, now + 1s);
    BOOST_REQUIRE(changed.size() == 1U);
    BOOST_REQUIRE(changed.front().answer.records.size() == 1U);
    BOOST_TEST(std::holds_alternative<removed_record>(changed.front().answer.records.front().content));
}

// A follower that read elsewhere must get all that is newer than what it has, and nothing that it has.
BOOST_FIXTURE_TEST_CASE(a_feeder_gives_what_is_newer_than_a_revision, feed_fixture) {
    known.store_returned(now - 1min);
    known.apply_snapshot(std::vector{configuration_record(1, 1), backend_record(2, registration_of(1)),
                                     backend_record(3, registration_of(2)), feeder_record(4, "x", "north", 0, 7)},
                         5, now);
    known.apply(removal(6, 1), now);
    known.apply(backend_record(7, registration_of(3)), now);
    known.set_complete_to(7);
    const feed_answer answer = followers.resume(4, true, now);
    BOOST_TEST(answer.records.size() == 2U);
    BOOST_TEST(answer.revision == 7U);
    BOOST_TEST(answer.position == known.generation());
    BOOST_TEST(followers.resume(7, true, now).records.empty());
    BOOST_TEST((followers.resume(4, false, now).status == feed_status::not_current));
    known.expire(now + 2min); // the removed backend server is forgotten, its removal is not
    BOOST_TEST(followers.resume(5, true, now).records.size() == 2U);
    known.expire(now + 20min);
    BOOST_TEST((followers.resume(5, true, now).status == feed_status::dropped));
    BOOST_TEST((followers.resume(6, true, now).status == feed_status::ok));
}

// A follower whose feeder holds a removal and then ends must still learn of it, from the store or another feeder.
BOOST_FIXTURE_TEST_CASE(a_held_removal_is_not_counted_as_given, feed_fixture) {
    known.store_returned(now - 1min);
    known.apply_snapshot(std::vector{backend_record(2, registration_of(1))}, 5, now);
    known.store_lost();
    known.store_returned(now);
    known.apply(removal(7, 1), now);
    known.set_complete_to(9);
    BOOST_TEST(followers.list(now).revision == 6U);
    BOOST_TEST(followers.resume(5, true, now).records.empty());
    known.expire(now + 5s);
    const feed_answer answer = followers.resume(6, true, now + 5s);
    BOOST_TEST(answer.revision == 9U);
    BOOST_REQUIRE(answer.records.size() == 1U);
    BOOST_TEST(std::holds_alternative<removed_record>(answer.records.front().content));
}

// A change for all followers must be encoded once, not once for each of them.
BOOST_FIXTURE_TEST_CASE(followers_at_the_same_position_share_an_answer, feed_fixture) {
    known.store_returned(now - 1min);
    known.apply_snapshot(std::vector{backend_record(2, registration_of(1))}, 5, now);
    const auto early = followers.list(now).position;
    known.apply(backend_record(6, registration_of(2)), now);
    const auto late = followers.list(now).position;
    BOOST_REQUIRE(early != late);
    for (std::uint64_t call = 1; call <= 5; ++call)
        followers.watch(call, late, 1s, true, now);
    known.apply(backend_record(7, registration_of(3)), now);
    const auto due = followers.poll(true, now);
    BOOST_REQUIRE(due.size() == 1U);
    BOOST_TEST(due.front().calls.size() == 5U);
    BOOST_TEST(due.front().answer.records.size() == 1U);
    BOOST_TEST(followers.followers() == 0U);
}

// A feeder that has restarted knows nothing of earlier positions.
BOOST_AUTO_TEST_CASE(a_position_of_an_earlier_feeder_leads_to_a_listing) {
    replica           known(50'000);
    feed              followers(known, "self", {}, steady_time{});
    const steady_time now{1h};
    known.apply_snapshot({}, 5, now);
    BOOST_TEST((followers.watch(1, 1'234, 1s, true, now)->status == feed_status::dropped));
    BOOST_TEST((followers.watch(1, 99'999, 1s, true, now)->status == feed_status::dropped));
}

BOOST_FIXTURE_TEST_CASE(a_feeder_limits_its_followers, feed_fixture) {
    known.apply_snapshot({}, 5, now);
    std::uint64_t call = 0;
    while (!followers.watch(++call, known.generation(), 1s, true, now))
        BOOST_REQUIRE(call < 1'000U);
    BOOST_TEST((followers.watch(++call, known.generation(), 1s, true, now)->status == feed_status::full));
}

namespace {

struct claim_fixture {
    replica      known{1'000};
    feeder_claim claim{{.self = {"self", "north", 0, {ip_address::v4(own_feeder), 7720}}, .delay = 100ms}, known, 1};
    steady_time  now{1h};

    template <class Call>
    Call wait_for(bool eligible = true) {
        for (int step = 0; step < 1'000; ++step, now += 10ms) {
            const auto call = claim.next_call(now, eligible, 0);
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
        BOOST_TEST(claim.holds());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(claiming, claim_fixture)

BOOST_AUTO_TEST_CASE(a_vacant_slot_is_claimed_renewed_and_given_up_at_the_stop) {
    become_feeder();
    BOOST_TEST(wait_for<renew_lease>().lease == 7U);
    claim.succeeded(0, now);
    BOOST_TEST(claim.holds());
    const auto stopping = claim.next_call(now, false, 0);
    BOOST_REQUIRE((stopping && std::holds_alternative<end_lease>(*stopping))); // seen in inc-5afb: only after a renewal
    claim.succeeded(0, now);
    BOOST_TEST(!claim.holds());
}

BOOST_AUTO_TEST_CASE(a_taken_slot_is_left_alone) {
    known.apply(feeder_record(3, "other", "north", 0, own_feeder), now);
    for (int step = 0; step < 1'000; ++step, now += 10ms)
        BOOST_REQUIRE(!claim.next_call(now, true, 0).has_value());
}

BOOST_AUTO_TEST_CASE(a_lost_race_leaves_the_slot_to_the_winner) {
    wait_for<grant_lease>();
    claim.succeeded(7, now);
    wait_for<put_feeder>();
    claim.failed(claim_error::conflict, now);
    BOOST_TEST(!claim.holds());
}

// The lease may lapse while the process is paused, or the key be taken away without a word.
BOOST_AUTO_TEST_CASE(a_lease_that_ended_unseen_is_claimed_anew) {
    become_feeder();
    wait_for<renew_lease>();
    claim.failed(claim_error::lease_ended, now);
    BOOST_TEST(!claim.holds());
    wait_for<grant_lease>();
}

BOOST_AUTO_TEST_CASE(renewals_without_an_answer_are_repeated_until_the_lease_must_have_ended) {
    become_feeder();
    unsigned renewals = 0;
    for (int step = 0; step < 700 && claim.holds(); ++step, now += 10ms) {
        const auto call = claim.next_call(now, true, 0);
        if (!call) continue;
        if (!std::holds_alternative<renew_lease>(*call)) break;
        ++renewals;
        claim.failed(claim_error::unavailable, now);
    }
    BOOST_TEST(!claim.holds());
    BOOST_TEST(renewals >= 3U);
}

BOOST_AUTO_TEST_CASE(a_feeder_that_was_overtaken_steps_down) {
    become_feeder();
    known.apply(feeder_record(9, "other", "north", 0, other_feeder), now);
    for (int step = 0; step < 300; ++step, now += 10ms)
        claim.next_call(now, true, 0);
    BOOST_TEST(!claim.holds());
}

BOOST_AUTO_TEST_SUITE_END()

// Seen in the soak (seed 3): a balancer that had been paused placed a SYN whose copy had opened the flow elsewhere.
BOOST_AUTO_TEST_CASE(a_pause_of_the_process_is_noticed) {
    pause_detector pauses;
    steady_time    now{1h};
    BOOST_TEST(!pauses.note_round(now));
    for (int round = 0; round < 10; ++round)
        BOOST_TEST(!pauses.note_round(now += 110ms));
    BOOST_TEST(pauses.note_round(now += 1s));
    BOOST_TEST(!pauses.note_round(now += 100ms));
}

BOOST_AUTO_TEST_CASE(a_stop_leaves_the_rotation_before_it_ends) {
    lifecycle         life(6s);
    const steady_time start{1h};
    BOOST_TEST(!life.ready());
    life.note_synchronized();
    BOOST_TEST(life.ready());
    life.ask_to_stop(start);
    BOOST_TEST(!life.ready());
    BOOST_TEST(!life.may_end(start + 900ms)); // the fabric has not noticed yet
    life.note_packet(start + 1'400ms);
    BOOST_TEST(!life.may_end(start + 1'500ms)); // packets still come
    BOOST_TEST(life.may_end(start + 1'700ms));
    for (auto at = start; at < start + 6s; at += 100ms)
        life.note_packet(at);
    BOOST_TEST(life.may_end(start + 5'600ms)); // the host ends the process at 6 s
}
