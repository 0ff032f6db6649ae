// In-memory simulation of the surroundings of the balancers: clock, fabric, peers, platform, backend servers and
// callers.
//
// Connects several balancers through an event queue with one manual clock, so that a seed always gives the same run.
// Used by the cluster tests and the benchmarks. It models delays, loss, duplication, reordering, pauses, crashes and
// network partitions; it does not model bandwidth or processor time.
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
    std::uint64_t seed = 1;
    duration      local_delay = std::chrono::microseconds(100);   // between hosts of one failure domain
    duration      domain_delay = std::chrono::microseconds(1500); // between failure domains
    duration      caller_delay = std::chrono::milliseconds(3);    // between callers and the fabric
    duration      store_delay = std::chrono::milliseconds(4);
    duration      max_jitter = std::chrono::microseconds(100); // added to each delay, uniformly distributed from 0
    duration      tick_interval = std::chrono::milliseconds(20);
    double        loss_probability = 0; // of packets and messages on their way to a host or backend server
    double        duplication_probability = 0;
    tamarack::flow_table_settings table;
};

// How a backend server reports its load.
enum class load_report_mode { accurate, zero, constant, missing };

struct caller_settings {
    std::string   service;
    endpoint      address;
    std::uint64_t flows = 0;                                  // total number to open
    double        open_rate = 100;                            // flows per second
    duration      request_interval = std::chrono::seconds(1); // mean of an exponential distribution
    double        short_flow_share = 0;                       // share of flows that end after short_flow_requests
    std::uint64_t short_flow_requests = 3;
};

//----------------------------------------------------------------------------------------------------------------------
// Results
//----------------------------------------------------------------------------------------------------------------------

struct flow_totals {
    std::uint64_t opened = 0;
    std::uint64_t established = 0;
    std::uint64_t finished = 0;
    std::uint64_t refused = 0;
    std::uint64_t refused_after_delivery = 0;    // refused although a backend server received the SYN
    std::uint64_t reset = 0;                     // broken: RST on an established flow
    std::uint64_t unanswered = 0;                // broken: no answer to a request after all retransmissions
    std::uint64_t timed_out = 0;                 // never established: no answer to the SYN after all retransmissions
    std::uint64_t backend_changes = 0;           // answers from another backend server than the one before
    std::uint64_t delivered_to_two_backends = 0; // two backend servers received its SYN or a request
    std::uint64_t wrong_service_packets = 0;     // packets received by a backend server of another service
    std::uint64_t answered_requests = 0;

    std::uint64_t broken() const { return reset + unanswered; }
};

struct backend_load {
    std::string       service;
    std::string       name;
    backend_server_id id = 0;
    std::uint64_t     accepted_flows = 0;        // since the start
    std::uint64_t     open_flows = 0;            // at present
    std::uint64_t     busy_slots = 0;            // at present
    double            mean_pending_requests = 0; // running and waiting, over the samples since reset_load_samples
};

//----------------------------------------------------------------------------------------------------------------------
// Cluster
//----------------------------------------------------------------------------------------------------------------------

// Interface through which the cluster drives a balancer: a node, or a baseline of the benchmark.
class balancer {
public:
    balancer() = default;
    balancer(const balancer&) = delete;
    balancer& operator=(const balancer&) = delete;
    virtual ~balancer() = default;

    virtual void handle_fabric_packet(byte_view packet, const endpoint& fabric, tamarack::action_buffer& out) = 0;
    virtual void handle_relay_frame(byte_view frame, tamarack::action_buffer& out) = 0;
    virtual void tick(tamarack::action_buffer& out) = 0;
    // The default passes the datagram to control_node(), if there is one.
    virtual void handle_control_datagram(byte_view datagram, const endpoint& from);
    virtual tamarack::node* control_node() { return nullptr; }    // null: no control thread
    virtual bool            has_stopped() const { return false; } // a graceful stop is complete
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
    void            set_balancer_factory(balancer_factory factory); // call it before start; the default creates nodes
    void            start(std::size_t host);
    void            crash(std::size_t host);
    void            stop(std::size_t host); // graceful; the host goes down when the stop is complete
    void            pause(std::size_t host, duration pause_time); // its messages wait while the clock advances
    bool            is_running(std::size_t host) const;
    std::size_t     host_count() const;
    tamarack::node* node_of(std::size_t host); // null while the host is down

    // Isolates each of the failure domains from all others and from the platform. Callers still reach them.
    void isolate_domains(const std::set<std::string>& failure_domains);
    void end_isolation();

    // Backend servers. They exist independently of the configuration, as in a real deployment.
    void     add_backend(const std::string& service, const std::string& name, const std::string& failure_domain,
                         std::uint32_t slots, duration service_time);
    endpoint tunnel_of(const std::string& service, const std::string& name) const;
    endpoint health_of(const std::string& service, const std::string& name) const;
    void     set_load_report_mode(const std::string& service, const std::string& name, load_report_mode mode);
    void     set_backend_up(const std::string& service, const std::string& name, bool is_up);
    tamarack::join_backend join_command(const std::string& service, const std::string& name,
                                        std::uint32_t weight = 100) const;

    // Operators.
    void submit(std::size_t host, tamarack::change command, const std::string& operator_name = "operator",
                tamarack::revision_number base_revision = 0, const std::string& operation_id = {});
    const std::vector<tamarack::change_result>& change_results() const;
    // Submits a change and runs the cluster until its result arrives. Submits it again with the same operation id when
    // no result arrives, the outcome is unknown or the store is unavailable.
    tamarack::change_result                     submit_and_wait(std::size_t host, const tamarack::change& command);

    // Platform.
    void          set_store_outage(bool is_down);
    void          set_store_lost_answer_share(double share); // of successful writes
    void          set_store_stale_read_share(double share);
    std::uint64_t store_call_count() const;
    std::uint64_t store_write_count() const; // compare-and-swap calls only
    // Writes a value directly to the store, such as a configuration that exists before the start.
    void          write_store_value(const std::string& key, const std::string& value);

    // Callers.
    void add_callers(const caller_settings& settings);
    void stop_opening_flows(); // open flows continue
    void close_flows();        // also opens no further flows

    void        run(duration time);
    steady_time now() const;

    // Results across all parts; call these functions at the end of a run.
    flow_totals               totals(const std::string& service = {}) const; // empty: all services
    std::vector<backend_load> backend_loads() const;
    void                      reset_load_samples();
    std::uint64_t             caller_packet_count() const;
    std::uint64_t             relayed_packet_count() const;
    std::uint64_t             control_bytes_sent(std::size_t host) const; // since the host's last start
    std::uint64_t             max_control_bytes_in_window() const;        // largest of any host in any 10 s
    // Flows that a draining backend server accepted later than the bound after the drain itself was accepted.
    std::uint64_t             flows_accepted_after_drain(duration bound) const;
    // Time from the acceptance of the newest revision until every running host had adopted it. Empty while a host lacks
    // it.
    std::optional<duration>   convergence_time() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fakes
