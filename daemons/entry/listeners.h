// The HTTP servers of the balancer. Callers are served without those that are optional, such as the metrics: one that
// cannot be opened, for example because another program holds its port, is tried again until it is open.
#pragma once

#include "daemons/entry/http_server.h"
#include "entry/event_log.h"
#include "tamarack/waiting_report.h"

namespace tamarack::entry {

// Descriptors that are left to all else: standard files, event loop, signals, sockets, the store and the settings.
inline constexpr std::size_t reserved_descriptors = 20;

class listeners {
public:
    // Descriptors: how many the process may have open. Connections leave some of them to the store and to new files.
    listeners(boost::asio::io_context& context, event_log& log, std::size_t descriptors);

    // Returns the reason if the server cannot be opened.
    std::optional<std::string> open_required(const endpoint& address, const http_server::request_handler& handler);
    void          open_optional(const endpoint& address, http_server::request_handler handler, steady_time now);
    // Tries to open the servers that are not open, when it is time to. Must be called at every tick.
    void          retry(steady_time now);
    bool          is_open(const endpoint& address) const;
    std::size_t   missing() const { return waiting_.size(); } // servers that are not open
    std::uint64_t failed_accepts() const;

private:
    struct waiting_listener {
        endpoint                     address;
        http_server::request_handler handler;
        waiting_report               report;
    };

    std::optional<std::string> open(const endpoint& address, const http_server::request_handler& handler);

    boost::asio::io_context&        context_;
    event_log&                      log_;
    std::size_t                     max_sessions_; // of each server
    std::map<endpoint, http_server> open_;
    std::vector<waiting_listener>   waiting_;
    steady_time                     next_retry_{};
};

} // namespace tamarack::entry
