// Connections and calls of the prober.
#include "tamarack/prober_grpc.h"

#include "load_report.grpc.pb.h"

#include <grpcpp/grpcpp.h>
#include <mutex>
#include <thread>

namespace tamarack {

namespace {

constexpr duration keep_unused = std::chrono::minutes(1);
// A host that comes back must be seen within a probe or two, so reconnecting does not wait as long as gRPC's default.
constexpr int      first_reconnect = 200;     // ms
constexpr int      longest_reconnect = 1'000; // ms
constexpr int      max_response_size = 4'096; // bytes; a report takes about 10

struct connection {
    std::unique_ptr<load::LoadReporter::Stub> stub;
    steady_time                               last_used{};
};

std::unique_ptr<load::LoadReporter::Stub> connect(const endpoint& target) {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, first_reconnect);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, longest_reconnect);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, longest_reconnect);
    arguments.SetMaxReceiveMessageSize(max_response_size);
    const std::string scheme = target.address.is_v4() ? "ipv4:" : "ipv6:"; // no name service is asked
    return load::LoadReporter::NewStub(
        grpc::CreateCustomChannel(scheme + target.to_string(), grpc::InsecureChannelCredentials(), arguments));
}

struct call {
    grpc::ClientContext  context;
    load::ReportRequest  request;
    load::ReportResponse response;
    grpc::Status         status;
    probe_result         result;
    prober_grpc::done    give;

    std::unique_ptr<grpc::ClientAsyncResponseReader<load::ReportResponse>> reader;
};

void take_over(const grpc::Status& status, call& ended) {
    switch (status.error_code()) {
    case grpc::OK:
        ended.result.reachable = true;
        ended.result.load = load_report{ended.response.busy_slots(), ended.response.total_slots(),
                                        ended.response.connections(), ended.response.shedding()};
        break;
    case grpc::UNIMPLEMENTED:
        ended.result.reachable = true;
        break;
    case grpc::RESOURCE_EXHAUSTED:
        ended.result.reachable = true;
        ended.result.load = load_report{0, 0, 0, true};
        break;
    default:
        break;
    }
}

} // namespace

// Calls go through a completion queue with one thread: the callback interface of gRPC 1.51 aborts inside the library
// when calls end while others start (prober_test crashed in 5 of 12 runs).
class prober_grpc::impl {
public:
    impl() : worker_([this] { run(); }) {}
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    ~impl() {
        {
            const std::scoped_lock lock(mutex_);
            for (auto& [tag, open] : open_)
                open->context.TryCancel();
            queue_.Shutdown(); // calls that have started still end through the queue
        }
        worker_.join();
    }

    void start(const probe_request& request, done give) {
        auto made = std::make_unique<call>();
        made->result.id = request.id;
        made->result.backend_server = request.backend_server;
        made->give = std::move(give);
        made->context.set_deadline(std::chrono::system_clock::now() + request.deadline);
        connection& to = connections_[request.target];
        if (to.stub == nullptr) to.stub = connect(request.target);
        to.last_used = std::chrono::steady_clock::now();
        const std::scoped_lock lock(mutex_);
        call* const            tag = made.get();
        tag->reader = to.stub->AsyncReport(&tag->context, tag->request, &queue_);
        tag->reader->Finish(&tag->response, &tag->status, tag);
        open_.emplace(tag, std::move(made));
    }

    void close_unused(steady_time now) {
        std::erase_if(connections_, [now](const auto& entry) { return now - entry.second.last_used > keep_unused; });
    }

private:
    void run() {
        void* tag = nullptr;
        bool  ok = false;
        while (queue_.Next(&tag, &ok)) {
            std::unique_ptr<call> ended;
            {
                const std::scoped_lock lock(mutex_);
                const auto             found = open_.find(tag);
                ended = std::move(found->second);
                open_.erase(found);
            }
            take_over(ended->status, *ended);
            ended->give(ended->result);
        }
    }

    std::map<endpoint, connection>         connections_;
    grpc::CompletionQueue                  queue_;
    std::mutex                             mutex_; // for open_, and so that no call starts after the shutdown
    std::map<void*, std::unique_ptr<call>> open_;  // by tag
    std::thread                            worker_;
};

prober_grpc::prober_grpc() : impl_(std::make_unique<impl>()) {}
prober_grpc::~prober_grpc() = default;

void prober_grpc::start(const probe_request& request, done give) {
    impl_->start(request, std::move(give));
}

void prober_grpc::close_unused(steady_time now) {
    impl_->close_unused(now);
}

} // namespace tamarack
