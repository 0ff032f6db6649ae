// Signals, standard files and limits of the process.
#include "tamarack/process_environment.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <fcntl.h>
#include <poll.h>
#include <sys/resource.h>
#include <unistd.h>
#include <vector>

namespace tamarack {

namespace {

volatile std::sig_atomic_t has_stop_request = 0;
volatile std::sig_atomic_t has_reload_request = 0;

// SIGPIPE and SIGXFSZ concern the log, whose reader may be gone or whose file may be full. SIGTTOU stops a process in
// the background that writes to its terminal. Tools that rotate logs send SIGUSR1 or SIGUSR2.
constexpr std::array ignored_signals = {SIGPIPE, SIGXFSZ, SIGUSR1, SIGUSR2, SIGALRM, SIGTTIN, SIGTTOU};
constexpr std::array handled_signals = {SIGTERM, SIGINT, SIGHUP};

std::terminate_handler library_terminate = nullptr;

void note_request(int signal) {
    (signal == SIGHUP ? has_reload_request : has_stop_request) = 1;
}

// A signal that the starting program has blocked would stay blocked, so that a stop could not be requested.
void unblock_signals() {
    sigset_t signals{};
    ::sigemptyset(&signals);
    for (const int signal : ignored_signals)
        ::sigaddset(&signals, signal);
    for (const int signal : handled_signals)
        ::sigaddset(&signals, signal);
    (void)::sigprocmask(SIG_UNBLOCK, &signals, nullptr); // fails only for an unknown operation
}

void open_standard_files() {
    for (int handle = STDIN_FILENO; handle <= STDERR_FILENO; ++handle) {
        const bool is_closed = ::fcntl(handle, F_GETFD) < 0 && errno == EBADF;
        if (is_closed) (void)::open("/dev/null", O_RDWR); // takes the lowest free number, which is this one
    }
}

// Before the static initializers of libraries, which run before main: gRPC opens a descriptor there.
[[gnu::section(".preinit_array"), gnu::used]] void (*const open_files_first)() = open_standard_files;

// Before the message of the C++ library that says why it ends the process.
[[noreturn]] void terminate_without_wait() {
    discard_unread_errors();
    library_terminate();
    std::abort();
}

} // namespace

void prepare_environment() {
    library_terminate = std::set_terminate(terminate_without_wait);
    for (const int signal : ignored_signals)
        (void)std::signal(signal, SIG_IGN);
    for (const int signal : handled_signals)
        (void)std::signal(signal, note_request);
    unblock_signals();
}

void discard_unread_errors() {
    pollfd errors{.fd = STDERR_FILENO, .events = POLLOUT, .revents = 0};
    if (::poll(&errors, 1, 0) != 0) return; // accepts a message, or fails without a wait
    const int discarded = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    if (discarded < 0) return;
    (void)::dup2(discarded, STDERR_FILENO);
    (void)::close(discarded);
}

bool is_stop_requested() {
    return has_stop_request != 0;
}

bool take_reload_request() {
    if (has_reload_request == 0) return false;
    has_reload_request = 0; // one that arrives now is served together with the one before
    return true;
}

void block_handled_signals() {
    sigset_t signals{};
    ::sigemptyset(&signals);
    for (const int signal : handled_signals)
        ::sigaddset(&signals, signal);
    (void)::pthread_sigmask(SIG_BLOCK, &signals, nullptr); // fails only for an unknown operation
}

std::size_t descriptor_limit() {
    constexpr std::size_t usual_limit = 1'024;
    rlimit                limit{};
    return ::getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : usual_limit;
}

bool can_open_descriptors(std::size_t count) {
    std::vector<int> opened;
    opened.reserve(count);
    int error = 0;
    while (opened.size() < count) {
        const int handle = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
        if (handle < 0) {
            error = errno;
            break;
        }
        opened.push_back(handle);
    }
    for (const int handle : opened)
        (void)::close(handle);
    errno = error;
    return opened.size() == count;
}

} // namespace tamarack
