// Measures how memory, processor time, control traffic and store calls grow with the size of a deployment.
//
// Each series prints its points and a least-squares line with its largest residual; docs/CAPACITY.md derives the cost
// of each role from them. Times are processor time on this machine; the seed determines all other figures.
#include "fakes/cluster.h"
#include "tamarack/service_index.h"
#include "tests/configuration_loop.h"

#include "standins/inner_packet.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <iomanip>
#include <iostream>
#include <malloc.h>
#include <numeric>

DEFINE_uint64(seed, 1, "seed of every random choice");
DEFINE_bool(region, false, "also measure a cluster of 267 members, which takes several minutes");
DEFINE_string(only, "", "flow_memory, packets, publication, configuration, members, domains or servers; empty: all");

namespace {

using namespace tamarack;
using namespace std::chrono_literals;

constexpr duration    settling_time = 60s;          // time for the start-up traffic to end
constexpr duration    quiet_time = 60s;             // measurement without changes
constexpr duration    change_spacing = 7s;          // limit for a revision to be in force on every member
constexpr int         changes_per_point = 6;        // the slowest of them is reported
constexpr std::size_t region_domains = 3;           // 16 failure domains in 6 regions, rounded up
constexpr std::size_t region_members = 267;         // 1,600 daemons in 6 regions
constexpr std::size_t cluster_table_flows = 10'000; // small, since the simulated callers open no flows here
constexpr duration    outage_time = 300s;           // long enough for the longest backoff
constexpr duration    failure_time = 60s;           // measurement after a failure
constexpr double      failure_limit = 600;          // seconds; a recovery that takes longer ends the run
constexpr double      microseconds_per_second = 1e6;

//----------------------------------------------------------------------------------------------------------------------
// Least-squares lines
//----------------------------------------------------------------------------------------------------------------------

struct point {
    double x = 0;
    double y = 0;
};

// Prints the points and their least-squares line. At least two x values must differ.
void print_series(const std::string& name, const std::string& x_unit, const std::string& y_unit,
                  const std::vector<point>& points) {
    const auto count = static_cast<double>(points.size());
    double     mean_x = 0;
    double     mean_y = 0;
    for (const auto& item : points) {
        mean_x += item.x / count;
        mean_y += item.y / count;
    }
    double products = 0;
    double squared_deviations = 0;
    for (const auto& item : points) {
        products += (item.x - mean_x) * (item.y - mean_y);
        squared_deviations += (item.x - mean_x) * (item.x - mean_x);
    }
    const double slope = products / squared_deviations;
    const double intercept = mean_y - slope * mean_x;
    double       residual = 0;
    std::cout << name << '\n' << std::setprecision(6);
    for (const auto& item : points) {
        residual = std::max(residual, std::abs(item.y - intercept - slope * item.x));
        std::cout << "  point: " << item.x << ' ' << x_unit << ", " << item.y << ' ' << y_unit << '\n';
    }
    std::cout << "  slope: " << slope << ' ' << y_unit << " per " << x_unit << ", intercept: " << intercept << ' '
              << y_unit << ", largest residual: " << residual << ' ' << y_unit << "\n"
              << std::endl;
}

double thread_seconds() {
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

double allocated_bytes() {
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

bool is_selected(std::string_view name) {
    return FLAGS_only.empty() || FLAGS_only == name;
}

//----------------------------------------------------------------------------------------------------------------------
// Flows
//----------------------------------------------------------------------------------------------------------------------

void measure_flow_memory() {
    std::vector<point> table;
    std::vector<point> allocator;
    for (const std::size_t flows : {100'000U, 200'000U, 400'000U, 800'000U, 1'600'000U}) {
        std::mt19937_64     random(FLAGS_seed);
        flow_table_settings settings;
        settings.max_flows = flows;
        settings.max_service_share = 1; // all flows belong to one service
        const double before = allocated_bytes();
        flow_table   measured(settings);
        for (std::size_t i = 0; i < flows; ++i) {
            placement item;
            item.backend_server = static_cast<backend_server_id>(1 + i % 15);
            item.service = 1;
            item.state = flow_state::established;
            measured.insert({random(), random()}, item, steady_time(1h));
        }
        CHECK_EQ(measured.size(), flows);
        table.push_back({static_cast<double>(flows), static_cast<double>(measured.memory_bytes())});
        allocator.push_back({static_cast<double>(flows), allocated_bytes() - before});
    }
    print_series("flow_memory_table", "flow", "byte", table);
    print_series("flow_memory_allocator", "flow", "byte", allocator);
}

member make_member(std::size_t index, std::size_t domains) {
    member item;
    item.id = static_cast<member_id>(index + 1);
    item.incarnation = 1;
    item.failure_domain = std::string("domain-") + std::to_string(index % domains);
    const ip_address address = ip_address::v4(static_cast<std::uint32_t>(0x0a020000U + index));
    item.control = {address, 4001};
    item.relay = {address, 4002};
    return item;
}

std::shared_ptr<forwarding_state> make_forwarding_state(const tamarack::clock& time, std::span<const member> members,
                                                        const std::shared_ptr<const configuration>& services) {
    auto state = std::make_shared<forwarding_state>();
    state->built_at = time.steady_now();
    state->services = services;
    state->members.assign(members.begin(), members.end());
    state->owners.present = std::make_shared<ownership>(members);
    return state;
}

std::vector<std::byte> make_packet(std::size_t flow, std::uint8_t flags, std::uint32_t sequence) {
    flow_tuple tuple;
    tuple.source = {ip_address::v4(static_cast<std::uint32_t>(0x64000000U + flow / 50'000)),
                    static_cast<std::uint16_t>(1'024 + flow % 50'000)};
    tuple.destination = {ip_address::v4(0xcb007100U), 443}; // the first service of large_configuration
    return ::standin::make_gue_segment(tuple, {flags, sequence, 1, {}});
}

// Nanoseconds per packet in one forwarder: for new flows, for packets of random open flows that it delivers itself (the
// only member), and for those that it relays (the flows that one of the other two members owns).
struct packet_costs {
    double new_flow = 0;
    double delivered = 0;
    double relayed = 0;
};

packet_costs measure_packet_costs(std::size_t flows) {
    constexpr std::size_t     samples = 200'000;
    constexpr std::size_t     relay_samples = 50'000;
    const endpoint            fabric{ip_address::v4(0x7f000001), 5000};
    manual_clock              time;
    const auto                services = std::make_shared<configuration>(testing::large_configuration(2'167));
    const std::vector<member> members{make_member(0, 3), make_member(1, 3), make_member(2, 3)};
    forwarder_settings        settings;
    settings.self = 1;
    settings.self_incarnation = 1;
    settings.table.max_flows = flows + 1'000;
    settings.table.max_service_share = 1; // all flows belong to one service
    forwarder     target(settings, time);
    action_buffer out;
    target.publish(make_forwarding_state(time, std::span(members).first(1), services));
    // Passes the grace time after the start, in steps too short to be detected as a pause.
    for (int i = 0; i < 100; ++i) {
        time.advance(100ms);
        target.tick(out);
    }

    packet_costs result;
    double       seconds = 0;
    for (std::size_t i = 0; i < flows; ++i) {
        const auto   packet = make_packet(i, ::standin::syn_flag, 1);
        const auto   second = make_packet(i, ::standin::ack_flag, 2);
        const double start = i + samples / 2 >= flows ? thread_seconds() : 0;
        out.clear();
        target.receive_from_fabric(packet, fabric, out);
        if (start > 0) seconds += thread_seconds() - start;
        target.receive_from_fabric(second, fabric, out);
    }
    const auto new_samples = static_cast<double>(std::min(flows, samples / 2));
    CHECK_EQ(target.flows().size(), flows);
    // Cost of reading the clock, which every sample above contains. The sum keeps the compiler from removing the calls.
    double       clock_sum = 0;
    const double clock_start = thread_seconds();
    for (std::size_t i = 0; i < samples; ++i)
        clock_sum += thread_seconds();
    CHECK_GT(clock_sum, 0);
    const double clock_cost = (thread_seconds() - clock_start) / static_cast<double>(samples);
    result.new_flow = 1e9 * (seconds / new_samples - clock_cost);

    std::mt19937_64                     random(FLAGS_seed);
    std::vector<std::vector<std::byte>> packets;
    for (std::size_t i = 0; i < samples; ++i)
        packets.push_back(make_packet(random() % flows, ::standin::ack_flag, static_cast<std::uint32_t>(3 + i)));
    const auto nanoseconds_per_packet = [&](const std::vector<std::vector<std::byte>>& input) {
        const double start = thread_seconds();
        for (const auto& packet : input) {
            out.clear();
            target.receive_from_fabric(packet, fabric, out);
        }
        return 1e9 * (thread_seconds() - start) / static_cast<double>(input.size());
    };
    const auto delivered_before = target.counters().packets_delivered;
    result.delivered = nanoseconds_per_packet(packets);
    CHECK_EQ(target.counters().packets_delivered - delivered_before, samples);

    const auto state = make_forwarding_state(time, members, services);
    target.publish(state);
    std::erase_if(packets, [&](const auto& packet) {
        out.clear();
        target.receive_from_fabric(packet, fabric, out);
        return out.actions().size() != 1 || out.actions().front().kind != action_kind::relay;
    });
    if (packets.size() > relay_samples) packets.resize(relay_samples);
    CHECK(!packets.empty());
    result.relayed = nanoseconds_per_packet(packets);
    return result;
}

void measure_packets() {
    std::vector<point> new_flow;
    std::vector<point> delivered;
    std::vector<point> relayed;
    for (const std::size_t flows : {10'000U, 100'000U, 250'000U, 500'000U, 1'000'000U}) {
        const auto times = measure_packet_costs(flows);
        new_flow.push_back({static_cast<double>(flows), times.new_flow});
        delivered.push_back({static_cast<double>(flows), times.delivered});
        relayed.push_back({static_cast<double>(flows), times.relayed});
    }
    print_series("packet_new_flow", "flow", "ns", new_flow);
    print_series("packet_delivered", "flow", "ns", delivered);
    print_series("packet_relayed", "flow", "ns", relayed);
}

//----------------------------------------------------------------------------------------------------------------------
// Publication
//----------------------------------------------------------------------------------------------------------------------

void measure_publication() {
    constexpr int      repeats = 10;
    std::vector<point> ranking_time;
    std::vector<point> ranking_memory;
    for (const std::size_t count : {9U, 32U, 64U, 128U, 267U}) {
        std::vector<member> members;
        members.reserve(count);
        for (std::size_t i = 0; i < count; ++i)
            members.push_back(make_member(i, region_domains));
        const double                            before = allocated_bytes();
        std::vector<std::unique_ptr<ownership>> rankings;
        const double                            start = thread_seconds();
        rankings.reserve(repeats);
        for (int i = 0; i < repeats; ++i)
            rankings.push_back(std::make_unique<ownership>(members));
        const double seconds = (thread_seconds() - start) / repeats;
        ranking_time.push_back({static_cast<double>(count), 1e3 * seconds});
        ranking_memory.push_back({static_cast<double>(count), (allocated_bytes() - before) / repeats});
    }
    print_series("ranking_time", "member", "ms", ranking_time);
    print_series("ranking_memory", "member", "byte", ranking_memory);

    std::vector<point> publish_time;
    std::vector<point> publish_memory;
    for (const std::uint32_t servers : {200U, 500U, 1'000U, 2'000U, 4'000U}) {
        manual_clock       time;
        const auto         services = std::make_shared<configuration>(testing::large_configuration(servers));
        const member       self = make_member(0, 1);
        forwarder_settings settings;
        settings.self = self.id;
        settings.self_incarnation = self.incarnation;
        settings.table.max_flows = 1'000;
        forwarder                                      target(settings, time);
        // Each state has its own copy of the configuration, since the forwarder may keep the index of an unchanged one.
        std::vector<std::shared_ptr<forwarding_state>> states;
        states.reserve(repeats);
        for (int i = 0; i < repeats; ++i) {
            states.push_back(
                make_forwarding_state(time, std::span(&self, 1), std::make_shared<configuration>(*services)));
        }
        const double before = allocated_bytes();
        const double start = thread_seconds();
        for (const auto& state : states)
            target.publish(state);
        publish_time.push_back(
            {static_cast<double>(services->services.size()), 1e3 * (thread_seconds() - start) / repeats});
        publish_memory.push_back({static_cast<double>(services->services.size()), allocated_bytes() - before});
    }
    print_series("publish_time", "service", "ms", publish_time);
    print_series("publish_memory", "service", "byte", publish_memory);
}

//----------------------------------------------------------------------------------------------------------------------
// Configuration
//----------------------------------------------------------------------------------------------------------------------

head make_head(std::uint32_t servers) {
    std::mt19937_64 random(FLAGS_seed);
    return testing::with_history(testing::large_configuration(servers), max_recent_changes, random);
}

weigh_backend weight_change(int number) {
    return {"service-0", "server-0", static_cast<std::uint32_t>(10 + number)};
}

// Bytes that a replica sends to peers for one change: the mean over all replicas and several changes.
double wire_bytes_per_change(const head& start) {
    constexpr std::size_t hosts = 9;
    testing::replica_loop loop(hosts, region_domains, FLAGS_seed);
    store_request         request;
    request.operation = store_operation::compare_and_swap;
    request.key = head_key("default");
    request.value = encode(start);
    CHECK(loop.store.handle(request).response.status == store_status::ok);
    loop.run(30min, [&] { return loop.all_hold(start.revision()); });
    CHECK(loop.all_hold(start.revision()));
    loop.run(30s);
    const auto bytes_sent = [&] {
        return std::accumulate(loop.hosts.begin(), loop.hosts.end(), std::uint64_t{0}, [](auto sum, const auto& item) {
            return sum + item.replica->counters().peer_bytes_sent;
        });
    };
    const auto bytes_before = bytes_sent();
    for (int i = 0; i < changes_per_point; ++i) {
        CHECK(loop.commit(static_cast<std::size_t>(i), std::string("change-") + std::to_string(i), weight_change(i))
                  .status == change_status::accepted);
        loop.run(change_spacing);
    }
    return static_cast<double>(bytes_sent() - bytes_before) / (changes_per_point * static_cast<double>(hosts));
}

void measure_configuration() {
    std::vector<point> head_size;
    std::vector<point> packed_head_size;
    std::vector<point> wire_size;
    for (const std::uint32_t servers : {100U, 500U, 1'000U, 2'000U, 4'000U}) {
        const head measured_head = make_head(servers);
        const auto x = static_cast<double>(servers);
        head_size.push_back({x, static_cast<double>(encode(measured_head).size())});
        packed_head_size.push_back({x, static_cast<double>(compress(measured_head).size())});
        wire_size.push_back({x, wire_bytes_per_change(measured_head)});
    }
    print_series("head_size", "backend_server", "byte", head_size);
    print_series("head_size_packed", "backend_server", "byte", packed_head_size);
    print_series("change_wire_bytes_per_member", "backend_server", "byte", wire_size);
}

//----------------------------------------------------------------------------------------------------------------------
// Clusters
//----------------------------------------------------------------------------------------------------------------------

struct control_times {
    double        tick_seconds = 0; // of all members together
    double        receive_seconds = 0;
    std::uint64_t datagrams_received = 0;
};

// A node that measures the processor time of its control calls. The time to perform the actions is not included.
class timed_balancer final : public fakes::balancer {
public:
    timed_balancer(const node_settings& settings, const tamarack::clock& time, std::uint64_t seed, control_times& times)
        : node_(settings, time, seed), times_(times) {}
    void handle_fabric_packet(byte_view, const endpoint&, action_buffer&) override {}
    void handle_relay_frame(byte_view, action_buffer&) override {}
    void tick(action_buffer&) override {
        const double start = thread_seconds();
        node_.tick();
        times_.tick_seconds += thread_seconds() - start;
    }
    void handle_control_datagram(byte_view datagram, const endpoint& from) override {
        const double start = thread_seconds();
        node_.receive_control(datagram, from);
        times_.receive_seconds += thread_seconds() - start;
        ++times_.datagrams_received;
    }
    node* control_node() override { return &node_; }

private:
    node           node_;
    control_times& times_;
};

struct cluster_figures {
    double bytes_per_second = 0; // sent by a member
    double tick_time = 0;        // microseconds of processor time per second, of a member
    double receive_time = 0;     // microseconds of processor time per second, of a member
    double calls_per_second = 0; // store calls of all members
    double calls_per_change = 0;
    double writes_per_change = 0;
    double slowest_change = 0; // seconds until in force on every member; change_spacing or more: not in force by then
    double largest_window = 0; // largest bytes per second of any member in any 10 s
    double start_up_time = 0;  // seconds until all members hold the configuration
    double memory_bytes = 0;   // bytes of the allocator, of a member

    // After all hosts of one failure domain have crashed at the same time, and after they have started again without
    // state.
    double death_detection_time = 0;  // seconds until every surviving member sees every lost member as dead
    double domain_loss_calls = 0;     // store calls per second of all members, in the first failure_time
    double domain_loss_bytes = 0;     // bytes per second of a surviving member, in the first failure_time
    double return_detection_time = 0; // seconds until all members see each other as alive and hold the configuration
    double return_calls = 0;          // store calls per second of all members, in the first failure_time
    double return_bytes = 0;          // bytes per second of a member, in the first failure_time
    double return_tick_time = 0; // microseconds of processor time per second, of a member, in the first failure_time

    // During an outage of the store, and afterwards.
    double outage_calls = 0;    // store calls per second of all members
    double outage_recovery = 0; // seconds from its end until a change submitted then is in force on every member
};

// Runs in steps of 100 ms until the condition holds, and returns the seconds passed. Ends the run after failure_limit.
template <class Condition>
double run_until(fakes::cluster& target, Condition is_satisfied) {
    constexpr duration step = 100ms;
    const steady_time  start = target.now();
    const auto         passed = [&] { return std::chrono::duration<double>(target.now() - start).count(); };
    while (!is_satisfied()) {
        CHECK_LT(passed(), failure_limit) << "no recovery";
        target.run(step);
    }
    return passed();
}

// Whether every running member sees all members of the last failure domain as alive, or else as dead.
bool all_see_domain(fakes::cluster& target, std::size_t domains, bool expect_alive) {
    for (std::size_t i = 0; i < target.host_count(); ++i) {
        if (!target.is_running(i)) continue;
        std::size_t matching_members = 0;
        for (const auto& item : target.node_of(i)->members()) {
            const bool is_in_lost_domain = (item.balancer.id - 1) % domains == domains - 1;
            if (is_in_lost_domain && (item.balancer.state == member_state::alive) == expect_alive &&
                (expect_alive || item.balancer.state == member_state::dead))
                ++matching_members;
        }
        if (matching_members != target.host_count() / domains) return false;
    }
    return true;
}

std::uint64_t control_bytes_of_running(const fakes::cluster& target) {
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < target.host_count(); ++i)
        sum += target.control_bytes_sent(i);
    return sum;
}

// Crashes all hosts of the last failure domain, and later starts them again.
void measure_domain_loss(fakes::cluster& target, std::size_t domains, revision_number revision,
                         const control_times& times, cluster_figures& result) {
    const double seconds = std::chrono::duration<double>(failure_time).count();
    std::size_t  running_members = target.host_count();
    for (std::size_t i = domains - 1; i < target.host_count(); i += domains) {
        target.crash(i);
        --running_members;
    }
    auto calls = target.store_call_count();
    auto bytes = control_bytes_of_running(target);
    result.death_detection_time = run_until(target, [&] { return all_see_domain(target, domains, false); });
    target.run(std::max(duration{}, failure_time - std::chrono::duration_cast<duration>(
                                                       std::chrono::duration<double>(result.death_detection_time))));
    result.domain_loss_calls = static_cast<double>(target.store_call_count() - calls) / seconds;
    result.domain_loss_bytes = static_cast<double>(control_bytes_of_running(target) - bytes) /
                               (seconds * static_cast<double>(running_members));

    const double tick_before = times.tick_seconds;
    calls = target.store_call_count();
    bytes = control_bytes_of_running(target);
    for (std::size_t i = domains - 1; i < target.host_count(); i += domains)
        target.start(i);
    result.return_detection_time = run_until(target, [&] {
        for (std::size_t i = 0; i < target.host_count(); ++i) {
            if (target.node_of(i)->current().revision < revision) return false;
        }
        return all_see_domain(target, domains, true);
    });
    target.run(std::max(duration{}, failure_time - std::chrono::duration_cast<duration>(
                                                       std::chrono::duration<double>(result.return_detection_time))));
    const double member_seconds = seconds * static_cast<double>(target.host_count());
    result.return_calls = static_cast<double>(target.store_call_count() - calls) / seconds;
    result.return_bytes = static_cast<double>(control_bytes_of_running(target) - bytes) / member_seconds;
    result.return_tick_time = microseconds_per_second * (times.tick_seconds - tick_before) / member_seconds;
}

// Interrupts the store for outage_time, then submits a change to the first member until it is accepted.
void measure_store_outage(fakes::cluster& target, revision_number revision, cluster_figures& result) {
    const auto calls = target.store_call_count();
    target.set_store_outage(true);
    target.run(outage_time);
    result.outage_calls =
        static_cast<double>(target.store_call_count() - calls) / std::chrono::duration<double>(outage_time).count();
    target.set_store_outage(false);
    const steady_time end = target.now();
    CHECK(target.submit_and_wait(0, weight_change(changes_per_point)).status == change_status::accepted);
    run_until(target, [&] {
        for (std::size_t i = 0; i < target.host_count(); ++i) {
            if (target.node_of(i)->current().revision <= revision) return false;
        }
        return true;
    });
    result.outage_recovery = std::chrono::duration<double>(target.now() - end).count();
}

cluster_figures run_cluster(std::size_t members, std::size_t domains, std::uint32_t servers) {
    control_times           times;
    fakes::cluster_settings settings;
    settings.seed = FLAGS_seed;
    settings.table.max_flows = cluster_table_flows;
    const double   memory_before = allocated_bytes();
    fakes::cluster target(settings);
    target.set_balancer_factory(
        [&](const node_settings& member_settings, const tamarack::clock& time, std::uint64_t seed) {
            return std::make_unique<timed_balancer>(member_settings, time, seed, times);
        });
    const head start = make_head(servers);
    target.write_store_value(head_key("default"), encode(start));
    for (std::size_t i = 0; i < members; ++i)
        target.add_host(std::string("domain-") + std::to_string(i % domains));
    for (std::size_t i = 0; i < members; ++i)
        target.start(i);
    cluster_figures result;
    const auto      all_hold = [&] {
        for (std::size_t i = 0; i < members; ++i) {
            if (target.node_of(i)->current().revision < start.revision()) return false;
        }
        return true;
    };
    while (!all_hold() && result.start_up_time < 1'200) {
        target.run(1s);
        ++result.start_up_time;
    }
    CHECK(all_hold()) << "no common configuration after " << result.start_up_time << " s";
    target.run(settling_time);

    const double member_seconds = static_cast<double>(members) * std::chrono::duration<double>(quiet_time).count();
    const auto   sent_before = control_bytes_of_running(target);
    const auto   calls_before = target.store_call_count();
    times = {};
    target.run(quiet_time);
    result.bytes_per_second = static_cast<double>(control_bytes_of_running(target) - sent_before) / member_seconds;
    result.tick_time = microseconds_per_second * times.tick_seconds / member_seconds;
    result.receive_time = microseconds_per_second * times.receive_seconds / member_seconds;
    result.calls_per_second = static_cast<double>(target.store_call_count() - calls_before) /
                              std::chrono::duration<double>(quiet_time).count();
    result.memory_bytes = (allocated_bytes() - memory_before) / static_cast<double>(members);

    const auto writes_before = target.store_write_count();
    const auto calls_at_changes = target.store_call_count();
    for (int i = 0; i < changes_per_point; ++i) {
        target.submit(static_cast<std::size_t>(i) % members, weight_change(i));
        target.run(change_spacing);
        const auto   time_to_convergence = target.convergence_time();
        const double seconds = std::chrono::duration<double>(time_to_convergence.value_or(change_spacing)).count();
        result.slowest_change = std::max(result.slowest_change, seconds);
    }
    const double change_time = changes_per_point * std::chrono::duration<double>(change_spacing).count();
    result.calls_per_change =
        (static_cast<double>(target.store_call_count() - calls_at_changes) - result.calls_per_second * change_time) /
        changes_per_point;
    result.writes_per_change = static_cast<double>(target.store_write_count() - writes_before) / changes_per_point;
    CHECK_EQ(target.change_results().size(), static_cast<std::size_t>(changes_per_point));
    for (const auto& item : target.change_results())
        CHECK(item.status == change_status::accepted) << to_string(item.status);
    result.largest_window = static_cast<double>(target.max_control_bytes_in_window()) /
                            std::chrono::duration<double>(control_window).count();
    measure_domain_loss(target, domains, start.revision() + changes_per_point, times, result);
    measure_store_outage(target, start.revision() + changes_per_point, result);
    return result;
}

void print_clusters(const std::string& prefix, const std::string& unit,
                    const std::vector<std::pair<double, cluster_figures>>& runs) {
    const auto print = [&](const std::string& name, const std::string& y_unit, double cluster_figures::*value) {
        std::vector<point> points;
        points.reserve(runs.size());
        for (const auto& [x, figures] : runs)
            points.push_back({x, figures.*value});
        print_series(prefix + name, unit, y_unit, points);
    };
    print("control_bytes_per_second", "byte/s", &cluster_figures::bytes_per_second);
    print("control_largest_window", "byte/s", &cluster_figures::largest_window);
    print("control_tick_time", "us/s", &cluster_figures::tick_time);
    print("control_receive_time", "us/s", &cluster_figures::receive_time);
    print("memory_per_member", "byte", &cluster_figures::memory_bytes);
    print("platform_calls", "call/s", &cluster_figures::calls_per_second);
    print("platform_calls_per_change", "call", &cluster_figures::calls_per_change);
    print("platform_writes_per_change", "call", &cluster_figures::writes_per_change);
    print("slowest_change", "s", &cluster_figures::slowest_change);
    print("start_up", "s", &cluster_figures::start_up_time);
    print("death_known", "s", &cluster_figures::death_detection_time);
    print("loss_platform_calls", "call/s", &cluster_figures::domain_loss_calls);
    print("loss_control_bytes_per_second", "byte/s", &cluster_figures::domain_loss_bytes);
    print("return_known", "s", &cluster_figures::return_detection_time);
    print("return_platform_calls", "call/s", &cluster_figures::return_calls);
    print("return_control_bytes_per_second", "byte/s", &cluster_figures::return_bytes);
    print("return_control_tick_time", "us/s", &cluster_figures::return_tick_time);
    print("outage_platform_calls", "call/s", &cluster_figures::outage_calls);
    print("outage_recovery", "s", &cluster_figures::outage_recovery);
}

void measure_members() {
    std::vector<std::pair<double, cluster_figures>> runs;
    std::vector<std::size_t>                        sizes{9, 32, 64, 128};
    if (FLAGS_region) sizes.push_back(region_members);
    runs.reserve(sizes.size());
    for (const std::size_t members : sizes)
        runs.emplace_back(static_cast<double>(members), run_cluster(members, region_domains, 100));
    print_clusters("members_", "member", runs);
}

void measure_servers() {
    constexpr std::size_t                           members = 32;
    std::vector<std::pair<double, cluster_figures>> runs;
    for (const std::uint32_t servers : {100U, 500U, 1'000U, 2'167U, 4'000U})
        runs.emplace_back(static_cast<double>(servers), run_cluster(members, region_domains, servers));
    print_clusters("servers_", "backend_server", runs);
}

void measure_domains() {
    constexpr std::size_t                           members = 32;
    std::vector<std::pair<double, cluster_figures>> runs;
    for (const std::size_t domains : {2U, 4U, 8U, 16U})
        runs.emplace_back(static_cast<double>(domains), run_cluster(members, domains, 100));
    print_clusters("domains_", "failure_domain", runs);
}

} // namespace

int main(int count, char** arguments) {
    gflags::ParseCommandLineFlags(&count, &arguments, true);
    google::InitGoogleLogging(arguments[0]);
    FLAGS_minloglevel = google::GLOG_ERROR;
    if (is_selected("flow_memory")) measure_flow_memory();
    if (is_selected("packets")) measure_packets();
    if (is_selected("publication")) measure_publication();
    if (is_selected("configuration")) measure_configuration();
    if (is_selected("members")) measure_members();
    if (is_selected("domains")) measure_domains();
    if (is_selected("servers")) measure_servers();
    return 0;
}
