// Decides which condition reports are sent to which balancers. Reports spread along the tree in which balancers read
// records: to the source and the followers of a balancer and, from a feeder, to the feeders of the other failure
// domains.
//
// Load pattern: a failure that many backend servers share makes all hosts report hundreds of conditions in the same
// second, most of them known to the others already. Therefore the bytes sent per second are limited, the latest
// condition of a backend server replaces one that still waits, and a condition that other balancers have been told
// lately is not sent again for each host that observes it.
//
// A report is forwarded to all neighbors but the one it came from. Each report is accepted once, so that reports do not
// circulate between balancers that read from each other. A report contains its age, so that no clocks are compared.
#pragma once

#include "entry/condition_report.h"
#include "entry/source_choice.h"

#include <bitset>

namespace tamarack::entry {

// A report and what identifies it. Origin: a number that the process that made the observation has drawn at its start.
struct forwarded_report {
    condition_report report;
    std::uint32_t    origin = 0;
    std::uint32_t    sequence = 0; // counts the reports of the origin, from 1
    unsigned         hops = 0;     // balancers that have forwarded it
};

// A balancer that receives reports from this one.
struct report_neighbor {
    endpoint address;
    feed_key key{}; // authenticates the datagrams to it
};

// What a balancer's neighbors follow from.
struct tree_position {
    endpoint              address; // of this balancer, for other balancers
    std::string           failure_domain;
    record_source         source;
    std::vector<endpoint> followers;
    feed_key              own_key{};
    bool                  is_feeder = false;
};

// Each address once. Empty if no key is known that other balancers accept.
std::vector<report_neighbor> report_neighbors(const tree_position& position, const replica& store_replica);

// Size of the messages, for the limit of the rate.
struct report_sizes {
    std::size_t report = 0;      // bytes in a datagram
    std::size_t datagram = 0;    // bytes in addition to the reports, with the headers of IP and UDP
    std::size_t max_reports = 0; // in a datagram
};

struct report_settings {
    std::uint32_t origin = 0; // random number of this process
    report_sizes  sizes{};
    double        bytes_per_second = 2'000.0; // to all neighbors together
    // Limits what a balancer with many neighbors receives. It could not forward more to so many.
    double        neighbor_bytes_per_second = 250.0; // on average to one of them
};

// Reports to send to one neighbor in one datagram.
struct outgoing_reports {
    report_neighbor               neighbor;
    std::vector<forwarded_report> reports;
};

enum class report_drop : std::uint8_t {
    duplicate,     // received before, or too old to tell
    expired,       // its validity has passed
    too_many_hops, // has passed more balancers than a tree has levels
    not_current,   // this balancer has no recent confirmation by the store
    superseded,    // a later observation of the backend server is known
    repeated,      // accepted, but neighbors have been told the same condition lately
    overflow,      // too many reports wait
};
inline constexpr std::size_t report_drop_count = 7;

std::string_view to_string(report_drop reason);

struct report_counters {
    std::uint64_t                                sent = 0; // once for each neighbor
    std::uint64_t                                received = 0;
    std::uint64_t                                accepted = 0;
    std::uint64_t                                bytes_sent = 0; // with the headers of IP and UDP
    std::array<std::uint64_t, report_drop_count> dropped{};      // indexed by reason
};

class condition_reports {
public:
    condition_reports(const report_settings& settings, const replica& store_replica, steady_time now);

    // Observations of this balancer.
    void                          add_own(std::span<const condition_report> reports, steady_time now);
    // Returns the reports to be taken into account; all are forwarded as far as it is useful.
    std::vector<condition_report> receive(std::span<const forwarded_report> reports, const endpoint& sender,
                                          steady_time now);
    // What to send now. Nothing while the replica is not current.
    std::vector<outgoing_reports> take_due(const tree_position& position, steady_time now);
    // When to call take_due; nullopt: no report waits.
    std::optional<steady_time>    next_due() const;
    const report_counters&        counters() const { return counters_; }

private:
    // The sequence numbers received from an origin.
    class sequence_window {
    public:
        // Returns false if the number was added before, or is too far behind the highest one to tell.
        bool        add(std::uint32_t sequence);
        steady_time last_used{};

    private:
        static constexpr std::size_t size = 1'024;

        std::uint32_t     highest_ = 0;
        std::bitset<size> is_received_; // indexed by the number modulo the size; of the numbers up to highest_
    };

    struct waiting_report {
        forwarded_report        item;
        std::optional<endpoint> sender; // nullopt: observed by this balancer
        steady_time             observed_at{};
    };

    // The latest condition of a backend server that has been queued.
    struct queued_condition {
        backend_condition condition = backend_condition::well;
        steady_time       observed_at{};
        steady_time       expires_at{};
        unsigned          count = 0; // reports of it, from any origin
    };

    bool                                 is_new(const forwarded_report& item, steady_time now);
    sequence_window&                     window_of(std::uint32_t origin, steady_time now);
    void                                 enqueue(const waiting_report& waiting, steady_time now);
    std::optional<report_drop>           note_queued(const waiting_report& waiting, bool is_waiting, steady_time now);
    bool                                 make_room_for_queued(steady_time now);
    void                                 drop_expired(steady_time now);
    std::size_t                          affordable_reports(std::size_t neighbors, steady_time now);
    static std::vector<outgoing_reports> distribute(std::span<const waiting_report>  reports,
                                                    std::span<const report_neighbor> neighbors, steady_time now);
    void                                 charge(std::span<const outgoing_reports> datagrams, steady_time now);
    void drop(report_drop reason) { ++counters_.dropped.at(static_cast<std::size_t>(reason)); }

    report_settings                                    settings_;
    const replica&                                     store_replica_;
    token_bucket                                       byte_budget_;
    std::uint32_t                                      last_sequence_ = 0;
    std::vector<waiting_report>                        waiting_; // one for each backend server, in order of arrival
    steady_time                                        due_{};   // valid if a report waits
    steady_time                                        last_sent_{};
    std::unordered_map<std::uint32_t, sequence_window> windows_; // by origin
    std::unordered_map<backend_reference, queued_condition> queued_;
    report_counters                                         counters_;
};

} // namespace tamarack::entry
