// What the process inherits from the program that starts it: dispositions of signals, the signal mask, and the standard
// files. Closed standard files are opened as /dev/null before main, so that no log line is written to a socket that has
// got their number.
#pragma once

#include <cstddef>

namespace tamarack {

// Must be called first in main. Signals without a meaning for the program are ignored, since their default action would
// end or stop it; SIGHUP too, until the event loop handles it.
void        prepare_environment();
// Whether SIGTERM or SIGINT has arrived while the event loop did not handle them yet.
bool        is_stop_requested();
// Keeps further signals from changing the exit status of a process that has ended its work.
void        block_signals();
// Descriptors that the process may have open (RLIMIT_NOFILE).
std::size_t descriptor_limit();
// Whether so many more descriptors can be opened, otherwise errno says why not; for libraries that end the process when
// they cannot open one.
bool        can_open_descriptors(std::size_t count);

} // namespace tamarack
