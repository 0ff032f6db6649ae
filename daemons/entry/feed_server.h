// Serves this balancer's replica to followers over HTTP: keeps their pending requests and sends the responses.
#pragma once

#include "daemons/entry/http_server.h"
#include "platform/feed_format.h"

namespace tamarack::entry {

class feed_server {
public:
    explicit feed_server(feed record_feed) : feed_(std::move(record_feed)) {}

    // Responds to a request, now or from poll() when it is due. is_current: this balancer reads the store itself.
    // Returns false if the request is rejected, since its sender has not proved that it reads the same store; true for
    // all others, including targets that are not found.
    bool handle(std::string_view target, bool is_current, steady_time now, http_server::response_callback respond);
    // Responds to the pending requests that are due.
    void poll(bool is_current, steady_time now);
    std::size_t follower_count() const { return feed_.follower_count(); }

private:
    // What a response needs to know of its request.
    struct pending_request {
        http_server::response_callback respond;
        std::optional<feed_key>        key;       // authenticates the response; nullopt: not authenticated
        std::uint64_t                  nonce = 0; // of the request

        void send(unsigned status, std::string body) const;
    };

    void serve(const platform::feed_list_request& list, const pending_request& request, bool is_current,
               steady_time now);
    void serve(const platform::feed_resume_request& resume, const pending_request& request, bool is_current,
               steady_time now);
    void serve(const platform::feed_watch_request& watch, const pending_request& request, bool is_current,
               steady_time now);

    feed                                     feed_;
    std::map<std::uint64_t, pending_request> pending_requests_; // by the number that feed knows as the call
    std::uint64_t                            last_call_ = 0;
};

} // namespace tamarack::entry
