// The load of a simulated backend server: requests take time in its slots, it may be slow or hang, and while it warms
// up its new flows are counted.
#pragma once

#include "tamarack/tamarack.h"

#include <algorithm>
#include <array>
#include <deque>
#include <string>
#include <vector>

namespace soak {

using tamarack::duration;
using tamarack::steady_time;

// Answers requests after their work, in the order in which the slots become free.
template <class Request>
class work_queue {
public:
    static constexpr std::size_t slot_count = 2;
    static constexpr std::size_t capacity = slot_count + 8; // requests; a new flow is refused beyond that

    bool is_full() const { return pending_.size() >= capacity; }
    void clear() { pending_.clear(); }
    // A retransmission of a request that is still pending is ignored.
    void push(const std::string& id, const Request& request, duration work, steady_time now) {
        if (std::ranges::any_of(pending_, [&](const item& each) { return each.id == id; })) return;
        steady_time& slot = *std::ranges::min_element(slots_free_at_);
        slot = std::max(slot, now) + work;
        pending_.push_back({id, request, slot});
    }
    // Calls answer(id, request) for each request that is done, and forgets it.
    template <class Answer>
    void take_done(steady_time now, const Answer& answer) {
        std::vector<item> done;
        std::erase_if(pending_, [&](const item& each) {
            if (now < each.done_at) return false;
            done.push_back(each);
            return true;
        });
        for (const item& each : done)
            answer(each.id, each.request);
    }

private:
    struct item {
        std::string id;
        Request     request;
        steady_time done_at{};
    };
    std::vector<item>                   pending_;
    std::array<steady_time, slot_count> slots_free_at_{};
};

// Warm-ups of a backend server: after its start, and after the end of an evacuation of its failure domain.
class warmup_state {
public:
    void begin_start(steady_time ends_at) { start_ends_at_ = ends_at; }
    // is_checked: the evacuation lasted long enough for each balancer in contact with the store to learn of it.
    void begin_return(steady_time ends_at, bool is_checked) {
        return_ends_at_ = ends_at;
        is_return_checked_ = is_checked;
    }
    bool     is_active(steady_time now) const { return now < start_ends_at_ || now < return_ends_at_; }
    bool     is_checked_after_start(steady_time now) const { return now < start_ends_at_; }
    bool     is_checked_after_return(steady_time now) const { return is_return_checked_ && now < return_ends_at_; }
    duration remaining_after_start(steady_time now) const { return std::max(duration{}, start_ends_at_ - now); }

    // Returns the number of flows in the second that ends now.
    std::size_t note_new_flow(steady_time now) {
        new_flows_.push_back(now);
        while (new_flows_.front() + std::chrono::seconds(1) <= now)
            new_flows_.pop_front();
        return new_flows_.size();
    }

private:
    steady_time             start_ends_at_{};
    steady_time             return_ends_at_{};
    bool                    is_return_checked_ = false;
    std::deque<steady_time> new_flows_; // of the last second, oldest first
};

} // namespace soak
