// Random sequences of changes and failures in a simulated cluster. rapidcheck shrinks a failing sequence and prints it
// with its seed. RC_PARAMS="seed=..." repeats it; scripts/soak runs other seeds and sizes.
#define BOOST_TEST_MODULE cluster_random
#include "fakes/deployment.h"
#include "tamarack/invariant.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace fakes;
using namespace std::chrono_literals;

namespace {

// Steps of a sequence. Planned changes (join to start) must not break a flow.
enum class step_kind {
    join,
    drain,
    undrain,
    change_weight,
    stop,
    start,
    crash,
    pause,
    isolate_domain,
    end_isolation,
    store_outage,
    store_recovery,
    store_lost_answers,
    store_stale_reads,
    conflicting_changes,
    wait,
};

struct step {
    step_kind     kind = step_kind::wait;
    std::uint32_t choice = 0; // random number that selects the host, backend server, time or value
};

std::ostream& operator<<(std::ostream& out, const step& item) {
    constexpr std::array<const char*, 16> names = {"join",
                                                   "drain",
                                                   "undrain",
                                                   "change_weight",
                                                   "stop",
                                                   "start",
                                                   "crash",
                                                   "pause",
                                                   "isolate_domain",
                                                   "end_isolation",
                                                   "store_outage",
                                                   "store_recovery",
                                                   "store_lost_answers",
                                                   "store_stale_reads",
                                                   "conflicting_changes",
                                                   "wait"};
    return out << names.at(static_cast<std::size_t>(item.kind)) << ' ' << item.choice;
}

deployment small_deployment() {
    return {"small",
            5,
            3,
            std::chrono::microseconds(1500),
            2,
            {{"board", {tamarack::ip_address::v4(0x0a010001U), 443}, 4, 1ms},
             {"evidence", {tamarack::ip_address::v4(0x0a010002U), 443}, 2, 1ms}}};
}

class sequence_runner {
public:
    sequence_runner(std::uint64_t seed, double loss)
        : deployment_(small_deployment()), cluster_(make_cluster_settings(seed, loss)) {
        tamarack::set_violations_fatal(true);
        build_deployment(cluster_, deployment_);
        for (const auto& item : deployment_.services)
            cluster_.add_callers({item.name, item.address, 100'000, 60, 700ms, 0.3, 3});
        cluster_.run(2s);
    }

    void apply_step(const step& item) {
        const std::size_t host = item.choice % cluster_.host_count();
        switch (item.kind) {
        case step_kind::join:
            join_backend_server();
            break;
        case step_kind::drain:
            submit(tamarack::drain_backend{"board", backend_name(item.choice % 3)}, item.choice);
            break;
        case step_kind::undrain:
            submit(tamarack::undrain_backend{"board", backend_name(item.choice % 3)}, item.choice);
            break;
        case step_kind::change_weight:
            submit(tamarack::weigh_backend{"board", backend_name(3), 10 + item.choice % 100}, item.choice);
            break;
        case step_kind::stop:
            stop_host(host);
            break;
        case step_kind::start:
            start_all();
            break;
        case step_kind::crash:
            crash_host(host);
            break;
        case step_kind::pause:
            cluster_.pause(host, std::chrono::milliseconds(200 + item.choice % 6000));
            break;
        case step_kind::isolate_domain:
            cluster_.isolate_domains({failure_domain_name(item.choice % deployment_.failure_domain_count)});
            break;
        case step_kind::end_isolation:
            cluster_.end_isolation();
            break;
        case step_kind::store_outage:
            cluster_.set_store_outage(true);
            break;
        case step_kind::store_recovery:
            cluster_.set_store_outage(false);
            break;
        case step_kind::store_lost_answers:
            cluster_.set_store_lost_answer_share(item.choice % 2 == 0 ? 0.5 : 0);
            break;
        case step_kind::store_stale_reads:
            cluster_.set_store_stale_read_share(item.choice % 2 == 0 ? 0.3 : 0);
            break;
        case step_kind::conflicting_changes:
            submit(tamarack::weigh_backend{"board", backend_name(3), 20}, item.choice);
            submit(tamarack::weigh_backend{"board", backend_name(3), 30}, item.choice + 1);
            break;
        case step_kind::wait:
            break;
        }
        cluster_.run(std::chrono::milliseconds(300 + item.choice % 3000));
    }

    // Ends all failures and runs until the cluster has settled.
    void recover() {
        cluster_.end_isolation();
        cluster_.set_store_outage(false);
        cluster_.set_store_lost_answer_share(0);
        cluster_.set_store_stale_read_share(0);
        start_all();
        cluster_.run(20s);
    }

    cluster& simulated_cluster() { return cluster_; }

private:
    static cluster_settings make_cluster_settings(std::uint64_t seed, double loss) {
        auto settings = settings_for(small_deployment(), seed);
        settings.loss_probability = loss;
        settings.duplication_probability = loss;
        settings.max_jitter = 1ms;
        return settings;
    }

    std::size_t running_host_count() const {
        std::size_t count = 0;
        for (std::size_t i = 0; i < cluster_.host_count(); ++i)
            count += cluster_.is_running(i) ? 1 : 0;
        return count;
    }

    void submit(const tamarack::change& command, std::size_t host) {
        host %= cluster_.host_count();
        if (cluster_.is_running(host)) cluster_.submit(host, command);
    }

    void join_backend_server() {
        const std::string name = "joined-" + std::to_string(++joined_count_);
        cluster_.add_backend("board", name, "domain-1", 2, 1ms);
        submit(cluster_.join_command("board", name), joined_count_);
    }

    void stop_host(std::size_t host) {
        if (running_host_count() < 3) return;
        cluster_.stop(host);
        for (int waited_seconds = 0; cluster_.is_running(host) && waited_seconds < 400; ++waited_seconds)
            cluster_.run(1s);
    }

    // Crashes a host only while all are running, and then waits until redundancy has been restored.
    void crash_host(std::size_t host) {
        if (running_host_count() < cluster_.host_count()) return;
        cluster_.crash(host);
        cluster_.run(15s);
    }

    void start_all() {
        for (std::size_t i = 0; i < cluster_.host_count(); ++i) {
            if (!cluster_.is_running(i)) cluster_.start(i);
        }
        cluster_.run(5s);
    }

    deployment    deployment_;
    cluster       cluster_;
    std::uint32_t joined_count_ = 0;
};

rc::Gen<std::vector<step>> step_sequences(const std::vector<step_kind>& kinds) {
    return rc::gen::container<std::vector<step>>(
        rc::gen::build<step>(rc::gen::set(&step::kind, rc::gen::elementOf(kinds)),
                             rc::gen::set(&step::choice, rc::gen::inRange<std::uint32_t>(0, 10'000))));
}

void assert_invariants(cluster& simulation) {
    const auto totals = simulation.totals();
    RC_ASSERT(totals.wrong_service_packets == 0U);
    RC_ASSERT(totals.backend_changes == 0U);
    RC_ASSERT(totals.refused_after_delivery == 0U);
    RC_ASSERT(tamarack::total_violations() == 0U);
    RC_ASSERT(simulation.max_control_bytes_in_window() <= 40'960U);
    RC_ASSERT(simulation.convergence_time().has_value());
}

} // namespace

// Guards against a planned change, or a sequence of them, that breaks a flow or delivers it to two backend servers.
BOOST_AUTO_TEST_CASE(planned_changes_break_nothing) {
    const bool passed = rc::check("planned changes break nothing", [](std::uint16_t seed) {
        const auto steps =
            *step_sequences({step_kind::join, step_kind::drain, step_kind::undrain, step_kind::change_weight,
                             step_kind::stop, step_kind::start, step_kind::wait});
        sequence_runner runner(seed, 0);
        for (const auto& item : steps)
            runner.apply_step(item);
        runner.recover();
        assert_invariants(runner.simulated_cluster());
        RC_ASSERT(runner.simulated_cluster().totals().broken() == 0U);
        RC_ASSERT(runner.simulated_cluster().totals().delivered_to_two_backends == 0U);
        RC_ASSERT(runner.simulated_cluster().totals().refused == 0U);
    });
    BOOST_TEST(passed);
}

// Guards against flows broken by a single failure at a time, under packet loss, duplication and a faulty platform.
BOOST_AUTO_TEST_CASE(single_failures_break_nothing) {
    const bool passed = rc::check("single failures break nothing", [](std::uint16_t seed) {
        const auto steps = *step_sequences(
            {step_kind::join, step_kind::drain, step_kind::undrain, step_kind::change_weight, step_kind::start,
             step_kind::crash, step_kind::store_outage, step_kind::store_recovery, step_kind::store_lost_answers,
             step_kind::store_stale_reads, step_kind::conflicting_changes, step_kind::wait});
        sequence_runner runner(seed, 0.01);
        for (const auto& item : steps)
            runner.apply_step(item);
        runner.recover();
        assert_invariants(runner.simulated_cluster());
        RC_ASSERT(runner.simulated_cluster().totals().broken() == 0U);
        RC_ASSERT(runner.simulated_cluster().totals().delivered_to_two_backends == 0U);
    });
    BOOST_TEST(passed);
}

// Guards against violated invariants when pauses and network partitions coincide with changes and other failures. Flows
// may break here: a partition can separate a caller's packets from both holders of the placement.
BOOST_AUTO_TEST_CASE(invariants_hold_under_pauses_and_partitions) {
    const bool passed = rc::check("invariants hold under pauses and partitions", [](std::uint16_t seed) {
        const auto steps =
            *step_sequences({step_kind::join, step_kind::drain, step_kind::change_weight, step_kind::start,
                             step_kind::crash, step_kind::pause, step_kind::isolate_domain, step_kind::end_isolation,
                             step_kind::store_outage, step_kind::store_recovery, step_kind::store_lost_answers,
                             step_kind::store_stale_reads, step_kind::conflicting_changes, step_kind::wait});
        sequence_runner runner(seed, 0.01);
        for (const auto& item : steps)
            runner.apply_step(item);
        runner.recover();
        assert_invariants(runner.simulated_cluster());
    });
    BOOST_TEST(passed);
}
