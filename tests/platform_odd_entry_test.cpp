// Entries that another writer has left among those of the backend servers. Guards against a balancer that ends when it
// reads one, that stops following the store, or that sends flows to what the entry names.
#define BOOST_TEST_MODULE platform_odd_entry
#include "entry/replica.h"
#include "platform/record_format.h"

#include <boost/test/unit_test.hpp>
#include <sodium.h>

using namespace tamarack;
using namespace tamarack::entry;
using namespace tamarack::platform;

namespace {

constexpr std::string_view configuration =
    R"({"version":3,"routes":[{"name":"a","host":"198.18.0.1","prefix":"/443/","type":"idempotent",)"
    R"("service":"desk"}],"limits":{"idle_timeout_ms":15000}})";

std::string backend_entry(std::string_view address, std::string_view further_fields) {
    return R"({"service":"desk","address":")" + std::string(address) +
           R"(","zone":"north","version":"v1","state":"ready")" + std::string(further_fields) + "}";
}

const std::string good_entry =
    backend_entry("10.128.0.9:8080", R"(,"capacity":2,"warmup_left_ms":0,"sequence":4,"born":1700000000000)");

std::string repeated(std::string_view text, std::size_t count) {
    std::string result;
    result.reserve(text.size() * count);
    for (; count > 0; --count)
        result += text;
    return result;
}

struct stored_item {
    std::string_view key;
    std::string      value;
    std::uint64_t    revision = 0;
};

// A body as the store sends it.
std::string store_body(std::string_view list_member, std::span<const stored_item> items) {
    std::string list;
    for (const stored_item& item : items) {
        std::string encoded(sodium_base64_encoded_len(item.value.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
        sodium_bin2base64(encoded.data(), encoded.size(), reinterpret_cast<const unsigned char*>(item.value.data()),
                          item.value.size(), sodium_base64_VARIANT_ORIGINAL);
        encoded.pop_back(); // the terminating zero
        list += (list.empty() ? R"({"key":")" : R"(,{"key":")") + std::string(item.key) + R"(","value":")" + encoded +
                R"(","revision":)" + std::to_string(item.revision) + "}";
    }
    return R"({")" + std::string(list_member) + R"(":[)" + list + R"(],"current_rev":)" +
           std::to_string(items.back().revision) + R"(,"has_more":false})";
}

// A balancer that lists a store with the entry, and then follows it: the other backend servers are in use, nothing is
// sent to the entry, and later changes arrive.
void check_that_only_the_entry_is_left_out(const std::string& entry_value) {
    const std::array<stored_item, 3> listed = {{{"op/config", std::string(configuration), 1},
                                                {"servers/i-1", good_entry, 2},
                                                {"servers/i-f0", entry_value, 3}}};
    const auto                       listing = decode_listing(store_body("items", listed));
    BOOST_REQUIRE(listing.has_value());
    replica           records;
    const steady_time now{std::chrono::hours(1)};
    records.note_store_available(now);
    records.apply_listing(listing.value().records, listing.value().revision, now);
    BOOST_TEST(records.available_backends("desk").size() == 1U);
    BOOST_TEST(records.find_backend(reference_of(0xf0)) == nullptr);

    const std::array<stored_item, 3> changed = {
        {{"servers/i-f1", entry_value, 4}, {"servers/i-2", good_entry, 5}, {"servers/i-f0", entry_value, 6}}};
    const auto changes = decode_changes(store_body("events", changed));
    BOOST_REQUIRE(changes.has_value());
    for (const record& item : changes.value().records)
        records.apply(item, now);
    BOOST_TEST(records.available_backends("desk").size() == 2U);
    BOOST_TEST(records.find_backend(reference_of(0xf1)) == nullptr);
}

} // namespace

// Found by the review (case 1): one entry of nested brackets ended all balancers by a stack overflow, again after each
// restart.
BOOST_AUTO_TEST_CASE(a_deeply_nested_entry_does_not_end_the_balancer) {
    constexpr std::size_t depth = 500'000; // half of what the store accepts as a value
    for (const std::string_view opening : {"[", R"({"a":)", R"([{"a":)"})
        check_that_only_the_entry_is_left_out(repeated(opening, depth / opening.size()));
    check_that_only_the_entry_is_left_out(repeated("[", depth) + repeated("]", depth));
    check_that_only_the_entry_is_left_out(backend_entry("10.128.0.10:8080", R"(,"a":)" + repeated("[", depth)));
}

// The same fault in the other texts that the balancer parses.
BOOST_AUTO_TEST_CASE(deeply_nested_bodies_and_records_are_rejected) {
    const std::string nested = repeated("[", 500'000);
    for (const char* key : {"op/config", "servers/i-1", "tamarack/feeders/north/0"})
        BOOST_TEST(std::holds_alternative<unusable_record>(decode_record(key, {1, 1}, nested).content), key);
    const std::string body = R"({"items":)" + nested;
    BOOST_TEST(!decode_listing(body).has_value());
    BOOST_TEST(!decode_changes(body).has_value());
    BOOST_TEST(!decode_followers(body).has_value());
    BOOST_TEST(!decode_granted_lease(body).has_value());
    BOOST_TEST(!has_revision(body));
}

// A writer may add members that this program does not read.
BOOST_AUTO_TEST_CASE(moderately_nested_members_do_not_make_an_entry_unusable) {
    const std::string member = R"(,"labels":)" + repeated("[", 30) + repeated("]", 30);
    const auto        decoded = decode_record("servers/i-1", {1, 1}, backend_entry("10.128.0.10:8080", member));
    BOOST_TEST(std::holds_alternative<backend_registration>(decoded.content));
}

// Found after a report of operators of a similar system: numbers that are too large were cut to 32 bits, or overflowed
// when they were converted to a duration, which ends a build with sanitizers, and the entry was used.
BOOST_AUTO_TEST_CASE(an_entry_with_a_number_out_of_range_names_no_target) {
    for (const char* name : {"capacity", "warmup_left_ms", "born", "sequence"}) {
        for (const char* number : {"18446744073709551616", "1e30", "1e400", "-1", "\"2\"", "[2]", "null"}) {
            check_that_only_the_entry_is_left_out(
                backend_entry("10.128.0.10:8080", ",\"" + std::string(name) + "\":" + number));
        }
    }
    for (const char* field : {R"(,"capacity":4294967295)", R"(,"capacity":4294967296)", R"(,"capacity":4294967297)",
                              R"(,"warmup_left_ms":18446744073709551615)", R"(,"warmup_left_ms":9223372036854775807)",
                              R"(,"warmup_left_ms":86400001)", R"(,"born":9223372036854775808)"})
        check_that_only_the_entry_is_left_out(backend_entry("10.128.0.10:8080", field));
}

// The same report. The port was not cut to 16 bits before either.
BOOST_AUTO_TEST_CASE(an_entry_with_a_port_out_of_range_names_no_target) {
    for (const char* port :
         {"0", "65536", "73616", "4294967376", "18446744073709551696", "-80", "80x", "0x50", "", "1e3"})
        check_that_only_the_entry_is_left_out(backend_entry("10.128.0.10:" + std::string(port), ""));
}

BOOST_AUTO_TEST_CASE(an_entry_with_the_largest_numbers_names_a_target) {
    const auto decoded = decode_record("servers/i-1", {1, 1},
                                       backend_entry("10.128.0.10:65535",
                                                     R"(,"capacity":1000000,"warmup_left_ms":86400000,)"
                                                     R"("born":9223372036854775807,"sequence":18446744073709551615)"));
    BOOST_TEST(std::holds_alternative<backend_registration>(decoded.content));
}

// Found while looking for the cause of the review's case 1 on other paths: two keys with the registration of one feeder
// ended the balancer by an exception when one of them was removed.
BOOST_AUTO_TEST_CASE(a_feeder_registration_under_another_key_does_not_end_the_balancer) {
    const std::string registration = R"({"name":"a","failure_domain":"north","slot":0,"address":"10.1.0.1:7720",)"
                                     R"("key":"00112233445566778899aabbccddeeff"})";
    const std::string copy_key = "tamarack/feeders/south/0";
    replica           records;
    const steady_time now{std::chrono::hours(1)};
    records.note_store_available(now);
    records.apply_listing({}, {1, 1}, now);
    records.apply(decode_record("tamarack/feeders/north/0", {1, 2}, registration), now);
    records.apply(decode_record(copy_key, {1, 3}, registration), now);
    BOOST_TEST(records.feeders().size() == 1U);
    records.apply(make_removed_record(copy_key, {1, 4}), now);
    BOOST_TEST(records.feeders().size() == 1U);
    BOOST_CHECK_NO_THROW(records.records());
}

// A value of a megabyte that was quoted in full would push the other lines out of the log's buffer.
BOOST_AUTO_TEST_CASE(the_reason_of_an_unusable_entry_quotes_little_of_it) {
    const std::string value =
        R"({"service":"desk","address":"10.128.0.10:8080","state":")" + repeated("asleep ", 100'000) + "\"}";
    const auto  decoded = decode_record("servers/i-1", {1, 1}, value);
    const auto* unusable = std::get_if<unusable_record>(&decoded.content);
    BOOST_REQUIRE(unusable != nullptr);
    BOOST_TEST(unusable->reason.size() <= 100U);
}
