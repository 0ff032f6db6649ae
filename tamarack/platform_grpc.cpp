// Calls to the platform's service, and the classification of their failures.
//
// A failed write either took effect, did not take effect, or has an unknown outcome; treating an unknown outcome as
// "did not take effect" loses or repeats a change. A failure counts as "did not take effect" only if the service says
// so, or if the request cannot have reached the part of the service that writes:
//
//   trailing metadata "not-applied: 1"          rejected by the service before any effect
//   UNAUTHENTICATED, PERMISSION_DENIED,         rejected before execution, by the service or a proxy in front of it
//   UNIMPLEMENTED, INVALID_ARGUMENT
//   UNAVAILABLE                                 unknown: a connection that broke after the request was sent can't be
//                                               distinguished from one that was never established
//   RESOURCE_EXHAUSTED without the metadata     unknown: an HTTP/2 stream may be reset with it at any time, and
//                                               gRPC reports it for an answer that is too large
//   DEADLINE_EXCEEDED, CANCELLED, INTERNAL,     unknown
//   UNKNOWN, ABORTED, DATA_LOSS and all others
//
// A read has no effect, so all its failures except a rate limit are "unavailable". Retries by the gRPC library are
// disabled: a repeated compare-and-swap would conflict with its own first attempt.
#include "tamarack/platform_grpc.h"

#include "tamarack/events.h"

#include "platform.grpc.pb.h"

#include <algorithm>
#include <condition_variable>
#include <glog/logging.h>
#include <grpcpp/grpcpp.h>
#include <mutex>
#include <set>
#include <thread>

namespace tamarack {

namespace {

constexpr std::string_view not_applied_key = "not-applied";

// Detects a connection whose other end has disappeared. Without it such a connection would be used until TCP times out,
// after about 15 minutes.
constexpr int      keepalive_milliseconds = 20'000;
constexpr int      keepalive_timeout_milliseconds = 5'000;
// With the defaults (1 s to 120 s) the platform would not be used for minutes after an outage.
constexpr int      initial_reconnect_milliseconds = 100;
constexpr int      max_reconnect_milliseconds = 5'000;
// Until the service has sent its first HTTP/2 frame. Covers a lost SYN, which is retransmitted after a second.
constexpr int      connect_timeout_milliseconds = 1'500;
constexpr int      max_response_bytes = 16 * 1024 * 1024; // for lists of keys; values have at most 1 MB
// The service is asked to answer a watch this long before the deadline of the call, so that "unchanged" arrives before
// the deadline.
constexpr duration watch_margin = std::chrono::seconds(1);

// Times that exceed the range of the field are clamped.
std::uint32_t milliseconds_field(duration time) {
    constexpr std::uint64_t max_milliseconds = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::min(to_milliseconds(time), max_milliseconds));
}

bool is_rejected_before_execution(grpc::StatusCode code) {
    return code == grpc::StatusCode::UNAUTHENTICATED || code == grpc::StatusCode::PERMISSION_DENIED ||
           code == grpc::StatusCode::UNIMPLEMENTED || code == grpc::StatusCode::INVALID_ARGUMENT;
}

store_status status_of_failure(const grpc::Status& status, const grpc::ClientContext& context, bool is_write) {
    const auto& trailing_metadata = context.GetServerTrailingMetadata();
    const bool  is_not_applied =
        trailing_metadata.find(grpc::string_ref(not_applied_key.data(), not_applied_key.size())) !=
        trailing_metadata.end();
    if (!is_write || is_not_applied) {
        const bool is_rate_limited = status.error_code() == grpc::StatusCode::RESOURCE_EXHAUSTED;
        return is_rate_limited ? store_status::rate_limited : store_status::unavailable;
    }
    if (is_rejected_before_execution(status.error_code())) return store_status::unavailable;
    return store_status::unknown_outcome;
}

bool is_write(store_operation operation) {
    return operation == store_operation::compare_and_swap || operation == store_operation::grant_lease ||
           operation == store_operation::revoke_lease;
}

// Conversion of the responses of successful calls.

store_response to_response(const platform::GetResponse& message) {
    const bool is_found = message.version() != 0;
    return {0, is_found ? store_status::ok : store_status::not_found, message.value(), message.version()};
}

store_response to_response(const platform::CompareAndSwapResponse& message) {
    return {0, message.written() ? store_status::ok : store_status::conflict, message.value(), message.version()};
}

store_response to_response(const platform::WatchResponse& message) {
    return {0, message.changed() ? store_status::ok : store_status::unchanged, message.value(), message.version()};
}

store_response to_response(const platform::GrantLeaseResponse& message) {
    return {0, message.granted() ? store_status::ok : store_status::conflict, message.holder(), message.version()};
}

store_response to_response(const platform::RevokeLeaseResponse& message) {
    if (!message.found()) return {0, store_status::not_found, {}, 0};
    return {0, message.revoked() ? store_status::ok : store_status::conflict, message.holder(), message.version()};
}

store_response to_response(const platform::ListResponse& message) {
    std::string lines;
    for (const auto& key : message.keys())
        lines += key + "\n";
    return {0, store_status::ok, lines, 0};
}

std::string grpc_target(const std::vector<endpoint>& addresses) {
    const bool  v4 = !addresses.empty() && addresses.front().address.is_v4();
    std::string target;
    for (const auto& item : addresses) {
        if (item.address.is_v4() == v4) target.append(target.empty() ? "" : ",").append(item.to_string());
    }
    return std::string(v4 ? "ipv4:" : "ipv6:") + target; // a channel has one scheme, that of the first address
}

std::shared_ptr<grpc::Channel> open_channel(const platform_grpc_settings& settings) {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_SERVICE_CONFIG_DISABLE_RESOLUTION, 1);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepalive_milliseconds);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepalive_timeout_milliseconds);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, initial_reconnect_milliseconds);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, connect_timeout_milliseconds); // no backoff, despite its name
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, max_reconnect_milliseconds);
    arguments.SetMaxReceiveMessageSize(max_response_bytes);
    if (settings.root_certificates.empty()) {
        return grpc::CreateCustomChannel(grpc_target(settings.addresses), grpc::InsecureChannelCredentials(),
                                         arguments);
    }
    grpc::SslCredentialsOptions options;
    options.pem_root_certs = settings.root_certificates;
    return grpc::CreateCustomChannel(grpc_target(settings.addresses), grpc::SslCredentials(options), arguments);
}

} // namespace

// One thread processes the completion queue. The callback interface is not used: in gRPC 1.51 it shares an internal
// queue among all channels, and aborts in it when one channel is closed while another is opened.
class platform_grpc::impl {
public:
    explicit impl(const platform_grpc_settings& settings)
        : settings_(settings), stub_(platform::KeyValueStore::NewStub(open_channel(settings))),
          completion_thread_([this] { process_completions(); }) {}

    ~impl() {
        {
            std::unique_lock lock(mutex_);
            for (auto* open_call : open_calls_)
                open_call->context.TryCancel();
            call_finished_.wait(lock, [&] { return open_calls_.empty(); });
        }
        queue_.Shutdown();
        completion_thread_.join();
    }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    void submit(store_request request, handler on_response) {
        if (request.deadline <= duration{}) request.deadline = settings_.default_deadline;
        switch (request.operation) {
        case store_operation::get:
            return get(request, std::move(on_response));
        case store_operation::compare_and_swap:
            return compare_and_swap(request, std::move(on_response));
        case store_operation::watch:
            return watch(request, std::move(on_response));
        case store_operation::grant_lease:
            return grant_lease(request, std::move(on_response));
        case store_operation::revoke_lease:
            return revoke_lease(request, std::move(on_response));
        case store_operation::list:
            return list(request, std::move(on_response));
        }
        on_response({request.id, store_status::unavailable, {}, 0});
    }

private:
    using stub = platform::KeyValueStore::Stub;

    struct call_base {
        call_base() = default;
        call_base(const call_base&) = delete;
        call_base& operator=(const call_base&) = delete;
        virtual ~call_base() = default;
        virtual store_response result() const = 0; // of a successful call

        grpc::ClientContext context;
        grpc::Status        status;
        std::uint64_t       id = 0;
        bool                is_write = false;
        handler             on_response;
    };

    template <class Response>
    struct call final : call_base {
        store_response result() const override { return to_response(response); }

        Response                                                   response;
        std::unique_ptr<grpc::ClientAsyncResponseReader<Response>> reader;
    };

    template <class Request, class Response>
    using method = std::unique_ptr<grpc::ClientAsyncResponseReader<Response>> (stub::*)(grpc::ClientContext*,
                                                                                        const Request&,
                                                                                        grpc::CompletionQueue*);

    template <class Request, class Response>
    void start(method<Request, Response> method_pointer, const store_request& request, const Request& message,
               handler&& on_response) {
        auto open_call = std::make_unique<call<Response>>();
        open_call->id = request.id;
        open_call->is_write = is_write(request.operation);
        open_call->on_response = std::move(on_response);
        open_call->context.set_deadline(
            std::chrono::system_clock::now() +
            std::chrono::duration_cast<std::chrono::system_clock::duration>(request.deadline));
        const std::lock_guard lock(mutex_); // the call must be in the set before its completion is processed
        open_calls_.insert(open_call.get());
        auto& started_call = *open_call.release(); // owned by the completion queue until process_completions() takes it
        started_call.reader = (stub_.get()->*method_pointer)(&started_call.context, message, &queue_);
        started_call.reader->Finish(&started_call.response, &started_call.status,
                                    static_cast<call_base*>(&started_call));
    }

    void process_completions() {
        void* tag = nullptr;
        bool  ok = false;
        while (queue_.Next(&tag, &ok)) {
            const std::unique_ptr<call_base> open_call(static_cast<call_base*>(tag));
            open_call->on_response(response_of(*open_call));
            const std::lock_guard lock(mutex_);
            open_calls_.erase(open_call.get());
            call_finished_.notify_all();
        }
    }

    static void log_failure(const grpc::Status& status) {
        LOG_EVERY_N(WARNING, 100) << format_event(
            event::store_call_failed,
            {{"code", static_cast<std::uint64_t>(status.error_code())}, {"reason", status.error_message()}});
    }

    static store_response response_of(const call_base& open_call) {
        store_response response;
        if (open_call.status.ok()) {
            response = open_call.result();
        } else {
            if (open_call.status.error_code() != grpc::CANCELLED)
                log_failure(open_call.status); // the destructor cancels calls
            response.status = status_of_failure(open_call.status, open_call.context, open_call.is_write);
        }
        response.id = open_call.id;
        return response;
    }

    void get(const store_request& request, handler on_response) {
        platform::GetRequest message;
        message.set_key(request.key);
        start(&stub::AsyncGet, request, message, std::move(on_response));
    }

    void compare_and_swap(const store_request& request, handler on_response) {
        platform::CompareAndSwapRequest message;
        message.set_key(request.key);
        message.set_value(request.value);
        message.set_expected_version(request.expected_version);
        start(&stub::AsyncCompareAndSwap, request, message, std::move(on_response));
    }

    void watch(const store_request& request, handler on_response) {
        platform::WatchRequest message;
        message.set_key(request.key);
        message.set_version(request.expected_version);
        message.set_wait_milliseconds(
            milliseconds_field(request.deadline - std::min(watch_margin, request.deadline / 4)));
        start(&stub::AsyncWatch, request, message, std::move(on_response));
    }

    void grant_lease(const store_request& request, handler on_response) {
        platform::GrantLeaseRequest message;
        message.set_name(request.key);
        message.set_holder(request.value);
        message.set_milliseconds(milliseconds_field(request.lease_time));
        start(&stub::AsyncGrantLease, request, message, std::move(on_response));
    }

    void revoke_lease(const store_request& request, handler on_response) {
        platform::RevokeLeaseRequest message;
        message.set_name(request.key);
        message.set_holder(request.value);
        start(&stub::AsyncRevokeLease, request, message, std::move(on_response));
    }

    void list(const store_request& request, handler on_response) {
        platform::ListRequest message;
        message.set_prefix(request.key);
        start(&stub::AsyncList, request, message, std::move(on_response));
    }

    const platform_grpc_settings settings_;
    std::unique_ptr<stub>        stub_;
    grpc::CompletionQueue        queue_;
    std::mutex                   mutex_;
    std::condition_variable      call_finished_;
    std::set<call_base*>         open_calls_;        // guarded by mutex_
    std::thread                  completion_thread_; // last member: starts when all others are initialised
};

platform_grpc::platform_grpc(const platform_grpc_settings& settings) : impl_(std::make_unique<impl>(settings)) {}

platform_grpc::~platform_grpc() = default;

void platform_grpc::submit(store_request request, handler on_response) {
    impl_->submit(std::move(request), std::move(on_response));
}

} // namespace tamarack
