// Runs one entry balancer: owns its sockets, timers, signals and the connection to the store.
#pragma once

#include "entry/settings.h"
#include "tamarack/log_writer.h"

namespace tamarack::entry {

class entry_process {
public:
    // Opens the sockets. The error describes what failed. Log output: receives the lines of the log. Restarts: how
    // often the balancer has started again in this process, for the metrics. Raises exceptions for a lack of
    // descriptors or memory.
    static result<std::unique_ptr<entry_process>, std::string> open(const settings& initial_settings,
                                                                    std::string settings_path, const clock& time,
                                                                    log_writer& log_output, unsigned restarts);
    ~entry_process();
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    // Returns at the end of the graceful stop that SIGTERM or SIGINT begins. After an exception the object can only be
    // destroyed: a step may have been carried out in part.
    void run();

private:
    struct impl;
    explicit entry_process(std::unique_ptr<impl> implementation);

    std::unique_ptr<impl> impl_;
};

} // namespace tamarack::entry
