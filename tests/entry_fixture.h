// Records, packets and a synchronized balancer for the tests of the entry balancer.
#pragma once

#include "entry/steering.h"
#include "tamarack/clock.h"

namespace tamarack::entry {

// A revision of the epoch in which the tests begin.
constexpr store_revision at_revision(std::uint64_t number) {
    return {1, number};
}

inline const endpoint service_address{ip_address::v4(0xc6120001), 443}; // 198.18.0.1:443

inline record configuration_record(std::uint64_t revision, std::uint64_t version, std::vector<route> routes) {
    auto table = std::make_shared<routing_table>();
    table->version = version;
    table->routes = std::move(routes);
    return {"configuration", at_revision(revision), std::shared_ptr<const routing_table>(table),
            "raw " + std::to_string(version)};
}

inline record configuration_record(std::uint64_t revision, std::uint64_t version) {
    return configuration_record(revision, version,
                                {{"desk", service_address, {{"desk", 1}}, request_kind::idempotent}});
}

inline backend_registration registration_of(std::uint64_t identity, const std::string& failure_domain = "north") {
    return {.name = std::to_string(identity),
            .identity = identity,
            .service = "desk",
            .address = {ip_address::v4(0x0a000000U + static_cast<std::uint32_t>(identity)), 8080},
            .failure_domain = failure_domain,
            .slots = 2};
}

inline record backend_record(std::uint64_t revision, const backend_registration& registration) {
    return {"backend/" + registration.name, at_revision(revision), registration, "raw " + registration.name};
}

inline record removal_record(std::uint64_t revision, std::uint64_t identity) {
    return {"backend/" + std::to_string(identity), at_revision(revision), removed_record{}, {}};
}

constexpr std::uint32_t own_domain_feeder = 0x0a010001;   // in the failure domain of the tested balancer
constexpr std::uint32_t other_domain_feeder = 0x0a020001; // in another failure domain

inline record feeder_record(std::uint64_t revision, const std::string& name, const std::string& failure_domain,
                            unsigned slot, std::uint32_t address) {
    return {"feeder/" + failure_domain + "/" + std::to_string(slot), at_revision(revision),
            feeder_registration{name, failure_domain, slot, {ip_address::v4(address), 7720}}, "raw"};
}

// The caller numbers the retransmissions of a SYN; 0 is the first transmission.
inline segment syn_packet(std::uint16_t port, std::uint32_t retransmission = 0) {
    segment packet;
    packet.source = {ip_address::v4(0x64400007), port};
    packet.destination = service_address;
    packet.sequence = 1'000;
    packet.acknowledged = retransmission;
    packet.syn = true;
    return packet;
}

// A packet after the SYN. The caller has received the reference from the backend server.
inline segment later_packet(std::uint16_t port, backend_reference reference, std::uint32_t acknowledged,
                            std::uint16_t payload_size = 0) {
    segment packet = syn_packet(port);
    packet.syn = false;
    packet.ack = true;
    packet.sequence = 1'001;
    packet.acknowledged = acknowledged;
    packet.reference = reference;
    packet.payload_size = payload_size;
    return packet;
}

// A replica, and the steering that uses it. load_records synchronizes the replica.
struct balancer_fixture {
    manual_clock time;
    replica      store_replica;
    steering     decisions{{.failure_domain = "north"}, store_replica, 1};

    void load_records(std::vector<record> records, std::uint64_t revision) {
        store_replica.note_store_available(time.steady_now());
        store_replica.apply_listing(records, at_revision(revision), time.steady_now());
    }
    steering_decision decide(const segment& packet) { return decisions.decide(packet, time.steady_now()); }
};

} // namespace tamarack::entry
