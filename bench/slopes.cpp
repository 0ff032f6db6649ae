// Measures how memory, processor time, control traffic and platform calls grow with the size of a deployment.
//
// Each series prints its points and a least-squares line with its largest residual; docs/CAPACITY.md derives the cost
// of each role from them. Times are processor time of this machine, all other figures follow from the seed.
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

constexpr duration    settle_time = 60s;            // until start-up traffic has ended
constexpr duration    quiet_time = 60s;             // measured without changes
constexpr duration    change_spacing = 7s;          // the limit for a revision to be in force everywhere
constexpr int         changes_per_point = 6;        // of which the slowest is reported
constexpr std::size_t region_domains = 3;           // 16 failure domains in 6 regions, rounded up
constexpr std::size_t region_members = 267;         // 1,600 daemons in 6 regions
constexpr std::size_t cluster_table_flows = 10'000; // no flows are opened in the fakes
constexpr duration    outage_time = 300s;           // long enough for the longest backoff
constexpr duration    failure_time = 60s;           // measured after a failure
constexpr double      failure_limit = 600;          // seconds; a recovery that takes longer ends the run
constexpr double      microseconds_per_second = 1e6;

//----------------------------------------------------------------------------------------------------------------------
// Lines
//----------------------------------------------------------------------------------------------------------------------

struct point {
    double x = 0;
    double y = 0;
};

// Least squares over points with at least two different x.
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
    double squares = 0;
    for (const auto& item : points) {
        products += (item.x - mean_x) * (item.y - mean_y);
        squares += (item.x - mean_x) * (item.x - mean_x);
    }
    const double slope = products / squares;
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

bool wanted(std::string_view name) {
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

std::shared_ptr<forwarding_state> make_state(const tamarack::clock& time, std::span<const member> members,
                                             const std::shared_ptr<const configuration>& services) {
    auto state = std::make_shared<forwarding_state>();
    state->built_at = time.steady_now();
    state->services = services;
    state->members.assign(members.begin(), members.end());
    state->owners.present = std::make_shared<ownership>(members);
    return state;
}

std::vector<std::byte> packet_of(std::size_t flow, std::uint8_t flags, std::uint32_t sequence) {
    flow_tuple tuple;
    tuple.source = {ip_address::v4(static_cast<std::uint32_t>(0x64000000U + flow / 50'000)),
                    static_cast<std::uint16_t>(1'024 + flow % 50'000)};
    tuple.destination = {ip_address::v4(0xcb007100U), 443}; // the first service of large_configuration
    return ::standin::make_gue_segment(tuple, {flags, sequence, 1, {}});
}

// Packets of random open flows through a forwarder that delivers them itself (one member), or relays them (the flows of
// three members that another one owns).
struct packet_times {
    double new_flow = 0;
    double delivered = 0;
    double relayed = 0;
};

packet_times time_packets(std::size_t flows) {
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
    target.publish(make_state(time, std::span(members).first(1), services));
    for (int i = 0; i < 100; ++i) { // past the grace time after the start, without a gap that is taken for a pause
        time.advance(100ms);
        target.tick(out);
    }

    packet_times result;
    double       seconds = 0;
    for (std::size_t i = 0; i < flows; ++i) {
        const auto   packet = packet_of(i, ::standin::syn_flag, 1);
        const auto   second = packet_of(i, ::standin::ack_flag, 2);
        const double start = i + samples / 2 >= flows ? thread_seconds() : 0;
        out.clear();
        target.receive_from_fabric(packet, fabric, out);
        if (start > 0) seconds += thread_seconds() - start;
        target.receive_from_fabric(second, fabric, out);
    }
    const auto new_samples = static_cast<double>(std::min(flows, samples / 2));
    CHECK_EQ(target.flows().size(), flows);
    double       empty = 0; // cost of reading the clock twice
    const double empty_start = thread_seconds();
    for (std::size_t i = 0; i < samples; ++i)
        empty += thread_seconds();
    CHECK_GT(empty, 0);
    const double clock_cost = (thread_seconds() - empty_start) / static_cast<double>(samples);
    result.new_flow = 1e9 * (seconds / new_samples - clock_cost);

    std::mt19937_64                     random(FLAGS_seed);
    std::vector<std::vector<std::byte>> packets;
    for (std::size_t i = 0; i < samples; ++i)
        packets.push_back(packet_of(random() % flows, ::standin::ack_flag, static_cast<std::uint32_t>(3 + i)));
    const auto pass = [&](const std::vector<std::vector<std::byte>>& input) {
        const double start = thread_seconds();
        for (const auto& packet : input) {
            out.clear();
            target.receive_from_fabric(packet, fabric, out);
        }
        return 1e9 * (thread_seconds() - start) / static_cast<double>(input.size());
    };
    const auto delivered_before = target.counters().packets_delivered;
    result.delivered = pass(packets);
    CHECK_EQ(target.counters().packets_delivered - delivered_before, samples);

    const auto state = make_state(time, members, services);
    target.publish(state);
    std::erase_if(packets, [&](const auto& packet) {
        out.clear();
        target.receive_from_fabric(packet, fabric, out);
        return out.actions().size() != 1 || out.actions().front().kind != action_kind::relay;
    });
    if (packets.size() > relay_samples) packets.resize(relay_samples);
    CHECK(!packets.empty());
    result.relayed = pass(packets);
    return result;
}

void measure_packets() {
    std::vector<point> new_flow;
    std::vector<point> delivered;
    std::vector<point> relayed;
    for (const std::size_t flows : {10'000U, 100'000U, 250'000U, 500'000U, 1'000'000U}) {
        const auto times = time_packets(flows);
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
        // A new configuration each time, since an unchanged one may keep its index.
        std::vector<std::shared_ptr<forwarding_state>> states;
        states.reserve(repeats);
        for (int i = 0; i < repeats; ++i)
            states.push_back(make_state(time, std::span(&self, 1), std::make_shared<configuration>(*services)));
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

head head_of(std::uint32_t servers) {
    std::mt19937_64 random(FLAGS_seed);
    return testing::with_history(testing::large_configuration(servers), max_recent_changes, random);
}

weigh_backend some_change(int number) {
    return {"service-0", "server-0", static_cast<std::uint32_t>(10 + number)};
}

// Bytes that all replicas send to peers for one change, for each replica; the mean over several changes.
double bytes_of_change(const head& start) {
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
    const auto sent = [&] {
        return std::accumulate(loop.hosts.begin(), loop.hosts.end(), std::uint64_t{0}, [](auto sum, const auto& item) {
            return sum + item.replica->counters().peer_bytes_sent;
        });
    };
    const auto before = sent();
    for (int i = 0; i < changes_per_point; ++i) {
        CHECK(loop.commit(static_cast<std::size_t>(i), std::string("change-") + std::to_string(i), some_change(i))
                  .status == change_status::accepted);
        loop.run(change_spacing);
    }
    return static_cast<double>(sent() - before) / (changes_per_point * static_cast<double>(hosts));
}

void measure_configuration() {
    std::vector<point> head_size;
    std::vector<point> packed_size;
    std::vector<point> wire_size;
    for (const std::uint32_t servers : {100U, 500U, 1'000U, 2'000U, 4'000U}) {
        const head whole = head_of(servers);
        const auto x = static_cast<double>(servers);
        head_size.push_back({x, static_cast<double>(encode(whole).size())});
        packed_size.push_back({x, static_cast<double>(compress(whole).size())});
        wire_size.push_back({x, bytes_of_change(whole)});
    }
    print_series("head_size", "backend_server", "byte", head_size);
    print_series("head_size_packed", "backend_server", "byte", packed_size);
    print_series("change_wire_bytes_per_member", "backend_server", "byte", wire_size);
}

//----------------------------------------------------------------------------------------------------------------------
// Clusters
//----------------------------------------------------------------------------------------------------------------------

struct control_times {
    double        tick = 0; // seconds, of all members
    double        receive = 0;
    std::uint64_t received = 0;
};

// A node whose control thread is timed. Handing out actions is not included.
class timed_balancer final : public fakes::balancer {
public:
    timed_balancer(const node_settings& settings, const tamarack::clock& time, std::uint64_t seed, control_times& times)
        : node_(settings, time, seed), times_(times) {}
    void from_fabric(byte_view, const endpoint&, action_buffer&) override {}
    void from_peer(byte_view, action_buffer&) override {}
    void tick(action_buffer&) override {
        const double start = thread_seconds();
        node_.tick();
        times_.tick += thread_seconds() - start;
    }
    void from_control(byte_view datagram, const endpoint& from) override {
        const double start = thread_seconds();
        node_.receive_control(datagram, from);
        times_.receive += thread_seconds() - start;
        ++times_.received;
    }
    node* control() override { return &node_; }

private:
    node           node_;
    control_times& times_;
};

struct cluster_figures {
    double bytes_per_second = 0; // of a member
    double tick = 0;             // microseconds of processor time a second, of a member
    double receive = 0;
    double calls_per_second = 0; // of all members on the platform
    double calls_per_change = 0;
    double writes_per_change = 0;
    double slowest_change = 0; // seconds until it was in force everywhere; change_spacing or more: not within it
    double largest_window = 0; // bytes a second of any member in any 10 s
    double start_up = 0;       // seconds until all members hold the configuration
    double memory = 0;         // bytes of the allocator, of a member

    // After one failure domain has died at once, and after its hosts have started again empty.
    double death_known = 0;  // seconds until every survivor takes every lost member for dead
    double loss_calls = 0;   // a second of all members on the platform, in the first failure_time
    double loss_bytes = 0;   // a second of a surviving member, in the first failure_time
    double return_known = 0; // seconds until all members are alive to all and hold the configuration
    double return_calls = 0; // a second of all members on the platform, in the first failure_time
    double return_bytes = 0; // a second of a member, in the first failure_time
    double return_tick = 0;  // microseconds of processor time a second, of a member, in the first failure_time

    // While the platform is out of reach, and afterwards.
    double outage_calls = 0;    // a second of all members
    double outage_recovery = 0; // seconds from its end until a change that is submitted then is in force everywhere
};

// Seconds until the condition holds, in steps of 100 ms, and at most failure_limit.
template <class Condition>
double run_until(fakes::cluster& target, Condition holds) {
    constexpr duration step = 100ms;
    const steady_time  start = target.now();
    const auto         passed = [&] { return std::chrono::duration<double>(target.now() - start).count(); };
    while (!holds()) {
        CHECK_LT(passed(), failure_limit) << "no recovery";
        target.run(step);
    }
    return passed();
}

// Every running member sees every member of the lost failure domain in the wanted state.
bool all_see(fakes::cluster& target, std::size_t domains, bool alive) {
    for (std::size_t i = 0; i < target.hosts(); ++i) {
        if (!target.running(i)) continue;
        std::size_t matching = 0;
        for (const auto& item : target.node_of(i)->members()) {
            const bool lost = (item.balancer.id - 1) % domains == domains - 1;
            if (lost && (item.balancer.state == member_state::alive) == alive &&
                (alive || item.balancer.state == member_state::dead))
                ++matching;
        }
        if (matching != target.hosts() / domains) return false;
    }
    return true;
}

std::uint64_t bytes_of_running(const fakes::cluster& target) {
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < target.hosts(); ++i)
        sum += target.control_bytes(i);
    return sum;
}

// Loses the last failure domain, and starts its hosts again.
void lose_domain(fakes::cluster& target, std::size_t domains, revision_number revision, const control_times& times,
                 cluster_figures& result) {
    const double seconds = std::chrono::duration<double>(failure_time).count();
    std::size_t  running = target.hosts();
    for (std::size_t i = domains - 1; i < target.hosts(); i += domains) {
        target.crash(i);
        --running;
    }
    auto calls = target.store_calls();
    auto bytes = bytes_of_running(target);
    result.death_known = run_until(target, [&] { return all_see(target, domains, false); });
    target.run(std::max(duration{}, failure_time - std::chrono::duration_cast<duration>(
                                                       std::chrono::duration<double>(result.death_known))));
    result.loss_calls = static_cast<double>(target.store_calls() - calls) / seconds;
    result.loss_bytes =
        static_cast<double>(bytes_of_running(target) - bytes) / (seconds * static_cast<double>(running));

    const double tick_before = times.tick;
    calls = target.store_calls();
    bytes = bytes_of_running(target);
    for (std::size_t i = domains - 1; i < target.hosts(); i += domains)
        target.start(i);
    result.return_known = run_until(target, [&] {
        for (std::size_t i = 0; i < target.hosts(); ++i) {
            if (target.node_of(i)->current().revision < revision) return false;
        }
        return all_see(target, domains, true);
    });
    target.run(std::max(duration{}, failure_time - std::chrono::duration_cast<duration>(
                                                       std::chrono::duration<double>(result.return_known))));
    const double member_seconds = seconds * static_cast<double>(target.hosts());
    result.return_calls = static_cast<double>(target.store_calls() - calls) / seconds;
    result.return_bytes = static_cast<double>(bytes_of_running(target) - bytes) / member_seconds;
    result.return_tick = microseconds_per_second * (times.tick - tick_before) / member_seconds;
}

// Breaks off the platform for outage_time, then submits a change to the first member until it is accepted.
void lose_platform(fakes::cluster& target, revision_number revision, cluster_figures& result) {
    const auto calls = target.store_calls();
    target.set_store_outage(true);
    target.run(outage_time);
    result.outage_calls =
        static_cast<double>(target.store_calls() - calls) / std::chrono::duration<double>(outage_time).count();
    target.set_store_outage(false);
    const steady_time end = target.now();
    CHECK(target.change_now(0, some_change(changes_per_point)).status == change_status::accepted);
    run_until(target, [&] {
        for (std::size_t i = 0; i < target.hosts(); ++i) {
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
    target.set_factory([&](const node_settings& what, const tamarack::clock& time, std::uint64_t seed) {
        return std::make_unique<timed_balancer>(what, time, seed, times);
    });
    const head start = head_of(servers);
    target.put(head_key("default"), encode(start));
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
    while (!all_hold() && result.start_up < 1'200) {
        target.run(1s);
        ++result.start_up;
    }
    CHECK(all_hold()) << "no common configuration after " << result.start_up << " s";
    target.run(settle_time);

    const double member_seconds = static_cast<double>(members) * std::chrono::duration<double>(quiet_time).count();
    const auto   sent_before = bytes_of_running(target);
    const auto   calls_before = target.store_calls();
    times = {};
    target.run(quiet_time);
    result.bytes_per_second = static_cast<double>(bytes_of_running(target) - sent_before) / member_seconds;
    result.tick = microseconds_per_second * times.tick / member_seconds;
    result.receive = microseconds_per_second * times.receive / member_seconds;
    result.calls_per_second =
        static_cast<double>(target.store_calls() - calls_before) / std::chrono::duration<double>(quiet_time).count();
    result.memory = (allocated_bytes() - memory_before) / static_cast<double>(members);

    const auto writes_before = target.store_writes();
    const auto calls_at_changes = target.store_calls();
    for (int i = 0; i < changes_per_point; ++i) {
        target.submit(static_cast<std::size_t>(i) % members, some_change(i));
        target.run(change_spacing);
        const auto   time = target.convergence();
        const double seconds = std::chrono::duration<double>(time.value_or(change_spacing)).count();
        result.slowest_change = std::max(result.slowest_change, seconds);
    }
    const double change_time = changes_per_point * std::chrono::duration<double>(change_spacing).count();
    result.calls_per_change =
        (static_cast<double>(target.store_calls() - calls_at_changes) - result.calls_per_second * change_time) /
        changes_per_point;
    result.writes_per_change = static_cast<double>(target.store_writes() - writes_before) / changes_per_point;
    CHECK_EQ(target.results().size(), static_cast<std::size_t>(changes_per_point));
    for (const auto& item : target.results())
        CHECK(item.status == change_status::accepted) << to_string(item.status);
    result.largest_window =
        static_cast<double>(target.largest_control_window()) / std::chrono::duration<double>(control_window).count();
    lose_domain(target, domains, start.revision() + changes_per_point, times, result);
    lose_platform(target, start.revision() + changes_per_point, result);
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
    print("control_tick_time", "us/s", &cluster_figures::tick);
    print("control_receive_time", "us/s", &cluster_figures::receive);
    print("memory_per_member", "byte", &cluster_figures::memory);
    print("platform_calls", "call/s", &cluster_figures::calls_per_second);
    print("platform_calls_per_change", "call", &cluster_figures::calls_per_change);
    print("platform_writes_per_change", "call", &cluster_figures::writes_per_change);
    print("slowest_change", "s", &cluster_figures::slowest_change);
    print("start_up", "s", &cluster_figures::start_up);
    print("death_known", "s", &cluster_figures::death_known);
    print("loss_platform_calls", "call/s", &cluster_figures::loss_calls);
    print("loss_control_bytes_per_second", "byte/s", &cluster_figures::loss_bytes);
    print("return_known", "s", &cluster_figures::return_known);
    print("return_platform_calls", "call/s", &cluster_figures::return_calls);
    print("return_control_bytes_per_second", "byte/s", &cluster_figures::return_bytes);
    print("return_control_tick_time", "us/s", &cluster_figures::return_tick);
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
    if (wanted("flow_memory")) measure_flow_memory();
    if (wanted("packets")) measure_packets();
    if (wanted("publication")) measure_publication();
    if (wanted("configuration")) measure_configuration();
    if (wanted("members")) measure_members();
    if (wanted("domains")) measure_domains();
    if (wanted("servers")) measure_servers();
    return 0;
}
