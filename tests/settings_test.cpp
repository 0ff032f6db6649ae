// Settings files. Guards against problems that are reported one at a time, without their location or not at all,
// against key files that other users can read, and against a reference that differs from the program.
#define BOOST_TEST_MODULE settings
#include "tamarack/settings.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

using namespace tamarack;
namespace fs = std::filesystem;

namespace {

// A temporary folder with the key files that the settings name.
struct settings_folder {
    fs::path path;

    settings_folder() {
        std::string name = (fs::temp_directory_path() / "settings_test_XXXXXX").string();
        BOOST_REQUIRE(::mkdtemp(name.data()) != nullptr);
        path = name;
        write("first.key", std::string(64, 'a') + "\n");
        write("second.key", std::string(64, 'B'));
    }
    ~settings_folder() { fs::remove_all(path); }
    settings_folder(const settings_folder&) = delete;
    settings_folder& operator=(const settings_folder&) = delete;

    void write(const std::string& name, const std::string& text, fs::perms mode = fs::perms::owner_read) const {
        std::ofstream(path / name) << text;
        fs::permissions(path / name, mode);
    }
    std::string file() const { return (path / "d.ini").string(); }
};

const std::string minimal_file = "[balancer]\n"
                                 "member_id = 7\n"
                                 "failure_domain = north\n"
                                 "relay_address = 10.0.0.7:6081\n"
                                 "control_address = [2001:db8::7]:6082\n"
                                 "[cluster]\n"
                                 "hash_seed = 0xffFF\n"
                                 "[platform]\n"
                                 "addresses = 10.0.0.1:2379\n"
                                 "[keys]\n"
                                 "signing_file = first.key\n";

std::vector<std::string> problems_of(const settings_folder& folder, const std::string& text) {
    std::vector<std::string> texts;
    const auto               read = read_settings(text, folder.file());
    if (read) return texts;
    for (const finding& problem : read.error())
        texts.push_back(problem.to_string().substr(folder.path.string().size() + 1));
    return texts;
}

bool mentions(const std::vector<std::string>& problems, const std::string& text) {
    return std::ranges::any_of(problems, [&](const auto& problem) { return problem.find(text) != std::string::npos; });
}

} // namespace

// The defaults in the table of keys must equal those of the structures, which other programs use directly.
BOOST_AUTO_TEST_CASE(a_minimal_file_gives_the_defaults) {
    const settings_folder folder;
    const auto            read = read_settings(minimal_file, folder.file());
    BOOST_REQUIRE(read.has_value());
    const daemon_settings& settings = read.value();
    const node_settings    defaults;
    BOOST_TEST(settings.node.self.id == 7U);
    BOOST_TEST(settings.node.self.control.to_string() == "[2001:db8::7]:6082");
    BOOST_TEST(settings.node.self.admin.to_string() == "127.0.0.1:6083");
    BOOST_TEST(settings.node.hash_seed == 0xffffU);
    BOOST_TEST(settings.platform.at(0).to_string() == "10.0.0.1:2379");
    BOOST_TEST((settings.node.keys.signing[31] == std::byte{0xaa}));
    BOOST_TEST(!settings.node.keys.also_accepted.has_value());
    BOOST_TEST(settings.node.partitions == daemon_settings().traffic_threads);
    BOOST_TEST(settings.receive_buffer == daemon_settings().receive_buffer);
    BOOST_TEST(settings.node.cluster == defaults.cluster);
    BOOST_TEST((settings.node.store_deadline == defaults.store_deadline));
    BOOST_TEST((settings.node.stop_grace == defaults.stop_grace));
    BOOST_TEST(settings.node.table.max_flows == defaults.table.max_flows);
    BOOST_TEST(settings.node.table.max_service_share == defaults.table.max_service_share);
    BOOST_TEST((settings.node.table.half_open_timeout == defaults.table.half_open_timeout));
    BOOST_TEST((settings.node.table.idle_timeout == defaults.table.idle_timeout));
    BOOST_TEST((settings.node.table.udp_idle_timeout == defaults.table.udp_idle_timeout));
    BOOST_TEST((settings.node.table.closing_timeout == defaults.table.closing_timeout));
}

BOOST_AUTO_TEST_CASE(all_problems_are_reported_together_with_their_location) {
    const settings_folder          folder;
    const auto                     problems = problems_of(folder, "\xEF\xBB\xBFmember_id = 1\r\n"
                                                                                      "[balancer]\r\n"
                                                                                      "member_id = 0\n"
                                                                                      "member_id = 1\n"
                                                                                      "failure_domain = a b ; comment\n"
                                                                                      "traffic_threads = 65\n"
                                                                                      "relay_address = 0.0.0.0:6081\n"
                                                                                      "control_address = 127.0.0.1:6080\n"
                                                                                      "admin_address = 10.0.0.7:6083\n"
                                                                                      "colour = red\n"
                                                                                      "[no such section]\n"
                                                                                      "member_id = 3\n"
                                                                                      "[cluster\n"
                                                                                      "hash_seed = 1\n"
                                                                                      "[limits]\n"
                                                                                      "  max_flows = 2000\n"
                                                                                      "  idle_timeout_seconds = 100\n"
                                                                                      "max_service_share = nan\n"
                                                                                      "a line without a value\n"
                                                                                      "[log]\n"
                                                                                      "level = \x01\n"
                                                                                      "; " +
                                                                      std::string(300, 'x') + "\n");
    const std::vector<std::string> expected = {
        "d.ini:1 member_id: the key stands before the first section",
        "d.ini:3 [balancer] member_id: '0' is not accepted (expected 1 to 4294967295)",
        "d.ini:4 [balancer] member_id: the key is already set in line 3",
        "d.ini:5 [balancer] failure_domain: 'a b' is not accepted (expected 1 to 63 letters",
        "d.ini:6 [balancer] traffic_threads: '65' is not accepted (expected 1 to 64)",
        "d.ini:7 [balancer] relay_address: peers cannot send to 0.0.0.0:6081",
        "d.ini:10 [balancer] colour: unknown key (expected member_id, failure_domain",
        "d.ini:11 [no such section]: unknown section (expected [balancer], [cluster]",
        "d.ini:13 [cluster]: the line lacks ']'",
        "d.ini:17 [limits] max_flows: an indented line continues the value",
        "d.ini:18 [limits] max_service_share: 'nan' is not accepted (expected 0.01 to 1)",
        "d.ini:19: not a setting",
        "d.ini:21: the line contains a control character",
        "d.ini:22: the line is too long",
        "d.ini [cluster] hash_seed: the key is missing",
        "d.ini [platform] addresses: the key is missing",
        "d.ini [keys] signing_file: the key is missing",
        "d.ini:8 [balancer] control_address: 0.0.0.0:6080 is used twice",
        "d.ini:9 [balancer] admin_address: an interface that is not on loopback needs TLS",
    };
    BOOST_TEST(problems.size() == expected.size());
    for (std::size_t i = 0; i < std::min(problems.size(), expected.size()); ++i)
        BOOST_TEST(problems[i].starts_with(expected[i]), problems[i] << " instead of " << expected[i]);
}

BOOST_AUTO_TEST_CASE(key_files_that_others_can_read_or_that_hold_no_key_are_refused) {
    const settings_folder folder;
    folder.write("open.key", std::string(64, 'a'), fs::perms::owner_read | fs::perms::group_read);
    folder.write("short.key", std::string(63, 'a'));
    folder.write("long.key", std::string(64, 'a') + "\n" + std::string(64, 'a'));
    folder.write("letters.key", std::string(62, 'a') + "xy");
    for (const char* name : {"open.key", "short.key", "long.key", "letters.key", "absent.key", "."}) {
        const auto problems = problems_of(folder, minimal_file + "also_accepted_file = " + name + "\n");
        BOOST_TEST(mentions(problems, "d.ini:12 [keys] also_accepted_file: "), name);
    }
    BOOST_TEST(mentions(problems_of(folder, minimal_file + "also_accepted_file = open.key"), "accessed by its group"));
    BOOST_TEST(problems_of(folder, minimal_file + "also_accepted_file = second.key").empty());
}

BOOST_AUTO_TEST_CASE(peers_may_be_continued_on_further_lines) {
    const settings_folder folder;
    const auto read = read_settings("[cluster]\npeers = 10.0.0.1:1, 10.0.0.2:2\n  10.0.0.3:3 ; third\n" + minimal_file,
                                    folder.file());
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read.value().node.peers.size() == 3U);
    const auto problems = problems_of(folder, "[cluster]\npeers = 10.0.0.1:1\n  host:2\n" + minimal_file);
    BOOST_TEST(mentions(problems, "d.ini:3 [cluster] peers: 'host:2' is not an address and port"));
}

BOOST_AUTO_TEST_CASE(tls_needs_all_files) {
    const settings_folder folder;
    const std::string     remote_admin = "[balancer]\nadmin_address = 10.0.0.7:6083\n";
    folder.write("c.pem", "c");
    folder.write("k.pem", "k", fs::perms::owner_read | fs::perms::others_read);
    const std::string two_of_three_files = "[admin]\ncertificate_file = c.pem\nauthority_file = c.pem\n";
    BOOST_TEST(
        mentions(problems_of(folder, minimal_file + remote_admin + two_of_three_files), "TLS needs all three files"));
    BOOST_TEST(mentions(problems_of(folder, minimal_file + two_of_three_files), "TLS needs all three files"));
    BOOST_TEST(mentions(problems_of(folder, minimal_file + two_of_three_files + "key_file = k.pem\n"), "by others"));
    BOOST_TEST(
        problems_of(folder, minimal_file + remote_admin + two_of_three_files + "key_file = first.key\n").empty());
}

BOOST_AUTO_TEST_CASE(a_reload_reports_which_keys_take_effect) {
    const settings_folder folder;
    const auto            before = read_settings(minimal_file + "[limits]\nmax_flows = 2000\n", folder.file()).value();
    folder.write("first.key", ""); // replaced by a new key under the same file name
    fs::permissions(folder.path / "first.key", fs::perms::owner_all);
    folder.write("first.key", std::string(64, 'c'));
    const auto after =
        read_settings(minimal_file + "[limits]\nudp_idle_timeout_seconds = 5\n[log]\nlevel = error\n", folder.file())
            .value();
    const auto difference = compare(before, after);
    BOOST_TEST(difference.needs_restart == std::vector<std::string>{"[limits] max_flows"},
               boost::test_tools::per_element());
    const std::vector<std::string> in_force = {"[limits] udp_idle_timeout_seconds", "[log] level",
                                               "[keys] (contents of the files)"};
    BOOST_TEST(difference.in_force == in_force, boost::test_tools::per_element());
    BOOST_TEST(compare(after, after).in_force.empty());

    const auto merged = apply_reloadable(before, after);
    BOOST_TEST(compare(merged, after).in_force.empty());
    BOOST_TEST(compare(merged, after).needs_restart == difference.needs_restart, boost::test_tools::per_element());
    BOOST_TEST((merged.node.keys.signing == after.node.keys.signing));
    BOOST_TEST((merged.node.table.udp_idle_timeout == std::chrono::seconds(5)));
    BOOST_TEST(merged.node.table.max_flows == 2000U);
}

BOOST_AUTO_TEST_CASE(malformed_files_give_findings_instead_of_a_crash) {
    const settings_folder folder;
    std::mt19937          random(20261204); // NOLINT(bugprone-random-generator-seed): reproducible
    const std::string     characters = std::string("[]=:;# \t\n\r\"a1") + '\0' + "\xEF\xBB\xBF";
    for (int iteration = 0; iteration < 20'000; ++iteration) {
        std::string text = minimal_file;
        for (int change = 0; change < 8; ++change)
            text.insert(random() % text.size(), 1, characters[random() % characters.size()]);
        const auto read = read_settings(text, folder.file());
        if (!read) BOOST_REQUIRE(!read.error().empty());
    }
}

// The example files must be accepted unchanged when the files that they name exist.
BOOST_AUTO_TEST_CASE(the_example_files_are_valid) {
    const settings_folder folder;
    const fs::path        examples = fs::path(__FILE__).parent_path().parent_path() / "examples";
    for (const char* name : {"signing.key", "balancer.pem", "balancer.key", "operators.pem"})
        folder.write(name, std::string(64, 'a'));
    std::vector<std::string> clusters;
    for (const auto& example : fs::directory_iterator(examples)) {
        std::ostringstream text;
        text << std::ifstream(example.path()).rdbuf();
        const auto read = read_settings(text.str(), folder.file());
        const auto problems = problems_of(folder, text.str());
        BOOST_TEST(problems.empty(), example.path().filename() << ": " << (problems.empty() ? "" : problems.front()));
        if (read) clusters.push_back(read.value().node.cluster);
    }
    std::ranges::sort(clusters);
    const std::vector<std::string> expected = {"gebze", "tuul"};
    BOOST_TEST(clusters == expected, boost::test_tools::per_element());
}

// Regenerate the file with: tamarackd --reference=settings > docs/settings.md
BOOST_AUTO_TEST_CASE(the_reference_matches_the_table_of_keys) {
    std::ifstream      file(fs::path(__FILE__).parent_path().parent_path() / "docs" / "settings.md");
    std::ostringstream text;
    text << file.rdbuf();
    BOOST_TEST(text.str() == settings_reference());
}
