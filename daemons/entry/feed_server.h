// Serves followers over HTTP: the calls that wait, and their answers.
#pragma once

#include "daemons/entry/http_responder.h"
#include "platform/feed_format.h"

namespace tamarack::entry {

class feed_server {
public:
    explicit feed_server(feed followers) : feed_(std::move(followers)) {}

    // Answers a call, at once or when poll finds it due. Returns false for a call that is rejected, since its caller
    // has not proved that it reads the same store.
    bool        handle(std::string_view target, bool is_current, steady_time now, http_responder::reply respond);
    // Answers the waiting calls that are due.
    void        poll(bool is_current, steady_time now);
    std::size_t followers() const { return feed_.follower_count(); }

private:
    // What an answer needs.
    struct follower {
        http_responder::reply   respond;
        std::optional<feed_key> key;        // proves the answer
        std::uint64_t           number = 0; // of the follower's call

        void answer(unsigned status, std::string body) const;
    };

    void serve(const platform::feed_list_request& request, const follower& caller, bool is_current, steady_time now);
    void serve(const platform::feed_resume_request& request, const follower& caller, bool is_current, steady_time now);
    void serve(const platform::feed_watch_request& request, const follower& caller, bool is_current, steady_time now);

    feed                              feed_;
    std::map<std::uint64_t, follower> waiting_; // by number of the call here
    std::uint64_t                     last_call_ = 0;
};

} // namespace tamarack::entry
