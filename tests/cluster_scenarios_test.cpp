// Scenarios in a simulated cluster: checks each guarantee of docs/design.md section 1.3 under the change or failure
// that threatens it. The seeds are fixed; times are those of the manual clock.
#define BOOST_TEST_MODULE cluster_scenarios
#include "fakes/deployment.h"
#include "tamarack/invariant.h"

#include <boost/test/unit_test.hpp>

using namespace fakes;
using namespace std::chrono_literals;
using tamarack::change_status;

namespace {

constexpr auto drain_limit = 3s;
constexpr auto convergence_limit = 7s; // limit until an accepted configuration is in force on every host

struct cluster_fixture {
    explicit cluster_fixture(const deployment& specification = tuul(),
                             cluster_settings  settings = settings_for(tuul(), 7))
        : deployed(specification), simulation(settings) {
        tamarack::set_violations_fatal(true);
        build_deployment(simulation, deployed);
    }

    void add_callers(std::uint64_t flows, double rate, duration request_interval = 1s, double short_share = 0.2) {
        for (const auto& item : deployed.services) {
            simulation.add_callers({item.name, item.address, flows, rate, request_interval, short_share, 3});
        }
    }

    // Guarantees of every scenario.
    void check_guarantees() {
        const auto totals = simulation.totals();
        BOOST_TEST(totals.wrong_service_packets == 0U);
        BOOST_TEST(totals.backend_changes == 0U);
        BOOST_TEST(totals.delivered_to_two_backends == 0U);
        BOOST_TEST(totals.refused_after_delivery == 0U);
        BOOST_TEST(simulation.flows_accepted_after_drain(drain_limit) == 0U);
        BOOST_TEST(simulation.max_control_bytes_in_window() <= 40'960U);
        BOOST_TEST(tamarack::total_violations() == 0U);
    }

    void check_no_flow_broken() {
        check_guarantees();
        const auto totals = simulation.totals();
        BOOST_TEST(totals.broken() == 0U);
        BOOST_TEST(totals.reset == 0U);
        BOOST_TEST(totals.refused == 0U);
        BOOST_TEST(totals.timed_out == 0U);
        BOOST_TEST(totals.established == totals.opened);
    }

    deployment deployed;
    cluster    simulation;
};

} // namespace

// Guards against flows that break while no change or failure occurs.
BOOST_AUTO_TEST_CASE(steady_state_breaks_nothing) {
    cluster_fixture test;
    test.add_callers(2000, 500);
    test.simulation.run(20s);
    test.check_no_flow_broken();
}

// Guards against flows that move or break when backend servers join, change weight, drain and leave.
BOOST_AUTO_TEST_CASE(changes_of_backend_servers_break_nothing) {
    cluster_fixture test;
    test.add_callers(3000, 300);
    test.simulation.run(4s);
    test.simulation.add_backend("reorder", "late", "domain-2", 2, 1ms);
    BOOST_CHECK(test.simulation.submit_and_wait(1, test.simulation.join_command("reorder", "late")).status ==
                change_status::accepted);
    test.simulation.run(2s);
    BOOST_CHECK(test.simulation.submit_and_wait(2, tamarack::drain_backend{"reorder", "server-1"}).status ==
                change_status::accepted);
    BOOST_CHECK(test.simulation.submit_and_wait(3, tamarack::drain_backend{"intake", "server-2"}).status ==
                change_status::accepted);
    test.simulation.run(2s);
    BOOST_CHECK(test.simulation.submit_and_wait(4, tamarack::weigh_backend{"reorder", "server-3", 10}).status ==
                change_status::accepted);
    test.simulation.run(8s);
    test.check_no_flow_broken();
}

// Guards against flows lost by a graceful stop, by a join, and by the replacement of every balancer in turn.
BOOST_AUTO_TEST_CASE(rolling_replacement_of_every_balancer_breaks_nothing) {
    cluster_fixture test;
    test.add_callers(2000, 300);
    test.simulation.run(5s);
    for (std::size_t i = 0; i < test.simulation.host_count(); ++i) {
        test.simulation.stop(i);
        for (int waited_seconds = 0; test.simulation.is_running(i) && waited_seconds < 300; ++waited_seconds)
            test.simulation.run(1s);
        BOOST_TEST(!test.simulation.is_running(i));
        test.simulation.run(2s);
        test.simulation.start(i);
        test.simulation.run(5s);
    }
    test.check_no_flow_broken();
}

// Guards against the loss of placements that only the crashed balancer held.
BOOST_AUTO_TEST_CASE(one_crash_breaks_nothing) {
    cluster_fixture test;
    test.add_callers(4000, 800);
    test.simulation.run(3s);
    test.simulation.crash(4);
    test.simulation.run(15s);
    test.simulation.start(4);
    test.simulation.run(15s);
    test.check_no_flow_broken();
}

// Guards against a paused process that acts on an outdated view of the cluster when it resumes.
BOOST_AUTO_TEST_CASE(pause_of_a_balancer_breaks_nothing) {
    cluster_fixture test;
    test.add_callers(3000, 400);
    test.simulation.run(3s);
    test.simulation.pause(2, 8s);
    test.simulation.run(25s);
    test.check_no_flow_broken();
}

// Guards against flows that break because packets are lost, duplicated and reordered.
BOOST_AUTO_TEST_CASE(loss_and_duplication_break_nothing) {
    auto settings = settings_for(tuul(), 11);
    settings.loss_probability = 0.02;
    settings.duplication_probability = 0.02;
    settings.max_jitter = 2ms;
    cluster_fixture test(tuul(), settings);
    test.add_callers(2000, 300);
    test.simulation.run(30s);
    test.check_no_flow_broken();
}

// Guards against a platform outage that stops traffic, and against changes that it loses or applies twice.
BOOST_AUTO_TEST_CASE(platform_outage_breaks_nothing) {
    cluster_fixture test;
    test.add_callers(2000, 200);
    test.simulation.run(2s);
    test.simulation.set_store_outage(true);
    test.simulation.submit(0, tamarack::drain_backend{"reorder", "server-1"}, "operator", 0, "during-outage");
    test.simulation.run(10s);
    test.simulation.set_store_outage(false);
    test.simulation.run(20s);
    BOOST_CHECK(test.simulation.submit_and_wait(3, tamarack::drain_backend{"reorder", "server-2"}).status ==
                change_status::accepted);
    test.simulation.run(7s);
    BOOST_REQUIRE(test.simulation.convergence_time().has_value());
    BOOST_TEST((*test.simulation.convergence_time() <= convergence_limit));
    test.check_no_flow_broken();
}

// Guards against a failure domain that stops serving while it is isolated, and against a configuration that reverts.
BOOST_AUTO_TEST_CASE(isolated_failure_domain_converges_after_reconnection) {
    cluster_fixture test;
    test.simulation.run(1s);
    test.simulation.isolate_domains({"domain-3"});
    test.simulation.run(10s);
    BOOST_CHECK(test.simulation.submit_and_wait(0, tamarack::drain_backend{"reorder", "server-1"}).status ==
                change_status::accepted);
    test.simulation.run(5s);
    test.simulation.end_isolation();
    const auto reconnected_at = test.simulation.now();
    while (!test.simulation.convergence_time().has_value() && test.simulation.now() - reconnected_at < 30s)
        test.simulation.run(100ms);
    BOOST_REQUIRE(test.simulation.convergence_time().has_value());
    BOOST_TEST((test.simulation.now() - reconnected_at <= convergence_limit));
    test.add_callers(1000, 500);
    test.simulation.run(10s);
    test.check_no_flow_broken();
}

// Guards against uneven load in steady state: no backend server may hold more than 1.10 times the mean number of flows.
BOOST_AUTO_TEST_CASE(flows_are_spread_fairly) {
    cluster_fixture test;
    test.add_callers(15'000, 3000, 5s, 0);
    test.simulation.run(12s);
    double largest = 0;
    double sum = 0;
    for (const auto& load : test.simulation.backend_loads()) {
        if (load.service != "reorder") continue;
        largest = std::max(largest, static_cast<double>(load.open_flows));
        sum += static_cast<double>(load.open_flows);
    }
    BOOST_TEST(largest / (sum / 15) <= 1.10);
    test.check_no_flow_broken();
}

// Guards against new flows that go to a backend server because it falsely reports no load.
BOOST_AUTO_TEST_CASE(false_load_report_attracts_no_flows) {
    cluster_fixture test;
    test.simulation.set_load_report_mode("reorder", "server-1", load_report_mode::zero);
    test.add_callers(15'000, 3000, 5s, 0);
    test.simulation.run(12s);
    double largest = 0;
    double sum = 0;
    for (const auto& load : test.simulation.backend_loads()) {
        if (load.service != "reorder" || load.name == "server-1") continue;
        largest = std::max(largest, static_cast<double>(load.open_flows));
        sum += static_cast<double>(load.open_flows);
    }
    BOOST_TEST(largest / (sum / 14) <= 1.25);
    test.check_no_flow_broken();
}

// Guards against a missing capacity counter: an alarm on a nearly full flow table compares the flows held with it.
BOOST_AUTO_TEST_CASE(flow_table_capacity_is_published) {
    cluster_fixture test;
    test.simulation.run(1s);
    const auto counters = test.simulation.node_of(0)->counters();
    const auto found = counters.find("flow_table_capacity");
    BOOST_REQUIRE(found != counters.end());
    BOOST_TEST(found->second >= counters.at("flows_held"));
    BOOST_TEST(found->second > 0U);
}

// Guards against a graceful stop that never ends. The stopping balancer waits for placements whose other holder has
// been replaced, and the packets that it delivers itself keep these flows from becoming idle.
BOOST_AUTO_TEST_CASE(graceful_stop_ends_while_flows_are_busy) {
    cluster_fixture test;
    test.add_callers(1000, 1000, 400ms, 0);
    test.simulation.run(5s);
    for (std::size_t i = 0; i < test.simulation.host_count(); ++i) {
        test.simulation.stop(i);
        for (int waited_seconds = 0; test.simulation.is_running(i) && waited_seconds < 30; ++waited_seconds)
            test.simulation.run(1s);
        BOOST_TEST(!test.simulation.is_running(i), "balancer " << i << " still waits after 30 s");
        test.simulation.start(i);
        test.simulation.run(5s);
    }
    test.check_no_flow_broken();
}
