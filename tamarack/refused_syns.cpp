// Memory of refusals, limited in time and number.
#include "tamarack/refused_syns.h"

namespace tamarack {

namespace {

constexpr duration    memory = std::chrono::seconds(10); // a late copy of a refused SYN is refused too
constexpr duration    step = std::chrono::seconds(1);    // a repeated refusal within it is not noted again
constexpr std::size_t max_refusals = 16'384;

} // namespace

bool refused_syns::remember(const flow_key& key, std::uint32_t sequence, steady_time now) {
    forget_old(now);
    const refused_syn syn{key, sequence};
    const auto        known = last_.find(syn);
    if (known != last_.end() && now - known->second < step) return true;
    if (order_.size() >= max_refusals) return false;
    order_.emplace_back(now, syn);
    last_[syn] = now;
    return true;
}

bool refused_syns::contains(const flow_key& key, std::uint32_t sequence, steady_time now) {
    forget_old(now);
    return last_.contains({key, sequence});
}

// An entry that has been renewed since is left to its later one.
void refused_syns::forget_old(steady_time now) {
    while (!order_.empty() && now - order_.front().first > memory + step) {
        const auto known = last_.find(order_.front().second);
        if (known != last_.end() && known->second == order_.front().first) last_.erase(known);
        order_.pop_front();
    }
}

} // namespace tamarack
