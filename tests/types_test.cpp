// Text forms of the shared types: guards against addresses that are read differently from how they are shown.
#define BOOST_TEST_MODULE types
#include "tamarack/tamarack.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace tamarack;

BOOST_AUTO_TEST_CASE(endpoints_are_read_back_as_shown) {
    const bool passed = rc::check([](const std::array<std::uint8_t, 16>& bytes, std::uint16_t port) {
        const endpoint shown{ip_address{bytes}, port};
        RC_ASSERT(endpoint::parse(shown.to_string()) == shown);
    });
    BOOST_TEST(passed);
    BOOST_TEST(endpoint::parse("10.0.0.1:443").value().to_string() == "10.0.0.1:443");
}

BOOST_AUTO_TEST_CASE(malformed_endpoints_are_refused) {
    for (const char* text :
         {"", ":", "10.0.0.1", "10.0.0.1:", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0:1", "::1:80", "[::1]", "a:1"}) {
        BOOST_TEST(!endpoint::parse(text).has_value(), text);
    }
}
