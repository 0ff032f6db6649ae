// Runs a deployment of the users through one scenario in the in-memory fakes and prints one "name: value unit" row per
// figure. scripts/bench runs every scenario against the node and the baselines.
#include "fakes/baselines.h"
#include "fakes/deployment.h"
#include "tamarack/invariant.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <iomanip>
#include <iostream>
#include <numeric>

DEFINE_string(deployment, "tuul", "tuul or gebze");
DEFINE_string(scenario, "steady", "steady, join, drain, weight, stop, rolling, crash, liar, store_outage or partition");
DEFINE_string(balancer, "node", "node, hash_modulo, consistent_hash, local_flow_table or least_loaded");
DEFINE_uint64(flows, 200'000, "flows to open in all");
DEFINE_double(open_rate, 4'000, "flows opened a second, all services together");
DEFINE_double(request_interval, 8, "mean seconds between the requests of a flow");
DEFINE_uint64(seed, 1, "seed of every random choice");

namespace {

using namespace fakes;
using namespace std::chrono_literals;

constexpr double bytes_per_window_second = 10.0; // seconds of the window of largest_control_window

void row(const std::string& name, double value, const std::string& unit) {
    std::cout << name << ": " << std::setprecision(6) << value << ' ' << unit << '\n';
}

struct imbalance {
    double largest_over_mean = 0;
    double variation = 0; // coefficient of variation
};

imbalance imbalance_of(const std::vector<double>& loads) {
    if (loads.empty()) return {};
    const double count = static_cast<double>(loads.size());
    const double mean = std::accumulate(loads.begin(), loads.end(), 0.0) / count;
    if (mean <= 0) return {};
    double squares = 0;
    for (const double load : loads)
        squares += (load - mean) * (load - mean);
    return {*std::max_element(loads.begin(), loads.end()) / mean, std::sqrt(squares / count) / mean};
}

class scenario_run {
public:
    scenario_run() : plan_(FLAGS_deployment == "gebze" ? gebze() : tuul()), target_(settings_for(plan_, FLAGS_seed)) {
        for (const auto kind :
             {baseline::hash_modulo, baseline::consistent_hash, baseline::local_flow_table, baseline::least_loaded}) {
            if (FLAGS_balancer == to_string(kind)) target_.set_factory(baseline_factory(kind));
        }
        build(target_, plan_);
    }

    void run() {
        open_callers();
        const double opening = static_cast<double>(FLAGS_flows) / FLAGS_open_rate;
        const auto   third = std::chrono::duration_cast<duration>(std::chrono::duration<double>(opening / 3));
        target_.run(third);
        disturb();
        target_.run(third);
        target_.reset_load_samples();
        target_.run(third + 10s);
        measure_loads();
        target_.finish_flows();
        target_.run(30s);
    }

    void report() const {
        const auto totals = target_.totals();
        row("flows_opened", static_cast<double>(totals.opened), "flows");
        row("flows_established", static_cast<double>(totals.established), "flows");
        row("flows_refused", static_cast<double>(totals.refused), "flows");
        row("flows_refused_delivered", static_cast<double>(totals.refused_delivered), "flows");
        row("flows_timed_out", static_cast<double>(totals.timed_out), "flows");
        row("broken_reset", static_cast<double>(totals.reset), "flows");
        row("broken_silent", static_cast<double>(totals.silent), "flows");
        row("broken", static_cast<double>(totals.broken()), "flows");
        row("moved", static_cast<double>(totals.moved), "flows");
        row("doubled", static_cast<double>(totals.doubled), "flows");
        row("wrong_service", static_cast<double>(totals.wrong_service), "packets");
        row("accepted_after_drain_3s", static_cast<double>(target_.accepted_after_drain(3s)), "flows");
        row("requests_answered", static_cast<double>(totals.answered), "requests");
        row("imbalance_flows_largest_over_mean", flows_.largest_over_mean, "ratio");
        row("imbalance_flows_variation", flows_.variation, "ratio");
        row("imbalance_slots_largest_over_mean", slots_.largest_over_mean, "ratio");
        row("imbalance_slots_variation", slots_.variation, "ratio");
        row("relays_per_packet",
            static_cast<double>(target_.packets_relayed()) / static_cast<double>(target_.packets_from_callers()),
            "relays");
        row("control_bytes_per_second_max",
            static_cast<double>(target_.largest_control_window()) / bytes_per_window_second, "B/s");
        const auto convergence = target_.convergence();
        row("revision_in_force_everywhere",
            convergence ? std::chrono::duration<double>(*convergence).count() : std::numeric_limits<double>::infinity(),
            "s");
        row("store_calls", static_cast<double>(target_.store_calls()), "calls");
        row("invariant_violations", static_cast<double>(tamarack::total_violations()), "violations");
    }

private:
    void open_callers() {
        const auto services = plan_.services.size();
        const auto interval =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(FLAGS_request_interval));
        // In proportion to the backend servers, so that each has about the same number of flows.
        std::size_t servers = 0;
        for (const auto& item : plan_.services)
            servers += item.backend_servers;
        for (std::size_t i = 0; i < services; ++i) {
            const auto&  item = plan_.services[i];
            const double share = static_cast<double>(item.backend_servers) / static_cast<double>(servers);
            target_.add_callers({item.name, item.address,
                                 static_cast<std::uint64_t>(std::llround(share * static_cast<double>(FLAGS_flows))),
                                 share * FLAGS_open_rate, interval, 0.3, 3});
        }
    }

    const std::string& first_service() const { return plan_.services.front().name; }

    void change(std::size_t host, const tamarack::change& what) {
        const auto result = target_.change_now(host, what);
        LOG_IF(ERROR, result.status != tamarack::change_status::accepted) << to_string(result.status);
    }

    void disturb() {
        if (FLAGS_scenario == "join") return join();
        if (FLAGS_scenario == "drain") return drain();
        if (FLAGS_scenario == "weight") return weigh();
        if (FLAGS_scenario == "stop") return target_.stop(1);
        if (FLAGS_scenario == "rolling") return replace_all();
        if (FLAGS_scenario == "crash") return target_.crash(2);
        if (FLAGS_scenario == "liar") return target_.set_reporting(first_service(), backend_name(0), reporting::zero);
        if (FLAGS_scenario == "store_outage") return outage();
        if (FLAGS_scenario == "partition") return partition();
        CHECK(FLAGS_scenario == "steady") << "unknown scenario " << FLAGS_scenario;
    }

    void join() {
        for (const std::string name : {"joined-1", "joined-2"}) {
            target_.add_backend(first_service(), name, failure_domain_name(0), plan_.slots,
                                plan_.services.front().service_time);
            change(3, target_.join_command(first_service(), name));
            target_.run(500ms);
        }
    }

    void drain() {
        change(4, tamarack::drain_backend{first_service(), backend_name(0)});
        target_.run(500ms);
        change(5, tamarack::drain_backend{first_service(), backend_name(1)});
    }

    void weigh() {
        for (const std::uint32_t weight : {10U, 40U, 70U, 100U}) {
            change(6, tamarack::weigh_backend{first_service(), backend_name(2), weight});
            target_.run(1s);
        }
    }

    void replace_all() {
        for (std::size_t i = 0; i < target_.hosts(); ++i) {
            target_.stop(i);
            for (int waited = 0; target_.running(i) && waited < 400; ++waited)
                target_.run(500ms);
            target_.run(2s);
            target_.start(i);
            target_.run(4s);
        }
    }

    void outage() {
        target_.set_store_outage(true);
        target_.run(10s);
        target_.set_store_outage(false);
    }

    void partition() {
        target_.cut({failure_domain_name(plan_.failure_domains - 1)});
        target_.run(10s);
        target_.heal();
    }

    void measure_loads() {
        std::vector<double> flows;
        std::vector<double> slots;
        for (const auto& load : target_.loads()) {
            if (load.service != first_service()) continue;
            if (FLAGS_scenario == "liar" && load.name == backend_name(0)) continue;
            if (FLAGS_scenario == "drain" && (load.name == backend_name(0) || load.name == backend_name(1))) continue;
            flows.push_back(static_cast<double>(load.open));
            slots.push_back(load.mean_busy);
        }
        flows_ = imbalance_of(flows);
        slots_ = imbalance_of(slots);
    }

    deployment plan_;
    cluster    target_;
    imbalance  flows_;
    imbalance  slots_;
};

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    google::InitGoogleLogging(argv[0]);
    std::cout << "scenario " << FLAGS_scenario << ", deployment " << FLAGS_deployment << ", balancer " << FLAGS_balancer
              << ", seed " << FLAGS_seed << '\n';
    const std::clock_t before = std::clock();
    scenario_run       run;
    run.run();
    run.report();
    row("processor_time", static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC, "s");
    return 0;
}
