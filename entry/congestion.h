// Estimates how long requests wait at the backend servers of a service, per failure domain.
//
// Load pattern: answers bypass the balancers, so that a balancer knows the time from a request to the caller's first
// acknowledgement only. The work of a request varies by a factor of three either way, and a full backend server refuses
// further requests, at once or after they have waited in vain, with a short answer. The delay is therefore a quantile
// over many requests, less the usual value of the same quantile. It is a low quantile: some slow backend servers must
// not look like a lack of capacity.
#pragma once

#include "entry/flow_tracker.h"

#include <array>
#include <map>

namespace tamarack::entry {

enum class answer_kind : std::uint8_t {
    processed,
    refused, // the backend server has refused the request, since its queue is full
};

// Recent delay of one failure domain's backend servers.
struct queue_estimate {
    duration    delay{};
    std::size_t samples = 0; // on which it is based
};

class congestion {
public:
    // The progress has an answer time.
    answer_kind note_answer(const backend_registration& backend, const std::string& route,
                            const flow_progress& progress, steady_time now);
    void        note_handshake(const std::string& service, const std::string& failure_domain, duration handshake_time,
                               steady_time now);
    // The process was paused: the times of packets that waited meanwhile tell nothing.
    void        note_pause(steady_time now);

    // Nullopt: there are too few recent answers.
    std::optional<queue_estimate> estimate(const std::string& service, const std::string& failure_domain,
                                           steady_time now) const;
    // The same from fewer answers of a longer time, for failure domains that get few flows.
    std::optional<queue_estimate> coarse_estimate(const std::string& service, const std::string& failure_domain,
                                                  steady_time now) const;
    // The lowest delay of the failure domains; nullopt: none of them has enough answers for an estimate.
    std::optional<duration>       lowest_delay(const std::string& service, steady_time now) const;
    // Smoothed; zero: unknown.
    duration                      handshake_time(const std::string& service, const std::string& failure_domain) const;
    // Usual time to an answer without waiting; zero: unknown.
    duration                      usual_time(const std::string& service, const std::string& route) const;
    // When a backend server of the service last refused a request; the epoch: not lately.
    steady_time                   last_refusal(const std::string& service) const;
    // Takes the answer times from now on for usual ones.
    void                          relearn(const std::string& service);
    // Forgets what has had no answer for minutes.
    void                          expire(steady_time now);

private:
    static constexpr std::size_t recent_capacity = 64;
    static constexpr std::size_t period_capacity = 96;
    static constexpr std::size_t period_count = 16;

    struct sample {
        steady_time at{};
        duration    delay{};
        bool        was_refused = false;
    };
    struct backend_answers {
        steady_time last_refused{};
        steady_time last_answer{}; // refused or not
    };
    struct domain_state {
        std::array<sample, recent_capacity>                recent{}; // ring
        std::size_t                                        next = 0;
        std::size_t                                        count = 0;
        duration                                           handshake_time{}; // smoothed
        std::unordered_map<std::uint64_t, backend_answers> backends{};       // by identity
        steady_time                                        last_used{};
        steady_time                                        last_refused{}; // by a backend server
    };
    struct usual_value {
        duration    time{};
        steady_time at{};
    };
    struct answer {
        duration      time{};
        std::uint32_t bytes = 0; // covered by the first acknowledgement
    };
    // The usual time is a low value of several periods, so that it is not raised by an overload.
    struct route_state {
        std::vector<answer>                   period{};          // the latest of the current period
        double                                usual_size = 0;    // bytes; 0: unknown
        unsigned                              short_answers = 0; // in a row
        steady_time                           period_start{};
        std::array<usual_value, period_count> periods{}; // ring
        std::size_t                           next_period = 0;
        duration                              usual{};
        steady_time                           last_used{};
    };
    using name_pair = std::pair<std::string, std::string>;

    struct sample_window {
        duration    preferred{}; // long enough if it has enough answers
        duration    longest{};
        std::size_t min_samples = 0;
    };
    static constexpr sample_window usual_window = {std::chrono::milliseconds(400), std::chrono::seconds(2), 16};
    static constexpr sample_window coarse_window = {std::chrono::milliseconds(800), std::chrono::seconds(4), 8};

    std::optional<queue_estimate> estimate_in(const std::string& service, const std::string& failure_domain,
                                              const sample_window& window, steady_time now) const;
    static bool                   is_refusing(const domain_state& state, steady_time now);
    // Returns whether the answer is much shorter than usual.
    static bool                   note_size(route_state& state, std::uint32_t answered_bytes);
    static void note_usual(route_state& state, duration answer_time, std::uint32_t answered_bytes, steady_time now);
    static void note_usual_size(route_state& state);

    std::map<name_pair, domain_state> domains_;          // by service and failure domain
    std::map<name_pair, route_state>  routes_;           // by service and route
    steady_time                       measured_since_{}; // answers to earlier requests are not counted
};

} // namespace tamarack::entry
