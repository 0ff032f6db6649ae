// Admission of new flows under overload, and its absence without.
#define BOOST_TEST_MODULE entry_admission
#include "entry_load_replay.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace tamarack::entry;
using namespace std::chrono_literals;

namespace {

// The usual demand for ten seconds, then eight times as much.
double eightfold(double second) {
    return second < 10 ? 1.0 : 8.0;
}

} // namespace

// Day of deployment A at eight times the demand: 12% was refused by the servers, priority 1 more than priority 2.
BOOST_AUTO_TEST_CASE(eight_times_the_demand) {
    load_replay replay(with_demand(eightfold));
    replay.run_until(10);
    replay.results.assign(2, {});
    replay.run_until(110);
    print("eightfold", replay, 12, 110);
    const pattern_result& reports = replay.results[0];
    const pattern_result& polls = replay.results[1];
    const double worth = 2.0 * (static_cast<double>(reports.served) + 0.1 * static_cast<double>(reports.late)) +
                         static_cast<double>(polls.served) + 0.1 * static_cast<double>(polls.late);
    const double owed = 2.0 * static_cast<double>(reports.owed) + static_cast<double>(polls.owed);
    BOOST_TEST_MESSAGE("worth=" << worth / owed);
    BOOST_TEST(reports.served_share() >= 0.90);
    BOOST_TEST(worth / owed >= 0.64); // 0.685 if every slot is always busy and all reports are served
    BOOST_TEST(replay.busy_share(12, 110) >= 0.93);
}

// A rate that follows late answers too closely refuses too much and too little by turns.
BOOST_AUTO_TEST_CASE(steady_overload_does_not_oscillate) {
    for (const double factor : {5.5, 8.0, 16.0}) {
        load_replay replay(with_demand([factor](double second) { return second < 10 ? 1.0 : factor; }));
        replay.run_until(111);
        double lowest = 1.0;
        for (std::size_t at = 14; at < 110; ++at)
            lowest = std::min(lowest, replay.busy_share(at, at + 1));
        print(std::to_string(factor), replay, 14, 110);
        BOOST_TEST_MESSAGE("lowest busy share of a second " << lowest);
        BOOST_TEST(lowest >= 0.80);
        for (unsigned host = 0; host < 20; ++host) // each is a log line
            BOOST_TEST(replay.host(host).new_flow_admission().take_changes().size() <= 3U);
        BOOST_TEST(replay.results[0].served_share() >= (factor > 8 ? 0.55 : 0.95));
    }
}

// A SYN that was delivered may have opened a flow: the refusal of its copy would tell the caller that nothing ran.
BOOST_AUTO_TEST_CASE(copies_of_delivered_syns_are_not_refused) {
    replay_settings settings = with_demand(eightfold);
    settings.is_dark = [](unsigned server) { return server % 4 == 0; };
    load_replay replay(settings);
    replay.run_until(30);
    BOOST_TEST(replay.refused_by_hosts() > 0U);
    BOOST_TEST(replay.refused_copies == 0U);
}

// An operator asks why a caller was refused.
BOOST_AUTO_TEST_CASE(explanation_tells_the_admitted_share) {
    load_replay replay(with_demand(eightfold));
    replay.run_until(30);
    const endpoint poll_address{service_address.address, 1'001};
    const auto     explanation = replay.host(0).explain({}, poll_address, {});
    BOOST_TEST_REQUIRE(explanation.outlooks.size() == 1U);
    BOOST_TEST(explanation.outlooks[0].status.is_refusing);
    BOOST_TEST(explanation.outlooks[0].admitted_share < 0.6);
}

// Backend servers that refuse a request only when it has waited for its turn answer as late as busy ones: taken for
// answers, their refusals made the balancers admit twice what the servers could do, and after five seconds everything.
BOOST_AUTO_TEST_CASE(refusals_after_a_wait_are_no_answers) {
    replay_settings settings = with_demand(eightfold);
    settings.refusal_wait_ms = 130;
    load_replay replay(settings);
    replay.run_until(110);
    print("refusals after a wait", replay, 10, 110);
    BOOST_TEST(replay.results[0].served_share() >= 0.90);
}

BOOST_AUTO_TEST_CASE(refusing_ends_soon_after_the_overload) {
    load_replay replay(with_demand([](double second) { return second > 10 && second < 40 ? 8.0 : 1.0; }));
    replay.run_until(42);
    const auto refused = replay.refused_by_hosts();
    BOOST_TEST(refused > 0);
    replay.run_until(70);
    BOOST_TEST_MESSAGE("refused later than 2 s after the overload " << replay.refused_by_hosts() - refused);
    BOOST_TEST(replay.refused_by_hosts() - refused <= 20);
    for (unsigned host = 0; host < 20; ++host)
        BOOST_TEST(!replay.host(host).new_flow_admission().status("desk").is_refusing);
}

// Open flows fill the backend servers, and admission sees new flows only: it must neither stop all of them nor none.
BOOST_AUTO_TEST_CASE(long_flows_under_overload) {
    replay_settings settings = with_demand(eightfold);
    for (request_pattern& pattern : settings.patterns) {
        pattern.requests = 20;
        pattern.per_second /= 20;
    }
    load_replay replay(settings);
    replay.run_until(110);
    print("long flows", replay, 30, 110);
    BOOST_TEST(replay.results[0].served_share() >= 0.85);
    BOOST_TEST(replay.results[1].served > 0U);
    BOOST_TEST(replay.busy_share(30, 110) >= 0.85);
}

BOOST_AUTO_TEST_SUITE(capacity_is_left)

// A refusal without need fails a request that would have been served.
void check_admits_all(const std::string& name, replay_settings settings) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        settings.seed = seed;
        load_replay replay(settings);
        replay.run_until(121);
        print(name, replay, 1, 120);
        BOOST_TEST(replay.refused_by_hosts() == 0U);
    }
}

BOOST_AUTO_TEST_CASE(usual_load) {
    check_admits_all("usual", {});
}

BOOST_AUTO_TEST_CASE(three_times_the_usual_load) {
    check_admits_all("threefold", with_demand([](double second) { return second < 20 ? 1.0 : 3.0; }));
}

BOOST_AUTO_TEST_CASE(slow_servers) {
    replay_settings settings = with_demand([](double second) { return second < 20 ? 1.0 : 2.0; });
    settings.slowness = [](double, unsigned server) { return server % 5 < 2 ? 4.0 : 1.0; };
    check_admits_all("slow servers", settings);
}

BOOST_AUTO_TEST_CASE(dark_servers) {
    replay_settings settings;
    settings.is_dark = [](unsigned server) { return server % 4 == 0; };
    check_admits_all("dark servers", settings);
}

// A dependency of all servers takes longer: the delay does not fall if flows are refused.
BOOST_AUTO_TEST_CASE(all_servers_become_slow) {
    replay_settings settings;
    settings.slowness = [](double second, unsigned) { return second < 30 ? 1.0 : 4.5; };
    settings.demand = [](double, unsigned) { return 0.5; };
    load_replay replay(settings);
    replay.run_until(121);
    print("all slow", replay, 31, 120);
    BOOST_TEST(replay.results[0].served_share() >= 0.98);
    BOOST_TEST(replay.results[1].served_share() >= 0.95);
}

BOOST_AUTO_TEST_CASE(warming_servers) {
    replay_settings settings;
    settings.slowness = [](double, unsigned server) { return server % 2 == 0 ? 1.6 : 1.0; };
    check_admits_all("warming servers", settings);
}

BOOST_AUTO_TEST_SUITE_END()

struct admission_fixture {
    manual_clock time;
    congestion   waiting;
    admission    gate{waiting, 1};
    route        report{"report", service_address, {{"desk", 1}}, request_kind::idempotent, 1, 500ms, 2s, {}};
    route        poll{"poll", service_address, {{"desk", 1}}, request_kind::idempotent, 2, 400ms, 2s, {}};

    // Flows of both routes arrive every 5 ms; their answers take the given time. Full backend servers refuse some.
    int run(duration length, duration answer_time) {
        int refused = 0;
        for (const steady_time end = time.steady_now() + length; time.steady_now() < end; time.advance(5ms)) {
            for (const route* asked : {&report, &poll}) {
                if (!gate.admit(*asked, "desk", syn_packet(++port), time.steady_now())) {
                    ++refused;
                    refused_port = port;
                    continue;
                }
                const bool          is_refusal = answer_time > 100ms && port / 2 % 10 == 0;
                const flow_progress progress{.answer_time = is_refusal ? 2ms : answer_time,
                                             .answered_bytes = is_refusal ? short_answer_size : 1'000};
                const auto          kind =
                    waiting.note_answer(registration_of(port % 30), asked->name, progress, time.steady_now());
                gate.note_answer("desk", asked->name, kind);
            }
        }
        return refused;
    }
    std::uint16_t port = 0;
    std::uint16_t refused_port = 0;
};

BOOST_FIXTURE_TEST_SUITE(rules, admission_fixture)

// The caller of a refused SYN relies on that nothing ran.
BOOST_AUTO_TEST_CASE(copies_of_a_refused_syn_are_refused) {
    run(10s, 30ms);
    BOOST_TEST(run(10s, 150ms) > 0);
    const std::uint16_t last = refused_port;
    BOOST_TEST(!gate.admit(poll, "desk", syn_packet(last), time.steady_now()));
    run(600ms, 30ms); // the overload ends
    BOOST_TEST(!gate.admit(poll, "desk", syn_packet(last, 2), time.steady_now()));
}

// Another host may have delivered the first SYN.
BOOST_AUTO_TEST_CASE(copies_of_an_unknown_syn_are_admitted) {
    run(10s, 30ms);
    run(10s, 150ms);
    for (std::uint16_t other = 60'000; other < 60'100; ++other)
        BOOST_TEST(gate.admit(poll, "desk", syn_packet(other, 1), time.steady_now()));
}

BOOST_AUTO_TEST_CASE(a_low_priority_keeps_a_small_share) {
    run(10s, 30ms);
    run(10s, 150ms);
    BOOST_TEST(gate.share("desk", "poll") >= 0.05);
    BOOST_TEST(gate.share("desk", "report") > gate.share("desk", "poll"));
}

BOOST_AUTO_TEST_CASE(without_answers_all_is_admitted_again) {
    run(10s, 30ms);
    run(10s, 150ms);
    BOOST_TEST(gate.status("desk").is_refusing);
    time.advance(3s);
    BOOST_TEST(gate.admit(poll, "desk", syn_packet(60'000), time.steady_now()));
    BOOST_TEST(!gate.status("desk").is_refusing);
    BOOST_TEST(gate.take_changes().size() == 2U);
}

BOOST_AUTO_TEST_CASE(routes_without_goal_and_priority_are_never_refused) {
    report.priority = poll.priority = 0;
    report.response_goal = poll.response_goal = {};
    run(10s, 30ms);
    BOOST_TEST(run(10s, 150ms) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
