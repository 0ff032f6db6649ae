// The operator's view: guards against an explanation that differs from what the balancer does, and against answers to
// targets that are not known.
#define BOOST_TEST_MODULE entry_status
#include "daemons/entry/status_view.h"
#include "entry_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace tamarack::entry;

namespace {

struct view_fixture : balancer_fixture {
    status_view view{store_replica, decisions};

    view_fixture() {
        auto far = registration_of(2, "south");
        auto leaving = registration_of(3);
        leaving.state = backend_state::draining;
        load_records({configuration_record(1, 7), backend_record(2, registration_of(1)), backend_record(3, far),
                      backend_record(4, leaving)},
                     4);
    }
    std::string text(std::string_view target) const { return view.text(target, time.steady_now()).value_or("nothing"); }
};

std::size_t lines_of(const std::string& text) {
    return static_cast<std::size_t>(std::ranges::count(text, '\n'));
}

bool has(const std::string& text, std::string_view part) {
    return text.find(part) != std::string::npos;
}

constexpr std::string_view flow_target = "/flow?caller=100.64.0.7:5&route=198.18.0.1:443";

} // namespace

BOOST_FIXTURE_TEST_SUITE(view, view_fixture)

BOOST_AUTO_TEST_CASE(the_configuration_in_force_is_shown) {
    const std::string shown = text("/services");
    BOOST_TEST(has(shown, "configuration version=7 routes=1"));
    BOOST_TEST(has(shown, "route name=desk address=198.18.0.1:443 services=desk:1"));
}

BOOST_AUTO_TEST_CASE(backend_servers_are_shown_with_their_load) {
    const auto placed = decide(syn_packet(5));
    decide(later_packet(5, placed.backend->reference, 500, 100));
    BOOST_TEST(lines_of(text("/backend-servers")) == 3U);
    BOOST_TEST(has(text("/backend-servers?service=desk"), "name=1 service=desk address=10.0.0.1:8080"));
    BOOST_TEST(has(text("/backend-servers"), "state=draining"));
    BOOST_TEST(has(text("/backend-servers"), "requests=1 flows=1"));
    BOOST_TEST(text("/backend-servers?service=other").empty());
}

BOOST_AUTO_TEST_CASE(feeders_are_shown) {
    store_replica.apply({"feeder/north/0", 9, feeder_registration{"near", "north", 0, service_address, {}}, "raw"},
                        time.steady_now());
    BOOST_TEST(text("/balancers") ==
               "feeder name=near failure_domain=north slot=0 address=198.18.0.1:443 revision=9\n");
}

// The first candidate is the one that the next flow gets.
BOOST_AUTO_TEST_CASE(a_flow_is_explained_as_it_is_decided) {
    const std::string before = text(flow_target);
    BOOST_TEST(has(before, "state=\"not tracked here\""));
    BOOST_TEST(has(before, "candidate backend_server=1 service=desk cost=0.50 avoided=no"));
    BOOST_TEST(before.find("backend_server=1") < before.find("backend_server=2"));
    BOOST_TEST(!has(before, "backend_server=3")); // it drains
    const auto placed = decide(syn_packet(5));
    BOOST_TEST(placed.backend->registration.name == "1");
    BOOST_TEST(has(text(flow_target), "flow backend_server=1 state=opening"));
    decide(later_packet(5, placed.backend->reference, 500, 100));
    BOOST_TEST(has(text(flow_target), "state=open request=unknown waits=yes"));
}

BOOST_AUTO_TEST_CASE(an_address_without_a_route_is_explained) {
    BOOST_TEST(text("/flow?caller=100.64.0.7:5&route=198.18.0.9:443") == "flow outcome=reset reason=no_route\n");
}

BOOST_AUTO_TEST_CASE(other_targets_have_no_answer) {
    for (const char* target :
         {"", "/", "/flow", "/flow?caller=x&route=198.18.0.1:443", "/flow?route=198.18.0.1:443", "/backend-serversx"})
        BOOST_TEST(text(target) == "nothing", target);
}

BOOST_AUTO_TEST_SUITE_END()
