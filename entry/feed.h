// Serves this balancer's replica to followers: decides which of their waiting calls are answered now, and with what.
//
// Load pattern: hundreds of balancers follow each change, and may all start at the same time. Each balancer has a
// limited number of followers and names them to the others that ask, so that followers form a tree of bounded fan-out.
// A waiting call is answered when the replica changes or the store confirms it again, so that confirmations reach all
// distances at the same time. A replica that the store has not confirmed lately is not served, so that balancers that
// read from each other never keep one another current.
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
    feed_status           status = feed_status::ok;
    std::vector<record>   records{};
    std::uint64_t         position = 0;       // generation of the replica, where the next watch starts
    store_revision        revision{};         // of the store
    store_revision        listed_revision{};  // keys that the replica lacks had been removed at this revision
    duration              confirmation_age{}; // since the store last confirmed that nothing newer exists
    unsigned              distance = 0;       // balancers between the store and the follower
    std::vector<endpoint> followers{};        // full: of this balancer, one of which the caller should ask
};

// Authentication of a follower's call.
struct call_authentication {
    std::uint64_t    nonce = 0;    // drawn for this call
    std::string_view covered_text; // covered by the code
    feed_mac         mac{};
};

// A call of a follower.
struct feed_call {
    std::uint64_t number = 0; // poll returns it when the call is due
    ip_address    follower;
};

struct feed_settings {
    feed_key      key{}; // of this process
    std::size_t   max_followers = 8;
    std::uint16_t peer_port = 0; // on which all balancers serve followers
};

class feed {
public:
    feed(const replica& store_replica, const feed_settings& settings, steady_time now);

    // The key with which the call was authenticated: that of this process, or that of any registered feeder. The latter
    // include the one that an earlier process of this balancer registered. Nullopt: none.
    std::optional<feed_key> authenticated_key(const call_authentication& authentication) const;

    // For a host that cannot know the key, since it has not read the store yet. Rate-limited.
    feed_answer                list_unauthenticated(steady_time now);
    // Nullopt from here on: the call waits, and poll returns its number when it is due.
    // A listing waits a short time for this balancer's own first listing.
    std::optional<feed_answer> list(const feed_call& call, steady_time now);
    // Changes after a revision of the store, for a follower that has read from another source.
    feed_answer                resume(const feed_call& call, const store_revision& revision, steady_time now);
    std::optional<feed_answer> watch(const feed_call& call, std::uint64_t position, duration max_wait, steady_time now);

    // One answer for all calls from the same position, so that it is built and encoded only once.
    struct due_answer {
        std::vector<std::uint64_t> calls;
        feed_answer                answer;
    };
    // Answers waiting calls for which there are changes or a newer confirmation, or whose wait is over.
    std::vector<due_answer> poll(steady_time now);
    std::vector<endpoint>   followers(steady_time now) const; // that have called lately

private:
    struct waiting_call {
        bool          is_listing = false;
        std::uint64_t position = 0;
        steady_time   confirmed_at{}; // last confirmation when the call arrived
        steady_time   due_at{};
    };

    bool        admit(const ip_address& follower, steady_time now);
    feed_answer full_answer(const ip_address& caller, steady_time now) const;
    feed_answer answer_with(std::optional<std::vector<record>> changes, steady_time now) const;
    bool        is_due(const waiting_call& call, steady_time now) const;
    feed_answer answer_due(const waiting_call& call, steady_time now) const;

    const replica&                        store_replica_;
    feed_settings                         settings_;
    token_bucket                          unauthenticated_listings_;
    std::map<std::uint64_t, waiting_call> waiting_calls_; // by number of the call
    std::map<ip_address, steady_time>     followers_;     // time of the last call
};

} // namespace tamarack::entry
