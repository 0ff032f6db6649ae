// What the process inherits from the program that starts it: dispositions of signals, the signal mask, and the standard
// files. Closed standard files are opened as /dev/null before main, so that no log line is written to a socket that has
// got their number.
#pragma once

#include <cstddef>

namespace tamarack {

// Must be called first in main. Signals without a meaning for the program are ignored, since their default action would
// end or stop it. SIGTERM, SIGINT and SIGHUP are noted from here on.
void        prepare_environment();
// Discards what is written to standard error from here on if its reader has stopped, so that a message cannot keep the
// process from ending. For messages that the process ends after; log_writer is for all others.
void        discard_unread_errors();
// Whether SIGTERM or SIGINT has arrived.
bool        is_stop_requested();
// Whether SIGHUP has arrived since the last call.
bool        take_reload_request();
// Blocks SIGTERM, SIGINT and SIGHUP in the calling thread, so that they interrupt another one.
void        block_handled_signals();
// Descriptors that the process may have open (RLIMIT_NOFILE).
std::size_t descriptor_limit();
// Whether so many more descriptors can be opened, otherwise errno says why not; for libraries that end the process when
// they cannot open one.
bool        can_open_descriptors(std::size_t count);

} // namespace tamarack
