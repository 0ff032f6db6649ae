// gRPC callback service: admission, the way to the control thread and back, and the operator's identity.
#include "tamarack/admin_server.h"

#include "tamarack/admin_messages.h"
#include "tamarack/events.h"

#include "admin.grpc.pb.h"

#include <grpc/grpc_security_constants.h>
#include <grpcpp/grpcpp.h>
#include <mutex>
#include <set>

namespace tamarack {

namespace {

constexpr int  max_request_size = 64 << 10;             // bytes; the largest request takes under 2 KB
constexpr int  max_connection_idle = 10 * 60'000;       // ms
constexpr int  max_calls_of_connection = 64;            // at once
constexpr auto stop_patience = std::chrono::seconds(1); // for clients to receive their answers

std::string text_of(const findings& problems) {
    std::string text;
    for (const finding& problem : problems)
        text += (text.empty() ? "" : "; ") + problem.to_string();
    return text;
}

// One call between its arrival and its answer. Request and response are valid until it is finished; the lock keeps the
// control thread from using them while stop() finishes the call.
class pending_call {
public:
    explicit pending_call(grpc::ServerUnaryReactor* reactor) : reactor_(reactor) {}

    // Runs work unless the call is finished; a status that it returns finishes the call.
    void with(const std::function<std::optional<grpc::Status>()>& work) {
        const std::scoped_lock lock(mutex_);
        if (finished_) return;
        const auto status = work();
        if (!status) return;
        finished_ = true;
        reactor_->Finish(*status);
    }
    void finish(const grpc::Status& status) {
        with([&] { return status; });
    }

private:
    std::mutex                mutex_;
    grpc::ServerUnaryReactor* reactor_;
    bool                      finished_ = false;
};

using call_handle = std::shared_ptr<pending_call>;

// The calls that wait for the control thread. Shared, since calls in the queue may outlive the server.
class call_list : public std::enable_shared_from_this<call_list> {
public:
    explicit call_list(std::size_t limit) : limit_(limit) {}

    // Finishes the call at once, and returns nothing, when there are too many or the server stops.
    call_handle admit(grpc::ServerUnaryReactor* reactor) {
        {
            const std::scoped_lock lock(mutex_);
            if (!stopping_ && calls_.size() < limit_) {
                // The last owner, be it the queue or the server, finishes a call that nobody answered.
                call_handle call(new pending_call(reactor),
                                 [list = shared_from_this()](pending_call* ended) { list->remove(ended); });
                calls_.emplace(call.get(), call);
                return call;
            }
        }
        if (!stopping_) log_event(event::calls_overloaded, {{"waiting", limit_}});
        reactor->Finish(stopping_ ? stopping() : grpc::Status(grpc::RESOURCE_EXHAUSTED, "too many calls are waiting"));
        return nullptr;
    }

    void stop() {
        std::vector<call_handle> open;
        {
            const std::scoped_lock lock(mutex_);
            stopping_ = true;
            for (const auto& [key, call] : calls_)
                open.push_back(call.lock());
        }
        for (const call_handle& call : open)
            if (call) call->finish(stopping());
    }

private:
    static grpc::Status stopping() {
        return {grpc::UNAVAILABLE,
                "the balancer stops; a change may have been committed, repeat it with its operation id"};
    }

    void remove(pending_call* ended) {
        {
            const std::scoped_lock lock(mutex_);
            calls_.erase(ended);
        }
        ended->finish(stopping());
        delete ended;
    }

    std::mutex                                           mutex_;
    std::size_t                                          limit_;
    std::atomic<bool>                                    stopping_ = false;
    std::map<pending_call*, std::weak_ptr<pending_call>> calls_;
};

// Name of the operator by the client's certificate; nothing without TLS.
std::optional<std::string> authenticated_operator(const grpc::CallbackServerContext& context) {
    const auto identity = context.auth_context();
    if (identity == nullptr || !identity->IsPeerAuthenticated()) return std::nullopt;
    const auto names = identity->FindPropertyValues(GRPC_X509_CN_PROPERTY_NAME);
    if (names.empty()) return "";
    return std::string(names.front().data(), names.front().size());
}

// The operator that a call is recorded under, or nothing if the call claims another name than its certificate.
std::optional<std::string> operator_of(const grpc::CallbackServerContext& context, const std::string& claimed) {
    auto name = authenticated_operator(context);
    if (!name) return claimed;
    if (claimed.empty() || claimed == *name) return name;
    log_event(event::call_refused, {{"operator", *name}, {"claimed", claimed}, {"reason", "another operator's name"}});
    return std::nullopt;
}

grpc::Status wrong_operator() {
    return {grpc::PERMISSION_DENIED, "the operator's name is not that of the certificate"};
}

class administration_service final : public admin::Administration::CallbackService {
public:
    administration_service(administered_balancer& balancer, control_queue queue, std::size_t max_waiting)
        : balancer_(balancer), queue_(std::move(queue)), calls_(std::make_shared<call_list>(max_waiting)) {}

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
            if (!name) return wrong_operator();
            if (!is_word(*name)) return grpc::Status(grpc::INVALID_ARGUMENT, "operator_name: not a name");
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
        if (const call_handle call = calls_->admit(reactor))
            queue_([call, work = std::move(work)] { call->with([&] { return work(call); }); });
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
        if (!name) return wrong_operator();
        admin::SubmitRequest named = request;
        named.set_operator_name(*name);
        const auto read = read_request(named, balancer_.current());
        if (!read) {
            response = message_of(change_result{
                request.operation_id(), change_status::invalid, balancer_.current().revision, read.error(), {}});
            return grpc::Status::OK;
        }
        submit_to_balancer(read.value(), response, call);
        return std::nullopt;
    }

    // The answer may come while this runs, under the call's lock, or later; it is therefore queued in any case.
    void submit_to_balancer(const change_request& request, admin::SubmitResponse& response, const call_handle& call) {
        balancer_.submit(request, [queue = queue_, &response, call](const change_result& outcome) {
            queue([&response, call, outcome] {
                call->with([&] {
                    response = message_of(outcome);
                    return grpc::Status::OK;
                });
            });
        });
    }

    administered_balancer&     balancer_;
    control_queue              queue_;
    std::shared_ptr<call_list> calls_;
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
    impl(const admin_server_settings& settings, administered_balancer& balancer, control_queue queue)
        : service_(balancer, std::move(queue), settings.max_waiting), address_(settings.address) {
        int                 port = 0;
        grpc::ServerBuilder builder;
        builder.AddListeningPort(settings.address.to_string(), credentials_of(settings), &port);
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0); // a port that is in use must be an error
        builder.AddChannelArgument(GRPC_ARG_MAX_CONNECTION_IDLE_MS, max_connection_idle);
        builder.AddChannelArgument(GRPC_ARG_MAX_CONCURRENT_STREAMS, max_calls_of_connection);
        builder.SetMaxReceiveMessageSize(max_request_size);
        builder.RegisterService(&service_);
        server_ = builder.BuildAndStart();
        if (port == 0) server_.reset();
        address_.port = static_cast<std::uint16_t>(port);
    }
    ~impl() { stop(); }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    bool     open() const { return server_ != nullptr; }
    endpoint address() const { return address_; }

    void stop() {
        service_.stop();
        if (server_) server_->Shutdown(std::chrono::system_clock::now() + stop_patience);
    }

private:
    administration_service        service_;
    std::unique_ptr<grpc::Server> server_;
    endpoint                      address_;
};

admin_server::admin_server() = default;
admin_server::~admin_server() = default;

result<std::unique_ptr<admin_server>, std::string>
admin_server::start(const admin_server_settings& settings, administered_balancer& balancer, control_queue queue) {
    std::unique_ptr<admin_server> made(new admin_server());
    made->impl_ = std::make_unique<impl>(settings, balancer, std::move(queue));
    if (!made->impl_->open()) {
        return "cannot listen on " + settings.address.to_string() +
               ": the address is in use or not of this host, or the certificate and key do not fit";
    }
    return made;
}

endpoint admin_server::address() const {
    return impl_->address();
}

void admin_server::stop() {
    impl_->stop();
}

} // namespace tamarack
