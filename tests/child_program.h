// Runs a program of this project as a child process with a settings file and a log file. For tests of what only a real
// process shows: its start, its end, and the resources that it uses.
#pragma once

#include "standins/child_process.h"
#include "standins/settings_template.h"
#include "tamarack/tamarack.h"

#include <array>
#include <chrono>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace tamarack {

using namespace std::chrono_literals;

using standin::read_file;

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
// Process
//----------------------------------------------------------------------------------------------------------------------

class temporary_folder {
public:
    temporary_folder() : path_((std::filesystem::temp_directory_path() / "child_program_XXXXXX").string()) {
        if (::mkdtemp(path_.data()) == nullptr) throw std::runtime_error("cannot create a temporary folder");
    }
    ~temporary_folder() { std::filesystem::remove_all(path_); }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    std::string file(const std::string& name) const { return path_ + "/" + name; }

private:
    std::string path_;
};

class child_program {
public:
    child_program(std::string path, std::string settings_path, std::string log_path)
        : path_(std::move(path)), settings_path_(std::move(settings_path)), log_path_(std::move(log_path)) {}
    // Kills the process if it still runs.
    ~child_program() {
        send_signal(SIGKILL);
        wait_for_end(10s);
    }
    child_program(const child_program&) = delete;
    child_program& operator=(const child_program&) = delete;

    void start(const standin::start_conditions& conditions = {}) {
        pid_ = standin::start_child(path_, "--config=" + settings_path_, log_path_, conditions);
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
    std::string log() const { return read_file(log_path_); }

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

    std::string path_;
    std::string settings_path_;
    std::string log_path_;
    pid_t       pid_ = 0; // 0: no process is running
};

//----------------------------------------------------------------------------------------------------------------------
// Connections
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

} // namespace tamarack
