// Message authentication for the calls between balancers. A feeder publishes a key next to its address in the store. A
// follower authenticates its calls with the key, which shows that it reads the same store, and the feeder authenticates
// each answer with it.
//
// A follower draws a new nonce for each call, and the answer's authentication code covers it, so that a recorded answer
// cannot be replayed. Calls are not encrypted; they contain nothing that the store does not serve to every host.
#pragma once

#include "tamarack/tamarack.h"

namespace tamarack::entry {

struct feed_key {
    std::array<std::uint8_t, 16> bytes{};

    friend bool operator==(const feed_key&, const feed_key&) = default;
};

feed_key random_feed_key();

// Message authentication code.
using feed_mac = std::array<std::uint8_t, 16>;

enum class feed_message : std::uint8_t { request = 1, answer = 2, report = 3 };

// Keyed BLAKE2b over the kind of message, the nonce of the call and the text.
feed_mac compute_mac(const feed_key& key, feed_message kind, std::uint64_t nonce, std::string_view text);
// Takes the same time for a correct and a wrong code.
bool     verify_mac(const feed_mac& mac, const feed_key& key, feed_message kind, std::uint64_t nonce,
                    std::string_view text);

} // namespace tamarack::entry
