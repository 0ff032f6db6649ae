// Order of the sources, and retry delays after failures.
#include "entry/source_choice.h"

#include "entry/change_deadline.h"

#include <algorithm>

namespace tamarack::entry {

namespace {

constexpr backoff_settings store_backoff = {std::chrono::milliseconds(100), std::chrono::milliseconds(1'500)};
static_assert(store_backoff.cap <= store_retry_limit(least_change_deadline, {}));
// Of a balancer whose feeder answers, but without a recent confirmation: the feeder retries the store itself, but may
// not reach it when this balancer does.
constexpr duration         answering_tree_first_backoff = std::chrono::seconds(4);
// Of a balancer whose feeder does not answer: nobody else reads the store for it. The limit is half of the deadline of
// a change, which leaves time for a pending call to another source.
constexpr duration         lost_tree_first_backoff = std::chrono::milliseconds(500);
constexpr int              lost_tree_deadline_divisor = 2;
// A feeder that failed has crashed, stopped or lost its network; another one is read in the meantime.
constexpr backoff_settings feeder_backoff = {std::chrono::milliseconds(1'500), std::chrono::seconds(12)};
// A balancer of the own tree that has lost the store: it may be current again as soon as one of its followers is.
constexpr backoff_settings stale_backoff = {std::chrono::milliseconds(300), std::chrono::milliseconds(1'200)};
// Before the first listing: a feeder that answers, or whose host refuses the connection, may be starting at the same
// moment; one that does not answer must not be tried again before all others have been.
constexpr backoff_settings first_listing_backoff = {std::chrono::milliseconds(20), std::chrono::milliseconds(80)};
constexpr backoff_settings unanswered_listing_backoff = {std::chrono::milliseconds(800), std::chrono::seconds(3)};
constexpr duration         full_source_pause = std::chrono::seconds(2);

// All hosts may start at the same time. In a large fleet the spread of the delays divides the listings that still reach
// the store; in a small one the store serves them all, and callers wait.
constexpr first_listing_limits large_fleet_limits = {std::chrono::milliseconds(200), std::chrono::milliseconds(500),
                                                     std::chrono::milliseconds(100), std::chrono::milliseconds(400)};
constexpr first_listing_limits small_fleet_limits = {std::chrono::milliseconds(10), std::chrono::milliseconds(40),
                                                     std::chrono::milliseconds(20), std::chrono::milliseconds(60)};
// The deadline of a change grows with the fleet: from this on it is large.
constexpr duration             large_fleet_deadline = std::chrono::seconds(4);
// First start of the system: callers' packets come only seconds later, and the strong hosts have listed and claimed.
constexpr unsigned             max_lookups = 5;
constexpr duration             least_lookup_pause = std::chrono::milliseconds(300);
constexpr duration             most_lookup_pause = std::chrono::milliseconds(600);
// The store may turn away all feeders and serve others. The followers of a feeder then try the store themselves, spread
// over the first half of what the deadline of a change leaves after the loss has been noticed; balancers further down,
// which mostly find their sources current again by then, over the second half.
constexpr duration             loss_detection_time = std::chrono::milliseconds(2'900);

// A host whose feeders do not answer may be cut off from their failure domains, but not from the store.
constexpr unsigned max_unanswered_feeders = 2;

// Hosts are replaced over time: the failures of a source that is not tried again are forgotten this long after its
// retry time.
constexpr duration health_retention = std::chrono::minutes(2);

// Half of the delay is random, so that balancers that failed at the same time do not retry at the same time.
duration retry_delay(const backoff_settings& settings, unsigned failures, random_source& random) {
    return backoff_limit(settings, failures) / 2 + backoff_delay(settings, failures, random) / 2;
}

} // namespace

std::string_view to_string(source_kind kind) {
    switch (kind) {
    case source_kind::store:
        return "store";
    case source_kind::feeder:
        return "balancer";
    case source_kind::contact:
        return "contact";
    }
    return "unknown";
}

source_choice::source_choice(const source_settings& settings, const replica& store_replica, std::uint64_t random_seed)
    : settings_(settings), store_replica_(store_replica), random_(random_seed), rotation_(random_()),
      lookups_left_(settings.awaits_first_feeder ? max_lookups : 0) {
    settings_.change_deadline = std::max(settings.change_deadline, least_change_deadline);
}

const known_feeder* source_choice::feeder_of_own_domain() const {
    const auto found = store_replica_.feeders().find({settings_.failure_domain, 0});
    return found == store_replica_.feeders().end() ? nullptr : &found->second;
}

bool source_choice::is_feeder() const {
    const known_feeder* feeder = feeder_of_own_domain();
    return holds_slot_ || (feeder != nullptr && feeder->registration.name == settings_.name);
}

// Until there is another registration.
bool source_choice::has_feeder_lost_store() const {
    const known_feeder* feeder = feeder_of_own_domain();
    return feeder != nullptr && feeder->revision == lost_feeder_revision_;
}

void source_choice::note_feeder_state(const record_source& source, bool reads_store) {
    const known_feeder* feeder = feeder_of_own_domain();
    if (feeder == nullptr || feeder->registration.address != source.address) return;
    lost_feeder_revision_ = reads_store ? std::nullopt : std::optional(feeder->revision);
}

duration source_choice::random_between(duration least, duration most) {
    return duration(std::uniform_int_distribution<duration::rep>(least.count(), most.count())(random_));
}

//----------------------------------------------------------------------------------------------------------------------
// Candidates
//----------------------------------------------------------------------------------------------------------------------

// The branch below a feeder comes first, since the feeder was full when it named the branch. All balancers of a tree
// accept the key of its root; while the root's slot is vacant, that of any other feeder.
void source_choice::add_tree(const std::string& failure_domain, const known_feeder* feeder,
                             std::vector<record_source>& sources) const {
    const known_feeder* key_owner = feeder;
    if (key_owner == nullptr && !store_replica_.feeders().empty())
        key_owner = &store_replica_.feeders().begin()->second;
    if (key_owner == nullptr) return;
    if (branch_domain_ == failure_domain) {
        for (const endpoint& address : branch_)
            sources.push_back({source_kind::feeder, address, key_owner->registration.key});
    }
    if (feeder != nullptr)
        sources.push_back({source_kind::feeder, feeder->registration.address, feeder->registration.key});
}

std::vector<record_source> source_choice::feeders_of_own_domain() const {
    std::vector<record_source> sources;
    const auto                 first = store_replica_.feeders().lower_bound({settings_.failure_domain, 0});
    for (auto feeder = first;
         feeder != store_replica_.feeders().end() && feeder->first.first == settings_.failure_domain; ++feeder) {
        if (feeder->second.registration.name != settings_.name)
            add_tree(settings_.failure_domain, &feeder->second, sources);
    }
    if (sources.empty()) add_tree(settings_.failure_domain, nullptr, sources);
    return sources;
}

std::vector<record_source> source_choice::feeders_of_other_domains() const {
    std::vector<record_source> sources;
    for (const auto& [domain_and_slot, feeder] : store_replica_.feeders()) {
        if (domain_and_slot.first != settings_.failure_domain) add_tree(domain_and_slot.first, &feeder, sources);
    }
    if (sources.empty()) return sources;
    const auto start = static_cast<std::ptrdiff_t>(rotation_ % sources.size());
    std::rotate(sources.begin(), sources.begin() + start, sources.end());
    // The balancer in use stays first, whatever the rotation.
    std::stable_partition(sources.begin(), sources.end(), [&](const record_source& source) {
        return std::find(branch_.begin(), branch_.end(), source.address) != branch_.end();
    });
    return sources;
}

// If the feeder has lost the store, a balancer that the store serves stays with it: the tree is current through such
// balancers only, and would lose the store if they went back to a feeder that reads from them.
bool source_choice::prefers_store() const {
    if (is_feeder() || may_replace_feeder()) return true;
    return store_replica_.is_complete() && unanswered_feeders_ >= max_unanswered_feeders;
}

// Before the first listing the store is read as soon as its time has come, whatever feeders may be left to try.
bool source_choice::starts_with_store(steady_time now) const {
    if (is_feeder() || may_replace_feeder()) return true;
    return !store_replica_.is_complete() && store_due_ && now >= *store_due_;
}

std::vector<record_source> source_choice::candidates(steady_time now) const {
    const record_source        store{};
    std::vector<record_source> sources;
    if (starts_with_store(now)) sources.push_back(store);
    const auto own_domain = feeders_of_own_domain();
    sources.insert(sources.end(), own_domain.begin(), own_domain.end());
    if (!starts_with_store(now) && prefers_store()) sources.push_back(store);
    const auto other_domains = feeders_of_other_domains();
    sources.insert(sources.end(), other_domains.begin(), other_domains.end());
    if (!prefers_store() && !starts_with_store(now)) sources.push_back(store);
    if (is_feeder()) add_own_followers(sources);
    if (!store_replica_.is_complete()) {
        for (const endpoint& contact : settings_.contacts)
            sources.push_back({source_kind::contact, contact, {}});
    } else if (lacks_source(now)) {
        // A call to a balancer that does not answer takes until its timeout, while the store may be back.
        std::stable_partition(sources.begin(), sources.end(),
                              [&](const record_source& source) { return has_answered(source); });
    }
    return sources;
}

// Only a feeder does so: its place in the tree has no other source above it.
void source_choice::add_own_followers(std::vector<record_source>& sources) const {
    const known_feeder* self = feeder_of_own_domain();
    if (self == nullptr) return;
    for (const endpoint& follower : own_followers_)
        sources.push_back({source_kind::feeder, follower, self->registration.key});
}

bool source_choice::has_store_failed() const {
    return store_health_.consecutive_failures > 0 && store_health_.failed_at >= store_replica_.last_confirmation();
}

std::optional<duration> source_choice::time_until_fallback(steady_time now) const {
    const steady_time confirmed_at = store_replica_.last_confirmation();
    if (!store_replica_.is_complete() || confirmed_at == steady_time{}) return std::nullopt;
    steady_time fallback_at = confirmed_at + store_fallback_age(settings_.change_deadline, longest_answer_transfer());
    if (has_store_failed()) fallback_at = std::max(fallback_at, retry_at(record_source{}));
    return std::max(duration::zero(), fallback_at - now);
}

std::size_t source_choice::longest_changes_answer() const {
    return longest_changes(store_replica_.listing_size(), settings_.link_mbps);
}

duration source_choice::longest_answer_transfer() const {
    return longest_transfer(store_replica_.listing_size(), settings_.link_mbps);
}

duration source_choice::change_bound() const {
    return age_after_fallback(settings_.change_deadline, longest_answer_transfer());
}

bool source_choice::needs_store(steady_time now) const {
    const auto time_left = time_until_fallback(now);
    return time_left && *time_left <= least_balancer_timeout;
}

std::optional<record_source> source_choice::choose(steady_time now) {
    if (needs_store(now)) return record_source{};
    for (const record_source& source : candidates(now)) {
        if (now >= retry_at(source)) return source;
    }
    return std::nullopt;
}

steady_time source_choice::next_available_at(steady_time now) const {
    steady_time earliest = steady_time::max();
    for (const record_source& source : candidates(now))
        earliest = std::min(earliest, retry_at(source));
    if (const auto time_left = time_until_fallback(now))
        earliest = std::min(earliest, now + *time_left - least_balancer_timeout);
    return std::max(earliest, now);
}

// The epoch for a source that may be tried immediately.
steady_time source_choice::retry_at(const record_source& source) const {
    if (source.kind == source_kind::store) {
        if (prefers_store() || is_served_by_store_ || !store_due_ || store_replica_.feeders().empty())
            return store_retry_at();
        const auto backoff = does_own_tree_answer() ? answering_tree_backoff() : lost_tree_backoff();
        return std::max(store_retry_after(backoff), *store_due_);
    }
    const auto health = balancer_health_.find(source.address);
    return health == balancer_health_.end() ? steady_time{} : health->second.retry_at;
}

bool source_choice::has_answered(const record_source& source) const {
    const auto health = balancer_health_.find(source.address);
    return source.kind == source_kind::store || health == balancer_health_.end() || health->second.has_answered;
}

// Several sources have failed, and none has replaced them.
bool source_choice::lacks_source(steady_time now) const {
    const bool have_sources_failed =
        store_health_.consecutive_failures > 0 || unanswered_feeders_ >= max_unanswered_feeders;
    return have_sources_failed && !store_replica_.is_current(now);
}

bool source_choice::does_own_tree_answer() const {
    const known_feeder* feeder = feeder_of_own_domain();
    return feeder != nullptr && has_answered({source_kind::feeder, feeder->registration.address, {}});
}

steady_time source_choice::store_retry_at() const {
    return store_retry_after(store_backoff);
}

// As retry_delay, with the random number of the failure.
steady_time source_choice::store_retry_after(const backoff_settings& backoff) const {
    if (store_health_.consecutive_failures == 0) return {};
    const duration limit = backoff_limit(backoff, store_health_.consecutive_failures - 1);
    return store_health_.failed_at + limit / 2 + std::chrono::duration_cast<duration>(limit / 2 * store_health_.jitter);
}

backoff_settings source_choice::answering_tree_backoff() const {
    const duration limit = store_retry_limit(settings_.change_deadline, longest_answer_transfer());
    return {std::min(answering_tree_first_backoff, limit), limit};
}

backoff_settings source_choice::lost_tree_backoff() const {
    const duration limit = settings_.change_deadline / lost_tree_deadline_divisor;
    return {std::min(lost_tree_first_backoff, limit), limit};
}

//----------------------------------------------------------------------------------------------------------------------
// Outcomes
//----------------------------------------------------------------------------------------------------------------------

first_listing_limits source_choice::limits_of_first_listing() const {
    return settings_.change_deadline < large_fleet_deadline ? small_fleet_limits : large_fleet_limits;
}

std::optional<steady_time> source_choice::note_feeders_looked_up(steady_time now) {
    if (!store_replica_.feeders().empty()) {
        const first_listing_limits limits = limits_of_first_listing();
        store_due_ = now + random_between(limits.least_delay, limits.most_delay);
        return std::nullopt;
    }
    if (lookups_left_ == 0) return std::nullopt;
    --lookups_left_;
    return now + random_between(least_lookup_pause, most_lookup_pause);
}

void source_choice::succeeded(const record_source& source, unsigned distance) {
    if (source.kind == source_kind::store) {
        store_health_ = {};
        is_served_by_store_ = true;
        return;
    }
    balancer_health_.erase(source.address);
    if (source.kind != source_kind::feeder) return;
    note_feeder_state(source, distance == 1);
    is_served_by_store_ = false; // not known any more
    unanswered_feeders_ = 0;
    store_due_.reset();
    if (std::find(branch_.begin(), branch_.end(), source.address) != branch_.end()) {
        branch_ = {source.address};
    } else {
        branch_.clear();
    }
}

void source_choice::failed(const record_source& source, source_failure failure, std::span<const endpoint> followers,
                           steady_time now) {
    if (source.kind == source_kind::store) {
        is_served_by_store_ = false;
        ++store_health_.consecutive_failures;
        store_health_.failed_at = now;
        store_health_.jitter = std::uniform_real_distribution<double>(0.0, 1.0)(random_);
        return;
    }
    std::erase_if(balancer_health_, [&](const auto& address_and_health) {
        return now > address_and_health.second.retry_at + health_retention;
    });
    balancer_health& health = balancer_health_[source.address];
    health.has_answered = failure == source_failure::not_current || failure == source_failure::full;
    if (failure == source_failure::full) {
        health.retry_at = now + full_source_pause;
        follow_branch(source, followers);
        return;
    }
    health.retry_at = now + retry_delay(backoff_of(source, failure), health.consecutive_failures++, random_);
    if (source.kind != source_kind::feeder) return;
    if (!health.has_answered) {
        ++unanswered_feeders_;
        return;
    }
    unanswered_feeders_ = 0;
    note_feeder_state(source, false);
    if (!store_due_) delay_store(source, now);
}

backoff_settings source_choice::backoff_of(const record_source& source, source_failure failure) const {
    if (!store_replica_.is_complete())
        return failure == source_failure::no_answer ? unanswered_listing_backoff : first_listing_backoff;
    if (failure != source_failure::not_current) return feeder_backoff;
    const known_feeder* feeder = registered_feeder(source);
    const bool is_other_domain = feeder != nullptr && feeder->registration.failure_domain != settings_.failure_domain;
    return is_other_domain ? feeder_backoff : stale_backoff;
}

void source_choice::delay_store(const record_source& stale_source, steady_time now) {
    const duration half = std::max(duration::zero(), settings_.change_deadline - loss_detection_time) / 2;
    const bool     is_below_feeder = registered_feeder(stale_source) != nullptr;
    store_due_ = now + (is_below_feeder ? duration::zero() : half) + random_between(duration::zero(), half);
}

const known_feeder* source_choice::registered_feeder(const record_source& source) const {
    for (const auto& [domain_and_slot, feeder] : store_replica_.feeders()) {
        if (feeder.registration.address == source.address) return &feeder;
    }
    return nullptr;
}

// In random order, so that the balancers that the source turns away spread over its followers.
void source_choice::follow_branch(const record_source& source, std::span<const endpoint> followers) {
    if (const known_feeder* feeder = registered_feeder(source)) branch_domain_ = feeder->registration.failure_domain;
    branch_.assign(followers.begin(), followers.end());
    std::erase(branch_, settings_.address);
    std::shuffle(branch_.begin(), branch_.end(), random_);
}

} // namespace tamarack::entry
