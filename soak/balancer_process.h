// One tamarack-entry in a child process, with the proxy through which it reaches the store.
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
    std::string folder; // holds the settings file and the log of the process
    std::string name;
    std::string failure_domain;
    endpoint    packets_address;
    endpoint    readiness_address;
    endpoint    status_address; // status page, for debugging a run
    endpoint    peers_address;
    endpoint    proxy_address; // relays to the store
    endpoint    store_address;
    std::string contacts; // addresses of peers, comma-separated
};

class balancer_process {
public:
    balancer_process(boost::asio::io_context& context, balancer_settings settings)
        : settings_(std::move(settings)), store_proxy(context, settings_.proxy_address, settings_.store_address) {
        write_settings(3);
    }
    // Kills the child process and waits for it to exit.
    ~balancer_process() { send_signal(SIGKILL, true); }
    balancer_process(const balancer_process&) = delete;
    balancer_process& operator=(const balancer_process&) = delete;

    const balancer_settings& settings() const { return settings_; }
    bool                     is_running() const { return pid_ > 0; }
    bool                     is_paused() const { return is_paused_; }
    bool                     is_stopping() const { return is_stopping_; }

    void start(steady_time now) {
        last_fault_at = now;
        started_at = now;
        is_stopping_ = false;
        pid_ = ::fork();
        if (pid_ != 0) return;
        const int log_file =
            ::open((settings_.folder + "/" + settings_.name + ".log").c_str(), O_CREAT | O_APPEND | O_WRONLY, 0600);
        ::dup2(log_file, STDOUT_FILENO);
        ::dup2(log_file, STDERR_FILENO);
        ::close_range(STDERR_FILENO + 1, ~0U, 0); // the child must not inherit the sockets of the soak
        const std::string config_flag = "--config=" + settings_path();
        ::execl(settings_.program.c_str(), settings_.program.c_str(), config_flag.c_str(), nullptr);
        ::_exit(127);
    }

    void send_signal(int signal, bool wait_for_exit = false) {
        if (pid_ <= 0) return;
        ::kill(pid_, signal);
        is_stopping_ = is_stopping_ || signal == SIGTERM || signal == SIGKILL;
        is_paused_ = signal == SIGSTOP || (is_paused_ && signal != SIGCONT);
        if (wait_for_exit) {
            ::waitpid(pid_, nullptr, 0);
            pid_ = 0;
        }
    }

    // Reaps the process if it has exited and returns its wait status.
    std::optional<int> reap() {
        int status = 0;
        if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
        pid_ = 0;
        is_paused_ = false;
        return status;
    }

    void write_settings(int grace_seconds) const {
        std::ofstream(settings_path()) << "[balancer]\nname = " << settings_.name
                                       << "\nfailure_domain = " << settings_.failure_domain
                                       << "\npackets_address = " << settings_.packets_address.to_string()
                                       << "\nreadiness_address = " << settings_.readiness_address.to_string()
                                       << "\nstatus_address = " << settings_.status_address.to_string()
                                       << "\n[peers]\naddress = " << settings_.peers_address.to_string()
                                       << "\ncontacts = " << settings_.contacts
                                       << "\n[store]\naddress = " << settings_.proxy_address.to_string()
                                       << "\n[stop]\ngrace_seconds = " << grace_seconds << "\n";
    }

private:
    std::string settings_path() const { return settings_.folder + "/" + settings_.name + ".ini"; }

    balancer_settings settings_;
    pid_t             pid_ = 0; // 0: no process is running
    bool              is_paused_ = false;
    bool              is_stopping_ = false;

public:
    loopback_proxy             store_proxy;
    steady_time                last_fault_at{}; // start or end of its latest fault
    steady_time                started_at{};
    std::optional<steady_time> restart_at;                  // set after the process has exited
    std::optional<steady_time> resume_at;                   // set while the process is paused
    std::optional<steady_time> faults_end_at;               // set while faults on its connections or packets are active
    unsigned                   loss_percent = 0;            // of the callers' packets to it
    unsigned                   duplication_percent = 0;     // of the packets that are not lost
    bool                       is_in_rotation = false;      // callers send packets to it
    unsigned                   failed_readiness_checks = 0; // since the last successful one
};

} // namespace soak
