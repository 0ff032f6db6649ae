// One tamarack-entry in a child process, with the proxy through which it reaches the store.
#pragma once

#include "soak/loopback_proxy.h"
#include "standins/child_process.h"
#include "standins/settings_template.h"

#include <filesystem>
#include <sys/wait.h>
#include <utility>

namespace soak {

using tamarack::endpoint;
using tamarack::steady_time;

struct balancer_settings {
    std::string            program;
    std::string            folder; // holds the settings file and the log of the process
    standin::host_settings host;   // its store is the proxy
    endpoint               store_address;
};

class balancer_process {
public:
    balancer_process(boost::asio::io_context& context, balancer_settings settings)
        : settings_(std::move(settings)), store_proxy(context, settings_.host.store, settings_.store_address) {
        write_settings(3);
    }
    // Kills the child processes and waits for them to exit.
    ~balancer_process() {
        send_signal(SIGKILL, true);
        if (predecessor_ <= 0) return;
        ::kill(predecessor_, SIGKILL);
        ::waitpid(predecessor_, nullptr, 0);
    }
    balancer_process(const balancer_process&) = delete;
    balancer_process& operator=(const balancer_process&) = delete;

    const balancer_settings& settings() const { return settings_; }
    std::string              name() const { return settings_.host.name; }
    endpoint                 readiness_address() const { return {settings_.host.host, standin::readiness_port}; }
    endpoint                 packets_address() const { return {settings_.host.host, standin::packets_port}; }
    bool                     is_running() const { return pid_ > 0; }
    bool                     is_paused() const { return is_paused_; }
    bool                     is_stopping() const { return is_stopping_; }

    void start(steady_time now, const standin::start_conditions& conditions = {}) {
        last_fault_at = now;
        started_at = now;
        is_stopping_ = false;
        pid_ = standin::start_child(settings_.program, "--config=" + settings_path(),
                                    settings_.folder + "/" + name() + ".log", conditions);
    }

    // Requests a graceful stop; the process that is started next overlaps with it.
    void begin_replacement() {
        send_signal(SIGTERM);
        predecessor_ = std::exchange(pid_, 0);
        is_paused_ = false;
    }
    bool               has_predecessor() const { return predecessor_ > 0; }
    // Reaps the replaced process if it has exited and returns its wait status.
    std::optional<int> reap_predecessor() {
        int status = 0;
        if (predecessor_ <= 0 || ::waitpid(predecessor_, &status, WNOHANG) != predecessor_) return std::nullopt;
        predecessor_ = 0;
        return status;
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

    void write_settings(unsigned grace_seconds) {
        settings_.host.grace_seconds = grace_seconds;
        std::ofstream(settings_path()) << settings_.host.to_text();
    }
    // As if the file were just being written. The rest follows with write_settings.
    void write_part_of_settings(std::size_t size) const {
        std::ofstream(settings_path()) << settings_.host.to_text().substr(0, size);
    }

private:
    std::string settings_path() const { return settings_.folder + "/" + name() + ".ini"; }

    balancer_settings settings_;
    pid_t             pid_ = 0;         // 0: no process is running
    pid_t             predecessor_ = 0; // still stopping; 0: none
    bool              is_paused_ = false;
    bool              is_stopping_ = false;

public:
    loopback_proxy             store_proxy;
    steady_time                last_fault_at{}; // start or end of its latest fault
    steady_time                started_at{};
    std::optional<steady_time> restart_at;                  // set after the process has exited
    std::optional<steady_time> resume_at;                   // set while the process is paused
    std::optional<steady_time> settings_complete_at;        // set while the settings file is incomplete
    std::optional<steady_time> faults_end_at;               // set while faults on its connections or packets are active
    unsigned                   loss_percent = 0;            // of the callers' packets to it
    unsigned                   duplication_percent = 0;     // of the packets that are not lost
    bool                       is_in_rotation = false;      // callers send packets to it
    unsigned                   failed_readiness_checks = 0; // since the last successful one
};

} // namespace soak
