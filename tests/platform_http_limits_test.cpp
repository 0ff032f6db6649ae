// Answers of a server that are larger, slower or denser than the platform's formats need. Guards against a balancer
// that ends for lack of memory, or that waits for an answer for ever.
#define BOOST_TEST_MODULE platform_http_limits
#include "loopback_endpoint.h"
#include "platform/http_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

const endpoint server_endpoint = loopback_endpoint(93, 8'169);

// Answers each request with the start of a response, and then with a piece again and again until the connection ends.
struct scripted_server {
    explicit scripted_server(asio::io_context& context)
        : acceptor(context, {asio::ip::make_address(server_endpoint.address.to_string()), server_endpoint.port}),
          socket(context), timer(context) {
        accept();
    }

    void accept() {
        acceptor.async_accept([this](const error_code& error, tcp::socket accepted) {
            if (error) return;
            ++connections;
            socket = std::move(accepted);
            read();
        });
    }
    void read() {
        asio::async_read_until(socket, request, "\r\n\r\n", [this](const error_code& error, std::size_t size) {
            if (error) return accept();
            request.consume(size);
            asio::async_write(socket, asio::buffer(start), [this](const error_code& write_error, std::size_t) {
                if (write_error) return accept();
                if (piece.empty()) return read();
                send_piece();
            });
        });
    }
    void send_piece() {
        timer.expires_after(interval);
        timer.async_wait([this](const error_code&) {
            asio::async_write(socket, asio::buffer(piece), [this](const error_code& error, std::size_t size) {
                sent_size += size;
                if (error) return accept();
                send_piece();
            });
        });
    }

    tcp::acceptor      acceptor;
    tcp::socket        socket;
    asio::steady_timer timer;
    asio::streambuf    request;
    std::string        start;
    std::string        piece;
    duration           interval{};
    std::size_t        sent_size = 0; // bytes, in pieces
    unsigned           connections = 0;
};

struct client_fixture {
    asio::io_context      context;
    scripted_server       server{context};
    platform::http_client client{context, server_endpoint};

    result<platform::http_response, platform::http_error> request(duration timeout = 3s) {
        std::optional<result<platform::http_response, platform::http_error>> outcome;
        client.send_request({platform::http_method::get, "/", {}, 2s, timeout},
                            [&](auto response) { outcome = std::move(response); });
        const auto deadline = std::chrono::steady_clock::now() + 10s;
        while (!outcome && std::chrono::steady_clock::now() < deadline) {
            context.restart();
            context.run_for(10ms);
        }
        BOOST_REQUIRE(outcome.has_value());
        return *outcome;
    }
    std::string outcome_of_request(duration timeout = 3s) {
        const auto response = request(timeout);
        if (response) return response.value().body;
        return response.error() == platform::http_error::unreachable ? "unreachable" : "timed out";
    }
};

const std::string ok = "HTTP/1.1 200 OK\r\n";

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_answers, client_fixture)

// Row 6 of the observed ends: the announced length was reserved before it was compared with the limit.
BOOST_AUTO_TEST_CASE(announced_length_beyond_the_limit_is_not_reserved) {
    for (const char* length : {"100000000000", "10000000000", "18446744073709551615", "16777217"}) {
        server.start = ok;
        server.start.append("Content-Length: ").append(length).append("\r\n\r\na");
        BOOST_TEST(outcome_of_request() == "unreachable", length);
    }
    server.start = ok + "Content-Length: 1\r\n\r\na";
    BOOST_TEST(outcome_of_request() == "a");
    BOOST_TEST(outcome_of_request() == "a");
    BOOST_TEST(server.connections == 5U); // none is used again after an answer that was not read
}

BOOST_AUTO_TEST_CASE(invalid_length_is_a_broken_answer) {
    for (const std::string length :
         {"-1", "1e3", "18446744073709551616", "0x1", "1\r\nContent-Length: 2", "1\r\nTransfer-Encoding: chunked"}) {
        server.start = ok;
        server.start.append("Content-Length: ").append(length).append("\r\n\r\nabc");
        BOOST_TEST(outcome_of_request() == "unreachable", length);
    }
}

BOOST_AUTO_TEST_CASE(endless_answer_ends_at_the_limit) {
    constexpr std::size_t most_sent = 40'000'000; // bytes; the limit of a body, and what the sockets hold
    server.piece = std::string(65'536, 'a');
    for (const std::string& start :
         {ok + "\r\n", std::string("HTTP/1.1 200 "), ok + "a: ", ok + "Transfer-Encoding: chunked\r\n\r\n1;",
          ok + "Transfer-Encoding: chunked\r\n\r\n0\r\na: "}) {
        server.start = start;
        server.sent_size = 0;
        BOOST_TEST(outcome_of_request() == "unreachable", start);
        BOOST_TEST(server.sent_size < most_sent, start);
    }
    server.start = ok + "Transfer-Encoding: chunked\r\n\r\n";
    server.piece = "10000\r\n" + std::string(65'536, 'a') + "\r\n";
    BOOST_TEST(outcome_of_request() == "unreachable");
}

BOOST_AUTO_TEST_CASE(answer_in_single_bytes_ends_at_the_timeout) {
    server.piece = "a";
    server.interval = 10ms;
    for (const std::string& start :
         {std::string("HTTP/1.1 200 "), ok + "Content-Length: 100000\r\n\r\n", ok + "\r\n"}) {
        server.start = start;
        const auto begin = std::chrono::steady_clock::now();
        BOOST_TEST(outcome_of_request(300ms) == "timed out", start);
        BOOST_TEST((std::chrono::steady_clock::now() - begin < 1s), start);
    }
}

BOOST_AUTO_TEST_SUITE_END()
