// When the balancer tells the fabric that it takes traffic, and when a graceful stop ends.
//
// Load pattern: the fabric checks readiness twice a second and takes a balancer out after two misses. Packets that
// reach a balancer which has ended are lost, and callers repeat them after 200 ms at the earliest. So the balancer
// first says that it is not ready, forwards what still arrives, and ends when nothing does.
#pragma once

#include "tamarack/tamarack.h"

namespace tamarack::entry {

// Notices that the process did not run for a while.
//
// A SYN that waited meanwhile is stale: its copy may have opened the flow through another balancer, and a second
// backend server that answered it would lead the caller's later packets astray. The caller sends copies of a SYN that
// is dropped.
class pause_detector {
public:
    // Called at least every tick. True if the last call is too long ago.
    bool note_round(steady_time now);

private:
    std::optional<steady_time> last_round_;
};

class lifecycle {
public:
    explicit lifecycle(duration stop_grace) : stop_grace_(stop_grace) {}

    void note_synchronized() { synchronized_ = true; }
    void note_packet(steady_time now) { last_packet_ = now; }
    void ask_to_stop(steady_time now) {
        if (!stop_asked_) stop_asked_ = now;
    }
    void set_stop_grace(duration grace) { stop_grace_ = grace; }

    bool ready() const { return synchronized_ && !stop_asked_; }
    bool stopping() const { return stop_asked_.has_value(); }
    bool may_end(steady_time now) const;

private:
    duration                   stop_grace_; // the host ends the process after it
    bool                       synchronized_ = false;
    std::optional<steady_time> stop_asked_;
    steady_time                last_packet_{};
};

} // namespace tamarack::entry
