// Writes the lines of a log to a descriptor whose reader may be slow, or may have stopped, without a wait of the
// caller.
//
// A thread of its own writes the lines and waits for the reader. Nothing else is free of waiting for all kinds of
// descriptors: O_NONBLOCK belongs to the open file, so that other processes that share it would lose their lines, and
// may take the flag back; after poll, another process may fill the pipe before the write.
//
// Lines that the reader has not accepted yet are kept up to a limit. Further ones are dropped and counted, so that a
// reader that continues gets all lines up to the first dropped one.
#pragma once

#include "tamarack/clock.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace tamarack {

// Bytes.
inline constexpr std::size_t max_unwritten_log = 262'144;
// The process waits this long at its end for the reader to accept the last lines.
inline constexpr duration    last_lines_wait = std::chrono::milliseconds(200);

// Thread-safe. Starts its thread with the first line; while the host has no room for a thread, the lines are kept.
class log_writer {
public:
    // The descriptor stays open until the process ends. The reader of a pipe may leave: SIGPIPE must be ignored.
    explicit log_writer(int descriptor);
    // As drain, for last_lines_wait. What the reader has not accepted then is lost with the process.
    ~log_writer();
    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;

    // The line ends with a line feed. Returns false if it is dropped, since the reader is too far behind.
    bool append(std::string_view line);
    // A line that reports so many dropped lines. Returns false if there is no room for it yet; that is not counted.
    bool append_report(std::string_view line, std::uint64_t count);
    // Hands the appended lines to the thread.
    void flush();
    // Waits until the reader has accepted all lines. Returns false if it has not within the limit.
    bool drain(duration limit);

    std::uint64_t dropped_lines() const;    // since the construction
    std::uint64_t unreported_lines() const; // of the dropped ones, by append_report

private:
    struct impl;

    std::shared_ptr<impl> impl_; // shared with the thread, which may wait for the reader longer than this object lives
};

} // namespace tamarack
