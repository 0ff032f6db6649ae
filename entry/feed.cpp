// Answers to followers.
#include "entry/feed.h"

#include "entry/change_deadline.h"

#include <tuple>

namespace tamarack::entry {

namespace {

constexpr duration watch_wait_limit = std::chrono::seconds(30);
// All hosts may start at the same time; the first listing of a feeder takes a fraction of this.
constexpr duration first_listing_wait = std::chrono::milliseconds(300);
// A follower calls at least once in a watch's wait. It keeps its place this long after its last call.
constexpr duration follower_retention = std::chrono::seconds(4);
// Limits the load when all hosts of a failure domain start while the store is unavailable; a listing is the most
// expensive answer.
constexpr double   unauthenticated_listings_per_second = 10.0;
constexpr double   unauthenticated_listing_burst = 50.0;

feed_answer without_records(feed_status status) {
    return {.status = status, .records = {}, .followers = {}};
}

} // namespace

feed::feed(const replica& store_replica, const feed_settings& settings, steady_time now)
    : store_replica_(store_replica), settings_(settings),
      unauthenticated_listings_(unauthenticated_listings_per_second, unauthenticated_listing_burst, now) {}

std::optional<feed_key> feed::authenticated_key(const call_authentication& authentication) const {
    const auto was_made_with = [&](const feed_key& key) {
        return verify_mac(authentication.mac, key, feed_message::request, authentication.nonce,
                          authentication.covered_text);
    };
    if (was_made_with(settings_.key)) return settings_.key;
    for (const auto& [domain_and_slot, feeder] : store_replica_.feeders()) {
        if (was_made_with(feeder.registration.key)) return feeder.registration.key;
    }
    return std::nullopt;
}

//----------------------------------------------------------------------------------------------------------------------
// Followers
//----------------------------------------------------------------------------------------------------------------------

bool feed::admit(const ip_address& follower, steady_time now) {
    std::erase_if(followers_,
                  [&](const auto& address_and_call) { return now - address_and_call.second > follower_retention; });
    if (followers_.size() >= settings_.max_followers && !followers_.contains(follower)) return false;
    followers_[follower] = now;
    return true;
}

feed_answer feed::full_answer(const ip_address& caller, steady_time now) const {
    feed_answer answer = without_records(feed_status::full);
    answer.followers = followers(now);
    std::erase(answer.followers, endpoint{caller, settings_.peer_port});
    return answer;
}

std::vector<endpoint> feed::followers(steady_time now) const {
    std::vector<endpoint> endpoints;
    for (const auto& [address, last_call] : followers_) {
        if (now - last_call <= follower_retention) endpoints.push_back({address, settings_.peer_port});
    }
    return endpoints;
}

//----------------------------------------------------------------------------------------------------------------------
// Calls
//----------------------------------------------------------------------------------------------------------------------

feed_answer feed::list_unauthenticated(steady_time now) {
    if (!unauthenticated_listings_.take(1.0, now)) return without_records(feed_status::full);
    if (!store_replica_.is_complete()) return without_records(feed_status::not_current);
    return answer_with(store_replica_.records(), now);
}

std::optional<feed_answer> feed::list(const feed_call& call, steady_time now) {
    if (!admit(call.follower, now)) return full_answer(call.follower, now);
    if (store_replica_.is_complete()) return answer_with(store_replica_.records(), now);
    waiting_calls_[call.number] = {.is_listing = true, .due_at = now + first_listing_wait};
    return std::nullopt;
}

feed_answer feed::resume(const feed_call& call, const store_revision& revision, steady_time now) {
    const bool is_behind_caller = store_replica_.complete_revision().epoch < revision.epoch;
    if (!store_replica_.is_current(now) || is_behind_caller) return without_records(feed_status::not_current);
    if (!admit(call.follower, now)) return full_answer(call.follower, now);
    return answer_with(store_replica_.changes_after_revision(revision), now);
}

std::optional<feed_answer> feed::watch(const feed_call& call, std::uint64_t position, duration max_wait,
                                       steady_time now) {
    if (!store_replica_.is_complete()) return without_records(feed_status::not_current);
    if (!admit(call.follower, now)) return full_answer(call.follower, now);
    feed_answer answer = answer_with(store_replica_.changes_for_follower(position), now);
    if (answer.status != feed_status::ok || !answer.records.empty()) return answer;
    waiting_calls_[call.number] = {.position = position,
                                   .confirmed_at = store_replica_.last_confirmation(),
                                   .due_at = now + std::min(max_wait, watch_wait_limit)};
    return std::nullopt;
}

feed_answer feed::answer_with(std::optional<std::vector<record>> changes, steady_time now) const {
    if (!changes) return without_records(feed_status::history_dropped);
    return {.records = std::move(*changes),
            .position = store_replica_.generation(),
            .revision = store_replica_.shareable_revision(),
            .listed_revision = store_replica_.listed_revision(),
            .confirmation_age = now - store_replica_.last_confirmation(),
            .distance = store_replica_.store_distance() + 1,
            .followers = {}};
}

//----------------------------------------------------------------------------------------------------------------------
// Waiting calls
//----------------------------------------------------------------------------------------------------------------------

bool feed::is_due(const waiting_call& call, steady_time now) const {
    if (now >= call.due_at) return true;
    if (call.is_listing) return store_replica_.is_complete();
    if (store_replica_.generation() != call.position) return true;
    return store_replica_.last_confirmation() > call.confirmed_at && store_replica_.is_current(now);
}

// A watch that ends without a change says that there is none: it is refused if the store has not confirmed that lately.
feed_answer feed::answer_due(const waiting_call& call, steady_time now) const {
    if (call.is_listing) {
        if (!store_replica_.is_complete()) return without_records(feed_status::not_current);
        return answer_with(store_replica_.records(), now);
    }
    const bool is_confirmed =
        store_replica_.is_current(now) && now - store_replica_.last_confirmation() <= confirmation_interval;
    if (!is_confirmed && store_replica_.generation() == call.position) return without_records(feed_status::not_current);
    return answer_with(store_replica_.changes_for_follower(call.position), now);
}

std::vector<feed::due_answer> feed::poll(steady_time now) {
    // Calls with the same key get the same answer.
    using answer_key = std::tuple<bool, std::uint64_t, steady_time>;
    std::map<answer_key, std::vector<std::uint64_t>> due_calls;
    for (const auto& [number, call] : waiting_calls_) {
        if (is_due(call, now)) due_calls[{call.is_listing, call.position, call.confirmed_at}].push_back(number);
    }
    std::vector<due_answer> due_answers;
    for (auto& [key, numbers] : due_calls) {
        feed_answer answer = answer_due(waiting_calls_.at(numbers.front()), now);
        due_answers.push_back({std::move(numbers), std::move(answer)});
    }
    // Last, since an answer can fail for lack of memory: all calls then wait for the next poll.
    for (const due_answer& due : due_answers) {
        for (const std::uint64_t number : due.calls)
            waiting_calls_.erase(number);
    }
    return due_answers;
}

} // namespace tamarack::entry
