// SYNs that arrive before the first listing. Guards against callers that wait for a copy of their SYN after a start of
// all hosts, against a flow that two backend servers answer because an old SYN was forwarded after its copy, and
// against a release that fills the queues of the backend servers.
#define BOOST_TEST_MODULE entry_pending_syns
#include "daemons/entry/packet_handler.h"
#include "entry_fixture.h"
#include "entry_program.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace tamarack;
using namespace tamarack::entry;
using namespace std::chrono_literals;

namespace {

constexpr steady_time start{1h};
constexpr std::size_t many_slots = 1'000;

const std::vector<std::byte> syn_bytes(36);

struct pending_fixture {
    pending_syns pending;

    void hold(std::uint16_t port, std::uint32_t copy, duration at) {
        BOOST_TEST(pending.hold(syn_packet(port, copy), syn_bytes, start + at));
    }
    std::size_t release(duration at, std::size_t slots = many_slots) {
        return pending.release(slots, start + at).size();
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_syn_is_released_until_its_caller_sends_the_next_copy, pending_fixture) {
    constexpr std::array<duration, 3> intervals = {200ms, 400ms, 800ms};
    for (std::uint32_t copy = 0; copy < intervals.size(); ++copy) {
        hold(1, copy, 0ms);
        BOOST_TEST(release(intervals.at(copy) - 11ms) == 1U);
        hold(1, copy, 0ms);
        BOOST_TEST(release(intervals.at(copy) - 10ms) == 0U);
    }
    BOOST_TEST(pending.syns().expired == 3U);
}

BOOST_FIXTURE_TEST_CASE(a_copy_replaces_the_syn_that_is_held, pending_fixture) {
    hold(1, 0, 0ms);
    hold(1, 1, 200ms);
    hold(1, 0, 201ms); // a duplicate that was overtaken does not shorten the time of the copy
    BOOST_TEST(release(589ms) == 1U);
    hold(2, 0, 600ms);
    pending.forget(syn_packet(2, 1));
    BOOST_TEST(release(601ms) == 0U);
    BOOST_TEST(pending.syns().replaced == 3U);
    BOOST_TEST(pending.syns().held == pending.syns().released + pending.syns().replaced);
}

// The copy of a SYN may wait here while the first transmission opens the flow through another balancer. A second
// backend server that answered the copy would give the caller a wrong reference.
BOOST_FIXTURE_TEST_CASE(the_syn_of_a_flow_that_has_opened_is_not_released, pending_fixture) {
    hold(1, 1, 0ms);
    hold(2, 1, 0ms);
    hold(3, 1, 0ms);
    BOOST_TEST(pending.hold(later_packet(1, 5, 5'000, 100), syn_bytes, start + 100ms));
    pending.forget_opened(later_packet(2, 5, 5'000, 100));
    segment old_flow = later_packet(3, 5, 5'000);
    old_flow.sequence = syn_packet(3).sequence - 70'000; // the port has been reused since
    pending.forget_opened(old_flow);
    const auto released = pending.release(many_slots, start + 110ms);
    BOOST_TEST(std::ranges::count(released, true, &pending_packet::is_syn) == 1);
    BOOST_TEST(released.size() == 2U);
    BOOST_TEST(pending.syns().replaced == 2U);
}

// A host with few backend servers must not fill their queues at once.
BOOST_FIXTURE_TEST_CASE(the_oldest_syns_are_released_first_at_the_pace_of_the_slots, pending_fixture) {
    for (std::uint16_t port = 0; port < 100; ++port)
        hold(port, 0, port * 1ms);
    const auto first = pending.release(4, start + 100ms);
    BOOST_REQUIRE(first.size() == 12U);
    BOOST_TEST((first.front().arrived_at == start));
    BOOST_TEST((first.back().arrived_at == start + 11ms));
    BOOST_TEST(release(150ms, 4) == 0U);
    BOOST_TEST(release(200ms, 4) == 12U);
    BOOST_TEST(release(300ms) == 0U);
    BOOST_TEST(pending.syns().expired == 76U);
}

// A flood of SYNs must not use up the memory of a host.
BOOST_FIXTURE_TEST_CASE(the_number_and_the_bytes_of_held_packets_are_bounded, pending_fixture) {
    pending = pending_syns({.max_packets = 8, .max_bytes = 216});
    for (std::uint16_t port = 0; port < 8; ++port)
        (void)pending.hold(later_packet(port, 1, 1), syn_bytes, start);
    BOOST_TEST(pending.size() == 3U);
    for (std::uint16_t port = 0; port < 8; ++port)
        (void)pending.hold(syn_packet(port), syn_bytes, start);
    BOOST_TEST(pending.size() == 6U);
    hold(9, 0, 190ms); // the expired ones give way
    BOOST_TEST(pending.size() == 1U);
    BOOST_TEST(pending.refused_count() == 10U);
}

//----------------------------------------------------------------------------------------------------------------------
// All callers of a fleet
//----------------------------------------------------------------------------------------------------------------------

namespace {

constexpr unsigned domains = 4;
constexpr unsigned hosts_per_domain = 20;
constexpr unsigned backend_servers = 120;
constexpr unsigned server_room = 10; // two slots and a queue of eight
constexpr auto     listing_time = 300ms;
constexpr unsigned callers = 450; // 1,500 per second

struct fleet_member {
    replica      store_replica;
    steering     decisions;
    pending_syns pending;

    explicit fleet_member(unsigned number)
        : decisions({.failure_domain = "domain-" + std::to_string(number % domains)}, store_replica, number) {}

    void load() {
        std::vector<record> records{configuration_record(1, 1)};
        for (unsigned i = 1; i <= backend_servers; ++i)
            records.push_back(backend_record(1, registration_of(i, "domain-" + std::to_string(i % domains))));
        store_replica.note_store_available(start + listing_time);
        store_replica.apply_listing(records, at_revision(1), start + listing_time);
    }
};

std::vector<std::byte> bytes_of(std::uint16_t caller) {
    std::vector<std::byte> bytes(36);
    std::memcpy(bytes.data(), &caller, sizeof caller);
    return bytes;
}

std::uint16_t read_caller(byte_view bytes) {
    std::uint16_t caller = 0;
    std::memcpy(&caller, bytes.data(), sizeof caller);
    return caller;
}

duration first_syn(unsigned caller) {
    return caller * listing_time / callers;
}

} // namespace

// Load: 1,500 callers per second for 0.3 s, with their copies, at 80 hosts without a listing.
BOOST_AUTO_TEST_CASE(the_callers_of_a_fleet_are_placed_with_the_listing_and_overload_no_backend_server) {
    std::vector<std::unique_ptr<fleet_member>> hosts;
    for (unsigned i = 0; i < domains * hosts_per_domain; ++i)
        hosts.push_back(std::make_unique<fleet_member>(i));
    random_source         random(1);
    std::vector<unsigned> host_of(callers);
    for (unsigned& host : host_of)
        host = static_cast<unsigned>(random() % hosts.size());
    for (std::uint32_t copy = 0; copy < 2; ++copy) {
        for (unsigned caller = 0; caller < callers; ++caller) {
            const duration at = first_syn(caller) + copy * 200ms;
            if (at >= listing_time) break;
            const auto port = static_cast<std::uint16_t>(caller);
            BOOST_TEST(hosts[host_of[caller]]->pending.hold(syn_packet(port, copy), bytes_of(port), start + at));
        }
    }
    std::map<std::string, unsigned> placed_by_server;
    std::set<std::uint16_t>         placed;
    for (const auto& host : hosts) {
        host->load();
        for (const pending_packet& held :
             host->pending.release(std::size_t{2} * backend_servers, start + listing_time)) {
            const auto caller = read_caller(held.bytes);
            BOOST_TEST(placed.insert(caller).second);
            BOOST_TEST((held.useful_until > start + listing_time));
            const auto decision = host->decisions.decide(syn_packet(caller), start + listing_time);
            BOOST_REQUIRE((decision.action == packet_action::deliver));
            ++placed_by_server[decision.backend->registration.name];
        }
    }
    // A SYN that is at least 190 ms old is not placed: its copy follows within 10 ms.
    for (unsigned caller = 0; caller < callers; ++caller) {
        const duration age = listing_time - first_syn(caller);
        BOOST_TEST(placed.contains(static_cast<std::uint16_t>(caller)) == (age < 190ms || age > 200ms));
    }
    const auto busiest =
        std::max_element(placed_by_server.begin(), placed_by_server.end(),
                         [](const auto& left, const auto& right) { return left.second < right.second; });
    BOOST_TEST(busiest->second <= server_room);
    BOOST_TEST_MESSAGE("placed " << placed.size() << ", busiest server " << busiest->second);
}

//----------------------------------------------------------------------------------------------------------------------
// Sockets
//----------------------------------------------------------------------------------------------------------------------

namespace {

// The platform's example: a SYN from 100.64.0.7 to the service's address.
void send_syn_to(const udp_socket& fabric, const endpoint& balancer, std::uint16_t port) {
    std::vector<std::byte>                 bytes(36);
    constexpr std::array<unsigned char, 6> destination = {0x01, 0xbb, 0xc6, 0x12, 0x00, 0x01};
    constexpr std::array<unsigned char, 4> source = {0x64, 0x40, 0x00, 0x07};
    std::memcpy(&bytes[14], source.data(), source.size());
    std::memcpy(&bytes[18], destination.data(), destination.size());
    bytes[12] = std::byte(port >> 8U);
    bytes[13] = std::byte(port);
    bytes[30] = std::byte{128};
    const outgoing_datagram datagram{balancer, bytes};
    BOOST_TEST(fabric.send(std::span(&datagram, 1)) == 0U);
}

struct handler_fixture : balancer_fixture {
    boost::asio::io_context context;
    log_writer              log_output{STDOUT_FILENO};
    event_log               log{time, "one", log_output};
    udp_socket              backend = udp_socket::open(loopback_endpoint(128, 0)).value();
    udp_socket              fabric = udp_socket::open(loopback_endpoint(129, 0)).value();
    endpoint                address;
    packet_handler          handler{context, open(), decisions, store_replica, log, time};

    udp_socket open() {
        udp_socket socket = udp_socket::open(loopback_endpoint(130, 0)).value();
        address = socket.address();
        return socket;
    }
    handler_fixture() { handler.start(); }

    void send_syn(std::uint16_t port) const { send_syn_to(fabric, address, port); }
    void pass(duration step) {
        time.advance(step);
        handler.check_for_pause();
        handler.release_pending();
        context.restart();
        (void)context.run_for(20ms);
    }
    void synchronize() {
        backend_registration registration = registration_of(1);
        registration.address = backend.address();
        load_records({configuration_record(1, 1), backend_record(1, registration)}, 1);
        handler.release_pending();
    }
    std::size_t delivered() const {
        receive_batch batch;
        return backend.receive(batch).datagrams;
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(packets_are_read_before_the_listing_and_forwarded_with_it, handler_fixture) {
    send_syn(1);
    pass(0ms);
    BOOST_TEST(handler.pending().size() == 1U);
    pass(100ms);
    pass(60ms);
    send_syn(2);
    pass(20ms);
    synchronize();
    BOOST_TEST(delivered() == 2U);
    pass(100ms);
    BOOST_TEST(delivered() == 0U);
    BOOST_TEST(handler.counters().decisions_by_reason.at(0) == 2U);
}

// A start that takes long must not forward SYNs whose copies may have opened the flow elsewhere.
BOOST_FIXTURE_TEST_CASE(a_syn_that_was_held_too_long_is_not_forwarded, handler_fixture) {
    send_syn(1);
    pass(0ms);
    pass(100ms);
    pass(90ms);
    synchronize();
    BOOST_TEST(delivered() == 0U);
    BOOST_TEST(handler.pending().syns().expired == 1U);
}

// The age of a SYN that a paused process finds in its socket is unknown, also before the first turn of the event loop.
BOOST_FIXTURE_TEST_CASE(a_syn_from_before_a_pause_is_not_held, handler_fixture) {
    send_syn(1);
    pass(190ms);
    BOOST_TEST(handler.pending().is_empty());
    BOOST_TEST(handler.counters().stale_syns == 1U);
    pass(21ms);
    send_syn(1);
    pass(0ms);
    BOOST_TEST(handler.pending().size() == 1U);
}

// The process calls the handler at its start and with the listing. Its store is not there yet.
BOOST_AUTO_TEST_CASE(a_process_forwards_the_syns_that_arrive_before_its_store) {
    const temporary_folder folder;
    const endpoint         host = loopback_endpoint(131, 0);
    const endpoint         store_address = loopback_endpoint(132, 8'169);
    std::ofstream(folder.file("one.ini")) << settings_text("one", host, store_address);
    entry_program program(folder.file("one.ini"), folder.file("one.log"));
    program.start();
    const auto metrics = [&] { return http_get(with_port(host, metrics_port), "/metrics"); };
    BOOST_REQUIRE(wait_until(5s, [&] { return metrics().find("entry_syns_held 0") != std::string::npos; }));
    const udp_socket            fabric = udp_socket::open(loopback_endpoint(133, 0)).value();
    std::optional<store_thread> store;
    std::uint16_t               port = 1;
    const bool                  is_ready_in_time = wait_until(5s, [&] {
        send_syn_to(fabric, with_port(host, packets_port), ++port);
        if (port == 30) store.emplace(store_address);
        return is_ready(host);
    });
    BOOST_TEST(is_ready_in_time, program.log());
    BOOST_TEST(metrics().find("entry_syns_released 0") == std::string::npos);
}
