// Conditions of backend servers: unresponsive, slow or well, as observed by this balancer and reported by others.
//
// A balancer sees one flow of a backend server every other second. Its own observations are certain, but late; the
// reports of the other balancers of the failure domain are early, but may come from a balancer whose own link is at
// fault. Own observations therefore precede reports, and reports affect at most half of a service.
//
// Load pattern: a few backend servers of a service stop responding or become slow while the others respond as usual,
// and come back at a moment that all balancers see at once.
#pragma once

#include "entry/condition_report.h"
#include "entry/flow_tracker.h"
#include "entry/replica.h"
#include "entry/response_outliers.h"
#include "tamarack/resilience.h"

namespace tamarack::entry {

// How strongly the silence of a backend server is attested. Losses on this balancer's own link look like a silence of a
// single packet.
enum class silence_evidence : std::uint8_t {
    single_packet,
    repeated_packet, // retransmitted, or on different flows
};

// Losses in a short time after which the own link is taken to be at fault.
inline constexpr std::size_t suspicious_loss_count = 3;

class backend_conditions {
public:
    backend_conditions(const replica& store_replica, flow_tracker& flows, std::uint64_t random_seed);
    // A copy with other counts, for trying a decision.
    backend_conditions(const backend_conditions& other, flow_tracker& flows);
    backend_conditions(const backend_conditions&) = delete; // outliers_ refers to it
    backend_conditions& operator=(const backend_conditions&) = delete;

    //------------------------------------------------------------------------------------------------------------------
    // Observations
    //------------------------------------------------------------------------------------------------------------------

    // The backend server has not answered a SYN or a request in time. Silent_since: when the SYN was forwarded, or the
    // request.
    void note_unresponsive(backend_reference reference, silence_evidence evidence, steady_time silent_since,
                           steady_time now);
    // The backend server answers, but a packet went unanswered: it was lost, maybe on this balancer's own link.
    void note_loss(steady_time now);
    // What a packet of the flow has shown about its request.
    void note_progress(const known_backend& backend, request_kind kind, const segment& packet, const tracked_flow& flow,
                       const flow_progress& progress, steady_time now);
    // A new flow goes to the backend server.
    void note_placed(backend_reference reference, steady_time now) { outliers_.note_placed(reference, now); }
    // The process was paused: packets that arrived meanwhile are handled late.
    void note_pause(steady_time now);

    //------------------------------------------------------------------------------------------------------------------
    // Reports
    //------------------------------------------------------------------------------------------------------------------

    // Conditions that this balancer has observed itself and not yet handed out.
    std::vector<condition_report> take_reports(steady_time now);
    // A condition that another balancer has observed.
    void                          accept(const condition_report& report, steady_time now);

    //------------------------------------------------------------------------------------------------------------------
    // Effects
    //------------------------------------------------------------------------------------------------------------------

    // Gets no new flows if there are other candidates.
    bool        is_avoided(backend_reference reference, steady_time now) const;
    // End of the avoidance; in the past or the epoch: not avoided.
    steady_time avoided_until(backend_reference reference) const;
    bool        is_outlier(backend_reference reference) const { return outliers_.is_outlier(reference); }
    // By which the cost of a new flow is multiplied; at least 1.
    double      cost_factor(backend_reference reference, steady_time now) const;

    // Finds outliers. Part of expire and take_reports; does nothing unless an update is due.
    void        update(steady_time now) { outliers_.update(now); }
    // To be called at every tick.
    void        expire(steady_time now);
    std::size_t tracked_count() const { return states_.size(); }
    std::size_t avoided_count(steady_time now) const;
    // Backend servers whose response times are outliers.
    std::size_t outlier_count() const { return outliers_.outlier_count(); }

private:
    struct backend_state {
        // Own observation, valid until a response that is not older.
        bool             is_unresponsive = false;
        silence_evidence evidence = silence_evidence::single_packet;
        steady_time      silent_since{};
        steady_time      observed_at{};
        duration         validity{};
        bool             must_report = false; // the observation was not handed out yet
        bool             must_report_well = false;
        steady_time      last_answer{}; // latest answer to a request rather than a SYN
        // Report of another balancer, valid until a response that is not older.
        steady_time      reported_at{};    // of the observation; the epoch: none
        steady_time      reported_until{}; // end of the avoidance
        // All balancers see the end of the condition at once; this one waits until then with new flows.
        steady_time      recovering_until{};
    };

    backend_state*       find_state(backend_reference reference);
    const backend_state* find_state(backend_reference reference) const;
    steady_time          last_response(backend_reference reference) const;
    // Ends the conditions of backend servers that have responded.
    void                 end_conditions(steady_time now);
    void                 end_condition(backend_state& state, steady_time now);
    bool                 has_responded(backend_reference reference, const backend_state& state) const;
    // The silence of a backend server may be a fault of this balancer's link or process.
    bool                 is_own_fault_likely(steady_time now) const;
    // This balancer's link and process work, as later responses of other backend servers of the service show.
    bool                 may_report(backend_reference reference, steady_time since, steady_time now) const;
    void accept_unresponsive(const known_backend& backend, const condition_report& report, steady_time now);
    void accept_well(backend_reference reference, const condition_report& report, steady_time now);
    response_outliers::avoidance_query avoidance() const;
    bool                               would_exceed_limit(const known_backend& backend, steady_time now) const;
    duration                           random_part(duration limit);

    const replica&                                       store_replica_;
    flow_tracker&                                        flows_;
    random_source                                        random_;
    response_outliers                                    outliers_;
    std::unordered_map<backend_reference, backend_state> states_; // of registered backend servers only
    steady_time                                          last_pause_end_{};
    std::array<steady_time, suspicious_loss_count>       losses_{}; // the latest ones, in order
};

} // namespace tamarack::entry
