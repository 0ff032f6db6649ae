// Serves a kv_store over HTTP in the format of the store that tamarack-entry uses, with faults that can be switched on
// at any time.
#pragma once

#include "daemons/entry/http_server.h"
#include "platform/feed_format.h"
#include "platform/record_format.h"
#include "standins/kv_store.h"

#include <charconv>
#include <rapidjson/document.h>
#include <sodium.h>

namespace standin {

enum class kv_fault : std::uint8_t {
    none,
    unavailable,  // answers each call with status 503
    rate_limited, // answers each call with status 429
    unresponsive, // accepts calls and never answers them
};

class kv_server {
public:
    using reply = tamarack::entry::http_server::response_callback;

    kv_server(boost::asio::io_context& context, const tamarack::endpoint& listen, kv_store& store,
              const tamarack::clock& time)
        : store_(store), time_(time), server_(tamarack::entry::http_server::open(
                                                  context, listen,
                                                  [this](const tamarack::entry::server_request& call, reply respond) {
                                                      handle_call(call, std::move(respond));
                                                  },
                                                  max_connections, max_body_size)
                                                  .value()) {}

    kv_fault      fault = kv_fault::none;
    bool          loses_write_answers = false; // executes writes, but never answers them
    bool          withholds_events = false;    // answers no watch while set
    std::uint64_t call_count() const { return call_count_; }

    // Expires leases, and answers the watches for which a change has arrived or whose deadline has passed.
    void poll() {
        store_.expire_leases(time_.steady_now());
        if (withholds_events || fault == kv_fault::unresponsive) return;
        std::vector<waiting_watch> still_waiting;
        for (waiting_watch& watch : std::exchange(waiting_watches_, {})) {
            if (fault != kv_fault::none || store_.revision() != watch.after_revision ||
                time_.steady_now() >= watch.deadline) {
                answer_watch(watch.after_revision, watch.respond);
            } else {
                still_waiting.push_back(std::move(watch));
            }
        }
        waiting_watches_ = std::move(still_waiting);
    }

private:
    static constexpr std::size_t max_connections = 4'096;
    static constexpr std::size_t max_body_size = 2'097'152; // bytes; one value of 1 MB as base64

    struct waiting_watch {
        std::uint64_t after_revision = 0; // the watch waits for a later revision
        steady_time   deadline{};
        reply         respond;
    };

    void handle_call(const tamarack::entry::server_request& call, reply respond_without_epoch) {
        ++call_count_;
        reply respond = [this, send = std::move(respond_without_epoch)](tamarack::entry::server_response response) {
            response.headers["Store-Era"] = std::to_string(store_.epoch());
            send(std::move(response));
        };
        if (fault == kv_fault::unresponsive) return void(unanswered_calls_.push_back(std::move(respond)));
        if (fault == kv_fault::unavailable) return respond({.status = 503, .body = {}});
        if (fault == kv_fault::rate_limited) return respond({.status = 429, .body = {}});
        const auto feed_call = tamarack::platform::decode_feed_request(call.target);
        if (!feed_call) return handle_write(call, respond);
        if (std::holds_alternative<tamarack::platform::feed_list_request>(feed_call->parameters)) {
            const auto prefix = tamarack::platform::query_parameter(call.target, "prefix");
            return respond(listing(decode_percent(prefix.value_or(std::string_view{}))));
        }
        const auto* watch = std::get_if<tamarack::platform::feed_watch_request>(&feed_call->parameters);
        if (watch == nullptr) return respond({.status = 404, .body = {}}); // a call that only feeders answer
        if (store_.revision() != watch->position && !withholds_events) return answer_watch(watch->position, respond);
        waiting_watches_.push_back({watch->position, time_.steady_now() + watch->wait, std::move(respond)});
    }

    static std::string decode_percent(std::string_view text) {
        std::string decoded;
        for (std::size_t i = 0; i < text.size(); ++i) {
            unsigned byte = static_cast<unsigned char>(text[i]);
            if (text[i] == '%' && i + 2 < text.size()) {
                std::from_chars(text.data() + i + 1, text.data() + i + 3, byte, 16);
                i += 2;
            }
            decoded += static_cast<char>(byte);
        }
        return decoded;
    }

    // The store sends each value as it was written; a balancer does not keep some of them.
    tamarack::entry::record stored_record(const std::string& key, std::uint64_t revision,
                                          const std::string& value) const {
        auto stored = tamarack::platform::decode_record(key, {store_.epoch(), revision}, value);
        stored.raw_value = value;
        return stored;
    }

    tamarack::entry::server_response listing(std::string_view prefix) const {
        tamarack::entry::feed_answer answer{.records = {},
                                            .position = store_.revision(),
                                            .revision = {store_.epoch(), store_.revision()},
                                            .listed_revision = {store_.epoch(), store_.revision()}};
        for (const auto& [key, item] : store_.items()) {
            if (!key.starts_with(prefix)) continue;
            answer.records.push_back(stored_record(key, item.revision, item.value));
        }
        return {.body = tamarack::platform::encode_listing(answer), .content_type = "application/json"};
    }

    void answer_watch(std::uint64_t after_revision, const reply& respond) const {
        if (fault != kv_fault::none) return respond({.status = 503, .body = {}});
        const auto events = store_.events_after(after_revision);
        if (!events) return respond({.status = 410, .body = {}});
        tamarack::entry::feed_answer answer{.records = {},
                                            .position = store_.revision(),
                                            .revision = {store_.epoch(), store_.revision()},
                                            .listed_revision = {store_.epoch(), store_.revision()}};
        for (const kv_store::event& event : *events) {
            answer.records.push_back(
                event.value ? stored_record(event.key, event.revision, *event.value)
                            : tamarack::platform::make_removed_record(event.key, {store_.epoch(), event.revision}));
        }
        respond({.body = tamarack::platform::encode_changes(answer), .content_type = "application/json"});
    }

    void handle_write(const tamarack::entry::server_request& call, reply& respond) {
        const unsigned status = execute_write(call);
        if (loses_write_answers) return void(unanswered_calls_.push_back(std::move(respond)));
        const std::string body = "{\"revision\":" + std::to_string(store_.revision()) +
                                 ",\"lease\":" + std::to_string(last_granted_lease_) + ",\"ttl_ms\":6000}";
        respond({.status = status, .body = body, .content_type = "application/json"});
    }

    unsigned execute_write(const tamarack::entry::server_request& call) {
        const std::size_t slash = call.target.rfind('/');
        std::uint64_t     lease_in_target = 0;
        std::from_chars(call.target.data() + slash + 1, call.target.data() + call.target.size(), lease_in_target);
        if (call.target.find("kv-keep/") != std::string_view::npos)
            return store_.renew_lease(lease_in_target, time_.steady_now()) ? 200 : 404;
        if (call.target.find("kv-lease-end/") != std::string_view::npos)
            return store_.end_lease(lease_in_target) ? 200 : 404;
        rapidjson::Document body;
        body.Parse(call.body.data(), call.body.size());
        if (body.HasParseError()) return 400;
        if (call.target.ends_with("kv-lease")) {
            last_granted_lease_ =
                store_.grant_lease(std::chrono::milliseconds(body["ttl_ms"].GetInt64()), time_.steady_now());
            return 200;
        }
        const auto&       put = body["puts"][0];
        const std::string encoded_value = put["value"].GetString();
        std::string       value(encoded_value.size(), '\0');
        std::size_t       decoded_size = 0;
        sodium_base642bin(reinterpret_cast<unsigned char*>(value.data()), value.size(), encoded_value.data(),
                          encoded_value.size(), nullptr, &decoded_size, nullptr, sodium_base64_VARIANT_ORIGINAL);
        value.resize(decoded_size);
        const auto lease = put["lease"].GetUint64();
        if (!store_.has_lease(lease)) return 404;
        const auto expected_revision = body["expected_rev"][0]["revision"].GetUint64();
        return store_.put_if_revision(put["key"].GetString(), expected_revision, value, lease) ? 200 : 412;
    }

    kv_store&                    store_;
    const tamarack::clock&       time_;
    std::vector<waiting_watch>   waiting_watches_;
    std::vector<reply>           unanswered_calls_; // kept, so that their connections stay open
    std::uint64_t                last_granted_lease_ = 0;
    std::uint64_t                call_count_ = 0;
    tamarack::entry::http_server server_;
};

} // namespace standin
