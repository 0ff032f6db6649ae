// End of a graceful stop, and detection of pauses.
#include "entry/lifecycle.h"

#include <algorithm>
#include <utility>

namespace tamarack::entry {

namespace {

// Covers two failed readiness checks, half a second apart.
constexpr duration leave_rotation_time = std::chrono::milliseconds(1'100);
// A caller retransmits its SYN after 200 ms; the event loop iterates at least every 100 ms.
constexpr duration pause_limit = std::chrono::milliseconds(190);
// If no packet has arrived for this long, the fabric sends to other balancers.
constexpr duration quiet_time = std::chrono::milliseconds(250);

} // namespace

bool pause_detector::note_loop_iteration(steady_time now) {
    const auto previous_iteration = std::exchange(last_iteration_, now);
    return previous_iteration && now - *previous_iteration >= pause_limit;
}

bool lifecycle::may_exit(steady_time now) const {
    if (!stop_requested_at_) return false;
    const duration stopping_time = now - *stop_requested_at_;
    if (stopping_time >= stop_grace_ - std::min(grace_margin, stop_grace_ / 2)) return true;
    return stopping_time >= leave_rotation_time && now - last_packet_ >= quiet_time;
}

} // namespace tamarack::entry
