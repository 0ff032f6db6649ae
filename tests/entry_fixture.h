// Records and packets for the tests of the entry balancer.
#pragma once

#include "entry/steering.h"
#include "tamarack/clock.h"

namespace tamarack::entry {

inline const endpoint service_address{ip_address::v4(0xc6120001), 443}; // 198.18.0.1:443

inline record configuration_record(std::uint64_t revision, std::uint64_t version, std::vector<route> routes) {
    auto table = std::make_shared<routing_table>();
    table->version = version;
    table->routes = std::move(routes);
    return {"configuration", revision, std::shared_ptr<const routing_table>(table), "raw " + std::to_string(version)};
}

inline record configuration_record(std::uint64_t revision, std::uint64_t version) {
    return configuration_record(revision, version,
                                {{"desk", service_address, {{"desk", 1}}, request_kind::idempotent}});
}

inline backend_registration registration_of(std::uint64_t identity, const std::string& domain = "north") {
    return {.name = std::to_string(identity),
            .identity = identity,
            .service = "desk",
            .address = {ip_address::v4(0x0a000000U + static_cast<std::uint32_t>(identity)), 8080},
            .failure_domain = domain,
            .slots = 2};
}

inline record backend_record(std::uint64_t revision, const backend_registration& registration) {
    return {"backend/" + registration.name, revision, registration, "raw " + registration.name};
}

inline record removal(std::uint64_t revision, std::uint64_t identity) {
    return {"backend/" + std::to_string(identity), revision, removed_record{}, {}};
}

inline segment syn(std::uint16_t port, std::uint32_t copy = 0) {
    segment packet;
    packet.source = {ip_address::v4(0x64400007), port};
    packet.destination = service_address;
    packet.sequence = 1'000;
    packet.acknowledged = copy;
    packet.syn = true;
    return packet;
}

// A packet of an open flow; the caller has received the reference from the backend server.
inline segment later(std::uint16_t port, backend_reference reference, std::uint32_t acknowledged,
                     std::uint16_t payload = 0) {
    segment packet = syn(port);
    packet.syn = false;
    packet.ack = true;
    packet.sequence = 1'001;
    packet.acknowledged = acknowledged;
    packet.reference = reference;
    packet.payload = payload;
    return packet;
}

// A synchronized replica with a steering on top.
struct balancer_fixture {
    manual_clock time;
    replica      known;
    steering     decisions{{.failure_domain = "north"}, known, 1};

    void load(std::vector<record> records, std::uint64_t revision) {
        known.store_returned(time.steady_now());
        known.apply_snapshot(records, revision, time.steady_now());
    }
    steering_decision decide(const segment& packet) { return decisions.decide(packet, time.steady_now()); }
};

} // namespace tamarack::entry
