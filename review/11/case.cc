// Review 3, case 11: two machines are lost while configurations come in quick succession, and one with a narrow link that
// read from them does not learn of a drain. See claim.txt.
#include "../harness-3/deployment.hh"

using namespace world;

namespace {

constexpr ms drain_bound = 5000; // drain_ms of simeto-gauges-grown

} // namespace

int main(int argc, char** argv) {
    const bool has_trouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
    deployment world(argc > 1 ? argv[1] : ".");
    recorder&  record = world.record;
    const auto address = 127U << 24 | 18U << 16 | 1U;
    world.client_zone = "simeto";
    world.time_limit = 2500;
    const std::vector<std::string> zones{"simeto", "alcantara"};
    for (const char* zone : {"simeto", "simeto", "simeto", "alcantara", "alcantara"})
        world.add_target("telemetry", zone);
    // In each zone one machine of each of the two kinds of simeto-gauges-grown.
    constexpr double megabit = 125; // bytes a millisecond
    for (const std::string& zone : zones) {
        world.add_balancer({.name = "frontend-" + zone + "-1", .zone = zone, .cpu_share = "0.5", .link_mbps = "200.0", .memory_mb = "256", .change_ms = "5000"}, zones, 200 * megabit);
        world.add_balancer({.name = "frontend-" + zone + "-2", .zone = zone, .cpu_share = "0.12", .link_mbps = "10.0", .memory_mb = "80", .change_ms = "5000"}, zones, 10 * megabit);
    }
    // 240 routes without traffic and 1,400 that big_config adds.
    std::uint64_t version = 6;
    const auto    configure = [&] {
        std::vector<route_terms> routes{{"r-orders", "telemetry", address}};
        for (std::uint32_t i = 0; i < 1640; ++i)
            routes.push_back({"r-idle" + std::to_string(i), "telemetry", address + 1 + i, "idempotent", 2500 + static_cast<ms>(version)});
        world.write_configuration(++version, routes);
    };
    configure();

    target*  leaving = nullptr;
    ms       acknowledged_at = 0, latest = 0;
    unsigned late = 0;
    for (const auto& each : world.targets) {
        each->on_arrival = [&](const target& at, const packet& in, const target::flow*, std::uint32_t balancer, bool is_taken) {
            if ((in.flags & syn_flag) == 0 || &at != leaving || !is_taken) return;
            const ms after = clock_ms() - acknowledged_at;
            record.line("SYN of port %u reaches %s by %s, %lld ms after the ack of its drain", in.sport, at.terms().id.c_str(),
                        world.balancer_name(balancer).c_str(), static_cast<long long>(after));
            if (after <= drain_bound) return;
            ++late;
            latest = std::max(latest, after);
            record.line("DRAIN: %lld ms after the bound", static_cast<long long>(after - drain_bound));
        };
    }
    world.start_and_wait();
    world.run_until(clock_ms() + 3'000);
    const ms       start = clock_ms();
    ms             next_flow = start, next_change = start + 6'000;
    constexpr ms   storm_at = 6000, storm_length = 4000, storm_gap = 330, loss_at = 6'500, drain_at = 8'000, length = 26'000;
    bool           is_lost = false;
    world.run_until(start + length, [&](ms now) {
        if (now >= next_flow && now < start + length - 3'000) {
            next_flow += 40;
            world.open_flow(address, 1);
        }
        if (now >= next_change && now < start + storm_at + storm_length) {
            next_change += storm_gap;
            configure();
        }
        if (has_trouble && !is_lost && now >= start + loss_at) {
            is_lost = true;
            world.balancers[0]->remove(record); // the strong machine of each zone
            world.balancers[2]->remove(record);
        }
        if (leaving == nullptr && now >= start + drain_at) {
            leaving = world.targets[0].get();
            leaving->is_draining = true;
            world.the_store->put("servers/" + leaving->terms().id, leaving->registration("draining", world.born()));
            acknowledged_at = clock_ms();
            record.line("the store acknowledges that %s is draining", leaving->terms().id.c_str());
        }
    });
    record.line("%zu flows, %u requests answered, %u not; %u flows were placed on the draining target after the bound, the "
                "latest %lld ms after the ack",
                world.flows.size(), world.answered, world.unanswered, late, static_cast<long long>(latest));
    if (world.answered == 0) cannot_run("no request was answered");
    return late == 0 ? 0 : 1;
}
