// End of a graceful stop.
#include "entry/lifecycle.h"

#include <algorithm>
#include <utility>

namespace tamarack::entry {

namespace {

// Two missed checks, half a second apart.
constexpr duration leave_rotation_time = std::chrono::milliseconds(1'100);
// A caller copies its SYN after 200 ms; the event loop has a round at least every 100 ms.
constexpr duration pause_limit = std::chrono::milliseconds(190);
// Without a packet for this long, the fabric sends to others.
constexpr duration quiet_time = std::chrono::milliseconds(250);
// The process ends by itself before the host ends it.
constexpr duration grace_margin = std::chrono::milliseconds(500);

} // namespace

bool pause_detector::note_round(steady_time now) {
    const auto before = std::exchange(last_round_, now);
    return before && now - *before >= pause_limit;
}

bool lifecycle::may_end(steady_time now) const {
    if (!stop_asked_) return false;
    const duration since = now - *stop_asked_;
    if (since >= stop_grace_ - std::min(grace_margin, stop_grace_ / 2)) return true;
    return since >= leave_rotation_time && now - last_packet_ >= quiet_time;
}

} // namespace tamarack::entry
