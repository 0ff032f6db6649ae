// Logs what has changed in the replica and in the way it is read. Each line comes once, when the change is seen.
#pragma once

#include "entry/event_log.h"
#include "entry/store_sync.h"

#include <set>

namespace tamarack::entry {

class replica_log {
public:
    replica_log(event_log& log, const replica& store_replica, const store_sync& sync, duration change_deadline);

    // An answer or a failure names an epoch of the store; 0: it names none. Before its records are applied.
    void note_epoch(std::uint64_t epoch, std::string_view call_result);
    // An answer has been applied.
    void note_answer();
    // Removals and registrations that were held may have taken effect.
    void note_changes();

private:
    void note_source();
    void note_ignored_records();
    void note_change_bound();
    void note_used_references();

    event_log&                   log_;
    const replica&               store_replica_;
    const store_sync&            sync_;
    duration                     change_deadline_;
    std::uint64_t                generation_;          // of the last change
    bool                         has_listing_ = false; // the first listing has been logged
    std::uint64_t                store_epoch_ = 0;
    std::uint64_t                ignored_count_ = 0;
    bool                         are_changes_late_ = false;
    std::optional<record_source> source_;            // that answered
    std::set<std::string>        without_reference_; // names of backend servers
};

} // namespace tamarack::entry
