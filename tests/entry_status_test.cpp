// The status page. Guards against explanations that differ from the balancer's actual decisions, and against responses
// to unknown targets.
#define BOOST_TEST_MODULE entry_status
#include "daemons/entry/status_page.h"
#include "entry_fixture.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace tamarack;
using namespace tamarack::entry;
using namespace std::chrono_literals;

namespace {

struct status_fixture : balancer_fixture {
    status_page status{store_replica, decisions};

    status_fixture() {
        auto distant_backend = registration_of(2, "south");
        auto draining_backend = registration_of(3);
        draining_backend.state = backend_state::draining;
        load_records({configuration_record(1, 7), backend_record(2, registration_of(1)),
                      backend_record(3, distant_backend), backend_record(4, draining_backend)},
                     4);
    }
    std::string text(std::string_view target) const {
        return status.render(target, time.steady_now()).value_or("nothing");
    }
};

std::size_t count_lines(const std::string& text) {
    return static_cast<std::size_t>(std::ranges::count(text, '\n'));
}

bool contains(const std::string& text, std::string_view expected) {
    return text.find(expected) != std::string::npos;
}

constexpr std::string_view flow_target = "/flow?caller=100.64.0.7:5&route=198.18.0.1:443";

} // namespace

BOOST_FIXTURE_TEST_SUITE(status, status_fixture)

BOOST_AUTO_TEST_CASE(shows_the_configuration_in_force) {
    const std::string services = text("/services");
    BOOST_TEST(contains(services, "configuration version=7 routes=1"));
    BOOST_TEST(contains(services, "route name=desk address=198.18.0.1:443 services=desk:1"));
}

BOOST_AUTO_TEST_CASE(shows_backend_servers_with_their_load) {
    const auto decision = decide(syn_packet(5));
    decide(later_packet(5, decision.backend->reference, 500, 100));
    BOOST_TEST(count_lines(text("/backend-servers")) == 3U);
    BOOST_TEST(contains(text("/backend-servers?service=desk"), "name=1 service=desk address=10.0.0.1:8080"));
    BOOST_TEST(contains(text("/backend-servers"), "state=draining"));
    BOOST_TEST(contains(text("/backend-servers"), "requests=1 flows=1"));
    BOOST_TEST(text("/backend-servers?service=other").empty());
}

BOOST_AUTO_TEST_CASE(shows_feeders) {
    store_replica.apply(
        {"feeder/north/0", at_revision(9), feeder_registration{"near", "north", 0, service_address, {}}, "raw"},
        time.steady_now());
    BOOST_TEST(text("/balancers") ==
               "feeder name=near failure_domain=north slot=0 address=198.18.0.1:443 epoch=1 revision=9\n");
}

// The first candidate of an explanation must be the backend server that the next flow is placed on.
BOOST_AUTO_TEST_CASE(flow_explanation_matches_the_steering_decision) {
    const std::string explanation = text(flow_target);
    BOOST_TEST(contains(explanation, "state=\"not tracked here\""));
    BOOST_TEST(contains(explanation, "candidate backend_server=1 service=desk cost=0.50 avoided=no"));
    BOOST_TEST(explanation.find("backend_server=1") < explanation.find("backend_server=2"));
    BOOST_TEST(!contains(explanation, "backend_server=3")); // draining backend servers take no new flows
    const auto decision = decide(syn_packet(5));
    BOOST_TEST(decision.backend->registration.name == "1");
    BOOST_TEST(contains(text(flow_target), "flow backend_server=1 state=opening"));
    decide(later_packet(5, decision.backend->reference, 500, 100));
    BOOST_TEST(contains(text(flow_target), "state=open request=unknown waits=yes"));
}

BOOST_AUTO_TEST_CASE(explains_the_route_and_the_rule_against_each_candidate) {
    route coastal{"coastal", service_address, {{"desk", 3}, {"ledger", 0}}, request_kind::idempotent, 2, 400ms, 2s};
    coastal.allowed_regions = {"coast"};
    steering    regional({.failure_domain = "north", .regions = {{"south", "coast"}, {"east", "coast"}}}, store_replica,
                         1);
    status_page regional_status(store_replica, regional);
    auto        other_service = registration_of(5, "east");
    other_service.service = "ledger";
    for (const record& item :
         {configuration_record(5, 8, {coastal}), backend_record(6, registration_of(4, "east")),
          backend_record(7, other_service), record{"evacuation/east", at_revision(8), evacuation{"east"}, "{}"}})
        store_replica.apply(item, time.steady_now());
    const std::string explanation = regional_status.render(flow_target, time.steady_now()).value_or("nothing");
    BOOST_TEST(contains(explanation, "route name=coastal services=desk:3,ledger:0 kind=idempotent priority=2 "
                                     "response_goal_ms=400 time_limit_ms=2000 regions=coast\n"));
    BOOST_TEST(contains(explanation, "new_flow outcome=delivered reason=placed backend_server=2\n"));
    BOOST_TEST(contains(explanation, "share service=desk weight=3 candidates=3 eligible=1\n"));
    BOOST_TEST(contains(explanation, "excluded=none chosen=yes failure_domain=south region=coast\n"));
    BOOST_TEST(contains(explanation, "excluded=region_not_allowed chosen=no failure_domain=north region=none\n"));
    BOOST_TEST(contains(explanation, "excluded=evacuated chosen=no failure_domain=east region=coast\n"));
}

BOOST_AUTO_TEST_CASE(explains_a_refusal) {
    for (const char* domain : {"north", "south"}) {
        store_replica.apply({std::string("evacuation/") + domain, at_revision(9), evacuation{domain}, "{}"},
                            time.steady_now());
    }
    BOOST_TEST(contains(text(flow_target), "new_flow outcome=reset reason=no_backend backend_server=none\n"));
    BOOST_TEST(contains(text(flow_target), "share service=desk weight=1 candidates=2 eligible=0\n"));
}

// Guards against predictions that differ from the next decision, through draws, silent servers, used-up warm-up limits
// or failure domains that return; and against explanations that change the decisions after them.
BOOST_AUTO_TEST_CASE(predicts_the_next_decision_in_any_state) {
    auto table = std::make_shared<routing_table>();
    table->version = 9;
    table->routes = {{"split", service_address, {{"desk", 2}, {"ledger", 1}}, request_kind::idempotent}};
    table->services = {{"ledger", 10s, 3.0}};
    store_replica.apply({"configuration", at_revision(10), std::shared_ptr<const routing_table>(table), "raw 9"},
                        time.steady_now());
    store_replica.apply(
        {"feeder/north", at_revision(11), feeder_registration{"host", "north", 0, service_address, {}}, "raw"},
        time.steady_now());
    for (std::uint64_t identity = 10; identity < 22; ++identity) {
        auto registration = registration_of(identity, identity % 3 == 0 ? "south" : "north");
        registration.service = identity % 2 == 0 ? "desk" : "ledger";
        registration.warmup_remaining = identity % 4 == 1 ? duration(1min) : duration::zero();
        store_replica.apply(backend_record(12 + identity, registration), time.steady_now());
    }
    steering                   owner({.failure_domain = "north", .warmup = {.balancer = "host"}}, store_replica, 7);
    std::map<std::string, int> reasons;
    std::uint64_t              revision = 50;
    random_source              random{20261204};
    for (std::uint16_t port = 1; port <= 3'000; ++port) {
        time.advance(std::chrono::milliseconds(random() % 30));
        store_replica.note_store_available(time.steady_now());
        if (port % 300 == 0) {
            store_replica.apply({"evacuation/north", at_revision(++revision), evacuation{"north"}, "{}"},
                                time.steady_now());
        }
        if (port % 300 == 50) {
            store_replica.apply({"evacuation/north", at_revision(++revision), removed_record{}, {}}, time.steady_now());
        }
        const segment syn = syn_packet(port);
        const auto    explanation = owner.explain(syn.source, syn.destination, time.steady_now());
        const auto    decision = owner.decide(syn, time.steady_now());
        BOOST_REQUIRE((explanation.next_decision.action == decision.action));
        BOOST_REQUIRE((explanation.next_decision.backend == decision.backend));
        for (const auto& candidate : explanation.candidates)
            ++reasons[std::string(to_string(candidate.excluded))];
        const auto& first = explanation.candidates.front();
        if (first.excluded == exclusion::none) BOOST_REQUIRE(first.backend == decision.backend);
        if (decision.backend == nullptr || random() % 5 == 0) continue; // some backend servers do not answer
        owner.decide(later_packet(port, decision.backend->reference, 5'000, 100), time.steady_now());
        if (random() % 4 != 0) owner.decide(later_packet(port, decision.backend->reference, 6'000), time.steady_now());
    }
    for (const char* reason : {"none", "evacuated", "returning", "warmup_limit", "unresponsive", "other_service"})
        BOOST_TEST(reasons[reason] > 0, reason);
}

BOOST_AUTO_TEST_CASE(explains_an_address_without_a_route) {
    BOOST_TEST(text("/flow?caller=100.64.0.7:5&route=198.18.0.9:443") == "flow outcome=reset reason=no_route\n");
}

BOOST_AUTO_TEST_CASE(unknown_targets_and_invalid_addresses_have_no_text) {
    for (const char* target :
         {"", "/", "/flow", "/flow?caller=x&route=198.18.0.1:443", "/flow?route=198.18.0.1:443", "/backend-serversx"})
        BOOST_TEST(text(target) == "nothing", target);
}

BOOST_AUTO_TEST_SUITE_END()
