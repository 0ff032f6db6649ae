// A small HTTP server (Boost.Beast) for readiness checks, metrics, followers, and the stand-in of the store.
// Connections are kept; an answer may come later than its request.
#pragma once

#include "tamarack/result.h"
#include "tamarack/tamarack.h"

#include <boost/asio/io_context.hpp>
#include <functional>

namespace tamarack::entry {

// A request; the views are valid until it is answered.
struct http_call {
    std::string_view method; // GET, POST, DELETE
    std::string_view target;
    std::string_view body;
    std::string_view caller; // address and port of the other end
};

struct http_answer {
    unsigned    status = 200;
    std::string body;
    std::string content_type = "text/plain; charset=utf-8";
};

class http_responder {
public:
    using reply = std::function<void(http_answer)>; // called once, at once or later
    using handler = std::function<void(const http_call& call, reply respond)>;

    // Connections beyond the limit are closed at once; the caller comes again.
    static result<http_responder, std::string> open(boost::asio::io_context& context, const endpoint& listen,
                                                    handler answer, std::size_t max_sessions = 64);
    ~http_responder();
    http_responder(http_responder&&) noexcept;
    http_responder& operator=(http_responder&&) noexcept;
    http_responder(const http_responder&) = delete;
    http_responder& operator=(const http_responder&) = delete;

private:
    struct impl;
    explicit http_responder(std::shared_ptr<impl> parts);

    std::shared_ptr<impl> impl_; // sessions hold it, too
};

} // namespace tamarack::entry
