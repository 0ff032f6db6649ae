// Keyed hashes of feed messages (libsodium).
#include "entry/feed_key.h"

#include <sodium.h>

namespace tamarack::entry {

static_assert(std::tuple_size_v<feed_proof> >= crypto_generichash_BYTES_MIN);
static_assert(sizeof(feed_key) >= crypto_generichash_KEYBYTES_MIN);

feed_key random_feed_key() {
    feed_key key;
    randombytes_buf(key.bytes.data(), key.bytes.size());
    return key;
}

feed_proof prove(const feed_key& key, feed_message kind, std::uint64_t number, std::string_view text) {
    std::array<std::uint8_t, 1 + sizeof number> head{static_cast<std::uint8_t>(kind)};
    for (std::size_t i = 1; i < head.size(); ++i, number >>= 8U)
        head.at(i) = static_cast<std::uint8_t>(number);
    feed_proof               proof{};
    crypto_generichash_state state;
    crypto_generichash_init(&state, key.bytes.data(), key.bytes.size(), proof.size());
    crypto_generichash_update(&state, head.data(), head.size());
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(text.data()), text.size());
    crypto_generichash_final(&state, proof.data(), proof.size());
    return proof;
}

bool is_proof(const feed_proof& proof, const feed_key& key, feed_message kind, std::uint64_t number,
              std::string_view text) {
    return sodium_memcmp(prove(key, kind, number, text).data(), proof.data(), proof.size()) == 0;
}

} // namespace tamarack::entry
