// The HTTP server under lack of descriptors and memory, and with requests that are larger than any of its callers'.
// Guards against a server that takes up a core, that accepts no connection any more, or that ends the process.
#define BOOST_TEST_MODULE entry_http_server
#include "daemons/entry/http_server.h"
#include "failing_allocation.h"
#include "loopback_endpoint.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <sstream>
#include <sys/resource.h>

using namespace tamarack;
using namespace tamarack::entry;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

const endpoint       server_endpoint = loopback_endpoint(92, 9'109);
const tcp::endpoint  server_address(asio::ip::make_address(server_endpoint.address.to_string()), server_endpoint.port);
constexpr const char request_text[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

// Lets the process open no further descriptor while the object exists.
class descriptor_shortage {
public:
    descriptor_shortage() {
        ::getrlimit(RLIMIT_NOFILE, &before_);
        const int next = ::fcntl(STDERR_FILENO, F_DUPFD, 0);
        ::close(next);
        rlimit none_left = before_;
        none_left.rlim_cur = static_cast<rlim_t>(next);
        BOOST_REQUIRE(::setrlimit(RLIMIT_NOFILE, &none_left) == 0);
    }
    ~descriptor_shortage() { ::setrlimit(RLIMIT_NOFILE, &before_); }
    descriptor_shortage(const descriptor_shortage&) = delete;
    descriptor_shortage& operator=(const descriptor_shortage&) = delete;

private:
    rlimit before_{};
};

struct server_fixture {
    asio::io_context           context;
    std::optional<http_server> server;
    std::vector<std::size_t>   body_sizes; // of the requests that were handled

    server_fixture() { open(); }

    template <class... Limits>
    void open(Limits... limits) {
        server.reset();
        const auto handler = [this](const server_request& request, const http_server::response_callback& respond) {
            body_sizes.push_back(request.body.size());
            respond({.body = "served\n"});
        };
        auto opened = http_server::open(context, server_endpoint, handler, limits...);
        BOOST_REQUIRE(opened.has_value());
        server = std::move(opened).value();
    }
    std::size_t run_for(duration time) {
        context.restart();
        return context.run_for(time);
    }
    tcp::socket connect() {
        tcp::socket client(context);
        client.connect(server_address);
        return client;
    }
    // What the server sends until it closes the connection, or within the time.
    std::string receive(tcp::socket& client, duration time) {
        std::string               received;
        const auto                deadline = std::chrono::steady_clock::now() + time;
        std::string               bytes(4'096, '\0');
        boost::system::error_code error;
        client.non_blocking(true);
        while (std::chrono::steady_clock::now() < deadline) {
            run_for(1ms);
            const std::size_t size = client.read_some(asio::buffer(bytes), error);
            received.append(bytes, 0, size);
            if (error && error != asio::error::would_block) break;
            if (received.ends_with("served\n")) break;
        }
        return received;
    }
    // Before the server ends idle connections, which is after 10 s.
    bool is_closed(tcp::socket& client) {
        boost::system::error_code error = asio::error::would_block;
        const auto                deadline = std::chrono::steady_clock::now() + 2s;
        char                      byte = 0;
        while (error == asio::error::would_block && std::chrono::steady_clock::now() < deadline) {
            run_for(1ms);
            client.read_some(asio::buffer(&byte, 1), error);
        }
        return error && error != asio::error::would_block;
    }
    bool is_served(tcp::socket& client, const std::string& request = request_text) {
        boost::system::error_code error;
        asio::write(client, asio::buffer(request), error);
        return receive(client, 2s).starts_with("HTTP/1.1 200");
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_servers, server_fixture)

// A failed accept was repeated at once, also without a connection that waits.
BOOST_AUTO_TEST_CASE(accept_without_descriptors_does_not_take_up_a_core) {
    tcp::socket client(context, tcp::v4());
    {
        const descriptor_shortage shortage;
        client.connect(server_address);
        BOOST_TEST(run_for(500ms) < 50U); // handlers; one failed accept each 100 ms
        BOOST_TEST(server->failed_accepts() >= 2U);
        BOOST_TEST(server->failed_accepts() <= 6U);
    }
    BOOST_TEST(is_served(client));
    auto other_client = connect();
    BOOST_TEST(is_served(other_client));
}

BOOST_AUTO_TEST_CASE(server_that_waits_after_a_failed_accept_can_be_destroyed) {
    tcp::socket client(context, tcp::v4());
    {
        const descriptor_shortage shortage;
        client.connect(server_address);
        run_for(50ms);
        BOOST_TEST(server->failed_accepts() == 1U);
        server.reset();
    }
    BOOST_TEST(run_for(500ms) < 10U); // handlers
    BOOST_TEST(context.stopped());    // nothing is pending any more
}

// The next accept on the closed socket failed, and was repeated for ever.
BOOST_AUTO_TEST_CASE(server_destroyed_with_an_accepted_connection_does_not_accept_any_more) {
    auto first = connect();
    auto second = connect();
    context.run_one(); // accepts the first one; the second one is accepted with it, and its handler is pending
    server.reset();
    first.close();
    second.close();
    BOOST_TEST(run_for(500ms) < 20U); // handlers
    BOOST_TEST(context.stopped());
}

// An exception while a session was made left no pending accept, and all later connections without a response.
BOOST_AUTO_TEST_CASE(connection_without_memory_for_its_session_does_not_end_accepting) {
    constexpr std::size_t session_size = 512; // bytes, at least; the operations of the event loop are smaller
    open(std::size_t{1});                     // the failed session must not stay counted
    auto lost_client = connect();
    next_failing_allocation = {.least_size = session_size};
    run_for(500ms); // raises nothing
    BOOST_TEST(server->failed_accepts() == 1U);
    auto client = connect();
    BOOST_TEST(is_served(client));
}

// A body of up to 1 MB was taken on each connection of each port, which is more than a host with 80 MB has.
BOOST_AUTO_TEST_CASE(body_that_no_caller_needs_is_not_received) {
    constexpr std::size_t body_size = 500'000; // bytes
    const std::string     body(body_size, 'a');
    std::ostringstream    with_length;
    std::ostringstream    chunked;
    with_length << "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " << body_size << "\r\n\r\n" << body;
    chunked << "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            << std::hex << body_size << "\r\n"
            << body << "\r\n0\r\n\r\n";
    for (const std::string& request : {with_length.str(), chunked.str()}) {
        auto client = connect();
        BOOST_TEST(!is_served(client, request));
    }
    BOOST_TEST(body_sizes.empty());
    auto client = connect();
    BOOST_TEST(is_served(client));
}

BOOST_AUTO_TEST_CASE(server_with_a_larger_limit_receives_bodies_up_to_it) {
    constexpr std::size_t limit = 2'000; // bytes
    open(std::size_t{64}, limit);
    const std::string post = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ";
    for (const std::size_t size : {limit, limit + 1}) {
        auto client = connect();
        BOOST_TEST(is_served(client, post + std::to_string(size) + "\r\n\r\n" + std::string(size, 'a')) ==
                   (size <= limit));
    }
    BOOST_TEST((body_sizes == std::vector{limit}));
}

// Parts of a request that have no length in advance. A chunk's extensions and the trailer were kept without a limit.
BOOST_AUTO_TEST_CASE(endless_part_of_a_request_ends_the_connection) {
    constexpr std::size_t sent_size = 1'000'000; // bytes
    const std::string     chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string& start : {std::string("GET /"), std::string("GET / HTTP/1.1\r\na: "), chunked + "1;",
                                     chunked + "0\r\na: ", chunked + "0;"}) {
        auto                      client = connect();
        boost::system::error_code error;
        client.non_blocking(true);
        std::string rest = start + std::string(sent_size, 'a');
        while (!rest.empty() && (!error || error == asio::error::would_block)) {
            rest.erase(0, client.write_some(asio::buffer(rest), error));
            run_for(1ms);
        }
        BOOST_TEST(is_closed(client), start);
    }
    BOOST_TEST(body_sizes.empty());
}

BOOST_AUTO_TEST_CASE(invalid_length_of_a_body_ends_the_connection) {
    for (const std::string length : {"-1", "1e3", "18446744073709551615", "18446744073709551616", "", "0x1",
                                     "1\r\nContent-Length: 2", "3\r\nTransfer-Encoding: chunked"}) {
        auto client = connect();
        BOOST_TEST(!is_served(client, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + length + "\r\n\r\nabc"),
                   length);
    }
    BOOST_TEST(body_sizes.empty());
}

BOOST_AUTO_TEST_CASE(address_that_cannot_be_used_is_an_error) {
    const auto no_handler = [](const server_request&, const http_server::response_callback&) {};
    BOOST_TEST(!http_server::open(context, {ip_address::v4(0x08080808), 9'109}, no_handler).has_value());
    BOOST_TEST(!http_server::open(context, server_endpoint, no_handler).has_value()); // in use
}

BOOST_AUTO_TEST_SUITE_END()
