// Token bucket, retry budget, backoff and circuit breaker.
#include "tamarack/resilience.h"

#include <algorithm>

namespace tamarack {

namespace {

double seconds_between(steady_time from, steady_time to) {
    return to > from ? std::chrono::duration<double>(to - from).count() : 0.0;
}

} // namespace

//----------------------------------------------------------------------------------------------------------------------
// Token bucket
//----------------------------------------------------------------------------------------------------------------------

token_bucket::token_bucket(double rate_per_second, double burst, steady_time now)
    : rate_(rate_per_second), burst_(burst), tokens_(burst), refilled_(now) {}

double token_bucket::available(steady_time now) const {
    return std::min(burst_, tokens_ + rate_ * seconds_between(refilled_, now));
}

void token_bucket::set_rate(double rate_per_second, double burst, steady_time now) {
    tokens_ = std::min(burst, available(now));
    refilled_ = std::max(refilled_, now);
    rate_ = rate_per_second;
    burst_ = burst;
}

bool token_bucket::take(double amount, steady_time now, double reserve) {
    tokens_ = available(now);
    refilled_ = std::max(refilled_, now);
    if (tokens_ - amount < reserve) return false;
    tokens_ -= amount;
    return true;
}

//----------------------------------------------------------------------------------------------------------------------
// Retry budget
//----------------------------------------------------------------------------------------------------------------------

retry_budget::retry_budget(const retry_budget_settings& settings, steady_time now)
    : settings_(settings), tokens_(settings.burst), refilled_(now) {}

void retry_budget::refill(steady_time now) {
    tokens_ = std::min(settings_.burst, tokens_ + settings_.floor_per_second * seconds_between(refilled_, now));
    refilled_ = std::max(refilled_, now);
}

void retry_budget::note_call(steady_time now) {
    refill(now);
    tokens_ = std::min(settings_.burst, tokens_ + settings_.share_of_calls);
}

bool retry_budget::take_retry(steady_time now) {
    refill(now);
    if (tokens_ < 1.0) return false;
    tokens_ -= 1.0;
    return true;
}

//----------------------------------------------------------------------------------------------------------------------
// Backoff
//----------------------------------------------------------------------------------------------------------------------

duration backoff_limit(const backoff_settings& settings, unsigned attempt) {
    duration limit = settings.base;
    for (unsigned i = 0; i < attempt && limit < settings.cap; ++i)
        limit *= 2;
    return std::min(limit, settings.cap);
}

duration backoff_delay(const backoff_settings& settings, unsigned attempt, random_source& random) {
    std::uniform_int_distribution<duration::rep> pick(0, backoff_limit(settings, attempt).count());
    return duration(pick(random));
}

//----------------------------------------------------------------------------------------------------------------------
// Circuit breaker
//----------------------------------------------------------------------------------------------------------------------

std::string_view to_string(breaker_state state) {
    switch (state) {
    case breaker_state::closed:
        return "closed";
    case breaker_state::open:
        return "open";
    case breaker_state::half_open:
        return "half_open";
    }
    return "unknown";
}

circuit_breaker::circuit_breaker(const breaker_settings& settings) : settings_(settings) {}

void circuit_breaker::open(steady_time now, random_source& random) {
    // Half of the wait is fixed, so that an open circuit always gives the dependency some rest.
    const duration limit = backoff_limit(settings_.wait, openings_);
    const duration jitter = std::uniform_int_distribution<duration::rep>(0, limit.count() / 2)(random) * duration(1);
    state_ = breaker_state::open;
    until_ = now + limit / 2 + jitter;
    ++openings_;
}

bool circuit_breaker::allow(steady_time now, random_source& random) {
    if (state_ == breaker_state::closed) return true;
    if (now < until_) return false;
    if (state_ == breaker_state::half_open) { // the result of the trial call was lost
        open(now, random);
        return false;
    }
    state_ = breaker_state::half_open;
    until_ = now + settings_.trial_limit;
    return true;
}

void circuit_breaker::succeeded() {
    // Late answers to calls from before the opening don't close the circuit: only the trial's answer does.
    if (state_ == breaker_state::open) return;
    state_ = breaker_state::closed;
    failures_ = 0;
    openings_ = 0;
}

void circuit_breaker::failed(steady_time now, random_source& random) {
    if (state_ == breaker_state::open) return;
    ++failures_;
    if (state_ == breaker_state::half_open || failures_ >= settings_.failures_to_open) open(now, random);
}

//----------------------------------------------------------------------------------------------------------------------
// Dependency
//----------------------------------------------------------------------------------------------------------------------

dependency::dependency(const dependency_settings& settings, steady_time now, std::uint64_t random_seed)
    : settings_(settings), budget_(settings.budget, now), breaker_(settings.breaker), random_(random_seed) {}

bool dependency::start_call(steady_time now) {
    if (!breaker_.allow(now, random_)) return false;
    budget_.note_call(now);
    return true;
}

bool dependency::start_retry(steady_time now) {
    return breaker_.allow(now, random_);
}

std::optional<duration> dependency::retry_delay(unsigned retries_made, steady_time now) {
    if (retries_made >= settings_.max_retries) return std::nullopt;
    if (!budget_.take_retry(now)) return std::nullopt;
    return backoff_delay(settings_.backoff, retries_made, random_);
}

} // namespace tamarack
