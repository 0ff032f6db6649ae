// Ignores SIGHUP before the constructors of the program's globals run, since the default action of SIGHUP ends the
// process. The event loop handles it later. What remains is the time in which the loader maps the program and binds its
// symbols.
#include <csignal>

namespace {

void ignore_reload_requests() {
    (void)std::signal(SIGHUP, SIG_IGN);
}

// The loader calls the entries of this section first.
[[gnu::section(".preinit_array"), gnu::used]] void (*const first_call)() = ignore_reload_requests;

} // namespace
