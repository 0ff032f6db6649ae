// The operator's evacuations of failure domains in the replica.
#include "entry/replica.h"

namespace tamarack::entry {

namespace {

// Backend servers may warm up for up to ten minutes after an evacuation.
constexpr duration evacuation_end_retention = std::chrono::minutes(11);

} // namespace

bool replica::is_evacuated(std::string_view failure_domain) const {
    return std::ranges::any_of(evacuations_, [&](const auto& key_and_evacuation) {
        return key_and_evacuation.second.failure_domain == failure_domain;
    });
}

std::optional<steady_time> replica::evacuation_end(std::string_view failure_domain) const {
    const auto found = evacuation_ends_.find(failure_domain);
    return found == evacuation_ends_.end() ? std::nullopt : std::optional(found->second);
}

replica_change replica::apply_evacuation(const record& item, const evacuation& order) {
    const auto found = evacuations_.find(item.key);
    if (was_removed_since(item) || was_dropped(item, found != evacuations_.end())) return replica_change::none;
    if (found != evacuations_.end() && item.revision <= found->second.revision) return replica_change::none;
    evacuations_[item.key] = {.failure_domain = order.failure_domain,
                              .revision = item.revision,
                              .changed_generation = ++generation_,
                              .held_removal_due = {}};
    keep_raw_value(item);
    return replica_change::evacuations_changed;
}

replica_change replica::remove_evacuation(const record& item, steady_time now) {
    const auto found = evacuations_.find(item.key);
    if (item.revision <= found->second.revision) return replica_change::none;
    evacuation_ends_[found->second.failure_domain] = now;
    evacuations_.erase(found);
    forget_raw_value(item.key);
    tombstones_[item.key] = {item.revision, ++generation_, now};
    return replica_change::evacuations_changed;
}

// A listing of the epoch in which the order was written shows that the operator has taken it back. The copy that a
// later epoch begins with may be older than the order.
void replica::remove_unlisted_evacuations(const std::unordered_set<std::string_view>& listed_keys,
                                          const store_revision& revision, steady_time now) {
    std::vector<record> removals;
    for (auto& [key, evacuated] : evacuations_) {
        if (listed_keys.contains(key) || evacuated.revision >= revision) continue;
        if (evacuated.revision.epoch == revision.epoch) {
            removals.push_back({.key = key, .revision = revision, .content = removed_record{}, .raw_value = {}});
        } else if (!evacuated.held_removal_due) {
            evacuated.held_removal_due = now + restored_state_hold_time;
            evacuated.held_removal_revision = revision;
        }
    }
    for (const record& item : removals)
        remove_evacuation(item, now);
}

std::size_t replica::expire_evacuations(steady_time now) {
    std::vector<record> removals;
    for (const auto& [key, evacuated] : evacuations_) {
        if (!evacuated.held_removal_due || !is_confirmed_at(*evacuated.held_removal_due)) continue;
        removals.push_back(
            {.key = key, .revision = evacuated.held_removal_revision, .content = removed_record{}, .raw_value = {}});
    }
    for (const record& item : removals)
        remove_evacuation(item, now);
    std::erase_if(evacuation_ends_,
                  [&](const auto& domain_and_end) { return now > domain_and_end.second + evacuation_end_retention; });
    return removals.size();
}

} // namespace tamarack::entry
