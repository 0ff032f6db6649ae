// Stand-in for the platform's metadata store (PROTOCOL.md): HTTP/1.1 with items, watches, transactions and leases. Each
// machine has an address of its own to reach it by, so that one machine can be partitioned from the store.
#pragma once

#include "base.hh"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <netinet/tcp.h>
#include <poll.h>
#include <rapidjson/document.h>
#include <sys/socket.h>
#include <thread>

namespace rv {

inline std::string base64(std::string_view bytes) {
    static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string           text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = (group << 8U) | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? digits[(group >> (18 - 6 * j)) & 63U] : '=';
    }
    return text;
}

inline std::string unbase64(std::string_view text) {
    std::string   bytes;
    std::uint32_t group = 0;
    unsigned      bits = 0;
    for (const char c : text) {
        const int value = c >= 'A' && c <= 'Z'   ? c - 'A'
                          : c >= 'a' && c <= 'z' ? c - 'a' + 26
                          : c >= '0' && c <= '9' ? c - '0' + 52
                          : c == '+'             ? 62
                          : c == '/'             ? 63
                                                 : -1;
        if (value < 0) continue;
        group = (group << 6U) | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>((group >> bits) & 255U);
        }
    }
    return bytes;
}

class store {
public:
    struct item {
        std::string   value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    // What a copy of the store holds.
    struct content {
        std::map<std::string, item> items;
        std::uint64_t               revision = 1;
    };

    explicit store(run_record& record) : record_(record) {}

    // Machines reach the store at this address. Returns false if the address is in use.
    bool listen(unsigned machine, std::uint32_t address, std::uint16_t port) {
        const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto where = socket_address(address, port);
        if (::bind(handle, reinterpret_cast<sockaddr*>(&where), sizeof where) != 0 || ::listen(handle, 64) != 0)
            return false;
        std::thread([this, handle, machine] { accept_connections(handle, machine); }).detach();
        return true;
    }

    //------------------------------------------------------------------------------------------------------------------
    // The operator, the targets and the disruptions
    //------------------------------------------------------------------------------------------------------------------

    std::uint64_t put(const std::string& key, const std::string& value) {
        const std::lock_guard lock(mutex_);
        return put_locked(key, value, 0);
    }
    void remove(const std::string& key) {
        const std::lock_guard lock(mutex_);
        remove_locked(key);
    }
    std::optional<std::string> value_of(const std::string& key) {
        const std::lock_guard lock(mutex_);
        const auto            found = content_.items.find(key);
        return found == content_.items.end() ? std::nullopt : std::optional(found->second.value);
    }
    bool is_away() const { return is_away_; }
    // The store answers nothing until it is back.
    void go_away() { is_away_ = true; }
    void come_back() {
        is_away_ = false;
        changed_.notify_all();
    }
    content copy() {
        const std::lock_guard lock(mutex_);
        return content_;
    }
    // Comes back from a copy: changes since then and all leases are gone, and the era rises.
    void restore(const content& from) {
        {
            const std::lock_guard lock(mutex_);
            content_ = from;
            history_.clear();
            dropped_ = content_.revision;
            leases_.clear();
            ++era_;
            record_.line("store: back from a copy, era %llu, revision %llu", static_cast<unsigned long long>(era_),
                         static_cast<unsigned long long>(content_.revision));
        }
        come_back();
    }
    void cut(unsigned machine, bool is_cut) {
        {
            const std::lock_guard lock(mutex_);
            is_cut ? void(cut_.insert({machine, true})) : void(cut_.erase(machine));
        }
        changed_.notify_all();
    }

private:
    static constexpr std::size_t page_items = 500;
    static constexpr std::size_t page_bytes = 1'048'576;

    struct event {
        std::string         key;
        std::uint64_t       revision;
        std::optional<item> state; // nullopt: removed
    };

    std::uint64_t put_locked(const std::string& key, const std::string& value, std::uint64_t lease) {
        item& stored = content_.items[key];
        stored = {value, ++content_.revision, stored.created == 0 ? content_.revision : stored.created, lease};
        history_.push_back({key, content_.revision, stored});
        changed_.notify_all();
        return content_.revision;
    }
    void remove_locked(const std::string& key) {
        if (content_.items.erase(key) == 0) return;
        history_.push_back({key, ++content_.revision, std::nullopt});
        changed_.notify_all();
    }
    void expire_leases() {
        for (auto lease = leases_.begin(); lease != leases_.end();) {
            if (now() < lease->second.second) {
                ++lease;
                continue;
            }
            const std::uint64_t id = lease->first;
            lease = leases_.erase(lease);
            end_lease(id);
        }
    }
    void end_lease(std::uint64_t id) {
        std::vector<std::string> keys;
        for (const auto& [key, stored] : content_.items) {
            if (stored.lease == id) keys.push_back(key);
        }
        for (const std::string& key : keys)
            remove_locked(key);
    }

    //------------------------------------------------------------------------------------------------------------------
    // HTTP
    //------------------------------------------------------------------------------------------------------------------

    void accept_connections(int listener, unsigned machine) {
        for (;;) {
            const int handle = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (handle < 0) continue;
            const int on = 1;
            ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, handle, machine] {
                serve(handle, machine);
                ::close(handle);
            }).detach();
        }
    }

    bool is_reachable(unsigned machine) { return !is_away_ && !cut_.contains(machine); }

    void serve(int handle, unsigned machine) {
        std::string buffer;
        for (;;) {
            std::size_t head_end = 0;
            while ((head_end = buffer.find("\r\n\r\n")) == std::string::npos) {
                if (!receive(handle, buffer)) return;
            }
            std::size_t length = 0;
            const auto  field = buffer.find("Content-Length: ");
            if (field != std::string::npos && field < head_end) length = std::strtoul(&buffer[field + 16], nullptr, 10);
            while (buffer.size() < head_end + 4 + length) {
                if (!receive(handle, buffer)) return;
            }
            const std::string head = buffer.substr(0, head_end);
            const std::string body = buffer.substr(head_end + 4, length);
            buffer.erase(0, head_end + 4 + length);
            const std::size_t first = head.find(' ');
            const std::string target = head.substr(first + 1, head.find(' ', first + 1) - first - 1);
            if (!answer(handle, machine, head.substr(0, first), target, body)) return;
        }
    }
    static bool receive(int handle, std::string& buffer) {
        char          bytes[65536];
        const ssize_t size = ::recv(handle, bytes, sizeof bytes, 0);
        if (size <= 0) return false;
        buffer.append(bytes, static_cast<std::size_t>(size));
        return true;
    }
    // The peer has closed the connection.
    static bool is_closed(int handle) {
        char byte = 0;
        return ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }

    static std::string parameter(const std::string& target, const std::string& name) {
        std::size_t at = target.find("?" + name + "=");
        if (at == std::string::npos) at = target.find("&" + name + "=");
        if (at == std::string::npos) return {};
        const std::string text = target.substr(at + name.size() + 2, target.find('&', at + 1) - at - name.size() - 2);
        std::string       decoded;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                decoded += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else {
                decoded += text[i];
            }
        }
        return decoded;
    }

    std::string json_of(const std::string& key, const item& stored) const {
        return "{\"key\":\"" + key + "\",\"value\":\"" + base64(stored.value) +
               "\",\"revision\":" + std::to_string(stored.revision) + ",\"created\":" + std::to_string(stored.created) +
               ",\"lease\":" + std::to_string(stored.lease) + "}";
    }

    // Returns false if the connection is lost.
    bool answer(int handle, unsigned machine, const std::string& method, const std::string& target,
                const std::string& body) {
        std::unique_lock lock(mutex_);
        if (!wait_until_reachable(lock, handle, machine)) return false;
        int         status = 200;
        std::string text;
        if (target.find("/tamarackshore/kv-watch") == 0) {
            if (!watch(lock, handle, machine, target, status, text)) return false;
        } else {
            expire_leases();
            call(method, target, body, status, text);
        }
        const std::string era = std::to_string(era_);
        lock.unlock();
        const std::string response = "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\n" +
                                     "Store-Era: " + era + "\r\nContent-Length: " + std::to_string(text.size()) +
                                     "\r\n\r\n" + text;
        return ::send(handle, response.data(), response.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(response.size());
    }
    // While the store is away, or the machine is cut off, a call is held and gets no answer; a call that was held is
    // lost.
    bool wait_until_reachable(std::unique_lock<std::mutex>& lock, int handle, unsigned machine) {
        if (is_reachable(machine)) return true;
        while (!is_reachable(machine) && !is_closed(handle))
            changed_.wait_for(lock, std::chrono::milliseconds(50));
        return false;
    }
    bool watch(std::unique_lock<std::mutex>& lock, int handle, unsigned machine, const std::string& target, int& status,
               std::string& text) {
        const std::string prefix = parameter(target, "prefix");
        const auto        after = std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
        const double      deadline = now() + std::strtod(parameter(target, "wait_ms").c_str(), nullptr) / 1000.0;
        const auto        era = era_;
        for (;;) {
            if (!is_reachable(machine)) return wait_until_reachable(lock, handle, machine);
            expire_leases();
            if (era != era_) return false; // the store was away: a watch that was waiting is cut
            if (after < dropped_ || after > content_.revision) {
                status = 410;
                text = "{}";
                return true;
            }
            std::string events;
            for (const event& each : history_) {
                if (each.revision <= after || each.key.rfind(prefix, 0) != 0) continue;
                events += events.empty() ? "" : ",";
                events += each.state ? json_of(each.key, *each.state)
                                     : "{\"key\":\"" + each.key + "\",\"revision\":" + std::to_string(each.revision) +
                                           ",\"tombstone\":true}";
            }
            if (!events.empty() || now() >= deadline) {
                text = "{\"events\":[" + events + "],\"current_rev\":" + std::to_string(content_.revision) + "}";
                return true;
            }
            if (is_closed(handle)) return false;
            changed_.wait_for(lock, std::chrono::milliseconds(20));
        }
    }
    void call(const std::string& method, const std::string& target, const std::string& body, int& status,
              std::string& text) {
        const std::string revision_text = ",\"current_rev\":" + std::to_string(content_.revision) + "}";
        if (target.find("/tamarackshore/kv-range") == 0) {
            const std::string prefix = parameter(target, "prefix");
            const std::string after = parameter(target, "after");
            std::string       items;
            std::size_t       count = 0;
            bool              has_more = false;
            for (const auto& [key, stored] : content_.items) {
                if (key.rfind(prefix, 0) != 0 || (!after.empty() && key <= after)) continue;
                has_more = count >= page_items || (count > 0 && items.size() + stored.value.size() > page_bytes);
                if (has_more) break;
                items += (items.empty() ? "" : ",") + json_of(key, stored);
                ++count;
            }
            text = "{\"items\":[" + items + "],\"has_more\":" + (has_more ? "true" : "false") + revision_text;
        } else if (target.find("/tamarackshore/kv-key") == 0) {
            const auto found = content_.items.find(parameter(target, "key"));
            status = found == content_.items.end() ? 404 : 200;
            text = "{}";
            if (status == 200) {
                text = json_of(found->first, found->second);
                text.pop_back();
                text += revision_text;
            }
        } else if (target.find("/tamarackshore/kv-keep/") == 0) {
            const auto found = leases_.find(last_number(target));
            status = found == leases_.end() ? 404 : 200;
            if (status == 200) found->second.second = now() + found->second.first;
            text = status == 200 ? "{\"ttl_ms\":" + std::to_string(int(found->second.first * 1000)) + "}" : "{}";
        } else if (target.find("/tamarackshore/kv-lease-end/") == 0 && method == "DELETE") {
            status = leases_.erase(last_number(target)) == 0 ? 404 : 200;
            if (status == 200) end_lease(last_number(target));
            text = "{}";
        } else {
            write(target, body, status, text);
        }
    }
    static std::uint64_t last_number(const std::string& target) {
        return std::strtoull(target.c_str() + target.rfind('/') + 1, nullptr, 10);
    }
    void write(const std::string& target, const std::string& body, int& status, std::string& text) {
        rapidjson::Document document;
        document.Parse(body.data(), body.size());
        text = "{}";
        if (document.HasParseError() || !document.IsObject()) return void(status = 400);
        if (target == "/tamarackshore/kv-lease") {
            const double time_to_live = document["ttl_ms"].GetDouble() / 1000.0;
            leases_[++last_lease_] = {time_to_live, now() + time_to_live};
            text = "{\"lease\":" + std::to_string(last_lease_) +
                   ",\"ttl_ms\":" + std::to_string(int(time_to_live * 1000)) + "}";
            return;
        }
        if (target != "/tamarackshore/kv-txn") return void(status = 404);
        std::string states;
        bool        holds = true;
        for (const auto& row : document["expected_rev"].GetArray()) {
            const std::string key = row["key"].GetString();
            const auto        found = content_.items.find(key);
            const auto        revision = found == content_.items.end() ? 0 : found->second.revision;
            holds = holds && revision == row["revision"].GetUint64();
            if (found != content_.items.end()) states += (states.empty() ? "" : ",") + json_of(key, found->second);
        }
        if (!holds) {
            status = 412;
            text = "{\"items\":[" + states + "]}";
            return;
        }
        for (const auto& row : document["puts"].GetArray()) {
            const std::uint64_t lease = row["lease"].GetUint64();
            if (lease != 0 && !leases_.contains(lease)) return void(status = 404);
            const std::string key = row["key"].GetString();
            if (key.rfind("op/", 0) == 0 || key.rfind("servers/", 0) == 0) return void(status = 403);
        }
        for (const auto& row : document["puts"].GetArray())
            put_locked(row["key"].GetString(), unbase64(row["value"].GetString()), row["lease"].GetUint64());
        for (const auto& key : document["remove"].GetArray())
            remove_locked(key.GetString());
        text = "{\"revision\":" + std::to_string(content_.revision) + "}";
    }

    run_record&                                        record_;
    std::mutex                                         mutex_;
    std::condition_variable                            changed_;
    content                                            content_;
    std::deque<event>                                  history_;
    std::uint64_t                                      dropped_ = 0; // the history holds no event up to this revision
    std::uint64_t                                      era_ = 1;
    std::map<std::uint64_t, std::pair<double, double>> leases_; // time to live and end, by id
    std::uint64_t                                      last_lease_ = 70'000;
    std::map<unsigned, bool>                           cut_; // machines that are partitioned from the store
    std::atomic<bool>                                  is_away_ = false;
};

} // namespace rv
