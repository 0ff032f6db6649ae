// Datagrams with condition reports. Guards against datagrams of other programs that are taken for reports, against
// reads outside a datagram, and against values that differ after the transfer.
#define BOOST_TEST_MODULE platform_report_format
#include "platform/report_format.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace tamarack;
using namespace tamarack::entry;
using namespace tamarack::platform;
using namespace std::chrono_literals;

namespace {

constexpr feed_key   tree_key{{1, 2, 3}};
constexpr feed_key   other_key{{4, 5, 6}};
constexpr std::array both_keys{other_key, tree_key};

forwarded_report sample_report(std::uint32_t sequence = 7) {
    return {.report = {.reference = 0x01020304, .condition = backend_condition::slow, .age = 1'500ms, .validity = 10s},
            .origin = 0xa0b0c0d0,
            .sequence = sequence,
            .hops = 5};
}

std::vector<std::byte> sample_datagram(std::size_t count = 1) {
    return encode_reports(std::vector<forwarded_report>(count, sample_report()), tree_key);
}

bool is_accepted(byte_view bytes) {
    return decode_reports(bytes, both_keys).has_value();
}

} // namespace

BOOST_AUTO_TEST_CASE(returns_what_was_encoded) {
    const auto datagram = sample_datagram(report_datagram_sizes.max_reports);
    BOOST_TEST(datagram.size() <= max_report_datagram_size);
    BOOST_TEST(datagram.size() + ip_and_udp_header_size ==
               report_datagram_sizes.datagram + report_datagram_sizes.max_reports * report_datagram_sizes.report);
    const auto decoded = decode_reports(datagram, both_keys);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded.value().size() == report_datagram_sizes.max_reports);
    const forwarded_report& item = decoded.value().back();
    BOOST_TEST(item.report.reference == 0x01020304U);
    BOOST_TEST((item.report.condition == backend_condition::slow));
    BOOST_TEST((item.report.age == 1'500ms && item.report.validity == 10s));
    BOOST_TEST((item.origin == 0xa0b0c0d0U && item.sequence == 7U && item.hops == 5U));
}

// A report must never become younger or valid for longer on its way.
BOOST_AUTO_TEST_CASE(rounds_toward_expiry) {
    forwarded_report item = sample_report();
    item.report.age = 1us;
    item.report.validity = 1h;
    const auto decoded = decode_reports(encode_reports(std::span(&item, 1), tree_key), both_keys);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((decoded.value().front().report.age == 1ms));
    BOOST_TEST((decoded.value().front().report.validity == 65'535ms));
}

BOOST_AUTO_TEST_CASE(tells_why_a_datagram_is_rejected) {
    const auto error_of = [](byte_view bytes, std::span<const feed_key> keys) {
        const auto decoded = decode_reports(bytes, keys);
        BOOST_REQUIRE(!decoded.has_value());
        return decoded.error();
    };
    auto datagram = sample_datagram();
    BOOST_TEST((error_of(datagram, std::span(both_keys).first(1)) == report_error::unauthenticated));
    BOOST_TEST((error_of(datagram, {}) == report_error::unauthenticated));
    datagram[0] = std::byte{2};
    BOOST_TEST((error_of(datagram, both_keys) == report_error::unsupported_version));
    BOOST_TEST((error_of(encode_reports({}, tree_key), both_keys) == report_error::malformed));
    forwarded_report unknown_condition = sample_report();
    unknown_condition.report.condition = static_cast<backend_condition>(9);
    BOOST_TEST(
        (error_of(encode_reports(std::span(&unknown_condition, 1), tree_key), both_keys) == report_error::malformed));
}

// The buffers have the exact size, so that the sanitizer detects a read past the end.
BOOST_AUTO_TEST_CASE(rejects_truncated_and_changed_datagrams) {
    const auto datagram = sample_datagram(3);
    for (std::size_t size = 0; size < datagram.size(); ++size) {
        const std::vector<std::byte> truncated(datagram.begin(), datagram.begin() + static_cast<std::ptrdiff_t>(size));
        BOOST_TEST(!is_accepted(truncated));
    }
    for (std::size_t bit = 0; bit < datagram.size() * 8; ++bit) {
        auto changed = datagram;
        changed[bit / 8] ^= std::byte{1} << (bit % 8);
        BOOST_TEST(!is_accepted(changed));
    }
}

BOOST_AUTO_TEST_CASE(rejects_random_bytes) {
    std::mt19937_64 random(20261204);
    for (unsigned i = 0; i < 60'000; ++i) {
        std::vector<std::byte> bytes(random() % (max_report_datagram_size + 40));
        std::ranges::generate(bytes, [&] { return static_cast<std::byte>(random()); });
        // Half of them have a valid head, so that the MAC decides.
        if (i % 2 == 0 && bytes.size() >= 2) {
            bytes[0] = std::byte{1};
            bytes[1] = static_cast<std::byte>(random() % (report_datagram_sizes.max_reports + 1));
            bytes.resize(report_head_size + std::to_integer<std::size_t>(bytes[1]) * report_size + sizeof(feed_mac));
        }
        BOOST_REQUIRE(!is_accepted(bytes));
    }
}
