// Which balancers of the spray group are alive: SWIM-style gossip over the control channel, without I/O.
//
// Every ping interval one member is pinged, directly and then through others; one that does not answer is suspected,
// and dead when it does not refute the suspicion in time. Changes ride on the messages. Digests over the members show
// lasting differences between two views; only the groups of members that differ are then transferred. Dead members are
// pinged at long intervals, so that the halves of a healed partition find each other again.
//
// State of a member, from old to new: life (a newer process wins at once), then refutation (a number that only the
// member itself raises), then alive < suspect < dead. Leaving is final within a life.
//
// See docs/design.md section 2.5.
#pragma once

#include "tamarack/control_channel.h"

namespace tamarack {

struct membership_settings {
    member                self;  // life set; failure_domain of at most 63 bytes
    std::vector<endpoint> seeds; // control endpoints to contact first

    duration    ping_interval = std::chrono::milliseconds(500);
    duration    attempt_interval = std::chrono::milliseconds(130); // between the attempts of one ping
    unsigned    attempts = 3;                                      // all but the first also through other members
    std::size_t indirect_members = 3;                              // asked per attempt
    duration    suspicion_time = std::chrono::seconds(2);          // from the first ping without an answer
    duration    dead_retry_interval = std::chrono::seconds(10);    // one dead member each time
    duration    seed_interval = std::chrono::seconds(30);          // one seed that is not known to be alive each time
    duration    forget_after = std::chrono::hours(24);             // dead members
    duration    pause_gap = std::chrono::seconds(1);               // a longer time between two events is a pause
    duration    alone_after = std::chrono::seconds(5); // without any peer, a balancer acts alone from then on
    std::size_t updates_per_message = 12;
    duration    gossip_interval = std::chrono::milliseconds(200); // extra messages while there are new changes
    std::size_t gossip_members = 3;                               // per gossip_interval
};

enum class membership_event_kind : std::uint8_t {
    joined,
    restarted, // a new life under a known id
    suspected,
    refuted, // a suspicion
    leaving,
    died,
    returned,     // dead before, under the same life
    duplicate_id, // two processes run under this id at the same time
    superseded,   // this process: a newer life of its own id is known
    paused,       // this process: it did not run for longer than pause_gap
};

std::string_view to_string(membership_event_kind kind);

struct membership_event {
    membership_event_kind kind = membership_event_kind::joined;
    member_id             id = 0;
    incarnation           life = 0;
};

struct membership_counters {
    std::uint64_t pings_sent = 0;
    std::uint64_t ping_requests_sent = 0;
    std::uint64_t acknowledgements_sent = 0;
    std::uint64_t updates_messages_sent = 0;
    std::uint64_t requests_sent = 0; // for lists of members
    std::uint64_t records_sent = 0;  // answers to them
    std::uint64_t suspicions = 0;    // of this balancer's own pings
    std::uint64_t refutations = 0;   // by this balancer, of suspicions of itself
    std::uint64_t deaths = 0;
    std::uint64_t pauses = 0;
    std::uint64_t malformed = 0; // messages and records
    std::uint64_t not_sent = 0;  // over the budget
};

class membership {
public:
    // The channel and the clock must outlive the membership.
    membership(const membership_settings& settings, control_channel& channel, const clock& time,
               std::uint64_t random_seed);
    membership(const membership&) = delete;
    membership& operator=(const membership&) = delete;
    ~membership();

    // Events.
    static bool handles(message_type type);
    bool        receive(const envelope& message, const endpoint& from); // false: malformed, counted
    // A datagram that the channel refused because a newer life of its sender is known.
    void        receive_superseded(const open_failure& failure, const endpoint& from);
    void        tick(); // every 10 to 100 ms
    // Announces that this balancer leaves: it owns nothing any more, but still answers.
    void        leave();
    // Announces that this balancer has gone; nothing is sent afterwards.
    void        depart();

    // The configuration revision that this balancer holds; sent with every message.
    void set_revision(revision_number revision);

    // Output.
    std::vector<datagram>         take_datagrams();
    std::vector<membership_event> take_events();

    // Queries.
    const member&              self() const;             // with its present state
    std::vector<member>        members() const;          // this balancer and its peers in order of id, dead ones too
    const member*              find(member_id id) const; // null if unknown
    // Changes whenever members() changes.
    std::uint64_t              version() const;
    // Last revision heard from a peer; 0 if none.
    revision_number            revision_of(member_id id) const;
    // Peer that is not dead and holds the highest revision heard; 0 if none is known.
    member_id                  holder_of_newest_revision() const;
    // Random peers that are not dead, without repetition.
    std::vector<member>        random_peers(std::size_t count);
    // A peer has answered under the present life since the start and since the last pause, or there is no peer at all
    // (for alone_after). False while a newer life of this member id is known.
    bool                       acknowledged() const;
    // The newer life of this member id, if one is known: this process must stop, or start again with a higher life.
    std::optional<incarnation> superseded_by() const;
    const membership_counters& counters() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace tamarack
