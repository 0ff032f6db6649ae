// The deployments of docs/design.md section 1.1 at their present size, built from the in-memory fakes.
#pragma once

#include "fakes/cluster.h"

namespace fakes {

struct service_spec {
    std::string        name;
    tamarack::endpoint address;
    std::size_t        backend_server_count = 0;
    duration           service_time{}; // mean time to process a request
};

struct deployment {
    std::string               name;
    std::size_t               host_count = 0;
    std::size_t               failure_domain_count = 0;
    duration                  domain_delay{};
    std::uint32_t             slots_per_backend_server = 0;
    std::vector<service_spec> services;
};

// Four failure domains, nine hosts, two slots.
deployment tuul();
// Three failure domains, nine hosts, three slots.
deployment gebze();

std::string failure_domain_name(std::size_t index);
std::string backend_name(std::size_t index);

cluster_settings settings_for(const deployment& specification, std::uint64_t seed);

// Adds hosts and backend servers, starts the hosts, creates the services and joins the backend servers.
void build_deployment(cluster& target, const deployment& specification);

} // namespace fakes
