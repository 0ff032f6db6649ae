// The system clock, and a clock that tests advance manually.
#pragma once

#include "tamarack/tamarack.h"

namespace tamarack {

class system_clock final : public clock {
public:
    steady_time steady_now() const override;
    wall_time   wall_now() const override;
    steady_time boot_now() const override;
};

// Starts at a fixed wall time, so that tests give the same records on every run.
class manual_clock final : public clock {
public:
    steady_time steady_now() const override { return steady_; }
    wall_time   wall_now() const override { return wall_; }
    void        advance(duration step) {
               steady_ += step;
               wall_ += step;
    }

private:
    steady_time steady_{std::chrono::hours(1)};
    wall_time   wall_{std::chrono::seconds(1'750'000'000)};
};

} // namespace tamarack
