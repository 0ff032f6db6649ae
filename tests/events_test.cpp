// Log events. Guards against values that can forge fields or lines, numbers that are used twice, and a catalogue that
// differs from the program.
#define BOOST_TEST_MODULE events
#include "tamarack/events.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <glog/logging.h>
#include <set>
#include <sstream>

using namespace tamarack;

namespace {

// Records the messages that glog writes.
struct recording_sink : google::LogSink {
    std::vector<std::pair<google::LogSeverity, std::string>> lines;

    void send(google::LogSeverity level, const char* /*path*/, const char* /*file*/, int /*line*/,
              const google::LogMessageTime& /*time*/, const char* message, std::size_t size) override {
        lines.emplace_back(level, std::string(message, size));
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(values_cannot_forge_fields_or_lines) {
    const std::string line = format_event(event::call_refused, {{"operator", "anna revision=7"},
                                                                {"reason", "a \"b\"\\\nT1004 stopped\x7f"},
                                                                {"from", "[2001:db8::1]:443"},
                                                                {"empty", ""},
                                                                {"count", 18'446'744'073'709'551'615U}});
    BOOST_TEST(line == "T7001 administration call refused operator=\"anna revision=7\" "
                       "reason=\"a \\\"b\\\"\\\\\\x0aT1004 stopped\\x7f\" from=[2001:db8::1]:443 empty=\"\" "
                       "count=18446744073709551615");
}

BOOST_AUTO_TEST_CASE(events_reach_the_log_with_their_severity) {
    FLAGS_logtostderr = true;
    recording_sink sink;
    google::AddLogSink(&sink);
    log_event(event::store_unavailable, {{"status", "unavailable"}});
    google::RemoveLogSink(&sink);
    BOOST_REQUIRE(sink.lines.size() == 1U);
    BOOST_TEST(sink.lines[0].first == google::GLOG_WARNING);
    BOOST_TEST(sink.lines[0].second == "T8001 store unavailable status=unavailable");
}

BOOST_AUTO_TEST_CASE(numbers_and_texts_are_unique) {
    std::set<event>            numbers;
    std::set<std::string_view> texts;
    for (const event_description& each : event_table()) {
        BOOST_TEST(numbers.insert(each.number).second, each.text);
        BOOST_TEST(texts.insert(each.text).second, each.text);
        BOOST_TEST(!each.meaning.empty(), each.text);
    }
}

// Regenerate the file with: tamarackd --reference=events > docs/events.md
BOOST_AUTO_TEST_CASE(the_catalogue_matches_the_table) {
    std::ifstream      file(std::filesystem::path(__FILE__).parent_path().parent_path() / "docs" / "events.md");
    std::ostringstream text;
    text << file.rdbuf();
    BOOST_TEST(text.str() == event_reference());
}
