// entry-soak: randomized runs of real balancers under faults from outside. A failure prints the seed that repeats it.
#include "soak/world.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <gflags/gflags.h>
#include <iostream>
#include <sodium.h>
#include <unistd.h>

DEFINE_string(program, "build/tamarack-entry", "the program under test");
DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint64(seeds, 1, "number of runs, one after the other");
DEFINE_uint32(balancers, 6, "processes of a run");
DEFINE_uint32(backends, 8, "backend servers of a run");
DEFINE_uint32(fault_seconds, 6, "how long faults are injected");
DEFINE_bool(packet_faults, true, "lose and double callers' packets, too; changes what a seed does");

namespace {

// Second byte of the loopback addresses; runs of neighbouring seeds may go side by side.
unsigned network_of(std::uint64_t seed) {
    constexpr unsigned first = 100;
    constexpr unsigned count = 150;
    return first + static_cast<unsigned>(seed % count);
}

bool run_seed(std::uint64_t seed) {
    std::string folder = (std::filesystem::temp_directory_path() / "entry_soak_XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr) {
        std::cerr << "cannot make a folder for the logs\n";
        return false;
    }
    const soak::run_report report = soak::run({.program = FLAGS_program,
                                               .folder = folder,
                                               .seed = seed,
                                               .balancers = FLAGS_balancers,
                                               .backends = FLAGS_backends,
                                               .network = network_of(seed),
                                               .faults_for = std::chrono::seconds(FLAGS_fault_seconds),
                                               .packet_faults = FLAGS_packet_faults});
    std::cout << "seed " << seed << ": " << report.flows << " flows, " << report.answered << " requests answered, "
              << report.failed << " flows failed, " << report.faults << " faults, " << report.store_calls
              << " calls on the store, " << report.violations.size() << " violations" << std::endl;
    for (const std::string& violation : report.violations)
        std::cout << "  " << violation << "\n";
    if (report.violations.empty()) {
        std::filesystem::remove_all(folder);
        return true;
    }
    std::cout << "  logs in " << folder << "; again: entry-soak --seed=" << seed << " --balancers=" << FLAGS_balancers
              << " --backends=" << FLAGS_backends << " --fault_seconds=" << FLAGS_fault_seconds
              << (FLAGS_packet_faults ? "" : " --nopacket_faults") << std::endl;
    return false;
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("Randomized runs of tamarack-entry under faults.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (::sodium_init() < 0) return 2;
    (void)std::signal(SIGPIPE, SIG_IGN);
    bool passed = true;
    for (std::uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds; ++seed)
        passed = run_seed(seed) && passed;
    return passed ? 0 : 1;
}
