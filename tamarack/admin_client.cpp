// Calls of the administration interface with deadlines and retries, and the formatting of their results.
#include "tamarack/admin_client.h"

#include "tamarack/admin_messages.h"

#include "admin.grpc.pb.h"

#include <cstdio>
#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>
#include <grpcpp/grpcpp.h>
#include <random>
#include <thread>

namespace tamarack {

namespace {

constexpr auto max_attempt_time = std::chrono::seconds(5);
constexpr auto max_connect_time = std::chrono::seconds(3); // to one server
constexpr auto initial_backoff = std::chrono::milliseconds(100);
constexpr auto max_backoff = std::chrono::seconds(2);
constexpr auto completion_timeout = std::chrono::seconds(1); // short, since completion blocks the prompt

using steady = std::chrono::steady_clock;
using stub = admin::Administration::Stub;

std::string json_of(const google::protobuf::Message& message) {
    google::protobuf::util::JsonPrintOptions options;
    options.always_print_primitive_fields = true;
    options.preserve_proto_field_names = true;
    std::string text;
    const auto  status = google::protobuf::util::MessageToJsonString(message, &text, options);
    return status.ok() ? text + "\n" : "{}\n";
}

exit_code code_of(const grpc::Status& status) {
    switch (status.error_code()) {
    case grpc::OK:
        return exit_code::success;
    case grpc::UNAVAILABLE:
    case grpc::DEADLINE_EXCEEDED:
    case grpc::RESOURCE_EXHAUSTED:
    case grpc::CANCELLED:
        return exit_code::unavailable;
    default:
        return exit_code::refused;
    }
}

exit_code code_of(admin::ChangeStatus status) {
    switch (status) {
    case admin::ACCEPTED:
    case admin::VALID:
        return exit_code::success;
    case admin::INVALID:
        return exit_code::refused;
    case admin::CONFLICT:
        return exit_code::conflict;
    case admin::STORE_UNAVAILABLE:
        return exit_code::unavailable;
    default:
        return exit_code::outcome_unknown;
    }
}

std::shared_ptr<grpc::ChannelCredentials> credentials_of(const admin_client_settings& settings) {
    if (settings.authority.empty()) return grpc::InsecureChannelCredentials();
    return grpc::SslCredentials({settings.authority, settings.key, settings.certificate});
}

// JSON form of an error for which the interface has no message.
std::string json_error(exit_code code, const std::string& text) {
    google::protobuf::Struct message;
    (*message.mutable_fields())["error"].set_string_value(text);
    (*message.mutable_fields())["exit_code"].set_number_value(static_cast<double>(code));
    return json_of(message);
}

// A connection to one of the configured servers; it is established when first used.
struct connection {
    std::string                    server;
    std::shared_ptr<grpc::Channel> channel;
    std::unique_ptr<stub>          service_stub;

    connection(const std::string& name, const std::shared_ptr<grpc::ChannelCredentials>& credentials) : server(name) {
        grpc::ChannelArguments arguments;
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1'000);
        arguments.SetMaxReceiveMessageSize(64 << 20); // bytes; the whole configuration of a large cluster takes 1 MB
        channel = grpc::CreateCustomChannel(name, credentials, arguments);
        service_stub = admin::Administration::NewStub(channel);
    }
};

} // namespace

command_outcome command_error_outcome(const std::string& line, const command_error& error,
                                      const command_options& options) {
    const finding     problem = error.to_finding();
    const std::string text = problem.message + " (expected " + problem.expected + ")";
    const std::string pointer = line + "\n" + std::string(error.column - 1, ' ') + "^ " + text + "\n";
    const std::string json = options.json ? json_error(exit_code::usage_error, problem.to_string()) : "";
    return {exit_code::usage_error, json, pointer};
}

std::string make_operation_id() {
    std::random_device source;
    std::string        text;
    for (int i = 0; i < 4; ++i) { // 32 bits each
        std::array<char, 16> digits{};
        std::snprintf(digits.data(), digits.size(), "%08x", source());
        text += digits.data();
    }
    return text;
}

class admin_client::impl {
public:
    explicit impl(const admin_client_settings& settings) : settings_(settings) {
        const auto credentials = credentials_of(settings);
        for (const std::string& server : settings.servers)
            connections_.push_back(std::make_unique<connection>(server, credentials));
    }

    command_outcome submit(admin::SubmitRequest request, const command_options& options) {
        request.set_operation_id(options.operation_id.empty() ? make_operation_id() : options.operation_id);
        request.set_operator_name(settings_.operator_name);
        request.set_base_revision(options.base_revision);
        request.set_dry_run(options.dry_run);
        admin::SubmitResponse response;
        grpc::Status          status;
        const auto            deadline = steady::now() + settings_.timeout;
        bool                  may_be_committed = false; // a balancer may have received an attempt that got no answer
        for (std::size_t attempt = 0;; ++attempt) {
            connection& server = *connections_[attempt % connections_.size()];
            const bool  connected = connect(server, deadline);
            status = connected ? call(server, &stub::Submit, request, response, deadline)
                               : grpc::Status(grpc::UNAVAILABLE, "cannot connect to " + server.server);
            const bool answered = status.ok() && response.status() != admin::OUTCOME_UNKNOWN;
            const bool refused = !status.ok() && code_of(status) == exit_code::refused;
            if (answered || refused) break;
            may_be_committed = may_be_committed || (connected && status.error_code() != grpc::RESOURCE_EXHAUSTED);
            if (!wait_before_retry(attempt, deadline)) break;
        }
        if (status.ok()) return outcome_of(response, options);
        if (code_of(status) == exit_code::refused || !may_be_committed) return failure(status, options);
        response.set_status(admin::OUTCOME_UNKNOWN);
        response.set_operation_id(request.operation_id());
        command_outcome outcome = outcome_of(response, options);
        outcome.error += status.error_message() + "\n";
        return outcome;
    }

    // Calls the servers in turn until one of them answers or refuses the call.
    template <class Method, class Request, class Response>
    grpc::Status call_any(Method method, const Request& request, Response& response, duration timeout) {
        grpc::Status status(grpc::UNAVAILABLE, "no server is given");
        const auto   deadline = steady::now() + timeout;
        for (const auto& server : connections_) {
            status = connect(*server, deadline)
                         ? call(*server, method, request, response, deadline)
                         : grpc::Status(grpc::UNAVAILABLE, "cannot connect to " + server->server);
            if (status.ok() || code_of(status) == exit_code::refused) break;
        }
        return status;
    }

    template <class Request, class Response, class View>
    command_outcome run_query(grpc::Status (stub::*method)(grpc::ClientContext*, const Request&, Response*),
                              const Request& request, const command_options& options, View format) {
        Response   response;
        const auto status = call_any(method, request, response, settings_.timeout);
        if (!status.ok()) return failure(status, options);
        return {exit_code::success, options.json ? json_of(response) : format(response), ""};
    }

    command_outcome stop_balancer(const command_options& options) {
        admin::StopRequest request;
        request.set_operator_name(settings_.operator_name);
        admin::StopResponse response;
        connection&         server = *connections_.front();
        const auto          deadline = steady::now() + settings_.timeout;
        const auto          status = connect(server, deadline)
                                         ? call(server, &stub::Stop, request, response, deadline)
                                         : grpc::Status(grpc::UNAVAILABLE, "cannot connect to " + server.server);
        if (!status.ok()) return failure(status, options);
        return {exit_code::success, options.json ? json_of(response) : "the balancer is " + response.state() + "\n",
                ""};
    }

    command_outcome watch(const command_options& options) {
        watch_frame frame;
        frame.taken_at = steady::now();
        grpc::Status status =
            call_any(&stub::ShowServices, admin::ShowServicesRequest(), frame.services, settings_.timeout);
        if (status.ok())
            status = call_any(&stub::ShowBalancers, admin::ShowBalancersRequest(), frame.balancers, settings_.timeout);
        if (status.ok()) status = call_any(&stub::ShowFlows, admin::ShowFlowsRequest(), frame.flows, settings_.timeout);
        if (status.ok())
            status = call_any(&stub::ShowCounters, admin::ShowCountersRequest(), frame.counters, settings_.timeout);
        if (!status.ok()) return failure(status, options);
        const std::string text = options.json
                                     ? json_of(frame.services)
                                     : watch_view(frame, previous_frame_ ? &*previous_frame_ : nullptr, options.size);
        previous_frame_ = std::move(frame);
        return {exit_code::success, text, ""};
    }

    admin::ShowServicesResponse services_for_completion() {
        admin::ShowServicesResponse response;
        call_any(&stub::ShowServices, admin::ShowServicesRequest(), response, completion_timeout);
        return response;
    }

private:
    static bool connect(connection& server, steady::time_point deadline) {
        const auto timeout = std::min<steady::duration>(max_connect_time, deadline - steady::now());
        return server.channel->WaitForConnected(std::chrono::system_clock::now() + timeout);
    }

    template <class Method, class Request, class Response>
    static grpc::Status call(connection& server, Method method, const Request& request, Response& response,
                             steady::time_point deadline) {
        const auto          timeout = std::min<steady::duration>(max_attempt_time, deadline - steady::now());
        grpc::ClientContext context;
        context.set_deadline(std::chrono::system_clock::now() + timeout);
        return (*server.service_stub.*method)(&context, request, &response);
    }

    // Capped exponential backoff with full jitter. Returns false without waiting when the deadline would pass.
    bool wait_before_retry(std::size_t attempt, steady::time_point deadline) {
        constexpr std::size_t doublings = 5;
        const auto            max_pause =
            std::min<std::chrono::milliseconds>(max_backoff, initial_backoff * (1 << std::min(attempt, doublings)));
        std::uniform_int_distribution<long> pause_range(0, max_pause.count());
        const std::chrono::milliseconds     pause(pause_range(random_));
        if (steady::now() + pause >= deadline) return false;
        std::this_thread::sleep_for(pause);
        return true;
    }

    static command_outcome outcome_of(const admin::SubmitResponse& response, const command_options& options) {
        const exit_code code = code_of(response.status());
        if (options.json) return {code, json_of(response), ""};
        const std::string text = outcome_view(response);
        return code == exit_code::success ? command_outcome{code, text, ""} : command_outcome{code, "", text};
    }

    static command_outcome failure(const grpc::Status& status, const command_options& options) {
        const exit_code   code = code_of(status);
        const std::string text =
            (code == exit_code::unavailable ? "unavailable: " : "refused: ") + status.error_message() + "\n";
        if (!options.json) return {code, "", text};
        return {code, json_error(code, status.error_message()), text};
    }

    admin_client_settings                    settings_;
    std::vector<std::unique_ptr<connection>> connections_;
    std::optional<watch_frame>               previous_frame_; // of the live view
    std::mt19937                             random_{std::random_device{}()};
};

namespace {

// Visitor that calls the method of the client for a command.
struct command_runner {
    admin_client::impl&    client;
    const command_options& options;

    command_outcome operator()(const change& requested) const { return submit(requested); }
    command_outcome operator()(const change_limits& requested) const { return submit(requested); }
    command_outcome operator()(const show_services& /*query*/) const {
        return run_services_query("", [this](const auto& answer) { return services_view(answer, options.size); });
    }
    command_outcome operator()(const show_service& query) const {
        return run_services_query(query.service,
                                  [this](const auto& answer) { return service_view(answer, options.size); });
    }
    command_outcome operator()(const show_backend_servers& query) const {
        return run_services_query(query.service.value_or(""),
                                  [this](const auto& answer) { return backend_servers_view(answer, options.size); });
    }
    command_outcome operator()(const show_health& /*query*/) const {
        return run_services_query("", [this](const auto& answer) { return health_view(answer, options.size); });
    }
    command_outcome operator()(const show_balancers& /*query*/) const {
        return client.run_query(&stub::ShowBalancers, admin::ShowBalancersRequest(), options,
                                [this](const auto& answer) { return balancers_view(answer, options.size); });
    }
    command_outcome operator()(const show_history& query) const {
        return client.run_query(&stub::ShowHistory, history_request(query), options, history_view);
    }
    command_outcome operator()(const show_counters& /*query*/) const {
        return client.run_query(&stub::ShowCounters, admin::ShowCountersRequest(), options, [this](const auto& answer) {
            return options.exposition ? answer.exposition() : counters_view(answer, options.size);
        });
    }
    command_outcome operator()(const show_flows& /*query*/) const {
        return client.run_query(&stub::ShowFlows, admin::ShowFlowsRequest(), options,
                                [this](const auto& answer) { return flows_view(answer, options.size); });
    }
    command_outcome operator()(const explain_flow& query) const {
        return client.run_query(&stub::Explain, explain_request(query), options, explanation_view);
    }
    command_outcome operator()(const watch_cluster& /*query*/) const { return client.watch(options); }
    command_outcome operator()(const show_help& /*query*/) const { return {exit_code::success, command_help(), ""}; }

private:
    command_outcome submit(const auto& requested) const {
        admin::SubmitRequest request;
        set_change(requested, request);
        return client.submit(std::move(request), options);
    }
    command_outcome run_services_query(const std::string& service, auto format) const {
        admin::ShowServicesRequest request;
        request.set_service(service);
        return client.run_query(&stub::ShowServices, request, options, format);
    }
};

} // namespace

admin_client::admin_client(const admin_client_settings& settings) : impl_(std::make_unique<impl>(settings)) {}
admin_client::~admin_client() = default;

command_outcome admin_client::run(const command& requested, const command_options& options) {
    return std::visit(command_runner{*impl_, options}, requested);
}

command_outcome admin_client::stop_balancer(const command_options& options) {
    return impl_->stop_balancer(options);
}

std::vector<std::string> admin_client::service_names() {
    std::vector<std::string>          names;
    const admin::ShowServicesResponse answer = impl_->services_for_completion();
    for (const auto& service : answer.services())
        names.push_back(service.name());
    return names;
}

std::vector<std::string> admin_client::backend_server_names(const std::string& service) {
    std::vector<std::string>          names;
    const admin::ShowServicesResponse answer = impl_->services_for_completion();
    for (const auto& each : answer.services()) {
        if (each.name() != service) continue;
        for (const auto& server : each.backend_servers())
            names.push_back(server.name());
    }
    return names;
}

} // namespace tamarack
