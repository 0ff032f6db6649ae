// Exchanges condition reports with other balancers over UDP, on the address that serves followers. Optional: without
// the socket the balancer relies on its own observations, and tries again to open it.
#pragma once

#include "entry/condition_reports.h"
#include "entry/event_log.h"
#include "entry/lifecycle.h"
#include "tamarack/udp_socket.h"
#include "tamarack/waiting_report.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace tamarack::entry {

// Datagrams that were not handled or not sent, by reason.
struct report_datagram_counters {
    std::uint64_t malformed = 0; // or of another version of the protocol
    std::uint64_t unauthenticated = 0;
    std::uint64_t stale = 0;  // may have waited while the process was paused
    std::uint64_t unsent = 0; // not accepted by the operating system
};

struct report_socket_settings {
    endpoint        address;
    feed_key        own_key{};
    report_settings reports;
    bool            is_enabled = true; // false: the process has too few descriptors, which the store needs
};

// What the balancer around the socket contributes.
struct report_hooks {
    std::function<tree_position()>                                       position;
    std::function<void(const condition_report& report, steady_time now)> accept;
};

class report_socket {
public:
    report_socket(boost::asio::io_context& context, const report_socket_settings& settings,
                  const replica& store_replica, event_log& log, const clock& time, report_hooks hooks);
    ~report_socket();
    report_socket(const report_socket&) = delete;
    report_socket& operator=(const report_socket&) = delete;

    // Opens the socket if it is not open, and detects that the process was paused. Must be called at every tick.
    void tick();
    // Observations of this balancer, to be sent within a short time.
    void send(std::span<const condition_report> reports);

    bool                            is_open() const { return socket_.has_value(); }
    const report_counters&          counters() const { return reports_.counters(); }
    const report_datagram_counters& datagram_counters() const { return datagram_counters_; }

private:
    void                  open();
    void                  wait();
    void                  check_for_pause();
    void                  receive();
    void                  handle(const receive_batch::item& datagram, steady_time now);
    void                  note_unauthenticated(const endpoint& sender, steady_time now);
    std::vector<feed_key> accepted_keys() const;
    void                  schedule();
    void                  flush();

    boost::asio::io_context&                             context_;
    report_socket_settings                               settings_;
    const replica&                                       store_replica_;
    event_log&                                           log_;
    const clock&                                         time_;
    report_hooks                                         hooks_;
    condition_reports                                    reports_;
    std::optional<udp_socket>                            socket_;   // nullopt: not open
    std::optional<boost::asio::posix::stream_descriptor> readable_; // of socket_; does not own its handle
    boost::asio::steady_timer                            flush_timer_;
    bool                                                 is_flush_scheduled_ = false;
    receive_batch                                        batch_;
    pause_detector                                       pause_detector_;
    steady_time                                          last_pause_end_{};
    bool                                                 has_failed_ = false; // the last attempt to open the socket
    steady_time                                          next_open_{};
    waiting_report                                       open_report_;
    waiting_report                                       rejection_report_;
    report_datagram_counters                             datagram_counters_;
};

} // namespace tamarack::entry
