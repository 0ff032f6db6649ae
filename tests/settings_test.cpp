// Settings: guards against problems that are found one at a time, without their place or not at all, against keys that
// others can read, and against a reference that differs from the program.
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

// A folder with a settings file's key files.
struct folder {
    fs::path path;

    folder() {
        std::string name = (fs::temp_directory_path() / "settings_test_XXXXXX").string();
        BOOST_REQUIRE(::mkdtemp(name.data()) != nullptr);
        path = name;
        write("first.key", std::string(64, 'a') + "\n");
        write("second.key", std::string(64, 'B'));
    }
    ~folder() { fs::remove_all(path); }
    folder(const folder&) = delete;
    folder& operator=(const folder&) = delete;

    void write(const std::string& name, const std::string& text, fs::perms mode = fs::perms::owner_read) const {
        std::ofstream(path / name) << text;
        fs::permissions(path / name, mode);
    }
    std::string file() const { return (path / "d.ini").string(); }
};

const std::string smallest = "[balancer]\n"
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

std::vector<std::string> problems_of(const folder& in, const std::string& text) {
    std::vector<std::string> shown;
    const auto               read = read_settings(text, in.file());
    if (read) return shown;
    for (const finding& problem : read.error())
        shown.push_back(problem.to_string().substr(in.path.string().size() + 1));
    return shown;
}

bool mentions(const std::vector<std::string>& problems, const std::string& text) {
    return std::ranges::any_of(problems, [&](const auto& each) { return each.find(text) != std::string::npos; });
}

} // namespace

// The defaults of the table must be those of the structures, which other programs use.
BOOST_AUTO_TEST_CASE(smallest_file_gives_the_defaults) {
    const folder in;
    const auto   read = read_settings(smallest, in.file());
    BOOST_REQUIRE(read.has_value());
    const daemon_settings& settings = read.value();
    const node_settings    plain;
    BOOST_TEST(settings.node.self.id == 7U);
    BOOST_TEST(settings.node.self.control.to_string() == "[2001:db8::7]:6082");
    BOOST_TEST(settings.node.self.admin.to_string() == "127.0.0.1:6083");
    BOOST_TEST(settings.node.hash_seed == 0xffffU);
    BOOST_TEST(settings.platform.at(0).to_string() == "10.0.0.1:2379");
    BOOST_TEST((settings.node.keys.signing[31] == std::byte{0xaa}));
    BOOST_TEST(!settings.node.keys.also_accepted.has_value());
    BOOST_TEST(settings.node.partitions == daemon_settings().traffic_threads);
    BOOST_TEST(settings.receive_buffer == daemon_settings().receive_buffer);
    BOOST_TEST(settings.node.cluster == plain.cluster);
    BOOST_TEST((settings.node.store_deadline == plain.store_deadline));
    BOOST_TEST((settings.node.stop_grace == plain.stop_grace));
    BOOST_TEST(settings.node.table.max_flows == plain.table.max_flows);
    BOOST_TEST(settings.node.table.max_service_share == plain.table.max_service_share);
    BOOST_TEST((settings.node.table.half_open_timeout == plain.table.half_open_timeout));
    BOOST_TEST((settings.node.table.idle_timeout == plain.table.idle_timeout));
    BOOST_TEST((settings.node.table.udp_idle_timeout == plain.table.udp_idle_timeout));
    BOOST_TEST((settings.node.table.closing_timeout == plain.table.closing_timeout));
}

BOOST_AUTO_TEST_CASE(all_problems_are_reported_together_with_their_place) {
    const folder                   in;
    const auto                     problems = problems_of(in, "\xEF\xBB\xBFmember_id = 1\r\n"
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

BOOST_AUTO_TEST_CASE(keys_that_others_can_read_or_that_are_no_keys_are_refused) {
    const folder in;
    in.write("open.key", std::string(64, 'a'), fs::perms::owner_read | fs::perms::group_read);
    in.write("short.key", std::string(63, 'a'));
    in.write("long.key", std::string(64, 'a') + "\n" + std::string(64, 'a'));
    in.write("letters.key", std::string(62, 'a') + "xy");
    for (const char* name : {"open.key", "short.key", "long.key", "letters.key", "absent.key", "."}) {
        const auto problems = problems_of(in, smallest + "also_accepted_file = " + name + "\n");
        BOOST_TEST(mentions(problems, "d.ini:12 [keys] also_accepted_file: "), name);
    }
    BOOST_TEST(mentions(problems_of(in, smallest + "also_accepted_file = open.key"), "accessed by its group"));
    BOOST_TEST(problems_of(in, smallest + "also_accepted_file = second.key").empty());
}

BOOST_AUTO_TEST_CASE(peers_may_be_continued_on_further_lines) {
    const folder in;
    const auto   read =
        read_settings("[cluster]\npeers = 10.0.0.1:1, 10.0.0.2:2\n  10.0.0.3:3 ; third\n" + smallest, in.file());
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read.value().node.peers.size() == 3U);
    const auto problems = problems_of(in, "[cluster]\npeers = 10.0.0.1:1\n  host:2\n" + smallest);
    BOOST_TEST(mentions(problems, "d.ini:3 [cluster] peers: 'host:2' is not an address and port"));
}

BOOST_AUTO_TEST_CASE(tls_needs_all_files) {
    const folder      in;
    const std::string elsewhere = "[balancer]\nadmin_address = 10.0.0.7:6083\n";
    in.write("c.pem", "c");
    in.write("k.pem", "k", fs::perms::owner_read | fs::perms::others_read);
    const std::string some = "[admin]\ncertificate_file = c.pem\nauthority_file = c.pem\n";
    BOOST_TEST(mentions(problems_of(in, smallest + elsewhere + some), "TLS needs all three files"));
    BOOST_TEST(mentions(problems_of(in, smallest + some), "TLS needs all three files"));
    BOOST_TEST(mentions(problems_of(in, smallest + some + "key_file = k.pem\n"), "by others"));
    BOOST_TEST(problems_of(in, smallest + elsewhere + some + "key_file = first.key\n").empty());
}

BOOST_AUTO_TEST_CASE(a_reload_tells_what_takes_effect) {
    const folder in;
    const auto   before = read_settings(smallest + "[limits]\nmax_flows = 2000\n", in.file()).value();
    in.write("first.key", ""); // a new key under the same name
    fs::permissions(in.path / "first.key", fs::perms::owner_all);
    in.write("first.key", std::string(64, 'c'));
    const auto after =
        read_settings(smallest + "[limits]\nudp_idle_timeout_seconds = 5\n[log]\nlevel = error\n", in.file()).value();
    const auto difference = compare(before, after);
    BOOST_TEST(difference.needs_restart == std::vector<std::string>{"[limits] max_flows"},
               boost::test_tools::per_element());
    const std::vector<std::string> in_force = {"[limits] udp_idle_timeout_seconds", "[log] level",
                                               "[keys] (contents of the files)"};
    BOOST_TEST(difference.in_force == in_force, boost::test_tools::per_element());
    BOOST_TEST(compare(after, after).in_force.empty());

    const auto running = take_over(before, after);
    BOOST_TEST(compare(running, after).in_force.empty());
    BOOST_TEST(compare(running, after).needs_restart == difference.needs_restart, boost::test_tools::per_element());
    BOOST_TEST((running.node.keys.signing == after.node.keys.signing));
    BOOST_TEST((running.node.table.udp_idle_timeout == std::chrono::seconds(5)));
    BOOST_TEST(running.node.table.max_flows == 2000U);
}

BOOST_AUTO_TEST_CASE(no_bytes_make_reading_crash) {
    const folder      in;
    std::mt19937      random(20261204); // NOLINT(bugprone-random-generator-seed): reproducible
    const std::string pieces = std::string("[]=:;# \t\n\r\"a1") + '\0' + "\xEF\xBB\xBF";
    for (int run = 0; run < 20'000; ++run) {
        std::string text = smallest;
        for (int change = 0; change < 8; ++change)
            text.insert(random() % text.size(), 1, pieces[random() % pieces.size()]);
        const auto read = read_settings(text, in.file());
        if (!read) BOOST_REQUIRE(!read.error().empty());
    }
}

// The example files must be accepted as they stand, once the files that they name are there.
BOOST_AUTO_TEST_CASE(the_examples_have_no_problems) {
    const folder   in;
    const fs::path examples = fs::path(__FILE__).parent_path().parent_path() / "examples";
    for (const char* name : {"signing.key", "balancer.pem", "balancer.key", "operators.pem"})
        in.write(name, std::string(64, 'a'));
    std::vector<std::string> clusters;
    for (const auto& example : fs::directory_iterator(examples)) {
        std::ostringstream text;
        text << std::ifstream(example.path()).rdbuf();
        const auto read = read_settings(text.str(), in.file());
        const auto problems = problems_of(in, text.str());
        BOOST_TEST(problems.empty(), example.path().filename() << ": " << (problems.empty() ? "" : problems.front()));
        if (read) clusters.push_back(read.value().node.cluster);
    }
    std::ranges::sort(clusters);
    const std::vector<std::string> expected = {"gebze", "tuul"};
    BOOST_TEST(clusters == expected, boost::test_tools::per_element());
}

// Write the file again with: tamarackd --reference=settings
BOOST_AUTO_TEST_CASE(the_reference_matches_the_table) {
    std::ifstream      file(fs::path(__FILE__).parent_path().parent_path() / "docs" / "settings.md");
    std::ostringstream text;
    text << file.rdbuf();
    BOOST_TEST(text.str() == settings_reference());
}
