// Runs one entry balancer: owns its sockets, timers, signals and the connection to the store.
#pragma once

#include "entry/settings.h"

namespace tamarack::entry {

class entry_process {
public:
    // Opens the sockets. The error says what failed.
    static result<std::unique_ptr<entry_process>, std::string> open(const settings& values, std::string settings_file,
                                                                    const clock& time);
    ~entry_process();
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    // Until SIGTERM or SIGINT and the end of the graceful stop.
    void run();

private:
    struct impl;
    explicit entry_process(std::unique_ptr<impl> parts);

    std::unique_ptr<impl> impl_;
};

} // namespace tamarack::entry
