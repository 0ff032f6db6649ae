// Settings of the entry balancer: accepted values, and the report of all problems with their location.
#define BOOST_TEST_MODULE entry_settings
#include "entry/settings.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

using namespace tamarack;
using namespace tamarack::entry;

namespace {

const std::string valid_settings = "[balancer]\nname = one\nfailure_domain = north\npackets_address = 10.0.0.1:8172\n"
                                   "readiness_address = 10.0.0.1:8167\n[peers]\naddress = 10.0.0.1:7720\n"
                                   "contacts = 10.0.0.2:8166,10.0.0.3:8166\n[store]\naddress = 10.200.1.7:8169\n"
                                   "[stop]\ngrace_seconds = 4\n[limits]\nmemory_mb = 80\n";

std::string problems_of(const std::string& text) {
    const auto  values = read_settings(text, "test.ini");
    std::string problems;
    if (values) return problems;
    for (const finding& each : values.error())
        problems += each.to_string() + "\n";
    return problems;
}

} // namespace

BOOST_AUTO_TEST_CASE(valid_settings_are_read) {
    const auto values = read_settings(valid_settings, "test.ini");
    BOOST_REQUIRE(values.has_value());
    BOOST_TEST(values.value().name == "one");
    BOOST_TEST(values.value().contacts.size() == 2U);
    BOOST_TEST(values.value().store_address.port == 8169);
    BOOST_TEST((values.value().stop_grace == std::chrono::seconds(4)));
    BOOST_TEST(values.value().memory_mb == 80U);
    BOOST_TEST(!values.value().metrics_address.has_value());
}

BOOST_AUTO_TEST_CASE(the_deadline_of_a_change_and_the_first_start_are_read) {
    const auto defaults = read_settings(valid_settings, "test.ini");
    BOOST_TEST((defaults.value().change_deadline == std::chrono::seconds(3)));
    BOOST_TEST(!defaults.value().is_first_start);
    const auto values =
        read_settings(valid_settings + "change_deadline_ms = 6000\n[balancer]\nfirst_start = true\n", "test.ini");
    BOOST_REQUIRE(values.has_value());
    BOOST_TEST((values.value().change_deadline == std::chrono::seconds(6)));
    BOOST_TEST(values.value().is_first_start);
    BOOST_TEST(problems_of(valid_settings + "change_deadline_ms = soon\n").find("change_deadline_ms") !=
               std::string::npos);
    BOOST_TEST(problems_of(valid_settings + "[balancer]\nfirst_start = yes\n").find("first_start") !=
               std::string::npos);
}

// Each of these kept a host from starting: memory as a fraction, and a list with a blank or a port that is not used.
BOOST_AUTO_TEST_CASE(numbers_and_lists_are_read_in_the_forms_that_writers_choose) {
    std::string text = valid_settings;
    text.replace(text.find("memory_mb = 80"), 14, "memory_mb = 260.5");
    text.replace(text.find("10.0.0.2:8166,"), 14, "10.0.0.2:0, ");
    const auto values = read_settings(text, "test.ini");
    BOOST_REQUIRE(values.has_value());
    BOOST_TEST(values.value().memory_mb == 260U);
    BOOST_TEST(values.value().contacts.size() == 2U);
    BOOST_TEST(problems_of(valid_settings + "[peers]\ncontacts = nowhere\n").find("contacts") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(all_problems_are_reported_together) {
    const std::string problems =
        problems_of("[balancer]\nname = one\npackets_address = nowhere\nreadiness_address = 10.0.0.1:0\ncolour = red\n"
                    "[stop]\ngrace_seconds = 0\n");
    for (const char* expected : {"packets_address", "readiness_address", "colour", "grace_seconds", "failure_domain",
                                 "[store] address", "[peers] address"})
        BOOST_TEST(problems.find(expected) != std::string::npos, expected);
}

BOOST_AUTO_TEST_CASE(a_duplicate_key_and_an_invalid_line_are_reported) {
    BOOST_TEST(problems_of(valid_settings + "memory_mb = 90\n").find("twice") != std::string::npos);
    BOOST_TEST(problems_of(valid_settings + "nonsense\n").find("INI") != std::string::npos);
}

// The status pages require no authentication, so that other hosts must not reach their address.
BOOST_AUTO_TEST_CASE(the_status_address_is_a_loopback_address) {
    BOOST_TEST(problems_of(valid_settings + "[balancer]\nstatus_address = 127.0.0.1:9109\n").empty());
    BOOST_TEST(problems_of(valid_settings + "[balancer]\nstatus_address = 10.0.0.1:9109\n").find("loopback") !=
               std::string::npos);
}

// A change of the file after it was read must be detected, even if it happens before the file is watched. Therefore the
// modification time belongs to the content that was read.
BOOST_AUTO_TEST_CASE(the_modification_time_is_stored_with_the_settings) {
    const std::string file = (std::filesystem::temp_directory_path() / "entry_settings_test.ini").string();
    std::ofstream(file) << valid_settings;
    const auto values = read_settings_file(file);
    BOOST_REQUIRE(values.has_value());
    BOOST_TEST((values.value().modified_at == std::filesystem::last_write_time(file)));
    std::filesystem::last_write_time(file, values.value().modified_at + std::chrono::seconds(1));
    BOOST_TEST((modification_time(file) != values.value().modified_at));
    std::filesystem::remove(file);
    BOOST_TEST((modification_time(file) == std::filesystem::file_time_type{}));
}

BOOST_AUTO_TEST_CASE(an_empty_optional_key_keeps_its_default) {
    BOOST_TEST(problems_of(valid_settings + "[balancer]\nmetrics_address =\n").empty());
}

BOOST_AUTO_TEST_CASE(changed_keys_are_sorted_by_whether_they_need_a_restart) {
    const auto  current = read_settings(valid_settings, "test.ini").value();
    std::string text = valid_settings;
    text.replace(text.find("grace_seconds = 4"), 17, "grace_seconds = 9");
    text.replace(text.find("memory_mb = 80"), 14, "memory_mb = 90");
    const settings_difference difference = compare_settings(current, read_settings(text, "test.ini").value());
    BOOST_TEST(difference.immediate_keys == std::vector<std::string>{"[stop] grace_seconds"});
    BOOST_TEST(difference.restart_keys == std::vector<std::string>{"[limits] memory_mb"});
    BOOST_TEST(compare_settings(current, current).empty());
}

BOOST_AUTO_TEST_CASE(a_missing_file_is_an_error) {
    BOOST_TEST(!read_settings_file("/nonexistent/settings.ini").has_value());
}

BOOST_AUTO_TEST_CASE(the_reference_page_matches_the_settings_table) {
    std::ifstream      page(std::string(SOURCE_FOLDER) + "/docs/entry-settings.md");
    std::ostringstream text;
    text << page.rdbuf();
    BOOST_TEST(text.str() == settings_reference());
}
