// Serves followers over HTTP: the calls that wait, and their answers.
#pragma once

#include "daemons/entry/http_responder.h"
#include "entry/feed.h"

namespace tamarack::entry {

class feed_server {
public:
    explicit feed_server(const replica& known) : feed_(known) {}

    void        handle(std::string_view target, bool is_current, steady_time now, http_responder::reply respond);
    // Answers the waiting calls that are due.
    void        poll(bool is_current, steady_time now);
    std::size_t followers() const { return feed_.followers(); }

private:
    feed                                           feed_;
    std::map<std::uint64_t, http_responder::reply> waiting_; // by number of the call
    std::uint64_t                                  last_call_ = 0;
};

} // namespace tamarack::entry
