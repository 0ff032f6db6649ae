// Text forms of the shared types. Guards against addresses that parse to something else than what was formatted.
#define BOOST_TEST_MODULE types
#include "tamarack/tamarack.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace tamarack;

BOOST_AUTO_TEST_CASE(formatted_endpoints_parse_to_the_same_value) {
    const bool passed = rc::check([](const std::array<std::uint8_t, 16>& bytes, std::uint16_t port) {
        const endpoint original{ip_address{bytes}, port};
        RC_ASSERT(endpoint::parse(original.to_string()) == original);
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
