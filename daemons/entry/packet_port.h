// Receives callers' packets, has each decided on, and sends the deliveries and resets.
#pragma once

#include "entry/event_log.h"
#include "entry/lifecycle.h"
#include "entry/steering.h"
#include "tamarack/metrics.h"
#include "tamarack/udp_socket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>

namespace tamarack::entry {

struct packet_counters {
    std::array<std::uint64_t, decision_reason_count> decisions{}; // by reason
    std::uint64_t                                    malformed = 0;
    std::uint64_t                                    unsent = 0;     // the host did not take them
    std::uint64_t                                    stale_syns = 0; // waited while the process was paused
    distribution handshakes{latency_bounds()};                       // s, from a SYN to the caller's answer
    distribution answers{latency_bounds()};                          // s, from a request to its first answer
};

class packet_port {
public:
    packet_port(boost::asio::io_context& context, udp_socket socket, steering& decisions, const replica& known,
                event_log& log, const clock& time);
    ~packet_port();
    packet_port(const packet_port&) = delete;
    packet_port& operator=(const packet_port&) = delete;

    // Packets that arrive before wait in the socket's buffer.
    void                   start();
    // Notices pauses of the process; called every tick.
    void                   note_round();
    bool                   started() const { return started_; }
    steady_time            last_packet() const { return last_packet_; }
    const packet_counters& counters() const { return counters_; }

private:
    void wait();
    void receive();
    void handle(byte_view bytes, steady_time now);
    void note_progress(const flow_progress& progress);
    void flush();

    udp_socket                            socket_;
    boost::asio::posix::stream_descriptor readable_; // of the socket, which it does not own
    steering&                             decisions_;
    const replica&                        known_;
    event_log&                            log_;
    const clock&                          time_;
    steady_time                           opened_;     // the socket
    std::uint16_t                         reset_port_; // at the callers' addresses
    receive_batch                         batch_;
    action_buffer                         outgoing_;
    std::vector<outgoing_datagram>        datagrams_;
    packet_counters                       counters_;
    steady_time                           last_packet_{};
    pause_detector                        pauses_;
    steady_time                           paused_until_{};       // end of the last pause
    bool                                  discard_syns_ = false; // in the present batch
    bool                                  started_ = false;
};

} // namespace tamarack::entry
