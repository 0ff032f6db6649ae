// Private parts of the forwarder, shared by its source files:
//
//   forwarder.cpp              packets from the fabric: arrival, the owner's decisions, routes, delivery
//   forwarder_relay.cpp        relay frames of peers: placing, declining, looking up
//   forwarder_replication.cpp  copies of placements for other holders, and explanations
//
// docs/design.md section 2.2 describes the decision for each packet.
#pragma once

#include "tamarack/flow_progress.h"
#include "tamarack/forwarder.h"
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

inline constexpr duration    pause_threshold = std::chrono::seconds(1); // without a packet or a call of tick
inline constexpr std::size_t max_learned_tunnels = 1'024;
inline constexpr duration quiet_time = std::chrono::seconds(1); // without a packet: replicated over the control channel

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
inline constexpr std::uint32_t unknown_holder = 1;

class forwarder::impl {
public:
    //------------------------------------------------------------------------------------------------------------------
    // Packets
    //------------------------------------------------------------------------------------------------------------------

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

    void receive_from_fabric(byte_view udp_payload, const endpoint& fabric, action_buffer& out);
    void receive_from_peer(byte_view datagram, action_buffer& out);
    void tick(action_buffer&);

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

    bool       reachable(member_id id) const { return id != 0 && id != settings_.self && peer(id) != nullptr; }
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

    void         arrive(packet_context& packet, offered_placement offered);
    bool         refresh_due(const packet_context& packet, const placement& item) const;
    bool         may_deliver_as_second(const packet_context& packet, const placement& item) const;
    void         relay_to_owner(packet_context& packet, placement* item, offered_placement offered);
    relay_header make_header(const packet_context& packet, relay_kind kind, member_id to) const;
    void         send_frame(const packet_context& packet, const relay_header& header, member_id to, byte_view inner);

    //------------------------------------------------------------------------------------------------------------------
    // Owner
    //------------------------------------------------------------------------------------------------------------------

    void             handle_as_owner(packet_context& packet, placement* item, offered_placement offered);
    placement*       take_offer(const packet_context& packet, placement* item, const placement_record& offered);
    placement*       store_offered(const packet_context& packet, const placement_record& record);
    static placement placement_of(const placement_record& record);
    placement*       store(const packet_context& packet, const placement_record& record, std::uint32_t other_holder);
    void             reuse_tuple(packet_context& packet, const placement& item);
    bool             backend_is_dead(const placement& item, steady_time now) const;
    void             end_dead_flow(const packet_context& packet, placement& item);
    bool             update_state(const packet_context& packet, placement& item);
    bool             confirmed(const packet_context& packet, placement& item) const;
    member_id        other_of_pair(const packet_context& packet) const;
    void             place_new(packet_context& packet, std::uint16_t generation, backend_server_id preferred);
    const indexed_server* choose(const packet_context& packet, backend_server_id preferred);
    bool                  service_at_limit(const service& target, std::uint32_t members, steady_time now);

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

    void  add_previous_holders(const packet_context& packet, std::size_t limit, route& path) const;
    route placing_route(const packet_context& packet, bool is_new) const;
    route lookup_route(const packet_context& packet) const;
    void  send_on_route(packet_context& packet, relay_header header, const route& path);
    void  send_along_route(packet_context& packet, placement& item, const placement_record& record);
    void  send_through_second(packet_context& packet, placement& item);
    void  send_place(packet_context& packet, placement& item, const placement_record& record, const route& path);
    void  propose_refusal(packet_context& packet);
    void  look_up(packet_context& packet);
    void  end_lost_flow(const packet_context& packet, bool may_reset);

    //------------------------------------------------------------------------------------------------------------------
    // Relay frames of peers
    //------------------------------------------------------------------------------------------------------------------

    bool        accept_sender(const relay_header& header);
    bool        accept_life(member_id id, incarnation life);
    void        receive_packet(packet_context& packet, const relay_header& header);
    void        pass_on(const packet_context& packet, const relay_header& received);
    void        receive_place(packet_context& packet, const relay_header& header);
    void        insist(packet_context& packet, placement& item, const relay_header& header);
    void        decline(const packet_context& packet, const placement_record& instead, const relay_header& received);
    void        receive_decline(packet_context& packet, const relay_header& header);
    void        pass_place(const packet_context& packet, placement* item, const relay_header& header);
    void        refuse_again(packet_context& packet, placement* item, const relay_header& header);
    void        raise_generation(packet_context& packet, const placement& item, const relay_header& header);
    static bool own_wins(const placement& item, const placement_record& record);
    void        deliver_own(packet_context& packet, placement& item, const relay_header& header);
    void        record_place(packet_context& packet, placement* item, const relay_header& header);
    void        arbitrate(const packet_context& packet, placement& item, const placement_record& other);
    static void take_state(placement& item, const placement_record& record);
    bool        outdated(const relay_header& header) const;
    bool        not_selectable(const placement_record& record) const;
    void        choose_instead(packet_context& packet, const relay_header& header);
    void        receive_lookup(packet_context& packet, const relay_header& header);
    void        offer_found(const packet_context& packet, const relay_header& header);

    // A holder tells this owner its placement.
    void receive_adopt(const relay_header& header, steady_time now) {
        adopt(header.flow, header.placement, token_of(header.sender), now);
    }

    void adopt(const flow_key& key, const placement_record& record, std::uint32_t holder, steady_time now);

    //------------------------------------------------------------------------------------------------------------------
    // Delivery
    //------------------------------------------------------------------------------------------------------------------

    void deliver_placed(packet_context& packet, placement& item);
    void deliver_to(const packet_context& packet, service_id placed_for, const endpoint& tunnel);
    void end_stalled_flow(const packet_context& packet, placement& item);

    //------------------------------------------------------------------------------------------------------------------
    // Maintenance
    //------------------------------------------------------------------------------------------------------------------

    bool known_elsewhere(const placement& item) const;

    // A peer that has taken a copy of a placement that nobody has acknowledged; 0: none.
    static member_id unconfirmed_copy_at(const placement& item) {
        return item.other_holder == 0 && item.place_sequence == unsent_place_sequence ? item.pending_holder : 0;
    }

    bool shared_with(const placement& item, member_id holder) const {
        return item.place_sequence == 0 && item.other_holder != 0 && item.other_holder == token_of(holder);
    }

    member_id missing_holder(const flow_key& key, const placement& item) const;
    bool      delivers_unshared(const flow_key& key, const placement& item) const;

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

    std::map<member_id, std::vector<replicated_placement>> placements_to_replicate(std::size_t limit);
    bool store_replicated(member_id peer_id, const replicated_placement& item);
    void acknowledge_replicated(member_id peer_id, std::span<const flow_key> flows);

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

    void             note_acknowledgement(placement& item) const;
    std::size_t      unreplicated_placements();
    flow_explanation explain(const flow_tuple& flow);
    std::string      reason_of(const flow_explanation& result) const;

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

} // namespace tamarack
