// entry-soak: runs tamarack-entry processes under random faults that are injected from outside. A failed run prints the
// command that repeats it.
#include "soak/soak_run.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <gflags/gflags.h>
#include <iostream>
#include <sodium.h>
#include <unistd.h>

DEFINE_string(program, "build/tamarack-entry", "path of the program under test");
DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint64(seeds, 1, "number of consecutive seeds to run");
DEFINE_uint32(balancers, 6, "balancer processes per run");
DEFINE_uint32(backends, 8, "backend servers per run");
DEFINE_uint32(fault_seconds, 6, "seconds during which faults are injected");
DEFINE_bool(packet_faults, true, "also lose and duplicate packets of callers; changes which run a seed gives");
DEFINE_bool(restores, true, "also restore the store from copies some seconds old; changes which run a seed gives");
DEFINE_bool(start_faults, true, "also start processes under bad conditions; changes which run a seed gives");
DEFINE_bool(
    load_faults, true,
    "also evacuate failure domains, limit warm-ups, slow down, stop and overload backend servers; changes which "
    "run a seed gives");

namespace {

// Second byte of the loopback addresses. Neighbouring seeds get different values, so that their runs can be concurrent.
unsigned network_of(std::uint64_t seed) {
    constexpr unsigned first_network = 100;
    constexpr unsigned network_count = 150;
    return first_network + static_cast<unsigned>(seed % network_count);
}

void print_load(const soak::run_report& report) {
    std::cout << "  " << report.evacuations << " evacuations, " << report.warmup_flows
              << " flows at warming backend servers (at most " << report.busiest_warmup_second
              << " in a second at one)\n";
    for (std::size_t priority = 1; priority < report.refused_syns.size(); ++priority) {
        std::cout << "  priority " << priority << ": " << report.refused_syns.at(priority)
                  << " SYNs refused by balancers, " << report.overflowed_syns.at(priority) << " by backend servers\n";
    }
}

bool run_seed(std::uint64_t seed) {
    std::string folder = (std::filesystem::temp_directory_path() / "entry_soak_XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr) {
        std::cerr << "cannot create a folder for the logs in the temporary directory\n";
        return false;
    }
    const soak::run_report report = soak::run({.program = FLAGS_program,
                                               .folder = folder,
                                               .seed = seed,
                                               .balancer_count = FLAGS_balancers,
                                               .backend_count = FLAGS_backends,
                                               .network = network_of(seed),
                                               .fault_duration = std::chrono::seconds(FLAGS_fault_seconds),
                                               .has_packet_faults = FLAGS_packet_faults,
                                               .has_restores = FLAGS_restores,
                                               .has_start_faults = FLAGS_start_faults,
                                               .has_load_faults = FLAGS_load_faults});
    std::cout << "seed " << seed << ": " << report.opened_flows << " flows, " << report.answered_requests
              << " requests answered, " << report.failed_flows << " flows failed, " << report.injected_faults
              << " faults, " << report.store_calls << " store calls, " << report.violations.size() << " violations"
              << std::endl;
    if (FLAGS_load_faults) print_load(report);
    for (const std::string& violation : report.violations)
        std::cout << "  " << violation << "\n";
    if (report.violations.empty()) {
        std::filesystem::remove_all(folder);
        return true;
    }
    std::cout << "  logs in " << folder << "; to repeat: entry-soak --seed=" << seed
              << " --balancers=" << FLAGS_balancers << " --backends=" << FLAGS_backends
              << " --fault_seconds=" << FLAGS_fault_seconds << (FLAGS_packet_faults ? "" : " --nopacket_faults")
              << (FLAGS_restores ? "" : " --norestores") << (FLAGS_start_faults ? "" : " --nostart_faults")
              << (FLAGS_load_faults ? "" : " --noload_faults") << std::endl;
    return false;
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("Randomized runs of tamarack-entry under faults.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (::sodium_init() < 0) return 2;
    (void)std::signal(SIGPIPE, SIG_IGN);
    bool all_passed = true;
    for (std::uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds; ++seed)
        all_passed = run_seed(seed) && all_passed;
    return all_passed ? 0 : 1;
}
