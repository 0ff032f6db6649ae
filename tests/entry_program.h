// Runs tamarack-entry as a child process, with the settings file that the platform fills in, and a store for it. For
// tests of what only a real process shows: its start, its end, and the resources that it uses.
#pragma once

#include "child_program.h"
#include "loopback_endpoint.h"
#include "standins/kv_server.h"
#include "standins/settings_template.h"
#include "tamarack/clock.h"

#include <boost/asio/steady_timer.hpp>
#include <thread>

namespace tamarack {

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
