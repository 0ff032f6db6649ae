// The collector of the logs stops reading the standard output of the processes. The check is Fault: a program does not
// start, or no request is served, although machines, links, store and targets are undisturbed.
#include "../harness-2/world.hh"

using namespace rv;

namespace {

constexpr double requests_per_second = 80.0;
constexpr double stop_at = 5.0;       // of the traffic
constexpr double time_to_hang = 40.0; // until the pipes are full
constexpr double checked_time = 10.0; // during which some request must be served
constexpr double start_time = 10.0;   // a process must be ready within this time after its start

} // namespace

int main(int argc, char** argv) {
    if (argc != 2) return 2;
    run_record     record(argv[1]);
    world_settings settings{
        .zones = {"north", "south"}, .machines_per_zone = {3, 3}, .extra_limits = {}, .has_log_pipes = true};
    world w(settings, record);
    w.open_client_sockets();
    w.platform_store.put("op/config", configuration(2, {{1, "desk"}}, service_row("desk")));
    for (unsigned i = 0; i < 8; ++i)
        w.add_target("desk", i % 2);
    if (!w.start_all()) w.give_up("the balancers are not ready");
    unsigned   number = 0;
    const auto run_traffic = [&](double seconds) {
        const double        until = now() + seconds;
        const unsigned long sent_before = number;
        const unsigned long answered_before = w.answered;
        double              next_line = now() + 5.0;
        while (now() < until) {
            w.open_flow(number++ % 2, 1, "desk", 1, 0.1, 2.5);
            w.run_for(1.0 / requests_per_second);
            if (now() < next_line) continue;
            next_line += 5.0;
            unsigned ready = 0;
            for (auto& each : w.machines)
                ready += each->is_in_rotation ? 1 : 0;
            record.line("%lu flows opened, %lu requests answered so far, %u of %zu machines in rotation",
                        static_cast<unsigned long>(number), w.answered, ready, w.machines.size());
        }
        return std::pair(number - sent_before, w.answered - answered_before);
    };
    run_traffic(stop_at);
    if (has_trouble()) {
        record.line("== the collector stops reading the logs");
        w.is_collector_stopped = true;
    }
    run_traffic(time_to_hang);
    const auto [sent, answered] = run_traffic(checked_time);
    record.line("in the last %.0f s: %lu flows opened, %lu requests answered", checked_time, sent, answered);
    const bool is_served = answered > 0;
    if (!is_served) record.line("Fault: no request is served");
    // A process ends and starts again.
    machine& on = *w.machines[0];
    record.line("== node_kill: %s", on.name.c_str());
    w.signal(on, SIGKILL);
    run_traffic(2.0);
    on.is_in_rotation = false;
    run_traffic(start_time);
    const bool has_started = on.is_in_rotation;
    if (!has_started) record.line("Fault: %s has not started within %.0f s", on.name.c_str(), start_time);
    record.line("%u flows opened, %lu requests answered; served at the end: %s; the killed process has started: %s",
                number, w.answered, is_served ? "yes" : "no", has_started ? "yes" : "no");
    w.finish(is_served && has_started ? 0 : 1);
}
