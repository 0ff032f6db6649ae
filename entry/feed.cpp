// Answers to followers.
#include "entry/feed.h"

#include <algorithm>

namespace tamarack::entry {

namespace {

constexpr duration    longest_wait = std::chrono::seconds(30);
constexpr std::size_t max_followers = 48; // a weak host can answer this many at each change

} // namespace

feed_answer feed::list(steady_time now) const {
    if (!known_.complete()) return {.status = feed_status::not_current, .records = {}};
    return {.records = known_.records(),
            .position = known_.generation(),
            .revision = known_.complete_to(),
            .proof_age = now - known_.last_proof()};
}

feed_answer feed::answer_from(std::uint64_t position, steady_time now) const {
    auto changes = known_.changes_after(position);
    if (!changes) return {.status = feed_status::dropped, .records = {}};
    return {.records = std::move(*changes),
            .position = known_.generation(),
            .revision = known_.complete_to(),
            .proof_age = now - known_.last_proof()};
}

std::optional<feed_answer> feed::watch(std::uint64_t call, std::uint64_t position, duration wait, bool is_current,
                                       steady_time now) {
    if (!is_current) return feed_answer{.status = feed_status::not_current, .records = {}};
    if (waiting_.size() >= max_followers) return feed_answer{.status = feed_status::full, .records = {}};
    feed_answer answer = answer_from(position, now);
    if (answer.status != feed_status::ok || !answer.records.empty()) return answer;
    waiting_[call] = {position, now + std::min(wait, longest_wait)};
    return std::nullopt;
}

std::vector<feed::due_answer> feed::poll(bool is_current, steady_time now) {
    std::vector<due_answer> due;
    for (const auto& [call, each] : waiting_) {
        if (!is_current) {
            due.push_back({call, {.status = feed_status::not_current, .records = {}}});
        } else if (known_.generation() != each.position || now >= each.until) {
            due.push_back({call, answer_from(each.position, now)});
        }
    }
    for (const due_answer& each : due)
        waiting_.erase(each.call);
    return due;
}

} // namespace tamarack::entry
