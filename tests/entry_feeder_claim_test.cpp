// The claim of a feeder slot: its lease, its end, and races.
#define BOOST_TEST_MODULE entry_feeder_claim
#include "entry/feeder_claim.h"
#include "entry_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace tamarack::entry;
using namespace std::chrono_literals;

namespace {

struct claim_fixture {
    replica      store_replica{1'000};
    feeder_claim claim{{.self = {"self", "north", 0, {ip_address::v4(own_domain_feeder), 7720}, feed_key{{1}}},
                        .delay = 100ms,
                        .spread = 50ms},
                       store_replica,
                       1};
    steady_time  now{1h};

    template <class Call>
    Call wait_for() {
        for (int step = 0; step < 1'000; ++step, now += 10ms) {
            const auto call = claim.next_call(now, claim_permission::if_vacant, false);
            if (!call) continue;
            BOOST_REQUIRE(std::holds_alternative<Call>(*call));
            return std::get<Call>(*call);
        }
        BOOST_FAIL("no call within 10 s");
        return {};
    }
    void become_feeder() {
        wait_for<grant_lease>();
        claim.succeeded({.lease = 7, .store_epoch = 1}, now);
        const auto put = wait_for<put_feeder>();
        BOOST_TEST(put.lease == 7U);
        BOOST_TEST(put.replaced_revision == 0U);
        claim.succeeded({.lease = 0, .store_epoch = 1}, now);
        BOOST_TEST(claim.holds_slot());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(claiming, claim_fixture)

BOOST_AUTO_TEST_CASE(a_vacant_slot_is_claimed_renewed_and_released_at_the_stop) {
    become_feeder();
    BOOST_TEST(wait_for<renew_lease>().lease == 7U);
    claim.succeeded({.lease = 0, .store_epoch = 1}, now);
    BOOST_TEST(claim.holds_slot());
    const auto stopping = claim.next_call(now, claim_permission::none, true);
    // Incident inc-5afb: the lease was ended only after a renewal, before which a stopping process may exit.
    BOOST_REQUIRE((stopping && std::holds_alternative<end_lease>(*stopping)));
    claim.succeeded({.lease = 0, .store_epoch = 1}, now);
    BOOST_TEST(!claim.holds_slot());
}

BOOST_AUTO_TEST_CASE(a_taken_slot_is_not_claimed) {
    store_replica.apply(feeder_record(3, "other", "north", 0, own_domain_feeder), now);
    for (int step = 0; step < 1'000; ++step, now += 10ms)
        BOOST_REQUIRE(!claim.next_call(now, claim_permission::if_vacant, false).has_value());
}

// A balancer whose replica is not current may see a vacancy that is none.
BOOST_AUTO_TEST_CASE(a_balancer_that_is_not_current_does_not_claim) {
    for (int step = 0; step < 1'000; ++step, now += 10ms)
        BOOST_REQUIRE(!claim.next_call(now, claim_permission::none, false).has_value());
}

// An outage of the store ends no lease: a feeder that gave up its slot then would leave it vacant afterwards.
BOOST_AUTO_TEST_CASE(a_feeder_that_is_not_current_keeps_its_slot_while_its_lease_lasts) {
    become_feeder();
    for (int step = 0; step < 300; ++step, now += 10ms) {
        const auto call = claim.next_call(now, claim_permission::none, false);
        if (!call) continue;
        BOOST_REQUIRE(std::holds_alternative<renew_lease>(*call));
        claim.failed(claim_error::unavailable, now);
    }
    BOOST_TEST(claim.holds_slot());
}

// Followers that have just read the registration of the earlier process use its key.
BOOST_AUTO_TEST_CASE(a_feeder_that_starts_again_renews_its_registration_with_the_same_key) {
    record registration = feeder_record(9, "self", "north", 0, own_domain_feeder);
    std::get<feeder_registration>(registration.content).key = feed_key{{2}};
    store_replica.apply(registration, now);
    const steady_time started_at = now;
    wait_for<grant_lease>();
    claim.succeeded({.lease = 7, .store_epoch = 1}, now);
    const auto put = wait_for<put_feeder>();
    BOOST_TEST(put.replaced_revision == 9U);
    BOOST_TEST((put.registration.key == feed_key{{2}}));
    BOOST_TEST((now == started_at)); // without the delay of other balancers
}

// The store turns the feeder away and serves this balancer: only one of those in the same place may succeed it.
BOOST_AUTO_TEST_CASE(the_registration_of_a_feeder_that_lost_the_store_is_replaced_in_its_revision) {
    store_replica.apply(feeder_record(9, "other", "north", 0, other_domain_feeder), now);
    std::optional<claim_call> call;
    for (; !call; now += 10ms)
        call = claim.next_call(now, claim_permission::if_vacant_or_lost, false);
    BOOST_TEST(std::holds_alternative<grant_lease>(*call));
    claim.succeeded({.lease = 7, .store_epoch = 1}, now);
    call = claim.next_call(now, claim_permission::if_vacant_or_lost, false);
    BOOST_REQUIRE((call && std::holds_alternative<put_feeder>(*call)));
    BOOST_TEST(std::get<put_feeder>(*call).replaced_revision == 9U);
    BOOST_TEST((std::get<put_feeder>(*call).registration.key == feed_key{{1}})); // its own, not the other's
}

BOOST_AUTO_TEST_CASE(a_lost_race_leaves_the_slot_to_the_winner) {
    wait_for<grant_lease>();
    claim.succeeded({.lease = 7, .store_epoch = 1}, now);
    wait_for<put_feeder>();
    claim.failed(claim_error::conflict, now);
    BOOST_TEST(!claim.holds_slot());
}

// The lease may expire while the process is paused, or the key may be deleted without notice.
// A restored store grants the numbers of lost leases again. Ending or renewing such a number would end or prolong the
// lease of another host.
BOOST_AUTO_TEST_CASE(a_lease_of_an_earlier_epoch_is_neither_ended_nor_renewed) {
    become_feeder();
    store_replica.apply_listing({}, {2, 4}, now);
    BOOST_TEST(!claim.next_call(now, claim_permission::none, true).has_value());
    BOOST_TEST(!claim.holds_slot());
    wait_for<grant_lease>();
}

BOOST_AUTO_TEST_CASE(a_renewal_that_another_epoch_answers_has_renewed_another_lease) {
    become_feeder();
    wait_for<renew_lease>();
    claim.succeeded({.lease = 0, .store_epoch = 2}, now);
    BOOST_TEST(!claim.holds_slot());
    wait_for<grant_lease>();
}

BOOST_AUTO_TEST_CASE(a_slot_whose_lease_ended_unnoticed_is_claimed_again) {
    become_feeder();
    wait_for<renew_lease>();
    claim.failed(claim_error::lease_ended, now);
    BOOST_TEST(!claim.holds_slot());
    wait_for<grant_lease>();
}

// A process that was paused for longer than its lease must not act as the feeder when it continues.
BOOST_AUTO_TEST_CASE(a_lease_that_ran_out_during_a_pause_is_not_renewed) {
    become_feeder();
    now += 10s;
    const auto call = claim.next_call(now, claim_permission::none, false);
    BOOST_TEST(!call.has_value());
    BOOST_TEST(!claim.holds_slot());
}

BOOST_AUTO_TEST_CASE(renewals_without_an_answer_are_repeated_until_the_lease_must_have_expired) {
    become_feeder();
    unsigned renewals = 0;
    for (int step = 0; step < 700 && claim.holds_slot(); ++step, now += 10ms) {
        const auto call = claim.next_call(now, claim_permission::if_vacant, false);
        if (!call) continue;
        if (!std::holds_alternative<renew_lease>(*call)) break;
        ++renewals;
        claim.failed(claim_error::unavailable, now);
    }
    BOOST_TEST(!claim.holds_slot());
    BOOST_TEST(renewals >= 3U);
}

BOOST_AUTO_TEST_CASE(a_feeder_whose_slot_was_taken_by_another_steps_down) {
    become_feeder();
    store_replica.apply(feeder_record(9, "other", "north", 0, other_domain_feeder), now);
    for (int step = 0; step < 300; ++step, now += 10ms)
        claim.next_call(now, claim_permission::if_vacant, false);
    BOOST_TEST(!claim.holds_slot());
}

BOOST_AUTO_TEST_SUITE_END()
