// Receives callers' packets, asks the steering for a decision on each, and sends the deliveries and resets.
#pragma once

#include "entry/event_log.h"
#include "entry/lifecycle.h"
#include "entry/pending_syns.h"
#include "entry/steering.h"
#include "tamarack/metrics.h"
#include "tamarack/udp_socket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>

namespace tamarack::entry {

struct packet_counters {
    std::array<std::uint64_t, decision_reason_count> decisions_by_reason{}; // indexed by reason
    std::uint64_t                                    malformed = 0;
    std::uint64_t send_failures = 0;                   // datagrams that the operating system did not accept
    std::uint64_t orphaned_flows = 0;                  // reset while idle, since their backend server had ended
    std::uint64_t stale_syns = 0;                      // dropped, since they waited while the process was paused
    distribution  handshake_seconds{latency_bounds()}; // from a SYN to the caller's reply
    distribution  response_seconds{latency_bounds()};  // from a request to the first response
};

class packet_handler {
public:
    packet_handler(boost::asio::io_context& context, udp_socket socket, steering& flow_steering,
                   const replica& store_replica, event_log& log, const clock& time);
    ~packet_handler();
    packet_handler(const packet_handler&) = delete;
    packet_handler& operator=(const packet_handler&) = delete;

    // Begins to read packets. Those that arrive before the replica is complete are held.
    void                   start();
    // Forwards the held packets once the replica is complete. Must be called at every tick, and when the replica has
    // become complete.
    void                   release_pending();
    // Called after each series of batches of packets has been handled.
    void                   set_after_batches(std::function<void()> callback) { after_batches_ = std::move(callback); }
    // Detects that the process was paused. Must be called at every tick.
    void                   check_for_pause();
    // Resets idle flows whose backend server has ended. Must be called at every tick.
    void                   reset_orphaned_flows();
    steady_time            last_packet_at() const { return last_packet_at_; }
    const packet_counters& counters() const { return counters_; }
    const pending_syns&    pending() const { return pending_; }

private:
    void wait();
    void receive();
    void handle(byte_view bytes, steady_time now);
    void steer(const segment& packet, byte_view bytes, steady_time now);
    bool is_synchronized() const;
    void record_progress(const flow_progress& progress);
    void flush();

    udp_socket                            socket_;
    boost::asio::posix::stream_descriptor readable_; // waits for socket_ to be readable; does not own its handle
    steering&                             steering_;
    const replica&                        store_replica_;
    event_log&                            log_;
    const clock&                          time_;
    std::uint16_t                         reset_port_; // UDP port of callers' hosts, the same as of socket_
    receive_batch                         batch_;
    action_buffer                         outgoing_actions_;
    std::vector<outgoing_datagram>        outgoing_datagrams_;
    pending_syns                          pending_;
    packet_counters                       counters_;
    steady_time                           last_packet_at_{};
    pause_detector                        pause_detector_;
    steady_time                           last_pause_end_{};
    bool                                  is_discarding_syns_ = false; // for the packets of the current batch
    std::function<void()>                 after_batches_ = [] {};
};

} // namespace tamarack::entry
