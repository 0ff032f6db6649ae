// Answers to followers.
#include "entry/feed.h"

#include <algorithm>

namespace tamarack::entry {

namespace {

constexpr duration    watch_wait_limit = std::chrono::seconds(30);
// Each follower calls every 2.5 s, with about 560 bytes per call and answer: less than 5 KB/s in total.
constexpr std::size_t max_followers = 20;
// Limits the load when all hosts of a failure domain start while the store is unavailable; a listing is the most
// expensive answer.
constexpr double      unauthenticated_listings_per_second = 10.0;
constexpr double      unauthenticated_listing_burst = 50.0;

} // namespace

feed::feed(const replica& store_replica, std::string name, const feed_key& key, steady_time now)
    : store_replica_(store_replica), name_(std::move(name)), key_(key),
      unauthenticated_listings_(unauthenticated_listings_per_second, unauthenticated_listing_burst, now) {}

std::optional<feed_key> feed::authenticated_key(const call_authentication& authentication) const {
    const auto was_made_with = [&](const feed_key& key) {
        return verify_mac(authentication.mac, key, feed_message::request, authentication.nonce,
                          authentication.covered_text);
    };
    if (was_made_with(key_)) return key_;
    for (const auto& [domain_and_slot, feeder] : store_replica_.feeders()) {
        const feed_key& key = feeder.registration.key;
        if (feeder.registration.name == name_ && was_made_with(key)) return key;
    }
    return std::nullopt;
}

feed_answer feed::list_unauthenticated(steady_time now) {
    if (!unauthenticated_listings_.take(1.0, now)) return {.status = feed_status::full, .records = {}};
    return list(now);
}

feed_answer feed::list(steady_time now) const {
    if (!store_replica_.is_complete()) return {.status = feed_status::not_current, .records = {}};
    return answer_with(store_replica_.records(), now);
}

feed_answer feed::resume(std::uint64_t revision, bool is_current, steady_time now) const {
    if (!is_current) return {.status = feed_status::not_current, .records = {}};
    return answer_with(store_replica_.changes_after_revision(revision), now);
}

feed_answer feed::answer_with(std::optional<std::vector<record>> changes, steady_time now) const {
    if (!changes) return {.status = feed_status::history_dropped, .records = {}};
    return {.records = std::move(*changes),
            .position = store_replica_.generation(),
            .revision = store_replica_.shareable_revision(),
            .confirmation_age = now - store_replica_.last_confirmation()};
}

std::optional<feed_answer> feed::watch(std::uint64_t call, std::uint64_t position, duration max_wait, bool is_current,
                                       steady_time now) {
    if (!is_current) return feed_answer{.status = feed_status::not_current, .records = {}};
    if (waiting_calls_.size() >= max_followers) return feed_answer{.status = feed_status::full, .records = {}};
    feed_answer answer = answer_with(store_replica_.changes_after(position), now);
    if (answer.status != feed_status::ok || !answer.records.empty()) return answer;
    waiting_calls_[call] = {position, now + std::min(max_wait, watch_wait_limit)};
    return std::nullopt;
}

std::vector<feed::due_answer> feed::poll(bool is_current, steady_time now) {
    std::map<std::uint64_t, std::vector<std::uint64_t>> due_calls; // by position
    for (const auto& [call, waiting] : waiting_calls_) {
        const bool is_due = !is_current || store_replica_.generation() != waiting.position || now >= waiting.due_at;
        if (is_due) due_calls[waiting.position].push_back(call);
    }
    std::vector<due_answer> due_answers;
    for (auto& [position, calls] : due_calls) {
        for (const std::uint64_t call : calls)
            waiting_calls_.erase(call);
        feed_answer answer{.status = feed_status::not_current, .records = {}};
        if (is_current) answer = answer_with(store_replica_.changes_after(position), now);
        due_answers.push_back({std::move(calls), std::move(answer)});
    }
    return due_answers;
}

} // namespace tamarack::entry
