// Connections and calls of the gRPC prober.
#include "tamarack/prober_grpc.h"

#include "load_report.grpc.pb.h"

#include <grpcpp/grpcpp.h>
#include <mutex>
#include <thread>

namespace tamarack {

namespace {

constexpr duration unused_connection_lifetime = std::chrono::minutes(1);
// A host that recovers must be detected within one or two probes, so reconnects are faster than gRPC's default.
constexpr int      initial_reconnect_milliseconds = 200;
constexpr int      max_reconnect_milliseconds = 1'000;
constexpr int      max_response_size = 4'096; // bytes; a report has about 10

struct connection {
    std::unique_ptr<load::LoadReporter::Stub> stub;
    steady_time                               last_used{};
};

std::unique_ptr<load::LoadReporter::Stub> connect(const endpoint& target) {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, initial_reconnect_milliseconds);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, max_reconnect_milliseconds);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, max_reconnect_milliseconds);
    arguments.SetMaxReceiveMessageSize(max_response_size);
    const std::string scheme = target.address.is_v4() ? "ipv4:" : "ipv6:"; // a numeric address needs no name resolution
    return load::LoadReporter::NewStub(
        grpc::CreateCustomChannel(scheme + target.to_string(), grpc::InsecureChannelCredentials(), arguments));
}

struct call {
    grpc::ClientContext  context;
    load::ReportRequest  request;
    load::ReportResponse response;
    grpc::Status         status;
    probe_result         result;
    prober_grpc::handler on_result;

    std::unique_ptr<grpc::ClientAsyncResponseReader<load::ReportResponse>> reader;
};

void set_result(const grpc::Status& status, call& finished_call) {
    switch (status.error_code()) {
    case grpc::OK:
        finished_call.result.reachable = true;
        finished_call.result.load =
            load_report{finished_call.response.busy_slots(), finished_call.response.total_slots(),
                        finished_call.response.connections(), finished_call.response.shedding()};
        break;
    case grpc::UNIMPLEMENTED:
        finished_call.result.reachable = true;
        break;
    case grpc::RESOURCE_EXHAUSTED:
        finished_call.result.reachable = true;
        finished_call.result.load = load_report{0, 0, 0, true};
        break;
    default:
        break;
    }
}

} // namespace

// One thread processes a completion queue. The callback interface is not used: in gRPC 1.51 it aborts inside the
// library when calls end while others start (prober_test crashed in 5 of 12 runs).
class prober_grpc::impl {
public:
    impl() : completion_thread_([this] { process_completions(); }) {}
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    ~impl() {
        {
            const std::scoped_lock lock(mutex_);
            for (auto& [tag, open_call] : open_calls_)
                open_call->context.TryCancel();
            queue_.Shutdown(); // calls that have been started still complete through the queue
        }
        completion_thread_.join();
    }

    void start(const probe_request& request, handler on_result) {
        auto new_call = std::make_unique<call>();
        new_call->result.id = request.id;
        new_call->result.backend_server = request.backend_server;
        new_call->on_result = std::move(on_result);
        new_call->context.set_deadline(std::chrono::system_clock::now() + request.deadline);
        connection& backend_connection = connections_[request.target];
        if (backend_connection.stub == nullptr) backend_connection.stub = connect(request.target);
        backend_connection.last_used = std::chrono::steady_clock::now();
        const std::scoped_lock lock(mutex_);
        call* const            tag = new_call.get();
        tag->reader = backend_connection.stub->AsyncReport(&tag->context, tag->request, &queue_);
        tag->reader->Finish(&tag->response, &tag->status, tag);
        open_calls_.emplace(tag, std::move(new_call));
    }

    void close_unused(steady_time now) {
        std::erase_if(connections_,
                      [now](const auto& entry) { return now - entry.second.last_used > unused_connection_lifetime; });
    }

private:
    void process_completions() {
        void* tag = nullptr;
        bool  ok = false;
        while (queue_.Next(&tag, &ok)) {
            std::unique_ptr<call> finished_call;
            {
                const std::scoped_lock lock(mutex_);
                const auto             found = open_calls_.find(tag);
                finished_call = std::move(found->second);
                open_calls_.erase(found);
            }
            set_result(finished_call->status, *finished_call);
            finished_call->on_result(finished_call->result);
        }
    }

    std::map<endpoint, connection> connections_;
    grpc::CompletionQueue          queue_;
    std::mutex                     mutex_; // guards open_calls_, and prevents starting a call after the shutdown
    std::map<void*, std::unique_ptr<call>> open_calls_; // by tag
    std::thread                            completion_thread_;
};

prober_grpc::prober_grpc() : impl_(std::make_unique<impl>()) {}
prober_grpc::~prober_grpc() = default;

void prober_grpc::start(const probe_request& request, handler on_result) {
    impl_->start(request, std::move(on_result));
}

void prober_grpc::close_unused(steady_time now) {
    impl_->close_unused(now);
}

} // namespace tamarack
