// Accepts connections and serves one session for each.
#include "daemons/entry/http_server.h"

#include "entry/transfer_limit.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <list>

namespace tamarack::entry {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::chrono::seconds      idle_timeout(10); // of connections, and for sending a short response
// Before the next accept after a failed one. Without descriptors or buffers an accept fails at once, and again at once
// until the process or the host has released some.
constexpr std::chrono::milliseconds accept_retry_interval(100);
constexpr std::uint32_t             max_header_size = 8'192; // bytes; a follower's request has a few hundred
// Received and not parsed yet. The parser needs some parts in one piece: a header, and also the start of a chunk and a
// trailer, which it does not limit itself.
constexpr std::size_t               max_buffered_size = 16'384; // bytes

} // namespace

struct http_server::impl : std::enable_shared_from_this<http_server::impl> {
    struct session;

    impl(asio::io_context& context, request_handler handle_request, std::size_t session_limit, std::size_t body_limit)
        : acceptor(context), retry_timer(context), handler(std::move(handle_request)), max_sessions(session_limit),
          max_body_size(body_limit) {}

    void open(const tcp::endpoint& address);
    void accept();
    void accept_later();
    void serve(tcp::socket socket);
    void close();

    tcp::acceptor       acceptor; // closed: the server is destroyed, and only sessions are left
    asio::steady_timer  retry_timer;
    request_handler     handler;
    std::size_t         max_sessions;
    std::size_t         max_body_size; // bytes, of a request
    std::size_t         session_count = 0;
    std::list<session*> waiting; // sessions without a complete request, the longest first
    std::uint64_t       failed_accepts = 0;
};

struct http_server::impl::session : std::enable_shared_from_this<session> {
    session(std::shared_ptr<impl> owner, tcp::socket socket) : server(std::move(owner)), stream(std::move(socket)) {
        beast::error_code error;
        const auto        remote = stream.socket().remote_endpoint(error);
        caller = error ? "unknown" : remote.address().to_string() + ":" + std::to_string(remote.port());
        ++server->session_count; // last: the destructor does not run after an exception
    }
    ~session() {
        end_waiting();
        --server->session_count;
    }
    session(const session&) = delete;
    session& operator=(const session&) = delete;

    void read();
    void end_waiting();
    void give_way();
    void read_body();
    void dispatch();
    void write(server_response new_response);

    using parser = http::request_parser<http::string_body>;

    std::shared_ptr<impl>             server;
    beast::tcp_stream                 stream;
    std::string                       caller;
    beast::flat_buffer                buffer{max_buffered_size};
    std::optional<parser>             request;
    bool                              is_waiting = false; // in server->waiting
    http::response<http::string_body> response;
};

void http_server::impl::session::end_waiting() {
    if (std::exchange(is_waiting, false)) server->waiting.remove(this);
}

// Nothing has been asked for in this session, so that its client loses nothing but the connection.
void http_server::impl::session::give_way() {
    end_waiting();
    stream.close();
}

void http_server::impl::session::read() {
    server->waiting.push_back(this);
    is_waiting = true;
    request.emplace();
    request->header_limit(max_header_size);
    request->body_limit(server->max_body_size);
    stream.expires_after(idle_timeout);
    // The header alone, since Beast 1.74 goes on after a length beyond the limit if bytes of the body are there.
    http::async_read_header(stream, buffer, *request,
                            [self = shared_from_this()](const beast::error_code& error, std::size_t /*size*/) {
                                if (!error) self->read_body();
                            });
}

void http_server::impl::session::read_body() {
    http::async_read(stream, buffer, *request,
                     [self = shared_from_this()](const beast::error_code& error, std::size_t /*size*/) {
                         if (!error) self->dispatch();
                     });
}

void http_server::impl::session::dispatch() {
    end_waiting();
    stream.expires_never();
    const auto& message = request->get();
    const auto  method = message.method_string();
    const auto  target = message.target();
    server->handler(
        {{method.data(), method.size()}, {target.data(), target.size()}, message.body(), caller},
        [self = shared_from_this()](server_response new_response) { self->write(std::move(new_response)); });
}

void http_server::impl::session::write(server_response new_response) {
    response = {};
    response.version(request->get().version());
    response.result(new_response.status);
    response.set(http::field::content_type, new_response.content_type);
    for (const auto& [name, value] : new_response.headers)
        response.set(name, value);
    response.body() = std::move(new_response.body);
    response.keep_alive(request->keep_alive());
    response.prepare_payload();
    stream.expires_after(idle_timeout + transfer_time(response.body().size(), least_transfer_rate));
    http::async_write(stream, response,
                      [self = shared_from_this()](const beast::error_code& error, std::size_t /*size*/) {
                          if (!error && self->response.keep_alive()) self->read();
                      });
}

void http_server::impl::open(const tcp::endpoint& address) {
    acceptor.open(address.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(address);
    acceptor.listen();
    accept();
}

void http_server::impl::accept() {
    acceptor.async_accept([self = shared_from_this()](const beast::error_code& error, tcp::socket socket) {
        if (!self->acceptor.is_open()) return;
        if (error) {
            ++self->failed_accepts;
            return self->accept_later();
        }
        self->accept(); // before the session is made, which can throw
        self->serve(std::move(socket));
    });
}

// Idle connections, however many, must not keep out a client that asks for something.
void http_server::impl::serve(tcp::socket socket) {
    if (session_count >= max_sessions) {
        if (waiting.empty()) return; // all are being served
        waiting.front()->give_way();
    }
    try {
        std::make_shared<session>(shared_from_this(), std::move(socket))->read();
    } catch (const std::bad_alloc&) {
        ++failed_accepts; // the connection is closed; the client may try again
    }
}

void http_server::impl::accept_later() {
    retry_timer.expires_after(accept_retry_interval);
    retry_timer.async_wait([self = shared_from_this()](const beast::error_code& /*error*/) {
        if (self->acceptor.is_open()) self->accept();
    });
}

void http_server::impl::close() {
    beast::error_code ignored; // an error does not matter, since the process ends
    acceptor.close(ignored);
    retry_timer.cancel();
}

http_server::http_server(std::shared_ptr<impl> implementation) : impl_(std::move(implementation)) {}
http_server::http_server(http_server&&) noexcept = default;
http_server& http_server::operator=(http_server&&) noexcept = default;

http_server::~http_server() {
    if (impl_) impl_->close();
}

result<http_server, std::string> http_server::open(asio::io_context& context, const endpoint& listen_address,
                                                   request_handler handler, std::size_t max_sessions,
                                                   std::size_t max_body_size) {
    try {
        auto implementation = std::make_shared<impl>(context, std::move(handler), max_sessions, max_body_size);
        implementation->open({asio::ip::make_address(listen_address.address.to_string()), listen_address.port});
        return http_server(std::move(implementation));
    } catch (const std::exception& error) {
        return "cannot listen on " + listen_address.to_string() + ": " + error.what();
    }
}

std::uint64_t http_server::failed_accepts() const {
    return impl_->failed_accepts;
}

} // namespace tamarack::entry
