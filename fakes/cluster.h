// In-memory fakes for what surrounds the decision logic: clock, fabric, peers, platform, backend servers and callers.
//
// Joins several balancers by an event queue under one manual clock, so that a run is reproducible from its seed. Used
// by randomised tests and by the benchmark of the deployments. It models delays, loss, duplication, reordering, pauses,
// crashes and cuts; it does not model bandwidth or processor time.
#pragma once

#include "tamarack/clock.h"
#include "tamarack/node.h"

#include <deque>
#include <functional>
#include <random>
#include <set>
#include <unordered_map>

namespace fakes {

using tamarack::backend_server_id;
using tamarack::byte_view;
using tamarack::duration;
using tamarack::endpoint;
using tamarack::steady_time;

//----------------------------------------------------------------------------------------------------------------------
// Settings
//----------------------------------------------------------------------------------------------------------------------

struct cluster_settings {
    std::uint64_t                 seed = 1;
    duration                      local_delay = std::chrono::microseconds(100);   // between hosts of one failure domain
    duration                      domain_delay = std::chrono::microseconds(1500); // between failure domains
    duration                      caller_delay = std::chrono::milliseconds(3);    // between callers and the fabric
    duration                      store_delay = std::chrono::milliseconds(4);
    duration                      jitter = std::chrono::microseconds(100); // added, uniform
    duration                      tick = std::chrono::milliseconds(20);
    double                        loss = 0; // of packets and messages between hosts
    double                        duplication = 0;
    tamarack::flow_table_settings table;
};

// How a backend server reports its load.
enum class reporting { truthful, zero, constant, missing };

struct caller_settings {
    std::string   service;
    endpoint      address;
    std::uint64_t flows = 0;                                  // to open in all
    double        open_rate = 100;                            // a second
    duration      request_interval = std::chrono::seconds(1); // mean, exponential
    double        short_share = 0;                            // share of flows that end after short_requests
    std::uint64_t short_requests = 3;
};

//----------------------------------------------------------------------------------------------------------------------
// Results
//----------------------------------------------------------------------------------------------------------------------

struct flow_totals {
    std::uint64_t opened = 0;
    std::uint64_t established = 0;
    std::uint64_t finished = 0;
    std::uint64_t refused = 0;
    std::uint64_t refused_delivered = 0; // refused although a backend server had received the SYN
    std::uint64_t reset = 0;             // broken: RST on an established flow
    std::uint64_t silent = 0;            // broken: no answer after all repeats
    std::uint64_t timed_out = 0;         // never established: no answer to the SYN
    std::uint64_t moved = 0;             // answered by a second backend server
    std::uint64_t doubled = 0;           // SYN or request received by two backend servers
    std::uint64_t wrong_service = 0;
    std::uint64_t answered = 0;

    std::uint64_t broken() const { return reset + silent; }
};

struct backend_load {
    std::string       service;
    std::string       name;
    backend_server_id id = 0;
    std::uint64_t     accepted = 0;  // flows in all
    std::uint64_t     open = 0;      // flows now
    std::uint64_t     busy = 0;      // slots now
    double            mean_busy = 0; // over the samples since reset_load_samples
};

//----------------------------------------------------------------------------------------------------------------------
// Cluster
//----------------------------------------------------------------------------------------------------------------------

// One balancer as the cluster drives it: a node, or a baseline of the benchmark.
class balancer {
public:
    balancer() = default;
    balancer(const balancer&) = delete;
    balancer& operator=(const balancer&) = delete;
    virtual ~balancer() = default;

    virtual void            from_fabric(byte_view packet, const endpoint& fabric, tamarack::action_buffer& out) = 0;
    virtual void            from_peer(byte_view frame, tamarack::action_buffer& out) = 0;
    virtual void            tick(tamarack::action_buffer& out) = 0;
    virtual void            from_control(byte_view datagram, const endpoint& from); // to control(), if there is one
    virtual tamarack::node* control() { return nullptr; }                           // null for a baseline
    virtual bool            finished() const { return false; }                      // a graceful stop has ended
};

class cluster {
public:
    using balancer_factory = std::function<std::unique_ptr<balancer>(const tamarack::node_settings&,
                                                                     const tamarack::clock& time, std::uint64_t seed)>;

    explicit cluster(const cluster_settings& settings);
    ~cluster();
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    // Hosts. A host keeps its index and addresses over restarts.
    std::size_t     add_host(const std::string& failure_domain);
    void            set_factory(balancer_factory factory); // before start; the default makes nodes
    void            start(std::size_t host);
    void            crash(std::size_t host);
    void            stop(std::size_t host);                 // graceful; the host is down when it has finished
    void            pause(std::size_t host, duration time); // messages wait, the clock goes on
    bool            running(std::size_t host) const;
    std::size_t     hosts() const;
    tamarack::node* node_of(std::size_t host); // null when it is down

    // Cuts the failure domains off from all others and from the platform; callers still reach them.
    void cut(const std::set<std::string>& failure_domains);
    void heal();

    // Backend servers. They exist apart from the configuration, as in reality.
    void     add_backend(const std::string& service, const std::string& name, const std::string& failure_domain,
                         std::uint32_t slots, duration service_time);
    endpoint tunnel_of(const std::string& service, const std::string& name) const;
    endpoint health_of(const std::string& service, const std::string& name) const;
    void     set_reporting(const std::string& service, const std::string& name, reporting mode);
    void     set_backend_up(const std::string& service, const std::string& name, bool up);
    tamarack::join_backend join_command(const std::string& service, const std::string& name,
                                        std::uint32_t weight = 100) const;

    // Operators.
    void submit(std::size_t host, tamarack::change what, const std::string& operator_name = "operator",
                tamarack::revision_number base_revision = 0, const std::string& operation_id = {});
    const std::vector<tamarack::change_result>& results() const;
    // Submits and runs until the result is there; repeats with the same operation id while the outcome is unknown.
    tamarack::change_result                     change_now(std::size_t host, const tamarack::change& what);

    // Platform.
    void          set_store_outage(bool down);
    void          set_store_lost_answers(double share); // of writes that take effect
    void          set_store_stale_reads(double share);
    std::uint64_t store_calls() const;
    std::uint64_t store_writes() const;                                  // compare-and-swaps among them
    void          put(const std::string& key, const std::string& value); // for a configuration that exists at the start

    // Callers.
    void add_callers(const caller_settings& settings);
    void stop_opening(); // no further flows
    void finish_flows(); // closes all open flows

    void        run(duration time);
    steady_time now() const;

    // Checks across all parts; call it at the end of a run.
    flow_totals               totals(const std::string& service = {}) const; // empty: all services
    std::vector<backend_load> loads() const;
    void                      reset_load_samples();
    std::uint64_t             packets_from_callers() const;
    std::uint64_t             packets_relayed() const;
    std::uint64_t             control_bytes(std::size_t host) const; // since the host's last start
    std::uint64_t             largest_control_window() const;        // bytes of any host in any 10 s window
    // Flows that a backend server accepted more than the given time after the change that drained it was accepted.
    std::uint64_t             accepted_after_drain(duration bound) const;
    // Time from the acceptance of the newest revision until every running host had it; nothing while some lack it.
    std::optional<duration>   convergence() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fakes
