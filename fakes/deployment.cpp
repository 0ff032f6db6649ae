// Builds the deployments: hosts and backend servers are spread evenly over the failure domains.
#include "fakes/deployment.h"

#include <glog/logging.h>

namespace fakes {

using namespace tamarack;

namespace {

endpoint service_address(std::uint8_t last) {
    return {ip_address::v4(0x0a010000U + last), 443};
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

cluster_settings settings_for(const deployment& shape, std::uint64_t seed) {
    cluster_settings settings;
    settings.seed = seed;
    settings.domain_delay = shape.domain_delay;
    return settings;
}

void build(cluster& target, const deployment& shape) {
    for (std::size_t i = 0; i < shape.hosts; ++i)
        target.add_host(failure_domain_name(i % shape.failure_domains));
    for (std::size_t i = 0; i < shape.hosts; ++i)
        target.start(i);
    constexpr auto settling_time = std::chrono::seconds(5);
    target.run(settling_time);
    for (const auto& item : shape.services) {
        require_accepted(target.change_now(0, create_service{item.name, transport::tcp, item.address, {}}));
        for (std::size_t i = 0; i < item.backend_servers; ++i) {
            target.add_backend(item.name, backend_name(i), failure_domain_name(i % shape.failure_domains), shape.slots,
                               item.service_time);
            require_accepted(target.change_now(0, target.join_command(item.name, backend_name(i))));
        }
    }
    target.run(settling_time);
}

} // namespace fakes
