// tamarack-entry as a real process, under what made it end, refuse to start or waste a core (issue 34).
#define BOOST_TEST_MODULE entry_process_ends
#include "entry_program.h"
#include "tamarack/udp_socket.h"

#include <boost/test/unit_test.hpp>
#include <sys/stat.h>

using namespace tamarack;

namespace {

constexpr duration staying_time = 1s; // a process that is still alive after it did not end because of its start

struct host_fixture : entry_host<30> {
    std::string   log_path = folder.file("one.log");
    entry_program program{settings_path, log_path};

    bool stays_alive() { return !program.wait_for_end(staying_time).has_value(); }
    bool stops_gracefully() { return entry_host::stops_gracefully(program); }
    void check_idle_connections(rlim_t descriptor_limit) {
        constexpr int connection_count = 60;
        program.start({.descriptor_limit = descriptor_limit});
        BOOST_REQUIRE(wait_until(ready_bound, [&] { return log_contains("T6003"); }));
        std::vector<tcp_connection> idle;
        idle.reserve(connection_count);
        for (int i = 0; i < connection_count; ++i)
            idle.emplace_back(with_port(host, i % 2 == 0 ? readiness_port : metrics_port));
        const duration before = program.processor_time();
        BOOST_TEST(!program.wait_for_end(2s).has_value());
        BOOST_TEST(program.processor_time() - before < 200ms);
        idle.clear();
        BOOST_TEST(stops_gracefully());
        std::filesystem::remove(log_path);
    }
    bool log_contains(std::string_view text) const { return program.log().find(text) != std::string::npos; }
};

// Listens as another program would.
int hold_port(const endpoint& address, int type) {
    constexpr std::size_t v4_offset = 12;
    const int             handle = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in           name{};
    constexpr int         reuse = 1; // the address may have closed connections of an earlier process
    if (type == SOCK_STREAM) BOOST_REQUIRE(::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse) == 0);
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port);
    std::memcpy(&name.sin_addr, address.address.bytes.data() + v4_offset, sizeof name.sin_addr);
    BOOST_REQUIRE(::bind(handle, reinterpret_cast<const sockaddr*>(&name), sizeof name) == 0);
    if (type == SOCK_STREAM) BOOST_REQUIRE(::listen(handle, 1) == 0);
    return handle;
}

// Answers each connection with a fixed text, as a store that is broken.
class fixed_answer_server {
public:
    fixed_answer_server(const endpoint& address, std::string answer)
        : handle_(hold_port(address, SOCK_STREAM)), answer_(std::move(answer)), thread_([this] { serve(); }) {}
    ~fixed_answer_server() {
        ::shutdown(handle_, SHUT_RDWR);
        thread_.join();
        ::close(handle_);
    }
    fixed_answer_server(const fixed_answer_server&) = delete;
    fixed_answer_server& operator=(const fixed_answer_server&) = delete;

    unsigned answers() const { return answers_; }

private:
    void serve() {
        for (;;) {
            const int connection = ::accept(handle_, nullptr, nullptr);
            if (connection < 0) return;
            std::array<char, 4096> request{};
            (void)::recv(connection, request.data(), request.size(), 0);
            (void)::send(connection, answer_.data(), answer_.size(), MSG_NOSIGNAL);
            ++answers_;
            std::this_thread::sleep_for(50ms);
            ::close(connection);
        }
    }

    int                   handle_;
    std::string           answer_;
    std::atomic<unsigned> answers_ = 0;
    std::thread           thread_;
};

// Sends SYNs of new flows as fast as several threads can.
class packet_flood {
public:
    explicit packet_flood(const endpoint& destination) {
        for (unsigned i = 0; i < thread_count; ++i)
            threads_.emplace_back([this, destination, i] { send(destination, i); });
    }
    ~packet_flood() {
        is_stopping_ = true;
        for (std::thread& thread : threads_)
            thread.join();
    }
    packet_flood(const packet_flood&) = delete;
    packet_flood& operator=(const packet_flood&) = delete;

    std::uint64_t sent() const { return sent_; }

private:
    static constexpr unsigned thread_count = 3;

    // A SYN from 100.64.0.7 to 198.18.0.1:443, as the platform's pages show it.
    static std::array<std::byte, 36> syn_from(std::uint32_t port) {
        constexpr std::array<unsigned char, 36> pattern = {
            0x11, 0x22, 0x33, 0x44, 0,    0,    0,    0,    0,    0,    0,    0,    0x9c, 0x41, 0x64, 0x40, 0x00, 0x07,
            0x01, 0xbb, 0xc6, 0x12, 0x00, 0x01, 0xa1, 0xb2, 0xc3, 0xd5, 0x00, 0x00, 0x80, 0x00, 0,    0,    0,    0};
        std::array<std::byte, 36> bytes{};
        std::memcpy(bytes.data(), pattern.data(), pattern.size());
        bytes[12] = std::byte(port >> 8U);
        bytes[13] = std::byte(port);
        bytes[17] = std::byte(port >> 16U);
        bytes[30] = std::byte{128};
        return bytes;
    }
    void send(const endpoint& destination, unsigned first) {
        const auto                             socket = udp_socket::open({destination.address, 0}).value();
        std::vector<std::array<std::byte, 36>> packets(64);
        std::vector<outgoing_datagram>         datagrams;
        for (std::uint32_t port = first; !is_stopping_;) {
            datagrams.clear();
            for (auto& packet : packets) {
                packet = syn_from(port += thread_count);
                datagrams.push_back({destination, packet});
            }
            sent_ += datagrams.size() - socket.send(datagrams);
        }
    }

    std::atomic<bool>          is_stopping_ = false;
    std::atomic<std::uint64_t> sent_ = 0;
    std::vector<std::thread>   threads_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(process_ends, host_fixture)

//----------------------------------------------------------------------------------------------------------------------
// What a start finds missing
//----------------------------------------------------------------------------------------------------------------------

// The second host of a machine ended at each start, since both have the same status address.
BOOST_AUTO_TEST_CASE(two_hosts_of_one_machine_both_serve) {
    const endpoint    second_host = loopback_endpoint(next_network(), 0);
    const std::string second_settings = folder.file("two.ini");
    std::ofstream(second_settings) << settings_text("two", second_host, store_address);
    entry_program second(second_settings, folder.file("two.log"));
    program.start();
    BOOST_TEST(becomes_ready());
    second.start();
    BOOST_TEST(wait_until(ready_bound, [&] { return is_ready(second_host); }));
    BOOST_TEST(second.is_running());
}

// A port that only operators or collectors use kept a host from serving.
BOOST_AUTO_TEST_CASE(a_host_without_its_metrics_port_serves) {
    const int holder = hold_port(with_port(host, metrics_port), SOCK_STREAM);
    program.start();
    BOOST_TEST(becomes_ready());
    BOOST_TEST(log_contains("T1006"));
    ::close(holder);
    BOOST_TEST(wait_until(
        ready_bound, [&] { return http_get(with_port(host, metrics_port), "/metrics").starts_with("HTTP/1.1 200"); }));
}

BOOST_AUTO_TEST_CASE(a_start_waits_for_the_ports_that_a_predecessor_still_holds) {
    for (const auto& [port, type] : {std::pair(packets_port, SOCK_DGRAM), std::pair(readiness_port, SOCK_STREAM),
                                     std::pair(peers_port, SOCK_STREAM)}) {
        BOOST_TEST_CONTEXT("port " << port) {
            const int holder = hold_port(with_port(host, port), type);
            program.start();
            BOOST_TEST(stays_alive());
            BOOST_TEST(log_contains("T1006"));
            ::close(holder);
            BOOST_TEST(becomes_ready());
            BOOST_TEST(stops_gracefully());
            std::filesystem::remove(log_path);
        }
    }
}

// A restart overlaps the graceful stop of the process before.
BOOST_AUTO_TEST_CASE(a_process_that_starts_while_its_predecessor_stops_takes_over) {
    program.start();
    BOOST_REQUIRE(becomes_ready());
    entry_program successor(settings_path, folder.file("successor.log"));
    program.send_signal(SIGTERM);
    successor.start();
    BOOST_TEST(program.wait_for_end(end_bound).has_value());
    BOOST_TEST(becomes_ready());
    BOOST_TEST(successor.is_running());
}

BOOST_AUTO_TEST_CASE(a_start_waits_for_the_address_of_its_host) {
    host = {ip_address::v4(0xc6336401), 0}; // 198.51.100.1, which no machine has
    write_settings(settings_text("one", host, store_address));
    program.start();
    BOOST_TEST(stays_alive());
    BOOST_TEST(program.processor_time() < 200ms);
    BOOST_TEST(stops_gracefully());
}

BOOST_AUTO_TEST_CASE(a_start_waits_for_a_settings_file_that_is_being_written) {
    const std::string complete = settings_text("one", host, store_address);
    const std::string without_last_line = complete.substr(0, complete.rfind('\n', complete.size() - 2) + 1);
    for (const std::string& incomplete : {std::string(), complete.substr(0, complete.size() / 2), without_last_line}) {
        BOOST_TEST_CONTEXT("size " << incomplete.size()) {
            write_settings(incomplete);
            program.start();
            BOOST_TEST(stays_alive());
            BOOST_TEST(log_contains("T2001"));
            write_settings(complete);
            BOOST_TEST(becomes_ready());
            BOOST_TEST(stops_gracefully());
            std::filesystem::remove(log_path);
        }
    }
}

// The process waited for a writer of the pipe, and answered no readiness check meanwhile.
BOOST_AUTO_TEST_CASE(a_pipe_in_the_place_of_the_settings_file_does_not_stall_a_host) {
    program.start();
    BOOST_REQUIRE(becomes_ready());
    std::filesystem::remove(settings_path);
    BOOST_REQUIRE(::mkfifo(settings_path.c_str(), 0600) == 0);
    program.send_signal(SIGHUP);
    BOOST_TEST(wait_until(ready_bound, [&] { return log_contains("T2004"); }));
    BOOST_TEST(is_ready(host));
    BOOST_TEST(stops_gracefully());
}

BOOST_AUTO_TEST_CASE(a_stop_ends_the_wait_for_settings) {
    std::filesystem::remove(settings_path);
    program.start();
    BOOST_TEST(stays_alive());
    BOOST_TEST(stops_gracefully());
}

// A key that is not needed to serve, with a value that this version does not accept or does not know.
BOOST_AUTO_TEST_CASE(a_setting_that_is_not_needed_does_not_keep_a_host_from_starting) {
    write_settings(settings_text("one", host, store_address) +
                   "later_setting = 1\n[stop]\ngrace_seconds = soon\n[later_section]\nkey = value\n");
    program.start();
    BOOST_TEST(becomes_ready());
    BOOST_TEST(log_contains("T2001"));
}

//----------------------------------------------------------------------------------------------------------------------
// Signals
//----------------------------------------------------------------------------------------------------------------------

// The starting program blocks SIGHUP, the one thing that it can do for the time before main.
BOOST_AUTO_TEST_CASE(a_sighup_at_the_start_does_not_end_the_process) {
    program.start({.blocked_signal = SIGHUP});
    BOOST_TEST(becomes_ready());
    program.send_signal(SIGHUP);
    BOOST_TEST(wait_until(ready_bound, [&] { return log_contains("T2002"); }));
}

BOOST_AUTO_TEST_CASE(a_stop_that_is_requested_at_the_start_is_carried_out) {
    program.start({.blocked_signal = SIGTERM});
    const auto status = program.wait_for_end(end_bound);
    BOOST_REQUIRE(status.has_value());
    BOOST_TEST((WIFEXITED(*status) && WEXITSTATUS(*status) == 0));
}

// Tools that rotate logs and terminals send these.
BOOST_AUTO_TEST_CASE(signals_without_a_meaning_for_the_program_do_not_end_it) {
    program.start();
    BOOST_REQUIRE(becomes_ready());
    for (const int signal : {SIGPIPE, SIGUSR1, SIGUSR2, SIGXFSZ, SIGALRM, SIGTTOU, SIGTTIN}) {
        BOOST_TEST_CONTEXT("signal " << signal) {
            program.send_signal(signal);
            BOOST_TEST(!program.wait_for_end(100ms).has_value());
            BOOST_TEST(is_ready(host));
        }
    }
}

//----------------------------------------------------------------------------------------------------------------------
// Resources
//----------------------------------------------------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(a_log_file_at_the_limit_of_file_size_does_not_end_the_process) {
    program.start({.file_size_limit = 200});
    BOOST_TEST(becomes_ready());
    BOOST_TEST(stays_alive());
    BOOST_TEST(stops_gracefully());
}

// Log lines went to descriptors 1 and 2, which were sockets and the event loop's.
BOOST_AUTO_TEST_CASE(closed_standard_files_are_not_taken_for_other_purposes) {
    program.start({.has_standard_files = false});
    BOOST_REQUIRE(becomes_ready());
    for (int handle = STDIN_FILENO; handle <= STDERR_FILENO; ++handle) {
        std::error_code   error;
        const std::string link = "/proc/" + std::to_string(program.pid()) + "/fd/" + std::to_string(handle);
        BOOST_TEST(std::filesystem::read_symlink(link, error).string() == "/dev/null");
    }
}

// A failed accept was repeated at once, so that a core was busy for as long as descriptors lacked.
// With 12 nothing is left for a connection: the accept fails. With 24 some sessions are open.
BOOST_AUTO_TEST_CASE(idle_connections_beyond_the_descriptors_do_not_keep_a_core_busy) {
    for (const rlim_t limit : {rlim_t{12}, rlim_t{24}}) {
        BOOST_TEST_CONTEXT("descriptors " << limit) {
            check_idle_connections(limit);
        }
    }
}

// Connections without a request took all sessions for ten seconds, after two of which a host is out of rotation.
BOOST_AUTO_TEST_CASE(idle_connections_do_not_keep_a_host_from_its_readiness_checks) {
    constexpr int connection_count = 130;
    program.start();
    BOOST_REQUIRE(becomes_ready());
    std::vector<tcp_connection> idle;
    idle.reserve(connection_count);
    for (int i = 0; i < connection_count; ++i)
        idle.emplace_back(with_port(host, readiness_port));
    for (int check = 0; check < 4; ++check)
        BOOST_TEST(is_ready(host));
}

BOOST_AUTO_TEST_CASE(requests_whose_bodies_do_not_come_do_not_keep_a_host_from_its_readiness_checks) {
    constexpr int connection_count = 130;
    program.start();
    BOOST_REQUIRE(becomes_ready());
    std::vector<tcp_connection> unfinished;
    unfinished.reserve(connection_count);
    for (int i = 0; i < connection_count; ++i) {
        unfinished.emplace_back(with_port(host, readiness_port));
        (void)unfinished.back().send("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 5\r\n\r\n");
    }
    for (int check = 0; check < 4; ++check)
        BOOST_TEST(is_ready(host));
}

BOOST_AUTO_TEST_CASE(a_start_with_too_few_descriptors_waits_and_says_so) {
    for (const rlim_t limit : {rlim_t{6}, rlim_t{8}, rlim_t{10}}) {
        BOOST_TEST_CONTEXT("descriptors " << limit) {
            program.start({.descriptor_limit = limit});
            BOOST_TEST(stays_alive());
            BOOST_TEST(log_contains("Too many open files"));
            BOOST_TEST(program.processor_time() < 200ms);
            BOOST_TEST(stops_gracefully());
            std::filesystem::remove(log_path);
        }
    }
}

// The announced size was allocated before any limit was looked at.
BOOST_AUTO_TEST_CASE(a_huge_announced_body_does_not_end_the_process) {
    const endpoint            broken_store = loopback_endpoint(next_network(), 8'169);
    const fixed_answer_server server(broken_store, "HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\nx");
    write_settings(settings_text("one", host, broken_store));
    program.start();
    BOOST_TEST(wait_until(ready_bound, [&] { return server.answers() >= 3; }));
    BOOST_TEST(stays_alive());
}

// An exception in a handler of the event loop ended the process: here std::bad_alloc, for a listing of several
// megabytes.
BOOST_AUTO_TEST_CASE(a_step_without_memory_does_not_end_the_process) {
    constexpr rlim_t address_space = 40U << 20U; // bytes; a process without such a listing takes less
    const endpoint   large_store = loopback_endpoint(next_network(), 8'169);
    std::string      items;
    for (int i = 0; i < 10; ++i) {
        items += (i == 0 ? "" : ",") +
                 ("{\"key\":\"servers/i-" + std::to_string(i) + "\",\"revision\":5,\"value\":\"") +
                 std::string(1'398'100, 'A') + "\"}";
    }
    const std::string                  body = "{\"items\":[" + items + "],\"has_more\":false,\"current_rev\":5}";
    std::optional<fixed_answer_server> server(std::in_place, large_store,
                                              "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                                                  "\r\n\r\n" + body);
    write_settings(settings_text("one", host, large_store));
    program.start({.address_space_limit = address_space});
    BOOST_TEST(wait_until(2 * ready_bound, [&] { return server->answers() >= 3; }));
    BOOST_TEST(stays_alive());
    server.reset();
    const store_thread small_store(large_store);
    BOOST_TEST(wait_until(4 * ready_bound, [&] { return is_ready(host); })); // calls to a failed store become rare
    BOOST_TEST(stops_gracefully());
}

//----------------------------------------------------------------------------------------------------------------------
// Load
//----------------------------------------------------------------------------------------------------------------------

// While packets came faster than they were handled, the event loop did nothing else.
BOOST_AUTO_TEST_CASE(a_flood_of_packets_does_not_keep_a_host_from_its_readiness_checks) {
    program.start();
    BOOST_REQUIRE(becomes_ready());
    const packet_flood flood(with_port(host, packets_port));
    std::this_thread::sleep_for(500ms);
    for (int check = 0; check < 5; ++check) {
        const auto called_at = std::chrono::steady_clock::now();
        BOOST_TEST(is_ready(host));
        BOOST_TEST((std::chrono::steady_clock::now() - called_at < 500ms)); // the interval of the checks
    }
    BOOST_TEST(flood.sent() > 10'000U);
    BOOST_TEST(program.is_running());
}

BOOST_AUTO_TEST_SUITE_END()
