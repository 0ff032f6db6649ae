// The buffer of the lines, and the thread that writes them.
#include "tamarack/log_writer.h"

#include "tamarack/process_environment.h"

#include <cerrno>
#include <climits>
#include <condition_variable>
#include <mutex>
#include <poll.h>
#include <string>
#include <system_error>
#include <thread>
#include <unistd.h>

namespace tamarack {

namespace {

// After a failed write: the reader of the pipe has left, or the file system is full. Either may end.
constexpr duration retry_interval = std::chrono::seconds(1);

// Length of the first lines that a pipe accepts in one piece, so that lines of several processes that share it do not
// mix. A longer line is written in parts.
std::size_t size_of_first_lines(std::string_view lines) {
    if (lines.size() <= PIPE_BUF) return lines.size();
    const std::size_t last_end = lines.rfind('\n', PIPE_BUF - 1);
    return last_end == std::string_view::npos ? PIPE_BUF : last_end + 1;
}

} // namespace

struct log_writer::impl {
    explicit impl(int output) : descriptor(output) {}

    bool append(std::string_view line);
    bool start_thread(const std::shared_ptr<impl>& self);
    void run();
    bool write_lines(std::string_view lines);
    bool write_once(std::string_view& lines);
    bool wait_for_reader() const;
    bool wait_for_retry();

    const int               descriptor;
    mutable std::mutex      mutex;
    std::condition_variable lines_flushed; // or the object is closed
    std::condition_variable lines_written;
    std::string             appended;            // not taken by the thread yet
    std::size_t             unwritten_bytes = 0; // appended, and taken but not accepted by the reader
    std::uint64_t           dropped_lines = 0;
    std::uint64_t           reported_lines = 0; // of the dropped ones
    bool                    is_flushed = false; // the thread may take the appended lines
    bool                    has_thread = false;
    bool                    is_closed = false; // the thread ends as soon as it does not wait for the reader
};

// Requires the mutex. Returns false if there is no room.
bool log_writer::impl::append(std::string_view line) {
    if (unwritten_bytes + line.size() > max_unwritten_log) return false;
    appended += line;
    unwritten_bytes += line.size();
    return true;
}

//----------------------------------------------------------------------------------------------------------------------
// Thread
//----------------------------------------------------------------------------------------------------------------------

// Requires the mutex. Returns false while the host has no room for a thread.
bool log_writer::impl::start_thread(const std::shared_ptr<impl>& self) {
    if (has_thread) return true;
    try {
        std::thread([self] { self->run(); }).detach();
    } catch (const std::system_error&) {
        return false;
    }
    return has_thread = true;
}

void log_writer::impl::run() {
    block_handled_signals(); // they shall interrupt the thread that acts on them
    std::string      taken;
    std::unique_lock lock(mutex);
    for (;;) {
        lines_flushed.wait(lock, [this] { return is_flushed || is_closed; });
        if (is_closed) return;
        is_flushed = false;
        taken.clear();
        taken.swap(appended);
        lock.unlock();
        if (!write_lines(taken)) return;
        lock.lock();
    }
}

// Returns false if the object has been closed before all lines were written.
bool log_writer::impl::write_lines(std::string_view lines) {
    while (!lines.empty()) {
        if (!write_once(lines) && !wait_for_retry()) return false;
    }
    return true;
}

// Removes what the reader has accepted. Returns false if a repetition would fail as well.
bool log_writer::impl::write_once(std::string_view& lines) {
    const ssize_t written = ::write(descriptor, lines.data(), size_of_first_lines(lines));
    if (written < 0) return errno == EINTR || (errno == EAGAIN && wait_for_reader());
    lines.remove_prefix(static_cast<std::size_t>(written));
    const std::lock_guard lock(mutex);
    unwritten_bytes -= static_cast<std::size_t>(written);
    if (unwritten_bytes == 0) lines_written.notify_all();
    return true;
}

// Another process has set O_NONBLOCK on the open file.
bool log_writer::impl::wait_for_reader() const {
    pollfd waiting{.fd = descriptor, .events = POLLOUT, .revents = 0};
    return ::poll(&waiting, 1, -1) > 0 || errno == EINTR;
}

// Returns false if the object is closed.
bool log_writer::impl::wait_for_retry() {
    std::unique_lock lock(mutex);
    return !lines_flushed.wait_for(lock, retry_interval, [this] { return is_closed; });
}

//----------------------------------------------------------------------------------------------------------------------
// Public class
//----------------------------------------------------------------------------------------------------------------------

log_writer::log_writer(int descriptor) : impl_(std::make_shared<impl>(descriptor)) {}

log_writer::~log_writer() {
    (void)drain(last_lines_wait);
    const std::lock_guard lock(impl_->mutex);
    impl_->is_closed = true;
    impl_->lines_flushed.notify_all();
}

bool log_writer::append(std::string_view line) {
    const std::lock_guard lock(impl_->mutex);
    if (impl_->append(line)) return true;
    ++impl_->dropped_lines;
    return false;
}

bool log_writer::append_report(std::string_view line, std::uint64_t count) {
    const std::lock_guard lock(impl_->mutex);
    if (!impl_->append(line)) return false;
    impl_->reported_lines += count;
    return true;
}

void log_writer::flush() {
    const std::lock_guard lock(impl_->mutex);
    if (impl_->appended.empty() || !impl_->start_thread(impl_)) return;
    impl_->is_flushed = true;
    impl_->lines_flushed.notify_all();
}

bool log_writer::drain(duration limit) {
    flush();
    std::unique_lock lock(impl_->mutex);
    return impl_->lines_written.wait_for(lock, limit, [this] { return impl_->unwritten_bytes == 0; });
}

std::uint64_t log_writer::dropped_lines() const {
    const std::lock_guard lock(impl_->mutex);
    return impl_->dropped_lines;
}

std::uint64_t log_writer::unreported_lines() const {
    const std::lock_guard lock(impl_->mutex);
    return impl_->dropped_lines - impl_->reported_lines;
}

} // namespace tamarack
