// Health monitors of several balancers that exchange datagrams in memory. Guards against verdicts of a single observer,
// against taking out too many backend servers, against load reports that make a backend server more preferred, and
// against messages that exceed the control budget.
#define BOOST_TEST_MODULE health
#include "tamarack/clock.h"
#include "tamarack/health.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <rapidcheck.h>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

constexpr duration           step = 50ms; // also the latency of each datagram
constexpr std::uint64_t      seed = 20261204;
constexpr incarnation_number incarnation = 1'750'000'000'000;

std::vector<member> make_members(std::size_t count) {
    std::vector<member> all(count);
    for (std::size_t i = 0; i < count; ++i) {
        all[i].id = static_cast<member_id>(i + 1);
        all[i].incarnation = incarnation;
        all[i].control = {ip_address::v4(0x0a000001U + static_cast<std::uint32_t>(i)), 7001};
    }
    return all;
}

// Services of equal size; ids of backend servers from 1.
configuration make_configuration(std::size_t services, std::size_t servers_each) {
    configuration all;
    for (std::size_t i = 0; i < services; ++i) {
        service added;
        added.id = static_cast<service_id>(i + 1);
        for (std::size_t k = 0; k < servers_each; ++k) {
            backend_server server;
            server.id = static_cast<backend_server_id>(i * servers_each + k + 1);
            server.health = {ip_address::v4(0x0a800000U + server.id), 80};
            added.backend_servers.push_back(server);
        }
        all.services.push_back(added);
    }
    return all;
}

struct balancer {
    control_channel channel;
    health_monitor  monitor;

    balancer(member_id id, const tamarack::clock& time)
        : channel({id, incarnation, "test", {}}, time), monitor({}, channel, time, seed + id) {}
};

struct health_loop {
    manual_clock                                      time;
    random_source                                     random{seed};
    std::vector<member>                               members;
    configuration                                     services;
    std::vector<std::unique_ptr<balancer>>            balancers;
    std::vector<datagram>                             in_flight;
    std::function<bool(member_id, backend_server_id)> reachable = [](member_id, backend_server_id) { return true; };
    std::function<std::optional<load_report>(backend_server_id)> load = [](backend_server_id) { return std::nullopt; };

    health_loop(std::size_t count, std::size_t service_count, std::size_t servers_each)
        : members(make_members(count)), services(make_configuration(service_count, servers_each)) {
        for (const member& each : members) {
            balancers.push_back(std::make_unique<balancer>(each.id, time));
            balancers.back()->monitor.set_configuration(services);
            balancers.back()->monitor.set_members(members);
        }
    }
    void run_step() {
        time.advance(step);
        for (const auto& item : std::exchange(in_flight, {})) {
            for (std::size_t i = 0; i < members.size(); ++i) {
                if (members[i].control != item.destination || members[i].state == member_state::dead) continue;
                const auto opened = balancers[i]->channel.open(item.bytes);
                if (opened.has_value()) balancers[i]->monitor.receive(opened.value());
            }
        }
        for (std::size_t i = 0; i < members.size(); ++i) {
            if (members[i].state == member_state::dead) continue;
            health_monitor& monitor = balancers[i]->monitor;
            monitor.tick();
            for (const auto& probe : monitor.take_probes()) {
                const bool answered = reachable(members[i].id, probe.backend_server);
                monitor.probe_finished(
                    {probe.id, probe.backend_server, answered, answered ? load(probe.backend_server) : std::nullopt});
            }
            for (auto& item : monitor.take_datagrams())
                in_flight.push_back(std::move(item));
        }
    }
    void run(duration length) {
        for (duration passed{}; passed < length; passed += step)
            run_step();
    }
    backend_status status(std::size_t index, backend_server_id id) const {
        const auto& all = balancers[index]->monitor.statuses();
        const auto  found = std::ranges::find(all, id, &backend_status::id);
        return found != all.end() ? *found : backend_status{id};
    }
    // Number of balancers that consider the backend server out.
    std::size_t out_in_views(backend_server_id id) const {
        std::size_t count = 0;
        for (std::size_t i = 0; i < balancers.size(); ++i)
            if (!status(i, id).available) ++count;
        return count;
    }
    double bytes_per_second(duration length) {
        const auto sent = [&] {
            std::uint64_t sum = 0;
            for (const auto& item : balancers)
                sum += item->channel.counters().bytes_sent;
            return sum;
        };
        const auto before = sent();
        run(length);
        return static_cast<double>(sent() - before) / std::chrono::duration<double>(length).count() /
               static_cast<double>(balancers.size());
    }
};

} // namespace

// The ranking must spread the backend servers evenly over the members, and the death of a member must only reassign the
// backend servers that it observed.
BOOST_AUTO_TEST_CASE(observers_are_balanced_and_stable) {
    auto                                members = make_members(64);
    std::map<member_id, std::size_t>    share;
    std::vector<std::vector<member_id>> before;
    for (backend_server_id id = 1; id <= 2'000; ++id) {
        before.push_back(observers_of(id, members));
        BOOST_REQUIRE(before.back().size() == observers_per_server);
        for (const member_id observer : before.back())
            ++share[observer];
    }
    for (const auto& [observer, count] : share)
        BOOST_TEST((count > 50 && count < 150)); // 94 on average
    members[9].state = member_state::dead;
    for (backend_server_id id = 1; id <= 2'000; ++id) {
        auto kept = before[id - 1];
        std::erase(kept, 10);
        const auto after = observers_of(id, members);
        BOOST_TEST(std::ranges::includes(std::set(after.begin(), after.end()), std::set(kept.begin(), kept.end())));
    }
}

BOOST_AUTO_TEST_CASE(a_dead_backend_server_goes_out_and_comes_back) {
    health_loop loop(9, 4, 8);
    loop.run(5s);
    loop.reachable = [](member_id, backend_server_id id) { return id != 3; };
    loop.run(6s);
    BOOST_TEST(loop.out_in_views(3) == 9U);
    BOOST_TEST(loop.out_in_views(4) == 0U);
    loop.run(70s); // longer than opinion_lifetime: the opinions must be refreshed before they expire
    BOOST_TEST(loop.out_in_views(3) == 9U);
    loop.reachable = [](member_id, backend_server_id) { return true; };
    loop.run(6s);
    BOOST_TEST(loop.out_in_views(3) == 0U);
}

// Neither a single observer whose probes all fail nor probes that fail every second time must take backend servers out.
BOOST_AUTO_TEST_CASE(one_observer_is_not_enough) {
    health_loop loop(9, 4, 8);
    loop.reachable = [](member_id observer, backend_server_id) { return observer != 2; };
    loop.run(20s);
    BOOST_TEST(loop.balancers[1]->monitor.counters().probes_failed > 20U);
    std::map<std::pair<member_id, backend_server_id>, int> calls;
    loop.reachable = [&](member_id observer, backend_server_id id) { return ++calls[{observer, id}] % 2 == 0; };
    loop.run(20s);
    for (const auto& item : loop.balancers)
        BOOST_TEST(item->monitor.counters().taken_out == 0U);
}

// A backend server must stay out when two of its three observers die and are replaced.
BOOST_AUTO_TEST_CASE(new_observers_take_over_the_verdict) {
    health_loop loop(9, 4, 8);
    loop.reachable = [](member_id, backend_server_id id) { return id != 3; };
    loop.run(10s);
    const auto observers = observers_of(3, loop.members);
    loop.members[observers[0] - 1].state = member_state::dead;
    loop.members[observers[2] - 1].state = member_state::dead;
    for (auto& item : loop.balancers)
        item->monitor.set_members(loop.members);
    for (int i = 0; i < 600; ++i) {
        loop.run_step();
        BOOST_REQUIRE(loop.out_in_views(3) == 9U);
    }
}

BOOST_AUTO_TEST_CASE(at_most_half_of_a_service_is_taken_out) {
    health_loop       loop(9, 2, 8);
    backend_server_id failing = 4;
    loop.reachable = [&](member_id, backend_server_id id) { return id > failing; };
    loop.run(8s);
    for (backend_server_id id = 1; id <= 8; ++id)
        BOOST_TEST(loop.out_in_views(id) == (id <= 4 ? 9U : 0U));
    failing = 5;
    loop.run(8s);
    for (backend_server_id id = 1; id <= 16; ++id)
        BOOST_TEST(loop.out_in_views(id) == 0U);
}

// A loaded backend server has a penalty at all balancers. A backend server that reports zero load while it sheds load,
// while it has reached its flow limit, or while this balancer counts it as full must have the full penalty: otherwise
// its report would make it preferred.
BOOST_AUTO_TEST_CASE(load_is_penalised_and_a_false_report_of_zero_is_not_preferred) {
    health_loop loop(9, 1, 15);
    loop.services.services[0].backend_servers[3].limits.max_flows = 100; // id 4
    for (auto& item : loop.balancers)
        item->monitor.set_configuration(loop.services);
    loop.load = [&](backend_server_id id) -> load_report {
        // The number of connections varies, since constant reports are ignored.
        const auto connections = static_cast<std::uint32_t>(1'000 + loop.random() % 100);
        if (id == 2) return {8, 8, connections, false};
        if (id == 3) return {0, 8, connections, true};
        if (id == 4) return {0, 8, connections, false};
        return {id == 5 ? 0U : 2U, 8, connections, false};
    };
    loop.run(15s);
    loop.balancers[0]->monitor.set_full(5, true);
    loop.run(1s);
    for (std::size_t i = 0; i < 9; ++i) {
        BOOST_TEST(loop.status(i, 2).load_penalty > 2.5F);
        BOOST_TEST(loop.status(i, 3).load_penalty == 4.0F);
        BOOST_TEST(loop.status(i, 4).load_penalty == 4.0F);
        BOOST_TEST(loop.status(i, 5).load_penalty == (i == 0 ? 4.0F : 1.0F));
        BOOST_TEST(loop.status(i, 6).load_penalty == 1.0F);
    }
    loop.load = [&](backend_server_id id) -> load_report { // all have the same load except id 7, which reports zero
        return {id == 7 ? 0U : 7U, 8, static_cast<std::uint32_t>(loop.random() % 100), false};
    };
    loop.balancers[0]->monitor.set_full(5, false);
    loop.run(20s);
    for (std::size_t i = 0; i < 9; ++i) {
        for (backend_server_id id = 5; id <= 15; ++id)
            BOOST_TEST(loop.status(i, id).load_penalty == 1.0F);
    }
}

BOOST_AUTO_TEST_CASE(missing_and_constant_reports_are_neutral_after_5_seconds) {
    health_loop loop(9, 1, 15);
    bool        report_missing = false;
    bool        report_constant = false;
    loop.load = [&](backend_server_id id) -> std::optional<load_report> {
        if (report_missing) return std::nullopt;
        return load_report{id == 2 ? 8U : 1U, 8, report_constant ? 0U : static_cast<std::uint32_t>(loop.random()),
                           false};
    };
    const auto penalised = [&] {
        std::size_t count = 0;
        for (std::size_t i = 0; i < 9; ++i)
            if (loop.status(i, 2).load_penalty > 2.0F) ++count;
        return count;
    };
    loop.run(10s);
    BOOST_TEST(penalised() == 9U);
    report_constant = true;
    loop.run(8s); // 1 s until the first constant report, 5 s of report_lifetime, and the gossip
    BOOST_TEST(penalised() == 0U);
    report_constant = false;
    loop.run(10s);
    BOOST_TEST(penalised() == 9U);
    report_missing = true;
    loop.run(8s);
    BOOST_TEST(penalised() == 0U);
}

// For any reports, penalties stay within 1 .. 4, and at least half of the service has none unless reports shed load.
BOOST_AUTO_TEST_CASE(penalties_are_bounded_for_any_reports) {
    const bool passed = rc::check([](const std::vector<std::tuple<std::uint8_t, std::uint8_t, bool>>& reports) {
        health_loop loop(2, 1, 7);
        std::size_t next = 0;
        std::size_t refusing = 0;
        loop.load = [&](backend_server_id) -> std::optional<load_report> {
            if (reports.empty()) return std::nullopt;
            const auto& [busy, total, shedding] = reports[next++ % reports.size()];
            if (shedding) ++refusing;
            return load_report{busy, total, static_cast<std::uint32_t>(next), shedding};
        };
        for (int i = 0; i < 200; ++i) {
            loop.run_step();
            const auto& all = loop.balancers[0]->monitor.statuses();
            for (const auto& item : all)
                RC_ASSERT(item.load_penalty >= 1.0F && item.load_penalty <= 4.0F);
            if (refusing == 0) RC_ASSERT(all.size() <= 3U);
        }
    });
    BOOST_TEST(passed);
}

// Probe results that arrive late because the balancer was paused must not count as failures of the backend servers.
BOOST_AUTO_TEST_CASE(a_pause_of_the_balancer_is_not_a_failed_probe) {
    health_loop loop(1, 1, 4);
    for (int i = 0; i < 10; ++i) {
        loop.time.advance(500ms);
        loop.balancers[0]->monitor.tick();
        loop.balancers[0]->monitor.take_probes(); // these probes are pending during the pause
        loop.time.advance(10s);
        loop.balancers[0]->monitor.tick();
        loop.balancers[0]->monitor.take_probes();
    }
    BOOST_TEST(loop.balancers[0]->monitor.counters().probes_failed == 0U);
}

BOOST_AUTO_TEST_CASE(malformed_payloads_are_counted) {
    health_loop loop(3, 2, 8);
    loop.load = [&](backend_server_id) -> load_report {
        return {7, 8, static_cast<std::uint32_t>(loop.random()), false};
    };
    loop.reachable = [](member_id, backend_server_id id) { return id != 3; };
    std::vector<std::vector<std::byte>> payloads;
    for (int i = 0; i < 400; ++i) {
        loop.run_step();
        for (const auto& item : loop.in_flight)
            payloads.emplace_back(item.bytes.begin() + envelope_header_size, item.bytes.end() - control_mac_size);
    }
    health_monitor& monitor = loop.balancers[0]->monitor;
    for (int i = 0; i < 100'000; ++i) {
        auto payload = payloads[loop.random() % payloads.size()];
        for (auto& byte : payload)
            if (loop.random() % 16 == 0 || i % 4 == 0) byte = static_cast<std::byte>(loop.random());
        monitor.receive({message_type::health, 2, incarnation, 1, 1, payload});
    }
    BOOST_TEST(monitor.counters().malformed > 10'000U);
    loop.run(90s); // opinions and loads accepted from the random payloads expire, and the next refresh replaces them
    BOOST_TEST(loop.out_in_views(3) == 3U);
}

// Prints the control traffic and the time to detect a failure: 3 observers for each backend server, loads refreshed
// every 2 s.
void measure(std::size_t count, std::size_t services, std::size_t servers_each) {
    const auto report = [&](const char* quantity, double value) {
        BOOST_TEST_MESSAGE(count << " members, " << services * servers_each << " backend servers: " << quantity << " "
                                 << value);
    };
    health_loop loop(count, services, servers_each);
    std::size_t loaded_percent = 0;
    loop.load = [&](backend_server_id id) -> load_report {
        return {id * 37 % 100 < loaded_percent ? 8U : 0U, 8, static_cast<std::uint32_t>(loop.random()), false};
    };
    loop.run(6s);
    report("bytes a second, none loaded", loop.bytes_per_second(6s));
    for (const std::size_t percent : {5U, 30U, 100U}) {
        loaded_percent = percent;
        loop.run(6s);
        const double bytes_per_second = loop.bytes_per_second(6s);
        std::size_t  known_loads = 0;
        for (const auto& item : loop.balancers)
            known_loads += item->monitor.statuses().size();
        report(("bytes a second, loaded percent " + std::to_string(percent)).c_str(), bytes_per_second);
        if (percent <= 30) {
            const auto loaded = static_cast<double>(services * servers_each * percent) / 100;
            report("share of the loads known in a view",
                   static_cast<double>(known_loads) / static_cast<double>(count) / loaded);
        }
        BOOST_TEST(bytes_per_second < 1'700);
    }
    loaded_percent = 0;
    loop.run(6s);
    loop.reachable = [](member_id, backend_server_id id) { return id != 3; };
    duration passed{};
    for (; loop.out_in_views(3) < count && passed < 20s; passed += step)
        loop.run_step();
    report("seconds until a dead backend server is out in all views", std::chrono::duration<double>(passed).count());
    BOOST_TEST((passed < 8s));
    loop.reachable = [](member_id, backend_server_id id) { return id % 4 != 3; };
    report("bytes a second while a quarter of the backend servers goes down", loop.bytes_per_second(10s));
    report("bytes a second while a quarter of the backend servers is down", loop.bytes_per_second(20s)); // one refresh
}

BOOST_AUTO_TEST_CASE(cost_and_detection_time_with_9_members) {
    measure(9, 4, 12);
}
BOOST_AUTO_TEST_CASE(cost_and_detection_time_with_64_members) {
    measure(64, 40, 12);
}
BOOST_AUTO_TEST_CASE(cost_and_detection_time_with_267_members) {
    measure(267, 180, 12);
}
