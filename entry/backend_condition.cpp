// Observations, reports and their effects.
#include "entry/backend_condition.h"

#include <algorithm>

namespace tamarack::entry {

namespace {

// A backend server that does not respond is avoided for the base time, which doubles with each further failure.
constexpr backoff_settings avoidance_backoff = {std::chrono::milliseconds(400), std::chrono::seconds(6)};
// A report holds at least this long: hosts learn of a condition when a part of the first avoidance is over.
constexpr duration         min_report_validity = std::chrono::seconds(1);
constexpr duration         max_report_validity = std::chrono::seconds(10);
// Receivers avoid a backend server for up to this time longer. The few that try it again first report it again if it
// is still unresponsive, before the others try it.
constexpr duration         report_spread = std::chrono::seconds(3);

// Responses this long after the beginning of a silence belong to packets that were forwarded after it. Earlier ones do
// not show that this host's link still works.
constexpr duration response_margin = std::chrono::milliseconds(150);
constexpr duration report_response_age = std::chrono::milliseconds(500);
constexpr unsigned min_responding_backends = 2;
// After a pause, answers that wait in the socket look missing.
constexpr duration pause_margin = std::chrono::seconds(1);
// The host's own link is suspected if the losses that are remembered all fall into this time.
constexpr duration loss_window = std::chrono::seconds(5);
// A silence that ends earlier was a loss rather than a condition.
constexpr duration min_condition_time = std::chrono::seconds(2);

// All balancers see the recovery of a backend server at once. Their first flows spread over this time, so that they do
// not exceed its slots and queue.
constexpr duration recovery_time = std::chrono::seconds(2);
// Of a backend server that recovers: chosen only if the others are busy.
constexpr double   recovery_cost_factor = 3.0;

// Counts other backend servers that the predicate selects and that have responded since, up to the limit.
template <class Selects>
unsigned count_responding(const replica& store_replica, const flow_tracker& flows, const known_backend& backend,
                          steady_time since, Selects selects) {
    unsigned count = 0;
    for (const known_backend* other : store_replica.available_backends(backend.registration.service)) {
        if (other->reference == backend.reference || !selects(*other)) continue;
        if (flows.activity(other->reference).last_response >= since && ++count == min_responding_backends) break;
    }
    return count;
}

} // namespace

backend_conditions::backend_conditions(const replica& store_replica, flow_tracker& flows, std::uint64_t random_seed)
    : store_replica_(store_replica), flows_(flows), random_(random_seed),
      outliers_(store_replica, flows, avoidance(), random_()) {}

backend_conditions::backend_conditions(const backend_conditions& other, flow_tracker& flows)
    : store_replica_(other.store_replica_), flows_(flows), random_(other.random_),
      outliers_(other.outliers_, flows, avoidance()), states_(other.states_), last_pause_end_(other.last_pause_end_),
      losses_(other.losses_) {}

response_outliers::avoidance_query backend_conditions::avoidance() const {
    return [this](backend_reference reference, steady_time now) { return is_avoided(reference, now); };
}

backend_conditions::backend_state* backend_conditions::find_state(backend_reference reference) {
    const auto found = states_.find(reference);
    return found == states_.end() ? nullptr : &found->second;
}

const backend_conditions::backend_state* backend_conditions::find_state(backend_reference reference) const {
    const auto found = states_.find(reference);
    return found == states_.end() ? nullptr : &found->second;
}

steady_time backend_conditions::last_response(backend_reference reference) const {
    const backend_activity* activity = flows_.find_activity(reference);
    return activity == nullptr ? steady_time{} : activity->last_response;
}

duration backend_conditions::random_part(duration limit) {
    return std::chrono::duration_cast<duration>(std::uniform_real_distribution<double>()(random_) * limit);
}

//----------------------------------------------------------------------------------------------------------------------
// Observations
//----------------------------------------------------------------------------------------------------------------------

void backend_conditions::note_unresponsive(backend_reference reference, silence_evidence evidence,
                                           steady_time silent_since, steady_time now) {
    backend_activity& activity = flows_.activity(reference);
    activity.unanswered_syns = 0;
    const bool is_new = now >= activity.avoid_until;
    if (is_new) {
        activity.avoid_until = now + backoff_limit(avoidance_backoff, activity.consecutive_failures);
        ++activity.consecutive_failures;
    }
    if (store_replica_.find_backend(reference) == nullptr) return;
    backend_state& state = states_[reference];
    if (!is_new && state.is_unresponsive && evidence <= state.evidence) return;
    state.is_unresponsive = true;
    state.evidence = std::max(evidence, is_new ? silence_evidence::single_packet : state.evidence);
    state.silent_since = silent_since;
    state.observed_at = now;
    state.validity = std::max(activity.avoid_until - now, min_report_validity);
    state.must_report = true;
    state.must_report_well = false;
}

void backend_conditions::note_loss(steady_time now) {
    std::rotate(losses_.begin(), losses_.begin() + 1, losses_.end());
    losses_.back() = now;
}

void backend_conditions::note_progress(const known_backend& backend, request_kind kind, const segment& packet,
                                       const tracked_flow& flow, const flow_progress& progress, steady_time now) {
    if (progress.starts_request) outliers_.note_request(backend, kind, key_of(packet), now);
    backend_state* state = progress.answer_time ? find_state(backend.reference) : nullptr;
    if (state != nullptr) state->last_answer = now;
    if (progress.answer_time && now >= last_pause_end_ + pause_margin)
        outliers_.note_answer(backend, kind, flow, *progress.answer_time, now);
}

void backend_conditions::note_pause(steady_time now) {
    last_pause_end_ = now;
    outliers_.forget_waiting_requests();
}

bool backend_conditions::is_own_fault_likely(steady_time now) const {
    return now < last_pause_end_ + pause_margin || now < losses_.front() + loss_window;
}

bool backend_conditions::has_responded(backend_reference reference, const backend_state& state) const {
    const steady_time response = last_response(reference);
    const bool        is_reported = state.reported_at != steady_time{};
    if (!state.is_unresponsive && !is_reported) return false;
    return (!state.is_unresponsive || response >= state.observed_at) && (!is_reported || response >= state.reported_at);
}

void backend_conditions::end_condition(backend_state& state, steady_time now) {
    state.is_unresponsive = false;
    state.must_report = false;
    state.evidence = silence_evidence::single_packet;
    state.reported_at = {};
    state.reported_until = {};
    state.recovering_until = now + random_part(recovery_time);
}

void backend_conditions::end_conditions(steady_time now) {
    for (auto& [reference, state] : states_) {
        if (!has_responded(reference, state)) continue;
        if (state.is_unresponsive && now < state.silent_since + min_condition_time) note_loss(now);
        const bool is_known_to_others = state.reported_at != steady_time{} || !state.must_report;
        // A backend server that hangs accepts flows, but answers no request.
        const bool may_hang = outliers_.is_suspected(reference, now) &&
                              state.last_answer < std::max(state.observed_at, state.reported_at);
        state.must_report_well = is_known_to_others && !may_hang;
        end_condition(state, now);
    }
}

//----------------------------------------------------------------------------------------------------------------------
// Reports
//----------------------------------------------------------------------------------------------------------------------

bool backend_conditions::may_report(backend_reference reference, steady_time since, steady_time now) const {
    if (is_own_fault_likely(now)) return false;
    const known_backend* backend = store_replica_.find_backend(reference);
    if (backend == nullptr || !backend->takes_new_flows()) return false;
    const auto is_any = [](const known_backend&) { return true; };
    return count_responding(store_replica_, flows_, *backend, std::max(since, now - report_response_age), is_any) >=
           min_responding_backends;
}

std::vector<condition_report> backend_conditions::take_reports(steady_time now) {
    end_conditions(now);
    std::vector<condition_report> reports;
    for (auto& [reference, state] : states_) {
        if (state.must_report_well) {
            state.must_report_well = false;
            reports.push_back(
                {reference, backend_condition::well, now - last_response(reference), min_report_validity});
        }
        const bool is_attested = state.must_report && state.evidence == silence_evidence::repeated_packet;
        if (!is_attested || !may_report(reference, state.silent_since + response_margin, now)) continue;
        state.must_report = false;
        if (now < state.observed_at + state.validity)
            reports.push_back({reference, backend_condition::unresponsive, now - state.observed_at, state.validity});
    }
    outliers_.append_reports(
        reports, [&](backend_reference reference) { return may_report(reference, now - report_response_age, now); },
        now);
    return reports;
}

void backend_conditions::accept(const condition_report& report, steady_time now) {
    if (report.age < duration::zero() || report.age >= report.validity) return;
    const known_backend* backend = store_replica_.find_backend(report.reference);
    if (backend == nullptr || backend->removed_at) return;
    end_conditions(now);
    if (report.condition == backend_condition::unresponsive) accept_unresponsive(*backend, report, now);
    if (report.condition == backend_condition::slow) outliers_.accept_slow(*backend, report, now);
    if (report.condition == backend_condition::well) accept_well(report.reference, report, now);
}

void backend_conditions::accept_unresponsive(const known_backend& backend, const condition_report& report,
                                             steady_time now) {
    const steady_time observed_at = now - report.age;
    if (last_response(backend.reference) >= observed_at) return;
    if (!is_avoided(backend.reference, now) && would_exceed_limit(backend, now)) return;
    backend_state& state = states_[backend.reference];
    if (observed_at <= state.reported_at) return;
    const duration validity = std::min(report.validity, max_report_validity);
    state.reported_at = observed_at;
    state.reported_until = std::max(state.reported_until, now + validity - report.age + random_part(report_spread));
    // A failure here continues the doubling of the other balancer.
    unsigned& failures = flows_.activity(backend.reference).consecutive_failures;
    while (backoff_limit(avoidance_backoff, failures) < std::min(validity, avoidance_backoff.cap))
        ++failures;
    state.recovering_until = {};
}

void backend_conditions::accept_well(backend_reference reference, const condition_report& report, steady_time now) {
    outliers_.accept_well(reference, now);
    backend_state* state = find_state(reference);
    if (state == nullptr) return;
    const steady_time observed_at = now - report.age;
    const bool        ends_report = state->reported_at != steady_time{} && state->reported_at < observed_at;
    const bool        ends_own = state->is_unresponsive && state->observed_at < observed_at;
    if (ends_own) {
        backend_activity& activity = flows_.activity(reference);
        activity.avoid_until = {};
        activity.consecutive_failures = 0;
    }
    const bool is_over = (ends_report || state->reported_at == steady_time{}) && (ends_own || !state->is_unresponsive);
    if ((ends_own || ends_report) && is_over) return end_condition(*state, now);
    if (ends_report) state->reported_until = state->reported_at = {};
    if (ends_own) state->is_unresponsive = state->must_report = false;
}

// Own observations count, too, but are not limited: they are certain, and a service without any other backend server
// still uses those that are avoided.
bool backend_conditions::would_exceed_limit(const known_backend& backend, steady_time now) const {
    const auto candidates = store_replica_.available_backends(backend.registration.service);
    const auto taken_out = std::ranges::count_if(candidates, [&](const known_backend* candidate) {
        return candidate != &backend && (is_avoided(candidate->reference, now) || is_outlier(candidate->reference));
    });
    return 2 * (static_cast<std::size_t>(taken_out) + 1) > candidates.size();
}

//----------------------------------------------------------------------------------------------------------------------
// Effects
//----------------------------------------------------------------------------------------------------------------------

steady_time backend_conditions::avoided_until(backend_reference reference) const {
    const backend_activity* activity = flows_.find_activity(reference);
    const steady_time       own = activity == nullptr ? steady_time{} : activity->avoid_until;
    const backend_state*    state = find_state(reference);
    if (state == nullptr || state->reported_at == steady_time{}) return own;
    const bool is_over = activity != nullptr && activity->last_response >= state->reported_at;
    return is_over ? own : std::max(own, state->reported_until);
}

bool backend_conditions::is_avoided(backend_reference reference, steady_time now) const {
    return now < avoided_until(reference);
}

std::size_t backend_conditions::avoided_count(steady_time now) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(states_, [&](const auto& item) { return is_avoided(item.first, now); }));
}

double backend_conditions::cost_factor(backend_reference reference, steady_time now) const {
    const double         factor = outliers_.cost_factor(reference, now);
    const backend_state* state = find_state(reference);
    if (state == nullptr) return factor;
    const bool is_recovering = now < state->recovering_until || has_responded(reference, *state);
    return is_recovering ? std::max(factor, recovery_cost_factor) : factor;
}

void backend_conditions::expire(steady_time now) {
    end_conditions(now);
    outliers_.expire(now);
    outliers_.update(now);
    std::erase_if(states_, [&](const auto& reference_and_state) {
        const auto& [reference, state] = reference_and_state;
        if (now < std::max(state.reported_until, state.recovering_until)) return false;
        const bool is_registered = store_replica_.find_backend(reference) != nullptr;
        return !is_registered || flows_.find_activity(reference) == nullptr;
    });
}

} // namespace tamarack::entry
