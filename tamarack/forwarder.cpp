// The decision for each packet: see docs/design.md section 2.2.
//
// Sections: look-ups and replies; arrival; owner; routes; relay frames of peers; delivery; maintenance; public
// functions.
#include "tamarack/forwarder.h"

#include "tamarack/flow_progress.h"
#include "tamarack/invariant.h"
#include "tamarack/place_sequence.h"
#include "tamarack/refused_syns.h"
#include "tamarack/resilience.h"
#include "tamarack/selection.h"
#include "tamarack/service_index.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace tamarack {

namespace {

constexpr duration    pause_threshold = std::chrono::seconds(1); // without a packet or a call of tick
constexpr std::size_t max_learned_tunnels = 1'024;
constexpr std::size_t slots_per_tick = 8'192;               // of the flow table, looked at for expiry
constexpr std::size_t slots_per_collection = 16'384;        // looked at for replication
constexpr duration    quiet_time = std::chrono::seconds(1); // without a packet: replicated over the control channel

struct key_hash {
    std::size_t operator()(const flow_key& key) const { return key.low; }
};

// New flows a second, by service or backend server.
template <typename Id>
using new_flow_rates = std::unordered_map<Id, token_bucket>;

// A packet on its way through the decision.
struct packet_context {
    packet_info    info;
    byte_view      inner;
    flow_key       key;
    holders        responsible;
    endpoint       fabric;
    std::uint8_t   hops = 0;   // taken so far
    member_id      sender = 0; // of the relay frame; 0: from the fabric
    steady_time    now{};
    action_buffer* out = nullptr;

    bool starts_flow() const { return info.flow.protocol == transport::udp || info.syn; }
    bool changes_state() const { return info.syn || info.fin || info.rst; }
};

// What a peer offers along with a packet.
using offered_placement = const placement_record*; // null: nothing

// Stands for a holder that is not known, or is not to be relied on.
constexpr std::uint32_t unknown_holder = 1;

} // namespace

class forwarder::impl {
public:
    impl(const forwarder_settings& settings, const clock& time)
        : settings_(settings), time_(time), table_(settings.table),
          replies_(settings.replies_per_second, settings.replies_per_second, time.steady_now()),
          started_(time.steady_now()), last_active_(started_), sequences_(life_token(settings.self, settings.life)) {}

    void publish(std::shared_ptr<const forwarding_state> state) {
        const revision_number revision = state->services->revision;
        check(invariant::revision_monotonic, !state_ || revision >= state_->services->revision,
              "published configuration");
        if (paused_ && state->may_place && state->built > paused_at_) paused_ = false;
        state_ = std::move(state);
        index_.emplace(*state_);
        const auto known = std::move(members_);
        members_.clear();
        live_tokens_.clear();
        for (member item : state_->members) {
            const auto found = known.find(item.id); // frames may have told a newer life than the control thread knows
            if (found != known.end()) item.life = std::max(item.life, found->second.life);
            note_member(item);
        }
        for (const auto& item : state_->members)
            sequences_.note_life(item.id, item.life);
        if (revision >= newest_revision_.revision) newest_revision_ = {revision, 0};
    }

    void receive_from_fabric(byte_view udp_payload, const endpoint& fabric, action_buffer& out) {
        ++counters_.packets_from_fabric;
        const steady_time now = time_.steady_now();
        if (!ready(now)) return;
        const auto inner = decapsulate(udp_payload);
        if (!inner.has_value()) return count_malformed(inner.error());
        const auto info = parse_packet(inner.value());
        if (!info.has_value()) return count_malformed(info.error());
        packet_context packet = make_context(info.value(), inner.value(), fabric, now, out);
        arrive(packet, nullptr);
    }

    void receive_from_peer(byte_view datagram, action_buffer& out) {
        ++counters_.packets_from_peers;
        const steady_time now = time_.steady_now();
        if (!ready(now)) return;
        const auto frame = parse_relay_frame(datagram, settings_.keys);
        if (!frame.has_value()) {
            ++counters_.frames_rejected;
            return;
        }
        const relay_header& header = frame.value().header;
        if (!accept_sender(header)) return;
        learn_tunnel(header.placement);
        if (header.kind == relay_kind::adopt) return receive_adopt(header, now);
        const auto info = parse_packet(frame.value().inner);
        if (!info.has_value()) return count_malformed(info.error());
        packet_context packet = make_context(info.value(), frame.value().inner, header.fabric, now, out);
        if (packet.key != header.flow) {
            ++counters_.frames_rejected; // another hash seed, or a packet that is not the one of the header
            return;
        }
        packet.hops = header.hops;
        packet.sender = header.sender;
        receive_packet(packet, header);
    }

    void tick(action_buffer&) {
        const steady_time now = time_.steady_now();
        note_gap(now);
        if (!state_) return;
        table_.expire(now, slots_per_tick, &protocol_of, this);
        check(invariant::table_cap, table_.size() <= table_.capacity());
        counters_.evictions = table_.evictions();
    }

    //------------------------------------------------------------------------------------------------------------------
    // Look-ups and replies
    //------------------------------------------------------------------------------------------------------------------

    // False while nothing may be decided: before the first state, and after a pause until the control thread has
    // published a state in which a peer has acknowledged this balancer again.
    bool ready(steady_time now) {
        note_gap(now);
        if (paused_) ++counters_.dropped_paused;
        return state_ != nullptr && !paused_;
    }

    void note_gap(steady_time now) {
        const duration gap = now - last_active_;
        last_active_ = now;
        if (gap <= pause_threshold) return;
        paused_ = true;
        paused_at_ = now;
        resumed_ticks_ = flow_table::ticks_of(now);
    }

    void count_malformed(packet_error error) {
        ++(error == packet_error::fragment ? counters_.packets_fragment : counters_.packets_malformed);
    }

    packet_context make_context(const packet_info& info, byte_view inner, const endpoint& fabric, steady_time now,
                                action_buffer& out) const {
        packet_context packet;
        packet.info = info;
        packet.inner = inner;
        packet.key = make_flow_key(info.flow, settings_.hash_seed);
        packet.responsible = state_->owners.present->of(bucket_of(packet.key));
        packet.fabric = fabric;
        packet.now = now;
        packet.out = &out;
        return packet;
    }

    void note_member(const member& item) {
        members_[item.id] = item;
        if (item.id != settings_.self) live_tokens_.insert(life_token(item.id, item.life));
    }

    // A placement held by a process that has restarted must not count as held.
    std::uint32_t token_of(member_id id) const {
        const member* known = peer(id);
        return known == nullptr ? 0 : life_token(id, known->life);
    }

    const member* peer(member_id id) const {
        const auto found = members_.find(id);
        return found == members_.end() ? nullptr : &found->second;
    }

    bool reachable(member_id id) const { return id != 0 && id != settings_.self && peer(id) != nullptr; }

    // The placement held for the packet's flow; an expired one is erased.
    placement* find(const packet_context& packet) {
        placement* item = held(packet.key);
        if (item == nullptr || !table_.expired(*item, packet.info.flow.protocol, packet.now)) return item;
        table_.erase(packet.key);
        return nullptr;
    }

    placement* held(const flow_key& key) {
        placement* item = table_.find(key);
        if (item != nullptr) doubt_after_pause(*item);
        return item;
    }

    // Others may have placed the flow anew while this process was paused: theirs wins.
    void doubt_after_pause(placement& item) const {
        if (resumed_ticks_ == 0 || static_cast<std::int32_t>(item.last_seen - resumed_ticks_) >= 0) return;
        item.other_holder = 0;
        item.pending_holder = 0;
        item.place_sequence = unsent_place_sequence;
        item.doubtful = true;
    }

    // A balancer that holds the same placement has said so.
    static void confirm(placement& item, std::uint32_t holder) {
        item.other_holder = holder;
        item.doubtful = false;
    }

    static transport protocol_of(service_id id, const void* context) {
        const auto*    self = static_cast<const impl*>(context);
        const service* found = self->index_->service_by_id(id);
        return found == nullptr ? transport::tcp : found->protocol;
    }

    std::optional<endpoint> tunnel_of(backend_server_id id) const {
        if (const indexed_server* found = index_->server(id)) return found->server->tunnel;
        const auto learned = learned_tunnels_.find(id);
        if (!index_->knows_ids_up_to(id) && learned != learned_tunnels_.end()) return learned->second;
        return std::nullopt;
    }

    // Remembers the address of a backend server that only a newer revision names.
    void learn_tunnel(const placement_record& record) {
        if (record.backend_server == 0 || index_->knows_ids_up_to(record.backend_server)) return;
        if (learned_tunnels_.size() >= max_learned_tunnels) learned_tunnels_.clear();
        learned_tunnels_[record.backend_server] = record.tunnel;
    }

    placement_record record_of(const placement& item) const {
        placement_record record;
        record.backend_server = item.backend_server;
        record.service = item.service;
        record.tunnel = tunnel_of(item.backend_server).value_or(endpoint{});
        record.generation = item.generation;
        record.retried = item.place_sequence != 0 || item.other_holder != 0 || item.state != flow_state::half_open;
        record.established = item.other_holder != 0;
        record.doubtful = item.doubtful;
        record.state = item.state;
        if (item.state != flow_state::established) record.sequence_mark = item.sequence_mark();
        return record;
    }

    // Time for which the ranking of the bucket has stayed the same, as far as the kept views tell.
    bool settled(const packet_context& packet) const {
        if (state_->partition_suspected) return false;
        if (packet.now - started_ < settings_.reset_grace || packet.now < state_->no_reset_before) return false;
        // Another balancer may have acted on a view that is still changing, even if this bucket's holders stay the same
        // here.
        return packet.now - state_->owners.present_since >= settings_.settle_time;
    }

    bool recently_changed(const packet_context& packet) const {
        const std::size_t bucket = bucket_of(packet.key);
        for (const auto& entry : state_->owners.previous) {
            if (packet.now - entry.replaced >= settings_.settle_time) continue;
            if (entry.ranking->of(bucket) != packet.responsible) return true;
        }
        return false;
    }

    void send_to_caller(const packet_context& packet, byte_view reply) {
        const auto header = make_gue_header(packet.info.flow.source.address.is_v4());
        packet.out->add(action_kind::reply_to_caller, packet.fabric, header, reply);
    }

    // A RST, or for UDP an ICMP error. The kind of event is counted by the callers of this function.
    bool answer_caller(const packet_context& packet) {
        if (packet.fabric.port == 0 || packet.info.icmp_error) return false;
        if (!replies_.take(1.0, packet.now)) {
            ++counters_.replies_suppressed;
            return false;
        }
        scratch_.clear();
        if (packet.info.flow.protocol == transport::tcp) {
            append_tcp_reset(packet.info, scratch_);
        } else {
            append_port_unreachable(packet.inner, packet.info, scratch_);
        }
        if (!scratch_.empty()) send_to_caller(packet, scratch_);
        return true;
    }

    // Nothing of the flow has been forwarded by anybody on the route.
    void refuse(const packet_context& packet) {
        check(invariant::refused_never_forwarded, table_.find(packet.key) == nullptr, "refusal of a placed flow");
        if (index_->service_at(packet.info.flow.protocol, packet.info.flow.destination) == nullptr)
            ++counters_.no_service;
        // Without a configuration this is a question, not a decision: the second holder chooses or refuses.
        const bool decided = state_->services->revision > 0;
        if (decided && packet.info.syn && !refusals_.remember(packet.key, packet.info.sequence, packet.now)) return;
        if (answer_caller(packet)) ++counters_.flows_refused;
    }

    bool refused_before(const packet_context& packet) {
        return packet.info.syn && refusals_.contains(packet.key, packet.info.sequence, packet.now);
    }

    //------------------------------------------------------------------------------------------------------------------
    // Arrival
    //------------------------------------------------------------------------------------------------------------------

    // From the fabric, or from a peer that takes this balancer for the owner.
    void arrive(packet_context& packet, offered_placement offered) {
        const member_id owner = packet.responsible.owner();
        placement*      item = find(packet);
        if (owner == settings_.self || owner == 0) return handle_as_owner(packet, item, offered);
        // The sender takes this balancer for the owner and this one takes the sender: one of them has to decide.
        if (packet.sender == owner) return handle_as_owner(packet, item, offered);
        if (item != nullptr && may_deliver_as_second(packet, *item)) return deliver_placed(packet, *item);
        if (!reachable(owner)) return handle_as_owner(packet, item, offered);
        relay_to_owner(packet, item, offered);
    }

    // Both holders must see a packet now and then, or the copy of the one that sees none expires. The first packet in
    // each quarter of the idle timeout goes through both.
    bool refresh_due(const packet_context& packet, const placement& item) const {
        const bool udp = packet.info.flow.protocol == transport::udp;
        const auto timeout = udp ? settings_.table.udp_idle_timeout : settings_.table.idle_timeout;
        const auto quarter = std::max<std::int64_t>(1, timeout / 4 / flow_table::tick_length);
        return flow_table::ticks_of(packet.now) / quarter != item.last_seen / quarter;
    }

    bool may_deliver_as_second(const packet_context& packet, const placement& item) const {
        if (packet.responsible.second != settings_.self || packet.changes_state()) return false;
        if (refresh_due(packet, item)) return false;
        // Another owner than the one that shares this placement must learn it from an offer, and the one that does must
        // learn its state.
        return item.state == flow_state::established && item.place_sequence == 0 && item.other_holder != 0 &&
               item.other_holder == token_of(packet.responsible.owner());
    }

    void relay_to_owner(packet_context& packet, placement* item, offered_placement offered) {
        relay_header header = make_header(packet, relay_kind::forward, packet.responsible.owner());
        if (item != nullptr && !starts_anew(*item, packet.info) && tunnel_of(item->backend_server)) {
            update_state(packet, *item);
            header.kind = relay_kind::offer;
            header.placement = record_of(*item);
        } else if (offered != nullptr) {
            header.kind = relay_kind::offer;
            header.placement = *offered;
        }
        send_frame(packet, header, packet.responsible.owner(), packet.inner);
    }

    relay_header make_header(const packet_context& packet, relay_kind kind, member_id to) const {
        relay_header header;
        header.kind = kind;
        header.sender = settings_.self;
        header.sender_life = settings_.life;
        header.hops = static_cast<std::uint8_t>(packet.hops + 1);
        header.acknowledgement = sequences_.acknowledgement_for(to);
        header.revision = state_->services->revision;
        header.flow = packet.key;
        header.fabric = packet.fabric;
        return header;
    }

    void send_frame(const packet_context& packet, const relay_header& header, member_id to, byte_view inner) {
        if (header.hops > max_relay_hops) {
            ++counters_.hops_exceeded;
            return;
        }
        const member* target = reachable(to) ? peer(to) : nullptr;
        if (target == nullptr) {
            ++counters_.dropped_unreachable;
            return;
        }
        scratch_.clear();
        append_relay_frame(header, inner, settings_.keys, scratch_);
        packet.out->add(action_kind::relay, target->relay, scratch_, {});
        ++counters_.packets_relayed;
    }

    //------------------------------------------------------------------------------------------------------------------
    // Owner
    //------------------------------------------------------------------------------------------------------------------

    void handle_as_owner(packet_context& packet, placement* item, offered_placement offered) {
        if (offered != nullptr) item = take_offer(packet, item, *offered);
        if (item != nullptr && refused_before(packet)) {
            ++counters_.dropped_refused; // late copy; the flow's placement is of a later SYN
            return;
        }
        if (item == nullptr) {
            if (packet.info.icmp_error) return;
            if (packet.starts_flow()) return place_new(packet, 1, 0);
            return look_up(packet);
        }
        if (starts_anew(*item, packet.info)) return reuse_tuple(packet, *item);
        if (backend_is_dead(*item, packet.now)) return end_dead_flow(packet, *item);
        const bool refresh = refresh_due(packet, *item);
        const bool changed = update_state(packet, *item);
        // The second holder follows the state of the flow, and redundancy is restored by the flow's next packet.
        if (refresh || changed || packet.changes_state() || !confirmed(packet, *item))
            return send_through_second(packet, *item);
        deliver_placed(packet, *item);
    }

    // A holder outside the present pair passed its placement on with the packet.
    placement* take_offer(const packet_context& packet, placement* item, const placement_record& offered) {
        if (item == nullptr) return store_offered(packet, offered);
        const bool older = offered.generation < item->generation;
        if (older || offered.backend_server == item->backend_server) return item;
        const bool newer = offered.generation > item->generation;
        const bool firmer = offered.established || (item->doubtful && !offered.doubtful);
        if (newer || (item->other_holder == 0 && firmer)) {
            ++counters_.flows_adopted;
            table_.erase(packet.key);
            return store_offered(packet, offered);
        }
        ++counters_.placement_conflicts;
        return item;
    }

    // Stores a placement that another balancer decided and may have sent on, so that nobody may choose another one.
    placement* store_offered(const packet_context& packet, const placement_record& record) {
        placement value = placement_of(record);
        value.place_sequence = unsent_place_sequence;
        return table_.insert(packet.key, value, packet.now);
    }

    static placement placement_of(const placement_record& record) {
        placement value;
        value.backend_server = record.backend_server;
        value.service = record.service;
        value.generation = record.generation;
        value.state = record.state;
        value.doubtful = record.doubtful;
        value.other_holder = record.established ? unknown_holder : 0;
        value.place_sequence = record.retried ? unsent_place_sequence : 0;
        if (value.state != flow_state::established) value.set_sequence_mark(record.sequence_mark);
        return value;
    }

    // Stores a placement that another balancer decided; null if there is no room.
    placement* store(const packet_context& packet, const placement_record& record, std::uint32_t other_holder) {
        placement value = placement_of(record);
        value.other_holder = other_holder;
        value.place_sequence = 0;
        value.doubtful = false;
        return table_.insert(packet.key, value, packet.now);
    }

    // The 5-tuple of a flow that has ended. The same backend server is kept where it may take new flows, so that a late
    // copy of the first SYN cannot reach another one.
    void reuse_tuple(packet_context& packet, const placement& item) {
        const auto              generation = static_cast<std::uint16_t>(item.generation + 1);
        const backend_server_id preferred = item.backend_server;
        table_.erase(packet.key);
        place_new(packet, generation, preferred);
    }

    bool backend_is_dead(const placement& item, steady_time now) const {
        const indexed_server* found = index_->server(item.backend_server);
        if (found == nullptr) return index_->knows_ids_up_to(item.backend_server);
        // In a cut it may be alive on the other side, where a repeated packet may arrive.
        if (state_->partition_suspected || now < state_->no_reset_before) return false;
        return !found->status.available && now - found->status.out_since >= settings_.dead_server_grace;
    }

    // A SYN is not answered: it may have been forwarded before, and a RST would say that it was not.
    void end_dead_flow(const packet_context& packet, placement& item) {
        if (packet.info.syn || item.state == flow_state::half_open) return;
        if (!answer_caller(packet)) return;
        if (item.state == flow_state::closing) return;
        ++counters_.flows_reset_dead;
        close_flow(item, packet.info);
        table_.touch(item, packet.now);
    }

    // True if the state is another one than before, which no holder has acknowledged.
    bool update_state(const packet_context& packet, placement& item) {
        const bool changed = advance_state(item, packet.info);
        if (changed) {
            item.pending_holder = 0;
            item.place_sequence = unsent_place_sequence;
        }
        table_.touch(item, packet.now);
        return changed;
    }

    // True if the present second holder is known to have the placement in its present state, or there is none.
    bool confirmed(const packet_context& packet, placement& item) const {
        const member_id second = other_of_pair(packet);
        if (!reachable(second)) return true;
        note_acknowledgement(item);
        return item.place_sequence == 0 && item.other_holder == token_of(second);
    }

    // The holder that this balancer shares placements of the bucket with.
    member_id other_of_pair(const packet_context& packet) const {
        const holders& pair = packet.responsible;
        return pair.owner() == settings_.self ? pair.second : pair.owner();
    }

    void place_new(packet_context& packet, std::uint16_t generation, backend_server_id preferred) {
        if (!state_->may_place) {
            ++counters_.dropped_unsettled;
            return;
        }
        const indexed_server* chosen = choose(packet, preferred);
        if (chosen == nullptr) return propose_refusal(packet);
        placement_record record;
        record.backend_server = chosen->server->id;
        record.service = chosen->owner->id;
        record.tunnel = chosen->server->tunnel;
        record.generation = generation;
        if (packet.info.flow.protocol == transport::tcp) {
            record.sequence_mark = packet.info.sequence;
        } else {
            record.state = flow_state::established;
        }
        placement* item = store(packet, record, 0);
        if (item == nullptr) return propose_refusal(packet);
        ++counters_.flows_placed;
        send_along_route(packet, *item, record);
    }

    // Null: the flow is to be refused.
    const indexed_server* choose(const packet_context& packet, backend_server_id preferred) {
        const service* target = index_->service_at(packet.info.flow.protocol, packet.info.flow.destination);
        if (target == nullptr || refused_before(packet)) return nullptr;
        const auto members =
            static_cast<std::uint32_t>(std::max<std::size_t>(1, state_->owners.present->member_count()));
        if (service_at_limit(*target, members, packet.now)) return nullptr;
        const bool            hash_only = state_->partition_suspected || recently_changed(packet);
        const selection_input input{*target, *index_, table_, packet.key, time_.wall_now(), members, hash_only};
        const indexed_server* kept = preferred == 0 ? nullptr : index_->server(preferred);
        const bool            keep = kept != nullptr && kept->owner == target && effective_weight(*kept, input.now) > 0;
        const indexed_server* chosen = keep ? kept : select(settings_.policy, input);
        if (chosen == nullptr ||
            !within_rate(chosen->server->limits, server_rates_, chosen->server->id, members, packet.now))
            return nullptr;
        check(invariant::no_flow_to_draining, chosen->server->state == backend_state::active, chosen->server->name);
        check(invariant::right_service, chosen->owner == target, target->name);
        return chosen;
    }

    // Limits hold for the whole cluster; each balancer applies its share, so that uneven ownership of buckets (about
    // 13% at 267 members) makes them inexact by as much.
    bool service_at_limit(const service& target, std::uint32_t members, steady_time now) {
        const double held = static_cast<double>(table_.service_count(target.id));
        const double share = members < 2 ? 1.0 : 2.0 / members; // each placement is held twice
        if (target.limits.max_flows != 0 && held >= std::max(1.0, target.limits.max_flows * share)) return true;
        return !within_rate(target.limits, service_rates_, target.id, members, now);
    }

    // This balancer's share of the limit, with a burst of one second.
    template <typename Id>
    static bool within_rate(const flow_limits& limits, new_flow_rates<Id>& rates, const Id& id, std::uint32_t members,
                            steady_time now) {
        if (limits.max_new_flows_per_second == 0) return true;
        const double  per_second = static_cast<double>(limits.max_new_flows_per_second) / members;
        const double  burst = std::max(1.0, per_second);
        token_bucket& rate = rates.try_emplace(id, per_second, burst, now).first->second;
        rate.set_rate(per_second, burst, now);
        return rate.take(1.0, now);
    }

    //------------------------------------------------------------------------------------------------------------------
    // Routes
    //------------------------------------------------------------------------------------------------------------------

    struct route {
        std::array<member_id, max_route_length> members{};
        std::uint8_t                            length = 0;

        void add(member_id id) {
            if (length < members.size() && !contains(id)) members[length++] = id;
        }
        bool contains(member_id id) const {
            return std::find(members.begin(), members.begin() + length, id) != members.begin() + length;
        }
    };

    // Holders of the kept views, newest first: one of them may have the placement.
    void add_previous_holders(const packet_context& packet, std::size_t limit, route& path) const {
        const std::size_t bucket = bucket_of(packet.key);
        for (const auto& entry : state_->owners.previous) {
            const holders& pair = entry.ranking->of(bucket);
            for (const member_id id : {pair.owner(), pair.second}) {
                if (path.length >= limit) return;
                if (reachable(id) && id != other_of_pair(packet)) path.add(id);
            }
        }
    }

    // Previous holders, then the second holder as the last one.
    route placing_route(const packet_context& packet, bool is_new) const {
        route           path;
        const member_id last = other_of_pair(packet);
        const bool      has_second = reachable(last);
        if (is_new) add_previous_holders(packet, has_second ? max_route_length - 1 : max_route_length, path);
        if (has_second) path.add(last);
        return path;
    }

    route lookup_route(const packet_context& packet) const {
        route path;
        if (reachable(other_of_pair(packet))) path.add(other_of_pair(packet));
        add_previous_holders(packet, max_route_length, path);
        for (const member_id id : packet.responsible.ranks) {
            if (reachable(id)) path.add(id);
        }
        return path;
    }

    void send_on_route(packet_context& packet, relay_header header, const route& path) {
        header.owner = settings_.self;
        header.owner_life = settings_.life;
        if (header.kind == relay_kind::place) header.last_token = token_of(path.members[path.length - 1U]);
        header.route_length = static_cast<std::uint8_t>(path.length - 1);
        std::copy(path.members.begin() + 1, path.members.begin() + path.length, header.route.begin());
        send_frame(packet, header, path.members[0], packet.inner);
    }

    // A new placement: every balancer that may hold another one for the flow sees it before the second holder records
    // it.
    void send_along_route(packet_context& packet, placement& item, const placement_record& record) {
        const route path = placing_route(packet, true);
        if (path.length == 0) return deliver_placed(packet, item);
        send_place(packet, item, record, path);
    }

    void send_through_second(packet_context& packet, placement& item) {
        const placement_record record = record_of(item);
        if (record.tunnel.port == 0) {
            ++counters_.dropped_unreachable;
            return;
        }
        // Until the second holder has confirmed it, another holder's placement may still win.
        // Former holders learn of the flow's end, so that they do not take a new connection for the old one.
        const bool  ends = packet.info.fin || packet.info.rst;
        const route path = placing_route(packet, !record.established || ends);
        if (path.length == 0) return deliver_placed(packet, item);
        send_place(packet, item, record, path);
    }

    void send_place(packet_context& packet, placement& item, const placement_record& record, const route& path) {
        const member_id last = path.members[path.length - 1U];
        relay_header    header = make_header(packet, relay_kind::place, path.members[0]);
        header.placement = record;
        header.place_sequence = sequences_.next(last);
        item.place_sequence = header.place_sequence;
        item.pending_holder = last;
        send_on_route(packet, header, path);
    }

    // Remembered here too, since the last hop may answer: a later choice for the same SYN would break "not run".
    void propose_refusal(packet_context& packet) {
        // Without a configuration this is a question, not a decision: the second holder chooses or refuses.
        const bool decided = state_->services->revision > 0;
        if (decided && packet.info.syn && !refusals_.remember(packet.key, packet.info.sequence, packet.now)) return;
        const route path = placing_route(packet, true);
        if (path.length == 0 && state_->services->revision == 0) {
            ++counters_.dropped_unsettled; // no configuration has been received yet
            return;
        }
        if (path.length == 0) return refuse(packet);
        send_on_route(packet, make_header(packet, relay_kind::place, path.members[0]), path);
    }

    // The placement of an established flow is not here: ask the other candidates, and reset the flow if nobody has it.
    void look_up(packet_context& packet) {
        const bool  may_reset = settled(packet) && state_->may_place;
        const route path = lookup_route(packet);
        if (path.length == 0) return end_lost_flow(packet, may_reset);
        relay_header header = make_header(packet, relay_kind::lookup, path.members[0]);
        if (!may_reset) header.fabric = {}; // the last hop must not answer
        send_on_route(packet, header, path);
    }

    void end_lost_flow(const packet_context& packet, bool may_reset) {
        if (!may_reset) {
            ++counters_.dropped_unsettled;
            return;
        }
        if (answer_caller(packet)) ++counters_.flows_reset_lost;
    }

    //------------------------------------------------------------------------------------------------------------------
    // Relay frames of peers
    //------------------------------------------------------------------------------------------------------------------

    bool accept_sender(const relay_header& header) {
        const bool routed = header.owner != 0;
        if (header.sender == settings_.self || !accept_life(header.sender, header.sender_life) ||
            (routed && !accept_life(header.owner, header.owner_life))) {
            ++counters_.frames_stale_sender;
            return false;
        }
        const bool last = header.kind == relay_kind::place && header.route_length == 0;
        if (last && header.last_token != life_token(settings_.self, settings_.life)) {
            ++counters_.frames_stale_receiver; // this process knows nothing of what the owner relies on
            return false;
        }
        sequences_.apply(header.sender, header.acknowledgement);
        if (header.revision > newest_revision_.revision)
            newest_revision_ = {header.revision, header.owner != 0 ? header.owner : header.sender};
        return true;
    }

    // False for a life before the one that is known.
    bool accept_life(member_id id, incarnation life) {
        sequences_.note_life(id, life);
        const member* known = peer(id);
        if (known == nullptr || life == known->life) return true;
        if (life < known->life) return false;
        member restarted = *known;
        restarted.life = life;
        live_tokens_.erase(life_token(id, known->life));
        note_member(restarted);
        return true;
    }

    void receive_packet(packet_context& packet, const relay_header& header) {
        switch (header.kind) {
        case relay_kind::forward:
            return arrive(packet, nullptr);
        case relay_kind::offer:
            return arrive(packet, &header.placement);
        case relay_kind::decline:
            return receive_decline(packet, header);
        case relay_kind::place:
            return receive_place(packet, header);
        case relay_kind::lookup:
            return receive_lookup(packet, header);
        case relay_kind::adopt:
            return;
        }
    }

    void pass_on(const packet_context& packet, const relay_header& received) {
        relay_header header = received;
        header.sender = settings_.self;
        header.sender_life = settings_.life;
        header.hops = static_cast<std::uint8_t>(received.hops + 1);
        // The revision stays the owner's: the last hop compares it with its own.
        header.acknowledgement = sequences_.acknowledgement_for(received.route[0]);
        header.route_length = static_cast<std::uint8_t>(received.route_length - 1);
        std::copy(received.route.begin() + 1, received.route.end(), header.route.begin());
        header.route.back() = 0;
        send_frame(packet, header, received.route[0], packet.inner);
    }

    void receive_place(packet_context& packet, const relay_header& header) {
        placement* item = find(packet);
        if (refused_before(packet)) return refuse_again(packet, item, header);
        const bool is_free = item == nullptr || starts_anew(*item, packet.info);
        if (!is_free && own_wins(*item, header.placement)) return insist(packet, *item, header);
        if (is_free && item != nullptr && header.placement.backend_server != 0 &&
            header.placement.generation <= item->generation)
            return raise_generation(packet, *item, header);
        if (item != nullptr && item->generation < header.placement.generation) {
            table_.erase(packet.key); // of a flow that used the 5-tuple before
            item = nullptr;
        }
        if (item == nullptr && outdated(header)) return choose_instead(packet, header);
        if (header.route_length > 0) return pass_place(packet, item, header);
        record_place(packet, item, header);
    }

    // A placement that only this balancer knows must not be delivered before the owner knows it too.
    void insist(packet_context& packet, placement& item, const relay_header& header) {
        if (item.other_holder != 0) return deliver_own(packet, item, header);
        decline(packet, record_of(item), header);
    }

    void decline(const packet_context& packet, const placement_record& instead, const relay_header& received) {
        if (instead.tunnel.port == 0) {
            ++counters_.dropped_unreachable;
            return;
        }
        relay_header answer = make_header(packet, relay_kind::decline, received.owner);
        answer.placement = instead;
        answer.place_sequence = received.place_sequence;
        send_frame(packet, answer, received.owner, packet.inner);
    }

    // A hop of this owner's route holds or has chosen another placement. An answer to any but the last place frame of
    // the flow says nothing, since the last one may have been delivered.
    void receive_decline(packet_context& packet, const relay_header& header) {
        placement* item = find(packet);
        if ((item == nullptr ? 0 : item->place_sequence) != header.place_sequence) {
            ++counters_.dropped_unsettled;
            return;
        }
        if (!header.placement.retried && not_selectable(header.placement) &&
            header.revision < state_->services->revision) {
            table_.erase(packet.key);
            return place_new(packet, header.placement.generation, 0);
        }
        if (header.hops > max_first_answer_hops && item != nullptr && item->other_holder == 0) {
            arbitrate(packet, *item, header.placement);
        } else {
            adopt(packet.key, header.placement, 0, packet.now);
        }
        item = find(packet);
        if (item == nullptr) {
            ++counters_.dropped_table_full;
            return;
        }
        handle_as_owner(packet, item, nullptr);
    }

    // Tells the hops that follow what this balancer knows of the placement.
    void pass_place(const packet_context& packet, placement* item, const relay_header& header) {
        const placement_record& record = header.placement;
        if (item == nullptr || record.backend_server == 0) return pass_on(packet, header);
        const bool   same = item->backend_server == record.backend_server && item->generation == record.generation;
        relay_header known = header;
        known.placement.established = record.established || (same && item->other_holder != 0);
        known.placement.doubtful = record.doubtful && !known.placement.established;
        if (same) update_state(packet, *item);
        if (!same && record.established) table_.erase(packet.key); // it has lost
        pass_on(packet, known);
    }

    // An owner that does not know of the refusal has placed a late copy of the SYN.
    void refuse_again(packet_context& packet, placement* item, const relay_header& header) {
        const bool perhaps_delivered = header.placement.retried || header.placement.established;
        if (item != nullptr || perhaps_delivered) {
            ++counters_.dropped_refused;
            return;
        }
        if (header.route_length == 0) return refuse(packet);
        relay_header refusal = header;
        refusal.placement = {};
        pass_on(packet, refusal);
    }

    // The owner has forgotten the flow that used the 5-tuple before.
    void raise_generation(packet_context& packet, const placement& item, const relay_header& header) {
        placement_record record = header.placement;
        record.generation = static_cast<std::uint16_t>(item.generation + 1);
        decline(packet, record, header);
    }

    // Whether the placement held here wins over the owner's.
    static bool own_wins(const placement& item, const placement_record& record) {
        if (record.backend_server == 0) return true;
        if (item.generation != record.generation) return item.generation > record.generation;
        if (item.backend_server == record.backend_server || record.established) return false;
        // A new one has not been delivered yet, a doubtful one may have been.
        if (item.doubtful && record.retried) return record.doubtful;
        return true;
    }

    // Handles the packet by the placement held here and tells the owner.
    void deliver_own(packet_context& packet, placement& item, const relay_header& header) {
        update_state(packet, item);
        if (!tunnel_of(item.backend_server)) {
            ++counters_.dropped_unreachable;
            return;
        }
        packet_context answer = packet;
        answer.hops = 0;
        relay_header adopt = make_header(answer, relay_kind::adopt, header.owner);
        adopt.placement = record_of(item);
        send_frame(answer, adopt, header.owner, {});
        deliver_placed(packet, item);
    }

    // The last hop of a place frame.
    void record_place(packet_context& packet, placement* item, const relay_header& header) {
        const placement_record& record = header.placement;
        if (record.backend_server == 0) {
            if (item != nullptr) table_.erase(packet.key); // closing: the tuple is free
            // An owner with an older configuration, such as one that has just started, cannot tell that nothing serves.
            if (header.revision < state_->services->revision) return choose_instead(packet, header);
            if (state_->services->revision == 0) {
                ++counters_.dropped_unsettled; // no configuration has been received yet
                return;
            }
            return refuse(packet);
        }
        const bool same =
            item != nullptr && item->backend_server == record.backend_server && item->generation == record.generation;
        if (item != nullptr && !same) {
            if (item->generation == record.generation) ++counters_.placement_conflicts;
            table_.erase(packet.key);
            item = nullptr;
        }
        if (item == nullptr) item = store(packet, record, token_of(header.owner));
        if (item == nullptr && !record.established) {
            ++counters_.dropped_table_full;
            return;
        }
        if (item == nullptr) return deliver_to(packet, record.service, record.tunnel);
        confirm(*item, token_of(header.owner));
        sequences_.received(header.owner, header.place_sequence);
        update_state(packet, *item);
        take_state(*item, record);
        deliver_placed(packet, *item);
    }

    // Two hops insist on different placements, of which nobody has acknowledged either. Both may have been delivered,
    // so that no choice is right; without one the flow would hang.
    void arbitrate(const packet_context& packet, placement& item, const placement_record& other) {
        ++counters_.placement_conflicts;
        placement* winner = &item;
        if (other.backend_server < item.backend_server) {
            table_.erase(packet.key);
            winner = store_offered(packet, other);
        }
        if (winner != nullptr) confirm(*winner, unknown_holder);
    }

    // The owner has the same placement, in the state that it tells.
    static void take_state(placement& item, const placement_record& record) {
        if (item.state != record.state && record.state != flow_state::half_open) {
            item.state = record.state;
            item.repeats = 0;
            item.set_sequence_mark(record.sequence_mark);
        }
        item.pending_holder = 0;
        item.place_sequence = 0;
    }

    // A new proposal that was checked under an older revision, and that this balancer would not make.
    bool outdated(const relay_header& header) const {
        const placement_record& record = header.placement;
        if (record.backend_server == 0 || record.retried || record.established) return false;
        return state_->services->revision >= header.revision && not_selectable(record);
    }

    bool not_selectable(const placement_record& record) const {
        const indexed_server* found = index_->server(record.backend_server);
        if (found == nullptr) return index_->knows_ids_up_to(record.backend_server);
        return found->server->state != backend_state::active;
    }

    void choose_instead(packet_context& packet, const relay_header& header) {
        const indexed_server* chosen = choose(packet, 0);
        if (chosen == nullptr) {
            if (header.placement.backend_server == 0) return refuse(packet);
            // The owner keeps its proposal, so this is no refusal; the caller repeats its SYN.
            ++counters_.dropped_unsettled;
            return;
        }
        placement_record record = header.placement;
        record.backend_server = chosen->server->id;
        record.service = chosen->owner->id;
        record.tunnel = chosen->server->tunnel;
        decline(packet, record, header);
    }

    void receive_lookup(packet_context& packet, const relay_header& header) {
        placement* item = find(packet);
        if (item != nullptr && backend_is_dead(*item, packet.now)) return end_dead_flow(packet, *item);
        if (item != nullptr && item->other_holder != 0) return deliver_own(packet, *item, header);
        // A placement that nobody has acknowledged counts only if no other is found.
        relay_header asked = header;
        if (item != nullptr && header.placement.backend_server == 0) asked.placement = record_of(*item);
        if (header.route_length > 0) return pass_on(packet, asked);
        if (asked.placement.backend_server != 0) return offer_found(packet, asked);
        end_lost_flow(packet, header.fabric.port != 0);
    }

    // The end of a lookup whose best find is not acknowledged: the owner takes it over and places it.
    void offer_found(const packet_context& packet, const relay_header& header) {
        relay_header offer = make_header(packet, relay_kind::offer, header.owner);
        offer.placement = header.placement;
        if (offer.placement.tunnel.port == 0) {
            ++counters_.dropped_unreachable;
            return;
        }
        send_frame(packet, offer, header.owner, packet.inner);
    }

    // A holder tells this owner its placement.
    void receive_adopt(const relay_header& header, steady_time now) {
        adopt(header.flow, header.placement, token_of(header.sender), now);
    }

    // Takes over the placement of another balancer unless this one's has been acknowledged. A holder of 0 is one that
    // has not delivered anything by it.
    void adopt(const flow_key& key, const placement_record& record, std::uint32_t holder, steady_time now) {
        placement* item = held(key);
        if (item != nullptr && item->generation > record.generation) return;
        const bool same =
            item != nullptr && item->backend_server == record.backend_server && item->generation == record.generation;
        if (same) {
            if (holder != 0) confirm(*item, holder);
            return;
        }
        const bool decided = item != nullptr && item->other_holder != 0 && item->generation == record.generation;
        if (decided) {
            ++counters_.placement_conflicts;
            return;
        }
        if (item != nullptr) table_.erase(key);
        placement value = placement_of(record);
        if (holder != 0) confirm(value, holder);
        if (table_.insert(key, value, now) == nullptr) return;
        ++counters_.flows_adopted;
    }

    //------------------------------------------------------------------------------------------------------------------
    // Delivery
    //------------------------------------------------------------------------------------------------------------------

    void deliver_placed(packet_context& packet, placement& item) {
        if (backend_is_dead(item, packet.now)) return end_dead_flow(packet, item);
        if (stalled(item, packet.info, flow_table::ticks_of(packet.now))) return end_stalled_flow(packet, item);
        const auto tunnel = tunnel_of(item.backend_server);
        if (!tunnel) {
            ++counters_.dropped_unreachable;
            return;
        }
        table_.touch(item, packet.now);
        deliver_to(packet, item.service, *tunnel);
    }

    void deliver_to(const packet_context& packet, service_id placed_for, const endpoint& tunnel) {
        const service* target = index_->service_at(packet.info.flow.protocol, packet.info.flow.destination);
        // A service that only a newer revision names cannot be compared here; the owner has compared it.
        if (target != nullptr && target->id != placed_for) {
            check(invariant::right_service, false, target->name);
            return;
        }
        const auto header = make_gue_header(packet.info.flow.source.address.is_v4());
        packet.out->add(action_kind::deliver, tunnel, header, packet.inner);
        ++counters_.packets_delivered;
    }

    void end_stalled_flow(const packet_context& packet, placement& item) {
        if (!answer_caller(packet)) return;
        if (item.state != flow_state::closing) ++counters_.flows_stalled;
        close_stalled(item, packet.info);
        table_.touch(item, packet.now);
    }

    //------------------------------------------------------------------------------------------------------------------
    // Maintenance
    //------------------------------------------------------------------------------------------------------------------

    bool known_elsewhere(const placement& item) const {
        if (unconfirmed_copy_at(item) != 0) return reachable(item.pending_holder);
        return item.place_sequence == 0 && live_tokens_.contains(item.other_holder);
    }

    // A peer that has taken a copy of a placement that nobody has acknowledged; 0: none.
    static member_id unconfirmed_copy_at(const placement& item) {
        return item.other_holder == 0 && item.place_sequence == unsent_place_sequence ? item.pending_holder : 0;
    }

    bool shared_with(const placement& item, member_id holder) const {
        return item.place_sequence == 0 && item.other_holder != 0 && item.other_holder == token_of(holder);
    }

    // The present holder that should learn of a placement; 0: none has to.
    member_id missing_holder(const flow_key& key, const placement& item) const {
        const holders& pair = state_->owners.present->of(bucket_of(key));
        if (pair.owner() == settings_.self || pair.second == settings_.self) {
            const member_id other = pair.owner() == settings_.self ? pair.second : pair.owner();
            return reachable(other) && !shared_with(item, other) ? other : 0;
        }
        const bool shared = shared_with(item, pair.owner()) || shared_with(item, pair.second);
        return !shared && reachable(pair.owner()) ? pair.owner() : 0;
    }

    // A holder outside the present pair delivers the flow's packets without passing them on, so none of them tells the
    // pair of the placement. Without another live holder it must be replicated even while the flow is busy.
    bool delivers_unshared(const flow_key& key, const placement& item) const {
        const holders& pair = state_->owners.present->of(bucket_of(key));
        return pair.owner() != settings_.self && pair.second != settings_.self && !known_elsewhere(item);
    }

    struct collector final : flow_table::visitor {
        collector(impl& where, steady_time time, std::size_t limit) : self(where), now(time), left(limit) {}
        void visit(const flow_key& key, placement& item) override {
            if (left == 0 || item.state != flow_state::established) return;
            self.doubt_after_pause(item);
            self.note_acknowledgement(item);
            const duration idle = self.table_.idle_time(item, now);
            if (idle < quiet_time && !self.delivers_unshared(key, item)) return;
            const member_id target = self.missing_holder(key, item);
            if (target == 0 || (unconfirmed_copy_at(item) == target && idle < previous_view_lifetime)) return;
            const placement_record record = self.record_of(item);
            if (record.tunnel.port == 0) return;
            found[target].push_back({key, record});
            --left;
        }
        impl&                                                  self;
        steady_time                                            now;
        std::size_t                                            left;
        std::map<member_id, std::vector<replicated_placement>> found;
    };

    std::map<member_id, std::vector<replicated_placement>> placements_to_replicate(std::size_t limit) {
        if (!state_ || limit == 0) return {};
        collector target(*this, time_.steady_now(), limit);
        table_.scan(replication_position_, slots_per_collection, target);
        return std::move(target.found);
    }

    bool store_replicated(member_id peer_id, const replicated_placement& item) {
        if (!state_) return false;
        learn_tunnel(item.record);
        placement* present = held(item.flow);
        if (present != nullptr && present->backend_server == item.record.backend_server &&
            present->generation == item.record.generation) {
            confirm(*present, token_of(peer_id));
            if (present->state == flow_state::half_open) establish(*present);
            return true;
        }
        const bool wins = item.record.established || (present != nullptr && present->doubtful && !item.record.doubtful);
        const bool yields =
            present != nullptr && present->other_holder == 0 && wins && present->generation <= item.record.generation;
        if (present != nullptr && !yields) return false;
        if (present != nullptr) table_.erase(item.flow);
        placement value = placement_of(item.record);
        value.other_holder = item.record.established ? token_of(peer_id) : 0;
        value.pending_holder = item.record.established ? 0 : peer_id;
        value.place_sequence = item.record.established ? 0 : unsent_place_sequence;
        establish(value);
        return table_.insert(item.flow, value, time_.steady_now()) != nullptr;
    }

    void acknowledge_replicated(member_id peer_id, std::span<const flow_key> flows) {
        for (const auto& key : flows) {
            placement* item = held(key);
            if (item == nullptr || item->state != flow_state::established) continue;
            // One that nobody has acknowledged may be a proposal that lost: its winner has some time to tell.
            const bool confirms =
                item->other_holder != 0 || table_.idle_time(*item, time_.steady_now()) >= previous_view_lifetime;
            if (confirms) confirm(*item, token_of(peer_id));
            item->pending_holder = confirms ? 0 : peer_id;
            item->place_sequence = confirms ? 0 : unsent_place_sequence;
        }
    }

    struct sole_counter final : flow_table::visitor {
        explicit sole_counter(impl& where) : self(where) {}
        void visit(const flow_key&, placement& item) override {
            self.doubt_after_pause(item);
            self.note_acknowledgement(item);
            if (item.state == flow_state::established && !self.known_elsewhere(item)) ++sole;
        }
        impl&       self;
        std::size_t sole = 0;
    };

    void note_acknowledgement(placement& item) const {
        const std::uint32_t pending = token_of(item.pending_holder);
        if (pending == 0 || !sequences_.acknowledged(item.pending_holder, item.place_sequence)) return;
        confirm(item, pending);
        item.place_sequence = 0;
    }

    std::size_t unreplicated_placements() {
        if (!state_) return 0;
        sole_counter target(*this);
        std::size_t  position = 0;
        table_.scan(position, table_.slot_count(), target);
        return target.sole;
    }

    flow_explanation explain(const flow_tuple& flow) {
        flow_explanation result;
        result.key = make_flow_key(flow, settings_.hash_seed);
        result.bucket = bucket_of(result.key);
        if (!state_) {
            result.reason = "no configuration has been published yet";
            return result;
        }
        result.responsible = state_->owners.present->of(result.bucket);
        const service* found = index_->service_at(flow.protocol, flow.destination);
        if (found != nullptr) result.service = found->name;
        if (const placement* item = held(result.key)) {
            result.held = *item;
            const indexed_server* server = index_->server(item->backend_server);
            result.backend_server = server != nullptr ? server->server->name : std::to_string(item->backend_server);
        }
        result.reason = reason_of(result);
        return result;
    }

    std::string reason_of(const flow_explanation& result) const {
        const std::string revision = " at revision " + std::to_string(state_->services->revision);
        if (result.held) {
            const bool in_pair =
                result.responsible.owner() == settings_.self || result.responsible.second == settings_.self;
            return std::string("this balancer holds the placement") +
                   (in_pair ? "" : " from an earlier membership view") + revision;
        }
        if (result.service.empty()) return "no service has this address" + revision;
        if (result.responsible.owner() == settings_.self)
            return "this balancer owns the flow and has no placement: a SYN would start one" + revision;
        return "balancer " + std::to_string(result.responsible.owner()) + " owns the flow; packets are relayed to it" +
               revision;
    }

    forwarder_settings settings_;
    const clock&       time_;
    flow_table         table_;
    token_bucket       replies_; // to packets without a placement, so that a flood of them is not answered one by one
    steady_time        started_;
    steady_time        last_active_;
    bool               paused_ = false;
    steady_time        paused_at_{};
    std::uint32_t      resumed_ticks_ = 0; // end of the last pause; placements not used since are in doubt
    std::shared_ptr<const forwarding_state>         state_;       // null until the first publish
    std::optional<service_index>                    index_;       // of state_
    std::unordered_map<member_id, member>           members_;     // of state_
    std::unordered_set<std::uint32_t>               live_tokens_; // of members_ without this balancer
    place_sequences                                 sequences_;
    refused_syns                                    refusals_;
    new_flow_rates<service_id>                      service_rates_;
    new_flow_rates<backend_server_id>               server_rates_;
    std::unordered_map<backend_server_id, endpoint> learned_tunnels_; // at most max_learned_tunnels
    seen_revision                                   newest_revision_;
    std::size_t                                     replication_position_ = 0;
    std::vector<std::byte>                          scratch_;
    forwarder_counters                              counters_;
};

//----------------------------------------------------------------------------------------------------------------------
// Public functions
//----------------------------------------------------------------------------------------------------------------------

forwarder::forwarder(const forwarder_settings& settings, const clock& time)
    : impl_(std::make_unique<impl>(settings, time)) {}
forwarder::~forwarder() = default;
forwarder::forwarder(forwarder&&) noexcept = default;
forwarder& forwarder::operator=(forwarder&&) noexcept = default;

void forwarder::publish(std::shared_ptr<const forwarding_state> state) {
    impl_->publish(std::move(state));
}
void forwarder::reconfigure(const relay_keys& keys, const flow_table_settings& table) {
    impl_->settings_.keys = keys;
    impl_->settings_.table = table;
    impl_->table_.set_limits(table);
}
void forwarder::receive_from_fabric(byte_view udp_payload, const endpoint& fabric, action_buffer& out) {
    impl_->receive_from_fabric(udp_payload, fabric, out);
}
void forwarder::receive_from_peer(byte_view datagram, action_buffer& out) {
    impl_->receive_from_peer(datagram, out);
}
void forwarder::tick(action_buffer& out) {
    impl_->tick(out);
}

forwarder::seen_revision forwarder::newest_revision_seen() const {
    return impl_->newest_revision_;
}
std::map<member_id, std::vector<replicated_placement>> forwarder::placements_to_replicate(std::size_t limit) {
    return impl_->placements_to_replicate(limit);
}
bool forwarder::store_replicated(member_id peer, const replicated_placement& item) {
    return impl_->store_replicated(peer, item);
}
void forwarder::acknowledge_replicated(member_id peer, std::span<const flow_key> flows) {
    impl_->acknowledge_replicated(peer, flows);
}
std::size_t forwarder::unreplicated_placements() {
    return impl_->unreplicated_placements();
}
const forwarder_counters& forwarder::counters() const {
    return impl_->counters_;
}
const flow_table& forwarder::flows() const {
    return impl_->table_;
}
flow_explanation forwarder::explain(const flow_tuple& flow) {
    return impl_->explain(flow);
}

} // namespace tamarack
