// Samples, scores, trials and reports of response times.
#include "entry/response_outliers.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace tamarack::entry {

namespace {

constexpr duration    update_interval = std::chrono::milliseconds(100);
constexpr unsigned    level_smoothing = 3; // weight of a new sample is 1/3, and more for the first ones
constexpr duration    level_retention = std::chrono::seconds(10); // older levels do not count for the median
constexpr std::size_t min_backends = 3;                           // with samples, for a median

// A sample raises the score if it is above this multiple of the typical response time, and lowers it otherwise. Lies
// between the response times of a usual backend server and of one that is four times slower.
constexpr double   score_reference = std::numbers::ln2;
constexpr double   max_excess = 1.0; // of a single sample
// An increase of the typical response time beyond this is a slowness that most backend servers share.
const double       tolerated_increase = std::log(1.5);
// Of the latest samples of a service: if more than this share is slow, the median has not followed yet.
constexpr double   max_slow_share = 0.7;
constexpr double   slow_share_smoothing = 8; // samples
constexpr duration usual_rise_time = std::chrono::minutes(5);
constexpr double   max_score = 2.5;
// Two slow samples in a row reach it, one never does.
constexpr double   report_score = 1.5;
// Scores of this balancer and one for each report reach it together.
constexpr double   outlier_score = 2.0;
constexpr double   well_score = 0.5;
constexpr duration score_window = std::chrono::seconds(3); // backend servers with a sample in it count for the median
constexpr duration score_retention = std::chrono::seconds(30);

// A request that waits this many times the typical time counts as slow, and once more at the second multiple.
constexpr int         overdue_factor = 5;
constexpr int         long_overdue_factor = 20;
constexpr double      max_long_overdue_excess = 0.45; // both together stay below report_score
constexpr duration    min_overdue_time = std::chrono::milliseconds(100);
constexpr std::size_t max_waiting_requests = 4'096; // of a service and kind

constexpr duration report_validity = std::chrono::seconds(6);
// Copies of a report, which may come on different ways, differ by less in the time of the observation.
constexpr duration duplicate_margin = std::chrono::milliseconds(20);
constexpr double   min_cost_factor = 2.0;
constexpr double   max_cost_factor = 30.0;
constexpr double   reported_cost_factor = 4.0; // until a sample of this balancer tells more

// The slower an outlier is, the fewer trials it gets. Trials of all balancers together are samples enough.
constexpr duration trial_time = std::chrono::seconds(2); // times the cost factor
constexpr duration min_trial_interval = std::chrono::seconds(4);
constexpr duration max_trial_interval = std::chrono::seconds(16);
constexpr duration confirming_trial_interval = std::chrono::seconds(1); // after a trial that was fast

std::size_t index_of(request_kind kind) {
    return static_cast<std::size_t>(kind);
}

double log_seconds(duration time) {
    constexpr double min_seconds = 0.001;
    return std::log(std::max(std::chrono::duration<double>(time).count(), min_seconds));
}

duration scaled(duration time, double factor) {
    return std::chrono::duration_cast<duration>(time * factor);
}

// Reorders the values, of which there is at least one.
double median_of(std::vector<double>& values) {
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    return *middle;
}

} // namespace

response_outliers::response_outliers(const replica& store_replica, flow_tracker& flows, avoidance_query is_avoided,
                                     std::uint64_t random_seed)
    : store_replica_(store_replica), flows_(flows), is_avoided_(std::move(is_avoided)), random_(random_seed) {}

response_outliers::response_outliers(const response_outliers& other, flow_tracker& flows, avoidance_query is_avoided)
    : store_replica_(other.store_replica_), flows_(flows), is_avoided_(std::move(is_avoided)), random_(other.random_),
      groups_(other.groups_), states_(other.states_), update_due_(other.update_due_) {
    std::unordered_map<const service_group*, service_group*> copies;
    for (const auto& [service, group] : other.groups_)
        copies[&group] = &groups_.find(service)->second;
    for (auto& [reference, state] : states_)
        state.group = copies.at(state.group);
}

response_outliers::backend_state& response_outliers::state_of(const known_backend& backend) {
    backend_state& state = states_[backend.reference];
    if (state.group == nullptr) state.group = &groups_[backend.registration.service];
    return state;
}

//----------------------------------------------------------------------------------------------------------------------
// Samples
//----------------------------------------------------------------------------------------------------------------------

void response_outliers::note_request(const known_backend& backend, request_kind kind, flow_key flow, steady_time now) {
    auto& waiting = state_of(backend).group->populations.at(index_of(kind)).waiting;
    if (waiting.size() < max_waiting_requests) waiting.push_back({flow, backend.reference, now});
}

void response_outliers::note_answer(const known_backend& backend, request_kind kind, const tracked_flow& flow,
                                    duration answer_time, steady_time now) {
    // The score has counted the request while it waited.
    add_sample(state_of(backend), index_of(kind), answer_time, flow.is_overdue ? 0.0 : max_excess, now);
}

void response_outliers::add_sample(backend_state& state, std::size_t kind, duration response_time,
                                   double largest_excess, steady_time now) {
    const double    value = log_seconds(response_time);
    response_level& level = state.levels.at(kind);
    // Earlier samples tell nothing of what is usual now.
    if (now > level.last_sample + level_retention || is_common(*state.group)) level.samples = 0;
    level.samples = std::min(level.samples + 1, level_smoothing);
    level.log_seconds += (value - level.log_seconds) / level.samples;
    level.last_sample = now;
    state.last_kind = kind;
    const population& others = state.group->populations.at(kind);
    if (!others.is_known) return;
    const bool is_slow = value > others.typical + score_reference;
    state.group->slow_share += ((is_slow ? 1.0 : 0.0) - state.group->slow_share) / slow_share_smoothing;
    // Queues grow unevenly when all are slow, and the capacity is needed.
    const double common_slowness = std::max(0.0, others.typical - others.usual - tolerated_increase);
    const double limit = is_common(*state.group) ? 0.0 : largest_excess;
    const double excess = std::clamp(value - others.typical - score_reference - common_slowness, -max_excess, limit);
    if (now > state.last_sample + score_retention && !state.is_outlier) state.score = 0;
    state.last_sample = now;
    state.score = std::clamp(state.score + excess, 0.0, max_score);
    if (excess > 0) {
        state.last_slow_sample = now;
    } else if (excess < 0) {
        drop_report(state, now);
        if (state.is_outlier) schedule_trial(state, confirming_trial_interval, now);
    }
}

// Drops the older report in force.
void response_outliers::drop_report(backend_state& state, steady_time now) {
    auto& [older, newer] = state.reports_until;
    if (newer < older) std::swap(older, newer);
    (now < older ? older : newer) = {};
}

bool response_outliers::is_suspected(backend_reference reference, steady_time now) const {
    const auto found = states_.find(reference);
    return found != states_.end() && (found->second.is_outlier || found->second.score > well_score ||
                                      now < std::ranges::max(found->second.reports_until));
}

void response_outliers::forget_waiting_requests() {
    for (auto& [service, group] : groups_) {
        for (population& requests : group.populations) {
            requests.waiting.clear();
            requests.overdue.clear();
        }
    }
}

// A backend server that hangs gives no samples.
void response_outliers::count_overdue(service_group& group, steady_time now) {
    for (std::size_t kind = 0; kind < kind_count; ++kind) {
        population& requests = group.populations.at(kind);
        if (!requests.is_known) continue;
        const auto typical =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(std::exp(requests.typical)));
        const duration limit = std::max(overdue_factor * typical, min_overdue_time);
        count_overdue(requests.waiting, group, kind, limit, true, now);
        count_overdue(requests.overdue, group, kind, limit * (long_overdue_factor / overdue_factor), false, now);
    }
}

void response_outliers::count_overdue(std::deque<waiting_request>& requests, service_group& group, std::size_t kind,
                                      duration limit, bool is_first_count, steady_time now) {
    while (!requests.empty() && now >= requests.front().begun + limit) {
        const waiting_request request = requests.front();
        requests.pop_front();
        tracked_flow* flow = flows_.find(request.flow);
        const auto    state = states_.find(request.reference);
        const bool    is_waiting = flow != nullptr && flow->is_waiting && flow->request_received == request.begun &&
                                flow->reference == request.reference;
        if (!is_waiting || state == states_.end()) continue;
        flow->is_overdue = true;
        add_sample(state->second, kind, now - request.begun, is_first_count ? max_excess : max_long_overdue_excess,
                   now);
        auto& overdue = group.populations.at(kind).overdue;
        if (is_first_count && overdue.size() < max_waiting_requests) overdue.push_back(request);
    }
}

//----------------------------------------------------------------------------------------------------------------------
// Outliers
//----------------------------------------------------------------------------------------------------------------------

void response_outliers::update(steady_time now) {
    if (now < update_due_) return;
    update_due_ = now + update_interval;
    collect_members();
    for (auto& [service, group] : groups_) {
        update_typical(group, now);
        count_overdue(group, now);
        update_median_score(group, now);
    }
    for (auto& [reference, state] : states_)
        update_outlier(state, now);
    for (const auto& [service, group] : groups_)
        apply_limit(service, group, now);
}

// A scan of all backend servers for each service would take long with many services.
void response_outliers::collect_members() {
    for (auto& [service, group] : groups_)
        group.members.clear();
    for (auto& [reference, state] : states_)
        state.group->members.push_back(&state);
}

void response_outliers::update_typical(service_group& group, steady_time now) {
    for (std::size_t kind = 0; kind < kind_count; ++kind) {
        values_.clear();
        for (const backend_state* state : group.members) {
            const response_level& level = state->levels.at(kind);
            if (level.samples > 0 && now <= level.last_sample + level_retention) values_.push_back(level.log_seconds);
        }
        population& requests = group.populations.at(kind);
        const bool  is_first = !requests.is_known;
        requests.is_known = values_.size() >= min_backends;
        if (!requests.is_known) continue;
        requests.typical = median_of(values_);
        if (is_first) requests.usual = requests.typical;
        update_usual(requests);
    }
}

void response_outliers::update_usual(population& requests) {
    const double step = std::chrono::duration<double>(update_interval) / usual_rise_time;
    requests.usual = std::min(requests.typical, requests.usual + step * (requests.typical - requests.usual));
}

void response_outliers::update_median_score(service_group& group, steady_time now) {
    values_.clear();
    for (const backend_state* state : group.members) {
        if (!state->is_outlier && now <= state->last_sample + score_window) values_.push_back(state->score);
    }
    group.median_score = values_.size() < min_backends ? 0.0 : median_of(values_);
}

bool response_outliers::is_common(const service_group& group) {
    return group.slow_share > max_slow_share;
}

double response_outliers::relative_score(const backend_state& state) const {
    return state.score - state.group->median_score;
}

void response_outliers::update_outlier(backend_state& state, steady_time now) {
    const auto reports =
        static_cast<double>(std::ranges::count_if(state.reports_until, [&](steady_time until) { return now < until; }));
    const double score = relative_score(state);
    if (!state.is_outlier && score + reports >= outlier_score && !is_common(*state.group)) {
        state.is_outlier = true;
        state.cost_factor = reported_cost_factor;
        schedule_trial(state, trial_interval(state), now);
    } else if (state.is_outlier && score <= well_score && reports == 0) {
        state.is_outlier = false;
        state.must_report_well = state.was_reported;
    }
    const response_level& level = state.levels.at(state.last_kind);
    const population&     others = state.group->populations.at(state.last_kind);
    if (state.is_outlier && others.is_known && state.last_slow_sample > now - score_retention)
        state.cost_factor = std::clamp(std::exp(level.log_seconds - others.typical), min_cost_factor, max_cost_factor);
}

// At most half of the service's backend servers are taken out; of the outliers, those with the highest scores.
void response_outliers::apply_limit(std::string_view service, const service_group& group, steady_time now) {
    outliers_.clear();
    std::size_t taken_out = 0;
    const auto  candidates = store_replica_.available_backends(service);
    for (const known_backend* candidate : candidates) {
        const auto state = states_.find(candidate->reference);
        const bool is_outlier = state != states_.end() && state->second.group == &group && state->second.is_outlier;
        if (is_avoided_(candidate->reference, now)) {
            ++taken_out;
        } else if (is_outlier) {
            outliers_.push_back(&state->second);
        }
    }
    const std::size_t limit = candidates.size() / 2;
    const std::size_t room = limit - std::min(limit, taken_out);
    std::ranges::sort(outliers_, [](const backend_state* left, const backend_state* right) {
        return std::pair(left->score, left->cost_factor) > std::pair(right->score, right->cost_factor);
    });
    for (std::size_t i = 0; i < outliers_.size(); ++i)
        outliers_[i]->is_within_limit = i < room;
}

duration response_outliers::trial_interval(const backend_state& state) {
    return std::clamp(scaled(trial_time, state.cost_factor), min_trial_interval, max_trial_interval);
}

void response_outliers::schedule_trial(backend_state& state, duration mean, steady_time now) {
    state.next_trial = now + scaled(mean, std::uniform_real_distribution<double>(0.5, 1.5)(random_));
}

void response_outliers::note_placed(backend_reference reference, steady_time now) {
    const auto found = states_.find(reference);
    if (found == states_.end() || !found->second.is_outlier) return;
    schedule_trial(found->second, trial_interval(found->second), now);
}

bool response_outliers::is_outlier(backend_reference reference) const {
    const auto found = states_.find(reference);
    return found != states_.end() && found->second.is_outlier && found->second.is_within_limit;
}

std::size_t response_outliers::outlier_count() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        states_, [](const auto& item) { return item.second.is_outlier && item.second.is_within_limit; }));
}

double response_outliers::cost_factor(backend_reference reference, steady_time now) const {
    const auto found = states_.find(reference);
    if (found == states_.end() || !found->second.is_outlier || !found->second.is_within_limit) return 1.0;
    return now >= found->second.next_trial ? 1.0 : found->second.cost_factor;
}

//----------------------------------------------------------------------------------------------------------------------
// Reports
//----------------------------------------------------------------------------------------------------------------------

void response_outliers::append_reports(std::vector<condition_report>& reports, const report_condition& may_report,
                                       steady_time now) {
    update(now);
    for (auto& [reference, state] : states_) {
        const bool is_slow = relative_score(state) >= report_score && !is_common(*state.group) &&
                             state.last_slow_sample > now - report_validity;
        if (state.must_report_well) {
            state.must_report_well = false;
            state.was_reported = false;
            reports.push_back({reference, backend_condition::well, now - state.last_sample, report_validity});
        }
        // One report at a time is in force, so that a balancer alone convinces no other.
        if (!is_slow || now < state.next_report || is_avoided_(reference, now) || !may_report(reference)) continue;
        const duration age = now - state.last_slow_sample;
        reports.push_back({reference, backend_condition::slow, age, report_validity});
        state.next_report = state.last_slow_sample + report_validity;
        state.was_reported = true;
    }
}

void response_outliers::accept_slow(const known_backend& backend, const condition_report& report, steady_time now) {
    backend_state&    state = state_of(backend);
    const steady_time observed_at = now - report.age;
    const bool        is_duplicate = std::chrono::abs(observed_at - state.last_reported) < duplicate_margin;
    state.last_reported = observed_at;
    if (is_duplicate) return;
    steady_time& first_to_end = *std::ranges::min_element(state.reports_until);
    first_to_end = std::max(first_to_end, now + std::min(report.validity, report_validity) - report.age);
}

// As strong as one fast answer here: the other balancer may have had luck with its trials.
void response_outliers::accept_well(backend_reference reference, steady_time now) {
    const auto found = states_.find(reference);
    if (found == states_.end()) return;
    drop_report(found->second, now);
    found->second.score = std::max(0.0, found->second.score - max_excess);
    if (found->second.is_outlier) schedule_trial(found->second, confirming_trial_interval, now);
}

void response_outliers::expire(steady_time now) {
    std::erase_if(states_, [&](const auto& reference_and_state) {
        const auto& [reference, state] = reference_and_state;
        if (now < std::ranges::max(state.reports_until)) return false;
        return store_replica_.find_backend(reference) == nullptr || flows_.find_activity(reference) == nullptr;
    });
    std::unordered_set<const service_group*> used_groups;
    for (const auto& [reference, state] : states_)
        used_groups.insert(state.group);
    std::erase_if(groups_, [&](const auto& item) { return !used_groups.contains(&item.second); });
}

} // namespace tamarack::entry
