// How condition reports spread over a fleet of balancers, in virtual time and with the datagrams of the real format.
// Guards against hosts that do not learn of a failure in time, against reports that circulate or outlive their
// validity, and against traffic that grows with the number of failures.
#define BOOST_TEST_MODULE entry_condition_reports
#include "entry_fixture.h"
#include "platform/report_format.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

using namespace tamarack;
using namespace tamarack::entry;
using namespace std::chrono_literals;

namespace {

struct mesh_options {
    unsigned failure_domains = 4;
    unsigned hosts_per_domain = 20;
    unsigned fan_out = 8;
    double   loss = 0.0;
    double   duplicates = 0.0;
    duration max_delay = 5ms; // of a datagram
};

struct mesh_host {
    tree_position                            position;
    replica                                  records;
    std::optional<condition_reports>         reports;
    bool                                     is_paused = false;
    std::map<backend_reference, steady_time> first_accepted;
    std::size_t                              accepted = 0;
    std::map<std::int64_t, std::size_t>      bytes_sent; // by second
    std::map<std::int64_t, std::size_t>      bytes_received;
};

class mesh {
public:
    explicit mesh(const mesh_options& options = {}) : options_(options) {
        for (unsigned domain = 0; domain < options.failure_domains; ++domain) {
            for (unsigned i = 0; i < options.hosts_per_domain; ++i)
                add_host(domain, i);
            build_tree(domain, 0);
        }
        confirm();
    }

    mesh_host& host(unsigned domain, unsigned index) { return *hosts_.at(domain * options_.hosts_per_domain + index); }
    std::vector<std::unique_ptr<mesh_host>>& hosts() { return hosts_; }
    steady_time                              now() const { return now_; }
    std::size_t                              datagrams() const { return datagrams_; }
    std::size_t                              unauthenticated() const { return unauthenticated_; }

    // Makes the host the feeder of its failure domain; the hosts below it form a new tree. Those before it are down.
    void build_tree(unsigned domain, unsigned feeder) {
        ++revision_;
        mesh_host& root = host(domain, feeder);
        root.position.own_key = random_feed_key();
        feeders_[domain] = {"feeder/" + root.position.failure_domain, at_revision(revision_),
                            feeder_registration{.name = "balancer",
                                                .failure_domain = root.position.failure_domain,
                                                .address = root.position.address,
                                                .key = root.position.own_key},
                            "raw"};
        for (unsigned i = feeder; i < options_.hosts_per_domain; ++i) {
            host(domain, i).position.is_feeder = i == feeder;
            host(domain, i).position.followers.clear();
            host(domain, i).position.source = {};
            if (i == feeder) continue;
            mesh_host& parent = host(domain, feeder + (i - feeder - 1) / options_.fan_out);
            host(domain, i).position.source = {source_kind::feeder, parent.position.address, root.position.own_key};
            parent.position.followers.push_back(host(domain, i).position.address);
        }
    }
    // All hosts that run read the store.
    void confirm() {
        std::vector<record> listing;
        for (const auto& [domain, feeder] : feeders_)
            listing.push_back(feeder);
        for (const auto& host : hosts_) {
            if (host->is_paused) continue;
            host->records.note_store_available(now_);
            host->records.apply_listing(listing, at_revision(revision_), now_);
        }
    }
    void observe(mesh_host& host, backend_reference reference,
                 backend_condition condition = backend_condition::unresponsive, duration validity = 10s) {
        const condition_report report{.reference = reference, .condition = condition, .validity = validity};
        host.first_accepted.try_emplace(reference, now_);
        host.reports->add_own(std::span(&report, 1), now_);
    }
    void run_for(duration time) {
        for (const steady_time end = now_ + time; now_ < end; now_ += 1ms) {
            for (; !in_transit_.empty() && in_transit_.begin()->first <= now_; in_transit_.erase(in_transit_.begin()))
                deliver(in_transit_.begin()->second);
            for (const auto& host : hosts_)
                send_due(*host);
        }
    }
    void run_confirmed_for(duration time) {
        for (; time > 0s; time -= 1s) {
            run_for(std::min<duration>(time, 1s));
            confirm();
        }
    }
    std::size_t count_knowing(backend_reference reference, duration since_start, unsigned domain) {
        std::size_t count = 0;
        for (unsigned i = 0; i < options_.hosts_per_domain; ++i) {
            const auto& known = host(domain, i).first_accepted;
            const auto  entry = known.find(reference);
            count += entry != known.end() && entry->second - start_ <= since_start ? 1 : 0;
        }
        return count;
    }

private:
    struct datagram {
        endpoint               source;
        endpoint               destination;
        std::vector<std::byte> bytes;
    };

    void add_host(unsigned domain, unsigned index) {
        auto host = std::make_unique<mesh_host>();
        host->position.address = {ip_address::v4(0x0a000001U + (domain << 16U) + index), 7720};
        host->position.failure_domain = "domain-" + std::to_string(domain);
        host->position.own_key = random_feed_key();
        host->reports.emplace(
            report_settings{.origin = static_cast<std::uint32_t>(random_()), .sizes = platform::report_datagram_sizes},
            host->records, now_);
        by_address_[host->position.address] = host.get();
        hosts_.push_back(std::move(host));
    }
    double      chance() { return std::uniform_real_distribution<double>()(random_); }
    steady_time arrival() {
        return now_ +
               std::chrono::microseconds(std::uniform_int_distribution<std::int64_t>(
                   100, std::chrono::duration_cast<std::chrono::microseconds>(options_.max_delay).count())(random_));
    }
    std::int64_t second() const { return (now_ - start_) / 1s; }
    void         send_due(mesh_host& host) {
                if (host.is_paused) return;
        for (const outgoing_reports& item : host.reports->take_due(host.position, now_)) {
                    const datagram sent{host.position.address, item.neighbor.address,
                                platform::encode_reports(item.reports, item.neighbor.key)};
                    ++datagrams_;
                    host.bytes_sent[second()] += sent.bytes.size() + platform::ip_and_udp_header_size;
                    if (chance() >= options_.loss) in_transit_.emplace(arrival(), sent);
            if (chance() < options_.duplicates) in_transit_.emplace(arrival(), sent);
        }
    }
    void deliver(const datagram& received) {
        mesh_host& host = *by_address_.at(received.destination);
        if (host.is_paused) return;
        host.bytes_received[second()] += received.bytes.size() + platform::ip_and_udp_header_size;
        std::vector<feed_key> keys{host.position.own_key};
        for (const auto& [domain_and_slot, feeder] : host.records.feeders())
            keys.push_back(feeder.registration.key);
        const auto decoded = platform::decode_reports(received.bytes, keys);
        if (!decoded) {
            ++unauthenticated_;
            return;
        }
        for (const condition_report& report : host.reports->receive(decoded.value(), received.source, now_)) {
            ++host.accepted;
            host.first_accepted.try_emplace(report.reference, now_);
        }
    }

    mesh_options                            options_;
    random_source                           random_{20261204};
    steady_time                             now_{std::chrono::hours(1)};
    steady_time                             start_ = now_;
    std::uint64_t                           revision_ = 0;
    std::map<unsigned, record>              feeders_; // by failure domain
    std::vector<std::unique_ptr<mesh_host>> hosts_;
    std::map<endpoint, mesh_host*>          by_address_;
    std::multimap<steady_time, datagram>    in_transit_; // by arrival
    std::size_t                             datagrams_ = 0;
    std::size_t                             unauthenticated_ = 0;
};

std::size_t most_in_a_second(const std::map<std::int64_t, std::size_t>& bytes) {
    std::size_t most = 0;
    for (const auto& [second, count] : bytes)
        most = std::max(most, count);
    return most;
}

} // namespace

BOOST_AUTO_TEST_CASE(reaches_all_hosts_in_a_fraction_of_a_second) {
    mesh balancers;
    balancers.observe(balancers.host(0, 19), 5);
    balancers.run_for(1s);
    BOOST_TEST(balancers.count_knowing(5, 150ms, 0) == 20U);
    for (unsigned domain = 1; domain < 4; ++domain)
        BOOST_TEST(balancers.count_knowing(5, 250ms, domain) == 20U);
    for (const auto& host : balancers.hosts()) {
        BOOST_TEST(host->accepted <= 1U);
        BOOST_TEST(most_in_a_second(host->bytes_sent) <= 12U * 63U);
    }
    BOOST_TEST(balancers.unauthenticated() == 0U);
    BOOST_TEST_MESSAGE("datagrams for one report: " << balancers.datagrams());
}

// The same failure is observed by several hosts, as is usual: a datagram that is lost must not leave a subtree behind.
BOOST_AUTO_TEST_CASE(bears_loss_duplicates_and_delays) {
    mesh               balancers({.loss = 0.05, .duplicates = 0.05, .max_delay = 40ms});
    constexpr unsigned servers = 20;
    for (unsigned server = 1; server <= servers; ++server) {
        for (unsigned observer = 0; observer < 3; ++observer) {
            balancers.observe(balancers.host(0, (server * 7 + observer * 5) % 20), server);
            balancers.run_for(50ms);
        }
        balancers.run_confirmed_for(1s);
    }
    std::size_t known = 0;
    for (unsigned server = 1; server <= servers; ++server)
        known += balancers.count_knowing(server, 1h, 0);
    BOOST_TEST_MESSAGE("known at " << known << " of " << servers * 20 << " pairs of server and host");
    BOOST_TEST(known >= servers * 20U * 97 / 100);
}

// Balancers that have lost their feeder may read from each other for a while.
BOOST_AUTO_TEST_CASE(does_not_circulate_between_mutual_sources) {
    mesh       balancers({.failure_domains = 1, .hosts_per_domain = 3, .duplicates = 1.0});
    const auto read_from_each_other = [&](unsigned first, unsigned second) {
        balancers.host(0, first).position.source.address = balancers.host(0, second).position.address;
        balancers.host(0, second).position.followers = {balancers.host(0, first).position.address};
    };
    balancers.host(0, 0).is_paused = true;
    read_from_each_other(1, 2);
    read_from_each_other(2, 1);
    balancers.observe(balancers.host(0, 1), 5);
    balancers.run_confirmed_for(5s);
    BOOST_TEST(balancers.host(0, 2).accepted == 1U);
    BOOST_TEST(balancers.datagrams() == 1U);
}

BOOST_AUTO_TEST_CASE(stops_after_the_levels_of_a_tree) {
    mesh balancers({.failure_domains = 1, .hosts_per_domain = 12, .fan_out = 1});
    balancers.observe(balancers.host(0, 11), 5);
    balancers.run_for(1s);
    BOOST_TEST(balancers.count_knowing(5, 1s, 0) == 1U + max_store_distance);
}

// Hundreds of servers seem to fail at once, at every host, as when a network is cut.
BOOST_AUTO_TEST_CASE(limits_its_bytes_under_a_flood) {
    mesh balancers;
    for (unsigned second = 0; second < 10; ++second) {
        for (const auto& host : balancers.hosts()) {
            for (unsigned server = 1; server <= 300; ++server)
                balancers.observe(*host, server, second % 2 == 0 ? backend_condition::slow : backend_condition::well);
        }
        balancers.run_confirmed_for(1s);
    }
    std::size_t sent = 0;
    std::size_t received = 0;
    for (const auto& host : balancers.hosts()) {
        std::size_t total = 0;
        for (const auto& [second, count] : host->bytes_sent)
            total += count;
        BOOST_TEST(total <= 11U * 2'000U);
        sent = std::max(sent, most_in_a_second(host->bytes_sent));
        received = std::max(received, most_in_a_second(host->bytes_received));
    }
    BOOST_TEST_MESSAGE("most bytes of a host in a second: " << sent << " sent, " << received << " received");
    BOOST_TEST(sent <= 4'000U);
    BOOST_TEST(received <= 5'000U);
}

// A third of the servers fail in a host's view alone: the others learn of them, if not at once.
BOOST_AUTO_TEST_CASE(sends_the_rest_of_a_burst_later) {
    mesh balancers;
    for (unsigned server = 1; server <= 40; ++server)
        balancers.observe(balancers.host(0, 19), server);
    std::size_t known = 0;
    unsigned    seconds = 0;
    for (; seconds < 10 && known < std::size_t{40} * 20U; ++seconds) {
        balancers.run_confirmed_for(1s);
        known = 0;
        for (unsigned server = 1; server <= 40; ++server)
            known += balancers.count_knowing(server, 1h, 0);
    }
    BOOST_TEST_MESSAGE("40 reports of one host: " << known << " of 800 pairs after " << seconds << " s");
    BOOST_TEST(known == 40U * 20U);
}

BOOST_AUTO_TEST_CASE(follows_a_new_feeder) {
    mesh balancers;
    balancers.host(0, 0).is_paused = true; // ends without notice
    balancers.observe(balancers.host(0, 9), 5);
    balancers.run_for(500ms);
    BOOST_TEST(balancers.count_knowing(5, 500ms, 1) == 0U);
    balancers.build_tree(0, 1);
    balancers.confirm();
    balancers.observe(balancers.host(0, 19), 6);
    balancers.observe(balancers.host(1, 19), 7);
    balancers.run_for(500ms);
    BOOST_TEST(balancers.count_knowing(6, 1s, 0) == 19U);
    BOOST_TEST(balancers.count_knowing(6, 1s, 3) == 20U);
    BOOST_TEST(balancers.count_knowing(7, 1s, 0) == 19U);
    // Its former followers reject the datagrams of the old feeder, but learn of its report from other failure domains.
    balancers.host(0, 0).is_paused = false;
    balancers.observe(balancers.host(0, 0), 8);
    balancers.run_for(500ms);
    BOOST_TEST(balancers.unauthenticated() == 8U);
    BOOST_TEST(balancers.count_knowing(8, 2s, 0) == 20U);
}

// A host that wakes up, or is cut off from the store, must not spread what it knew.
BOOST_AUTO_TEST_CASE(counts_the_time_of_a_pause) {
    mesh       balancers({.failure_domains = 1});
    mesh_host& sleeper = balancers.host(0, 19);
    balancers.observe(sleeper, 5, backend_condition::unresponsive, 4s);
    balancers.observe(sleeper, 6, backend_condition::unresponsive, 60s);
    sleeper.is_paused = true;
    balancers.run_confirmed_for(5s);
    sleeper.is_paused = false;
    balancers.run_for(500ms);
    BOOST_TEST(balancers.datagrams() == 0U); // no confirmation yet
    balancers.confirm();
    balancers.run_for(500ms);
    BOOST_TEST(balancers.count_knowing(5, 1h, 0) == 1U);
    BOOST_TEST(balancers.count_knowing(6, 1h, 0) == 20U);
}

namespace {

struct single_fixture {
    mesh               balancers{{.failure_domains = 1, .hosts_per_domain = 1}};
    condition_reports& reports = *balancers.host(0, 0).reports;
    endpoint           sender{ip_address::v4(0x0a000009), 7720};
    forwarded_report   item{
          .report = {.reference = 5, .condition = backend_condition::slow, .age = 100ms, .validity = 5s},
          .origin = 77,
          .sequence = 9};

    std::size_t receive(const forwarded_report& report) {
        return reports.receive(std::span(&report, 1), sender, balancers.now()).size();
    }
    std::uint64_t dropped(report_drop reason) {
        return reports.counters().dropped.at(static_cast<std::size_t>(reason));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(single_balancer, single_fixture)

BOOST_AUTO_TEST_CASE(sends_nothing_without_others) {
    balancers.observe(balancers.host(0, 0), 5);
    balancers.run_for(1s);
    BOOST_TEST(balancers.datagrams() == 0U);
}

// A recorded datagram is sent again later, when its age would still look recent.
BOOST_AUTO_TEST_CASE(rejects_replayed_reports) {
    BOOST_TEST(receive(item) == 1U);
    balancers.run_confirmed_for(100s);
    BOOST_TEST(receive(item) == 0U);
    item.sequence = 2'000;
    BOOST_TEST(receive(item) == 1U);
    item.sequence = 900; // too far behind to tell
    BOOST_TEST(receive(item) == 0U);
    item.sequence = 1'999;
    BOOST_TEST(receive(item) == 1U);
    BOOST_TEST(dropped(report_drop::duplicate) == 2U);
}

BOOST_AUTO_TEST_CASE(drops_expired_reports_and_all_without_confirmation) {
    item.report.age = 5s;
    BOOST_TEST(receive(item) == 0U);
    BOOST_TEST(dropped(report_drop::expired) == 1U);
    balancers.run_for(max_confirmation_age + 1s);
    ++item.sequence;
    item.report.age = 0s;
    BOOST_TEST(receive(item) == 0U);
    BOOST_TEST(dropped(report_drop::not_current) == 1U);
}

// The later condition replaces the one that waits; an earlier one that arrives late does not.
BOOST_AUTO_TEST_CASE(keeps_the_latest_condition_of_a_server) {
    balancers.host(0, 0).position.followers = {sender};
    balancers.observe(balancers.host(0, 0), 5, backend_condition::unresponsive);
    balancers.observe(balancers.host(0, 0), 5, backend_condition::well);
    receive(item); // observed earlier
    balancers.run_for(10ms);
    const auto sent = reports.take_due(balancers.host(0, 0).position, balancers.now() + 50ms);
    BOOST_REQUIRE(sent.size() == 1U && sent.front().reports.size() == 1U);
    BOOST_TEST((sent.front().reports.front().report.condition == backend_condition::well));
    BOOST_TEST(dropped(report_drop::superseded) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
