// Indexes of one published configuration.
#include "tamarack/service_index.h"

#include <cstring>

namespace tamarack {

std::size_t service_index::address_hash::operator()(const endpoint& service_address) const {
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    std::memcpy(&high, service_address.address.bytes.data(), sizeof high);
    std::memcpy(&low, service_address.address.bytes.data() + sizeof high, sizeof low);
    constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15U; // of Fibonacci hashing
    const std::uint64_t     mixed = (high ^ low ^ (std::uint64_t{service_address.port} << 32U)) * multiplier;
    return mixed ^ (mixed >> 29U);
}

service_index::service_index(const forwarding_state& state) : next_id_(state.services->next_id) {
    for (const auto& item : state.services->services) {
        (item.protocol == transport::tcp ? tcp_ : udp_).emplace(item.address, &item);
        by_id_.emplace(item.id, &item);
        for (const auto& server : item.backend_servers) {
            servers_.emplace(server.id, indexed_server{&server, &item, {server.id, true, {}, 1.0F}});
        }
    }
    for (const auto& status : state.statuses) {
        const auto found = servers_.find(status.id);
        if (found != servers_.end()) found->second.status = status;
    }
}

const service* service_index::service_at(transport protocol, const endpoint& address) const {
    const auto& index = protocol == transport::tcp ? tcp_ : udp_;
    const auto  found = index.find(address);
    return found == index.end() ? nullptr : found->second;
}

const service* service_index::service_by_id(service_id id) const {
    const auto found = by_id_.find(id);
    return found == by_id_.end() ? nullptr : found->second;
}

const indexed_server* service_index::server(backend_server_id id) const {
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
}

} // namespace tamarack
