// The status page. Guards against explanations that differ from the balancer's actual decisions, and against responses
// to unknown targets.
#define BOOST_TEST_MODULE entry_status
#include "daemons/entry/status_page.h"
#include "entry_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace tamarack::entry;

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

BOOST_AUTO_TEST_CASE(explains_an_address_without_a_route) {
    BOOST_TEST(text("/flow?caller=100.64.0.7:5&route=198.18.0.9:443") == "flow outcome=reset reason=no_route\n");
}

BOOST_AUTO_TEST_CASE(unknown_targets_and_invalid_addresses_have_no_text) {
    for (const char* target :
         {"", "/", "/flow", "/flow?caller=x&route=198.18.0.1:443", "/flow?route=198.18.0.1:443", "/backend-serversx"})
        BOOST_TEST(text(target) == "nothing", target);
}

BOOST_AUTO_TEST_SUITE_END()
