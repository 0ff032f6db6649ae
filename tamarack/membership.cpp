// SWIM-style gossip: pings, suspicion, spread of changes, and transfer of members between views that differ.
#include "tamarack/membership.h"

#include "membership.pb.h"

#include <algorithm>

#include <cstring>
#include <map>
#define XXH_INLINE_ALL // the library is not linked
#include <xxhash.h>

namespace tamarack {

namespace {

constexpr std::size_t      max_domain_length = 63;                               // bytes
constexpr std::size_t      group_count = 32;                                     // 8 members each for 267
constexpr duration         hasty_ping_interval = std::chrono::milliseconds(100); // until the first acknowledgement
constexpr duration         hasty_time = std::chrono::seconds(2);                 // after the start or a pause
constexpr backoff_settings seed_backoff = {std::chrono::milliseconds(200), std::chrono::seconds(5)};
constexpr duration         single_ping_lifetime = std::chrono::seconds(1); // pings whose failure means nothing
constexpr duration         forwarded_ping_lifetime = std::chrono::seconds(1);
constexpr duration    min_suspicion = std::chrono::milliseconds(500); // left to a member that others suspected before
constexpr duration    mismatch_time = std::chrono::seconds(3);        // digests differ this long before a transfer
constexpr duration    transfer_interval = std::chrono::seconds(1);
constexpr duration    join_transfer_interval = std::chrono::milliseconds(300);
constexpr duration    hasty_transfer_interval = std::chrono::milliseconds(100); // after an answer with news
constexpr duration    join_time = std::chrono::seconds(30);      // transfers don't wait for mismatch_time until then
constexpr duration    check_interval = std::chrono::seconds(2);  // between checks of one member with disputed state
constexpr duration    expiry_interval = std::chrono::seconds(1); // without suspicions
constexpr duration    notice_interval = std::chrono::seconds(1);
constexpr duration    report_interval = std::chrono::seconds(60); // of one duplicate member id
constexpr duration    late_datagram_time = std::chrono::seconds(2);
// A life from the far future would lock all later processes under its member id out.
constexpr duration    max_clock_difference = std::chrono::hours(24);
constexpr std::size_t max_checks_waiting = 256;
constexpr std::size_t checks_per_tick = 2;
constexpr std::size_t max_forwarded_pings = 64;
constexpr std::size_t max_probes = 64;
constexpr std::size_t max_members = max_senders;
// A change is sent this often by each member; hearing it from others counts too. The few members that a change does not
// reach get it by a transfer.
constexpr unsigned    max_sends = 8;
constexpr unsigned    gossip_sends = 6; // of these, sent in extra messages
// Shares of the control budget for extra messages and transfers. Without a limit a restart of many balancers uses up
// the budget, pings fail for lack of it, and the false suspicions make more changes.
constexpr double      gossip_rate = 1'024;    // bytes a second
constexpr double      transfer_rate = 1'024;  // bytes a second
constexpr double      join_rate = 1'024;      // bytes a second, for first answers to joining balancers
constexpr double      join_answer_size = 300; // bytes, about
constexpr double      share_burst = 2'560;    // bytes; two whole datagrams
constexpr std::size_t updates_size = 700;     // bytes that pings must have left in the budget to carry updates
constexpr std::size_t acquaintances = 3;      // members named to a joining balancer in the first answer
constexpr std::size_t room_for_fields = 550;  // bytes: of the fields of a message and the records that come on top
constexpr std::size_t port_size = 2;
constexpr std::size_t v4_size = 4;
constexpr std::size_t v6_size = 16;

//----------------------------------------------------------------------------------------------------------------------
// Records
//----------------------------------------------------------------------------------------------------------------------

struct record {
    member        who; // state unused
    std::uint32_t refutation = 0;
    wire::Level   level = wire::ALIVE;
    bool          leaving = false;
    bool          full = false; // has addresses and failure domain
    duration      suspected_for{};
};

std::string encode_endpoint(const endpoint& value, const ip_address* known = nullptr) {
    std::string text;
    if (known == nullptr || *known != value.address) {
        const auto  skipped = value.address.is_v4() ? v6_size - v4_size : 0;
        const auto* bytes = reinterpret_cast<const char*>(value.address.bytes.data());
        text.assign(bytes + skipped, v6_size - skipped);
    }
    text.push_back(static_cast<char>(value.port >> 8));
    text.push_back(static_cast<char>(value.port & 0xff));
    return text;
}

std::optional<endpoint> decode_endpoint(const std::string& text, const ip_address* known = nullptr) {
    endpoint value;
    if (text.size() == port_size && known != nullptr) {
        value.address = *known;
    } else if (text.size() == v4_size + port_size) {
        value.address = ip_address::v4(0);
        std::memcpy(value.address.bytes.data() + v6_size - v4_size, text.data(), v4_size);
    } else if (text.size() == v6_size + port_size) {
        std::memcpy(value.address.bytes.data(), text.data(), v6_size);
    } else {
        return std::nullopt;
    }
    const auto high = static_cast<unsigned char>(text[text.size() - 2]);
    const auto low = static_cast<unsigned char>(text[text.size() - 1]);
    value.port = static_cast<std::uint16_t>(high << 8 | low);
    return value;
}

std::optional<record> decode(const wire::MemberRecord& wire, incarnation latest_life) {
    record item;
    item.who.id = wire.id();
    item.who.life = wire.life();
    item.refutation = wire.refutation();
    item.level = wire.level();
    item.leaving = wire.leaving();
    item.suspected_for = std::chrono::milliseconds(100) * wire.suspected_for();
    if (item.who.id == 0 || !wire::Level_IsValid(wire.level())) return std::nullopt;
    if (item.who.life == 0 || item.who.life > latest_life) return std::nullopt;
    if (wire.control().empty()) return item;
    const auto control = decode_endpoint(wire.control());
    if (!control) return std::nullopt;
    const auto relay = decode_endpoint(wire.relay(), &control->address);
    const auto admin = decode_endpoint(wire.admin(), &control->address);
    if (!relay || !admin || wire.failure_domain().size() > max_domain_length) return std::nullopt;
    item.who.control = *control;
    item.who.relay = *relay;
    item.who.admin = *admin;
    item.who.failure_domain = wire.failure_domain();
    item.full = true;
    return item;
}

void encode_addresses(const member& who, wire::MemberRecord& wire) {
    wire.set_control(encode_endpoint(who.control));
    wire.set_relay(encode_endpoint(who.relay, &who.control.address));
    wire.set_admin(encode_endpoint(who.admin, &who.control.address));
    wire.set_failure_domain(who.failure_domain);
}

member_state state_of(wire::Level level, bool leaving) {
    if (level == wire::DEAD) return member_state::dead;
    if (leaving) return member_state::leaving;
    return level == wire::SUSPECT ? member_state::suspect : member_state::alive;
}

} // namespace

std::string_view to_string(membership_event_kind kind) {
    switch (kind) {
    case membership_event_kind::joined:
        return "joined";
    case membership_event_kind::restarted:
        return "restarted";
    case membership_event_kind::suspected:
        return "suspected";
    case membership_event_kind::refuted:
        return "refuted";
    case membership_event_kind::leaving:
        return "leaving";
    case membership_event_kind::died:
        return "died";
    case membership_event_kind::returned:
        return "returned";
    case membership_event_kind::duplicate_id:
        return "duplicate_id";
    case membership_event_kind::superseded:
        return "superseded";
    case membership_event_kind::paused:
        return "paused";
    }
    return "unknown";
}

//----------------------------------------------------------------------------------------------------------------------
// State
//----------------------------------------------------------------------------------------------------------------------

class membership::impl {
public:
    impl(const membership_settings& settings, control_channel& channel, const clock& time, std::uint64_t random_seed);

    bool receive(const envelope& message, const endpoint& from);
    void receive_superseded(const open_failure& failure, const endpoint& from);
    void tick();
    void leave();
    void depart();
    bool acknowledged() const;

    struct peer {
        member          who; // state follows from level and leaving
        std::uint32_t   refutation = 0;
        wire::Level     level = wire::ALIVE;
        bool            leaving = false;
        bool            provisional = false; // addresses are those of the life before
        steady_time     since{};             // of the level
        steady_time     suspect_until{};     // level SUSPECT: dead from then on
        steady_time     checked{};           // last check of a disputed state
        steady_time     reported{};          // as a duplicate
        steady_time     noticed{};           // last notice to a superseded process
        revision_number revision = 0;
    };

    // A ping whose acknowledgement is awaited.
    struct probe {
        std::uint32_t nonce = 0;
        member_id     target = 0;     // 0: a seed
        bool          judged = false; // no acknowledgement means suspicion
        unsigned      attempts = 1;
        steady_time   started{};
        steady_time   next_attempt{}; // not judged: when it is forgotten
    };

    // A ping made for another member.
    struct forwarded_ping {
        std::uint32_t nonce = 0;
        std::uint32_t nonce_of_requester = 0;
        member_id     requester = 0;
        member_id     target = 0;
        steady_time   forgotten{};
    };

    // A change that still has to be spread.
    struct queued_update {
        unsigned sent = 0;
        bool     full = false; // with addresses
    };

    const membership_settings settings_;
    control_channel*          channel_;
    const clock*              time_;
    random_source             random_;

    member                     self_;
    std::uint32_t              refutation_ = 0;
    bool                       departed_ = false;
    revision_number            revision_ = 0;
    std::optional<incarnation> superseded_by_;
    steady_time                duplicate_reported_{}; // of this balancer's own id under the same life

    std::map<member_id, peer>          peers_;
    std::vector<member_id>             present_;       // peers that are not dead, in order of id
    member_id                          successor_ = 0; // nearest of present_ on the ring; 0: none
    std::vector<member_id>             ping_order_;    // shuffled; each present peer once per pass
    std::size_t                        ping_next_ = 0;
    bool                               ping_successor_ = false;
    std::map<member_id, queued_update> updates_;
    std::vector<probe>                 probes_;          // at most max_probes
    std::vector<forwarded_ping>        forwarded_pings_; // at most max_forwarded_pings
    std::deque<member_id>              checks_;          // members whose state is disputed
    std::uint64_t                      version_ = 1;

    std::array<std::uint32_t, group_count> groups_{};
    std::uint32_t                          digest_ = 0;
    std::uint64_t                          digest_version_ = 0; // of the view that digest_ belongs to
    token_bucket                           gossip_share_;
    token_bucket                           transfer_share_;
    token_bucket                           join_share_;

    bool                    joining_ = true; // no view of a peer has been taken over yet
    steady_time             matched_{};      // when a peer's digest was last equal
    std::optional<endpoint> differing_;      // control endpoint of a peer with another digest
    steady_time             next_transfer_{};

    steady_time last_event_{};
    steady_time awake_since_{}; // start, or end of the last pause
    steady_time next_ping_{};
    steady_time next_gossip_{};
    steady_time next_dead_retry_{};
    steady_time next_expiry_{};
    steady_time next_seed_{};
    unsigned    seed_attempts_ = 0;    // in a row without any peer
    bool        acknowledged_ = false; // since awake_since_

    std::vector<datagram>         datagrams_;
    std::vector<membership_event> events_;
    membership_counters           counters_;

private:
    // Time
    steady_time now() const { return time_->steady_now(); }
    void        notice_time();

    // View
    void          event(membership_event_kind kind, const member& who);
    void          changed();
    std::uint64_t ring_distance(member_id id) const;
    void          queue(member_id id, bool full);
    void          count_send(member_id id);
    void          set_level(peer& item, wire::Level level, std::uint32_t refutation);
    void          suspect(peer& item, std::uint32_t refutation, duration suspected_for);
    void          start_life(peer& item, const record& news);
    void          apply(const record& news, member_id from, bool transferred);
    void          apply_same_life(peer& item, const record& news, member_id from, bool transferred);
    void          apply_to_self(const record& news);
    void          check_disputed(peer& item);
    void          expire();
    bool          note_sender(const envelope& message, const wire::Gossip& gossip, const endpoint& from);
    peer*         peer_of(member_id id);

    // Messages
    std::uint32_t      fresh_nonce();
    wire::MemberRecord record_of(const peer& item, bool full) const;
    wire::MemberRecord record_of_self(bool full) const;
    bool               add_update(wire::Gossip& gossip, std::size_t& size, member_id id, bool full) const;
    wire::Gossip       compose(member_id recipient, member_id about, std::size_t limit,
                               std::vector<member_id>& carried) const;
    bool               send(message_type type, message_priority priority, wire::Gossip& gossip, member_id recipient,
                            const endpoint& to);
    bool send_with_updates(message_type type, message_priority priority, const wire::Gossip& head, member_id recipient,
                           const endpoint& to);
    bool lacks_record(member_id id);
    void exchange_records(const envelope& message, const wire::Gossip& gossip, const endpoint& from);
    void add_acquaintances(wire::Gossip& gossip);
    void on_ping(const envelope& message, const wire::Gossip& gossip, const endpoint& from);
    void on_ping_request(const envelope& message, const wire::Gossip& gossip);
    void on_acknowledgement(const envelope& message, const wire::Gossip& gossip);

    // Pings
    std::vector<member_id> pick(std::size_t count, member_id except);
    member_id              next_target();
    void                   start_probe(member_id target, const endpoint& to, bool judged);
    void                   attempt(probe& item);
    bool                   advance_probe(probe& item);
    void                   ping_seeds(std::size_t count);
    void                   ping_next();
    void                   ping_dead();
    void                   run_checks();
    void                   gossip_changes();

    // Transfer of members
    void update_digest();
    void compare_digest(const wire::Gossip& gossip, const endpoint& from);
    void request_members();
    void answer_request(const envelope& message, const wire::Gossip& gossip, const endpoint& from);
};

membership::impl::impl(const membership_settings& settings, control_channel& channel, const clock& time,
                       std::uint64_t random_seed)
    : settings_(settings), channel_(&channel), time_(&time), random_(random_seed), self_(settings.self),
      gossip_share_(gossip_rate, share_burst, time.steady_now()),
      transfer_share_(transfer_rate, share_burst, time.steady_now()),
      join_share_(join_rate, share_burst, time.steady_now()) {
    self_.state = member_state::alive;
    last_event_ = awake_since_ = matched_ = now();
    next_ping_ = next_gossip_ = next_transfer_ = next_seed_ = now();
    // Balancers that start together must not retry together.
    next_dead_retry_ = now() + duration(static_cast<duration::rep>(
                                   random_() % static_cast<std::uint64_t>(settings_.dead_retry_interval.count())));
    queue(self_.id, true);
}

// A pause makes everything that this balancer was waiting for meaningless, and its timers unfair to its peers.
void membership::impl::notice_time() {
    const steady_time present = now();
    const bool        paused = present - last_event_ > settings_.pause_gap;
    last_event_ = present;
    if (!paused) return;
    ++counters_.pauses;
    event(membership_event_kind::paused, self_);
    acknowledged_ = false;
    awake_since_ = next_ping_ = matched_ = present;
    probes_.clear();
    forwarded_pings_.clear();
    for (auto& [id, item] : peers_)
        item.suspect_until = present + settings_.suspicion_time;
}

bool membership::impl::acknowledged() const {
    if (superseded_by_) return false;
    return acknowledged_;
}

//----------------------------------------------------------------------------------------------------------------------
// View
//----------------------------------------------------------------------------------------------------------------------

void membership::impl::event(membership_event_kind kind, const member& who) {
    events_.push_back({kind, who.id, who.life});
}

void membership::impl::changed() {
    ++version_;
    present_.clear();
    successor_ = 0;
    for (const auto& [id, item] : peers_) {
        if (item.level == wire::DEAD) continue;
        present_.push_back(id);
        if (item.level == wire::SUSPECT) continue; // has been pinged
        if (successor_ == 0 || ring_distance(id) < ring_distance(successor_)) successor_ = id;
    }
}

// From this balancer to another around a ring in order of hash, so that members of one rack are rarely neighbours.
std::uint64_t membership::impl::ring_distance(member_id id) const {
    return XXH3_64bits(&id, sizeof id) - XXH3_64bits(&self_.id, sizeof self_.id);
}

void membership::impl::queue(member_id id, bool full) {
    queued_update& item = updates_[id];
    item.sent = 0;
    item.full = item.full || full;
}

membership::impl::peer* membership::impl::peer_of(member_id id) {
    const auto found = peers_.find(id);
    return found == peers_.end() ? nullptr : &found->second;
}

void membership::impl::set_level(peer& item, wire::Level level, std::uint32_t refutation) {
    const wire::Level before = item.level;
    item.level = level;
    item.refutation = refutation;
    item.since = now();
    item.who.state = state_of(level, item.leaving);
    if (level == wire::DEAD && before != wire::DEAD) {
        ++counters_.deaths;
        event(membership_event_kind::died, item.who);
    }
    if (level == wire::ALIVE && before == wire::SUSPECT) event(membership_event_kind::refuted, item.who);
    if (level != wire::DEAD && before == wire::DEAD) event(membership_event_kind::returned, item.who);
    queue(item.who.id, false);
    changed();
}

void membership::impl::suspect(peer& item, std::uint32_t refutation, duration suspected_for) {
    // All members count from the first suspicion, so that they agree on the death at about the same time.
    const duration left = std::max(min_suspicion, settings_.suspicion_time - suspected_for);
    set_level(item, wire::SUSPECT, refutation);
    item.suspect_until = now() + left;
    next_expiry_ = std::min(next_expiry_, item.suspect_until);
    event(membership_event_kind::suspected, item.who);
}

void membership::impl::start_life(peer& item, const record& news) {
    const bool known = item.who.life != 0;
    item.who = news.who;
    item.level = news.level;
    item.refutation = news.refutation;
    item.leaving = news.leaving;
    item.provisional = false;
    item.since = now();
    item.suspect_until = now() + std::max(min_suspicion, settings_.suspicion_time - news.suspected_for);
    next_expiry_ = std::min(next_expiry_, item.suspect_until);
    item.revision = 0;
    item.who.state = state_of(item.level, item.leaving);
    event(known ? membership_event_kind::restarted : membership_event_kind::joined, item.who);
    queue(item.who.id, true);
    changed();
}

void membership::impl::apply(const record& news, member_id from, bool transferred) {
    if (news.who.id == self_.id) return apply_to_self(news);
    peer* known = peer_of(news.who.id);
    if (known == nullptr) {
        // A short record says nothing about an unknown life; a later transfer brings the whole one.
        if (!news.full || news.level == wire::DEAD || peers_.size() >= max_members) return;
        return start_life(peers_[news.who.id], news);
    }
    if (news.who.life < known->who.life) return;
    if (news.who.life == known->who.life) return apply_same_life(*known, news, from, transferred);
    if (news.full) return start_life(*known, news);
    if (news.level == wire::DEAD) {
        known->who.life = news.who.life;
        set_level(*known, wire::DEAD, news.refutation);
    }
}

void membership::impl::apply_same_life(peer& item, const record& news, member_id from, bool transferred) {
    if (news.leaving && !item.leaving) {
        item.leaving = true;
        item.who.state = state_of(item.level, true);
        event(membership_event_kind::leaving, item.who);
        queue(item.who.id, false);
        changed();
    }
    if (news.full && item.provisional) {
        item.provisional = false;
        item.who = news.who;
        item.who.state = state_of(item.level, item.leaving);
        queue(item.who.id, true);
        changed();
    }
    const bool newer = news.refutation > item.refutation;
    if (from != item.who.id && news.refutation == item.refutation && news.level == item.level) {
        return count_send(item.who.id); // others spread it too
    }
    switch (news.level) {
    case wire::ALIVE:
        if (newer) return set_level(item, wire::ALIVE, news.refutation);
        if (item.level == wire::DEAD) check_disputed(item);
        return;
    case wire::SUSPECT:
        if (newer || (news.refutation == item.refutation && item.level == wire::ALIVE)) {
            suspect(item, news.refutation, news.suspected_for);
        }
        return;
    default:
        break;
    }
    if (news.refutation < item.refutation || item.level == wire::DEAD) return;
    // What one view holds as dead may be alive behind a partition. Only the member's own word and a suspicion of ours
    // that was not refuted are enough; otherwise the member gets the chance to refute.
    if (from == item.who.id || item.level == wire::SUSPECT) return set_level(item, wire::DEAD, news.refutation);
    if (transferred) return check_disputed(item);
    suspect(item, news.refutation, duration::zero());
}

void membership::impl::apply_to_self(const record& news) {
    if (departed_ || news.who.life < self_.life) return;
    if (news.who.life > self_.life) {
        if (superseded_by_.value_or(0) >= news.who.life) return;
        superseded_by_ = news.who.life;
        event(membership_event_kind::superseded, news.who);
        if (news.level != wire::DEAD) event(membership_event_kind::duplicate_id, news.who);
        return;
    }
    if (news.full && news.who.control != self_.control && now() - duplicate_reported_ >= report_interval) {
        duplicate_reported_ = now();
        event(membership_event_kind::duplicate_id, news.who);
    }
    if (news.level == wire::ALIVE || news.refutation < refutation_) return;
    refutation_ = news.refutation + 1;
    ++counters_.refutations;
    queue(self_.id, false);
    next_gossip_ = now();
}

// Pings a member whose state two views hold differently. The ping tells it so, and it refutes if it is alive.
void membership::impl::check_disputed(peer& item) {
    if (now() - item.checked < check_interval || checks_.size() >= max_checks_waiting) return;
    item.checked = now();
    checks_.push_back(item.who.id);
}

void membership::impl::expire() {
    if (now() < next_expiry_) return;
    next_expiry_ = now() + expiry_interval;
    std::vector<member_id> forgotten;
    for (auto& [id, item] : peers_) {
        if (item.level == wire::SUSPECT && now() >= item.suspect_until) set_level(item, wire::DEAD, item.refutation);
        if (item.level == wire::SUSPECT) next_expiry_ = std::min(next_expiry_, item.suspect_until);
        if (item.level == wire::DEAD && now() - item.since >= settings_.forget_after) forgotten.push_back(id);
    }
    for (const member_id id : forgotten)
        peers_.erase(id);
    if (!forgotten.empty()) changed();
    std::erase_if(forwarded_pings_, [this](const forwarded_ping& item) { return now() >= item.forgotten; });
}

// The message itself shows that its sender is alive under this life. False: the sender is an older process.
bool membership::impl::note_sender(const envelope& message, const wire::Gossip& gossip, const endpoint& from) {
    peer* known = peer_of(message.sender);
    if (known == nullptr) return true;
    if (message.life < known->who.life) return false;
    if (message.life > known->who.life) {
        // Its record is asked for; until it comes, the addresses of the life before are the best guess.
        record news{known->who, gossip.refutation(), wire::ALIVE, gossip.leaving(), true, {}};
        news.who.life = message.life;
        news.who.control = from;
        start_life(*known, news);
        known->provisional = true;
        updates_[message.sender].full = false;
    }
    apply_same_life(*known, {known->who, gossip.refutation(), wire::ALIVE, gossip.leaving(), false, {}}, message.sender,
                    true);
    known->revision = std::max(known->revision, gossip.revision());
    return true;
}

//----------------------------------------------------------------------------------------------------------------------
// Messages
//----------------------------------------------------------------------------------------------------------------------

std::uint32_t membership::impl::fresh_nonce() {
    const auto nonce = static_cast<std::uint32_t>(random_());
    return nonce != 0 ? nonce : 1;
}

wire::MemberRecord membership::impl::record_of(const peer& item, bool full) const {
    wire::MemberRecord wire;
    wire.set_id(item.who.id);
    wire.set_life(item.who.life);
    wire.set_refutation(item.refutation);
    wire.set_level(item.level);
    wire.set_leaving(item.leaving);
    if (item.level == wire::SUSPECT) {
        const duration suspected_for = settings_.suspicion_time - (item.suspect_until - now());
        const auto     tenths = std::max(duration::zero(), suspected_for) / std::chrono::milliseconds(100);
        wire.set_suspected_for(static_cast<std::uint32_t>(tenths));
    }
    if (full && !item.provisional) encode_addresses(item.who, wire);
    return wire;
}

wire::MemberRecord membership::impl::record_of_self(bool full) const {
    wire::MemberRecord wire;
    wire.set_id(self_.id);
    wire.set_life(self_.life);
    wire.set_refutation(refutation_);
    wire.set_level(departed_ ? wire::DEAD : wire::ALIVE);
    wire.set_leaving(self_.state == member_state::leaving);
    if (full) encode_addresses(self_, wire);
    return wire;
}

// Adds the record unless the message would become too long.
bool membership::impl::add_update(wire::Gossip& gossip, std::size_t& size, member_id id, bool full) const {
    wire::MemberRecord record;
    if (id == self_.id) {
        record = record_of_self(full);
    } else {
        const auto found = peers_.find(id);
        if (found == peers_.end()) return true;
        record = record_of(found->second, full);
    }
    const std::size_t grown = size + record.ByteSizeLong() + 3; // tag and length
    if (grown > max_control_payload) return false;
    size = grown;
    *gossip.add_updates() = std::move(record);
    return true;
}

wire::Gossip membership::impl::compose(member_id recipient, member_id about, std::size_t limit,
                                       std::vector<member_id>& carried) const {
    wire::Gossip gossip;
    std::size_t  size = room_for_fields;
    // A member that is held as suspect or dead must hear it from whoever talks to it, or it cannot refute.
    for (const member_id id : {recipient, about}) {
        const auto item = peers_.find(id);
        if (item != peers_.end() && item->second.level != wire::ALIVE) add_update(gossip, size, id, false);
    }
    std::vector<std::pair<unsigned, member_id>> waiting;
    for (const auto& [id, item] : updates_)
        if (id != recipient) waiting.emplace_back(item.sent, id);
    const std::size_t taken = std::min(waiting.size(), limit);
    std::partial_sort(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(taken), waiting.end());
    for (std::size_t i = 0; i < taken; ++i) {
        const member_id id = waiting[i].second;
        if (!add_update(gossip, size, id, updates_.at(id).full)) break;
        carried.push_back(id);
    }
    return gossip;
}

bool membership::impl::send(message_type type, message_priority priority, wire::Gossip& gossip, member_id recipient,
                            const endpoint& to) {
    update_digest();
    gossip.set_refutation(refutation_);
    gossip.set_leaving(self_.state == member_state::leaving);
    gossip.set_revision(revision_);
    gossip.set_digest(digest_);
    gossip.set_joining(joining_);
    const std::string payload = gossip.SerializeAsString();
    auto              sealed = channel_->seal(type, priority, std::as_bytes(std::span(payload)), recipient);
    if (sealed.has_error()) {
        ++counters_.not_sent;
        return false;
    }
    const auto size = static_cast<double>(sealed.value().size() + datagram_overhead);
    if (type == message_type::membership_updates) gossip_share_.take(size, now());
    if (type == message_type::membership_records) transfer_share_.take(size, now());
    datagrams_.push_back({to, std::move(sealed.value())});
    return true;
}

bool membership::impl::send_with_updates(message_type type, message_priority priority, const wire::Gossip& head,
                                         member_id recipient, const endpoint& to) {
    // A balancer that is short of budget must still be able to ping and answer.
    const bool             ample = channel_->has_budget(message_priority::normal, updates_size);
    std::vector<member_id> carried;
    wire::Gossip gossip = compose(recipient, head.about(), ample ? settings_.updates_per_message : 0, carried);
    gossip.MergeFrom(head);
    if (!send(type, priority, gossip, recipient, to)) return false;
    for (const member_id id : carried)
        count_send(id);
    return true;
}

void membership::impl::count_send(member_id id) {
    const auto found = updates_.find(id);
    if (found != updates_.end() && ++found->second.sent >= max_sends) updates_.erase(found);
}

bool membership::impl::receive(const envelope& message, const endpoint& from) {
    notice_time();
    if (departed_) return true;
    const auto   wall = std::chrono::floor<std::chrono::milliseconds>(time_->wall_now() + max_clock_difference);
    const auto   latest_life = static_cast<incarnation>(wall.time_since_epoch().count());
    wire::Gossip gossip;
    if (message.life > latest_life ||
        !gossip.ParseFromArray(message.payload.data(), static_cast<int>(message.payload.size()))) {
        ++counters_.malformed;
        return false;
    }
    const auto before = version_;

    const bool transferred = message.type == message_type::membership_records;
    for (const auto& update : gossip.updates()) {
        const auto news = decode(update, latest_life);
        if (news) {
            apply(*news, message.sender, transferred);
        } else {
            ++counters_.malformed;
        }
    }
    if (!note_sender(message, gossip, from)) {
        receive_superseded({open_error::superseded, message.sender, message.life}, from);
        return true;
    }
    compare_digest(gossip, from);
    switch (message.type) {
    case message_type::ping:
        on_ping(message, gossip, from);
        return true;
    case message_type::ping_request:
        on_ping_request(message, gossip);
        return true;
    case message_type::acknowledgement:
        on_acknowledgement(message, gossip);
        break;
    case message_type::membership_request:
        answer_request(message, gossip, from);
        return true;
    case message_type::membership_records:
        // The next answer may bring the rest; without news, the members that differ are changing at this moment.
        if (version_ != before) next_transfer_ = std::min(next_transfer_, now() + hasty_transfer_interval);
        return true;
    default:
        break;
    }
    exchange_records(message, gossip, from);
    return true;
}

// Answers a request for this balancer's record, and asks for the sender's if it is not known.
void membership::impl::exchange_records(const envelope& message, const wire::Gossip& gossip, const endpoint& from) {
    wire::Gossip head;
    head.set_want_record(lacks_record(message.sender) && !joining_); // transfers bring all records to a joining one
    if (gossip.want_record()) *head.add_updates() = record_of_self(true);
    if (!head.want_record() && !gossip.want_record()) return;
    if (send_with_updates(message_type::membership_updates, message_priority::high, head, message.sender, from)) {
        ++counters_.updates_messages_sent;
    }
}

bool membership::impl::lacks_record(member_id id) {
    const peer* known = peer_of(id);
    return known == nullptr || known->provisional;
}

void membership::impl::receive_superseded(const open_failure& failure, const endpoint& from) {
    notice_time();
    peer* known = peer_of(failure.sender);
    if (known == nullptr || departed_ || failure.life >= known->who.life) return;
    // A single late datagram of the process that was replaced means nothing; the process that still sends must stop.
    if (failure.fresh && failure.since_newest > late_datagram_time && now() - known->reported >= report_interval) {
        known->reported = now();
        event(membership_event_kind::duplicate_id, known->who);
    }
    if (now() - known->noticed < notice_interval) return;
    known->noticed = now();
    wire::Gossip notice;
    *notice.add_updates() = record_of(*known, false);
    if (send(message_type::membership_updates, message_priority::normal, notice, failure.sender, from)) {
        ++counters_.updates_messages_sent;
    }
}

// Some members that a joining balancer can turn to, so that the seeds are asked only once.
void membership::impl::add_acquaintances(wire::Gossip& gossip) {
    for (const member_id id : pick(acquaintances, 0))
        *gossip.add_updates() = record_of(peers_.at(id), true);
}

void membership::impl::on_ping(const envelope& message, const wire::Gossip& gossip, const endpoint& from) {
    wire::Gossip head;
    head.set_nonce(gossip.nonce());
    head.set_want_record(lacks_record(message.sender));
    if (gossip.want_record()) {
        *head.add_updates() = record_of_self(true);
        add_acquaintances(head);
    }
    // Many balancers that join at once must not use up what the failure detection needs.
    const bool joins = gossip.want_record();
    if (joins && !join_share_.take(join_answer_size, now())) return;
    const bool sent =
        joins ? send(message_type::acknowledgement, message_priority::high, head, message.sender, from)
              : send_with_updates(message_type::acknowledgement, message_priority::urgent, head, message.sender, from);
    if (sent) ++counters_.acknowledgements_sent;
}

void membership::impl::on_ping_request(const envelope& message, const wire::Gossip& gossip) {
    const peer* target = peer_of(gossip.about());
    if (target == nullptr || forwarded_pings_.size() >= max_forwarded_pings) return;
    const forwarded_ping item{fresh_nonce(), gossip.nonce(), message.sender, gossip.about(),
                              now() + forwarded_ping_lifetime};
    wire::Gossip         head;
    head.set_nonce(item.nonce);
    if (!send_with_updates(message_type::ping, message_priority::high, head, item.target, target->who.control)) return;
    ++counters_.pings_sent;
    forwarded_pings_.push_back(item);
}

void membership::impl::on_acknowledgement(const envelope& message, const wire::Gossip& gossip) {
    const auto forwarded = std::ranges::find(forwarded_pings_, gossip.nonce(), &forwarded_ping::nonce);
    if (forwarded != forwarded_pings_.end() && forwarded->target == message.sender) {
        const peer*  requester = peer_of(forwarded->requester);
        wire::Gossip head;
        head.set_nonce(forwarded->nonce_of_requester);
        head.set_about(forwarded->target);
        if (requester != nullptr) {
            send_with_updates(message_type::acknowledgement, message_priority::high, head, forwarded->requester,
                              requester->who.control);
        }
        forwarded_pings_.erase(forwarded);
        return;
    }
    const auto      found = std::ranges::find(probes_, gossip.nonce(), &probe::nonce);
    const member_id answering = gossip.about() != 0 ? gossip.about() : message.sender;
    if (found == probes_.end() || (found->target != 0 && found->target != answering)) return;
    probes_.erase(found);
    acknowledged_ = true;
}

//----------------------------------------------------------------------------------------------------------------------
// Pings
//----------------------------------------------------------------------------------------------------------------------

std::vector<member_id> membership::impl::pick(std::size_t count, member_id except) {
    std::vector<member_id> picked;
    std::ranges::sample(present_, std::back_inserter(picked), static_cast<std::ptrdiff_t>(count + 1), random_);
    std::ranges::shuffle(picked, random_);
    std::erase(picked, except);
    if (picked.size() > count) picked.resize(count);
    return picked;
}

// Every other ping goes to the successor on the ring: each member is then pinged at least every two ping intervals.
// With random targets alone, one member in 150 would not be pinged within 2.5 s.
member_id membership::impl::next_target() {
    ping_successor_ = !ping_successor_;
    if (ping_successor_ && successor_ != 0) return successor_;
    while (true) {
        if (ping_next_ >= ping_order_.size()) {
            ping_order_ = present_;
            std::ranges::shuffle(ping_order_, random_);
            ping_next_ = 0;
            if (ping_order_.empty()) return 0;
        }
        const member_id id = ping_order_[ping_next_++];
        const peer*     item = peer_of(id);
        if (item != nullptr && item->level != wire::DEAD) return id;
    }
}

void membership::impl::start_probe(member_id target, const endpoint& to, bool judged) {
    if (probes_.size() >= max_probes) return;
    if (judged && std::ranges::any_of(probes_, [=](const probe& p) { return p.judged && p.target == target; })) return;
    probe item{
        fresh_nonce(), target, judged, 1, now(), now() + (judged ? settings_.attempt_interval : single_ping_lifetime)};
    wire::Gossip head;
    head.set_nonce(item.nonce);
    head.set_want_record(target == 0);
    if (!send_with_updates(message_type::ping, message_priority::urgent, head, target, to)) return;
    ++counters_.pings_sent;
    probes_.push_back(item);
}

// Repeats the ping, directly and through other members.
void membership::impl::attempt(probe& item) {
    const peer* target = peer_of(item.target);
    ++item.attempts;
    item.next_attempt = now() + settings_.attempt_interval;
    wire::Gossip head;
    head.set_nonce(item.nonce);
    if (!send_with_updates(message_type::ping, message_priority::urgent, head, item.target, target->who.control)) {
        item.judged = false; // what was not sent cannot be answered
        return;
    }
    ++counters_.pings_sent;
    head.set_about(item.target);
    for (const member_id id : pick(settings_.indirect_members, item.target)) {
        if (send_with_updates(message_type::ping_request, message_priority::high, head, id,
                              peers_.at(id).who.control)) {
            ++counters_.ping_requests_sent;
        }
    }
}

// True if the probe is finished.
bool membership::impl::advance_probe(probe& item) {
    if (now() < item.next_attempt) return false;
    peer* target = peer_of(item.target);
    if (!item.judged || target == nullptr || target->level == wire::DEAD) return true;
    if (item.attempts < settings_.attempts) {
        attempt(item);
        return false;
    }
    if (target->level == wire::ALIVE) {
        ++counters_.suspicions;
        suspect(*target, target->refutation, now() - item.started);
        next_gossip_ = now();
    }
    return true;
}

void membership::impl::ping_seeds(std::size_t count) {
    std::vector<endpoint> strangers;
    for (const endpoint& seed : settings_.seeds) {
        const bool known =
            std::ranges::any_of(present_, [&](member_id id) { return peers_.at(id).who.control == seed; });
        if (!known && seed != self_.control) strangers.push_back(seed);
    }
    std::ranges::shuffle(strangers, random_);
    if (strangers.size() > count) strangers.resize(count);
    for (const endpoint& seed : strangers)
        start_probe(0, seed, false);
}

void membership::impl::ping_next() {
    if (now() < next_ping_) return;
    const bool hasty = !acknowledged_ && now() - awake_since_ < hasty_time;
    next_ping_ = now() + (hasty ? hasty_ping_interval : settings_.ping_interval);
    const member_id target = next_target();
    if (target != 0) start_probe(target, peers_.at(target).who.control, true);
    if (target != 0 && now() < next_seed_) return;
    if (target == 0 && now() < next_seed_) return;
    if (target == 0) {
        next_seed_ = now() + backoff_limit(seed_backoff, seed_attempts_) / 2 +
                     backoff_delay(seed_backoff, seed_attempts_, random_);
        ++seed_attempts_;
    } else {
        next_seed_ = now() + settings_.seed_interval;
        seed_attempts_ = 0;
    }
    ping_seeds(target != 0 ? 1 : 2);
}

void membership::impl::ping_dead() {
    if (now() < next_dead_retry_) return;
    next_dead_retry_ = now() + settings_.dead_retry_interval;
    std::vector<member_id> dead;
    for (const auto& [id, item] : peers_)
        if (item.level == wire::DEAD) dead.push_back(id);
    if (dead.empty()) return;
    const member_id id = dead[random_() % dead.size()];
    start_probe(id, peers_.at(id).who.control, false);
}

void membership::impl::run_checks() {
    for (std::size_t i = 0; i < checks_per_tick && !checks_.empty(); ++i) {
        const peer* item = peer_of(checks_.front());
        checks_.pop_front();
        if (item != nullptr) start_probe(item->who.id, item->who.control, item->level != wire::DEAD);
    }
}

void membership::impl::gossip_changes() {
    if (now() < next_gossip_) return;
    next_gossip_ = now() + settings_.gossip_interval;
    const bool fresh = std::ranges::any_of(updates_, [](const auto& item) { return item.second.sent < gossip_sends; });
    if (!fresh) return;
    for (const member_id id : pick(settings_.gossip_members, 0)) {
        const endpoint to = peers_.at(id).who.control;
        if (gossip_share_.available(now()) < updates_size) return;
        if (!send_with_updates(message_type::membership_updates, message_priority::normal, {}, id, to)) return;
        ++counters_.updates_messages_sent;
    }
}

void membership::impl::tick() {
    notice_time();
    if (departed_) return;
    expire();
    std::erase_if(probes_, [this](probe& item) { return advance_probe(item); });
    if (present_.empty() && now() - awake_since_ >= settings_.alone_after) acknowledged_ = true;
    ping_next();
    ping_dead();
    run_checks();
    request_members();
    gossip_changes();
}

void membership::impl::leave() {
    if (departed_ || self_.state == member_state::leaving) return;
    self_.state = member_state::leaving;
    ++refutation_;
    queue(self_.id, false);
    next_gossip_ = now();
    changed();
}

void membership::impl::depart() {
    if (departed_) return;
    leave();
    departed_ = true;
    wire::Gossip farewell;
    *farewell.add_updates() = record_of_self(false);
    for (const member_id id : pick(2 * settings_.gossip_members, 0)) {
        wire::Gossip copy = farewell;
        if (!send(message_type::membership_updates, message_priority::high, copy, id, peers_.at(id).who.control)) break;
        ++counters_.updates_messages_sent;
    }
}

//----------------------------------------------------------------------------------------------------------------------
// Transfer of members
//----------------------------------------------------------------------------------------------------------------------

// Suspicions and refutations are left out: they come and go faster than digests can be compared.
void membership::impl::update_digest() {
    if (digest_version_ == version_) return;
    digest_version_ = version_;
    groups_.fill(0);
    const auto add = [this](const member& who, bool leaving) {
        const std::array<std::uint64_t, 3> fields = {who.id, who.life, leaving ? 1U : 0U};
        groups_.at(who.id % group_count) ^= static_cast<std::uint32_t>(XXH3_64bits(fields.data(), sizeof fields));
    };
    add(self_, self_.state == member_state::leaving);
    for (const auto& [id, item] : peers_)
        if (item.level != wire::DEAD) add(item.who, item.leaving);
    digest_ = static_cast<std::uint32_t>(XXH3_64bits(groups_.data(), sizeof groups_));
}

void membership::impl::compare_digest(const wire::Gossip& gossip, const endpoint& from) {
    update_digest();
    if (gossip.digest() == digest_) {
        // Two balancers that have just started may know the same few members.
        joining_ = joining_ && gossip.joining();
        matched_ = now();
        differing_.reset();
    } else {
        differing_ = from;
    }
}

void membership::impl::request_members() {
    if (!differing_ || now() < next_transfer_) return;
    if (now() - awake_since_ > join_time) joining_ = false;
    if (!joining_ && now() - matched_ < mismatch_time) return;
    next_transfer_ = now() + (joining_ ? join_transfer_interval : transfer_interval);
    update_digest();
    wire::Gossip request;
    for (const std::uint32_t group : groups_)
        request.add_groups(group);
    if (joining_) *request.add_updates() = record_of_self(true);
    // A joining balancer spreads its requests over all members that it knows.
    const auto     others = pick(joining_ ? 1 : 0, 0);
    const endpoint to = others.empty() ? *differing_ : peers_.at(others.front()).who.control;
    // The id of the peer may still be unknown, so the request is addressed by its endpoint only.
    if (send(message_type::membership_request, message_priority::high, request, 0, to)) ++counters_.requests_sent;
    differing_.reset();
}

void membership::impl::answer_request(const envelope& message, const wire::Gossip& gossip, const endpoint& from) {
    if (gossip.groups_size() != static_cast<int>(group_count)) {
        ++counters_.malformed;
        return;
    }
    if (transfer_share_.available(now()) < max_control_datagram + datagram_overhead)
        return; // the peer asks another one
    update_digest();
    std::vector<member_id> differing;
    const auto             add = [&](member_id id) {
        const auto group = id % group_count;
        if (gossip.groups(static_cast<int>(group)) != groups_.at(group) && id != message.sender)
            differing.push_back(id);
    };
    add(self_.id);
    for (const auto& [id, item] : peers_)
        add(id);
    // Not all may fit; several answers with other choices bring the rest.
    std::ranges::shuffle(differing, random_);
    wire::Gossip answer;
    std::size_t  size = 64; // the other fields take less
    for (const member_id id : differing)
        if (!add_update(answer, size, id, id == self_.id || peers_.at(id).level != wire::DEAD)) break;
    if (send(message_type::membership_records, message_priority::normal, answer, message.sender, from)) {
        ++counters_.records_sent;
    }
}

//----------------------------------------------------------------------------------------------------------------------
// Public interface
//----------------------------------------------------------------------------------------------------------------------

membership::membership(const membership_settings& settings, control_channel& channel, const clock& time,
                       std::uint64_t random_seed)
    : impl_(std::make_unique<impl>(settings, channel, time, random_seed)) {}
membership::~membership() = default;

bool membership::handles(message_type type) {
    return type >= message_type::ping && type <= message_type::membership_records;
}

bool membership::receive(const envelope& message, const endpoint& from) {
    return impl_->receive(message, from);
}

void membership::receive_superseded(const open_failure& failure, const endpoint& from) {
    impl_->receive_superseded(failure, from);
}

void membership::tick() {
    impl_->tick();
}

void membership::leave() {
    impl_->leave();
}

void membership::depart() {
    impl_->depart();
}

void membership::set_revision(revision_number revision) {
    impl_->revision_ = revision;
}

std::vector<datagram> membership::take_datagrams() {
    return std::exchange(impl_->datagrams_, {});
}

std::vector<membership_event> membership::take_events() {
    return std::exchange(impl_->events_, {});
}

const member& membership::self() const {
    return impl_->self_;
}

std::vector<member> membership::members() const {
    std::vector<member> all;
    all.reserve(impl_->peers_.size() + 1);
    all.push_back(impl_->self_);
    for (const auto& [id, item] : impl_->peers_)
        all.push_back(item.who);
    std::ranges::sort(all, {}, &member::id);
    return all;
}

const member* membership::find(member_id id) const {
    if (id == impl_->self_.id) return &impl_->self_;
    const auto found = impl_->peers_.find(id);
    return found == impl_->peers_.end() ? nullptr : &found->second.who;
}

std::uint64_t membership::version() const {
    return impl_->version_;
}

revision_number membership::revision_of(member_id id) const {
    const auto found = impl_->peers_.find(id);
    return found == impl_->peers_.end() ? 0 : found->second.revision;
}

member_id membership::holder_of_newest_revision() const {
    member_id       holder = 0;
    revision_number newest = 0;
    for (const member_id id : impl_->present_) {
        const revision_number revision = impl_->peers_.at(id).revision;
        if (revision <= newest) continue;
        newest = revision;
        holder = id;
    }
    return holder;
}

std::vector<member> membership::random_peers(std::size_t count) {
    std::vector<member> picked;
    picked.reserve(count);
    std::vector<member_id> ids;
    std::ranges::sample(impl_->present_, std::back_inserter(ids), static_cast<std::ptrdiff_t>(count), impl_->random_);
    for (const member_id id : ids)
        picked.push_back(impl_->peers_.at(id).who);
    std::ranges::shuffle(picked, impl_->random_);
    return picked;
}

bool membership::acknowledged() const {
    return impl_->acknowledged();
}

std::optional<incarnation> membership::superseded_by() const {
    return impl_->superseded_by_;
}

const membership_counters& membership::counters() const {
    return impl_->counters_;
}

} // namespace tamarack
