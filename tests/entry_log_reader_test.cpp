// tamarack-entry as a real process, while nobody reads its log.
#define BOOST_TEST_MODULE entry_log_reader
#include "entry_program.h"
#include "unread_pipe.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;

namespace {

constexpr duration response_bound = 2s; // two readiness checks, half a second apart, and time to spare
constexpr duration reading_time = 10s;

struct host_fixture : entry_host<150> {
    unread_pipe   log;
    entry_program program{settings_path, log.path()};

    // Each SIGHUP is worth a line.
    void request_reloads(unsigned count) const {
        for (unsigned i = 0; i < count; ++i) {
            program.send_signal(SIGHUP);
            std::this_thread::sleep_for(300ms); // two signals within one iteration of the event loop count as one
        }
    }
    bool        stops_gracefully() { return entry_host::stops_gracefully(program); }
    std::string metrics() const { return http_get(with_port(host, metrics_port), "/metrics"); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(log_reader, host_fixture)

// The process hung for good at the first line that the full pipe did not accept (review/7).
BOOST_AUTO_TEST_CASE(a_reader_that_stops_while_the_balancer_serves_does_not_stop_it) {
    program.start();
    BOOST_TEST_REQUIRE(becomes_ready());
    log.fill();
    request_reloads(3);
    BOOST_TEST(wait_until(response_bound, [&] { return is_ready(host); }));
    BOOST_TEST(metrics().find("tamarack_entry_log_lines_dropped 0") != std::string::npos);
    BOOST_TEST(stops_gracefully());
}

// A balancer that was killed did not start again with the pipe of its predecessor (review/7).
BOOST_AUTO_TEST_CASE(a_balancer_starts_with_a_pipe_that_is_already_full) {
    program.start();
    BOOST_TEST_REQUIRE(becomes_ready());
    log.fill();
    program.send_signal(SIGKILL);
    BOOST_TEST_REQUIRE(program.wait_for_end(end_bound).has_value());
    program.start();
    BOOST_TEST(becomes_ready());
    BOOST_TEST(stops_gracefully());
}

// SIGTERM did not end a start that waits for its settings and hung at the line that says so.
BOOST_AUTO_TEST_CASE(a_start_that_waits_ends_by_a_signal_while_nobody_reads) {
    write_settings("[balancer]\n");
    log.fill();
    program.start();
    std::this_thread::sleep_for(1'500ms); // beyond the time that a file which may be incomplete has to settle
    BOOST_TEST(stops_gracefully());
}

// A program that ends because of its command line hung at the message that gives the reason.
BOOST_AUTO_TEST_CASE(a_start_with_a_wrong_command_line_ends_while_nobody_reads) {
    log.fill();
    for (const char* argument : {"--no_such_flag", "unexpected"}) {
        const pid_t        child = standin::start_child(ENTRY_PROGRAM, argument, log.path());
        std::optional<int> status;
        const bool         has_ended = wait_until(end_bound, [&] {
            int ended = 0;
            if (::waitpid(child, &ended, WNOHANG) == child) status = ended;
            return status.has_value();
        });
        BOOST_TEST(has_ended, argument);
        if (has_ended) BOOST_TEST((WIFEXITED(*status) && WEXITSTATUS(*status) == 1));
        if (has_ended) continue;
        ::kill(child, SIGKILL);
        ::waitpid(child, nullptr, 0);
    }
}

// Other processes that share the pipe lost their lines, or took the flag back so that the balancer hung again.
BOOST_AUTO_TEST_CASE(the_balancer_leaves_the_flags_of_its_log_alone) {
    program.start();
    BOOST_TEST_REQUIRE(becomes_ready());
    // The flags of the open file, which the process has inherited.
    std::ifstream info("/proc/" + std::to_string(program.pid()) + "/fdinfo/1");
    std::string   word;
    while (info >> word && word != "flags:") {
    }
    info >> word;
    BOOST_TEST((std::stol(word, nullptr, 8) & O_NONBLOCK) == 0);
    BOOST_TEST(stops_gracefully());
}

// An operator who looks at the log again has to find what happened meanwhile.
BOOST_AUTO_TEST_CASE(a_reader_that_continues_gets_the_lines_of_the_meantime) {
    program.start();
    BOOST_TEST_REQUIRE(becomes_ready());
    log.fill();
    request_reloads(5);
    std::string text;
    const auto  reloads = [&] {
        std::size_t count = 0;
        for (std::size_t at = text.find("T2002"); at != std::string::npos; at = text.find("T2002", at + 1))
            ++count;
        return count;
    };
    wait_until(reading_time, [&] {
        text += log.read(log.size(), reading_time);
        return reloads() == 5U;
    });
    BOOST_TEST(reloads() == 5U, text);
    BOOST_TEST(text.find("T6005") == std::string::npos, text); // nothing was dropped
    BOOST_TEST(stops_gracefully());
    BOOST_TEST(log.read(log.size(), reading_time).find("T1004") != std::string::npos); // the last line
}

BOOST_AUTO_TEST_SUITE_END()
