// Decides which reading call comes next, so that the replica stays current at few calls on the store.
//
// One call is under way at a time: a listing in pages first, then watches from the position of the listing. A watch
// that ends without an event is the proof that nothing newer exists; one without an answer ends by its timeout, since
// an open connection may have gone silent for good.
#pragma once

#include "entry/source_choice.h"

namespace tamarack::entry {

enum class read_kind : std::uint8_t {
    list,
    watch,  // from a position of the source
    resume, // on a feeder: what changed after a revision of the store, and a position for watches
};

struct read_call {
    read_kind     kind = read_kind::list;
    record_source source;
    std::string   after_key;          // list: of the page before; empty: the first page
    std::uint64_t after_position = 0; // watch; resume: the revision
    duration      wait{};             // watch: how long the source may wait for an event
    duration      timeout{};          // for the whole call
};

enum class read_error : std::uint8_t {
    unreachable, // no connection, or a broken one
    timed_out,
    refused,         // busy, over the rate, or not current
    full,            // a feeder with as many followers as it takes
    history_dropped, // a watch begins before the kept history
    unreadable,      // not an answer in the protocol
    unproved,        // not of the feeder that was asked
};

std::string_view to_string(read_error error);

// What a call returned.
struct record_page {
    std::vector<record> records;
    std::uint64_t       position = 0; // where a watch on the same source goes on
    std::uint64_t       revision = 0; // of the store, up to which the source knows everything
    duration            proof_age{};  // since the store proved that nothing newer exists; zero from the store itself
    bool                more = false; // list: further pages follow the last key
};

class store_sync {
public:
    store_sync(replica& known, const source_settings& settings, std::uint64_t random_seed);

    // The call to make now; nullopt: one is under way, or the wait after failures is not over.
    std::optional<read_call> next_call(steady_time now);
    void                     succeeded(const record_page& page, steady_time now);
    void                     failed(read_error error, steady_time now);

    // Some source has answered the last call.
    bool     reachable() const { return reachable_; }
    // The last answer came from the store itself, at most this long ago: others may rely on it.
    bool     is_direct(steady_time now) const;
    bool     reads_store() const { return call_.source.kind == source_kind::store; }
    void     set_feeding(bool feeding) { sources_.set_feeding(feeding); }
    unsigned open_slot() const { return sources_.open_slot(); }

private:
    void turn_to(const record_source& source);
    void take_listing(const record_page& page, steady_time now);

    replica&            known_;
    source_choice       sources_;
    read_call           call_; // the present or the last one
    bool                under_way_ = false;
    bool                reachable_ = false;
    bool                repeat_ = false; // the last call was cut: it is made again before another source is tried
    unsigned            failures_ = 0;   // in a row, of any source
    steady_time         not_before_{};
    steady_time         direct_success_{}; // last answer of the store itself
    steady_time         last_change_{};
    std::vector<record> listed_;     // of the pages so far
    record_page         first_page_; // position and revision of the first page
};

} // namespace tamarack::entry
