// Feeder and follower over real sockets: guards against records that come from another program than a feeder, and
// against feeders that serve, or are flooded by, callers that do not read the same store.
#define BOOST_TEST_MODULE entry_feed
#include "daemons/entry/feed_server.h"
#include "entry_fixture.h"
#include "loopback_endpoint.h"
#include "platform/feed_format.h"
#include "platform/store_client.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace tamarack;
using namespace tamarack::entry;
using namespace std::chrono_literals;

namespace {

const endpoint own_endpoint = loopback_endpoint(91, 7'720);

constexpr feed_key key{{7, 7, 7}};
constexpr feed_key other_key{{8, 8, 8}};

const char* const registration = R"({"service":"desk","address":"10.0.0.1:80","zone":"north","state":"ready"})";

// A feeder that knows one backend server, and a client that may follow it.
struct feeder_fixture {
    boost::asio::io_context       context;
    system_clock                  time;
    replica                       known{1'000};
    std::optional<feed_server>    server;
    std::optional<http_responder> responder;
    std::uint64_t                 rejected = 0;
    platform::store_client        client{context, own_endpoint};

    feeder_fixture() {
        known.note_store_available(time.steady_now());
        record item = backend_record(2, registration_of(1));
        item.key = "servers/i-1";
        item.raw_value = registration;
        known.apply_snapshot(std::vector{item}, 5, time.steady_now());
        server.emplace(feed(known, "self", key, time.steady_now()));
        auto opened =
            http_responder::open(context, own_endpoint, [this](const http_call& call, http_responder::reply respond) {
                const bool admitted = server->handle(call.target, true, time.steady_now(), std::move(respond));
                if (!admitted) ++rejected;
            });
        BOOST_REQUIRE(opened.has_value());
        responder = std::move(opened).value();
    }

    result<record_page, read_error> read(read_kind kind, const record_source& source, std::uint64_t position = 0) {
        read_call call;
        call.kind = kind;
        call.source = source;
        call.after_position = position;
        call.max_wait = 50ms;
        call.timeout = 2s;
        std::optional<result<record_page, read_error>> outcome;
        client.read(call, [&](result<record_page, read_error> got) { outcome = std::move(got); });
        const steady_time end = time.steady_now() + 5s;
        while (!outcome && time.steady_now() < end) {
            context.run_for(10ms);
            context.restart();
            server->poll(true, time.steady_now());
        }
        BOOST_REQUIRE(outcome.has_value());
        return *outcome;
    }
};

const record_source feeder{source_kind::feeder, own_endpoint, key};
const record_source wrong_feeder{source_kind::feeder, own_endpoint, other_key};
const record_source contact{source_kind::contact, own_endpoint, {}};

} // namespace

BOOST_FIXTURE_TEST_SUITE(feed_calls, feeder_fixture)

BOOST_AUTO_TEST_CASE(a_follower_that_knows_the_key_lists_and_watches) {
    const auto listing = read(read_kind::list, feeder);
    BOOST_REQUIRE(listing.has_value());
    BOOST_TEST(listing.value().records.size() == 1U);
    BOOST_TEST(listing.value().revision == 5U);
    const auto resumed = read(read_kind::resume, feeder, 1);
    BOOST_REQUIRE(resumed.has_value());
    BOOST_TEST(resumed.value().records.size() == 1U);
    BOOST_TEST(resumed.value().position == listing.value().position);
    const auto watch = read(read_kind::watch, feeder, listing.value().position);
    BOOST_REQUIRE(watch.has_value());
    BOOST_TEST(watch.value().records.empty());
    BOOST_TEST(rejected == 0U);
}

BOOST_AUTO_TEST_CASE(a_caller_with_another_key_is_rejected_and_counted) {
    BOOST_TEST(!read(read_kind::list, wrong_feeder).has_value());
    BOOST_TEST(!read(read_kind::watch, wrong_feeder, known.generation()).has_value());
    BOOST_TEST(rejected == 2U);
}

// A host that starts while the store is away cannot have the key: it gets a listing, and no more.
BOOST_AUTO_TEST_CASE(a_host_without_a_key_may_only_list) {
    BOOST_TEST(read(read_kind::list, contact).has_value());
    BOOST_TEST(!read(read_kind::watch, contact, known.generation()).has_value());
    BOOST_TEST(rejected == 1U);
}

// After a restart within its lease the store still shows the key of the earlier process.
BOOST_AUTO_TEST_CASE(a_restarted_feeder_answers_those_that_know_its_earlier_key) {
    known.apply({"feeder/north/0", 6, feeder_registration{"self", "north", 0, own_endpoint, other_key}, "raw"},
                time.steady_now());
    BOOST_TEST(read(read_kind::list, wrong_feeder).has_value());
    BOOST_TEST(read(read_kind::list, feeder).has_value());
    BOOST_TEST(rejected == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

// A listing is the dearest answer; callers that prove nothing must not keep a feeder busy with them.
BOOST_AUTO_TEST_CASE(listings_without_a_proof_are_limited_in_rate) {
    replica           known(1'000);
    const steady_time now{1h};
    known.apply_snapshot({}, 5, now);
    feed followers(known, "self", key, now);
    int  given = 0;
    for (int call = 0; call < 1'000; ++call)
        given += followers.list_unauthenticated(now).status == feed_status::ok ? 1 : 0;
    BOOST_TEST(given > 0);
    BOOST_TEST(given <= 64); // the hosts of a failure domain
    BOOST_TEST((followers.list(now).status == feed_status::ok));
    BOOST_TEST((followers.list_unauthenticated(now + 1s).status == feed_status::ok));
}

// Any bytes may come as a call: each gets one answer, and only a proved one waits.
BOOST_AUTO_TEST_CASE(random_calls_are_answered_without_harm) {
    replica           known(1'000);
    const steady_time now{1h};
    known.apply_snapshot({}, 5, now);
    feed_server       server(feed(known, "self", key, now));
    const std::string watch =
        platform::prove_request("/tamarackshore/kv-watch?prefix=&after=1&wait_ms=1500", other_key, 5);
    std::mt19937 random(20261204);
    for (int i = 0; i < 100'000; ++i) {
        std::string target = watch.substr(0, random() % 3 == 0 ? random() % watch.size() : watch.size());
        for (std::size_t changes = random() % 6; changes > 0 && !target.empty(); --changes)
            target[random() % target.size()] = static_cast<char>(random());
        int answers = 0;
        server.handle(target, true, now, [&](const http_answer& answer) {
            ++answers;
            BOOST_REQUIRE(answer.status >= 400U);
        });
        BOOST_REQUIRE(answers == 1);
    }
    BOOST_TEST(server.followers() == 0U);
}
