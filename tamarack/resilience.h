// Limits and guards for calls on dependencies: token bucket, retry budget, backoff, circuit breaker, deadlines.
//
// Free of I/O; the time is passed in. See docs/design.md section 2.5.
#pragma once

#include "tamarack/tamarack.h"

#include <random>

namespace tamarack {

using random_source = std::mt19937_64;

// Refills at a fixed rate up to the burst. Any window of t seconds passes at most burst + rate * t.
class token_bucket {
public:
    token_bucket(double rate_per_second, double burst, steady_time now);

    // Takes the amount if that leaves at least the reserve; otherwise takes nothing.
    bool   take(double amount, steady_time now, double reserve = 0.0);
    double available(steady_time now) const;
    // Applies from now on; tokens above the new burst are lost.
    void   set_rate(double rate_per_second, double burst, steady_time now);

private:
    double      rate_;
    double      burst_;
    double      tokens_; // 0 .. burst_
    steady_time refilled_;
};

// Retries allowed: a share of the calls made, plus a floor so that a quiet client can still retry.
struct retry_budget_settings {
    double share_of_calls = 0.1;
    double floor_per_second = 1.0;
    double burst = 10.0;
};

class retry_budget {
public:
    retry_budget(const retry_budget_settings& settings, steady_time now);

    void note_call(steady_time now);  // a first attempt
    bool take_retry(steady_time now); // false: give up

private:
    void refill(steady_time now);

    retry_budget_settings settings_;
    double                tokens_; // 0 .. settings_.burst
    steady_time           refilled_;
};

// Capped exponential backoff with full jitter: uniform in 0 .. min(cap, base * 2^attempt).
struct backoff_settings {
    duration base = std::chrono::milliseconds(100);
    duration cap = std::chrono::seconds(10);
};

duration backoff_limit(const backoff_settings& settings, unsigned attempt); // first retry: attempt 0
duration backoff_delay(const backoff_settings& settings, unsigned attempt, random_source& random);

enum class breaker_state : std::uint8_t {
    closed,    // calls pass
    open,      // calls are refused until the wait is over
    half_open, // one trial call is under way
};

std::string_view to_string(breaker_state state);

struct breaker_settings {
    unsigned         failures_to_open = 5;                                       // in a row
    backoff_settings wait = {std::chrono::seconds(1), std::chrono::seconds(10)}; // grows with each failed trial
    duration         trial_limit = std::chrono::seconds(10); // a trial without a result by then is a failure
};

class circuit_breaker {
public:
    explicit circuit_breaker(const breaker_settings& settings = {});

    // True if a call may be made now; the caller then reports its result. In half_open only one call passes.
    bool          allow(steady_time now, random_source& random);
    void          succeeded();
    void          failed(steady_time now, random_source& random);
    breaker_state state() const { return state_; }

private:
    void open(steady_time now, random_source& random);

    breaker_settings settings_;
    breaker_state    state_ = breaker_state::closed;
    unsigned         failures_ = 0; // in a row
    unsigned         openings_ = 0; // since the last success
    steady_time      until_{};      // open: end of the wait; half_open: latest time for the trial's result
};

// Point in time by which a call must have ended.
struct deadline {
    steady_time at;

    static deadline after(duration limit, steady_time now) { return {now + limit}; }
    bool            passed(steady_time now) const { return now >= at; }
    duration        remaining(steady_time now) const { return passed(now) ? duration::zero() : at - now; }
};

// Guards the calls on one dependency with all of the above.
struct dependency_settings {
    retry_budget_settings budget;
    backoff_settings      backoff;
    breaker_settings      breaker;
    unsigned              max_retries = 4; // of one call
};

class dependency {
public:
    dependency(const dependency_settings& settings, steady_time now, std::uint64_t random_seed);

    // Before a first attempt. False: the circuit is open; fail the call without making it.
    bool                    start_call(steady_time now);
    // Before a repeated attempt, after its delay.
    bool                    start_retry(steady_time now);
    void                    succeeded() { breaker_.succeeded(); }
    void                    failed(steady_time now) { breaker_.failed(now, random_); }
    // Delay until the next attempt; nullopt: give up, since the retries of the call or the budget are used up.
    std::optional<duration> retry_delay(unsigned retries_made, steady_time now);
    breaker_state           state() const { return breaker_.state(); }

private:
    dependency_settings settings_;
    retry_budget        budget_;
    circuit_breaker     breaker_;
    random_source       random_;
};

} // namespace tamarack
