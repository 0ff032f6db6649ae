// Membership of many balancers over an in-memory datagram loop: guards against slow failure detection, views that don't
// converge, and messages that exceed the control budget.
#define BOOST_TEST_MODULE membership
#include "tamarack/clock.h"
#include "tamarack/membership.h"

#include "membership.pb.h"

#include <boost/test/unit_test.hpp>
#include <functional>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

constexpr duration      step = 25ms; // of simulated time; also the delay of each datagram
constexpr std::uint64_t seed = 20261204;

member make_member(member_id id, incarnation_number incarnation) {
    member info;
    info.id = id;
    info.incarnation = incarnation;
    info.failure_domain = "zone-" + std::to_string(id % 4);
    info.control = {ip_address::v4(0x0a000000U + id), 7001};
    info.relay = {info.control.address, 7002};
    info.admin = {info.control.address, 7003};
    return info;
}

struct balancer {
    control_channel channel;
    membership      membership_view;
    bool            running = true;

    balancer(const membership_settings& settings, const tamarack::clock& time, std::uint64_t random_seed)
        : channel({settings.self.id, settings.self.incarnation, "test", {}}, time),
          membership_view(settings, channel, time, random_seed) {}
};

// Runs balancers 1 .. n. Each datagram arrives one step later, unless it is lost or its link is cut.
struct datagram_loop {
    manual_clock                               time;
    random_source                              random{seed};
    std::vector<std::unique_ptr<balancer>>     balancers;
    double                                     loss = 0;
    std::function<bool(member_id, member_id)>  is_link_cut = [](member_id, member_id) { return false; };
    std::vector<std::pair<endpoint, datagram>> in_flight; // with the sender's endpoint

    explicit datagram_loop(std::size_t count) {
        for (std::size_t i = 0; i < count; ++i)
            balancers.push_back(start(static_cast<member_id>(i + 1), 1'750'000'000'000));
    }
    std::unique_ptr<balancer> start(member_id id, incarnation_number incarnation) {
        membership_settings settings;
        settings.self = make_member(id, incarnation);
        settings.seeds = {make_member(1, 1).control, make_member(2, 1).control, make_member(3, 1).control};
        return std::make_unique<balancer>(settings, time, random());
    }
    void restart(member_id id) {
        auto& item = balancers[id - 1];
        item = start(id, item->membership_view.self().incarnation + 60'000);
    }
    static member_id id_of(const endpoint& where) {
        return static_cast<member_id>(where.address.bytes[14] << 8 | where.address.bytes[15]);
    }
    void deliver(const endpoint& sender_endpoint, const datagram& item) {
        if (id_of(item.destination) > balancers.size()) return; // a seed that does not run
        auto&             receiver = *balancers[id_of(item.destination) - 1];
        const std::size_t roll = random() % 1'000'000;
        if (!receiver.running || static_cast<double>(roll) < loss * 1e6 ||
            is_link_cut(id_of(sender_endpoint), id_of(item.destination)))
            return;
        const auto opened = receiver.channel.open(item.bytes);
        if (opened.has_value()) receiver.membership_view.receive(opened.value(), sender_endpoint);
        if (opened.has_error()) receiver.membership_view.receive_superseded(opened.error(), sender_endpoint);
    }
    void run_step() {
        time.advance(step);
        for (const auto& [sender_endpoint, item] : std::exchange(in_flight, {}))
            deliver(sender_endpoint, item);
        for (auto& item : balancers) {
            if (!item->running) continue;
            item->membership_view.tick();
            for (auto& sent : item->membership_view.take_datagrams())
                in_flight.emplace_back(item->membership_view.self().control, std::move(sent));
        }
    }
    void run(duration time_span) {
        for (duration elapsed{}; elapsed < time_span; elapsed += step)
            run_step();
    }
    // Returns the time until the condition holds, or the limit if it does not.
    duration run_until(const std::function<bool()>& condition, duration limit) {
        duration elapsed{};
        for (; elapsed < limit && !condition(); elapsed += step)
            run_step();
        return elapsed;
    }
    // True if every running balancer sees exactly the running balancers of its side of the partition as not dead, with
    // their current incarnations.
    bool views_agree(const std::function<bool(member_id, member_id)>& is_same_side) const {
        for (const auto& viewer : balancers) {
            if (!viewer->running) continue;
            for (const auto& item : balancers) {
                const member  actual = item->membership_view.self();
                const member* seen = viewer->membership_view.find(actual.id);
                const bool    expected = item->running && is_same_side(viewer->membership_view.self().id, actual.id);
                const bool    present = seen != nullptr && seen->state != member_state::dead;
                if (present != expected || (present && seen->incarnation != actual.incarnation)) return false;
            }
        }
        return true;
    }
    bool views_agree() const {
        return views_agree([](member_id, member_id) { return true; });
    }
    std::uint64_t bytes_sent() const {
        std::uint64_t sum = 0;
        for (const auto& item : balancers)
            sum += item->channel.counters().bytes_sent;
        return sum;
    }
    std::uint64_t deaths() const {
        std::uint64_t sum = 0;
        for (const auto& item : balancers)
            sum += item->membership_view.counters().deaths;
        return sum;
    }
    // Runs for the time span, and returns the bytes sent per second and balancer.
    double bytes_per_second(duration time_span) {
        const auto before = bytes_sent();
        run(time_span);
        const double seconds = std::chrono::duration<double>(time_span).count();
        return static_cast<double>(bytes_sent() - before) / seconds / static_cast<double>(balancers.size());
    }
};

double gossip_rounds(duration time_span) {
    return std::chrono::duration<double>(time_span).count() / 0.5; // the ping interval in seconds
}

void report(std::size_t count, const std::string& label, double value) {
    BOOST_TEST_MESSAGE(count << " members: " << label << " " << value);
}

} // namespace

// Checks and measures joining, steady traffic, one death, a restart of a tenth of the balancers, a partition and packet
// loss, for the group sizes of the design.
void measure_group_size(std::size_t count) {
    datagram_loop loop(count);
    const auto    joined = loop.run_until([&] { return loop.views_agree(); }, 60s);
    report(count, "join of all at once, gossip rounds", gossip_rounds(joined));
    BOOST_TEST(loop.views_agree());
    loop.run(20s);
    const double steady = loop.bytes_per_second(30s);
    report(count, "steady bytes a second", steady);
    BOOST_TEST(steady < 1'000);
    BOOST_TEST(loop.deaths() == 0U);

    loop.balancers.back()->running = false;
    const auto dead_id = static_cast<member_id>(count);
    const auto dead_in_all_views = [&] {
        return std::ranges::all_of(loop.balancers, [&](const auto& item) {
            const member* seen = item->membership_view.find(dead_id);
            return !item->running || seen == nullptr || seen->state == member_state::dead;
        });
    };
    const auto detected = loop.run_until(dead_in_all_views, 20s);
    report(count, "one death until dead in all views, gossip rounds", gossip_rounds(detected));
    BOOST_TEST((detected < 6s));
    loop.run(10s);

    loop.balancers.back()->running = true; // returns after a pause, under its old incarnation
    const auto returned = loop.run_until([&] { return loop.views_agree(); }, 30s);
    report(count, "return under the old life, gossip rounds", gossip_rounds(returned));
    BOOST_TEST(loop.views_agree());

    const std::size_t restarts = std::max<std::size_t>(1, count / 10);
    for (std::size_t i = 0; i < restarts; ++i)
        loop.restart(static_cast<member_id>(count - i));
    const auto restarted = loop.run_until([&] { return loop.views_agree(); }, 60s);
    report(count, "restart of a tenth, gossip rounds", gossip_rounds(restarted));
    BOOST_TEST(loop.views_agree());
    loop.run(10s);

    const auto same_side = [&](member_id a, member_id b) { return (a <= count / 2) == (b <= count / 2); };
    loop.is_link_cut = [&](member_id a, member_id b) { return !same_side(a, b); };
    const auto split = loop.run_until([&] { return loop.views_agree(same_side); }, 60s);
    report(count, "partition until both halves agree, gossip rounds", gossip_rounds(split));
    BOOST_TEST(loop.views_agree(same_side));
    loop.run(60s - split);
    report(count, "bytes a second at the end of the partition", loop.bytes_per_second(5s));
    loop.is_link_cut = [](member_id, member_id) { return false; };
    const auto before_healing = loop.bytes_sent();
    const auto healed = loop.run_until([&] { return loop.views_agree(); }, 120s);
    report(count, "healing until all views agree, gossip rounds", gossip_rounds(healed));
    report(count, "bytes a second while healing",
           static_cast<double>(loop.bytes_sent() - before_healing) / static_cast<double>(count) /
               std::max(0.5, std::chrono::duration<double>(healed).count()));
    BOOST_TEST(loop.views_agree());
    loop.run(20s);

    loop.loss = 0.2;
    const auto deaths = loop.deaths();
    report(count, "bytes a second with 20% loss", loop.bytes_per_second(60s));
    report(count, "false deaths in 60 s with 20% loss, over all views", static_cast<double>(loop.deaths() - deaths));
    loop.loss = 0;
    loop.run_until([&] { return loop.views_agree(); }, 30s);
    BOOST_TEST(loop.views_agree());
}

BOOST_AUTO_TEST_CASE(convergence_with_9_members) {
    measure_group_size(9);
}
BOOST_AUTO_TEST_CASE(convergence_with_64_members) {
    measure_group_size(64);
}
BOOST_AUTO_TEST_CASE(convergence_with_267_members) {
    measure_group_size(267);
}

// Guards against single slow detections, which an average hides: packets relayed to a dead balancer are lost until
// then.
BOOST_AUTO_TEST_CASE(a_death_is_detected_within_3_seconds) {
    for (const std::size_t count : {9U, 64U, 267U}) {
        datagram_loop       loop(count);
        std::vector<double> first_view;
        std::vector<double> all_views;
        loop.run_until([&] { return loop.views_agree(); }, 60s);
        for (int i = 0; i < 20; ++i) {
            loop.run(10s + step * static_cast<int>(loop.random() % 40));
            const auto dead_id = static_cast<member_id>(4 + loop.random() % (count - 4));
            loop.balancers[dead_id - 1]->running = false;
            const auto dead_in = [&](const auto& item) {
                return !item->running || item->membership_view.find(dead_id)->state == member_state::dead;
            };
            const auto in_some_view = [&] {
                return std::ranges::count_if(loop.balancers, dead_in) > 1; // the dead balancer counts as one
            };
            const auto first = loop.run_until(in_some_view, 20s);
            const auto all = first + loop.run_until([&] { return std::ranges::all_of(loop.balancers, dead_in); }, 20s);
            first_view.push_back(gossip_rounds(first));
            all_views.push_back(gossip_rounds(all));
            loop.restart(dead_id);
            loop.run_until([&] { return loop.views_agree(); }, 60s);
        }
        std::ranges::sort(first_view);
        std::ranges::sort(all_views);
        report(count, "death in the first view, median in gossip rounds", first_view[10]);
        report(count, "death in the first view, longest of 20", first_view.back());
        report(count, "death in all views, median in gossip rounds", all_views[10]);
        report(count, "death in all views, longest of 20", all_views.back());
        BOOST_TEST(first_view.back() <= 6.1);
        BOOST_TEST(all_views[10] <= 6.1);
    }
}

// Guards against a balancer that places flows after a pause although its view is outdated: answers to pings sent before
// the pause must not count as acknowledgements.
BOOST_AUTO_TEST_CASE(a_paused_balancer_must_be_acknowledged_again) {
    datagram_loop loop(4);
    loop.run(5s);
    auto& paused = *loop.balancers[3];
    BOOST_TEST(paused.membership_view.is_acknowledged());
    const auto sent_by_paused = [&] {
        return std::ranges::any_of(
            loop.in_flight, [&](const auto& item) { return item.first == paused.membership_view.self().control; });
    };
    loop.run_until(sent_by_paused, 2s);
    paused.running = false;
    paused.membership_view.take_events();
    std::vector<std::pair<endpoint, datagram>> late_datagrams; // includes answers to its last ping
    for (int i = 0; i < 4; ++i) {
        loop.run_step();
        std::ranges::copy_if(loop.in_flight, std::back_inserter(late_datagrams), [&](const auto& item) {
            return item.second.destination == paused.membership_view.self().control;
        });
    }
    loop.run(2s);
    paused.running = true;
    BOOST_REQUIRE(!late_datagrams.empty());
    for (const auto& [sender_endpoint, item] : late_datagrams)
        loop.deliver(sender_endpoint, item);
    BOOST_TEST(!paused.membership_view.is_acknowledged());
    const auto events = paused.membership_view.take_events();
    BOOST_TEST(std::ranges::count(events, membership_event_kind::paused, &membership_event::kind) == 1);
    loop.run(1s);
    BOOST_TEST(paused.membership_view.is_acknowledged());
    for (const auto& info : paused.membership_view.members())
        BOOST_TEST((info.state == member_state::alive)); // its own pause must not make peers look dead
}

BOOST_AUTO_TEST_CASE(two_processes_under_one_id_are_reported) {
    datagram_loop loop(5);
    loop.run(5s);
    const member original = loop.balancers[3]->membership_view.self();
    // Uses the endpoint of member 5, so that both processes can be reached.
    member       second = original;
    second.incarnation += 1;
    second.control = loop.balancers[4]->membership_view.self().control;
    loop.balancers[4] = std::make_unique<balancer>(
        membership_settings{.self = second, .seeds = {make_member(1, 1).control}}, loop.time, seed);
    loop.run(10s);
    BOOST_TEST(loop.balancers[0]->membership_view.find(4)->incarnation == second.incarnation);
    BOOST_TEST(loop.balancers[0]->membership_view.find(4)->control.to_string() == second.control.to_string());
    for (const std::size_t reporter : {0U, 3U}) {
        const auto events = loop.balancers[reporter]->membership_view.take_events();
        BOOST_TEST(std::ranges::count(events, membership_event_kind::duplicate_id, &membership_event::kind) == 1);
    }
    BOOST_TEST(loop.balancers[3]->membership_view.superseded_by().value_or(0) == second.incarnation);
    BOOST_TEST(!loop.balancers[3]->membership_view.is_acknowledged());
    BOOST_TEST(loop.balancers[4]->membership_view.is_acknowledged());
}

BOOST_AUTO_TEST_CASE(a_balancer_leaves_in_order) {
    datagram_loop loop(9);
    loop.run(5s);
    loop.balancers[8]->membership_view.set_revision(17);
    loop.balancers[8]->membership_view.leave();
    loop.run(10s);
    for (std::size_t i = 0; i < 8; ++i) {
        BOOST_TEST((loop.balancers[i]->membership_view.find(9)->state == member_state::leaving));
        BOOST_TEST(loop.balancers[i]->membership_view.revision_of(9) == 17U);
        BOOST_TEST(loop.balancers[i]->membership_view.holder_of_newest_revision() == 9U);
    }
    loop.balancers[8]->membership_view.depart();
    loop.run(3s);
    for (std::size_t i = 0; i < 8; ++i)
        BOOST_TEST((loop.balancers[i]->membership_view.find(9)->state == member_state::dead));
}

// Guards against a balancer without peers that never starts to work, or that starts before it has looked for peers.
BOOST_AUTO_TEST_CASE(a_balancer_alone_acknowledges_itself) {
    datagram_loop loop(1);
    loop.run(4s);
    BOOST_TEST(!loop.balancers[0]->membership_view.is_acknowledged());
    loop.run(2s);
    BOOST_TEST(loop.balancers[0]->membership_view.is_acknowledged());
}

// Guards against malformed messages with a valid MAC from a faulty peer, which must neither crash nor block a balancer.
BOOST_AUTO_TEST_CASE(malformed_payloads_are_counted) {
    datagram_loop                       loop(3);
    std::vector<std::vector<std::byte>> payloads;
    for (int i = 0; i < 400; ++i) {
        loop.run_step();
        for (const auto& [sender_endpoint, item] : loop.in_flight)
            payloads.emplace_back(item.bytes.begin() + envelope_header_size, item.bytes.end() - control_mac_size);
    }
    auto& receiver = *loop.balancers[0];
    for (int i = 0; i < 100'000; ++i) {
        auto payload = payloads[loop.random() % payloads.size()];
        for (auto& byte : payload)
            if (loop.random() % 16 == 0 || i % 4 == 0) byte = static_cast<std::byte>(loop.random());
        const auto type = static_cast<message_type>(1 + loop.random() % 6);
        receiver.membership_view.receive({type, 2, 1'750'000'000'000, 1, 1, payload}, make_member(2, 1).control);
    }
    BOOST_TEST(receiver.membership_view.counters().malformed > 10'000U);
    BOOST_TEST(receiver.membership_view.members().size() <= max_senders + 1);
    receiver.membership_view.take_datagrams();
    loop.time.advance(10s);
    const endpoint stranger = make_member(77, 1).control;
    BOOST_TEST(receiver.membership_view.receive({message_type::ping, 77, 1'750'000'000'000, 1, 1, {}}, stranger));
    const auto sent = receiver.membership_view.take_datagrams();
    BOOST_TEST(std::ranges::count(sent, stranger, &datagram::destination) == 1);
}
