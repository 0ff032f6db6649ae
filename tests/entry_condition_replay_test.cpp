// Replays load on the balancers and backend servers of a failure domain in virtual time, with backend servers that
// become dark, slow or hang. Guards against load patterns in which single balancers see too little.
#define BOOST_TEST_MODULE entry_condition_replay
#include "entry_fixture.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <queue>

using namespace tamarack;
using namespace tamarack::entry;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t              host_count = 20;
constexpr std::size_t              backend_count = 30;
constexpr duration                 usual_work = 30ms;
const std::array<std::uint64_t, 3> seeds = {1, 2, 3};
constexpr double                   usual_load = 16.0; // flows per second and host

struct fake_backend {
    double                     slowness = 1.0;
    bool                       is_dark = false;
    bool                       hangs = false; // accepts flows and answers no request
    std::array<steady_time, 2> slots_free{};
    std::vector<steady_time>   ends; // of the requests that it has accepted
    std::size_t                placed = 0;
    std::size_t                rejected = 0;
};

class replay {
public:
    explicit replay(std::uint64_t seed, double load = usual_load) : random_(seed), load_(load) {
        std::vector<record> records = {configuration_record(1, 1)};
        for (std::uint64_t identity = 1; identity <= backend_count; ++identity) {
            records.push_back(backend_record(1 + identity, registration_of(identity)));
            index_of_[reference_of(identity)] = identity - 1;
        }
        store_replica.note_store_available(now);
        store_replica.apply_listing(records, at_revision(1 + backend_count), now);
        for (std::size_t host = 0; host < host_count; ++host) {
            hosts.push_back(std::make_unique<steering>(steering_settings{.failure_domain = "north"}, store_replica,
                                                       seed * 1'000 + host));
            at(random_time(1s / load_), [this, host] { begin_flows(host); });
        }
        at(100ms, [this] { tick(); });
    }

    void run(duration time) {
        const steady_time end = now + time;
        while (!events_.empty() && events_.top().due <= end) {
            const event next = events_.top();
            events_.pop();
            now = next.due;
            next.action();
        }
        now = end;
    }
    // Flows that were placed on the first backend servers, as a share of all, during the next time.
    double share_of_first(std::size_t count, duration time) {
        for (fake_backend& backend : backends)
            backend.placed = 0;
        run(time);
        std::size_t first = 0;
        std::size_t all = 0;
        for (std::size_t i = 0; i < backend_count; ++i) {
            all += backends[i].placed;
            first += i < count ? backends[i].placed : 0;
        }
        return static_cast<double>(first) / static_cast<double>(all);
    }
    template <class Change>
    void for_first(std::size_t count, Change change) {
        std::ranges::for_each(backends.begin(), backends.begin() + static_cast<std::ptrdiff_t>(count), change);
    }
    // Backend servers that the hosts other than the first avoid, in total.
    std::size_t avoided_by_hosts_after_first() const {
        std::size_t sum = 0;
        for (std::size_t host = 1; host < host_count; ++host) {
            for (const auto& [reference, index] : index_of_)
                sum += hosts[host]->conditions().is_avoided(reference, now) ? 1U : 0U;
        }
        return sum;
    }
    // Per host.
    double mean_outliers() const {
        std::size_t sum = 0;
        for (const auto& host : hosts)
            sum += host->conditions().outlier_count();
        return static_cast<double>(sum) / host_count;
    }
    std::size_t rejected() const {
        std::size_t sum = 0;
        for (const fake_backend& backend : backends)
            sum += backend.rejected;
        return sum;
    }

    steady_time                              now{1h};
    replica                                  store_replica;
    std::vector<std::unique_ptr<steering>>   hosts;
    std::array<fake_backend, backend_count>  backends;
    std::array<double, host_count>           loss{}; // of the packets that a host forwards
    std::map<backend_condition, std::size_t> report_counts;
    std::size_t                              resets = 0;

private:
    struct event {
        steady_time           due;
        std::uint64_t         number;
        std::function<void()> action;
        bool operator<(const event& other) const { return std::pair(due, number) > std::pair(other.due, other.number); }
    };

    void at(duration delay, std::function<void()> action) {
        events_.push({now + delay, ++event_count_, std::move(action)});
    }
    double   random() { return std::uniform_real_distribution<double>()(random_); }
    duration random_time(std::chrono::duration<double> mean) {
        return std::chrono::duration_cast<duration>(-std::log(1.0 - random()) * mean);
    }

    void tick() {
        store_replica.note_store_available(now);
        for (std::size_t host = 0; host < host_count; ++host) {
            hosts[host]->expire(now);
            for (const condition_report& report : hosts[host]->conditions().take_reports(now)) {
                ++report_counts[report.condition];
                at(30ms, [this, host, report] { deliver(host, report); });
            }
        }
        at(100ms, [this] { tick(); });
    }
    void deliver(std::size_t sender, condition_report report) {
        report.age += 30ms;
        for (std::size_t host = 0; host < host_count; ++host) {
            if (host != sender) hosts[host]->conditions().accept(report, now);
        }
    }

    void begin_flows(std::size_t host) {
        send_syn(host, ++last_port_, 0);
        at(random_time(1s / load_), [this, host] { begin_flows(host); });
    }
    segment of_flow(segment packet, std::uint32_t flow) {
        packet.source.address = ip_address::v4(0x64000000U + flow / 50'000);
        packet.source.port = static_cast<std::uint16_t>(1 + flow % 50'000);
        return packet;
    }
    // Callers repeat a SYN after 200 ms and after 600 ms.
    void send_syn(std::size_t host, std::uint32_t flow, std::uint32_t copy) {
        const auto decision = hosts[host]->decide(of_flow(syn_packet(1, copy), flow), now);
        if (decision.action != packet_action::deliver) return;
        const std::size_t index = index_of_.at(decision.backend->reference);
        if (copy == 0) ++backends[index].placed;
        if (!backends[index].is_dark && random() >= loss[host]) {
            at(8ms, [this, host, flow, index] { send_request(host, flow, index, 0); });
        } else if (copy < 2) {
            at(copy == 0 ? 200ms : 400ms, [this, host, flow, copy] { send_syn(host, flow, copy + 1); });
        }
    }
    // Callers retransmit data after 200 ms and after 400 ms and 800 ms more.
    void send_request(std::size_t host, std::uint32_t flow, std::size_t index, unsigned copy) {
        const backend_reference reference = reference_of(index + 1);
        const auto decision = hosts[host]->decide(of_flow(later_packet(1, reference, 5'000, 100), flow), now);
        if (decision.action == packet_action::reset) ++resets;
        if (decision.action != packet_action::deliver) return;
        const bool arrives = !backends[index].is_dark && random() >= loss[host];
        if (arrives && !backends[index].hangs) return serve(host, flow, index);
        if (copy < 3) {
            at(200ms * (1U << copy), [this, host, flow, index, copy] { send_request(host, flow, index, copy + 1); });
        } else {
            finish(host, flow, index, 5'000);
        }
    }
    void serve(std::size_t host, std::uint32_t flow, std::size_t index) {
        fake_backend& backend = backends[index];
        std::erase_if(backend.ends, [this](steady_time end) { return end <= now; });
        if (backend.ends.size() >= 10) { // 2 slots and 8 requests in the queue
            ++backend.rejected;
            return;
        }
        steady_time& slot = *std::ranges::min_element(backend.slots_free);
        const double work = std::pow(3.0, 2.0 * random() - 1.0) * (random() < 0.03 ? 7.0 : 1.0) * backend.slowness;
        slot = std::max(slot, now) + std::chrono::duration_cast<duration>(usual_work * work);
        backend.ends.push_back(slot);
        at(slot - now + 2ms, [this, host, flow, index] { finish(host, flow, index, 5'100); });
    }
    void finish(std::size_t host, std::uint32_t flow, std::size_t index, std::uint32_t acknowledged) {
        segment packet = of_flow(later_packet(1, reference_of(index + 1), acknowledged), flow);
        packet.sequence += 100;
        packet.fin = true;
        hosts[host]->decide(packet, now);
    }

    std::mt19937_64                          random_;
    double                                   load_;
    std::priority_queue<event>               events_;
    std::uint64_t                            event_count_ = 0;
    std::uint32_t                            last_port_ = 0;
    std::map<backend_reference, std::size_t> index_of_;
};

} // namespace

BOOST_AUTO_TEST_CASE(healthy_backend_servers_stay_in_use) {
    for (const std::uint64_t seed : seeds) {
        replay load(seed);
        for (int i = 0; i < 20; ++i) {
            load.run(3s);
            BOOST_TEST(load.mean_outliers() <= 2.0); // of 30
        }
        BOOST_TEST(load.report_counts[backend_condition::unresponsive] == 0U);
    }
}

// With its own observations alone, each host sends every dark backend server a flow every other second.
BOOST_AUTO_TEST_CASE(a_dark_quarter_of_a_service_gets_few_flows_and_returns_without_a_flood) {
    for (const std::uint64_t seed : seeds) {
        replay load(seed);
        load.run(10s);
        load.for_first(7, [](fake_backend& backend) { backend.is_dark = true; });
        load.run(500ms);
        const double dark_share = load.share_of_first(7, 4'500ms);
        load.for_first(7, [](fake_backend& backend) { backend.is_dark = false; });
        load.run(5s);
        const double returned_share = load.share_of_first(7, 5s);
        BOOST_TEST_MESSAGE("seed " << seed << ": dark " << dark_share << ", returned " << returned_share);
        BOOST_TEST(dark_share <= 0.05);
        BOOST_TEST(returned_share >= 0.18); // 7 of 30 are 0.23
        BOOST_TEST(load.rejected() == 0U);
    }
}

BOOST_AUTO_TEST_CASE(slow_backend_servers_get_fewer_flows_within_two_seconds) {
    for (const std::uint64_t seed : seeds) {
        replay load(seed, 2 * usual_load);
        load.run(10s);
        load.for_first(12, [](fake_backend& backend) { backend.slowness = 4; });
        load.run(2s);
        const double early_share = load.share_of_first(12, 5s);
        load.run(10s);
        const double late_share = load.share_of_first(12, 20s);
        load.for_first(12, [](fake_backend& backend) { backend.slowness = 1; });
        load.run(15s);
        const double returned_share = load.share_of_first(12, 10s);
        BOOST_TEST_MESSAGE("seed " << seed << ": early " << early_share << ", late " << late_share << ", returned "
                                   << returned_share << "; reports: " << load.report_counts[backend_condition::slow]
                                   << " slow, " << load.report_counts[backend_condition::well] << " well");
        BOOST_TEST(early_share <= 0.1);
        BOOST_TEST(late_share <= 0.18); // 40% of the backend servers have 14% of the capacity
        BOOST_TEST(returned_share >= 0.3);
    }
}

BOOST_AUTO_TEST_CASE(a_hanging_backend_server_gets_few_flows) {
    for (const std::uint64_t seed : seeds) {
        replay load(seed);
        load.run(10s);
        load.for_first(1, [](fake_backend& backend) { backend.hangs = true; });
        load.run(2s);
        const double hanging_share = load.share_of_first(1, 14s) * backend_count;
        load.for_first(1, [](fake_backend& backend) { backend.hangs = false; });
        load.run(15s);
        const double returned_share = load.share_of_first(1, 10s) * backend_count;
        BOOST_TEST_MESSAGE("seed " << seed << ": hanging " << hanging_share << ", returned " << returned_share);
        BOOST_TEST(hanging_share <= 0.25); // 1: as many as the others
        BOOST_TEST(returned_share >= 0.6);
    }
}

// Four times the response time needs 46% of the slots at half the usual load, and 92% at the usual load. Queues of
// different lengths must not look like outliers, whose capacity would be missing.
BOOST_AUTO_TEST_CASE(a_slowness_of_all_takes_out_nobody) {
    for (const std::uint64_t seed : seeds) {
        for (const double load_factor : {0.5, 1.0}) {
            replay load(seed, load_factor * usual_load);
            load.run(10s);
            load.for_first(backend_count, [](fake_backend& backend) { backend.slowness = 4; });
            double most_outliers = 0;
            for (int i = 0; i < 20; ++i) {
                load.run(1s);
                most_outliers = std::max(most_outliers, load.mean_outliers());
            }
            BOOST_TEST_MESSAGE("seed " << seed << ", load " << load_factor << ": at most " << most_outliers
                                       << " outliers, then " << load.mean_outliers());
            BOOST_TEST(most_outliers <= 2.0);
            BOOST_TEST(load.mean_outliers() <= 1.0);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_host_with_a_faulty_link_takes_no_servers_from_others) {
    for (const std::uint64_t seed : seeds) {
        for (const double loss : {0.1, 0.3, 1.0}) {
            replay load(seed);
            load.run(10s);
            load.loss[0] = loss;
            load.report_counts.clear();
            std::size_t avoided = 0;
            for (int i = 0; i < 100; ++i) {
                load.run(100ms);
                avoided += load.avoided_by_hosts_after_first();
            }
            const double mean_avoided = static_cast<double>(avoided) / (100 * (host_count - 1));
            BOOST_TEST_MESSAGE("seed " << seed << ", loss " << loss << ": " << mean_avoided << " avoided, "
                                       << load.report_counts[backend_condition::unresponsive] << " reports");
            BOOST_TEST(load.resets == 0U);
            BOOST_TEST(mean_avoided <= 1.5); // of 30
            if (loss == 1.0) BOOST_TEST(load.report_counts[backend_condition::unresponsive] == 0U);
        }
    }
}
