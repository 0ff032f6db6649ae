// The deployments of docs/design.md section 1.1 at their present size, built in the fakes.
#pragma once

#include "fakes/cluster.h"

namespace fakes {

struct service_shape {
    std::string        name;
    tamarack::endpoint address;
    std::size_t        backend_servers = 0;
    duration           service_time{}; // of a request
};

struct deployment {
    std::string                name;
    std::size_t                hosts = 0;
    std::size_t                failure_domains = 0;
    duration                   domain_delay{};
    std::uint32_t              slots = 0; // of each backend server
    std::vector<service_shape> services;
};

// Four failure domains, nine hosts, two slots.
deployment tuul();
// Three failure domains, nine hosts, three slots.
deployment gebze();

std::string failure_domain_name(std::size_t index);
std::string backend_name(std::size_t index);

cluster_settings settings_for(const deployment& shape, std::uint64_t seed);

// Adds hosts and backend servers, starts the hosts, creates the services and joins the backend servers.
void build(cluster& target, const deployment& shape);

} // namespace fakes
