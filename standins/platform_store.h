// Stand-in for the platform's key-value service, without I/O: keys with versions, leases, faults on demand, and call
// counts.
//
// Tests use it directly; standins/platform_service.h serves it over gRPC. The caller serializes access.
#pragma once

#include "tamarack/platform.h"

#include <algorithm>
#include <deque>

namespace tamarack::standin {

// Faults that can be switched on at any time.
struct store_faults {
    bool          outage = false;        // all calls are refused and have no effect
    duration      delay{};               // of each call; the user of this class has to wait for it
    std::uint32_t lose_answers = 0;      // number of writes that take effect, but whose answer is lost
    std::uint32_t lose_requests = 0;     // number of writes that have no effect and get no answer
    std::uint32_t stale_writes = 0;      // reads return the state before this number of latest writes of the key
    double        writes_per_second = 0; // 0: unlimited; bursts of up to one second's worth are accepted
    double        reads_per_second = 0;
};

struct store_counts {
    std::uint64_t gets = 0;
    std::uint64_t compare_and_swaps = 0;
    std::uint64_t watches = 0; // rechecks are not counted
    std::uint64_t lease_calls = 0;
    std::uint64_t lists = 0;
    std::uint64_t refused = 0; // because of an outage
    std::uint64_t rate_limited = 0;
    std::uint64_t answers_lost = 0; // by lose_answers and lose_requests
    std::uint64_t total() const { return gets + compare_and_swaps + watches + lease_calls + lists; }
};

class platform_store {
public:
    struct entry {
        std::string                                       value;
        std::uint64_t                                     version = 0;
        std::optional<steady_time>                        expires_at;     // set for leases only
        std::deque<std::pair<std::string, std::uint64_t>> earlier_values; // with their versions, newest first
    };
    using contents = std::map<std::string, entry>;

    struct answer {
        store_response response;
        bool           is_lost = false;    // the caller must not get the response
        bool           is_waiting = false; // a watch without a change so far; call recheck later
    };

    explicit platform_store(const clock& time) : time_(time) {}

    store_faults        faults;
    const store_counts& counts() const { return counts_; }
    contents            backup() const { return keys_; }
    void                restore(contents backup_contents) { keys_ = std::move(backup_contents); }

    answer handle(const store_request& request) {
        count_call(request.operation);
        if (faults.outage) return refuse(request, store_status::unavailable, counts_.refused);
        const bool is_write_call = is_write(request.operation);
        auto&      budget = is_write_call ? write_budget_ : read_budget_;
        if (!budget.try_take(is_write_call ? faults.writes_per_second : faults.reads_per_second, time_.steady_now()))
            return refuse(request, store_status::rate_limited, counts_.rate_limited);
        if (is_write_call && faults.lose_requests > 0) {
            --faults.lose_requests;
            ++counts_.answers_lost;
            return {{request.id, store_status::unknown_outcome, {}, 0}, true, false};
        }
        answer result = execute(request);
        if (is_write_call && faults.lose_answers > 0) {
            --faults.lose_answers;
            ++counts_.answers_lost;
            result.is_lost = true;
        }
        return result;
    }

    // Checks a waiting watch again. Does not count as a call.
    answer recheck(const store_request& request) {
        if (faults.outage) return refuse(request, store_status::unavailable, counts_.refused);
        return execute(request);
    }

    // The answer to a watch whose deadline has passed without a change.
    store_response unchanged_response(const store_request& request) {
        return {request.id, store_status::unchanged, {}, version_of(request.key)};
    }

private:
    struct token_bucket {
        double      tokens = -1; // negative: not used yet
        steady_time refilled_at{};

        bool try_take(double per_second, steady_time now) {
            if (per_second <= 0) return true;
            const double elapsed_seconds = std::chrono::duration<double>(now - refilled_at).count();
            tokens = tokens < 0 ? per_second : std::min(per_second, tokens + elapsed_seconds * per_second);
            refilled_at = now;
            if (tokens < 1) return false;
            tokens -= 1;
            return true;
        }
    };

    static constexpr std::size_t max_earlier_values = 16;
    static constexpr std::size_t max_value_size = 1'000'000; // bytes

    static bool is_write(store_operation operation) {
        return operation == store_operation::compare_and_swap || operation == store_operation::grant_lease ||
               operation == store_operation::revoke_lease;
    }

    void count_call(store_operation operation) {
        switch (operation) {
        case store_operation::get:
            ++counts_.gets;
            break;
        case store_operation::compare_and_swap:
            ++counts_.compare_and_swaps;
            break;
        case store_operation::watch:
            ++counts_.watches;
            break;
        case store_operation::grant_lease:
        case store_operation::revoke_lease:
            ++counts_.lease_calls;
            break;
        case store_operation::list:
            ++counts_.lists;
            break;
        }
    }

    static answer refuse(const store_request& request, store_status status, std::uint64_t& counter) {
        ++counter;
        return {{request.id, status, {}, 0}, false, false};
    }

    answer execute(const store_request& request) {
        drop_expired_leases();
        switch (request.operation) {
        case store_operation::get:
            return {read(request), false, false};
        case store_operation::compare_and_swap:
            return {compare_and_swap(request), false, false};
        case store_operation::watch:
            return watch(request);
        case store_operation::grant_lease:
            return {grant(request), false, false};
        case store_operation::revoke_lease:
            return {revoke(request), false, false};
        case store_operation::list:
            return {list(request), false, false};
        }
        return {};
    }

    std::uint64_t version_of(const std::string& key) const {
        const auto found = keys_.find(key);
        return found == keys_.end() ? 0 : found->second.version;
    }

    // Returns the current state, or an earlier one while faults.stale_writes is set.
    store_response read(const store_request& request) const {
        const auto found = keys_.find(request.key);
        if (found == keys_.end()) return {request.id, store_status::not_found, {}, 0};
        const auto& item = found->second;
        if (faults.stale_writes == 0) return {request.id, store_status::ok, item.value, item.version};
        if (faults.stale_writes > item.earlier_values.size()) return {request.id, store_status::not_found, {}, 0};
        const auto& [value, version] = item.earlier_values[faults.stale_writes - 1];
        return {request.id, store_status::ok, value, version};
    }

    void write(entry& item, const std::string& value) {
        if (item.version > 0) item.earlier_values.emplace_front(std::move(item.value), item.version);
        if (item.earlier_values.size() > max_earlier_values) item.earlier_values.pop_back();
        item.value = value;
        ++item.version;
    }

    store_response compare_and_swap(const store_request& request) {
        const auto found = keys_.find(request.key);
        if (version_of(request.key) != request.expected_version) {
            const std::string current_value = found == keys_.end() ? std::string() : found->second.value;
            return {request.id, store_status::conflict, current_value, version_of(request.key)};
        }
        if (request.value.size() > max_value_size) return {request.id, store_status::unavailable, {}, 0};
        write(keys_[request.key], request.value);
        return {request.id, store_status::ok, {}, version_of(request.key)};
    }

    answer watch(const store_request& request) const {
        const auto found = keys_.find(request.key);
        if (version_of(request.key) <= request.expected_version) return {{}, false, true};
        return {{request.id, store_status::ok, found->second.value, found->second.version}, false, false};
    }

    store_response grant(const store_request& request) {
        const auto found = keys_.find(request.key);
        if (found != keys_.end() && found->second.value != request.value)
            return {request.id, store_status::conflict, found->second.value, found->second.version};
        auto& item = keys_[request.key];
        write(item, request.value);
        item.expires_at = time_.steady_now() + request.lease_time;
        return {request.id, store_status::ok, {}, item.version};
    }

    store_response revoke(const store_request& request) {
        const auto found = keys_.find(request.key);
        if (found == keys_.end()) return {request.id, store_status::not_found, {}, 0};
        if (found->second.value != request.value || !found->second.expires_at)
            return {request.id, store_status::conflict, found->second.value, found->second.version};
        keys_.erase(found);
        return {request.id, store_status::ok, {}, 0};
    }

    store_response list(const store_request& request) const {
        std::string lines;
        for (auto item = keys_.lower_bound(request.key); item != keys_.end(); ++item) {
            if (!item->first.starts_with(request.key)) break;
            lines += item->first + "\n";
        }
        return {request.id, store_status::ok, lines, 0};
    }

    void drop_expired_leases() {
        const auto now = time_.steady_now();
        std::erase_if(keys_,
                      [&](const auto& item) { return item.second.expires_at && *item.second.expires_at <= now; });
    }

    const clock& time_;
    contents     keys_;
    store_counts counts_;
    token_bucket write_budget_;
    token_bucket read_budget_;
};

} // namespace tamarack::standin
