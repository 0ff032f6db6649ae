// Runs tamarack-entry as a child process, with the settings file that the platform fills in, and a store for it. For
// tests of what only a real process shows: its start, its end, and the resources that it uses.
#pragma once

#include "loopback_endpoint.h"
#include "standins/child_process.h"
#include "standins/kv_server.h"
#include "standins/settings_template.h"
#include "tamarack/clock.h"

#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>

namespace tamarack {

using namespace std::chrono_literals;

using standin::metrics_port;
using standin::packets_port;
using standin::peers_port;
using standin::readiness_port;

inline std::string settings_text(const std::string& name, const endpoint& host, const endpoint& store) {
    return standin::host_settings{.name = name,
                                  .failure_domain = "north",
                                  .host = host.address,
                                  .contacts = host.address.to_string() + ":8166",
                                  .store = store}
        .to_text();
}

inline endpoint with_port(endpoint address, std::uint16_t port) {
    address.port = port;
    return address;
}

template <class Predicate>
bool wait_until(duration timeout, Predicate is_done) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!is_done()) {
        if (std::chrono::steady_clock::now() >= deadline) return false;
        std::this_thread::sleep_for(5ms);
    }
    return true;
}

//----------------------------------------------------------------------------------------------------------------------
// Store
//----------------------------------------------------------------------------------------------------------------------

// A store with one route and one backend server, in a thread of its own.
class store_thread {
public:
    explicit store_thread(const endpoint& listen) : server_(context_, listen, store_, time_) {
        store_.put("op/config", R"({"version":3,"routes":[{"host":"198.18.0.1","prefix":"/443/","service":"desk"}]})");
        store_.put("servers/i-1f", R"({"service":"desk","address":"127.0.0.9:80","zone":"north","state":"ready"})");
        poll();
        thread_ = std::thread([this] { context_.run(); });
    }
    ~store_thread() {
        context_.stop();
        thread_.join();
    }
    store_thread(const store_thread&) = delete;
    store_thread& operator=(const store_thread&) = delete;

private:
    void poll() {
        server_.poll();
        timer_.expires_after(5ms);
        timer_.async_wait([this](const boost::system::error_code& error) {
            if (!error) poll();
        });
    }

    boost::asio::io_context   context_;
    boost::asio::steady_timer timer_{context_};
    system_clock              time_;
    standin::kv_store         store_;
    standin::kv_server        server_;
    std::thread               thread_;
};

//----------------------------------------------------------------------------------------------------------------------
// Process
//----------------------------------------------------------------------------------------------------------------------

class temporary_folder {
public:
    temporary_folder() : path_((std::filesystem::temp_directory_path() / "entry_program_XXXXXX").string()) {
        if (::mkdtemp(path_.data()) == nullptr) throw std::runtime_error("cannot create a temporary folder");
    }
    ~temporary_folder() { std::filesystem::remove_all(path_); }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    std::string file(const std::string& name) const { return path_ + "/" + name; }

private:
    std::string path_;
};

class entry_program {
public:
    entry_program(std::string settings_path, std::string log_path)
        : settings_path_(std::move(settings_path)), log_path_(std::move(log_path)) {}
    // Kills the process if it still runs.
    ~entry_program() {
        send_signal(SIGKILL);
        wait_for_end(10s);
    }
    entry_program(const entry_program&) = delete;
    entry_program& operator=(const entry_program&) = delete;

    void start(const standin::start_conditions& conditions = {}) {
        pid_ = standin::start_child(ENTRY_PROGRAM, "--config=" + settings_path_, log_path_, conditions);
    }
    void send_signal(int signal) const {
        if (pid_ > 0) ::kill(pid_, signal);
    }
    // The wait status, or nullopt if the process still runs after the timeout.
    std::optional<int> wait_for_end(duration timeout) {
        std::optional<int> ended;
        wait_until(timeout, [&] { return pid_ <= 0 || (ended = reap()).has_value(); });
        return ended;
    }
    bool        is_running() { return pid_ > 0 && !reap(); }
    pid_t       pid() const { return pid_; }
    std::string log() const { return standin::read_file(log_path_); }

    // Processor time used so far.
    duration processor_time() const {
        std::ifstream stat("/proc/" + std::to_string(pid_) + "/stat");
        std::string   word;
        for (int field = 1; field < 14; ++field) // utime and stime are fields 14 and 15
            stat >> word;
        long user_ticks = 0;
        long system_ticks = 0;
        stat >> user_ticks >> system_ticks;
        return std::chrono::milliseconds(1'000 * (user_ticks + system_ticks) / ::sysconf(_SC_CLK_TCK));
    }

private:
    std::optional<int> reap() {
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
        pid_ = 0;
        return status;
    }

    std::string settings_path_;
    std::string log_path_;
    pid_t       pid_ = 0; // 0: no process is running
};

//----------------------------------------------------------------------------------------------------------------------
// Calls
//----------------------------------------------------------------------------------------------------------------------

// A TCP connection that is closed with its object; handle() is negative if it was refused.
class tcp_connection {
public:
    explicit tcp_connection(const endpoint& server) : handle_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        constexpr std::size_t v4_offset = 12;
        constexpr timeval     timeout{.tv_sec = 2, .tv_usec = 0};
        sockaddr_in           address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(server.port);
        std::memcpy(&address.sin_addr, server.address.bytes.data() + v4_offset, sizeof address.sin_addr);
        ::setsockopt(handle_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
        ::setsockopt(handle_, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
        if (::connect(handle_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) close();
    }
    ~tcp_connection() { close(); }
    tcp_connection(tcp_connection&& other) noexcept : handle_(std::exchange(other.handle_, -1)) {}
    tcp_connection(const tcp_connection&) = delete;
    tcp_connection& operator=(const tcp_connection&) = delete;
    tcp_connection& operator=(tcp_connection&&) = delete;

    int handle() const { return handle_; }

    bool send(std::string_view text) const {
        return ::send(handle_, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
    }
    // All bytes until the server closes the connection or stays silent for 2 s.
    std::string receive_all() const {
        std::string            text;
        std::array<char, 4096> buffer{};
        for (;;) {
            const ssize_t size = ::recv(handle_, buffer.data(), buffer.size(), 0);
            if (size <= 0) return text;
            text.append(buffer.data(), static_cast<std::size_t>(size));
        }
    }

private:
    void close() {
        if (handle_ >= 0) ::close(handle_);
        handle_ = -1;
    }

    int handle_;
};

// The whole response, or an empty text if there was none.
inline std::string http_get(const endpoint& server, const std::string& target) {
    const tcp_connection connection(server);
    if (connection.handle() < 0) return {};
    if (!connection.send("GET " + target + " HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n")) return {};
    return connection.receive_all();
}

inline bool is_ready(const endpoint& host) {
    return http_get(with_port(host, readiness_port), "/tamarackshore/ready").starts_with("HTTP/1.1 200");
}

} // namespace tamarack
