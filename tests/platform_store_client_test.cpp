// The store's client over real sockets, with the stand-in of the store. Guards against requests and responses that do
// not follow the store's protocol, and against calls that hang when no response arrives.
#define BOOST_TEST_MODULE platform_store_client
#include "loopback_endpoint.h"
#include "platform/store_client.h"
#include "standins/kv_server.h"
#include "tamarack/clock.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
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
    call.connect_timeout = 2s;
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

    result<record_page, read_failure> read(const read_call& call) {
        std::optional<result<record_page, read_failure>> outcome;
        client.read(call, [&](result<record_page, read_failure> received) { outcome = std::move(received); });
        run_until([&] { return outcome.has_value(); });
        return *outcome;
    }
    result<claim_answer, claim_error> claim(const claim_call& call) {
        std::optional<result<claim_answer, claim_error>> outcome;
        client.claim(call, [&](result<claim_answer, claim_error> received) { outcome = received; });
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
    BOOST_TEST((read(watch_call(1, 1s)).error().error == read_error::history_dropped));
    server.fault = standin::kv_fault::unavailable;
    BOOST_TEST((read(list_call()).error().error == read_error::refused));
    server.fault = standin::kv_fault::rate_limited;
    BOOST_TEST((read(list_call()).error().error == read_error::refused));
    server.fault = standin::kv_fault::unresponsive;
    BOOST_TEST((read(list_call()).error().error == read_error::timed_out));
    server.fault = standin::kv_fault::none;
    BOOST_TEST(read(list_call()).has_value()); // uses a new connection
}

BOOST_AUTO_TEST_CASE(feeder_slot_is_claimed_renewed_and_released) {
    const auto lease = claim(grant_lease{6s});
    BOOST_REQUIRE(lease.has_value());
    BOOST_TEST(claim(put_feeder{own_registration, lease.value().lease}).has_value());
    BOOST_TEST(store.items().contains("tamarack/feeders/north/0"));
    BOOST_TEST((claim(put_feeder{own_registration, lease.value().lease}).error() == claim_error::conflict));
    BOOST_TEST(claim(renew_lease{lease.value().lease}).has_value());
    BOOST_TEST(claim(end_lease{lease.value().lease}).has_value());
    BOOST_TEST(!store.items().contains("tamarack/feeders/north/0"));
    BOOST_TEST((claim(renew_lease{lease.value().lease}).error() == claim_error::lease_ended));
}

// The store executes the write, but its response is lost.
// A balancer looks for the feeders before it lists all records.
BOOST_AUTO_TEST_CASE(feeders_are_found_without_the_other_records) {
    const auto lease = claim(grant_lease{6s});
    BOOST_REQUIRE(lease.has_value());
    BOOST_REQUIRE(claim(put_feeder{own_registration, lease.value().lease}).has_value());
    read_call call = list_call();
    call.kind = read_kind::find_feeders;
    const auto feeders = read(call);
    BOOST_REQUIRE(feeders.has_value());
    BOOST_REQUIRE(feeders.value().records.size() == 1U);
    BOOST_TEST(std::get<feeder_registration>(feeders.value().records.front().content).name == "one");
}

// A balancer that started again within its lease replaces its own registration, and only that revision of it.
BOOST_AUTO_TEST_CASE(registration_is_replaced_only_in_the_expected_revision) {
    const auto lease = claim(grant_lease{6s});
    BOOST_REQUIRE(claim(put_feeder{own_registration, lease.value().lease}).has_value());
    const std::uint64_t revision = store.items().at("tamarack/feeders/north/0").revision;
    const auto          next_lease = claim(grant_lease{6s});
    BOOST_TEST(
        (claim(put_feeder{own_registration, next_lease.value().lease, revision + 1}).error() == claim_error::conflict));
    BOOST_TEST(claim(put_feeder{own_registration, next_lease.value().lease, revision}).has_value());
}

BOOST_AUTO_TEST_CASE(lost_response_is_reported_as_unavailable) {
    const auto lease = claim(grant_lease{6s});
    server.loses_write_answers = true;
    BOOST_TEST((claim(put_feeder{own_registration, lease.value().lease}).error() == claim_error::unavailable));
    BOOST_TEST(store.items().contains("tamarack/feeders/north/0"));
}

BOOST_AUTO_TEST_CASE(connection_failure_is_reported_as_unreachable) {
    platform::store_client    unreachable_client(context, {ip_address::v4(0x7f000001), 1});
    std::optional<read_error> error;
    unreachable_client.read(list_call(),
                            [&](const result<record_page, read_failure>& received) { error = received.error().error; });
    run_until([&] { return error.has_value(); });
    BOOST_TEST((*error == read_error::unreachable));
}

// A host that accepts a connection late, and then does not answer, took the time for both: the caller's next source was
// asked too late.
BOOST_AUTO_TEST_CASE(the_timeout_of_a_call_includes_connecting) {
    using boost::asio::ip::tcp;
    const endpoint      slow_host = loopback_endpoint(91, 8'169);
    const tcp::endpoint address(boost::asio::ip::make_address(slow_host.address.to_string()), slow_host.port);
    tcp::acceptor       acceptor(context, address.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(address);
    acceptor.listen(0); // one connection may wait; the next one is opened a second later, when its SYN is repeated
    tcp::socket waiting(context);
    waiting.connect(address);
    platform::store_client slow_client(context, slow_host);
    read_call              call = watch_call(1, 0s);
    call.connect_timeout = 1'400ms;
    call.timeout = 1'400ms;
    const steady_time          start = time.steady_now();
    std::optional<steady_time> failed_at;
    slow_client.read(call, [&](const auto&) { failed_at = time.steady_now(); });
    context.restart();
    context.run_for(300ms);
    std::vector<tcp::socket> accepted;
    accepted.push_back(acceptor.accept());
    acceptor.async_accept(
        [&](const boost::system::error_code&, tcp::socket socket) { accepted.push_back(std::move(socket)); });
    run_until([&] { return failed_at.has_value(); });
    BOOST_TEST(accepted.size() == 2U); // the connection was opened
    BOOST_TEST((*failed_at - start >= 1'300ms));
    BOOST_TEST((*failed_at - start <= 1'900ms), (*failed_at - start) / 1ms << " ms");
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

namespace asio = boost::asio;

// Answers each request on a connection with the number of the request, twice.
struct repeating_server {
    explicit repeating_server(asio::io_context& context)
        : acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)), socket(context) {
        accept();
    }
    std::uint16_t port() const { return acceptor.local_endpoint().port(); }

    void accept() {
        acceptor.async_accept([this](const boost::system::error_code& error, asio::ip::tcp::socket accepted) {
            if (error) return;
            ++connections;
            socket = std::move(accepted);
            read();
        });
    }
    void read() {
        asio::async_read_until(
            socket, request, "\r\n\r\n", [this](const boost::system::error_code& error, std::size_t size) {
                if (error) return accept();
                request.consume(size);
                ++requests;
                const std::string body = std::to_string(requests);
                const std::string one =
                    "HTTP/1.1 200 OK\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
                asio::write(socket, asio::buffer(one + one));
                read();
            });
    }

    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::socket   socket;
    asio::streambuf         request;
    unsigned                requests = 0;
    unsigned                connections = 0;
};

} // namespace

// A server sent a second copy of a response on a connection that was in use again, and the next request got it.
BOOST_AUTO_TEST_CASE(second_copy_of_a_response_is_not_taken_for_the_next_one) {
    asio::io_context      context;
    repeating_server      server(context);
    platform::http_client client(context, {ip_address::v4(0x7f000001), server.port()});
    for (const char* expected : {"1", "2", "3"}) {
        std::optional<std::string> body;
        client.send_request({platform::http_method::get, "/", {}, 2s, 2s},
                            [&](const auto& response) { body = response ? response.value().body : "failed"; });
        for (int step = 0; step < 200 && !body; ++step) {
            context.run_for(10ms);
            context.restart();
        }
        BOOST_TEST(body.value_or("none") == expected);
    }
    BOOST_TEST(server.connections == 3U); // a connection with such bytes is not used again
}
