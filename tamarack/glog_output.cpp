// Formats and hands over the lines.
#include "tamarack/glog_output.h"

#include "tamarack/events.h"
#include "tamarack/process_environment.h"

namespace tamarack {

namespace {

constexpr duration report_interval = std::chrono::seconds(1);

} // namespace

glog_output::glog_output(int descriptor, const clock& time) : time_(time), writer_(descriptor) {
    FLAGS_logtostderr = false;
    FLAGS_alsologtostderr = false;
    FLAGS_stderrthreshold = google::NUM_SEVERITIES;
    for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity)
        google::SetLogDestination(severity, ""); // no file
    google::AddLogSink(this);
}

glog_output::~glog_output() {
    google::RemoveLogSink(this);
}

void glog_output::send(google::LogSeverity severity, const char* /*full_filename*/, const char* base_filename, int line,
                       const google::LogMessageTime& logged_at, const char* message, size_t message_size) {
    report_dropped_lines(base_filename, line, logged_at);
    writer_.append(ToString(severity, base_filename, line, logged_at, message, message_size) + "\n");
    writer_.flush();
    if (severity != google::GLOG_FATAL) return;
    drain();
    discard_unread_errors(); // glog adds the stack itself
}

// Without room for it the report waits for the next line.
void glog_output::report_dropped_lines(const char* base_filename, int line, const google::LogMessageTime& logged_at) {
    const std::uint64_t dropped = writer_.unreported_lines();
    const steady_time   now = time_.steady_now();
    if (dropped == 0 || now < report_due_) return;
    report_due_ = now + report_interval;
    const std::string text = format_event(event::lines_left_out, {{"count", dropped}, {"dropped", dropped}});
    writer_.append_report(
        ToString(google::GLOG_WARNING, base_filename, line, logged_at, text.data(), text.size()) + "\n", dropped);
}

} // namespace tamarack
