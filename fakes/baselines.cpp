// Choice of the backend server for each packet in the baseline balancers.
#include "fakes/baselines.h"

#include <algorithm>
#include <unordered_map>

namespace fakes {

using namespace tamarack;

namespace {

struct key_hash {
    std::size_t operator()(const flow_key& key) const { return key.low; }
};

// Flow table of one balancer, or the one that all balancers share.
struct baseline_flow_table {
    std::unordered_map<flow_key, endpoint, key_hash> tunnels;     // tunnel of the backend server by flow
    std::map<endpoint, std::uint64_t>                flow_counts; // flows by tunnel
};

// Mixes two values into one (the finalizer of SplitMix64).
std::uint64_t mix(std::uint64_t a, std::uint64_t b) {
    std::uint64_t value = a ^ (b * 0x9e3779b97f4a7c15U);
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

std::vector<const backend_server*> active_servers(const service& target) {
    std::vector<const backend_server*> active;
    for (const auto& item : target.backend_servers) {
        if (item.state == backend_state::active) active.push_back(&item);
    }
    return active;
}

class baseline_balancer final : public balancer {
public:
    baseline_balancer(baseline kind, const node_settings& settings, const tamarack::clock& time, std::uint64_t seed,
                      std::shared_ptr<baseline_flow_table> table)
        : kind_(kind), hash_seed_(settings.hash_seed), node_(settings, time, seed), flow_table_(std::move(table)) {}

    void handle_fabric_packet(byte_view packet, const endpoint&, action_buffer& out) override {
        const auto inner = decapsulate(packet);
        if (!inner.has_value()) return;
        const auto info = parse_packet(inner.value());
        if (!info.has_value()) return;
        const service* target = service_at(info.value().flow.destination);
        if (target == nullptr) return;
        if (const auto tunnel = choose_tunnel(info.value(), *target))
            out.add(action_kind::deliver, *tunnel, packet, {});
    }
    void  handle_relay_frame(byte_view, action_buffer&) override {}
    void  tick(action_buffer&) override { node_.tick(); }
    node* control_node() override { return &node_; }
    bool  has_stopped() const override { return node_.state() == stop_state::finished; }

private:
    const service* service_at(const endpoint& address) const {
        for (const auto& item : node_.current().services) {
            if (item.address == address) return &item;
        }
        return nullptr;
    }

    std::optional<endpoint> choose_tunnel(const packet_info& info, const service& target) {
        const flow_key key = make_flow_key(info.flow, hash_seed_);
        const auto     active = active_servers(target);
        if (kind_ == baseline::hash_modulo || kind_ == baseline::consistent_hash) {
            if (active.empty()) return std::nullopt;
            return kind_ == baseline::hash_modulo ? active[key.low % active.size()]->tunnel
                                                  : choose_by_rendezvous_hash(key, active);
        }
        const auto found = flow_table_->tunnels.find(key);
        if (found != flow_table_->tunnels.end()) {
            const endpoint tunnel = found->second;
            if (info.fin || info.rst) erase_flow(key, tunnel);
            return tunnel;
        }
        if (active.empty()) return std::nullopt;
        const endpoint tunnel =
            kind_ == baseline::least_loaded ? choose_least_loaded(active) : choose_by_rendezvous_hash(key, active);
        if (info.fin || info.rst) return tunnel;
        flow_table_->tunnels.emplace(key, tunnel);
        ++flow_table_->flow_counts[tunnel];
        return tunnel;
    }

    void erase_flow(const flow_key& key, const endpoint& tunnel) {
        if (flow_table_->tunnels.erase(key) > 0) --flow_table_->flow_counts[tunnel];
    }

    static endpoint choose_by_rendezvous_hash(const flow_key& key, const std::vector<const backend_server*>& active) {
        const auto score = [&](const backend_server* item) { return mix(key.low, item->id); };
        return (*std::max_element(active.begin(), active.end(),
                                  [&](const auto* a, const auto* b) { return score(a) < score(b); }))
            ->tunnel;
    }

    endpoint choose_least_loaded(const std::vector<const backend_server*>& active) {
        return (*std::min_element(active.begin(), active.end(),
                                  [&](const auto* a, const auto* b) {
                                      return flow_table_->flow_counts[a->tunnel] < flow_table_->flow_counts[b->tunnel];
                                  }))
            ->tunnel;
    }

    baseline                             kind_;
    std::uint64_t                        hash_seed_;
    node                                 node_;
    std::shared_ptr<baseline_flow_table> flow_table_;
};

} // namespace

std::string_view to_string(baseline kind) {
    switch (kind) {
    case baseline::hash_modulo:
        return "hash_modulo";
    case baseline::consistent_hash:
        return "consistent_hash";
    case baseline::local_flow_table:
        return "local_flow_table";
    case baseline::least_loaded:
        return "least_loaded";
    }
    return "unknown";
}

cluster::balancer_factory baseline_factory(baseline kind) {
    const auto shared_table = std::make_shared<baseline_flow_table>();
    return [kind, shared_table](const node_settings& settings, const tamarack::clock& time, std::uint64_t seed) {
        const auto table = kind == baseline::least_loaded ? shared_table : std::make_shared<baseline_flow_table>();
        return std::make_unique<baseline_balancer>(kind, settings, time, seed, table);
    };
}

} // namespace fakes
