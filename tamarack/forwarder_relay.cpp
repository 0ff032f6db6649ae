// Relay frames from peers: placements, refusals and lookups of flows. docs/design.md section 2.2.
#include "tamarack/forwarder_impl.h"

namespace tamarack {

//----------------------------------------------------------------------------------------------------------------------
// Relay frames from peers
//----------------------------------------------------------------------------------------------------------------------

bool forwarder::impl::accept_sender(const relay_header& header) {
    const bool routed = header.owner != 0;
    if (header.sender == settings_.self || !accept_incarnation(header.sender, header.sender_incarnation) ||
        (routed && !accept_incarnation(header.owner, header.owner_incarnation))) {
        ++counters_.frames_stale_sender;
        return false;
    }
    const bool is_last_hop = header.kind == relay_kind::place && header.route_length == 0;
    if (is_last_hop && header.last_hop_token != incarnation_token(settings_.self, settings_.self_incarnation)) {
        ++counters_.frames_stale_receiver; // addressed to the process before a restart, whose placements are gone
        return false;
    }
    sequences_.apply_acknowledgement(header.sender, header.acknowledgement);
    if (header.revision > newest_revision_.revision)
        newest_revision_ = {header.revision, header.owner != 0 ? header.owner : header.sender};
    return true;
}

// False if the member is known under a newer incarnation.
bool forwarder::impl::accept_incarnation(member_id id, incarnation_number number) {
    sequences_.record_incarnation(id, number);
    const member* found = find_member(id);
    if (found == nullptr || number == found->incarnation) return true;
    if (number < found->incarnation) return false;
    member restarted = *found;
    restarted.incarnation = number;
    live_tokens_.erase(incarnation_token(id, found->incarnation));
    record_member(restarted);
    return true;
}

void forwarder::impl::receive_packet(packet_context& packet, const relay_header& header) {
    switch (header.kind) {
    case relay_kind::forward:
        return handle_packet(packet, nullptr);
    case relay_kind::offer:
        return handle_packet(packet, &header.placement);
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

void forwarder::impl::pass_to_next_hop(const packet_context& packet, const relay_header& received) {
    relay_header header = received;
    header.sender = settings_.self;
    header.sender_incarnation = settings_.self_incarnation;
    header.hops = static_cast<std::uint8_t>(received.hops + 1);
    // The header keeps the owner's revision, which the last hop compares with its own.
    header.acknowledgement = sequences_.acknowledgement_for(received.route[0]);
    header.route_length = static_cast<std::uint8_t>(received.route_length - 1);
    std::copy(received.route.begin() + 1, received.route.end(), header.route.begin());
    header.route.back() = 0;
    send_frame(packet, header, received.route[0], packet.inner);
}

void forwarder::impl::receive_place(packet_context& packet, const relay_header& header) {
    placement* item = find_unexpired(packet);
    if (was_refused(packet)) return repeat_refusal(packet, item, header);
    const bool is_free = item == nullptr || is_tuple_reuse(*item, packet.info);
    if (!is_free && held_placement_wins(*item, header.placement)) return enforce_held_placement(packet, *item, header);
    if (is_free && item != nullptr && header.placement.backend_server != 0 &&
        header.placement.generation <= item->generation)
        return decline_with_next_generation(packet, *item, header);
    if (item != nullptr && item->generation < header.placement.generation) {
        table_.erase(packet.key); // belongs to an earlier flow with the same 5-tuple
        item = nullptr;
    }
    if (item == nullptr && is_outdated_proposal(header)) return propose_replacement(packet, header);
    if (header.route_length > 0) return pass_place_frame(packet, item, header);
    record_placement(packet, item, header);
}

// The placement held here wins over the owner's. If only this balancer knows it, it must not be delivered before the
// owner knows it too.
void forwarder::impl::enforce_held_placement(packet_context& packet, placement& item, const relay_header& header) {
    if (item.other_holder_token != 0) return deliver_by_held_placement(packet, item, header);
    send_decline(packet, record_of(item), header);
}

void forwarder::impl::send_decline(const packet_context& packet, const placement_record& alternative,
                                   const relay_header& received) {
    if (alternative.tunnel.port == 0) {
        ++counters_.dropped_unreachable;
        return;
    }
    relay_header answer = make_header(packet, relay_kind::decline, received.owner);
    answer.placement = alternative;
    answer.place_sequence = received.place_sequence;
    send_frame(packet, answer, received.owner, packet.inner);
}

// Handles a decline frame: a hop of this owner's route holds or has chosen a different placement. An answer to an
// earlier place frame than the flow's latest one is ignored, since the latest one may have been delivered.
void forwarder::impl::receive_decline(packet_context& packet, const relay_header& header) {
    placement* item = find_unexpired(packet);
    if ((item == nullptr ? 0 : item->place_sequence) != header.place_sequence) {
        ++counters_.dropped_unsettled;
        return;
    }
    if (!header.placement.possibly_delivered && not_selectable(header.placement) &&
        header.revision < state_->services->revision) {
        table_.erase(packet.key);
        return place_new_flow(packet, header.placement.generation, 0);
    }
    if (header.hops > max_first_answer_hops && item != nullptr && item->other_holder_token == 0) {
        resolve_conflict(packet, *item, header.placement);
    } else {
        adopt_placement(packet.key, header.placement, 0, packet.now);
    }
    item = find_unexpired(packet);
    if (item == nullptr) {
        ++counters_.dropped_table_full;
        return;
    }
    handle_as_owner(packet, item, nullptr);
}

// Passes a place frame to the next hop, and adds what this balancer knows of the placement.
void forwarder::impl::pass_place_frame(const packet_context& packet, placement* item, const relay_header& header) {
    const placement_record& record = header.placement;
    if (item == nullptr || record.backend_server == 0) return pass_to_next_hop(packet, header);
    const bool   is_same = item->backend_server == record.backend_server && item->generation == record.generation;
    relay_header updated = header;
    updated.placement.acknowledged = record.acknowledged || (is_same && item->other_holder_token != 0);
    updated.placement.unverified = record.unverified && !updated.placement.acknowledged;
    if (is_same) update_state(packet, *item);
    if (!is_same && record.acknowledged) table_.erase(packet.key); // the acknowledged placement wins
    pass_to_next_hop(packet, updated);
}

// Handles a place frame for a SYN that was refused: the owner does not know of the refusal and has placed a late
// duplicate of the SYN.
void forwarder::impl::repeat_refusal(packet_context& packet, placement* item, const relay_header& header) {
    const bool possibly_delivered = header.placement.possibly_delivered || header.placement.acknowledged;
    if (item != nullptr || possibly_delivered) {
        ++counters_.dropped_refused;
        return;
    }
    if (header.route_length == 0) return refuse_flow(packet);
    relay_header refusal = header;
    refusal.placement = {};
    pass_to_next_hop(packet, refusal);
}

// Declines with a higher generation: the owner no longer knows the earlier flow with the same 5-tuple.
void forwarder::impl::decline_with_next_generation(packet_context& packet, const placement& item,
                                                   const relay_header& header) {
    placement_record record = header.placement;
    record.generation = static_cast<std::uint16_t>(item.generation + 1);
    send_decline(packet, record, header);
}

// True if the placement held here wins over the owner's.
bool forwarder::impl::held_placement_wins(const placement& item, const placement_record& record) {
    if (record.backend_server == 0) return true;
    if (item.generation != record.generation) return item.generation > record.generation;
    if (item.backend_server == record.backend_server || record.acknowledged) return false;
    // A new placement has not been delivered yet; an unverified one may have been.
    if (item.unverified && record.possibly_delivered) return record.unverified;
    return true;
}

// Delivers the packet by the placement held here, and sends that placement to the owner.
void forwarder::impl::deliver_by_held_placement(packet_context& packet, placement& item, const relay_header& header) {
    update_state(packet, item);
    if (!tunnel_of(item.backend_server)) {
        ++counters_.dropped_unreachable;
        return;
    }
    packet_context answer = packet;
    answer.hops = 0;
    relay_header adopt_header = make_header(answer, relay_kind::adopt, header.owner);
    adopt_header.placement = record_of(item);
    send_frame(answer, adopt_header, header.owner, {});
    deliver_placed(packet, item);
}

// Handles a place frame as the last hop of its route: records the placement and delivers the packet.
void forwarder::impl::record_placement(packet_context& packet, placement* item, const relay_header& header) {
    const placement_record& record = header.placement;
    if (record.backend_server == 0) {
        if (item != nullptr) table_.erase(packet.key); // a closing flow; its 5-tuple may be used again
        // An owner with an older configuration, such as one that has just started, may not know a backend server that
        // can take the flow.
        if (header.revision < state_->services->revision) return propose_replacement(packet, header);
        if (state_->services->revision == 0) {
            ++counters_.dropped_unsettled; // no configuration has been received yet
            return;
        }
        return refuse_flow(packet);
    }
    const bool is_same =
        item != nullptr && item->backend_server == record.backend_server && item->generation == record.generation;
    if (item != nullptr && !is_same) {
        if (item->generation == record.generation) ++counters_.placement_conflicts;
        table_.erase(packet.key);
        item = nullptr;
    }
    if (item == nullptr) item = store_placement(packet, record, token_of(header.owner));
    if (item == nullptr && !record.acknowledged) {
        ++counters_.dropped_table_full;
        return;
    }
    if (item == nullptr) return deliver_to(packet, record.service, record.tunnel);
    confirm(*item, token_of(header.owner));
    sequences_.record_received(header.owner, header.place_sequence);
    update_state(packet, *item);
    copy_state(*item, record);
    deliver_placed(packet, *item);
}

// Two hops hold different placements, and neither has been acknowledged. Both may have been delivered, so that either
// choice may be wrong; without a choice the flow would hang. The lower backend server id wins.
void forwarder::impl::resolve_conflict(const packet_context& packet, placement& item, const placement_record& other) {
    ++counters_.placement_conflicts;
    placement* winner = &item;
    if (other.backend_server < item.backend_server) {
        table_.erase(packet.key);
        winner = store_offered(packet, other);
    }
    if (winner != nullptr) confirm(*winner, unknown_holder_token);
}

// Copies the state of the owner's record into the same placement held here.
void forwarder::impl::copy_state(placement& item, const placement_record& record) {
    if (item.state != record.state && record.state != flow_state::half_open) {
        item.state = record.state;
        item.repeats = 0;
        item.set_sequence_mark(record.sequence_mark);
    }
    item.pending_holder = 0;
    item.place_sequence = 0;
}

// True for a new proposal that names a backend server which must not take new flows by this balancer's configuration,
// which is at least as new as the owner's.
bool forwarder::impl::is_outdated_proposal(const relay_header& header) const {
    const placement_record& record = header.placement;
    if (record.backend_server == 0 || record.possibly_delivered || record.acknowledged) return false;
    return state_->services->revision >= header.revision && not_selectable(record);
}

bool forwarder::impl::not_selectable(const placement_record& record) const {
    const indexed_server* found = index_->server(record.backend_server);
    if (found == nullptr) return index_->covers_id(record.backend_server);
    return found->server->state != backend_state::active;
}

void forwarder::impl::propose_replacement(packet_context& packet, const relay_header& header) {
    const indexed_server* chosen = choose_backend(packet, 0);
    if (chosen == nullptr) {
        if (header.placement.backend_server == 0) return refuse_flow(packet);
        // The owner keeps its proposal, so the flow must not be refused; the caller will repeat its SYN.
        ++counters_.dropped_unsettled;
        return;
    }
    placement_record record = header.placement;
    record.backend_server = chosen->server->id;
    record.service = chosen->parent_service->id;
    record.tunnel = chosen->server->tunnel;
    send_decline(packet, record, header);
}

void forwarder::impl::receive_lookup(packet_context& packet, const relay_header& header) {
    placement* item = find_unexpired(packet);
    if (item != nullptr && backend_is_dead(*item, packet.now)) return reset_flow_of_dead_backend(packet, *item);
    if (item != nullptr && item->other_holder_token != 0) return deliver_by_held_placement(packet, *item, header);
    // An unacknowledged placement is used only if no hop has an acknowledged one.
    relay_header lookup = header;
    if (item != nullptr && header.placement.backend_server == 0) lookup.placement = record_of(*item);
    if (header.route_length > 0) return pass_to_next_hop(packet, lookup);
    if (lookup.placement.backend_server != 0) return offer_lookup_result(packet, lookup);
    reset_lost_flow(packet, header.fabric_endpoint.port != 0);
}

// Ends a lookup that found only an unacknowledged placement. The owner adopts it and sends it to the other holders.
void forwarder::impl::offer_lookup_result(const packet_context& packet, const relay_header& header) {
    relay_header offer = make_header(packet, relay_kind::offer, header.owner);
    offer.placement = header.placement;
    if (offer.placement.tunnel.port == 0) {
        ++counters_.dropped_unreachable;
        return;
    }
    send_frame(packet, offer, header.owner, packet.inner);
}

// Adopts the placement of another balancer, unless the placement held here has been acknowledged. holder_token is 0 for
// a balancer that has not delivered any packet by its placement.
void forwarder::impl::adopt_placement(const flow_key& key, const placement_record& record, std::uint32_t holder_token,
                                      steady_time now) {
    placement* item = find_placement(key);
    if (item != nullptr && item->generation > record.generation) return;
    const bool is_same =
        item != nullptr && item->backend_server == record.backend_server && item->generation == record.generation;
    if (is_same) {
        if (holder_token != 0) confirm(*item, holder_token);
        return;
    }
    const bool is_acknowledged =
        item != nullptr && item->other_holder_token != 0 && item->generation == record.generation;
    if (is_acknowledged) {
        ++counters_.placement_conflicts;
        return;
    }
    if (item != nullptr) table_.erase(key);
    placement value = placement_of(record);
    if (holder_token != 0) confirm(value, holder_token);
    if (table_.insert(key, value, now) == nullptr) return;
    ++counters_.flows_adopted;
}

} // namespace tamarack
