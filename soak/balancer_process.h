// One tamarack-entry as a process of its own, with the proxy between it and the store.
#pragma once

#include "soak/loopback_proxy.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/wait.h>
#include <unistd.h>

namespace soak {

using tamarack::endpoint;
using tamarack::steady_time;

struct balancer_settings {
    std::string program;
    std::string folder; // of settings and logs
    std::string name;
    std::string failure_domain;
    endpoint    packets;
    endpoint    readiness;
    endpoint    status; // for an operator who looks on
    endpoint    peers;
    endpoint    proxy; // to the store
    endpoint    store;
    std::string contacts;
};

class balancer_process {
public:
    balancer_process(boost::asio::io_context& context, balancer_settings settings)
        : settings_(std::move(settings)), to_store(context, settings_.proxy, settings_.store) {
        write_settings(3);
    }
    // Ends only the process that it started.
    ~balancer_process() { kill(SIGKILL, true); }
    balancer_process(const balancer_process&) = delete;
    balancer_process& operator=(const balancer_process&) = delete;

    const balancer_settings& settings() const { return settings_; }
    bool                     running() const { return pid_ > 0; }
    bool                     paused() const { return paused_; }
    bool                     stopping() const { return stopping_; }

    void start(steady_time now) {
        disturbed_at = now;
        started_at = now;
        stopping_ = false;
        pid_ = ::fork();
        if (pid_ != 0) return;
        const int log =
            ::open((settings_.folder + "/" + settings_.name + ".log").c_str(), O_CREAT | O_APPEND | O_WRONLY, 0600);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::close_range(STDERR_FILENO + 1, ~0U, 0); // the sockets of the soak
        const std::string file = "--config=" + settings_file();
        ::execl(settings_.program.c_str(), settings_.program.c_str(), file.c_str(), nullptr);
        ::_exit(127);
    }

    void kill(int signal, bool wait = false) {
        if (pid_ <= 0) return;
        ::kill(pid_, signal);
        stopping_ = stopping_ || signal == SIGTERM || signal == SIGKILL;
        paused_ = signal == SIGSTOP || (paused_ && signal != SIGCONT);
        if (wait) {
            ::waitpid(pid_, nullptr, 0);
            pid_ = 0;
        }
    }

    // The exit status once the process has ended.
    std::optional<int> collect() {
        int status = 0;
        if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
        pid_ = 0;
        paused_ = false;
        return status;
    }

    void write_settings(int grace_seconds) const {
        std::ofstream(settings_file()) << "[balancer]\nname = " << settings_.name
                                       << "\nfailure_domain = " << settings_.failure_domain
                                       << "\npackets_address = " << settings_.packets.to_string()
                                       << "\nreadiness_address = " << settings_.readiness.to_string()
                                       << "\nstatus_address = " << settings_.status.to_string()
                                       << "\n[peers]\naddress = " << settings_.peers.to_string()
                                       << "\ncontacts = " << settings_.contacts
                                       << "\n[store]\naddress = " << settings_.proxy.to_string()
                                       << "\n[stop]\ngrace_seconds = " << grace_seconds << "\n";
    }

private:
    std::string settings_file() const { return settings_.folder + "/" + settings_.name + ".ini"; }

    balancer_settings settings_;
    pid_t             pid_ = 0; // 0: not running
    bool              paused_ = false;
    bool              stopping_ = false;

public:
    loopback_proxy             to_store;
    steady_time                disturbed_at{}; // last fault on the process or its connections
    steady_time                started_at{};
    std::optional<steady_time> start_at;            // set while it is down
    std::optional<steady_time> resume_at;           // set while it is paused
    std::optional<steady_time> mend_at;             // set while its connections or packets are harmed
    unsigned                   lost_percent = 0;    // of callers' packets to it
    unsigned                   doubled_percent = 0; // of those that arrive
    bool                       in_rotation = false;
    unsigned                   missed_checks = 0;
};

} // namespace soak
