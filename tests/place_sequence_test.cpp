// Acknowledgement windows: guards against a placement that is taken for confirmed although its frame was lost.
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
    const bool passed = rc::check([](const std::vector<std::uint8_t>& fates) {
        place_sequences                             sender(UINT32_MAX - 20); // the numbers wrap around
        place_sequences                             receiver;
        std::vector<std::pair<std::uint32_t, bool>> frames;
        for (const auto fate : fates) {
            const bool arrives = fate % 3 != 0;
            frames.emplace_back(sender.next(second), arrives);
            if (arrives) receiver.received(owner, frames.back().first);
            if (fate % 5 == 0) sender.apply(second, receiver.acknowledgement_for(owner));
        }
        for (const auto& [sequence, arrived] : frames)
            RC_ASSERT(!sender.acknowledged(second, sequence) || arrived);
        sender.apply(second, receiver.acknowledgement_for(owner));
        const std::size_t recent = frames.size() > 64 ? frames.size() - 64 : 0;
        for (std::size_t i = recent; i < frames.size(); ++i)
            RC_ASSERT(sender.acknowledged(second, frames[i].first) == frames[i].second);
    });
    BOOST_TEST(passed);
}

// Guards against placements taken for confirmed by an acknowledgement of the frames of an earlier life.
BOOST_AUTO_TEST_CASE(acknowledgements_of_an_earlier_life_of_the_sender_do_not_count) {
    place_sequences before(1'000'000);
    place_sequences receiver;
    for (int i = 0; i < 50; ++i)
        receiver.received(owner, before.next(second));
    place_sequences restarted(2'000'000);
    const auto      first = restarted.next(second);
    restarted.apply(second, receiver.acknowledgement_for(owner));
    BOOST_TEST(!restarted.acknowledged(second, first));
}

BOOST_AUTO_TEST_CASE(a_new_life_forgets_the_acknowledgements_of_the_old_one) {
    place_sequences sender;
    sender.note_life(second, 1);
    const auto sequence = sender.next(second);
    sender.apply(second, {sequence, 0});
    BOOST_TEST(sender.acknowledged(second, sequence));
    sender.note_life(second, 2);
    BOOST_TEST(!sender.acknowledged(second, sequence));
}
