// Copies of placements for the holders that lack them, and explanations for operators. docs/design.md section 2.3.
#include "tamarack/forwarder_impl.h"

namespace tamarack {

namespace {

constexpr std::size_t slots_per_collection = 16'384; // looked at for replication

} // namespace

//----------------------------------------------------------------------------------------------------------------------
// Maintenance
//----------------------------------------------------------------------------------------------------------------------

bool forwarder::impl::known_elsewhere(const placement& item) const {
    if (unconfirmed_copy_at(item) != 0) return reachable(item.pending_holder);
    return item.place_sequence == 0 && live_tokens_.contains(item.other_holder);
}

// The present holder that should learn of a placement; 0: none has to.
member_id forwarder::impl::missing_holder(const flow_key& key, const placement& item) const {
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
bool forwarder::impl::delivers_unshared(const flow_key& key, const placement& item) const {
    const holders& pair = state_->owners.present->of(bucket_of(key));
    return pair.owner() != settings_.self && pair.second != settings_.self && !known_elsewhere(item);
}

std::map<member_id, std::vector<replicated_placement>> forwarder::impl::placements_to_replicate(std::size_t limit) {
    if (!state_ || limit == 0) return {};
    collector target(*this, time_.steady_now(), limit);
    table_.scan(replication_position_, slots_per_collection, target);
    return std::move(target.found);
}

bool forwarder::impl::store_replicated(member_id peer_id, const replicated_placement& item) {
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

void forwarder::impl::acknowledge_replicated(member_id peer_id, std::span<const flow_key> flows) {
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

void forwarder::impl::note_acknowledgement(placement& item) const {
    const std::uint32_t pending = token_of(item.pending_holder);
    if (pending == 0 || !sequences_.acknowledged(item.pending_holder, item.place_sequence)) return;
    confirm(item, pending);
    item.place_sequence = 0;
}

std::size_t forwarder::impl::unreplicated_placements() {
    if (!state_) return 0;
    sole_counter target(*this);
    std::size_t  position = 0;
    table_.scan(position, table_.slot_count(), target);
    return target.sole;
}

flow_explanation forwarder::impl::explain(const flow_tuple& flow) {
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

std::string forwarder::impl::reason_of(const flow_explanation& result) const {
    const std::string revision = " at revision " + std::to_string(state_->services->revision);
    if (result.held) {
        const bool in_pair =
            result.responsible.owner() == settings_.self || result.responsible.second == settings_.self;
        return std::string("this balancer holds the placement") + (in_pair ? "" : " from an earlier membership view") +
               revision;
    }
    if (result.service.empty()) return "no service has this address" + revision;
    if (result.responsible.owner() == settings_.self)
        return "this balancer owns the flow and has no placement: a SYN would start one" + revision;
    return "balancer " + std::to_string(result.responsible.owner()) + " owns the flow; packets are relayed to it" +
           revision;
}

} // namespace tamarack
