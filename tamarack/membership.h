// Membership and failure detection of the balancers in a cluster: SWIM-style gossip over the control channel, without
// I/O.
//
// In every ping interval one member is pinged, first directly and then through other members. A member that does not
// answer is suspected, and declared dead if it does not refute the suspicion in time. Changes are piggybacked on all
// messages. Digests of the member lists reveal lasting differences between two views; the members are divided into
// groups by id, and only the records of groups that differ are then transferred. Dead members are pinged at long
// intervals, so that the halves of a healed partition find each other again.
//
// Which of two states of a member is newer is decided by the incarnation (a newer process supersedes at once), then by
// the refutation (a number that only the member itself raises), then by alive < suspect < dead. Leaving is final within
// an incarnation.
//
// See docs/design.md section 2.5.
#pragma once

#include "tamarack/control_channel.h"

namespace tamarack {

struct membership_settings {
    member                self;  // incarnation set; failure_domain of at most 63 bytes
    std::vector<endpoint> seeds; // control endpoints to contact first

    duration    ping_interval = std::chrono::milliseconds(500);
    duration    attempt_interval = std::chrono::milliseconds(130); // between the attempts of one ping
    unsigned    attempts = 3;         // the first is direct; later ones also go through other members
    std::size_t indirect_members = 3; // asked per attempt to ping on behalf of this one
    duration    suspicion_time = std::chrono::seconds(2); // from the first unanswered ping to the declaration of death
    duration    dead_retry_interval = std::chrono::seconds(10); // one dead member is pinged each time
    duration    seed_interval = std::chrono::seconds(30);  // one seed that is not a live member is pinged each time
    duration    forget_after = std::chrono::hours(24);     // time after which dead members are removed
    duration    pause_threshold = std::chrono::seconds(1); // a longer time between two events counts as a pause
    duration    alone_after = std::chrono::seconds(5);     // time after which a balancer without peers acts alone
    std::size_t updates_per_message = 12;
    duration    gossip_interval = std::chrono::milliseconds(200); // between extra messages while there are new changes
    std::size_t gossip_peers = 3;                                 // recipients per gossip_interval
};

enum class membership_event_kind : std::uint8_t {
    joined,
    restarted, // a new incarnation of a known member id
    suspected,
    refuted, // a suspected member is alive
    leaving,
    died,
    returned,     // a dead member is alive again under the same incarnation
    duplicate_id, // two processes run with this id at the same time
    superseded,   // this process: there is a newer incarnation of its own id
    paused,       // this process did not run for longer than pause_threshold
};

std::string_view to_string(membership_event_kind kind);

struct membership_event {
    membership_event_kind kind = membership_event_kind::joined;
    member_id             id = 0;
    incarnation_number    incarnation = 0;
};

struct membership_counters {
    std::uint64_t pings_sent = 0;
    std::uint64_t ping_requests_sent = 0;
    std::uint64_t acknowledgements_sent = 0;
    std::uint64_t updates_messages_sent = 0;
    std::uint64_t requests_sent = 0; // for member records
    std::uint64_t records_sent = 0;  // answers to requests
    std::uint64_t suspicions = 0;    // raised by this balancer's own pings
    std::uint64_t refutations = 0;   // by this balancer, of suspicions against itself
    std::uint64_t deaths = 0;
    std::uint64_t pauses = 0;
    std::uint64_t malformed = 0; // messages and records
    std::uint64_t not_sent = 0;  // because of the control budget
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
    bool        receive(const envelope& message, const endpoint& sender_endpoint); // false: malformed, and counted
    // For a datagram that the channel rejected because a newer incarnation of its sender is known.
    void        receive_superseded(const open_failure& failure, const endpoint& sender_endpoint);
    void        tick(); // every 10 to 100 ms
    // Announces that this balancer is leaving: it owns no flows any more, but still answers.
    void        leave();
    // Announces that this balancer has left. Nothing is sent afterwards.
    void        depart();

    // Sets the configuration revision that this balancer holds, which is sent with every message.
    void set_revision(revision_number revision);

    // Output.
    std::vector<datagram>         take_datagrams();
    std::vector<membership_event> take_events();

    // Queries.
    const member&                     self() const;    // with its current state
    std::vector<member>               members() const; // this balancer and its peers, also dead ones; sorted by id
    const member*                     find(member_id id) const; // null if unknown
    // Changes whenever members() changes.
    std::uint64_t                     version() const;
    // Last revision received from a peer; 0 if none.
    revision_number                   revision_of(member_id id) const;
    // The live peer that holds the highest revision received; 0 if none.
    member_id                         holder_of_newest_revision() const;
    // Distinct random peers that are not dead.
    std::vector<member>               random_peers(std::size_t count);
    // True if a peer has answered under the current incarnation since the start and the last pause, or if there has
    // been no peer for alone_after. False while a newer incarnation of this member id is known.
    bool                              is_acknowledged() const;
    // A newer incarnation of this member id, if one is known: this process must stop, or restart with a higher
    // incarnation.
    std::optional<incarnation_number> superseded_by() const;
    const membership_counters&        counters() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace tamarack
