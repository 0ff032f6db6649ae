// Tests of the flow table: guards against lost or confused placements, growth beyond the cap, unfair eviction and wrong
// counts.
#define BOOST_TEST_MODULE flow_table
#include "tamarack/flow_table.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace tamarack;

namespace {

constexpr steady_time start{std::chrono::hours(1)};

flow_key key_of(std::uint64_t number) {
    return make_flow_key({transport::tcp, {ip_address::v4(static_cast<std::uint32_t>(number)), 1}, {}}, 7);
}

placement placed(service_id service, backend_server_id backend_server, flow_state state = flow_state::established) {
    placement item;
    item.service = service;
    item.backend_server = backend_server;
    item.state = state;
    return item;
}

flow_table table_for(std::size_t max_flows, double share = 0.5) {
    return flow_table({.max_flows = max_flows, .max_service_share = share});
}

// Inserts flows numbered from first; returns how many were accepted.
std::size_t fill(flow_table& table, std::uint64_t first, std::size_t count, const placement& value) {
    std::size_t accepted = 0;
    for (std::uint64_t i = 0; i < count; ++i)
        accepted += table.insert(key_of(first + i), value, start) != nullptr ? 1 : 0;
    return accepted;
}

} // namespace

// Detects a wrong search, a slot that moves without its links and a missed count as a difference from a std::map.
BOOST_AUTO_TEST_CASE(behaves_like_a_map_under_random_operations) {
    const bool passed = rc::check([] {
        const auto                         cap = *rc::gen::inRange<std::size_t>(1, 200);
        flow_table                         table = table_for(cap, 1.0);
        std::map<std::uint64_t, placement> model;
        std::map<service_id, std::size_t>  flows_by_service;
        for (int step = 0; step < 600; ++step) {
            const auto number = *rc::gen::inRange<std::uint64_t>(0, 250);
            const auto service = *rc::gen::inRange<service_id>(1, 4);
            const auto state = *rc::gen::element(flow_state::half_open, flow_state::established, flow_state::closing);
            const flow_key key = key_of(number);
            placement*     present = table.find(key);
            RC_ASSERT((present != nullptr) == model.contains(number));
            if (present == nullptr && table.size() < cap) {
                model[number] = placed(service, service * 10, state);
                RC_ASSERT(table.insert(key, model[number], start) != nullptr);
            } else if (present != nullptr && step % 3 == 0) {
                table.erase(key);
                model.erase(number);
            } else if (present != nullptr) { // as when a 5-tuple is used again
                model[number] = *present = placed(service, service * 10, state);
                table.touch(*present, start);
            }
        }
        for (const auto& [number, value] : model) {
            RC_ASSERT(table.find(key_of(number))->backend_server == value.backend_server);
            ++flows_by_service[value.service];
        }
        RC_ASSERT(table.size() == model.size() && table.evictions() == 0U);
        for (service_id service = 1; service < 4; ++service) {
            RC_ASSERT(table.service_flow_count(service) == flows_by_service[service]);
            RC_ASSERT(table.backend_flow_count(service * 10) == flows_by_service[service]);
        }
    });
    BOOST_TEST(passed);
}

// Searches and inserts must work at 93% load and after many replacements, where open addressing degrades. A placement
// that moves without its links would break the order of eviction.
BOOST_AUTO_TEST_CASE(a_full_table_evicts_in_order_within_64_bytes_a_flow) {
    flow_table table = table_for(100'000, 1.0);
    BOOST_TEST(table.memory_bytes() < 64 * table.capacity());
    BOOST_TEST(fill(table, 0, 100'000, placed(1, 11, flow_state::half_open)) == 100'000U);
    for (std::uint64_t i = 0; i < 300'000; ++i) {
        BOOST_REQUIRE(table.find(key_of(i)) != nullptr);
        BOOST_REQUIRE(fill(table, 100'000 + i, 1, placed(1, 11, flow_state::half_open)) == 1U);
        BOOST_REQUIRE(table.find(key_of(i)) == nullptr);
    }
    BOOST_TEST(table.insert(key_of(399'999), placed(1, 12), start)->backend_server == 11U); // not replaced
    BOOST_TEST(table.size() == table.capacity());
}

BOOST_AUTO_TEST_CASE(half_open_flows_are_evicted_first_and_in_order_of_age) {
    flow_table table = table_for(10, 1.0);
    fill(table, 0, 5, placed(1, 11));
    fill(table, 10, 2, placed(1, 11, flow_state::closing));
    fill(table, 20, 3, placed(1, 11, flow_state::half_open));
    table.find(key_of(20))->state = flow_state::established; // not touched since, so still in the half-open list
    for (const std::uint64_t victim : {21U, 22U, 10U, 11U}) {
        BOOST_TEST((table.find(key_of(victim)) != nullptr));
        BOOST_TEST(fill(table, 100 + victim, 1, placed(1, 11)) == 1U);
        BOOST_TEST((table.find(key_of(victim)) == nullptr), "flow " << victim << " should have been evicted");
    }
    BOOST_TEST(fill(table, 200, 1, placed(1, 11)) == 0U);
    BOOST_TEST((table.find(key_of(20)) != nullptr));
    BOOST_TEST(table.evictions() == 4U);
}

// Guards against a service whose SYN flood or established flows displace or lock out another service.
BOOST_AUTO_TEST_CASE(a_service_is_kept_to_its_share_of_a_nearly_full_table) {
    flow_table established_only = table_for(1'000);
    BOOST_TEST(fill(established_only, 0, 1'000, placed(1, 11)) == 900U); // from 90% load the share of 500 is enforced
    BOOST_TEST(fill(established_only, 2'000, 500, placed(2, 21)) == 100U);
    BOOST_TEST((established_only.size() == established_only.capacity() && established_only.evictions() == 0U));

    flow_table table = table_for(1'000);
    fill(table, 0, 200, placed(2, 21));
    fill(table, 10'000, 50, placed(2, 21, flow_state::half_open));
    BOOST_TEST(fill(table, 100'000, 5'000, placed(1, 11, flow_state::half_open)) == 5'000U);
    BOOST_TEST(table.service_flow_count(1) == 650U);
    // 100 free places, and the 150 flows by which service 1 exceeds its share.
    BOOST_TEST(fill(table, 20'000, 300, placed(3, 31)) == 250U);
    BOOST_TEST(table.service_flow_count(1) == 500U);
    BOOST_TEST(table.service_flow_count(2) == 250U);
    BOOST_TEST(table.size() == 1'000U);
}

BOOST_AUTO_TEST_CASE(placements_expire_by_state_and_transport) {
    const flow_table_settings limits;
    flow_table                table(limits);
    const auto                expired = [&table](flow_state state, transport protocol, duration idle) {
        placement item = placed(1, 11, state);
        item.last_seen = table.insert(key_of(1), item, start)->last_seen;
        return table.expired(item, protocol, start + idle);
    };
    for (const auto& [state, protocol, timeout] :
         {std::tuple(flow_state::half_open, transport::tcp, limits.half_open_timeout),
          std::tuple(flow_state::closing, transport::tcp, limits.closing_timeout),
          std::tuple(flow_state::established, transport::tcp, limits.idle_timeout),
          std::tuple(flow_state::established, transport::udp, limits.udp_idle_timeout)}) {
        BOOST_TEST(expired(state, protocol, timeout));
        BOOST_TEST(!expired(state, protocol, timeout - flow_table::tick_length));
        // A batch that began before the last touch passes an earlier time.
        BOOST_TEST(!expired(state, protocol, -flow_table::tick_length));
    }
}

BOOST_AUTO_TEST_CASE(repeated_steps_visit_and_expire_the_whole_table) {
    flow_table table = table_for(1'000);
    fill(table, 0, 500, placed(1, 11, flow_state::half_open));
    fill(table, 1'000, 300, placed(1, 12));
    struct counter final : flow_table::visitor {
        std::size_t visits = 0;
        void        visit(const flow_key&, placement&) override { ++visits; }
    } visit_counter;
    const auto  protocol_of = [](service_id, const void*) { return transport::tcp; };
    std::size_t position = 0;
    std::size_t erased = 0;
    for (std::size_t i = 0; i < table.slot_count(); i += 16) {
        table.scan(position, 16, visit_counter);
        erased += table.expire(start + std::chrono::minutes(1), 16, protocol_of, nullptr);
    }
    BOOST_TEST(visit_counter.visits == 800U); // each step visits its slots before it expires them
    table.scan(position, table.capacity(), visit_counter);
    BOOST_TEST(visit_counter.visits == 1'100U);
    BOOST_TEST(erased == 500U);
    BOOST_TEST(table.backend_flow_count(11) == 0U);
    BOOST_TEST(table.backend_flow_count(12) == 300U);
}
