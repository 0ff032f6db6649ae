// Writes what glog logs to a descriptor, as log_writer does: a program never waits for the reader of its log.
//
// glog itself writes each line with a blocking call under its mutex, so that all threads that log would wait for the
// reader. Lines that the reader does not accept are dropped, and reported by an event.
#pragma once

#include "tamarack/clock.h"
#include "tamarack/log_writer.h"

#include <glog/logging.h>

namespace tamarack {

class glog_output final : public google::LogSink {
public:
    // Takes the place of glog's own output to standard error and to files. Does not close the descriptor.
    glog_output(int descriptor, const clock& time);
    ~glog_output() override;
    glog_output(const glog_output&) = delete;
    glog_output& operator=(const glog_output&) = delete;

    // Called by glog, one thread at a time. Waits up to last_lines_wait before glog ends the process.
    void send(google::LogSeverity severity, const char* full_filename, const char* base_filename, int line,
              const google::LogMessageTime& logged_at, const char* message, size_t message_size) override;

    void drain() { (void)writer_.drain(last_lines_wait); }

private:
    void report_dropped_lines(const char* base_filename, int line, const google::LogMessageTime& logged_at);

    const clock& time_;
    log_writer   writer_;
    steady_time  report_due_{};
};

} // namespace tamarack
