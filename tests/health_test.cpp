// Health and load over an in-memory datagram loop: guards against verdicts of a single observer, against taking out too
// many backend servers, against reports that attract work, and against messages over the control budget.
#define BOOST_TEST_MODULE health
#include "tamarack/clock.h"
#include "tamarack/health.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <rapidcheck.h>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

constexpr duration      step = 50ms; // also the time that each datagram takes
constexpr std::uint64_t seed = 20261204;
constexpr incarnation   life = 1'750'000'000'000;

std::vector<member> make_members(std::size_t count) {
    std::vector<member> all(count);
    for (std::size_t i = 0; i < count; ++i) {
        all[i].id = static_cast<member_id>(i + 1);
        all[i].life = life;
        all[i].control = {ip_address::v4(0x0a000001U + static_cast<std::uint32_t>(i)), 7001};
    }
    return all;
}

// Services of equal size; ids of backend servers from 1.
configuration make_configuration(std::size_t services, std::size_t servers_each) {
    configuration all;
    for (std::size_t i = 0; i < services; ++i) {
        service group;
        group.id = static_cast<service_id>(i + 1);
        for (std::size_t k = 0; k < servers_each; ++k) {
            backend_server server;
            server.id = static_cast<backend_server_id>(i * servers_each + k + 1);
            server.health = {ip_address::v4(0x0a800000U + server.id), 80};
            group.backend_servers.push_back(server);
        }
        all.services.push_back(group);
    }
    return all;
}

struct balancer {
    control_channel channel;
    health          view;

    balancer(member_id id, const tamarack::clock& time)
        : channel({id, life, "test", {}}, time), view({}, channel, time, seed + id) {}
};

struct health_loop {
    manual_clock                                      time;
    random_source                                     random{seed};
    std::vector<member>                               members;
    configuration                                     services;
    std::vector<std::unique_ptr<balancer>>            balancers;
    std::vector<datagram>                             flying;
    std::function<bool(member_id, backend_server_id)> reachable = [](member_id, backend_server_id) { return true; };
    std::function<std::optional<load_report>(backend_server_id)> load = [](backend_server_id) { return std::nullopt; };

    health_loop(std::size_t count, std::size_t service_count, std::size_t servers_each)
        : members(make_members(count)), services(make_configuration(service_count, servers_each)) {
        for (const member& who : members) {
            balancers.push_back(std::make_unique<balancer>(who.id, time));
            balancers.back()->view.set_configuration(services);
            balancers.back()->view.set_members(members);
        }
    }
    void run_step() {
        time.advance(step);
        for (const auto& item : std::exchange(flying, {})) {
            for (std::size_t i = 0; i < members.size(); ++i) {
                if (members[i].control != item.destination || members[i].state == member_state::dead) continue;
                const auto opened = balancers[i]->channel.open(item.bytes);
                if (opened.has_value()) balancers[i]->view.receive(opened.value());
            }
        }
        for (std::size_t i = 0; i < members.size(); ++i) {
            if (members[i].state == member_state::dead) continue;
            health& view = balancers[i]->view;
            view.tick();
            for (const auto& probe : view.take_probes()) {
                const bool answered = reachable(members[i].id, probe.backend_server);
                view.probe_finished(
                    {probe.id, probe.backend_server, answered, answered ? load(probe.backend_server) : std::nullopt});
            }
            for (auto& item : view.take_datagrams())
                flying.push_back(std::move(item));
        }
    }
    void run(duration length) {
        for (duration passed{}; passed < length; passed += step)
            run_step();
    }
    backend_status status(std::size_t index, backend_server_id id) const {
        const auto& all = balancers[index]->view.statuses();
        const auto  found = std::ranges::find(all, id, &backend_status::id);
        return found != all.end() ? *found : backend_status{id};
    }
    // How many balancers hold the backend server as out.
    std::size_t out_in_views(backend_server_id id) const {
        std::size_t count = 0;
        for (std::size_t i = 0; i < balancers.size(); ++i)
            if (!status(i, id).available) ++count;
        return count;
    }
    double cost(duration length) {
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

// Ranking must not favour anyone, and the death of a member must only move what it observed.
BOOST_AUTO_TEST_CASE(observers_are_balanced_and_stable) {
    auto                                members = make_members(64);
    std::map<member_id, std::size_t>    share;
    std::vector<std::vector<member_id>> before;
    for (backend_server_id id = 1; id <= 2'000; ++id) {
        before.push_back(observers_of(id, members));
        BOOST_REQUIRE(before.back().size() == observers_per_server);
        for (const member_id who : before.back())
            ++share[who];
    }
    for (const auto& [who, count] : share)
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
    loop.run(70s); // the opinion must be refreshed before it expires
    BOOST_TEST(loop.out_in_views(3) == 9U);
    loop.reachable = [](member_id, backend_server_id) { return true; };
    loop.run(6s);
    BOOST_TEST(loop.out_in_views(3) == 0U);
}

// One observer with a fault of its own must not take backend servers out; a flapping probe must not either.
BOOST_AUTO_TEST_CASE(one_observer_is_not_enough) {
    health_loop loop(9, 4, 8);
    loop.reachable = [](member_id who, backend_server_id) { return who != 2; };
    loop.run(20s);
    BOOST_TEST(loop.balancers[1]->view.counters().probes_failed > 20U);
    std::map<std::pair<member_id, backend_server_id>, int> calls;
    loop.reachable = [&](member_id who, backend_server_id id) { return ++calls[{who, id}] % 2 == 0; };
    loop.run(20s);
    for (const auto& item : loop.balancers)
        BOOST_TEST(item->view.counters().taken_out == 0U);
}

// The verdict must survive the death of two of its three observers.
BOOST_AUTO_TEST_CASE(new_observers_take_over_the_verdict) {
    health_loop loop(9, 4, 8);
    loop.reachable = [](member_id, backend_server_id id) { return id != 3; };
    loop.run(10s);
    const auto observers = observers_of(3, loop.members);
    loop.members[observers[0] - 1].state = member_state::dead;
    loop.members[observers[2] - 1].state = member_state::dead;
    for (auto& item : loop.balancers)
        item->view.set_members(loop.members);
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

// A loaded backend server is avoided in all views. One that reports zero while it sheds load, while it has reached its
// limit, or while this balancer knows that it is full, must have the full penalty instead of attracting work.
BOOST_AUTO_TEST_CASE(load_repels_and_a_false_zero_does_not_attract) {
    health_loop loop(9, 1, 15);
    loop.services.services[0].backend_servers[3].limits.max_flows = 100; // id 4
    for (auto& item : loop.balancers)
        item->view.set_configuration(loop.services);
    loop.load = [&](backend_server_id id) -> load_report {
        const auto noise = static_cast<std::uint32_t>(1'000 + loop.random() % 100); // reports that vary are believed
        if (id == 2) return {8, 8, noise, false};
        if (id == 3) return {0, 8, noise, true};
        if (id == 4) return {0, 8, noise, false};
        return {id == 5 ? 0U : 2U, 8, noise, false};
    };
    loop.run(15s);
    loop.balancers[0]->view.set_full(5, true);
    loop.run(1s);
    for (std::size_t i = 0; i < 9; ++i) {
        BOOST_TEST(loop.status(i, 2).load_penalty > 2.5F);
        BOOST_TEST(loop.status(i, 3).load_penalty == 4.0F);
        BOOST_TEST(loop.status(i, 4).load_penalty == 4.0F);
        BOOST_TEST(loop.status(i, 5).load_penalty == (i == 0 ? 4.0F : 1.0F));
        BOOST_TEST(loop.status(i, 6).load_penalty == 1.0F);
    }
    loop.load = [&](backend_server_id id) -> load_report { // all are loaded alike but the one that reports zero
        return {id == 7 ? 0U : 7U, 8, static_cast<std::uint32_t>(loop.random() % 100), false};
    };
    loop.balancers[0]->view.set_full(5, false);
    loop.run(20s);
    for (std::size_t i = 0; i < 9; ++i) {
        for (backend_server_id id = 5; id <= 15; ++id)
            BOOST_TEST(loop.status(i, id).load_penalty == 1.0F);
    }
}

BOOST_AUTO_TEST_CASE(missing_and_constant_reports_are_neutral_after_5_seconds) {
    health_loop loop(9, 1, 15);
    bool        silent = false;
    bool        constant = false;
    loop.load = [&](backend_server_id id) -> std::optional<load_report> {
        if (silent) return std::nullopt;
        return load_report{id == 2 ? 8U : 1U, 8, constant ? 0U : static_cast<std::uint32_t>(loop.random()), false};
    };
    const auto penalised = [&] {
        std::size_t count = 0;
        for (std::size_t i = 0; i < 9; ++i)
            if (loop.status(i, 2).load_penalty > 2.0F) ++count;
        return count;
    };
    loop.run(10s);
    BOOST_TEST(penalised() == 9U);
    constant = true;
    loop.run(8s); // 1 s to the first constant report, 5 s, and the spread
    BOOST_TEST(penalised() == 0U);
    constant = false;
    loop.run(10s);
    BOOST_TEST(penalised() == 9U);
    silent = true;
    loop.run(8s);
    BOOST_TEST(penalised() == 0U);
}

// Whatever is reported, the penalty stays within 1 .. 4, and at least half of the service has none.
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
            const auto& all = loop.balancers[0]->view.statuses();
            for (const auto& item : all)
                RC_ASSERT(item.load_penalty >= 1.0F && item.load_penalty <= 4.0F);
            if (refusing == 0) RC_ASSERT(all.size() <= 3U);
        }
    });
    BOOST_TEST(passed);
}

// A pause of the balancer makes probes late; that must not count against the backend servers.
BOOST_AUTO_TEST_CASE(a_pause_is_no_failure) {
    health_loop loop(1, 1, 4);
    for (int i = 0; i < 10; ++i) {
        loop.time.advance(500ms);
        loop.balancers[0]->view.tick();
        loop.balancers[0]->view.take_probes(); // under way during the pause
        loop.time.advance(10s);
        loop.balancers[0]->view.tick();
        loop.balancers[0]->view.take_probes();
    }
    BOOST_TEST(loop.balancers[0]->view.counters().probes_failed == 0U);
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
        for (const auto& item : loop.flying)
            payloads.emplace_back(item.bytes.begin() + envelope_header_size, item.bytes.end() - control_mac_size);
    }
    health& view = loop.balancers[0]->view;
    for (int i = 0; i < 100'000; ++i) {
        auto payload = payloads[loop.random() % payloads.size()];
        for (auto& byte : payload)
            if (loop.random() % 16 == 0 || i % 4 == 0) byte = static_cast<std::byte>(loop.random());
        view.receive({message_type::health, 2, life, 1, 1, payload});
    }
    BOOST_TEST(view.counters().malformed > 10'000U);
    loop.run(90s); // what was believed of the garbage expires, and the next refresh replaces it
    BOOST_TEST(loop.out_in_views(3) == 3U);
}

// Cost of probing results: 3 observers for each backend server, loads refreshed every 2 s.
void measure(std::size_t count, std::size_t services, std::size_t servers_each) {
    const auto report = [&](const char* what, double value) {
        BOOST_TEST_MESSAGE(count << " members, " << services * servers_each << " backend servers: " << what << " "
                                 << value);
    };
    health_loop loop(count, services, servers_each);
    std::size_t loaded_percent = 0;
    loop.load = [&](backend_server_id id) -> load_report {
        return {id * 37 % 100 < loaded_percent ? 8U : 0U, 8, static_cast<std::uint32_t>(loop.random()), false};
    };
    loop.run(6s);
    report("bytes a second, none loaded", loop.cost(6s));
    for (const std::size_t percent : {5U, 30U, 100U}) {
        loaded_percent = percent;
        loop.run(6s);
        const double cost = loop.cost(6s);
        std::size_t  known = 0;
        for (const auto& item : loop.balancers)
            known += item->view.statuses().size();
        report(("bytes a second, loaded percent " + std::to_string(percent)).c_str(), cost);
        if (percent <= 30) {
            const auto loaded = static_cast<double>(services * servers_each * percent) / 100;
            report("share of the loads known in a view",
                   static_cast<double>(known) / static_cast<double>(count) / loaded);
        }
        BOOST_TEST(cost < 1'700);
    }
    loaded_percent = 0;
    loop.run(6s);
    loop.reachable = [](member_id, backend_server_id id) { return id != 3; };
    duration passed{};
    for (; loop.out_in_views(3) < count && passed < 20s; passed += step)
        loop.run_step();
    report("seconds until a dead one is out in all views", std::chrono::duration<double>(passed).count());
    BOOST_TEST((passed < 8s));
    loop.reachable = [](member_id, backend_server_id id) { return id % 4 != 3; };
    report("bytes a second while a quarter goes down", loop.cost(10s));
    report("bytes a second while a quarter is down", loop.cost(20s)); // one refresh
}

BOOST_AUTO_TEST_CASE(measures_9) {
    measure(9, 4, 12);
}
BOOST_AUTO_TEST_CASE(measures_64) {
    measure(64, 40, 12);
}
BOOST_AUTO_TEST_CASE(measures_267) {
    measure(267, 180, 12);
}
