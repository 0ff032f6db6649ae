// Which backend servers answer, and how loaded they are, as the balancers find out together; without I/O.
//
// Each backend server is probed by 3 observers, chosen by rendezvous hash over the live members. Observers spread what
// they hold as down; a backend server is out when 2 of its observers say so. The first observer spreads its load.
//
// Load only ever repels: the penalty is 1 (neutral) to 4, relative to the median of the service, so that a backend
// server without a believable report is neither preferred to the others nor worse off than most of them.
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
    unsigned    failures_to_down = 3;                      // in a row
    unsigned    successes_to_up = 2;                       // in a row
    std::size_t observers_to_out = 2;                      // that agree, or all if there are fewer
    duration    report_lifetime = std::chrono::seconds(5); // missing, late or constant reports are neutral after this
    duration    shedding_hold = std::chrono::seconds(3);   // after the last report of shedding
    double      rise = 0.5;                                // share of a higher report that is taken over at once
    double      fall = 0.25;                               // share of a lower report

    duration    spread_interval = std::chrono::milliseconds(500);
    std::size_t spread_members = 3;                          // per spread_interval
    double      load_rate = 1'024;                           // bytes a second for the spread of loads
    duration    load_refresh = std::chrono::seconds(2);      // of loads that are not neutral
    duration    opinion_refresh = std::chrono::seconds(20);  // of backend servers that are down
    duration    opinion_lifetime = std::chrono::seconds(65); // three refreshes may be lost
    duration    handover_grace = std::chrono::seconds(10);   // new observers know nothing about a verdict until then
    duration    pause_gap = std::chrono::seconds(1);         // probes that a pause outlasted say nothing
};

struct health_counters {
    std::uint64_t probes_sent = 0;
    std::uint64_t probes_failed = 0;
    std::uint64_t taken_out = 0;      // backend servers, in this balancer's view
    std::uint64_t panics = 0;         // services that entered panic mode, in this balancer's view
    std::uint64_t opinions_cut = 0;   // too many backend servers down for one message
    std::uint64_t loads_not_sent = 0; // for lack of budget
    std::uint64_t messages_sent = 0;
    std::uint64_t malformed = 0;
};

// The members that observe a backend server, best first; fewer than observers_per_server if there are fewer. Members
// that are leaving or dead observe nothing.
std::vector<member_id> observers_of(backend_server_id id, std::span<const member> members);

class health {
public:
    // The channel and the clock must outlive the object.
    health(const health_settings& settings, control_channel& channel, const clock& time, std::uint64_t random_seed);
    health(const health&) = delete;
    health& operator=(const health&) = delete;
    ~health();

    // Inputs. Backend servers keep what is known about them.
    void set_configuration(const configuration& services);
    void set_members(std::span<const member> members); // this balancer included
    // This balancer's own counts show that the backend server is full, or no longer so.
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
