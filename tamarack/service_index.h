// Lookups in a published configuration: service by address, backend server by id. Built once per published state.
#pragma once

#include "tamarack/forwarder.h"

#include <unordered_map>

namespace tamarack {

// A backend server with its service and its status.
struct indexed_server {
    const backend_server* server = nullptr;
    const service*        parent_service = nullptr;
    backend_status        status;
};

class service_index {
public:
    explicit service_index(const forwarding_state& state);

    const service*        service_at(transport protocol, const endpoint& address) const; // null: none
    const service*        service_by_id(service_id id) const;
    const indexed_server* server(backend_server_id id) const;            // null: unknown
    bool covers_id(backend_server_id id) const { return id < next_id_; } // false: id is from a newer revision

private:
    struct address_hash {
        std::size_t operator()(const endpoint& service_address) const;
    };

    std::unordered_map<endpoint, const service*, address_hash> tcp_;
    std::unordered_map<endpoint, const service*, address_hash> udp_;
    std::unordered_map<service_id, const service*>             by_id_;
    std::unordered_map<backend_server_id, indexed_server>      servers_;
    std::uint32_t                                              next_id_ = 0;
};

} // namespace tamarack
