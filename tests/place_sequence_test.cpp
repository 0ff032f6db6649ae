// Tests of the acknowledgement windows: guards against a placement that counts as confirmed although its frame was
// lost.
#define BOOST_TEST_MODULE place_sequence
#include "tamarack/place_sequence.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace tamarack;

namespace {

constexpr member_id owner = 1;
constexpr member_id second = 2;

} // namespace

BOOST_AUTO_TEST_CASE(only_recorded_frames_are_acknowledged) {
    const bool passed = rc::check([](const std::vector<std::uint8_t>& random_bytes) {
        place_sequences                             sender(UINT32_MAX - 20); // the numbers wrap around
        place_sequences                             receiver;
        std::vector<std::pair<std::uint32_t, bool>> frames;
        for (const auto random_byte : random_bytes) {
            const bool arrives = random_byte % 3 != 0;
            frames.emplace_back(sender.next_sequence(second), arrives);
            if (arrives) receiver.record_received(owner, frames.back().first);
            if (random_byte % 5 == 0) sender.apply_acknowledgement(second, receiver.acknowledgement_for(owner));
        }
        for (const auto& [sequence, arrived] : frames)
            RC_ASSERT(!sender.is_acknowledged(second, sequence) || arrived);
        sender.apply_acknowledgement(second, receiver.acknowledgement_for(owner));
        const std::size_t recent = frames.size() > 64 ? frames.size() - 64 : 0;
        for (std::size_t i = recent; i < frames.size(); ++i)
            RC_ASSERT(sender.is_acknowledged(second, frames[i].first) == frames[i].second);
    });
    BOOST_TEST(passed);
}

// Guards against placements that count as confirmed because frames of an earlier incarnation were acknowledged.
BOOST_AUTO_TEST_CASE(acknowledgements_of_an_earlier_incarnation_of_the_sender_are_ignored) {
    place_sequences before(1'000'000);
    place_sequences receiver;
    for (int i = 0; i < 50; ++i)
        receiver.record_received(owner, before.next_sequence(second));
    place_sequences restarted(2'000'000);
    const auto      first = restarted.next_sequence(second);
    restarted.apply_acknowledgement(second, receiver.acknowledgement_for(owner));
    BOOST_TEST(!restarted.is_acknowledged(second, first));
}

BOOST_AUTO_TEST_CASE(a_new_incarnation_drops_the_acknowledgements_of_the_old_one) {
    place_sequences sender;
    sender.record_incarnation(second, 1);
    const auto sequence = sender.next_sequence(second);
    sender.apply_acknowledgement(second, {sequence, 0});
    BOOST_TEST(sender.is_acknowledged(second, sequence));
    sender.record_incarnation(second, 2);
    BOOST_TEST(!sender.is_acknowledged(second, sequence));
}
