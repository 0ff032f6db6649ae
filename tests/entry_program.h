// Runs tamarack-entry as a child process, with the settings file that the platform fills in, and a store for it. For
// tests of what only a real process shows: its start, its end, and the resources that it uses.
#pragma once

#include "child_program.h"
#include "loopback_endpoint.h"
#include "standins/kv_server.h"
#include "tamarack/clock.h"

#include <boost/asio/steady_timer.hpp>

namespace tamarack {

inline constexpr std::uint16_t packets_port = 8'172;
inline constexpr std::uint16_t readiness_port = 8'167;
inline constexpr std::uint16_t peers_port = 7'720;
inline constexpr std::uint16_t metrics_port = 9'108;

inline endpoint with_port(endpoint address, std::uint16_t port) {
    address.port = port;
    return address;
}

//----------------------------------------------------------------------------------------------------------------------
// Settings
//----------------------------------------------------------------------------------------------------------------------

// Fills in the platform's template: {{name}} by its value, a section {{#name}}..{{/name}} once if there is a value.
inline std::string fill_in_template(std::string text, const std::map<std::string, std::string>& values) {
    for (std::size_t start = 0; (start = text.find("{{", start)) != std::string::npos;) {
        const std::size_t end = text.find("}}", start);
        const std::string name = text.substr(start + 2, end - start - 2);
        if (!name.starts_with("#")) {
            const auto value = values.find(name);
            text.replace(start, end + 2 - start, value == values.end() ? "" : value->second);
            continue;
        }
        const std::string closing_tag = "{{/" + name.substr(1) + "}}";
        const std::size_t closing = text.find(closing_tag, end);
        const auto        value = values.find(name.substr(1));
        std::string       content = value == values.end() ? "" : text.substr(end + 2, closing - end - 2);
        if (const auto current = content.find("{{.}}"); current != std::string::npos)
            content.replace(current, std::string_view("{{.}}").size(), value->second);
        text.replace(start, closing + closing_tag.size() - start, content);
    }
    return text;
}

// The settings of a host, as the platform writes them.
inline std::string settings_text(const std::string& name, const endpoint& host, const endpoint& store) {
    const std::string address = host.address.to_string();
    return fill_in_template(read_file(SOURCE_FOLDER "/platform/entry.ini.in"),
                            {{"node_name", name},
                             {"zone", "north"},
                             {"ip", address},
                             {"listen.datagram_addr", with_port(host, packets_port).to_string()},
                             {"listen.ready_addr", with_port(host, readiness_port).to_string()},
                             {"internal_ports.0", std::to_string(peers_port)},
                             {"seeds", with_port(host, 8'166).to_string()},
                             {"platform.address", store.to_string()},
                             {"bounds.grace_s", "6"},
                             {"limits.cpu_share", "0.25"},
                             {"limits.link_mbps", "1000.0"},
                             {"limits.memory_mb", "260"},
                             {"bounds.config_apply_ms", "3000"}});
}

//----------------------------------------------------------------------------------------------------------------------
// Store
//----------------------------------------------------------------------------------------------------------------------

// A store with one route and one backend server, in a thread of its own.
class store_thread {
public:
    explicit store_thread(const endpoint& listen) : server_(context_, listen, store_, time_) {
        store_.put("op/config", R"({"version":3,"routes":[{"host":"198.18.0.1","prefix":"/443/","service":"desk"}]})");
        store_.put("servers/i-1f", R"({"service":"desk","address":"10.0.0.1:80","zone":"north","state":"ready"})");
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

class entry_program : public child_program {
public:
    entry_program(std::string settings_path, std::string log_path)
        : child_program(ENTRY_PROGRAM, std::move(settings_path), std::move(log_path)) {}
};

//----------------------------------------------------------------------------------------------------------------------
// Calls
//----------------------------------------------------------------------------------------------------------------------

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
