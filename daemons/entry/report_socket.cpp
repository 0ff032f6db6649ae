// Socket and timer of the condition reports.
#include "daemons/entry/report_socket.h"

#include "platform/report_format.h"

#include <algorithm>

namespace tamarack::entry {

namespace {

constexpr duration open_interval = std::chrono::seconds(1);
constexpr duration log_interval = std::chrono::minutes(1); // of the same reason
// Datagrams that are read within this time after a pause may have waited during the pause, which their ages lack.
constexpr duration stale_datagram_window = std::chrono::milliseconds(20);
// Datagrams that arrive faster than they are handled must not keep the event loop from callers' packets.
constexpr unsigned max_batches_per_turn = 4;

} // namespace

report_socket::report_socket(boost::asio::io_context& context, const report_socket_settings& settings,
                             const replica& store_replica, event_log& log, const clock& time, report_hooks hooks)
    : context_(context), settings_(settings), store_replica_(store_replica), log_(log), time_(time),
      hooks_(std::move(hooks)), reports_(settings.reports, store_replica, time.steady_now()), flush_timer_(context),
      open_report_(log_interval), rejection_report_(log_interval) {}

report_socket::~report_socket() {
    if (readable_) readable_->release();
}

void report_socket::tick() {
    check_for_pause();
    if (!socket_ && settings_.is_enabled) open();
}

void report_socket::open() {
    const steady_time now = time_.steady_now();
    if (now < next_open_) return;
    next_open_ = now + open_interval;
    auto socket = udp_socket::open(settings_.address);
    if (!socket) {
        has_failed_ = true;
        if (open_report_.is_due(socket.error(), now)) log_.note_socket_failed(socket.error());
        return;
    }
    socket_ = std::move(socket).value();
    readable_.emplace(context_, socket_->handle());
    if (has_failed_) log_.note_listening(settings_.address);
    wait();
    schedule();
}

void report_socket::check_for_pause() {
    if (pause_detector_.note_loop_iteration(time_.boot_now())) last_pause_end_ = time_.steady_now();
}

//----------------------------------------------------------------------------------------------------------------------
// Receiving
//----------------------------------------------------------------------------------------------------------------------

void report_socket::wait() {
    readable_->async_wait(boost::asio::posix::stream_descriptor::wait_read,
                          [this](const boost::system::error_code& error) {
                              if (error) return;
                              receive();
                              wait();
                          });
}

void report_socket::receive() {
    check_for_pause();
    const steady_time now = time_.steady_now();
    for (unsigned batches = 0; batches < max_batches_per_turn; ++batches) {
        const auto received = socket_->receive(batch_);
        datagram_counters_.malformed += received.too_long;
        for (const receive_batch::item& datagram : batch_.items())
            handle(datagram, now);
        if (received.datagrams < receive_batch::max_datagrams) break;
    }
    schedule();
}

void report_socket::handle(const receive_batch::item& datagram, steady_time now) {
    if (now - last_pause_end_ < stale_datagram_window) {
        ++datagram_counters_.stale;
        return;
    }
    const auto reports = platform::decode_reports(datagram.bytes, accepted_keys());
    if (!reports && reports.error() == platform::report_error::unauthenticated)
        return note_unauthenticated(datagram.source, now);
    if (!reports) {
        ++datagram_counters_.malformed;
        return;
    }
    for (const condition_report& report : reports_.receive(reports.value(), datagram.source, now))
        hooks_.accept(report, now);
}

// Also happens for a short time after a change of the feeder, and before this balancer knows the feeders.
void report_socket::note_unauthenticated(const endpoint& sender, steady_time now) {
    ++datagram_counters_.unauthenticated;
    if (store_replica_.is_current(now) && rejection_report_.is_due({}, now))
        log_.note_rejected_follower(sender.to_string());
}

std::vector<feed_key> report_socket::accepted_keys() const {
    std::vector<feed_key> keys{settings_.own_key};
    for (const auto& [domain_and_slot, feeder] : store_replica_.feeders())
        keys.push_back(feeder.registration.key);
    return keys;
}

//----------------------------------------------------------------------------------------------------------------------
// Sending
//----------------------------------------------------------------------------------------------------------------------

void report_socket::send(std::span<const condition_report> reports) {
    if (reports.empty()) return;
    reports_.add_own(reports, time_.steady_now());
    schedule();
}

void report_socket::schedule() {
    const auto due = reports_.next_due();
    if (!due || !socket_ || is_flush_scheduled_) return;
    is_flush_scheduled_ = true;
    flush_timer_.expires_after(std::max(duration::zero(), *due - time_.steady_now()));
    flush_timer_.async_wait([this](const boost::system::error_code& error) {
        if (error) return;
        is_flush_scheduled_ = false;
        flush();
        schedule();
    });
}

void report_socket::flush() {
    const auto                          due = reports_.take_due(hooks_.position(), time_.steady_now());
    std::vector<std::vector<std::byte>> encoded;
    std::vector<outgoing_datagram>      datagrams;
    encoded.reserve(due.size()); // the datagrams refer to its elements
    for (const outgoing_reports& item : due) {
        encoded.push_back(platform::encode_reports(item.reports, item.neighbor.key));
        datagrams.push_back({item.neighbor.address, encoded.back()});
    }
    if (!datagrams.empty()) datagram_counters_.unsent += socket_->send(datagrams);
}

} // namespace tamarack::entry
