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

//----------------------------------------------------------------------------------------------------------------------
// Host
//----------------------------------------------------------------------------------------------------------------------

// One host with its settings file, and the store. Each test case has addresses of its own, so that nothing of an
// earlier one is in the way; each test program begins with a network of its own, since several run at once.
template <std::uint8_t first_network>
struct entry_host {
    static constexpr duration ready_bound = 5s; // from a start to readiness; a start takes some tens of milliseconds
    static constexpr duration end_bound = 5s;   // from SIGTERM to the end; a stop without packets takes 1.1 s

    static std::uint8_t next_network() {
        static std::uint8_t next = first_network;
        return next++;
    }

    temporary_folder folder;
    endpoint         host = loopback_endpoint(next_network(), 0);
    endpoint         store_address = loopback_endpoint(next_network(), 8'169);
    store_thread     store{store_address};
    std::string      settings_path = folder.file("one.ini");

    entry_host() { write_settings(settings_text("one", host, store_address)); }

    void write_settings(const std::string& text) const { std::ofstream(settings_path, std::ios::trunc) << text; }
    bool becomes_ready() const {
        return wait_until(ready_bound, [&] { return is_ready(host); });
    }
    static bool stops_gracefully(child_program& program) {
        program.send_signal(SIGTERM);
        const auto status = program.wait_for_end(end_bound);
        return status && WIFEXITED(*status) && WEXITSTATUS(*status) == 0;
    }
};

} // namespace tamarack
