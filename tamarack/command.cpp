// The grammar of the command language.
#include "tamarack/command.h"

#include <boost/spirit/home/x3.hpp>

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace tamarack {

namespace {

namespace x3 = boost::spirit::x3;

//----------------------------------------------------------------------------------------------------------------------
// State of a parse
//----------------------------------------------------------------------------------------------------------------------

// Parts of the command that have been parsed so far. The first words of a command determine which parts it uses.
struct command_parts {
    std::string                  service_name;
    std::string                  backend_server;
    std::string                  operator_name;
    transport                    protocol = transport::tcp;
    endpoint                     address;        // service address, tunnel or caller
    endpoint                     second_address; // health or destination
    std::uint32_t                weight = 100;
    std::optional<std::uint32_t> max_flows;
    std::optional<std::uint32_t> max_rate;
    wall_time                    since{};
    duration                     age{};
    std::optional<command>       result;

    flow_limits limits() const { return {max_flows.value_or(0), max_rate.value_or(0)}; }
};

// The furthest position at which a token did not match, and all tokens that were expected there.
struct parse_failures {
    const char*              furthest = nullptr;
    std::vector<expectation> expected;

    void record(const char* position, const expectation& expected_token) {
        if (furthest != nullptr && position < furthest) return;
        if (position != furthest) expected.clear();
        furthest = position;
        if (std::ranges::find(expected, expected_token) == expected.end()) expected.push_back(expected_token);
    }
};

struct parts_tag;
struct failures_tag;

//----------------------------------------------------------------------------------------------------------------------
// Tokens
//----------------------------------------------------------------------------------------------------------------------

// Skips blanks, parses the subject, and records the expected token in parse_failures when the subject does not match.
template <class Subject>
struct token_parser : x3::unary_parser<Subject, token_parser<Subject>> {
    using base = x3::unary_parser<Subject, token_parser<Subject>>;
    static const bool is_pass_through_unary = true;
    static const bool handles_container = Subject::handles_container;

    token_parser(const Subject& inner, expectation expected) : base(inner), expected_token(std::move(expected)) {}

    template <class Iterator, class Context, class Rule_context, class Attribute>
    bool parse(Iterator& first, const Iterator& last, const Context& context, Rule_context& rule_context,
               Attribute& attribute) const {
        Iterator position = first;
        x3::skip_over(position, last, context);
        const Iterator start = position;
        if (this->subject.parse(position, last, context, rule_context, attribute)) {
            first = position;
            return true;
        }
        x3::get<failures_tag>(context).record(start, expected_token);
        return false;
    }

    expectation expected_token;
};

template <class Subject>
auto token(expected_kind kind, std::string text, const Subject& subject) {
    return token_parser<typename x3::extension::as_parser<Subject>::value_type>(x3::as_parser(subject),
                                                                                {kind, std::move(text)});
}

// Own definition, since x3::blank asserts that all characters are ASCII.
const auto blank = x3::char_(" \t");
const auto name_character = x3::char_("a-zA-Z0-9._-");
const auto name_text = x3::raw[x3::lexeme[x3::char_("a-zA-Z0-9") >> *name_character]];
const auto address_text = x3::raw[x3::lexeme[+x3::char_("0-9a-fA-F.:[]")]];
const auto word_text = x3::raw[x3::lexeme[+x3::char_('!', '~')]];
const auto time_text = x3::raw[x3::lexeme[+x3::char_("0-9a-zA-Z:-")]];

auto word(const char* text) {
    return token(expected_kind::word, text, x3::omit[x3::lexeme[x3::lit(text) >> !name_character]]);
}

std::string text_of(const auto& context) {
    const auto& range = x3::_attr(context);
    return std::string(range.begin(), range.end());
}

auto name(expected_kind kind, const char* description, std::string command_parts::*member) {
    return token(kind, description, name_text[([member](const auto& context) {
                     const std::string text = text_of(context);
                     x3::_pass(context) = text.size() <= max_name_size;
                     x3::get<parts_tag>(context).*member = text;
                 })]);
}

auto address(const char* description, endpoint command_parts::*member) {
    return token(expected_kind::other, description, address_text[([member](const auto& context) {
                     const auto parsed = endpoint::parse(text_of(context));
                     x3::_pass(context) = parsed && parsed->port != 0;
                     x3::get<parts_tag>(context).*member = parsed.value_or(endpoint());
                 })]);
}

template <class Member>
auto number(std::uint32_t high, Member member) {
    return token(expected_kind::other, "a number from 0 to " + std::to_string(high),
                 x3::lexeme[x3::uint32 >> !name_character][([=](const auto& context) {
                     x3::_pass(context) = x3::_attr(context) <= high;
                     x3::get<parts_tag>(context).*member = x3::_attr(context);
                 })]);
}

//----------------------------------------------------------------------------------------------------------------------
// Times
//----------------------------------------------------------------------------------------------------------------------

std::optional<duration> parse_age(std::string_view text) {
    constexpr std::uint32_t max_count = 100'000; // for each unit; 100,000 days are within the range of duration
    std::uint32_t           count = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (error != std::errc{} || end + 1 != text.data() + text.size() || count == 0 || count > max_count)
        return std::nullopt;
    switch (text.back()) {
    case 's':
        return std::chrono::seconds(count);
    case 'm':
        return std::chrono::minutes(count);
    case 'h':
        return std::chrono::hours(count);
    case 'd':
        return std::chrono::days(count);
    default:
        return std::nullopt;
    }
}

// Parses a fixed number of digits and removes them and the separator after them from the text.
std::optional<int> parse_digits(std::string_view& text, std::size_t digits, char separator) {
    int value = 0;
    if (text.size() < digits) return std::nullopt;
    const auto [end, error] = std::from_chars(text.data(), text.data() + digits, value);
    if (error != std::errc{} || end != text.data() + digits || value < 0) return std::nullopt;
    text.remove_prefix(digits);
    if (text.empty()) return value;
    if (text.front() != separator) return std::nullopt;
    text.remove_prefix(1);
    return value;
}

std::optional<duration> parse_time_of_day(std::string_view text) {
    if (!text.ends_with('Z')) return std::nullopt;
    text.remove_suffix(1);
    const bool has_seconds = text.size() > std::string_view("10:30").size();
    const auto hour = parse_digits(text, 2, ':');
    const auto minute = parse_digits(text, 2, ':');
    const auto second = has_seconds ? parse_digits(text, 2, '\0') : 0;
    if (!hour || !minute || !second || !text.empty()) return std::nullopt;
    if (*hour > 23 || *minute > 59 || *second > 59) return std::nullopt;
    return std::chrono::hours(*hour) + std::chrono::minutes(*minute) + std::chrono::seconds(*second);
}

// "2026-12-04", "2026-12-04T10:30Z" or "2026-12-04T10:30:00Z"
std::optional<wall_time> parse_time(std::string_view text) {
    const auto year = parse_digits(text, 4, '-');
    const auto month = parse_digits(text, 2, '-');
    const bool is_date_only = text.size() == 2;
    const auto day = parse_digits(text, 2, 'T');
    if (!year || !month || !day || *year < 1970 || *year > 2200) return std::nullopt;
    const std::chrono::year_month_day date{std::chrono::year(*year), std::chrono::month(static_cast<unsigned>(*month)),
                                           std::chrono::day(static_cast<unsigned>(*day))};
    const auto                        time_of_day = is_date_only ? duration() : parse_time_of_day(text);
    if (!date.ok() || !time_of_day) return std::nullopt;
    return wall_time(std::chrono::sys_days(date)) + *time_of_day;
}

const auto set_time = [](const auto& context) {
    const std::string text = text_of(context);
    const auto        age = parse_age(text);
    const auto        since = parse_time(text);
    x3::_pass(context) = age || since;
    command_parts& parts = x3::get<parts_tag>(context);
    parts.age = age.value_or(duration());
    parts.since = since.value_or(wall_time());
};

//----------------------------------------------------------------------------------------------------------------------
// Commands
//----------------------------------------------------------------------------------------------------------------------

const auto service_name = name(expected_kind::service_name, "the name of a service", &command_parts::service_name);
const auto backend_server_name =
    name(expected_kind::backend_server_name, "the name of a backend server", &command_parts::backend_server);
constexpr const char* new_name = "a name of 1 to 63 letters, digits, '.', '_', '-'";
const auto            new_service_name = name(expected_kind::other, new_name, &command_parts::service_name);
const auto            new_backend_server_name = name(expected_kind::other, new_name, &command_parts::backend_server);
const auto            set_operator = [](const auto& context) {
    const std::string text = text_of(context);
    x3::_pass(context) = is_printable_word(text);
    x3::get<parts_tag>(context).operator_name = text;
};
const auto operator_name = token(expected_kind::other, "the name of an operator", word_text[set_operator]);
const auto since_time = token(expected_kind::other, "a time such as 2026-12-04, 2026-12-04T10:30Z, 90s, 15m, 2h or 7d",
                              time_text[set_time]);

const auto service_address = address("the service's ADDRESS:PORT", &command_parts::address);
const auto tunnel_address = address("the tunnel's ADDRESS:PORT", &command_parts::address);
const auto health_address = address("the health endpoint's ADDRESS:PORT", &command_parts::second_address);
const auto caller_address = address("the caller's ADDRESS:PORT", &command_parts::address);
const auto destination_address = address("the service's ADDRESS:PORT", &command_parts::second_address);

const auto set_tcp = [](const auto& context) { x3::get<parts_tag>(context).protocol = transport::tcp; };
const auto set_udp = [](const auto& context) { x3::get<parts_tag>(context).protocol = transport::udp; };
const auto protocol = word("tcp")[set_tcp] | word("udp")[set_udp];

const auto weight_value = number(max_weight, &command_parts::weight);
const auto max_flows = word("max-flows") >> number(UINT32_MAX, &command_parts::max_flows);
const auto max_rate = word("max-rate") >> number(UINT32_MAX, &command_parts::max_rate);
const auto limits = -max_flows >> -max_rate;

// Matches the end of the line; make_command then builds the command from the parts.
template <class Make>
auto end_of_command(Make make_command) {
    return token(expected_kind::other, "the end of the command", x3::eoi[([make_command](const auto& context) {
                     command_parts& parts = x3::get<parts_tag>(context);
                     parts.result = command(make_command(parts));
                 })]);
}

template <class Command>
auto end_of_plain_command() {
    return end_of_command([](const command_parts& /*parts*/) { return Command(); });
}

const auto create_command =
    word("create") >> word("service") >> new_service_name >> protocol >> service_address >> limits >>
    end_of_command([](const command_parts& parts) {
        return change(create_service{parts.service_name, parts.protocol, parts.address, parts.limits()});
    });

const auto change_command = word("change") >> word("service") >> service_name >>
                            ((max_flows >> -max_rate) | max_rate) >> end_of_command([](const command_parts& parts) {
                                return change_limits{parts.service_name, parts.max_flows, parts.max_rate};
                            });

const auto delete_command = word("delete") >> word("service") >> service_name >>
                            end_of_command([](const command_parts& parts) {
                                return change(delete_service{parts.service_name});
                            });

const auto join_command = word("join") >> service_name >> new_backend_server_name >> word("tunnel") >> tunnel_address >>
                          -(word("health") >> health_address) >> -(word("weight") >> weight_value) >> limits >>
                          end_of_command([](const command_parts& parts) {
                              return change(join_backend{parts.service_name, parts.backend_server, parts.address,
                                                         parts.second_address, parts.weight, parts.limits()});
                          });

const auto drain_command = word("drain") >> service_name >> backend_server_name >>
                           end_of_command([](const command_parts& parts) {
                               return change(drain_backend{parts.service_name, parts.backend_server});
                           });

const auto undrain_command = word("undrain") >> service_name >> backend_server_name >>
                             end_of_command([](const command_parts& parts) {
                                 return change(undrain_backend{parts.service_name, parts.backend_server});
                             });

const auto leave_command = word("leave") >> service_name >> backend_server_name >>
                           end_of_command([](const command_parts& parts) {
                               return change(leave_backend{parts.service_name, parts.backend_server});
                           });

const auto weight_command = word("weight") >> service_name >> backend_server_name >> weight_value >>
                            end_of_command([](const command_parts& parts) {
                                return change(weigh_backend{parts.service_name, parts.backend_server, parts.weight});
                            });

std::optional<std::string> optional_of(const std::string& text) {
    return text.empty() ? std::nullopt : std::optional(text);
}

const auto history_query =
    word("history") >> -(word("service") >> service_name) >> -(word("operator") >> operator_name) >>
    -(word("since") >> since_time) >> end_of_command([](const command_parts& parts) {
        return show_history{optional_of(parts.service_name), optional_of(parts.operator_name), parts.since, parts.age};
    });

const auto show_query = word("show") >>
                        ((word("services") >> end_of_plain_command<show_services>()) |
                         (word("service") >> service_name >>
                          end_of_command([](const command_parts& parts) { return show_service{parts.service_name}; })) |
                         (word("backend-servers") >> -service_name >> end_of_command([](const command_parts& parts) {
                              return show_backend_servers{optional_of(parts.service_name)};
                          })) |
                         (word("balancers") >> end_of_plain_command<show_balancers>()) |
                         (word("health") >> end_of_plain_command<show_health>()) | history_query |
                         (word("counters") >> end_of_plain_command<show_counters>()) |
                         (word("flows") >> end_of_plain_command<show_flows>()));

const auto arrow = token(expected_kind::word, "->", x3::lit("->"));

const auto explain_query = word("explain") >> caller_address >> arrow >> destination_address >> -protocol >>
                           end_of_command([](const command_parts& parts) {
                               return explain_flow{{parts.protocol, parts.address, parts.second_address}};
                           });

const auto any_command = create_command | change_command | delete_command | join_command | drain_command |
                         undrain_command | leave_command | weight_command | show_query | explain_query |
                         (word("watch") >> end_of_plain_command<watch_cluster>()) |
                         (word("help") >> end_of_plain_command<show_help>());

struct parse_state {
    command_parts  parts;
    parse_failures failures;
};

parse_state parse_line(std::string_view line) {
    parse_state state;
    const char* first = line.data();
    const char* last = line.data() + line.size();
    const auto  grammar = x3::with<parts_tag>(state.parts)[x3::with<failures_tag>(state.failures)[any_command]];
    if (!x3::phrase_parse(first, last, grammar, blank)) state.parts.result.reset();
    return state;
}

} // namespace

finding command_error::to_finding() const {
    std::string list;
    for (const expectation& each : expected) {
        if (!list.empty()) list += &each == &expected.back() ? " or " : ", ";
        list += each.kind == expected_kind::word ? "'" + each.text + "'" : each.text;
    }
    const std::string message = found.empty() ? "incomplete command" : "unexpected '" + found + "'";
    return {"column " + std::to_string(column), message, list};
}

result<command, command_error> parse_command(std::string_view line) {
    parse_state state = parse_line(line);
    if (state.parts.result) return std::move(*state.parts.result);
    const auto        start = static_cast<std::size_t>(state.failures.furthest - line.data());
    const std::size_t size = std::min(line.find_first_of(" \t", start), line.size()) - start;
    return command_error{start + 1, std::string(line.substr(start, size)), std::move(state.failures.expected)};
}

std::vector<expectation> expected_after(std::string_view text) {
    const parse_state state = parse_line(text);
    if (state.failures.furthest != text.data() + text.size()) return {};
    return state.failures.expected;
}

std::string service_named_in(std::string_view text) {
    return parse_line(text).parts.service_name;
}

bool is_name(std::string_view text) {
    if (text.size() > max_name_size) return false;
    const char* first = text.data();
    const char* last = text.data() + text.size();
    return x3::parse(first, last, x3::omit[name_text] >> x3::eoi);
}

bool is_printable_word(std::string_view text) {
    const auto printable = [](char letter) { return letter > ' ' && letter <= '~'; };
    return !text.empty() && text.size() <= max_operator_name_size && std::ranges::all_of(text, printable);
}

std::string to_text(wall_time time) {
    const auto                        day = std::chrono::floor<std::chrono::days>(time);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss       clock_time(std::chrono::floor<std::chrono::seconds>(time - day));
    std::array<char, 64>              text{};
    const int                         size =
        std::snprintf(text.data(), text.size(), "%04d-%02u-%02uT%02d:%02d:%02dZ", static_cast<int>(date.year()),
                      static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()),
                      static_cast<int>(clock_time.hours().count()), static_cast<int>(clock_time.minutes().count()),
                      static_cast<int>(clock_time.seconds().count()));
    return {text.data(), static_cast<std::size_t>(size)};
}

std::string command_help() {
    return R"(Changes
  create service NAME tcp|udp ADDRESS:PORT [max-flows N] [max-rate N]
      adds a service; max-rate is new flows a second
  change service NAME [max-flows N] [max-rate N]
      sets the limits that are named; 0 means unlimited
  delete service NAME
      removes a service that has no backend servers
  join SERVICE NAME tunnel ADDRESS:PORT [health ADDRESS:PORT] [weight N] [max-flows N] [max-rate N]
      adds a backend server; without health it is not probed; the weight is 0 to 1000, 100 by default
  drain SERVICE NAME
      gives a backend server no new flows; it keeps those it has
  undrain SERVICE NAME
      gives it new flows again
  leave SERVICE NAME
      removes a backend server; drain it first
  weight SERVICE NAME N
      sets the share of new flows

Queries
  show services
  show service NAME
  show backend-servers [SERVICE]
  show balancers
  show health
  show history [service NAME] [operator NAME] [since TIME]
      recent changes; TIME is 2026-12-04, 2026-12-04T10:30Z (UTC), or an age such as 90s, 15m, 2h, 7d
  show counters
  show flows
  explain ADDRESS:PORT -> ADDRESS:PORT [tcp|udp]
      where a flow from a caller to a service goes, and why
  watch
      live view
  help

IPv6 addresses stand in brackets: [2001:db8::1]:443
)";
}

} // namespace tamarack
