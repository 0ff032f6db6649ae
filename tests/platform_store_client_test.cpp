// The store's client over real sockets, with the stand-in of the store. Guards against requests and responses that do
// not follow the store's protocol, and against calls that hang when no response arrives.
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

const endpoint store_endpoint = loopback_endpoint(90, 8'169);

read_call list_call() {
    read_call call;
    call.timeout = 600ms;
    return call;
}

read_call watch_call(std::uint64_t after, duration wait) {
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
    standin::kv_store       store;
    standin::kv_server      server{context, store_endpoint, store, time};
    platform::store_client  client{context, store_endpoint};

    store_fixture() {
        store.put("op/config", R"({"version":3,"routes":[{"host":"198.18.0.1","prefix":"/443/","service":"desk"}]})");
        store.put("servers/i-1f", R"({"service":"desk","address":"10.0.0.1:80","zone":"north","state":"ready"})");
    }

    result<record_page, read_error> read(const read_call& call) {
        std::optional<result<record_page, read_error>> outcome;
        client.read(call, [&](result<record_page, read_error> received) { outcome = std::move(received); });
        run_until([&] { return outcome.has_value(); });
        return *outcome;
    }
    result<std::uint64_t, claim_error> claim(const claim_call& call) {
        std::optional<result<std::uint64_t, claim_error>> outcome;
        client.claim(call, [&](result<std::uint64_t, claim_error> received) { outcome = received; });
        run_until([&] { return outcome.has_value(); });
        return *outcome;
    }
    template <class Predicate>
    void run_until(Predicate is_done) {
        const steady_time deadline = time.steady_now() + 5s;
        while (!is_done() && time.steady_now() < deadline) {
            context.run_for(10ms);
            context.restart();
            server.poll();
        }
        BOOST_REQUIRE(is_done());
    }
};

const feeder_registration own_registration{"one", "north", 0, {ip_address::v4(0x7f000001), 7720}};

} // namespace

BOOST_FIXTURE_TEST_SUITE(store_calls, store_fixture)

BOOST_AUTO_TEST_CASE(listing_and_watch_return_the_records) {
    const auto listing = read(list_call());
    BOOST_REQUIRE(listing.has_value());
    BOOST_TEST(listing.value().records.size() == 2U);
    store.remove("servers/i-1f");
    const auto changes = read(watch_call(listing.value().position, std::chrono::seconds(1)));
    BOOST_REQUIRE(changes.has_value());
    BOOST_REQUIRE(changes.value().records.size() == 1U);
    BOOST_TEST(std::holds_alternative<removed_record>(changes.value().records.front().content));
}

BOOST_AUTO_TEST_CASE(watch_without_a_change_returns_no_records) {
    const auto changes = read(watch_call(store.revision(), 100ms));
    BOOST_REQUIRE(changes.has_value());
    BOOST_TEST(changes.value().records.empty());
    BOOST_TEST(changes.value().position == store.revision());
}

BOOST_AUTO_TEST_CASE(each_failure_maps_to_its_error) {
    store.drop_history();
    BOOST_TEST((read(watch_call(1, 1s)).error() == read_error::history_dropped));
    server.fault = standin::kv_fault::unavailable;
    BOOST_TEST((read(list_call()).error() == read_error::refused));
    server.fault = standin::kv_fault::rate_limited;
    BOOST_TEST((read(list_call()).error() == read_error::refused));
    server.fault = standin::kv_fault::unresponsive;
    BOOST_TEST((read(list_call()).error() == read_error::timed_out));
    server.fault = standin::kv_fault::none;
    BOOST_TEST(read(list_call()).has_value()); // uses a new connection
}

BOOST_AUTO_TEST_CASE(feeder_slot_is_claimed_renewed_and_released) {
    const auto lease = claim(grant_lease{6s});
    BOOST_REQUIRE(lease.has_value());
    BOOST_TEST(claim(put_feeder{own_registration, lease.value()}).has_value());
    BOOST_TEST(store.items().contains("tamarack/feeders/north/0"));
    BOOST_TEST((claim(put_feeder{own_registration, lease.value()}).error() == claim_error::conflict));
    BOOST_TEST(claim(renew_lease{lease.value()}).has_value());
    BOOST_TEST(claim(end_lease{lease.value()}).has_value());
    BOOST_TEST(!store.items().contains("tamarack/feeders/north/0"));
    BOOST_TEST((claim(renew_lease{lease.value()}).error() == claim_error::lease_ended));
}

// The store executes the write, but its response is lost.
BOOST_AUTO_TEST_CASE(lost_response_is_reported_as_unavailable) {
    const auto lease = claim(grant_lease{6s});
    server.loses_write_answers = true;
    BOOST_TEST((claim(put_feeder{own_registration, lease.value()}).error() == claim_error::unavailable));
    BOOST_TEST(store.items().contains("tamarack/feeders/north/0"));
}

BOOST_AUTO_TEST_CASE(connection_failure_is_reported_as_unreachable) {
    platform::store_client    unreachable_client(context, {ip_address::v4(0x7f000001), 1});
    std::optional<read_error> error;
    unreachable_client.read(list_call(),
                            [&](const result<record_page, read_error>& received) { error = received.error(); });
    run_until([&] { return error.has_value(); });
    BOOST_TEST((*error == read_error::unreachable));
}

BOOST_AUTO_TEST_SUITE_END()
