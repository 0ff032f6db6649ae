// A small HTTP server (Boost.Beast) for readiness checks, metrics, the status page, followers, and the stand-in of the
// store. Connections are persistent; a response may be sent later than its request was received.
#pragma once

#include "tamarack/result.h"
#include "tamarack/tamarack.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>

namespace tamarack::entry {

// A received request. The views are valid until the response is sent.
struct server_request {
    std::string_view method; // GET, POST, DELETE
    std::string_view target;
    std::string_view body;
    std::string_view caller; // remote address and port
};

struct server_response {
    unsigned                           status = 200;
    std::string                        body;
    std::string                        content_type = "text/plain; charset=utf-8";
    std::map<std::string, std::string> headers{}; // further ones, by name
};

class http_server {
public:
    using response_callback = std::function<void(server_response)>; // must be called exactly once, now or later
    using request_handler = std::function<void(const server_request& request, response_callback respond)>;

    // Of requests. The balancer's callers send none; each connection can hold this much.
    static constexpr std::size_t default_max_body_size = 1'024; // bytes

    // Beyond the limit of sessions, a new connection takes the place of the one that has been idle longest. If none is
    // idle it is closed immediately, and the client has to connect again. A connection with a request that exceeds a
    // limit is closed, without a response.
    static result<http_server, std::string> open(boost::asio::io_context& context, const endpoint& listen_address,
                                                 request_handler handler, std::size_t max_sessions = 64,
                                                 std::size_t max_body_size = default_max_body_size);
    ~http_server();
    http_server(http_server&&) noexcept;
    http_server& operator=(http_server&&) noexcept;
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // Of connections, since the server was opened; mostly for lack of descriptors. Each is tried again after a while.
    std::uint64_t failed_accepts() const;

private:
    struct impl;
    explicit http_server(std::shared_ptr<impl> implementation);

    std::shared_ptr<impl> impl_; // shared with the sessions
};

} // namespace tamarack::entry
