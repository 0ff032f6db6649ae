// System clock: the only place where the library reads the time.
#include "tamarack/clock.h"

namespace tamarack {

steady_time system_clock::steady_now() const {
    return std::chrono::steady_clock::now();
}

wall_time system_clock::wall_now() const {
    return std::chrono::system_clock::now();
}

} // namespace tamarack
