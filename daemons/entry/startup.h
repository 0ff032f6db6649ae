// Starts the balancer, and starts it again in the same process after an exception.
//
// A start may find something missing that comes by itself: the predecessor still holds its ports, the host's address is
// not there yet, the settings file is just being written, descriptors are used up. A process that ended then would
// leave its host without a balancer, so the start waits until it has what it needs, and logs what it waits for.
//
// An exception, mostly for lack of memory, may leave a step of the event loop half done. All state is then dropped and
// read again, as after a restart of the process.
#pragma once

#include "daemons/entry/entry_process.h"
#include "entry/event_log.h"
#include "tamarack/waiting_report.h"

#include <unistd.h>

namespace tamarack::entry {

class startup {
public:
    startup(std::string settings_path, const clock& time) : settings_path_(std::move(settings_path)), time_(time) {}

    // Returns when a stop has been requested and carried out.
    void run();

private:
    bool                           run_once();
    std::unique_ptr<entry_process> try_to_open();
    void                           note_exception(const std::exception& error);
    bool                           is_settled(const start_settings& read);

    std::string    settings_path_;
    const clock&   time_;
    log_writer     output_{STDOUT_FILENO};           // outlives a balancer that ends by an exception
    event_log      log_{time_, "starting", output_}; // the name of the balancer is not known yet
    std::string    latest_text_;                     // of the settings file
    steady_time    text_changed_at_{};
    unsigned       restarts_ = 0; // after exceptions
    waiting_report report_;
};

} // namespace tamarack::entry
