// Answers to followers.
#include "entry/feed.h"

#include <algorithm>

namespace tamarack::entry {

namespace {

constexpr duration    longest_wait = std::chrono::seconds(30);
// Each follower asks every 2.5 s, with about 560 bytes of call and answer: under 5 KB/s in all.
constexpr std::size_t max_followers = 20;
// Hosts of a failure domain that start together while the store is away; a listing is the dearest answer.
constexpr double      unproved_listings_per_second = 10.0;
constexpr double      unproved_listings_at_once = 50.0;

} // namespace

feed::feed(const replica& known, std::string name, const feed_key& key, steady_time now)
    : known_(known), name_(std::move(name)), key_(key),
      unproved_(unproved_listings_per_second, unproved_listings_at_once, now) {}

std::optional<feed_key> feed::proved_key(const request_proof& proof) const {
    const auto proves = [&](const feed_key& key) {
        return is_proof(proof.proof, key, feed_message::request, proof.number, proof.text);
    };
    if (proves(key_)) return key_;
    for (const auto& [place, feeder] : known_.feeders()) {
        const feed_key& key = feeder.registration.key;
        if (feeder.registration.name == name_ && proves(key)) return key;
    }
    return std::nullopt;
}

feed_answer feed::list_unproved(steady_time now) {
    if (!unproved_.take(1.0, now)) return {.status = feed_status::full, .records = {}};
    return list(now);
}

feed_answer feed::list(steady_time now) const {
    if (!known_.complete()) return {.status = feed_status::not_current, .records = {}};
    return answer_with(known_.records(), now);
}

feed_answer feed::resume(std::uint64_t revision, bool is_current, steady_time now) const {
    if (!is_current) return {.status = feed_status::not_current, .records = {}};
    return answer_with(known_.changes_after_revision(revision), now);
}

feed_answer feed::answer_with(std::optional<std::vector<record>> changes, steady_time now) const {
    if (!changes) return {.status = feed_status::dropped, .records = {}};
    return {.records = std::move(*changes),
            .position = known_.generation(),
            .revision = known_.given_to(),
            .proof_age = now - known_.last_proof()};
}

std::optional<feed_answer> feed::watch(std::uint64_t call, std::uint64_t position, duration wait, bool is_current,
                                       steady_time now) {
    if (!is_current) return feed_answer{.status = feed_status::not_current, .records = {}};
    if (waiting_.size() >= max_followers) return feed_answer{.status = feed_status::full, .records = {}};
    feed_answer answer = answer_with(known_.changes_after(position), now);
    if (answer.status != feed_status::ok || !answer.records.empty()) return answer;
    waiting_[call] = {position, now + std::min(wait, longest_wait)};
    return std::nullopt;
}

std::vector<feed::due_answer> feed::poll(bool is_current, steady_time now) {
    std::map<std::uint64_t, std::vector<std::uint64_t>> calls; // by position
    for (const auto& [call, each] : waiting_) {
        const bool is_due = !is_current || known_.generation() != each.position || now >= each.until;
        if (is_due) calls[each.position].push_back(call);
    }
    std::vector<due_answer> due;
    for (auto& [position, numbers] : calls) {
        for (const std::uint64_t number : numbers)
            waiting_.erase(number);
        feed_answer answer{.status = feed_status::not_current, .records = {}};
        if (is_current) answer = answer_with(known_.changes_after(position), now);
        due.push_back({std::move(numbers), std::move(answer)});
    }
    return due;
}

} // namespace tamarack::entry
