// Packets from the fabric and the public functions of the forwarder. docs/design.md section 2.2.
#include "tamarack/forwarder_impl.h"

namespace tamarack {

namespace {

constexpr std::size_t slots_per_tick = 8'192; // of the flow table, looked at for expiry

} // namespace

//----------------------------------------------------------------------------------------------------------------------
// Packets
//----------------------------------------------------------------------------------------------------------------------

void forwarder::impl::receive_from_fabric(byte_view udp_payload, const endpoint& fabric, action_buffer& out) {
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

void forwarder::impl::receive_from_peer(byte_view datagram, action_buffer& out) {
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

void forwarder::impl::tick(action_buffer&) {
    const steady_time now = time_.steady_now();
    note_gap(now);
    if (!state_) return;
    table_.expire(now, slots_per_tick, &protocol_of, this);
    check(invariant::table_cap, table_.size() <= table_.capacity());
    counters_.evictions = table_.evictions();
}

//----------------------------------------------------------------------------------------------------------------------
// Arrival
//----------------------------------------------------------------------------------------------------------------------

// From the fabric, or from a peer that takes this balancer for the owner.
void forwarder::impl::arrive(packet_context& packet, offered_placement offered) {
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
bool forwarder::impl::refresh_due(const packet_context& packet, const placement& item) const {
    const bool udp = packet.info.flow.protocol == transport::udp;
    const auto timeout = udp ? settings_.table.udp_idle_timeout : settings_.table.idle_timeout;
    const auto quarter = std::max<std::int64_t>(1, timeout / 4 / flow_table::tick_length);
    return flow_table::ticks_of(packet.now) / quarter != item.last_seen / quarter;
}

bool forwarder::impl::may_deliver_as_second(const packet_context& packet, const placement& item) const {
    if (packet.responsible.second != settings_.self || packet.changes_state()) return false;
    if (refresh_due(packet, item)) return false;
    // Another owner than the one that shares this placement must learn it from an offer, and the one that does must
    // learn its state.
    return item.state == flow_state::established && item.place_sequence == 0 && item.other_holder != 0 &&
           item.other_holder == token_of(packet.responsible.owner());
}

void forwarder::impl::relay_to_owner(packet_context& packet, placement* item, offered_placement offered) {
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

relay_header forwarder::impl::make_header(const packet_context& packet, relay_kind kind, member_id to) const {
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

void forwarder::impl::send_frame(const packet_context& packet, const relay_header& header, member_id to,
                                 byte_view inner) {
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

//----------------------------------------------------------------------------------------------------------------------
// Owner
//----------------------------------------------------------------------------------------------------------------------

void forwarder::impl::handle_as_owner(packet_context& packet, placement* item, offered_placement offered) {
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
placement* forwarder::impl::take_offer(const packet_context& packet, placement* item, const placement_record& offered) {
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
    value.doubtful = record.doubtful;
    value.other_holder = record.established ? unknown_holder : 0;
    value.place_sequence = record.retried ? unsent_place_sequence : 0;
    if (value.state != flow_state::established) value.set_sequence_mark(record.sequence_mark);
    return value;
}

// Stores a placement that another balancer decided; null if there is no room.
placement* forwarder::impl::store(const packet_context& packet, const placement_record& record,
                                  std::uint32_t other_holder) {
    placement value = placement_of(record);
    value.other_holder = other_holder;
    value.place_sequence = 0;
    value.doubtful = false;
    return table_.insert(packet.key, value, packet.now);
}

// The 5-tuple of a flow that has ended. The same backend server is kept where it may take new flows, so that a late
// copy of the first SYN cannot reach another one.
void forwarder::impl::reuse_tuple(packet_context& packet, const placement& item) {
    const auto              generation = static_cast<std::uint16_t>(item.generation + 1);
    const backend_server_id preferred = item.backend_server;
    table_.erase(packet.key);
    place_new(packet, generation, preferred);
}

bool forwarder::impl::backend_is_dead(const placement& item, steady_time now) const {
    const indexed_server* found = index_->server(item.backend_server);
    if (found == nullptr) return index_->knows_ids_up_to(item.backend_server);
    // In a cut it may be alive on the other side, where a repeated packet may arrive.
    if (state_->partition_suspected || now < state_->no_reset_before) return false;
    return !found->status.available && now - found->status.out_since >= settings_.dead_server_grace;
}

// A SYN is not answered: it may have been forwarded before, and a RST would say that it was not.
void forwarder::impl::end_dead_flow(const packet_context& packet, placement& item) {
    if (packet.info.syn || item.state == flow_state::half_open) return;
    if (!answer_caller(packet)) return;
    if (item.state == flow_state::closing) return;
    ++counters_.flows_reset_dead;
    close_flow(item, packet.info);
    table_.touch(item, packet.now);
}

// True if the state is another one than before, which no holder has acknowledged.
bool forwarder::impl::update_state(const packet_context& packet, placement& item) {
    const bool changed = advance_state(item, packet.info);
    if (changed) {
        item.pending_holder = 0;
        item.place_sequence = unsent_place_sequence;
    }
    table_.touch(item, packet.now);
    return changed;
}

// True if the present second holder is known to have the placement in its present state, or there is none.
bool forwarder::impl::confirmed(const packet_context& packet, placement& item) const {
    const member_id second = other_of_pair(packet);
    if (!reachable(second)) return true;
    note_acknowledgement(item);
    return item.place_sequence == 0 && item.other_holder == token_of(second);
}

// The holder that this balancer shares placements of the bucket with.
member_id forwarder::impl::other_of_pair(const packet_context& packet) const {
    const holders& pair = packet.responsible;
    return pair.owner() == settings_.self ? pair.second : pair.owner();
}

void forwarder::impl::place_new(packet_context& packet, std::uint16_t generation, backend_server_id preferred) {
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
const indexed_server* forwarder::impl::choose(const packet_context& packet, backend_server_id preferred) {
    const service* target = index_->service_at(packet.info.flow.protocol, packet.info.flow.destination);
    if (target == nullptr || refused_before(packet)) return nullptr;
    const auto members = static_cast<std::uint32_t>(std::max<std::size_t>(1, state_->owners.present->member_count()));
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
bool forwarder::impl::service_at_limit(const service& target, std::uint32_t members, steady_time now) {
    const double held = static_cast<double>(table_.service_count(target.id));
    const double share = members < 2 ? 1.0 : 2.0 / members; // each placement is held twice
    if (target.limits.max_flows != 0 && held >= std::max(1.0, target.limits.max_flows * share)) return true;
    return !within_rate(target.limits, service_rates_, target.id, members, now);
}

//----------------------------------------------------------------------------------------------------------------------
// Routes
//----------------------------------------------------------------------------------------------------------------------

// Holders of the kept views, newest first: one of them may have the placement.
void forwarder::impl::add_previous_holders(const packet_context& packet, std::size_t limit, route& path) const {
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
forwarder::impl::route forwarder::impl::placing_route(const packet_context& packet, bool is_new) const {
    route           path;
    const member_id last = other_of_pair(packet);
    const bool      has_second = reachable(last);
    if (is_new) add_previous_holders(packet, has_second ? max_route_length - 1 : max_route_length, path);
    if (has_second) path.add(last);
    return path;
}

forwarder::impl::route forwarder::impl::lookup_route(const packet_context& packet) const {
    route path;
    if (reachable(other_of_pair(packet))) path.add(other_of_pair(packet));
    add_previous_holders(packet, max_route_length, path);
    for (const member_id id : packet.responsible.ranks) {
        if (reachable(id)) path.add(id);
    }
    return path;
}

void forwarder::impl::send_on_route(packet_context& packet, relay_header header, const route& path) {
    header.owner = settings_.self;
    header.owner_life = settings_.life;
    if (header.kind == relay_kind::place) header.last_token = token_of(path.members[path.length - 1U]);
    header.route_length = static_cast<std::uint8_t>(path.length - 1);
    std::copy(path.members.begin() + 1, path.members.begin() + path.length, header.route.begin());
    send_frame(packet, header, path.members[0], packet.inner);
}

// A new placement: every balancer that may hold another one for the flow sees it before the second holder records
// it.
void forwarder::impl::send_along_route(packet_context& packet, placement& item, const placement_record& record) {
    const route path = placing_route(packet, true);
    if (path.length == 0) return deliver_placed(packet, item);
    send_place(packet, item, record, path);
}

void forwarder::impl::send_through_second(packet_context& packet, placement& item) {
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

void forwarder::impl::send_place(packet_context& packet, placement& item, const placement_record& record,
                                 const route& path) {
    const member_id last = path.members[path.length - 1U];
    relay_header    header = make_header(packet, relay_kind::place, path.members[0]);
    header.placement = record;
    header.place_sequence = sequences_.next(last);
    item.place_sequence = header.place_sequence;
    item.pending_holder = last;
    send_on_route(packet, header, path);
}

// Remembered here too, since the last hop may answer: a later choice for the same SYN would break "not run".
void forwarder::impl::propose_refusal(packet_context& packet) {
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
void forwarder::impl::look_up(packet_context& packet) {
    const bool  may_reset = settled(packet) && state_->may_place;
    const route path = lookup_route(packet);
    if (path.length == 0) return end_lost_flow(packet, may_reset);
    relay_header header = make_header(packet, relay_kind::lookup, path.members[0]);
    if (!may_reset) header.fabric = {}; // the last hop must not answer
    send_on_route(packet, header, path);
}

void forwarder::impl::end_lost_flow(const packet_context& packet, bool may_reset) {
    if (!may_reset) {
        ++counters_.dropped_unsettled;
        return;
    }
    if (answer_caller(packet)) ++counters_.flows_reset_lost;
}

//----------------------------------------------------------------------------------------------------------------------
// Delivery
//----------------------------------------------------------------------------------------------------------------------

void forwarder::impl::deliver_placed(packet_context& packet, placement& item) {
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

void forwarder::impl::deliver_to(const packet_context& packet, service_id placed_for, const endpoint& tunnel) {
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

void forwarder::impl::end_stalled_flow(const packet_context& packet, placement& item) {
    if (!answer_caller(packet)) return;
    if (item.state != flow_state::closing) ++counters_.flows_stalled;
    close_stalled(item, packet.info);
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
