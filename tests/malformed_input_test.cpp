// Tests of the parsers with untrusted bytes: guards against reads outside the buffer (in builds with sanitizers) and
// against results outside their documented ranges. 120,000 mutated or random inputs with a fixed seed.
#define BOOST_TEST_MODULE malformed_input
#include "tamarack/relay.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <sodium.h>

using namespace tamarack;

namespace {

using bytes = std::vector<std::byte>;

constexpr std::size_t inputs_per_parser = 60'000;

std::size_t random_below(std::size_t limit) {
    static std::mt19937_64 random(20261204);
    return random() % limit;
}

// Returns a mutated copy of a valid input, sometimes truncated, sometimes all random. The buffer has the exact size, so
// that the sanitizer detects any read past its end.
bytes mutated(const bytes& valid) {
    const auto size = static_cast<std::ptrdiff_t>(random_below(8) == 0 ? random_below(valid.size() + 1) : valid.size());
    const auto any_byte = [] { return static_cast<std::byte>(random_below(256)); };
    bytes      input(valid.begin(), valid.begin() + size);
    std::size_t changes = input.empty() ? 0 : random_below(6);
    for (; changes > 0; --changes)
        input[random_below(std::min<std::size_t>(input.size(), 130))] = any_byte();
    if (random_below(8) == 0) std::generate(input.begin(), input.end(), any_byte);
    return input;
}

// Returns a GUE packet with a TCP reset or with an ICMP error that quotes it.
bytes valid_gue_packet(std::size_t kind) {
    const bool  v4 = kind % 2 == 0;
    packet_info info;
    info.flow.source = {ip_address::parse(v4 ? "192.0.2.1" : "2001:db8::1").value(), 40'000};
    info.flow.destination = {info.flow.source.address, 443};
    const auto header = make_gue_header(v4);
    bytes      reset(header.begin(), header.end());
    bytes      error = reset;
    append_tcp_reset(info, reset);
    append_port_unreachable(byte_view(reset).subspan(gue_header_size), info, error);
    return kind % 4 < 2 ? reset : error;
}

// Runs a parser on mutated inputs. It must accept some and reject some, since otherwise the inputs test nothing.
template <class Parse>
void try_inputs(Parse accepts) {
    std::size_t accepted = 0;
    for (std::size_t i = 0; i < inputs_per_parser; ++i)
        accepted += accepts(i) ? 1U : 0U;
    BOOST_TEST((accepted > inputs_per_parser / 20 && accepted < inputs_per_parser / 20 * 19),
               accepted << " inputs were accepted");
}

} // namespace

BOOST_AUTO_TEST_CASE(packets_give_a_value_or_an_error) {
    try_inputs([](std::size_t i) {
        const bytes input = mutated(valid_gue_packet(i));
        const auto  inner = decapsulate(input);
        if (!inner) return false;
        BOOST_REQUIRE(inner.value().data() == input.data() + gue_header_size);
        BOOST_REQUIRE(inner.value().size() == input.size() - gue_header_size);
        const auto parsed = parse_packet(inner.value());
        if (!parsed) return false;
        BOOST_REQUIRE(parsed.value().payload_size < input.size());
        BOOST_REQUIRE(parsed.value().flow.source.address.is_v4() == parsed.value().flow.destination.address.is_v4());
        bytes reply;
        append_tcp_reset(parsed.value(), reply);
        append_port_unreachable(inner.value(), parsed.value(), reply);
        BOOST_REQUIRE(reply.size() <= 60 + 1'280);
        return true;
    });
}

BOOST_AUTO_TEST_CASE(relay_frames_give_a_value_or_an_error) {
    relay_header header;
    header.kind = relay_kind::offer;
    header.sender = 3;
    header.placement = {1001, 12, {ip_address::v4(1), 6080}, 2, true};
    bytes frame;
    append_relay_frame(header, valid_gue_packet(0), {}, frame);
    try_inputs([&frame](std::size_t i) {
        bytes input = mutated(frame);
        if (i % 2 == 0 && input.size() > relay_mac_size) { // signed again, so that changed fields pass the MAC check
            const relay_keys  keys;
            const std::size_t size = input.size() - relay_mac_size;
            auto* const       data = reinterpret_cast<unsigned char*>(input.data());
            crypto_shorthash(data + size, data, size, reinterpret_cast<const unsigned char*>(keys.signing.data()));
        }
        const auto parsed = parse_relay_frame(input, {});
        BOOST_REQUIRE((!parsed || parsed.value().header.route_length <= max_route_length));
        BOOST_REQUIRE((!parsed || parsed.value().header.hops <= max_relay_hops));
        BOOST_REQUIRE((!parsed || parsed.value().inner.size() < input.size()));
        return parsed.has_value();
    });
}
