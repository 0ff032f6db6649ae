// What peers tell about flows: placements on their way, refusals, look-ups. docs/design.md section 2.2.
#include "tamarack/forwarder_impl.h"

namespace tamarack {

//----------------------------------------------------------------------------------------------------------------------
// Relay frames of peers
//----------------------------------------------------------------------------------------------------------------------

bool forwarder::impl::accept_sender(const relay_header& header) {
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
bool forwarder::impl::accept_life(member_id id, incarnation life) {
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

void forwarder::impl::receive_packet(packet_context& packet, const relay_header& header) {
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

void forwarder::impl::pass_on(const packet_context& packet, const relay_header& received) {
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

void forwarder::impl::receive_place(packet_context& packet, const relay_header& header) {
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
void forwarder::impl::insist(packet_context& packet, placement& item, const relay_header& header) {
    if (item.other_holder != 0) return deliver_own(packet, item, header);
    decline(packet, record_of(item), header);
}

void forwarder::impl::decline(const packet_context& packet, const placement_record& instead,
                              const relay_header& received) {
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
void forwarder::impl::receive_decline(packet_context& packet, const relay_header& header) {
    placement* item = find(packet);
    if ((item == nullptr ? 0 : item->place_sequence) != header.place_sequence) {
        ++counters_.dropped_unsettled;
        return;
    }
    if (!header.placement.retried && not_selectable(header.placement) && header.revision < state_->services->revision) {
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
void forwarder::impl::pass_place(const packet_context& packet, placement* item, const relay_header& header) {
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
void forwarder::impl::refuse_again(packet_context& packet, placement* item, const relay_header& header) {
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
void forwarder::impl::raise_generation(packet_context& packet, const placement& item, const relay_header& header) {
    placement_record record = header.placement;
    record.generation = static_cast<std::uint16_t>(item.generation + 1);
    decline(packet, record, header);
}

// Whether the placement held here wins over the owner's.
bool forwarder::impl::own_wins(const placement& item, const placement_record& record) {
    if (record.backend_server == 0) return true;
    if (item.generation != record.generation) return item.generation > record.generation;
    if (item.backend_server == record.backend_server || record.established) return false;
    // A new one has not been delivered yet, a doubtful one may have been.
    if (item.doubtful && record.retried) return record.doubtful;
    return true;
}

// Handles the packet by the placement held here and tells the owner.
void forwarder::impl::deliver_own(packet_context& packet, placement& item, const relay_header& header) {
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
void forwarder::impl::record_place(packet_context& packet, placement* item, const relay_header& header) {
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
void forwarder::impl::arbitrate(const packet_context& packet, placement& item, const placement_record& other) {
    ++counters_.placement_conflicts;
    placement* winner = &item;
    if (other.backend_server < item.backend_server) {
        table_.erase(packet.key);
        winner = store_offered(packet, other);
    }
    if (winner != nullptr) confirm(*winner, unknown_holder);
}

// The owner has the same placement, in the state that it tells.
void forwarder::impl::take_state(placement& item, const placement_record& record) {
    if (item.state != record.state && record.state != flow_state::half_open) {
        item.state = record.state;
        item.repeats = 0;
        item.set_sequence_mark(record.sequence_mark);
    }
    item.pending_holder = 0;
    item.place_sequence = 0;
}

// A new proposal that was checked under an older revision, and that this balancer would not make.
bool forwarder::impl::outdated(const relay_header& header) const {
    const placement_record& record = header.placement;
    if (record.backend_server == 0 || record.retried || record.established) return false;
    return state_->services->revision >= header.revision && not_selectable(record);
}

bool forwarder::impl::not_selectable(const placement_record& record) const {
    const indexed_server* found = index_->server(record.backend_server);
    if (found == nullptr) return index_->knows_ids_up_to(record.backend_server);
    return found->server->state != backend_state::active;
}

void forwarder::impl::choose_instead(packet_context& packet, const relay_header& header) {
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

void forwarder::impl::receive_lookup(packet_context& packet, const relay_header& header) {
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
void forwarder::impl::offer_found(const packet_context& packet, const relay_header& header) {
    relay_header offer = make_header(packet, relay_kind::offer, header.owner);
    offer.placement = header.placement;
    if (offer.placement.tunnel.port == 0) {
        ++counters_.dropped_unreachable;
        return;
    }
    send_frame(packet, offer, header.owner, packet.inner);
}

// Takes over the placement of another balancer unless this one's has been acknowledged. A holder of 0 is one that
// has not delivered anything by it.
void forwarder::impl::adopt(const flow_key& key, const placement_record& record, std::uint32_t holder,
                            steady_time now) {
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

} // namespace tamarack
