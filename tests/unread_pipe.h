// A named pipe for a log, whose reader reads only when the test says so.
#pragma once

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <sys/ioctl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace tamarack {

class unread_pipe {
public:
    unread_pipe() {
        if (::mkdtemp(folder_.data()) == nullptr || ::mkfifo(path().c_str(), 0600) != 0)
            throw std::runtime_error("cannot create a named pipe");
        open_read_end();
        write_end_ = ::open(path().c_str(), O_WRONLY | O_CLOEXEC);
        ::fcntl(write_end_, F_SETPIPE_SZ, 0); // one page
    }
    ~unread_pipe() {
        close_read_end();
        ::close(write_end_);
        ::unlink(path().c_str());
        ::rmdir(folder_.c_str());
    }
    unread_pipe(const unread_pipe&) = delete;
    unread_pipe& operator=(const unread_pipe&) = delete;

    std::string path() const { return folder_ + "/log"; }
    int         write_end() const { return write_end_; }
    int         flags() const { return ::fcntl(write_end_, F_GETFL); }
    std::size_t capacity() const { return static_cast<std::size_t>(::fcntl(write_end_, F_GETPIPE_SZ)); }
    // Bytes that nobody has read yet.
    std::size_t size() const {
        int bytes = 0;
        ::ioctl(read_end_, FIONREAD, &bytes);
        return static_cast<std::size_t>(bytes);
    }
    void set_nonblocking() const { ::fcntl(write_end_, F_SETFL, flags() | O_NONBLOCK); }
    // Writes until the pipe accepts nothing more, not even one byte.
    void fill() const {
        const int filler = ::open(path().c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
        while (::write(filler, "-", 1) > 0) {
        }
        ::close(filler);
    }
    // Reads until so many bytes have arrived, or for the time.
    std::string read(std::size_t size, std::chrono::nanoseconds time) const {
        const auto             deadline = std::chrono::steady_clock::now() + time;
        std::string            text;
        std::array<char, 4096> buffer{};
        while (text.size() < size && std::chrono::steady_clock::now() < deadline) {
            pollfd waiting{.fd = read_end_, .events = POLLIN, .revents = 0};
            (void)::poll(&waiting, 1, 1);
            const ssize_t count = ::read(read_end_, buffer.data(), std::min(buffer.size(), size - text.size()));
            if (count > 0) text.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return text;
    }
    void close_read_end() {
        if (read_end_ >= 0) ::close(read_end_);
        read_end_ = -1;
    }
    void open_read_end() { read_end_ = ::open(path().c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC); }

private:
    std::string folder_ = "/tmp/unread_pipe_XXXXXX";
    int         read_end_ = -1;
    int         write_end_ = -1;
};

} // namespace tamarack
