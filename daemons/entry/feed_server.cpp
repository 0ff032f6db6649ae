// Decodes followers' requests and encodes the responses.
#include "daemons/entry/feed_server.h"

#include "platform/http_status.h"
#include "platform/record_format.h"

namespace tamarack::entry {

std::string feed_server::pending_request::encode(const feed_answer& answer) const {
    if (answer.status == feed_status::full) return platform::encode_followers(answer.followers);
    if (answer.status != feed_status::ok) return {};
    return is_listing ? platform::encode_listing(answer) : platform::encode_changes(answer);
}

void feed_server::pending_request::send(feed_status status, std::string body, steady_time now) const {
    if (key && !body.empty()) body = platform::add_response_mac({now - arrived_at, body}, *key, nonce);
    respond({.status = platform::http_status_of(status), .body = std::move(body), .content_type = "application/json"});
}

bool feed_server::handle(std::string_view target, std::string_view caller, steady_time now,
                         http_server::response_callback respond) {
    const auto decoded = platform::decode_feed_request(target);
    const auto follower = endpoint::parse(caller);
    if (!decoded || !follower) {
        respond({.status = platform::status_not_found, .body = "no such call\n"});
        return true;
    }
    const auto key = decoded->authentication ? feed_.authenticated_key(*decoded->authentication) : std::nullopt;
    const bool is_listing = std::holds_alternative<platform::feed_list_request>(decoded->parameters);
    const pending_request request{std::move(respond), key, decoded->authentication ? decoded->authentication->nonce : 0,
                                  is_listing, now};
    // Without a key only a listing is served, and only if the request carries no authentication that failed.
    if (!key && (decoded->authentication || !is_listing)) {
        request.send(feed_status::rejected, {}, now);
        return false;
    }
    const feed_call call{++last_call_, follower->address};
    std::visit([&](const auto& parameters) { serve(parameters, call, request, now); }, decoded->parameters);
    return true;
}

void feed_server::serve(const platform::feed_list_request& /*list*/, const feed_call& call,
                        const pending_request& request, steady_time now) {
    respond_or_keep(request.key ? feed_.list(call, now) : feed_.list_unauthenticated(now), call, request, now);
}

void feed_server::serve(const platform::feed_resume_request& resume, const feed_call& call,
                        const pending_request& request, steady_time now) {
    respond_or_keep(feed_.resume(call, resume.revision, now), call, request, now);
}

void feed_server::serve(const platform::feed_watch_request& watch, const feed_call& call,
                        const pending_request& request, steady_time now) {
    respond_or_keep(feed_.watch(call, watch.position, watch.wait, now), call, request, now);
}

void feed_server::respond_or_keep(const std::optional<feed_answer>& answer, const feed_call& call,
                                  const pending_request& request, steady_time now) {
    if (answer) {
        request.send(answer->status, request.encode(*answer), now);
    } else {
        pending_requests_[call.number] = request;
    }
}

void feed_server::poll(steady_time now) {
    std::exception_ptr failure; // of one response, whose connection it ends; the others are sent first
    for (const feed::due_answer& due : feed_.poll(now)) {
        std::string body; // the same for all calls of an answer
        for (const std::uint64_t call : due.calls) {
            const auto found = pending_requests_.find(call);
            if (found == pending_requests_.end()) continue;
            const pending_request request = std::move(found->second);
            pending_requests_.erase(found);
            try {
                if (body.empty()) body = request.encode(due.answer);
                request.send(due.answer.status, body, now);
            } catch (const std::exception&) {
                failure = std::current_exception();
            }
        }
    }
    if (failure) std::rethrow_exception(failure);
}

} // namespace tamarack::entry
