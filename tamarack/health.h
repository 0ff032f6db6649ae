// Distributed health checks and load reports of the backend servers. Performs no I/O.
//
// Each backend server is probed by 3 observers, chosen by rendezvous hash over the live members. Observers gossip which
// backend servers they find down (their opinion); a backend server is out when 2 of its observers report it as down.
// The first observer also gossips its load.
// In panic mode, while more than half of the active backend servers of a service are down, none of them is taken out: a
// fault of the probing is then more likely than a fault of all of them.
//
// Load can only make a backend server less preferred: the penalty is 1 (neutral) to 4, relative to the median of the
// service. A backend server without a credible report is therefore neither preferred to the others nor penalised more
// than most of them.
//
// See docs/design.md sections 2.3 and 2.5.
#pragma once

#include "tamarack/control_channel.h"

namespace tamarack {

struct probe_request {
    std::uint64_t     id = 0;
    backend_server_id backend_server = 0;
    endpoint          target;
    duration          deadline{};
};

struct probe_result {
    std::uint64_t              id = 0;
    backend_server_id          backend_server = 0;
    bool                       reachable = false;
    std::optional<load_report> load;
};

inline constexpr std::size_t observers_per_server = 3;

struct health_settings {
    duration    probe_interval = std::chrono::seconds(1); // varied by 10%
    duration    probe_deadline = std::chrono::milliseconds(500);
    unsigned    failures_until_down = 3;                   // in a row
    unsigned    successes_until_up = 2;                    // in a row
    std::size_t observers_required = 2;                    // that report it as down; all of them if there are fewer
    duration    report_lifetime = std::chrono::seconds(5); // missing, late or constant reports are neutral after this
    duration    shedding_hold = std::chrono::seconds(3);   // a report of load shedding counts for this time
    double      rise_factor = 0.5;                         // smoothing: weight of a report above the smoothed value
    double      fall_factor = 0.25;                        // smoothing: weight of a report below the smoothed value

    duration    gossip_interval = std::chrono::milliseconds(500);
    std::size_t gossip_peers = 3;                            // random peers that get a message per gossip_interval
    double      load_bytes_per_second = 1'024;               // budget for the gossip of loads
    duration    load_refresh = std::chrono::seconds(2);      // repetition interval of loads that are not neutral
    duration    opinion_refresh = std::chrono::seconds(20);  // repetition interval while servers are down
    duration    opinion_lifetime = std::chrono::seconds(65); // three refreshes may be lost
    duration    handover_grace = std::chrono::seconds(10);   // time for a new observer to send its first opinion
    duration    pause_threshold = std::chrono::seconds(1);   // a longer gap between ticks voids the pending probes
};

struct health_counters {
    std::uint64_t probes_sent = 0;
    std::uint64_t probes_failed = 0;
    std::uint64_t taken_out = 0;      // backend servers, in this balancer's view
    std::uint64_t panics = 0;         // services that entered panic mode, in this balancer's view
    std::uint64_t opinions_cut = 0;   // opinions truncated because too many backend servers were down
    std::uint64_t loads_not_sent = 0; // no budget, or no room in the message
    std::uint64_t messages_sent = 0;
    std::uint64_t malformed = 0;
};

// The members that observe a backend server, highest rank first; fewer than observers_per_server only if the cluster is
// smaller. Members that are leaving or dead are never observers.
std::vector<member_id> observers_of(backend_server_id id, std::span<const member> members);

class health_monitor {
public:
    // The channel and the clock must outlive the object.
    health_monitor(const health_settings& settings, control_channel& channel, const clock& time,
                   std::uint64_t random_seed);
    health_monitor(const health_monitor&) = delete;
    health_monitor& operator=(const health_monitor&) = delete;
    ~health_monitor();

    // Inputs. Backend servers that stay in the configuration keep their state.
    void set_configuration(const configuration& new_configuration);
    void set_members(std::span<const member> members); // this balancer included
    // Whether the backend server has reached its flow limit by this balancer's own counts.
    void set_full(backend_server_id id, bool full);

    // Events.
    bool receive(const envelope& message); // false: malformed, counted
    void probe_finished(const probe_result& result);
    void tick(); // every 10 to 100 ms

    // Output.
    std::vector<probe_request> take_probes();
    std::vector<datagram>      take_datagrams();

    // Queries.
    // Backend servers that are out or have a penalty, in order of id.
    const std::vector<backend_status>& statuses() const;
    std::uint64_t                      version() const; // changes whenever statuses() changes
    const health_counters&             counters() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace tamarack
