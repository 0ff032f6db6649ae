// Flow table: guards against lost or mixed-up placements, growth past the cap, unfair eviction, and counts that drift.
#define BOOST_TEST_MODULE flow_table
#include "tamarack/flow_table.h"

#include "tamarack/invariant.h"

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

flow_table_settings small(std::size_t max_flows, double share = 0.5) {
    flow_table_settings settings;
    settings.max_flows = max_flows;
    settings.max_service_share = share;
    return settings;
}

// Inserts flows numbered from first; returns how many were accepted.
std::size_t fill(flow_table& table, std::uint64_t first, std::size_t count, const placement& value) {
    std::size_t accepted = 0;
    for (std::uint64_t i = 0; i < count; ++i)
        accepted += table.insert(key_of(first + i), value, start) != nullptr ? 1 : 0;
    return accepted;
}

transport all_tcp(service_id, const void*) {
    return transport::tcp;
}

} // namespace

// A wrong probe, a lost displacement count or a wrong list link shows as a difference from the map.
BOOST_AUTO_TEST_CASE(behaves_like_a_map_under_random_operations) {
    const bool passed = rc::check([] {
        const auto                         cap = *rc::gen::inRange<std::size_t>(1, 200);
        flow_table                         table(small(cap));
        std::map<std::uint64_t, placement> model;
        for (int step = 0; step < 600; ++step) {
            const auto number = *rc::gen::inRange<std::uint64_t>(0, 250);
            const auto state = *rc::gen::element(flow_state::half_open, flow_state::established, flow_state::closing);
            const auto service = *rc::gen::inRange<service_id>(1, 4);
            const flow_key key = key_of(number);
            placement*     held = table.find(key);
            if (held == nullptr && table.size() < cap && table.size() * 10 < cap * 9) {
                const placement value = placed(service, service * 10 + static_cast<std::uint32_t>(number % 3), state);
                RC_ASSERT(table.insert(key, value, start) != nullptr);
                model[number] = value;
            } else if (held != nullptr && step % 3 == 0) {
                table.erase(key);
                model.erase(number);
            } else if (held != nullptr) {
                held->state = state;
                held->backend_server = service * 10; // as for a 5-tuple that is used again
                held->service = service;
                table.touch(*held, start);
                model[number] = *held;
            }
            RC_ASSERT(table.size() == model.size());
        }
        std::map<service_id, std::size_t>        of_service;
        std::map<backend_server_id, std::size_t> of_backend_server;
        for (const auto& [number, value] : model) {
            const placement* held = table.find(key_of(number));
            RC_ASSERT(held != nullptr && held->backend_server == value.backend_server);
            ++of_service[value.service];
            ++of_backend_server[value.backend_server];
        }
        for (service_id service = 1; service < 4; ++service) {
            RC_ASSERT(table.service_count(service) == of_service[service]);
            for (backend_server_id id = service * 10; id < service * 10 + 3; ++id)
                RC_ASSERT(table.count(id) == of_backend_server[id]);
        }
        RC_ASSERT(table.evictions() == 0U);
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(a_present_placement_wins_over_an_inserted_one) {
    flow_table table(small(10));
    table.insert(key_of(1), placed(1, 11), start);
    BOOST_TEST(table.insert(key_of(1), placed(1, 12), start)->backend_server == 11U);
    BOOST_TEST(table.size() == 1U);
}

BOOST_AUTO_TEST_CASE(established_flows_are_never_evicted_and_the_cap_holds) {
    flow_table table(small(1'000));
    BOOST_TEST(fill(table, 0, 1'000, placed(1, 11)) == 900U); // from 90% on the share of 500 applies
    BOOST_TEST(fill(table, 2'000, 500, placed(2, 21)) == 100U);
    BOOST_TEST(table.size() == table.capacity());
    BOOST_TEST(table.evictions() == 0U);
    BOOST_TEST(violations(invariant::table_cap) == 0U);
}

BOOST_AUTO_TEST_CASE(half_open_flows_give_way_first_and_the_oldest_of_them) {
    flow_table table(small(10, 1.0));
    fill(table, 0, 6, placed(1, 11));
    fill(table, 10, 2, placed(1, 11, flow_state::closing));
    fill(table, 20, 2, placed(1, 11, flow_state::half_open));
    for (const std::uint64_t victim : {20U, 21U, 10U, 11U}) {
        BOOST_TEST((table.find(key_of(victim)) != nullptr));
        BOOST_TEST(fill(table, 100 + victim, 1, placed(1, 11)) == 1U);
        BOOST_TEST((table.find(key_of(victim)) == nullptr), "flow " << victim << " should have been evicted");
    }
    BOOST_TEST(fill(table, 200, 1, placed(1, 11)) == 0U);
    BOOST_TEST(table.evictions() == 4U);
}

// A flood of SYNs on one service must neither displace nor lock out another service.
BOOST_AUTO_TEST_CASE(a_syn_flood_costs_only_its_own_service) {
    flow_table table(small(1'000));
    fill(table, 0, 200, placed(2, 21));
    fill(table, 10'000, 50, placed(2, 21, flow_state::half_open));
    BOOST_TEST(fill(table, 100'000, 5'000, placed(1, 11, flow_state::half_open)) == 5'000U);
    BOOST_TEST(table.service_count(2) == 250U);
    // 100 free places, and the 150 flows by which service 1 exceeds its share.
    BOOST_TEST(table.service_count(1) == 650U);
    BOOST_TEST(fill(table, 20'000, 300, placed(3, 31)) == 250U);
    BOOST_TEST(table.service_count(2) == 250U);
    BOOST_TEST(table.service_count(1) == 500U);
    BOOST_TEST(table.size() == 1'000U);
}

// A flow that became established without a touch since is still listed as half-open; it must not be taken for one.
BOOST_AUTO_TEST_CASE(a_state_changed_in_place_protects_from_eviction) {
    flow_table table(small(10, 1.0));
    fill(table, 0, 10, placed(1, 11, flow_state::half_open));
    for (std::uint64_t i = 0; i < 9; ++i)
        table.find(key_of(i))->state = flow_state::established;
    BOOST_TEST(fill(table, 100, 2, placed(1, 11)) == 1U);
    BOOST_TEST((table.find(key_of(9)) == nullptr));
    BOOST_TEST((table.find(key_of(0)) != nullptr));
}

BOOST_AUTO_TEST_CASE(placements_expire_by_state_and_transport) {
    const flow_table_settings settings;
    flow_table                table(settings);
    const auto                after = [&](flow_state state, transport protocol, duration idle) {
        placement item = placed(1, 11, state);
        table.touch(*table.insert(key_of(1), item, start), start);
        item = *table.find(key_of(1));
        table.erase(key_of(1));
        return table.expired(item, protocol, start + idle);
    };
    const duration tick = flow_table::tick_length;
    BOOST_TEST(after(flow_state::half_open, transport::tcp, settings.half_open_timeout));
    BOOST_TEST(!after(flow_state::half_open, transport::tcp, settings.half_open_timeout - tick));
    BOOST_TEST(after(flow_state::closing, transport::tcp, settings.closing_timeout));
    BOOST_TEST(!after(flow_state::closing, transport::tcp, settings.closing_timeout - tick));
    BOOST_TEST(after(flow_state::established, transport::tcp, settings.idle_timeout));
    BOOST_TEST(!after(flow_state::established, transport::tcp, settings.idle_timeout - tick));
    BOOST_TEST(after(flow_state::established, transport::udp, settings.udp_idle_timeout));
    BOOST_TEST(!after(flow_state::established, transport::udp, settings.udp_idle_timeout - tick));
    BOOST_TEST(!after(flow_state::half_open, transport::tcp, -tick)); // a packet of a batch that began earlier
}

BOOST_AUTO_TEST_CASE(repeated_steps_expire_and_visit_the_whole_table) {
    flow_table table(small(1'000));
    fill(table, 0, 500, placed(1, 11, flow_state::half_open));
    fill(table, 1'000, 300, placed(1, 12));
    struct counter final : flow_table::visitor {
        std::size_t visits = 0;
        void        visit(const flow_key&, placement&) override { ++visits; }
    } whole, steps;
    std::size_t position = 0;
    table.scan(position, table.capacity(), whole);
    BOOST_TEST(whole.visits == 800U);
    position = 0;
    for (std::size_t i = 0; i < table.slot_count(); i += 16)
        table.scan(position, 16, steps);
    BOOST_TEST(steps.visits == 800U);

    std::size_t erased = 0;
    for (std::size_t i = 0; i < table.slot_count(); i += 16)
        erased += table.expire(start + std::chrono::minutes(1), 16, all_tcp, nullptr);
    BOOST_TEST(erased == 500U);
    BOOST_TEST(table.count(11) == 0U);
    BOOST_TEST(table.count(12) == 300U);
}

BOOST_AUTO_TEST_CASE(memory_stays_below_64_bytes_a_flow_and_the_table_fills_to_its_cap) {
    flow_table table(small(100'000, 1.0));
    BOOST_TEST(table.memory_bytes() < 64 * table.capacity());
    BOOST_TEST(fill(table, 0, 100'000, placed(1, 11)) == 100'000U);
    for (std::uint64_t i = 0; i < 100'000; ++i)
        BOOST_REQUIRE(table.find(key_of(i)) != nullptr);
}
