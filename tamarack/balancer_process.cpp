// Construction and threads of a running balancer.
#include "tamarack/balancer_process.h"

#include "tamarack/clock.h"
#include "tamarack/control_loop.h"
#include "tamarack/events.h"
#include "tamarack/node_packet_handler.h"
#include "tamarack/platform_grpc.h"
#include "tamarack/prober_grpc.h"
#include "tamarack/process_environment.h"
#include "tamarack/waiting_report.h"

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <random>
#include <sstream>
#include <thread>

namespace tamarack {

namespace {

// Descriptors that a running balancer needs: 12 of its own, and as many again for the platform, probes and operators.
constexpr std::size_t shared_descriptors = 24;
constexpr std::size_t sockets_per_thread = 2;

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

} // namespace

// The order of the members matters: objects that call back into the loop are destroyed before it.
class balancer_process::impl {
public:
    impl(const daemon_settings& settings, const std::string& settings_file, udp_socket control)
        : settings_(settings), node_(settings.node, time_, std::random_device{}()),
          handler_(node_, settings.traffic_threads), loop_(node_, time_, std::move(control), settings, settings_file) {}

    // The sockets of several threads share a port. Each port is first opened exclusively, since otherwise another
    // daemon could share it by mistake. Returns an error text on failure.
    std::optional<std::string> open_traffic_ports() {
        for (const endpoint& port : {settings_.fabric, settings_.node.self.relay}) {
            const auto exclusive = udp_socket::open(port);
            if (!exclusive) return exclusive.error();
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
        return std::nullopt;
    }

    // Packets do not wait for this port: operators can ask any balancer. Called until the port is open.
    void open_admin_port() {
        auto started = start_admin_server();
        if (started) {
            admin_ = std::move(started).value();
            log_listening("admin", admin_->address());
        } else if (admin_report_.is_due(started.error(), time_.steady_now())) {
            log_event(event::socket_failed, {{"reason", started.error()}});
        }
    }

    void log_ports() const {
        log_listening("control", settings_.node.self.control);
        log_listening("fabric", settings_.fabric);
        log_listening("relay", settings_.node.self.relay);
    }

    void run() {
        set_collaborators();
        for (const auto& traffic : traffic_)
            threads_.emplace_back([&traffic](const std::stop_token& stop) { run_traffic(*traffic, stop); });
        loop_.run();
        if (admin_) admin_->stop();
    }

private:
    result<std::unique_ptr<admin_server>, std::string> start_admin_server() {
        const tls_files&            files = settings_.admin_tls;
        const admin_server_settings admin{settings_.node.self.admin, read_file(files.certificate), read_file(files.key),
                                          read_file(files.authority)};
        const bool is_complete = !admin.certificate.empty() && !admin.key.empty() && !admin.authority.empty();
        if (!files.empty() && !is_complete) return "a file of the certificate of the administration interface is empty";
        return admin_server::start(admin, loop_, loop_.queue());
    }

    void set_collaborators() {
        control_loop::collaborators collaborators;
        if (!settings_.platform.empty()) {
            platform_.emplace(platform_grpc_settings{settings_.platform, read_file(settings_.platform_authority),
                                                     settings_.node.store_deadline});
            collaborators.store = [this](store_request request, control_loop::store_done done) {
                platform_->submit(std::move(request), std::move(done));
            };
        }
        collaborators.probe = [this](const probe_request& request, control_loop::probe_done done) {
            prober_.start(request, std::move(done));
        };
        collaborators.traffic_counters = [this] { return traffic_counters(); };
        collaborators.traffic_distributions = [this] { return traffic_distributions(); };
        collaborators.every_second = [this] {
            prober_.close_unused(time_.steady_now());
            if (!admin_) open_admin_port();
        };
        loop_.set_collaborators(std::move(collaborators));
    }

    counter_map traffic_counters() const {
        counter_map totals;
        for (const auto& traffic : traffic_) {
            for (const auto& [name, value] : traffic->counters())
                totals[name] += value;
        }
        return totals;
    }

    distribution_map traffic_distributions() const {
        distribution_map totals;
        for (const auto& traffic : traffic_) {
            for (const auto& [name, values] : traffic->distributions())
                totals[name].merge(values);
        }
        return totals;
    }

    // Aborts the process on an exception: without one of its threads the balancer would silently lose part of the
    // traffic.
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
    std::unique_ptr<admin_server>              admin_; // null until its port is open
    waiting_report                             admin_report_;
    std::vector<std::unique_ptr<traffic_loop>> traffic_;
    std::vector<std::jthread>                  threads_; // last: the threads use the other members
};

balancer_process::balancer_process() = default;
balancer_process::~balancer_process() = default;

result<std::unique_ptr<balancer_process>, std::string> balancer_process::open(const daemon_settings& settings,
                                                                              const std::string&     settings_file) {
    const std::size_t needed = shared_descriptors + sockets_per_thread * settings.traffic_threads;
    if (!can_open_descriptors(needed)) // gRPC and Boost.Asio would end the process
        return "cannot open " + std::to_string(needed) + " descriptors: " + std::strerror(errno);
    // An empty authority would mean plain text.
    if (!settings.platform_authority.empty() && read_file(settings.platform_authority).empty())
        return settings.platform_authority + ", the authority of the platform, is empty";
    auto control = udp_socket::open(settings.node.self.control);
    if (!control) return control.error();
    std::unique_ptr<balancer_process> process(new balancer_process());
    process->impl_ = std::make_unique<impl>(settings, settings_file, std::move(control).value());
    if (auto failed = process->impl_->open_traffic_ports()) return *failed;
    log_start(settings); // not before, since a start that waits tries again and again
    process->impl_->log_ports();
    process->impl_->open_admin_port();
    return process;
}

void balancer_process::run() {
    impl_->run();
}

} // namespace tamarack
