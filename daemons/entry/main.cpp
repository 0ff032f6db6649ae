// tamarack-entry: runs one entry balancer with the settings of a file.
#include "daemons/entry/startup.h"
#include "tamarack/clock.h"
#include "tamarack/process_environment.h"

#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>
#include <sodium.h>

DEFINE_string(config, "",
              "settings file, see docs/entry-settings.md; default: the file named by $TAMARACKSHORE_CONFIG");
DEFINE_bool(check, false, "check the settings file, report all problems, and exit");
DEFINE_string(reference, "", "print the reference of 'settings', and exit");
DECLARE_bool(help);

namespace {

using namespace tamarack;

constexpr const char* usage =
    "Layer-4 entry balancer that steers flows by the reference in their packets.\n\n"
    "SIGTERM or SIGINT stops gracefully. SIGHUP reads the settings file again. A start waits for a usable settings\n"
    "file and for the addresses in it; the log tells what is missing.\n"
    "Exit codes: 0 stopped or checked, 1 problems of the command line or of the checked settings, 2 could not start.\n";

constexpr const char* settings_variable = "TAMARACKSHORE_CONFIG"; // path of the settings file

enum exit_status : int { exit_ok = 0, exit_settings = 1, exit_start = 2 };

std::string find_settings_file() {
    if (!FLAGS_config.empty()) return FLAGS_config;
    const char* variable_value = std::getenv(settings_variable);
    return variable_value == nullptr ? "" : variable_value;
}

// Prints the problems of the file.
int check(const std::string& file) {
    const auto loaded_settings = entry::read_settings_file(file);
    if (loaded_settings) return exit_ok;
    for (const finding& problem : loaded_settings.error())
        std::cerr << problem.to_string() << "\n";
    return exit_settings;
}

int run(const std::string& file) {
    if (::sodium_init() < 0) {
        std::cerr << "libsodium cannot be initialised\n";
        return exit_start;
    }
    const suspend_aware_clock time;
    entry::startup(file, time).run();
    return exit_ok;
}

} // namespace

int main(int argc, char** argv) {
    prepare_environment();
    discard_unread_errors(); // the log goes to standard output
    gflags::SetVersionString(TAMARACK_VERSION);
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    if (FLAGS_help) {
        gflags::ShowUsageWithFlagsRestrict(argv[0], "main.cpp");
        return exit_ok;
    }
    gflags::HandleCommandLineHelpFlags();
    if (argc > 1) {
        std::cerr << "'" << argv[1] << "' is not accepted (expected flags only, see --help)\n";
        return exit_settings;
    }
    if (FLAGS_reference == "settings") {
        std::cout << entry::settings_reference();
        return exit_ok;
    }
    const std::string file = find_settings_file();
    if (file.empty()) {
        std::cerr << "no settings file: set --config or " << settings_variable << "\n";
        return exit_settings;
    }
    return FLAGS_check ? check(file) : run(file);
}
