// Replicas of one cluster in one thread: simulated time, the stand-in's store in process, and messages with a delay.
#pragma once

#include "standins/platform_store.h"
#include "tamarack/clock.h"
#include "tamarack/configuration_head.h"
#include "tamarack/configuration_replica.h"

#include <functional>
#include <random>

namespace tamarack::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr duration step = std::chrono::milliseconds(10);        // of simulated time
inline constexpr duration latency = std::chrono::milliseconds(3);      // of a message, one way; rounded up to a step
inline constexpr duration gossip_hop = std::chrono::milliseconds(250); // a member sends one digest in this time

class replica_loop {
public:
    struct host {
        member                                 who;
        std::unique_ptr<configuration_replica> replica;
        std::map<std::string, change_result>   results;           // by operation id
        std::uint64_t                          bytes = 0;         // sent in the present second
        std::uint64_t                          most_bytes = 0;    // in one second
        std::uint64_t                          most_requests = 0; // received in one second
        std::uint64_t                          requests = 0;
    };

    replica_loop(std::size_t count, std::size_t domains, std::uint64_t seed, bool use_store = true)
        : store(time), random(seed), use_store_(use_store) {
        for (std::size_t i = 0; i < count; ++i)
            add_host("domain" + std::to_string(i % domains));
        share_members();
    }

    host& add_host(const std::string& domain) {
        host added;
        added.who.id = static_cast<member_id>(hosts.size() + 1);
        added.who.failure_domain = domain;
        replica_settings settings;
        settings.self = added.who.id;
        settings.failure_domain = domain;
        settings.use_store = use_store_;
        added.replica = std::make_unique<configuration_replica>(settings, time, random());
        hosts.push_back(std::move(added));
        return hosts.back();
    }

    void share_members() {
        std::vector<member> members;
        for (const auto& item : hosts)
            members.push_back(item.who);
        for (auto& item : hosts)
            item.replica->set_members(members);
    }

    void kill(std::size_t index) {
        hosts[index].who.state = member_state::dead;
        share_members();
    }

    // Stops early when the condition holds; gives the time that has passed.
    duration run(
        duration limit, const std::function<bool()>& until = [] { return false; }) {
        const auto start = time.steady_now();
        while (time.steady_now() - start < limit && !until())
            advance();
        return time.steady_now() - start;
    }

    std::uint32_t below(std::uint32_t limit) { return static_cast<std::uint32_t>(random() % limit); }

    bool all_hold(revision_number revision) const {
        return std::all_of(hosts.begin(), hosts.end(), [&](const host& item) {
            return item.who.state == member_state::dead || item.replica->revision() >= revision;
        });
    }

    std::size_t holders(revision_number revision) const {
        return static_cast<std::size_t>(std::count_if(
            hosts.begin(), hosts.end(), [&](const host& item) { return item.replica->revision() >= revision; }));
    }

    void submit(std::size_t index, std::string operation, change what, revision_number base = 0, bool dry_run = false) {
        hosts[index].replica->submit({std::move(operation), "anna", base, dry_run, std::move(what)});
    }

    // The result of a submission, after running until there is one.
    change_result commit(std::size_t index, const std::string& operation, const change& what,
                         revision_number base = 0) {
        hosts[index].results.erase(operation);
        submit(index, operation, what, base);
        run(std::chrono::seconds(12), [&] { return hosts[index].results.contains(operation); });
        return hosts[index].results.at(operation);
    }

    manual_clock            time;
    standin::platform_store store;
    std::mt19937_64         random;
    std::vector<host>       hosts;
    bool                    watches_answer = true;
    double                  loss = 0;        // share of the messages between hosts that are lost
    std::uint32_t           late_writes = 0; // for so many writes: they arrive after their deadline

private:
    struct waiting_watch {
        std::size_t   from = 0;
        store_request request;
        steady_time   deadline{};
    };

    void advance() {
        time.advance(step);
        for (auto item = events_.begin(); item != events_.end() && item->first <= time.steady_now();) {
            item->second();
            item = events_.erase(item);
        }
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            if (hosts[i].who.state == member_state::dead) continue;
            hosts[i].replica->tick();
            carry_out(i);
        }
        check_watches();
        send_digests();
        count_second();
    }

    void later(duration delay, std::function<void()> event) {
        events_.emplace(time.steady_now() + delay, std::move(event));
    }

    void carry_out(std::size_t from) {
        auto actions = hosts[from].replica->take_actions();
        for (auto& result : actions.changes)
            hosts[from].results[result.operation_id] = std::move(result);
        for (auto& request : actions.store)
            call_store(from, std::move(request));
        for (auto& message : actions.messages)
            deliver(from, std::move(message));
    }

    void deliver(std::size_t from, replica_message message) {
        hosts[from].bytes += message.payload.size() + replica_settings{}.message_overhead;
        if (std::uniform_real_distribution<double>()(random) < loss) return;
        later(latency, [this, from, item = std::move(message)] {
            auto& receiver = hosts.at(item.to - 1);
            if (receiver.who.state == member_state::dead) return;
            ++receiver.requests;
            receiver.replica->receive(hosts[from].who.id, item.payload);
        });
    }

    void call_store(std::size_t from, store_request request) {
        const bool write = request.operation == store_operation::compare_and_swap;
        if (write && late_writes > 0) {
            --late_writes;
            later(request.deadline, [this, from, id = request.id] {
                answer_store(from, {id, store_status::unknown_outcome, {}, 0});
            });
            const duration late = request.deadline + milliseconds(500);
            return later(late, [this, item = std::move(request)] { store.handle(item); });
        }
        later(latency, [this, from, item = std::move(request)] {
            auto answer = store.handle(item);
            if (answer.is_waiting) {
                watches_.push_back({from, item, time.steady_now() + item.deadline});
            } else if (answer.is_lost) {
                later(item.deadline, [this, from, id = item.id] {
                    answer_store(from, {id, store_status::unknown_outcome, {}, 0});
                });
            } else {
                later(latency, [this, from, response = std::move(answer.response)] { answer_store(from, response); });
            }
        });
    }

    void answer_store(std::size_t to, const store_response& response) {
        if (hosts[to].who.state != member_state::dead) hosts[to].replica->store_answered(response);
    }

    void check_watches() {
        if (!watches_answer) return;
        std::erase_if(watches_, [&](const waiting_watch& item) {
            auto answer = store.recheck(item.request);
            if (answer.is_waiting && time.steady_now() < item.deadline) return false;
            later(latency, [this, from = item.from,
                            response = answer.is_waiting ? store.unchanged_response(item.request) : answer.response] {
                answer_store(from, response);
            });
            return true;
        });
    }

    // Each host once in gossip_hop, at its own time.
    void send_digests() {
        const auto hops = static_cast<std::size_t>(gossip_hop / step);
        for (std::size_t i = ++steps_ % hops; i < hosts.size(); i += hops) {
            const std::size_t to = random() % hosts.size();
            if (to == i || hosts[i].who.state == member_state::dead) continue;
            later(latency, [this, i, to, revision = hosts[i].replica->revision()] {
                hosts[to].replica->heard(hosts[i].who.id, revision);
            });
        }
    }

    void count_second() {
        if (time.steady_now() - second_ < std::chrono::seconds(1)) return;
        second_ = time.steady_now();
        for (auto& item : hosts) {
            item.most_bytes = std::max(item.most_bytes, std::exchange(item.bytes, 0));
            item.most_requests = std::max(item.most_requests, std::exchange(item.requests, 0));
        }
    }

    std::multimap<steady_time, std::function<void()>> events_;
    std::vector<waiting_watch>                        watches_;
    std::size_t                                       steps_ = 0;
    steady_time                                       second_ = time.steady_now();
    bool                                              use_store_;
};

// A cluster's configuration at the expected size when servers is 2'167.
inline configuration large_configuration(std::uint32_t servers) {
    configuration whole;
    whole.next_id = 1;
    whole.accepted = wall_time(std::chrono::seconds(1'750'000'000));
    service* owner = nullptr;
    for (std::uint32_t i = 0; i < servers; ++i) {
        if (i % 2 == 0) {
            service item;
            item.id = whole.next_id++;
            item.name = "service-" + std::to_string(i / 2);
            item.address = {ip_address::v4(0xcb007100U + i / 2), 443};
            whole.services.push_back(std::move(item));
            owner = &whole.services.back();
        }
        backend_server server;
        server.id = whole.next_id++;
        server.name = "server-" + std::to_string(i);
        server.tunnel = {ip_address::v4(0x0a010000U + i), 6080};
        server.health = {ip_address::v4(0x0a010000U + i), 6081};
        server.joined = whole.accepted + std::chrono::milliseconds(1'237 * i);
        owner->backend_servers.push_back(std::move(server));
    }
    return whole;
}

// Weights of random services' servers: a history of the given length on top of a configuration.
inline head with_history(configuration whole, std::size_t changes, std::mt19937_64& random) {
    whole.revision = 0;
    head result{std::move(whole), {}};
    for (std::size_t i = 0; i < changes; ++i) {
        const auto&   owner = result.now.services[random() % result.now.services.size()];
        const auto&   server = owner.backend_servers[random() % owner.backend_servers.size()];
        weigh_backend what{owner.name, server.name, static_cast<std::uint32_t>(random() % 1'000)};
        std::string   operation;
        for (int digit = 0; digit < 16; ++digit)
            operation += "0123456789abcdef"[random() % 16];
        result = append(result, {operation, "operator-" + std::to_string(random() % 9), result.revision(), false, what},
                        result.now.accepted + std::chrono::seconds(random() % 200))
                     .value();
    }
    return result;
}

} // namespace tamarack::testing
