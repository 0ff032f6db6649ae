// Decodes followers' requests and encodes the responses.
#include "daemons/entry/feed_server.h"

#include "platform/http_status.h"
#include "platform/record_format.h"

namespace tamarack::entry {

namespace {

std::string changes_body(const feed_answer& answer) {
    return answer.status == feed_status::ok ? platform::encode_changes(answer) : std::string();
}

std::string listing_body(const feed_answer& answer) {
    return answer.status == feed_status::ok ? platform::encode_listing(answer) : std::string();
}

} // namespace

void feed_server::pending_request::send(unsigned status, std::string body) const {
    if (key && !body.empty()) body = platform::add_response_mac(body, *key, nonce);
    respond({.status = status, .body = std::move(body), .content_type = "application/json"});
}

bool feed_server::handle(std::string_view target, bool is_current, steady_time now,
                         http_server::response_callback respond) {
    const auto decoded = platform::decode_feed_request(target);
    if (!decoded) {
        respond({.status = platform::status_not_found, .body = "no such call\n"});
        return true;
    }
    const auto key = decoded->authentication ? feed_.authenticated_key(*decoded->authentication) : std::nullopt;
    const pending_request request{std::move(respond), key,
                                  decoded->authentication ? decoded->authentication->nonce : 0};
    const bool            is_list = std::holds_alternative<platform::feed_list_request>(decoded->parameters);
    // Without a key only a listing is served, and only if the request carries no authentication that failed.
    if (!key && (decoded->authentication || !is_list)) {
        request.send(platform::http_status_of(feed_status::rejected), {});
        return false;
    }
    std::visit([&](const auto& parameters) { serve(parameters, request, is_current, now); }, decoded->parameters);
    return true;
}

void feed_server::serve(const platform::feed_list_request& /*list*/, const pending_request& request,
                        bool /*is_current*/, steady_time                                    now) {
    const feed_answer answer = request.key ? feed_.list(now) : feed_.list_unauthenticated(now);
    request.send(platform::http_status_of(answer.status), listing_body(answer));
}

void feed_server::serve(const platform::feed_resume_request& resume, const pending_request& request, bool is_current,
                        steady_time now) {
    const feed_answer answer = feed_.resume(resume.revision, is_current, now);
    request.send(platform::http_status_of(answer.status), changes_body(answer));
}

void feed_server::serve(const platform::feed_watch_request& watch, const pending_request& request, bool is_current,
                        steady_time now) {
    const std::uint64_t call = ++last_call_;
    const auto          answer = feed_.watch(call, watch.position, watch.wait, is_current, now);
    if (answer) return request.send(platform::http_status_of(answer->status), changes_body(*answer));
    pending_requests_[call] = request;
}

void feed_server::poll(bool is_current, steady_time now) {
    for (const feed::due_answer& due : feed_.poll(is_current, now)) {
        const std::string body = changes_body(due.answer);
        for (const std::uint64_t call : due.calls) {
            const auto found = pending_requests_.find(call);
            if (found == pending_requests_.end()) continue;
            const pending_request request = std::move(found->second);
            pending_requests_.erase(found);
            request.send(platform::http_status_of(due.answer.status), body);
        }
    }
}

} // namespace tamarack::entry
