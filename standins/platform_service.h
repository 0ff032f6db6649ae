// The platform's stand-in over gRPC: the key-value service on a platform_store, and the control service.
//
// Synchronous: a waiting watch holds a thread, which is enough for the two watchers of each failure domain.
#pragma once

#include "platform.grpc.pb.h"
#include "platform_control.grpc.pb.h"
#include "standins/platform_store.h"
#include "tamarack/clock.h"

#include <condition_variable>
#include <grpcpp/grpcpp.h>
#include <mutex>
#include <thread>

namespace tamarack::standin {

inline constexpr std::size_t max_key_size = 512; // bytes
inline constexpr std::size_t max_value_bytes = 1'000'000;

// The store under a lock, with delays, waiting and lost answers in real time.
class shared_store {
public:
    // Empty when the answer must not reach the caller.
    std::optional<store_response> call(const store_request& request, duration wait,
                                       const grpc::ServerContext& context) {
        std::unique_lock lock(mutex_);
        pause(lock, context);
        const auto deadline = std::chrono::steady_clock::now() + wait;
        auto       result = store_.handle(request);
        changed_.notify_all();
        while (result.waiting) {
            if (std::chrono::steady_clock::now() >= deadline || stopping_ || context.IsCancelled())
                return store_.unchanged(request);
            changed_.wait_for(lock, slice);
            result = store_.recheck(request);
        }
        if (!result.lost) return std::move(result.response);
        while (!stopping_ && !context.IsCancelled())
            changed_.wait_for(lock, slice);
        return std::nullopt;
    }

    // Runs use with the store under the lock.
    template <class Use>
    auto with(Use use) {
        const std::lock_guard lock(mutex_);
        changed_.notify_all();
        return use(store_);
    }

    void stop() {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        changed_.notify_all();
    }

private:
    static constexpr std::chrono::milliseconds slice{20}; // between two looks at cancellation

    void pause(std::unique_lock<std::mutex>& lock, const grpc::ServerContext& context) {
        const auto until = std::chrono::steady_clock::now() + store_.faults.delay;
        while (std::chrono::steady_clock::now() < until && !stopping_ && !context.IsCancelled())
            changed_.wait_until(lock, std::min(until, std::chrono::steady_clock::now() + slice));
    }

    system_clock            time_;
    std::mutex              mutex_;
    std::condition_variable changed_;
    platform_store          store_{time_};
    bool                    stopping_ = false;
};

class key_value_service final : public platform::KeyValueStore::Service {
public:
    explicit key_value_service(shared_store& store) : store_(store) {}

    grpc::Status Get(grpc::ServerContext* context, const platform::GetRequest* request,
                     platform::GetResponse* response) override {
        return carry_out(context, request_of(store_operation::get, request->key()), {},
                         [&](const store_response& answer) {
                             response->set_version(answer.version);
                             response->set_value(answer.value);
                         });
    }

    grpc::Status CompareAndSwap(grpc::ServerContext* context, const platform::CompareAndSwapRequest* request,
                                platform::CompareAndSwapResponse* response) override {
        auto call = request_of(store_operation::compare_and_swap, request->key(), request->value());
        call.expected_version = request->expected_version();
        return carry_out(context, call, {}, [&](const store_response& answer) {
            response->set_written(answer.status == store_status::ok);
            response->set_version(answer.version);
            response->set_value(answer.value);
        });
    }

    grpc::Status Watch(grpc::ServerContext* context, const platform::WatchRequest* request,
                       platform::WatchResponse* response) override {
        auto call = request_of(store_operation::watch, request->key());
        call.expected_version = request->version();
        const auto wait = std::chrono::milliseconds(request->wait_milliseconds());
        return carry_out(context, call, wait, [&](const store_response& answer) {
            response->set_changed(answer.status == store_status::ok);
            response->set_version(answer.version);
            response->set_value(answer.value);
        });
    }

    grpc::Status GrantLease(grpc::ServerContext* context, const platform::GrantLeaseRequest* request,
                            platform::GrantLeaseResponse* response) override {
        auto call = request_of(store_operation::grant_lease, request->name(), request->holder());
        call.lease_time = std::chrono::milliseconds(request->milliseconds());
        return carry_out(context, call, {}, [&](const store_response& answer) {
            response->set_granted(answer.status == store_status::ok);
            response->set_version(answer.version);
            response->set_holder(answer.value);
        });
    }

    grpc::Status RevokeLease(grpc::ServerContext* context, const platform::RevokeLeaseRequest* request,
                             platform::RevokeLeaseResponse* response) override {
        const auto call = request_of(store_operation::revoke_lease, request->name(), request->holder());
        return carry_out(context, call, {}, [&](const store_response& answer) {
            response->set_found(answer.status != store_status::not_found);
            response->set_revoked(answer.status == store_status::ok);
            response->set_holder(answer.value);
            response->set_version(answer.version);
        });
    }

    grpc::Status List(grpc::ServerContext* context, const platform::ListRequest* request,
                      platform::ListResponse* response) override {
        return carry_out(
            context, request_of(store_operation::list, request->prefix()), {}, [&](const store_response& answer) {
                std::size_t start = 0;
                for (std::size_t end = 0; (end = answer.value.find('\n', start)) != std::string::npos; start = end + 1)
                    response->add_keys(answer.value.substr(start, end - start));
            });
    }

private:
    static store_request request_of(store_operation operation, const std::string& key, const std::string& value = {}) {
        store_request request;
        request.operation = operation;
        request.key = key;
        request.value = value;
        return request;
    }

    static grpc::Status refuse(grpc::ServerContext* context, grpc::StatusCode code, const char* message) {
        context->AddTrailingMetadata("not-applied", "1");
        return {code, message};
    }

    template <class Fill>
    grpc::Status carry_out(grpc::ServerContext* context, const store_request& request, duration wait, Fill fill) {
        if (request.key.empty() || request.key.size() > max_key_size)
            return refuse(context, grpc::StatusCode::INVALID_ARGUMENT, "a key has 1 to 512 bytes");
        if (request.value.size() > max_value_bytes)
            return refuse(context, grpc::StatusCode::INVALID_ARGUMENT, "a value has at most 1,000,000 bytes");
        const auto answer = store_.call(request, wait, *context);
        if (!answer) return {grpc::StatusCode::UNAVAILABLE, "the answer was lost"};
        if (answer->status == store_status::rate_limited)
            return refuse(context, grpc::StatusCode::RESOURCE_EXHAUSTED, "rate limit");
        if (answer->status == store_status::unavailable)
            return refuse(context, grpc::StatusCode::UNAVAILABLE, "outage");
        fill(*answer);
        return grpc::Status::OK;
    }

    shared_store& store_;
};

class control_service final : public platform::StandInControl::Service {
public:
    explicit control_service(shared_store& store) : store_(store) {}

    grpc::Status SetFaults(grpc::ServerContext*, const platform::Faults* request, platform::Counts* response) override {
        store_faults faults;
        faults.outage = request->outage();
        faults.delay = std::chrono::milliseconds(request->delay_milliseconds());
        faults.lose_answers = request->lose_answers();
        faults.lose_requests = request->lose_requests();
        faults.stale_writes = request->stale_writes();
        faults.writes_per_second = request->writes_per_second();
        faults.reads_per_second = request->reads_per_second();
        store_.with([&](platform_store& store) { store.faults = faults; });
        return read(*response);
    }

    grpc::Status ReadCounts(grpc::ServerContext*, const platform::ReadCountsRequest*,
                            platform::Counts* response) override {
        return read(*response);
    }

    grpc::Status Backup(grpc::ServerContext*, const platform::BackupRequest*, platform::BackupResponse*) override {
        backup_ = store_.with([](platform_store& store) { return store.backup(); });
        return grpc::Status::OK;
    }

    grpc::Status Restore(grpc::ServerContext*, const platform::RestoreRequest*, platform::RestoreResponse*) override {
        store_.with([&](platform_store& store) { store.restore(backup_); });
        return grpc::Status::OK;
    }

private:
    grpc::Status read(platform::Counts& message) {
        const store_counts counts = store_.with([](platform_store& store) { return store.counts(); });
        message.set_gets(counts.gets);
        message.set_compare_and_swaps(counts.compare_and_swaps);
        message.set_watches(counts.watches);
        message.set_lease_calls(counts.lease_calls);
        message.set_lists(counts.lists);
        message.set_refused(counts.refused);
        message.set_rate_limited(counts.rate_limited);
        message.set_answers_lost(counts.answers_lost);
        return grpc::Status::OK;
    }

    shared_store&            store_;
    platform_store::contents backup_; // of the last Backup
};

// Both services on one port.
class platform_server {
public:
    // Port 0 takes a free one. The port stays 0 when the address can't be used.
    explicit platform_server(const endpoint& listen) {
        grpc::ServerBuilder builder;
        builder.AddListeningPort(listen.to_string(), grpc::InsecureServerCredentials(), &port_);
        builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, ping_interval_milliseconds);
        builder.RegisterService(&key_values_);
        builder.RegisterService(&control_);
        server_ = builder.BuildAndStart();
    }
    platform_server(const platform_server&) = delete;
    platform_server& operator=(const platform_server&) = delete;
    ~platform_server() { stop(); }

    int           port() const { return port_; }
    shared_store& store() { return store_; }

    void stop() {
        if (!server_) return;
        store_.stop();
        server_->Shutdown(std::chrono::system_clock::now() + std::chrono::seconds(1));
        server_->Wait();
        server_.reset();
    }

private:
    static constexpr int ping_interval_milliseconds = 10'000; // shortest that is accepted

    shared_store                  store_;
    key_value_service             key_values_{store_};
    control_service               control_{store_};
    int                           port_ = 0;
    std::unique_ptr<grpc::Server> server_;
};

} // namespace tamarack::standin
