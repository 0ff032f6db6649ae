// Admission by hosts that start while their service is overloaded.
#define BOOST_TEST_MODULE entry_admission_start
#include "entry_load_replay.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace tamarack::entry;

// After the loss of all hosts, none of them knows the usual time to an answer.
BOOST_AUTO_TEST_CASE(hosts_that_start_during_an_overload_protect_the_high_priority) {
    replay_settings settings = with_demand([](double) { return 8.0; });
    for (settings.seed = 1; settings.seed <= 3; ++settings.seed) {
        load_replay replay(settings);
        replay.run_until(60);
        print("started during the overload", replay, 5, 60);
        BOOST_TEST(replay.results[0].served_share() >= 0.85);
    }
}
