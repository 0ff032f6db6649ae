// Control channel: guards against forged, replayed and malformed datagrams, and against exceeding the send budget.
#define BOOST_TEST_MODULE control_channel
#include "tamarack/clock.h"
#include "tamarack/control_channel.h"
#include "tamarack/invariant.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

constexpr member_id          sender_id = 7;
constexpr member_id          receiver_id = 9;
constexpr incarnation_number first_incarnation = 1'000;

control_key key_of(int value) {
    control_key key{};
    key.fill(static_cast<std::byte>(value));
    return key;
}

std::vector<std::byte> bytes_of(std::size_t size) {
    return std::vector<std::byte>(size, std::byte{0x5a});
}

struct channel_pair {
    manual_clock    time;
    control_channel sender{{sender_id, first_incarnation, "a", {key_of(1), std::nullopt}}, time};
    control_channel receiver{{receiver_id, first_incarnation, "a", {key_of(1), std::nullopt}}, time};

    std::vector<std::byte> sealed(std::size_t size = 40) {
        time.advance(1s);
        return sender.seal(message_type::ping, message_priority::urgent, bytes_of(size), receiver_id).value();
    }
    open_error error_of(byte_view datagram) { return receiver.open(datagram).error().error; }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_message_arrives_once_and_unchanged) {
    channel_pair channels;
    const auto   datagram = channels.sealed();
    const auto   opened = channels.receiver.open(datagram);
    BOOST_REQUIRE(opened.has_value());
    BOOST_TEST(opened.value().sender == sender_id);
    BOOST_TEST(opened.value().incarnation == first_incarnation);
    BOOST_TEST(std::ranges::equal(opened.value().payload, bytes_of(40)));
    BOOST_TEST((channels.error_of(datagram) == open_error::replayed));
}

BOOST_AUTO_TEST_CASE(the_replay_window_accepts_late_messages_and_no_older_ones) {
    channel_pair                        channels;
    std::vector<std::vector<std::byte>> datagrams;
    for (std::size_t i = 0; i < replay_window + 1; ++i)
        datagrams.push_back(channels.sealed());
    BOOST_TEST(channels.receiver.open(datagrams.back()).has_value());
    BOOST_TEST(channels.receiver.open(datagrams[1]).has_value()); // the oldest within the window
    BOOST_TEST((channels.error_of(datagrams[1]) == open_error::replayed));
    BOOST_TEST((channels.error_of(datagrams[0]) == open_error::replayed));
}

// Guards against accepting datagrams of a replaced process, and against mistaking its late datagrams for a second
// process that still sends.
BOOST_AUTO_TEST_CASE(an_older_incarnation_is_superseded) {
    channel_pair    channels;
    const auto      old = channels.sealed();
    control_channel restarted({sender_id, first_incarnation + 1, "a", {key_of(1), std::nullopt}}, channels.time);
    const auto      newer = restarted.seal(message_type::ping, message_priority::urgent, {}, 0).value();
    BOOST_TEST(channels.receiver.open(newer).has_value());
    channels.time.advance(9s);
    const auto failure = channels.receiver.open(old).error();
    BOOST_TEST((failure.error == open_error::superseded));
    BOOST_TEST(failure.newest_incarnation == first_incarnation + 1);
    BOOST_TEST(failure.is_fresh);
    BOOST_TEST((failure.newest_incarnation_age == 9s));
    BOOST_TEST(!channels.receiver.open(old).error().is_fresh);
}

BOOST_AUTO_TEST_CASE(keys_are_rotated_without_losing_messages) {
    channel_pair channels;
    channels.receiver.set_keys({key_of(1), key_of(2)});
    BOOST_TEST(channels.receiver.open(channels.sealed()).has_value());
    channels.sender.set_keys({key_of(2), key_of(1)});
    BOOST_TEST(channels.receiver.open(channels.sealed()).has_value());
    channels.receiver.set_keys({key_of(1), std::nullopt});
    BOOST_TEST((channels.error_of(channels.sealed()) == open_error::bad_mac));
}

BOOST_AUTO_TEST_CASE(messages_for_other_recipients_are_rejected) {
    channel_pair    channels;
    control_channel other({11, first_incarnation, "a", {key_of(1), std::nullopt}}, channels.time);
    control_channel foreign({receiver_id, first_incarnation, "b", {key_of(1), std::nullopt}}, channels.time);
    const auto      datagram = channels.sealed();
    BOOST_TEST((other.open(datagram).error().error == open_error::wrong_recipient));
    BOOST_TEST((foreign.open(datagram).error().error == open_error::bad_mac)); // another cluster
    BOOST_TEST((channels.sender.open(channels.sender.seal(message_type::ping, message_priority::urgent, {}).value())
                    .error()
                    .error == open_error::own_id));
    const auto long_payload = bytes_of(max_control_payload + 1);
    BOOST_TEST((channels.sender.seal(message_type::ping, message_priority::urgent, long_payload).error() ==
                seal_error::too_long));
}

// Guards against crashes and against the acceptance of random or mutated datagrams.
BOOST_AUTO_TEST_CASE(malformed_datagrams_are_rejected) {
    channel_pair  channels;
    random_source random(20261204);
    const auto    valid = channels.sealed(100);
    for (int i = 0; i < 100'000; ++i) {
        std::vector<std::byte> bytes = valid;
        if (i % 2 == 0) {
            bytes.resize(random() % 1'400);
            for (auto& byte : bytes)
                byte = static_cast<std::byte>(random());
        } else {
            for (std::size_t mutation = 0; mutation <= random() % 3; ++mutation)
                bytes[random() % bytes.size()] ^= static_cast<std::byte>(1 + random() % 255);
            if (random() % 4 == 0) bytes.resize(random() % bytes.size());
        }
        if (bytes == valid) continue; // two mutations undid each other
        BOOST_REQUIRE(channels.receiver.open(bytes).has_error());
    }
    BOOST_TEST(channels.receiver.open(valid).has_value());
}

// Guards against more than 40,960 bytes in 10 s with any pattern of sending, and against urgent messages that are
// blocked by the other classes.
BOOST_AUTO_TEST_CASE(the_budget_is_never_exceeded_in_any_window) {
    set_violations_fatal(false);
    const auto before = violations(invariant::control_budget);
    const bool passed = rc::check([](std::uint32_t seed) {
        channel_pair  channels;
        random_source random(seed);
        const auto    start = channels.time.steady_now();
        for (int i = 0; i < 2'000; ++i) {
            const auto priority = static_cast<message_priority>(random() % 4);
            const auto payload = bytes_of(random() % max_control_payload);
            (void)channels.sender.seal(message_type::health, priority, payload);
            if (random() % 4 == 0) channels.time.advance(std::chrono::milliseconds(random() % 100));
        }
        const auto   bytes_sent = static_cast<double>(channels.sender.counters().bytes_sent);
        const double seconds = std::chrono::duration<double>(channels.time.steady_now() - start).count();
        RC_ASSERT(bytes_sent <= control_burst + control_rate * seconds);
        channels.time.advance(1s); // the urgent messages above may have emptied the bucket
        while (channels.sender.seal(message_type::health, message_priority::high, bytes_of(0)).has_value()) {
        }
        RC_ASSERT(channels.sender.seal(message_type::ping, message_priority::urgent, bytes_of(100)).has_value());
    });
    BOOST_TEST(passed);
    BOOST_TEST(violations(invariant::control_budget) == before);
}
