// Ownership of backend servers during their warm-up, and the count of the flows placed on them.
#include "entry/warmup_limit.h"

#define XXH_INLINE_ALL // the library is not linked
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace tamarack::entry {

namespace {

constexpr duration limit_window = std::chrono::seconds(1);
// After a change of the owner. A replica that is current has every change that is older than max_confirmation_age;
// the additional window separates the flows of the former owner from those of the next one.
constexpr duration handover_time = max_confirmation_age + limit_window;
// The owner's part of the limit is one divided by this number.
constexpr double   owner_divisor = 2.0;

std::uint64_t rendezvous_weight(std::string_view feeder, std::string_view backend) {
    return XXH3_64bits_withSeed(backend.data(), backend.size(), XXH3_64bits(feeder.data(), feeder.size()));
}

bool is_within_window(steady_time placed_at, steady_time now) {
    return now - placed_at <= limit_window;
}

} // namespace

warmup_limit::warmup_limit(warmup_limit_settings settings, const replica& store_replica)
    : settings_(std::move(settings)), store_replica_(store_replica) {}

//----------------------------------------------------------------------------------------------------------------------
// Warm-up
//----------------------------------------------------------------------------------------------------------------------

const service_policy* warmup_limit::limiting_policy(std::string_view service) const {
    const routing_table* table = store_replica_.routing();
    if (table == nullptr) return nullptr;
    const auto policy = std::ranges::find(table->services, service, &service_policy::name);
    const bool is_limiting = policy != table->services.end() && policy->warmup_requests_per_second > 0.0;
    return is_limiting ? &*policy : nullptr;
}

// A balancer receives a registration, and learns of the end of an evacuation, later than it was written. So it never
// takes the warm-up to be over too early.
bool warmup_limit::is_limited(const known_backend& backend, steady_time now) const {
    const service_policy* policy = limiting_policy(backend.registration.service);
    if (policy == nullptr) return false;
    if (now < backend.registration_received + backend.registration.warmup_remaining) return true;
    const auto evacuation_end = store_replica_.evacuation_end(backend.registration.failure_domain);
    return evacuation_end && now < *evacuation_end + policy->warmup_time;
}

std::size_t warmup_limit::share_of(std::string_view service) const {
    const service_policy* policy = limiting_policy(service);
    if (policy == nullptr) return 0;
    const double limit = std::floor(policy->warmup_requests_per_second * settings_.overrun + settings_.slack);
    return static_cast<std::size_t>(limit / owner_divisor);
}

//----------------------------------------------------------------------------------------------------------------------
// Ownership
//----------------------------------------------------------------------------------------------------------------------

std::uint64_t warmup_limit::feeder_generation(const std::string& failure_domain) const {
    const auto feeder = store_replica_.feeders().lower_bound({failure_domain, 0});
    const bool is_registered = feeder != store_replica_.feeders().end() && feeder->first.first == failure_domain;
    return is_registered ? feeder->second.changed_generation : 0;
}

bool warmup_limit::are_feeders_observed() const {
    const auto is_observed = [this](const auto& slot_and_feeder) {
        return feeders_.contains(slot_and_feeder.first.first);
    };
    const auto is_unchanged = [this](const auto& domain_and_feeder) {
        return feeder_generation(domain_and_feeder.first) == domain_and_feeder.second.generation;
    };
    return std::ranges::all_of(store_replica_.feeders(), is_observed) && std::ranges::all_of(feeders_, is_unchanged);
}

void warmup_limit::observe_feeders(steady_time now) {
    if (are_feeders_observed()) return;
    for (const auto& [slot, feeder] : store_replica_.feeders())
        feeders_.try_emplace(slot.first);
    for (auto& [failure_domain, observed] : feeders_) {
        const std::uint64_t generation = feeder_generation(failure_domain);
        if (generation != observed.generation) observed = {generation, now};
    }
}

// Without a feeder in the failure domain, the owner depends on all feeders.
steady_time warmup_limit::owner_changed_at(const std::string& failure_domain) const {
    if (feeder_generation(failure_domain) != 0) return feeders_.at(failure_domain).changed_at;
    steady_time latest{};
    for (const auto& [domain, observed] : feeders_)
        latest = std::max(latest, observed.changed_at);
    return latest;
}

// Flows stay within the failure domain where that is possible: a server of another one costs more, so that its owner
// would seldom use it.
std::optional<std::string_view> warmup_limit::owner_of(const known_backend& backend) const {
    std::optional<std::string_view> owner;
    std::uint64_t                   highest_weight = 0;
    for (const auto& [slot, feeder] : store_replica_.feeders()) {
        const std::string_view name = feeder.registration.name;
        if (slot.first == backend.registration.failure_domain) return name;
        const std::uint64_t weight = rendezvous_weight(name, backend.registration.name);
        if (owner && weight <= highest_weight) continue;
        owner = name;
        highest_weight = weight;
    }
    return owner;
}

bool warmup_limit::is_owner(const known_backend& backend, steady_time now) const {
    if (settings_.balancer.empty() || owner_of(backend) != settings_.balancer) return false;
    return store_replica_.is_current(now) && are_feeders_observed() &&
           now >= owner_changed_at(backend.registration.failure_domain) + handover_time;
}

//----------------------------------------------------------------------------------------------------------------------
// Flows
//----------------------------------------------------------------------------------------------------------------------

std::size_t warmup_limit::placed_lately(backend_reference reference, steady_time now) const {
    const auto found = placements_.find(reference);
    if (found == placements_.end()) return 0;
    return static_cast<std::size_t>(
        std::ranges::count_if(found->second, [&](steady_time placed_at) { return is_within_window(placed_at, now); }));
}

bool warmup_limit::may_place(const known_backend& backend, steady_time now) const {
    if (!is_limited(backend, now)) return true;
    return is_owner(backend, now) && placed_lately(backend.reference, now) < share_of(backend.registration.service);
}

void warmup_limit::note_placed(const known_backend& backend, steady_time now) {
    if (!is_limited(backend, now)) return;
    ++placed_count_;
    std::erase_if(placements_,
                  [&](const auto& placements) { return !is_within_window(placements.second.back(), now); });
    std::deque<steady_time>& placements = placements_[backend.reference];
    while (!placements.empty() && !is_within_window(placements.front(), now))
        placements.pop_front();
    placements.push_back(now);
}

std::size_t warmup_limit::limited_count(steady_time now) const {
    return static_cast<std::size_t>(std::ranges::count_if(store_replica_.backends(), [&](const auto& backend) {
        return backend.second.takes_new_flows() && is_limited(backend.second, now);
    }));
}

std::size_t warmup_limit::owned_count(steady_time now) const {
    return static_cast<std::size_t>(std::ranges::count_if(store_replica_.backends(), [&](const auto& backend) {
        return backend.second.takes_new_flows() && is_limited(backend.second, now) && is_owner(backend.second, now);
    }));
}

} // namespace tamarack::entry
