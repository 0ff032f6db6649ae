// connection_acceptor on Linux sockets.
#include "tamarack/connection_acceptor.h"

#include "tamarack/clock.h"
#include "tamarack/events.h"
#include "tamarack/process_environment.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <cerrno>
#include <cstring>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace tamarack {

namespace {

using tcp = boost::asio::ip::tcp;

constexpr int         poll_milliseconds = 50; // longest time until a stop is noticed
constexpr duration    pause_without_descriptors = std::chrono::milliseconds(100);
constexpr std::size_t min_reserve = 8;    // descriptors left for the balancer's own connections
constexpr std::size_t reserved_share = 4; // or a quarter of all, if that is more

std::string error_text(const char* call, const endpoint& listen) {
    return std::string(call) + " " + listen.to_string() + ": " + std::strerror(errno);
}

// Descriptors are numbered from the lowest free number, so that a high number tells that few are left.
bool is_reserved(int handle) {
    const std::size_t limit = descriptor_limit();
    const std::size_t reserve = std::max(min_reserve, limit / reserved_share);
    return static_cast<std::size_t>(handle) + reserve >= limit;
}

} // namespace

result<std::unique_ptr<connection_acceptor>, std::string> connection_acceptor::open(const endpoint& listen) {
    tcp::endpoint name(boost::asio::ip::make_address(listen.address.to_string()), listen.port);
    const int     handle = ::socket(name.protocol().family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (handle < 0) return error_text("socket", listen);
    std::unique_ptr<connection_acceptor> opened(new connection_acceptor(handle, listen));
    const int                            on = 1;
    if (::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
        ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on) != 0) // accepted connections inherit it
        return error_text("setsockopt", listen);
    if (::bind(handle, name.data(), static_cast<socklen_t>(name.size())) != 0) return error_text("bind", listen);
    if (::listen(handle, SOMAXCONN) != 0) return error_text("listen", listen);
    auto size = static_cast<socklen_t>(name.capacity());
    if (::getsockname(handle, name.data(), &size) != 0) return error_text("getsockname", listen);
    opened->address_.port = name.port();
    return opened;
}

connection_acceptor::~connection_acceptor() {
    stop();
}

void connection_acceptor::start(connection_handler handler) {
    handler_ = std::move(handler);
    thread_ = std::jthread([this](const std::stop_token& stop) { run(stop); });
}

void connection_acceptor::stop() {
    if (thread_.joinable()) {
        thread_.request_stop();
        thread_.join();
    }
    if (handle_ >= 0) ::close(handle_); // clients are refused instead of waiting in the queue
    handle_ = -1;
}

void connection_acceptor::run(const std::stop_token& stop) {
    while (!stop.stop_requested()) {
        pollfd entry{handle_, POLLIN, 0};
        if (::poll(&entry, 1, poll_milliseconds) > 0) accept_waiting();
    }
}

void connection_acceptor::accept_waiting() {
    for (;;) {
        const int connection = ::accept4(handle_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (connection >= 0 && is_reserved(connection)) {
            ::close(connection);
            report("few descriptors are left");
        } else if (connection >= 0) {
            handler_(handle_, connection);
        } else if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
            report(std::strerror(errno));
            std::this_thread::sleep_for(pause_without_descriptors); // the connection stays in the queue
            return;
        } else if (errno != EINTR && errno != ECONNABORTED) {
            return; // no connection is waiting
        }
    }
}

void connection_acceptor::report(const std::string& reason) {
    if (!report_.is_due(reason, system_clock().steady_now())) return;
    log_event(event::socket_failed, {{"reason", "accept " + address_.to_string() + ": " + reason}});
}

} // namespace tamarack
