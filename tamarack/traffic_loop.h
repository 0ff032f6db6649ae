// One traffic thread: receives batches from the fabric and from peers, passes them to the handler, and sends the
// resulting packets.
//
// The loop owns its two sockets and takes no locks; the handler locks the partitions of the balancer.
#pragma once

#include "tamarack/metrics.h"
#include "tamarack/udp_socket.h"

#include <atomic>
#include <stop_token>

namespace tamarack {

// Handles batches of packets. Called concurrently by several traffic threads.
class packet_handler {
public:
    packet_handler() = default;
    packet_handler(const packet_handler&) = delete;
    packet_handler& operator=(const packet_handler&) = delete;
    virtual ~packet_handler() = default;

    virtual void handle_fabric(std::span<const receive_batch::item> packets, action_buffer& out) = 0;
    virtual void handle_relay(std::span<const receive_batch::item> frames, action_buffer& out) = 0;
    // Called by each thread for its own traffic partition, every traffic_loop::tick_interval.
    virtual void tick(std::size_t thread, action_buffer& out) = 0;
};

class traffic_loop {
public:
    static constexpr duration tick_interval = std::chrono::milliseconds(20);
    // Longest time between two iterations that is not a pause; docs/design.md section 2.2.
    static constexpr duration pause_threshold = std::chrono::seconds(1);

    // Handler and clock must outlive the loop.
    traffic_loop(std::size_t thread, udp_socket fabric, udp_socket relay, packet_handler& handler, const clock& time);

    // Runs until a stop is requested; then returns within tick_interval.
    void run(const std::stop_token& stop);
    // Runs one iteration: waits for datagrams for at most the given time, and handles those received.
    void run_once(duration wait);

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
    std::vector<outgoing_datagram> fabric_datagrams_; // deliveries and replies of actions_
    std::vector<outgoing_datagram> relay_datagrams_;  // relay frames of actions_
    steady_time                    last_iteration_;
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
