// Surroundings of a balancer for the cases of review 3, in one process and one thread: the platform's store and router,
// backend servers ("targets") and callers ("clients"). They follow PROTOCOL.md and use loopback addresses only. The
// balancers are the project's program, started as separate processes with the settings of platform/entry.ini.in.
#pragma once

#include <algorithm>
#include <array>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
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
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace world {

using ms = std::int64_t; // milliseconds since the start of the world

constexpr std::uint8_t syn_flag = 128, ack_flag = 32, fin_flag = 16, rst_flag = 8;
constexpr std::uint16_t datagram_port = 8172, ready_port = 8167, store_port = 8169, internal_port = 7720,
                        control_port = 8166, target_port = 8080;

[[noreturn]] inline void cannot_run(const std::string& why) {
    std::fprintf(stderr, "the case cannot run: %s\n", why.c_str());
    std::exit(2);
}

inline ms clock_ms() {
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start).count();
}

// record.txt
class recorder {
public:
    explicit recorder(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
        if (file_ == nullptr) cannot_run("cannot write " + path);
    }
    ~recorder() { std::fclose(file_); }
    recorder(const recorder&) = delete;
    recorder& operator=(const recorder&) = delete;
    [[gnu::format(printf, 2, 3)]] void line(const char* format, ...) {
        std::fprintf(file_, "%8.3f ", static_cast<double>(clock_ms()) / 1000.0);
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::FILE* file_;
};

inline sockaddr_in address_of(std::uint32_t ip, std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(ip);
    address.sin_port = htons(port);
    return address;
}

inline std::string text_of(std::uint32_t ip) {
    const in_addr address{htonl(ip)};
    return inet_ntoa(address);
}

inline int open_udp(std::uint32_t ip, std::uint16_t port) {
    const int  handle = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto address = address_of(ip, port);
    if (handle < 0 || ::bind(handle, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        if (handle >= 0) ::close(handle);
        return -1;
    }
    return handle;
}

//----------------------------------------------------------------------------------------------------------------------
// Packets
//----------------------------------------------------------------------------------------------------------------------

struct packet {
    std::uint32_t seq = 0, ack = 0, echo = 0;
    std::uint16_t sport = 0;
    std::uint32_t src = 0;
    std::uint16_t dport = 0;
    std::uint32_t dst = 0, sum = 0x5eed;
    std::uint8_t  flags = 0;
    std::string   data;

    std::string encode() const {
        std::string bytes(36, '\0');
        const auto  put = [&](std::size_t at, std::uint64_t value, int width) {
            for (int i = 0; i < width; ++i)
                bytes[at + static_cast<std::size_t>(i)] = static_cast<char>(value >> (8 * (width - 1 - i)));
        };
        put(0, seq, 4), put(4, ack, 4), put(8, echo, 4), put(12, sport, 2), put(14, src, 4), put(18, dport, 2);
        put(20, dst, 4), put(24, sum, 4), put(28, data.size(), 2), put(30, flags, 1);
        return bytes + data;
    }
    static std::optional<packet> decode(const std::string& bytes) {
        if (bytes.size() < 36) return std::nullopt;
        const auto get = [&](std::size_t at, int width) {
            std::uint64_t value = 0;
            for (int i = 0; i < width; ++i)
                value = value << 8 | static_cast<unsigned char>(bytes[at + static_cast<std::size_t>(i)]);
            return static_cast<std::uint32_t>(value);
        };
        if (get(28, 2) != bytes.size() - 36) return std::nullopt;
        return packet{get(0, 4), get(4, 4), get(8, 4), static_cast<std::uint16_t>(get(12, 2)), get(14, 4),
                      static_cast<std::uint16_t>(get(18, 2)), get(20, 4), get(24, 4),
                      static_cast<std::uint8_t>(get(30, 1)), bytes.substr(36)};
    }
};

// Retransmission times of PROTOCOL.md: 200 ms, doubling up to 1.6 s.
inline ms retransmission_delay(unsigned sent_again) {
    return std::min<ms>(1600, 200LL << std::min(sent_again, 3U));
}

//----------------------------------------------------------------------------------------------------------------------
// Store
//----------------------------------------------------------------------------------------------------------------------

inline std::string base64(const std::string& text) {
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string       out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8 | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            out += i + j > text.size() ? '=' : digits[group >> (18 - 6 * j) & 63U];
    }
    return out;
}

// The platform's store over HTTP/1.1.
class store {
public:
    explicit store(std::uint32_t ip) { listen(ip); }
    // Another address, for one machine: on loopback addresses a caller's own address does not tell which machine it is.
    void listen(std::uint32_t ip) {
        const int  listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const int  yes = 1;
        const auto address = address_of(ip, store_port);
        ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        if (::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
            ::listen(listener, 64) != 0)
            cannot_run("the store's address is taken");
        listeners_[listener] = ip;
    }

    // The speed of the link of the machine that calls this address, in bytes a millisecond; not limited if not set.
    void limit_link(std::uint32_t ip, double bytes_per_ms) { links_[ip] = {bytes_per_ms, 0, 0}; }
    // Writes of the operator and of the targets; the return is the acknowledgement.
    std::uint64_t put(const std::string& key, const std::string& value) { return write(key, base64(value), 0); }
    void          remove(const std::string& key) {
        if (items_.erase(key) == 0) return;
        events_.push_back("{\"key\":\"" + key + "\",\"revision\":" + std::to_string(++revision_) +
                          ",\"tombstone\":true}");
        event_times_.push_back(clock_ms());
    }

    void add_to(std::vector<pollfd>& handles) const {
        for (const auto& [listener, ip] : listeners_)
            handles.push_back({listener, POLLIN, 0});
        for (const auto& [handle, connection] : connections_)
            handles.push_back({handle, static_cast<short>(connection.out.empty() ? POLLIN : POLLIN | POLLOUT), 0});
    }

    void step(ms now) {
        expire(now);
        for (auto& [ip, link] : links_) {
            link.budget = std::min(link.bytes_per_ms * 20, link.budget + link.bytes_per_ms * static_cast<double>(now - link.at));
            link.at = now;
        }
        while (dropped_ < event_times_.size() && event_times_[dropped_] < now - history)
            ++dropped_;
        for (const auto& [listener, ip] : listeners_) {
            for (int handle; (handle = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
                const int yes = 1;
                ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
                connections_[handle] = {};
                connections_[handle].peer = ip;
            }
        }
        for (auto at = connections_.begin(); at != connections_.end();) {
            if (serve(at->first, at->second, now)) {
                ++at;
            } else {
                ::close(at->first);
                at = connections_.erase(at);
            }
        }
    }

private:
    struct item {
        std::string   value; // base64
        std::uint64_t revision = 0, created = 0, lease = 0;
    };
    struct lease {
        ms ttl = 0, ends_at = 0;
    };
    struct link {
        double bytes_per_ms = 0, budget = 0;
        ms     at = 0;
    };
    struct connection {
        std::uint32_t peer = 0;
        std::string   in, out;
        bool          is_watching = false;
        std::uint64_t watch_after = 0;
        std::string   watch_prefix;
        ms            watch_until = 0;
    };

    static std::string json_of(const std::string& key, const item& value) {
        return "{\"key\":\"" + key + "\",\"value\":\"" + value.value +
               "\",\"revision\":" + std::to_string(value.revision) + ",\"created\":" + std::to_string(value.created) +
               ",\"lease\":" + std::to_string(value.lease) + "}";
    }
    std::uint64_t write(const std::string& key, const std::string& value, std::uint64_t lease) {
        item& stored = items_[key];
        ++revision_;
        if (stored.created == 0) stored.created = revision_;
        stored.value = value;
        stored.revision = revision_;
        stored.lease = lease;
        events_.push_back(json_of(key, stored)); // the event of revision n stands at n - first_revision - 1
        event_times_.push_back(clock_ms());
        return revision_;
    }
    void end_lease(std::uint64_t lease) {
        std::vector<std::string> keys;
        for (const auto& [key, value] : items_)
            if (value.lease == lease) keys.push_back(key);
        for (const auto& key : keys)
            remove(key);
        leases_.erase(lease);
    }
    void expire(ms now) {
        std::vector<std::uint64_t> ended;
        for (const auto& [number, terms] : leases_)
            if (now >= terms.ends_at) ended.push_back(number);
        for (const std::uint64_t number : ended)
            end_lease(number);
    }
    static std::string query(const std::string& target, const std::string& name) {
        for (const char mark : {'?', '&'}) {
            const std::size_t at = target.find(mark + name + "=");
            if (at == std::string::npos) continue;
            const std::size_t start = at + name.size() + 2;
            std::string       raw = target.substr(start, target.find('&', start) - start), out;
            for (std::size_t i = 0; i < raw.size(); ++i) {
                if (raw[i] == '%' && i + 2 < raw.size()) {
                    out += static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
                    i += 2;
                } else {
                    out += raw[i];
                }
            }
            return out;
        }
        return "";
    }
    // The member after a position of a JSON text.
    static std::string text_member(const std::string& json, const std::string& name, std::size_t from) {
        const std::size_t at = json.find("\"" + name + "\":\"", from);
        if (at == std::string::npos) return "";
        const std::size_t start = at + name.size() + 4;
        return json.substr(start, json.find('"', start) - start);
    }
    static std::uint64_t number_member(const std::string& json, const std::string& name, std::size_t from) {
        const std::size_t at = json.find("\"" + name + "\":", from);
        return at == std::string::npos ? 0 : std::strtoull(json.c_str() + at + name.size() + 3, nullptr, 10);
    }

    static void respond(connection& to, unsigned status, const std::string& body) {
        to.out += "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n" +
                  "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    std::string changes(const connection& to) const {
        std::string list;
        for (std::uint64_t revision = to.watch_after + 1; revision <= revision_; ++revision) {
            const std::string& event = events_.at(revision - first_revision - 1);
            if (event.find("{\"key\":\"" + to.watch_prefix) != 0) continue;
            list += (list.empty() ? "" : ",") + event;
        }
        return list;
    }
    void answer_watch(connection& to, ms now) {
        const std::string list = changes(to);
        if (list.empty() && now < to.watch_until) return;
        to.is_watching = false;
        respond(to, 200, "{\"events\":[" + list + "],\"current_rev\":" + std::to_string(revision_) + "}");
    }
    void transact(connection& to, const std::string& body) {
        const std::size_t puts = body.find("\"puts\"");
        const std::size_t expected = body.find("\"expected_rev\"");
        if (puts == std::string::npos || expected == std::string::npos) return respond(to, 400, "{}");
        const std::string checked_key = text_member(body, "key", expected);
        const auto        found = items_.find(checked_key);
        const std::uint64_t actual = found == items_.end() ? 0 : found->second.revision;
        if (number_member(body, "revision", expected) != actual)
            return respond(to, 412,
                           found == items_.end() ? "{\"items\":[]}" : "{\"items\":[" + json_of(checked_key, found->second) + "]}");
        const std::uint64_t lease = number_member(body, "lease", puts);
        if (lease != 0 && !leases_.contains(lease)) return respond(to, 404, "{}");
        write(text_member(body, "key", puts), text_member(body, "value", puts), lease);
        respond(to, 200, "{\"revision\":" + std::to_string(revision_) + "}");
    }
    void handle(connection& to, const std::string& method, const std::string& target, const std::string& body, ms now) {
        const auto is = [&](const char* path) { return target.starts_with(std::string("/tamarackshore/") + path); };
        const std::uint64_t number = std::strtoull(target.c_str() + target.rfind('/') + 1, nullptr, 10);
        if (is("kv-range")) {
            const std::string prefix = query(target, "prefix"), after = query(target, "after");
            std::string       list;
            for (const auto& [key, value] : items_) {
                if (!key.starts_with(prefix) || (!after.empty() && key <= after)) continue;
                list += (list.empty() ? "" : ",") + json_of(key, value);
            }
            return respond(to, 200,
                           "{\"items\":[" + list + "],\"has_more\":false,\"current_rev\":" + std::to_string(revision_) + "}");
        }
        if (is("kv-watch")) {
            to.watch_after = std::strtoull(query(target, "after").c_str(), nullptr, 10);
            if (to.watch_after < first_revision + dropped_ || to.watch_after > revision_) return respond(to, 410, "{}");
            to.watch_prefix = query(target, "prefix");
            to.watch_until = now + std::strtoll(query(target, "wait_ms").c_str(), nullptr, 10);
            to.is_watching = true;
            return answer_watch(to, now);
        }
        if (is("kv-txn")) return transact(to, body);
        if (is("kv-lease-end/")) {
            if (!leases_.contains(number)) return respond(to, 404, "{}");
            end_lease(number);
            return respond(to, 200, "{}");
        }
        if (is("kv-keep/")) {
            const auto found = leases_.find(number);
            if (found == leases_.end()) return respond(to, 404, "{}");
            found->second.ends_at = now + found->second.ttl;
            return respond(to, 200, "{\"ttl_ms\":" + std::to_string(found->second.ttl) + "}");
        }
        if (is("kv-lease") && method == "POST") {
            const ms ttl = std::clamp<ms>(static_cast<ms>(number_member(body, "ttl_ms", 0)), 1000, 600000);
            leases_[++last_lease_] = {ttl, now + ttl};
            return respond(to, 200,
                           "{\"lease\":" + std::to_string(last_lease_) + ",\"ttl_ms\":" + std::to_string(ttl) + "}");
        }
        respond(to, 404, "{}");
    }
    bool serve(int socket, connection& to, ms now) {
        char buffer[16384];
        for (;;) {
            const ssize_t size = ::recv(socket, buffer, sizeof buffer, 0);
            if (size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR)) return false;
            if (size < 0) break;
            to.in.append(buffer, static_cast<std::size_t>(size));
        }
        if (to.is_watching) answer_watch(to, now);
        while (!to.is_watching) {
            const std::size_t end = to.in.find("\r\n\r\n");
            if (end == std::string::npos) break;
            std::string head = to.in.substr(0, end + 2), lower = head;
            std::ranges::transform(lower, lower.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            const std::size_t at = lower.find("content-length:");
            const std::size_t length = at == std::string::npos ? 0 : std::strtoull(lower.c_str() + at + 15, nullptr, 10);
            if (to.in.size() < end + 4 + length) break;
            const std::string body = to.in.substr(end + 4, length);
            to.in.erase(0, end + 4 + length);
            std::istringstream line(head);
            std::string        method, target;
            line >> method >> target;
            handle(to, method, target, body, now);
        }
        const auto  limited = links_.find(to.peer);
        std::size_t sent = 0; // of out
        while (sent < to.out.size()) {
            std::size_t most = to.out.size() - sent;
            if (limited != links_.end()) {
                if (limited->second.budget < 1) break;
                most = std::min(most, static_cast<std::size_t>(limited->second.budget));
            }
            const ssize_t size = ::send(socket, to.out.data() + sent, most, MSG_NOSIGNAL);
            if (size < 0 && errno != EAGAIN && errno != EINTR) return false;
            if (size < 0) break;
            sent += static_cast<std::size_t>(size);
            if (limited != links_.end()) limited->second.budget -= static_cast<double>(size);
        }
        to.out.erase(0, sent);
        return true;
    }

    static constexpr std::uint64_t         first_revision = 100;
    static constexpr ms                    history = 20'000; // history_s
    std::map<int, std::uint32_t>           listeners_; // and their addresses
    std::map<int, connection>              connections_;
    std::map<std::string, item>            items_;
    std::vector<std::string>               events_;
    std::vector<ms>                        event_times_;
    std::size_t                            dropped_ = 0; // events that are no longer in the history
    std::map<std::uint32_t, link>          links_;       // by the machine's address
    std::map<std::uint64_t, lease>         leases_;
    std::uint64_t                          revision_ = first_revision, last_lease_ = 0;
};

//----------------------------------------------------------------------------------------------------------------------
// Balancers and the platform's router
//----------------------------------------------------------------------------------------------------------------------

struct host_terms {
    std::string   name, zone;
    std::uint32_t ip = 0;
    std::string   cpu_share = "0.25", link_mbps = "1000.0", memory_mb = "260"; // of the sites of the first milestone
    std::string   change_ms = "3000";                                          // config_apply_ms
    std::uint32_t store_ip = 0;                                                // 0: that of all machines
};

// One machine with tamarack-entry. The platform restarts a process that has ended.
class balancer {
public:
    balancer(host_terms terms, std::string folder, const std::string& settings)
        : terms_(std::move(terms)), folder_(std::move(folder)), settings_path_(folder_ + "/" + terms_.name + ".ini") {
        std::ofstream(settings_path_) << settings;
    }
    ~balancer() {
        if (pid_ > 0) {
            ::kill(pid_, SIGCONT);
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
        }
    }
    balancer(const balancer&) = delete;
    balancer& operator=(const balancer&) = delete;

    void start(recorder& record) {
        const std::string log = folder_ + "/" + terms_.name + ".log";
        pid_ = ::fork();
        if (pid_ < 0) cannot_run("fork");
        if (pid_ == 0) {
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
            ::setenv("TAMARACKSHORE_CONFIG", settings_path_.c_str(), 1);
            ::execl("target/tamarack-entry", "target/tamarack-entry", static_cast<char*>(nullptr));
            ::_exit(127);
        }
        record.line("%s starts, pid %d", terms_.name.c_str(), pid_);
    }
    void signal(int number, recorder& record) {
        if (pid_ <= 0) return;
        record.line("signal %d to %s, pid %d", number, terms_.name.c_str(), pid_);
        ::kill(pid_, number);
        if (number == SIGTERM || number == SIGKILL) is_expected_to_end_ = true;
    }
    // Starts an ended process again, and asks whether it is ready, twice a second.
    void step(ms now, recorder& record) {
        int status = 0;
        if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
            record.line("%s ended, wait status %d%s", terms_.name.c_str(), status,
                        is_expected_to_end_ ? "" : ", by itself");
            if (!is_expected_to_end_) ++own_ends_;
            if (WIFEXITED(status) && WEXITSTATUS(status) == 127) cannot_run("target/tamarack-entry is not built");
            is_expected_to_end_ = false;
            pid_ = -1;
            restart_at_ = now + 300;
        }
        if (pid_ < 0 && now >= restart_at_) start(record);
        check_readiness(now, record);
    }
    // Takes the machine away for good, without a sign: it answers nothing any more, and no connection to it is reset. The
    // process is stopped, since the connections of one that is killed would be reset on a loopback address.
    void remove(recorder& record) {
        signal(SIGSTOP, record);
        is_removed_ = true;
    }
    bool              is_in_rotation() const { return is_in_rotation_; }
    unsigned          own_ends() const { return own_ends_; }
    const host_terms& terms() const { return terms_; }

private:
    void note_check(bool is_ready, recorder& record) {
        if (probe_ >= 0) ::close(probe_);
        probe_ = -1;
        misses_ = is_ready ? 0 : misses_ + 1;
        const bool before = is_in_rotation_;
        if (is_ready) is_in_rotation_ = true;
        if (misses_ >= 2) is_in_rotation_ = false;
        if (before != is_in_rotation_)
            record.line("%s is %s rotation", terms_.name.c_str(), is_in_rotation_ ? "in" : "out of");
    }
    void check_readiness(ms now, recorder& record) {
        if (probe_ >= 0) {
            char buffer[512];
            if (!probe_sent_) {
                const std::string request = "GET /tamarackshore/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
                const ssize_t     size = ::send(probe_, request.data(), request.size(), MSG_NOSIGNAL);
                if (size > 0) {
                    probe_sent_ = true;
                } else if (errno != EAGAIN && errno != ENOTCONN) {
                    return note_check(false, record);
                }
            }
            const ssize_t size = ::recv(probe_, buffer, sizeof buffer, 0);
            if (size > 12) return note_check(std::memcmp(buffer + 9, "200", 3) == 0, record);
            if (size == 0 || (size < 0 && errno != EAGAIN && errno != ENOTCONN)) return note_check(false, record);
            if (now >= next_check_ - 50) note_check(false, record);
        }
        if (now < next_check_) return;
        next_check_ = now + 500;
        probe_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        probe_sent_ = false;
        const auto address = address_of(terms_.ip, ready_port);
        if (::connect(probe_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 && errno != EINPROGRESS)
            note_check(false, record);
    }

    host_terms  terms_;
    std::string folder_, settings_path_;
    pid_t       pid_ = -1;
    ms          restart_at_ = 0, next_check_ = 0;
    int         probe_ = -1;
    bool        probe_sent_ = false, is_in_rotation_ = false, is_expected_to_end_ = false, is_removed_ = false;
    unsigned    misses_ = 0, own_ends_ = 0;
};

// platform/entry.ini.in, filled in with the fields of a small deployment.
inline std::string fill_in_settings(const host_terms& host, std::uint32_t base, const std::vector<std::string>& zones) {
    std::ifstream     file("platform/entry.ini.in");
    std::stringstream text;
    text << file.rdbuf();
    std::string out = text.str();
    if (out.empty()) cannot_run("platform/entry.ini.in is missing; start the script in the repository");
    std::string regions;
    for (const auto& zone : zones)
        regions += (regions.empty() ? "" : ",") + zone + ":marmara";
    std::string seeds;
    for (std::uint32_t i = 1; i <= 3; ++i)
        seeds += (i == 1 ? "" : ",") + text_of(base | 0x200U | i) + ":" + std::to_string(control_port);
    const auto at = [&](std::uint16_t port) { return text_of(host.ip) + ":" + std::to_string(port); };
    const std::map<std::string, std::string> values = {
        {"node_name", host.name},
        {"zone", host.zone},
        {"listen.datagram_addr", at(datagram_port)},
        {"listen.ready_addr", at(ready_port)},
        {"ip", text_of(host.ip)},
        {"internal_ports.0", std::to_string(internal_port)},
        {"seeds", seeds},
        {"bounds.grace_s", "6"},
        {"limits.cpu_share", host.cpu_share},
        {"limits.link_mbps", host.link_mbps},
        {"limits.memory_mb", host.memory_mb},
        {"platform.address", text_of(host.store_ip == 0 ? base | 1U : host.store_ip) + ":" + std::to_string(store_port)},
        {"bootstrap", "true"},
        {"bounds.config_apply_ms", host.change_ms},
    };
    for (std::size_t start = 0; (start = out.find("{{", start)) != std::string::npos;) {
        const std::size_t end = out.find("}}", start);
        const std::string name = out.substr(start + 2, end - start - 2);
        if (!name.starts_with("#")) {
            const auto found = values.find(name);
            out.replace(start, end + 2 - start, found == values.end() ? "" : found->second);
            continue;
        }
        const std::string closing = "{{/" + name.substr(1) + "}}";
        const std::size_t stop = out.find(closing, end);
        std::string       content = out.substr(end + 2, stop - end - 2);
        const auto        found = values.find(name.substr(1));
        if (name == "#zones") {
            content = regions;
        } else if (found == values.end()) {
            content.clear();
        } else if (const auto dot = content.find("{{.}}"); dot != std::string::npos) {
            content.replace(dot, 5, found->second);
        }
        out.replace(start, stop + closing.size() - start, content);
    }
    return out;
}

//----------------------------------------------------------------------------------------------------------------------
// Targets
//----------------------------------------------------------------------------------------------------------------------

struct target_terms {
    std::string   id, service, zone;
    std::uint64_t identity = 0;
    std::uint32_t ip = 0;
    std::size_t   slots = 3, queue = 8;
    ms            work = 30;
};

class target {
public:
    struct flow {
        std::uint32_t peer = 0, route = 0;
        std::uint16_t peer_port = 0, route_port = 0;
        std::uint32_t first_seq = 0, next_seq = 0, peer_first = 0, peer_next = 0, echo = 0;
        bool          is_open = false, is_ended = false;
        std::string   unacknowledged; // data from sent_seq, or the SYN+ACK if the flow is not open
        std::uint32_t sent_seq = 0;
        ms            resend_at = 0;
        unsigned      resent = 0;
    };
    using arrival_hook = std::function<void(const target&, const packet&, const flow*, std::uint32_t balancer, bool is_taken)>;
    using send_hook = std::function<bool(const target&, const packet&)>; // false: the network loses the packet

    target(target_terms terms, std::uint32_t client_ip, recorder& record)
        : terms_(std::move(terms)), client_ip_(client_ip), record_(record) {
        handle_ = open_udp(terms_.ip, target_port);
        if (handle_ < 0) cannot_run("the address of " + terms_.id + " is taken");
    }
    const target_terms& terms() const { return terms_; }
    int                 handle() const { return handle_; }
    bool                is_full() const { return running_.size() + waiting_.size() >= terms_.slots + terms_.queue; }
    const std::map<std::uint16_t, flow>& flows() const { return flows_; }
    arrival_hook on_arrival;
    send_hook    on_send;
    bool         is_draining = false; // it still accepts flows

    std::string registration(const std::string& state, ms born) {
        return "{\"service\":\"" + terms_.service + "\",\"address\":\"" + text_of(terms_.ip) + ":" +
               std::to_string(target_port) + "\",\"zone\":\"" + terms_.zone +
               "\",\"version\":\"v1\",\"capacity\":" + std::to_string(terms_.slots) + ",\"state\":\"" + state +
               "\",\"warmup_left_ms\":0,\"sequence\":" + std::to_string(++sequence_) +
               ",\"born\":" + std::to_string(born) + "}";
    }

    void step(ms now) {
        char        buffer[2048];
        sockaddr_in from{};
        socklen_t   size = sizeof from;
        for (ssize_t length; (length = ::recvfrom(handle_, buffer, sizeof buffer, 0,
                                                  reinterpret_cast<sockaddr*>(&from), &size)) > 8;) {
            std::uint64_t identity = 0;
            for (int i = 0; i < 8; ++i)
                identity = identity << 8 | static_cast<unsigned char>(buffer[i]);
            const auto received = packet::decode(std::string(buffer + 8, static_cast<std::size_t>(length) - 8));
            if (received && (identity == 0 || identity == terms_.identity))
                handle(*received, ntohl(from.sin_addr.s_addr), now);
        }
        while (!running_.empty() && now >= running_.begin()->first) {
            const auto [port, id] = running_.begin()->second;
            running_.erase(running_.begin());
            answer(port, id, now);
        }
        while (running_.size() < terms_.slots && !waiting_.empty()) {
            begin(waiting_.front().first, waiting_.front().second, now);
            waiting_.pop_front();
        }
        for (auto& [port, each] : flows_)
            if (each.resend_at != 0 && now >= each.resend_at) resend(each, now);
    }

private:
    void send(flow& to, std::uint8_t flags, std::uint32_t seq, const std::string& data) {
        const packet out{seq,     to.peer_next, to.echo, to.route_port, to.route,
                         to.peer_port, to.peer, 0x5eed,  flags,         data};
        if (on_send && !on_send(*this, out)) return;
        const std::string bytes = out.encode();
        const auto        address = address_of(to.peer, datagram_port);
        ::sendto(handle_, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    }
    void reset(const packet& received) {
        flow unknown;
        unknown.peer = received.src, unknown.route = received.dst, unknown.peer_port = received.sport;
        unknown.route_port = received.dport, unknown.peer_next = received.seq, unknown.echo = received.echo;
        send(unknown, rst_flag, received.ack, "");
    }
    void resend(flow& to, ms now) {
        if (to.resent >= 8) { // gives up
            to.resend_at = 0;
            to.is_ended = true;
            return;
        }
        ++to.resent;
        to.resend_at = now + retransmission_delay(to.resent);
        if (!to.is_open) {
            record_.line("%s sends its SYN+ACK to port %u again", terms_.id.c_str(), to.peer_port);
            send(to, syn_flag | ack_flag, to.first_seq, "");
        } else {
            send(to, ack_flag, to.sent_seq, to.unacknowledged);
        }
    }
    void handle(const packet& received, std::uint32_t balancer, ms now) {
        auto found = flows_.find(received.sport);
        if ((received.flags & syn_flag) != 0) {
            const bool is_copy = found != flows_.end() && found->second.peer_first == received.seq;
            const bool is_taken = is_copy ? !found->second.is_ended : !is_full();
            if (on_arrival) on_arrival(*this, received, found == flows_.end() ? nullptr : &found->second, balancer, is_taken && !is_copy);
            if (!is_taken || (is_copy && found->second.is_open)) return;
            if (!is_copy) {
                const auto first = static_cast<std::uint32_t>(random_());
                flow& made = flows_[received.sport] = flow{};
                made.peer = received.src, made.route = received.dst, made.peer_port = received.sport;
                made.route_port = received.dport, made.first_seq = first, made.next_seq = first + 1;
                made.peer_first = received.seq, made.peer_next = received.seq + 1, made.resend_at = now + 200;
                found = flows_.find(received.sport);
            }
            found->second.echo = received.echo;
            return send(found->second, syn_flag | ack_flag, found->second.first_seq, "");
        }
        flow* held = found == flows_.end() || found->second.is_ended ? nullptr : &found->second;
        if (on_arrival) on_arrival(*this, received, held, balancer, false);
        if ((received.flags & rst_flag) != 0) {
            if (held != nullptr) held->is_ended = true, held->resend_at = 0;
            return;
        }
        if (held == nullptr) {
            if ((received.flags & fin_flag) == 0) reset(received);
            return;
        }
        if (!held->is_open) {
            // Acknowledges the SYN+ACK of another target: the flow is not open here.
            if (received.ack != held->first_seq + 1) return;
            held->is_open = true;
            held->resend_at = 0;
            record_.line("flow of port %u opens at %s", received.sport, terms_.id.c_str());
        }
        held->echo = received.echo;
        if (held->resend_at != 0 && received.ack == held->next_seq) {
            held->resend_at = 0;
            held->unacknowledged.clear();
        }
        if (received.data.empty()) return;
        if (received.seq != held->peer_next) return; // a copy; the answer is sent again by its timer
        held->peer_next += static_cast<std::uint32_t>(received.data.size());
        const std::size_t at = received.data.find("Attempt-Id: ") + 12;
        const std::string id = received.data.substr(at, received.data.find('\r', at) - at);
        if (running_.size() < terms_.slots) {
            begin(received.sport, id, now);
        } else {
            waiting_.emplace_back(received.sport, id);
        }
    }
    void begin(std::uint16_t port, const std::string& id, ms now) {
        record_.line("%s runs request %s", terms_.id.c_str(), id.c_str());
        runs.emplace_back(id, now);
        running_.emplace(now + terms_.work, std::pair(port, id));
    }
    void answer(std::uint16_t port, const std::string& id, ms now) {
        flow& to = flows_.at(port);
        if (to.is_ended) return;
        const std::string body = "done " + id;
        to.unacknowledged = "HTTP/1.1 200 OK\r\nInstance-Id: " + terms_.id +
                            "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        to.sent_seq = to.next_seq;
        to.next_seq += static_cast<std::uint32_t>(to.unacknowledged.size());
        to.resent = 0;
        to.resend_at = now + 200;
        send(to, ack_flag, to.sent_seq, to.unacknowledged);
    }

    target_terms                                              terms_;
    std::uint32_t                                             client_ip_;
    recorder&                                                 record_;
    int                                                       handle_ = -1;
    std::map<std::uint16_t, flow>                             flows_; // by the client's port
    std::multimap<ms, std::pair<std::uint16_t, std::string>>  running_;
    std::deque<std::pair<std::uint16_t, std::string>>         waiting_;
    std::mt19937                                              random_{std::random_device{}()};
    std::uint64_t                                             sequence_ = 0;

public:
    std::vector<std::pair<std::string, ms>> runs; // id and start
};

//----------------------------------------------------------------------------------------------------------------------
// Clients
//----------------------------------------------------------------------------------------------------------------------

struct client_flow {
    enum class state { opening, open, closed };
    std::uint16_t        port = 0;
    std::uint32_t        route = 0;
    std::uint32_t        first_seq = 0, next_seq = 0, acknowledged = 0, peer_next = 0, echo = 0;
    state                current = state::opening;
    ms                   opened_at = 0; // first SYN
    unsigned             syns_sent = 0;
    std::vector<ms>      syn_times;
    std::string          peer_id;       // target of the SYN+ACK that it took
    std::string          pending;       // request in flight
    std::string          pending_id;
    ms                   pending_since = 0, resend_at = 0, next_request_at = 0;
    unsigned             resent = 0;
    unsigned             requests_left = 1;
    std::string          ended_by;
};

} // namespace world
