// Serves this balancer's replica to followers over HTTP: keeps their pending requests and sends the responses.
#pragma once

#include "daemons/entry/http_server.h"
#include "platform/feed_format.h"

namespace tamarack::entry {

class feed_server {
public:
    explicit feed_server(feed record_feed) : feed_(std::move(record_feed)) {}

    // Responds to a request, now or from poll() when it is due. Caller: remote address and port. Returns false if the
    // request is rejected, since its sender has not proved that it reads the same store; true for all others, including
    // targets that are not found.
    bool                  handle(std::string_view target, std::string_view caller, steady_time now,
                                 http_server::response_callback respond);
    // Responds to the pending requests that are due.
    void                  poll(steady_time now);
    std::vector<endpoint> followers(steady_time now) const { return feed_.followers(now); }

private:
    // What a response needs to know of its request.
    struct pending_request {
        http_server::response_callback respond;
        std::optional<feed_key>        key;       // authenticates the response; nullopt: not authenticated
        std::uint64_t                  nonce = 0; // of the request
        bool                           is_listing = false;
        steady_time                    arrived_at{};

        std::string encode(const feed_answer& answer) const;
        void        send(feed_status status, std::string body, steady_time now) const;
    };

    void serve(const platform::feed_list_request& list, const feed_call& call, const pending_request& request,
               steady_time now);
    void serve(const platform::feed_resume_request& resume, const feed_call& call, const pending_request& request,
               steady_time now);
    void serve(const platform::feed_watch_request& watch, const feed_call& call, const pending_request& request,
               steady_time now);
    void respond_or_keep(const std::optional<feed_answer>& answer, const feed_call& call,
                         const pending_request& request, steady_time now);

    feed                                     feed_;
    std::map<std::uint64_t, pending_request> pending_requests_; // by the number that feed knows as the call
    std::uint64_t                            last_call_ = 0;
};

} // namespace tamarack::entry
