// The system clock. The decision logic reads the time only through the clock interface.
#include "tamarack/clock.h"

#include <ctime>

namespace tamarack {

steady_time system_clock::steady_now() const {
    return std::chrono::steady_clock::now();
}

wall_time system_clock::wall_now() const {
    return std::chrono::system_clock::now();
}

steady_time system_clock::boot_now() const {
    timespec now{};
    if (::clock_gettime(CLOCK_BOOTTIME, &now) != 0) return steady_now(); // the kernel does not support CLOCK_BOOTTIME
    return steady_time(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace tamarack
