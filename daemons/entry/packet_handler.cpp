// Reads packets in batches, applies the steering decision to each, and sends the results in batches.
#include "daemons/entry/packet_handler.h"

#include "platform/packet_format.h"

namespace tamarack::entry {

namespace {

// Packets that are read within this time after a pause are treated as if they had waited during the pause.
constexpr duration stale_packet_window = std::chrono::milliseconds(20);
// Packets that arrive faster than they are handled must not keep the event loop from readiness checks and timers.
constexpr unsigned max_batches_per_turn = 16;

// Of the backend servers that accept new flows.
std::size_t count_slots(const replica& store_replica) {
    std::size_t slots = 0;
    for (const auto& [key, backend] : store_replica.backends()) {
        const bool accepts_flows = !backend.removed_at && backend.registration.state == backend_state::active;
        slots += accepts_flows ? backend.registration.slots : 0;
    }
    return slots;
}

} // namespace

packet_handler::packet_handler(boost::asio::io_context& context, udp_socket socket, steering& flow_steering,
                               const replica& store_replica, event_log& log, const clock& time)
    : socket_(std::move(socket)), readable_(context, socket_.handle()), steering_(flow_steering),
      store_replica_(store_replica), log_(log), time_(time), reset_port_(socket_.address().port) {
    // Packets may wait in the socket's buffer until the first turn of the event loop, as during a pause.
    pause_detector_.note_loop_iteration(time_.boot_now());
}

packet_handler::~packet_handler() {
    readable_.release();
}

void packet_handler::start() {
    wait();
}

void packet_handler::wait() {
    readable_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                         [this](const boost::system::error_code& error) {
                             if (error) return;
                             receive();
                             wait();
                         });
}

void packet_handler::check_for_pause() {
    if (!pause_detector_.note_loop_iteration(time_.boot_now())) return;
    last_pause_end_ = time_.steady_now();
    steering_.note_pause(last_pause_end_);
    log_.note_pause();
}

void packet_handler::receive() {
    check_for_pause();
    last_packet_at_ = time_.steady_now();
    is_discarding_syns_ = last_packet_at_ - last_pause_end_ < stale_packet_window;
    for (unsigned batches = 0; batches < max_batches_per_turn; ++batches) {
        const auto received = socket_.receive(batch_);
        counters_.malformed += received.too_long;
        for (const receive_batch::item& item : batch_.items())
            handle(item.bytes, last_packet_at_);
        flush();
        if (received.datagrams < receive_batch::max_datagrams) break;
    }
    after_batches_();
}

void packet_handler::handle(byte_view bytes, steady_time now) {
    const auto decoded = platform::decode_packet(bytes);
    if (!decoded) {
        ++counters_.malformed;
        return;
    }
    const segment& packet = decoded.value();
    if (packet.syn && is_discarding_syns_) {
        ++counters_.stale_syns;
        return;
    }
    if (!is_synchronized()) {
        pending_.hold(packet, bytes, now);
        return;
    }
    if (packet.syn) {
        pending_.forget(packet);
    } else if (!pending_.is_empty()) {
        pending_.forget_opened(packet);
    }
    steer(packet, bytes, now);
}

bool packet_handler::is_synchronized() const {
    return store_replica_.routing() != nullptr && store_replica_.is_complete();
}

// Copies of held SYNs may have arrived while the listing was decoded, and go first.
void packet_handler::release_pending() {
    if (pending_.is_empty()) return;
    if (!is_synchronized()) return pending_.expire(time_.steady_now());
    receive();
    const steady_time now = time_.steady_now();
    const auto        released = pending_.release(count_slots(store_replica_), now);
    for (const pending_packet& held : released) {
        if (const auto decoded = platform::decode_packet(held.bytes)) steer(decoded.value(), held.bytes, now);
    }
    flush();
}

void packet_handler::steer(const segment& packet, byte_view bytes, steady_time now) {
    const steering_decision decision = steering_.decide(packet, now);
    ++counters_.decisions_by_reason.at(static_cast<std::size_t>(decision.reason));
    record_progress(decision.progress);
    log_.note_decision(packet, decision, store_replica_, now);
    if (decision.action == packet_action::deliver) {
        const known_backend& backend = *decision.backend;
        const auto header = platform::make_delivery_header(bytes, backend.registration.identity, backend.reference);
        outgoing_actions_.add(action_kind::deliver, backend.registration.address, header,
                              bytes.subspan(platform::header_size));
    } else if (decision.action == packet_action::reset) {
        outgoing_actions_.add(action_kind::reply_to_caller, {packet.source.address, reset_port_},
                              platform::make_reset(packet), {});
    }
}

void packet_handler::reset_orphaned_flows() {
    for (const segment& flow : steering_.end_orphaned_flows(time_.steady_now())) {
        outgoing_actions_.add(action_kind::reply_to_caller, {flow.source.address, reset_port_},
                              platform::make_reset(flow), {});
        ++counters_.orphaned_flows;
    }
    flush();
}

void packet_handler::record_progress(const flow_progress& progress) {
    if (progress.handshake_time)
        counters_.handshake_seconds.add(std::chrono::duration<double>(*progress.handshake_time).count());
    if (progress.answer_time)
        counters_.response_seconds.add(std::chrono::duration<double>(*progress.answer_time).count());
}

void packet_handler::flush() {
    outgoing_datagrams_.clear();
    for (const action& outgoing_action : outgoing_actions_.actions())
        outgoing_datagrams_.push_back({outgoing_action.destination, outgoing_actions_.payload(outgoing_action)});
    if (!outgoing_datagrams_.empty()) counters_.send_failures += socket_.send(outgoing_datagrams_);
    outgoing_actions_.clear();
}

} // namespace tamarack::entry
