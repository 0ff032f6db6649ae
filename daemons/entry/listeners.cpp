// Opens the HTTP servers, now or later.
#include "daemons/entry/listeners.h"

#include <algorithm>

namespace tamarack::entry {

namespace {

constexpr duration    retry_interval = std::chrono::seconds(1);
constexpr duration    report_interval = std::chrono::minutes(1); // of the same reason
constexpr std::size_t listener_count = 4;
constexpr std::size_t most_sessions = 64; // of each server

std::size_t session_limit(std::size_t descriptors) {
    const std::size_t available = descriptors - std::min(descriptors, reserved_descriptors);
    return std::clamp<std::size_t>(available / listener_count, 1, most_sessions);
}

} // namespace

listeners::listeners(boost::asio::io_context& context, event_log& log, std::size_t descriptors)
    : context_(context), log_(log), max_sessions_(session_limit(descriptors)) {}

std::optional<std::string> listeners::open(const endpoint& address, const http_server::request_handler& handler) {
    auto server = http_server::open(context_, address, handler, max_sessions_);
    if (!server) return server.error();
    open_.emplace(address, std::move(server).value());
    return std::nullopt;
}

std::optional<std::string> listeners::open_required(const endpoint&                     address,
                                                    const http_server::request_handler& handler) {
    return open(address, handler);
}

void listeners::open_optional(const endpoint& address, http_server::request_handler handler, steady_time now) {
    const auto reason = open(address, handler);
    if (!reason) return;
    waiting_.push_back({address, std::move(handler), waiting_report(report_interval)});
    if (waiting_.back().report.is_due(*reason, now)) log_.note_socket_failed(*reason);
}

void listeners::retry(steady_time now) {
    if (waiting_.empty() || now < next_retry_) return;
    next_retry_ = now + retry_interval;
    std::erase_if(waiting_, [&](waiting_listener& listener) {
        const auto reason = open(listener.address, listener.handler);
        if (!reason) log_.note_listening(listener.address);
        if (reason && listener.report.is_due(*reason, now)) log_.note_socket_failed(*reason);
        return !reason;
    });
}

std::uint64_t listeners::failed_accepts() const {
    std::uint64_t count = 0;
    for (const auto& [address, server] : open_)
        count += server.failed_accepts();
    return count;
}

bool listeners::is_open(const endpoint& address) const {
    return open_.contains(address);
}

} // namespace tamarack::entry
