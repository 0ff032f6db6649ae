// Refused SYNs, limited by age and number.
#include "tamarack/refused_syns.h"

namespace tamarack {

namespace {

constexpr duration    retention = std::chrono::seconds(10);       // late duplicates are refused during this time
constexpr duration    renewal_interval = std::chrono::seconds(1); // repeats within this time do not extend it
constexpr std::size_t max_refusals = 16'384;

} // namespace

bool refused_syns::remember(const flow_key& key, std::uint32_t sequence, steady_time now) {
    remove_expired(now);
    const refused_syn syn{key, sequence};
    const auto        found = last_refused_.find(syn);
    if (found != last_refused_.end() && now - found->second < renewal_interval) return true;
    if (order_.size() >= max_refusals) return false;
    order_.emplace_back(now, syn);
    last_refused_[syn] = now;
    return true;
}

bool refused_syns::contains(const flow_key& key, std::uint32_t sequence, steady_time now) {
    remove_expired(now);
    return last_refused_.contains({key, sequence});
}

// A SYN that was refused again has a later entry in order_ and stays in last_refused_ until that entry expires.
void refused_syns::remove_expired(steady_time now) {
    while (!order_.empty() && now - order_.front().first > retention + renewal_interval) {
        const auto found = last_refused_.find(order_.front().second);
        if (found != last_refused_.end() && found->second == order_.front().first) last_refused_.erase(found);
        order_.pop_front();
    }
}

} // namespace tamarack
