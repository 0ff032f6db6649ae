// Cost of the entry balancer's state and decisions at several sizes, for docs/CAPACITY.md: memory and time of a
// listing, time of one change, of a new flow and of a later packet; size, compression time and decompression time of a
// configuration that is sent to a follower.
#include "entry/steering.h"
#include "platform/compression.h"
#include "tamarack/clock.h"

#include <fstream>
#include <iostream>

namespace {

using namespace tamarack;
using namespace tamarack::entry;

constexpr unsigned backends_per_service = 100;

double resident_mb() {
    std::ifstream memory_status("/proc/self/statm");
    double        total_pages = 0;
    double        resident_pages = 0;
    memory_status >> total_pages >> resident_pages;
    constexpr double pages_per_mb = 256;
    return resident_pages / pages_per_mb;
}

backend_registration make_registration(unsigned number) {
    return {.name = "i-" + std::to_string(number),
            .identity = number + 1,
            .service = "service-" + std::to_string(number / backends_per_service),
            .address = {ip_address::v4(0x0a000000U + number), 8080},
            .failure_domain = "domain-" + std::to_string(number % 4),
            .slots = 2};
}

record backend_record(unsigned number, std::uint64_t revision) {
    return {"servers/i-" + std::to_string(number), {1, revision}, make_registration(number), std::string(180, 'x')};
}

record configuration_record(unsigned services, unsigned routes) {
    auto table = std::make_shared<routing_table>();
    table->version = 1;
    for (unsigned i = 0; i < routes; ++i) {
        const std::string service = "service-" + std::to_string(i % services);
        table->routes.push_back(
            {"route", {ip_address::v4(0xc6120000U + i), 443}, {{service, 1}}, request_kind::upload});
    }
    return {"configuration", {1, 1}, std::shared_ptr<const routing_table>(table), std::string(routes * 170UL, 'x')};
}

segment make_segment(unsigned flow, bool syn, backend_reference reference) {
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

void measure_steering(unsigned backends, unsigned routes, unsigned flows) {
    const system_clock  time;
    std::vector<record> records = {configuration_record(backends / backends_per_service, routes)};
    for (unsigned i = 0; i < backends; ++i)
        records.push_back(backend_record(i, i + 2));
    const double initial_mb = resident_mb();
    replica      store_replica;
    store_replica.note_store_available(time.steady_now());
    const steady_time listing_start = time.steady_now();
    store_replica.apply_listing(records, {1, backends + 2}, listing_start);
    const double listing_ms = milliseconds_since(time, listing_start);
    const double state_mb = resident_mb() - initial_mb;

    constexpr unsigned changes = 20;
    const steady_time  changes_start = time.steady_now();
    for (unsigned i = 0; i < changes; ++i)
        store_replica.apply(backend_record(i, backends + 3 + i), changes_start);
    const double change_ms = milliseconds_since(time, changes_start) / changes;

    steering                       balancer({.failure_domain = "domain-0", .flow_capacity = flows}, store_replica, 1);
    std::vector<backend_reference> references(flows);
    const steady_time              new_flows_start = time.steady_now();
    for (unsigned i = 0; i < flows; ++i)
        references[i] = balancer.decide(make_segment(i, true, 0), time.steady_now()).backend->reference;
    const double      new_flow_us = milliseconds_since(time, new_flows_start) * 1'000 / flows;
    const steady_time later_packets_start = time.steady_now();
    for (unsigned i = 0; i < flows; ++i)
        balancer.decide(make_segment(i, false, references[i]), time.steady_now());
    const double packet_us = milliseconds_since(time, later_packets_start) * 1'000 / flows;
    std::cout << "| " << backends << " | " << routes << " | " << flows << " | " << listing_ms << " | " << change_ms
              << " | " << state_mb << " | " << resident_mb() - initial_mb - state_mb << " | " << new_flow_us << " | "
              << packet_us << " |\n";
}

// Configuration in JSON, as the operator writes it.
std::string configuration_text(unsigned routes) {
    std::string text = R"({"version":7,"routes":[)";
    for (unsigned i = 0; i < routes; ++i) {
        text += (i == 0 ? "" : ",") + std::string(R"({"name":"route-)") + std::to_string(i * 7'919 % 100'003) +
                R"(","host":"198.18.)" + std::to_string(i / 250) + "." + std::to_string(i % 250) +
                R"(","prefix":"/443/","type":"idempotent","timeout_ms":1000,"aim_ms":100,"priority":)" +
                std::to_string(i % 3) + R"(,"service":"service-)" + std::to_string(i * 31 % 130) + R"("})";
    }
    return text + "]}";
}

void measure_configuration(unsigned routes) {
    const system_clock time;
    const std::string  text = configuration_text(routes);
    const steady_time  compression_start = time.steady_now();
    const std::string  compressed = platform::compress(text);
    const double       compress_ms = milliseconds_since(time, compression_start);
    const steady_time  decompression_start = time.steady_now();
    const auto         decompressed = platform::decompress(compressed, 2 * text.size());
    const double       decompress_ms = milliseconds_since(time, decompression_start);
    constexpr double   bytes_per_kb = 1'000;
    constexpr double   base64_expansion = 4.0 / 3.0;
    std::cout << "| " << routes << " | " << static_cast<double>(text.size()) / bytes_per_kb << " | "
              << static_cast<double>(compressed.size()) * base64_expansion / bytes_per_kb << " | " << compress_ms
              << " | " << decompress_ms << (decompressed == text ? " |\n" : " | differs\n");
}

} // namespace

int main() {
    std::cout
        << "| Backend servers | Routes | Flows | Listing, ms | One change, ms | State, MB | Flows, MB | New flow, us "
           "| Packet, us |\n|---|---|---|---|---|---|---|---|---|\n";
    measure_steering(1'000, 500, 5'000);
    measure_steering(2'000, 1'000, 10'000);
    measure_steering(4'000, 2'000, 20'000);
    measure_steering(8'000, 4'000, 40'000);
    measure_steering(13'000, 6'300, 40'000);
    std::cout << "\n| Routes | Text, KB | Sent, KB | Compress, ms | Decompress, ms |\n|---|---|---|---|---|\n";
    for (const unsigned routes : {500U, 1'000U, 2'000U, 4'000U, 6'300U})
        measure_configuration(routes);
    return 0;
}
