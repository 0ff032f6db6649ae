// Parts of the configuration replica: writing of heads, commit of changes, following the store, dissemination to peers.
//
// Internal to configuration_replica. The parts share one context and never call each other.
#pragma once

#include "tamarack/configuration_head.h"
#include "tamarack/configuration_replica.h"

#include <deque>
#include <random>

namespace tamarack::replica {

// The part that sent a store request. Encoded in the low bits of the request's id.
enum class requester : std::uint8_t { committer = 1, watcher = 2 };

inline constexpr unsigned requester_bits = 2;

struct stored_head {
    head          value;
    std::uint64_t version = 0; // of the key; 0: the key does not exist
};

// State shared by the parts.
class context {
public:
    context(const replica_settings& initial_settings, const clock& time_source, std::uint64_t seed)
        : settings(initial_settings), time(time_source), random(seed) {}

    // Adopts a head of a later revision; returns true if it did. A head of the same revision with another history is
    // adopted only if it comes from the store, which decides what is committed.
    bool                       adopt_if_newer(const head& next, bool from_store = true);
    // Queues changes that a restored store has lost, to be submitted again by this member.
    void                       queue_lost_changes(const std::vector<change_record>& records);
    std::uint64_t              call_store(requester origin, store_request request); // returns the id of the request
    std::optional<stored_head> read_head(const store_response& response);           // empty, and counted, if unreadable
    duration                   random_below(duration limit);
    duration                   backoff(unsigned failures); // full jitter; the limit rises from 100 ms to 10 s
    steady_time                now() const { return time.steady_now(); }

    const replica_settings      settings;
    const clock&                time;
    std::mt19937_64             random;
    std::shared_ptr<const head> current_head = std::make_shared<const head>(); // its revision never decreases
    revision_number             highest_peer_revision = 0;                     // held by any live peer
    bool                        is_elected_watcher = false;                    // of the failure domain
    std::vector<change_record>  lost_changes; // to be submitted again; at most max_recent_changes
    replica_counters            counters;
    replica_actions             actions;

private:
    std::uint64_t call_count_ = 0;
};

// A request to the store whose answer is awaited.
class pending_call {
public:
    void                          start(context& shared, requester origin, store_request request);
    bool                          is_pending() const { return id_ != 0; }
    // Completes the call if the response belongs to it; returns false otherwise.
    bool                          complete(const store_response& response);
    // A response with an unknown outcome if none arrived within the deadline and a margin.
    std::optional<store_response> timeout_response(context& shared) const;
    void                          cancel() { id_ = 0; } // a later response is ignored

private:
    std::uint64_t id_ = 0; // 0: no call
    steady_time   times_out_at_{};
};

// Replaces the stored head by compare-and-swap. First archives the changes that the new head no longer contains.
class head_writer {
public:
    enum class write_status : std::uint8_t { written, conflict, not_written, unknown };
    struct write_result {
        write_status   status = write_status::written;
        store_response last_response; // conflict: with the stored value; written: with the new version
        std::string    error_message; // not_written and unknown
    };

    void                        start(const context& shared, const stored_head& stored, const head& next);
    store_request               request() const; // the next request to send; start() must have been called
    // Result of the whole write; empty if request() must be sent next. A write may be abandoned at any time.
    std::optional<write_result> store_answered(const store_response& response);
    std::uint64_t               expected_version() const { return expected_version_; } // of the stored head
    std::size_t                 head_size() const { return head_bytes_.size(); }
    bool is_writing_head() const { return unarchived_blocks_.empty(); } // all changes are archived

private:
    struct block {
        std::string                key;
        std::vector<change_record> records;
        std::uint64_t              version = 0;
    };
    std::optional<write_result> archive_answered(const store_response& response);

    std::deque<block> unarchived_blocks_;
    std::string       head_key_;
    std::string       head_bytes_;
    std::uint64_t     expected_version_ = 0;
};

// Commits changes one at a time: read the head, validate the change, write the new head.
class committer {
public:
    explicit committer(context& shared) : shared_(shared) {}
    void submit(const change_request& request);
    void resubmit(const change_record& lost_change);
    void store_answered(const store_response& response);
    void tick();

private:
    struct pending_change {
        change_request request;
        steady_time    deadline{};
        bool           is_resubmission = false;    // lost by a restored store; the result is not reported
        bool           is_outcome_unknown = false; // an earlier write of this change had an unknown outcome
        std::string    last_error;                 // of the last attempt
    };
    enum class step : std::uint8_t { idle, reading, writing };

    void handle_response(const store_response& response);
    void expire_changes();
    void read_head();
    void evaluate_head(const store_response& response);
    void validate_and_write();
    bool has_conflict(const change_request& request) const;
    void write_head();
    void handle_write_result(const head_writer::write_result& result);
    void schedule_retry(std::string error_message);
    void report(const pending_change& item, change_status status, findings problems = {},
                const change_record* record = nullptr);
    void report_committed(const pending_change& item, const change_record& record);
    // These report the result of the first change of the queue, and remove it.
    void finish(change_status status, findings problems = {}, const change_record* record = nullptr);
    void finish_committed(const change_record& record);
    void finish_conflict();
    void remove_first();

    context&                    shared_;
    std::deque<pending_change>  queue_; // the first one is in progress unless the step is idle
    step                        step_ = step::idle;
    pending_call                call_;
    head_writer                 writer_;
    stored_head                 stored_head_; // as last read
    std::shared_ptr<const head> base_head_;   // that the change is applied to
    head                        next_head_;   // that is being written
    steady_time                 retry_at_{};
    unsigned                    failures_ = 0; // in a row
};

// Follows the stored head: watches it if elected, polls it otherwise, and repairs a store that was restored.
class watcher {
public:
    explicit watcher(context& shared);
    void set_domain_size(std::size_t member_count); // determines the polling rate
    void store_answered(const store_response& response);
    void tick();

private:
    enum class step : std::uint8_t { idle, reading, watching, writing };

    void handle_response(const store_response& response);
    void start_next_call();
    void read_head();
    void watch_head();
    void handle_head(const store_response& response);
    void handle_older_head(stored_head stored);
    void handle_unchanged(const store_response& response);
    void write_back(stored_head stored);
    void handle_write_result(const head_writer::write_result& result);
    void handle_failure();
    bool needs_first_read() const; // no peer has sent a configuration in time

    context&                    shared_;
    step                        step_ = step::idle;
    pending_call                call_;
    head_writer                 writer_;
    stored_head                 replaced_head_; // by the write in progress
    std::shared_ptr<const head> written_head_;  // by the write in progress
    bool                        must_read_head_ = false;
    std::uint64_t               seen_version_ = 0; // of the stored head, in the last response
    steady_time                 next_call_at_{};
    steady_time                 next_poll_at_{};
    steady_time                 first_read_at_{};       // if no peer has sent a configuration by then
    duration                    first_read_interval_{}; // doubles with each attempt, up to poll_interval_
    duration                    poll_interval_{};
    unsigned                    failures_ = 0;         // in a row
    unsigned                    older_read_count_ = 0; // in a row
    steady_time                 older_head_since_{};
};

// Disseminates heads among the peers.
class disseminator {
public:
    explicit disseminator(context& shared);
    disseminator(const disseminator&) = delete;
    disseminator& operator=(const disseminator&) = delete;
    ~disseminator();
    void set_peers(std::vector<member_id> peers); // members that are not dead, without this one
    void receive_digest(member_id sender, revision_number revision);
    void receive(member_id sender, byte_view payload);
    void push_changes_since(const head& previous_head); // called after the current head has replaced this one
    void tick();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace tamarack::replica
