// Replication of placements to holders that lack them, and explanations for operators. docs/design.md section 2.3.
#include "tamarack/forwarder_impl.h"

namespace tamarack {

namespace {

constexpr std::size_t slots_per_collection = 16'384; // slots of the flow table checked for replication

} // namespace

//----------------------------------------------------------------------------------------------------------------------
// Maintenance
//----------------------------------------------------------------------------------------------------------------------

bool forwarder::impl::held_elsewhere(const placement& item) const {
    if (holder_of_unconfirmed_copy(item) != 0) return reachable(item.pending_holder);
    return item.place_sequence == 0 && live_tokens_.contains(item.other_holder_token);
}

// Current holder that the placement must be replicated to; 0: none.
member_id forwarder::impl::missing_holder(const flow_key& key, const placement& item) const {
    const holders& pair = state_->owners.present->holders_of(bucket_of(key));
    if (pair.owner() == settings_.self || pair.second == settings_.self) {
        const member_id other = pair.owner() == settings_.self ? pair.second : pair.owner();
        return reachable(other) && !shared_with(item, other) ? other : 0;
    }
    const bool shared = shared_with(item, pair.owner()) || shared_with(item, pair.second);
    return !shared && reachable(pair.owner()) ? pair.owner() : 0;
}

// True if this balancer is outside the current pair of holders and no other live member holds the placement. Such a
// balancer delivers the flow's packets itself, so that the pair does not learn of the placement from them, and the
// placement must be replicated even while the flow is active.
bool forwarder::impl::delivers_unreplicated(const flow_key& key, const placement& item) const {
    const holders& pair = state_->owners.present->holders_of(bucket_of(key));
    return pair.owner() != settings_.self && pair.second != settings_.self && !held_elsewhere(item);
}

std::map<member_id, std::vector<replicated_placement>> forwarder::impl::placements_to_replicate(std::size_t limit) {
    if (!state_ || limit == 0) return {};
    replication_collector collector(*this, time_.steady_now(), limit);
    table_.scan(replication_position_, slots_per_collection, collector);
    return std::move(collector.batches);
}

bool forwarder::impl::store_replicated(member_id peer_id, const replicated_placement& item) {
    if (!state_) return false;
    learn_tunnel(item.record);
    placement* present = find_placement(item.key);
    if (present != nullptr && present->backend_server == item.record.backend_server &&
        present->generation == item.record.generation) {
        confirm(*present, token_of(peer_id));
        if (present->state == flow_state::half_open) mark_established(*present);
        return true;
    }
    const bool received_has_stronger_claim =
        item.record.acknowledged || (present != nullptr && present->unverified && !item.record.unverified);
    const bool present_yields = present != nullptr && present->other_holder_token == 0 && received_has_stronger_claim &&
                                present->generation <= item.record.generation;
    if (present != nullptr && !present_yields) return false;
    if (present != nullptr) table_.erase(item.key);
    placement value = placement_of(item.record);
    value.other_holder_token = item.record.acknowledged ? token_of(peer_id) : 0;
    value.pending_holder = item.record.acknowledged ? 0 : peer_id;
    value.place_sequence = item.record.acknowledged ? 0 : unsent_place_sequence;
    mark_established(value);
    return table_.insert(item.key, value, time_.steady_now()) != nullptr;
}

void forwarder::impl::acknowledge_replicated(member_id peer_id, std::span<const flow_key> flows) {
    for (const auto& key : flows) {
        placement* item = find_placement(key);
        if (item == nullptr || item->state != flow_state::established) continue;
        // A placement that nobody had acknowledged may be a proposal that lost against another one. The holder of the
        // winning placement has previous_ranking_lifetime to announce it.
        const bool is_confirmed =
            item->other_holder_token != 0 || table_.idle_time(*item, time_.steady_now()) >= previous_ranking_lifetime;
        if (is_confirmed) confirm(*item, token_of(peer_id));
        item->pending_holder = is_confirmed ? 0 : peer_id;
        item->place_sequence = is_confirmed ? 0 : unsent_place_sequence;
    }
}

void forwarder::impl::apply_acknowledgement(placement& item) const {
    const std::uint32_t pending_token = token_of(item.pending_holder);
    if (pending_token == 0 || !sequences_.is_acknowledged(item.pending_holder, item.place_sequence)) return;
    confirm(item, pending_token);
    item.place_sequence = 0;
}

std::size_t forwarder::impl::unreplicated_placements() {
    if (!state_) return 0;
    unreplicated_counter counter(*this);
    std::size_t          position = 0;
    table_.scan(position, table_.slot_count(), counter);
    return counter.count;
}

flow_explanation forwarder::impl::explain(const flow_tuple& flow) {
    flow_explanation result;
    result.key = make_flow_key(flow, settings_.hash_seed);
    result.bucket = bucket_of(result.key);
    if (!state_) {
        result.reason = "no configuration has been published yet";
        return result;
    }
    result.bucket_holders = state_->owners.present->holders_of(result.bucket);
    const service* found = index_->service_at(flow.protocol, flow.destination);
    if (found != nullptr) result.service = found->name;
    if (const placement* item = find_placement(result.key)) {
        result.held_placement = *item;
        const indexed_server* server = index_->server(item->backend_server);
        result.backend_server = server != nullptr ? server->server->name : std::to_string(item->backend_server);
    }
    result.reason = reason_of(result);
    return result;
}

std::string forwarder::impl::reason_of(const flow_explanation& result) const {
    const std::string revision = " at revision " + std::to_string(state_->services->revision);
    if (result.held_placement) {
        const bool in_pair =
            result.bucket_holders.owner() == settings_.self || result.bucket_holders.second == settings_.self;
        return std::string("this balancer holds the placement") + (in_pair ? "" : " from an earlier membership view") +
               revision;
    }
    if (result.service.empty()) return "no service has this address" + revision;
    if (result.bucket_holders.owner() == settings_.self)
        return "this balancer owns the flow and has no placement: a SYN would start one" + revision;
    return "balancer " + std::to_string(result.bucket_holders.owner()) + " owns the flow; packets are relayed to it" +
           revision;
}

} // namespace tamarack
