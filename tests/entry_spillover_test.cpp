// New flows that leave a failure domain whose backend servers are full.
#define BOOST_TEST_MODULE entry_spillover
#include "entry_load_replay.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace tamarack::entry;

namespace {

// Three failure domains of ten hosts and twelve backend servers each, at half of their capacity at the demand of 1.
replay_settings three_domains(std::function<double(double, unsigned)> demand) {
    replay_settings settings;
    settings.domains = 3;
    settings.hosts = 10;
    settings.servers = 12;
    settings.patterns = {{"report", 1, 121.75, 39, 500, 2}, {"poll", 2, 246, 30, 400, 1}};
    // The usual demand asks for 12.13 slots, and a failure domain has 24.
    for (request_pattern& pattern : settings.patterns)
        pattern.per_second *= 0.5 * 24.0 / 12.13;
    settings.demand = std::move(demand);
    return settings;
}

void print(const load_replay& replay, std::size_t first, std::size_t last, std::size_t step) {
    for (std::size_t at = first; at < last; at += step) {
        std::string shares;
        for (const double share : replay.seconds()[at].spilled_share)
            shares += " " + std::to_string(share);
        BOOST_TEST_MESSAGE(at << " busy=" << replay.busy_share(at, at + 1)
                              << " refused=" << replay.seconds()[at].refused_by_hosts << " spilled=" << shares);
    }
    for (const auto& result : replay.results) {
        BOOST_TEST_MESSAGE("served=" << result.served_share() << " refused_by_hosts=" << result.refused_by_hosts
                                     << " refused_by_servers=" << result.refused_by_servers);
    }
}

// Extent of the spilled share of a failure domain between two seconds.
struct share_range {
    double lowest = 1.0, highest = 0.0;
};

share_range range_of(const load_replay& replay, unsigned domain, std::size_t first, std::size_t last) {
    share_range range;
    for (std::size_t at = first; at < last; ++at) {
        const double share = replay.seconds()[at].spilled_share[domain];
        range = {std::min(range.lowest, share), std::max(range.highest, share)};
    }
    return range;
}

double refused_between(const load_replay& replay, std::size_t first, std::size_t last) {
    return replay.mean(first, last, [](const second_result& second) { return double(second.refused_by_hosts); });
}

} // namespace

// Without it, callers of the domain are refused while other failure domains have capacity.
BOOST_AUTO_TEST_CASE(three_times_the_demand_in_one_domain) {
    load_replay replay(
        three_domains([](double second, unsigned domain) { return domain == 0 && second > 10 ? 2.2 : 0.6; }));
    replay.run_until(101);
    print(replay, 8, 100, 4);
    const share_range settled = range_of(replay, 0, 24, 100);
    BOOST_TEST(settled.lowest >= 0.08);
    BOOST_TEST(settled.highest - settled.lowest <= 0.08); // it does not swing
    BOOST_TEST(refused_between(replay, 24, 100) <= 1.0);
    BOOST_TEST(range_of(replay, 1, 24, 100).highest <= 0.04);
    BOOST_TEST(replay.results[1].served_share() >= 0.99);
}

// Flows must come back to a domain whose demand has fallen, and leave the one whose demand has grown.
BOOST_AUTO_TEST_CASE(demand_moves_between_domains) {
    load_replay replay(three_domains([](double second, unsigned domain) {
        if (second < 10) return 0.6;
        return domain == (second < 50 ? 0U : 1U) ? 2.2 : 0.6;
    }));
    replay.run_until(121);
    print(replay, 8, 120, 4);
    BOOST_TEST(range_of(replay, 0, 75, 120).highest <= 0.04);
    BOOST_TEST(range_of(replay, 1, 75, 120).lowest >= 0.08);
    BOOST_TEST(replay.results[1].served_share() >= 0.985);
}

// Flows that leave for domains without room pay for the distance and gain nothing.
BOOST_AUTO_TEST_CASE(all_domains_full) {
    load_replay replay(three_domains([](double second, unsigned) { return second > 10 ? 3.0 : 0.6; }));
    replay.run_until(71);
    print(replay, 8, 70, 4);
    for (unsigned domain = 0; domain < 3; ++domain)
        BOOST_TEST(range_of(replay, domain, 11, 70).highest <= 0.15);
    BOOST_TEST(replay.results[0].served_share() >= 0.95);
}

// Bytes between failure domains have a price: unlucky samples must not send flows away.
BOOST_AUTO_TEST_CASE(usual_load) {
    load_replay replay(three_domains([](double, unsigned) { return 1.0; }));
    replay.run_until(71);
    print(replay, 8, 70, 8);
    for (unsigned domain = 0; domain < 3; ++domain)
        BOOST_TEST(range_of(replay, domain, 5, 70).highest <= 0.04);
}
