// Parts of the configuration replica: writing a head, committing changes, following the store, spreading to peers.
//
// Internal to configuration_replica. The parts share one context and never call each other.
#pragma once

#include "tamarack/configuration_head.h"
#include "tamarack/configuration_replica.h"

#include <deque>
#include <random>

namespace tamarack::replica {

// Which part a store request belongs to: the low bits of its id.
enum class owner : std::uint8_t { commit = 1, watch = 2 };

inline constexpr unsigned owner_bits = 2;

struct stored_head {
    head          value;
    std::uint64_t version = 0; // of the key; 0: the key does not exist
};

// What the parts share.
class context {
public:
    context(const replica_settings& wanted, const clock& source, std::uint64_t seed)
        : settings(wanted), time(source), random(seed) {}

    // Takes over a head of a later revision. A head of the same revision with another history is taken over too, when
    // it comes from the store, which is the commit point.
    bool                       adopt_if_newer(const head& next, bool from_store = true);
    // Changes that a restored store has lost: the node that finds them commits them again.
    void                       commit_again(const std::vector<change_record>& lost);
    std::uint64_t              call_store(owner part, store_request request); // gives the id
    std::optional<stored_head> read_head(const store_response& response);     // empty, and counted, if unreadable
    duration                   random_below(duration limit);
    duration                   backoff(unsigned failures); // full jitter; the limit rises from 100 ms to 10 s
    steady_time                now() const { return time.steady_now(); }

    const replica_settings      settings;
    const clock&                time;
    std::mt19937_64             random;
    std::shared_ptr<const head> known = std::make_shared<const head>(); // its revision never decreases
    revision_number             newest_heard = 0;                       // the highest one that a live peer holds
    bool                        elected = false;                        // as a watcher of the failure domain
    std::vector<change_record>  lost_changes;                           // at most max_recent; to be committed again
    replica_counters            counters;
    replica_actions             actions;

private:
    std::uint64_t calls_ = 0;
};

// One request to the store and its answer.
class pending_call {
public:
    void start(context& shared, owner part, store_request request);
    bool waiting() const { return id_ != 0; }
    bool take(const store_response& response); // true if it answers this call, which is then over
    // An answer with an unknown outcome when none came within the deadline and a margin.
    std::optional<store_response> overdue(context& shared) const;
    void                          forget() { id_ = 0; }

private:
    std::uint64_t id_ = 0; // 0: none
    steady_time   give_up_{};
};

// Replaces the stored head by compare-and-swap, after the changes that leave it are in the audit archive.
class head_writer {
public:
    enum class outcome : std::uint8_t { written, conflict, not_written, unknown };
    struct result {
        outcome        what = outcome::written;
        store_response last;    // conflict: with the present value; written: with the new version
        std::string    trouble; // not_written and unknown
    };

    void                  start(const context& shared, const stored_head& stored, const head& next);
    // Forget the write when the answers are no longer of interest.
    store_request         request() const; // the next call
    std::optional<result> answered(const store_response& response);
    std::uint64_t         version() const { return version_; } // that the stored head must have
    std::size_t           value_size() const { return value_.size(); }
    bool                  replaces_head() const { return blocks_.empty(); } // the next call is the one that counts

private:
    struct block {
        std::string                key;
        std::vector<change_record> records;
        std::uint64_t              version = 0;
    };
    std::optional<result> archived(const store_response& response);

    std::deque<block> blocks_; // still to be archived
    std::string       key_;
    std::string       value_;
    std::uint64_t     version_ = 0;
};

// Commits changes one after the other: read, validate, write.
class committer {
public:
    explicit committer(context& shared) : shared_(shared) {}
    void submit(const change_request& request);
    void submit_again(const change_record& lost);
    void answered(const store_response& response);
    void tick();

private:
    struct pending_change {
        change_request request;
        steady_time    deadline{};
        bool           again = false; // lost by a restored store; nobody waits for the result
        bool           open = false;  // a write of it had an unknown outcome
        std::string    trouble;       // of the last attempt
    };
    enum class step : std::uint8_t { idle, reading, writing };

    void handle(const store_response& response);
    void drop_expired();
    void read();
    void examine(const store_response& response);
    void decide();
    bool conflicts(const change_request& request) const;
    void write();
    void written(const head_writer::result& result);
    void retry(std::string trouble);
    void report(const pending_change& item, change_status status, findings problems = {},
                const change_record* record = nullptr);
    void report_found(const pending_change& item, const change_record& record);
    void finish(change_status status, findings problems = {}, const change_record* record = nullptr);
    void finish_found(const change_record& record);
    void finish_conflict();
    void next_item();

    context&                    shared_;
    std::deque<pending_change>  queue_; // the first one is in progress unless the step is idle
    step                        step_ = step::idle;
    pending_call                call_;
    head_writer                 writer_;
    stored_head                 stored_; // as read last
    std::shared_ptr<const head> base_;   // what the change is applied to
    head                        next_;   // that is being written
    steady_time                 retry_at_{};
    unsigned                    failures_ = 0;
};

// Follows the stored head: watch of the elected members, polls, repair of a store that was restored.
class watcher {
public:
    explicit watcher(context& shared);
    void set_domain_size(std::size_t members); // sets the rate of the polls
    void answered(const store_response& response);
    void tick();

private:
    enum class step : std::uint8_t { idle, reading, watching, writing };

    void handle(const store_response& response);
    void begin_call();
    void read();
    void watch();
    void see(const store_response& response);
    void see_older(stored_head stored);
    void see_unchanged(const store_response& response);
    void write_back(stored_head stored);
    void written(const head_writer::result& result);
    void failed();
    bool hungry() const;

    context&                    shared_;
    step                        step_ = step::idle;
    pending_call                call_;
    head_writer                 writer_;
    stored_head                 replaced_; // by the write in progress
    std::shared_ptr<const head> next_;     // that is being written
    bool                        must_read_ = false;
    std::uint64_t               version_ = 0; // of the stored head, as seen last
    steady_time                 next_call_{};
    steady_time                 next_poll_{};
    steady_time                 hungry_at_{}; // when to read the store if no peer has given a configuration
    duration                    hungry_wait_{};
    duration                    poll_interval_{};
    unsigned                    failures_ = 0;
    unsigned                    older_reads_ = 0; // in a row
    steady_time                 older_since_{};
};

// Spreads heads among the peers.
class spreader {
public:
    explicit spreader(context& shared);
    spreader(const spreader&) = delete;
    spreader& operator=(const spreader&) = delete;
    ~spreader();
    void set_peers(std::vector<member_id> peers); // live members without this one
    void heard(member_id from, revision_number revision);
    void receive(member_id from, byte_view payload);
    void announce(const head& before); // the known head has replaced this one
    void tick();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace tamarack::replica
