// Sequence numbers of place frames, and windows of acknowledged ones.
#include "tamarack/place_sequence.h"

namespace tamarack {

namespace {

constexpr std::uint32_t earlier_bits = 64; // of place_acknowledgement::earlier

} // namespace

std::uint32_t place_sequences::next_sequence(member_id peer) {
    peer_state& state = peers_[peer];
    if (!state.any_sent) state.last_sent = first_sequence_;
    state.any_sent = true;
    do {
        ++state.last_sent;
    } while (state.last_sent == 0 || state.last_sent == unsent_place_sequence);
    state.acknowledged_frames.reset(state.last_sent % window_size);
    return state.last_sent;
}

bool place_sequences::is_acknowledged(member_id peer, std::uint32_t sequence) const {
    const auto found = peers_.find(peer);
    if (found == peers_.end() || sequence == 0 || sequence == unsent_place_sequence) return false;
    const peer_state& state = found->second;
    if (!state.any_sent || state.last_sent - sequence >= window_size) return false;
    return state.acknowledged_frames.test(sequence % window_size);
}

void place_sequences::record_received(member_id owner, std::uint32_t sequence) {
    if (sequence == 0) return;
    place_acknowledgement& received_numbers = peers_[owner].received_frames;
    const std::uint32_t    distance = sequence - received_numbers.highest;
    if (received_numbers.highest == 0 || static_cast<std::int32_t>(distance) > 0) {
        received_numbers.earlier = distance < earlier_bits ? received_numbers.earlier << distance : 0;
        if (received_numbers.highest != 0 && distance <= earlier_bits)
            received_numbers.earlier |= std::uint64_t{1} << (distance - 1);
        received_numbers.highest = sequence;
        return;
    }
    const std::uint32_t age = received_numbers.highest - sequence;
    if (age > 0 && age <= earlier_bits) received_numbers.earlier |= std::uint64_t{1} << (age - 1);
}

place_acknowledgement place_sequences::acknowledgement_for(member_id owner) const {
    const auto found = peers_.find(owner);
    return found == peers_.end() ? place_acknowledgement{} : found->second.received_frames;
}

void place_sequences::apply_acknowledgement(member_id peer, const place_acknowledgement& acknowledgement) {
    if (acknowledgement.highest == 0) return;
    peer_state& state = peers_[peer];
    const auto  acknowledge = [&state](std::uint32_t sequence) {
        if (state.any_sent && state.last_sent - sequence < window_size)
            state.acknowledged_frames.set(sequence % window_size);
    };
    acknowledge(acknowledgement.highest);
    for (std::uint32_t bit = 0; bit < earlier_bits; ++bit) {
        if ((acknowledgement.earlier >> bit & 1U) != 0) acknowledge(acknowledgement.highest - (bit + 1));
    }
}

void place_sequences::record_incarnation(member_id peer, incarnation_number number) {
    peer_state& state = peers_[peer];
    if (number <= state.newest_incarnation) return;
    // The sequence numbers continue, so that an acknowledgement by the new incarnation cannot match a frame sent to the
    // old one.
    state.acknowledged_frames.reset();
    state.received_frames = {};
    state.newest_incarnation = number;
}

} // namespace tamarack
