// The warm-up limit over many balancers in virtual time. Guards against balancers that together exceed the limit while
// feeders change, records arrive late or hosts are cut off, and against backend servers that stay excluded for too
// long.
#define BOOST_TEST_MODULE entry_warmup_limit
#include "entry_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace tamarack::entry;
using namespace std::chrono_literals;

namespace {

constexpr duration             step = 10ms;
constexpr int                  limit = 12;      // of policy_with: 5 x 1.5 + 5, rounded down
constexpr int                  owner_limit = 6; // the owner's half
constexpr duration             warmup_time = 10s;
const std::vector<std::string> domains = {"north", "south", "east", "west"};

record configuration_with(double warmup_requests_per_second) {
    auto table = std::make_shared<routing_table>();
    table->version = 1;
    table->routes = {{"desk", service_address, {{"desk", 1}}, request_kind::idempotent}};
    table->services = {{"desk", warmup_time, warmup_requests_per_second}};
    return {"configuration", {}, std::shared_ptr<const routing_table>(table), "raw"};
}

record backend_in(std::uint64_t identity, const std::string& domain, duration warmup_remaining) {
    backend_registration registration = registration_of(identity, domain);
    registration.warmup_remaining = warmup_remaining;
    return backend_record(0, registration);
}

record feeder_of(const std::string& domain, const std::string& name) {
    return {"feeder/" + domain, {}, feeder_registration{name, domain, 0, service_address, {}}, "raw " + name};
}

struct host {
    host(const std::string& name, const std::string& domain, std::uint64_t seed)
        : decisions({.failure_domain = domain, .warmup = {.balancer = name, .overrun = 1.5, .slack = 5.0}}, records,
                    seed) {}

    replica     records;
    steering    decisions;
    std::size_t read_count = 0; // records of the store
    duration    delay = step;   // of all that it reads
    bool        is_cut_off = false;
};

// Balancers that read the records of one store at different delays, and whose callers open flows evenly.
struct fleet_fixture {
    struct written_record {
        record      value;
        steady_time written_at;
    };

    steady_time                                       now = steady_time{} + 1h;
    std::vector<written_record>                       store;
    std::vector<std::unique_ptr<host>>                hosts;
    std::map<std::uint64_t, std::vector<steady_time>> syns; // delivered, by identity of the backend server
    int                                               refused = 0;
    std::uint16_t                                     next_port = 1;
    random_source                                     random{20261204};

    void write(record item) {
        item.revision = at_revision(store.size() + 1);
        store.push_back({std::move(item), now});
    }
    host& add_host(const std::string& name, const std::string& domain) {
        return *hosts.emplace_back(std::make_unique<host>(name, domain, random()));
    }
    // Hosts are named by their failure domain and their number there; the first one is the feeder.
    void add_hosts(int hosts_per_domain) {
        for (const std::string& domain : domains) {
            for (int number = 0; number < hosts_per_domain; ++number)
                add_host(domain + std::to_string(number), domain);
            write(feeder_of(domain, domain + "0"));
        }
    }
    void read_store(host& reader) const {
        std::vector<record> changes;
        while (reader.read_count < store.size() && store[reader.read_count].written_at + reader.delay <= now)
            changes.push_back(store[reader.read_count++].value);
        reader.records.note_store_available(now, reader.delay);
        if (!reader.records.is_complete()) reader.records.apply_listing(changes, at_revision(changes.size()), now);
        for (const record& change : changes)
            reader.records.apply(change, now);
    }
    // A flow that ends at once, so that backend servers look idle and well.
    steering_decision open_flow(host& entered) {
        const std::uint16_t port = next_port++;
        const auto          decision = entered.decisions.decide(syn_packet(port), now);
        if (decision.backend == nullptr) {
            ++refused;
            return decision;
        }
        syns[decision.backend->registration.identity].push_back(now);
        segment last = later_packet(port, decision.backend->reference, 5'000);
        last.fin = true;
        entered.decisions.decide(last, now);
        return decision;
    }
    void run_for(duration time, int flows_per_step = 1) {
        for (const steady_time end = now + time; now < end; now += step) {
            for (const auto& running : hosts) {
                if (!running->is_cut_off) read_store(*running);
                running->records.expire(now);
                running->decisions.expire(now);
                for (int flow = 0; flow < flows_per_step; ++flow)
                    open_flow(*running);
            }
        }
    }
    // The most SYNs that the backend server got in a sliding second.
    std::ptrdiff_t busiest_second(std::uint64_t identity) const {
        const auto found = syns.find(identity);
        if (found == syns.end()) return 0;
        std::ptrdiff_t most = 0;
        for (auto first = found->second.begin(); first != found->second.end(); ++first)
            most = std::max(most, std::upper_bound(first, found->second.end(), *first + 1s) - first);
        return most;
    }
    duration random_delay(duration most) {
        return duration(std::uniform_int_distribution<duration::rep>(0, most.count())(random));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(warmup, fleet_fixture)

// Guards against owners that overlap: feeders are replaced, some of them several times within a second, while records
// arrive up to three seconds late and hosts lose the store and find it again.
BOOST_AUTO_TEST_CASE(balancers_together_keep_the_limit_while_feeders_change) {
    add_hosts(6);
    write(configuration_with(5.0));
    for (std::uint64_t identity = 1; identity <= 8; ++identity)
        write(backend_in(identity, domains[identity % 4], identity <= 4 ? 10min : 0s));
    run_for(6s);
    for (int change = 0; change < 60; ++change) {
        const std::string& domain = domains[random() % 4];
        if (random() % 4 == 0) write({"feeder/" + domain, {}, removed_record{}, {}});
        write(feeder_of(domain, domain + std::to_string(random() % 2)));
        for (const auto& changing : hosts) {
            if (random() % 3 == 0) changing->delay = random_delay(3s);
            if (random() % 8 == 0) changing->is_cut_off = !changing->is_cut_off;
        }
        run_for(change % 4 == 3 ? duration(5s) : random_delay(900ms));
    }
    for (std::uint64_t identity = 1; identity <= 4; ++identity) {
        BOOST_TEST(busiest_second(identity) <= owner_limit);
        BOOST_TEST(syns[identity].size() > 60U); // the limit is not kept by placing nothing
    }
}

BOOST_AUTO_TEST_CASE(only_the_feeder_of_the_failure_domain_uses_a_warming_backend_server) {
    add_hosts(4);
    write(configuration_with(5.0));
    write(backend_in(1, "north", 10s));
    for (std::uint64_t identity = 2; identity <= 5; ++identity)
        write(backend_in(identity, domains[identity - 2], 0s));
    run_for(2 * step, 0);
    run_for(9s);
    BOOST_TEST(busiest_second(1) == owner_limit);
    BOOST_TEST(hosts.front()->decisions.warmup().placed_count() == syns[1].size());
    BOOST_TEST(refused == 0);
}

// Guards against servers that lie idle after their warm-up: all balancers use them within a second.
BOOST_AUTO_TEST_CASE(every_balancer_uses_the_backend_server_after_its_warmup) {
    add_hosts(2);
    write(configuration_with(5.0));
    write(backend_in(1, "north", 10s));
    for (const auto& reader : hosts)
        reader->delay = random_delay(900ms);
    run_for(11s);
    for (const auto& reader : hosts)
        BOOST_TEST((open_flow(*reader).action == packet_action::deliver));
}

// Guards against a flood from hosts that were away when the backend server started.
BOOST_AUTO_TEST_CASE(a_balancer_that_starts_or_is_cut_off_places_nothing_on_a_warming_backend_server) {
    add_hosts(1);
    write(configuration_with(5.0));
    write(backend_in(1, "north", 30s));
    run_for(8s);
    host& owner = *hosts.front();
    BOOST_TEST(!syns[1].empty());
    hosts.erase(hosts.begin() + 1, hosts.end());
    owner.is_cut_off = true;
    run_for(max_confirmation_age + step);
    syns.clear();
    host& restarted = add_host("north0", "north"); // a new process of the same balancer
    restarted.is_cut_off = false;
    run_for(4s);
    BOOST_TEST(syns[1].empty());
    BOOST_TEST(restarted.decisions.warmup().limited_count(now) == 1U);
}

BOOST_AUTO_TEST_CASE(a_service_without_a_limit_is_used_by_every_balancer_at_once) {
    add_hosts(2);
    write(configuration_with(0.0));
    write(backend_in(1, "north", 10s));
    run_for(1s);
    const auto placed = static_cast<int>(syns[1].size());
    BOOST_TEST(placed + refused == 800);
    BOOST_TEST(refused <= 8); // before the records have arrived
}

// The backend servers' caches may be cold after an evacuation, whatever their registrations say.
BOOST_AUTO_TEST_CASE(the_limit_holds_after_an_evacuation_and_its_end_is_not_forgotten) {
    add_hosts(4);
    write(configuration_with(5.0));
    write(backend_in(1, "north", 0s));
    write(backend_in(2, "south", 0s));
    write({"evacuation", {}, evacuation{"north"}, "{}"});
    run_for(8s);
    BOOST_TEST(syns[1].empty());
    write({"evacuation", {}, removed_record{}, {}});
    run_for(2s);
    write(backend_in(1, "north", 0s)); // registers again for another reason
    run_for(warmup_time - 2s);
    BOOST_TEST(busiest_second(1) == owner_limit);
    run_for(1s);
    BOOST_TEST(busiest_second(1) > limit);
}

// The retransmission of a SYN is no new flow. It goes to the same backend server although the limit is reached.
BOOST_AUTO_TEST_CASE(a_retransmitted_syn_is_not_counted_again) {
    add_hosts(1);
    write(configuration_with(5.0));
    write(backend_in(1, "north", 30s));
    run_for(6s, 0);
    host& owner = *hosts.front();
    for (std::uint16_t port = 1; port <= owner_limit; ++port) {
        BOOST_TEST((owner.decisions.decide(syn_packet(port), now).reason == decision_reason::placed));
        BOOST_TEST((owner.decisions.decide(syn_packet(port, 1), now).reason == decision_reason::placed_again));
    }
    BOOST_TEST(owner.decisions.warmup().placed_count() == static_cast<unsigned>(owner_limit));
    BOOST_TEST((owner.decisions.decide(syn_packet(99), now).reason == decision_reason::no_backend));
    BOOST_TEST((owner.decisions.decide(syn_packet(1, 2), now).reason == decision_reason::placed_again));
}

BOOST_AUTO_TEST_SUITE_END()
