// Basics of the review's harness: time, sockets, an event loop on poll, and the record of a run.
//
// The harness shares no code with the project, so that both cannot have the same fault.
#pragma once

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using ms = std::int64_t; // milliseconds since the start of the run

inline ms now() {
    using namespace std::chrono;
    static const auto start = steady_clock::now();
    return duration_cast<milliseconds>(steady_clock::now() - start).count();
}

inline std::int64_t unix_ms() {
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

// IPv4 address in host byte order.
using ip = std::uint32_t;

inline std::string text_of(ip address) {
    return std::to_string(address >> 24) + "." + std::to_string((address >> 16) & 255) + "." +
           std::to_string((address >> 8) & 255) + "." + std::to_string(address & 255);
}

struct endpoint {
    ip            address = 0;
    std::uint16_t port = 0;

    std::string text() const { return text_of(address) + ":" + std::to_string(port); }
    auto        operator<=>(const endpoint&) const = default;
};

inline sockaddr_in to_sockaddr(const endpoint& where) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(where.port);
    address.sin_addr.s_addr = htonl(where.address);
    return address;
}

// The case cannot run: ends the harness with status 2.
[[noreturn]] inline void cannot_run(const std::string& reason) {
    std::fprintf(stderr, "the case cannot run: %s\n", reason.c_str());
    std::exit(2);
}

inline int open_socket(int type, const std::optional<endpoint>& local) {
    const int handle = ::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (handle < 0) cannot_run("no socket");
    const int on = 1;
    if (type == SOCK_STREAM) ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (local) {
        const sockaddr_in address = to_sockaddr(*local);
        if (::bind(handle, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
            cannot_run("cannot bind " + local->text());
    }
    return handle;
}

// Calls handlers of readable and writable descriptors, and ticks every millisecond or so.
class event_loop {
public:
    using handler = std::function<void(short events)>;

    void watch(int handle, short events, handler on_event) { watched_[handle] = {events, std::move(on_event)}; }
    void forget(int handle) { watched_.erase(handle); }
    void on_tick(std::function<void()> tick) { ticks_.push_back(std::move(tick)); }

    void run_until(ms end) {
        while (now() < end) {
            std::vector<pollfd> handles;
            for (const auto& [handle, entry] : watched_)
                handles.push_back({handle, entry.first, 0});
            ::poll(handles.data(), handles.size(), 1);
            for (const pollfd& ready : handles) {
                if (ready.revents == 0) continue;
                const auto found = watched_.find(ready.fd);
                if (found == watched_.end()) continue;
                const handler call = found->second.second;
                call(ready.revents);
            }
            for (const auto& tick : ticks_)
                tick();
        }
    }

private:
    std::map<int, std::pair<short, handler>> watched_;
    std::vector<std::function<void()>>       ticks_;
};

// Everything that was sent, answered and run, with the time since the start.
class run_record {
public:
    explicit run_record(const std::string& path) : file_(path) {
        if (!file_) cannot_run("cannot write " + path);
    }

    void line(const std::string& text) {
        char time[24];
        std::snprintf(time, sizeof time, "%8.3f ", static_cast<double>(now()) / 1000.0);
        file_ << time << text << "\n" << std::flush;
    }

private:
    std::ofstream file_;
};

} // namespace review
