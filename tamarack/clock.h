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

// Its steady time counts the time during which the host was suspended, so that a lease or a confirmation that ran out
// meanwhile is not used after the host has resumed.
class suspend_aware_clock final : public clock {
public:
    steady_time steady_now() const override { return system_.boot_now(); }
    wall_time   wall_now() const override { return system_.wall_now(); }
    steady_time boot_now() const override { return system_.boot_now(); }

private:
    system_clock system_;
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
