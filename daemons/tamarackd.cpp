// tamarackd: runs one balancer with the settings of a file.
#include "tamarack/clock.h"
#include "tamarack/events.h"
#include "tamarack/glog_output.h"
#include "tamarack/process_environment.h"
#include "tamarack/startup.h"

#include <atomic>
#include <cstdlib>
#include <fcntl.h>
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <google/protobuf/stubs/logging.h>
#include <grpc/support/log.h>
#include <iostream>
#include <sodium.h>

DEFINE_string(config, "/etc/tamarackshore/tamarackd.ini", "settings file, see docs/settings.md");
DEFINE_bool(check, false, "check the settings file, report all problems, and exit");
DEFINE_string(reference, "", "print the reference of 'settings' or 'events', and exit");
DECLARE_bool(help);

namespace {

using namespace tamarack;

constexpr const char* usage =
    "Layer-4 load balancer.\n\n"
    "SIGTERM or SIGINT stops gracefully, a second one at once. SIGHUP reads the settings file "
    "again. A start waits for usable settings and for the addresses in them; the log tells what is missing.\n"
    "Exit codes: 0 stopped or checked, 1 problems of the command line or of the checked settings, 2 could not start.\n";

enum exit_status : int { exit_ok = 0, exit_settings = 1, exit_start = 2 };

int print_reference() {
    if (FLAGS_reference == "settings") {
        std::cout << settings_reference();
        return exit_ok;
    }
    if (FLAGS_reference == "events") {
        std::cout << event_reference();
        return exit_ok;
    }
    std::cerr << "--reference=" << FLAGS_reference << " is not accepted (expected settings or events)\n";
    return exit_settings;
}

int check_settings(const result<daemon_settings, findings>& parsed_settings) {
    if (parsed_settings) {
        std::cout << FLAGS_config << ": no problems\n";
        return exit_ok;
    }
    for (const finding& problem : parsed_settings.error())
        std::cerr << problem.to_string() << "\n";
    return exit_settings;
}

// Logs messages of the gRPC library as events, at most one in each second, since any client can cause them.
void log_grpc_message(gpr_log_func_args* message) {
    static std::atomic<std::int64_t> last_logged_second = 0;
    const auto                       now = std::chrono::steady_clock::now().time_since_epoch();
    const std::int64_t               current_second = std::chrono::duration_cast<std::chrono::seconds>(now).count();
    if (last_logged_second.exchange(current_second) == current_second) return;
    log_event(event::grpc_message, {{"message", message->message}}, message->file, message->line);
}

// The log keeps its file if standard error is replaced.
int log_descriptor() {
    const int duplicate = ::fcntl(STDERR_FILENO, F_DUPFD_CLOEXEC, STDERR_FILENO + 1);
    return duplicate < 0 ? STDERR_FILENO : duplicate;
}

int fail(const std::string& reason) {
    log_event(event::start_failed, {{"reason", reason}});
    return exit_start;
}

int run_daemon(glog_output& output, const tamarack::clock& time) {
    ::gpr_set_log_function(log_grpc_message);
    google::protobuf::SetLogHandler(nullptr); // the default handler logs every malformed text that a client sends
    if (::sodium_init() < 0) return fail("libsodium cannot be initialised");
    const auto balancer = startup(FLAGS_config, time).open_balancer();
    if (!balancer) return exit_ok;
    balancer->run();
    output.drain();
    // Without destruction: Boost.Asio's signal set would first set the default actions, with which SIGHUP ends a
    // process.
    std::quick_exit(exit_ok);
}

} // namespace

int main(int argc, char** argv) {
    prepare_environment();
    const int log_file = log_descriptor();
    discard_unread_errors(); // of the command line and of libraries
    gflags::SetVersionString(TAMARACK_VERSION);
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    if (FLAGS_help) {
        gflags::ShowUsageWithFlagsRestrict(argv[0], "tamarackd.cpp");
        return exit_ok;
    }
    gflags::HandleCommandLineHelpFlags();
    const system_clock time;
    glog_output        output(log_file, time);
    google::InitGoogleLogging(argv[0]);
    if (argc > 1) {
        std::cerr << "'" << argv[1] << "' is not accepted (expected flags only, see --help)\n";
        return exit_settings;
    }
    if (!FLAGS_reference.empty()) return print_reference();
    return FLAGS_check ? check_settings(read_settings_file(FLAGS_config)) : run_daemon(output, time);
}
