// Token bucket, retry budget, backoff and circuit breaker.
#include "tamarack/resilience.h"

#include <algorithm>

namespace tamarack {

namespace {

double seconds_between(steady_time earlier, steady_time later) {
    return later > earlier ? std::chrono::duration<double>(later - earlier).count() : 0.0;
}

} // namespace

//----------------------------------------------------------------------------------------------------------------------
// Token bucket
//----------------------------------------------------------------------------------------------------------------------

token_bucket::token_bucket(double rate_per_second, double burst, steady_time now)
    : rate_(rate_per_second), burst_(burst), tokens_(burst), refilled_at_(now) {}

double token_bucket::available(steady_time now) const {
    return std::min(burst_, tokens_ + rate_ * seconds_between(refilled_at_, now));
}

void token_bucket::set_rate(double rate_per_second, double burst, steady_time now) {
    tokens_ = std::min(burst, available(now));
    refilled_at_ = std::max(refilled_at_, now);
    rate_ = rate_per_second;
    burst_ = burst;
}

bool token_bucket::take(double amount, steady_time now, double reserve) {
    tokens_ = available(now);
    refilled_at_ = std::max(refilled_at_, now);
    if (tokens_ - amount < reserve) return false;
    tokens_ -= amount;
    return true;
}

//----------------------------------------------------------------------------------------------------------------------
// Retry budget
//----------------------------------------------------------------------------------------------------------------------

retry_budget::retry_budget(const retry_budget_settings& settings, steady_time now)
    : settings_(settings), tokens_(settings.burst), refilled_at_(now) {}

void retry_budget::refill(steady_time now) {
    tokens_ = std::min(settings_.burst, tokens_ + settings_.floor_per_second * seconds_between(refilled_at_, now));
    refilled_at_ = std::max(refilled_at_, now);
}

void retry_budget::record_call(steady_time now) {
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
    std::uniform_int_distribution<duration::rep> distribution(0, backoff_limit(settings, attempt).count());
    return duration(distribution(random));
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
    // Half of the wait is fixed, so that an open circuit always relieves the dependency for some time.
    const duration limit = backoff_limit(settings_.wait, consecutive_openings_);
    const duration jitter = std::uniform_int_distribution<duration::rep>(0, limit.count() / 2)(random) * duration(1);
    state_ = breaker_state::open;
    state_ends_at_ = now + limit / 2 + jitter;
    ++consecutive_openings_;
}

bool circuit_breaker::allow(steady_time now, random_source& random) {
    if (state_ == breaker_state::closed) return true;
    if (now < state_ends_at_) return false;
    if (state_ == breaker_state::half_open) { // the trial call gave no result in time
        open(now, random);
        return false;
    }
    state_ = breaker_state::half_open;
    state_ends_at_ = now + settings_.trial_limit;
    return true;
}

void circuit_breaker::succeeded() {
    // Late answers to calls made before the circuit opened don't close it: only the answer of a trial call does.
    if (state_ == breaker_state::open) return;
    state_ = breaker_state::closed;
    consecutive_failures_ = 0;
    consecutive_openings_ = 0;
}

void circuit_breaker::failed(steady_time now, random_source& random) {
    if (state_ == breaker_state::open) return;
    ++consecutive_failures_;
    if (state_ == breaker_state::half_open || consecutive_failures_ >= settings_.failures_to_open) open(now, random);
}

//----------------------------------------------------------------------------------------------------------------------
// Dependency
//----------------------------------------------------------------------------------------------------------------------

dependency::dependency(const dependency_settings& settings, steady_time now, std::uint64_t random_seed)
    : settings_(settings), budget_(settings.budget, now), breaker_(settings.breaker), random_(random_seed) {}

bool dependency::start_call(steady_time now) {
    if (!breaker_.allow(now, random_)) return false;
    budget_.record_call(now);
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
