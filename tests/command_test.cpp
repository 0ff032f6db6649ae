// Command language. Guards against changes whose text form does not parse to the same change, against errors without a
// position, and against input that crashes the parser.
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
std::string make_name(std::uint32_t number) {
    return "a.B-9_" + std::to_string(number);
}

endpoint arbitrary_endpoint() {
    const auto port = *rc::gen::inRange(1, 65'536);
    return {ip_address{*rc::gen::arbitrary<std::array<std::uint8_t, 16>>()}, static_cast<std::uint16_t>(port)};
}

change arbitrary_change() {
    const std::string service = make_name(*rc::gen::arbitrary<std::uint32_t>());
    const std::string server = make_name(*rc::gen::arbitrary<std::uint32_t>());
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
    const auto parsed = parse_command(line);
    return parsed ? "" : parsed.error().to_finding().to_string();
}

std::vector<std::string> completions_after(std::string_view text) {
    std::vector<std::string> words;
    for (const expectation& expected_token : expected_after(text))
        words.push_back(expected_token.text);
    return words;
}

template <class Query>
Query query(std::string_view line) {
    const auto parsed = parse_command(line);
    BOOST_REQUIRE_MESSAGE(parsed.has_value(), line << ": " << error_of(line));
    BOOST_REQUIRE(std::holds_alternative<Query>(parsed.value()));
    return std::get<Query>(parsed.value());
}

} // namespace

BOOST_AUTO_TEST_CASE(the_text_of_a_change_parses_to_the_same_change) {
    const bool passed = rc::check([] {
        const change      requested = arbitrary_change();
        const std::string text = to_string(requested);
        const auto        parsed = parse_command(text);
        RC_ASSERT(parsed.has_value());
        RC_ASSERT(std::holds_alternative<change>(parsed.value()));
        const change& reparsed = std::get<change>(parsed.value());
        RC_ASSERT(reparsed.index() == requested.index());
        RC_ASSERT(to_string(reparsed) == text);
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(all_parts_of_a_join_are_parsed) {
    const auto requested = std::get<join_backend>(query<change>(
        "join board b1 tunnel 10.0.0.1:6080 health [2001:db8::1]:80 weight 1000 max-flows 5 max-rate 4294967295"));
    BOOST_TEST(requested.service == "board");
    BOOST_TEST(requested.backend_server == "b1");
    BOOST_TEST(requested.tunnel.to_string() == "10.0.0.1:6080");
    BOOST_TEST(requested.health.to_string() == "[2001:db8::1]:80");
    BOOST_TEST(requested.weight == 1000U);
    BOOST_TEST(requested.limits.max_flows == 5U);
    BOOST_TEST(requested.limits.max_new_flows_per_second == UINT32_MAX);
    BOOST_TEST(std::get<join_backend>(query<change>("join s b tunnel 10.0.0.1:1")).weight == 100U);
}

// A limit that the operator did not set must stay unset in the command, or it would be reset.
BOOST_AUTO_TEST_CASE(change_service_sets_only_the_limits_it_names) {
    const auto rate = query<change_limits>("change service board max-rate 0");
    BOOST_TEST(!rate.max_flows.has_value());
    BOOST_TEST(rate.max_new_flows_per_second.value() == 0U);
    const auto from_text = query<change_limits>(to_string(change(change_service{"board", {3, 0}})));
    BOOST_TEST(from_text.max_flows.value() == 3U);
    BOOST_TEST(from_text.max_new_flows_per_second.value() == 0U);
}

BOOST_AUTO_TEST_CASE(queries_are_parsed) {
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

BOOST_AUTO_TEST_CASE(errors_give_the_column) {
    const std::pair<std::string_view, std::string_view> cases[] = {
        {"show servics", "column 6: unexpected 'servics' (expected 'services', 'service', 'backend-servers', "
                         "'balancers', 'health', 'history', 'counters' or 'flows')"},
        {"drain board", "column 12: incomplete command (expected the name of a backend server)"},
        {"weight board b1 1001", "column 17: unexpected '1001' (expected a number from 0 to 1000)"},
        {"weight board b1 10x", "column 17: unexpected '10x' (expected a number from 0 to 1000)"},
        {"create service s tcp 10.0.0.256:1",
         "column 22: unexpected '10.0.0.256:1' (expected the service's ADDRESS:PORT)"},
        {"create service s tcp 2001:db8::1:443",
         "column 22: unexpected '2001:db8::1:443' (expected the service's ADDRESS:PORT)"},
        {"create service s tcp 10.0.0.1:80 max-rate 5 max-flows 5",
         "column 45: unexpected 'max-flows' (expected the end of the command)"},
        {"create service s tcp 10.0.0.1:80 max-flows 4294967296",
         "column 44: unexpected '4294967296' (expected a number from 0 to 4294967295)"},
        {"change service board", "column 21: incomplete command (expected 'max-flows' or 'max-rate')"},
        {"show history since 2026-02-30", "column 20: unexpected '2026-02-30' (expected a time such as 2026-12-04, "
                                          "2026-12-04T10:30Z, 90s, 15m, 2h or 7d)"},
        {"explain 10.0.0.1:1 10.0.0.2:2", "column 20: unexpected '10.0.0.2:2' (expected '->')"},
        {"showservices", "column 1: unexpected 'showservices' (expected 'create', 'change', 'delete', 'join', "
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
    BOOST_TEST(completions_after("join board b1 ") == std::vector<std::string>{"tunnel"},
               boost::test_tools::per_element());
    const std::vector<std::string> after_history = {"service", "operator", "since"};
    BOOST_TEST(completions_after("show history ") == after_history, boost::test_tools::per_element());
    BOOST_TEST(completions_after("shw ").empty());
    BOOST_REQUIRE(!expected_after("drain board ").empty());
    BOOST_TEST((expected_after("drain board ").front().kind == expected_kind::backend_server_name));
    BOOST_TEST(service_named_in("drain board ") == "board");
}

// Each command of the help must parse with and without its optional parts, and docs/commands.md must hold the same
// list.
BOOST_AUTO_TEST_CASE(the_help_matches_the_grammar) {
    std::istringstream help(command_help());
    std::string        line;
    int                command_count = 0;
    while (std::getline(help, line)) {
        if (!line.starts_with("  ") || line.starts_with("   ")) continue;
        std::string        with_options;
        std::string        without_options;
        int                depth = 0;
        std::istringstream words(line);
        for (std::string word; words >> word;) {
            depth += word.starts_with('[') ? 1 : 0;
            std::string example_word = word;
            std::erase_if(example_word, [](char letter) { return letter == '[' || letter == ']'; });
            example_word = example_word == "ADDRESS:PORT" ? "10.0.0.1:1"
                           : example_word == "N"          ? "1"
                           : example_word == "TIME"       ? "2h"
                                                          : example_word.substr(0, example_word.find('|'));
            with_options += example_word + " ";
            if (depth == 0) without_options += example_word + " ";
            depth -= word.ends_with(']') ? 1 : 0;
        }
        const bool names_no_limit = without_options.starts_with("change service");
        BOOST_TEST(error_of(with_options) == "", with_options);
        BOOST_TEST((names_no_limit || error_of(without_options).empty()), without_options);
        ++command_count;
    }
    BOOST_TEST(command_count == 19);
    std::ifstream      file(std::filesystem::path(__FILE__).parent_path().parent_path() / "docs" / "commands.md");
    std::ostringstream page_text;
    page_text << file.rdbuf();
    BOOST_TEST((page_text.str().find("```text\n" + command_help() + "```\n") != std::string::npos));
}

BOOST_AUTO_TEST_CASE(any_line_gives_a_command_or_an_error_with_a_column) {
    constexpr int     lines = 100'000;
    const std::string valid_lines[] = {
        "create service board tcp 10.0.0.1:443 max-flows 10 max-rate 20",
        "join board b1 tunnel [2001:db8::1]:6080 health 10.0.0.1:80 weight 100 max-flows 5 max-rate 6",
        "change service board max-flows 1 max-rate 2",
        "show history service board operator anna since 2026-12-04T10:30:00Z",
        "explain 10.0.0.1:5 -> [::1]:80 udp",
        "weight board b1 100",
    };
    std::mt19937 random(20261204); // NOLINT(bugprone-random-generator-seed): reproducible
    int          accepted = 0;
    for (int iteration = 0; iteration < lines; ++iteration) {
        std::string line =
            iteration % 4 == 0 ? std::string(random() % 80, ' ') : valid_lines[random() % std::size(valid_lines)];
        if (iteration % 4 == 0) {
            for (char& letter : line)
                letter = static_cast<char>(random());
        }
        for (std::size_t mutation = random() % 4; mutation > 0 && !line.empty(); --mutation) {
            const std::size_t position = random() % line.size();
            switch (random() % 4) {
            case 0:
                line[position] = static_cast<char>(random());
                break;
            case 1:
                line.erase(position, 1 + random() % 4);
                break;
            case 2:
                line.insert(position, line.substr(random() % line.size(), random() % 12));
                break;
            default:
                line.resize(position);
                break;
            }
        }
        const auto parsed = parse_command(line);
        if (parsed) {
            ++accepted;
            continue;
        }
        BOOST_REQUIRE(!parsed.error().expected.empty());
        BOOST_REQUIRE(parsed.error().column >= 1);
        BOOST_REQUIRE(parsed.error().column <= line.size() + 1);
        if (!expected_after(line).empty()) BOOST_REQUIRE(parsed.error().column == line.size() + 1);
    }
    BOOST_TEST(accepted > lines / 20); // enough mutated lines are still complete commands
    BOOST_TEST(accepted < lines / 2);
}
