// Wire forms of the users' platform: packets, deliveries, resets, records and answers of the store.
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

// The example of the platform's page: a SYN from 100.64.0.7:40001 to 198.18.0.1:443.
const auto example_syn = from_hex("11 22 33 44 00 00 00 00 00 00 00 00 9c 41 64 40 00 07 01 bb c6 12 00 01 a1 b2 c3 d5 "
                                  "00 00 80 00 00 00 00 00 ");
const auto example_reset =
    from_hex("00 00 00 00 00 00 00 00 00 00 00 00 01 bb c6 12 00 01 9c 41 64 40 00 07 00 00 00 00 "
             "00 00 08 00 00 00 00 00 ");

const char* const good_backend =
    R"({"service":"desk","address":"10.128.0.9:8080","zone":"north","version":"v1",)"
    R"("capacity":2,"state":"ready","warmup_left_ms":1500,"sequence":4,"born":1700000000000})";

bool usable(const std::string& key, const std::string& value) {
    return !std::holds_alternative<unusable_record>(decode_record(key, 1, value).content);
}

} // namespace

BOOST_AUTO_TEST_CASE(the_example_packet_is_read) {
    const auto packet = decode_packet(example_syn);
    BOOST_REQUIRE(packet.has_value());
    BOOST_TEST(packet.value().source.to_string() == "100.64.0.7:40001");
    BOOST_TEST(packet.value().destination.to_string() == "198.18.0.1:443");
    BOOST_TEST(packet.value().sequence == 0x11223344U);
    BOOST_TEST(packet.value().syn);
    BOOST_TEST(!packet.value().ack);
}

BOOST_AUTO_TEST_CASE(the_example_reset_is_written) {
    const auto reset = reset_for(decode_packet(example_syn).value());
    BOOST_TEST(std::ranges::equal(reset, example_reset));
}

BOOST_AUTO_TEST_CASE(a_delivery_changes_only_the_reference) {
    const auto head = delivery_head(example_syn, 0x7f3a91c2, 0xaabbccdd);
    BOOST_TEST(std::ranges::equal(std::span(head).first(8), from_hex("00 00 00 00 7f 3a 91 c2 ")));
    auto       expected = example_syn;
    const auto reference = from_hex("aa bb cc dd ");
    std::ranges::copy(reference, expected.begin() + 8);
    BOOST_TEST(std::ranges::equal(std::span(head).subspan(8), expected));
}

BOOST_AUTO_TEST_CASE(malformed_packets_are_refused) {
    BOOST_TEST((decode_packet(std::span(example_syn).first(35)).error() == packet_error::too_short));
    auto longer = example_syn;
    longer.push_back(std::byte{1});
    BOOST_TEST((decode_packet(longer).error() == packet_error::length_differs));
    longer.resize(head_size + max_payload + 1);
    BOOST_TEST((decode_packet(longer).error() == packet_error::too_long));
}

BOOST_AUTO_TEST_CASE(the_id_of_a_request_is_found_in_its_first_packet_only) {
    const auto id_of = [](std::string_view text) { return request_id(std::as_bytes(std::span(text))); };
    BOOST_TEST(id_of("GET / HTTP/1.1\r\nHost: a\r\nAttempt-Id: 3565092b3dafd36b\r\n\r\n") == "3565092b3dafd36b");
    BOOST_TEST(id_of("POST /x HTTP/1.1\r\nAttempt-Id: 7\r\n") == "7");
    BOOST_TEST(id_of("part of a body\r\nAttempt-Id: 7\r\n").empty());
    BOOST_TEST(id_of("GET / HTTP/1.1\r\nAttempt-Id: cut").empty());
    BOOST_TEST(id_of("GET / HTTP/1.1\r\nAttempt-Id: " + std::string(65, 'x') + "\r\n").empty());
    BOOST_TEST(id_of("").empty());
}

BOOST_AUTO_TEST_CASE(a_registration_is_read) {
    const auto  item = decode_record("servers/i-7f3a91c2", 3, good_backend);
    const auto* registration = std::get_if<backend_registration>(&item.content);
    BOOST_REQUIRE(registration != nullptr);
    BOOST_TEST(registration->identity == 0x7f3a91c2U);
    BOOST_TEST(registration->service == "desk");
    BOOST_TEST(registration->address.to_string() == "10.128.0.9:8080");
    BOOST_TEST(registration->slots == 2U);
    BOOST_TEST((registration->state == backend_state::active));
    BOOST_TEST((registration->warmup_remaining == std::chrono::milliseconds(1'500)));
    BOOST_TEST(registration->started_unix_ms == 1'700'000'000'000);
}

// Other programs may write below the same prefix; their entries name nothing to use.
BOOST_AUTO_TEST_CASE(entries_of_other_writers_are_unusable) {
    BOOST_TEST(usable("servers/i-1", good_backend));
    BOOST_TEST(!usable("servers/i-xyz", good_backend));
    BOOST_TEST(!usable("servers/i-1", "\xff\x01 not JSON"));
    BOOST_TEST(!usable("servers/i-1", "[]"));
    BOOST_TEST(!usable("servers/i-1", R"({"service":"desk","address":"10.0.0.1:80"})"));
    BOOST_TEST(!usable("servers/i-1", R"({"service":7,"address":"10.0.0.1:80","state":"ready"})"));
    BOOST_TEST(!usable("servers/i-1", R"({"service":"desk","address":"10.0.0.1","state":"ready"})"));
    BOOST_TEST(!usable("servers/i-1", R"({"service":"desk","address":"10.0.0.1:80","state":"asleep"})"));
    BOOST_TEST(!usable("op/config", R"({"routes":[]})"));
    BOOST_TEST(!usable("elsewhere", "{}"));
}

BOOST_AUTO_TEST_CASE(a_configuration_is_read_and_bad_routes_are_left_out) {
    const auto  item = decode_record("op/config", 9, R"({"version":7,"routes":[
        {"name":"a","host":"198.18.0.1","prefix":"/8080/","type":"non_idempotent","service":"desk"},
        {"name":"b","host":"198.18.0.1","prefix":"/8443/","type":"idempotent",
         "split":[{"service":"desk","weight":90},{"service":"ledger","weight":10}]},
        {"name":"c","host":"nowhere","prefix":"/8080/","service":"desk"},
        {"name":"d","host":"198.18.0.1","prefix":"/x/","service":"desk"},
        {"name":"e","host":"198.18.0.1","prefix":"/1/"}],
        "limits":{"idle_timeout_ms":12000}})");
    const auto* table = std::get_if<std::shared_ptr<const routing_table>>(&item.content);
    BOOST_REQUIRE(table != nullptr);
    BOOST_TEST((*table)->version == 7U);
    BOOST_REQUIRE((*table)->routes.size() == 2U);
    BOOST_TEST((*table)->routes[0].address.to_string() == "198.18.0.1:8080");
    BOOST_TEST((*table)->routes[1].services[1].weight == 10U);
    BOOST_TEST(((*table)->routes[1].kind == request_kind::idempotent));
    BOOST_TEST(((*table)->idle_timeout == std::chrono::seconds(12)));
}

BOOST_AUTO_TEST_CASE(answers_of_the_store_are_read) {
    const auto listing = decode_listing(
        R"({"items":[{"key":"my/a","value":"bm9kZS0x","revision":412,"created":412,"lease":0}],"has_more":true,"current_rev":530})");
    BOOST_REQUIRE(listing.has_value());
    BOOST_TEST(listing.value().revision == 530U);
    BOOST_TEST(listing.value().has_more);
    BOOST_TEST(listing.value().records.front().raw_value == "node-1");
    const auto changes =
        decode_changes(R"({"events":[{"key":"servers/i-1","revision":413,"tombstone":true}],"current_rev":413})");
    BOOST_REQUIRE(changes.has_value());
    BOOST_TEST(std::holds_alternative<removed_record>(changes.value().records.front().content));
}

BOOST_AUTO_TEST_CASE(a_feeders_answer_is_read_as_the_stores) {
    const feed_answer answer{
        .records = {decode_record("servers/i-7f3a91c2", 3, good_backend), removed_key("servers/i-1", 4)},
        .position = 9'000'000'000'000U,
        .revision = 5};
    const auto changes = decode_changes(encode_changes(answer));
    BOOST_REQUIRE(changes.has_value());
    BOOST_TEST(changes.value().position == 9'000'000'000'000U);
    BOOST_TEST(changes.value().revision == 5U);
    BOOST_REQUIRE(changes.value().records.size() == 2U);
    BOOST_TEST(changes.value().records[0].raw_value == good_backend);
    BOOST_TEST(std::holds_alternative<removed_record>(changes.value().records[1].content));
    BOOST_TEST(decode_listing(encode_listing(answer)).has_value());
}

// A configuration of thousands of routes to each follower exceeded what control may send.
BOOST_AUTO_TEST_CASE(a_large_value_travels_compressed) {
    std::string raw = R"({"version":7,"routes":[)";
    for (int route = 0; route < 6'300; ++route) {
        raw += (route == 0 ? "" : ",") + std::string(R"({"name":"route-)") + std::to_string(route) +
               R"(","host":"198.18.)" + std::to_string(route / 250) + "." + std::to_string(route % 250) +
               R"(","prefix":"/443/","type":"idempotent","service":"service-)" + std::to_string(route % 97) + R"("})";
    }
    raw += "]}";
    const feed_answer answer{.records = {decode_record("op/config", 3, raw)}, .position = 9, .revision = 3};
    const std::string body = encode_changes(answer);
    BOOST_TEST(body.size() * 5 < raw.size());
    const auto changes = decode_changes(body);
    BOOST_REQUIRE(changes.has_value());
    BOOST_TEST((changes.value().records[0].raw_value == raw));
    const auto* table = std::get_if<std::shared_ptr<const routing_table>>(&changes.value().records[0].content);
    BOOST_REQUIRE(table != nullptr);
    BOOST_TEST((*table)->routes.size() == 6'300U);
}

// A feeder's answer is proved, but its bytes may come from another version: they must not be read past their end, nor
// grow without limit.
BOOST_AUTO_TEST_CASE(cut_altered_and_endless_compressed_values_are_refused_or_read_without_harm) {
    constexpr std::size_t longest = 300'000;
    std::string           text;
    for (int i = 0; i < 20'000; ++i)
        text += std::to_string(i * 7);
    const std::string packed = compress(text);
    BOOST_TEST((decompress(packed, longest) == text));
    BOOST_TEST(decompress(compress(""), longest).value().empty());
    BOOST_TEST(!decompress(packed, text.size() / 2).has_value());
    BOOST_TEST(!decompress("", longest).has_value());
    for (std::size_t size = 0; size < packed.size(); size += 17)
        BOOST_TEST(!decompress(packed.substr(0, size), longest).has_value());
    std::mt19937 random(20261204);
    for (int i = 0; i < 2'000; ++i) {
        std::string altered = packed;
        for (int change = 0; change < 3; ++change)
            altered[random() % altered.size()] = static_cast<char>(random());
        const auto read = decompress(altered, longest);
        if (read) BOOST_REQUIRE(read->size() <= longest);
    }
}

BOOST_AUTO_TEST_CASE(calls_of_followers_are_read) {
    const auto watch = decode_feed_call("/tamarackshore/kv-watch?prefix=&after=77&wait_ms=1500");
    BOOST_REQUIRE((watch && std::holds_alternative<feed_watch_request>(watch->request)));
    BOOST_TEST(std::get<feed_watch_request>(watch->request).position == 77U);
    BOOST_TEST((std::get<feed_watch_request>(watch->request).wait == std::chrono::milliseconds(1'500)));
    BOOST_TEST(!watch->proof.has_value());
    BOOST_TEST(decode_feed_call("/tamarackshore/kv-range?prefix=").has_value());
    for (const char* target : {"", "/", "/tamarackshore/kv-watch", "/tamarackshore/kv-watch?after=x&wait_ms=5",
                               "/tamarackshore/kv-watch?after=5&wait_ms=99999999", "/tamarackshore/kv-txn?after=1"})
        BOOST_TEST(!decode_feed_call(target).has_value(), target);
}

BOOST_AUTO_TEST_CASE(a_follower_proves_its_call_and_a_feeder_its_answer) {
    const feed_key    key{{1, 2, 3}};
    const feed_key    other{{1, 2, 4}};
    const std::string target = prove_request("/tamarackshore/kv-watch?prefix=&after=77&wait_ms=1500", key, 5);
    const auto        call = decode_feed_call(target);
    BOOST_REQUIRE((call && call->proof));
    BOOST_TEST(call->proof->nonce == 5U);
    BOOST_TEST(verify_mac(call->proof->mac, key, feed_message::request, 5, call->proof->covered_text));
    BOOST_TEST(!verify_mac(call->proof->mac, other, feed_message::request, 5, call->proof->covered_text));
    const std::string answer = prove_answer("{}", key, 5);
    BOOST_TEST(open_answer(answer, key, 5).value() == "{}");
    BOOST_TEST(!open_answer(answer, key, 6).has_value()); // an answer to another call, sent again
    BOOST_TEST(!open_answer(answer, other, 5).has_value());
    BOOST_TEST(!open_answer("{}", key, 5).has_value());
}

// Any host may connect to a feeder's port, and answer in place of one: what is altered or cut must not be taken.
BOOST_AUTO_TEST_CASE(altered_calls_and_answers_are_never_proved) {
    const feed_key    key{{1, 2, 3}};
    const std::string target = prove_request("/tamarackshore/kv-watch?prefix=&after=77&wait_ms=1500", key, 5);
    const std::string answer = prove_answer(encode_changes({.records = {}, .position = 9, .revision = 9}), key, 5);
    std::mt19937      random(20261204);
    const auto        altered = [&](const std::string& text) {
        std::string other = text.substr(0, random() % 4 == 0 ? random() % text.size() : text.size());
        const int   changes = static_cast<int>(random() % 4) + (other.size() == text.size() ? 1 : 0);
        for (int i = 0; i < changes && !other.empty(); ++i) {
            char& each = other[random() % other.size()];
            each = static_cast<char>(each ^ static_cast<char>(1U << random() % 8));
        }
        return other;
    };
    for (int i = 0; i < 50'000; ++i) {
        const std::string other_target = altered(target);
        const auto        call = decode_feed_call(other_target);
        if (call && call->proof) {
            const call_authentication& proof = *call->proof;
            // Hexadecimal digits may be written in either case.
            const bool                 same = proof.covered_text == decode_feed_call(target)->proof->covered_text;
            BOOST_REQUIRE(
                (same || !verify_mac(proof.mac, key, feed_message::request, proof.nonce, proof.covered_text)));
        }
        const std::string other_answer = altered(answer);
        const auto        body = open_answer(other_answer, key, 5);
        if (body) BOOST_REQUIRE(*body == *open_answer(answer, key, 5));
    }
}

BOOST_AUTO_TEST_CASE(a_claim_names_its_key_lease_and_condition) {
    const feeder_registration feeder{"one", "north", 1, {ip_address::v4(0x0a010001), 7720}, {{0xab, 1}}};
    const std::string         body = encode_feeder_claim(feeder, 42);
    BOOST_TEST(body.find(R"("expected_rev":[{"key":"tamarack/feeders/north/1","revision":0}])") != std::string::npos);
    BOOST_TEST(body.find(R"("lease":42)") != std::string::npos);
    BOOST_TEST(decode_lease(R"({"lease":77120,"ttl_ms":3000})").value() == 77120U);
    BOOST_TEST(!decode_lease("{}").has_value());
    BOOST_TEST(encode_lease_request(std::chrono::seconds(6)) == R"({"ttl_ms":6000})");
}

BOOST_AUTO_TEST_CASE(answers_that_are_cut_or_altered_are_refused_or_read_without_harm) {
    const std::string body =
        R"({"events":[{"key":"servers/i-1","value":"bm9kZS0x","revision":413}],"current_rev":413,"has_more":false})";
    for (std::size_t size = 0; size < body.size(); ++size)
        BOOST_TEST(!decode_changes(body.substr(0, size)).has_value());
    std::mt19937 random(20261204);
    for (int i = 0; i < 100'000; ++i) {
        std::string altered = body;
        altered[random() % altered.size()] = static_cast<char>(random());
        const auto read = decode_changes(altered);
        if (read) BOOST_REQUIRE(read.value().records.size() <= 1U);
    }
}

BOOST_AUTO_TEST_CASE(random_packets_are_read_without_harm) {
    std::mt19937 random(20261204);
    for (int i = 0; i < 100'000; ++i) {
        std::vector<std::byte> bytes(random() % 80);
        for (std::byte& each : bytes)
            each = static_cast<std::byte>(random());
        const auto packet = decode_packet(bytes);
        if (packet) BOOST_REQUIRE(packet.value().payload_size + head_size == bytes.size());
    }
}

// Only the adapter knows the platform's names: the dependency goes one way.
BOOST_AUTO_TEST_CASE(the_library_does_not_depend_on_the_adapter) {
    for (const char* folder : {"entry", "tamarack"}) {
        for (const auto& file : std::filesystem::directory_iterator(std::string(SOURCE_FOLDER) + "/" + folder)) {
            std::ifstream source(file.path());
            std::string   line;
            while (std::getline(source, line))
                BOOST_TEST(!line.starts_with("#include \"platform/"), file.path());
        }
    }
}
