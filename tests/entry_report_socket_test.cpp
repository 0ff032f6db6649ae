// Condition reports over real sockets. Guards against a balancer that cannot serve without the socket, and against
// reports accepted from other programs.
#define BOOST_TEST_MODULE entry_report_socket
#include "daemons/entry/report_socket.h"
#include "entry_fixture.h"
#include "loopback_endpoint.h"
#include "platform/report_format.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace tamarack::entry;
using namespace std::chrono_literals;

namespace {

constexpr feed_key tree_key{{7, 7, 7}};

// The time without pauses is set by the test, since a busy machine may pause it for long.
struct test_clock final : clock {
    steady_time  boot_time{};
    system_clock system;

    steady_time steady_now() const override { return system.steady_now(); }
    wall_time   wall_now() const override { return system.wall_now(); }
    steady_time boot_now() const override { return boot_time; }
};

// Two balancers, the second of which reads from the first, the feeder.
struct socket_fixture {
    boost::asio::io_context       context;
    test_clock                    time;
    log_writer                    log_output{STDOUT_FILENO};
    event_log                     log{time, "balancer", log_output};
    replica                       store_replica;
    endpoint                      feeder = loopback_endpoint(97, 7'720);
    endpoint                      follower = loopback_endpoint(98, 7'720);
    std::vector<condition_report> accepted;
    report_socket                 feeder_socket = make_socket(feeder, {.address = feeder,
                                                                       .failure_domain = "north",
                                                                       .source = {},
                                                                       .followers = {follower},
                                                                       .own_key = tree_key,
                                                                       .is_feeder = true});
    report_socket                 follower_socket = make_socket(follower, {.address = follower,
                                                                           .failure_domain = "north",
                                                                           .source = {source_kind::feeder, feeder, tree_key},
                                                                           .followers = {}});

    socket_fixture() {
        store_replica.note_store_available(time.steady_now());
        const record item{"feeder/north", at_revision(1), feeder_registration{"near", "north", 0, feeder, tree_key},
                          "raw"};
        store_replica.apply_listing(std::span(&item, 1), at_revision(1), time.steady_now());
    }
    report_socket make_socket(const endpoint& address, const tree_position& position) {
        static std::uint32_t origin = 0;
        return {
            context,
            {.address = address,
             .own_key = position.own_key,
             .reports = {.origin = ++origin, .sizes = platform::report_datagram_sizes}},
            store_replica,
            log,
            time,
            {.position = [position] { return position; },
             .accept = [this](const condition_report& report, steady_time /*now*/) { accepted.push_back(report); }}};
    }
    void run_until(const std::function<bool()>& is_done) {
        const steady_time end = time.steady_now() + 5s;
        while (!is_done() && time.steady_now() < end)
            context.run_for(5ms);
        BOOST_TEST(is_done());
    }
};

constexpr condition_report sample{
    .reference = 5, .condition = backend_condition::unresponsive, .age = 100ms, .validity = 10s};

} // namespace

BOOST_FIXTURE_TEST_SUITE(report_sockets, socket_fixture)

BOOST_AUTO_TEST_CASE(exchange_reports_in_both_directions) {
    feeder_socket.tick();
    follower_socket.tick();
    follower_socket.send(std::span(&sample, 1));
    run_until([&] { return accepted.size() == 1; });
    BOOST_TEST(accepted.front().reference == 5U);
    BOOST_TEST((accepted.front().age >= 120ms && accepted.front().age < 5s)); // with the time of collection
    condition_report other = sample;
    other.reference = 6;
    feeder_socket.send(std::span(&other, 1));
    run_until([&] { return accepted.size() == 2; });
    BOOST_TEST(follower_socket.counters().received == 1U);
}

BOOST_AUTO_TEST_CASE(count_datagrams_of_other_programs) {
    feeder_socket.tick();
    const auto             stranger = udp_socket::open({follower.address, 0});
    const forwarded_report item{.report = sample, .origin = 9, .sequence = 1};
    const auto             forged = platform::encode_reports(std::span(&item, 1), feed_key{{8}});
    const auto             noise = std::vector<std::byte>(50);
    BOOST_REQUIRE(stranger.has_value());
    stranger.value().send(std::array{outgoing_datagram{feeder, forged}, outgoing_datagram{feeder, noise}});
    run_until([&] { return feeder_socket.datagram_counters().malformed == 1; });
    BOOST_TEST(feeder_socket.datagram_counters().unauthenticated == 1U);
    BOOST_TEST(accepted.empty());
}

// The ages of reports lack the time that they waited while the process was paused.
BOOST_AUTO_TEST_CASE(discard_datagrams_after_a_pause) {
    feeder_socket.tick();
    follower_socket.tick();
    follower_socket.send(std::span(&sample, 1));
    time.boot_time += 10s;
    run_until([&] { return feeder_socket.datagram_counters().stale == 1; });
    BOOST_TEST(accepted.empty());
}

BOOST_AUTO_TEST_CASE(open_when_the_port_becomes_free) {
    {
        const auto occupant = udp_socket::open(feeder);
        BOOST_REQUIRE(occupant.has_value());
        feeder_socket.tick();
        BOOST_TEST(!feeder_socket.is_open());
        feeder_socket.send(std::span(&sample, 1)); // waits
    }
    follower_socket.tick();
    run_until([&] {
        feeder_socket.tick();
        return feeder_socket.is_open() && accepted.size() == 1;
    });
}

BOOST_AUTO_TEST_SUITE_END()
