// The machines of the system: one tamarack-entry each, started as the deploy file says, and the platform's routers.
#pragma once

#include "packet.hpp"

namespace review {

inline constexpr std::uint16_t datagram_port = 8172;
inline constexpr std::uint16_t ready_port = 8167;
inline constexpr std::uint16_t peer_port = 7720;

// First call in a child. It ends with the harness. In a session of its own it stays stopped when the shell that started
// the harness ends: the kernel continues the stopped processes of a process group that loses its shell.
inline void begin_child() {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::setsid();
}

struct machine_settings {
    std::string name;
    std::string zone;
    ip          address = 0;
    endpoint    store;
    std::string seeds;  // comma-separated
    std::string folder; // temporary, for settings and logs
};

// Reads the process's log like a log agent of its machine. It may be stopped and continued by signals.
class log_agent {
public:
    explicit log_agent(const std::string& file) {
        int ends[2];
        if (::pipe2(ends, O_CLOEXEC) != 0) cannot_run("no pipe");
        constexpr int usual_pipe_size = 65'536; // bytes; a host with large pages would have a larger one
        ::fcntl(ends[1], F_SETPIPE_SZ, usual_pipe_size);
        pid_ = ::fork();
        if (pid_ == 0) {
            begin_child();
            const int out = ::open(file.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0600);
            ::close(ends[1]);
            char bytes[65'536];
            for (;;) {
                const ssize_t size = ::read(ends[0], bytes, sizeof bytes);
                if (size <= 0) ::_exit(0);
                if (::write(out, bytes, static_cast<std::size_t>(size)) < 0) ::_exit(1);
            }
        }
        ::close(ends[0]);
        writing_end_ = ends[1];
    }
    ~log_agent() {
        ::close(writing_end_);
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
    log_agent(const log_agent&) = delete;
    log_agent& operator=(const log_agent&) = delete;

    int  writing_end() const { return writing_end_; }
    void send_signal(int signal) const { ::kill(pid_, signal); }

private:
    pid_t pid_ = 0;
    int   writing_end_ = -1;
};

class machine {
public:
    static constexpr ms restart_delay = 500; // of a process that has exited

    machine(event_loop& loop, run_record& record, machine_settings settings)
        : record_(record), settings_(std::move(settings)), agent_(settings_.folder + "/" + settings_.name + ".log") {
        loop.on_tick([this] { tick(); });
    }
    ~machine() {
        is_held_ = true;
        send_signal(SIGKILL);
        if (pid_ > 0) ::waitpid(pid_, nullptr, 0);
    }
    machine(const machine&) = delete;
    machine& operator=(const machine&) = delete;

    void start(bool is_bootstrap) {
        write_settings(is_bootstrap);
        const std::string config = "TAMARACKSHORE_CONFIG=" + settings_path();
        const char*       home = std::getenv("HOME");
        const std::string home_variable = std::string("HOME=") + (home == nullptr ? "/" : home);
        pid_ = ::fork();
        if (pid_ == 0) {
            begin_child();
            ::dup2(agent_.writing_end(), STDOUT_FILENO);
            ::dup2(agent_.writing_end(), STDERR_FILENO);
            std::string program = "target/tamarack-entry"; // the role's run command
            char* const arguments[] = {program.data(), nullptr};
            std::string variables[] = {config, home_variable, "PATH=/usr/bin:/bin", "LANG=C"};
            char* const environment[] = {variables[0].data(), variables[1].data(), variables[2].data(),
                                         variables[3].data(), nullptr};
            ::execve(arguments[0], arguments, environment);
            ::_exit(127);
        }
        record_.line("machine " + settings_.name + " started");
    }

    void send_signal(int signal) {
        if (pid_ > 0) ::kill(pid_, signal);
    }

    const machine_settings& settings() const { return settings_; }
    const log_agent&        agent() const { return agent_; }
    endpoint                datagram_address() const { return {settings_.address, datagram_port}; }
    bool                    is_running() const { return pid_ > 0; }
    unsigned                own_ends() const { return own_ends_; } // of the process, without a signal of the harness
    bool                    is_in_rotation = false;

private:
    std::string settings_path() const { return settings_.folder + "/" + settings_.name + ".ini"; }

    // Fills in the template of the deploy file. The status page gets an address of its own, since all machines of the
    // case share one host.
    void write_settings(bool is_bootstrap) const {
        std::ifstream      file("platform/entry.ini.in");
        std::ostringstream content;
        content << file.rdbuf();
        std::string text = content.str();
        if (text.empty()) cannot_run("platform/entry.ini.in cannot be read; start in the repository's root");
        const auto replace = [&text](const std::string& from, const std::string& to) {
            for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size())
                text.replace(at, from.size(), to);
        };
        const std::string host = text_of(settings_.address);
        if (!is_bootstrap) replace("first_start = true", "");
        for (const char* section :
             {"{{#bootstrap}}", "{{/bootstrap}}", "{{#bounds.config_apply_ms}}", "{{/bounds.config_apply_ms}}"})
            replace(section, "");
        const std::pair<const char*, std::string> values[] = {
            {"{{node_name}}", settings_.name},
            {"{{zone}}", settings_.zone},
            {"{{listen.datagram_addr}}", host + ":" + std::to_string(datagram_port)},
            {"{{listen.ready_addr}}", host + ":" + std::to_string(ready_port)},
            {"127.0.0.1:9109", host + ":9109"},
            {"{{ip}}", host},
            {"{{internal_ports.0}}", std::to_string(peer_port)},
            {"{{seeds}}", settings_.seeds},
            {"{{platform.address}}", settings_.store.text()},
            {"{{bounds.grace_s}}", "6"},
            {"{{limits.cpu_share}}", "0.25"},
            {"{{limits.link_mbps}}", "1000.0"},
            {"{{limits.memory_mb}}", "260"},
            {"{{.}}", "3000"}, // config_apply_ms
        };
        for (const auto& [from, to] : values)
            replace(from, to);
        if (text.find("{{") != std::string::npos) cannot_run("the template has a field that the harness lacks");
        std::ofstream(settings_path()) << text;
    }

    void tick() {
        if (is_held_) return;
        int status = 0;
        if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
            pid_ = 0;
            ++own_ends_;
            restart_at_ = now() + restart_delay;
            record_.line("machine " + settings_.name + " ended by itself, " +
                         (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                              : "exit status " + std::to_string(WEXITSTATUS(status))));
        }
        if (pid_ == 0 && restart_at_ && now() >= *restart_at_) {
            restart_at_.reset();
            start(false);
        }
    }

    run_record&       record_;
    machine_settings  settings_;
    log_agent         agent_;
    pid_t             pid_ = 0;
    bool              is_held_ = false;
    unsigned          own_ends_ = 0;
    std::optional<ms> restart_at_;
};

// Checks readiness twice a second and chooses the machine that gets a packet.
class routers {
public:
    static constexpr ms check_interval = 500;

    routers(event_loop& loop, run_record& record) : loop_(loop), record_(record) {
        loop_.on_tick([this] { tick(); });
    }

    void add(machine& which) { machines_.push_back({.host = &which}); }

    // Time since the last 200 of the machine's readiness check.
    ms unanswered_for(const machine& which) const {
        for (const entry& each : machines_) {
            if (each.host == &which) return now() - each.last_ready_at;
        }
        return 0;
    }

    // By a hash of the addresses and ports over the machines in rotation (mod); null: there is no machine.
    const machine* machine_for(const std::string& zone, const packet& sent) const {
        std::vector<const machine*> of_zone;
        std::vector<const machine*> in_rotation;
        std::vector<const machine*> elsewhere;
        for (const entry& each : machines_) {
            if (each.host->settings().zone != zone) {
                if (each.host->is_in_rotation) elsewhere.push_back(each.host);
                continue;
            }
            of_zone.push_back(each.host);
            if (each.host->is_in_rotation) in_rotation.push_back(each.host);
        }
        const auto& candidates = in_rotation.empty()                       ? (elsewhere.empty() ? of_zone : elsewhere)
                                 : in_rotation.size() * 2 < of_zone.size() ? of_zone
                                                                           : in_rotation;
        if (candidates.empty()) return nullptr;
        std::uint64_t hash = 1'469'598'103'934'665'603ULL;
        for (const std::uint64_t value :
             {std::uint64_t{sent.source.address}, std::uint64_t{sent.source.port},
              std::uint64_t{sent.destination.address}, std::uint64_t{sent.destination.port}})
            hash = (hash ^ value) * 1'099'511'628'211ULL;
        return candidates[(hash >> 17) % candidates.size()];
    }

private:
    struct entry {
        machine*    host = nullptr;
        int         handle = -1; // of the pending check
        std::string input{};
        bool        is_sent = false;
        ms          check_at = 0;
        ms          last_ready_at = 0;
        unsigned    misses = 0;
    };

    void tick() {
        for (std::size_t i = 0; i < machines_.size(); ++i) {
            if (now() < machines_[i].check_at) continue;
            if (machines_[i].handle >= 0) finish(i, false);
            machines_[i].check_at = now() + check_interval;
            begin(i);
        }
    }

    void begin(std::size_t index) {
        entry& checked = machines_[index];
        checked.handle = open_socket(SOCK_STREAM, std::nullopt);
        checked.input.clear();
        checked.is_sent = false;
        const sockaddr_in address = to_sockaddr({checked.host->settings().address, ready_port});
        ::connect(checked.handle, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        loop_.watch(checked.handle, POLLOUT, [this, index](short events) { proceed(index, events); });
    }

    void proceed(std::size_t index, short events) {
        entry& checked = machines_[index];
        if (!checked.is_sent) {
            if ((events & (POLLERR | POLLHUP)) != 0) return finish(index, false);
            const std::string request =
                "GET /tamarackshore/ready HTTP/1.1\r\nHost: machine\r\nConnection: close\r\n\r\n";
            if (::send(checked.handle, request.data(), request.size(), MSG_NOSIGNAL) < 0) return finish(index, false);
            checked.is_sent = true;
            loop_.watch(checked.handle, POLLIN, [this, index](short later) { proceed(index, later); });
            return;
        }
        char          bytes[1'024];
        const ssize_t size = ::recv(checked.handle, bytes, sizeof bytes, 0);
        if (size < 0 && errno == EAGAIN) return;
        if (size <= 0) return finish(index, false);
        checked.input.append(bytes, static_cast<std::size_t>(size));
        if (checked.input.size() >= 12) finish(index, checked.input.substr(9, 3) == "200");
    }

    void finish(std::size_t index, bool is_ready) {
        entry& checked = machines_[index];
        loop_.forget(checked.handle);
        ::close(checked.handle);
        checked.handle = -1;
        if (is_ready) checked.last_ready_at = now();
        checked.misses = is_ready ? 0 : checked.misses + 1;
        const bool was_in_rotation = checked.host->is_in_rotation;
        if (is_ready) checked.host->is_in_rotation = true;
        if (checked.misses >= 2) checked.host->is_in_rotation = false;
        if (was_in_rotation != checked.host->is_in_rotation) {
            record_.line("machine " + checked.host->settings().name +
                         (was_in_rotation ? " is out of rotation" : " is in rotation"));
        }
    }

    event_loop&        loop_;
    run_record&        record_;
    std::vector<entry> machines_;
};

} // namespace review
