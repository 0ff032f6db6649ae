// Brings tamarackd to the point where its event loop can run.
//
// A start may find something missing that comes by itself: the predecessor still holds its ports, the host's address is
// not there yet, the settings or a key are just being written, descriptors are used up. The start waits until it has
// what it needs, and logs what it waits for.
#pragma once

#include "tamarack/balancer_process.h"
#include "tamarack/waiting_report.h"

namespace tamarack {

class startup {
public:
    startup(std::string settings_file, const clock& time) : settings_file_(std::move(settings_file)), time_(time) {}

    // Waits until the balancer can run. Returns null if a stop is requested first.
    std::unique_ptr<balancer_process> open_balancer();

private:
    std::unique_ptr<balancer_process> try_to_open();
    bool                              is_settled(const std::string& text);

    std::string    settings_file_;
    const clock&   time_;
    std::string    latest_text_; // of the settings file
    steady_time    text_changed_at_{};
    waiting_report report_;
};

} // namespace tamarack
