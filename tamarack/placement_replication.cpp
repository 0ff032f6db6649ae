// Batches of placements of idle flows.
#include "tamarack/placement_replication.h"

#include "replication.pb.h"

#include <algorithm>

namespace tamarack {

namespace {

constexpr duration answer_timeout = std::chrono::seconds(3);

std::vector<std::byte> serialize(const google::protobuf::MessageLite& message) {
    std::vector<std::byte> bytes(message.ByteSizeLong());
    message.SerializeToArray(bytes.data(), static_cast<int>(bytes.size()));
    return bytes;
}

// Tunnel address of each backend server.
std::map<backend_server_id, endpoint> tunnels_of(const configuration& current) {
    std::map<backend_server_id, endpoint> tunnels;
    for (const auto& item : current.services) {
        for (const auto& server : item.backend_servers)
            tunnels.emplace(server.id, server.tunnel);
    }
    return tunnels;
}

} // namespace

placement_replication::placement_replication(const clock& time) : time_(time) {}

std::vector<std::byte> placement_replication::make_batch(member_id peer, std::span<const replicated_placement> items) {
    wire::PlacementBatch message;
    pending_batch        batch{next_number_++, time_.steady_now(), {}};
    message.set_number(batch.number);
    for (const auto& item : items.first(std::min(items.size(), max_batch_placements))) {
        auto* added = message.add_placements();
        added->set_flow_high(item.key.high);
        added->set_flow_low(item.key.low);
        added->set_backend_server(item.record.backend_server);
        added->set_service(item.record.service);
        added->set_generation(item.record.generation);
        added->set_established(item.record.acknowledged);
        batch.flows.push_back(item.key);
    }
    pending_[peer] = std::move(batch);
    return serialize(message);
}

bool placement_replication::awaits_answer_from(member_id peer) const {
    const auto found = pending_.find(peer);
    return found != pending_.end() && time_.steady_now() - found->second.sent_at < answer_timeout;
}

std::optional<placement_replication::received_batch> placement_replication::read_batch(byte_view            payload,
                                                                                       const configuration& current) {
    wire::PlacementBatch message;
    if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) return std::nullopt;
    if (message.placements_size() > static_cast<int>(max_batch_placements)) return std::nullopt;
    const auto     tunnels = tunnels_of(current);
    received_batch batch;
    batch.number = message.number();
    for (const auto& item : message.placements()) {
        if (item.backend_server() == 0 || item.service() == 0 || item.generation() > UINT16_MAX) return std::nullopt;
        replicated_placement added;
        added.key = {item.flow_high(), item.flow_low()};
        added.record.backend_server = item.backend_server();
        added.record.service = item.service();
        added.record.generation = static_cast<std::uint16_t>(item.generation());
        added.record.possibly_delivered = true;
        added.record.acknowledged = item.established();
        const auto tunnel = tunnels.find(item.backend_server());
        if (tunnel != tunnels.end()) added.record.tunnel = tunnel->second;
        batch.items.push_back(added);
    }
    return batch;
}

std::vector<std::byte> placement_replication::make_answer(std::uint64_t number, const std::vector<bool>& stored) {
    wire::PlacementBatchStored message;
    message.set_number(number);
    for (std::size_t i = 0; i < stored.size(); ++i) {
        if (!stored[i]) message.add_refused(static_cast<std::uint32_t>(i));
    }
    return serialize(message);
}

std::optional<confirmed_batch> placement_replication::read_answer(member_id peer, byte_view payload) {
    wire::PlacementBatchStored message;
    if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) return std::nullopt;
    const auto found = pending_.find(peer);
    if (found == pending_.end() || found->second.number != message.number()) return std::nullopt;
    confirmed_batch result{peer, {}};
    for (std::size_t i = 0; i < found->second.flows.size(); ++i) {
        const auto& refused = message.refused();
        if (std::find(refused.begin(), refused.end(), i) == refused.end())
            result.flows.push_back(found->second.flows[i]);
    }
    pending_.erase(found);
    return result;
}

} // namespace tamarack
