// Cost of the entry balancer's state and decisions by size, for docs/CAPACITY.md: memory and time of a listing, time of
// one change, of a new flow and of a later packet.
#include "entry/steering.h"
#include "tamarack/clock.h"

#include <fstream>
#include <iostream>

namespace {

using namespace tamarack;
using namespace tamarack::entry;

constexpr unsigned backends_per_service = 100;

double resident_mb() {
    std::ifstream status("/proc/self/statm");
    double        total = 0;
    double        resident = 0;
    status >> total >> resident;
    constexpr double pages_per_mb = 256;
    return resident / pages_per_mb;
}

backend_registration registration_of(unsigned number) {
    return {.name = "i-" + std::to_string(number),
            .identity = number + 1,
            .service = "service-" + std::to_string(number / backends_per_service),
            .address = {ip_address::v4(0x0a000000U + number), 8080},
            .failure_domain = "domain-" + std::to_string(number % 4),
            .slots = 2};
}

record backend_record(unsigned number, std::uint64_t revision) {
    return {"servers/i-" + std::to_string(number), revision, registration_of(number), std::string(180, 'x')};
}

record configuration_of(unsigned services, unsigned routes) {
    auto table = std::make_shared<routing_table>();
    table->version = 1;
    for (unsigned i = 0; i < routes; ++i) {
        const std::string service = "service-" + std::to_string(i % services);
        table->routes.push_back(
            {"route", {ip_address::v4(0xc6120000U + i), 443}, {{service, 1}}, request_kind::upload});
    }
    return {"configuration", 1, std::shared_ptr<const routing_table>(table), std::string(routes * 170UL, 'x')};
}

segment packet_of(unsigned flow, bool syn, backend_reference reference) {
    segment packet;
    packet.source = {ip_address::v4(0x64400000U + flow / 60'000), static_cast<std::uint16_t>(1'024 + flow % 60'000)};
    packet.destination = {ip_address::v4(0xc6120000U), 443};
    packet.syn = syn;
    packet.ack = !syn;
    packet.acknowledged = syn ? 0 : 1;
    packet.reference = reference;
    return packet;
}

double milliseconds_since(const system_clock& time, steady_time start) {
    return std::chrono::duration<double, std::milli>(time.steady_now() - start).count();
}

void measure(unsigned backends, unsigned routes, unsigned flows) {
    const system_clock  time;
    std::vector<record> records = {configuration_of(backends / backends_per_service, routes)};
    for (unsigned i = 0; i < backends; ++i)
        records.push_back(backend_record(i, i + 2));
    const double before = resident_mb();
    replica      known;
    known.store_returned(time.steady_now());
    const steady_time listing = time.steady_now();
    known.apply_snapshot(records, backends + 2, listing);
    const double listing_ms = milliseconds_since(time, listing);
    const double state_mb = resident_mb() - before;

    constexpr unsigned changes = 20;
    const steady_time  changing = time.steady_now();
    for (unsigned i = 0; i < changes; ++i)
        known.apply(backend_record(i, backends + 3 + i), changing);
    const double change_ms = milliseconds_since(time, changing) / changes;

    steering                       decisions({.failure_domain = "domain-0", .flow_capacity = flows}, known, 1);
    std::vector<backend_reference> references(flows);
    const steady_time              placing = time.steady_now();
    for (unsigned i = 0; i < flows; ++i)
        references[i] = decisions.decide(packet_of(i, true, 0), time.steady_now()).target->reference;
    const double      new_flow_us = milliseconds_since(time, placing) * 1'000 / flows;
    const steady_time passing = time.steady_now();
    for (unsigned i = 0; i < flows; ++i)
        decisions.decide(packet_of(i, false, references[i]), time.steady_now());
    const double packet_us = milliseconds_since(time, passing) * 1'000 / flows;
    std::cout << "| " << backends << " | " << routes << " | " << flows << " | " << listing_ms << " | " << change_ms
              << " | " << state_mb << " | " << resident_mb() - before - state_mb << " | " << new_flow_us << " | "
              << packet_us << " |\n";
}

} // namespace

int main() {
    std::cout
        << "| Backend servers | Routes | Flows | Listing, ms | One change, ms | State, MB | Flows, MB | New flow, us "
           "| Packet, us |\n|---|---|---|---|---|---|---|---|---|\n";
    measure(1'000, 500, 5'000);
    measure(2'000, 1'000, 10'000);
    measure(4'000, 2'000, 20'000);
    measure(8'000, 4'000, 40'000);
    measure(13'000, 6'300, 40'000);
    return 0;
}
