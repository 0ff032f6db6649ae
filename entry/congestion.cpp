// Quantiles of recent and usual answer times.
#include "entry/congestion.h"

#include <algorithm>
#include <utility>

namespace tamarack::entry {

namespace {

constexpr double      quantile = 0.3;
// The answer that refuses a request is much shorter than a usual one.
constexpr double      short_answer_part = 0.25; // of the usual size
constexpr double      size_quantile = 0.75;
constexpr double      size_smoothing = 0.25;
// Short answers are refusals only while requests wait: servers refuse them when their queue is full.
constexpr duration    min_refusal_wait = std::chrono::milliseconds(10);
// So many short answers in a row are the new usual ones.
constexpr unsigned    max_short_answers = 256;
// Delay that a share of refusals stands for: a fifth of the requests refused equals a delay of 50 ms.
constexpr duration    delay_of_refusals = std::chrono::milliseconds(250);
// Slow backend servers fill up and refuse while others are free. Refusals count if more than this part of the backend
// servers has refused requests within this time.
constexpr double      min_refusing_share = 0.45;
constexpr duration    refusal_memory = std::chrono::seconds(2);
constexpr std::size_t first_period_samples = 32;
constexpr duration    first_period = std::chrono::seconds(2);
constexpr duration    later_period = std::chrono::seconds(30);
constexpr std::size_t low_periods_divisor = 4; // the usual time is the lower quartile of the periods
constexpr duration    usual_retention = std::chrono::minutes(10);
constexpr int         handshake_smoothing = 8;
// Time in which the packets that waited during a pause are handled.
constexpr duration    pause_margin = std::chrono::milliseconds(200);

duration quantile_of(std::span<duration> values) {
    const auto position = static_cast<std::ptrdiff_t>(quantile * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + position);
    return values[static_cast<std::size_t>(position)];
}

} // namespace

answer_kind congestion::note_answer(const backend_registration& backend, const std::string& route,
                                    const flow_progress& progress, steady_time now) {
    const duration answer_time = *progress.answer_time;
    if (now - answer_time < measured_since_) return answer_kind::processed;
    route_state&   usual = routes_[{backend.service, route}];
    const bool     was_refused = note_size(usual, progress.answered_bytes);
    const duration delay = usual.usual == duration::zero() ? duration::zero() : answer_time - usual.usual;
    domain_state&  state = domains_[{backend.service, backend.failure_domain}];
    state.recent.at(state.next) = {now, delay, was_refused};
    state.next = (state.next + 1) % recent_capacity;
    state.count = std::min(state.count + 1, recent_capacity);
    state.last_used = now;
    backend_answers& answers = state.backends[backend.identity];
    answers.last_answer = now;
    if (was_refused) answers.last_refused = state.last_refused = now;
    usual.last_used = now;
    if (!was_refused) note_usual(usual, answer_time, progress.answered_bytes, now);
    return was_refused ? answer_kind::refused : answer_kind::processed;
}

// Backend servers that are full because they are slow also refuse requests, while others have room.
bool congestion::is_refusing(const domain_state& state, steady_time now) {
    std::size_t answering = 0;
    std::size_t refusing = 0;
    for (const auto& [identity, answers] : state.backends) {
        answering += now - answers.last_answer <= refusal_memory ? 1 : 0;
        refusing += now - answers.last_refused <= refusal_memory ? 1 : 0;
    }
    return static_cast<double>(refusing) > min_refusing_share * static_cast<double>(answering);
}

bool congestion::note_size(route_state& state, std::uint32_t answered_bytes) {
    if (answered_bytes >= short_answer_part * state.usual_size) {
        state.short_answers = 0;
        return false;
    }
    if (++state.short_answers < max_short_answers) return true;
    state.usual_size = 0;
    state.short_answers = 0;
    return false;
}

void congestion::note_usual_size(route_state& state) {
    std::vector<std::uint32_t> sizes;
    for (const answer& item : state.period)
        sizes.push_back(item.bytes);
    const auto position = static_cast<std::ptrdiff_t>(size_quantile * static_cast<double>(sizes.size() - 1));
    std::ranges::nth_element(sizes, sizes.begin() + position);
    const double size = sizes[static_cast<std::size_t>(position)];
    state.usual_size = state.usual_size == 0 ? size : state.usual_size + size_smoothing * (size - state.usual_size);
}

void congestion::note_usual(route_state& state, duration answer_time, std::uint32_t answered_bytes, steady_time now) {
    if (state.period.empty()) state.period_start = now;
    state.period.push_back({answer_time, answered_bytes});
    const std::size_t enough = state.usual == duration::zero() ? first_period_samples : period_capacity;
    if (state.period.size() < enough) return;
    const duration period = state.usual == duration::zero() ? first_period : later_period;
    if (now - state.period_start < period) { // only the latest answers of a period count
        if (state.period.size() == period_capacity) state.period.erase(state.period.begin());
        return;
    }
    note_usual_size(state);
    std::vector<duration> values;
    for (const answer& item : std::exchange(state.period, {})) { // in the first one refusals are not known as such yet
        if (item.bytes >= short_answer_part * state.usual_size) values.push_back(item.time);
    }
    state.periods.at(state.next_period) = {quantile_of(values), now};
    state.next_period = (state.next_period + 1) % period_count;
    values.clear();
    for (const usual_value& value : state.periods) {
        if (value.time > duration::zero() && now - value.at <= usual_retention) values.push_back(value.time);
    }
    if (values.empty()) return; // requests and acknowledgements were read together, so that no answer took any time
    std::ranges::sort(values);
    state.usual = values[values.size() / low_periods_divisor];
}

void congestion::note_handshake(const std::string& service, const std::string& failure_domain, duration handshake_time,
                                steady_time now) {
    if (now - handshake_time < measured_since_) return;
    domain_state& state = domains_[{service, failure_domain}];
    state.last_used = now;
    if (state.handshake_time == duration::zero()) state.handshake_time = handshake_time;
    state.handshake_time += (handshake_time - state.handshake_time) / handshake_smoothing;
}

void congestion::note_pause(steady_time now) {
    measured_since_ = now + pause_margin;
}

std::optional<queue_estimate> congestion::estimate(const std::string& service, const std::string& failure_domain,
                                                   steady_time now) const {
    return estimate_in(service, failure_domain, usual_window, now);
}

std::optional<queue_estimate> congestion::coarse_estimate(const std::string& service, const std::string& failure_domain,
                                                          steady_time now) const {
    return estimate_in(service, failure_domain, coarse_window, now);
}

std::optional<queue_estimate> congestion::estimate_in(const std::string& service, const std::string& failure_domain,
                                                      const sample_window& window, steady_time now) const {
    const auto found = domains_.find({service, failure_domain});
    if (found == domains_.end()) return std::nullopt;
    const domain_state&                   state = found->second;
    std::array<duration, recent_capacity> delays{};
    std::size_t                           processed = 0;
    std::size_t                           refused = 0;
    for (std::size_t back = 1; back <= state.count; ++back) {
        const sample&  item = state.recent.at((state.next + recent_capacity - back) % recent_capacity);
        const duration age = now - item.at;
        const bool     has_enough = processed + refused >= window.min_samples;
        if (age > window.longest || (age > window.preferred && has_enough)) break;
        if (item.was_refused) {
            ++refused;
        } else {
            delays.at(processed++) = item.delay;
        }
    }
    const std::size_t samples = processed + refused;
    if (samples < window.min_samples) return std::nullopt;
    const duration waiting = processed == 0 ? duration::zero() : quantile_of({delays.data(), processed});
    duration       refusing{};
    if (refused > 0 && waiting >= min_refusal_wait && is_refusing(state, now))
        refusing = delay_of_refusals * static_cast<int>(refused) / static_cast<int>(samples);
    return queue_estimate{std::max({waiting, refusing, duration::zero()}), samples};
}

std::optional<duration> congestion::lowest_delay(const std::string& service, steady_time now) const {
    duration lowest = duration::max();
    bool     is_known = false;
    for (auto at = domains_.lower_bound({service, {}}); at != domains_.end() && at->first.first == service; ++at) {
        auto domain = estimate(service, at->first.second, now);
        is_known = is_known || domain;
        if (!domain) domain = coarse_estimate(service, at->first.second, now);
        if (domain) lowest = std::min(lowest, domain->delay);
    }
    return is_known ? std::optional(lowest) : std::nullopt;
}

duration congestion::handshake_time(const std::string& service, const std::string& failure_domain) const {
    const auto found = domains_.find({service, failure_domain});
    return found == domains_.end() ? duration::zero() : found->second.handshake_time;
}

duration congestion::usual_time(const std::string& service, const std::string& route) const {
    const auto found = routes_.find({service, route});
    return found == routes_.end() ? duration::zero() : found->second.usual;
}

steady_time congestion::last_refusal(const std::string& service) const {
    steady_time last{};
    for (auto at = domains_.lower_bound({service, {}}); at != domains_.end() && at->first.first == service; ++at)
        last = std::max(last, at->second.last_refused);
    return last;
}

void congestion::relearn(const std::string& service) {
    for (auto at = domains_.lower_bound({service, {}}); at != domains_.end() && at->first.first == service; ++at)
        at->second.count = 0;
    for (auto at = routes_.lower_bound({service, {}}); at != routes_.end() && at->first.first == service; ++at) {
        route_state relearned;
        relearned.last_used = at->second.last_used;
        at->second = std::move(relearned);
    }
}

void congestion::expire(steady_time now) {
    const auto is_old = [&](const auto& item) { return now - item.second.last_used > usual_retention; };
    std::erase_if(domains_, is_old);
    for (auto& [name, state] : domains_) {
        std::erase_if(state.backends, [&](const auto& item) { return now - item.second.last_answer > refusal_memory; });
    }
    std::erase_if(routes_, is_old);
}

} // namespace tamarack::entry
