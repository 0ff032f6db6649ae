// tamarackctl: carries out commands at the administration interface of a balancer.
//
// One command on the command line, a prompt on a terminal, or commands from standard input, one on each line.
#include "platform/http_channel.h"
#include "platform/http_status.h"
#include "tamarack/admin_client.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <gflags/gflags.h>
#include <grpc/support/log.h>
#include <iostream>
#include <poll.h>
#include <readline/history.h>
#include <readline/readline.h>
#include <sstream>
#include <sys/ioctl.h>
#include <unistd.h>

DEFINE_string(server, "127.0.0.1:6083", "balancers to ask, in turn until one answers: ADDRESS:PORT[,ADDRESS:PORT...]");
DEFINE_string(entry, "", "look into a tamarack-entry on this host, at its status address ADDRESS:PORT, instead");
DEFINE_string(operator, "", "name for the audit trail; with TLS that of the certificate; else $USER if not given");
DEFINE_bool(json, false, "write answers as JSON");
DEFINE_bool(exposition, false, "show counters: write the text exposition format that collectors read");
DEFINE_bool(dry_run, false, "only check changes");
DEFINE_uint64(if_revision, 0, "refuse a change if its service was changed after this revision; 0: not checked");
DEFINE_string(operation_id, "", "operation id of an earlier attempt whose outcome is unknown");
DEFINE_uint32(timeout, 15, "seconds that a command may take, with all attempts");
DEFINE_uint32(interval, 2, "watch: seconds between two views");
DEFINE_uint32(count, 0, "watch: end after this number of views; 0: when interrupted");
DEFINE_bool(stop_balancer, false, "begin the graceful stop of the first server, instead of a command");
DEFINE_string(authority, "", "TLS: PEM file of the authority that signs the balancers' certificates");
DEFINE_string(certificate, "", "TLS: PEM file of the operator's certificate");
DEFINE_string(key, "", "TLS: PEM file of the certificate's key");
DECLARE_bool(help);

namespace {

using namespace tamarack;

constexpr const char* usage =
    "Operates a cluster of balancers.\n\n"
    "  tamarackctl [FLAGS] COMMAND    one command, such as: tamarackctl show services\n"
    "  tamarackctl [FLAGS]            a prompt, or commands from standard input\n"
    "  tamarackctl help               the commands\n\n"
    "Exit codes: 0 done, 1 wrong command or flags, 2 refused, 3 conflict with another change, "
    "4 unavailable (nothing was changed), 5 outcome unknown.\n";

constexpr int history_length = 1'000; // lines

bool              operator_known = false; // by flag, user or certificate
std::atomic<bool> interrupted = false;    // set by SIGINT during a live view

int exit_status(exit_code code) {
    return static_cast<int>(code);
}

int fail(const std::string& text) {
    std::cerr << text << "\n";
    return exit_status(exit_code::usage_error);
}

//----------------------------------------------------------------------------------------------------------------------
// Flags
//----------------------------------------------------------------------------------------------------------------------

std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> parts;
    std::istringstream       stream(text);
    for (std::string part; std::getline(stream, part, ',');)
        if (!part.empty()) parts.push_back(part);
    return parts;
}

// Nothing when the file cannot be read or is empty.
std::optional<std::string> read_file(const std::string& name) {
    std::ifstream      file(name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.fail() ? std::nullopt : std::optional(text.str());
}

result<admin_client_settings, std::string> client_settings() {
    admin_client_settings settings;
    settings.servers = split(FLAGS_server);
    if (settings.servers.empty()) return "--server is empty (expected ADDRESS:PORT)";
    if (FLAGS_timeout == 0) return "--timeout=0 is not accepted (expected at least 1)";
    settings.timeout = std::chrono::seconds(FLAGS_timeout);
    for (const auto& [flag, name, text] : {std::tuple("authority", &FLAGS_authority, &settings.authority),
                                           std::tuple("certificate", &FLAGS_certificate, &settings.certificate),
                                           std::tuple("key", &FLAGS_key, &settings.key)}) {
        if (name->empty()) continue;
        auto read = read_file(*name);
        if (!read) return "--" + std::string(flag) + ": cannot read " + *name;
        *text = std::move(*read);
    }
    if (settings.authority.empty() != settings.certificate.empty() ||
        settings.key.empty() != settings.certificate.empty())
        return "TLS needs all of --authority, --certificate and --key";
    settings.operator_name = FLAGS_operator;
    const char* user = std::getenv("USER"); // NOLINT(concurrency-mt-unsafe): before any thread
    if (settings.operator_name.empty() && settings.authority.empty() && user != nullptr) settings.operator_name = user;
    if (!settings.operator_name.empty() && !is_printable_word(settings.operator_name))
        return "--operator is not a name (expected 1 to 64 printable characters without spaces)";
    if (!FLAGS_operation_id.empty() && !is_printable_word(FLAGS_operation_id))
        return "--operation_id is not accepted (expected 1 to 64 printable characters without spaces)";
    return settings;
}

view_size terminal_size() {
    winsize size{};
    if (::isatty(STDOUT_FILENO) == 0 || ::ioctl(STDOUT_FILENO, TIOCGWINSZ, &size) != 0) return {};
    return {size.ws_col, size.ws_row};
}

command_options options_of_flags() {
    return {FLAGS_json, FLAGS_exposition, FLAGS_dry_run, FLAGS_if_revision, FLAGS_operation_id, terminal_size()};
}

//----------------------------------------------------------------------------------------------------------------------
// Commands
//----------------------------------------------------------------------------------------------------------------------

exit_code show(const command_outcome& outcome) {
    std::cout << outcome.output << std::flush;
    std::cerr << outcome.error << std::flush;
    return outcome.code;
}

void wait_for_next_view() {
    constexpr int slice = 100; // ms; the signal may be delivered to another thread
    for (unsigned waited = 0; waited < FLAGS_interval * 1'000 && !interrupted; waited += slice)
        ::poll(nullptr, 0, slice);
}

// Writes views until the count is reached or the operator interrupts. On a terminal each replaces the one before.
exit_code watch(admin_client& client) {
    interrupted = false;
    std::signal(SIGINT, [](int) { interrupted = true; });
    exit_code code = exit_code::success;
    for (std::uint32_t view = 0; !interrupted && (FLAGS_count == 0 || view < FLAGS_count); ++view) {
        if (view > 0) wait_for_next_view();
        if (interrupted) break;
        const command_options options = options_of_flags();
        const command_outcome outcome = client.run(watch_cluster(), options);
        const bool            terminal = options.size.columns != 0;
        if (terminal) std::cout << "\x1b[H\x1b[2J";
        code = show(outcome);
        if (!terminal && !FLAGS_json) std::cout << std::endl;
        if (code != exit_code::success && view == 0) break; // later failures may pass
    }
    std::signal(SIGINT, SIG_DFL);
    return code;
}

exit_code run_line(admin_client& client, const std::string& line) {
    const command_options options = options_of_flags();
    const auto            read = parse_command(line);
    if (!read) return show(command_error_outcome(line, read.error(), options));
    if (std::holds_alternative<watch_cluster>(read.value())) return watch(client);
    const bool changes =
        std::holds_alternative<change>(read.value()) || std::holds_alternative<change_limits>(read.value());
    if (changes && !operator_known) return show({exit_code::usage_error, "", "a change needs --operator=NAME\n"});
    return show(client.run(read.value(), options));
}

// The target at a tamarack-entry's status address that answers a command; empty: it has no such answer.
std::string entry_target(const command& what) {
    if (std::holds_alternative<show_services>(what)) return "/services";
    if (std::holds_alternative<show_balancers>(what)) return "/balancers";
    if (std::holds_alternative<show_counters>(what)) return "/counters";
    if (const auto* shown = std::get_if<show_backend_servers>(&what))
        return "/backend-servers" + (shown->service ? "?service=" + *shown->service : std::string());
    if (const auto* asked = std::get_if<explain_flow>(&what))
        return "/flow?caller=" + asked->flow.source.to_string() + "&route=" + asked->flow.destination.to_string();
    return {};
}

exit_code ask_entry(const endpoint& server, const std::string& line) {
    const auto read = parse_command(line);
    if (!read) return show(command_error_outcome(line, read.error(), options_of_flags()));
    const std::string target = entry_target(read.value());
    if (target.empty()) {
        return show(
            {exit_code::usage_error, "",
             "--entry answers show services, show backend-servers, show balancers, show counters and explain\n"});
    }
    boost::asio::io_context context;
    platform::http_channel  channel(context, server);
    command_outcome         outcome{exit_code::unavailable, "", "no answer of " + server.to_string() + "\n"};
    channel.call({platform::http_method::get, target, {}, std::chrono::seconds(FLAGS_timeout)},
                 [&](const result<platform::http_response, platform::http_error>& answer) {
                     if (!answer) return;
                     if (answer.value().status == platform::status_ok) {
                         outcome = {exit_code::success, answer.value().body, ""};
                     } else {
                         outcome = {exit_code::refused, "", answer.value().body};
                     }
                     context.stop();
                 });
    context.run_for(std::chrono::seconds(FLAGS_timeout));
    return show(outcome);
}

bool is_blank_or_comment(const std::string& line) {
    const auto start = line.find_first_not_of(" \t");
    return start == std::string::npos || line[start] == '#';
}

// Ends at the first line that fails, so that later ones do not build on it.
exit_code run_lines(admin_client& client, std::istream& input) {
    int number = 0;
    for (std::string line; std::getline(input, line);) {
        ++number;
        if (is_blank_or_comment(line)) continue;
        const exit_code code = run_line(client, line);
        if (code == exit_code::success) continue;
        std::cerr << "line " << number << " failed; the lines after it were not run\n";
        return code;
    }
    return exit_code::success;
}

//----------------------------------------------------------------------------------------------------------------------
// Prompt
//----------------------------------------------------------------------------------------------------------------------

admin_client* completion_client = nullptr; // readline's functions take no context

void add_matches(const std::vector<std::string>& candidates, const std::string& start,
                 std::vector<std::string>& matches) {
    std::ranges::copy_if(candidates, std::back_inserter(matches),
                         [&](const std::string& each) { return each.starts_with(start); });
}

std::vector<std::string> matches_of(const std::string& before, const std::string& start) {
    std::vector<std::string> matches;
    for (const expectation& each : expected_after(before)) {
        if (each.kind == expected_kind::word) add_matches({each.text}, start, matches);
        if (each.kind == expected_kind::service_name) add_matches(completion_client->service_names(), start, matches);
        if (each.kind == expected_kind::backend_server_name)
            add_matches(completion_client->backend_server_names(service_named_in(before)), start, matches);
    }
    return matches;
}

// Gives the matches one by one; state 0 begins a new list.
char* next_match(const char* start, int state) {
    static std::vector<std::string> matches;
    static std::size_t              position = 0;
    if (state == 0) {
        const std::string before(rl_line_buffer, static_cast<std::size_t>(rl_point) - std::string_view(start).size());
        matches = matches_of(before, start);
        position = 0;
    }
    return position < matches.size() ? ::strdup(matches[position++].c_str()) : nullptr;
}

char** complete(const char* start, int /*begin*/, int /*end*/) {
    rl_attempted_completion_over = 1; // no names of files
    return ::rl_completion_matches(start, next_match);
}

std::string history_file() {
    const char* home = std::getenv("HOME"); // NOLINT(concurrency-mt-unsafe): nothing changes the environment
    return home == nullptr ? "" : std::string(home) + "/.tamarackctl_history";
}

exit_code prompt(admin_client& client) {
    completion_client = &client;
    rl_attempted_completion_function = complete;
    rl_completer_word_break_characters = " \t";
    const std::string file = history_file();
    ::using_history();
    ::stifle_history(history_length);
    if (!file.empty()) ::read_history(file.c_str());
    std::cout << "help lists the commands; Ctrl-D ends\n";
    while (char* typed = ::readline("tamarack> ")) {
        const std::string line(typed);
        std::free(typed); // NOLINT(cppcoreguidelines-no-malloc): readline allocates it
        if (is_blank_or_comment(line)) continue;
        ::add_history(line.c_str());
        run_line(client, line);
    }
    std::cout << "\n";
    if (!file.empty()) ::write_history(file.c_str());
    return exit_code::success;
}

exit_code run(admin_client& client, const std::string& line) {
    if (FLAGS_stop_balancer) return show(client.stop_balancer(options_of_flags()));
    if (!line.empty()) return run_line(client, line);
    if (::isatty(STDIN_FILENO) != 0 && ::isatty(STDOUT_FILENO) != 0) return prompt(client);
    return run_lines(client, std::cin);
}

} // namespace

int main(int argc, char** argv) {
    std::string arrow = " ->"; // gflags takes a bare "->" for a flag
    for (int i = 1; i < argc; ++i)
        if (std::string_view(argv[i]) == "->") argv[i] = arrow.data();
    gflags::SetVersionString(TAMARACK_VERSION);
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    if (FLAGS_help) {
        gflags::ShowUsageWithFlagsRestrict(argv[0], "tamarackctl.cpp");
        return exit_status(exit_code::success);
    }
    gflags::HandleCommandLineHelpFlags();
    ::gpr_set_log_function([](gpr_log_func_args*) {}); // the outcome of a call says what went wrong
    const auto settings = client_settings();
    if (!settings) return fail(settings.error());
    operator_known = !settings.value().operator_name.empty() || !settings.value().certificate.empty();
    std::string line;
    for (int i = 1; i < argc; ++i)
        line += (i > 1 ? " " : "") + std::string(argv[i]);
    if (FLAGS_stop_balancer && !line.empty()) return fail("--stop_balancer takes no command");
    if (!FLAGS_entry.empty()) {
        const auto server = endpoint::parse(FLAGS_entry);
        if (!server || server->port == 0) return fail("--entry is not ADDRESS:PORT");
        return exit_status(ask_entry(*server, line));
    }
    admin_client client(settings.value());
    return exit_status(run(client, line));
}
