// Order of the sources, and retry delays after failures.
#include "entry/source_choice.h"

#include <algorithm>

namespace tamarack::entry {

namespace {

constexpr backoff_settings store_backoff = {std::chrono::milliseconds(100), std::chrono::milliseconds(1'600)};
// A feeder that failed has crashed, stopped or lost its network; the store is read in the meantime.
constexpr backoff_settings feeder_backoff = {std::chrono::milliseconds(1'500), std::chrono::seconds(12)};

// Hosts are replaced over time: the failures of a source that is not tried again are forgotten this long after its
// retry time.
constexpr duration health_retention = std::chrono::minutes(2);

// Half of the delay is random, so that balancers that failed at the same time do not retry at the same time.
duration retry_delay(const backoff_settings& settings, unsigned failures, random_source& random) {
    return backoff_limit(settings, failures) / 2 + backoff_delay(settings, failures, random) / 2;
}

} // namespace

source_choice::source_choice(const source_settings& settings, const replica& store_replica, std::uint64_t random_seed)
    : settings_(settings), store_replica_(store_replica), random_(random_seed) {}

std::vector<record_source> source_choice::candidates() const {
    std::vector<record_source> same_domain_feeders;
    std::vector<record_source> other_domain_feeders;
    for (const auto& [domain_and_slot, feeder] : store_replica_.feeders()) {
        if (feeder.registration.name == settings_.name) continue;
        const bool is_same_domain = domain_and_slot.first == settings_.failure_domain;
        (is_same_domain ? same_domain_feeders : other_domain_feeders)
            .push_back({source_kind::feeder, feeder.registration.address, feeder.registration.key});
    }
    std::vector<record_source> sources;
    if (!is_feeder_) sources = same_domain_feeders;
    sources.push_back({source_kind::store, {}, {}});
    if (is_feeder_) sources.insert(sources.end(), same_domain_feeders.begin(), same_domain_feeders.end());
    sources.insert(sources.end(), other_domain_feeders.begin(), other_domain_feeders.end());
    if (store_replica_.is_complete()) return sources;
    for (const endpoint& contact : settings_.contacts)
        sources.push_back({source_kind::contact, contact, {}});
    return sources;
}

std::optional<record_source> source_choice::choose(steady_time now) {
    for (const record_source& source : candidates()) {
        if (now >= retry_at(source)) return source;
    }
    return std::nullopt;
}

steady_time source_choice::next_available_at() const {
    steady_time earliest = store_health_.retry_at;
    for (const record_source& source : candidates())
        earliest = std::min(earliest, retry_at(source));
    return earliest;
}

// The epoch for a source that may be tried immediately.
steady_time source_choice::retry_at(const record_source& source) const {
    if (source.kind == source_kind::store) return store_health_.retry_at;
    const auto health = balancer_health_.find(source.address);
    return health == balancer_health_.end() ? steady_time{} : health->second.retry_at;
}

void source_choice::succeeded(const record_source& source) {
    if (source.kind == source_kind::store) {
        store_health_ = {};
    } else {
        balancer_health_.erase(source.address);
    }
}

void source_choice::failed(const record_source& source, bool is_full, steady_time now) {
    if (source.kind == source_kind::store) {
        store_health_.retry_at = now + retry_delay(store_backoff, store_health_.consecutive_failures++, random_);
        return;
    }
    std::erase_if(balancer_health_, [&](const auto& address_and_health) {
        return now > address_and_health.second.retry_at + health_retention;
    });
    source_health& health = balancer_health_[source.address];
    health.retry_at = now + retry_delay(feeder_backoff, health.consecutive_failures++, random_);
    health.is_full = is_full;
}

unsigned source_choice::open_slot() const {
    unsigned slot = 0;
    for (;; ++slot) {
        const auto feeder = store_replica_.feeders().find({settings_.failure_domain, slot});
        if (feeder == store_replica_.feeders().end()) return slot;
        const auto health = balancer_health_.find(feeder->second.registration.address);
        if (health == balancer_health_.end() || !health->second.is_full) return slot;
    }
}

} // namespace tamarack::entry
