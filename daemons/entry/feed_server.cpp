// Followers' calls.
#include "daemons/entry/feed_server.h"

#include "platform/http_status.h"
#include "platform/record_format.h"

namespace tamarack::entry {

namespace {

std::string changes(const feed_answer& answer) {
    return answer.status == feed_status::ok ? platform::encode_changes(answer) : std::string();
}

std::string listing(const feed_answer& answer) {
    return answer.status == feed_status::ok ? platform::encode_listing(answer) : std::string();
}

} // namespace

void feed_server::follower::answer(unsigned status, std::string body) const {
    if (key && !body.empty()) body = platform::prove_answer(body, *key, number);
    respond({.status = status, .body = std::move(body), .content_type = "application/json"});
}

bool feed_server::handle(std::string_view target, bool is_current, steady_time now, http_responder::reply respond) {
    const auto call = platform::decode_feed_call(target);
    if (!call) {
        respond({.status = platform::status_not_found, .body = "no such call\n"});
        return true;
    }
    const auto     key = call->proof ? feed_.authenticated_key(*call->proof) : std::nullopt;
    const follower caller{std::move(respond), key, call->proof ? call->proof->nonce : 0};
    const bool     lists = std::holds_alternative<platform::feed_list_request>(call->request);
    if (!key && (call->proof || !lists)) {
        caller.answer(platform::status_of(feed_status::rejected), {});
        return false;
    }
    std::visit([&](const auto& request) { serve(request, caller, is_current, now); }, call->request);
    return true;
}

void feed_server::serve(const platform::feed_list_request& /*request*/, const follower& caller, bool /*is_current*/,
                        steady_time now) {
    const feed_answer answer = caller.key ? feed_.list(now) : feed_.list_unauthenticated(now);
    caller.answer(platform::status_of(answer.status), listing(answer));
}

void feed_server::serve(const platform::feed_resume_request& request, const follower& caller, bool is_current,
                        steady_time now) {
    const feed_answer answer = feed_.resume(request.revision, is_current, now);
    caller.answer(platform::status_of(answer.status), changes(answer));
}

void feed_server::serve(const platform::feed_watch_request& request, const follower& caller, bool is_current,
                        steady_time now) {
    const auto number = ++last_call_;
    const auto answer = feed_.watch(number, request.position, request.wait, is_current, now);
    if (answer) return caller.answer(platform::status_of(answer->status), changes(*answer));
    waiting_[number] = caller;
}

void feed_server::poll(bool is_current, steady_time now) {
    for (const feed::due_answer& due : feed_.poll(is_current, now)) {
        const std::string body = changes(due.answer);
        for (const std::uint64_t call : due.calls) {
            const auto found = waiting_.find(call);
            if (found == waiting_.end()) continue;
            const follower caller = std::move(found->second);
            waiting_.erase(found);
            caller.answer(platform::status_of(due.answer.status), body);
        }
    }
}

} // namespace tamarack::entry
