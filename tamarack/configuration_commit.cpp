// Writing a head, and committing changes one after the other.
//
//   read head -> found under the operation id? -> validate -> archive what leaves the ring -> compare-and-swap
//       ^------------------ conflict, lost answer, stale read, outage (with backoff) -------------------'
#include "tamarack/configuration_parts.h"

#include <algorithm>

namespace tamarack::replica {

namespace {

constexpr std::size_t max_waiting_changes = 64;
constexpr std::size_t max_waiting_again = 2 * max_recent;
constexpr duration    again_deadline = std::chrono::minutes(10); // nobody waits, and the change must not be lost

bool took_no_effect(store_status status) {
    return status == store_status::rate_limited || status == store_status::unavailable;
}

bool contains_all(std::span<const change_record> all, std::span<const change_record> some) {
    return std::all_of(some.begin(), some.end(), [&](const change_record& record) {
        return std::any_of(all.begin(), all.end(), [&](const change_record& other) {
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
    blocks_.clear();
    for (auto& [first, records] : leaving_changes(stored.value, next))
        blocks_.push_back({audit_key(shared.settings.cluster, first), std::move(records), 0});
    key_ = head_key(shared.settings.cluster);
    value_ = encode(next);
    version_ = stored.version;
}

store_request head_writer::request() const {
    store_request call;
    call.operation = store_operation::compare_and_swap;
    call.key = blocks_.empty() ? key_ : blocks_.front().key;
    call.value = blocks_.empty() ? value_ : encode_audit(blocks_.front().records);
    call.expected_version = blocks_.empty() ? version_ : blocks_.front().version;
    return call;
}

std::optional<head_writer::result> head_writer::answered(const store_response& response) {
    if (!blocks_.empty()) return archived(response);
    if (response.status == store_status::ok) return result{outcome::written, response, {}};
    if (response.status == store_status::conflict) return result{outcome::conflict, response, {}};
    const bool no_effect = took_no_effect(response.status);
    return result{no_effect ? outcome::not_written : outcome::unknown, response, describe(response.status)};
}

// The key of a block may exist already: from this write with a lost answer, from another member that archives the same
// block, or from another history of a restored store. Its changes are kept.
std::optional<head_writer::result> head_writer::archived(const store_response& response) {
    block& present = blocks_.front();
    if (response.status == store_status::ok) {
        blocks_.pop_front();
        return std::nullopt;
    }
    if (response.status != store_status::conflict)
        return result{outcome::not_written, response, describe(response.status)};
    auto existing = decode_audit(response.value);
    if (!existing) return result{outcome::not_written, response, present.key + " can't be read"};
    if (contains_all(existing.value(), present.records)) {
        blocks_.pop_front();
        return std::nullopt;
    }
    present.records = merge_records(existing.value(), present.records);
    present.version = response.version;
    return std::nullopt;
}

//----------------------------------------------------------------------------------------------------------------------
// committer
//----------------------------------------------------------------------------------------------------------------------

void committer::submit(const change_request& request) {
    pending_change item{request, shared_.now() + shared_.settings.change_deadline, false, false, {}};
    if (auto problems = validate(request); !problems.empty())
        return report(item, change_status::invalid, std::move(problems));
    const change_record* record = find_operation(*shared_.known, request.operation_id);
    if (record != nullptr && !request.dry_run) return report_found(item, *record);
    if (!shared_.settings.use_store)
        return report(item, change_status::store_unavailable, {{"store", "no platform is configured", ""}});
    if (queue_.size() >= max_waiting_changes)
        return report(item, change_status::store_unavailable, {{"store", "too many changes are waiting", ""}});
    // Operators wait for their changes; nobody waits for those that are committed again.
    const auto place = std::find_if(queue_.begin(), queue_.end(), [](const auto& other) { return other.again; });
    const bool in_progress = place == queue_.begin() && step_ != step::idle;
    queue_.insert(in_progress ? std::next(place) : place, std::move(item));
}

void committer::submit_again(const change_record& lost) {
    if (queue_.size() >= max_waiting_again) {
        ++shared_.counters.changes_lost;
        return;
    }
    pending_change item;
    item.request = {lost.operation_id, lost.operator_name, 0, false, lost.committed_change};
    item.deadline = shared_.now() + again_deadline;
    item.again = true;
    queue_.push_back(std::move(item));
}

void committer::answered(const store_response& response) {
    if (call_.take(response)) handle(response);
}

void committer::tick() {
    if (const auto missing = call_.overdue(shared_)) answered(*missing);
    drop_expired();
    if (queue_.empty()) return;
    // A peer or the watch may bring the change before the store's answer arrives.
    const change_record* record = find_operation(*shared_.known, queue_.front().request.operation_id);
    if (record != nullptr && !queue_.front().request.dry_run) return finish_found(*record);
    if (step_ == step::idle && shared_.now() >= retry_at_) read();
}

void committer::drop_expired() {
    while (!queue_.empty() && shared_.now() >= queue_.front().deadline) {
        const bool sent = step_ == step::writing && writer_.replaces_head();
        const bool unknown = sent || queue_.front().open;
        finish(unknown ? change_status::outcome_unknown : change_status::store_unavailable,
               {{"store", queue_.front().trouble.empty() ? "no answer in time" : queue_.front().trouble, ""}});
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

void committer::read() {
    step_ = step::reading;
    store_request call;
    call.operation = store_operation::get;
    call.key = head_key(shared_.settings.cluster);
    call_.start(shared_, owner::commit, std::move(call));
}

void committer::handle(const store_response& response) {
    if (step_ == step::writing) {
        if (const auto result = writer_.answered(response)) return written(*result);
        return call_.start(shared_, owner::commit, writer_.request());
    }
    if (response.status != store_status::ok && response.status != store_status::not_found)
        return retry(describe(response.status));
    examine(response);
}

void committer::examine(const store_response& response) {
    auto stored = shared_.read_head(response);
    if (!stored) return retry("the stored head can't be read");
    shared_.adopt_if_newer(stored->value);
    // The known head is at least as new as the stored one. It is newer when the read is stale, or when the store was
    // restored to an older state: then the write fails, or repairs the store.
    stored_ = std::move(*stored);
    base_ = shared_.known;
    decide();
}

// The base is never older than what an earlier write of this change was based on. So when the change is not in it, but
// refused by it, then the base has a later change than that write expected, and the write had no effect.
void committer::decide() {
    const auto&          request = queue_.front().request;
    const change_record* record = find_operation(*base_, request.operation_id);
    if (record != nullptr && !request.dry_run) return finish_found(*record);
    if (shared_.newest_heard > base_->revision())
        return retry("a peer holds revision " + std::to_string(shared_.newest_heard) + ", the store an older one");
    if (request.base_revision > base_->revision())
        return retry("the store does not have base revision " + std::to_string(request.base_revision) + " yet");
    if (conflicts(request)) return finish_conflict();
    if (auto problems = validate(base_->now, request.what); !problems.empty())
        return finish(change_status::invalid, std::move(problems));
    if (request.dry_run) return finish(change_status::valid);
    write();
}

bool committer::conflicts(const change_request& request) const {
    if (request.base_revision == 0) return false;
    const std::string_view name = service_of(request.what);
    const change_record*   record = last_change_of(*base_, name);
    if (record != nullptr && record->revision > request.base_revision) return true;
    const service* present = find_service(base_->now, name);
    return present != nullptr && present->changed_at > request.base_revision;
}

void committer::write() {
    auto next = append(*base_, queue_.front().request, shared_.time.wall_now());
    if (!next) return finish(change_status::invalid, next.error());
    next_ = std::move(next.value());
    writer_.start(shared_, stored_, next_);
    if (writer_.value_size() > max_value_size) {
        return finish(change_status::invalid, {{"configuration", "would be too large for the platform's store",
                                                "at most " + std::to_string(max_value_size) + " bytes"}});
    }
    step_ = step::writing;
    call_.start(shared_, owner::commit, writer_.request());
}

void committer::written(const head_writer::result& result) {
    switch (result.what) {
    case head_writer::outcome::written: {
        ++shared_.counters.changes_committed;
        shared_.commit_again(changes_missing_from(next_, stored_.value));
        const change_record record = next_.recent.back();
        shared_.adopt_if_newer(next_);
        return finish_found(record);
    }
    case head_writer::outcome::conflict:
        ++shared_.counters.commit_conflicts;
        if (result.last.version == writer_.version()) return retry("the store contradicts itself");
        return examine(result.last);
    case head_writer::outcome::not_written:
        return retry(result.trouble);
    case head_writer::outcome::unknown:
        queue_.front().open = true;
        return retry(result.trouble);
    }
}

void committer::retry(std::string trouble) {
    step_ = step::idle;
    retry_at_ = shared_.now() + shared_.backoff(failures_++);
    queue_.front().trouble = std::move(trouble);
    if (!queue_.front().again) return;
    queue_.push_back(std::move(queue_.front())); // others need not wait for it
    queue_.pop_front();
}

void committer::report(const pending_change& item, change_status status, findings problems,
                       const change_record* record) {
    if (item.again) {
        if (status == change_status::accepted) ++shared_.counters.changes_submitted_again;
        if (status != change_status::accepted) ++shared_.counters.changes_lost;
        return;
    }
    change_result result;
    result.operation_id = item.request.operation_id;
    result.status = status;
    result.revision = shared_.known->revision();
    result.problems = std::move(problems);
    if (record != nullptr && status == change_status::accepted) result.revision = record->revision;
    if (record != nullptr && status == change_status::conflict) result.conflicting = *record;
    shared_.actions.changes.push_back(std::move(result));
}

void committer::report_found(const pending_change& item, const change_record& record) {
    if (record.committed_change == item.request.what) return report(item, change_status::accepted, {}, &record);
    report(
        item, change_status::invalid,
        {{"operation id", "was used for another change: " + to_string(record.committed_change), "a new operation id"}});
}

void committer::finish(change_status status, findings problems, const change_record* record) {
    report(queue_.front(), status, std::move(problems), record);
    next_item();
}

void committer::finish_found(const change_record& record) {
    report_found(queue_.front(), record);
    next_item();
}

void committer::finish_conflict() {
    const change_request& request = queue_.front().request;
    const std::string     place = "service " + std::string(service_of(request.what));
    const change_record*  record = last_change_of(*base_, service_of(request.what));
    std::string           message = "was changed after revision " + std::to_string(request.base_revision);
    if (record != nullptr) {
        message = "was changed by " + record->operator_name + " at revision " + std::to_string(record->revision) +
                  " (" + to_string(record->committed_change) + ")";
    }
    finish(change_status::conflict, {{place, message, "a command that is based on that change"}}, record);
}

void committer::next_item() {
    queue_.pop_front();
    call_.forget();
    step_ = step::idle;
    retry_at_ = shared_.now();
    failures_ = 0;
}

} // namespace tamarack::replica
