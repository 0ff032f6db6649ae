// Finds backend servers whose requests take much longer than those of the other backend servers of their service.
//
// Each answer is compared with the typical response time of its service and kind of request: the median over the
// backend servers, so that some slow ones do not raise it. A cumulative sum of the deviations is the score of the
// backend server. Two slow answers in a row nearly suffice to make it an outlier, and a few usual ones to make it well.
// The score counts relative to the median score, so that a slowness that most backend servers share makes no outlier.
//
// Load pattern: one answer every other second from each of 30 backend servers, whose work varies by a factor of 3
// either way, and seven times the work in 3% of the requests. An outlier is found within two seconds only with the
// reports of the other balancers; a single one of them proves little.
#pragma once

#include "entry/condition_report.h"
#include "entry/flow_tracker.h"
#include "entry/replica.h"
#include "tamarack/resilience.h"

#include <deque>
#include <functional>
#include <unordered_set>

namespace tamarack::entry {

class response_outliers {
public:
    using avoidance_query = std::function<bool(backend_reference, steady_time)>;
    using report_condition = std::function<bool(backend_reference)>;

    // Is_avoided tells which backend servers get no new flows for another reason: they count towards the limit.
    response_outliers(const replica& store_replica, flow_tracker& flows, avoidance_query is_avoided,
                      std::uint64_t random_seed);
    // A copy with other counts, for trying a decision.
    response_outliers(const response_outliers& other, flow_tracker& flows, avoidance_query is_avoided);
    response_outliers(const response_outliers&) = delete; // states_ refers to groups_
    response_outliers& operator=(const response_outliers&) = delete;

    // A request begins on the flow.
    void note_request(const known_backend& backend, request_kind kind, flow_key flow, steady_time now);
    // The flow's request was answered.
    void note_answer(const known_backend& backend, request_kind kind, const tracked_flow& flow, duration answer_time,
                     steady_time now);
    // A new flow goes to the backend server.
    void note_placed(backend_reference reference, steady_time now);
    // The requests that wait have waited for this host, too.
    void forget_waiting_requests();

    // Counts requests that have waited for long, and updates the medians and the outliers.
    void update(steady_time now);

    // Observations of this balancer that were not handed out yet.
    // May_report tells whether this balancer itself works.
    void append_reports(std::vector<condition_report>& reports, const report_condition& may_report, steady_time now);
    void accept_slow(const known_backend& backend, const condition_report& report, steady_time now);
    void accept_well(backend_reference reference, steady_time now);

    // Something speaks for an outlier.
    bool        is_suspected(backend_reference reference, steady_time now) const;
    bool        is_outlier(backend_reference reference) const;
    std::size_t outlier_count() const;
    // At least 1. An outlier that is due for a trial costs as much as others.
    double      cost_factor(backend_reference reference, steady_time now) const;

    void expire(steady_time now);

private:
    static constexpr std::size_t kind_count = 4;

    struct waiting_request {
        flow_key          flow = 0;
        backend_reference reference = 0;
        steady_time       begun{};
    };

    struct backend_state;

    // Requests of one kind to one service.
    struct population {
        double                      typical = 0; // logarithm of the median response time in seconds
        double                      usual = 0;   // long-term average of it, which follows a decrease at once
        bool                        is_known = false;
        std::deque<waiting_request> waiting; // in the order of their beginnings
        std::deque<waiting_request> overdue; // of these, those that were counted once
    };

    struct service_group {
        std::array<population, kind_count> populations;
        double                             median_score = 0;
        double                             slow_share = 0; // of the latest samples
        std::vector<backend_state*>        members;        // during an update only
    };

    // Smoothed response time of one kind of requests.
    struct response_level {
        double      log_seconds = 0;
        unsigned    samples = 0;
        steady_time last_sample{};
    };

    struct backend_state {
        service_group*                         group = nullptr;
        std::array<response_level, kind_count> levels{};
        std::size_t                            last_kind = 0; // of the last sample
        double                                 score = 0;     // 0 .. max_score
        steady_time                            last_sample{};
        steady_time                            last_slow_sample{};
        bool                                   is_outlier = false;
        bool                                   is_within_limit = false; // of outliers for its service
        double                                 cost_factor = 1.0;       // of an outlier
        steady_time                            next_trial{};            // of an outlier
        std::array<steady_time, 2>             reports_until{};         // validity of reports by others
        steady_time                            last_reported{};         // observation of the last of them
        steady_time                            next_report{};           // of this balancer
        bool                                   was_reported = false;    // by this balancer, and not yet as well
        bool                                   must_report_well = false;
    };

    backend_state& state_of(const known_backend& backend);
    void           add_sample(backend_state& state, std::size_t kind, duration response_time, double largest_excess,
                              steady_time now);
    void           collect_members();
    void           count_overdue(service_group& group, steady_time now);
    void count_overdue(std::deque<waiting_request>& requests, service_group& group, std::size_t kind, duration limit,
                       bool is_first_count, steady_time now);
    void update_typical(service_group& group, steady_time now);
    static void     update_usual(population& requests);
    void            update_median_score(service_group& group, steady_time now);
    void            update_outlier(backend_state& state, steady_time now);
    void            apply_limit(std::string_view service, const service_group& group, steady_time now);
    // Most backend servers answer slowly: their scores tell nothing yet.
    static bool     is_common(const service_group& group);
    double          relative_score(const backend_state& state) const;
    static void     drop_report(backend_state& state, steady_time now);
    static duration trial_interval(const backend_state& state);
    void            schedule_trial(backend_state& state, duration mean, steady_time now);

    const replica&                                       store_replica_;
    flow_tracker&                                        flows_;
    avoidance_query                                      is_avoided_;
    random_source                                        random_;
    std::map<std::string, service_group, std::less<>>    groups_; // by service
    std::unordered_map<backend_reference, backend_state> states_;
    steady_time                                          update_due_{};
    std::vector<double>                                  values_;   // reused by the medians
    std::vector<backend_state*>                          outliers_; // reused by the limit
};

} // namespace tamarack::entry
