// Feeder and follower over real sockets. Guards against followers that accept records from a program other than a
// feeder, and against feeders that serve, or are overloaded by, callers that do not read the same store.
#define BOOST_TEST_MODULE entry_feed
#include "daemons/entry/feed_server.h"
#include "entry_fixture.h"
#include "failing_allocation.h"
#include "loopback_endpoint.h"
#include "platform/feed_format.h"
#include "platform/store_client.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace tamarack;
using namespace tamarack::entry;
using namespace std::chrono_literals;

namespace {

const endpoint feeder_endpoint = loopback_endpoint(91, 7'720);

constexpr feed_key feeder_key{{7, 7, 7}};
constexpr feed_key other_key{{8, 8, 8}};

const char* const backend_json = R"({"service":"desk","address":"10.0.0.1:80","zone":"north","state":"ready"})";

// A feeder whose replica has one backend server, and a client that reads from it.
struct feeder_fixture {
    boost::asio::io_context    context;
    system_clock               time;
    replica                    store_replica{1'000};
    std::optional<feed_server> server;
    std::optional<http_server> listener;
    std::uint64_t              rejected_requests = 0;
    platform::store_client     client{context, feeder_endpoint};

    feeder_fixture() {
        store_replica.note_store_available(time.steady_now());
        record backend = backend_record(2, registration_of(1));
        backend.key = "servers/i-1";
        backend.raw_value = backend_json;
        store_replica.apply_listing(std::vector{backend}, at_revision(5), time.steady_now());
        server.emplace(feed(store_replica, {.key = feeder_key}, time.steady_now()));
        auto opened_server = http_server::open(
            context, feeder_endpoint, [this](const server_request& request, http_server::response_callback respond) {
                const bool is_admitted =
                    server->handle(request.target, request.caller, time.steady_now(), std::move(respond));
                if (!is_admitted) ++rejected_requests;
            });
        BOOST_REQUIRE(opened_server.has_value());
        listener = std::move(opened_server).value();
    }

    result<record_page, read_failure> read(read_kind kind, const record_source& source, std::uint64_t position = 0) {
        read_call call;
        call.kind = kind;
        call.source = source;
        call.after_position = position;
        call.after_revision = at_revision(position);
        call.max_wait = 50ms;
        call.connect_timeout = 2s;
        call.timeout = 2s;
        std::optional<result<record_page, read_failure>> outcome;
        client.read(call, [&](result<record_page, read_failure> received) { outcome = std::move(received); });
        const steady_time deadline = time.steady_now() + 5s;
        while (!outcome && time.steady_now() < deadline) {
            context.run_for(10ms);
            context.restart();
            store_replica.note_store_available(time.steady_now());
            server->poll(time.steady_now());
        }
        BOOST_REQUIRE(outcome.has_value());
        return *outcome;
    }
};

const record_source feeder{source_kind::feeder, feeder_endpoint, feeder_key};
const record_source feeder_with_other_key{source_kind::feeder, feeder_endpoint, other_key};
const record_source contact{source_kind::contact, feeder_endpoint, {}};

} // namespace

BOOST_FIXTURE_TEST_SUITE(feed_calls, feeder_fixture)

BOOST_AUTO_TEST_CASE(follower_with_the_key_lists_resumes_and_watches) {
    const auto listing = read(read_kind::list, feeder);
    BOOST_REQUIRE(listing.has_value());
    BOOST_TEST(listing.value().records.size() == 1U);
    BOOST_TEST(listing.value().revision.number == 5U);
    BOOST_TEST((read(read_kind::resume, feeder, 1).error().error == read_error::history_dropped));
    store_replica.apply({"servers/i-2", at_revision(6), registration_of(2),
                         R"({"service":"desk","address":"10.0.0.2:80","zone":"north","state":"ready"})"},
                        time.steady_now());
    const auto resumed = read(read_kind::resume, feeder, 5);
    BOOST_REQUIRE(resumed.has_value());
    BOOST_TEST(resumed.value().records.size() == 1U);
    BOOST_TEST(resumed.value().position > listing.value().position);
    const auto watch = read(read_kind::watch, feeder, resumed.value().position);
    BOOST_REQUIRE(watch.has_value());
    BOOST_TEST(watch.value().records.empty());
    BOOST_TEST(rejected_requests == 0U);
}

BOOST_AUTO_TEST_CASE(requests_with_another_key_are_rejected_and_counted) {
    BOOST_TEST(!read(read_kind::list, feeder_with_other_key).has_value());
    BOOST_TEST(!read(read_kind::watch, feeder_with_other_key, store_replica.generation()).has_value());
    BOOST_TEST(rejected_requests == 2U);
}

// A host that starts while the store is unavailable cannot have the key. It may read a listing, but not watch.
BOOST_AUTO_TEST_CASE(requests_without_a_key_may_only_list) {
    BOOST_TEST(read(read_kind::list, contact).has_value());
    BOOST_TEST(!read(read_kind::watch, contact, store_replica.generation()).has_value());
    BOOST_TEST(rejected_requests == 1U);
}

// If a feeder restarts before its lease expires, the store still has the key of the earlier process.
BOOST_AUTO_TEST_CASE(restarted_feeder_accepts_the_key_of_its_earlier_process) {
    store_replica.apply(
        {"feeder/north/0", at_revision(6), feeder_registration{"self", "north", 0, feeder_endpoint, other_key}, "raw"},
        time.steady_now());
    BOOST_TEST(read(read_kind::list, feeder_with_other_key).has_value());
    BOOST_TEST(read(read_kind::list, feeder).has_value());
    BOOST_TEST(rejected_requests == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

// A listing is the most expensive response. Callers without the key must not overload a feeder with listings.
BOOST_AUTO_TEST_CASE(unauthenticated_listings_are_rate_limited) {
    replica           store_replica(1'000);
    const steady_time now{1h};
    store_replica.apply_listing({}, at_revision(5), now);
    feed record_feed(store_replica, {.key = feeder_key}, now);
    int  served = 0;
    for (int request = 0; request < 1'000; ++request)
        served += record_feed.list_unauthenticated(now).status == feed_status::ok ? 1 : 0;
    BOOST_TEST(served > 0);
    BOOST_TEST(served <= 64); // the number of hosts in a failure domain
    BOOST_TEST((record_feed.list({1, ip_address::v4(1)}, now)->status == feed_status::ok));
    BOOST_TEST((record_feed.list_unauthenticated(now + 1s).status == feed_status::ok));
}

// The time of arrival was missing: each response told that its request was held since the clock began, and followers
// took the time that an answer had travelled for time that the feeder had waited.
BOOST_AUTO_TEST_CASE(response_tells_how_long_its_request_was_held) {
    replica           store_replica(1'000);
    const steady_time now{1h};
    store_replica.note_store_available(now);
    store_replica.apply_listing({}, at_revision(5), now);
    feed_server       server(feed(store_replica, {.key = feeder_key}, now));
    const std::string list = platform::add_request_mac("/tamarackshore/kv-range?prefix=", feeder_key, 5);
    std::string       body;
    server.handle(list, "127.0.0.1:9", now, [&](const server_response& response) { body = response.body; });
    const auto verified = platform::verify_response(body, feeder_key, 5);
    BOOST_REQUIRE(verified.has_value());
    BOOST_TEST((verified->held == 0ms));
}

// An exception while one response was made left the other requests, and their connections, waiting for ever.
BOOST_AUTO_TEST_CASE(response_without_memory_does_not_leave_other_requests_waiting) {
    constexpr std::size_t large = 20'000; // bytes; beyond all allocations but those for the records and the responses
    unsigned              failures = 0;
    for (unsigned passed = 0; passed < 12; ++passed) {
        replica     store_replica(1'000);
        steady_time now{1h};
        store_replica.note_store_available(now);
        store_replica.apply_listing({}, at_revision(5), now);
        feed_server server(feed(store_replica, {.key = feeder_key}, now));
        auto        waiting = std::make_shared<int>(); // each request that has not ended has a share of it
        for (std::uint64_t nonce = 1; nonce <= 2; ++nonce) {
            const std::string watch = platform::add_request_mac(
                "/tamarackshore/kv-watch?prefix=&after=" + std::to_string(store_replica.generation()) + "&wait_ms=1000",
                feeder_key, nonce);
            server.handle(watch, "127.0.0.1:9", now, [waiting](const server_response&) {});
            record backend = backend_record(nonce, registration_of(nonce));
            backend.revision = at_revision(5 + nonce);
            backend.raw_value = std::string(large, '\xff');
            store_replica.apply(backend, now);
        }
        next_failing_allocation = {large, passed};
        for (int step = 0; step < 40; ++step) {
            now += 100ms;
            store_replica.note_store_available(now);
            try {
                server.poll(now);
            } catch (const std::bad_alloc&) {
                ++failures;
            }
        }
        next_failing_allocation = {};
        BOOST_TEST(waiting.use_count() == 1, "after " << passed << " allocations");
    }
    BOOST_TEST(failures > 0U);
}

// Requests may have any content: each must get exactly one response, and only authenticated ones may be kept pending.
BOOST_AUTO_TEST_CASE(corrupt_requests_get_exactly_one_error_response) {
    replica           store_replica(1'000);
    const steady_time now{1h};
    store_replica.apply_listing({}, at_revision(5), now);
    feed_server       server(feed(store_replica, {.key = feeder_key}, now));
    const std::string watch =
        platform::add_request_mac("/tamarackshore/kv-watch?prefix=&after=1&wait_ms=1500", other_key, 5);
    std::mt19937 random(20261204);
    for (int i = 0; i < 100'000; ++i) {
        std::string target = watch.substr(0, random() % 3 == 0 ? random() % watch.size() : watch.size());
        for (std::size_t changes = random() % 6; changes > 0 && !target.empty(); --changes)
            target[random() % target.size()] = static_cast<char>(random());
        int response_count = 0;
        server.handle(target, "10.0.0.9:40000", now, [&](const server_response& response) {
            ++response_count;
            BOOST_REQUIRE(response.status >= 400U);
        });
        BOOST_REQUIRE(response_count == 1);
    }
    BOOST_TEST(server.followers(now).empty());
}
