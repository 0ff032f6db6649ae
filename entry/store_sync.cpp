// Sequence of listings and watches.
#include "entry/store_sync.h"

#include <algorithm>

namespace tamarack::entry {

namespace {

// A dead connection must be noticed, after watch_wait and watch_grace, within four seconds after it has stopped
// delivering data: from then on, the host is held to its service limits.
constexpr duration watch_wait = std::chrono::milliseconds(2'500);
constexpr duration watch_grace = std::chrono::milliseconds(700); // for the answer to arrive after the watch has ended
constexpr duration list_timeout = std::chrono::milliseconds(1'200);
// Changes in quick succession are collected into one answer of the store; a single change is read immediately.
constexpr duration burst_window = std::chrono::milliseconds(1'000);
constexpr duration burst_pause = std::chrono::milliseconds(250);
constexpr duration single_change_pause = std::chrono::milliseconds(50);
// Longest time between two answers of an available store.
constexpr duration max_answer_interval = watch_wait + watch_grace + burst_pause;
// Consecutive failures after which the store counts as unavailable. One is not enough: the connection
// of a watch may break and a feeder may stop at any time.
constexpr unsigned failures_until_unavailable = 2;

} // namespace

std::string_view to_string(read_error error) {
    switch (error) {
    case read_error::unreachable:
        return "unreachable";
    case read_error::timed_out:
        return "timed_out";
    case read_error::refused:
        return "refused";
    case read_error::full:
        return "full";
    case read_error::history_dropped:
        return "history_dropped";
    case read_error::unreadable:
        return "unreadable";
    case read_error::unproved:
        return "unproved";
    }
    return "unknown";
}

store_sync::store_sync(replica& store_replica, const source_settings& settings, std::uint64_t random_seed)
    : store_replica_(store_replica), sources_(settings, store_replica, random_seed) {}

// A position is only valid at the source that issued it. The store's position is its revision, so that a watch on the
// store can continue from the revision that a feeder reported, and a feeder can find the changes after a revision. A
// complete listing for each change of source would load a feeder most when many followers switch to it at once.
void store_sync::switch_to(const record_source& source) {
    if (source == latest_call_.source) return;
    latest_call_ = {.kind = read_kind::list, .source = source, .after_key = {}};
    listed_records_.clear();
    if (!store_replica_.is_complete()) return;
    latest_call_.kind = source.kind == source_kind::store ? read_kind::watch : read_kind::resume;
    latest_call_.after_position = store_replica_.complete_revision();
}

std::optional<read_call> store_sync::next_call(steady_time now) {
    if (is_call_pending_ || now < next_call_due_) return std::nullopt;
    if (!repeats_call_) {
        const bool is_mid_listing = latest_call_.kind == read_kind::list && !latest_call_.after_key.empty();
        const auto source = is_mid_listing ? latest_call_.source : sources_.choose(now);
        if (!source) {
            next_call_due_ = sources_.next_available_at();
            return std::nullopt;
        }
        switch_to(*source);
    }
    repeats_call_ = false;
    is_call_pending_ = true;
    latest_call_.max_wait = watch_wait;
    latest_call_.timeout = latest_call_.kind == read_kind::watch ? latest_call_.max_wait + watch_grace : list_timeout;
    return latest_call_;
}

void store_sync::succeeded(const record_page& page, steady_time now) {
    is_call_pending_ = false;
    sources_.succeeded(latest_call_.source);
    if (reads_store()) last_store_answer_ = now;
    // A contact or a feeder may be cut off from the store like this balancer. Only a recent confirmation by the store
    // shows that it is available.
    if (latest_call_.source.kind != source_kind::contact && page.confirmation_age <= max_answer_interval) {
        consecutive_failures_ = 0;
        is_store_available_ = true;
        store_replica_.note_store_available(now, page.confirmation_age);
    }
    if (latest_call_.kind == read_kind::list) return apply_listing_page(page, now);
    for (const record& item : page.records)
        store_replica_.apply(item, now);
    store_replica_.set_complete_revision(page.revision);
    latest_call_.kind = read_kind::watch;
    latest_call_.after_position = page.position;
    if (page.records.empty()) return;
    next_call_due_ = now + (now - last_change_ < burst_window ? burst_pause : single_change_pause);
    last_change_ = now;
}

void store_sync::apply_listing_page(const record_page& page, steady_time now) {
    if (latest_call_.after_key.empty()) {
        listed_records_.clear();
        first_page_ = {.records = {}, .position = page.position, .revision = page.revision, .confirmation_age = {}};
    }
    listed_records_.insert(listed_records_.end(), page.records.begin(), page.records.end());
    if (page.has_more && !page.records.empty()) {
        latest_call_.after_key = page.records.back().key;
        return;
    }
    store_replica_.apply_listing(listed_records_, first_page_.revision, now);
    listed_records_.clear();
    latest_call_.kind = read_kind::watch;
    latest_call_.after_key.clear();
    latest_call_.after_position = first_page_.position;
}

void store_sync::failed(read_error error, steady_time now) {
    is_call_pending_ = false;
    if (error == read_error::history_dropped) {
        latest_call_.kind = read_kind::list;
        latest_call_.after_key.clear();
        repeats_call_ = true;
        return;
    }
    if (latest_call_.kind == read_kind::list) latest_call_.after_key.clear();
    ++consecutive_failures_;
    repeats_call_ = consecutive_failures_ == 1 && error == read_error::unreachable &&
                    latest_call_.kind == read_kind::watch && reads_store();
    if (!repeats_call_) sources_.failed(latest_call_.source, error == read_error::full, now);
    if (consecutive_failures_ < failures_until_unavailable) return;
    is_store_available_ = false;
    store_replica_.note_store_unavailable();
}

bool store_sync::is_current_from_store(steady_time now) const {
    return is_store_available_ && reads_store() && store_replica_.is_complete() &&
           now - last_store_answer_ <= max_answer_interval;
}

} // namespace tamarack::entry
