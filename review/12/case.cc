// Review 3, case 12: versions in quick succession remove a route and add one for its address to another service, while the
// targets of the old service are full.
// See claim.txt.
#include "../harness-3/deployment.hh"

using namespace world;

namespace {

constexpr ms rollback_slack = 250; // rollback_slack_ms

} // namespace

int main(int argc, char** argv) {
    const bool has_trouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
    deployment world(argc > 1 ? argv[1] : ".");
    recorder&  record = world.record;
    const auto address = 127U << 24 | 18U << 16 | 1U;
    world.client_zone = "gebze";
    world.time_limit = 3000;
    // The old service is full while many callers come at once: 4 targets for about 53 requests a second.
    target_terms terms;
    terms.slots = 2;
    terms.queue = 2;
    terms.work = 150;
    for (const char* zone : {"gebze", "gebze", "gebze", "tuzla"})
        world.add_target("hire-desk", zone, terms);
    terms.slots = 3;
    terms.queue = 8;
    terms.work = 30;
    for (const char* zone : {"gebze", "gebze", "gebze", "tuzla"})
        world.add_target("hire-desk-new", zone, terms);
    world.add_balancers({"gebze", "tuzla"}, 2);
    // An idle route is always there; the route that the clients use has its service, or is not there.
    const auto configure = [&](std::uint64_t version, const char* name, const char* service, ms time_limit = 3000) {
        std::vector<route_terms> routes{{"r-idle", "hire-desk-new", address + 1}};
        if (service != nullptr) routes.push_back({name, service, address});
        for (route_terms& route : routes)
            route.time_limit = time_limit;
        world.write_configuration(version, routes);
    };
    configure(7, "r-orders", "hire-desk");

    std::map<std::uint32_t, ms> effect_at; // by balancer: a target saw the effect of the new version
    std::set<std::uint16_t>     late;      // ports of flows that the old service took too late
    unsigned                    taken_old = 0, taken_new = 0;
    for (const auto& each : world.targets) {
        each->on_arrival = [&](const target& at, const packet& in, const target::flow*, std::uint32_t balancer, bool is_taken) {
            if ((in.flags & syn_flag) == 0) return;
            const bool is_new = at.terms().service == "hire-desk-new";
            const auto& flow = world.flows.at(in.sport);
            const ms    sent_at = flow.syn_times.at(in.ack);
            record.line("SYN copy %u of port %u reaches %s of %s by %s, %s", in.ack, in.sport, at.terms().id.c_str(),
                        at.terms().service.c_str(), world.balancer_name(balancer).c_str(), is_taken ? "taken" : "not taken");
            if (!is_taken) return;
            ++(is_new ? taken_new : taken_old);
            if (is_new) {
                effect_at.try_emplace(balancer, clock_ms());
                return;
            }
            const auto effect = effect_at.find(balancer);
            if (effect == effect_at.end() || sent_at <= effect->second + rollback_slack) return;
            late.insert(in.sport);
            record.line("port %u, sent %lld ms after a target saw the new version by %s, is taken by the old service",
                        in.sport, static_cast<long long>(sent_at - effect->second), world.balancer_name(balancer).c_str());
        };
    }
    world.start_and_wait();
    const ms     start = clock_ms();
    ms           next = start;
    constexpr ms burst_at = 5000, burst_length = 3000, change_at = 6500, length = 15'000;
    constexpr ms change_gap = 60; // the gap_s of aik-ops's storms
    unsigned     changes = 0;
    world.run_until(start + length, [&](ms now) {
        const bool is_burst = now >= start + burst_at && now < start + burst_at + burst_length;
        if (now >= next && now < start + length - 3500) {
            next += is_burst ? 11 : 22; // about 91 and 45 new flows a second, each with one request
            world.open_flow(address, 1);
        }
        if (!has_trouble) return;
        if (changes > 2 || now < start + change_at + change_gap * static_cast<ms>(changes)) return;
        ++changes;
        if (changes == 1) configure(8, "r-orders", "hire-desk", 2900);    // changes a timeout
        if (changes == 2) configure(9, "r-orders", nullptr);              // removes the route
        if (changes == 3) configure(11, "r-orders-2", "hire-desk-new");   // adds one for the same address
    });
    std::size_t unopened = 0;
    for (const auto& [port, flow] : world.flows)
        unopened += flow.ended_by.starts_with("not opened") ? 1U : 0U;
    // A request breaks the rule if the old service has run it.
    unsigned violations = 0;
    for (const auto& each : world.targets) {
        if (each->terms().service == "hire-desk-new") continue;
        for (const auto& [id, at] : each->runs) {
            if (!late.contains(static_cast<std::uint16_t>(std::stoul(id)))) continue;
            ++violations;
            record.line("CONFIG: request %s was run by %s of the old service", id.c_str(), each->terms().id.c_str());
        }
    }
    record.line("%zu flows, %zu not opened; %u answered, %u not; taken by the old service %u, by the new one %u; "
                "%u broke the rule",
                world.flows.size(), unopened, world.answered, world.unanswered, taken_old, taken_new, violations);
    if (world.answered == 0) cannot_run("no request was answered");
    return violations == 0 ? 0 : 1;
}
