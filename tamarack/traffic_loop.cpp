// Event loop of a traffic thread.
#include "tamarack/traffic_loop.h"

#include "tamarack/events.h"

#include <poll.h>

namespace tamarack {

namespace {

// Most batches received from one socket before the other one is served.
constexpr int max_batches_per_turn = 4;

void add_to(std::atomic<std::uint64_t>& counter, std::uint64_t count) {
    counter.fetch_add(count, std::memory_order_relaxed);
}

} // namespace

traffic_loop::traffic_loop(std::size_t thread, udp_socket fabric, udp_socket relay, packet_handler& handler,
                           const clock& time)
    : thread_(thread), fabric_(std::move(fabric)), relay_(std::move(relay)), handler_(handler), time_(time),
      last_iteration_(time.steady_now()), last_tick_(last_iteration_) {}

void traffic_loop::run(const std::stop_token& stop) {
    last_iteration_ = time_.steady_now();
    while (!stop.stop_requested())
        run_once(tick_interval);
}

void traffic_loop::run_once(duration wait) {
    std::array<pollfd, 2> sockets = {pollfd{fabric_.handle(), POLLIN, 0}, pollfd{relay_.handle(), POLLIN, 0}};
    const auto            milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    const int             ready = ::poll(sockets.data(), sockets.size(), static_cast<int>(milliseconds));
    discard_after_pause();
    if (ready > 0) {
        receive_from(fabric_, &packet_handler::handle_fabric);
        receive_from(relay_, &packet_handler::handle_relay);
    }
    tick_when_due();
}

// Discards packets that were queued during a pause: other balancers may have taken over their flows in the meantime.
void traffic_loop::discard_after_pause() {
    const steady_time now = time_.steady_now();
    const duration    gap = now - last_iteration_;
    last_iteration_ = now;
    if (gap <= pause_threshold) return;
    const auto milliseconds = to_milliseconds(gap);
    log_event(event::pause_detected, {{"thread", thread_}, {"milliseconds", static_cast<std::uint64_t>(milliseconds)}});
    for (const udp_socket* socket : {&fabric_, &relay_}) {
        std::size_t count = 0;
        do {
            count = socket->receive(batch_).datagrams;
            add_to(discarded_, count);
        } while (count == receive_batch::max_datagrams);
    }
}

void traffic_loop::receive_from(const udp_socket& socket, handle_batch handle) {
    for (int batch = 0; batch < max_batches_per_turn; ++batch) {
        const auto result = socket.receive(batch_);
        if (result.datagrams == 0) return;
        add_to(received_, result.datagrams);
        add_to(too_long_, result.too_long);
        const auto        items = batch_.items();
        const steady_time start = time_.steady_now();
        actions_.clear();
        (handler_.*handle)(items, actions_);
        batch_seconds_.add(std::chrono::duration<double>(time_.steady_now() - start).count());
        batch_packets_.add(static_cast<double>(items.size()));
        send_actions();
        if (result.datagrams < receive_batch::max_datagrams) return;
    }
}

void traffic_loop::tick_when_due() {
    const steady_time now = time_.steady_now();
    if (now - last_tick_ < tick_interval) return;
    last_tick_ = now;
    actions_.clear();
    handler_.tick(thread_, actions_);
    send_actions();
}

void traffic_loop::send_actions() {
    fabric_datagrams_.clear();
    relay_datagrams_.clear();
    for (const action& item : actions_.actions()) {
        auto& port = item.kind == action_kind::relay ? relay_datagrams_ : fabric_datagrams_;
        port.push_back({item.destination, actions_.payload(item)});
    }
    const std::size_t failed = fabric_.send(fabric_datagrams_) + relay_.send(relay_datagrams_);
    add_to(sent_, actions_.actions().size() - failed);
    add_to(not_sent_, failed);
}

counter_map traffic_loop::counters() const {
    return {{"datagrams_received", received_},
            {"datagrams_sent", sent_},
            {"datagrams_not_sent", not_sent_},
            {"datagrams_too_long", too_long_},
            {"datagrams_discarded_after_pause", discarded_}};
}

distribution_map traffic_loop::distributions() const {
    return {{"batch_packets", batch_packets_.snapshot()}, {"batch_seconds", batch_seconds_.snapshot()}};
}

} // namespace tamarack
