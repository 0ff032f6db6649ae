// Compares the replica with what was logged last.
#include "daemons/entry/replica_log.h"

#include "entry/change_deadline.h"

#include <algorithm>
#include <utility>

namespace tamarack::entry {

replica_log::replica_log(event_log& log, const replica& store_replica, const store_sync& sync, duration change_deadline)
    : log_(log), store_replica_(store_replica), sync_(sync),
      change_deadline_(std::max(change_deadline, least_change_deadline)), generation_(store_replica.generation()) {}

void replica_log::note_epoch(std::uint64_t epoch, std::string_view call_result) {
    if (epoch == 0 || epoch == store_epoch_) return;
    if (store_epoch_ != 0) log_.note_store_epoch(epoch, store_epoch_, sync_.latest_call(), call_result);
    store_epoch_ = epoch;
}

void replica_log::note_answer() {
    note_source();
    note_changes();
    note_ignored_records();
    note_change_bound();
}

void replica_log::note_changes() {
    if (store_replica_.generation() == generation_) return;
    if (const auto changes = store_replica_.changes_after(generation_)) {
        if (has_listing_) {
            log_.note_changes(*changes);
        } else {
            log_.note_first_listing(*changes);
        }
    }
    note_used_references();
    has_listing_ = store_replica_.is_complete();
    generation_ = store_replica_.generation();
}

void replica_log::note_source() {
    if (!store_replica_.is_complete() || source_ == sync_.source()) return;
    source_ = sync_.source();
    log_.note_source(*source_, store_replica_.store_distance());
}

void replica_log::note_ignored_records() {
    if (store_replica_.ignored_count() == ignored_count_) return;
    ignored_count_ = store_replica_.ignored_count();
    log_.note_ignored(store_replica_);
}

// Again only after the records have fitted the link.
void replica_log::note_change_bound() {
    const bool are_late = sync_.change_bound() > change_deadline_;
    const bool were_late = std::exchange(are_changes_late_, are_late);
    if (are_late && !were_late) log_.note_late_changes(sync_.change_bound(), store_replica_.listing_size());
}

void replica_log::note_used_references() {
    std::set<std::string> names;
    for (const known_backend* backend : store_replica_.backends_without_reference()) {
        if (backend->removed_at) continue;
        const std::string& name = backend->registration.name;
        if (!without_reference_.contains(name))
            log_.note_used_reference(*backend, *store_replica_.find_backend(backend->reference));
        names.insert(name);
    }
    without_reference_ = std::move(names);
}

} // namespace tamarack::entry
