// Wire formats of the platform: packets, deliveries, resets, records and responses of the store, and followers'
// requests. Guards against formats that differ from the platform's documentation and against unsafe decoding.
#define BOOST_TEST_MODULE platform_format
#include "platform/compression.h"
#include "platform/feed_format.h"
#include "platform/packet_format.h"
#include "platform/record_format.h"
#include "platform/request_id.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <random>

using namespace tamarack;
using namespace tamarack::entry;
using namespace tamarack::platform;

namespace {

std::vector<std::byte> from_hex(std::string_view text) {
    std::vector<std::byte> bytes;
    for (std::size_t i = 0; i + 1 < text.size(); i += 3)
        bytes.push_back(static_cast<std::byte>(std::stoi(std::string(text.substr(i, 2)), nullptr, 16)));
    return bytes;
}

// The example in the platform's documentation: a SYN from 100.64.0.7:40001 to 198.18.0.1:443.
const auto example_syn = from_hex("11 22 33 44 00 00 00 00 00 00 00 00 9c 41 64 40 00 07 01 bb c6 12 00 01 a1 b2 c3 d5 "
                                  "00 00 80 00 00 00 00 00 ");
const auto example_reset =
    from_hex("00 00 00 00 00 00 00 00 00 00 00 00 01 bb c6 12 00 01 9c 41 64 40 00 07 00 00 00 00 "
             "00 00 08 00 00 00 00 00 ");

const char* const backend_json =
    R"({"service":"desk","address":"10.128.0.9:8080","zone":"north","version":"v1",)"
    R"("capacity":2,"state":"ready","warmup_left_ms":1500,"sequence":4,"born":1700000000000})";

bool is_usable(const std::string& key, const std::string& value) {
    return !std::holds_alternative<unusable_record>(decode_record(key, {1, 1}, value).content);
}

} // namespace

BOOST_AUTO_TEST_CASE(decodes_the_documented_example_packet) {
    const auto packet = decode_packet(example_syn);
    BOOST_REQUIRE(packet.has_value());
    BOOST_TEST(packet.value().source.to_string() == "100.64.0.7:40001");
    BOOST_TEST(packet.value().destination.to_string() == "198.18.0.1:443");
    BOOST_TEST(packet.value().sequence == 0x11223344U);
    BOOST_TEST(packet.value().syn);
    BOOST_TEST(!packet.value().ack);
}

BOOST_AUTO_TEST_CASE(reset_of_the_example_packet_has_the_documented_bytes) {
    const auto reset = make_reset(decode_packet(example_syn).value());
    BOOST_TEST(std::ranges::equal(reset, example_reset));
}

BOOST_AUTO_TEST_CASE(delivery_header_changes_only_the_reference) {
    const auto header = make_delivery_header(example_syn, 0x7f3a91c2, 0xaabbccdd);
    BOOST_TEST(std::ranges::equal(std::span(header).first(8), from_hex("00 00 00 00 7f 3a 91 c2 ")));
    auto       expected = example_syn;
    const auto reference = from_hex("aa bb cc dd ");
    std::ranges::copy(reference, expected.begin() + 8);
    BOOST_TEST(std::ranges::equal(std::span(header).subspan(8), expected));
}

BOOST_AUTO_TEST_CASE(malformed_packets_are_rejected) {
    BOOST_TEST((decode_packet(std::span(example_syn).first(35)).error() == packet_error::too_short));
    auto extended_packet = example_syn;
    extended_packet.push_back(std::byte{1});
    BOOST_TEST((decode_packet(extended_packet).error() == packet_error::length_differs));
    extended_packet.resize(header_size + max_payload_size + 1);
    BOOST_TEST((decode_packet(extended_packet).error() == packet_error::too_long));
}

BOOST_AUTO_TEST_CASE(finds_the_request_id_only_at_the_start_of_a_request) {
    const auto id_in = [](std::string_view text) { return find_request_id(std::as_bytes(std::span(text))); };
    BOOST_TEST(id_in("GET / HTTP/1.1\r\nHost: a\r\nAttempt-Id: 3565092b3dafd36b\r\n\r\n") == "3565092b3dafd36b");
    BOOST_TEST(id_in("POST /x HTTP/1.1\r\nAttempt-Id: 7\r\n") == "7");
    BOOST_TEST(id_in("part of a body\r\nAttempt-Id: 7\r\n").empty());
    BOOST_TEST(id_in("GET / HTTP/1.1\r\nAttempt-Id: cut").empty());
    BOOST_TEST(id_in("GET / HTTP/1.1\r\nAttempt-Id: " + std::string(65, 'x') + "\r\n").empty());
    BOOST_TEST(id_in("").empty());
}

BOOST_AUTO_TEST_CASE(decodes_a_backend_registration) {
    const auto  decoded_record = decode_record("servers/i-7f3a91c2", {1, 3}, backend_json);
    const auto* registration = std::get_if<backend_registration>(&decoded_record.content);
    BOOST_REQUIRE(registration != nullptr);
    BOOST_TEST(registration->identity == 0x7f3a91c2U);
    BOOST_TEST(registration->service == "desk");
    BOOST_TEST(registration->address.to_string() == "10.128.0.9:8080");
    BOOST_TEST(registration->slots == 2U);
    BOOST_TEST((registration->state == backend_state::active));
    BOOST_TEST((registration->warmup_remaining == std::chrono::milliseconds(1'500)));
    BOOST_TEST(registration->started_unix_ms == 1'700'000'000'000);
}

// Other programs may write keys below the same prefix. Their records must be marked as unusable.
BOOST_AUTO_TEST_CASE(records_in_other_formats_are_unusable) {
    BOOST_TEST(is_usable("servers/i-1", backend_json));
    BOOST_TEST(!is_usable("servers/i-xyz", backend_json));
    BOOST_TEST(!is_usable("servers/i-1", "\xff\x01 not JSON"));
    BOOST_TEST(!is_usable("servers/i-1", "[]"));
    BOOST_TEST(!is_usable("servers/i-1", R"({"service":"desk","address":"10.0.0.1:80"})"));
    BOOST_TEST(!is_usable("servers/i-1", R"({"service":7,"address":"10.0.0.1:80","state":"ready"})"));
    BOOST_TEST(!is_usable("servers/i-1", R"({"service":"desk","address":"10.0.0.1","state":"ready"})"));
    BOOST_TEST(!is_usable("servers/i-1", R"({"service":"desk","address":"10.0.0.1:80","state":"asleep"})"));
    BOOST_TEST(!is_usable("op/config", R"({"routes":[]})"));
    BOOST_TEST(!is_usable("elsewhere", "{}"));
}

BOOST_AUTO_TEST_CASE(decodes_a_configuration_without_its_invalid_routes) {
    const auto  decoded_record = decode_record("op/config", {1, 9}, R"({"version":7,"routes":[
        {"name":"a","host":"198.18.0.1","prefix":"/8080/","type":"non_idempotent","service":"desk"},
        {"name":"b","host":"198.18.0.1","prefix":"/8443/","type":"idempotent",
         "split":[{"service":"desk","weight":90},{"service":"ledger","weight":10}]},
        {"name":"c","host":"nowhere","prefix":"/8080/","service":"desk"},
        {"name":"d","host":"198.18.0.1","prefix":"/x/","service":"desk"},
        {"name":"e","host":"198.18.0.1","prefix":"/1/"}],
        "limits":{"idle_timeout_ms":12000}})");
    const auto* table = std::get_if<std::shared_ptr<const routing_table>>(&decoded_record.content);
    BOOST_REQUIRE(table != nullptr);
    BOOST_TEST((*table)->version == 7U);
    BOOST_REQUIRE((*table)->routes.size() == 2U);
    BOOST_TEST((*table)->routes[0].address.to_string() == "198.18.0.1:8080");
    BOOST_TEST((*table)->routes[1].services[1].weight == 10U);
    BOOST_TEST(((*table)->routes[1].kind == request_kind::idempotent));
    BOOST_TEST(((*table)->idle_timeout == std::chrono::seconds(12)));
}

// A number that overflows the type it is converted to would end all flows at once, or keep a warming server without
// any.
BOOST_AUTO_TEST_CASE(numbers_of_a_configuration_that_are_too_large_are_limited) {
    const auto  decoded_record = decode_record("op/config", {1, 9}, R"({"version":7,"routes":[
        {"name":"a","host":"198.18.0.1","prefix":"/443/","split":[{"service":"desk","weight":4294967296},
         {"service":"ledger","weight":1}]}],
        "services":[{"name":"desk","warmup_s":10,"warmup_per_s":1e300}],
        "limits":{"idle_timeout_ms":18446744073709551615}})");
    const auto* table = std::get_if<std::shared_ptr<const routing_table>>(&decoded_record.content);
    BOOST_REQUIRE(table != nullptr);
    BOOST_TEST(((*table)->idle_timeout >= std::chrono::hours(1)));
    BOOST_TEST((*table)->routes.at(0).services.at(0).weight == 4'294'967'295U);
    BOOST_TEST((*table)->services.at(0).warmup_requests_per_second <= 1e9);
    BOOST_TEST((*table)->services.at(0).warmup_requests_per_second >= 1e6);
}

BOOST_AUTO_TEST_CASE(decodes_responses_of_the_store) {
    const auto listing = decode_listing(
        R"({"items":[{"key":"my/a","value":"bm9kZS0x","revision":412,"created":412,"lease":0}],"has_more":true,"current_rev":530})");
    BOOST_REQUIRE(listing.has_value());
    BOOST_TEST(listing.value().revision.number == 530U);
    BOOST_TEST(listing.value().has_more);
    BOOST_TEST(listing.value().records.front().raw_value == "node-1");
    const auto changes =
        decode_changes(R"({"events":[{"key":"servers/i-1","revision":413,"tombstone":true}],"current_rev":413})");
    BOOST_REQUIRE(changes.has_value());
    BOOST_TEST(std::holds_alternative<removed_record>(changes.value().records.front().content));
}

BOOST_AUTO_TEST_CASE(feeder_responses_decode_like_store_responses) {
    const feed_answer response{.records = {decode_record("servers/i-7f3a91c2", {1, 3}, backend_json),
                                           make_removed_record("servers/i-1", {1, 4})},
                               .position = 9'000'000'000'000U,
                               .revision = {1, 5}};
    const auto        changes = decode_changes(encode_changes(response));
    BOOST_REQUIRE(changes.has_value());
    BOOST_TEST(changes.value().position == 9'000'000'000'000U);
    BOOST_TEST(changes.value().revision.number == 5U);
    BOOST_REQUIRE(changes.value().records.size() == 2U);
    BOOST_TEST(changes.value().records[0].raw_value == backend_json);
    BOOST_TEST(std::holds_alternative<removed_record>(changes.value().records[1].content));
    BOOST_TEST(decode_listing(encode_listing(response)).has_value());
}

// Guards against exceeding the send limit of control traffic: a configuration of thousands of routes, sent to each
// follower without compression, did so.
BOOST_AUTO_TEST_CASE(large_values_are_sent_compressed) {
    std::string raw = R"({"version":7,"routes":[)";
    for (int route = 0; route < 6'300; ++route) {
        raw += (route == 0 ? "" : ",") + std::string(R"({"name":"route-)") + std::to_string(route) +
               R"(","host":"198.18.)" + std::to_string(route / 250) + "." + std::to_string(route % 250) +
               R"(","prefix":"/443/","type":"idempotent","service":"service-)" + std::to_string(route % 97) + R"("})";
    }
    raw += "]}";
    const feed_answer response{.records = {decode_record("op/config", {1, 3}, raw)}, .position = 9, .revision = {1, 3}};
    const std::string body = encode_changes(response);
    BOOST_TEST(body.size() * 5 < raw.size());
    const auto changes = decode_changes(body);
    BOOST_REQUIRE(changes.has_value());
    BOOST_TEST((changes.value().records[0].raw_value == raw));
    const auto* table = std::get_if<std::shared_ptr<const routing_table>>(&changes.value().records[0].content);
    BOOST_REQUIRE(table != nullptr);
    BOOST_TEST((*table)->routes.size() == 6'300U);
}

// A feeder's response is authenticated, but a feeder of another version may have encoded it: decompression must not
// read past the end of the input or produce output without limit.
BOOST_AUTO_TEST_CASE(decompression_of_corrupt_input_respects_the_size_limit) {
    constexpr std::size_t max_size = 300'000;
    std::string           text;
    for (int i = 0; i < 20'000; ++i)
        text += std::to_string(i * 7);
    const std::string compressed = compress(text);
    BOOST_TEST((decompress(compressed, max_size) == text));
    BOOST_TEST(decompress(compress(""), max_size).value().empty());
    BOOST_TEST(!decompress(compressed, text.size() / 2).has_value());
    BOOST_TEST(!decompress("", max_size).has_value());
    for (std::size_t size = 0; size < compressed.size(); size += 17)
        BOOST_TEST(!decompress(compressed.substr(0, size), max_size).has_value());
    std::mt19937 random(20261204);
    for (int i = 0; i < 2'000; ++i) {
        std::string corrupted = compressed;
        for (int change = 0; change < 3; ++change)
            corrupted[random() % corrupted.size()] = static_cast<char>(random());
        const auto decoded = decompress(corrupted, max_size);
        if (decoded) BOOST_REQUIRE(decoded->size() <= max_size);
    }
}

BOOST_AUTO_TEST_CASE(decodes_requests_of_followers) {
    const auto watch = decode_feed_request("/tamarackshore/kv-watch?prefix=&after=77&wait_ms=1500");
    BOOST_REQUIRE((watch && std::holds_alternative<feed_watch_request>(watch->parameters)));
    BOOST_TEST(std::get<feed_watch_request>(watch->parameters).position == 77U);
    BOOST_TEST((std::get<feed_watch_request>(watch->parameters).wait == std::chrono::milliseconds(1'500)));
    BOOST_TEST(!watch->authentication.has_value());
    BOOST_TEST(decode_feed_request("/tamarackshore/kv-range?prefix=").has_value());
    for (const char* target : {"", "/", "/tamarackshore/kv-watch", "/tamarackshore/kv-watch?after=x&wait_ms=5",
                               "/tamarackshore/kv-watch?after=5&wait_ms=99999999", "/tamarackshore/kv-txn?after=1"})
        BOOST_TEST(!decode_feed_request(target).has_value(), target);
}

BOOST_AUTO_TEST_CASE(requests_and_responses_are_authenticated_with_the_feeder_key) {
    const feed_key    key{{1, 2, 3}};
    const feed_key    other_key{{1, 2, 4}};
    const std::string target = add_request_mac("/tamarackshore/kv-watch?prefix=&after=77&wait_ms=1500", key, 5);
    const auto        request = decode_feed_request(target);
    BOOST_REQUIRE((request && request->authentication));
    BOOST_TEST(request->authentication->nonce == 5U);
    BOOST_TEST(
        verify_mac(request->authentication->mac, key, feed_message::request, 5, request->authentication->covered_text));
    BOOST_TEST(!verify_mac(request->authentication->mac, other_key, feed_message::request, 5,
                           request->authentication->covered_text));
    const std::string response = add_response_mac({std::chrono::milliseconds(1'900), "{}"}, key, 5);
    BOOST_TEST(verify_response(response, key, 5).value().body == "{}");
    BOOST_TEST((verify_response(response, key, 5).value().held == std::chrono::milliseconds(1'900)));
    BOOST_TEST(!verify_response(response, key, 6).has_value()); // a replayed response to another request
    BOOST_TEST(!verify_response(response, other_key, 5).has_value());
    BOOST_TEST(!verify_response("{}", key, 5).has_value());
}

// Any host may connect to a feeder's port or respond in place of a feeder: modified or truncated messages must not be
// accepted.
BOOST_AUTO_TEST_CASE(corrupt_requests_and_responses_fail_authentication) {
    const feed_key    key{{1, 2, 3}};
    const std::string target = add_request_mac("/tamarackshore/kv-watch?prefix=&after=77&wait_ms=1500", key, 5);
    const std::string response =
        add_response_mac({{}, encode_changes({.records = {}, .position = 9, .revision = {1, 9}})}, key, 5);
    std::mt19937 random(20261204);
    const auto   corrupt = [&](const std::string& text) {
        std::string corrupted_text = text.substr(0, random() % 4 == 0 ? random() % text.size() : text.size());
        const int   changes = static_cast<int>(random() % 4) + (corrupted_text.size() == text.size() ? 1 : 0);
        for (int i = 0; i < changes && !corrupted_text.empty(); ++i) {
            char& character = corrupted_text[random() % corrupted_text.size()];
            character = static_cast<char>(character ^ static_cast<char>(1U << random() % 8));
        }
        return corrupted_text;
    };
    for (int i = 0; i < 50'000; ++i) {
        const std::string corrupted_target = corrupt(target);
        const auto        request = decode_feed_request(corrupted_target);
        if (request && request->authentication) {
            const call_authentication& authentication = *request->authentication;
            // Hexadecimal digits may be written in either case.
            const bool                 is_same_text =
                authentication.covered_text == decode_feed_request(target)->authentication->covered_text;
            BOOST_REQUIRE((is_same_text || !verify_mac(authentication.mac, key, feed_message::request,
                                                       authentication.nonce, authentication.covered_text)));
        }
        const std::string corrupted_response = corrupt(response);
        const auto        verified = verify_response(corrupted_response, key, 5);
        if (verified) BOOST_REQUIRE(verified->body == verify_response(response, key, 5)->body);
    }
}

BOOST_AUTO_TEST_CASE(followers_of_a_full_balancer_decode) {
    const std::vector<endpoint> followers{{ip_address::v4(0x0a010001), 7720}, {ip_address::v4(0x0a010002), 7720}};
    BOOST_TEST((decode_followers(encode_followers(followers)).value() == followers));
    BOOST_TEST(decode_followers(encode_followers({})).value().empty());
    for (const char* invalid : {"", "{}", R"({"followers":1})", R"({"followers":[1]})", R"({"followers":["north"]})"})
        BOOST_TEST(!decode_followers(invalid).has_value(), invalid);
}

// Values that are not printable text travel in base64; a listing of a large deployment is compressed as a whole.
BOOST_AUTO_TEST_CASE(listings_of_many_backend_servers_are_sent_compressed) {
    feed_answer response{.position = 9, .revision = {1, 3}, .distance = 2};
    response.records.push_back(decode_record("servers/i-0", {1, 1}, std::string("\x00\xff\n", 3)));
    for (int server = 1; server <= 600; ++server) {
        response.records.push_back(decode_record("servers/i-" + std::to_string(server), {1, 2},
                                                 R"({"service":"desk","address":"10.0.0.1:80","zone":"north",)"
                                                 R"("state":"ready","version":"v)" +
                                                     std::to_string(server) + "\"}"));
    }
    const std::string body = encode_listing(response);
    BOOST_TEST(body.size() < 600U * 20U);
    const auto listing = decode_listing(body);
    BOOST_REQUIRE(listing.has_value());
    BOOST_TEST(listing.value().distance == 2U);
    BOOST_REQUIRE(listing.value().records.size() == 601U);
    for (std::size_t i = 0; i < response.records.size(); ++i)
        BOOST_REQUIRE(listing.value().records[i].raw_value == response.records[i].raw_value);
    for (std::size_t size = 0; size < body.size(); size += 7)
        BOOST_REQUIRE(!decode_listing(body.substr(0, size)).has_value());
    BOOST_TEST(!decode_listing("z" + body).has_value());
}

BOOST_AUTO_TEST_CASE(encodes_a_feeder_claim_with_its_key_lease_and_precondition) {
    const feeder_registration feeder{"one", "north", 1, {ip_address::v4(0x0a010001), 7720}, {{0xab, 1}}};
    const std::string         body = encode_feeder_claim({feeder, 42, 0});
    BOOST_TEST(body.find(R"("expected_rev":[{"key":"tamarack/feeders/north/1","revision":0}])") != std::string::npos);
    BOOST_TEST(body.find(R"("lease":42)") != std::string::npos);
    const std::string replacing_body = encode_feeder_claim({feeder, 42, 7});
    BOOST_TEST(replacing_body.find(R"("expected_rev":[{"key":"tamarack/feeders/north/1","revision":7}])") !=
               std::string::npos);
    BOOST_TEST(decode_granted_lease(R"({"lease":77120,"ttl_ms":3000})").value() == 77120U);
    BOOST_TEST(!decode_granted_lease("{}").has_value());
    BOOST_TEST(encode_lease_request(std::chrono::seconds(6)) == R"({"ttl_ms":6000})");
}

BOOST_AUTO_TEST_CASE(truncated_responses_are_rejected_and_corrupt_ones_give_at_most_one_record) {
    const std::string body =
        R"({"events":[{"key":"servers/i-1","value":"bm9kZS0x","revision":413}],"current_rev":413,"has_more":false})";
    for (std::size_t size = 0; size < body.size(); ++size)
        BOOST_TEST(!decode_changes(body.substr(0, size)).has_value());
    std::mt19937 random(20261204);
    for (int i = 0; i < 100'000; ++i) {
        std::string corrupted = body;
        corrupted[random() % corrupted.size()] = static_cast<char>(random());
        const auto decoded = decode_changes(corrupted);
        if (decoded) BOOST_REQUIRE(decoded.value().records.size() <= 1U);
    }
}

BOOST_AUTO_TEST_CASE(random_packets_decode_only_with_a_matching_length) {
    std::mt19937 random(20261204);
    for (int i = 0; i < 100'000; ++i) {
        std::vector<std::byte> bytes(random() % 80);
        for (std::byte& byte : bytes)
            byte = static_cast<std::byte>(random());
        const auto packet = decode_packet(bytes);
        if (packet) BOOST_REQUIRE(packet.value().payload_size + header_size == bytes.size());
    }
}

// Only the adapter in platform/ knows the platform's names, so entry/ and tamarack/ must not include its headers.
BOOST_AUTO_TEST_CASE(core_code_does_not_include_platform_headers) {
    for (const char* directory : {"entry", "tamarack"}) {
        for (const auto& file : std::filesystem::directory_iterator(std::string(SOURCE_FOLDER) + "/" + directory)) {
            std::ifstream source(file.path());
            std::string   line;
            while (std::getline(source, line))
                BOOST_TEST(!line.starts_with("#include \"platform/"), file.path());
        }
    }
}
