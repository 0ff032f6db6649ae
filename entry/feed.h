// Serves this balancer's replica to followers: which of their waiting calls are answered now, and with what.
//
// A feeder answers a watch only while it reads the store itself, so that two balancers never prove each other current.
// Listings are given by every synchronized balancer, for those that start while the store is away.
#pragma once

#include "entry/replica.h"
#include "tamarack/resilience.h"

namespace tamarack::entry {

enum class feed_status : std::uint8_t {
    ok,
    not_current, // read elsewhere
    full,        // too many followers
    dropped,     // the position is not known; list again
    rejected,    // the caller has not proved that it reads the same store
};

struct feed_answer {
    feed_status         status = feed_status::ok;
    std::vector<record> records;
    std::uint64_t       position = 0;
    std::uint64_t       revision = 0; // of the store
    duration            proof_age{};  // since the store last proved that nothing newer exists
};

// What a follower adds to its call.
struct request_proof {
    std::uint64_t    number = 0; // drawn for this call
    std::string_view text;       // that the proof covers
    feed_proof       proof{};
};

class feed {
public:
    // The name and the key of this balancer as a feeder.
    feed(const replica& known, std::string name, const feed_key& key, steady_time now);

    // The key that the caller has proved to know: of this process, or of an earlier one that the store still shows.
    std::optional<feed_key> proved_key(const request_proof& proof) const;

    feed_answer list(steady_time now) const;
    // For a host that cannot have the key, since it has not read the store: limited in rate.
    feed_answer list_unproved(steady_time now);

    // What is newer than a revision of the store, for a follower that has read elsewhere.
    feed_answer resume(std::uint64_t revision, bool is_current, steady_time now) const;

    // Nullopt: the call waits, and poll returns its number when it is due.
    std::optional<feed_answer> watch(std::uint64_t call, std::uint64_t position, duration wait, bool is_current,
                                     steady_time now);
    // One answer for all calls from the same position, so that it is made and encoded once.
    struct due_answer {
        std::vector<std::uint64_t> calls;
        feed_answer                answer;
    };
    // Answers to the waiting calls that have something to say, have waited long enough, or must go elsewhere.
    std::vector<due_answer> poll(bool is_current, steady_time now);
    // The follower has closed its connection.
    void                    forget(std::uint64_t call) { waiting_.erase(call); }
    std::size_t             followers() const { return waiting_.size(); }

private:
    struct waiting_call {
        std::uint64_t position = 0;
        steady_time   until{};
    };

    feed_answer answer_with(std::optional<std::vector<record>> changes, steady_time now) const;

    const replica&                        known_;
    std::string                           name_;
    feed_key                              key_;
    token_bucket                          unproved_; // listings
    std::map<std::uint64_t, waiting_call> waiting_;  // by number of the call
};

} // namespace tamarack::entry
