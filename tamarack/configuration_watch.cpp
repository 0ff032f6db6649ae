// Follows the stored head, and repairs a store that was restored to an older state.
//
//   elected     -> watch (long poll) -> newer head -> watch ...
//   failed call -> backoff -> read -> watch
//   older head  -> read again; still older after 2 s -> write the current head back by compare-and-swap
//   each member -> infrequent polls: a restored store may reach the watched version again, with another head
#include "tamarack/configuration_parts.h"
#include "tamarack/events.h"

#include <algorithm>

namespace tamarack::replica {

namespace {

// One poll a minute per failure domain, whatever its size, for domains whose watchers can't reach the store.
constexpr duration domain_poll_interval = std::chrono::seconds(60);
// A new host normally gets the configuration from peers within about 2 s, so it first waits for them. The first read of
// the store is then delayed by a random time, because all hosts may start at once.
constexpr duration peer_response_time = std::chrono::seconds(5);
constexpr duration first_read_spread = std::chrono::seconds(5);
// After a successful call; limits the rate of calls while changes follow each other quickly.
constexpr duration min_call_interval = std::chrono::milliseconds(20);
// A lagging replica of the store catches up within this time; a restored store stays older.
constexpr duration older_head_grace = std::chrono::seconds(2);
constexpr unsigned min_older_reads = 3;
constexpr duration older_read_interval = std::chrono::milliseconds(500); // plus a random time up to the same length

} // namespace

watcher::watcher(context& shared) : shared_(shared) {
    first_read_interval_ = 2 * peer_response_time;
    first_read_at_ = shared_.now() + peer_response_time + shared_.random_below(first_read_spread);
    set_domain_size(1);
}

// Scales the remaining time to the new interval instead of restarting it. In a large domain members come and go more
// often than a member polls, and a restarted interval might never end.
void watcher::set_domain_size(std::size_t member_count) {
    const duration interval = domain_poll_interval * static_cast<duration::rep>(std::max<std::size_t>(member_count, 1));
    if (interval == poll_interval_) return;
    if (poll_interval_ == duration{}) {
        // Random, so that the polling rate also holds if all members start at the same time.
        next_poll_at_ = shared_.now() + shared_.random_below(interval);
    } else {
        const double remaining = std::chrono::duration<double>(next_poll_at_ - shared_.now()) / poll_interval_;
        next_poll_at_ = shared_.now() + std::chrono::duration_cast<duration>(std::max(remaining, 0.0) * interval);
    }
    poll_interval_ = interval;
}

void watcher::store_answered(const store_response& response) {
    if (call_.complete(response)) handle_response(response);
}

void watcher::tick() {
    if (!shared_.settings.use_store) return;
    if (const auto timed_out = call_.timeout_response(shared_)) store_answered(*timed_out);
    if (!call_.is_pending() && shared_.now() >= next_call_at_) start_next_call();
}

bool watcher::needs_first_read() const {
    return shared_.current_head->revision() == 0 && shared_.now() >= first_read_at_;
}

void watcher::start_next_call() {
    if (must_read_head_) return read_head();
    if (shared_.now() >= next_poll_at_) {
        next_poll_at_ = shared_.now() + poll_interval_ / 2 + shared_.random_below(poll_interval_);
        return read_head();
    }
    if (shared_.is_elected_watcher) return watch_head();
    if (needs_first_read()) {
        first_read_at_ = shared_.now() + first_read_interval_ / 2 + shared_.random_below(first_read_interval_);
        first_read_interval_ = std::min(2 * first_read_interval_, poll_interval_);
        read_head();
    }
}

void watcher::read_head() {
    step_ = step::reading;
    store_request call;
    call.operation = store_operation::get;
    call.key = head_key(shared_.settings.cluster);
    call_.start(shared_, requester::watcher, std::move(call));
}

void watcher::watch_head() {
    step_ = step::watching;
    store_request call;
    call.operation = store_operation::watch;
    call.key = head_key(shared_.settings.cluster);
    call.expected_version = seen_version_;
    call.deadline = shared_.settings.watch_deadline;
    call_.start(shared_, requester::watcher, std::move(call));
}

void watcher::handle_response(const store_response& response) {
    if (step_ == step::writing) {
        if (const auto result = writer_.store_answered(response)) return handle_write_result(*result);
        return call_.start(shared_, requester::watcher, writer_.request());
    }
    switch (response.status) {
    case store_status::unchanged:
        return handle_unchanged(response);
    case store_status::ok:
        // Treated as a failure, with backoff: a watch that answers without a later version would otherwise be repeated
        // at once, again and again.
        if (step_ == step::watching && response.version <= seen_version_) return handle_failure();
        return handle_head(response);
    case store_status::not_found:
        return handle_head(response);
    default:
        return handle_failure();
    }
}

// An unchanged key whose version differs from the one seen last: the store may have been restored to an older state.
void watcher::handle_unchanged(const store_response& response) {
    failures_ = 0;
    must_read_head_ = response.version != seen_version_;
    next_call_at_ = shared_.now() + min_call_interval;
}

void watcher::handle_head(const store_response& response) {
    auto stored = shared_.read_head(response);
    if (!stored) return handle_failure();
    failures_ = 0;
    seen_version_ = stored->version;
    if (stored->value.revision() < shared_.current_head->revision()) return handle_older_head(std::move(*stored));
    shared_.adopt_if_newer(stored->value);
    older_read_count_ = 0;
    must_read_head_ = false;
    next_call_at_ = shared_.now() + min_call_interval;
}

void watcher::handle_older_head(stored_head stored) {
    ++shared_.counters.heads_older;
    if (older_read_count_++ == 0) older_head_since_ = shared_.now();
    const bool is_persistent =
        older_read_count_ >= min_older_reads && shared_.now() - older_head_since_ >= older_head_grace;
    if (is_persistent) return write_back(std::move(stored));
    must_read_head_ = true;
    next_call_at_ = shared_.now() + older_read_interval + shared_.random_below(older_read_interval);
}

// Never overwrites a newer head: if the read was stale, the compare-and-swap fails.
void watcher::write_back(stored_head stored) {
    log_event(event::store_is_older,
              {{"revision", stored.value.revision()}, {"known", shared_.current_head->revision()}});
    // Without a common recent revision the new changes of the restored store can't be identified, so they are not
    // resubmitted. They stay in the audit archive.
    if (stored.value.revision() < first_recent_revision(shared_.current_head->revision()))
        log_event(event::store_too_old, {{"revision", stored.value.revision()}});
    replaced_head_ = std::move(stored);
    written_head_ = shared_.current_head;
    writer_.start(shared_, replaced_head_, *written_head_);
    step_ = step::writing;
    call_.start(shared_, requester::watcher, writer_.request());
}

void watcher::handle_write_result(const head_writer::write_result& result) {
    if (result.status == head_writer::write_status::conflict) return handle_head(result.last_response);
    if (result.status != head_writer::write_status::written) return handle_failure();
    ++shared_.counters.heads_written_back;
    shared_.queue_lost_changes(changes_missing_from(*written_head_, replaced_head_.value));
    seen_version_ = result.last_response.version;
    failures_ = 0;
    older_read_count_ = 0;
    must_read_head_ = false;
    next_call_at_ = shared_.now() + min_call_interval;
}

// After a failure, an elected watcher reads before it watches again: a read is answered at once, and detects a restored
// store.
void watcher::handle_failure() {
    must_read_head_ = shared_.is_elected_watcher || older_read_count_ > 0;
    next_call_at_ = shared_.now() + shared_.backoff(failures_++);
}

} // namespace tamarack::replica
