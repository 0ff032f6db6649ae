// Configuration: guards against invalid configurations that are accepted from a change, a record or decoded bytes, and
// against hosts that compute different configurations from the same changes.
#define BOOST_TEST_MODULE configuration
#include "tamarack/configuration.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <rapidcheck.h>

using namespace tamarack;

namespace {

const wall_time start{std::chrono::seconds(1'750'000'000)};

// Uses few names and addresses, so that changes conflict: about half of them are refused.
change random_change(std::mt19937& random) {
    const auto        random_below = [&](std::uint32_t limit) { return static_cast<std::uint32_t>(random() % limit); };
    const std::string owner = "s" + std::to_string(random_below(3));
    const std::string server = "b" + std::to_string(random_below(4));
    const endpoint    v4_endpoint{ip_address::v4(0x0a000000U + random_below(6)),
                               static_cast<std::uint16_t>(random_below(3))};
    const endpoint    v6_endpoint{ip_address{{0x20, 1, static_cast<std::uint8_t>(random_below(5))}}, 7000};
    switch (random_below(8)) {
    case 0:
        return create_service{owner,
                              random_below(2) == 0 ? transport::tcp : transport::udp,
                              v4_endpoint,
                              {random_below(2), random_below(3)}};
    case 1:
        return change_service{owner, {random_below(1000), random_below(1000)}};
    case 2:
        return delete_service{owner};
    case 3:
        return drain_backend{owner, server};
    case 4:
        return undrain_backend{owner, server};
    case 5:
        return leave_backend{owner, server};
    case 6:
        return weigh_backend{owner, server, random_below(1100)};
    default:
        return join_backend{owner,
                            server,
                            random_below(2) == 0 ? v4_endpoint : v6_endpoint,
                            random_below(2) == 0 ? v6_endpoint : endpoint{},
                            random_below(1100),
                            {random_below(5), 0}};
    }
}

configuration example_config() {
    configuration config;
    config =
        apply(config, create_service{"board", transport::tcp, *endpoint::parse("10.1.0.1:443"), {}}, start).value();
    config =
        apply(config, join_backend{"board", "bs1", *endpoint::parse("127.0.0.1:7001"), {}, 100, {}}, start).value();
    return config;
}

bool contains_text(const findings& problems, std::string_view text) {
    return std::any_of(problems.begin(), problems.end(),
                       [&](const finding& item) { return item.to_string().find(text) != std::string::npos; });
}

} // namespace

BOOST_AUTO_TEST_CASE(accepted_changes_keep_the_configuration_valid_and_equal_after_encoding) {
    const bool passed = rc::check([](std::uint32_t seed) {
        std::mt19937  random(seed);
        configuration config;
        for (int i = 0; i < 60; ++i) {
            const change command = random_change(random);
            const auto   now = start + std::chrono::microseconds(1'234'567 * i);
            const auto   next = apply(config, command, now);
            RC_ASSERT(next.has_value() == validate(config, command).empty());
            if (!next) continue;
            RC_ASSERT(next.value().revision == config.revision + 1);
            RC_ASSERT(validate(next.value()).empty());
            const change_record record{
                "op", "anna", round_to_milliseconds(now), 0, next.value().revision, command, fingerprint(next.value())};
            RC_ASSERT(decode_change_record(encode(record)).value() == record);
            const auto replayed = apply(config, decode_change_record(encode(record)).value());
            RC_ASSERT(replayed.value() == next.value());
            RC_ASSERT(decode_configuration(encode(config)).value() == config);
            config = next.value();
        }
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(damaged_bytes_are_refused_or_give_a_valid_configuration) {
    std::mt19937      random(20261204);
    const std::string config = encode(example_config());
    const std::string record = encode(change_record{"op-1", "anna", start, 1, 2, weigh_backend{"board", "bs1", 50}, 7});
    int               refused = 0;
    for (int i = 0; i < 20'000; ++i) {
        std::string bytes = i % 2 == 0 ? config : record;
        for (auto flips = 1 + random() % 3; flips > 0; --flips)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        if (const auto decoded = decode_configuration(bytes)) {
            BOOST_TEST(validate(decoded.value()).empty());
        } else {
            ++refused;
        }
        if (const auto decoded = decode_change_record(bytes))
            BOOST_TEST(validate(decoded.value().committed_change).empty());
    }
    BOOST_TEST(refused > 5'000);
}

// Guards against reporting only the first of several errors to the operator.
BOOST_AUTO_TEST_CASE(all_findings_of_a_change_are_reported_together) {
    const auto problems = validate(
        example_config(),
        join_backend{"board", "bs1", *endpoint::parse("127.0.0.1:7001"), endpoint{ip_address::v4(1), 0}, 1001, {}});
    BOOST_TEST(problems.size() == 4U);
    BOOST_TEST(contains_text(problems, "service board, backend server bs1: exists already (expected a new name)"));
    BOOST_TEST(contains_text(problems, "weight 1001 is out of range (expected 0 to 1000)"));
    BOOST_TEST(contains_text(problems, "tunnel endpoint 127.0.0.1:7001 belongs to backend server bs1"));
    BOOST_TEST(contains_text(problems, "the health endpoint has an address, but no port"));
    BOOST_TEST(validate(change_request{"", std::string(65, 'x'), 0, false, delete_service{"-board"}}).size() == 3U);
}

// Guards against the loss of live flows by a leave without a drain, and against reused ids, which would direct placed
// flows to the wrong backend server.
BOOST_AUTO_TEST_CASE(a_backend_server_leaves_only_after_draining_and_its_id_is_never_used_again) {
    configuration config = example_config();
    BOOST_TEST(contains_text(validate(config, leave_backend{"board", "bs1"}), "drain it first"));
    BOOST_TEST(contains_text(validate(config, delete_service{"board"}), "still has 1 backend servers"));
    const auto id = config.services[0].backend_servers[0].id;
    config = apply(config, drain_backend{"board", "bs1"}, start + std::chrono::microseconds(1'999)).value();
    BOOST_TEST((config.services[0].backend_servers[0].draining_since == start + std::chrono::milliseconds(1)));
    BOOST_TEST(config.services[0].changed_at == config.revision);
    config = apply(config, leave_backend{"board", "bs1"}, start).value();
    config =
        apply(config, join_backend{"board", "bs1", *endpoint::parse("127.0.0.1:7001"), {}, 100, {}}, start).value();
    BOOST_TEST(config.services[0].backend_servers[0].id > id);
}

// Guards against text that tamarackctl can't parse.
BOOST_AUTO_TEST_CASE(changes_have_one_line_of_text) {
    const auto                                        tunnel = *endpoint::parse("127.0.0.1:7001");
    const auto                                        health = *endpoint::parse("127.0.0.1:7002");
    const auto                                        address = *endpoint::parse("10.1.0.1:443");
    const std::vector<std::pair<change, std::string>> expected = {
        {create_service{"board", transport::tcp, address, {1000, 200}},
         "create service board tcp 10.1.0.1:443 max-flows 1000 max-rate 200"},
        {create_service{"dns", transport::udp, *endpoint::parse("[2001:db8::1]:53"), {}},
         "create service dns udp [2001:db8::1]:53"},
        {change_service{"board", {0, 5}}, "change service board max-flows 0 max-rate 5"},
        {delete_service{"board"}, "delete service board"},
        {join_backend{"board", "bs1", tunnel, health, 100, {}},
         "join board bs1 tunnel 127.0.0.1:7001 health 127.0.0.1:7002 weight 100"},
        {join_backend{"board", "bs1", tunnel, {}, 0, {0, 9}},
         "join board bs1 tunnel 127.0.0.1:7001 weight 0 max-rate 9"},
        {drain_backend{"board", "bs1"}, "drain board bs1"},
        {undrain_backend{"board", "bs1"}, "undrain board bs1"},
        {leave_backend{"board", "bs1"}, "leave board bs1"},
        {weigh_backend{"board", "bs1", 50}, "weight board bs1 50"},
    };
    for (const auto& [command, text] : expected)
        BOOST_TEST(to_string(command) == text);
}
