// Writing of heads, and the commit of changes one at a time.
//
//   read head -> committed already? -> validate -> archive the oldest changes -> compare-and-swap of the head
//       ^----------- retry with backoff: conflict, lost answer, stale read, outage ----------------'
#include "tamarack/configuration_parts.h"

#include <algorithm>

namespace tamarack::replica {

namespace {

constexpr std::size_t max_waiting_changes = 64;
constexpr std::size_t max_waiting_resubmissions = 2 * max_recent_changes;
// Long, because no operator waits for a resubmission and the change must not be lost.
constexpr duration    resubmission_deadline = std::chrono::minutes(10);

bool had_no_effect(store_status status) {
    return status == store_status::rate_limited || status == store_status::unavailable;
}

bool contains_all(std::span<const change_record> records, std::span<const change_record> subset) {
    return std::all_of(subset.begin(), subset.end(), [&](const change_record& record) {
        return std::any_of(records.begin(), records.end(), [&](const change_record& other) {
            return other.operation_id == record.operation_id && other.revision == record.revision;
        });
    });
}

std::string describe(store_status status) {
    return "the platform's store answered " + std::string(to_string(status));
}

} // namespace

//----------------------------------------------------------------------------------------------------------------------
// head_writer
//----------------------------------------------------------------------------------------------------------------------

void head_writer::start(const context& shared, const stored_head& stored, const head& next) {
    unarchived_blocks_.clear();
    for (auto& [first, records] : changes_to_archive(stored.value, next))
        unarchived_blocks_.push_back({audit_key(shared.settings.cluster, first), std::move(records), 0});
    head_key_ = head_key(shared.settings.cluster);
    head_bytes_ = encode(next);
    expected_version_ = stored.version;
}

store_request head_writer::request() const {
    store_request call;
    call.operation = store_operation::compare_and_swap;
    call.key = unarchived_blocks_.empty() ? head_key_ : unarchived_blocks_.front().key;
    call.value = unarchived_blocks_.empty() ? head_bytes_ : encode_audit(unarchived_blocks_.front().records);
    call.expected_version = unarchived_blocks_.empty() ? expected_version_ : unarchived_blocks_.front().version;
    return call;
}

std::optional<head_writer::write_result> head_writer::store_answered(const store_response& response) {
    if (!unarchived_blocks_.empty()) return archive_answered(response);
    if (response.status == store_status::ok) return write_result{write_status::written, response, {}};
    if (response.status == store_status::conflict) return write_result{write_status::conflict, response, {}};
    const bool no_effect = had_no_effect(response.status);
    return write_result{no_effect ? write_status::not_written : write_status::unknown, response,
                        describe(response.status)};
}

// The block may be archived already: by this write if its answer was lost, by another member that archives the same
// block, or by another history of a restored store. The archived changes are kept, and missing ones are added.
std::optional<head_writer::write_result> head_writer::archive_answered(const store_response& response) {
    block& block_to_write = unarchived_blocks_.front();
    if (response.status == store_status::ok) {
        unarchived_blocks_.pop_front();
        return std::nullopt;
    }
    if (response.status != store_status::conflict)
        return write_result{write_status::not_written, response, describe(response.status)};
    auto archived = decode_audit(response.value);
    if (!archived) return write_result{write_status::not_written, response, block_to_write.key + " can't be read"};
    if (contains_all(archived.value(), block_to_write.records)) {
        unarchived_blocks_.pop_front();
        return std::nullopt;
    }
    block_to_write.records = merge_records(archived.value(), block_to_write.records);
    block_to_write.version = response.version;
    return std::nullopt;
}

//----------------------------------------------------------------------------------------------------------------------
// committer
//----------------------------------------------------------------------------------------------------------------------

void committer::submit(const change_request& request) {
    pending_change item{request, shared_.now() + shared_.settings.change_deadline, false, false, {}};
    if (auto problems = validate(request); !problems.empty())
        return report(item, change_status::invalid, std::move(problems));
    const change_record* record = find_operation(*shared_.current_head, request.operation_id);
    if (record != nullptr && !request.dry_run) return report_committed(item, *record);
    if (!shared_.settings.use_store)
        return report(item, change_status::store_unavailable, {{"store", "no platform is configured", ""}});
    if (queue_.size() >= max_waiting_changes)
        return report(item, change_status::store_unavailable, {{"store", "too many changes are queued", ""}});
    // Requests of operators go before resubmitted changes, which no operator waits for.
    const auto first_resubmission =
        std::find_if(queue_.begin(), queue_.end(), [](const auto& other) { return other.is_resubmission; });
    const bool is_first_in_progress = first_resubmission == queue_.begin() && step_ != step::idle;
    queue_.insert(is_first_in_progress ? std::next(first_resubmission) : first_resubmission, std::move(item));
}

void committer::resubmit(const change_record& lost_change) {
    if (queue_.size() >= max_waiting_resubmissions) {
        ++shared_.counters.changes_lost;
        return;
    }
    pending_change item;
    item.request = {lost_change.operation_id, lost_change.operator_name, 0, false, lost_change.committed_change};
    item.deadline = shared_.now() + resubmission_deadline;
    item.is_resubmission = true;
    queue_.push_back(std::move(item));
}

void committer::store_answered(const store_response& response) {
    if (call_.complete(response)) handle_response(response);
}

void committer::tick() {
    if (const auto timed_out = call_.timeout_response(shared_)) store_answered(*timed_out);
    expire_changes();
    if (queue_.empty()) return;
    // The committed change may arrive from a peer or through the watch before the store's answer does.
    const change_record* record = find_operation(*shared_.current_head, queue_.front().request.operation_id);
    if (record != nullptr && !queue_.front().request.dry_run) return finish_committed(*record);
    if (step_ == step::idle && shared_.now() >= retry_at_) read_head();
}

void committer::expire_changes() {
    while (!queue_.empty() && shared_.now() >= queue_.front().deadline) {
        const bool was_write_sent = step_ == step::writing && writer_.is_writing_head();
        const bool is_outcome_unknown = was_write_sent || queue_.front().is_outcome_unknown;
        finish(is_outcome_unknown ? change_status::outcome_unknown : change_status::store_unavailable,
               {{"store", queue_.front().last_error.empty() ? "no answer in time" : queue_.front().last_error, ""}});
    }
    for (auto item = queue_.begin(); item != queue_.end();) {
        if (shared_.now() < item->deadline) {
            ++item;
            continue;
        }
        report(*item, change_status::store_unavailable, {{"store", "earlier changes took too long", ""}});
        item = queue_.erase(item);
    }
}

void committer::read_head() {
    step_ = step::reading;
    store_request call;
    call.operation = store_operation::get;
    call.key = head_key(shared_.settings.cluster);
    call_.start(shared_, requester::committer, std::move(call));
}

void committer::handle_response(const store_response& response) {
    if (step_ == step::writing) {
        if (const auto result = writer_.store_answered(response)) return handle_write_result(*result);
        return call_.start(shared_, requester::committer, writer_.request());
    }
    if (response.status != store_status::ok && response.status != store_status::not_found)
        return schedule_retry(describe(response.status));
    evaluate_head(response);
}

void committer::evaluate_head(const store_response& response) {
    auto stored = shared_.read_head(response);
    if (!stored) return schedule_retry("the stored head can't be read");
    shared_.adopt_if_newer(stored->value);
    // The current head is at least as new as the stored one. It is newer if the read was stale, or if the store was
    // restored to an older state. In the first case the write fails; in the second it repairs the store.
    stored_head_ = std::move(*stored);
    base_head_ = shared_.current_head;
    validate_and_write();
}

// An earlier attempt to write this change may have an unknown outcome. The base is never older than the base of that
// attempt. So if the base lacks the change and does not permit it, then the base contains a change that the earlier
// compare-and-swap did not expect, and that attempt had no effect: reporting the change as refused is safe.
void committer::validate_and_write() {
    const auto&          request = queue_.front().request;
    const change_record* record = find_operation(*base_head_, request.operation_id);
    if (record != nullptr && !request.dry_run) return finish_committed(*record);
    if (shared_.highest_peer_revision > base_head_->revision()) {
        return schedule_retry("a peer holds revision " + std::to_string(shared_.highest_peer_revision) +
                              ", the store an older one");
    }
    if (request.base_revision > base_head_->revision()) {
        return schedule_retry("the store does not have base revision " + std::to_string(request.base_revision) +
                              " yet");
    }
    if (has_conflict(request)) return finish_conflict();
    if (auto problems = validate(base_head_->config, request.requested_change); !problems.empty())
        return finish(change_status::invalid, std::move(problems));
    if (request.dry_run) return finish(change_status::valid);
    write_head();
}

bool committer::has_conflict(const change_request& request) const {
    if (request.base_revision == 0) return false;
    const std::string_view name = service_name_of(request.requested_change);
    const change_record*   record = last_change_of(*base_head_, name);
    if (record != nullptr && record->revision > request.base_revision) return true;
    const service* present = find_service(base_head_->config, name);
    return present != nullptr && present->changed_at > request.base_revision;
}

void committer::write_head() {
    auto next = append(*base_head_, queue_.front().request, shared_.time.wall_now());
    if (!next) return finish(change_status::invalid, next.error());
    next_head_ = std::move(next.value());
    writer_.start(shared_, stored_head_, next_head_);
    if (writer_.head_size() > max_value_size) {
        return finish(change_status::invalid, {{"configuration", "would be too large for the platform's store",
                                                "at most " + std::to_string(max_value_size) + " bytes"}});
    }
    step_ = step::writing;
    call_.start(shared_, requester::committer, writer_.request());
}

void committer::handle_write_result(const head_writer::write_result& result) {
    switch (result.status) {
    case head_writer::write_status::written: {
        ++shared_.counters.changes_committed;
        shared_.queue_lost_changes(changes_missing_from(next_head_, stored_head_.value));
        const change_record record = next_head_.recent_changes.back();
        shared_.adopt_if_newer(next_head_);
        return finish_committed(record);
    }
    case head_writer::write_status::conflict:
        ++shared_.counters.commit_conflicts;
        if (result.last_response.version == writer_.expected_version())
            return schedule_retry("the store reported a conflict with the expected version");
        return evaluate_head(result.last_response);
    case head_writer::write_status::not_written:
        return schedule_retry(result.error_message);
    case head_writer::write_status::unknown:
        queue_.front().is_outcome_unknown = true;
        return schedule_retry(result.error_message);
    }
}

void committer::schedule_retry(std::string error_message) {
    step_ = step::idle;
    retry_at_ = shared_.now() + shared_.backoff(failures_++);
    queue_.front().last_error = std::move(error_message);
    if (!queue_.front().is_resubmission) return;
    queue_.push_back(std::move(queue_.front())); // a failing resubmission does not delay other changes
    queue_.pop_front();
}

void committer::report(const pending_change& item, change_status status, findings problems,
                       const change_record* record) {
    if (item.is_resubmission) {
        if (status == change_status::accepted) ++shared_.counters.changes_submitted_again;
        if (status != change_status::accepted) ++shared_.counters.changes_lost;
        return;
    }
    change_result result;
    result.operation_id = item.request.operation_id;
    result.status = status;
    result.revision = shared_.current_head->revision();
    result.problems = std::move(problems);
    if (record != nullptr && status == change_status::accepted) result.revision = record->revision;
    if (record != nullptr && status == change_status::conflict) result.conflicting = *record;
    shared_.actions.changes.push_back(std::move(result));
}

void committer::report_committed(const pending_change& item, const change_record& record) {
    if (record.committed_change == item.request.requested_change)
        return report(item, change_status::accepted, {}, &record);
    report(
        item, change_status::invalid,
        {{"operation id", "was used for another change: " + to_string(record.committed_change), "a new operation id"}});
}

void committer::finish(change_status status, findings problems, const change_record* record) {
    report(queue_.front(), status, std::move(problems), record);
    remove_first();
}

void committer::finish_committed(const change_record& record) {
    report_committed(queue_.front(), record);
    remove_first();
}

void committer::finish_conflict() {
    const change_request& request = queue_.front().request;
    const std::string     place = "service " + std::string(service_name_of(request.requested_change));
    const change_record*  record = last_change_of(*base_head_, service_name_of(request.requested_change));
    std::string           message = "was changed after revision " + std::to_string(request.base_revision);
    if (record != nullptr) {
        message = "was changed by " + record->operator_name + " at revision " + std::to_string(record->revision) +
                  " (" + to_string(record->committed_change) + ")";
    }
    finish(change_status::conflict, {{place, message, "a command that is based on that change"}}, record);
}

void committer::remove_first() {
    queue_.pop_front();
    call_.cancel();
    step_ = step::idle;
    retry_at_ = shared_.now();
    failures_ = 0;
}

} // namespace tamarack::replica
