// Base of the stand-ins: time, records of a run, packets and a queue of timed events.
#pragma once

#include <arpa/inet.h>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <unistd.h>
#include <vector>

namespace rv {

using steady = std::chrono::steady_clock;

inline const steady::time_point start_of_run = steady::now();

// Seconds since the start of the program.
inline double now() {
    return std::chrono::duration<double>(steady::now() - start_of_run).count();
}

// The lines of record.txt. Thread-safe.
class run_record {
public:
    explicit run_record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
        if (file_ == nullptr) std::exit(2);
    }
    ~run_record() { std::fclose(file_); }
    [[gnu::format(printf, 2, 3)]] void line(const char* format, ...) {
        const std::lock_guard lock(mutex_);
        std::fprintf(file_, "%8.3f ", now());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::FILE* file_;
    std::mutex mutex_;
};

inline std::uint32_t ipv4(unsigned a, unsigned b, unsigned c, unsigned d) {
    return (a << 24U) | (b << 16U) | (c << 8U) | d;
}

inline std::string ip_text(std::uint32_t address) {
    return std::to_string(address >> 24U) + "." + std::to_string((address >> 16U) & 255U) + "." +
           std::to_string((address >> 8U) & 255U) + "." + std::to_string(address & 255U);
}

inline sockaddr_in socket_address(std::uint32_t address, std::uint16_t port) {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(address);
    result.sin_port = htons(port);
    return result;
}

constexpr std::uint8_t syn = 128;
constexpr std::uint8_t ack = 32;
constexpr std::uint8_t fin = 16;
constexpr std::uint8_t rst = 8;

// A packet as PROTOCOL.md lays it out.
struct packet {
    static constexpr std::size_t head_size = 36;

    std::uint32_t seq = 0;
    std::uint32_t acknowledged = 0;
    std::uint32_t echo = 0;
    std::uint16_t sport = 0;
    std::uint32_t src = 0;
    std::uint16_t dport = 0;
    std::uint32_t dst = 0;
    std::uint32_t sum = 0;
    std::uint8_t  flags = 0;
    std::string   data;

    // A keyed sum over all fields but echo, pad and BOUNCED. The key is the stand-ins' own.
    std::uint32_t expected_sum() const {
        std::uint64_t hash = 0x9e3779b97f4a7c15ULL;
        const auto    add = [&hash](std::uint64_t value) {
            hash = (hash ^ value) * 0x100000001b3ULL;
            hash ^= hash >> 29U;
        };
        add(seq), add(acknowledged), add(sport), add(src), add(dport), add(dst), add(flags & ~2U), add(data.size());
        for (const char byte : data)
            add(static_cast<unsigned char>(byte));
        const auto result = static_cast<std::uint32_t>(hash ^ (hash >> 32U));
        return result == 0 ? 1 : result;
    }
    std::string encode() const {
        std::string bytes(head_size, '\0');
        const auto  put = [&bytes](std::size_t offset, std::uint64_t value, unsigned size) {
            for (unsigned i = 0; i < size; ++i)
                bytes[offset + i] = static_cast<char>(value >> (8 * (size - 1 - i)));
        };
        put(0, seq, 4), put(4, acknowledged, 4), put(8, echo, 4), put(12, sport, 2), put(14, src, 4);
        put(18, dport, 2), put(20, dst, 4), put(24, sum, 4), put(28, data.size(), 2), put(30, flags, 1);
        return bytes + data;
    }
    static std::optional<packet> decode(std::string_view bytes) {
        if (bytes.size() < head_size) return std::nullopt;
        const auto get = [bytes](std::size_t offset, unsigned size) {
            std::uint64_t value = 0;
            for (unsigned i = 0; i < size; ++i)
                value = (value << 8U) | static_cast<unsigned char>(bytes[offset + i]);
            return value;
        };
        packet p;
        p.seq = get(0, 4), p.acknowledged = get(4, 4), p.echo = get(8, 4), p.sport = get(12, 2), p.src = get(14, 4);
        p.dport = get(18, 2), p.dst = get(20, 4), p.sum = get(24, 4), p.flags = get(30, 1);
        if (get(28, 2) != bytes.size() - head_size) return std::nullopt;
        p.data = std::string(bytes.substr(head_size));
        return p;
    }
};

// Calls functions at their time, in the thread that runs the loop.
class timed_events {
public:
    void at(double time, std::function<void()> action) { queue_.push({time, ++count_, std::move(action)}); }
    void after(double seconds, std::function<void()> action) { at(now() + seconds, std::move(action)); }
    void run_due() {
        while (!queue_.empty() && queue_.top().time <= now()) {
            const auto action = queue_.top().action;
            queue_.pop();
            action();
        }
    }
    double next_time() const { return queue_.empty() ? now() + 1.0 : queue_.top().time; }

private:
    struct event {
        double                time;
        std::uint64_t         number;
        std::function<void()> action;
        bool operator<(const event& other) const { return std::tie(time, number) > std::tie(other.time, other.number); }
    };
    std::priority_queue<event> queue_;
    std::uint64_t              count_ = 0;
};

} // namespace rv
