// Order of the sources, and waits after failures.
#include "entry/source_choice.h"

#include <algorithm>

namespace tamarack::entry {

namespace {

constexpr backoff_settings store_wait = {std::chrono::milliseconds(100), std::chrono::milliseconds(1'600)};
// A feeder that failed was killed, stopped or cut off; the store serves meanwhile.
constexpr backoff_settings feeder_wait = {std::chrono::milliseconds(1'500), std::chrono::seconds(12)};

// Hosts come and go; the failures of one that was not tried again are forgotten this long after its wait.
constexpr duration keep_trial = std::chrono::minutes(2);

// Half of the wait is random, so that balancers which failed together do not return together.
duration wait_after(const backoff_settings& settings, unsigned failures, random_source& random) {
    return backoff_limit(settings, failures) / 2 + backoff_delay(settings, failures, random) / 2;
}

} // namespace

source_choice::source_choice(const source_settings& settings, const replica& known, std::uint64_t random_seed)
    : settings_(settings), known_(known), random_(random_seed) {}

std::vector<record_source> source_choice::candidates() const {
    std::vector<record_source> own;
    std::vector<record_source> others;
    for (const auto& [place, feeder] : known_.feeders()) {
        if (feeder.registration.name == settings_.name) continue;
        const bool near = place.first == settings_.failure_domain;
        (near ? own : others).push_back({source_kind::feeder, feeder.registration.address, feeder.registration.key});
    }
    std::vector<record_source> order;
    if (!feeding_) order = own;
    order.push_back({source_kind::store, {}, {}});
    if (feeding_) order.insert(order.end(), own.begin(), own.end());
    order.insert(order.end(), others.begin(), others.end());
    if (known_.complete()) return order;
    for (const endpoint& contact : settings_.contacts)
        order.push_back({source_kind::contact, contact, {}});
    return order;
}

std::optional<record_source> source_choice::choose(steady_time now) {
    for (const record_source& source : candidates()) {
        if (now >= retry_at(source)) return source;
    }
    return std::nullopt;
}

steady_time source_choice::next_due() const {
    steady_time due = store_.retry_at;
    for (const record_source& source : candidates())
        due = std::min(due, retry_at(source));
    return due;
}

// The epoch: at once.
steady_time source_choice::retry_at(const record_source& source) const {
    if (source.kind == source_kind::store) return store_.retry_at;
    const auto tried = others_.find(source.address);
    return tried == others_.end() ? steady_time{} : tried->second.retry_at;
}

void source_choice::succeeded(const record_source& source) {
    if (source.kind == source_kind::store) {
        store_ = {};
    } else {
        others_.erase(source.address);
    }
}

void source_choice::failed(const record_source& source, bool is_full, steady_time now) {
    if (source.kind == source_kind::store) {
        store_.retry_at = now + wait_after(store_wait, store_.failures++, random_);
        return;
    }
    std::erase_if(others_, [&](const auto& each) { return now > each.second.retry_at + keep_trial; });
    trial& tried = others_[source.address];
    tried.retry_at = now + wait_after(feeder_wait, tried.failures++, random_);
    tried.full = is_full;
}

unsigned source_choice::open_slot() const {
    unsigned slot = 0;
    for (;; ++slot) {
        const auto found = known_.feeders().find({settings_.failure_domain, slot});
        if (found == known_.feeders().end()) return slot;
        const auto tried = others_.find(found->second.registration.address);
        if (tried == others_.end() || !tried->second.full) return slot;
    }
}

} // namespace tamarack::entry
