// Idle flows whose backend server has ended. Guards against requests that are lost because their caller does not know
// of the end, and against resets of flows that may be alive.
#define BOOST_TEST_MODULE entry_orphaned_flows
#include "entry_fixture.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace tamarack;
using namespace tamarack::entry;
using namespace std::chrono_literals;

namespace {

struct two_backends_fixture : balancer_fixture {
    two_backends_fixture() {
        load_records(
            {configuration_record(1, 1), backend_record(2, registration_of(1)), backend_record(3, registration_of(2))},
            3);
        time.advance(10s);
    }

    // Opens a flow, sends a request and acknowledges its answer.
    backend_reference open_idle_flow(std::uint16_t port) {
        const backend_reference reference = decide(syn_packet(port)).backend->reference;
        time.advance(5ms);
        decide(later_packet(port, reference, 5'000, 100));
        time.advance(30ms);
        decide(later_packet(port, reference, 6'000));
        return reference;
    }
    void remove(std::uint64_t identity) {
        store_replica.apply(removal_record(4, identity), time.steady_now());
        store_replica.note_store_available(time.steady_now());
    }
    std::vector<segment> resets() { return decisions.end_orphaned_flows(time.steady_now()); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(orphaned_flows_of_a_balancer, two_backends_fixture)

BOOST_AUTO_TEST_CASE(idle_flows_are_reset_when_their_backend_server_has_ended) {
    std::map<backend_reference, std::vector<std::uint16_t>> ports;
    for (std::uint16_t port = 1; port <= 20; ++port)
        ports[open_idle_flow(port)].push_back(port);
    BOOST_TEST(resets().empty());
    remove(1);
    const auto flows = resets();
    BOOST_TEST(flows.size() == ports[reference_of(1)].size());
    for (const segment& flow : flows) {
        BOOST_TEST(std::ranges::count(ports[reference_of(1)], flow.source.port) == 1);
        BOOST_TEST((flow.destination == service_address));
        BOOST_TEST(flow.acknowledged == 6'000U); // callers ignore a reset far from it
    }
    BOOST_TEST(resets().empty()); // once
}

// A request that has been sent may have run: its caller must not be told anything before it asks.
BOOST_AUTO_TEST_CASE(a_flow_with_a_request_in_progress_is_not_reset) {
    const backend_reference reference = open_idle_flow(1);
    segment                 request = later_packet(1, reference, 6'000, 100);
    request.sequence += 100;
    decide(request);
    remove(store_replica.find_backend(reference)->registration.identity);
    BOOST_TEST(resets().empty());
}

// Registrations may expire during an outage of the store although their backend servers live.
BOOST_AUTO_TEST_CASE(no_flow_is_reset_shortly_after_an_outage_of_the_store) {
    const backend_reference reference = open_idle_flow(1);
    const std::uint64_t     identity = store_replica.find_backend(reference)->registration.identity;
    store_replica.note_store_unavailable();
    time.advance(5s);
    store_replica.note_store_available(time.steady_now());
    store_replica.apply(removal_record(4, identity), time.steady_now());
    for (int tick = 0; tick < 39; ++tick) {
        time.advance(100ms);
        store_replica.note_store_available(time.steady_now());
        store_replica.expire(time.steady_now());
        BOOST_TEST(resets().empty());
    }
    time.advance(100ms);
    BOOST_TEST(resets().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_backend_server_that_registers_again_keeps_its_flows) {
    const backend_reference reference = open_idle_flow(1);
    const std::uint64_t     identity = store_replica.find_backend(reference)->registration.identity;
    store_replica.note_store_unavailable();
    store_replica.note_store_available(time.steady_now());
    store_replica.apply(removal_record(4, identity), time.steady_now());
    store_replica.apply(backend_record(5, registration_of(identity)), time.steady_now());
    time.advance(10s);
    store_replica.note_store_available(time.steady_now());
    store_replica.expire(time.steady_now());
    BOOST_TEST(resets().empty());
}

// A quarter of the servers goes dark; their registrations end seconds later. Requests on two flows stay without an
// answer while others are answered: the idle flows need not lose a request each to find out.
BOOST_AUTO_TEST_CASE(idle_flows_of_a_backend_server_that_is_proven_unresponsive_are_reset) {
    for (std::uint64_t identity = 3; identity <= 4; ++identity)
        store_replica.apply(backend_record(3 + identity, registration_of(identity)), time.steady_now());
    std::map<backend_reference, std::vector<std::uint16_t>> ports;
    for (std::uint16_t port = 1; port <= 24; ++port)
        ports[open_idle_flow(port)].push_back(port);
    const backend_reference           dark = reference_of(1);
    const std::vector<std::uint16_t>& dark_ports = ports[dark];
    BOOST_REQUIRE(dark_ports.size() >= 4U);
    const auto request = [&](std::uint16_t port, backend_reference reference, std::uint32_t acknowledged) {
        segment packet = later_packet(port, reference, acknowledged, 100);
        packet.sequence += 100;
        return decide(packet);
    };
    std::uint32_t acknowledged = 6'000;
    const auto    others_respond = [&] {
        for (const auto& [reference, other_ports] : ports) {
            if (reference == dark) continue;
            request(other_ports.front(), reference, acknowledged);
            decide(later_packet(other_ports.front(), reference, acknowledged + 1'000));
        }
        acknowledged += 1'000;
        store_replica.note_store_available(time.steady_now());
    };
    for (const duration wait : {0ms, 200ms, 400ms}) { // the request and its retransmissions
        time.advance(wait);
        others_respond();
        request(dark_ports[0], dark, 6'000);
        request(dark_ports[1], dark, 6'000);
    }
    BOOST_TEST(resets().empty());
}

BOOST_AUTO_TEST_SUITE_END()
