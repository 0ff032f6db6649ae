// Writes events through glog. Separate from the event table, so that programs without glog can use the table.
#include "tamarack/events.h"

#include <glog/logging.h>

namespace tamarack {

void log_event(event number, std::initializer_list<event_field> fields, const char* file, int line) {
    const auto level =
        static_cast<google::LogSeverity>(describe(number).level); // severity has the same values as glog's
    google::LogMessage(file, line, level).stream() << format_event(number, fields);
}

} // namespace tamarack
