// Windows of acknowledged place frames.
#include "tamarack/place_sequence.h"

namespace tamarack {

namespace {

constexpr std::uint32_t earlier_bits = 64; // of place_acknowledgement::earlier

} // namespace

std::uint32_t place_sequences::next(member_id peer) {
    peer_state& state = peers_[peer];
    if (!state.any_sent) state.sent = first_;
    state.any_sent = true;
    do {
        ++state.sent;
    } while (state.sent == 0 || state.sent == unsent_place_sequence);
    state.confirmed.reset(state.sent % remembered);
    return state.sent;
}

bool place_sequences::acknowledged(member_id peer, std::uint32_t sequence) const {
    const auto found = peers_.find(peer);
    if (found == peers_.end() || sequence == 0 || sequence == unsent_place_sequence) return false;
    const peer_state& state = found->second;
    if (!state.any_sent || state.sent - sequence >= remembered) return false;
    return state.confirmed.test(sequence % remembered);
}

void place_sequences::received(member_id owner, std::uint32_t sequence) {
    if (sequence == 0) return;
    place_acknowledgement& seen = peers_[owner].seen;
    const std::uint32_t    step = sequence - seen.highest;
    if (seen.highest == 0 || static_cast<std::int32_t>(step) > 0) {
        seen.earlier = step < earlier_bits ? seen.earlier << step : 0;
        if (seen.highest != 0 && step <= earlier_bits) seen.earlier |= std::uint64_t{1} << (step - 1);
        seen.highest = sequence;
        return;
    }
    const std::uint32_t age = seen.highest - sequence;
    if (age > 0 && age <= earlier_bits) seen.earlier |= std::uint64_t{1} << (age - 1);
}

place_acknowledgement place_sequences::acknowledgement_for(member_id owner) const {
    const auto found = peers_.find(owner);
    return found == peers_.end() ? place_acknowledgement{} : found->second.seen;
}

void place_sequences::apply(member_id peer, const place_acknowledgement& acknowledgement) {
    if (acknowledgement.highest == 0) return;
    peer_state& state = peers_[peer];
    const auto  mark = [&state](std::uint32_t sequence) {
        if (state.any_sent && state.sent - sequence < remembered) state.confirmed.set(sequence % remembered);
    };
    mark(acknowledgement.highest);
    for (std::uint32_t bit = 0; bit < earlier_bits; ++bit) {
        if ((acknowledgement.earlier >> bit & 1U) != 0) mark(acknowledgement.highest - (bit + 1));
    }
}

void place_sequences::note_life(member_id peer, incarnation life) {
    peer_state& state = peers_[peer];
    if (life <= state.life) return;
    // Numbers go on, so that an acknowledgement of the new life cannot be taken for one of an old frame.
    state.confirmed.reset();
    state.seen = {};
    state.life = life;
}

} // namespace tamarack
