// Calls of the platform's service, and the meaning of their failures.
//
// A write either took effect, did not, or nobody can tell; a caller that takes the third case for the second loses or
// repeats a change. A failure counts as "did not take effect" only when the service itself says so, or when the request
// cannot have reached the part of the service that writes:
//
//   trailing metadata "not-applied: 1"          refused by the service before any effect
//   UNAUTHENTICATED, PERMISSION_DENIED,         refused on the way in, by the service or a proxy before it
//   UNIMPLEMENTED, INVALID_ARGUMENT
//   UNAVAILABLE                                 unknown: a connection that broke after the request was sent looks the
//                                               same as one that was never made
//   RESOURCE_EXHAUSTED without the metadata     unknown: HTTP/2 resets a stream with it at any time, and the gRPC
//                                               library uses it for an answer that is too large
//   DEADLINE_EXCEEDED, CANCELLED, INTERNAL,     unknown
//   UNKNOWN, ABORTED, DATA_LOSS and all others
//
// A read has no effect, so each of its failures is "unavailable". Retries of the gRPC library are off: a repeated
// compare-and-swap would meet its own first attempt and report a conflict.
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

// Detects a connection whose other end has vanished: without it such a connection would be used until TCP gives up,
// after about 15 minutes.
constexpr int      keepalive_milliseconds = 20'000;
constexpr int      keepalive_timeout_milliseconds = 5'000;
// The defaults (1 s to 120 s) would leave the platform unused for minutes after an outage.
constexpr int      first_reconnect_milliseconds = 100;
constexpr int      longest_reconnect_milliseconds = 5'000;
constexpr int      max_answer_bytes = 16 * 1024 * 1024; // a list of keys; values have at most 1 MB
// A watch is asked to answer this long before the deadline of its call, so that "unchanged" is not taken for a failure.
constexpr duration watch_margin = std::chrono::seconds(1);

// Longer times than the field holds are cut.
std::uint32_t milliseconds_field(duration time) {
    constexpr std::uint64_t longest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::min(to_milliseconds(time), longest));
}

bool is_refused_on_the_way_in(grpc::StatusCode code) {
    return code == grpc::StatusCode::UNAUTHENTICATED || code == grpc::StatusCode::PERMISSION_DENIED ||
           code == grpc::StatusCode::UNIMPLEMENTED || code == grpc::StatusCode::INVALID_ARGUMENT;
}

store_status failure_of(const grpc::Status& status, const grpc::ClientContext& context, bool write) {
    const auto& trailer = context.GetServerTrailingMetadata();
    const bool  not_applied =
        trailer.find(grpc::string_ref(not_applied_key.data(), not_applied_key.size())) != trailer.end();
    if (!write || not_applied) {
        const bool limited = status.error_code() == grpc::StatusCode::RESOURCE_EXHAUSTED;
        return limited ? store_status::rate_limited : store_status::unavailable;
    }
    if (is_refused_on_the_way_in(status.error_code())) return store_status::unavailable;
    return store_status::unknown_outcome;
}

bool is_write(store_operation operation) {
    return operation == store_operation::compare_and_swap || operation == store_operation::grant_lease ||
           operation == store_operation::revoke_lease;
}

// Answers of calls that succeeded.

store_response answer(const platform::GetResponse& message) {
    const bool found = message.version() != 0;
    return {0, found ? store_status::ok : store_status::not_found, message.value(), message.version()};
}

store_response answer(const platform::CompareAndSwapResponse& message) {
    return {0, message.written() ? store_status::ok : store_status::conflict, message.value(), message.version()};
}

store_response answer(const platform::WatchResponse& message) {
    return {0, message.changed() ? store_status::ok : store_status::unchanged, message.value(), message.version()};
}

store_response answer(const platform::GrantLeaseResponse& message) {
    return {0, message.granted() ? store_status::ok : store_status::conflict, message.holder(), message.version()};
}

store_response answer(const platform::RevokeLeaseResponse& message) {
    if (!message.found()) return {0, store_status::not_found, {}, 0};
    return {0, message.revoked() ? store_status::ok : store_status::conflict, message.holder(), message.version()};
}

store_response answer(const platform::ListResponse& message) {
    std::string lines;
    for (const auto& key : message.keys())
        lines += key + "\n";
    return {0, store_status::ok, lines, 0};
}

std::string target_of(const std::vector<endpoint>& addresses) {
    const bool  v4 = !addresses.empty() && addresses.front().address.is_v4();
    std::string target;
    for (const auto& item : addresses) {
        if (item.address.is_v4() == v4) target.append(target.empty() ? "" : ",").append(item.to_string());
    }
    return std::string(v4 ? "ipv4:" : "ipv6:") + target; // one scheme per channel; the first address decides
}

std::shared_ptr<grpc::Channel> open_channel(const platform_grpc_settings& settings) {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_SERVICE_CONFIG_DISABLE_RESOLUTION, 1);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepalive_milliseconds);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepalive_timeout_milliseconds);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, first_reconnect_milliseconds);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, first_reconnect_milliseconds);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, longest_reconnect_milliseconds);
    arguments.SetMaxReceiveMessageSize(max_answer_bytes);
    if (settings.root_certificates.empty()) {
        return grpc::CreateCustomChannel(target_of(settings.addresses), grpc::InsecureChannelCredentials(), arguments);
    }
    grpc::SslCredentialsOptions options;
    options.pem_root_certs = settings.root_certificates;
    return grpc::CreateCustomChannel(target_of(settings.addresses), grpc::SslCredentials(options), arguments);
}

} // namespace

// One thread takes the answers from a completion queue. (The callback interface of gRPC 1.51 shares a hidden queue
// among all channels, and aborts in it when one channel is closed while another is opened.)
class platform_grpc::impl {
public:
    explicit impl(const platform_grpc_settings& settings)
        : settings_(settings), stub_(platform::KeyValueStore::NewStub(open_channel(settings))),
          answers_([this] { take_answers(); }) {}

    ~impl() {
        {
            std::unique_lock lock(mutex_);
            for (auto* item : in_progress_)
                item->context.TryCancel();
            finished_.wait(lock, [&] { return in_progress_.empty(); });
        }
        queue_.Shutdown();
        answers_.join();
    }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    void submit(store_request request, handler done) {
        if (request.deadline <= duration{}) request.deadline = settings_.default_deadline;
        switch (request.operation) {
        case store_operation::get:
            return get(request, std::move(done));
        case store_operation::compare_and_swap:
            return compare_and_swap(request, std::move(done));
        case store_operation::watch:
            return watch(request, std::move(done));
        case store_operation::grant_lease:
            return grant_lease(request, std::move(done));
        case store_operation::revoke_lease:
            return revoke_lease(request, std::move(done));
        case store_operation::list:
            return list(request, std::move(done));
        }
        done({request.id, store_status::unavailable, {}, 0});
    }

private:
    using stub = platform::KeyValueStore::Stub;

    struct any_call {
        any_call() = default;
        any_call(const any_call&) = delete;
        any_call& operator=(const any_call&) = delete;
        virtual ~any_call() = default;
        virtual store_response result() const = 0; // of a call that succeeded

        grpc::ClientContext context;
        grpc::Status        status;
        std::uint64_t       id = 0;
        bool                write = false;
        handler             done;
    };

    template <class Response>
    struct call final : any_call {
        store_response result() const override { return answer(response); }

        Response                                                   response;
        std::unique_ptr<grpc::ClientAsyncResponseReader<Response>> reader;
    };

    template <class Request, class Response>
    using method = std::unique_ptr<grpc::ClientAsyncResponseReader<Response>> (stub::*)(grpc::ClientContext*,
                                                                                        const Request&,
                                                                                        grpc::CompletionQueue*);

    template <class Request, class Response>
    void start(method<Request, Response> which, const store_request& what, const Request& message, handler&& done) {
        auto item = std::make_unique<call<Response>>();
        item->id = what.id;
        item->write = is_write(what.operation);
        item->done = std::move(done);
        item->context.set_deadline(std::chrono::system_clock::now() +
                                   std::chrono::duration_cast<std::chrono::system_clock::duration>(what.deadline));
        const std::lock_guard lock(mutex_); // the answer must find the call in the set
        in_progress_.insert(item.get());
        auto& started = *item.release(); // owned by the completion queue until its answer is taken
        started.reader = (stub_.get()->*which)(&started.context, message, &queue_);
        started.reader->Finish(&started.response, &started.status, static_cast<any_call*>(&started));
    }

    void take_answers() {
        void* tag = nullptr;
        bool  ok = false;
        while (queue_.Next(&tag, &ok)) {
            const std::unique_ptr<any_call> item(static_cast<any_call*>(tag));
            item->done(response_of(*item));
            const std::lock_guard lock(mutex_);
            in_progress_.erase(item.get());
            finished_.notify_all();
        }
    }

    static void log_failure(const grpc::Status& status) {
        LOG_EVERY_N(WARNING, 100) << format_event(
            event::store_call_failed,
            {{"code", static_cast<std::uint64_t>(status.error_code())}, {"reason", status.error_message()}});
    }

    static store_response response_of(const any_call& item) {
        store_response response;
        if (item.status.ok()) {
            response = item.result();
        } else {
            if (item.status.error_code() != grpc::CANCELLED) log_failure(item.status); // cancelled: by the destructor
            response.status = failure_of(item.status, item.context, item.write);
        }
        response.id = item.id;
        return response;
    }

    void get(const store_request& what, handler done) {
        platform::GetRequest message;
        message.set_key(what.key);
        start(&stub::AsyncGet, what, message, std::move(done));
    }

    void compare_and_swap(const store_request& what, handler done) {
        platform::CompareAndSwapRequest message;
        message.set_key(what.key);
        message.set_value(what.value);
        message.set_expected_version(what.expected_version);
        start(&stub::AsyncCompareAndSwap, what, message, std::move(done));
    }

    void watch(const store_request& what, handler done) {
        platform::WatchRequest message;
        message.set_key(what.key);
        message.set_version(what.expected_version);
        message.set_wait_milliseconds(milliseconds_field(what.deadline - std::min(watch_margin, what.deadline / 4)));
        start(&stub::AsyncWatch, what, message, std::move(done));
    }

    void grant_lease(const store_request& what, handler done) {
        platform::GrantLeaseRequest message;
        message.set_name(what.key);
        message.set_holder(what.value);
        message.set_milliseconds(milliseconds_field(what.lease_time));
        start(&stub::AsyncGrantLease, what, message, std::move(done));
    }

    void revoke_lease(const store_request& what, handler done) {
        platform::RevokeLeaseRequest message;
        message.set_name(what.key);
        message.set_holder(what.value);
        start(&stub::AsyncRevokeLease, what, message, std::move(done));
    }

    void list(const store_request& what, handler done) {
        platform::ListRequest message;
        message.set_prefix(what.key);
        start(&stub::AsyncList, what, message, std::move(done));
    }

    const platform_grpc_settings settings_;
    std::unique_ptr<stub>        stub_;
    grpc::CompletionQueue        queue_;
    std::mutex                   mutex_;
    std::condition_variable      finished_;
    std::set<any_call*>          in_progress_; // guarded by mutex_
    std::thread                  answers_;     // last: starts when all others exist
};

platform_grpc::platform_grpc(const platform_grpc_settings& settings) : impl_(std::make_unique<impl>(settings)) {}

platform_grpc::~platform_grpc() = default;

void platform_grpc::submit(store_request request, handler done) {
    impl_->submit(std::move(request), std::move(done));
}

} // namespace tamarack
