// Protection of calls to dependencies: guards against retry storms, synchronised retries, and circuits that never
// close.
#define BOOST_TEST_MODULE resilience
#include "tamarack/resilience.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

constexpr steady_time start{1h};

} // namespace

BOOST_AUTO_TEST_CASE(a_token_bucket_never_passes_more_than_burst_and_rate) {
    const bool passed = rc::check([](std::uint32_t seed) {
        random_source random(seed);
        token_bucket  bucket(100, 50, start);
        double        taken = 0;
        steady_time   now = start;
        for (int i = 0; i < 500; ++i) {
            now += std::chrono::milliseconds(random() % 50);
            const auto amount = static_cast<double>(random() % 20);
            if (bucket.take(amount, now)) taken += amount;
            RC_ASSERT(taken <= 50 + 100 * std::chrono::duration<double>(now - start).count() + 1e-6);
        }
    });
    BOOST_TEST(passed);
}

// Guards against a raised rate that applies to the time before the change, and against a lowered one that keeps the old
// burst.
BOOST_AUTO_TEST_CASE(a_new_rate_applies_from_the_change_on) {
    token_bucket bucket(1, 1, start);
    BOOST_TEST(bucket.take(1, start));
    bucket.set_rate(100, 100, start + 500ms);
    BOOST_TEST(bucket.available(start + 500ms) == 0.5);
    BOOST_TEST(bucket.available(start + 1'500ms) == 100.0);
    bucket.set_rate(10, 10, start + 2s);
    BOOST_TEST(bucket.available(start + 2s) == 10.0);
}

BOOST_AUTO_TEST_CASE(retries_are_a_tenth_of_the_calls_and_at_least_one_a_second) {
    retry_budget busy({}, start);
    retry_budget quiet({}, start);
    int          busy_retries = 0;
    int          quiet_retries = 0;
    for (int i = 0; i < 10'000; ++i) { // 10 s with 1,000 calls a second that all fail
        const auto now = start + i * 1ms;
        busy.record_call(now);
        if (busy.take_retry(now)) ++busy_retries;
        if (quiet.take_retry(now)) ++quiet_retries;
    }
    BOOST_TEST(busy_retries >= 1'000);
    BOOST_TEST(busy_retries <= 1'000 + 10 + 10); // with the floor and the burst
    BOOST_TEST(quiet_retries >= 19);
    BOOST_TEST(quiet_retries <= 20);
}

BOOST_AUTO_TEST_CASE(backoff_grows_to_its_cap_with_full_jitter) {
    const backoff_settings settings;
    random_source          random(20261204);
    BOOST_TEST((backoff_limit(settings, 0) == 100ms));
    BOOST_TEST((backoff_limit(settings, 3) == 800ms));
    BOOST_TEST((backoff_limit(settings, 1'000'000) == 10s));
    duration least = 10s;
    duration most{};
    for (int i = 0; i < 1'000; ++i) {
        const duration delay = backoff_delay(settings, 20, random);
        least = std::min(least, delay);
        most = std::max(most, delay);
    }
    BOOST_TEST((least < 100ms));
    BOOST_TEST((most > 9'900ms && most <= 10s));
}

BOOST_AUTO_TEST_CASE(a_circuit_opens_and_permits_single_trial_calls) {
    random_source   random(20261204);
    circuit_breaker breaker;
    steady_time     now = start;
    for (int i = 0; i < 4; ++i)
        breaker.failed(now, random);
    breaker.succeeded(); // a success resets the count of failures
    for (int i = 0; i < 5; ++i) {
        BOOST_TEST(breaker.allow(now, random));
        breaker.failed(now, random);
    }
    BOOST_TEST((breaker.state() == breaker_state::open));
    BOOST_TEST(!breaker.allow(now + 499ms, random));
    now += 1s;
    BOOST_TEST(breaker.allow(now, random));
    BOOST_TEST(!breaker.allow(now, random)); // only one trial
    breaker.failed(now, random);
    BOOST_TEST(!breaker.allow(now + 900ms, random)); // the wait is longer after the failed trial
    now += 2s;
    BOOST_TEST(breaker.allow(now, random));
    now += 11s; // the result of this trial is lost, which must not block the circuit permanently
    BOOST_TEST(!breaker.allow(now, random));
    now += 10s;
    BOOST_TEST(breaker.allow(now, random));
    breaker.succeeded();
    BOOST_TEST((breaker.state() == breaker_state::closed));
    BOOST_TEST(breaker.allow(now, random));
}

BOOST_AUTO_TEST_CASE(a_dependency_stops_retrying_within_its_budget) {
    dependency  calls({}, start, 20261204);
    std::size_t attempts = 0;
    for (int call = 0; call < 1'000; ++call) { // an outage; all calls at the same time
        if (!calls.start_call(start)) continue;
        for (unsigned retries = 0;; ++retries) {
            ++attempts;
            calls.failed(start);
            const auto delay = calls.retry_delay(retries, start);
            if (!delay || !calls.start_retry(start + *delay)) break;
        }
    }
    BOOST_TEST(attempts <= 6U); // 5 failures open the circuit
    BOOST_TEST((calls.state() == breaker_state::open));
}
