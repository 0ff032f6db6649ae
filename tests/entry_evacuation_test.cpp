// Evacuations of failure domains: the replica's records of them, and where new flows go meanwhile. Guards against flows
// that reach an evacuated failure domain, and against an evacuation that is lost on the way to a balancer.
#define BOOST_TEST_MODULE entry_evacuation
#include "feed_tree.h"
#include "platform/record_format.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace tamarack::entry;
using namespace std::chrono_literals;

namespace {

record evacuation_record(const store_revision& revision, const std::string& failure_domain) {
    return {"evacuate/" + failure_domain, revision, evacuation{failure_domain}, "{}"};
}

record end_record(const store_revision& revision, const std::string& failure_domain) {
    return {"evacuate/" + failure_domain, revision, removed_record{}, {}};
}

// Two backend servers in the balancer's own failure domain and two in another one.
struct evacuation_fixture : balancer_fixture {
    evacuation_fixture() {
        load_records({configuration_record(1, 1), backend_record(2, registration_of(1)),
                      backend_record(3, registration_of(2)), backend_record(4, registration_of(3, "south")),
                      backend_record(5, registration_of(4, "south"))},
                     5);
    }

    void evacuate(const std::string& failure_domain) {
        store_replica.apply(evacuation_record(at_revision(++last_revision), failure_domain), time.steady_now());
    }
    void end_evacuation(const std::string& failure_domain) {
        store_replica.apply(end_record(at_revision(++last_revision), failure_domain), time.steady_now());
    }
    std::string domain_of_new_flow() {
        const auto decision = decide(syn_packet(++last_port));
        return decision.backend == nullptr ? std::string("none") : decision.backend->registration.failure_domain;
    }
    // Share of new flows that the failure domain gets now.
    double share_of(const std::string& failure_domain, int flows = 400) {
        int count = 0;
        for (int flow = 0; flow < flows; ++flow) {
            const auto decision = decide(syn_packet(++last_port));
            BOOST_REQUIRE(decision.backend != nullptr);
            if (decision.backend->registration.failure_domain == failure_domain) ++count;
            decide(later_packet(last_port, decision.backend->reference, 5'000)); // the server has answered
            segment last = later_packet(last_port, decision.backend->reference, 5'000);
            last.fin = true;
            decide(last);
        }
        return static_cast<double>(count) / flows;
    }

    std::uint64_t last_revision = 5;
    std::uint16_t last_port = 0;
};

// Restores the store from a copy that is 7 s old. Whether all balancers keep the evacuation of domain-0 all the while.
bool is_kept_over_restore(fleet& balancers, duration rewrite_delay) {
    bool is_kept = true;
    balancers.check = [&](fleet_host& host) { is_kept = is_kept && host.records->is_evacuated("domain-0"); };
    balancers.store().is_down = true;
    balancers.run_for(2s);
    balancers.restore_store(7s, rewrite_delay);
    balancers.store().is_down = false;
    balancers.run_for(25s);
    balancers.check = [](fleet_host&) {};
    return is_kept;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(placing, evacuation_fixture)

BOOST_AUTO_TEST_CASE(new_flows_leave_an_evacuated_failure_domain_at_once) {
    BOOST_TEST(domain_of_new_flow() == "north");
    evacuate("north");
    for (int flow = 0; flow < 50; ++flow)
        BOOST_TEST(domain_of_new_flow() == "south");
}

// A caller repeats its SYN if the answer is late: the repetition must not follow the first one into the evacuated
// domain.
BOOST_AUTO_TEST_CASE(a_retransmitted_syn_leaves_an_evacuated_failure_domain) {
    const auto first = decide(syn_packet(1));
    BOOST_TEST(first.backend->registration.failure_domain == "north");
    evacuate("north");
    time.advance(10ms); // an answer may still follow
    const auto second = decide(syn_packet(1, 1));
    BOOST_REQUIRE(second.backend != nullptr);
    BOOST_TEST(second.backend->registration.failure_domain == "south");
}

BOOST_AUTO_TEST_CASE(open_flows_stay_in_an_evacuated_failure_domain) {
    const auto placed = decide(syn_packet(1));
    decide(later_packet(1, placed.backend->reference, 5'000));
    evacuate("north");
    time.advance(10s);
    const auto later = decide(later_packet(1, placed.backend->reference, 6'000, 100));
    BOOST_TEST((later.action == packet_action::deliver));
    BOOST_TEST(later.backend->registration.name == placed.backend->registration.name);
}

// A late copy of the SYN of an open flow is no use to its caller, and must not reach the evacuated domain.
BOOST_AUTO_TEST_CASE(a_late_copy_of_an_open_flows_syn_does_not_reach_an_evacuated_failure_domain) {
    const auto placed = decide(syn_packet(1));
    decide(later_packet(1, placed.backend->reference, 5'000));
    evacuate("north");
    time.advance(6s);
    BOOST_TEST((decide(syn_packet(1, 1)).action == packet_action::drop));
    const auto later = decide(later_packet(1, placed.backend->reference, 6'000, 100));
    BOOST_TEST((later.action == packet_action::deliver));
    BOOST_TEST(later.backend->registration.name == placed.backend->registration.name);
}

// A caller may reuse the port of a flow whose end this balancer has not seen.
BOOST_AUTO_TEST_CASE(a_new_flow_on_a_reused_port_leaves_an_evacuated_failure_domain) {
    const auto placed = decide(syn_packet(1));
    decide(later_packet(1, placed.backend->reference, 5'000));
    evacuate("north");
    segment next = syn_packet(1);
    next.sequence += 70'000;
    const auto decision = decide(next);
    BOOST_REQUIRE(decision.backend != nullptr);
    BOOST_TEST(decision.backend->registration.failure_domain == "south");
}

// Without a backend server that may take the flow, the caller must not wait until it gives up.
BOOST_AUTO_TEST_CASE(new_flows_are_reset_at_once_if_all_failure_domains_are_evacuated) {
    evacuate("north");
    evacuate("south");
    const auto decision = decide(syn_packet(1));
    BOOST_TEST((decision.action == packet_action::reset));
    BOOST_TEST((decision.reason == decision_reason::no_backend));
}

// All balancers see the end at the same moment: a failure domain that got all of its flows back at once would be cold.
BOOST_AUTO_TEST_CASE(flows_return_gradually_after_an_evacuation) {
    evacuate("north");
    time.advance(5s);
    end_evacuation("north");
    BOOST_TEST(share_of("north") < 0.05);
    time.advance(1500ms);
    const double half_way = share_of("north");
    BOOST_TEST(half_way > 0.35);
    BOOST_TEST(half_way < 0.65);
    time.advance(1500ms);
    BOOST_TEST(share_of("north") == 1.0);
}

// While flows return, a failure domain without a usable neighbour must not refuse them.
BOOST_AUTO_TEST_CASE(a_returning_failure_domain_takes_flows_that_no_other_takes) {
    evacuate("north");
    time.advance(5s);
    evacuate("south");
    end_evacuation("north");
    for (int flow = 0; flow < 20; ++flow)
        BOOST_TEST(domain_of_new_flow() == "north");
}

BOOST_AUTO_TEST_CASE(the_explanation_names_the_evacuation) {
    evacuate("north");
    const auto explanation = decisions.explain({ip_address::v4(0x64400007), 9}, service_address, time.steady_now());
    BOOST_REQUIRE(explanation.candidates.size() == 4U);
    BOOST_TEST(explanation.candidates.front().backend->registration.failure_domain == "south");
    BOOST_TEST(to_string(explanation.candidates.back().excluded) == "evacuated");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(records, evacuation_fixture)

BOOST_AUTO_TEST_CASE(a_listing_without_the_record_ends_the_evacuation) {
    evacuate("north");
    store_replica.apply_listing({}, at_revision(9), time.steady_now());
    BOOST_TEST(!store_replica.is_evacuated("north"));
}

// A source that lags lists the record although it has been removed.
BOOST_AUTO_TEST_CASE(a_late_copy_of_a_removed_record_does_not_evacuate_again) {
    evacuate("north");
    const record copy = evacuation_record(at_revision(last_revision), "north");
    end_evacuation("north");
    BOOST_TEST((store_replica.apply(copy, time.steady_now()) == replica_change::none));
    BOOST_TEST(!store_replica.is_evacuated("north"));
}

// A store that returns from a copy may lack the order until the operator has written it again.
BOOST_AUTO_TEST_CASE(a_restored_store_without_the_record_does_not_end_the_evacuation) {
    evacuate("north");
    const record configuration = configuration_record(1, 1);
    store_replica.apply_listing({&configuration, 1}, {2, 4}, time.steady_now());
    BOOST_TEST(store_replica.is_evacuated("north"));
    time.advance(restored_state_hold_time + 1s);
    store_replica.expire(time.steady_now());
    BOOST_TEST(store_replica.is_evacuated("north")); // the store has not confirmed since
    store_replica.note_store_available(time.steady_now());
    store_replica.expire(time.steady_now());
    BOOST_TEST(!store_replica.is_evacuated("north"));
}

BOOST_AUTO_TEST_CASE(an_evacuation_that_is_written_again_is_kept) {
    evacuate("north");
    store_replica.apply_listing({}, {2, 4}, time.steady_now());
    store_replica.apply(evacuation_record({2, 5}, "north"), time.steady_now());
    time.advance(restored_state_hold_time + 1s);
    store_replica.note_store_available(time.steady_now());
    store_replica.expire(time.steady_now());
    BOOST_TEST(store_replica.is_evacuated("north"));
}

BOOST_AUTO_TEST_CASE(followers_receive_the_beginning_and_the_end) {
    const std::uint64_t position = store_replica.generation();
    evacuate("north");
    const auto beginning = store_replica.changes_for_follower(position);
    BOOST_REQUIRE(beginning.has_value());
    replica follower;
    for (const record& item : *beginning)
        follower.apply(item, time.steady_now());
    BOOST_TEST(follower.is_evacuated("north"));
    const std::uint64_t next_position = store_replica.generation();
    end_evacuation("north");
    const auto ending = store_replica.changes_for_follower(next_position);
    BOOST_REQUIRE(ending.has_value());
    for (const record& item : *ending)
        follower.apply(item, time.steady_now());
    BOOST_TEST(!follower.is_evacuated("north"));
}

BOOST_AUTO_TEST_CASE(the_key_alone_is_the_order) {
    const record item = platform::decode_record("op/evacuate/ub-khan", at_revision(3), "not JSON");
    BOOST_REQUIRE(std::holds_alternative<evacuation>(item.content));
    BOOST_TEST(std::get<evacuation>(item.content).failure_domain == "ub-khan");
    const record without_domain = platform::decode_record("op/evacuate/", at_revision(3), "{}");
    BOOST_TEST(std::holds_alternative<unusable_record>(without_domain.content));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(fleets)

// The order must reach every balancer that is in contact: through feeders, at a start in the middle, after the feeder
// of a failure domain was lost, and over a restored store.
BOOST_AUTO_TEST_CASE(every_balancer_learns_of_an_evacuation_within_the_deadline) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        fleet balancers({.failure_domains = 4, .hosts_per_domain = 8, .strong_per_domain = 1}, seed);
        balancers.start_all();
        balancers.run_for(8s);
        fleet_host* feeder = balancers.feeder_of("domain-1");
        BOOST_REQUIRE(feeder != nullptr);
        balancers.stop(*feeder);
        balancers.write(evacuation_record({}, "domain-2"));
        balancers.run_for(1s);
        balancers.start(*feeder);
        balancers.run_for(3s);
        for (const auto& host : balancers.hosts())
            BOOST_TEST(host->records->is_evacuated("domain-2"), "seed " << seed << ", " << host->name);
        balancers.leave("evacuate/domain-2");
        balancers.run_for(3s);
        for (const auto& host : balancers.hosts())
            BOOST_TEST(!host->records->is_evacuated("domain-2"), "seed " << seed << ", " << host->name);
    }
}

BOOST_AUTO_TEST_CASE(no_balancer_forgets_an_evacuation_that_the_copy_of_a_restored_store_lacks) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        fleet balancers({.failure_domains = 2, .hosts_per_domain = 6}, seed);
        balancers.start_all();
        balancers.run_for(10s);
        balancers.write(evacuation_record({}, "domain-0"));
        balancers.run_for(3s);
        BOOST_TEST(is_kept_over_restore(balancers, 1s), "seed " << seed);
    }
}

// The copy's history holds the end of an earlier evacuation of the same failure domain, which is not that of the order.
BOOST_AUTO_TEST_CASE(the_end_of_an_earlier_evacuation_in_the_history_of_a_restored_store_ends_no_later_one) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        fleet balancers({.failure_domains = 2, .hosts_per_domain = 6}, seed);
        balancers.start_all();
        balancers.run_for(10s);
        balancers.write(evacuation_record({}, "domain-0"));
        balancers.run_for(3s);
        balancers.leave("evacuate/domain-0");
        balancers.run_for(8s);
        balancers.write(evacuation_record({}, "domain-0"));
        balancers.run_for(3s);
        BOOST_TEST(is_kept_over_restore(balancers, 3s), "seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
