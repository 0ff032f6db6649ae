// One balancer without its I/O: connects membership, configuration, health and the forwarders.
//
// The daemon's control thread passes events to the node and performs the actions that it returns; the traffic threads
// use the forwarders. The same class runs in the daemon, in tests and in simulations.
//
//   control thread: receive_control, probe_finished, store_answered, submit, tick -> take_actions
//   traffic thread: with_forwarder
#pragma once

#include "tamarack/configuration.h"
#include "tamarack/forwarder.h"
#include "tamarack/health.h"
#include "tamarack/platform.h"

#include <functional>

namespace tamarack {

struct node_settings {
    member                self;                // an incarnation of 0 is set from the clock
    std::string           cluster = "default"; // prefix of the keys in the platform's store
    std::vector<endpoint> peers;               // control endpoints to contact at the start
    std::size_t           partitions = 1;      // traffic partitions: divide the flows by key; one forwarder each
    std::uint64_t         hash_seed = 0;       // must be the same on all balancers of the cluster
    flow_table_settings   table;               // max_flows is divided evenly among the partitions
    control_keys          keys;                // the relay keys are derived from them
    duration              store_deadline = std::chrono::seconds(2);
    duration              stop_grace = std::chrono::minutes(5); // longest duration of a graceful stop
    bool                  use_store = true; // false: without a platform; configuration comes only from peers
};

struct control_actions {
    std::vector<datagram>      datagrams; // to send from the control socket
    std::vector<probe_request> probe_requests;
    std::vector<store_request> store_requests;
    std::vector<change_result> change_results; // of finished submissions
};

// A balancer and its revision, as far as this node knows them.
struct member_status {
    member          balancer;
    revision_number revision = 0; // latest one received
};

enum class stop_state : std::uint8_t { running, leaving, finished };

class node {
public:
    // The clock must outlive the node.
    node(const node_settings& settings, const clock& time, std::uint64_t random_seed);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    // Events. Call them from the control thread only.
    void            receive_control(byte_view datagram, const endpoint& sender);
    void            probe_finished(const probe_result& result);
    void            store_answered(const store_response& response);
    void            submit(const change_request& request);
    void            tick(); // call it every 10 to 100 ms
    void            begin_stop();
    // Applies the keys, and the limits of the flow table except max_flows; ignores the other settings.
    void            reconfigure(const node_settings& settings);
    control_actions take_actions();

    // Queries. Control thread only.
    stop_state                           state() const;
    const configuration&                 current() const;
    std::vector<change_record>           recent_changes() const; // oldest first
    std::vector<member_status>           members() const;
    std::vector<backend_status>          statuses() const;
    std::map<std::string, std::uint64_t> counters() const; // counters of all components, by metric name
    flow_explanation                     explain(const flow_tuple& flow);
    std::uint64_t control_bytes_sent() const; // includes 28 bytes per datagram for IP and UDP headers

    // Calls function with the forwarder of a partition, under that partition's lock. Any thread.
    void        with_forwarder(std::size_t partition, const std::function<void(forwarder&)>& function);
    // Partition that handles a packet from the fabric or a relay frame; partition 0 if it is malformed. Any thread.
    std::size_t partition_of_fabric_packet(byte_view udp_payload) const;
    std::size_t partition_of_relay_frame(byte_view datagram) const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace tamarack
