// Starts a program as a child process, under conditions that the program has to cope with.
#pragma once

#include <csignal>
#include <fcntl.h>
#include <optional>
#include <string>
#include <sys/resource.h>
#include <unistd.h>

namespace standin {

// What a process inherits from the program that starts it.
struct start_conditions {
    std::optional<rlim_t> descriptor_limit{};        // RLIMIT_NOFILE
    std::optional<rlim_t> file_size_limit{};         // bytes, RLIMIT_FSIZE
    std::optional<rlim_t> address_space_limit{};     // bytes, RLIMIT_AS
    bool                  has_standard_files = true; // false: descriptors 0, 1 and 2 are closed
    bool                  is_log_unread = false;     // standard output and error are a pipe that nobody reads
    std::optional<int>    blocked_signal{};          // pending for the process when it starts, and blocked
    std::optional<int>    masked_signal{};           // blocked, not pending
};

inline void set_limit(int resource, const std::optional<rlim_t>& value) {
    if (!value) return;
    const rlimit limit{*value, *value};
    ::setrlimit(resource, &limit);
}

inline void block_signal(int signal) {
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, signal);
    ::sigprocmask(SIG_BLOCK, &signals, nullptr);
}

// A pipe of one page, whose read end stays open as standard input.
inline void replace_log_by_unread_pipe() {
    int ends[2];
    if (::pipe(ends) != 0) ::_exit(127);
    ::fcntl(ends[1], F_SETPIPE_SZ, 0);
    ::dup2(ends[0], STDIN_FILENO);
    ::dup2(ends[1], STDOUT_FILENO);
    ::dup2(ends[1], STDERR_FILENO);
}

// Returns the process id. The child appends its standard output and error to the log, and inherits no other descriptor.
inline pid_t start_child(const std::string& program, const std::string& argument, const std::string& log_path,
                         const start_conditions& conditions = {}) {
    const pid_t child = ::fork();
    if (child != 0) return child;
    const int log = ::open(log_path.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0600);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    if (conditions.is_log_unread) replace_log_by_unread_pipe();
    const int first_closed = conditions.has_standard_files ? STDERR_FILENO + 1 : STDIN_FILENO;
    ::close_range(static_cast<unsigned>(first_closed), ~0U, 0);
    set_limit(RLIMIT_NOFILE, conditions.descriptor_limit);
    set_limit(RLIMIT_FSIZE, conditions.file_size_limit);
    set_limit(RLIMIT_AS, conditions.address_space_limit);
    if (conditions.masked_signal) block_signal(*conditions.masked_signal);
    if (conditions.blocked_signal) {
        block_signal(*conditions.blocked_signal);
        (void)::raise(*conditions.blocked_signal);
    }
    ::execl(program.c_str(), program.c_str(), argument.c_str(), nullptr);
    ::_exit(127);
}

} // namespace standin
