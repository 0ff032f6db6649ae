// The sequence of calls on the store, its failures, and the end of a graceful stop.
#define BOOST_TEST_MODULE entry_store_sync
#include "entry/lifecycle.h"
#include "entry/store_sync.h"
#include "entry_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace tamarack::entry;
using namespace std::chrono_literals;

namespace {

struct sync_fixture {
    replica     known;
    store_sync  sync{known, 1};
    steady_time now{1h};

    store_call next() {
        const auto call = sync.next_call(now);
        BOOST_REQUIRE(call.has_value());
        return *call;
    }
    void list(std::uint64_t revision) {
        next();
        sync.succeeded({{configuration_record(1, 1), backend_record(2, registration_of(1))}, revision, false}, now);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(store_sync_suite, sync_fixture)

BOOST_AUTO_TEST_CASE(a_listing_is_followed_by_a_watch_from_its_revision) {
    BOOST_TEST((next().kind == store_call_kind::list));
    BOOST_TEST(!sync.next_call(now).has_value()); // one call at a time
    sync.succeeded({{configuration_record(1, 1)}, 5, false}, now);
    const store_call watch = next();
    BOOST_TEST((watch.kind == store_call_kind::watch));
    BOOST_TEST(watch.after_revision == 5U);
    BOOST_TEST((watch.timeout > watch.wait));
}

// Pages are no snapshot: what is removed between two pages is only seen by a watch from the first page's revision.
BOOST_AUTO_TEST_CASE(the_watch_begins_at_the_revision_of_the_first_page) {
    next();
    sync.succeeded({{backend_record(2, registration_of(1))}, 5, true}, now);
    const store_call second = next();
    BOOST_TEST((second.kind == store_call_kind::list));
    BOOST_TEST(second.after_key == "backend/1");
    BOOST_TEST(!known.complete());
    sync.succeeded({{backend_record(6, registration_of(2))}, 7, false}, now);
    BOOST_TEST(known.complete());
    BOOST_TEST(next().after_revision == 5U);
}

BOOST_AUTO_TEST_CASE(a_dropped_history_leads_to_a_listing_at_once) {
    list(5);
    next();
    sync.failed(store_error::history_dropped, now);
    BOOST_TEST((next().kind == store_call_kind::list));
}

// A watch may be cut at any time; that alone is no outage.
BOOST_AUTO_TEST_CASE(a_cut_watch_is_repeated_at_once_and_a_second_failure_is_an_outage) {
    list(5);
    next();
    sync.failed(store_error::unreachable, now);
    BOOST_TEST(known.store_steady_since().has_value());
    next();
    sync.failed(store_error::unreachable, now);
    BOOST_TEST(!known.store_steady_since().has_value());
    BOOST_TEST(!sync.next_call(now).has_value());
    BOOST_TEST(sync.next_call(now + 1s).has_value());
}

BOOST_AUTO_TEST_CASE(repeated_calls_of_an_absent_store_become_rarer) {
    unsigned calls = 0;
    for (int step = 0; step < 1'000; ++step, now += 10ms) {
        if (!sync.next_call(now)) continue;
        ++calls;
        sync.failed(store_error::refused, now);
    }
    BOOST_TEST(calls <= 30U); // in 10 s
    BOOST_TEST(calls >= 10U); // its return is noticed within a second
}

BOOST_AUTO_TEST_CASE(changes_in_quick_succession_share_an_answer) {
    list(5);
    unsigned calls = 0;
    for (int step = 0; step < 100; ++step, now += 10ms) { // an event every 10 ms for 1 s
        if (!sync.next_call(now)) continue;
        ++calls;
        sync.succeeded({{backend_record(10U + static_cast<unsigned>(step), registration_of(1))}, 200, false}, now);
    }
    BOOST_TEST(calls <= 11U);
}

BOOST_AUTO_TEST_SUITE_END()

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
