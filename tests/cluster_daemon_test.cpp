// A complete balancer process on loopback addresses with the platform's stand-in. Guards against components that are
// connected wrongly, so that packets, changes, new settings or a stop request do not reach the node.
#define BOOST_TEST_MODULE cluster_daemon
#include "standins/inner_packet.h"
#include "standins/platform_service.h"
#include "tamarack/admin_client.h"
#include "tamarack/balancer_process.h"
#include "tamarack/udp_socket.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <glog/logging.h>
#include <poll.h>
#include <thread>

using namespace tamarack;
namespace fs = std::filesystem;

namespace {

const endpoint any_loopback_port{ip_address::v4(0x7f000001), 0};

// A loopback address that no other process and no other balancer of this process uses, so that no port is in use.
std::string unused_loopback_address() {
    static int     address_count = 0;
    constexpr int  first_network = 64; // lowest second byte; lower values are left to other uses
    const unsigned process_id = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(first_network + address_count++) + "." + std::to_string((process_id >> 8U) & 0xffU) +
           "." + std::to_string(process_id & 0xffU);
}

// A temporary directory with a settings file and a signing key.
struct settings_directory {
    fs::path path;

    settings_directory() {
        std::string name = (fs::temp_directory_path() / "daemon_test_XXXXXX").string();
        BOOST_REQUIRE(::mkdtemp(name.data()) != nullptr);
        path = name;
        std::ofstream(path / "key") << std::string(64, '7');
        fs::permissions(path / "key", fs::perms::owner_read);
    }
    ~settings_directory() { fs::remove_all(path); }
    settings_directory(const settings_directory&) = delete;
    settings_directory& operator=(const settings_directory&) = delete;

    std::string file() const { return (path / "d.ini").string(); }
};

// A balancer without peers that runs on its own thread.
class running_balancer {
public:
    explicit running_balancer(int platform_port)
        : base_settings_("[balancer]\nmember_id = 1\nfailure_domain = north\nrelay_address = " + address_ +
                         ":6081\ncontrol_address = " + address_ + ":6082\nfabric_address = " + fabric_ +
                         "\nadmin_address = " + admin_ +
                         "\nstop_grace_seconds = 1\n[cluster]\nhash_seed = 1\n[platform]\naddresses = 127.0.0.1:" +
                         std::to_string(platform_port) + "\n[keys]\nsigning_file = key\n") {
        write_settings("");
        auto opened_process = balancer_process::open(settings(), directory_.file());
        BOOST_REQUIRE_MESSAGE(opened_process.has_value(), (opened_process.has_error() ? opened_process.error() : ""));
        process_ = std::move(opened_process).value();
        thread_ = std::thread([this] { process_->run(); });
    }
    ~running_balancer() {
        if (!thread_.joinable()) return;
        client().stop_balancer({});
        thread_.join();
    }
    running_balancer(const running_balancer&) = delete;
    running_balancer& operator=(const running_balancer&) = delete;

    void write_settings(const std::string& additional_settings) const {
        std::ofstream(directory_.file()) << base_settings_ << additional_settings;
    }

    daemon_settings settings() const { return read_settings_file(directory_.file()).value(); }
    endpoint        fabric() const { return *endpoint::parse(fabric_); }

    admin_client client() const { return admin_client({{admin_}, "", "", "", "anna", std::chrono::seconds(60)}); }

    command_outcome run(const std::string& command_line, const std::string& operation_id = "") const {
        command_options options;
        options.operation_id = operation_id;
        return client().run(parse_command(command_line).value(), options);
    }
    void wait_for_end() { thread_.join(); }

private:
    settings_directory                directory_;
    std::string                       address_ = unused_loopback_address();
    std::string                       fabric_ = address_ + ":6080";
    std::string                       admin_ = address_ + ":6083";
    std::string                       base_settings_;
    std::unique_ptr<balancer_process> process_;
    std::thread                       thread_;
};

// Records the messages that are logged.
class event_recorder : google::LogSink {
public:
    event_recorder() { google::AddLogSink(this); }
    ~event_recorder() override { google::RemoveLogSink(this); }
    event_recorder(const event_recorder&) = delete;
    event_recorder& operator=(const event_recorder&) = delete;

    void wait_for(const std::string& expected_text) {
        while (true) {
            const std::scoped_lock lock(mutex_);
            if (std::ranges::any_of(
                    messages_, [&](const auto& logged) { return logged.find(expected_text) != std::string::npos; }))
                return;
        }
    }

private:
    void send(google::LogSeverity /*level*/, const char* /*path*/, const char* /*file*/, int /*line*/,
              const google::LogMessageTime& /*time*/, const char* message, std::size_t size) override {
        const std::scoped_lock lock(mutex_);
        messages_.emplace_back(message, size);
    }

    std::mutex               mutex_;
    std::vector<std::string> messages_;
};

} // namespace

BOOST_AUTO_TEST_CASE(packet_reaches_the_backend_server_of_a_committed_service) {
    tamarack::standin::platform_server platform(any_loopback_port);
    const running_balancer             balancer(platform.port());
    const udp_socket                   tunnel = udp_socket::open(any_loopback_port).value();
    const udp_socket                   fabric = udp_socket::open(any_loopback_port).value();
    BOOST_TEST((balancer.run("create service board tcp 10.9.0.1:443").code == exit_code::success));
    BOOST_TEST((balancer.run("join board b1 tunnel " + tunnel.address().to_string()).code == exit_code::success));

    const flow_tuple flow{transport::tcp, *endpoint::parse("10.1.0.1:5000"), *endpoint::parse("10.9.0.1:443")};
    const auto       syn = ::standin::make_gue_segment(flow, {::standin::syn_flag, 1, 0, ""});
    receive_batch    batch;
    do { // repeat the packet as callers do, since a balancer drops packets shortly after its start
        const outgoing_datagram datagram{balancer.fabric(), syn};
        BOOST_REQUIRE(fabric.send({&datagram, 1}) == 0U);
        pollfd poll_entry{tunnel.handle(), POLLIN, 0};
        ::poll(&poll_entry, 1, 100);
    } while (tunnel.receive(batch).datagrams == 0);
    BOOST_TEST(std::ranges::equal(batch.items()[0].bytes, syn));
    BOOST_TEST((batch.items()[0].source == balancer.fabric()));
    BOOST_TEST(balancer.run("show flows").output.find("board    b1                  1") != std::string::npos);
    BOOST_TEST(balancer.run("explain 10.1.0.1:5000 -> 10.9.0.1:443").output.find("backend server: b1") !=
               std::string::npos);
    BOOST_TEST(balancer.run("show counters").output.find("tamarack_packets_delivered") != std::string::npos);
}

// A client that received no response repeats its change, possibly before the first attempt has ended.
BOOST_AUTO_TEST_CASE(repeated_change_is_committed_once) {
    tamarack::standin::platform_server platform(any_loopback_port);
    const running_balancer             balancer(platform.port());
    std::array<command_outcome, 4>     outcomes;
    {
        std::vector<std::jthread> callers(outcomes.size());
        for (std::size_t i = 0; i < outcomes.size(); ++i) {
            callers[i] =
                std::jthread([&, i] { outcomes[i] = balancer.run("create service s udp 10.9.0.1:53", "op-1"); });
        }
    }
    for (const command_outcome& outcome : outcomes)
        BOOST_TEST(outcome.output == "accepted as revision 1\n", outcome.error);
    BOOST_TEST(balancer.run("show history").output.find("revision 2") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(sighup_reloads_the_settings) {
    tamarack::standin::platform_server platform(any_loopback_port);
    const running_balancer             balancer(platform.port());
    BOOST_TEST((balancer.run("show services").code == exit_code::success)); // the event loop runs and handles signals
    event_recorder log;
    balancer.write_settings("[limits]\nmax_flows = x\n");
    BOOST_REQUIRE(::kill(::getpid(), SIGHUP) == 0);
    log.wait_for("T2004 settings kept problems=1");
    balancer.write_settings("[limits]\nmax_flows = 5000\nudp_idle_timeout_seconds = 60\n");
    BOOST_REQUIRE(::kill(::getpid(), SIGHUP) == 0);
    log.wait_for("T2002 settings reread in_force=\"[limits] udp_idle_timeout_seconds\"");
    log.wait_for("T2003 setting needs a restart key=\"[limits] max_flows\"");
    BOOST_TEST(balancer.run("show flows").output.find("held 0 of 1000000 ") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(sigterm_stops_gracefully) {
    tamarack::standin::platform_server platform(any_loopback_port);
    running_balancer                   balancer(platform.port());
    BOOST_TEST((balancer.run("show services").code == exit_code::success));
    event_recorder log;
    BOOST_REQUIRE(::kill(::getpid(), SIGTERM) == 0);
    balancer.wait_for_end();
    log.wait_for("T1003 stop requested by=SIGTERM");
    log.wait_for("T1004 stopped unreplicated=0");
}

BOOST_AUTO_TEST_CASE(address_in_use_is_reported) {
    tamarack::standin::platform_server platform(any_loopback_port);
    const running_balancer             balancer(platform.port());
    daemon_settings                    second_settings = balancer.settings();
    second_settings.node.self.control.port = 6084;
    const auto opened_process = balancer_process::open(second_settings, "");
    BOOST_REQUIRE(opened_process.has_error());
    BOOST_TEST(opened_process.error() == "bind " + balancer.fabric().to_string() + ": Address already in use");
}
