// tamarackctl: carries out commands at the administration interface of a balancer.
//
// One command on the command line, a prompt on a terminal, or commands from standard input, one on each line.
#include "platform/http_client.h"
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
DEFINE_string(entry, "", "query a tamarack-entry on this host at its status address ADDRESS:PORT instead");
DEFINE_string(operator, "",
              "name for the audit trail; with TLS the name in the certificate; default without TLS: $USER");
DEFINE_bool(json, false, "write output as JSON");
DEFINE_bool(exposition, false, "show counters: write the text exposition format that collectors read");
DEFINE_bool(dry_run, false, "only check changes");
DEFINE_uint64(if_revision, 0, "refuse a change if its service was changed after this revision; 0: not checked");
DEFINE_string(operation_id, "", "operation id of an earlier attempt whose outcome is unknown");
DEFINE_uint32(timeout, 15, "seconds that a command may take, including all attempts");
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

bool              is_operator_known = false; // from --operator, $USER or the certificate
std::atomic<bool> is_interrupted = false;    // set by SIGINT during a live view

int exit_status(exit_code code) {
    return static_cast<int>(code);
}

int fail(const std::string& message) {
    std::cerr << message << "\n";
    return exit_status(exit_code::usage_error);
}

//----------------------------------------------------------------------------------------------------------------------
// Flags
//----------------------------------------------------------------------------------------------------------------------

std::vector<std::string> split_at_commas(const std::string& list) {
    std::vector<std::string> parts;
    std::istringstream       stream(list);
    for (std::string part; std::getline(stream, part, ',');)
        if (!part.empty()) parts.push_back(part);
    return parts;
}

// Returns nullopt if the file cannot be read or is empty.
std::optional<std::string> read_file(const std::string& name) {
    std::ifstream      file(name);
    std::ostringstream contents;
    contents << file.rdbuf();
    return contents.fail() ? std::nullopt : std::optional(contents.str());
}

result<admin_client_settings, std::string> read_client_settings() {
    admin_client_settings settings;
    settings.servers = split_at_commas(FLAGS_server);
    if (settings.servers.empty()) return "--server is empty (expected ADDRESS:PORT)";
    if (FLAGS_timeout == 0) return "--timeout=0 is not accepted (expected at least 1)";
    settings.timeout = std::chrono::seconds(FLAGS_timeout);
    for (const auto& [flag, file_name, contents] :
         {std::tuple("authority", &FLAGS_authority, &settings.authority),
          std::tuple("certificate", &FLAGS_certificate, &settings.certificate),
          std::tuple("key", &FLAGS_key, &settings.key)}) {
        if (file_name->empty()) continue;
        auto pem = read_file(*file_name);
        if (!pem) return "--" + std::string(flag) + ": cannot read " + *file_name;
        *contents = std::move(*pem);
    }
    if (settings.authority.empty() != settings.certificate.empty() ||
        settings.key.empty() != settings.certificate.empty())
        return "TLS needs all of --authority, --certificate and --key";
    settings.operator_name = FLAGS_operator;
    const char* user_name = std::getenv("USER"); // NOLINT(concurrency-mt-unsafe): no other thread has started yet
    if (settings.operator_name.empty() && settings.authority.empty() && user_name != nullptr)
        settings.operator_name = user_name;
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

command_options options_from_flags() {
    return {FLAGS_json, FLAGS_exposition, FLAGS_dry_run, FLAGS_if_revision, FLAGS_operation_id, terminal_size()};
}

//----------------------------------------------------------------------------------------------------------------------
// Commands
//----------------------------------------------------------------------------------------------------------------------

exit_code print_outcome(const command_outcome& outcome) {
    std::cout << outcome.output << std::flush;
    std::cerr << outcome.error << std::flush;
    return outcome.code;
}

void wait_for_next_view() {
    constexpr int slice_ms = 100; // the signal may be delivered to another thread, and then does not interrupt poll
    for (unsigned waited = 0; waited < FLAGS_interval * 1'000 && !is_interrupted; waited += slice_ms)
        ::poll(nullptr, 0, slice_ms);
}

// Writes views until the count is reached or the operator interrupts. On a terminal a view replaces the previous one.
exit_code watch(admin_client& client) {
    is_interrupted = false;
    std::signal(SIGINT, [](int) { is_interrupted = true; });
    exit_code code = exit_code::success;
    for (std::uint32_t view = 0; !is_interrupted && (FLAGS_count == 0 || view < FLAGS_count); ++view) {
        if (view > 0) wait_for_next_view();
        if (is_interrupted) break;
        const command_options options = options_from_flags();
        const command_outcome outcome = client.run(watch_cluster(), options);
        const bool            is_terminal = options.size.columns != 0;
        if (is_terminal) std::cout << "\x1b[H\x1b[2J";
        code = print_outcome(outcome);
        if (!is_terminal && !FLAGS_json) std::cout << std::endl;
        if (code != exit_code::success && view == 0) break; // a later failure may be temporary
    }
    std::signal(SIGINT, SIG_DFL);
    return code;
}

exit_code run_line(admin_client& client, const std::string& line) {
    const command_options options = options_from_flags();
    const auto            parsed = parse_command(line);
    if (!parsed) return print_outcome(command_error_outcome(line, parsed.error(), options));
    if (std::holds_alternative<watch_cluster>(parsed.value())) return watch(client);
    const bool is_change =
        std::holds_alternative<change>(parsed.value()) || std::holds_alternative<change_limits>(parsed.value());
    if (is_change && !is_operator_known)
        return print_outcome({exit_code::usage_error, "", "a change needs --operator=NAME\n"});
    return print_outcome(client.run(parsed.value(), options));
}

// The URL path of tamarack-entry's status page that shows what a command asks for; empty if there is none.
std::string entry_target(const command& requested) {
    if (std::holds_alternative<show_services>(requested)) return "/services";
    if (std::holds_alternative<show_balancers>(requested)) return "/balancers";
    if (std::holds_alternative<show_counters>(requested)) return "/counters";
    if (const auto* servers_command = std::get_if<show_backend_servers>(&requested)) {
        return "/backend-servers" +
               (servers_command->service ? "?service=" + *servers_command->service : std::string());
    }
    if (const auto* explain_command = std::get_if<explain_flow>(&requested)) {
        return "/flow?caller=" + explain_command->flow.source.to_string() +
               "&route=" + explain_command->flow.destination.to_string();
    }
    return {};
}

exit_code query_entry(const endpoint& server, const std::string& line) {
    const auto parsed = parse_command(line);
    if (!parsed) return print_outcome(command_error_outcome(line, parsed.error(), options_from_flags()));
    const std::string target = entry_target(parsed.value());
    if (target.empty()) {
        return print_outcome(
            {exit_code::usage_error, "",
             "--entry answers show services, show backend-servers, show balancers, show counters and explain\n"});
    }
    boost::asio::io_context context;
    platform::http_client   status_client(context, server);
    command_outcome         outcome{exit_code::unavailable, "", "no answer from " + server.to_string() + "\n"};
    status_client.send_request({platform::http_method::get, target, {}, std::chrono::seconds(FLAGS_timeout)},
                               [&](const result<platform::http_response, platform::http_error>& response) {
                                   if (!response) return;
                                   if (response.value().status == platform::status_ok) {
                                       outcome = {exit_code::success, response.value().body, ""};
                                   } else {
                                       outcome = {exit_code::refused, "", response.value().body};
                                   }
                                   context.stop();
                               });
    context.run_for(std::chrono::seconds(FLAGS_timeout));
    return print_outcome(outcome);
}

bool is_blank_or_comment(const std::string& line) {
    const auto first = line.find_first_not_of(" \t");
    return first == std::string::npos || line[first] == '#';
}

// Stops at the first command that fails, since later commands may depend on it.
exit_code run_lines(admin_client& client, std::istream& input) {
    int line_number = 0;
    for (std::string line; std::getline(input, line);) {
        ++line_number;
        if (is_blank_or_comment(line)) continue;
        const exit_code code = run_line(client, line);
        if (code == exit_code::success) continue;
        std::cerr << "line " << line_number << " failed; the lines after it were not run\n";
        return code;
    }
    return exit_code::success;
}

//----------------------------------------------------------------------------------------------------------------------
// Prompt
//----------------------------------------------------------------------------------------------------------------------

admin_client* completion_client = nullptr; // global, since readline's callbacks take no context argument

void add_matches(const std::vector<std::string>& candidates, const std::string& prefix,
                 std::vector<std::string>& matches) {
    std::ranges::copy_if(candidates, std::back_inserter(matches),
                         [&](const std::string& candidate) { return candidate.starts_with(prefix); });
}

std::vector<std::string> find_matches(const std::string& text_before, const std::string& prefix) {
    std::vector<std::string> matches;
    for (const expectation& expected_item : expected_after(text_before)) {
        if (expected_item.kind == expected_kind::word) add_matches({expected_item.text}, prefix, matches);
        if (expected_item.kind == expected_kind::service_name)
            add_matches(completion_client->service_names(), prefix, matches);
        if (expected_item.kind == expected_kind::backend_server_name)
            add_matches(completion_client->backend_server_names(service_named_in(text_before)), prefix, matches);
    }
    return matches;
}

// Generator for rl_completion_matches: returns one match for each call. State 0 begins a new completion.
char* next_match(const char* prefix, int state) {
    static std::vector<std::string> matches;
    static std::size_t              position = 0;
    if (state == 0) {
        const std::string text_before(rl_line_buffer,
                                      static_cast<std::size_t>(rl_point) - std::string_view(prefix).size());
        matches = find_matches(text_before, prefix);
        position = 0;
    }
    return position < matches.size() ? ::strdup(matches[position++].c_str()) : nullptr;
}

char** complete(const char* prefix, int /*begin*/, int /*end*/) {
    rl_attempted_completion_over = 1; // do not complete file names
    return ::rl_completion_matches(prefix, next_match);
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
    while (char* typed_line = ::readline("tamarack> ")) {
        const std::string line(typed_line);
        std::free(typed_line); // NOLINT(cppcoreguidelines-no-malloc): readline allocates it
        if (is_blank_or_comment(line)) continue;
        ::add_history(line.c_str());
        run_line(client, line);
    }
    std::cout << "\n";
    if (!file.empty()) ::write_history(file.c_str());
    return exit_code::success;
}

exit_code run(admin_client& client, const std::string& line) {
    if (FLAGS_stop_balancer) return print_outcome(client.stop_balancer(options_from_flags()));
    if (!line.empty()) return run_line(client, line);
    if (::isatty(STDIN_FILENO) != 0 && ::isatty(STDOUT_FILENO) != 0) return prompt(client);
    return run_lines(client, std::cin);
}

} // namespace

int main(int argc, char** argv) {
    std::string arrow = " ->"; // gflags would parse a bare "->" as a flag
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
    ::gpr_set_log_function([](gpr_log_func_args*) {}); // errors are reported in the outcome of a call
    const auto settings = read_client_settings();
    if (!settings) return fail(settings.error());
    is_operator_known = !settings.value().operator_name.empty() || !settings.value().certificate.empty();
    std::string line;
    for (int i = 1; i < argc; ++i)
        line += (i > 1 ? " " : "") + std::string(argv[i]);
    if (FLAGS_stop_balancer && !line.empty()) return fail("--stop_balancer takes no command");
    if (!FLAGS_entry.empty()) {
        const auto server = endpoint::parse(FLAGS_entry);
        if (!server || server->port == 0) return fail("--entry is not ADDRESS:PORT");
        return exit_status(query_entry(*server, line));
    }
    admin_client client(settings.value());
    return exit_status(run(client, line));
}
