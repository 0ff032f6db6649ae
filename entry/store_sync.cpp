// Sequence of listings and watches.
#include "entry/store_sync.h"

#include "entry/change_deadline.h"

#include <algorithm>
#include <utility>

namespace tamarack::entry {

namespace {

// A feeder reads the store at a fixed interval, and its followers get each answer of the store when it arrives, so that
// confirmations are equally old at all distances from the store. A follower waits a little longer than the interval.
constexpr duration feeder_watch_wait = std::chrono::milliseconds(2'300);
constexpr duration min_watch_wait = std::chrono::milliseconds(100);
// A connection that has stopped delivering data must be noticed within three seconds, when a host is first held to
// its service limits: waits plus the time for the answer to arrive.
constexpr duration feeder_watch_grace = std::chrono::milliseconds(500);
constexpr duration list_timeout = std::chrono::milliseconds(1'200);
constexpr duration connect_timeout = std::chrono::milliseconds(700);
// A balancer is asked only briefly for changes if it has not answered the last call, or after another source has
// failed: other sources wait, and little is left of the deadline of a change. A listing, which may be large, follows
// only when it has answered. A contact may have no power, and must not keep a start from other sources.
constexpr duration brief_connect_timeout = std::chrono::milliseconds(200);
// A listing that is cut off by its timeout loads its source again: the timeout doubles, at most this often.
constexpr unsigned max_timeout_doublings = 2;
// After an answer that was too slow, the next one may arrive at half of the rate, at most this often: a call that is
// repeated is not the call that failed.
constexpr unsigned max_rate_halvings = 5;
// Changes in quick succession are collected into one answer of the store; a single change is read immediately. A
// feeder has collected them already.
constexpr duration burst_window = std::chrono::milliseconds(1'000);
constexpr duration single_change_pause = std::chrono::milliseconds(50);
// A store that answers watches at once, though nothing has changed, must not be called again without a pause.
constexpr duration min_watch_interval = std::chrono::milliseconds(100);
constexpr duration least_reader_pause = std::chrono::milliseconds(400);
// Consecutive failures after which the store counts as unavailable. One is not enough: the connection
// of a watch may break and a feeder may stop at any time.
constexpr unsigned failures_until_unavailable = 2;

source_failure to_source_failure(read_error error) {
    if (error == read_error::full) return source_failure::full;
    if (error == read_error::unreachable) return source_failure::unreachable;
    return error == read_error::refused ? source_failure::not_current : source_failure::no_answer;
}

} // namespace

std::string_view to_string(read_kind kind) {
    switch (kind) {
    case read_kind::find_feeders:
        return "find_feeders";
    case read_kind::list:
        return "list";
    case read_kind::watch:
        return "watch";
    case read_kind::resume:
        return "resume";
    }
    return "unknown";
}

std::string_view to_string(read_error error) {
    switch (error) {
    case read_error::unreachable:
        return "unreachable";
    case read_error::timed_out:
        return "timed_out";
    case read_error::too_slow:
        return "too_slow";
    case read_error::refused:
        return "refused";
    case read_error::full:
        return "full";
    case read_error::history_dropped:
        return "history_dropped";
    case read_error::too_long:
        return "too_long";
    case read_error::unreadable:
        return "unreadable";
    case read_error::unproved:
        return "unproved";
    }
    return "unknown";
}

store_sync::store_sync(replica& store_replica, const source_settings& settings, std::uint64_t random_seed)
    : store_replica_(store_replica), sources_(settings, store_replica, random_seed), random_(random_seed + 1) {}

//----------------------------------------------------------------------------------------------------------------------
// Calls
//----------------------------------------------------------------------------------------------------------------------

// A position is only valid at the source that issued it. The store's position is the number of its revision, so that a
// watch on the store can continue from the revision that a feeder reported, and a feeder can find the changes after a
// revision. A complete listing for each change of source would load a feeder most when many followers switch to it at
// once.
void store_sync::switch_to(const record_source& source) {
    if (source == latest_call_.source && latest_call_.kind != read_kind::find_feeders) return;
    latest_call_ = {.kind = read_kind::list, .source = source, .after_key = {}};
    resumes_listing_ = false;
    listed_records_.clear();
    if (!store_replica_.is_complete()) return;
    // After a restore of the store, its history may hold the end of an evacuation that was ordered again since the
    // copy.
    if (source.kind == source_kind::store && store_replica_.complete_revision().number == 0) return;
    probes_source_ = source.kind == source_kind::store;
    latest_call_.kind = source.kind == source_kind::store ? read_kind::watch : read_kind::resume;
    latest_call_.after_position = store_replica_.complete_revision().number;
    latest_call_.after_revision = store_replica_.complete_revision();
}

// Leaves next_call_due_ in the future if no source is available.
void store_sync::choose_call(steady_time now) {
    if (!has_looked_up_feeders_) {
        latest_call_ = {.kind = read_kind::find_feeders, .source = {}, .after_key = {}};
        return;
    }
    const bool needs_store = sources_.needs_store(now);
    if (needs_store && !reads_store() && !sources_.is_feeder()) ++fallbacks_;
    const bool is_mid_listing = latest_call_.kind == read_kind::list && !latest_call_.after_key.empty() && !needs_store;
    const auto source = is_mid_listing ? latest_call_.source : sources_.choose(now);
    if (source) {
        switch_to(*source);
    } else {
        next_call_due_ = sources_.next_available_at(now);
    }
}

void store_sync::set_timeouts(steady_time now) {
    set_usual_timeouts(now);
    set_transfer_limits();
    // A call to another balancer ends in time for a read of the store.
    if (latest_call_.source.kind != source_kind::feeder) return;
    // A listing may take its whole time, and is what a balancer has to wait for while the store fails.
    if (latest_call_.kind == read_kind::list && sources_.has_store_failed()) return;
    const auto time_left = sources_.time_until_fallback(now);
    if (!time_left) return;
    latest_call_.transfer.longest_time = std::max(*time_left, least_balancer_timeout);
    latest_call_.timeout = std::min(latest_call_.timeout, latest_call_.transfer.longest_time);
    latest_call_.connect_timeout = std::min(latest_call_.connect_timeout, latest_call_.timeout);
}

void store_sync::set_usual_timeouts(steady_time now) {
    const bool                 is_feeder_call = latest_call_.source.kind == source_kind::feeder;
    const bool                 is_first_listing = is_feeder_call && !store_replica_.is_complete();
    const first_listing_limits limits = sources_.limits_of_first_listing();
    latest_call_.connect_timeout = is_first_listing ? limits.connect_timeout : connect_timeout;
    if (latest_call_.source.kind == source_kind::contact) latest_call_.connect_timeout = brief_connect_timeout;
    if (latest_call_.kind == read_kind::watch) {
        latest_call_.max_wait = is_feeder_call ? feeder_watch_wait : store_watch_wait_at(now);
        if (probes_source_) latest_call_.max_wait = {};
        // A feeder that has lost the store tries it again soon: it may be read by feeders that have lost it, too.
        if (is_feeder_call && sources_.is_feeder())
            latest_call_.max_wait = std::clamp(sources_.store_retry_at() - now, min_watch_wait, feeder_watch_wait);
        latest_call_.timeout = latest_call_.max_wait + (is_feeder_call ? feeder_watch_grace : store_watch_grace);
        return;
    }
    latest_call_.max_wait = {};
    const bool is_in_doubt = consecutive_failures_ > 0 || !sources_.has_answered(latest_call_.source);
    if (latest_call_.kind == read_kind::resume && is_in_doubt) {
        latest_call_.connect_timeout = brief_connect_timeout;
        latest_call_.timeout = brief_timeout;
        return;
    }
    const duration timeout = is_first_listing ? limits.timeout : list_timeout;
    latest_call_.timeout =
        timeout * (reads_store() ? 1U << std::min(consecutive_timeouts_, max_timeout_doublings) : 1U);
}

// The store answers a watch with each version of a record since the position, as it was written. The answers of other
// balancers are never longer than a listing.
void store_sync::set_transfer_limits() {
    const unsigned halvings = std::min(consecutive_slow_answers_, max_rate_halvings);
    latest_call_.transfer = {.least_rate = least_transfer_rate >> halvings};
    const bool is_store_watch = latest_call_.kind == read_kind::watch && reads_store();
    latest_call_.max_answer_size = is_store_watch ? sources_.longest_changes_answer() : 0;
}

// The store confirms nothing newer than the call of a watch that it answers early, so that the next watch waits only
// for the rest of the interval.
duration store_sync::store_watch_wait_at(steady_time now) const {
    const duration age = now - store_replica_.last_confirmation();
    return std::clamp(store_watch_wait - age, min_watch_wait, store_watch_wait);
}

std::optional<read_call> store_sync::next_call(steady_time now) {
    if (is_call_pending_ || now < next_call_due_) return std::nullopt;
    if (!repeats_call_) choose_call(now);
    if (now < next_call_due_) return std::nullopt;
    repeats_call_ = false;
    is_call_pending_ = true;
    latest_call_time_ = now;
    if (latest_call_.kind == read_kind::list && latest_call_.after_key.empty()) listing_called_at_ = now;
    set_timeouts(now);
    return latest_call_;
}

std::optional<steady_time> store_sync::first_listing_due() const {
    if (is_call_pending_ || store_replica_.is_complete()) return std::nullopt;
    return next_call_due_;
}

//----------------------------------------------------------------------------------------------------------------------
// Outcomes
//----------------------------------------------------------------------------------------------------------------------

// A process that was paused may find an answer that had arrived long before: its age is then unknown.
void store_sync::succeeded(const record_page& page, steady_time now) {
    const duration elapsed = now - latest_call_time_;
    if (elapsed >
        latest_call_.connect_timeout + time_limit(latest_call_.timeout, latest_call_.transfer, page.size, elapsed))
        return failed({read_error::timed_out, {}}, now);
    if (const auto error = check_epoch(page)) return failed({*error, {}}, now);
    if (!answers_call(page)) return failed({read_error::unreadable, {}}, now);
    is_call_pending_ = false;
    probes_source_ = false;
    // The first pages of a listing that fails at a later one are no progress.
    if (!is_followed_by_page(page)) consecutive_timeouts_ = consecutive_slow_answers_ = 0;
    if (latest_call_.kind == read_kind::find_feeders) {
        for (const record& item : page.records)
            store_replica_.apply(item, now);
        const auto next_lookup = sources_.note_feeders_looked_up(now);
        has_looked_up_feeders_ = !next_lookup;
        next_call_due_ = next_lookup.value_or(now);
        return;
    }
    const bool is_feeder_call = latest_call_.source.kind == source_kind::feeder;
    if (is_feeder_call && (age_of(page, now) > max_confirmation_age || page.distance >= max_store_distance)) {
        sources_.failed(latest_call_.source, source_failure::not_current, {}, now);
    } else {
        sources_.succeeded(latest_call_.source, page.distance);
    }
    note_confirmation(page, now);
    if (latest_call_.kind == read_kind::list) return apply_listing_page(page, now);
    apply_changes(page, now);
}

// Only a listing leads from one epoch of the store to the next: the changes after a position do not tell what the new
// epoch lacks, and a position of the old one may already have been issued again. A source that is still in an earlier
// epoch has not read the store since.
std::optional<read_error> store_sync::check_epoch(const record_page& page) const {
    if (latest_call_.kind == read_kind::find_feeders) return std::nullopt;
    const bool is_later_page = latest_call_.kind == read_kind::list && !latest_call_.after_key.empty();
    if (is_later_page && page.revision.epoch != first_page_.revision.epoch) return read_error::history_dropped;
    if (!store_replica_.is_complete()) return std::nullopt;
    const std::uint64_t known_epoch = store_replica_.complete_revision().epoch;
    if (page.revision.epoch < known_epoch) return read_error::refused;
    if (latest_call_.kind != read_kind::list && page.revision.epoch != known_epoch) return read_error::history_dropped;
    return std::nullopt;
}

// A source that sends an answer twice may have its copy taken for the answer to the next call: a page that repeats keys
// or a watch that goes back in the source's history is such a copy.
bool store_sync::answers_call(const record_page& page) const {
    if (latest_call_.kind == read_kind::watch) return page.position >= latest_call_.after_position;
    if (latest_call_.kind != read_kind::list || page.records.empty()) return true;
    return latest_call_.after_key.empty() || page.records.front().key > latest_call_.after_key;
}

// The time that the call and its answer travelled counts in full, so that balancers that read from each other cannot
// make a confirmation younger. The store holds a watch for its whole wait unless there is a change. It does not tell
// when it answered because of a change, and the answer may have waited here while this process was paused: such an
// answer only shows what the store had when it was called.
duration store_sync::age_of(const record_page& page, steady_time now) const {
    const duration    held_by_store = page.records.empty() ? latest_call_.max_wait : duration::zero();
    const duration    held = reads_store() ? held_by_store : page.held;
    // The later pages of a listing do not tell what has changed since in the keys of the earlier ones.
    const steady_time called_at = latest_call_.kind == read_kind::list ? listing_called_at_ : latest_call_time_;
    return page.confirmation_age + std::max(duration::zero(), now - called_at - held);
}

bool store_sync::is_followed_by_page(const record_page& page) const {
    return latest_call_.kind == read_kind::list && page.has_more && !page.records.empty();
}

// A contact or a feeder may be cut off from the store like this balancer. Only a recent confirmation by the store shows
// that it is available.
void store_sync::note_confirmation(const record_page& page, steady_time now) {
    if (latest_call_.source.kind == source_kind::contact || age_of(page, now) > max_confirmation_age) return;
    if (page.distance >= max_store_distance) return;
    consecutive_failures_ = 0;
    is_store_available_ = true;
    // A listing is applied with its last page, until which the replica lacks its records.
    if (!is_followed_by_page(page)) store_replica_.note_store_available(now, age_of(page, now), page.distance);
}

void store_sync::apply_changes(const record_page& page, steady_time now) {
    for (const record& item : page.records)
        store_replica_.apply(item, now);
    store_replica_.set_complete_revision(page.revision);
    latest_call_.kind = read_kind::watch;
    // Changes that the source has made since the listing may have earlier revisions than it: a removal that it held.
    const bool follows_listing = std::exchange(resumes_listing_, false);
    latest_call_.after_position = follows_listing ? first_page_.position : page.position;
    next_call_due_ = next_call_after(pause_after(!page.records.empty(), now), now);
    const bool is_idle_watch = reads_store() && page.records.empty() && latest_call_.max_wait >= min_watch_wait;
    if (is_idle_watch) next_call_due_ = std::max(next_call_due_, latest_call_time_ + min_watch_interval);
    if (!page.records.empty()) last_change_ = now;
}

duration store_sync::pause_after(bool has_changes, steady_time now) {
    if (!reads_store()) return {};
    if (!sources_.is_feeder()) {
        return duration(std::uniform_int_distribution<duration::rep>(least_reader_pause.count(),
                                                                     most_reader_pause.count())(random_));
    }
    if (!has_changes) return {};
    return now - last_change_ < burst_window ? burst_pause : single_change_pause;
}

// Ends the pause early if the confirmation would otherwise grow older than a watch waits.
steady_time store_sync::next_call_after(duration pause, steady_time now) const {
    return std::clamp(store_replica_.last_confirmation() + store_watch_wait, now, now + pause);
}

void store_sync::apply_listing_page(const record_page& page, steady_time now) {
    if (latest_call_.after_key.empty()) {
        listed_records_.clear();
        first_page_ = {.records = {},
                       .position = page.position,
                       .revision = page.revision,
                       .listed_revision = page.listed_revision};
    }
    listed_records_.insert(listed_records_.end(), page.records.begin(), page.records.end());
    if (is_followed_by_page(page)) {
        latest_call_.after_key = page.records.back().key;
        return;
    }
    // A balancer may know of removals that are later than the revision of its listing, which does not name them.
    resumes_listing_ = store_replica_.is_complete() && !reads_store();
    store_replica_.apply_listing(listed_records_, first_page_.listed_revision, now, first_page_.revision);
    listed_records_.clear();
    latest_call_.kind = resumes_listing_ ? read_kind::resume : read_kind::watch;
    latest_call_.after_key.clear();
    latest_call_.after_position = first_page_.position;
    latest_call_.after_revision = first_page_.listed_revision;
    next_call_due_ = next_call_after(pause_after(false, now), now);
}

void store_sync::failed(const read_failure& failure, steady_time now) {
    is_call_pending_ = false;
    probes_source_ = latest_call_.kind == read_kind::watch && reads_store();
    has_looked_up_feeders_ = true; // without the feeders, the listing is read from the store
    if (failure.error == read_error::history_dropped || failure.error == read_error::too_long) {
        latest_call_.kind = std::exchange(resumes_listing_, false) ? read_kind::watch : read_kind::list;
        latest_call_.after_key.clear();
        repeats_call_ = true;
        return;
    }
    const bool is_slow_store = failure.error == read_error::timed_out && reads_store();
    if (is_slow_store && latest_call_.kind != read_kind::watch) ++consecutive_timeouts_;
    if (failure.error == read_error::too_slow) ++consecutive_slow_answers_;
    if (latest_call_.kind == read_kind::list) latest_call_.after_key.clear();
    if (failure.error != read_error::full) ++consecutive_failures_; // a full balancer names others to read from
    const bool is_lost_connection = failure.error == read_error::unreachable ||
                                    failure.error == read_error::timed_out || failure.error == read_error::too_slow;
    repeats_call_ =
        consecutive_failures_ == 1 && is_lost_connection && latest_call_.kind == read_kind::watch && reads_store();
    if (!repeats_call_) sources_.failed(latest_call_.source, to_source_failure(failure.error), failure.followers, now);
    if (consecutive_failures_ < failures_until_unavailable) return;
    is_store_available_ = false;
    store_replica_.note_store_unavailable();
}

} // namespace tamarack::entry
