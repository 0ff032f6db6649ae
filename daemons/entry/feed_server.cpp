// Followers' calls.
#include "daemons/entry/feed_server.h"

#include "platform/feed_format.h"
#include "platform/record_format.h"

namespace tamarack::entry {

namespace {

constexpr unsigned status_not_found = 404;

http_answer changes(const feed_answer& answer) {
    if (answer.status != feed_status::ok) return {.status = platform::status_of(answer.status), .body = {}};
    return {.body = platform::encode_changes(answer), .content_type = "application/json"};
}

http_answer listing(const feed_answer& answer) {
    if (answer.status != feed_status::ok) return {.status = platform::status_of(answer.status), .body = {}};
    return {.body = platform::encode_listing(answer), .content_type = "application/json"};
}

} // namespace

void feed_server::handle(std::string_view target, bool is_current, steady_time now, http_responder::reply respond) {
    const auto request = platform::decode_feed_request(target);
    if (!request) return respond({.status = status_not_found, .body = "no such call\n"});
    if (std::holds_alternative<platform::feed_list_request>(*request)) return respond(listing(feed_.list(now)));
    const auto& watch = std::get<platform::feed_watch_request>(*request);
    const auto  call = ++last_call_;
    const auto  answer = feed_.watch(call, watch.position, watch.wait, is_current, now);
    if (answer) return respond(changes(*answer));
    waiting_[call] = std::move(respond);
}

void feed_server::poll(bool is_current, steady_time now) {
    for (const feed::due_answer& due : feed_.poll(is_current, now)) {
        const auto found = waiting_.find(due.call);
        if (found == waiting_.end()) continue;
        const auto respond = std::move(found->second);
        waiting_.erase(found);
        respond(changes(due.answer));
    }
}

} // namespace tamarack::entry
