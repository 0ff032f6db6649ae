// Keeps something that is tried again and again from filling the log.
#pragma once

#include "tamarack/tamarack.h"

#include <string>

namespace tamarack {

class waiting_report {
public:
    explicit waiting_report(duration interval = std::chrono::seconds(10)) : interval_(interval) {}

    // Whether to log why the last try failed: at once if the reason is new, and then once in each interval.
    bool is_due(const std::string& reason, steady_time now) {
        if (reason == latest_reason_ && now < due_) return false;
        latest_reason_ = reason;
        due_ = now + interval_;
        return true;
    }

private:
    duration    interval_;
    std::string latest_reason_;
    steady_time due_{};
};

} // namespace tamarack
