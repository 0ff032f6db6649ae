// Brings a process to the point where its event loop can run.
//
// A start may find something missing that comes by itself: the predecessor still holds its ports, the host's address is
// not there yet, the settings file is just being written, descriptors are used up. A process that ended then would
// leave its host without a balancer, so the start waits until it has what it needs, and logs what it waits for.
#pragma once

#include "daemons/entry/entry_process.h"
#include "entry/event_log.h"

namespace tamarack::entry {

class startup {
public:
    startup(std::string settings_path, const clock& time) : settings_path_(std::move(settings_path)), time_(time) {}

    // Waits until the process can run. Returns null if a stop is requested first.
    std::unique_ptr<entry_process> open_process();

private:
    std::unique_ptr<entry_process> try_to_open();
    bool                           is_settled(const start_settings& read);
    bool                           is_report_due(const std::string& reason);

    std::string  settings_path_;
    const clock& time_;
    event_log    log_{time_, "starting"}; // the name of the balancer is not known yet
    std::string  latest_text_;            // of the settings file
    steady_time  text_changed_at_{};
    std::string  latest_reason_; // for waiting, as logged
    steady_time  report_due_{};  // when the same reason is logged again
};

} // namespace tamarack::entry
