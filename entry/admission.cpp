// Rate of admitted work, and its division among the routes of a service.
#include "entry/admission.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace tamarack::entry {

namespace {

constexpr duration    update_interval = std::chrono::milliseconds(100);
// Without an update for longer, as in a pause of the process, the state is out of date.
constexpr duration    max_update_gap = std::chrono::seconds(2);
constexpr double      rate_smoothing = 0.5; // seconds
// Target of the delay: a part of the response-time goal and a small multiple of the usual time.
constexpr int         goal_divisor = 16;
constexpr double      usual_factor = 1.2; // a queue of a few requests keeps the slots busy
constexpr duration    min_target = std::chrono::milliseconds(15);
// The error of the delay is 1 - delay / target: positive below the target, -1 at twice the target.
constexpr double      min_error = -2.0;
constexpr double      max_error = 1.0;
// The delay must be twice the target for this long before flows are refused: a few long requests are no overload.
constexpr double      begin_error = -1.0;
constexpr duration    begin_time = std::chrono::milliseconds(400);
// The smoothed rate of answers still lags when the overload has just begun.
constexpr double      begin_factor = 1.2;
constexpr duration    end_time = std::chrono::seconds(1);
// Change of the rate per second and relative error of the delay. More makes it oscillate, since the answers that show
// the effect come a few hundred milliseconds later.
constexpr double      gain = 0.3;
constexpr double      reopening_gain = 1.0; // in addition, while there is hardly any delay
constexpr double      reopening_error = 0.6;
// Backend servers that are short of capacity refuse some requests within this time.
constexpr duration    slowness_time = std::chrono::seconds(5);
constexpr double      error_smoothing = 2.0;   // seconds
constexpr double      saturation_error = -1.0; // below it the backend servers are full
constexpr duration    saturation_time = std::chrono::milliseconds(500);
// Moves the rates of the balancers towards the same share of their demand, per second.
constexpr double      equalizing_gain = 0.4;
constexpr double      min_share = 0.02; // of all work: without answers, no delay can be seen
// Of each route's flows: the callers of a low priority must not starve.
constexpr double      min_route_share = 0.05;
constexpr double      max_rate_factor = 1.3;  // of the demand
constexpr double      open_rate_factor = 1.1; // of the demand; above it the rate no longer binds
// Callers send the last retransmission of a SYN after 600 ms, and abandon it after 1.4 s.
constexpr duration    refusal_retention = std::chrono::seconds(2);
constexpr std::size_t max_refused = 16'384;
constexpr std::size_t max_changes = 64; // that wait to be logged
constexpr duration    demand_retention = std::chrono::minutes(1);
constexpr double      unknown_work = 0.03; // seconds; only its ratio to the work of other routes matters

double to_seconds(duration time) {
    return std::chrono::duration<double>(time).count();
}

// Of a route, or of its demand.
bool asks_for_admission_control(const auto& item) {
    return item.priority > 0 || item.response_goal > duration::zero();
}

} // namespace

admission::admission(congestion& waiting, std::uint64_t random_seed) : congestion_(waiting), random_(random_seed) {}

admission::admission(const admission& other, congestion& waiting)
    : congestion_(waiting), random_(other.random_), services_(other.services_), refused_(other.refused_),
      refused_order_(other.refused_order_) {}

//----------------------------------------------------------------------------------------------------------------------
// New flows
//----------------------------------------------------------------------------------------------------------------------

bool admission::admit(const route& matched_route, const std::string& service, const segment& syn, steady_time now) {
    forget_refused(now);
    const flow_key key = key_of(syn);
    if (was_refused(key, syn)) return false;
    // Another balancer may have delivered the first SYN.
    if (syn.acknowledged > 0) return true;
    service_state& state = services_[service];
    if (!asks_for_admission_control(matched_route) && state.routes.empty()) return true;
    const auto [at, is_new] = state.routes.try_emplace(matched_route.name);
    route_demand& demand = at->second;
    if (is_new) demand.credit = std::uniform_real_distribution<double>()(random_);
    demand.priority = matched_route.priority;
    demand.response_goal = matched_route.response_goal;
    demand.time_limit = matched_route.time_limit;
    demand.last_arrival = now;
    ++demand.arrivals;
    if (!is_controlled(state)) {
        if (state.is_refusing) set_refusing(service, state, false);
        services_.erase(service);
        return true;
    }
    update(service, state, now);
    // A SYN is only refused if its retransmissions can be refused, too.
    const bool        is_admitted = refused_order_.size() >= max_refused || take_credit(state, demand);
    admission_counts& counts = counts_[matched_route.priority];
    ++(is_admitted ? counts.admitted : counts.refused);
    if (!is_admitted) note_refused(syn, now);
    return is_admitted;
}

void admission::note_refused(const segment& syn, steady_time now) {
    if (refused_order_.size() >= max_refused) return;
    const flow_key key = key_of(syn);
    refused_[key] = syn.sequence;
    refused_order_.push_back({key, syn.sequence, now});
}

// The configuration may have changed since the routes had their first flows.
bool admission::is_controlled(const service_state& state) {
    return std::ranges::any_of(state.routes, [](const auto& item) { return asks_for_admission_control(item.second); });
}

bool admission::was_refused(flow_key key, const segment& syn) const {
    const auto found = refused_.find(key);
    return found != refused_.end() && found->second == syn.sequence;
}

// Admits evenly distributed flows, which keeps the queues shorter than independent draws.
bool admission::take_credit(const service_state& state, route_demand& demand) {
    if (!state.is_refusing) return true;
    const bool has_limit = demand.time_limit > duration::zero();
    if (has_limit && to_seconds(state.delay) + demand.work > to_seconds(demand.time_limit)) return false; // too late
    demand.credit += demand.share;
    if (demand.credit < 1.0) return false;
    demand.credit -= 1.0;
    return true;
}

void admission::note_answer(const std::string& service, const std::string& route, answer_kind kind) {
    const auto state = services_.find(service);
    if (state == services_.end() || kind == answer_kind::refused) return;
    const auto demand = state->second.routes.find(route);
    if (demand != state->second.routes.end()) state->second.answered += demand->second.work;
}

void admission::forget_refused(steady_time now) {
    while (!refused_order_.empty() && now - refused_order_.front().at > refusal_retention) {
        const refused_syn& oldest = refused_order_.front();
        const auto         found = refused_.find(oldest.key);
        if (found != refused_.end() && found->second == oldest.sequence) refused_.erase(found);
        refused_order_.pop_front();
    }
}

void admission::expire(steady_time now) {
    forget_refused(now);
    for (auto& [service, state] : services_) {
        update(service, state, now);
        std::erase_if(state.routes,
                      [&](const auto& item) { return now - item.second.last_arrival > demand_retention; });
    }
    std::erase_if(services_, [](const auto& item) { return item.second.routes.empty(); });
}

//----------------------------------------------------------------------------------------------------------------------
// Rate
//----------------------------------------------------------------------------------------------------------------------

void admission::update(const std::string& service, service_state& state, steady_time now) {
    if (state.last_update != steady_time{} && now - state.last_update < update_interval) return;
    const duration elapsed = now - std::exchange(state.last_update, now);
    if (elapsed > max_update_gap) {
        state.answered = 0;
        for (auto& [name, demand] : state.routes)
            demand.arrivals = 0;
        if (state.is_refusing) set_refusing(service, state, false);
        return;
    }
    const double seconds = to_seconds(elapsed);
    update_rates(service, state, seconds);
    const auto delay = congestion_.lowest_delay(service, now);
    state.delay = delay.value_or(duration::zero());
    state.target = target_of(state);
    const double error = std::clamp(1.0 - to_seconds(state.delay) / to_seconds(state.target), min_error, max_error);
    if (state.is_refusing) {
        adjust(service, state, error, seconds, now);
    } else {
        watch(service, state, error, now);
    }
}

void admission::update_rates(const std::string& service, service_state& state, double seconds) {
    const double weight = 1.0 - std::exp(-seconds / rate_smoothing);
    state.offered_rate = 0;
    for (auto& [name, demand] : state.routes) {
        const duration usual = congestion_.usual_time(service, name);
        demand.work = usual == duration::zero() ? unknown_work : to_seconds(usual);
        const auto arrivals = static_cast<double>(std::exchange(demand.arrivals, 0));
        demand.arrival_rate += weight * (arrivals / seconds - demand.arrival_rate);
        state.offered_rate += demand.arrival_rate * demand.work;
    }
    state.answered_rate += weight * (std::exchange(state.answered, 0.0) / seconds - state.answered_rate);
}

duration admission::target_of(const service_state& state) const {
    duration goal = duration::max();
    double   work = std::numeric_limits<double>::max();
    for (const auto& [name, demand] : state.routes) {
        if (demand.response_goal > duration::zero()) goal = std::min(goal, demand.response_goal);
        work = std::min(work, demand.work);
    }
    const auto by_work = std::chrono::duration_cast<duration>(std::chrono::duration<double>(usual_factor * work));
    return std::max(min_target, std::min(goal / goal_divisor, by_work));
}

void admission::watch(const std::string& service, service_state& state, double error, steady_time now) {
    if (error > begin_error) {
        state.above_since.reset();
        return;
    }
    if (!state.above_since) state.above_since = now;
    if (now - *state.above_since < begin_time) return;
    // Where flows carry several requests, more is answered than new flows ask for.
    state.rate = std::min(state.offered_rate, begin_factor * state.answered_rate);
    set_refusing(service, state, true);
    share_out(state);
}

void admission::adjust(const std::string& service, service_state& state, double error, double seconds,
                       steady_time now) {
    state.smoothed_error += (1.0 - std::exp(-seconds / error_smoothing)) * (error - state.smoothed_error);
    if (note_slowness(service, state, now)) {
        congestion_.relearn(service);
        return set_refusing(service, state, false);
    }
    const double offered = std::max(state.offered_rate, std::numeric_limits<double>::min());
    // Full backend servers answer at the rate of their capacity.
    if (error > saturation_error) {
        state.saturated_since.reset();
    } else if (!state.saturated_since) {
        state.saturated_since = now;
    } else if (now - *state.saturated_since >= saturation_time) {
        state.rate = std::min(state.rate, state.answered_rate);
        state.saturated_since = now;
    }
    double change = gain * error;
    if (error > reopening_error) change += reopening_gain * (error - reopening_error) / (1.0 - reopening_error);
    state.rate = std::max(state.rate, min_share * offered);
    change -= equalizing_gain * std::min(0.0, std::log(state.rate / offered));
    state.rate = std::clamp(state.rate * std::exp(change * seconds), min_share * offered, max_rate_factor * offered);
    share_out(state);
    if (error <= 0 || state.rate < open_rate_factor * offered) {
        state.open_since.reset();
        return;
    }
    if (!state.open_since) state.open_since = now;
    if (now - *state.open_since >= end_time) set_refusing(service, state, false);
}

// Backend servers may have become slow without being full: the delay stays, whatever is refused.
bool admission::note_slowness(const std::string& service, service_state& state, steady_time now) const {
    if (state.smoothed_error >= 0) {
        state.delayed_since.reset();
        return false;
    }
    if (!state.delayed_since) state.delayed_since = now;
    return now - std::max(*state.delayed_since, congestion_.last_refusal(service)) >= slowness_time;
}

// By priority; within a priority those first that serve most requests with the same work.
void admission::share_out(service_state& state) {
    std::vector<route_demand*> demands;
    double                     remaining = state.rate;
    for (auto& [name, demand] : state.routes) {
        demands.push_back(&demand);
        remaining -= min_route_share * demand.arrival_rate * demand.work;
    }
    std::ranges::sort(demands, [](const route_demand* left, const route_demand* right) {
        return std::tie(left->priority, left->work, left->response_goal, left->time_limit) <
               std::tie(right->priority, right->work, right->response_goal, right->time_limit);
    });
    for (route_demand* demand : demands) {
        const double more = (1.0 - min_route_share) * demand->arrival_rate * demand->work;
        const double taken = std::clamp(remaining, 0.0, more);
        demand->share = more <= 0 ? 1.0 : min_route_share + (1.0 - min_route_share) * taken / more;
        remaining -= taken;
    }
}

void admission::set_refusing(const std::string& service, service_state& state, bool is_refusing) {
    state.is_refusing = is_refusing;
    state.above_since.reset();
    state.open_since.reset();
    state.delayed_since.reset();
    state.smoothed_error = 0;
    state.saturated_since.reset();
    if (!is_refusing) {
        for (auto& [name, demand] : state.routes)
            demand.share = 1.0;
    }
    if (changes_.size() < max_changes) changes_.push_back({service, is_refusing, state.delay});
}

//----------------------------------------------------------------------------------------------------------------------
// Status
//----------------------------------------------------------------------------------------------------------------------

admission_status admission::status(const std::string& service) const {
    const auto found = services_.find(service);
    if (found == services_.end()) return {};
    const service_state& state = found->second;
    const bool           is_bound = state.is_refusing && state.offered_rate > 0;
    return {state.is_refusing, state.delay, state.target,
            is_bound ? std::min(1.0, state.rate / state.offered_rate) : 1.0};
}

double admission::share(const std::string& service, const std::string& route) const {
    const auto found = services_.find(service);
    if (found == services_.end()) return 1.0;
    const auto demand = found->second.routes.find(route);
    return demand == found->second.routes.end() ? 1.0 : demand->second.share;
}

std::vector<std::string> admission::services() const {
    std::vector<std::string> names;
    for (const auto& [name, state] : services_)
        names.push_back(name);
    return names;
}

} // namespace tamarack::entry
