// Pauses of the process, and the end of a graceful stop.
#define BOOST_TEST_MODULE entry_lifecycle
#include "entry/lifecycle.h"
#include "tamarack/clock.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace tamarack::entry;
using namespace std::chrono_literals;

// Found by the soak test (seed 3): after a pause of its process, a balancer placed a SYN whose retransmission had
// already opened the flow through another balancer.
BOOST_AUTO_TEST_CASE(a_pause_of_the_process_is_detected) {
    pause_detector pauses;
    steady_time    now{1h};
    BOOST_TEST(!pauses.note_loop_iteration(now));
    for (int iteration = 0; iteration < 10; ++iteration)
        BOOST_TEST(!pauses.note_loop_iteration(now += 110ms));
    BOOST_TEST(pauses.note_loop_iteration(now += 1s));
    BOOST_TEST(!pauses.note_loop_iteration(now += 100ms));
}

// A lease or a confirmation that runs out while the host is suspended must not be used afterwards.
BOOST_AUTO_TEST_CASE(the_process_clock_counts_the_time_of_a_suspended_host) {
    const suspend_aware_clock time;
    const steady_time         before = system_clock().boot_now();
    const steady_time         now = time.steady_now();
    BOOST_TEST((now >= before));
    BOOST_TEST((now <= system_clock().boot_now()));
}

BOOST_AUTO_TEST_CASE(a_stopping_balancer_leaves_the_rotation_before_it_exits) {
    lifecycle         life(6s);
    const steady_time start{1h};
    BOOST_TEST(!life.is_ready());
    life.note_synchronized();
    BOOST_TEST(life.is_ready());
    life.request_stop(start);
    BOOST_TEST(!life.is_ready());
    BOOST_TEST(!life.may_exit(start + 900ms)); // the fabric has not noticed yet
    life.note_packet(start + 1'400ms);
    BOOST_TEST(!life.may_exit(start + 1'500ms)); // packets still arrive
    BOOST_TEST(life.may_exit(start + 1'700ms));
    for (auto now = start; now < start + 6s; now += 100ms)
        life.note_packet(now);
    BOOST_TEST(life.may_exit(start + 5'600ms)); // the host kills the process at 6 s
}
