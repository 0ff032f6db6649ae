// The structured log of the entry balancer, written to standard output.
#define BOOST_TEST_MODULE entry_event_log
#include "entry/event_log.h"
#include "tamarack/clock.h"

#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <unistd.h>

using namespace tamarack;
using namespace tamarack::entry;

namespace {

class fixed_clock final : public clock {
public:
    explicit fixed_clock(wall_time wall) : wall_(wall) {}
    steady_time steady_now() const override { return steady_time(std::chrono::hours(1)); }
    wall_time   wall_now() const override { return wall_; }

private:
    wall_time wall_;
};

// Replaces standard output by a pipe, and reads what the action writes there.
template <class Action>
std::string capture_output(Action action) {
    std::array<int, 2> pipe{};
    BOOST_REQUIRE(::pipe2(pipe.data(), O_CLOEXEC | O_NONBLOCK) == 0);
    const int output = ::dup(STDOUT_FILENO);
    ::dup2(pipe[1], STDOUT_FILENO);
    action();
    ::dup2(output, STDOUT_FILENO);
    ::close(output);
    ::close(pipe[1]);
    std::array<char, 4096> buffer{};
    const ssize_t          size = ::read(pipe[0], buffer.data(), buffer.size());
    ::close(pipe[0]);
    return {buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0))};
}

} // namespace

// A host that starts before 1970 by its clock wrote no line and raised an exception for each.
BOOST_AUTO_TEST_CASE(a_clock_before_1970_gives_log_lines) {
    const fixed_clock time(wall_time(std::chrono::milliseconds(-1'250)));
    const std::string text = capture_output([&] {
        log_writer output(STDOUT_FILENO);
        event_log  log(time, "one", output);
        log.note_start();
    });
    BOOST_TEST(text.starts_with("1969-12-31T23:59:58.750Z one T1001"), text);
}
