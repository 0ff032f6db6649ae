// Two machines freeze at once, those that read the store for their zones, and a target begins to drain. The check is
// DRAIN: a request reaches the target later than drain_ms after the store's ack of its entry, through a machine in
// touch.
#include "../harness-2/world.hh"

#include <set>

using namespace rv;

namespace {

constexpr double   drain_ms = 3'000;
constexpr double   contact_ms = 4'000;
constexpr double   freeze_time = 4.0;
constexpr double   requests_per_second = 200.0;
constexpr unsigned rounds = 5;

} // namespace

int main(int argc, char** argv) {
    if (argc != 2) return 2;
    run_record     record(argv[1]);
    world_settings settings{.zones = {"north", "south"}, .machines_per_zone = {3, 3}, .extra_limits = {}};
    world          w(settings, record);
    w.open_client_sockets();
    std::uint64_t version = 2;
    const auto    write_configuration = [&] {
        w.platform_store.put("op/config", configuration(version++, {{1, "desk"}}, service_row("desk")));
    };
    write_configuration();
    for (unsigned i = 0; i < 14; ++i)
        w.add_target("desk", i % 2);
    std::map<std::string, double> draining_since; // time of the store's ack
    std::set<unsigned>            frozen;         // machines; in this round
    unsigned                      broken = 0;
    double                        latest = 0;
    w.on_open_at_target = [&](target& at, client_flow& flow) {
        const auto since = draining_since.find(at.id);
        if (since == draining_since.end() || flow.started_at <= since->second + drain_ms / 1000.0) return;
        for (const int through : flow.machines) {
            if (frozen.contains(static_cast<unsigned>(through))) return; // not in touch
        }
        ++broken;
        latest = std::max(latest, flow.started_at - since->second - drain_ms / 1000.0);
        record.line(
            "DRAIN broken: %s got a flow through %s that the client opened %.3f s after the ack of its draining",
            at.id.c_str(), w.machines[flow.machine]->name.c_str(), flow.started_at - since->second);
    };
    if (!w.start_all()) w.give_up("the balancers are not ready");
    unsigned   number = 0;
    const auto run_traffic = [&](double seconds) {
        const double until = now() + seconds;
        while (now() < until) {
            w.open_flow(number++ % 2, 1, "desk", 1, 0.1, 2.5);
            w.run_for(1.0 / requests_per_second);
        }
    };
    run_traffic(8.0);
    for (unsigned round = 0; round < rounds; ++round) {
        frozen.clear();
        for (const char* zone : {"north", "south"}) {
            const auto entry = w.platform_store.value_of(std::string("tamarack/feeders/") + zone + "/0");
            if (!entry) continue;
            for (auto& each : w.machines) {
                if (entry->find("\"" + each->name + "\"") != std::string::npos) frozen.insert(each->number);
            }
        }
        write_configuration(); // one change of a series
        run_traffic(0.1);
        if (has_trouble()) {
            record.line("== node_freeze, twice");
            for (const unsigned each : frozen)
                w.signal(*w.machines[each], SIGSTOP);
        }
        target& leaving = *w.targets[2 * round];
        leaving.state = "draining";
        w.report(leaving);
        draining_since[leaving.id] = now();
        run_traffic(freeze_time);
        if (has_trouble()) {
            for (const unsigned each : frozen)
                w.signal(*w.machines[each], SIGCONT);
        }
        run_traffic(contact_ms / 1000.0 + 2.0);
        leaving.state = "gone"; // long after it has begun to drain
        w.platform_store.remove("servers/" + leaving.id);
        run_traffic(2.0);
    }
    record.line("%lu requests sent, %lu answered, %u break DRAIN, the latest one %.0f ms beyond the bound", w.sent,
                w.answered, broken, latest * 1000.0);
    if (w.answered < w.sent / 2) w.give_up("too few requests were answered");
    w.finish(broken > 0 ? 1 : 0);
}
