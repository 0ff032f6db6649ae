// Open flows whose callers change to another failure domain while the balancers there lag behind the store, since the
// feeder of that failure domain is paused. Replays in virtual time; guards against resets of flows that are alive.
#define BOOST_TEST_MODULE entry_moved_flows
#include "entry/steering.h"
#include "feed_tree.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace tamarack::entry;
using namespace std::chrono_literals;

namespace {

constexpr unsigned seeds = 60;
const endpoint     new_route_address{ip_address::v4(0xc6120002), 443};

// Two failure domains; the flows move from the first to the second, whose feeder is paused.
struct moved_flows {
    explicit moved_flows(unsigned seed) : hosts({.failure_domains = 2, .hosts_per_domain = 3}, seed) {
        hosts.start_all();
        hosts.run_for(12s);
        hosts.run_for(std::chrono::milliseconds(hosts.random()() % 2'000)); // anywhere in a watch
        feeder = hosts.feeder_of("domain-1");
        BOOST_REQUIRE(feeder != nullptr);
        for (const auto& host : hosts.hosts()) {
            if (host->failure_domain != "domain-1" || host.get() == feeder) continue;
            followers.push_back(std::make_unique<steering>(steering_settings{.failure_domain = host->failure_domain},
                                                           *host->records, seed));
        }
    }

    // Callers send packets of their open flows, so many that each moment meets some of them.
    void run_with_flows(duration time, const endpoint& route_address, backend_reference reference) {
        for (const steady_time end = hosts.now() + time; hosts.now() < end; hosts.run_for(10ms)) {
            for (std::uint16_t port = 1; port <= 10; ++port) {
                segment packet = later_packet(port, reference, 5'000, 100);
                packet.destination = route_address;
                for (const auto& follower : followers) {
                    const steering_decision decision = follower->decide(packet, hosts.now());
                    resets += decision.action == packet_action::reset ? 1U : 0U;
                    deliveries += decision.action == packet_action::deliver ? 1U : 0U;
                }
            }
        }
    }

    fleet                                  hosts;
    fleet_host*                            feeder = nullptr;
    std::vector<std::unique_ptr<steering>> followers;
    unsigned                               resets = 0;
    unsigned                               deliveries = 0;
};

record configuration_with_new_route() {
    return configuration_record(0, 1'000,
                                {{"desk", service_address, {{"desk", 1}}, request_kind::idempotent},
                                 {"crane", new_route_address, {{"desk", 1}}, request_kind::non_idempotent}});
}

} // namespace

// Found by the review (case 4): balancers that did not know a new route yet reset the open flows on it.
BOOST_AUTO_TEST_CASE(open_flows_on_a_new_route_survive_a_change_to_balancers_that_do_not_know_it) {
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        moved_flows play(seed);
        play.feeder->is_paused = true;
        play.hosts.run_for(200ms);
        play.hosts.write(configuration_with_new_route());
        play.hosts.run_for(1'100ms);
        play.run_with_flows(2'700ms, new_route_address, reference_of(1));
        play.feeder->is_paused = false;
        play.run_with_flows(4s, new_route_address, reference_of(1));
        BOOST_TEST(play.resets == 0U, "seed " << seed);
        BOOST_TEST(play.deliveries > 0U, "seed " << seed);
    }
}

// Found by the review (case 5): a feeder that was paused while its watch waited passed on the store's answer, which had
// come early because of a change and had waited during the pause, as a confirmation from the time when it was read.
BOOST_AUTO_TEST_CASE(open_flows_to_a_new_backend_server_survive_a_change_to_balancers_whose_feeder_was_paused) {
    constexpr std::uint64_t identity = 99;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        moved_flows play(seed);
        play.feeder->is_paused = true;
        play.hosts.run_for(20ms);
        play.hosts.change_configuration();
        play.hosts.run_for(130ms);
        play.hosts.write(backend_record(0, registration_of(identity)));
        play.hosts.run_for(650ms);
        play.run_with_flows(1'400ms, service_address, reference_of(identity));
        play.feeder->is_paused = false;
        play.run_with_flows(5s, service_address, reference_of(identity));
        BOOST_TEST(play.resets == 0U, "seed " << seed);
        BOOST_TEST(play.deliveries > 0U, "seed " << seed);
    }
}
