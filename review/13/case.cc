// Review 3, case 13: a target is added whose reference is that of a target with open flows. See claim.txt.
#include "../harness-3/deployment.hh"

#include <unordered_map>

using namespace world;

namespace {

// The reference that balancers write into the packets of a target's flows (docs/platform.md: "32 bits of a mixed 64-bit
// identity").
std::uint32_t reference_of(std::uint64_t identity) {
    identity = (identity ^ (identity >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    identity = (identity ^ (identity >> 27U)) * 0x94d049bb133111ebULL;
    return static_cast<std::uint32_t>(identity ^ (identity >> 31U));
}

// Two ids of ten hexadecimal digits with one reference, the lower one first.
std::pair<std::uint64_t, std::uint64_t> find_pair() {
    std::mt19937_64                                  random(7);
    std::unordered_map<std::uint32_t, std::uint64_t> seen;
    for (;;) {
        const std::uint64_t identity = random() & 0xffffffffffULL;
        const auto [at, is_new] = seen.try_emplace(reference_of(identity), identity);
        if (!is_new && at->second != identity) return std::minmax(at->second, identity);
    }
}

} // namespace

int main(int argc, char** argv) {
    const bool has_trouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
    deployment world(argc > 1 ? argv[1] : ".");
    recorder&  record = world.record;
    const auto address = 127U << 24 | 18U << 16 | 1U;
    const auto [lower, higher] = find_pair();
    world.client_zone = "gebze";
    world.request_interval = 1000;
    target_terms terms;
    terms.identity = higher;
    world.add_target("hire-desk", "gebze", terms);
    for (const char* zone : {"gebze", "gebze", "tuzla", "tuzla"})
        world.add_target("hire-desk", zone);
    world.add_balancers({"gebze", "tuzla"}, 2);
    world.write_configuration(7, {{"r-orders", "hire-desk", address}});

    std::set<std::uint16_t> broken;
    world.on_reset = [&](client_flow& flow, std::uint32_t from) {
        if (flow.current != client_flow::state::open || world.find_target(flow.peer_id)->terms().ip == from) return;
        if (broken.insert(flow.port).second)
            record.line("FLOW: the client of port %u got a reset that its target %s did not send", flow.port, flow.peer_id.c_str());
    };
    const auto watch = [&](target& each) {
        each.on_arrival = [&](const target& at, const packet& in, const target::flow* held, std::uint32_t balancer, bool) {
            if ((in.flags & syn_flag) != 0 || held != nullptr) return;
            const auto flow = world.flows.find(in.sport);
            if (flow == world.flows.end() || flow->second.current != client_flow::state::open) return;
            record.line("a packet of port %u reaches %s by %s; the flow is open at %s", in.sport, at.terms().id.c_str(),
                        world.balancer_name(balancer).c_str(), flow->second.peer_id.c_str());
        };
    };
    for (const auto& each : world.targets)
        watch(*each);

    world.start_and_wait();
    const ms start = clock_ms();
    for (unsigned i = 0; i < 16; ++i) {
        world.run_until(start + 200LL * i);
        world.open_flow(address, 12);
    }
    world.run_until(start + 6'000);
    terms.identity = has_trouble ? lower : lower ^ 1U;
    target& added = world.add_target("hire-desk", "gebze", terms);
    watch(added);
    record.line("%s is added", added.terms().id.c_str());
    world.run_until(start + 14'000);
    record.line("%u requests answered, %u not, of %zu flows; %zu flows broken", world.answered, world.unanswered,
                world.flows.size(), broken.size());
    if (world.answered == 0) cannot_run("no request was answered");
    return broken.empty() ? 0 : 1;
}
