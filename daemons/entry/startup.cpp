// Repeats the start until everything that it needs is there.
#include "daemons/entry/startup.h"

#include "entry/change_deadline.h"
#include "entry/lifecycle.h"
#include "tamarack/process_environment.h"

#include <thread>

namespace tamarack::entry {

namespace {

constexpr std::chrono::milliseconds retry_interval(100);
// A settings file that may be incomplete is used when it has not changed for this long.
constexpr duration                  settle_time = std::chrono::seconds(1);
// The end of a stop: the event loop notices the signal and the end of the grace time with a tick each, and the last
// lines of the log wait for their reader.
static_assert(2 * tick_interval + last_lines_wait <= grace_margin);

} // namespace

void startup::run() {
    while (!is_stop_requested()) {
        try {
            if (run_once()) return;
        } catch (const std::exception& error) {
            note_exception(error);
        }
        std::this_thread::sleep_for(retry_interval);
    }
}

// Returns false if the balancer cannot start yet.
bool startup::run_once() {
    const auto process = try_to_open();
    log_.flush();
    if (!process) return false;
    process->run();
    return true;
}

void startup::note_exception(const std::exception& error) {
    ++restarts_;
    try {
        log_.note_restart(error.what());
        log_.flush();
    } catch (const std::exception&) {
        return; // without memory for the line, the counter alone tells of the exception
    }
}

std::unique_ptr<entry_process> startup::try_to_open() {
    (void)take_reload_request(); // the settings are read now
    const start_settings read = read_start_settings(settings_path_);
    if (!read.values || !is_settled(read)) {
        if (report_.is_due(to_string(read.problems), time_.steady_now())) log_.note_settings_problems(read.problems);
        return nullptr;
    }
    auto process = entry_process::open(*read.values, settings_path_, time_, output_, restarts_);
    if (!process) {
        if (report_.is_due(process.error(), time_.steady_now())) log_.note_socket_failed(process.error());
        return nullptr;
    }
    if (!read.problems.empty()) log_.note_settings_problems(read.problems);
    return std::move(process).value();
}

// A file that is just being written may end anywhere.
bool startup::is_settled(const start_settings& read) {
    if (read.text != latest_text_) {
        latest_text_ = read.text;
        text_changed_at_ = time_.steady_now();
    }
    const bool is_complete = read.problems.empty() && read.text.ends_with('\n');
    return is_complete || time_.steady_now() - text_changed_at_ >= settle_time;
}

} // namespace tamarack::entry
