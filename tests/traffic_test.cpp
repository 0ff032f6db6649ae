// Tests of the traffic loop on loopback sockets with a fake handler: guards against packets that are lost, altered or
// sent from the wrong port, and against old packets handled after a pause.
#define BOOST_TEST_MODULE traffic
#include "tamarack/clock.h"
#include "tamarack/traffic_loop.h"

#include <boost/test/unit_test.hpp>
#include <cstring>
#include <poll.h>

using namespace tamarack;

namespace {

constexpr auto receive_timeout = std::chrono::seconds(60); // time-out; only a failing test waits this long

endpoint loopback(std::uint16_t port = 0) {
    return {ip_address::v4(0x7f000001), port};
}

udp_socket open_socket(const endpoint& listen = loopback()) {
    auto opened = udp_socket::open(listen);
    BOOST_REQUIRE_MESSAGE(opened.has_value(), (opened.has_error() ? opened.error() : ""));
    return std::move(opened).value();
}

byte_view bytes_of(std::string_view text) {
    return std::as_bytes(std::span(text));
}

std::string text_of(byte_view bytes) {
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

// Receives the given number of datagrams from a socket.
std::vector<std::pair<endpoint, std::string>> receive_all(const udp_socket& socket, std::size_t count) {
    std::vector<std::pair<endpoint, std::string>> received;
    receive_batch                                 batch;
    while (received.size() < count) {
        pollfd waiting{socket.handle(), POLLIN, 0};
        BOOST_REQUIRE(::poll(&waiting, 1, 60'000) == 1);
        socket.receive(batch);
        for (const auto& item : batch.items())
            received.emplace_back(item.source, text_of(item.bytes));
    }
    return received;
}

// Answers each packet with actions whose text names the kind of action and the source.
struct fake_handler final : packet_handler {
    endpoint peer;
    int      ticks = 0;
    int      packets = 0;

    void handle_fabric(std::span<const receive_batch::item> items, action_buffer& out) override {
        for (const auto& item : items) {
            ++packets;
            out.add(action_kind::deliver, peer, bytes_of("deliver "), item.bytes);
            out.add(action_kind::relay, peer, bytes_of("relay "), item.bytes);
            out.add(action_kind::reply_to_caller, item.source, bytes_of("reply "), item.bytes);
        }
    }
    void handle_relay(std::span<const receive_batch::item> items, action_buffer& out) override {
        for (const auto& item : items)
            out.add(action_kind::deliver, peer, bytes_of("from peer "), item.bytes);
    }
    void tick(std::size_t thread, action_buffer& out) override {
        ++ticks;
        out.add(action_kind::deliver, peer, bytes_of("tick "), bytes_of(std::to_string(thread)));
    }
};

struct running_loop {
    manual_clock now;
    fake_handler handler;
    udp_socket   fabric_side = open_socket();
    udp_socket   peer_side = open_socket();
    endpoint     fabric_port;
    endpoint     relay_port;
    traffic_loop loop;

    running_loop() : running_loop(open_socket(), open_socket()) {}
    running_loop(udp_socket fabric, udp_socket relay)
        : fabric_port(fabric.address()), relay_port(relay.address()),
          loop(3, std::move(fabric), std::move(relay), handler, now) {
        handler.peer = peer_side.address();
    }
    void send(const udp_socket& from, const endpoint& destination, std::string_view text) const {
        const outgoing_datagram datagram{destination, bytes_of(text)};
        BOOST_REQUIRE(from.send({&datagram, 1}) == 0U);
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(actions_leave_from_the_port_of_their_kind) {
    running_loop balancer;
    balancer.send(balancer.fabric_side, balancer.fabric_port, "packet");
    balancer.loop.run_once(receive_timeout);
    balancer.send(balancer.fabric_side, balancer.relay_port, "frame");
    balancer.loop.run_once(receive_timeout);
    const auto at_peer = receive_all(balancer.peer_side, 3);
    BOOST_TEST(at_peer[0].second == "deliver packet");
    BOOST_TEST((at_peer[0].first == balancer.fabric_port));
    BOOST_TEST(at_peer[1].second == "relay packet");
    BOOST_TEST((at_peer[1].first == balancer.relay_port));
    BOOST_TEST(at_peer[2].second == "from peer frame");
    BOOST_TEST((at_peer[2].first == balancer.fabric_port));
    const auto at_fabric = receive_all(balancer.fabric_side, 1);
    BOOST_TEST(at_fabric[0].second == "reply packet");
    BOOST_TEST((at_fabric[0].first == balancer.fabric_port));
    BOOST_TEST(balancer.loop.counters().at("datagrams_received") == 2U);
    BOOST_TEST(balancer.loop.counters().at("datagrams_sent") == 4U);
    BOOST_TEST(balancer.loop.distributions().at("batch_packets").total() == 2U);
}

BOOST_AUTO_TEST_CASE(many_datagrams_arrive_unaltered_and_in_order) {
    constexpr int count = 150; // more than two batches
    const auto    numbered = [](int i) { return std::to_string(i) + std::string(static_cast<std::size_t>(i), 'x'); };
    running_loop  balancer;
    for (int i = 0; i < count; ++i)
        balancer.send(balancer.fabric_side, balancer.relay_port, numbered(i));
    balancer.loop.run_once(receive_timeout);
    const auto received = receive_all(balancer.peer_side, count);
    for (int i = 0; i < count; ++i)
        BOOST_TEST(received[static_cast<std::size_t>(i)].second == "from peer " + numbered(i));
}

BOOST_AUTO_TEST_CASE(datagrams_that_cannot_be_handled_do_not_stop_the_others) {
    running_loop      balancer;
    const std::string fitting(receive_batch::max_size - std::string_view("from peer ").size(), 'y');
    balancer.send(balancer.fabric_side, balancer.relay_port, std::string(receive_batch::max_size + 1, 'x'));
    balancer.send(balancer.fabric_side, balancer.relay_port, fitting);
    balancer.send(balancer.fabric_side, balancer.relay_port, "");
    balancer.loop.run_once(receive_timeout);
    const auto received = receive_all(balancer.peer_side, 2);
    BOOST_TEST(received[0].second == "from peer " + fitting);
    BOOST_TEST(received[1].second == "from peer ");
    BOOST_TEST(balancer.loop.counters().at("datagrams_too_long") == 1U);

    // Two datagrams that cannot be sent, to an address of the other family and over the largest size, among valid ones.
    const std::string                    huge(70'000, 'z');
    const std::vector<outgoing_datagram> mixed = {{*endpoint::parse("[2001:db8::1]:9"), bytes_of("a")},
                                                  {balancer.peer_side.address(), bytes_of("b")},
                                                  {balancer.peer_side.address(), bytes_of(huge)},
                                                  {balancer.peer_side.address(), bytes_of("c")}};
    BOOST_TEST(balancer.fabric_side.send(mixed) == 2U);
    const auto sent = receive_all(balancer.peer_side, 2);
    BOOST_TEST(sent[0].second == "b");
    BOOST_TEST(sent[1].second == "c");
}

BOOST_AUTO_TEST_CASE(packets_queued_during_a_pause_are_discarded) {
    running_loop balancer;
    for (int i = 0; i < 100; ++i)
        balancer.send(balancer.fabric_side, balancer.fabric_port, "old");
    balancer.now.advance(traffic_loop::pause_threshold + std::chrono::nanoseconds(1));
    balancer.loop.run_once(receive_timeout);
    BOOST_TEST(balancer.handler.packets == 0);
    BOOST_TEST(balancer.loop.counters().at("datagrams_discarded_after_pause") == 100U);
    balancer.send(balancer.fabric_side, balancer.fabric_port, "new");
    balancer.now.advance(traffic_loop::pause_threshold);
    balancer.loop.run_once(receive_timeout);
    BOOST_TEST(balancer.handler.packets == 1);
}

BOOST_AUTO_TEST_CASE(ticks_follow_the_clock) {
    running_loop balancer;
    balancer.loop.run_once(duration());
    BOOST_TEST(balancer.handler.ticks == 0);
    balancer.now.advance(traffic_loop::tick_interval);
    balancer.loop.run_once(duration());
    balancer.loop.run_once(duration());
    BOOST_TEST(balancer.handler.ticks == 1);
    BOOST_TEST(receive_all(balancer.peer_side, 1)[0].second == "tick 3");
}

BOOST_AUTO_TEST_CASE(ports_are_shared_only_on_request) {
    const auto first = udp_socket::open(loopback(), {.receive_buffer = 0, .share_port = true});
    BOOST_REQUIRE(first.has_value());
    const endpoint port = first.value().address();
    BOOST_TEST(udp_socket::open(port, {.receive_buffer = 0, .share_port = true}).has_value());
    const auto refused = udp_socket::open(port);
    BOOST_REQUIRE(refused.has_error());
    BOOST_TEST(refused.error() == "bind " + port.to_string() + ": Address already in use");
}

// One wildcard address serves both families.
BOOST_AUTO_TEST_CASE(an_ipv6_socket_reaches_ipv4_hosts) {
    auto opened = udp_socket::open({ip_address(), 0});
    if (opened.has_error()) {
        BOOST_TEST_MESSAGE("this host has no IPv6: " << opened.error());
        return;
    }
    const udp_socket        dual_stack = std::move(opened).value();
    const udp_socket        v4 = open_socket();
    const outgoing_datagram to_v4{v4.address(), bytes_of("hello")};
    BOOST_TEST(dual_stack.send({&to_v4, 1}) == 0U);
    const auto received = receive_all(v4, 1);
    BOOST_TEST((received[0].first == loopback(dual_stack.address().port)));
    const outgoing_datagram back{received[0].first, bytes_of("again")};
    BOOST_TEST(v4.send({&back, 1}) == 0U);
    BOOST_TEST((receive_all(dual_stack, 1)[0].first == v4.address()));
}
