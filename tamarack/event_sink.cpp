// Writes events through glog. Apart from their table, so that programs without glog can use that.
#include "tamarack/events.h"

#include <glog/logging.h>

namespace tamarack {

void log_event(event number, std::initializer_list<event_field> fields, const char* file, int line) {
    const auto level = static_cast<google::LogSeverity>(describe(number).level); // glog counts from info, too
    google::LogMessage(file, line, level).stream() << format_event(number, fields);
}

} // namespace tamarack
