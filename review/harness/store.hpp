// Stand-in for the platform's store, as PROTOCOL.md describes it: items with revisions, leases, paged ranges, watches
// and transactions over HTTP/1.1. It answers each call after 4 ms and has no faults of its own.
#pragma once

#include "base.hpp"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace review {

class store {
public:
    static constexpr ms          answer_time = 4;
    static constexpr std::size_t page_items = 500;
    static constexpr std::size_t page_bytes = 1'000'000;
    static constexpr std::size_t value_limit = 1'048'576; // bytes, value_bytes of the settings

    explicit store(event_loop& loop) : loop_(loop) {
        loop_.on_tick([this] { tick(); });
    }

    // Each machine reaches the store at an address of its own, which tells whose calls they are.
    void listen(const endpoint& address) {
        const int listener = open_socket(SOCK_STREAM, address);
        if (::listen(listener, 256) != 0) cannot_run("cannot listen on " + address.text());
        loop_.watch(listener, POLLIN, [this, listener, address](short) { accept(listener, address); });
    }

    // A write by the operator, a target or another writer. The returned revision is the store's ack.
    std::uint64_t put(const std::string& key, const std::string& value, std::uint64_t lease = 0) {
        if (key.size() > 200 || value.size() > value_limit) cannot_run("the store refuses " + key);
        auto& item = items_[key];
        if (item.revision == 0) item.created = revision_ + 1;
        item.value = value;
        item.revision = ++revision_;
        item.lease = lease;
        history_.push_back({key, revision_, value, item.created, lease});
        return revision_;
    }
    void remove(const std::string& key) {
        if (items_.erase(key) == 0) return;
        history_.push_back({key, ++revision_, std::nullopt, 0, 0});
    }
    std::optional<std::string> value_of(const std::string& key) const {
        const auto found = items_.find(key);
        return found == items_.end() ? std::nullopt : std::optional(found->second.value);
    }
    // Time of the last answer to a watch at this address of the store; -1: none.
    ms last_watch_answer_at(const endpoint& address) const {
        const auto found = watch_answers_.find(address);
        return found == watch_answers_.end() ? -1 : found->second;
    }

private:
    struct item {
        std::string   value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct event {
        std::string                key;
        std::uint64_t              revision = 0;
        std::optional<std::string> value;
        std::uint64_t              created = 0;
        std::uint64_t              lease = 0;
    };
    struct lease {
        ms time_to_live = 0;
        ms expires_at = 0;
    };
    struct waiting_watch {
        std::string   prefix;
        std::uint64_t after = 0;
        ms            due_at = 0;
    };
    struct connection {
        int                          handle = -1;
        endpoint                     address; // of the store
        std::string                  input;
        std::string                  output;
        ms                           output_due_at = 0;
        std::optional<waiting_watch> watch;
        bool                         is_busy = false; // a call has not been answered yet
    };

    void accept(int listener, const endpoint& address) {
        const int handle = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (handle < 0) return;
        const int on = 1;
        ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        connections_[handle] = {.handle = handle, .address = address};
        loop_.watch(handle, POLLIN, [this, handle](short) { receive(handle); });
    }

    void close(int handle) {
        loop_.forget(handle);
        ::close(handle);
        connections_.erase(handle);
    }

    void receive(int handle) {
        char          bytes[65'536];
        const ssize_t size = ::recv(handle, bytes, sizeof bytes, 0);
        if (size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR)) return close(handle);
        if (size > 0) connections_[handle].input.append(bytes, static_cast<std::size_t>(size));
        handle_input(connections_[handle]);
    }

    void handle_input(connection& caller) {
        if (caller.is_busy) return;
        const std::size_t head_end = caller.input.find("\r\n\r\n");
        if (head_end == std::string::npos) return;
        std::istringstream head(caller.input.substr(0, head_end));
        std::string        method;
        std::string        target;
        std::string        line;
        head >> method >> target;
        std::size_t body_size = 0;
        while (std::getline(head, line)) {
            if (::strncasecmp(line.c_str(), "content-length:", 15) == 0) body_size = std::stoul(line.substr(15));
        }
        if (caller.input.size() < head_end + 4 + body_size) return;
        const std::string body = caller.input.substr(head_end + 4, body_size);
        caller.input.erase(0, head_end + 4 + body_size);
        caller.is_busy = true;
        handle_call(caller, method, target, body);
    }

    static std::string parameter(const std::string& target, const std::string& name) {
        const std::size_t query = target.find('?');
        if (query == std::string::npos) return {};
        std::istringstream parts(target.substr(query + 1));
        std::string        part;
        while (std::getline(parts, part, '&')) {
            if (!part.starts_with(name + "=")) continue;
            std::string decoded;
            for (std::size_t i = name.size() + 1; i < part.size(); ++i) {
                if (part[i] == '%' && i + 2 < part.size()) {
                    decoded += static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16));
                    i += 2;
                } else {
                    decoded += part[i];
                }
            }
            return decoded;
        }
        return {};
    }

    static std::uint64_t number(const std::string& text) { return text.empty() ? 0 : std::stoull(text); }

    void handle_call(connection& caller, const std::string& method, const std::string& target,
                     const std::string& body) {
        const std::string path = target.substr(0, target.find('?'));
        const auto        is = [&](std::string_view name) { return path == "/tamarackshore/" + std::string(name); };
        if (method == "GET" && is("kv-range"))
            return range(caller, parameter(target, "prefix"), parameter(target, "after"));
        if (method == "GET" && is("kv-watch")) {
            caller.watch = {parameter(target, "prefix"), number(parameter(target, "after")),
                            now() + static_cast<ms>(number(parameter(target, "wait_ms")))};
            return;
        }
        if (method == "POST" && is("kv-txn")) return transact(caller, body);
        if (method == "POST" && is("kv-lease")) return grant(caller, body);
        const std::uint64_t id =
            path.rfind('/') == std::string::npos ? 0 : std::strtoull(path.c_str() + path.rfind('/') + 1, nullptr, 10);
        if (method == "POST" && path.starts_with("/tamarackshore/kv-keep/")) {
            const auto found = leases_.find(id);
            if (found == leases_.end()) return answer(caller, 404, "{}");
            found->second.expires_at = now() + found->second.time_to_live;
            return answer(caller, 200, "{}");
        }
        if (method == "DELETE" && path.starts_with("/tamarackshore/kv-lease-end/")) {
            if (!leases_.contains(id)) return answer(caller, 404, "{}");
            end_lease(id);
            return answer(caller, 200, "{}");
        }
        answer(caller, 404, "{}");
    }

    using writer = rapidjson::Writer<rapidjson::StringBuffer>;

    static std::string base64(const std::string& bytes) {
        static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string           text;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            std::uint32_t     group = 0;
            const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
            for (std::size_t j = 0; j < 3; ++j)
                group = group << 8 | (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U);
            for (std::size_t j = 0; j < 4; ++j)
                text += j <= count ? digits[(group >> (18 - 6 * j)) & 63] : '=';
        }
        return text;
    }

    static std::string from_base64(std::string_view text) {
        std::string   bytes;
        std::uint32_t group = 0;
        int           bits = 0;
        for (const char character : text) {
            int digit = -1;
            if (character >= 'A' && character <= 'Z') digit = character - 'A';
            if (character >= 'a' && character <= 'z') digit = character - 'a' + 26;
            if (character >= '0' && character <= '9') digit = character - '0' + 52;
            if (character == '+') digit = 62;
            if (character == '/') digit = 63;
            if (digit < 0) continue;
            group = group << 6 | static_cast<std::uint32_t>(digit);
            bits += 6;
            if (bits < 8) continue;
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255);
        }
        return bytes;
    }

    static void write_item(writer& out, const std::string& key, const std::string& value, std::uint64_t revision,
                           std::uint64_t created, std::uint64_t lease_id) {
        out.StartObject();
        out.Key("key");
        out.String(key.data(), static_cast<rapidjson::SizeType>(key.size()));
        out.Key("value");
        const std::string encoded = base64(value);
        out.String(encoded.data(), static_cast<rapidjson::SizeType>(encoded.size()));
        out.Key("revision");
        out.Uint64(revision);
        out.Key("created");
        out.Uint64(created);
        out.Key("lease");
        out.Uint64(lease_id);
        out.EndObject();
    }

    void range(connection& caller, const std::string& prefix, const std::string& after) {
        rapidjson::StringBuffer buffer;
        writer                  out(buffer);
        std::size_t             count = 0;
        std::size_t             bytes = 0;
        bool                    has_more = false;
        out.StartObject();
        out.Key("items");
        out.StartArray();
        for (auto each = items_.lower_bound(std::max(prefix, after)); each != items_.end(); ++each) {
            if (!each->first.starts_with(prefix)) break;
            if (each->first <= after) continue;
            if (count == page_items || (count > 0 && bytes + each->second.value.size() > page_bytes)) {
                has_more = true;
                break;
            }
            write_item(out, each->first, each->second.value, each->second.revision, each->second.created,
                       each->second.lease);
            ++count;
            bytes += each->second.value.size();
        }
        out.EndArray();
        out.Key("has_more");
        out.Bool(has_more);
        out.Key("current_rev");
        out.Uint64(revision_);
        out.EndObject();
        answer(caller, 200, buffer.GetString());
    }

    void answer_watch(connection& caller) {
        const waiting_watch     watch = *caller.watch;
        rapidjson::StringBuffer buffer;
        writer                  out(buffer);
        out.StartObject();
        out.Key("events");
        out.StartArray();
        for (const event& each : history_) {
            if (each.revision <= watch.after || !each.key.starts_with(watch.prefix)) continue;
            if (each.value) {
                write_item(out, each.key, *each.value, each.revision, each.created, each.lease);
                continue;
            }
            out.StartObject();
            out.Key("key");
            out.String(each.key.c_str());
            out.Key("revision");
            out.Uint64(each.revision);
            out.Key("tombstone");
            out.Bool(true);
            out.EndObject();
        }
        out.EndArray();
        out.Key("current_rev");
        out.Uint64(revision_);
        out.EndObject();
        caller.watch.reset();
        watch_answers_[caller.address] = now();
        answer(caller, 200, buffer.GetString());
    }

    bool has_event_after(const waiting_watch& watch) const {
        for (auto each = history_.rbegin(); each != history_.rend() && each->revision > watch.after; ++each) {
            if (each->key.starts_with(watch.prefix)) return true;
        }
        return false;
    }

    void grant(connection& caller, const std::string& body) {
        rapidjson::Document call;
        call.Parse<rapidjson::kParseIterativeFlag>(body.c_str());
        if (call.HasParseError() || !call.IsObject() || !call.HasMember("ttl_ms")) return answer(caller, 400, "{}");
        const ms time_to_live = std::max<ms>(1'000, call["ttl_ms"].GetInt64());
        leases_[++last_lease_] = {time_to_live, now() + time_to_live};
        answer(caller, 200,
               "{\"lease\":" + std::to_string(last_lease_) + ",\"ttl_ms\":" + std::to_string(time_to_live) + "}");
    }

    void transact(connection& caller, const std::string& body) {
        rapidjson::Document call;
        call.Parse<rapidjson::kParseIterativeFlag>(body.c_str());
        if (call.HasParseError() || !call.IsObject()) return answer(caller, 400, "{}");
        const auto is_forbidden = [](std::string_view key) {
            return key.starts_with("op/") || key.starts_with("servers/");
        };
        bool is_met = true;
        if (call.HasMember("expected_rev")) {
            for (const auto& row : call["expected_rev"].GetArray()) {
                const auto          found = items_.find(row["key"].GetString());
                const std::uint64_t current = found == items_.end() ? 0 : found->second.revision;
                is_met = is_met && current == row["revision"].GetUint64();
            }
        }
        if (!is_met) return answer(caller, 412, "{\"items\":[]}");
        for (const auto& row : call["puts"].GetArray()) {
            if (is_forbidden(row["key"].GetString())) return answer(caller, 403, "{}");
            const std::uint64_t id = row.HasMember("lease") ? row["lease"].GetUint64() : 0;
            if (id != 0 && !leases_.contains(id)) return answer(caller, 404, "{}");
        }
        for (const auto& row : call["puts"].GetArray()) {
            put(row["key"].GetString(), from_base64({row["value"].GetString(), row["value"].GetStringLength()}),
                row.HasMember("lease") ? row["lease"].GetUint64() : 0);
        }
        if (call.HasMember("remove")) {
            for (const auto& key : call["remove"].GetArray())
                remove(key.GetString());
        }
        answer(caller, 200, "{\"revision\":" + std::to_string(revision_) + "}");
    }

    void end_lease(std::uint64_t id) {
        leases_.erase(id);
        std::vector<std::string> keys;
        for (const auto& [key, each] : items_) {
            if (each.lease == id) keys.push_back(key);
        }
        for (const std::string& key : keys)
            remove(key);
    }

    void answer(connection& caller, int status, const std::string& body) {
        caller.output = "HTTP/1.1 " + std::to_string(status) + " Answer\r\nContent-Type: application/json\r\n" +
                        "Store-Era: 1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        caller.output_due_at = now() + answer_time;
    }

    void tick() {
        std::vector<std::uint64_t> expired;
        for (const auto& [id, each] : leases_) {
            if (now() >= each.expires_at) expired.push_back(id);
        }
        for (const std::uint64_t id : expired)
            end_lease(id);
        std::vector<int> handles;
        for (const auto& [handle, each] : connections_)
            handles.push_back(handle);
        for (const int handle : handles) {
            connection& caller = connections_[handle];
            if (caller.watch && (now() >= caller.watch->due_at || has_event_after(*caller.watch))) answer_watch(caller);
            if (!caller.output.empty() && now() >= caller.output_due_at) flush(caller);
        }
    }

    void flush(connection& caller) {
        const ssize_t sent = ::send(caller.handle, caller.output.data(), caller.output.size(), MSG_NOSIGNAL);
        if (sent < 0 && (errno == EAGAIN || errno == EINTR)) return;
        if (sent < 0) return close(caller.handle);
        caller.output.erase(0, static_cast<std::size_t>(sent));
        if (!caller.output.empty()) return;
        caller.is_busy = false;
        handle_input(caller);
    }

    event_loop&                    loop_;
    std::map<int, connection>      connections_;
    std::map<std::string, item>    items_;
    std::deque<event>              history_;
    std::map<std::uint64_t, lease> leases_;
    std::map<endpoint, ms>         watch_answers_;
    std::uint64_t                  revision_ = 100;
    std::uint64_t                  last_lease_ = 0;
};

} // namespace review
