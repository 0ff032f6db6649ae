// The writer of the log, and readers that are slow, stop or leave.
#define BOOST_TEST_MODULE log_writer
#include "tamarack/log_writer.h"
#include "unread_pipe.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <sstream>
#include <vector>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

constexpr auto reading_time = 10s; // far longer than a reader takes that does not stop

std::string numbered_line(const std::string& writer, unsigned number) {
    return writer + " line " + std::to_string(number) + " " + std::string(100, 'x') + "\n";
}

std::vector<std::string> lines_of(const std::string& text) {
    std::vector<std::string> lines;
    std::istringstream       stream(text);
    for (std::string line; std::getline(stream, line);)
        lines.push_back(line + "\n");
    return lines;
}

struct ignored_sigpipe {
    ignored_sigpipe() { (void)std::signal(SIGPIPE, SIG_IGN); }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(ignored_sigpipe);

// The write of a line to a full pipe stopped the caller until somebody read the pipe.
BOOST_AUTO_TEST_CASE(a_full_pipe_does_not_block_the_caller) {
    unread_pipe pipe;
    pipe.fill();
    const auto start = std::chrono::steady_clock::now();
    {
        log_writer output(pipe.write_end());
        BOOST_TEST(output.append("one line\n"));
        output.flush();
        BOOST_TEST(!output.drain(10ms));
    }
    BOOST_TEST((std::chrono::steady_clock::now() - start < 2 * last_lines_wait));
}

// O_NONBLOCK would belong to all processes that share the pipe: they would lose their own lines.
BOOST_AUTO_TEST_CASE(the_flags_of_a_shared_pipe_are_not_changed) {
    unread_pipe pipe;
    const int   flags = pipe.flags();
    log_writer  output(pipe.write_end());
    output.append("one line\n");
    BOOST_TEST(output.drain(reading_time));
    BOOST_TEST(pipe.flags() == flags);
}

// A process that shares the pipe sets O_NONBLOCK: lines would be dropped whenever the pipe is full for a moment.
BOOST_AUTO_TEST_CASE(a_pipe_made_nonblocking_by_another_process_loses_no_line) {
    unread_pipe pipe;
    pipe.set_nonblocking();
    pipe.fill();
    const std::size_t filling = pipe.size();
    log_writer        output(pipe.write_end());
    std::string       expected;
    for (unsigned i = 0; i < 500; ++i) {
        expected += numbered_line("one", i);
        BOOST_TEST_REQUIRE(output.append(numbered_line("one", i)));
    }
    output.flush();
    BOOST_TEST(pipe.read(filling + expected.size(), reading_time).substr(filling) == expected);
}

// A reader that continues must find all lines until the first dropped one, and their number must be known.
BOOST_AUTO_TEST_CASE(lines_beyond_the_limit_are_dropped_and_counted) {
    constexpr unsigned line_count = 4'000;
    unread_pipe        pipe;
    log_writer         output(pipe.write_end());
    std::string        accepted;
    unsigned           accepted_count = 0;
    for (unsigned i = 0; i < line_count; ++i) {
        const std::string line = numbered_line("one", i);
        if (!output.append(line)) continue;
        accepted += line;
        ++accepted_count;
        output.flush();
    }
    BOOST_TEST(accepted_count < line_count);
    BOOST_TEST(accepted.size() + pipe.capacity() > max_unwritten_log);
    BOOST_TEST(output.dropped_lines() == line_count - accepted_count);
    BOOST_TEST(output.unreported_lines() == output.dropped_lines());
    BOOST_TEST(!output.append_report(numbered_line("report", 1), output.unreported_lines())); // no room yet
    BOOST_TEST(output.dropped_lines() == line_count - accepted_count);
    BOOST_TEST(pipe.read(accepted.size(), reading_time) == accepted);
    BOOST_TEST_REQUIRE(output.drain(reading_time));
    BOOST_TEST(output.append_report(numbered_line("report", 1), output.unreported_lines()));
    BOOST_TEST(output.unreported_lines() == 0U);
    BOOST_TEST(output.drain(reading_time));
}

// A log that somebody reads must be whole, however slow the reader is.
BOOST_AUTO_TEST_CASE(a_slow_reader_gets_every_line) {
    unread_pipe pipe;
    log_writer  output(pipe.write_end());
    std::string expected;
    std::string received;
    for (unsigned i = 0; i < 300; ++i) {
        expected += numbered_line("one", i);
        BOOST_TEST_REQUIRE(output.append(numbered_line("one", i)));
        output.flush();
        if (i % 10 == 0) received += pipe.read(512, 1ms);
    }
    received += pipe.read(expected.size() - received.size(), reading_time);
    BOOST_TEST(received == expected);
    BOOST_TEST(output.dropped_lines() == 0U);
}

// Processes share the pipe of one collector: parts of their lines were mixed when the pipe was nearly full.
BOOST_AUTO_TEST_CASE(lines_of_writers_that_share_a_pipe_stay_whole) {
    constexpr unsigned line_count = 400;
    unread_pipe        pipe;
    log_writer         first(pipe.write_end());
    log_writer         second(pipe.write_end());
    std::size_t        size = 0;
    for (unsigned i = 0; i < line_count; ++i) {
        for (const auto& [output, name] : {std::pair(&first, "first"), std::pair(&second, "second")}) {
            BOOST_TEST_REQUIRE(output->append(numbered_line(name, i)));
            size += numbered_line(name, i).size();
        }
    }
    first.flush();
    second.flush();
    unsigned next_of_first = 0;
    unsigned next_of_second = 0;
    for (const std::string& line : lines_of(pipe.read(size, reading_time))) {
        const bool is_whole =
            line == numbered_line("first", next_of_first) || line == numbered_line("second", next_of_second);
        BOOST_TEST_REQUIRE(is_whole, line);
        ++(line.starts_with("first") ? next_of_first : next_of_second);
    }
    BOOST_TEST(next_of_first == line_count);
    BOOST_TEST(next_of_second == line_count);
}

// A collector that starts again opens the named pipe once more: the lines until then must not be lost.
BOOST_AUTO_TEST_CASE(a_reader_that_leaves_and_returns_gets_the_lines) {
    unread_pipe pipe;
    pipe.close_read_end();
    log_writer output(pipe.write_end());
    output.append("one line\n");
    BOOST_TEST(!output.drain(50ms));
    pipe.open_read_end();
    BOOST_TEST(pipe.read(9, reading_time) == "one line\n");
}
