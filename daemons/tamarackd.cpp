// tamarackd: one balancer. Joins the settings, the sockets and threads, and the node.
//
// Threads: the main thread is the control thread; each traffic thread has its sockets and its part of the flow table;
// gRPC has threads of its own, which only pass calls on.
#include "tamarack/clock.h"
#include "tamarack/control_loop.h"
#include "tamarack/events.h"
#include "tamarack/node_packet_handler.h"
#include "tamarack/platform_grpc.h"
#include "tamarack/prober_grpc.h"

#include <atomic>
#include <cstdlib>
#include <fstream>
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <google/protobuf/stubs/logging.h>
#include <grpc/support/log.h>
#include <iostream>
#include <random>
#include <sodium.h>
#include <sstream>
#include <thread>

DEFINE_string(config, "/etc/tamarackshore/tamarackd.ini", "settings file, see docs/settings.md");
DEFINE_bool(check, false, "check the settings file, report all problems, and exit");
DEFINE_string(reference, "", "print the reference of 'settings' or 'events', and exit");
DECLARE_bool(help);

namespace {

using namespace tamarack;

constexpr const char* usage =
    "Layer-4 load balancer.\n\n"
    "SIGTERM or SIGINT stops gracefully, a second one at once. SIGHUP reads the settings file "
    "again.\nExit codes: 0 stopped or checked, 1 problems of the command line or the settings, "
    "2 could not start.\n";

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

int check_settings(const result<daemon_settings, findings>& read) {
    if (read) {
        std::cout << FLAGS_config << ": no problems\n";
        return exit_ok;
    }
    for (const finding& problem : read.error())
        std::cerr << problem.to_string() << "\n";
    return exit_settings;
}

// Messages of the gRPC library become events; at most one a second, since any client can cause them.
void log_grpc_message(gpr_log_func_args* message) {
    static std::atomic<std::int64_t> last_second = 0;
    const auto                       now = std::chrono::steady_clock::now().time_since_epoch();
    const std::int64_t               second = std::chrono::duration_cast<std::chrono::seconds>(now).count();
    if (last_second.exchange(second) == second) return;
    log_event(event::grpc_message, {{"message", message->message}}, message->file, message->line);
}

std::string read_file(const std::string& name) {
    if (name.empty()) return "";
    std::ifstream      file(name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void log_start(const daemon_settings& settings) {
    log_event(event::starting, {{"version", TAMARACK_VERSION},
                                {"member_id", settings.node.self.id},
                                {"failure_domain", settings.node.self.failure_domain},
                                {"cluster", settings.node.cluster}});
    if (settings.platform.empty()) log_event(event::no_platform, {});
}

void log_listening(std::string_view port, const endpoint& address) {
    log_event(event::listening, {{"port", port}, {"address", address.to_string()}});
}

// The daemon after its settings. Members are in the order of construction: what calls back into the loop is destroyed
// before it.
class balancer_process {
public:
    balancer_process(const daemon_settings& settings, udp_socket control)
        : settings_(settings), node_(settings.node, time_, std::random_device{}()),
          handler_(node_, settings.traffic_threads), loop_(node_, time_, std::move(control), settings, FLAGS_config) {}

    // The error is the reason why the daemon cannot start.
    std::optional<std::string> open_ports() {
        if (auto failed = open_traffic_ports()) return failed;
        const admin_server_settings admin{settings_.node.self.admin, read_file(settings_.admin_tls.certificate),
                                          read_file(settings_.admin_tls.key), read_file(settings_.admin_tls.authority)};
        auto                        started = admin_server::start(admin, loop_, loop_.queue());
        if (!started) return started.error();
        admin_ = std::move(started).value();
        log_listening("admin", admin_->address());
        return std::nullopt;
    }

    void run() {
        use_collaborators();
        for (const auto& traffic : traffic_)
            threads_.emplace_back([&traffic](const std::stop_token& stop) { run_traffic(*traffic, stop); });
        loop_.run();
        admin_->stop();
    }

private:
    // Sockets of several threads share a port; without the first check, so could another daemon by mistake.
    std::optional<std::string> open_traffic_ports() {
        for (const endpoint& port : {settings_.fabric, settings_.node.self.relay}) {
            const auto alone = udp_socket::open(port);
            if (!alone) return alone.error();
        }
        const udp_socket_settings shared{settings_.receive_buffer, true};
        for (std::size_t thread = 0; thread < settings_.traffic_threads; ++thread) {
            auto fabric = udp_socket::open(settings_.fabric, shared);
            if (!fabric) return fabric.error();
            auto relay = udp_socket::open(settings_.node.self.relay, shared);
            if (!relay) return relay.error();
            traffic_.push_back(std::make_unique<traffic_loop>(thread, std::move(fabric).value(),
                                                              std::move(relay).value(), handler_, time_));
        }
        log_listening("fabric", settings_.fabric);
        log_listening("relay", settings_.node.self.relay);
        return std::nullopt;
    }

    void use_collaborators() {
        control_loop::collaborators others;
        if (!settings_.platform.empty()) {
            platform_.emplace(platform_grpc_settings{settings_.platform, read_file(settings_.platform_authority),
                                                     settings_.node.store_deadline});
            others.store = [this](store_request request, control_loop::store_done done) {
                platform_->submit(std::move(request), std::move(done));
            };
        }
        others.probe = [this](const probe_request& request, control_loop::probe_done done) {
            prober_.start(request, std::move(done));
        };
        others.traffic_counters = [this] { return traffic_counters(); };
        others.traffic_distributions = [this] { return traffic_distributions(); };
        others.every_second = [this] { prober_.close_unused(time_.steady_now()); };
        loop_.use(std::move(others));
    }

    counter_map traffic_counters() const {
        counter_map all;
        for (const auto& traffic : traffic_) {
            for (const auto& [name, value] : traffic->counters())
                all[name] += value;
        }
        return all;
    }

    distribution_map traffic_distributions() const {
        distribution_map all;
        for (const auto& traffic : traffic_) {
            for (const auto& [name, values] : traffic->distributions())
                all[name].merge(values);
        }
        return all;
    }

    // A balancer without one of its threads would silently lose part of the traffic.
    static void run_traffic(traffic_loop& traffic, const std::stop_token& stop) {
        try {
            traffic.run(stop);
        } catch (const std::exception& error) {
            log_event(event::thread_failed, {{"reason", error.what()}});
            std::abort();
        }
    }

    daemon_settings                            settings_;
    system_clock                               time_;
    node                                       node_;
    node_packet_handler                        handler_;
    control_loop                               loop_;
    prober_grpc                                prober_;
    std::optional<platform_grpc>               platform_;
    std::unique_ptr<admin_server>              admin_;
    std::vector<std::unique_ptr<traffic_loop>> traffic_;
    std::vector<std::jthread>                  threads_; // last: they use all others
};

int fail(const std::string& reason) {
    log_event(event::start_failed, {{"reason", reason}});
    return exit_start;
}

int run_daemon(const daemon_settings& settings) {
    FLAGS_minloglevel = static_cast<int>(settings.level);
    ::gpr_set_log_function(log_grpc_message);
    google::protobuf::SetLogHandler(nullptr); // it logs each malformed text of a client
    if (::sodium_init() < 0) return fail("libsodium cannot be initialised");
    log_start(settings);
    auto control = udp_socket::open(settings.node.self.control);
    if (!control) return fail(control.error());
    log_listening("control", control.value().address());
    balancer_process balancer(settings, std::move(control).value());
    if (const auto failed = balancer.open_ports()) return fail(*failed);
    balancer.run();
    return exit_ok;
}

} // namespace

int main(int argc, char** argv) {
    FLAGS_logtostderr = true;
    gflags::SetVersionString(TAMARACK_VERSION);
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    if (FLAGS_help) {
        gflags::ShowUsageWithFlagsRestrict(argv[0], "tamarackd.cpp");
        return exit_ok;
    }
    gflags::HandleCommandLineHelpFlags();
    google::InitGoogleLogging(argv[0]);
    if (argc > 1) {
        std::cerr << "'" << argv[1] << "' is not accepted (expected flags only, see --help)\n";
        return exit_settings;
    }
    if (!FLAGS_reference.empty()) return print_reference();
    const auto read = read_settings_file(FLAGS_config);
    if (FLAGS_check) return check_settings(read);
    if (read) return run_daemon(read.value());
    for (const finding& problem : read.error())
        log_event(event::settings_problem, {{"problem", problem.to_string()}});
    return exit_settings;
}
