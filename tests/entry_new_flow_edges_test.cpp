// New flows in unusual states of the balancer: after a pause, after a change of the configuration, with answers that
// take no measurable time, and with a failure domain that the route may not use or that is evacuated. Guards against
// refusals while the backend servers have room, and against flows on backend servers that the rules exclude.
#define BOOST_TEST_MODULE entry_new_flow_edges
#include "entry_fixture.h"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace tamarack;
using namespace tamarack::entry;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t backend_count = 6;

route desk_route(duration response_goal) {
    return {.name = "desk",
            .address = service_address,
            .services = {{"desk", 1}},
            .kind = request_kind::idempotent,
            .response_goal = response_goal};
}

// Six backend servers of the own failure domain.
struct service_fixture : balancer_fixture {
    service_fixture() {
        std::vector<record> records = {configuration_record(1, 1, {desk_route(400ms)})};
        for (std::uint64_t identity = 1; identity <= backend_count; ++identity)
            records.push_back(backend_record(1 + identity, registration_of(identity)));
        load_records(records, last_revision);
        time.advance(10s);
    }

    // A flow with one request, whose answer the caller acknowledges.
    packet_action run_request(duration answer_time) {
        const std::uint16_t     port = ++last_port;
        const steering_decision placed = decide(syn_packet(port));
        if (placed.action != packet_action::deliver) return placed.action;
        const backend_reference reference = placed.backend->reference;
        decide(later_packet(port, reference, 5'000, 100));
        time.advance(answer_time);
        segment end = later_packet(port, reference, 6'000);
        end.fin = true;
        decide(end);
        return placed.action;
    }
    // Requests one after the other, and how many of them are refused.
    unsigned run_requests(unsigned count, duration answer_time, duration interval) {
        unsigned refused = 0;
        for (unsigned i = 0; i < count; ++i) {
            refused += run_request(answer_time) == packet_action::reset ? 1 : 0;
            time.advance(interval);
            decisions.expire(time.steady_now());
        }
        return refused;
    }
    // By port.
    std::map<std::uint16_t, backend_reference> open_long_flows(unsigned count) {
        std::map<std::uint16_t, backend_reference> references;
        for (unsigned flow = 0; flow < count; ++flow) {
            const std::uint16_t port = ++last_port;
            references[port] = decide(syn_packet(port)).backend->reference;
            decide(later_packet(port, references[port], 5'000));
        }
        return references;
    }
    void pause() {
        time.advance(1'500ms);
        decisions.note_pause(time.steady_now());
    }
    // A request every 10 ms, each answered after 400 ms, and how many of them are refused.
    unsigned run_overload(unsigned count) {
        unsigned                                                refused = 0;
        std::deque<std::pair<std::uint16_t, backend_reference>> waiting;
        for (unsigned i = 0; i < count; ++i) {
            const std::uint16_t     port = ++last_port;
            const steering_decision placed = decide(syn_packet(port));
            if (placed.action == packet_action::deliver) {
                decide(later_packet(port, placed.backend->reference, 5'000, 100));
                waiting.emplace_back(port, placed.backend->reference);
            } else {
                ++refused;
                waiting.emplace_back(port, 0);
            }
            time.advance(10ms);
            if (waiting.size() > 40) {
                const auto [answered_port, reference] = waiting.front();
                waiting.pop_front();
                if (reference != 0) decide(later_packet(answered_port, reference, 6'000));
            }
            decisions.expire(time.steady_now());
        }
        return refused;
    }

    std::uint64_t last_revision = 1 + backend_count;
    std::uint16_t last_port = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(new_flows, service_fixture)

// Packets that were read together have one time.
BOOST_AUTO_TEST_CASE(answers_without_measurable_time_are_no_usual_time) {
    BOOST_TEST(run_requests(300, 0ms, 20ms) == 0U);
    BOOST_TEST(run_requests(300, 30ms, 20ms) == 0U);
}

// The requests and acknowledgements that wait in the socket are read together after the pause: their answers seem to
// have come at once, as refusals of backend servers do.
BOOST_AUTO_TEST_CASE(answers_that_waited_during_a_pause_are_no_refusals_of_backend_servers) {
    BOOST_REQUIRE(run_requests(200, 30ms, 30ms) == 0U);
    const auto open_flows = open_long_flows(30);
    pause();
    for (const auto& [port, reference] : open_flows) {
        decide(later_packet(port, reference, 5'000, 100));
        decide(later_packet(port, reference, 6'000));
    }
    BOOST_TEST(run_requests(60, 30ms, 30ms) == 0U);
}

// Requests whose acknowledgements waited seem to have taken as long as the pause.
BOOST_AUTO_TEST_CASE(answers_that_span_a_pause_show_no_delay) {
    BOOST_REQUIRE(run_requests(200, 30ms, 30ms) == 0U);
    const auto open_flows = open_long_flows(30);
    for (const auto& [port, reference] : open_flows)
        decide(later_packet(port, reference, 5'000, 100));
    pause();
    for (const auto& [port, reference] : open_flows)
        decide(later_packet(port, reference, 6'000));
    BOOST_TEST(run_requests(60, 30ms, 30ms) == 0U);
}

BOOST_AUTO_TEST_CASE(a_service_whose_routes_state_no_goal_any_more_refuses_nothing) {
    BOOST_REQUIRE(run_requests(200, 30ms, 20ms) == 0U);
    BOOST_REQUIRE(run_overload(200) > 0U);
    BOOST_REQUIRE(decisions.new_flow_admission().status("desk").is_refusing);
    store_replica.apply(configuration_record(++last_revision, 2, {desk_route({})}), time.steady_now());
    BOOST_TEST(run_overload(100) == 0U);
    BOOST_TEST(!decisions.new_flow_admission().status("desk").is_refusing);
}

// The caller takes the reset for the end of the flow, and may have sent a copy before it arrived. A quota of a warm-up
// limit is free again at any moment.
BOOST_AUTO_TEST_CASE(no_copy_of_a_syn_that_was_reset_for_want_of_a_backend_server_is_delivered) {
    store_replica.apply({"evacuate/north", at_revision(++last_revision), evacuation{"north"}, "{}"}, time.steady_now());
    BOOST_TEST((decide(syn_packet(1)).action == packet_action::reset));
    store_replica.apply({"evacuate/north", at_revision(++last_revision), removed_record{}, {}}, time.steady_now());
    time.advance(200ms);
    BOOST_TEST((decide(syn_packet(1, 1)).action == packet_action::reset));
    time.advance(400ms);
    BOOST_TEST((decide(syn_packet(1, 2)).action == packet_action::reset));
    BOOST_TEST((decide(syn_packet(2)).action == packet_action::deliver));
    time.advance(1'500ms);
    segment reused = syn_packet(1);
    reused.sequence = 900'000;
    BOOST_TEST((decide(reused).action == packet_action::deliver));
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

constexpr std::uint64_t first_foreign = 5;

// Two backend servers each in the own failure domain, in another one of the region, and in one of another region.
struct regions_fixture {
    manual_clock       time;
    replica            store_replica;
    placement_settings settings{.failure_domain = "north",
                                .regions = {{"north", "inland"}, {"east", "inland"}, {"south", "coast"}}};
    flow_tracker       flows{1'000};
    backend_conditions conditions{store_replica, flows, 1};
    placement          choices{settings, store_replica, flows, conditions, 1};
    route              inland_route = desk_route({});

    regions_fixture() {
        inland_route.allowed_regions = {"inland"};
        std::vector<record> records = {configuration_record(1, 1, {inland_route})};
        for (std::uint64_t identity = 1; identity <= 6; ++identity) {
            const std::string failure_domain = identity <= 2 ? "north" : identity < first_foreign ? "east" : "south";
            records.push_back(backend_record(1 + identity, registration_of(identity, failure_domain)));
        }
        store_replica.note_store_available(time.steady_now());
        store_replica.apply_listing(records, at_revision(7), time.steady_now());
    }
};

} // namespace

// Another domain's backend servers would otherwise cost as much as the own ones, and bytes between domains are charged.
BOOST_FIXTURE_TEST_CASE(a_flow_that_prefers_a_domain_outside_its_regions_stays, regions_fixture) {
    for (int flow = 0; flow < 4; ++flow) {
        const auto           drawn = choices.draw(inland_route);
        const known_backend* chosen = choices.choose(inland_route, drawn, "south", 0, time.steady_now());
        BOOST_REQUIRE(chosen != nullptr);
        BOOST_TEST(chosen->registration.failure_domain == "north");
        flows.note_syn(chosen->reference, time.steady_now());
        time.advance(1ms);
    }
}

BOOST_FIXTURE_TEST_SUITE(evacuated_domain, service_fixture)

// A copy may wait in a queue on the way, and callers reuse ports whose earlier flow ended through another balancer.
BOOST_AUTO_TEST_CASE(no_late_syn_of_an_open_flow_reaches_an_evacuated_backend_server) {
    const steering_decision placed = decide(syn_packet(1));
    decide(later_packet(1, placed.backend->reference, 5'000, 100));
    store_replica.apply({"evacuate/north", at_revision(++last_revision), evacuation{"north"}, "{}"}, time.steady_now());
    store_replica.apply(backend_record(++last_revision, registration_of(20, "east")), time.steady_now());
    time.advance(6s);
    const auto late_copy = decide(syn_packet(1, 1));
    BOOST_TEST((late_copy.action == packet_action::drop)); // the flow is open: no reset
    segment reused = syn_packet(1);
    reused.sequence = 900'000;
    const auto next_flow = decide(reused);
    BOOST_REQUIRE((next_flow.action == packet_action::deliver));
    BOOST_TEST(next_flow.backend->registration.failure_domain == "east");
}

BOOST_AUTO_TEST_SUITE_END()
