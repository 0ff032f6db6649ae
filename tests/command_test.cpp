// Command language: guards against commands that are read otherwise than they are shown, against errors without their
// place, and against input that ends the program.
#define BOOST_TEST_MODULE command
#include "tamarack/command.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <random>
#include <rapidcheck.h>
#include <sstream>

using namespace tamarack;

namespace {

// NOLINTNEXTLINE(performance-unnecessary-value-param): rapidcheck passes by value
std::string name_from(std::uint32_t number) {
    return "a.B-9_" + std::to_string(number);
}

endpoint arbitrary_endpoint() {
    const auto port = *rc::gen::inRange(1, 65'536);
    return {ip_address{*rc::gen::arbitrary<std::array<std::uint8_t, 16>>()}, static_cast<std::uint16_t>(port)};
}

change arbitrary_change() {
    const std::string service = name_from(*rc::gen::arbitrary<std::uint32_t>());
    const std::string server = name_from(*rc::gen::arbitrary<std::uint32_t>());
    const flow_limits limits{*rc::gen::element(0U, 1U, UINT32_MAX), *rc::gen::element(0U, 7U)};
    const auto        weight = static_cast<std::uint32_t>(*rc::gen::inRange(0, 1001));
    const auto        protocol = *rc::gen::element(transport::tcp, transport::udp);
    const endpoint    health = *rc::gen::arbitrary<bool>() ? arbitrary_endpoint() : endpoint();
    switch (*rc::gen::inRange(0, 7)) {
    case 0:
        return create_service{service, protocol, arbitrary_endpoint(), limits};
    case 1:
        return delete_service{service};
    case 2:
        return join_backend{service, server, arbitrary_endpoint(), health, weight, limits};
    case 3:
        return drain_backend{service, server};
    case 4:
        return undrain_backend{service, server};
    case 5:
        return leave_backend{service, server};
    default:
        return weigh_backend{service, server, weight};
    }
}

std::string error_of(std::string_view line) {
    const auto read = parse_command(line);
    return read ? "" : read.error().to_finding().to_string();
}

std::vector<std::string> words_after(std::string_view text) {
    std::vector<std::string> words;
    for (const expectation& each : expected_after(text))
        words.push_back(each.text);
    return words;
}

template <class Query>
Query query(std::string_view line) {
    const auto read = parse_command(line);
    BOOST_REQUIRE_MESSAGE(read.has_value(), line << ": " << error_of(line));
    BOOST_REQUIRE(std::holds_alternative<Query>(read.value()));
    return std::get<Query>(read.value());
}

} // namespace

BOOST_AUTO_TEST_CASE(changes_are_read_back_as_shown) {
    const bool passed = rc::check([] {
        const change      what = arbitrary_change();
        const std::string text = to_string(what);
        const auto        read = parse_command(text);
        RC_ASSERT(read.has_value());
        RC_ASSERT(std::holds_alternative<change>(read.value()));
        const change& again = std::get<change>(read.value());
        RC_ASSERT(again.index() == what.index());
        RC_ASSERT(to_string(again) == text);
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(all_parts_of_a_join_are_taken_over) {
    const auto what = std::get<join_backend>(query<change>(
        "join board b1 tunnel 10.0.0.1:6080 health [2001:db8::1]:80 weight 1000 max-flows 5 max-rate 4294967295"));
    BOOST_TEST(what.service == "board");
    BOOST_TEST(what.backend_server == "b1");
    BOOST_TEST(what.tunnel.to_string() == "10.0.0.1:6080");
    BOOST_TEST(what.health.to_string() == "[2001:db8::1]:80");
    BOOST_TEST(what.weight == 1000U);
    BOOST_TEST(what.limits.max_flows == 5U);
    BOOST_TEST(what.limits.max_new_flows_per_second == UINT32_MAX);
    BOOST_TEST(std::get<join_backend>(query<change>("join s b tunnel 10.0.0.1:1")).weight == 100U);
}

// A limit that the operator did not name must not be reset.
BOOST_AUTO_TEST_CASE(changed_limits_tell_which_were_named) {
    const auto rate = query<change_limits>("change service board max-rate 0");
    BOOST_TEST(!rate.max_flows.has_value());
    BOOST_TEST(rate.max_new_flows_per_second.value() == 0U);
    const auto shown = query<change_limits>(to_string(change(change_service{"board", {3, 0}})));
    BOOST_TEST(shown.max_flows.value() == 3U);
    BOOST_TEST(shown.max_new_flows_per_second.value() == 0U);
}

BOOST_AUTO_TEST_CASE(queries_are_read) {
    BOOST_TEST(query<show_service>(" show\tservice show ").service == "show");
    BOOST_TEST(!query<show_backend_servers>("show backend-servers").service.has_value());
    BOOST_TEST(query<show_backend_servers>("show backend-servers max-flows").service.value() == "max-flows");
    const auto flow = query<explain_flow>("explain [::1]:5->10.0.0.1:80 udp").flow;
    BOOST_TEST(flow.source.to_string() == "[::1]:5");
    BOOST_TEST(flow.destination.to_string() == "10.0.0.1:80");
    BOOST_TEST((flow.protocol == transport::udp));
    const auto history = query<show_history>("show history service s operator o@x since 2026-12-04T10:30:05Z");
    BOOST_TEST(history.service.value() == "s");
    BOOST_TEST(history.operator_name.value() == "o@x");
    BOOST_TEST(to_text(history.since) == "2026-12-04T10:30:05Z");
    BOOST_TEST((query<show_history>("show history since 3d").age == std::chrono::days(3)));
    BOOST_TEST(to_text(query<show_history>("show history since 2024-02-29").since) == "2024-02-29T00:00:00Z");
}

BOOST_AUTO_TEST_CASE(errors_point_at_the_place) {
    const std::pair<std::string_view, std::string_view> cases[] = {
        {"show servics", "column 6: 'servics' does not fit here (expected 'services', 'service', 'backend-servers', "
                         "'balancers', 'health', 'history', 'counters' or 'flows')"},
        {"drain board", "column 12: the command is not complete (expected the name of a backend server)"},
        {"weight board b1 1001", "column 17: '1001' does not fit here (expected a number from 0 to 1000)"},
        {"weight board b1 10x", "column 17: '10x' does not fit here (expected a number from 0 to 1000)"},
        {"create service s tcp 10.0.0.256:1",
         "column 22: '10.0.0.256:1' does not fit here (expected the service's ADDRESS:PORT)"},
        {"create service s tcp 2001:db8::1:443",
         "column 22: '2001:db8::1:443' does not fit here (expected the service's ADDRESS:PORT)"},
        {"create service s tcp 10.0.0.1:80 max-rate 5 max-flows 5",
         "column 45: 'max-flows' does not fit here (expected the end of the command)"},
        {"create service s tcp 10.0.0.1:80 max-flows 4294967296",
         "column 44: '4294967296' does not fit here (expected a number from 0 to 4294967295)"},
        {"change service board", "column 21: the command is not complete (expected 'max-flows' or 'max-rate')"},
        {"show history since 2026-02-30",
         "column 20: '2026-02-30' does not fit here (expected a time such as 2026-12-04, "
         "2026-12-04T10:30Z, 90s, 15m, 2h or 7d)"},
        {"explain 10.0.0.1:1 10.0.0.2:2", "column 20: '10.0.0.2:2' does not fit here (expected '->')"},
        {"showservices", "column 1: 'showservices' does not fit here (expected 'create', 'change', 'delete', 'join', "
                         "'drain', 'undrain', 'leave', 'weight', 'show', 'explain', 'watch' or 'help')"},
    };
    for (const auto& [line, expected] : cases)
        BOOST_TEST(error_of(line) == expected);
    for (const char* line :
         {"", " ", "show services\nshow flows", "drain -a b", "drain a/b c", "show history since 24:00",
          "show history since 0s", "show history since 2026-12-04T24:00Z", "explain 10.0.0.1:0 -> 10.0.0.1:1"})
        BOOST_TEST(!error_of(line).empty(), line);
}

BOOST_AUTO_TEST_CASE(completion_follows_the_grammar) {
    BOOST_TEST(words_after("join board b1 ") == std::vector<std::string>{"tunnel"}, boost::test_tools::per_element());
    const std::vector<std::string> after_history = {"service", "operator", "since"};
    BOOST_TEST(words_after("show history ") == after_history, boost::test_tools::per_element());
    BOOST_TEST(words_after("shw ").empty());
    BOOST_REQUIRE(!expected_after("drain board ").empty());
    BOOST_TEST((expected_after("drain board ").front().kind == expected_kind::backend_server_name));
    BOOST_TEST(service_in("drain board ") == "board");
}

// Each command of the help is accepted, with and without its optional parts, and docs/commands.md has the same list.
BOOST_AUTO_TEST_CASE(the_help_matches_the_grammar) {
    std::istringstream help(command_help());
    std::string        line;
    int                commands = 0;
    while (std::getline(help, line)) {
        if (!line.starts_with("  ") || line.starts_with("   ")) continue;
        std::string        whole;
        std::string        without;
        int                depth = 0;
        std::istringstream words(line);
        for (std::string word; words >> word;) {
            depth += word.starts_with('[') ? 1 : 0;
            std::string bare = word;
            std::erase_if(bare, [](char letter) { return letter == '[' || letter == ']'; });
            bare = bare == "ADDRESS:PORT" ? "10.0.0.1:1"
                   : bare == "N"          ? "1"
                   : bare == "TIME"       ? "2h"
                                          : bare.substr(0, bare.find('|'));
            whole += bare + " ";
            if (depth == 0) without += bare + " ";
            depth -= word.ends_with(']') ? 1 : 0;
        }
        const bool changes_nothing = without.starts_with("change service");
        BOOST_TEST(error_of(whole) == "", whole);
        BOOST_TEST((changes_nothing || error_of(without).empty()), without);
        ++commands;
    }
    BOOST_TEST(commands == 19);
    std::ifstream      file(std::filesystem::path(__FILE__).parent_path().parent_path() / "docs" / "commands.md");
    std::ostringstream page;
    page << file.rdbuf();
    BOOST_TEST((page.str().find("```text\n" + command_help() + "```\n") != std::string::npos));
}

BOOST_AUTO_TEST_CASE(any_line_gives_a_command_or_an_error) {
    constexpr int     lines = 100'000;
    const std::string starts[] = {
        "create service board tcp 10.0.0.1:443 max-flows 10 max-rate 20",
        "join board b1 tunnel [2001:db8::1]:6080 health 10.0.0.1:80 weight 100 max-flows 5 max-rate 6",
        "change service board max-flows 1 max-rate 2",
        "show history service board operator anna since 2026-12-04T10:30:00Z",
        "explain 10.0.0.1:5 -> [::1]:80 udp",
        "weight board b1 100",
    };
    std::mt19937 random(20261204); // NOLINT(bugprone-random-generator-seed): reproducible
    int          accepted = 0;
    for (int run = 0; run < lines; ++run) {
        std::string line = run % 4 == 0 ? std::string(random() % 80, ' ') : starts[random() % std::size(starts)];
        if (run % 4 == 0) {
            for (char& letter : line)
                letter = static_cast<char>(random());
        }
        for (std::size_t change = random() % 4; change > 0 && !line.empty(); --change) {
            const std::size_t place = random() % line.size();
            switch (random() % 4) {
            case 0:
                line[place] = static_cast<char>(random());
                break;
            case 1:
                line.erase(place, 1 + random() % 4);
                break;
            case 2:
                line.insert(place, line.substr(random() % line.size(), random() % 12));
                break;
            default:
                line.resize(place);
                break;
            }
        }
        const auto read = parse_command(line);
        if (read) {
            ++accepted;
            continue;
        }
        BOOST_REQUIRE(!read.error().expected.empty());
        BOOST_REQUIRE(read.error().column >= 1);
        BOOST_REQUIRE(read.error().column <= line.size() + 1);
        if (!expected_after(line).empty()) BOOST_REQUIRE(read.error().column == line.size() + 1);
    }
    BOOST_TEST(accepted > lines / 20); // the mutations still reach the end of the grammar
    BOOST_TEST(accepted < lines / 2);
}
