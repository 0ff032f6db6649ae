// Sequence of listings and watches.
#include "entry/store_sync.h"

#include <algorithm>

namespace tamarack::entry {

namespace {

// Bounded by how soon a silent connection must be noticed: hosts are held to their bounds four seconds after it.
constexpr duration watch_wait = std::chrono::milliseconds(2'500);
constexpr duration watch_grace = std::chrono::milliseconds(700); // for the answer to a watch that has ended
constexpr duration list_timeout = std::chrono::milliseconds(1'200);
// Changes in quick succession share one answer of the store; a single one is seen at once.
constexpr duration burst_window = std::chrono::milliseconds(1'000);
constexpr duration burst_pause = std::chrono::milliseconds(250);
constexpr duration single_pause = std::chrono::milliseconds(50);
// Between two answers of a store that is there.
constexpr duration longest_silence = watch_wait + watch_grace + burst_pause;
// Failures in a row until the store counts as away: a watch may be cut, and a feeder end, at any time.
constexpr unsigned failures_until_lost = 2;

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

store_sync::store_sync(replica& known, const source_settings& settings, std::uint64_t random_seed)
    : known_(known), sources_(settings, known, random_seed) {}

// Positions belong to their source. The store's is its revision, so that a watch can go on from what a feeder gave, and
// a feeder finds what is newer than a revision. A whole listing for each change of source would load a feeder the more,
// the more followers turn to it at the same moment.
void store_sync::turn_to(const record_source& source) {
    if (source == call_.source) return;
    call_ = {.kind = read_kind::list, .source = source, .after_key = {}};
    listed_.clear();
    if (!known_.complete()) return;
    call_.kind = source.kind == source_kind::store ? read_kind::watch : read_kind::resume;
    call_.after_position = known_.complete_to();
}

std::optional<read_call> store_sync::next_call(steady_time now) {
    if (under_way_ || now < not_before_) return std::nullopt;
    if (!repeat_) {
        const bool in_listing = call_.kind == read_kind::list && !call_.after_key.empty();
        const auto source = in_listing ? call_.source : sources_.choose(now);
        if (!source) {
            not_before_ = sources_.next_due();
            return std::nullopt;
        }
        turn_to(*source);
    }
    repeat_ = false;
    under_way_ = true;
    call_.wait = watch_wait;
    call_.timeout = call_.kind == read_kind::watch ? call_.wait + watch_grace : list_timeout;
    return call_;
}

void store_sync::succeeded(const record_page& page, steady_time now) {
    under_way_ = false;
    sources_.succeeded(call_.source);
    if (reads_store()) direct_success_ = now;
    // A contact or a feeder may be as cut off as this balancer; a recent proof shows that the store is there.
    if (call_.source.kind != source_kind::contact && page.proof_age <= longest_silence) {
        failures_ = 0;
        reachable_ = true;
        known_.store_returned(now, page.proof_age);
    }
    if (call_.kind == read_kind::list) return take_listing(page, now);
    for (const record& item : page.records)
        known_.apply(item, now);
    known_.set_complete_to(page.revision);
    call_.kind = read_kind::watch;
    call_.after_position = page.position;
    if (page.records.empty()) return;
    not_before_ = now + (now - last_change_ < burst_window ? burst_pause : single_pause);
    last_change_ = now;
}

void store_sync::take_listing(const record_page& page, steady_time now) {
    if (call_.after_key.empty()) {
        listed_.clear();
        first_page_ = {.records = {}, .position = page.position, .revision = page.revision, .proof_age = {}};
    }
    listed_.insert(listed_.end(), page.records.begin(), page.records.end());
    if (page.more && !page.records.empty()) {
        call_.after_key = page.records.back().key;
        return;
    }
    known_.apply_snapshot(listed_, first_page_.revision, now);
    listed_.clear();
    call_.kind = read_kind::watch;
    call_.after_key.clear();
    call_.after_position = first_page_.position;
}

void store_sync::failed(read_error error, steady_time now) {
    under_way_ = false;
    if (error == read_error::history_dropped) {
        call_.kind = read_kind::list;
        call_.after_key.clear();
        repeat_ = true;
        return;
    }
    if (call_.kind == read_kind::list) call_.after_key.clear();
    ++failures_;
    repeat_ = failures_ == 1 && error == read_error::unreachable && call_.kind == read_kind::watch && reads_store();
    if (!repeat_) sources_.failed(call_.source, error == read_error::full, now);
    if (failures_ < failures_until_lost) return;
    reachable_ = false;
    known_.store_lost();
}

bool store_sync::is_direct(steady_time now) const {
    return reachable_ && reads_store() && known_.complete() && now - direct_success_ <= longest_silence;
}

} // namespace tamarack::entry
