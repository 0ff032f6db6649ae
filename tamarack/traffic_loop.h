// One traffic thread: receives from the fabric and from peers in batches, has them decided, and sends the results.
//
// The loop owns its two sockets and takes no locks; the handler locks the partitions of the balancer.
#pragma once

#include "tamarack/metrics.h"
#include "tamarack/udp_socket.h"

#include <atomic>
#include <stop_token>

namespace tamarack {

// Decides about packets. Called by several traffic threads at once.
class packet_handler {
public:
    packet_handler() = default;
    packet_handler(const packet_handler&) = delete;
    packet_handler& operator=(const packet_handler&) = delete;
    virtual ~packet_handler() = default;

    virtual void handle_fabric(std::span<const receive_batch::item> packets, action_buffer& out) = 0;
    virtual void handle_relay(std::span<const receive_batch::item> frames, action_buffer& out) = 0;
    // Every traffic_loop::tick_interval, by each thread for its own partition.
    virtual void tick(std::size_t thread, action_buffer& out) = 0;
};

class traffic_loop {
public:
    static constexpr duration tick_interval = std::chrono::milliseconds(20);
    static constexpr duration pause_threshold = std::chrono::seconds(1); // between two rounds, see section 2.2

    // Handler and clock must outlive the loop.
    traffic_loop(std::size_t thread, udp_socket fabric, udp_socket relay, packet_handler& handler, const clock& time);

    // Rounds until a stop is requested; then returns within tick_interval.
    void run(const std::stop_token& stop);
    // Waits for datagrams, at most for the given time, and handles what is there.
    void round(duration wait);

    // Any thread.
    counter_map      counters() const;
    distribution_map distributions() const;

private:
    using handle_batch = void (packet_handler::*)(std::span<const receive_batch::item>, action_buffer&);

    void discard_after_pause();
    void receive_from(const udp_socket& socket, handle_batch handle);
    void tick_when_due();
    void send_actions();

    std::size_t                    thread_;
    udp_socket                     fabric_;
    udp_socket                     relay_;
    packet_handler&                handler_;
    const clock&                   time_;
    receive_batch                  batch_;
    action_buffer                  actions_;
    std::vector<outgoing_datagram> from_fabric_port_; // deliveries and replies of actions_
    std::vector<outgoing_datagram> from_relay_port_;  // relay frames of actions_
    steady_time                    last_round_;
    steady_time                    last_tick_;

    // Written by the loop's thread only.
    std::atomic<std::uint64_t> received_ = 0;
    std::atomic<std::uint64_t> sent_ = 0;
    std::atomic<std::uint64_t> not_sent_ = 0;
    std::atomic<std::uint64_t> too_long_ = 0;
    std::atomic<std::uint64_t> discarded_ = 0;
    distribution               batch_packets_{batch_size_bounds()};
    distribution               batch_seconds_{latency_bounds()};
};

} // namespace tamarack
