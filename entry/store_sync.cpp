// Sequence of listings and watches.
#include "entry/store_sync.h"

#include <algorithm>

namespace tamarack::entry {

namespace {

// The store's longest useful wait is bounded by how soon a silent connection must be noticed.
constexpr duration         watch_wait = std::chrono::milliseconds(2'500);
constexpr duration         watch_grace = std::chrono::milliseconds(700); // for the answer to a watch that has ended
constexpr duration         list_timeout = std::chrono::milliseconds(1'200);
// Changes that come in quick succession share one answer.
constexpr duration         watch_pause = std::chrono::milliseconds(100);
constexpr backoff_settings retry_wait = {std::chrono::milliseconds(100), std::chrono::milliseconds(800)};

} // namespace

std::string_view to_string(store_error error) {
    switch (error) {
    case store_error::unreachable:
        return "unreachable";
    case store_error::timed_out:
        return "timed_out";
    case store_error::refused:
        return "refused";
    case store_error::history_dropped:
        return "history_dropped";
    case store_error::unreadable:
        return "unreadable";
    }
    return "unknown";
}

store_sync::store_sync(replica& known, std::uint64_t random_seed) : known_(known), random_(random_seed) {}

std::optional<store_call> store_sync::next_call(steady_time now) {
    if (under_way_ || now < not_before_) return std::nullopt;
    under_way_ = true;
    if (call_.kind == store_call_kind::list) {
        call_.timeout = list_timeout;
    } else {
        call_.after_revision = known_.complete_to();
        call_.wait = watch_wait;
        call_.timeout = watch_wait + watch_grace;
    }
    return call_;
}

std::optional<steady_time> store_sync::due() const {
    if (under_way_) return std::nullopt;
    return not_before_;
}

std::vector<replica_change> store_sync::succeeded(const store_page& page, steady_time now) {
    under_way_ = false;
    failures_ = 0;
    last_success_ = now;
    known_.store_returned(now);
    std::vector<replica_change> changes;
    if (call_.kind == store_call_kind::watch) {
        for (const record& item : page.records)
            changes.push_back(known_.apply(item, now));
        known_.set_complete_to(page.revision);
        not_before_ = page.records.empty() ? now : now + watch_pause;
        return changes;
    }
    if (call_.after_key.empty()) {
        listed_.clear();
        listed_revision_ = page.revision;
    }
    listed_.insert(listed_.end(), page.records.begin(), page.records.end());
    if (page.more && !page.records.empty()) {
        call_.after_key = page.records.back().key;
        return changes;
    }
    changes = known_.apply_snapshot(listed_, listed_revision_, now);
    listed_.clear();
    call_ = {.kind = store_call_kind::watch, .after_key = {}};
    return changes;
}

void store_sync::failed(store_error error, steady_time now) {
    under_way_ = false;
    if (error == store_error::history_dropped) {
        call_ = {.kind = store_call_kind::list, .after_key = {}};
        return;
    }
    if (call_.kind == store_call_kind::list) call_.after_key.clear();
    // A watch may be cut at any time; the first repetition follows at once and decides whether the store is away.
    const bool maybe_cut = failures_ == 0 && error == store_error::unreachable && call_.kind == store_call_kind::watch;
    ++failures_;
    if (maybe_cut) return;
    known_.store_lost(now);
    not_before_ =
        now + backoff_limit(retry_wait, failures_ - 1) / 2 + backoff_delay(retry_wait, failures_ - 1, random_) / 2;
}

} // namespace tamarack::entry
