// The socket of callers' packets.
#include "daemons/entry/packet_port.h"

#include "platform/packet_format.h"

namespace tamarack::entry {

namespace {

// Packets read within this time after a pause have waited during it.
constexpr duration stale_time = std::chrono::milliseconds(20);
// A SYN that waited longer for the first synchronization has been copied by its caller.
constexpr duration longest_start = std::chrono::milliseconds(190);

} // namespace

packet_port::packet_port(boost::asio::io_context& context, udp_socket socket, steering& decisions, const replica& known,
                         event_log& log, const clock& time)
    : socket_(std::move(socket)), readable_(context, socket_.handle()), decisions_(decisions), known_(known), log_(log),
      time_(time), opened_(time.steady_now()), reset_port_(socket_.address().port) {}

packet_port::~packet_port() {
    readable_.release();
}

void packet_port::start() {
    if (started_) return;
    started_ = true;
    // Packets may have waited since the socket was opened.
    const steady_time now = time_.steady_now();
    if (now - opened_ >= longest_start) paused_until_ = now;
    wait();
}

void packet_port::wait() {
    readable_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                         [this](const boost::system::error_code& error) {
                             if (error) return;
                             receive();
                             wait();
                         });
}

void packet_port::note_round() {
    if (!pauses_.note_round(time_.boot_now())) return;
    paused_until_ = time_.steady_now();
    log_.note_pause();
}

void packet_port::receive() {
    note_round();
    last_packet_ = time_.steady_now();
    discard_syns_ = last_packet_ - paused_until_ < stale_time;
    for (;;) {
        const auto taken = socket_.receive(batch_);
        counters_.malformed += taken.too_long;
        for (const receive_batch::item& item : batch_.items())
            handle(item.bytes, last_packet_);
        flush();
        if (taken.taken < receive_batch::max_datagrams) return;
    }
}

void packet_port::handle(byte_view bytes, steady_time now) {
    const auto decoded = platform::decode_packet(bytes);
    if (!decoded) {
        ++counters_.malformed;
        return;
    }
    const segment& packet = decoded.value();
    if (packet.syn && discard_syns_) {
        ++counters_.stale_syns;
        return;
    }
    const steering_decision decision = decisions_.decide(packet, now);
    ++counters_.decisions.at(static_cast<std::size_t>(decision.why));
    note_progress(decision.progress);
    log_.note_decision(packet, decision, known_, now);
    if (decision.what == verdict::deliver) {
        const known_backend& target = *decision.target;
        const auto           head = platform::delivery_head(bytes, target.registration.identity, target.reference);
        outgoing_.add(action_kind::deliver, target.registration.address, head, bytes.subspan(platform::head_size));
    } else if (decision.what == verdict::reset) {
        outgoing_.add(action_kind::reply_to_caller, {packet.source.address, reset_port_}, platform::reset_for(packet),
                      {});
    }
}

void packet_port::note_progress(const flow_progress& progress) {
    if (progress.handshake) counters_.handshakes.add(std::chrono::duration<double>(*progress.handshake).count());
    if (progress.answered) counters_.answers.add(std::chrono::duration<double>(*progress.answered).count());
}

void packet_port::flush() {
    datagrams_.clear();
    for (const action& each : outgoing_.actions())
        datagrams_.push_back({each.destination, outgoing_.payload(each)});
    if (!datagrams_.empty()) counters_.unsent += socket_.send(datagrams_);
    outgoing_.clear();
}

} // namespace tamarack::entry
