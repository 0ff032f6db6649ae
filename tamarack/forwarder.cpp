// Packets from the fabric and the public functions of the forwarder. docs/design.md section 2.2.
#include "tamarack/forwarder_impl.h"

namespace tamarack {

namespace {

constexpr std::size_t slots_per_tick = 8'192; // slots of the flow table checked for expiry

} // namespace

//----------------------------------------------------------------------------------------------------------------------
// Packets
//----------------------------------------------------------------------------------------------------------------------

void forwarder::impl::receive_from_fabric(byte_view udp_payload, const endpoint& fabric_endpoint, action_buffer& out) {
    ++counters_.packets_from_fabric;
    const steady_time now = time_.steady_now();
    if (!is_ready(now)) return;
    const auto inner = decapsulate(udp_payload);
    if (!inner.has_value()) return count_malformed(inner.error());
    const auto info = parse_packet(inner.value());
    if (!info.has_value()) return count_malformed(info.error());
    packet_context packet = make_context(info.value(), inner.value(), fabric_endpoint, now, out);
    handle_packet(packet, nullptr);
}

void forwarder::impl::receive_from_peer(byte_view datagram, action_buffer& out) {
    ++counters_.packets_from_peers;
    const steady_time now = time_.steady_now();
    if (!is_ready(now)) return;
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
    packet_context packet = make_context(info.value(), frame.value().inner, header.fabric_endpoint, now, out);
    if (packet.key != header.key) {
        ++counters_.frames_rejected; // the sender uses another hash seed, or the packet does not belong to the header
        return;
    }
    packet.hops = header.hops;
    packet.sender = header.sender;
    receive_packet(packet, header);
}

void forwarder::impl::tick(action_buffer&) {
    const steady_time now = time_.steady_now();
    detect_pause(now);
    if (!state_) return;
    table_.expire(now, slots_per_tick, &protocol_of, this);
    check(invariant::table_cap, table_.size() <= table_.capacity());
    counters_.evictions = table_.evictions();
}

//----------------------------------------------------------------------------------------------------------------------
// Dispatch
//----------------------------------------------------------------------------------------------------------------------

// Handles a packet from the fabric, or from a peer that considers this balancer the owner.
void forwarder::impl::handle_packet(packet_context& packet, offered_placement offered) {
    const member_id owner = packet.bucket_holders.owner();
    placement*      item = find_unexpired(packet);
    if (owner == settings_.self || owner == 0) return handle_as_owner(packet, item, offered);
    // The two balancers rank differently: each considers the other one the owner. This balancer decides, so that the
    // packet is not sent back and forth.
    if (packet.sender == owner) return handle_as_owner(packet, item, offered);
    if (item != nullptr && may_deliver_as_second_holder(packet, *item)) return deliver_placed(packet, *item);
    if (!reachable(owner)) return handle_as_owner(packet, item, offered);
    relay_to_owner(packet, item, offered);
}

// True for the first packet in each quarter of the idle timeout, which is sent through both holders: the copy of a
// holder that sees no packets would expire.
bool forwarder::impl::refresh_due(const packet_context& packet, const placement& item) const {
    const bool udp = packet.info.flow.protocol == transport::udp;
    const auto timeout = udp ? settings_.table.udp_idle_timeout : settings_.table.idle_timeout;
    const auto quarter = std::max<std::int64_t>(1, timeout / 4 / flow_table::tick_length);
    return flow_table::ticks_of(packet.now) / quarter != item.last_seen / quarter;
}

bool forwarder::impl::may_deliver_as_second_holder(const packet_context& packet, const placement& item) const {
    if (packet.bucket_holders.second != settings_.self || packet.changes_state()) return false;
    if (refresh_due(packet, item)) return false;
    // The owner must know the placement in its present state: a new owner learns it from an offer frame, and the owner
    // that has it already must see each change of state.
    return item.state == flow_state::established && item.place_sequence == 0 && item.other_holder_token != 0 &&
           item.other_holder_token == token_of(packet.bucket_holders.owner());
}

void forwarder::impl::relay_to_owner(packet_context& packet, placement* item, offered_placement offered) {
    relay_header header = make_header(packet, relay_kind::forward, packet.bucket_holders.owner());
    if (item != nullptr && !is_tuple_reuse(*item, packet.info) && tunnel_of(item->backend_server)) {
        update_state(packet, *item);
        header.kind = relay_kind::offer;
        header.placement = record_of(*item);
    } else if (offered != nullptr) {
        header.kind = relay_kind::offer;
        header.placement = *offered;
    }
    send_frame(packet, header, packet.bucket_holders.owner(), packet.inner);
}

relay_header forwarder::impl::make_header(const packet_context& packet, relay_kind kind, member_id recipient) const {
    relay_header header;
    header.kind = kind;
    header.sender = settings_.self;
    header.sender_incarnation = settings_.self_incarnation;
    header.hops = static_cast<std::uint8_t>(packet.hops + 1);
    header.acknowledgement = sequences_.acknowledgement_for(recipient);
    header.revision = state_->services->revision;
    header.key = packet.key;
    header.fabric_endpoint = packet.fabric_endpoint;
    return header;
}

void forwarder::impl::send_frame(const packet_context& packet, const relay_header& header, member_id recipient,
                                 byte_view inner) {
    if (header.hops > max_relay_hops) {
        ++counters_.hops_exceeded;
        return;
    }
    const member* target = reachable(recipient) ? find_member(recipient) : nullptr;
    if (target == nullptr) {
        ++counters_.dropped_unreachable;
        return;
    }
    scratch_.clear();
    append_relay_frame(header, inner, settings_.keys, scratch_);
    packet.out->add(action_kind::relay, target->relay, scratch_, {});
    ++counters_.packets_relayed;
}

//----------------------------------------------------------------------------------------------------------------------
// Owner
//----------------------------------------------------------------------------------------------------------------------

void forwarder::impl::handle_as_owner(packet_context& packet, placement* item, offered_placement offered) {
    if (offered != nullptr) item = accept_offer(packet, item, *offered);
    if (item != nullptr && was_refused(packet)) {
        ++counters_.dropped_refused; // late duplicate; the placement belongs to a later SYN
        return;
    }
    if (item == nullptr) {
        if (packet.info.icmp_error) return;
        if (packet.starts_flow()) return place_new_flow(packet, 1, 0);
        return look_up_placement(packet);
    }
    if (is_tuple_reuse(*item, packet.info)) return reuse_tuple(packet, *item);
    if (backend_is_dead(*item, packet.now)) return reset_flow_of_dead_backend(packet, *item);
    const bool refresh = refresh_due(packet, *item);
    const bool changed = update_state(packet, *item);
    // The second holder tracks the state of the flow. A placement that only this balancer holds gets its copy with the
    // flow's next packet.
    if (refresh || changed || packet.changes_state() || !peer_holder_confirmed(packet, *item))
        return send_through_peer_holder(packet, *item);
    deliver_placed(packet, *item);
}

// Applies the placement that a holder outside the current pair sent along with the packet. Returns the placement to
// use; null if there is no room.
placement* forwarder::impl::accept_offer(const packet_context& packet, placement* item,
                                         const placement_record& offered) {
    if (item == nullptr) return store_offered(packet, offered);
    const bool is_older = offered.generation < item->generation;
    if (is_older || offered.backend_server == item->backend_server) return item;
    const bool is_newer = offered.generation > item->generation;
    const bool has_stronger_claim = offered.acknowledged || (item->unverified && !offered.unverified);
    if (is_newer || (item->other_holder_token == 0 && has_stronger_claim)) {
        ++counters_.flows_adopted;
        table_.erase(packet.key);
        return store_offered(packet, offered);
    }
    ++counters_.placement_conflicts;
    return item;
}

// Stores a placement that another balancer decided and may already have forwarded; it must not be replaced by another
// choice.
placement* forwarder::impl::store_offered(const packet_context& packet, const placement_record& record) {
    placement value = placement_of(record);
    value.place_sequence = unsent_place_sequence;
    return table_.insert(packet.key, value, packet.now);
}

placement forwarder::impl::placement_of(const placement_record& record) {
    placement value;
    value.backend_server = record.backend_server;
    value.service = record.service;
    value.generation = record.generation;
    value.state = record.state;
    value.unverified = record.unverified;
    value.other_holder_token = record.acknowledged ? unknown_holder_token : 0;
    value.place_sequence = record.possibly_delivered ? unsent_place_sequence : 0;
    if (value.state != flow_state::established) value.set_sequence_mark(record.sequence_mark);
    return value;
}

// Stores a placement for the packet's flow; null if there is no room.
placement* forwarder::impl::store_placement(const packet_context& packet, const placement_record& record,
                                            std::uint32_t other_holder_token) {
    placement value = placement_of(record);
    value.other_holder_token = other_holder_token;
    value.place_sequence = 0;
    value.unverified = false;
    return table_.insert(packet.key, value, packet.now);
}

// Places a new flow on the 5-tuple of a flow that has ended. The backend server is kept if it may take new flows, so
// that a late duplicate of the first SYN cannot reach a different one.
void forwarder::impl::reuse_tuple(packet_context& packet, const placement& item) {
    const auto              generation = static_cast<std::uint16_t>(item.generation + 1);
    const backend_server_id preferred = item.backend_server;
    table_.erase(packet.key);
    place_new_flow(packet, generation, preferred);
}

bool forwarder::impl::backend_is_dead(const placement& item, steady_time now) const {
    const indexed_server* found = index_->server(item.backend_server);
    if (found == nullptr) return index_->covers_id(item.backend_server);
    // During a network partition the backend server may be alive on the other side, and a repeated packet may reach it
    // there.
    if (state_->network_partition_suspected || now < state_->no_reset_before) return false;
    return !found->status.available && now - found->status.out_since >= settings_.dead_server_grace;
}

// Does not answer a SYN: it may have been forwarded before, and a RST would tell the caller that it was not.
void forwarder::impl::reset_flow_of_dead_backend(const packet_context& packet, placement& item) {
    if (packet.info.syn || item.state == flow_state::half_open) return;
    if (!send_error_reply(packet)) return;
    if (item.state == flow_state::closing) return;
    ++counters_.flows_reset_dead;
    close_flow(item, packet.info);
    table_.touch(item, packet.now);
}

// True if the state has changed; no other holder has acknowledged the new state yet.
bool forwarder::impl::update_state(const packet_context& packet, placement& item) {
    const bool changed = advance_state(item, packet.info);
    if (changed) {
        item.pending_holder = 0;
        item.place_sequence = unsent_place_sequence;
    }
    table_.touch(item, packet.now);
    return changed;
}

// True if the other holder is known to have the placement in its present state, or if there is no other holder.
bool forwarder::impl::peer_holder_confirmed(const packet_context& packet, placement& item) const {
    const member_id other_holder = peer_holder(packet);
    if (!reachable(other_holder)) return true;
    apply_acknowledgement(item);
    return item.place_sequence == 0 && item.other_holder_token == token_of(other_holder);
}

// The other holder of the packet's bucket: the second holder if this balancer is the owner, else the owner.
member_id forwarder::impl::peer_holder(const packet_context& packet) const {
    const holders& pair = packet.bucket_holders;
    return pair.owner() == settings_.self ? pair.second : pair.owner();
}

void forwarder::impl::place_new_flow(packet_context& packet, std::uint16_t generation, backend_server_id preferred) {
    if (!state_->may_place) {
        ++counters_.dropped_unsettled;
        return;
    }
    const indexed_server* chosen = choose_backend(packet, preferred);
    if (chosen == nullptr) return propose_refusal(packet);
    placement_record record;
    record.backend_server = chosen->server->id;
    record.service = chosen->parent_service->id;
    record.tunnel = chosen->server->tunnel;
    record.generation = generation;
    if (packet.info.flow.protocol == transport::tcp) {
        record.sequence_mark = packet.info.sequence;
    } else {
        record.state = flow_state::established;
    }
    placement* item = store_placement(packet, record, 0);
    if (item == nullptr) return propose_refusal(packet);
    ++counters_.flows_placed;
    send_new_placement(packet, *item, record);
}

// Chooses a backend server for a new flow; null if the flow must be refused.
const indexed_server* forwarder::impl::choose_backend(const packet_context& packet, backend_server_id preferred) {
    const service* target = index_->service_at(packet.info.flow.protocol, packet.info.flow.destination);
    if (target == nullptr || was_refused(packet)) return nullptr;
    const auto members = static_cast<std::uint32_t>(std::max<std::size_t>(1, state_->owners.present->member_count()));
    if (service_at_limit(*target, members, packet.now)) return nullptr;
    const bool            hash_only = state_->network_partition_suspected || ranking_recently_changed(packet);
    const selection_input input{*target, *index_, table_, packet.key, time_.wall_now(), members, hash_only};
    const indexed_server* previous = preferred == 0 ? nullptr : index_->server(preferred);
    const bool            keep_previous =
        previous != nullptr && previous->parent_service == target && effective_weight(*previous, input.now) > 0;
    const indexed_server* chosen = keep_previous ? previous : select(settings_.policy, input);
    if (chosen == nullptr ||
        !within_rate(chosen->server->limits, backend_rates_, chosen->server->id, members, packet.now))
        return nullptr;
    check(invariant::no_flow_to_draining, chosen->server->state == backend_state::active, chosen->server->name);
    check(invariant::right_service, chosen->parent_service == target, target->name);
    return chosen;
}

// Limits apply to the whole cluster and each balancer enforces an equal share. They are therefore inexact by the
// unevenness of bucket ownership, about 13% at 267 members.
bool forwarder::impl::service_at_limit(const service& target, std::uint32_t members, steady_time now) {
    const double held_flows = static_cast<double>(table_.service_flow_count(target.id));
    const double share = members < 2 ? 1.0 : 2.0 / members; // each placement is held twice
    if (target.limits.max_flows != 0 && held_flows >= std::max(1.0, target.limits.max_flows * share)) return true;
    return !within_rate(target.limits, service_rates_, target.id, members, now);
}

//----------------------------------------------------------------------------------------------------------------------
// Routes
//----------------------------------------------------------------------------------------------------------------------

// Adds the holders of the bucket under previous rankings, newest first, since one of them may have the placement.
void forwarder::impl::add_previous_holders(const packet_context& packet, std::size_t limit, route& path) const {
    const std::size_t bucket = bucket_of(packet.key);
    for (const auto& entry : state_->owners.previous) {
        const holders& pair = entry.ranking->holders_of(bucket);
        for (const member_id id : {pair.owner(), pair.second}) {
            if (path.length >= limit) return;
            if (reachable(id) && id != peer_holder(packet)) path.add(id);
        }
    }
}

// Route of a place frame: for a new placement the previous holders, then the other holder as the last hop.
forwarder::impl::route forwarder::impl::place_route(const packet_context& packet, bool is_new) const {
    route           path;
    const member_id last_hop = peer_holder(packet);
    const bool      has_last_hop = reachable(last_hop);
    if (is_new) add_previous_holders(packet, has_last_hop ? max_route_length - 1 : max_route_length, path);
    if (has_last_hop) path.add(last_hop);
    return path;
}

forwarder::impl::route forwarder::impl::lookup_route(const packet_context& packet) const {
    route path;
    if (reachable(peer_holder(packet))) path.add(peer_holder(packet));
    add_previous_holders(packet, max_route_length, path);
    for (const member_id id : packet.bucket_holders.ranks) {
        if (reachable(id)) path.add(id);
    }
    return path;
}

void forwarder::impl::send_on_route(packet_context& packet, relay_header header, const route& path) {
    header.owner = settings_.self;
    header.owner_incarnation = settings_.self_incarnation;
    if (header.kind == relay_kind::place) header.last_hop_token = token_of(path.members[path.length - 1U]);
    header.route_length = static_cast<std::uint8_t>(path.length - 1);
    std::copy(path.members.begin() + 1, path.members.begin() + path.length, header.route.begin());
    send_frame(packet, header, path.members[0], packet.inner);
}

// Sends a new placement to every balancer that may hold a different one for the flow, and last to the second holder,
// which records it.
void forwarder::impl::send_new_placement(packet_context& packet, placement& item, const placement_record& record) {
    const route path = place_route(packet, true);
    if (path.length == 0) return deliver_placed(packet, item);
    send_place_frame(packet, item, record, path);
}

void forwarder::impl::send_through_peer_holder(packet_context& packet, placement& item) {
    const placement_record record = record_of(item);
    if (record.tunnel.port == 0) {
        ++counters_.dropped_unreachable;
        return;
    }
    // Until the second holder has confirmed the placement, one of a previous holder may still win. Previous holders
    // must also learn of the flow's end, or they would mistake a new connection for the old one.
    const bool  ends_flow = packet.info.fin || packet.info.rst;
    const route path = place_route(packet, !record.acknowledged || ends_flow);
    if (path.length == 0) return deliver_placed(packet, item);
    send_place_frame(packet, item, record, path);
}

void forwarder::impl::send_place_frame(packet_context& packet, placement& item, const placement_record& record,
                                       const route& path) {
    const member_id last_hop = path.members[path.length - 1U];
    relay_header    header = make_header(packet, relay_kind::place, path.members[0]);
    header.placement = record;
    header.place_sequence = sequences_.next_sequence(last_hop);
    item.place_sequence = header.place_sequence;
    item.pending_holder = last_hop;
    send_on_route(packet, header, path);
}

// Proposes to the other holders that the flow be refused. The SYN is remembered here too, because the last hop may
// answer it: the caller is then told "not run", which a later choice for the same SYN would contradict.
void forwarder::impl::propose_refusal(packet_context& packet) {
    // Without a configuration the refusal is not final: the second holder may choose a backend server.
    const bool is_final = state_->services->revision > 0;
    if (is_final && packet.info.syn && !refusals_.remember(packet.key, packet.info.sequence, packet.now)) return;
    const route path = place_route(packet, true);
    if (path.length == 0 && state_->services->revision == 0) {
        ++counters_.dropped_unsettled; // no configuration has been received yet
        return;
    }
    if (path.length == 0) return refuse_flow(packet);
    send_on_route(packet, make_header(packet, relay_kind::place, path.members[0]), path);
}

// Asks the other candidates for the placement of an established flow that this balancer does not hold. The flow is
// reset if none of them has it.
void forwarder::impl::look_up_placement(packet_context& packet) {
    const bool  may_reset = ranking_settled(packet) && state_->may_place;
    const route path = lookup_route(packet);
    if (path.length == 0) return reset_lost_flow(packet, may_reset);
    relay_header header = make_header(packet, relay_kind::lookup, path.members[0]);
    if (!may_reset) header.fabric_endpoint = {}; // the last hop must not answer
    send_on_route(packet, header, path);
}

void forwarder::impl::reset_lost_flow(const packet_context& packet, bool may_reset) {
    if (!may_reset) {
        ++counters_.dropped_unsettled;
        return;
    }
    if (send_error_reply(packet)) ++counters_.flows_reset_lost;
}

//----------------------------------------------------------------------------------------------------------------------
// Delivery
//----------------------------------------------------------------------------------------------------------------------

void forwarder::impl::deliver_placed(packet_context& packet, placement& item) {
    if (backend_is_dead(item, packet.now)) return reset_flow_of_dead_backend(packet, item);
    if (detect_stall(item, packet.info, flow_table::ticks_of(packet.now))) return reset_stalled_flow(packet, item);
    const auto tunnel = tunnel_of(item.backend_server);
    if (!tunnel) {
        ++counters_.dropped_unreachable;
        return;
    }
    table_.touch(item, packet.now);
    deliver_to(packet, item.service, *tunnel);
}

void forwarder::impl::deliver_to(const packet_context& packet, service_id placed_service, const endpoint& tunnel) {
    const service* target = index_->service_at(packet.info.flow.protocol, packet.info.flow.destination);
    // A service that exists only in a newer revision cannot be checked here; the owner has checked it.
    if (target != nullptr && target->id != placed_service) {
        check(invariant::right_service, false, target->name);
        return;
    }
    const auto header = make_gue_header(packet.info.flow.source.address.is_v4());
    packet.out->add(action_kind::deliver, tunnel, header, packet.inner);
    ++counters_.packets_delivered;
}

void forwarder::impl::reset_stalled_flow(const packet_context& packet, placement& item) {
    if (!send_error_reply(packet)) return;
    if (item.state != flow_state::closing) ++counters_.flows_stalled;
    close_stalled_flow(item, packet.info);
    table_.touch(item, packet.now);
}
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
void forwarder::receive_from_fabric(byte_view udp_payload, const endpoint& fabric_endpoint, action_buffer& out) {
    impl_->receive_from_fabric(udp_payload, fabric_endpoint, out);
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
