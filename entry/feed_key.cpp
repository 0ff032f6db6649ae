// Keyed hashes of feed messages (libsodium).
#include "entry/feed_key.h"

#include <sodium.h>

namespace tamarack::entry {

static_assert(std::tuple_size_v<feed_mac> >= crypto_generichash_BYTES_MIN);
static_assert(sizeof(feed_key) >= crypto_generichash_KEYBYTES_MIN);

feed_key random_feed_key() {
    feed_key key;
    randombytes_buf(key.bytes.data(), key.bytes.size());
    return key;
}

feed_mac compute_mac(const feed_key& key, feed_message kind, std::uint64_t nonce, std::string_view text) {
    std::array<std::uint8_t, 1 + sizeof nonce> head{static_cast<std::uint8_t>(kind)};
    for (std::size_t i = 1; i < head.size(); ++i, nonce >>= 8U)
        head.at(i) = static_cast<std::uint8_t>(nonce);
    feed_mac                 mac{};
    crypto_generichash_state state;
    crypto_generichash_init(&state, key.bytes.data(), key.bytes.size(), mac.size());
    crypto_generichash_update(&state, head.data(), head.size());
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(text.data()), text.size());
    crypto_generichash_final(&state, mac.data(), mac.size());
    return mac;
}

bool verify_mac(const feed_mac& mac, const feed_key& key, feed_message kind, std::uint64_t nonce,
                std::string_view text) {
    return sodium_memcmp(compute_mac(key, kind, nonce, text).data(), mac.data(), mac.size()) == 0;
}

} // namespace tamarack::entry
