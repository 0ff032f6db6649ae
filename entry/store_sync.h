// Decides which call on the store comes next, so that the replica stays current at few calls.
//
// One call is under way at a time: a listing in pages first, then watches from the revision of the listing. A watch
// that ends without an event is the proof that nothing newer exists; one without an answer ends by its timeout, since
// an open connection may have gone silent for good.
#pragma once

#include "entry/replica.h"
#include "tamarack/resilience.h"

namespace tamarack::entry {

enum class store_call_kind : std::uint8_t { list, watch };

struct store_call {
    store_call_kind kind = store_call_kind::list;
    std::string     after_key;          // list: of the page before; empty: the first page
    std::uint64_t   after_revision = 0; // watch
    duration        wait{};             // watch: how long the store may wait for an event
    duration        timeout{};          // for the whole call
};

enum class store_error : std::uint8_t {
    unreachable, // no connection, or a broken one
    timed_out,
    refused,         // busy, or over the rate
    history_dropped, // a watch begins before the kept history
    unreadable,      // not an answer in the protocol
};

std::string_view to_string(store_error error);

// What a call returned.
struct store_page {
    std::vector<record> records;
    std::uint64_t       revision = 0; // of the store, at the time of the answer
    bool                more = false; // list: further pages follow the last key
};

class store_sync {
public:
    store_sync(replica& known, std::uint64_t random_seed);

    // The call to make now; nullopt: one is under way, or the wait after a failure is not over.
    std::optional<store_call>   next_call(steady_time now);
    std::vector<replica_change> succeeded(const store_page& page, steady_time now);
    void                        failed(store_error error, steady_time now);

    // When next_call has something to do; nullopt while a call is under way.
    std::optional<steady_time> due() const;
    bool                       reachable() const { return failures_ == 0; }
    steady_time                last_success() const { return last_success_; }

private:
    replica&            known_;
    random_source       random_;
    store_call          call_; // the present or the next one
    bool                under_way_ = false;
    steady_time         not_before_{};
    unsigned            failures_ = 0; // in a row
    steady_time         last_success_{};
    std::vector<record> listed_;              // of the pages so far
    std::uint64_t       listed_revision_ = 0; // of the first page
};

} // namespace tamarack::entry
