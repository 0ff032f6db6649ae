// SWIM-style gossip: pings, suspicions, dissemination of changes, and transfer of records between views that differ.
#include "tamarack/membership.h"

#include "membership.pb.h"

#include <algorithm>

#include <cstring>
#include <map>
#define XXH_INLINE_ALL // the library is not linked
#include <xxhash.h>

namespace tamarack {

namespace {

constexpr std::size_t      max_domain_length = 63; // bytes
constexpr std::size_t      group_count = 32;       // about 8 members per group for 267 members
constexpr duration         startup_ping_interval = std::chrono::milliseconds(100); // until the first acknowledgement
constexpr duration         startup_duration = std::chrono::seconds(2);             // after the start or a pause
constexpr backoff_settings seed_backoff = {std::chrono::milliseconds(200), std::chrono::seconds(5)};
constexpr duration best_effort_ping_lifetime = std::chrono::seconds(1); // pings whose failure raises no suspicion
constexpr duration forwarded_ping_lifetime = std::chrono::seconds(1);
constexpr duration min_suspicion = std::chrono::milliseconds(500);  // also if others suspected the member long ago
constexpr duration min_mismatch_duration = std::chrono::seconds(3); // of digests, before a transfer
constexpr duration transfer_interval = std::chrono::seconds(1);
constexpr duration join_transfer_interval = std::chrono::milliseconds(300);
constexpr duration followup_transfer_interval = std::chrono::milliseconds(100); // after an answer with new information
constexpr duration max_join_duration = std::chrono::seconds(30);     // transfers start without min_mismatch_duration
constexpr duration dispute_check_interval = std::chrono::seconds(2); // between checks of the same member
constexpr duration expiry_interval = std::chrono::seconds(1);        // if there are no suspicions
constexpr duration superseded_notice_interval = std::chrono::seconds(1);
constexpr duration duplicate_report_interval = std::chrono::seconds(60); // per duplicate member id
constexpr duration max_datagram_delay = std::chrono::seconds(2);
// Limits how far an incarnation may lie in the future: an incarnation from the far future would exclude all later
// processes with the same member id.
constexpr duration max_clock_difference = std::chrono::hours(24);
constexpr std::size_t max_queued_checks = 256;
constexpr std::size_t checks_per_tick = 2;
constexpr std::size_t max_forwarded_pings = 64;
constexpr std::size_t max_probes = 64;
constexpr std::size_t max_members = max_senders;
// Number of times that each member sends a change; receiving it from others counts too. The few members that miss a
// change get it by a transfer.
constexpr unsigned    max_update_sends = 8;
constexpr unsigned    max_gossip_sends = 6; // of max_update_sends, those in extra messages
// Shares of the control budget for extra messages and transfers. Without a limit, a restart of many balancers would
// exhaust the budget; pings would then not be sent, and the false suspicions would cause even more changes.
constexpr double      gossip_rate = 1'024;         // bytes a second
constexpr double      transfer_rate = 1'024;       // bytes a second
constexpr double      join_rate = 1'024;           // bytes a second, for the first answers to joining balancers
constexpr double      join_answer_size = 300;      // bytes, estimated
constexpr double      shared_budget_burst = 2'560; // bytes; two datagrams of maximum size
constexpr std::size_t min_updates_budget = 700;    // bytes that must be left in the budget for pings to carry updates
constexpr std::size_t introduced_members = 3;      // records in the first answer to a joining balancer
constexpr std::size_t reserved_message_size = 550; // bytes for other fields and for records added later
constexpr std::size_t port_size = 2;
constexpr std::size_t v4_size = 4;
constexpr std::size_t v6_size = 16;

//----------------------------------------------------------------------------------------------------------------------
// Records
//----------------------------------------------------------------------------------------------------------------------

struct member_record {
    member        info; // state is unused
    std::uint32_t refutation = 0;
    wire::Level   level = wire::ALIVE;
    bool          leaving = false;
    bool          has_addresses = false; // and failure domain
    duration      suspected_for{};
};

std::string encode_endpoint(const endpoint& value, const ip_address* implied_address = nullptr) {
    std::string encoded;
    if (implied_address == nullptr || *implied_address != value.address) {
        const auto  skipped = value.address.is_v4() ? v6_size - v4_size : 0;
        const auto* bytes = reinterpret_cast<const char*>(value.address.bytes.data());
        encoded.assign(bytes + skipped, v6_size - skipped);
    }
    encoded.push_back(static_cast<char>(value.port >> 8));
    encoded.push_back(static_cast<char>(value.port & 0xff));
    return encoded;
}

std::optional<endpoint> decode_endpoint(const std::string& encoded, const ip_address* implied_address = nullptr) {
    endpoint value;
    if (encoded.size() == port_size && implied_address != nullptr) {
        value.address = *implied_address;
    } else if (encoded.size() == v4_size + port_size) {
        value.address = ip_address::v4(0);
        std::memcpy(value.address.bytes.data() + v6_size - v4_size, encoded.data(), v4_size);
    } else if (encoded.size() == v6_size + port_size) {
        std::memcpy(value.address.bytes.data(), encoded.data(), v6_size);
    } else {
        return std::nullopt;
    }
    const auto high = static_cast<unsigned char>(encoded[encoded.size() - 2]);
    const auto low = static_cast<unsigned char>(encoded[encoded.size() - 1]);
    value.port = static_cast<std::uint16_t>(high << 8 | low);
    return value;
}

std::optional<member_record> decode(const wire::MemberRecord& wire, incarnation_number latest_incarnation) {
    member_record item;
    item.info.id = wire.id();
    item.info.incarnation = wire.life();
    item.refutation = wire.refutation();
    item.level = wire.level();
    item.leaving = wire.leaving();
    item.suspected_for = std::chrono::milliseconds(100) * wire.suspected_for();
    if (item.info.id == 0 || !wire::Level_IsValid(wire.level())) return std::nullopt;
    if (item.info.incarnation == 0 || item.info.incarnation > latest_incarnation) return std::nullopt;
    if (wire.control().empty()) return item;
    const auto control = decode_endpoint(wire.control());
    if (!control) return std::nullopt;
    const auto relay = decode_endpoint(wire.relay(), &control->address);
    const auto admin = decode_endpoint(wire.admin(), &control->address);
    if (!relay || !admin || wire.failure_domain().size() > max_domain_length) return std::nullopt;
    item.info.control = *control;
    item.info.relay = *relay;
    item.info.admin = *admin;
    item.info.failure_domain = wire.failure_domain();
    item.has_addresses = true;
    return item;
}

void encode_addresses(const member& info, wire::MemberRecord& wire) {
    wire.set_control(encode_endpoint(info.control));
    wire.set_relay(encode_endpoint(info.relay, &info.control.address));
    wire.set_admin(encode_endpoint(info.admin, &info.control.address));
    wire.set_failure_domain(info.failure_domain);
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

    bool receive(const envelope& message, const endpoint& sender_endpoint);
    void receive_superseded(const open_failure& failure, const endpoint& sender_endpoint);
    void tick();
    void leave();
    void depart();
    bool is_acknowledged() const;

    struct peer {
        member          info; // state is derived from level and leaving
        std::uint32_t   refutation = 0;
        wire::Level     level = wire::ALIVE;
        bool            leaving = false;
        bool            has_provisional_addresses = false; // taken from the previous incarnation
        steady_time     level_since{};                     // time of the last change of level
        steady_time     suspect_until{};                   // level SUSPECT: declared dead at this time
        steady_time     last_check{};                      // of a disputed state
        steady_time     last_duplicate_report{};           // of a duplicate id
        steady_time     last_notice{};                     // to a superseded process
        revision_number revision = 0;
    };

    // A ping whose acknowledgement is pending.
    struct probe {
        std::uint32_t nonce = 0;
        member_id     target = 0;              // 0: a seed
        bool          detects_failure = false; // a missing acknowledgement raises a suspicion
        unsigned      attempts = 1;
        steady_time   started{};
        steady_time   next_attempt{}; // detects_failure false: time at which the probe expires
    };

    // A ping sent on behalf of another member.
    struct forwarded_ping {
        std::uint32_t nonce = 0;
        std::uint32_t requester_nonce = 0;
        member_id     requester = 0;
        member_id     target = 0;
        steady_time   expires_at{};
    };

    // A change that is still being disseminated.
    struct queued_update {
        unsigned send_count = 0;
        bool     has_addresses = false; // send the record with addresses
    };

    const membership_settings settings_;
    control_channel*          channel_;
    const clock*              time_;
    random_source             random_;

    member                            self_;
    std::uint32_t                     refutation_ = 0;
    bool                              has_departed_ = false;
    revision_number                   revision_ = 0;
    std::optional<incarnation_number> superseded_by_;
    steady_time                       own_duplicate_reported_at_{}; // of this balancer's own id and incarnation

    std::map<member_id, peer>          peers_;
    std::vector<member_id>             live_peers_;    // peers that are not dead; sorted by id
    member_id                          successor_ = 0; // next live peer on the hash ring; 0: none
    std::vector<member_id>             ping_order_;    // shuffled; each live peer once per pass
    std::size_t                        next_ping_index_ = 0;
    bool                               is_successor_next_ = false;
    std::map<member_id, queued_update> updates_;
    std::vector<probe>                 probes_;           // at most max_probes
    std::vector<forwarded_ping>        forwarded_pings_;  // at most max_forwarded_pings
    std::deque<member_id>              disputed_members_; // to be checked; views differ on their state
    std::uint64_t                      version_ = 1;

    std::array<std::uint32_t, group_count> group_digests_{};
    std::uint32_t                          digest_ = 0;
    std::uint64_t                          digest_version_ = 0; // version of the view that digest_ was computed from
    token_bucket                           gossip_budget_;
    token_bucket                           transfer_budget_;
    token_bucket                           join_budget_;

    bool                    is_joining_ = true;   // the view does not match a peer's view yet
    steady_time             digest_matched_at_{}; // last time that a peer's digest was equal
    std::optional<endpoint> differing_peer_;      // control endpoint of a peer with another digest
    steady_time             next_transfer_{};

    steady_time last_event_at_{};
    steady_time awake_since_{}; // time of the start, or end of the last pause
    steady_time next_ping_{};
    steady_time next_gossip_{};
    steady_time next_dead_retry_{};
    steady_time next_expiry_{};
    steady_time next_seed_{};
    unsigned    seed_attempts_ = 0;       // in a row, while there is no peer
    bool        is_acknowledged_ = false; // since awake_since_

    std::vector<datagram>         datagrams_;
    std::vector<membership_event> events_;
    membership_counters           counters_;

private:
    // Time
    steady_time now() const { return time_->steady_now(); }
    void        detect_pause();

    // View
    void          add_event(membership_event_kind kind, const member& info);
    void          handle_view_change();
    std::uint64_t ring_distance(member_id id) const;
    void          queue_update(member_id id, bool with_addresses);
    void          count_send(member_id id);
    void          set_level(peer& item, wire::Level level, std::uint32_t refutation);
    void          mark_suspect(peer& item, std::uint32_t refutation, duration suspected_for);
    void          start_incarnation(peer& item, const member_record& received);
    void          apply(const member_record& received, member_id sender, bool is_transfer);
    void          apply_same_incarnation(peer& item, const member_record& received, member_id sender, bool is_transfer);
    void          apply_to_self(const member_record& received);
    void          queue_check(peer& item);
    void          expire_members();
    bool          record_sender(const envelope& message, const wire::Gossip& gossip, const endpoint& sender_endpoint);
    peer*         find_peer(member_id id);

    // Messages
    std::uint32_t      random_nonce();
    wire::MemberRecord record_of(const peer& item, bool with_addresses) const;
    wire::MemberRecord record_of_self(bool with_addresses) const;
    bool               add_update(wire::Gossip& gossip, std::size_t& size, member_id id, bool with_addresses) const;
    wire::Gossip       compose_updates(member_id recipient, member_id subject, std::size_t limit,
                                       std::vector<member_id>& included_ids) const;
    bool               send(message_type type, message_priority priority, wire::Gossip& gossip, member_id recipient,
                            const endpoint& destination);
    bool               send_with_updates(message_type type, message_priority priority, const wire::Gossip& fields,
                                         member_id recipient, const endpoint& destination);
    bool               lacks_record(member_id id);
    void exchange_records(const envelope& message, const wire::Gossip& gossip, const endpoint& sender_endpoint);
    void add_introductions(wire::Gossip& gossip);
    void handle_ping(const envelope& message, const wire::Gossip& gossip, const endpoint& sender_endpoint);
    void handle_ping_request(const envelope& message, const wire::Gossip& gossip);
    void handle_acknowledgement(const envelope& message, const wire::Gossip& gossip);

    // Pings
    std::vector<member_id> pick_live_peers(std::size_t count, member_id except);
    member_id              next_target();
    void                   start_probe(member_id target, const endpoint& destination, bool detects_failure);
    void                   repeat_ping(probe& item);
    bool                   advance_probe(probe& item);
    void                   ping_seeds(std::size_t count);
    void                   ping_next_member();
    void                   ping_dead();
    void                   run_checks();
    void                   gossip_changes();

    // Transfer of members
    void update_digest();
    void compare_digest(const wire::Gossip& gossip, const endpoint& sender_endpoint);
    void request_members();
    void answer_request(const envelope& message, const wire::Gossip& gossip, const endpoint& sender_endpoint);
};

membership::impl::impl(const membership_settings& settings, control_channel& channel, const clock& time,
                       std::uint64_t random_seed)
    : settings_(settings), channel_(&channel), time_(&time), random_(random_seed), self_(settings.self),
      gossip_budget_(gossip_rate, shared_budget_burst, time.steady_now()),
      transfer_budget_(transfer_rate, shared_budget_burst, time.steady_now()),
      join_budget_(join_rate, shared_budget_burst, time.steady_now()) {
    self_.state = member_state::alive;
    last_event_at_ = awake_since_ = digest_matched_at_ = now();
    next_ping_ = next_gossip_ = next_transfer_ = next_seed_ = now();
    // Random, so that balancers started at the same time don't retry at the same time.
    next_dead_retry_ = now() + duration(static_cast<duration::rep>(
                                   random_() % static_cast<std::uint64_t>(settings_.dead_retry_interval.count())));
    queue_update(self_.id, true);
}

// Detects that this process did not run for a while. Pending probes are then meaningless, and expired timers must not
// be held against the peers, so both are reset.
void membership::impl::detect_pause() {
    const steady_time current_time = now();
    const bool        was_paused = current_time - last_event_at_ > settings_.pause_threshold;
    last_event_at_ = current_time;
    if (!was_paused) return;
    ++counters_.pauses;
    add_event(membership_event_kind::paused, self_);
    is_acknowledged_ = false;
    awake_since_ = next_ping_ = digest_matched_at_ = current_time;
    probes_.clear();
    forwarded_pings_.clear();
    for (auto& [id, item] : peers_)
        item.suspect_until = current_time + settings_.suspicion_time;
}

bool membership::impl::is_acknowledged() const {
    if (superseded_by_) return false;
    return is_acknowledged_;
}

//----------------------------------------------------------------------------------------------------------------------
// View
//----------------------------------------------------------------------------------------------------------------------

void membership::impl::add_event(membership_event_kind kind, const member& info) {
    events_.push_back({kind, info.id, info.incarnation});
}

void membership::impl::handle_view_change() {
    ++version_;
    live_peers_.clear();
    successor_ = 0;
    for (const auto& [id, item] : peers_) {
        if (item.level == wire::DEAD) continue;
        live_peers_.push_back(id);
        if (item.level == wire::SUSPECT) continue; // is being pinged already
        if (successor_ == 0 || ring_distance(id) < ring_distance(successor_)) successor_ = id;
    }
}

// Distance from this balancer to another on a ring ordered by hash, so that members of one rack are rarely neighbours.
std::uint64_t membership::impl::ring_distance(member_id id) const {
    return XXH3_64bits(&id, sizeof id) - XXH3_64bits(&self_.id, sizeof self_.id);
}

void membership::impl::queue_update(member_id id, bool with_addresses) {
    queued_update& item = updates_[id];
    item.send_count = 0;
    item.has_addresses = item.has_addresses || with_addresses;
}

membership::impl::peer* membership::impl::find_peer(member_id id) {
    const auto found = peers_.find(id);
    return found == peers_.end() ? nullptr : &found->second;
}

void membership::impl::set_level(peer& item, wire::Level level, std::uint32_t refutation) {
    const wire::Level previous_level = item.level;
    item.level = level;
    item.refutation = refutation;
    item.level_since = now();
    item.info.state = state_of(level, item.leaving);
    if (level == wire::DEAD && previous_level != wire::DEAD) {
        ++counters_.deaths;
        add_event(membership_event_kind::died, item.info);
    }
    if (level == wire::ALIVE && previous_level == wire::SUSPECT) add_event(membership_event_kind::refuted, item.info);
    if (level != wire::DEAD && previous_level == wire::DEAD) add_event(membership_event_kind::returned, item.info);
    queue_update(item.info.id, false);
    handle_view_change();
}

void membership::impl::mark_suspect(peer& item, std::uint32_t refutation, duration suspected_for) {
    // All members measure from the first suspicion, so that they declare the death at about the same time.
    const duration remaining = std::max(min_suspicion, settings_.suspicion_time - suspected_for);
    set_level(item, wire::SUSPECT, refutation);
    item.suspect_until = now() + remaining;
    next_expiry_ = std::min(next_expiry_, item.suspect_until);
    add_event(membership_event_kind::suspected, item.info);
}

void membership::impl::start_incarnation(peer& item, const member_record& received) {
    const bool was_known = item.info.incarnation != 0;
    item.info = received.info;
    item.level = received.level;
    item.refutation = received.refutation;
    item.leaving = received.leaving;
    item.has_provisional_addresses = false;
    item.level_since = now();
    item.suspect_until = now() + std::max(min_suspicion, settings_.suspicion_time - received.suspected_for);
    next_expiry_ = std::min(next_expiry_, item.suspect_until);
    item.revision = 0;
    item.info.state = state_of(item.level, item.leaving);
    add_event(was_known ? membership_event_kind::restarted : membership_event_kind::joined, item.info);
    queue_update(item.info.id, true);
    handle_view_change();
}

void membership::impl::apply(const member_record& received, member_id sender, bool is_transfer) {
    if (received.info.id == self_.id) return apply_to_self(received);
    peer* existing = find_peer(received.info.id);
    if (existing == nullptr) {
        // A record without addresses is not enough to add a member; a later transfer brings the complete one.
        if (!received.has_addresses || received.level == wire::DEAD || peers_.size() >= max_members) return;
        return start_incarnation(peers_[received.info.id], received);
    }
    if (received.info.incarnation < existing->info.incarnation) return;
    if (received.info.incarnation == existing->info.incarnation)
        return apply_same_incarnation(*existing, received, sender, is_transfer);
    if (received.has_addresses) return start_incarnation(*existing, received);
    if (received.level == wire::DEAD) {
        existing->info.incarnation = received.info.incarnation;
        set_level(*existing, wire::DEAD, received.refutation);
    }
}

void membership::impl::apply_same_incarnation(peer& item, const member_record& received, member_id sender,
                                              bool is_transfer) {
    if (received.leaving && !item.leaving) {
        item.leaving = true;
        item.info.state = state_of(item.level, true);
        add_event(membership_event_kind::leaving, item.info);
        queue_update(item.info.id, false);
        handle_view_change();
    }
    if (received.has_addresses && item.has_provisional_addresses) {
        item.has_provisional_addresses = false;
        item.info = received.info;
        item.info.state = state_of(item.level, item.leaving);
        queue_update(item.info.id, true);
        handle_view_change();
    }
    const bool is_newer = received.refutation > item.refutation;
    if (sender != item.info.id && received.refutation == item.refutation && received.level == item.level) {
        return count_send(item.info.id); // the sender disseminates the same state, which counts as a send
    }
    switch (received.level) {
    case wire::ALIVE:
        if (is_newer) return set_level(item, wire::ALIVE, received.refutation);
        if (item.level == wire::DEAD) queue_check(item);
        return;
    case wire::SUSPECT:
        if (is_newer || (received.refutation == item.refutation && item.level == wire::ALIVE)) {
            mark_suspect(item, received.refutation, received.suspected_for);
        }
        return;
    default:
        break;
    }
    if (received.refutation < item.refutation || item.level == wire::DEAD) return;
    // A member that is dead in another view may be alive on this side of a partition. It is declared dead only if it
    // says so itself, or if this balancer already suspects it; otherwise it first gets the chance to refute.
    if (sender == item.info.id || item.level == wire::SUSPECT) return set_level(item, wire::DEAD, received.refutation);
    if (is_transfer) return queue_check(item);
    mark_suspect(item, received.refutation, duration::zero());
}

void membership::impl::apply_to_self(const member_record& received) {
    if (has_departed_ || received.info.incarnation < self_.incarnation) return;
    if (received.info.incarnation > self_.incarnation) {
        if (superseded_by_.value_or(0) >= received.info.incarnation) return;
        superseded_by_ = received.info.incarnation;
        add_event(membership_event_kind::superseded, received.info);
        if (received.level != wire::DEAD) add_event(membership_event_kind::duplicate_id, received.info);
        return;
    }
    if (received.has_addresses && received.info.control != self_.control &&
        now() - own_duplicate_reported_at_ >= duplicate_report_interval) {
        own_duplicate_reported_at_ = now();
        add_event(membership_event_kind::duplicate_id, received.info);
    }
    if (received.level == wire::ALIVE || received.refutation < refutation_) return;
    refutation_ = received.refutation + 1;
    ++counters_.refutations;
    queue_update(self_.id, false);
    next_gossip_ = now();
}

// Queues a ping to a member whose state differs between two views. The ping carries the disputed state, and the member
// refutes it if it is alive.
void membership::impl::queue_check(peer& item) {
    if (now() - item.last_check < dispute_check_interval || disputed_members_.size() >= max_queued_checks) return;
    item.last_check = now();
    disputed_members_.push_back(item.info.id);
}

void membership::impl::expire_members() {
    if (now() < next_expiry_) return;
    next_expiry_ = now() + expiry_interval;
    std::vector<member_id> expired_members;
    for (auto& [id, item] : peers_) {
        if (item.level == wire::SUSPECT && now() >= item.suspect_until) set_level(item, wire::DEAD, item.refutation);
        if (item.level == wire::SUSPECT) next_expiry_ = std::min(next_expiry_, item.suspect_until);
        if (item.level == wire::DEAD && now() - item.level_since >= settings_.forget_after)
            expired_members.push_back(id);
    }
    for (const member_id id : expired_members)
        peers_.erase(id);
    if (!expired_members.empty()) handle_view_change();
    std::erase_if(forwarded_pings_, [this](const forwarded_ping& item) { return now() >= item.expires_at; });
}

// Updates the record of the sender: the message proves that it is alive under this incarnation. Returns false if the
// sender is a superseded process.
bool membership::impl::record_sender(const envelope& message, const wire::Gossip& gossip,
                                     const endpoint& sender_endpoint) {
    peer* existing = find_peer(message.sender);
    if (existing == nullptr) return true;
    if (message.incarnation < existing->info.incarnation) return false;
    if (message.incarnation > existing->info.incarnation) {
        // Its record will be requested; until it arrives, the addresses of the previous incarnation are the best guess.
        member_record received{existing->info, gossip.refutation(), wire::ALIVE, gossip.leaving(), true, {}};
        received.info.incarnation = message.incarnation;
        received.info.control = sender_endpoint;
        start_incarnation(*existing, received);
        existing->has_provisional_addresses = true;
        updates_[message.sender].has_addresses = false;
    }
    apply_same_incarnation(*existing, {existing->info, gossip.refutation(), wire::ALIVE, gossip.leaving(), false, {}},
                           message.sender, true);
    existing->revision = std::max(existing->revision, gossip.revision());
    return true;
}

//----------------------------------------------------------------------------------------------------------------------
// Messages
//----------------------------------------------------------------------------------------------------------------------

std::uint32_t membership::impl::random_nonce() {
    const auto nonce = static_cast<std::uint32_t>(random_());
    return nonce != 0 ? nonce : 1;
}

wire::MemberRecord membership::impl::record_of(const peer& item, bool with_addresses) const {
    wire::MemberRecord wire;
    wire.set_id(item.info.id);
    wire.set_life(item.info.incarnation);
    wire.set_refutation(item.refutation);
    wire.set_level(item.level);
    wire.set_leaving(item.leaving);
    if (item.level == wire::SUSPECT) {
        const duration suspected_for = settings_.suspicion_time - (item.suspect_until - now());
        const auto     tenths = std::max(duration::zero(), suspected_for) / std::chrono::milliseconds(100);
        wire.set_suspected_for(static_cast<std::uint32_t>(tenths));
    }
    if (with_addresses && !item.has_provisional_addresses) encode_addresses(item.info, wire);
    return wire;
}

wire::MemberRecord membership::impl::record_of_self(bool with_addresses) const {
    wire::MemberRecord wire;
    wire.set_id(self_.id);
    wire.set_life(self_.incarnation);
    wire.set_refutation(refutation_);
    wire.set_level(has_departed_ ? wire::DEAD : wire::ALIVE);
    wire.set_leaving(self_.state == member_state::leaving);
    if (with_addresses) encode_addresses(self_, wire);
    return wire;
}

// Adds the record unless the message would become too long.
bool membership::impl::add_update(wire::Gossip& gossip, std::size_t& size, member_id id, bool with_addresses) const {
    wire::MemberRecord record;
    if (id == self_.id) {
        record = record_of_self(with_addresses);
    } else {
        const auto found = peers_.find(id);
        if (found == peers_.end()) return true;
        record = record_of(found->second, with_addresses);
    }
    const std::size_t new_size = size + record.ByteSizeLong() + 3; // tag and length
    if (new_size > max_control_payload) return false;
    size = new_size;
    *gossip.add_updates() = std::move(record);
    return true;
}

wire::Gossip membership::impl::compose_updates(member_id recipient, member_id subject, std::size_t limit,
                                               std::vector<member_id>& included_ids) const {
    wire::Gossip gossip;
    std::size_t  size = reserved_message_size;
    // If the recipient or the subject is suspect or dead in this view, the message says so: only then can it refute.
    for (const member_id id : {recipient, subject}) {
        const auto item = peers_.find(id);
        if (item != peers_.end() && item->second.level != wire::ALIVE) add_update(gossip, size, id, false);
    }
    std::vector<std::pair<unsigned, member_id>> candidates;
    for (const auto& [id, item] : updates_)
        if (id != recipient) candidates.emplace_back(item.send_count, id);
    const std::size_t taken = std::min(candidates.size(), limit);
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(taken), candidates.end());
    for (std::size_t i = 0; i < taken; ++i) {
        const member_id id = candidates[i].second;
        if (!add_update(gossip, size, id, updates_.at(id).has_addresses)) break;
        included_ids.push_back(id);
    }
    return gossip;
}

bool membership::impl::send(message_type type, message_priority priority, wire::Gossip& gossip, member_id recipient,
                            const endpoint& destination) {
    update_digest();
    gossip.set_refutation(refutation_);
    gossip.set_leaving(self_.state == member_state::leaving);
    gossip.set_revision(revision_);
    gossip.set_digest(digest_);
    gossip.set_joining(is_joining_);
    const std::string payload = gossip.SerializeAsString();
    auto              sealed = channel_->seal(type, priority, std::as_bytes(std::span(payload)), recipient);
    if (sealed.has_error()) {
        ++counters_.not_sent;
        return false;
    }
    const auto size = static_cast<double>(sealed.value().size() + datagram_overhead);
    if (type == message_type::membership_updates) gossip_budget_.take(size, now());
    if (type == message_type::membership_records) transfer_budget_.take(size, now());
    datagrams_.push_back({destination, std::move(sealed.value())});
    return true;
}

bool membership::impl::send_with_updates(message_type type, message_priority priority, const wire::Gossip& fields,
                                         member_id recipient, const endpoint& destination) {
    // When the budget is low, messages carry no updates, so that the balancer can still ping and acknowledge.
    const bool             has_ample_budget = channel_->has_budget(message_priority::normal, min_updates_budget);
    std::vector<member_id> included_ids;
    wire::Gossip           gossip =
        compose_updates(recipient, fields.about(), has_ample_budget ? settings_.updates_per_message : 0, included_ids);
    gossip.MergeFrom(fields);
    if (!send(type, priority, gossip, recipient, destination)) return false;
    for (const member_id id : included_ids)
        count_send(id);
    return true;
}

void membership::impl::count_send(member_id id) {
    const auto found = updates_.find(id);
    if (found != updates_.end() && ++found->second.send_count >= max_update_sends) updates_.erase(found);
}

bool membership::impl::receive(const envelope& message, const endpoint& sender_endpoint) {
    detect_pause();
    if (has_departed_) return true;
    const auto   latest_time = std::chrono::floor<std::chrono::milliseconds>(time_->wall_now() + max_clock_difference);
    const auto   latest_incarnation = static_cast<incarnation_number>(latest_time.time_since_epoch().count());
    wire::Gossip gossip;
    if (message.incarnation > latest_incarnation ||
        !gossip.ParseFromArray(message.payload.data(), static_cast<int>(message.payload.size()))) {
        ++counters_.malformed;
        return false;
    }
    const auto version_before = version_;

    const bool is_transfer = message.type == message_type::membership_records;
    for (const auto& update : gossip.updates()) {
        const auto received = decode(update, latest_incarnation);
        if (received) {
            apply(*received, message.sender, is_transfer);
        } else {
            ++counters_.malformed;
        }
    }
    if (!record_sender(message, gossip, sender_endpoint)) {
        receive_superseded({open_error::superseded, message.sender, message.incarnation}, sender_endpoint);
        return true;
    }
    compare_digest(gossip, sender_endpoint);
    switch (message.type) {
    case message_type::ping:
        handle_ping(message, gossip, sender_endpoint);
        return true;
    case message_type::ping_request:
        handle_ping_request(message, gossip);
        return true;
    case message_type::acknowledgement:
        handle_acknowledgement(message, gossip);
        break;
    case message_type::membership_request:
        answer_request(message, gossip, sender_endpoint);
        return true;
    case message_type::membership_records:
        // Another answer may bring the rest. If this one brought nothing new, the members that differ are just
        // changing, and waiting is better.
        if (version_ != version_before) next_transfer_ = std::min(next_transfer_, now() + followup_transfer_interval);
        return true;
    default:
        break;
    }
    exchange_records(message, gossip, sender_endpoint);
    return true;
}

// Sends this balancer's record if requested, and requests the sender's record if it is unknown.
void membership::impl::exchange_records(const envelope& message, const wire::Gossip& gossip,
                                        const endpoint& sender_endpoint) {
    wire::Gossip fields;
    // A joining balancer does not request single records: it gets all of them by transfers.
    fields.set_want_record(lacks_record(message.sender) && !is_joining_);
    if (gossip.want_record()) *fields.add_updates() = record_of_self(true);
    if (!fields.want_record() && !gossip.want_record()) return;
    if (send_with_updates(message_type::membership_updates, message_priority::high, fields, message.sender,
                          sender_endpoint)) {
        ++counters_.updates_messages_sent;
    }
}

bool membership::impl::lacks_record(member_id id) {
    const peer* existing = find_peer(id);
    return existing == nullptr || existing->has_provisional_addresses;
}

void membership::impl::receive_superseded(const open_failure& failure, const endpoint& sender_endpoint) {
    detect_pause();
    peer* existing = find_peer(failure.sender);
    if (existing == nullptr || has_departed_ || failure.incarnation >= existing->info.incarnation) return;
    // A single late datagram of a replaced process is harmless. One that was sent long after the replacement shows that
    // the process still runs, which is reported.
    if (failure.is_fresh && failure.newest_incarnation_age > max_datagram_delay &&
        now() - existing->last_duplicate_report >= duplicate_report_interval) {
        existing->last_duplicate_report = now();
        add_event(membership_event_kind::duplicate_id, existing->info);
    }
    if (now() - existing->last_notice < superseded_notice_interval) return;
    existing->last_notice = now();
    wire::Gossip notice;
    *notice.add_updates() = record_of(*existing, false);
    if (send(message_type::membership_updates, message_priority::normal, notice, failure.sender, sender_endpoint)) {
        ++counters_.updates_messages_sent;
    }
}

// Adds the records of some members that a joining balancer can contact next, so that it asks the seeds only once.
void membership::impl::add_introductions(wire::Gossip& gossip) {
    for (const member_id id : pick_live_peers(introduced_members, 0))
        *gossip.add_updates() = record_of(peers_.at(id), true);
}

void membership::impl::handle_ping(const envelope& message, const wire::Gossip& gossip,
                                   const endpoint& sender_endpoint) {
    wire::Gossip fields;
    fields.set_nonce(gossip.nonce());
    fields.set_want_record(lacks_record(message.sender));
    if (gossip.want_record()) {
        *fields.add_updates() = record_of_self(true);
        add_introductions(fields);
    }
    // Answers to joining balancers have a budget of their own: many that join at once must not use up the budget that
    // failure detection needs.
    const bool is_join_request = gossip.want_record();
    if (is_join_request && !join_budget_.take(join_answer_size, now())) return;
    const bool was_sent = is_join_request ? send(message_type::acknowledgement, message_priority::high, fields,
                                                 message.sender, sender_endpoint)
                                          : send_with_updates(message_type::acknowledgement, message_priority::urgent,
                                                              fields, message.sender, sender_endpoint);
    if (was_sent) ++counters_.acknowledgements_sent;
}

void membership::impl::handle_ping_request(const envelope& message, const wire::Gossip& gossip) {
    const peer* target = find_peer(gossip.about());
    if (target == nullptr || forwarded_pings_.size() >= max_forwarded_pings) return;
    const forwarded_ping item{random_nonce(), gossip.nonce(), message.sender, gossip.about(),
                              now() + forwarded_ping_lifetime};
    wire::Gossip         fields;
    fields.set_nonce(item.nonce);
    if (!send_with_updates(message_type::ping, message_priority::high, fields, item.target, target->info.control))
        return;
    ++counters_.pings_sent;
    forwarded_pings_.push_back(item);
}

void membership::impl::handle_acknowledgement(const envelope& message, const wire::Gossip& gossip) {
    const auto forwarded = std::ranges::find(forwarded_pings_, gossip.nonce(), &forwarded_ping::nonce);
    if (forwarded != forwarded_pings_.end() && forwarded->target == message.sender) {
        const peer*  requester = find_peer(forwarded->requester);
        wire::Gossip fields;
        fields.set_nonce(forwarded->requester_nonce);
        fields.set_about(forwarded->target);
        if (requester != nullptr) {
            send_with_updates(message_type::acknowledgement, message_priority::high, fields, forwarded->requester,
                              requester->info.control);
        }
        forwarded_pings_.erase(forwarded);
        return;
    }
    const auto      found = std::ranges::find(probes_, gossip.nonce(), &probe::nonce);
    const member_id responder = gossip.about() != 0 ? gossip.about() : message.sender;
    if (found == probes_.end() || (found->target != 0 && found->target != responder)) return;
    probes_.erase(found);
    is_acknowledged_ = true;
}

//----------------------------------------------------------------------------------------------------------------------
// Pings
//----------------------------------------------------------------------------------------------------------------------

std::vector<member_id> membership::impl::pick_live_peers(std::size_t count, member_id except) {
    std::vector<member_id> picked;
    std::ranges::sample(live_peers_, std::back_inserter(picked), static_cast<std::ptrdiff_t>(count + 1), random_);
    std::ranges::shuffle(picked, random_);
    std::erase(picked, except);
    if (picked.size() > count) picked.resize(count);
    return picked;
}

// Every other ping goes to the successor on the ring, so each member is pinged at least every two ping intervals. With
// random targets alone, one member in 150 would not be pinged within 2.5 s.
member_id membership::impl::next_target() {
    is_successor_next_ = !is_successor_next_;
    if (is_successor_next_ && successor_ != 0) return successor_;
    while (true) {
        if (next_ping_index_ >= ping_order_.size()) {
            ping_order_ = live_peers_;
            std::ranges::shuffle(ping_order_, random_);
            next_ping_index_ = 0;
            if (ping_order_.empty()) return 0;
        }
        const member_id id = ping_order_[next_ping_index_++];
        const peer*     item = find_peer(id);
        if (item != nullptr && item->level != wire::DEAD) return id;
    }
}

void membership::impl::start_probe(member_id target, const endpoint& destination, bool detects_failure) {
    if (probes_.size() >= max_probes) return;
    if (detects_failure &&
        std::ranges::any_of(probes_, [=](const probe& p) { return p.detects_failure && p.target == target; }))
        return;
    probe        item{random_nonce(),  target,
               detects_failure, 1,
               now(),           now() + (detects_failure ? settings_.attempt_interval : best_effort_ping_lifetime)};
    wire::Gossip fields;
    fields.set_nonce(item.nonce);
    fields.set_want_record(target == 0);
    if (!send_with_updates(message_type::ping, message_priority::urgent, fields, target, destination)) return;
    ++counters_.pings_sent;
    probes_.push_back(item);
}

// Repeats the ping, directly and through other members.
void membership::impl::repeat_ping(probe& item) {
    const peer* target = find_peer(item.target);
    ++item.attempts;
    item.next_attempt = now() + settings_.attempt_interval;
    wire::Gossip fields;
    fields.set_nonce(item.nonce);
    if (!send_with_updates(message_type::ping, message_priority::urgent, fields, item.target, target->info.control)) {
        item.detects_failure = false; // a ping that was not sent can't be acknowledged
        return;
    }
    ++counters_.pings_sent;
    fields.set_about(item.target);
    for (const member_id id : pick_live_peers(settings_.indirect_members, item.target)) {
        if (send_with_updates(message_type::ping_request, message_priority::high, fields, id,
                              peers_.at(id).info.control)) {
            ++counters_.ping_requests_sent;
        }
    }
}

// True if the probe is finished.
bool membership::impl::advance_probe(probe& item) {
    if (now() < item.next_attempt) return false;
    peer* target = find_peer(item.target);
    if (!item.detects_failure || target == nullptr || target->level == wire::DEAD) return true;
    if (item.attempts < settings_.attempts) {
        repeat_ping(item);
        return false;
    }
    if (target->level == wire::ALIVE) {
        ++counters_.suspicions;
        mark_suspect(*target, target->refutation, now() - item.started);
        next_gossip_ = now();
    }
    return true;
}

void membership::impl::ping_seeds(std::size_t count) {
    std::vector<endpoint> unknown_seeds;
    for (const endpoint& seed : settings_.seeds) {
        const bool is_known =
            std::ranges::any_of(live_peers_, [&](member_id id) { return peers_.at(id).info.control == seed; });
        if (!is_known && seed != self_.control) unknown_seeds.push_back(seed);
    }
    std::ranges::shuffle(unknown_seeds, random_);
    if (unknown_seeds.size() > count) unknown_seeds.resize(count);
    for (const endpoint& seed : unknown_seeds)
        start_probe(0, seed, false);
}

void membership::impl::ping_next_member() {
    if (now() < next_ping_) return;
    const bool is_starting = !is_acknowledged_ && now() - awake_since_ < startup_duration;
    next_ping_ = now() + (is_starting ? startup_ping_interval : settings_.ping_interval);
    const member_id target = next_target();
    if (target != 0) start_probe(target, peers_.at(target).info.control, true);
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
    start_probe(id, peers_.at(id).info.control, false);
}

void membership::impl::run_checks() {
    for (std::size_t i = 0; i < checks_per_tick && !disputed_members_.empty(); ++i) {
        const peer* item = find_peer(disputed_members_.front());
        disputed_members_.pop_front();
        if (item != nullptr) start_probe(item->info.id, item->info.control, item->level != wire::DEAD);
    }
}

void membership::impl::gossip_changes() {
    if (now() < next_gossip_) return;
    next_gossip_ = now() + settings_.gossip_interval;
    const bool has_new_updates =
        std::ranges::any_of(updates_, [](const auto& item) { return item.second.send_count < max_gossip_sends; });
    if (!has_new_updates) return;
    for (const member_id id : pick_live_peers(settings_.gossip_peers, 0)) {
        const endpoint destination = peers_.at(id).info.control;
        if (gossip_budget_.available(now()) < min_updates_budget) return;
        if (!send_with_updates(message_type::membership_updates, message_priority::normal, {}, id, destination)) return;
        ++counters_.updates_messages_sent;
    }
}

void membership::impl::tick() {
    detect_pause();
    if (has_departed_) return;
    expire_members();
    std::erase_if(probes_, [this](probe& item) { return advance_probe(item); });
    if (live_peers_.empty() && now() - awake_since_ >= settings_.alone_after) is_acknowledged_ = true;
    ping_next_member();
    ping_dead();
    run_checks();
    request_members();
    gossip_changes();
}

void membership::impl::leave() {
    if (has_departed_ || self_.state == member_state::leaving) return;
    self_.state = member_state::leaving;
    ++refutation_;
    queue_update(self_.id, false);
    next_gossip_ = now();
    handle_view_change();
}

void membership::impl::depart() {
    if (has_departed_) return;
    leave();
    has_departed_ = true;
    wire::Gossip departure;
    *departure.add_updates() = record_of_self(false);
    for (const member_id id : pick_live_peers(2 * settings_.gossip_peers, 0)) {
        wire::Gossip copy = departure;
        if (!send(message_type::membership_updates, message_priority::high, copy, id, peers_.at(id).info.control))
            break;
        ++counters_.updates_messages_sent;
    }
}

//----------------------------------------------------------------------------------------------------------------------
// Transfer of members
//----------------------------------------------------------------------------------------------------------------------

// The digest excludes suspicions and refutations, which change faster than digests can be compared.
void membership::impl::update_digest() {
    if (digest_version_ == version_) return;
    digest_version_ = version_;
    group_digests_.fill(0);
    const auto add = [this](const member& info, bool leaving) {
        const std::array<std::uint64_t, 3> fields = {info.id, info.incarnation, leaving ? 1U : 0U};
        group_digests_.at(info.id % group_count) ^=
            static_cast<std::uint32_t>(XXH3_64bits(fields.data(), sizeof fields));
    };
    add(self_, self_.state == member_state::leaving);
    for (const auto& [id, item] : peers_)
        if (item.level != wire::DEAD) add(item.info, item.leaving);
    digest_ = static_cast<std::uint32_t>(XXH3_64bits(group_digests_.data(), sizeof group_digests_));
}

void membership::impl::compare_digest(const wire::Gossip& gossip, const endpoint& sender_endpoint) {
    update_digest();
    if (gossip.digest() == digest_) {
        // An equal digest of another joining balancer proves nothing: both may know the same few members.
        is_joining_ = is_joining_ && gossip.joining();
        digest_matched_at_ = now();
        differing_peer_.reset();
    } else {
        differing_peer_ = sender_endpoint;
    }
}

void membership::impl::request_members() {
    if (!differing_peer_ || now() < next_transfer_) return;
    if (now() - awake_since_ > max_join_duration) is_joining_ = false;
    if (!is_joining_ && now() - digest_matched_at_ < min_mismatch_duration) return;
    next_transfer_ = now() + (is_joining_ ? join_transfer_interval : transfer_interval);
    update_digest();
    wire::Gossip request;
    for (const std::uint32_t group : group_digests_)
        request.add_groups(group);
    if (is_joining_) *request.add_updates() = record_of_self(true);
    // A joining balancer sends its requests to random members, to distribute the load.
    const auto     targets = pick_live_peers(is_joining_ ? 1 : 0, 0);
    const endpoint destination = targets.empty() ? *differing_peer_ : peers_.at(targets.front()).info.control;
    // The id of the peer may still be unknown, so the request has no recipient id.
    if (send(message_type::membership_request, message_priority::high, request, 0, destination))
        ++counters_.requests_sent;
    differing_peer_.reset();
}

void membership::impl::answer_request(const envelope& message, const wire::Gossip& gossip,
                                      const endpoint& sender_endpoint) {
    if (gossip.groups_size() != static_cast<int>(group_count)) {
        ++counters_.malformed;
        return;
    }
    if (transfer_budget_.available(now()) < max_control_datagram + datagram_overhead)
        return; // the requester will ask another member
    update_digest();
    std::vector<member_id> differing;
    const auto             add = [&](member_id id) {
        const auto group = id % group_count;
        if (gossip.groups(static_cast<int>(group)) != group_digests_.at(group) && id != message.sender)
            differing.push_back(id);
    };
    add(self_.id);
    for (const auto& [id, item] : peers_)
        add(id);
    // Not all records may fit. The random order lets several answers bring all of them.
    std::ranges::shuffle(differing, random_);
    wire::Gossip answer;
    std::size_t  size = 64; // upper bound for the other fields
    for (const member_id id : differing)
        if (!add_update(answer, size, id, id == self_.id || peers_.at(id).level != wire::DEAD)) break;
    if (send(message_type::membership_records, message_priority::normal, answer, message.sender, sender_endpoint)) {
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

bool membership::receive(const envelope& message, const endpoint& sender_endpoint) {
    return impl_->receive(message, sender_endpoint);
}

void membership::receive_superseded(const open_failure& failure, const endpoint& sender_endpoint) {
    impl_->receive_superseded(failure, sender_endpoint);
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
        all.push_back(item.info);
    std::ranges::sort(all, {}, &member::id);
    return all;
}

const member* membership::find(member_id id) const {
    if (id == impl_->self_.id) return &impl_->self_;
    const auto found = impl_->peers_.find(id);
    return found == impl_->peers_.end() ? nullptr : &found->second.info;
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
    for (const member_id id : impl_->live_peers_) {
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
    std::ranges::sample(impl_->live_peers_, std::back_inserter(ids), static_cast<std::ptrdiff_t>(count),
                        impl_->random_);
    for (const member_id id : ids)
        picked.push_back(impl_->peers_.at(id).info);
    std::ranges::shuffle(picked, impl_->random_);
    return picked;
}

bool membership::is_acknowledged() const {
    return impl_->is_acknowledged();
}

std::optional<incarnation_number> membership::superseded_by() const {
    return impl_->superseded_by_;
}

const membership_counters& membership::counters() const {
    return impl_->counters_;
}

} // namespace tamarack
