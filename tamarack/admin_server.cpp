// gRPC callback service: admission control, execution of calls on the control thread, and authentication of operators.
#include "tamarack/admin_server.h"

#include "tamarack/admin_messages.h"
#include "tamarack/connection_acceptor.h"
#include "tamarack/events.h"

#include "admin.grpc.pb.h"

#include <grpc/grpc_security_constants.h>
#include <grpcpp/grpcpp.h>
#include <mutex>
#include <set>

namespace tamarack {

namespace {

constexpr int  max_request_size = 64 << 10;                // bytes; the largest request takes under 2 KB
constexpr int  max_connection_idle_ms = 10 * 60'000;       // 10 minutes
constexpr int  max_calls_per_connection = 64;              // concurrent
constexpr auto shutdown_timeout = std::chrono::seconds(1); // time for clients to receive their answers

std::string text_of(const findings& problems) {
    std::string text;
    for (const finding& problem : problems)
        text += (text.empty() ? "" : "; ") + problem.to_string();
    return text;
}

// A call that has not been answered yet. Its request and response are valid until it is finished; the lock prevents the
// control thread from using them while stop() finishes the call.
class pending_call {
public:
    explicit pending_call(grpc::ServerUnaryReactor* reactor) : reactor_(reactor) {}

    // Runs work unless the call is already finished. If work returns a status, the call is finished with it.
    void run_unless_finished(const std::function<std::optional<grpc::Status>()>& work) {
        const std::scoped_lock lock(mutex_);
        if (finished_) return;
        const auto status = work();
        if (!status) return;
        finished_ = true;
        reactor_->Finish(*status);
    }
    void finish(const grpc::Status& status) {
        run_unless_finished([&] { return status; });
    }

private:
    std::mutex                mutex_;
    grpc::ServerUnaryReactor* reactor_;
    bool                      finished_ = false;
};

using call_handle = std::shared_ptr<pending_call>;

// The calls that wait for the control thread. Has shared ownership, since calls in the queue may outlive the server.
class pending_calls : public std::enable_shared_from_this<pending_calls> {
public:
    explicit pending_calls(std::size_t max_calls) : max_calls_(max_calls) {}

    // Adds a call. If too many calls are waiting or the server is stopping, finishes the call and returns nullptr.
    call_handle add(grpc::ServerUnaryReactor* reactor) {
        {
            const std::scoped_lock lock(mutex_);
            if (!stopping_ && calls_.size() < max_calls_) {
                // A call that was never answered is finished when its last owner, the queue or the server, releases it.
                call_handle call(new pending_call(reactor),
                                 [list = shared_from_this()](pending_call* released) { list->remove(released); });
                calls_.emplace(call.get(), call);
                return call;
            }
        }
        if (!stopping_) log_event(event::calls_overloaded, {{"waiting", max_calls_}});
        reactor->Finish(stopping_ ? stopping_status()
                                  : grpc::Status(grpc::RESOURCE_EXHAUSTED, "too many calls are waiting"));
        return nullptr;
    }

    void stop() {
        std::vector<call_handle> unfinished;
        {
            const std::scoped_lock lock(mutex_);
            stopping_ = true;
            for (const auto& [key, call] : calls_)
                unfinished.push_back(call.lock());
        }
        for (const call_handle& call : unfinished)
            if (call) call->finish(stopping_status());
    }

private:
    static grpc::Status stopping_status() {
        return {grpc::UNAVAILABLE,
                "the balancer is stopping; a change may have been committed, repeat it with its operation id"};
    }

    void remove(pending_call* released) {
        {
            const std::scoped_lock lock(mutex_);
            calls_.erase(released);
        }
        released->finish(stopping_status());
        delete released;
    }

    std::mutex                                           mutex_;
    std::size_t                                          max_calls_;
    std::atomic<bool>                                    stopping_ = false;
    std::map<pending_call*, std::weak_ptr<pending_call>> calls_;
};

// Operator name from the client's certificate; std::nullopt without TLS.
std::optional<std::string> authenticated_operator(const grpc::CallbackServerContext& context) {
    const auto identity = context.auth_context();
    if (identity == nullptr || !identity->IsPeerAuthenticated()) return std::nullopt;
    const auto names = identity->FindPropertyValues(GRPC_X509_CN_PROPERTY_NAME);
    if (names.empty()) return "";
    return std::string(names.front().data(), names.front().size());
}

// The operator name to record for a call; std::nullopt if the name in the request differs from the certificate.
std::optional<std::string> operator_of(const grpc::CallbackServerContext& context, const std::string& claimed_name) {
    auto name = authenticated_operator(context);
    if (!name) return claimed_name;
    if (claimed_name.empty() || claimed_name == *name) return name;
    log_event(event::call_refused,
              {{"operator", *name}, {"claimed", claimed_name}, {"reason", "another operator's name"}});
    return std::nullopt;
}

grpc::Status operator_mismatch() {
    return {grpc::PERMISSION_DENIED, "the operator name does not match the certificate"};
}

class administration_service final : public admin::Administration::CallbackService {
public:
    administration_service(administered_balancer& balancer, control_queue queue, std::size_t max_pending_calls)
        : balancer_(balancer), queue_(std::move(queue)), calls_(std::make_shared<pending_calls>(max_pending_calls)) {}

    void stop() { calls_->stop(); }

    grpc::ServerUnaryReactor* Submit(grpc::CallbackServerContext* context, const admin::SubmitRequest* request,
                                     admin::SubmitResponse* response) override {
        return run(context, [this, context, request, response](const call_handle& call) {
            return submit(*context, *request, *response, call);
        });
    }

    grpc::ServerUnaryReactor* ShowServices(grpc::CallbackServerContext*      context,
                                           const admin::ShowServicesRequest* request,
                                           admin::ShowServicesResponse*      response) override {
        return run(context, [this, request, response](const call_handle&) -> std::optional<grpc::Status> {
            auto found = answer(*request, balancer_);
            if (!found) return grpc::Status(grpc::NOT_FOUND, found.error());
            *response = std::move(found).value();
            return grpc::Status::OK;
        });
    }

    grpc::ServerUnaryReactor* ShowBalancers(grpc::CallbackServerContext*       context,
                                            const admin::ShowBalancersRequest* request,
                                            admin::ShowBalancersResponse*      response) override {
        return run_query(context, request, response);
    }

    grpc::ServerUnaryReactor* ShowHistory(grpc::CallbackServerContext*     context,
                                          const admin::ShowHistoryRequest* request,
                                          admin::ShowHistoryResponse*      response) override {
        return run_query(context, request, response);
    }

    grpc::ServerUnaryReactor* ShowCounters(grpc::CallbackServerContext*      context,
                                           const admin::ShowCountersRequest* request,
                                           admin::ShowCountersResponse*      response) override {
        return run_query(context, request, response);
    }

    grpc::ServerUnaryReactor* ShowFlows(grpc::CallbackServerContext* context, const admin::ShowFlowsRequest* request,
                                        admin::ShowFlowsResponse* response) override {
        return run_query(context, request, response);
    }

    grpc::ServerUnaryReactor* Explain(grpc::CallbackServerContext* context, const admin::ExplainRequest* request,
                                      admin::ExplainResponse* response) override {
        return run(context, [this, request, response](const call_handle&) -> std::optional<grpc::Status> {
            auto found = answer(*request, balancer_);
            if (!found) return grpc::Status(grpc::INVALID_ARGUMENT, text_of(found.error()));
            *response = std::move(found).value();
            return grpc::Status::OK;
        });
    }

    grpc::ServerUnaryReactor* Stop(grpc::CallbackServerContext* context, const admin::StopRequest* request,
                                   admin::StopResponse* response) override {
        return run(context, [this, context, request, response](const call_handle&) -> std::optional<grpc::Status> {
            const auto name = operator_of(*context, request->operator_name());
            if (!name) return operator_mismatch();
            if (!is_printable_word(*name)) return grpc::Status(grpc::INVALID_ARGUMENT, "operator_name: not a name");
            balancer_.begin_stop(*name);
            response->set_state(std::string(state_text(balancer_.state())));
            return grpc::Status::OK;
        });
    }

private:
    using call_work = std::function<std::optional<grpc::Status>(const call_handle&)>;

    static std::string_view state_text(stop_state state) {
        return state == stop_state::running ? "running" : state == stop_state::leaving ? "leaving" : "finished";
    }

    grpc::ServerUnaryReactor* run(grpc::CallbackServerContext* context, call_work work) {
        auto* reactor = context->DefaultReactor();
        if (const call_handle call = calls_->add(reactor))
            queue_([call, work = std::move(work)] { call->run_unless_finished([&] { return work(call); }); });
        return reactor;
    }

    grpc::ServerUnaryReactor* run_query(grpc::CallbackServerContext* context, const auto* request, auto* response) {
        return run(context, [this, request, response](const call_handle&) -> std::optional<grpc::Status> {
            *response = answer(*request, balancer_);
            return grpc::Status::OK;
        });
    }

    std::optional<grpc::Status> submit(const grpc::CallbackServerContext& context, const admin::SubmitRequest& request,
                                       admin::SubmitResponse& response, const call_handle& call) {
        const auto name = operator_of(context, request.operator_name());
        if (!name) return operator_mismatch();
        admin::SubmitRequest authenticated_request = request;
        authenticated_request.set_operator_name(*name);
        const auto parsed = read_request(authenticated_request, balancer_.current());
        if (!parsed) {
            response = message_of(change_result{
                request.operation_id(), change_status::invalid, balancer_.current().revision, parsed.error(), {}});
            return grpc::Status::OK;
        }
        submit_to_balancer(parsed.value(), response, call);
        return std::nullopt;
    }

    // The balancer may call back during submit(), while the call's lock is held, or later. The answer is therefore
    // always queued.
    void submit_to_balancer(const change_request& request, admin::SubmitResponse& response, const call_handle& call) {
        balancer_.submit(request, [queue = queue_, &response, call](const change_result& outcome) {
            queue([&response, call, outcome] {
                call->run_unless_finished([&] {
                    response = message_of(outcome);
                    return grpc::Status::OK;
                });
            });
        });
    }

    administered_balancer&         balancer_;
    control_queue                  queue_;
    std::shared_ptr<pending_calls> calls_;
};

std::shared_ptr<grpc::ServerCredentials> credentials_of(const admin_server_settings& settings) {
    if (settings.certificate.empty()) return grpc::InsecureServerCredentials();
    grpc::SslServerCredentialsOptions options(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    options.pem_root_certs = settings.authority;
    options.pem_key_cert_pairs.push_back({settings.key, settings.certificate});
    return grpc::SslServerCredentials(options);
}

} // namespace

class admin_server::impl {
public:
    impl(const admin_server_settings& settings, administered_balancer& balancer, control_queue queue,
         std::unique_ptr<connection_acceptor> acceptor)
        : service_(balancer, std::move(queue), settings.max_pending_calls), acceptor_(std::move(acceptor)) {
        using connection_type = grpc::ServerBuilder::experimental_type::ExternalConnectionType;
        grpc::ServerBuilder builder;
        connections_ =
            builder.experimental().AddExternalConnectionAcceptor(connection_type::FROM_FD, credentials_of(settings));
        builder.AddChannelArgument(GRPC_ARG_MAX_CONNECTION_IDLE_MS, max_connection_idle_ms);
        builder.AddChannelArgument(GRPC_ARG_MAX_CONCURRENT_STREAMS, max_calls_per_connection);
        builder.SetMaxReceiveMessageSize(max_request_size);
        builder.RegisterService(&service_);
        server_ = builder.BuildAndStart();
        if (server_) acceptor_->start([this](int listener, int connection) { add(listener, connection); });
    }
    ~impl() { stop(); }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    bool     is_listening() const { return server_ != nullptr; }
    endpoint address() const { return acceptor_->address(); }

    void stop() {
        acceptor_->stop();
        service_.stop();
        if (server_) server_->Shutdown(std::chrono::system_clock::now() + shutdown_timeout);
    }

private:
    void add(int listener, int connection) {
        grpc::experimental::ExternalConnectionAcceptor::NewConnectionParameters parameters;
        parameters.listener_fd = listener;
        parameters.fd = connection;
        connections_->HandleNewConnection(&parameters);
    }

    administration_service                                          service_;
    std::unique_ptr<connection_acceptor>                            acceptor_;
    std::unique_ptr<grpc::experimental::ExternalConnectionAcceptor> connections_;
    std::unique_ptr<grpc::Server>                                   server_;
};

admin_server::admin_server() = default;
admin_server::~admin_server() = default;

result<std::unique_ptr<admin_server>, std::string>
admin_server::start(const admin_server_settings& settings, administered_balancer& balancer, control_queue queue) {
    auto acceptor = connection_acceptor::open(settings.address);
    if (!acceptor) return acceptor.error();
    std::unique_ptr<admin_server> server(new admin_server());
    server->impl_ = std::make_unique<impl>(settings, balancer, std::move(queue), std::move(acceptor).value());
    if (!server->impl_->is_listening()) return "the certificate and key of the administration interface do not match";
    return server;
}

endpoint admin_server::address() const {
    return impl_->address();
}

void admin_server::stop() {
    impl_->stop();
}

} // namespace tamarack
