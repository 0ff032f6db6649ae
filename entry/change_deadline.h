// The time from a change in the store until every balancer that the store serves uses it, term by term.
//
// A balancer mostly reads from another one, which may stop at any moment without a sign; so may each further one that
// it asks. The sum therefore does not run over the calls. Whatever a balancer asks, it lacks only changes that are
// younger than the last confirmation by the store that it has received. When that is store_fallback_age old, the
// balancer reads the store itself, whatever other sources are left.
#pragma once

#include "entry/model.h"
#include "entry/transfer_limit.h"

namespace tamarack::entry {

// The event loop looks for due calls at least this often.
inline constexpr duration tick_interval = std::chrono::milliseconds(100);
// Within which a store that is available answers a call that does not wait: with the time for connecting, for a listing
// that takes the place of changes that are too long, and for the bytes of a short answer.
inline constexpr duration store_answer_time = std::chrono::milliseconds(300);
// A shorter deadline counts as this one: to keep it would take more calls to the store.
inline constexpr duration least_change_deadline = std::chrono::seconds(3);
// A call to another balancer is made only if it may take this long.
inline constexpr duration least_balancer_timeout = std::chrono::milliseconds(100);

// A feeder's watch on the store ends at least this often, and confirms the records.
inline constexpr duration store_watch_wait = std::chrono::seconds(2);
// Longest time between two confirmations of an available store, with the delay of a slow answer.
inline constexpr duration confirmation_interval = std::chrono::milliseconds(2'250);
// A feeder that reads changes in quick succession lets the store collect them for this time.
inline constexpr duration burst_pause = std::chrono::milliseconds(400);
// A balancer that reads the store although it is no feeder waits for a feeder to be registered, at most this long.
inline constexpr duration most_reader_pause = std::chrono::milliseconds(900);

// Timeout of a watch on the store beyond its wait. A call to a store that does not answer ends after this time.
inline constexpr duration store_watch_grace = std::chrono::milliseconds(700);
// Timeout of a call to another balancer while the sources are in doubt.
inline constexpr duration brief_timeout = std::chrono::milliseconds(400);

// On the link of a host an answer that takes no longer than this is short.
inline constexpr duration short_transfer = std::chrono::milliseconds(100);

constexpr double bytes_per_second(double link_mbps) {
    constexpr double bytes_per_megabit = 125'000;
    return link_mbps * bytes_per_megabit;
}
// Bytes of an answer of the store. Changes that are longer, which are many versions of large records, are not read: a
// listing takes their place, which is at most half as long.
constexpr std::size_t longest_changes(std::size_t listing_size, double link_mbps) {
    const double short_answer = std::chrono::duration<double>(short_transfer).count() * bytes_per_second(link_mbps);
    return std::max(static_cast<std::size_t>(short_answer), 2 * listing_size);
}
// Time on the link that the longest answer takes beyond that of a short one.
constexpr duration longest_transfer(std::size_t listing_size, double link_mbps) {
    const duration time = transfer_time(longest_changes(listing_size, link_mbps), bytes_per_second(link_mbps));
    return std::max(time - short_transfer, duration::zero());
}

// While nothing fails, each confirmation arrives before this age.
inline constexpr duration least_fallback_age = confirmation_interval + tick_interval + least_balancer_timeout;

// Age of the last confirmation at which a balancer reads the store itself. Transfer: longest_transfer, here and below.
constexpr duration store_fallback_age(duration change_deadline, duration transfer) {
    return std::max(change_deadline - tick_interval - store_answer_time - transfer, least_fallback_age);
}

// From a change until a balancer uses it, by way of its source.
// - Another balancer that stops: the change is younger than the confirmation, which ages up to the fallback. Later than
//   the deadline if the records are too long for the link of the host.
constexpr duration age_after_fallback(duration change_deadline, duration transfer) {
    return store_fallback_age(change_deadline, transfer) + tick_interval + store_answer_time + transfer;
}
// - The store, between two watches.
constexpr duration age_after_pause(duration transfer) {
    return std::max(burst_pause, most_reader_pause) + tick_interval + store_answer_time + transfer;
}

// After failures of the store, a balancer waits at most this long before it tries it again.
constexpr duration store_retry_limit(duration change_deadline, duration transfer) {
    constexpr duration least_limit = std::chrono::milliseconds(1'500);
    const duration     limit =
        change_deadline - store_watch_grace - brief_timeout - tick_interval - store_answer_time - transfer;
    return std::max(limit, least_limit);
}

// From the moment at which the store serves a balancer again until its answer: the pending call to the store ends by
// its timeout, the balancer waits, and the wait ends while a call to another balancer is pending.
constexpr duration time_to_return(duration change_deadline, duration transfer) {
    return store_watch_grace + store_retry_limit(change_deadline, transfer) + brief_timeout + tick_interval +
           store_answer_time + transfer;
}

static_assert(time_to_return(least_change_deadline, {}) <= least_change_deadline);
static_assert(age_after_fallback(least_change_deadline, {}) <= least_change_deadline);
static_assert(age_after_pause({}) <= least_change_deadline);
static_assert(least_fallback_age < store_fallback_age(least_change_deadline, {}));

} // namespace tamarack::entry
