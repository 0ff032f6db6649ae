// Decides which read call to make next, so that the replica stays current with few calls to the store.
//
// One call is pending at a time: first the feeders that the store knows, then a paged listing, then watches from the
// position of the listing. A watch that ends without an event confirms that nothing newer exists; one that ends early
// because of an event only shows what the store had when it was called. A watch without an answer ends by its timeout,
// since an open connection may have stopped delivering data without being closed.
#pragma once

#include "entry/source_choice.h"
#include "entry/transfer_limit.h"

namespace tamarack::entry {

enum class read_kind : std::uint8_t {
    find_feeders, // store only: the registered feeders. The answer may be out of date and proves nothing
    list,
    watch,  // from a position of the source
    resume, // feeders only: changes after a revision of the store, and a position for the following watches
};

std::string_view to_string(read_kind kind);

struct read_call {
    read_kind      kind = read_kind::list;
    record_source  source;
    std::string    after_key;           // list: last key of the previous page; empty: the first page
    std::uint64_t  after_position = 0;  // watch: position of the source
    store_revision after_revision{};    // resume: of the store
    duration       max_wait{};          // watch: how long the source may wait for an event
    duration       connect_timeout{};   // part of the timeout
    duration       timeout{};           // from the call to the end of a short answer
    transfer_limit transfer{};          // how much longer a long answer may take
    std::size_t    max_answer_size = 0; // bytes; 0: only limited by the client
};

enum class read_error : std::uint8_t {
    unreachable,     // the connection failed or broke
    timed_out,       // no answer within the call's timeout, or one that was read later than its time limit
    too_slow,        // the answer began to arrive, and then came too slowly
    refused,         // overloaded, rate-limited or not current
    full,            // the balancer has its maximum number of followers
    history_dropped, // the watch starts before the history that the source has kept
    too_long,        // the changes are longer than the call allows
    unreadable,      // the answer does not follow the protocol
    unproved,        // the answer is not authenticated with the key of the feeder that was asked
};

std::string_view to_string(read_error error);

struct read_failure {
    read_error            error = read_error::unreachable;
    std::vector<endpoint> followers;       // full: of the balancer that was asked
    std::uint64_t         store_epoch = 0; // of the store that answered; 0: unknown
};

// Answer to a read call.
struct record_page {
    std::vector<record> records;
    std::uint64_t       position = 0;       // where the next watch on the same source starts
    store_revision      revision{};         // of the store; the source contains every change up to it
    store_revision      listed_revision{};  // list: keys that the source lacks had been removed at this revision
    duration            confirmation_age{}; // since the store confirmed that nothing newer exists; zero from the store
    unsigned            distance = 0;       // balancers between the store and the reader; 0: read from the store
    duration            held{};             // from the arrival of the call at a balancer to its answer
    bool                has_more = false;   // list: further pages follow the last key
    std::size_t         size = 0;           // of the answer as received, in bytes
};

class store_sync {
public:
    store_sync(replica& store_replica, const source_settings& settings, std::uint64_t random_seed);

    // The call to make now. Nullopt: a call is pending, or the wait after a failure or a change is not over.
    std::optional<read_call>   next_call(steady_time now);
    // When the next call before the first complete listing is due. Nullopt: a call is pending, or the listing is read.
    std::optional<steady_time> first_listing_due() const;
    void                       succeeded(const record_page& page, steady_time now);
    void                       failed(const read_failure& failure, steady_time now);

    // True after an answer of the store itself, or of a feeder with a recent confirmation by the store. False at the
    // start, and after two failures of any sources without such an answer in between (history_dropped and too_long are
    // no failures).
    // A contact's answer changes nothing.
    bool                 is_store_available() const { return is_store_available_; }
    // How often the store was read in place of other balancers, since the last confirmation was too old.
    std::uint64_t        fallbacks() const { return fallbacks_; }
    // Longest time from a change to its use while a source is lost and the store is available. Above the deadline if
    // the records are too long for the link of the host.
    duration             change_bound() const { return sources_.change_bound(); }
    const record_source& source() const { return latest_call_.source; } // of the pending call, or the last one
    const read_call&     latest_call() const { return latest_call_; }   // the pending call, or the last one
    // The feeder of the failure domain has lost the store, which serves this balancer.
    bool                 may_replace_feeder() const { return sources_.may_replace_feeder(); }
    void                 set_holds_slot(bool holds_slot) { sources_.set_holds_slot(holds_slot); }
    void set_own_followers(std::vector<endpoint> followers) { sources_.set_own_followers(std::move(followers)); }

private:
    bool                      reads_store() const { return latest_call_.source.kind == source_kind::store; }
    void                      switch_to(const record_source& source);
    void                      choose_call(steady_time now);
    void                      set_timeouts(steady_time now);
    void                      set_usual_timeouts(steady_time now);
    void                      set_transfer_limits();
    duration                  store_watch_wait_at(steady_time now) const;
    bool                      answers_call(const record_page& page) const;
    std::optional<read_error> check_epoch(const record_page& page) const;
    duration                  age_of(const record_page& page, steady_time now) const;
    bool                      is_followed_by_page(const record_page& page) const;
    void                      note_confirmation(const record_page& page, steady_time now);
    void                      apply_listing_page(const record_page& page, steady_time now);
    void                      apply_changes(const record_page& page, steady_time now);
    duration                  pause_after(bool has_changes, steady_time now);
    steady_time               next_call_after(duration pause, steady_time now) const;

    replica&            store_replica_;
    source_choice       sources_;
    random_source       random_;
    read_call           latest_call_; // the pending call, or the last one
    bool                is_call_pending_ = false;
    bool                is_store_available_ = false;
    bool                has_looked_up_feeders_ = false;
    bool                probes_source_ = false;    // the next watch does not wait: the store may not answer
    bool                repeats_call_ = false;     // the last call is made again before another source is tried
    bool                resumes_listing_ = false;  // the next resume follows a listing of the same source
    unsigned            consecutive_failures_ = 0; // of any source, since an answer showed that the store is available
    unsigned            consecutive_timeouts_ = 0; // of calls that do not wait for a change
    unsigned            consecutive_slow_answers_ = 0;
    std::uint64_t       fallbacks_ = 0;
    steady_time         next_call_due_{};
    steady_time         latest_call_time_{};
    steady_time         listing_called_at_{}; // the first page
    steady_time         last_change_{};
    std::vector<record> listed_records_; // of the pages read so far
    record_page         first_page_;     // position and revision of the first page
};

} // namespace tamarack::entry
