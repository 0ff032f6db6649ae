// Builds the simulated deployments. Hosts and backend servers are spread evenly over the failure domains.
#include "fakes/deployment.h"

#include <glog/logging.h>

namespace fakes {

using namespace tamarack;

namespace {

endpoint service_address(std::uint8_t last_octet) {
    return {ip_address::v4(0x0a010000U + last_octet), 443};
}

void require_accepted(const change_result& result) {
    CHECK(result.status == change_status::accepted)
        << "change not accepted: " << to_string(result.status) << ' '
        << (result.problems.empty() ? std::string() : result.problems.front().to_string());
}

} // namespace

deployment tuul() {
    return {"tuul",
            9,
            4,
            std::chrono::microseconds(1500),
            2,
            {{"reorder", service_address(1), 15, std::chrono::milliseconds(1)},
             {"intake", service_address(2), 4, std::chrono::milliseconds(1)}}};
}

deployment gebze() {
    return {"gebze",
            9,
            3,
            std::chrono::microseconds(1000),
            3,
            {{"board", service_address(1), 15, std::chrono::milliseconds(1)},
             {"evidence", service_address(2), 4, std::chrono::milliseconds(1)}}};
}

std::string failure_domain_name(std::size_t index) {
    return "domain-" + std::to_string(index + 1);
}
std::string backend_name(std::size_t index) {
    return "server-" + std::to_string(index + 1);
}

cluster_settings settings_for(const deployment& specification, std::uint64_t seed) {
    cluster_settings settings;
    settings.seed = seed;
    settings.domain_delay = specification.domain_delay;
    return settings;
}

void build_deployment(cluster& target, const deployment& specification) {
    for (std::size_t i = 0; i < specification.host_count; ++i)
        target.add_host(failure_domain_name(i % specification.failure_domain_count));
    for (std::size_t i = 0; i < specification.host_count; ++i)
        target.start(i);
    constexpr auto settling_time = std::chrono::seconds(5);
    target.run(settling_time);
    for (const auto& service : specification.services) {
        require_accepted(target.submit_and_wait(0, create_service{service.name, transport::tcp, service.address, {}}));
        for (std::size_t i = 0; i < service.backend_server_count; ++i) {
            target.add_backend(service.name, backend_name(i),
                               failure_domain_name(i % specification.failure_domain_count),
                               specification.slots_per_backend_server, service.service_time);
            require_accepted(target.submit_and_wait(0, target.join_command(service.name, backend_name(i))));
        }
    }
    target.run(settling_time);
}

} // namespace fakes
