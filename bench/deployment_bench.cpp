// Runs one scenario of a deployment in the simulated cluster and prints one "name: value unit" row per figure.
// scripts/bench runs every scenario with the node and with the baselines.
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

constexpr double control_window_seconds = 10.0; // window of max_control_bytes_in_window

void print_row(const std::string& name, double value, const std::string& unit) {
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
    double squared_deviations = 0;
    for (const double load : loads)
        squared_deviations += (load - mean) * (load - mean);
    return {*std::max_element(loads.begin(), loads.end()) / mean, std::sqrt(squared_deviations / count) / mean};
}

class scenario_run {
public:
    scenario_run()
        : deployment_(FLAGS_deployment == "gebze" ? gebze() : tuul()), cluster_(settings_for(deployment_, FLAGS_seed)) {
        for (const auto kind :
             {baseline::hash_modulo, baseline::consistent_hash, baseline::local_flow_table, baseline::least_loaded}) {
            if (FLAGS_balancer == to_string(kind)) cluster_.set_balancer_factory(baseline_factory(kind));
        }
        build_deployment(cluster_, deployment_);
    }

    void run() {
        add_callers();
        const double opening_seconds = static_cast<double>(FLAGS_flows) / FLAGS_open_rate;
        const auto   third_of_opening =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(opening_seconds / 3));
        cluster_.run(third_of_opening);
        apply_scenario();
        cluster_.run(third_of_opening);
        cluster_.reset_load_samples();
        cluster_.run(third_of_opening + 10s);
        measure_loads();
        cluster_.close_flows();
        cluster_.run(30s);
    }

    void print_report() const {
        const auto totals = cluster_.totals();
        print_row("flows_opened", static_cast<double>(totals.opened), "flows");
        print_row("flows_established", static_cast<double>(totals.established), "flows");
        print_row("flows_refused", static_cast<double>(totals.refused), "flows");
        print_row("flows_refused_delivered", static_cast<double>(totals.refused_after_delivery), "flows");
        print_row("flows_timed_out", static_cast<double>(totals.timed_out), "flows");
        print_row("broken_reset", static_cast<double>(totals.reset), "flows");
        print_row("broken_silent", static_cast<double>(totals.unanswered), "flows");
        print_row("broken", static_cast<double>(totals.broken()), "flows");
        print_row("moved", static_cast<double>(totals.backend_changes), "flows");
        print_row("doubled", static_cast<double>(totals.delivered_to_two_backends), "flows");
        print_row("wrong_service", static_cast<double>(totals.wrong_service_packets), "packets");
        print_row("accepted_after_drain_3s", static_cast<double>(cluster_.flows_accepted_after_drain(3s)), "flows");
        print_row("requests_answered", static_cast<double>(totals.answered_requests), "requests");
        print_row("imbalance_flows_largest_over_mean", flow_imbalance_.largest_over_mean, "ratio");
        print_row("imbalance_flows_variation", flow_imbalance_.variation, "ratio");
        print_row("imbalance_slots_largest_over_mean", slot_imbalance_.largest_over_mean, "ratio");
        print_row("imbalance_slots_variation", slot_imbalance_.variation, "ratio");
        print_row("relays_per_packet",
                  static_cast<double>(cluster_.relayed_packet_count()) /
                      static_cast<double>(cluster_.caller_packet_count()),
                  "relays");
        print_row("control_bytes_per_second_max",
                  static_cast<double>(cluster_.max_control_bytes_in_window()) / control_window_seconds, "B/s");
        const auto convergence = cluster_.convergence_time();
        print_row("revision_in_force_everywhere",
                  convergence ? std::chrono::duration<double>(*convergence).count()
                              : std::numeric_limits<double>::infinity(),
                  "s");
        print_row("store_calls", static_cast<double>(cluster_.store_call_count()), "calls");
        print_row("invariant_violations", static_cast<double>(tamarack::total_violations()), "violations");
    }

private:
    void add_callers() {
        const auto services = deployment_.services.size();
        const auto interval =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(FLAGS_request_interval));
        // Services get flows in proportion to their backend servers, so that each backend server has about as many.
        std::size_t backend_server_count = 0;
        for (const auto& item : deployment_.services)
            backend_server_count += item.backend_server_count;
        for (std::size_t i = 0; i < services; ++i) {
            const auto&  item = deployment_.services[i];
            const double share =
                static_cast<double>(item.backend_server_count) / static_cast<double>(backend_server_count);
            cluster_.add_callers({item.name, item.address,
                                  static_cast<std::uint64_t>(std::llround(share * static_cast<double>(FLAGS_flows))),
                                  share * FLAGS_open_rate, interval, 0.3, 3});
        }
    }

    const std::string& first_service() const { return deployment_.services.front().name; }

    void submit_change(std::size_t host, const tamarack::change& command) {
        const auto result = cluster_.submit_and_wait(host, command);
        LOG_IF(ERROR, result.status != tamarack::change_status::accepted) << to_string(result.status);
    }

    void apply_scenario() {
        if (FLAGS_scenario == "join") return join_backend_servers();
        if (FLAGS_scenario == "drain") return drain_backend_servers();
        if (FLAGS_scenario == "weight") return change_weight();
        if (FLAGS_scenario == "stop") return cluster_.stop(1);
        if (FLAGS_scenario == "rolling") return replace_all_balancers();
        if (FLAGS_scenario == "crash") return cluster_.crash(2);
        if (FLAGS_scenario == "liar")
            return cluster_.set_load_report_mode(first_service(), backend_name(0), load_report_mode::zero);
        if (FLAGS_scenario == "store_outage") return interrupt_store();
        if (FLAGS_scenario == "partition") return isolate_failure_domain();
        CHECK(FLAGS_scenario == "steady") << "unknown scenario " << FLAGS_scenario;
    }

    void join_backend_servers() {
        for (const std::string name : {"joined-1", "joined-2"}) {
            cluster_.add_backend(first_service(), name, failure_domain_name(0), deployment_.slots_per_backend_server,
                                 deployment_.services.front().service_time);
            submit_change(3, cluster_.join_command(first_service(), name));
            cluster_.run(500ms);
        }
    }

    void drain_backend_servers() {
        submit_change(4, tamarack::drain_backend{first_service(), backend_name(0)});
        cluster_.run(500ms);
        submit_change(5, tamarack::drain_backend{first_service(), backend_name(1)});
    }

    void change_weight() {
        for (const std::uint32_t weight : {10U, 40U, 70U, 100U}) {
            submit_change(6, tamarack::weigh_backend{first_service(), backend_name(2), weight});
            cluster_.run(1s);
        }
    }

    void replace_all_balancers() {
        for (std::size_t i = 0; i < cluster_.host_count(); ++i) {
            cluster_.stop(i);
            for (int wait_steps = 0; cluster_.is_running(i) && wait_steps < 400; ++wait_steps)
                cluster_.run(500ms);
            cluster_.run(2s);
            cluster_.start(i);
            cluster_.run(4s);
        }
    }

    void interrupt_store() {
        cluster_.set_store_outage(true);
        cluster_.run(10s);
        cluster_.set_store_outage(false);
    }

    void isolate_failure_domain() {
        cluster_.isolate_domains({failure_domain_name(deployment_.failure_domain_count - 1)});
        cluster_.run(10s);
        cluster_.end_isolation();
    }

    void measure_loads() {
        std::vector<double> flows;
        std::vector<double> slots;
        for (const auto& load : cluster_.backend_loads()) {
            if (load.service != first_service()) continue;
            if (FLAGS_scenario == "liar" && load.name == backend_name(0)) continue;
            if (FLAGS_scenario == "drain" && (load.name == backend_name(0) || load.name == backend_name(1))) continue;
            flows.push_back(static_cast<double>(load.open_flows));
            slots.push_back(load.mean_pending_requests);
        }
        flow_imbalance_ = imbalance_of(flows);
        slot_imbalance_ = imbalance_of(slots);
    }

    deployment deployment_;
    cluster    cluster_;
    imbalance  flow_imbalance_;
    imbalance  slot_imbalance_;
};

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    google::InitGoogleLogging(argv[0]);
    std::cout << "scenario " << FLAGS_scenario << ", deployment " << FLAGS_deployment << ", balancer " << FLAGS_balancer
              << ", seed " << FLAGS_seed << '\n';
    const std::clock_t start = std::clock();
    scenario_run       run;
    run.run();
    run.print_report();
    print_row("processor_time", static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC, "s");
    return 0;
}
