// Private parts of the forwarder, shared by its source files:
//
//   forwarder.cpp              packets from the fabric: dispatch, the owner's decisions, routes, delivery
//   forwarder_relay.cpp        relay frames from peers: place, decline and lookup frames
//   forwarder_replication.cpp  replication of placements to other holders, and explanations for operators
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

inline constexpr duration pause_threshold = std::chrono::seconds(1); // longest time without a packet or a call of tick
inline constexpr std::size_t max_learned_tunnels = 1'024;
// Idle time after which a placement is replicated over the control channel.
inline constexpr duration    idle_replication_delay = std::chrono::seconds(1);

struct key_hash {
    std::size_t operator()(const flow_key& key) const { return key.low; }
};

// Rates of new flows per second, by service or backend server.
template <typename Id>
using new_flow_rates = std::unordered_map<Id, token_bucket>;

// A packet and the state of the decision about it.
struct packet_context {
    packet_info    info;
    byte_view      inner;
    flow_key       key;
    holders        bucket_holders;
    endpoint       fabric_endpoint;
    std::uint8_t   hops = 0;   // relay hops so far
    member_id      sender = 0; // of the relay frame; 0: received from the fabric
    steady_time    now{};
    action_buffer* out = nullptr;

    bool starts_flow() const { return info.flow.protocol == transport::udp || info.syn; }
    bool changes_state() const { return info.syn || info.fin || info.rst; }
};

// Placement that a peer sent along with a packet; null if there is none.
using offered_placement = const placement_record*;

// Token for a holder whose identity is not known, or that must not be relied on.
inline constexpr std::uint32_t unknown_holder_token = 1;

class forwarder::impl {
public:
    //------------------------------------------------------------------------------------------------------------------
    // Packets
    //------------------------------------------------------------------------------------------------------------------

    impl(const forwarder_settings& settings, const clock& time)
        : settings_(settings), time_(time), table_(settings.table),
          reply_budget_(settings.replies_per_second, settings.replies_per_second, time.steady_now()),
          started_(time.steady_now()), last_activity_(started_),
          sequences_(incarnation_token(settings.self, settings.self_incarnation)) {}

    void publish(std::shared_ptr<const forwarding_state> state) {
        const revision_number revision = state->services->revision;
        check(invariant::revision_monotonic, !state_ || revision >= state_->services->revision,
              "published configuration");
        if (paused_ && state->may_place && state->built_at > paused_at_) paused_ = false;
        state_ = std::move(state);
        index_.emplace(*state_);
        const auto previous_members = std::move(members_);
        members_.clear();
        live_tokens_.clear();
        for (member item : state_->members) {
            // Relay frames may have announced a newer incarnation than the control thread knows.
            const auto found = previous_members.find(item.id);
            if (found != previous_members.end())
                item.incarnation = std::max(item.incarnation, found->second.incarnation);
            record_member(item);
        }
        for (const auto& item : state_->members)
            sequences_.record_incarnation(item.id, item.incarnation);
        if (revision >= newest_revision_.revision) newest_revision_ = {revision, 0};
    }

    void receive_from_fabric(byte_view udp_payload, const endpoint& fabric_endpoint, action_buffer& out);
    void receive_from_peer(byte_view datagram, action_buffer& out);
    void tick(action_buffer&);

    //------------------------------------------------------------------------------------------------------------------
    // Lookups and replies
    //------------------------------------------------------------------------------------------------------------------

    // False before the first published state, and after a pause until the control thread has published a state in which
    // a peer has acknowledged this balancer again.
    bool is_ready(steady_time now) {
        detect_pause(now);
        if (paused_) ++counters_.dropped_paused;
        return state_ != nullptr && !paused_;
    }

    void detect_pause(steady_time now) {
        const duration gap = now - last_activity_;
        last_activity_ = now;
        if (gap <= pause_threshold) return;
        paused_ = true;
        paused_at_ = now;
        resumed_at_ticks_ = flow_table::ticks_of(now);
    }

    void count_malformed(packet_error error) {
        ++(error == packet_error::fragment ? counters_.packets_fragment : counters_.packets_malformed);
    }

    packet_context make_context(const packet_info& info, byte_view inner, const endpoint& fabric_endpoint,
                                steady_time now, action_buffer& out) const {
        packet_context packet;
        packet.info = info;
        packet.inner = inner;
        packet.key = make_flow_key(info.flow, settings_.hash_seed);
        packet.bucket_holders = state_->owners.present->holders_of(bucket_of(packet.key));
        packet.fabric_endpoint = fabric_endpoint;
        packet.now = now;
        packet.out = &out;
        return packet;
    }

    void record_member(const member& item) {
        members_[item.id] = item;
        if (item.id != settings_.self) live_tokens_.insert(incarnation_token(item.id, item.incarnation));
    }

    // The token of the member's current incarnation: a process that has restarted no longer holds its placements.
    std::uint32_t token_of(member_id id) const {
        const member* found = find_member(id);
        return found == nullptr ? 0 : incarnation_token(id, found->incarnation);
    }

    const member* find_member(member_id id) const {
        const auto found = members_.find(id);
        return found == members_.end() ? nullptr : &found->second;
    }

    bool       reachable(member_id id) const { return id != 0 && id != settings_.self && find_member(id) != nullptr; }
    // Placement held for the packet's flow. An expired placement is erased and not returned.
    placement* find_unexpired(const packet_context& packet) {
        placement* item = find_placement(packet.key);
        if (item == nullptr || !table_.expired(*item, packet.info.flow.protocol, packet.now)) return item;
        table_.erase(packet.key);
        return nullptr;
    }

    placement* find_placement(const flow_key& key) {
        placement* item = table_.find(key);
        if (item != nullptr) mark_unverified_after_pause(*item);
        return item;
    }

    // Other balancers may have placed the flow again while this process was paused; their placement wins.
    void mark_unverified_after_pause(placement& item) const {
        if (resumed_at_ticks_ == 0 || static_cast<std::int32_t>(item.last_seen - resumed_at_ticks_) >= 0) return;
        item.other_holder_token = 0;
        item.pending_holder = 0;
        item.place_sequence = unsent_place_sequence;
        item.unverified = true;
    }

    // Records that another balancer holds the same placement.
    static void confirm(placement& item, std::uint32_t holder_token) {
        item.other_holder_token = holder_token;
        item.unverified = false;
    }

    static transport protocol_of(service_id id, const void* context) {
        const auto*    self = static_cast<const impl*>(context);
        const service* found = self->index_->service_by_id(id);
        return found == nullptr ? transport::tcp : found->protocol;
    }

    std::optional<endpoint> tunnel_of(backend_server_id id) const {
        if (const indexed_server* found = index_->server(id)) return found->server->tunnel;
        const auto learned = learned_tunnels_.find(id);
        if (!index_->covers_id(id) && learned != learned_tunnels_.end()) return learned->second;
        return std::nullopt;
    }

    // Stores the tunnel address of a backend server that exists only in a newer revision of the configuration.
    void learn_tunnel(const placement_record& record) {
        if (record.backend_server == 0 || index_->covers_id(record.backend_server)) return;
        if (learned_tunnels_.size() >= max_learned_tunnels) learned_tunnels_.clear();
        learned_tunnels_[record.backend_server] = record.tunnel;
    }

    placement_record record_of(const placement& item) const {
        placement_record record;
        record.backend_server = item.backend_server;
        record.service = item.service;
        record.tunnel = tunnel_of(item.backend_server).value_or(endpoint{});
        record.generation = item.generation;
        record.possibly_delivered =
            item.place_sequence != 0 || item.other_holder_token != 0 || item.state != flow_state::half_open;
        record.acknowledged = item.other_holder_token != 0;
        record.unverified = item.unverified;
        record.state = item.state;
        if (item.state != flow_state::established) record.sequence_mark = item.sequence_mark();
        return record;
    }

    // True if the ranking has been unchanged for settle_time and no other condition forbids a reset.
    bool ranking_settled(const packet_context& packet) const {
        if (state_->network_partition_suspected) return false;
        if (packet.now - started_ < settings_.reset_grace || packet.now < state_->no_reset_before) return false;
        // Another balancer may have acted on a ranking that is still changing, even if the holders of this bucket did
        // not change on this balancer.
        return packet.now - state_->owners.present_since >= settings_.settle_time;
    }

    // True if the holders of the packet's bucket changed within settle_time.
    bool ranking_recently_changed(const packet_context& packet) const {
        const std::size_t bucket = bucket_of(packet.key);
        for (const auto& entry : state_->owners.previous) {
            if (packet.now - entry.replaced_at >= settings_.settle_time) continue;
            if (entry.ranking->holders_of(bucket) != packet.bucket_holders) return true;
        }
        return false;
    }

    void send_to_caller(const packet_context& packet, byte_view reply) {
        const auto header = make_gue_header(packet.info.flow.source.address.is_v4());
        packet.out->add(action_kind::reply_to_caller, packet.fabric_endpoint, header, reply);
    }

    // Sends a RST for TCP or an ICMP error for UDP, within the reply budget. True if the packet counts as answered; the
    // calling function counts the event.
    bool send_error_reply(const packet_context& packet) {
        if (packet.fabric_endpoint.port == 0 || packet.info.icmp_error) return false;
        if (!reply_budget_.take(1.0, packet.now)) {
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

    // Refuses a flow of which no balancer on the route has forwarded a packet.
    void refuse_flow(const packet_context& packet) {
        check(invariant::refused_never_forwarded, table_.find(packet.key) == nullptr, "refusal of a placed flow");
        if (index_->service_at(packet.info.flow.protocol, packet.info.flow.destination) == nullptr)
            ++counters_.no_service;
        // Without a configuration the refusal is not final: the second holder may choose a backend server.
        const bool is_final = state_->services->revision > 0;
        if (is_final && packet.info.syn && !refusals_.remember(packet.key, packet.info.sequence, packet.now)) return;
        if (send_error_reply(packet)) ++counters_.flows_refused;
    }

    bool was_refused(const packet_context& packet) {
        return packet.info.syn && refusals_.contains(packet.key, packet.info.sequence, packet.now);
    }

    //------------------------------------------------------------------------------------------------------------------
    // Dispatch
    //------------------------------------------------------------------------------------------------------------------

    void         handle_packet(packet_context& packet, offered_placement offered);
    bool         refresh_due(const packet_context& packet, const placement& item) const;
    bool         may_deliver_as_second_holder(const packet_context& packet, const placement& item) const;
    void         relay_to_owner(packet_context& packet, placement* item, offered_placement offered);
    relay_header make_header(const packet_context& packet, relay_kind kind, member_id recipient) const;
    void send_frame(const packet_context& packet, const relay_header& header, member_id recipient, byte_view inner);

    //------------------------------------------------------------------------------------------------------------------
    // Owner
    //------------------------------------------------------------------------------------------------------------------

    void                  handle_as_owner(packet_context& packet, placement* item, offered_placement offered);
    placement*            accept_offer(const packet_context& packet, placement* item, const placement_record& offered);
    placement*            store_offered(const packet_context& packet, const placement_record& record);
    static placement      placement_of(const placement_record& record);
    placement*            store_placement(const packet_context& packet, const placement_record& record,
                                          std::uint32_t other_holder_token);
    void                  reuse_tuple(packet_context& packet, const placement& item);
    bool                  backend_is_dead(const placement& item, steady_time now) const;
    void                  reset_flow_of_dead_backend(const packet_context& packet, placement& item);
    bool                  update_state(const packet_context& packet, placement& item);
    bool                  peer_holder_confirmed(const packet_context& packet, placement& item) const;
    member_id             peer_holder(const packet_context& packet) const;
    void                  place_new_flow(packet_context& packet, std::uint16_t generation, backend_server_id preferred);
    const indexed_server* choose_backend(const packet_context& packet, backend_server_id preferred);
    bool                  service_at_limit(const service& target, std::uint32_t members, steady_time now);

    // True if a new flow is within this balancer's share of the rate limit. Bursts of one second's worth are allowed.
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
    route place_route(const packet_context& packet, bool is_new) const;
    route lookup_route(const packet_context& packet) const;
    void  send_on_route(packet_context& packet, relay_header header, const route& path);
    void  send_new_placement(packet_context& packet, placement& item, const placement_record& record);
    void  send_through_peer_holder(packet_context& packet, placement& item);
    void  send_place_frame(packet_context& packet, placement& item, const placement_record& record, const route& path);
    void  propose_refusal(packet_context& packet);
    void  look_up_placement(packet_context& packet);
    void  reset_lost_flow(const packet_context& packet, bool may_reset);

    //------------------------------------------------------------------------------------------------------------------
    // Relay frames from peers
    //------------------------------------------------------------------------------------------------------------------

    bool accept_sender(const relay_header& header);
    bool accept_incarnation(member_id id, incarnation_number number);
    void receive_packet(packet_context& packet, const relay_header& header);
    void pass_to_next_hop(const packet_context& packet, const relay_header& received);
    void receive_place(packet_context& packet, const relay_header& header);
    void enforce_held_placement(packet_context& packet, placement& item, const relay_header& header);
    void send_decline(const packet_context& packet, const placement_record& instead, const relay_header& received);
    void receive_decline(packet_context& packet, const relay_header& header);
    void pass_place_frame(const packet_context& packet, placement* item, const relay_header& header);
    void repeat_refusal(packet_context& packet, placement* item, const relay_header& header);
    void decline_with_next_generation(packet_context& packet, const placement& item, const relay_header& header);
    static bool held_placement_wins(const placement& item, const placement_record& record);
    void        deliver_by_held_placement(packet_context& packet, placement& item, const relay_header& header);
    void        record_placement(packet_context& packet, placement* item, const relay_header& header);
    void        resolve_conflict(const packet_context& packet, placement& item, const placement_record& other);
    static void copy_state(placement& item, const placement_record& record);
    bool        is_outdated_proposal(const relay_header& header) const;
    bool        not_selectable(const placement_record& record) const;
    void        propose_replacement(packet_context& packet, const relay_header& header);
    void        receive_lookup(packet_context& packet, const relay_header& header);
    void        offer_lookup_result(const packet_context& packet, const relay_header& header);

    // Handles an adopt frame, which tells the owner the placement of another holder.
    void receive_adopt(const relay_header& header, steady_time now) {
        adopt_placement(header.key, header.placement, token_of(header.sender), now);
    }

    void adopt_placement(const flow_key& key, const placement_record& record, std::uint32_t holder_token,
                         steady_time now);

    //------------------------------------------------------------------------------------------------------------------
    // Delivery
    //------------------------------------------------------------------------------------------------------------------

    void deliver_placed(packet_context& packet, placement& item);
    void deliver_to(const packet_context& packet, service_id placed_service, const endpoint& tunnel);
    void reset_stalled_flow(const packet_context& packet, placement& item);

    //------------------------------------------------------------------------------------------------------------------
    // Maintenance
    //------------------------------------------------------------------------------------------------------------------

    bool held_elsewhere(const placement& item) const;

    // Peer that has stored a copy of a placement that nobody has acknowledged; 0: none.
    static member_id holder_of_unconfirmed_copy(const placement& item) {
        return item.other_holder_token == 0 && item.place_sequence == unsent_place_sequence ? item.pending_holder : 0;
    }

    bool shared_with(const placement& item, member_id holder) const {
        return item.place_sequence == 0 && item.other_holder_token != 0 && item.other_holder_token == token_of(holder);
    }

    member_id missing_holder(const flow_key& key, const placement& item) const;
    bool      delivers_unreplicated(const flow_key& key, const placement& item) const;

    struct replication_collector final : flow_table::visitor {
        replication_collector(impl& owning_forwarder, steady_time time, std::size_t limit)
            : self(owning_forwarder), now(time), remaining(limit) {}
        void visit(const flow_key& key, placement& item) override {
            if (remaining == 0 || item.state != flow_state::established) return;
            self.mark_unverified_after_pause(item);
            self.apply_acknowledgement(item);
            const duration idle = self.table_.idle_time(item, now);
            if (idle < idle_replication_delay && !self.delivers_unreplicated(key, item)) return;
            const member_id target = self.missing_holder(key, item);
            if (target == 0 || (holder_of_unconfirmed_copy(item) == target && idle < previous_ranking_lifetime)) return;
            const placement_record record = self.record_of(item);
            if (record.tunnel.port == 0) return;
            batches[target].push_back({key, record});
            --remaining;
        }
        impl&                                                  self;
        steady_time                                            now;
        std::size_t                                            remaining;
        std::map<member_id, std::vector<replicated_placement>> batches; // by holder that lacks the placements
    };

    std::map<member_id, std::vector<replicated_placement>> placements_to_replicate(std::size_t limit);
    bool store_replicated(member_id peer_id, const replicated_placement& item);
    void acknowledge_replicated(member_id peer_id, std::span<const flow_key> flows);

    struct unreplicated_counter final : flow_table::visitor {
        explicit unreplicated_counter(impl& owning_forwarder) : self(owning_forwarder) {}
        void visit(const flow_key&, placement& item) override {
            self.mark_unverified_after_pause(item);
            self.apply_acknowledgement(item);
            if (item.state == flow_state::established && !self.held_elsewhere(item)) ++count;
        }
        impl&       self;
        std::size_t count = 0;
    };

    void             apply_acknowledgement(placement& item) const;
    std::size_t      unreplicated_placements();
    flow_explanation explain(const flow_tuple& flow);
    std::string      reason_of(const flow_explanation& result) const;

    forwarder_settings settings_;
    const clock&       time_;
    flow_table         table_;
    token_bucket       reply_budget_; // limits error replies, so that not every packet of a flood is answered
    steady_time        started_;
    steady_time        last_activity_;
    bool               paused_ = false;
    steady_time        paused_at_{};
    std::uint32_t      resumed_at_ticks_ = 0; // end of the last pause; placements not used since then are unverified
    std::shared_ptr<const forwarding_state> state_;       // null until the first publish
    std::optional<service_index>            index_;       // of state_
    std::unordered_map<member_id, member>   members_;     // of state_
    std::unordered_set<std::uint32_t>       live_tokens_; // incarnation tokens of members_, without this balancer
    place_sequences                         sequences_;
    refused_syns                            refusals_;
    new_flow_rates<service_id>              service_rates_;
    new_flow_rates<backend_server_id>       backend_rates_;
    std::unordered_map<backend_server_id, endpoint> learned_tunnels_; // at most max_learned_tunnels
    seen_revision                                   newest_revision_;
    std::size_t                                     replication_position_ = 0;
    std::vector<std::byte>                          scratch_;
    forwarder_counters                              counters_;
};

} // namespace tamarack
