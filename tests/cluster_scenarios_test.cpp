// Whole balancers joined by the in-memory fakes: each promise of docs/design.md section 1.3 under the change or failure
// that threatens it. Fixed seeds; times are those of the manual clock.
#define BOOST_TEST_MODULE cluster_scenarios
#include "fakes/deployment.h"
#include "tamarack/invariant.h"

#include <boost/test/unit_test.hpp>

using namespace fakes;
using namespace std::chrono_literals;
using tamarack::change_status;

namespace {

constexpr auto drain_bound = 3s;
constexpr auto force_bound = 7s; // until an accepted configuration is in force everywhere

struct fixture {
    explicit fixture(const deployment& shape = tuul(), cluster_settings settings = settings_for(tuul(), 7))
        : plan(shape), target(settings) {
        tamarack::set_violations_fatal(true);
        build(target, plan);
    }

    void open(std::uint64_t flows, double rate, duration request_interval = 1s, double short_share = 0.2) {
        for (const auto& item : plan.services) {
            target.add_callers({item.name, item.address, flows, rate, request_interval, short_share, 3});
        }
    }

    // What must hold in every scenario.
    void check_promises() {
        const auto totals = target.totals();
        BOOST_TEST(totals.wrong_service == 0U);
        BOOST_TEST(totals.moved == 0U);
        BOOST_TEST(totals.doubled == 0U);
        BOOST_TEST(totals.refused_delivered == 0U);
        BOOST_TEST(target.accepted_after_drain(drain_bound) == 0U);
        BOOST_TEST(target.largest_control_window() <= 40'960U);
        BOOST_TEST(tamarack::total_violations() == 0U);
    }

    void check_nothing_broken() {
        check_promises();
        const auto totals = target.totals();
        BOOST_TEST(totals.broken() == 0U);
        BOOST_TEST(totals.reset == 0U);
        BOOST_TEST(totals.refused == 0U);
        BOOST_TEST(totals.timed_out == 0U);
        BOOST_TEST(totals.established == totals.opened);
    }

    deployment plan;
    cluster    target;
};

} // namespace

// Guards against flows that break although nothing changes.
BOOST_AUTO_TEST_CASE(steady_state_breaks_nothing) {
    fixture test;
    test.open(2000, 500);
    test.target.run(20s);
    test.check_nothing_broken();
}

// Guards against flows that move or break when backend servers join, change weight, drain and leave.
BOOST_AUTO_TEST_CASE(changes_of_backend_servers_break_nothing) {
    fixture test;
    test.open(3000, 300);
    test.target.run(4s);
    test.target.add_backend("reorder", "late", "domain-2", 2, 1ms);
    BOOST_CHECK(test.target.change_now(1, test.target.join_command("reorder", "late")).status ==
                change_status::accepted);
    test.target.run(2s);
    BOOST_CHECK(test.target.change_now(2, tamarack::drain_backend{"reorder", "server-1"}).status ==
                change_status::accepted);
    BOOST_CHECK(test.target.change_now(3, tamarack::drain_backend{"intake", "server-2"}).status ==
                change_status::accepted);
    test.target.run(2s);
    BOOST_CHECK(test.target.change_now(4, tamarack::weigh_backend{"reorder", "server-3", 10}).status ==
                change_status::accepted);
    test.target.run(8s);
    test.check_nothing_broken();
}

// Guards against flows lost by a graceful stop, by a join, and by the replacement of every balancer in turn.
BOOST_AUTO_TEST_CASE(rolling_replacement_of_every_balancer_breaks_nothing) {
    fixture test;
    test.open(2000, 300);
    test.target.run(5s);
    for (std::size_t i = 0; i < test.target.hosts(); ++i) {
        test.target.stop(i);
        for (int waited = 0; test.target.running(i) && waited < 300; ++waited)
            test.target.run(1s);
        BOOST_TEST(!test.target.running(i));
        test.target.run(2s);
        test.target.start(i);
        test.target.run(5s);
    }
    test.check_nothing_broken();
}

// Guards against the loss of placements that only a crashed balancer held.
BOOST_AUTO_TEST_CASE(one_crash_breaks_nothing) {
    fixture test;
    test.open(4000, 800);
    test.target.run(3s);
    test.target.crash(4);
    test.target.run(15s);
    test.target.start(4);
    test.target.run(15s);
    test.check_nothing_broken();
}

// Guards against a paused process that acts on an old view when it wakes up.
BOOST_AUTO_TEST_CASE(pause_of_a_balancer_breaks_nothing) {
    fixture test;
    test.open(3000, 400);
    test.target.run(3s);
    test.target.pause(2, 8s);
    test.target.run(25s);
    test.check_nothing_broken();
}

// Guards against flows that break because packets are lost, repeated and reordered.
BOOST_AUTO_TEST_CASE(loss_and_duplication_break_nothing) {
    auto settings = settings_for(tuul(), 11);
    settings.loss = 0.02;
    settings.duplication = 0.02;
    settings.jitter = 2ms;
    fixture test(tuul(), settings);
    test.open(2000, 300);
    test.target.run(30s);
    test.check_nothing_broken();
}

// Guards against a platform outage that stops traffic, and against changes that are lost or made twice by it.
BOOST_AUTO_TEST_CASE(outage_of_the_platform) {
    fixture test;
    test.open(2000, 200);
    test.target.run(2s);
    test.target.set_store_outage(true);
    test.target.submit(0, tamarack::drain_backend{"reorder", "server-1"}, "operator", 0, "during-outage");
    test.target.run(10s);
    test.target.set_store_outage(false);
    test.target.run(20s);
    BOOST_CHECK(test.target.change_now(3, tamarack::drain_backend{"reorder", "server-2"}).status ==
                change_status::accepted);
    test.target.run(7s);
    BOOST_REQUIRE(test.target.convergence().has_value());
    BOOST_TEST((*test.target.convergence() <= force_bound));
    test.check_nothing_broken();
}

// Guards against a failure domain that stops serving when it is cut off, and against a configuration that reverts.
BOOST_AUTO_TEST_CASE(cut_failure_domain_converges_after_healing) {
    fixture test;
    test.target.run(1s);
    test.target.cut({"domain-3"});
    test.target.run(10s);
    BOOST_CHECK(test.target.change_now(0, tamarack::drain_backend{"reorder", "server-1"}).status ==
                change_status::accepted);
    test.target.run(5s);
    test.target.heal();
    const auto healed = test.target.now();
    while (!test.target.convergence().has_value() && test.target.now() - healed < 30s)
        test.target.run(100ms);
    BOOST_REQUIRE(test.target.convergence().has_value());
    BOOST_TEST((test.target.now() - healed <= force_bound));
    test.open(1000, 500);
    test.target.run(10s);
    test.check_nothing_broken();
}

// Guards against unfair shares in steady state: the largest number of flows is at most 1.10 times the mean.
BOOST_AUTO_TEST_CASE(flows_are_spread_fairly) {
    fixture test;
    test.open(15'000, 3000, 5s, 0);
    test.target.run(12s);
    double largest = 0;
    double sum = 0;
    for (const auto& load : test.target.loads()) {
        if (load.service != "reorder") continue;
        largest = std::max(largest, static_cast<double>(load.open));
        sum += static_cast<double>(load.open);
    }
    BOOST_TEST(largest / (sum / 15) <= 1.10);
    test.check_nothing_broken();
}

// Guards against a new flow on a backend server that looks idle because its report says zero.
BOOST_AUTO_TEST_CASE(lying_reporter_attracts_nothing) {
    fixture test;
    test.target.set_reporting("reorder", "server-1", reporting::zero);
    test.open(15'000, 3000, 5s, 0);
    test.target.run(12s);
    double largest = 0;
    double sum = 0;
    for (const auto& load : test.target.loads()) {
        if (load.service != "reorder" || load.name == "server-1") continue;
        largest = std::max(largest, static_cast<double>(load.open));
        sum += static_cast<double>(load.open);
    }
    BOOST_TEST(largest / (sum / 14) <= 1.25);
    test.check_nothing_broken();
}

// Guards against an alarm on a nearly full flow table that has no cap to compare with.
BOOST_AUTO_TEST_CASE(cap_of_the_flow_table_is_published) {
    fixture test;
    test.target.run(1s);
    const auto shown = test.target.node_of(0)->counters();
    const auto found = shown.find("flow_table_capacity");
    BOOST_REQUIRE(found != shown.end());
    BOOST_TEST(found->second >= shown.at("flows_held"));
    BOOST_TEST(found->second > 0U);
}

// Guards against a leaving balancer that waits for placements whose other holder has been replaced: packets that it
// delivers keep them from being quiet.
BOOST_AUTO_TEST_CASE(graceful_stop_ends_while_flows_are_busy) {
    fixture test;
    test.open(1000, 1000, 400ms, 0);
    test.target.run(5s);
    for (std::size_t i = 0; i < test.target.hosts(); ++i) {
        test.target.stop(i);
        for (int waited = 0; test.target.running(i) && waited < 30; ++waited)
            test.target.run(1s);
        BOOST_TEST(!test.target.running(i), "balancer " << i << " still waits after 30 s");
        test.target.start(i);
        test.target.run(5s);
    }
    test.check_nothing_broken();
}
