// Following the stored head, and repairing a store that was restored to an older state.
//
//   elected        -> watch (long poll) -> newer head -> watch ...
//   after failures -> backoff -> read -> watch
//   older head     -> read again; still older after 2 s -> write the known head back by compare-and-swap
//   not elected    -> a poll now and then
#include "tamarack/configuration_parts.h"
#include "tamarack/events.h"

#include <algorithm>

namespace tamarack::replica {

namespace {

// One poll a minute and failure domain, whatever its size: it serves a domain whose watchers can't reach the store.
constexpr duration domain_poll_interval = std::chrono::seconds(60);
// A new host has its configuration from peers within about 2 s. The first read is spread over some seconds because all
// hosts may start at once.
constexpr duration peer_patience = std::chrono::seconds(5);
constexpr duration hungry_spread = std::chrono::seconds(5);
// Between two calls that succeed: bounds the calls during a run of changes.
constexpr duration call_spacing = std::chrono::milliseconds(20);
// A lagging copy of the store catches up within this time; a restored store does not.
constexpr duration older_patience = std::chrono::seconds(2);
constexpr unsigned older_reads_needed = 3;
constexpr duration older_read_interval = std::chrono::milliseconds(500); // plus up to as much again

} // namespace

watcher::watcher(context& shared) : shared_(shared) {
    hungry_wait_ = 2 * peer_patience;
    hungry_at_ = shared_.now() + peer_patience + shared_.random_below(hungry_spread);
    set_domain_size(1);
}

// Keeps the part of the interval that has passed, since members come and go more often than a large domain polls.
void watcher::set_domain_size(std::size_t members) {
    const duration interval = domain_poll_interval * static_cast<duration::rep>(std::max<std::size_t>(members, 1));
    if (interval == poll_interval_) return;
    if (poll_interval_ == duration{}) {
        next_poll_ = shared_.now() + shared_.random_below(interval); // at the same rate also after a common start
    } else {
        const double remaining = std::chrono::duration<double>(next_poll_ - shared_.now()) / poll_interval_;
        next_poll_ = shared_.now() + std::chrono::duration_cast<duration>(std::max(remaining, 0.0) * interval);
    }
    poll_interval_ = interval;
}

void watcher::answered(const store_response& response) {
    if (call_.take(response)) handle(response);
}

void watcher::tick() {
    if (!shared_.settings.use_store) return;
    if (const auto missing = call_.overdue(shared_)) answered(*missing);
    if (!call_.waiting() && shared_.now() >= next_call_) begin_call();
}

bool watcher::hungry() const {
    return shared_.known->revision() == 0 && shared_.now() >= hungry_at_;
}

void watcher::begin_call() {
    if (must_read_) return read();
    if (shared_.elected) return watch();
    if (hungry()) {
        hungry_at_ = shared_.now() + hungry_wait_ / 2 + shared_.random_below(hungry_wait_);
        hungry_wait_ = std::min(2 * hungry_wait_, poll_interval_);
        return read();
    }
    if (shared_.now() < next_poll_) return;
    next_poll_ = shared_.now() + poll_interval_ / 2 + shared_.random_below(poll_interval_);
    read();
}

void watcher::read() {
    step_ = step::reading;
    store_request call;
    call.operation = store_operation::get;
    call.key = head_key(shared_.settings.cluster);
    call_.start(shared_, owner::watch, std::move(call));
}

void watcher::watch() {
    step_ = step::watching;
    store_request call;
    call.operation = store_operation::watch;
    call.key = head_key(shared_.settings.cluster);
    call.expected_version = version_;
    call.deadline = shared_.settings.watch_deadline;
    call_.start(shared_, owner::watch, std::move(call));
}

void watcher::handle(const store_response& response) {
    if (step_ == step::writing) {
        if (const auto result = writer_.answered(response)) return written(*result);
        return call_.start(shared_, owner::watch, writer_.request());
    }
    switch (response.status) {
    case store_status::unchanged:
        return see_unchanged(response);
    case store_status::ok:
        // A watch that answers without a later version would be repeated at once, without end.
        if (step_ == step::watching && response.version <= version_) return failed();
        return see(response);
    case store_status::not_found:
        return see(response);
    default:
        return failed();
    }
}

// Another version than the one seen last, and yet no change: the store may have been restored to an older state.
void watcher::see_unchanged(const store_response& response) {
    failures_ = 0;
    must_read_ = response.version != version_;
    next_call_ = shared_.now() + call_spacing;
}

void watcher::see(const store_response& response) {
    auto stored = shared_.read_head(response);
    if (!stored) return failed();
    failures_ = 0;
    version_ = stored->version;
    if (stored->value.revision() < shared_.known->revision()) return see_older(std::move(*stored));
    shared_.adopt_if_newer(stored->value);
    older_reads_ = 0;
    must_read_ = false;
    next_call_ = shared_.now() + call_spacing;
}

void watcher::see_older(stored_head stored) {
    ++shared_.counters.heads_older;
    if (older_reads_++ == 0) older_since_ = shared_.now();
    const bool persists = older_reads_ >= older_reads_needed && shared_.now() - older_since_ >= older_patience;
    if (persists) return write_back(std::move(stored));
    must_read_ = true;
    next_call_ = shared_.now() + older_read_interval + shared_.random_below(older_read_interval);
}

// Can't replace a newer head: the compare-and-swap fails when the read was a stale one.
void watcher::write_back(stored_head stored) {
    log_event(event::store_is_older, {{"revision", stored.value.revision()}, {"known", shared_.known->revision()}});
    // Without a common revision nobody can tell which of the stored changes are new. They stay in the audit archive.
    if (stored.value.revision() < first_recent(shared_.known->revision()))
        log_event(event::store_too_old, {{"revision", stored.value.revision()}});
    replaced_ = std::move(stored);
    next_ = shared_.known;
    writer_.start(shared_, replaced_, *next_);
    step_ = step::writing;
    call_.start(shared_, owner::watch, writer_.request());
}

void watcher::written(const head_writer::result& result) {
    if (result.what == head_writer::outcome::conflict) return see(result.last);
    if (result.what != head_writer::outcome::written) return failed();
    ++shared_.counters.heads_written_back;
    shared_.commit_again(changes_missing_from(*next_, replaced_.value));
    version_ = result.last.version;
    failures_ = 0;
    older_reads_ = 0;
    must_read_ = false;
    next_call_ = shared_.now() + call_spacing;
}

// The next call of a watcher is a read: unlike a watch it answers at once, and shows a restored store.
void watcher::failed() {
    must_read_ = shared_.elected || older_reads_ > 0;
    next_call_ = shared_.now() + shared_.backoff(failures_++);
}

} // namespace tamarack::replica
