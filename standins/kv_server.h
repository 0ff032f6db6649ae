// Serves the stand-in of the users' store over HTTP, with faults that can be switched on at any time.
#pragma once

#include "daemons/entry/http_server.h"
#include "platform/feed_format.h"
#include "platform/record_format.h"
#include "standins/kv_store.h"

#include <charconv>
#include <rapidjson/document.h>
#include <sodium.h>

namespace standin {

enum class kv_fault : std::uint8_t { none, busy, over_rate, silent };

class kv_server {
public:
    using reply = tamarack::entry::http_server::response_callback;

    kv_server(boost::asio::io_context& context, const tamarack::endpoint& listen, kv_store& store,
              const tamarack::clock& time)
        : store_(store), time_(time), server_(tamarack::entry::http_server::open(
                                                  context, listen,
                                                  [this](const tamarack::entry::server_request& call, reply respond) {
                                                      handle(call, std::move(respond));
                                                  },
                                                  max_connections)
                                                  .value()) {}

    kv_fault      fault = kv_fault::none;
    bool          lose_write_answers = false; // the write is done, its answer never comes
    bool          hold_events = false;        // watches hear nothing
    std::uint64_t calls() const { return calls_; }

    // Answers the watches that have something to say or have waited long enough.
    void poll() {
        store_.expire(time_.steady_now());
        if (hold_events || fault == kv_fault::silent) return;
        std::vector<waiting> rest;
        for (waiting& each : std::exchange(waiting_, {})) {
            if (fault != kv_fault::none || store_.revision() > each.after || time_.steady_now() >= each.until) {
                answer_watch(each.after, each.respond);
            } else {
                rest.push_back(std::move(each));
            }
        }
        waiting_ = std::move(rest);
    }

private:
    static constexpr std::size_t max_connections = 4'096;

    struct waiting {
        std::uint64_t after = 0;
        steady_time   until{};
        reply         respond;
    };

    void handle(const tamarack::entry::server_request& call, reply respond) {
        ++calls_;
        if (fault == kv_fault::silent) return void(unanswered_.push_back(std::move(respond)));
        if (fault == kv_fault::busy) return respond({.status = 503, .body = {}});
        if (fault == kv_fault::over_rate) return respond({.status = 429, .body = {}});
        const auto read = tamarack::platform::decode_feed_request(call.target);
        if (!read) return write(call, respond);
        if (std::holds_alternative<tamarack::platform::feed_list_request>(read->parameters)) return respond(listing());
        const auto* watch = std::get_if<tamarack::platform::feed_watch_request>(&read->parameters);
        if (watch == nullptr) return respond({.status = 404, .body = {}}); // a call for feeders
        if (store_.revision() > watch->position && !hold_events) return answer_watch(watch->position, respond);
        waiting_.push_back({watch->position, time_.steady_now() + watch->wait, std::move(respond)});
    }

    tamarack::entry::server_response listing() const {
        tamarack::entry::feed_answer answer{
            .records = {}, .position = store_.revision(), .revision = store_.revision()};
        for (const auto& [key, item] : store_.items())
            answer.records.push_back(tamarack::platform::decode_record(key, item.revision, item.value));
        return {.body = tamarack::platform::encode_listing(answer), .content_type = "application/json"};
    }

    void answer_watch(std::uint64_t after, const reply& respond) const {
        if (fault != kv_fault::none) return respond({.status = 503, .body = {}});
        const auto events = store_.events_after(after);
        if (!events) return respond({.status = 410, .body = {}});
        tamarack::entry::feed_answer answer{
            .records = {}, .position = store_.revision(), .revision = store_.revision()};
        for (const kv_store::event& each : *events) {
            answer.records.push_back(each.value
                                         ? tamarack::platform::decode_record(each.key, each.revision, *each.value)
                                         : tamarack::platform::make_removed_record(each.key, each.revision));
        }
        respond({.body = tamarack::platform::encode_changes(answer), .content_type = "application/json"});
    }

    void write(const tamarack::entry::server_request& call, reply& respond) {
        const unsigned status = execute(call);
        if (lose_write_answers) return void(unanswered_.push_back(std::move(respond)));
        const std::string body = "{\"revision\":" + std::to_string(store_.revision()) +
                                 ",\"lease\":" + std::to_string(granted_) + ",\"ttl_ms\":6000}";
        respond({.status = status, .body = body, .content_type = "application/json"});
    }

    unsigned execute(const tamarack::entry::server_request& call) {
        const std::size_t slash = call.target.rfind('/');
        std::uint64_t     lease = 0;
        std::from_chars(call.target.data() + slash + 1, call.target.data() + call.target.size(), lease);
        if (call.target.find("kv-keep/") != std::string_view::npos)
            return store_.renew(lease, time_.steady_now()) ? 200 : 404;
        if (call.target.find("kv-lease-end/") != std::string_view::npos) return store_.end_lease(lease) ? 200 : 404;
        rapidjson::Document body;
        body.Parse(call.body.data(), call.body.size());
        if (body.HasParseError()) return 400;
        if (call.target.ends_with("kv-lease")) {
            granted_ = store_.grant(std::chrono::milliseconds(body["ttl_ms"].GetInt64()), time_.steady_now());
            return 200;
        }
        const auto&       put = body["puts"][0];
        const std::string text = put["value"].GetString();
        std::string       value(text.size(), '\0');
        std::size_t       size = 0;
        sodium_base642bin(reinterpret_cast<unsigned char*>(value.data()), value.size(), text.data(), text.size(),
                          nullptr, &size, nullptr, sodium_base64_VARIANT_ORIGINAL);
        value.resize(size);
        const auto owner = put["lease"].GetUint64();
        if (!store_.has_lease(owner)) return 404;
        const auto expected = body["expected_rev"][0]["revision"].GetUint64();
        return store_.put_if(put["key"].GetString(), expected, value, owner) ? 200 : 412;
    }

    kv_store&                    store_;
    const tamarack::clock&       time_;
    std::vector<waiting>         waiting_;
    std::vector<reply>           unanswered_; // never answered; their connections stay open
    std::uint64_t                granted_ = 0;
    std::uint64_t                calls_ = 0;
    tamarack::entry::http_server server_;
};

} // namespace standin
