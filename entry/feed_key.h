// Proofs on the calls between balancers: a feeder publishes a key beside its address in the store, a follower proves
// with it that it reads the same store, and the feeder proves each answer in return.
//
// A follower draws a new number for each call, and the proof of the answer covers it: an answer that was recorded
// earlier is not taken. Calls are not encrypted; they hold nothing that the store does not give to every host.
#pragma once

#include "tamarack/tamarack.h"

namespace tamarack::entry {

struct feed_key {
    std::array<std::uint8_t, 16> bytes{};

    friend bool operator==(const feed_key&, const feed_key&) = default;
};

feed_key random_feed_key();

using feed_proof = std::array<std::uint8_t, 16>;

enum class feed_message : std::uint8_t { request = 1, answer = 2 };

// Keyed BLAKE2b over the kind of message, the number of the call and the text.
feed_proof prove(const feed_key& key, feed_message kind, std::uint64_t number, std::string_view text);
// Takes the same time for a right and a wrong proof.
bool       is_proof(const feed_proof& proof, const feed_key& key, feed_message kind, std::uint64_t number,
                    std::string_view text);

} // namespace tamarack::entry
