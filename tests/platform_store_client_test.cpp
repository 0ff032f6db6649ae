// The client of the store over real sockets with the stand-in: guards against calls that are written or read otherwise
// than the store speaks, and against answers that never come.
#define BOOST_TEST_MODULE platform_store_client
#include "loopback_endpoint.h"
#include "platform/store_client.h"
#include "standins/kv_server.h"
#include "tamarack/clock.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace tamarack::entry;
using namespace std::chrono_literals;

namespace {

const endpoint own_endpoint = loopback_endpoint(90, 8'169);

read_call a_list() {
    read_call call;
    call.timeout = 600ms;
    return call;
}

read_call a_watch(std::uint64_t after, duration wait) {
    read_call call;
    call.kind = read_kind::watch;
    call.after_position = after;
    call.max_wait = wait;
    call.timeout = 2s;
    return call;
}

struct store_fixture {
    boost::asio::io_context context;
    system_clock            time;
    standin::kv_store       keys;
    standin::kv_server      server{context, own_endpoint, keys, time};
    platform::store_client  client{context, own_endpoint};

    store_fixture() {
        keys.put("op/config", R"({"version":3,"routes":[{"host":"198.18.0.1","prefix":"/443/","service":"desk"}]})");
        keys.put("servers/i-1f", R"({"service":"desk","address":"10.0.0.1:80","zone":"north","state":"ready"})");
    }

    result<record_page, read_error> read(const read_call& what) {
        std::optional<result<record_page, read_error>> outcome;
        client.read(what, [&](result<record_page, read_error> got) { outcome = std::move(got); });
        run_until([&] { return outcome.has_value(); });
        return *outcome;
    }
    result<std::uint64_t, claim_error> claim(const claim_call& what) {
        std::optional<result<std::uint64_t, claim_error>> outcome;
        client.claim(what, [&](result<std::uint64_t, claim_error> got) { outcome = got; });
        run_until([&] { return outcome.has_value(); });
        return *outcome;
    }
    template <class Done>
    void run_until(Done done) {
        const steady_time end = time.steady_now() + 5s;
        while (!done() && time.steady_now() < end) {
            context.run_for(10ms);
            context.restart();
            server.poll();
        }
        BOOST_REQUIRE(done());
    }
};

const feeder_registration self{"one", "north", 0, {ip_address::v4(0x7f000001), 7720}};

} // namespace

BOOST_FIXTURE_TEST_SUITE(store_calls, store_fixture)

BOOST_AUTO_TEST_CASE(a_listing_and_a_watch_bring_the_records) {
    const auto listing = read(a_list());
    BOOST_REQUIRE(listing.has_value());
    BOOST_TEST(listing.value().records.size() == 2U);
    keys.remove("servers/i-1f");
    const auto changes = read(a_watch(listing.value().position, std::chrono::seconds(1)));
    BOOST_REQUIRE(changes.has_value());
    BOOST_REQUIRE(changes.value().records.size() == 1U);
    BOOST_TEST(std::holds_alternative<removed_record>(changes.value().records.front().content));
}

BOOST_AUTO_TEST_CASE(a_watch_without_a_change_ends_empty) {
    const auto changes = read(a_watch(keys.revision(), 100ms));
    BOOST_REQUIRE(changes.has_value());
    BOOST_TEST(changes.value().records.empty());
    BOOST_TEST(changes.value().position == keys.revision());
}

BOOST_AUTO_TEST_CASE(each_refusal_has_its_error) {
    keys.drop_history();
    BOOST_TEST((read(a_watch(1, 1s)).error() == read_error::history_dropped));
    server.fault = standin::kv_fault::unavailable;
    BOOST_TEST((read(a_list()).error() == read_error::refused));
    server.fault = standin::kv_fault::rate_limited;
    BOOST_TEST((read(a_list()).error() == read_error::refused));
    server.fault = standin::kv_fault::unresponsive;
    BOOST_TEST((read(a_list()).error() == read_error::timed_out));
    server.fault = standin::kv_fault::none;
    BOOST_TEST(read(a_list()).has_value()); // over a new connection
}

BOOST_AUTO_TEST_CASE(a_feeders_key_is_claimed_renewed_and_given_up) {
    const auto lease = claim(grant_lease{6s});
    BOOST_REQUIRE(lease.has_value());
    BOOST_TEST(claim(put_feeder{self, lease.value()}).has_value());
    BOOST_TEST(keys.items().contains("tamarack/feeders/north/0"));
    BOOST_TEST((claim(put_feeder{self, lease.value()}).error() == claim_error::conflict));
    BOOST_TEST(claim(renew_lease{lease.value()}).has_value());
    BOOST_TEST(claim(end_lease{lease.value()}).has_value());
    BOOST_TEST(!keys.items().contains("tamarack/feeders/north/0"));
    BOOST_TEST((claim(renew_lease{lease.value()}).error() == claim_error::lease_ended));
}

// The write is done, but its answer never comes.
BOOST_AUTO_TEST_CASE(a_lost_answer_ends_as_unavailable) {
    const auto lease = claim(grant_lease{6s});
    server.loses_write_answers = true;
    BOOST_TEST((claim(put_feeder{self, lease.value()}).error() == claim_error::unavailable));
    BOOST_TEST(keys.items().contains("tamarack/feeders/north/0"));
}

BOOST_AUTO_TEST_CASE(a_store_that_is_not_there_is_unreachable) {
    platform::store_client    nobody(context, {ip_address::v4(0x7f000001), 1});
    std::optional<read_error> error;
    nobody.read(a_list(), [&](const result<record_page, read_error>& got) { error = got.error(); });
    run_until([&] { return error.has_value(); });
    BOOST_TEST((*error == read_error::unreachable));
}

BOOST_AUTO_TEST_SUITE_END()
