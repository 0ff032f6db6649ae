// Decisions on callers' packets, each with the load or failure that it answers.
#define BOOST_TEST_MODULE entry_steering
#include "entry_fixture.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace tamarack;
using namespace tamarack::entry;
using namespace std::chrono_literals;

namespace {

struct two_domains : balancer_fixture {
    two_domains() {
        load({configuration_record(1, 1), backend_record(2, registration_of(1)), backend_record(3, registration_of(2)),
              backend_record(4, registration_of(3, "south"))},
             4);
    }

    // Opens a flow: the caller's answer to the SYN+ACK of the chosen backend server.
    backend_reference open(std::uint16_t port) {
        const auto placed = decide(syn(port));
        BOOST_REQUIRE(placed.target != nullptr);
        time.advance(8ms);
        decide(later(port, placed.target->reference, 5'000));
        return placed.target->reference;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(placing, two_domains)

BOOST_AUTO_TEST_CASE(flows_stay_in_the_own_failure_domain_and_are_spread) {
    std::map<std::uint64_t, int> flows;
    for (std::uint16_t port = 1; port <= 20; ++port)
        ++flows[known.find(open(port))->registration.identity];
    BOOST_TEST(flows[1] == 10);
    BOOST_TEST(flows[2] == 10);
    BOOST_TEST(flows[3] == 0);
}

BOOST_AUTO_TEST_CASE(requests_beyond_the_own_domains_slots_go_to_another_one) {
    std::map<std::uint64_t, int> flows;
    for (std::uint16_t port = 1; port <= 20; ++port) {
        const backend_reference reference = open(port);
        decide(later(port, reference, 5'000, 500)); // a request that is not answered
        ++flows[known.find(reference)->registration.identity];
    }
    BOOST_TEST(flows[3] > 0);
    BOOST_TEST(flows[1] > flows[3]);
}

// Seen in inc-7412: after a loss of all hosts their first flows fell on the same backend servers.
BOOST_AUTO_TEST_CASE(balancers_that_start_together_choose_in_different_orders) {
    replica             many;
    std::vector<record> records = {configuration_record(1, 1)};
    for (std::uint64_t identity = 1; identity <= 8; ++identity)
        records.push_back(backend_record(1 + identity, registration_of(identity)));
    many.apply_snapshot(records, 9, time.steady_now());
    std::map<std::uint64_t, int> first_choices;
    for (std::uint64_t seed = 1; seed <= 64; ++seed) {
        steering fresh({.failure_domain = "north"}, many, seed);
        ++first_choices[fresh.decide(syn(1), time.steady_now()).target->registration.identity];
    }
    // 64 balancers on 8 backend servers: 8 each on average.
    BOOST_TEST(first_choices.size() == 8U);
    for (const auto& [identity, count] : first_choices)
        BOOST_TEST(count <= 20);
}

// A crashed backend server answers SYNs with resets that pass no balancer. It holds no request and would look idle.
BOOST_AUTO_TEST_CASE(a_backend_server_that_resets_flows_attracts_no_more_of_them) {
    open(1);
    open(2);
    int lost = 0;
    for (std::uint16_t port = 10; port < 60; ++port) {
        const auto placed = decide(syn(port));
        time.advance(5ms);
        if (placed.target->registration.identity == 1) {
            ++lost;
        } else {
            decide(later(port, placed.target->reference, 5'000));
        }
    }
    BOOST_TEST(lost <= 5);
}

BOOST_AUTO_TEST_CASE(a_silent_backend_server_is_passed_over_by_the_copy_of_a_syn) {
    const auto first = decide(syn(1));
    time.advance(200ms);
    const auto second = decide(syn(1, 1));
    BOOST_TEST((second.why == reason::placed_elsewhere));
    BOOST_TEST(second.target != first.target);
}

BOOST_AUTO_TEST_CASE(a_copy_goes_to_the_same_backend_server_while_that_shows_signs_of_life) {
    const auto first = decide(syn(1));
    time.advance(100ms);
    decide(later(900, first.target->reference, 1, 10)); // a flow that another balancer placed
    decide(later(900, first.target->reference, 900));
    time.advance(100ms);
    const auto second = decide(syn(1, 1));
    BOOST_TEST((second.why == reason::placed_again));
    BOOST_TEST(second.target == first.target);
}

// Open flows show a dark backend server before new ones do.
BOOST_AUTO_TEST_CASE(a_request_that_is_repeated_without_progress_keeps_new_flows_away) {
    const backend_reference dark = open(1);
    decide(later(1, dark, 5'000, 100));
    time.advance(200ms);
    BOOST_TEST((decide(later(1, dark, 5'000, 100)).why == reason::by_reference));
    time.advance(400ms);
    BOOST_TEST((decide(later(1, dark, 5'000, 100)).why == reason::stalled));
    for (std::uint16_t port = 10; port < 20; ++port)
        BOOST_TEST((open(port) != dark));
}

// Another flow's answer shows that the backend server lives: the packet was lost on the way.
BOOST_AUTO_TEST_CASE(a_repeated_request_is_no_stall_while_other_flows_progress) {
    const backend_reference alive = open(1);
    decide(later(1, alive, 5'000, 100));
    decide(later(900, alive, 1, 10));
    time.advance(600ms);
    decide(later(900, alive, 900));
    BOOST_TEST((decide(later(1, alive, 5'000, 100)).why == reason::by_reference));
}

BOOST_AUTO_TEST_CASE(the_id_of_a_flows_last_request_is_kept_for_the_log) {
    const backend_reference reference = open(1);
    segment                 request = later(1, reference, 5'000, 100);
    request.request_id = "attempt-1";
    decide(request);
    const auto later_packet = decide(later(1, reference, 5'100));
    BOOST_REQUIRE(later_packet.flow != nullptr);
    BOOST_TEST(later_packet.flow->request_id == "attempt-1");
    BOOST_TEST(later_packet.progress.answered.has_value());
}

BOOST_AUTO_TEST_CASE(a_backend_server_that_recovers_is_used_again) {
    const auto first = decide(syn(1));
    time.advance(200ms);
    decide(syn(1, 1));
    time.advance(10s);
    std::map<std::uint64_t, int> flows;
    for (std::uint16_t port = 10; port < 20; ++port)
        ++flows[known.find(open(port))->registration.identity];
    BOOST_TEST(flows[first.target->registration.identity] > 0);
}

BOOST_AUTO_TEST_CASE(a_draining_backend_server_keeps_its_flows_and_gets_no_new_one) {
    const backend_reference reference = open(1);
    auto                    leaving = known.find(reference)->registration;
    leaving.state = backend_state::draining;
    known.apply(backend_record(9, leaving), time.steady_now());
    for (std::uint16_t port = 10; port < 20; ++port)
        BOOST_TEST((decide(syn(port)).target->reference != reference));
    const auto kept = decide(later(1, reference, 5'000, 100));
    BOOST_TEST((kept.what == verdict::deliver));
    BOOST_TEST(kept.target->reference == reference);
}

BOOST_AUTO_TEST_CASE(a_service_without_a_backend_server_is_refused_at_once) {
    for (std::uint64_t identity = 1; identity <= 3; ++identity) {
        auto leaving = registration_of(identity, identity == 3 ? "south" : "north");
        leaving.state = backend_state::draining;
        known.apply(backend_record(10 + identity, leaving), time.steady_now());
    }
    const auto refused = decide(syn(1));
    BOOST_TEST((refused.what == verdict::reset));
    BOOST_TEST((refused.why == reason::no_backend));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(open_flows, two_domains)

BOOST_AUTO_TEST_CASE(a_packet_follows_its_reference_through_a_balancer_that_never_saw_the_flow) {
    const auto decision = decide(later(1, reference_of(3), 700, 10));
    BOOST_TEST((decision.what == verdict::deliver));
    BOOST_TEST(decision.target->registration.identity == 3U);
}

// Two backend servers answered the SYN and its copy; the caller opened the flow at the first and carries the reference
// of the second since.
BOOST_AUTO_TEST_CASE(a_later_reference_does_not_move_an_open_flow) {
    const auto first = decide(syn(1));
    time.advance(200ms);
    const auto second = decide(syn(1, 1));
    decide(later(1, first.target->reference, 5'000));
    const auto data = decide(later(1, second.target->reference, 5'000, 100));
    BOOST_TEST(data.target == first.target);
    BOOST_TEST((data.why == reason::by_flow));
}

BOOST_AUTO_TEST_CASE(a_removed_backend_servers_flow_is_reset_once_the_store_is_steady) {
    time.advance(10s);
    const backend_reference reference = open(1);
    const auto              identity = known.find(reference)->registration.identity;
    known.apply(removal(9, identity), time.steady_now());
    const auto ended = decide(later(1, reference, 5'000, 10));
    BOOST_TEST((ended.what == verdict::reset));
    BOOST_TEST((ended.why == reason::backend_gone));
}

// The target may live and its registration may be unknown here: a reset would break the flow.
BOOST_AUTO_TEST_CASE(an_unknown_reference_is_not_reset_soon_after_the_start_or_an_outage) {
    BOOST_TEST((decide(later(1, 77, 5'000, 10)).what == verdict::drop));
    time.advance(10s);
    known.store_returned(time.steady_now());
    BOOST_TEST((decide(later(1, 77, 5'000, 10)).what == verdict::reset));
    known.store_lost();
    BOOST_TEST((decide(later(1, 77, 5'000, 10)).what == verdict::drop));
}

// Seen in the soak (seeds 13, 22, 31): a balancer whose connection to the store had gone silent reset flows of a
// backend server that had registered since.
BOOST_AUTO_TEST_CASE(an_unknown_reference_is_reset_only_by_what_the_store_proved_after_it) {
    time.advance(10s);
    known.store_returned(time.steady_now());
    time.advance(100ms);
    BOOST_TEST((decide(later(1, 77, 5'000, 10)).what == verdict::drop));
    time.advance(3s);
    BOOST_TEST((decide(later(1, 77, 5'000, 10)).what == verdict::drop));
    known.store_returned(time.steady_now(), 3s); // a feeder that has heard nothing since
    BOOST_TEST((decide(later(1, 77, 5'000, 10)).what == verdict::drop));
    known.store_returned(time.steady_now());
    BOOST_TEST((decide(later(1, 77, 5'000, 10)).what == verdict::reset));
}

// Seen in the soak (seed 27): a balancer that started read a SYN and its copy together, and placed them apart.
BOOST_AUTO_TEST_CASE(a_syn_and_its_copy_that_come_together_go_to_the_same_backend_server) {
    const auto first = decide(syn(1));
    const auto copy = decide(syn(1, 1));
    BOOST_TEST((copy.why == reason::placed_again));
    BOOST_TEST(copy.target == first.target);
}

BOOST_AUTO_TEST_CASE(a_callers_reset_is_never_answered) {
    time.advance(10s);
    segment packet = later(1, 77, 5'000);
    packet.rst = true;
    BOOST_TEST((decide(packet).what == verdict::drop));
}

BOOST_AUTO_TEST_CASE(an_address_without_a_route_is_refused_only_while_the_store_answers) {
    segment packet = syn(1);
    packet.destination.port = 9;
    BOOST_TEST((decide(packet).what == verdict::reset));
    known.store_lost();
    BOOST_TEST((decide(packet).what == verdict::drop));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(a_balancer_that_is_not_synchronized_never_resets) {
    balancer_fixture fresh;
    BOOST_TEST((fresh.decide(syn(1)).what == verdict::drop));
    BOOST_TEST((fresh.decide(later(1, 5, 5, 5)).what == verdict::drop));
}

// A network may deliver a packet twice; two backend servers would answer, and the caller's packets could follow the
// second.
BOOST_AUTO_TEST_CASE(a_doubled_syn_goes_to_the_same_backend_server) {
    balancer_fixture balancer;
    balancer.load(
        {configuration_record(1, 1), backend_record(2, registration_of(1)), backend_record(3, registration_of(2))}, 3);
    for (std::uint16_t port = 1; port <= 20; ++port) {
        const auto first = balancer.decide(syn(port));
        const auto second = balancer.decide(syn(port));
        BOOST_TEST(second.target == first.target);
        BOOST_TEST((second.why == reason::placed_again));
    }
    // Another sequence number is another flow: the caller uses the port again.
    segment next = syn(1);
    next.sequence += 70'000;
    BOOST_TEST((balancer.decide(next).why == reason::placed));
}

BOOST_AUTO_TEST_CASE(a_split_route_follows_its_weights) {
    balancer_fixture balancer;
    auto             other = registration_of(2);
    other.service = "ledger";
    balancer.load({configuration_record(1, 1, {{"split", service_address, {{"desk", 90}, {"ledger", 10}}}}),
                   backend_record(2, registration_of(1)), backend_record(3, other)},
                  3);
    int to_other = 0;
    for (std::uint16_t port = 1; port <= 1'000; ++port) {
        const auto placed = balancer.decide(syn(port));
        if (placed.target->registration.identity == 2) ++to_other;
        balancer.decide(later(port, placed.target->reference, 5'000));
    }
    // 1,000 draws at 10%: mean 100, standard deviation 9.5.
    BOOST_TEST(to_other > 50);
    BOOST_TEST(to_other < 150);
}

BOOST_AUTO_TEST_CASE(waiting_requests_are_counted_until_the_caller_acknowledges_an_answer) {
    flow_tracker      flows(4);
    const steady_time now{};
    tracked_flow*     flow = flows.start(syn(1), 7, now);
    BOOST_REQUIRE(flow != nullptr);
    flows.note_packet(*flow, later(1, 7, 500, 100), now);
    BOOST_TEST(flows.activity(7).waiting == 1U);
    BOOST_TEST(flows.activity(7).open == 1U);
    flows.note_packet(*flow, later(1, 7, 900), now);
    BOOST_TEST(flows.activity(7).waiting == 0U);
    segment last = later(1, 7, 900);
    last.fin = true;
    flows.note_packet(*flow, last, now);
    BOOST_TEST(flows.activity(7).open == 0U);
}

BOOST_AUTO_TEST_CASE(the_flow_table_has_a_limit_and_forgets_idle_flows) {
    flow_tracker      flows(2);
    const steady_time now{};
    BOOST_TEST(flows.start(syn(1), 7, now) != nullptr);
    BOOST_TEST(flows.start(syn(2), 7, now) != nullptr);
    BOOST_TEST(flows.start(syn(3), 7, now) == nullptr);
    for (int call = 0; call < 32; ++call)
        flows.expire(now + 20s, 15s);
    BOOST_TEST(flows.size() == 0U);
}

// Load and failures of backend servers that are gone must not stay in memory for the life of the process.
BOOST_AUTO_TEST_CASE(activity_without_flows_is_forgotten_after_minutes) {
    flow_tracker      flows(4);
    const steady_time now{1h};
    tracked_flow*     held = flows.start(syn(1), 7, now);
    flows.note_packet(*held, later(1, 7, 500, 100), now);
    flows.note_syn(8, now);
    flows.expire(now + 1min, 10min);
    BOOST_TEST(flows.activity_size() == 2U);
    flows.expire(now + 3min, 10min);
    BOOST_TEST(flows.activity_size() == 1U);
    BOOST_TEST(flows.find_activity(7) != nullptr);
    for (int call = 0; call < 32; ++call)
        flows.expire(now + 20min, 10min);
    flows.expire(now + 21min, 10min);
    BOOST_TEST(flows.activity_size() == 0U);
}
