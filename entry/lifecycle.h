// Readiness toward the fabric, and the end of a graceful stop.
//
// Load pattern: the fabric checks readiness twice a second and removes a balancer after two failed checks. Packets that
// reach a stopped balancer are lost, and callers retransmit them after 200 ms at the earliest. Therefore a stopping
// balancer first reports that it is not ready, forwards the packets that still arrive, and exits when no more arrive.
#pragma once

#include "tamarack/tamarack.h"

namespace tamarack::entry {

// The event loop of a stopping process ends this long before the host would kill the process.
inline constexpr duration grace_margin = std::chrono::milliseconds(500);

// Detects that the process did not run for a while.
//
// A SYN that was queued during such a pause is stale: its retransmission may have opened the flow through another
// balancer, and a second backend server that answered it would give the caller a wrong reference for its later packets.
// Stale SYNs can be dropped, since the caller retransmits them.
class pause_detector {
public:
    // Called at least once per tick. Returns true if the previous call is too long ago.
    bool note_loop_iteration(steady_time now);

private:
    std::optional<steady_time> last_iteration_;
};

class lifecycle {
public:
    explicit lifecycle(duration stop_grace) : stop_grace_(stop_grace) {}

    void note_synchronized() { is_synchronized_ = true; }
    void note_packet(steady_time now) { last_packet_ = now; }
    void request_stop(steady_time now) {
        if (!stop_requested_at_) stop_requested_at_ = now;
    }
    void set_stop_grace(duration grace) { stop_grace_ = grace; }

    bool is_ready() const { return is_synchronized_ && !stop_requested_at_; }
    bool is_stopping() const { return stop_requested_at_.has_value(); }
    bool may_exit(steady_time now) const;

private:
    duration                   stop_grace_; // after this time, the host kills the process
    bool                       is_synchronized_ = false;
    std::optional<steady_time> stop_requested_at_;
    steady_time                last_packet_{};
};

} // namespace tamarack::entry
