// Acceptor and sessions of the HTTP server.
#include "daemons/entry/http_responder.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace tamarack::entry {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::chrono::seconds idle_timeout(10); // of a connection

} // namespace

struct http_responder::impl : std::enable_shared_from_this<http_responder::impl> {
    struct session;

    impl(asio::io_context& context, handler handle, std::size_t limit)
        : acceptor(context), answer(std::move(handle)), max_sessions(limit) {}

    void accept();

    tcp::acceptor acceptor;
    handler       answer;
    std::size_t   max_sessions;
    std::size_t   sessions = 0;
};

struct http_responder::impl::session : std::enable_shared_from_this<session> {
    session(std::shared_ptr<impl> owner, tcp::socket socket) : server(std::move(owner)), stream(std::move(socket)) {
        ++server->sessions;
        beast::error_code error;
        const auto        other_end = stream.socket().remote_endpoint(error);
        caller = error ? "unknown" : other_end.address().to_string() + ":" + std::to_string(other_end.port());
    }
    ~session() { --server->sessions; }
    session(const session&) = delete;
    session& operator=(const session&) = delete;

    void read();
    void ask();
    void write(http_answer reply);

    std::shared_ptr<impl>             server;
    beast::tcp_stream                 stream;
    std::string                       caller;
    beast::flat_buffer                buffer;
    http::request<http::string_body>  request;
    http::response<http::string_body> response;
};

void http_responder::impl::session::read() {
    request = {};
    stream.expires_after(idle_timeout);
    http::async_read(stream, buffer, request,
                     [self = shared_from_this()](const beast::error_code& error, std::size_t /*size*/) {
                         if (!error) self->ask();
                     });
}

void http_responder::impl::session::ask() {
    stream.expires_never();
    const auto method = request.method_string();
    const auto target = request.target();
    server->answer({{method.data(), method.size()}, {target.data(), target.size()}, request.body(), caller},
                   [self = shared_from_this()](http_answer reply) { self->write(std::move(reply)); });
}

void http_responder::impl::session::write(http_answer reply) {
    response = {};
    response.version(request.version());
    response.result(reply.status);
    response.set(http::field::content_type, reply.content_type);
    response.body() = std::move(reply.body);
    response.keep_alive(request.keep_alive());
    response.prepare_payload();
    stream.expires_after(idle_timeout);
    http::async_write(stream, response,
                      [self = shared_from_this()](const beast::error_code& error, std::size_t /*size*/) {
                          if (!error && self->response.keep_alive()) self->read();
                      });
}

void http_responder::impl::accept() {
    acceptor.async_accept([self = shared_from_this()](const beast::error_code& error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (!error && self->sessions < self->max_sessions) std::make_shared<session>(self, std::move(socket))->read();
        self->accept();
    });
}

http_responder::http_responder(std::shared_ptr<impl> parts) : impl_(std::move(parts)) {}
http_responder::http_responder(http_responder&&) noexcept = default;
http_responder& http_responder::operator=(http_responder&&) noexcept = default;

http_responder::~http_responder() {
    if (!impl_) return;
    beast::error_code ignored; // the process ends
    impl_->acceptor.close(ignored);
}

result<http_responder, std::string> http_responder::open(asio::io_context& context, const endpoint& listen,
                                                         handler answer, std::size_t max_sessions) {
    auto                parts = std::make_shared<impl>(context, std::move(answer), max_sessions);
    const tcp::endpoint where(asio::ip::make_address(listen.address.to_string()), listen.port);
    try {
        parts->acceptor.open(where.protocol());
        parts->acceptor.set_option(tcp::acceptor::reuse_address(true));
        parts->acceptor.bind(where);
        parts->acceptor.listen();
    } catch (const boost::system::system_error& error) {
        return "cannot listen at " + listen.to_string() + ": " + error.what();
    }
    parts->accept();
    return http_responder(std::move(parts));
}

} // namespace tamarack::entry
