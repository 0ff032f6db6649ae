// Protection of calls to dependencies: token bucket, retry budget, backoff, circuit breaker, deadlines.
//
// No I/O; callers pass the current time. See docs/design.md section 2.5.
#pragma once

#include "tamarack/tamarack.h"

#include <random>

namespace tamarack {

using random_source = std::mt19937_64;

// Refills at a fixed rate up to the burst. Any window of t seconds permits at most burst + rate * t.
class token_bucket {
public:
    token_bucket(double rate_per_second, double burst, steady_time now);

    // Takes the amount if at least the reserve remains, and returns true; otherwise takes nothing.
    bool   take(double amount, steady_time now, double reserve = 0.0);
    double available(steady_time now) const;
    // The new rate applies from now on. Tokens above the new burst are lost.
    void   set_rate(double rate_per_second, double burst, steady_time now);

private:
    double      rate_;
    double      burst_;
    double      tokens_; // 0 .. burst_
    steady_time refilled_at_;
};

// Permitted retries: a share of the calls made, plus a minimum rate so that a client with few calls can still retry.
struct retry_budget_settings {
    double share_of_calls = 0.1;
    double floor_per_second = 1.0;
    double burst = 10.0;
};

class retry_budget {
public:
    retry_budget(const retry_budget_settings& settings, steady_time now);

    void record_call(steady_time now); // a first attempt
    bool take_retry(steady_time now);  // false: budget exhausted

private:
    void refill(steady_time now);

    retry_budget_settings settings_;
    double                tokens_; // 0 .. settings_.burst
    steady_time           refilled_at_;
};

// Capped exponential backoff with full jitter: uniform in 0 .. min(cap, base * 2^attempt).
struct backoff_settings {
    duration base = std::chrono::milliseconds(100);
    duration cap = std::chrono::seconds(10);
};

duration backoff_limit(const backoff_settings& settings, unsigned attempt); // attempt 0 is the first retry
duration backoff_delay(const backoff_settings& settings, unsigned attempt, random_source& random);

enum class breaker_state : std::uint8_t {
    closed,    // calls are permitted
    open,      // calls are rejected until the wait is over
    half_open, // one trial call is in progress
};

std::string_view to_string(breaker_state state);

struct breaker_settings {
    unsigned         failures_to_open = 5;                                       // in a row
    backoff_settings wait = {std::chrono::seconds(1), std::chrono::seconds(10)}; // grows with each failed trial call
    duration trial_limit = std::chrono::seconds(10); // a trial call without a result within this time has failed
};

class circuit_breaker {
public:
    explicit circuit_breaker(const breaker_settings& settings = {});

    // True if a call may be made now; the caller must then report its result. In half_open only one call is permitted.
    bool          allow(steady_time now, random_source& random);
    void          succeeded();
    void          failed(steady_time now, random_source& random);
    breaker_state state() const { return state_; }

private:
    void open(steady_time now, random_source& random);

    breaker_settings settings_;
    breaker_state    state_ = breaker_state::closed;
    unsigned         consecutive_failures_ = 0;
    unsigned         consecutive_openings_ = 0; // since the last success
    steady_time      state_ends_at_{};          // open: end of the wait; half_open: latest time for the trial's result
};

// Point in time by which a call must have ended.
struct deadline {
    steady_time expires_at;

    static deadline after(duration limit, steady_time now) { return {now + limit}; }
    bool            passed(steady_time now) const { return now >= expires_at; }
    duration        remaining(steady_time now) const { return passed(now) ? duration::zero() : expires_at - now; }
};

// Combines retry budget, backoff and circuit breaker for the calls to one dependency.
struct dependency_settings {
    retry_budget_settings budget;
    backoff_settings      backoff;
    breaker_settings      breaker;
    unsigned              max_retries = 4; // per call
};

class dependency {
public:
    dependency(const dependency_settings& settings, steady_time now, std::uint64_t random_seed);

    // To be called before a first attempt. False: the circuit is open, and the call must fail without being made.
    bool                    start_call(steady_time now);
    // To be called before a repeated attempt, after its delay. False: the circuit is open.
    bool                    start_retry(steady_time now);
    void                    succeeded() { breaker_.succeeded(); }
    void                    failed(steady_time now) { breaker_.failed(now, random_); }
    // Delay until the next attempt. Empty if the retries of the call or the retry budget are exhausted.
    std::optional<duration> retry_delay(unsigned retries_made, steady_time now);
    breaker_state           state() const { return breaker_.state(); }

private:
    dependency_settings settings_;
    retry_budget        budget_;
    circuit_breaker     breaker_;
    random_source       random_;
};

} // namespace tamarack
