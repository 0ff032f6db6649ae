// A small deployment on loopback addresses: 127.N.0.x are the store, 127.N.1.x are clients, 127.N.2.x machines,
// 127.N.3.x targets and 127.N.4.x the addresses of routes. N is drawn, so that runs beside each other do not meet.
#pragma once

#include "ends.hpp"

#include <random>

namespace review {

inline constexpr ms traffic_start = 6'000;

struct deployment {
    deployment(const std::string& record_path)
        : network(free_network()), folder(new_folder()), record(record_path), platform_store(loop),
          platform_routers(loop, record) {}

    ~deployment() {
        machines.clear();
        const std::string command = "rm -rf '" + folder + "'";
        if (std::system(command.c_str()) != 0) std::fprintf(stderr, "%s is left\n", folder.c_str());
    }

    ip address(unsigned third, unsigned fourth) const { return 127U << 24 | network << 16 | third << 8 | fourth; }

    machine& add_machine(const std::string& zone) {
        const auto     number = static_cast<unsigned>(machines.size()) + 1;
        const endpoint store_address{address(0, number), store_port};
        platform_store.listen(store_address);
        std::string seeds;
        for (unsigned i = 1; i <= 3; ++i)
            seeds += (i == 1 ? "" : ",") + text_of(address(2, i)) + ":8166";
        machines.push_back(
            std::make_unique<machine>(loop, record,
                                      machine_settings{.name = "frontend-" + zone + "-" + std::to_string(number),
                                                       .zone = zone,
                                                       .address = address(2, number),
                                                       .store = store_address,
                                                       .seeds = seeds,
                                                       .folder = folder}));
        platform_routers.add(*machines.back());
        return *machines.back();
    }

    target& add_target(const std::string& service, const std::string& zone, ms work = 20) {
        const auto    number = static_cast<unsigned>(targets.size()) + 1;
        std::uint64_t identity = 0x65'4a'a7'03'00ULL + number * 0x1'23'45ULL;
        char          id[32];
        std::snprintf(id, sizeof id, "i-%llx", static_cast<unsigned long long>(identity));
        targets.push_back(std::make_unique<target>(loop, record, platform_store, all_attempts,
                                                   target::settings{.id = id,
                                                                    .service = service,
                                                                    .zone = zone,
                                                                    .address = {address(3, number), 8'080},
                                                                    .identity = identity,
                                                                    .work = work}));
        return *targets.back();
    }

    client& add_client(const std::string& zone) {
        const auto number = static_cast<unsigned>(clients.size()) + 1;
        clients.push_back(
            std::make_unique<client>(loop, record, platform_routers, all_attempts, targets, zone, address(1, number)));
        return *clients.back();
    }

    // The operator's write; returns the time of the store's ack.
    ms configure(std::uint64_t version, const std::vector<std::pair<std::string, std::string>>& routes_with_service) {
        std::string routes;
        routes_now.clear();
        for (const auto& [name, service] : routes_with_service) {
            routes_now[name] = {route_host(name), 443};
            routes += std::string(routes.empty() ? "" : ",") + "{\"name\":\"" + name + "\",\"host\":\"" +
                      text_of(route_host(name)) +
                      "\",\"prefix\":\"/443/\",\"type\":\"idempotent\",\"timeout_ms\":2500,\"service\":\"" + service +
                      "\"}";
        }
        platform_store.put("op/config", "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes +
                                            "],\"services\":[],\"limits\":{\"idle_timeout_ms\":15000}}");
        record.line("configuration " + std::to_string(version) + " acknowledged");
        return now();
    }

    // The platform's addresses only stand in packets and in the configuration.
    ip route_host(const std::string& name) const {
        std::uint32_t hash = 7;
        for (const char letter : name)
            hash = hash * 31 + static_cast<unsigned char>(letter);
        return address(4, 1 + hash % 250);
    }

    void start_machines() {
        for (const auto& each : machines)
            each->start(true);
    }

    // The machine whose registration as feeder of the zone is in the store; null: none.
    machine* feeder_of(const std::string& zone) const {
        const auto value = platform_store.value_of("tamarack/feeders/" + zone + "/0");
        for (const auto& each : machines) {
            if (value && value->find("\"" + each->settings().name + "\"") != std::string::npos) return each.get();
        }
        return nullptr;
    }

    unsigned served() const {
        unsigned total = 0;
        for (const auto& each : clients)
            total += each->served();
        return total;
    }

    static constexpr std::uint16_t store_port = 8169;

    static unsigned free_network() {
        std::random_device entropy;
        for (int tries = 0; tries < 50; ++tries) {
            const unsigned candidate = 64 + entropy() % 128;
            const int      handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const auto     where = to_sockaddr({127U << 24 | candidate << 16 | 1U, store_port});
            const bool     is_free = ::bind(handle, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0;
            ::close(handle);
            if (is_free) return candidate;
        }
        cannot_run("no free addresses");
    }

    static std::string new_folder() {
        const char* parent = std::getenv("TMPDIR");
        std::string path = std::string(parent == nullptr ? "/tmp" : parent) + "/review-XXXXXX";
        if (::mkdtemp(path.data()) == nullptr) cannot_run("no temporary folder");
        return path;
    }

    unsigned                              network;
    std::string                           folder;
    event_loop                            loop;
    run_record                            record;
    store                                 platform_store;
    routers                               platform_routers;
    attempts                              all_attempts;
    std::map<std::string, endpoint>       routes_now;
    std::vector<std::unique_ptr<machine>> machines;
    std::vector<std::unique_ptr<target>>  targets;
    std::vector<std::unique_ptr<client>>  clients;
};

} // namespace review
