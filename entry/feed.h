// Serves this balancer's replica to followers: decides which of their waiting calls are answered now, and with what.
//
// A feeder answers watches only while it reads the store itself, so that two balancers never confirm to each other that
// they are current; the parameters is_current below say whether it does. Every synchronized balancer serves listings,
// for balancers that start while the store is unavailable.
#pragma once

#include "entry/replica.h"
#include "tamarack/resilience.h"

namespace tamarack::entry {

enum class feed_status : std::uint8_t {
    ok,
    not_current,     // the follower should read from another source
    full,            // too many followers, or too many listings without authentication
    history_dropped, // the changes after the position are not known; the follower has to list again
    rejected,        // the caller has not shown that it reads the same store
};

struct feed_answer {
    feed_status         status = feed_status::ok;
    std::vector<record> records;
    std::uint64_t       position = 0;       // generation of the replica, where the next watch starts
    std::uint64_t       revision = 0;       // of the store
    duration            confirmation_age{}; // since the store last confirmed that nothing newer exists
};

// Authentication of a follower's call.
struct call_authentication {
    std::uint64_t    nonce = 0;    // drawn for this call
    std::string_view covered_text; // covered by the code
    feed_mac         mac{};
};

class feed {
public:
    // Takes the name and the key under which this balancer registers as a feeder.
    feed(const replica& store_replica, std::string name, const feed_key& key, steady_time now);

    // The key with which the call was authenticated: that of this process, or that of an earlier process of this
    // balancer whose registration the store still contains. Nullopt: neither.
    std::optional<feed_key> authenticated_key(const call_authentication& authentication) const;

    feed_answer list(steady_time now) const;
    // For a host that cannot know the key, since it has not read the store yet. Rate-limited.
    feed_answer list_unauthenticated(steady_time now);

    // Changes after a revision of the store, for a follower that has read from another source.
    feed_answer resume(std::uint64_t revision, bool is_current, steady_time now) const;

    // Nullopt: the call waits, and poll returns its number when it is due.
    std::optional<feed_answer> watch(std::uint64_t call, std::uint64_t position, duration max_wait, bool is_current,
                                     steady_time now);
    // One answer for all calls from the same position, so that it is built and encoded only once.
    struct due_answer {
        std::vector<std::uint64_t> calls;
        feed_answer                answer;
    };
    // Answers waiting calls for which there are changes, whose wait is over, or whose follower has to use another
    // source.
    std::vector<due_answer> poll(bool is_current, steady_time now);
    // The follower has closed its connection.
    void                    cancel(std::uint64_t call) { waiting_calls_.erase(call); }
    std::size_t             follower_count() const { return waiting_calls_.size(); }

private:
    struct waiting_call {
        std::uint64_t position = 0;
        steady_time   due_at{};
    };

    feed_answer answer_with(std::optional<std::vector<record>> changes, steady_time now) const;

    const replica&                        store_replica_;
    std::string                           name_;
    feed_key                              key_;
    token_bucket                          unauthenticated_listings_;
    std::map<std::uint64_t, waiting_call> waiting_calls_; // by number of the call
};

} // namespace tamarack::entry
