// Serves a platform_store over gRPC as the platform's key-value service, together with the control service of the
// stand-in.
//
// Uses the synchronous gRPC API: a waiting watch occupies a thread. This suffices for the two watchers of each failure
// domain.
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

inline constexpr std::size_t max_key_size = 512;         // bytes
inline constexpr std::size_t max_value_size = 1'000'000; // bytes

// A platform_store behind a mutex. Carries out delays, waiting watches and lost answers in real time.
class shared_store {
public:
    // Nullopt: the answer must not reach the caller.
    std::optional<store_response> call(const store_request& request, duration wait,
                                       const grpc::ServerContext& context) {
        std::unique_lock lock(mutex_);
        wait_for_delay(lock, context);
        const auto deadline = std::chrono::steady_clock::now() + wait;
        auto       result = store_.handle(request);
        changed_.notify_all();
        while (result.is_waiting) {
            if (std::chrono::steady_clock::now() >= deadline || is_stopping_ || context.IsCancelled())
                return store_.unchanged_response(request);
            changed_.wait_for(lock, cancellation_check_interval);
            result = store_.recheck(request);
        }
        if (!result.is_lost) return std::move(result.response);
        while (!is_stopping_ && !context.IsCancelled())
            changed_.wait_for(lock, cancellation_check_interval);
        return std::nullopt;
    }

    // Calls function with the store while the mutex is locked.
    template <class Function>
    auto with_lock(Function function) {
        const std::lock_guard lock(mutex_);
        changed_.notify_all();
        return function(store_);
    }

    void stop() {
        const std::lock_guard lock(mutex_);
        is_stopping_ = true;
        changed_.notify_all();
    }

private:
    // Time between two checks whether the call was cancelled.
    static constexpr std::chrono::milliseconds cancellation_check_interval{20};

    void wait_for_delay(std::unique_lock<std::mutex>& lock, const grpc::ServerContext& context) {
        const auto delay_end = std::chrono::steady_clock::now() + store_.faults.delay;
        while (std::chrono::steady_clock::now() < delay_end && !is_stopping_ && !context.IsCancelled()) {
            changed_.wait_until(lock,
                                std::min(delay_end, std::chrono::steady_clock::now() + cancellation_check_interval));
        }
    }

    system_clock            time_;
    std::mutex              mutex_;
    std::condition_variable changed_;
    platform_store          store_{time_};
    bool                    is_stopping_ = false;
};

class key_value_service final : public platform::KeyValueStore::Service {
public:
    explicit key_value_service(shared_store& store) : store_(store) {}

    grpc::Status Get(grpc::ServerContext* context, const platform::GetRequest* request,
                     platform::GetResponse* response) override {
        return execute(context, make_request(store_operation::get, request->key()), {},
                       [&](const store_response& answer) {
                           response->set_version(answer.version);
                           response->set_value(answer.value);
                       });
    }

    grpc::Status CompareAndSwap(grpc::ServerContext* context, const platform::CompareAndSwapRequest* request,
                                platform::CompareAndSwapResponse* response) override {
        auto call = make_request(store_operation::compare_and_swap, request->key(), request->value());
        call.expected_version = request->expected_version();
        return execute(context, call, {}, [&](const store_response& answer) {
            response->set_written(answer.status == store_status::ok);
            response->set_version(answer.version);
            response->set_value(answer.value);
        });
    }

    grpc::Status Watch(grpc::ServerContext* context, const platform::WatchRequest* request,
                       platform::WatchResponse* response) override {
        auto call = make_request(store_operation::watch, request->key());
        call.expected_version = request->version();
        const auto wait = std::chrono::milliseconds(request->wait_milliseconds());
        return execute(context, call, wait, [&](const store_response& answer) {
            response->set_changed(answer.status == store_status::ok);
            response->set_version(answer.version);
            response->set_value(answer.value);
        });
    }

    grpc::Status GrantLease(grpc::ServerContext* context, const platform::GrantLeaseRequest* request,
                            platform::GrantLeaseResponse* response) override {
        auto call = make_request(store_operation::grant_lease, request->name(), request->holder());
        call.lease_time = std::chrono::milliseconds(request->milliseconds());
        return execute(context, call, {}, [&](const store_response& answer) {
            response->set_granted(answer.status == store_status::ok);
            response->set_version(answer.version);
            response->set_holder(answer.value);
        });
    }

    grpc::Status RevokeLease(grpc::ServerContext* context, const platform::RevokeLeaseRequest* request,
                             platform::RevokeLeaseResponse* response) override {
        const auto call = make_request(store_operation::revoke_lease, request->name(), request->holder());
        return execute(context, call, {}, [&](const store_response& answer) {
            response->set_found(answer.status != store_status::not_found);
            response->set_revoked(answer.status == store_status::ok);
            response->set_holder(answer.value);
            response->set_version(answer.version);
        });
    }

    grpc::Status List(grpc::ServerContext* context, const platform::ListRequest* request,
                      platform::ListResponse* response) override {
        return execute(
            context, make_request(store_operation::list, request->prefix()), {}, [&](const store_response& answer) {
                std::size_t start = 0;
                for (std::size_t end = 0; (end = answer.value.find('\n', start)) != std::string::npos; start = end + 1)
                    response->add_keys(answer.value.substr(start, end - start));
            });
    }

private:
    static store_request make_request(store_operation operation, const std::string& key,
                                      const std::string& value = {}) {
        store_request request;
        request.operation = operation;
        request.key = key;
        request.value = value;
        return request;
    }

    static grpc::Status reject(grpc::ServerContext* context, grpc::StatusCode code, const char* message) {
        context->AddTrailingMetadata("not-applied", "1");
        return {code, message};
    }

    template <class FillResponse>
    grpc::Status execute(grpc::ServerContext* context, const store_request& request, duration wait,
                         FillResponse fill_response) {
        if (request.key.empty() || request.key.size() > max_key_size)
            return reject(context, grpc::StatusCode::INVALID_ARGUMENT, "a key has 1 to 512 bytes");
        if (request.value.size() > max_value_size)
            return reject(context, grpc::StatusCode::INVALID_ARGUMENT, "a value has at most 1,000,000 bytes");
        const auto answer = store_.call(request, wait, *context);
        if (!answer) return {grpc::StatusCode::UNAVAILABLE, "the answer was lost"};
        if (answer->status == store_status::rate_limited)
            return reject(context, grpc::StatusCode::RESOURCE_EXHAUSTED, "rate limit");
        if (answer->status == store_status::unavailable)
            return reject(context, grpc::StatusCode::UNAVAILABLE, "outage");
        fill_response(*answer);
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
        store_.with_lock([&](platform_store& store) { store.faults = faults; });
        return fill_counts(*response);
    }

    grpc::Status ReadCounts(grpc::ServerContext*, const platform::ReadCountsRequest*,
                            platform::Counts* response) override {
        return fill_counts(*response);
    }

    grpc::Status Backup(grpc::ServerContext*, const platform::BackupRequest*, platform::BackupResponse*) override {
        backup_ = store_.with_lock([](platform_store& store) { return store.backup(); });
        return grpc::Status::OK;
    }

    grpc::Status Restore(grpc::ServerContext*, const platform::RestoreRequest*, platform::RestoreResponse*) override {
        store_.with_lock([&](platform_store& store) { store.restore(backup_); });
        return grpc::Status::OK;
    }

private:
    grpc::Status fill_counts(platform::Counts& message) {
        const store_counts counts = store_.with_lock([](platform_store& store) { return store.counts(); });
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
    platform_store::contents backup_; // taken by the latest call of Backup
};

// Serves both services on one port.
class platform_server {
public:
    // Port 0 selects a free port. port() returns 0 if the address cannot be used.
    explicit platform_server(const endpoint& listen) {
        grpc::ServerBuilder builder;
        builder.AddListeningPort(listen.to_string(), grpc::InsecureServerCredentials(), &port_);
        builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, ping_interval_milliseconds);
        builder.RegisterService(&key_value_service_);
        builder.RegisterService(&control_service_);
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
    static constexpr int ping_interval_milliseconds = 10'000; // shortest interval of keepalive pings that is accepted

    shared_store                  store_;
    key_value_service             key_value_service_{store_};
    control_service               control_service_{store_};
    int                           port_ = 0;
    std::unique_ptr<grpc::Server> server_;
};

} // namespace tamarack::standin
