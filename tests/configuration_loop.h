// Test loop that runs the replicas of one cluster in one thread, with simulated time, the store of the platform's
// stand-in in process, and delayed messages.
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

inline constexpr duration step = std::chrono::milliseconds(10);             // of simulated time
inline constexpr duration message_latency = std::chrono::milliseconds(3);   // one way; rounded up to a whole step
inline constexpr duration digest_interval = std::chrono::milliseconds(250); // each member sends one digest per interval

class replica_loop {
public:
    struct host {
        member                                 info;
        std::unique_ptr<configuration_replica> replica;
        std::map<std::string, change_result>   results;                     // by operation id
        std::uint64_t                          bytes_this_second = 0;       // sent in the current second
        std::uint64_t                          max_bytes_per_second = 0;    // largest number sent in one second
        std::uint64_t                          max_messages_per_second = 0; // largest number received in one second
        std::uint64_t                          messages_this_second = 0;
    };

    replica_loop(std::size_t count, std::size_t domains, std::uint64_t seed, bool use_store = true)
        : store(time), random(seed), use_store_(use_store) {
        for (std::size_t i = 0; i < count; ++i)
            add_host("domain" + std::to_string(i % domains));
        distribute_members();
    }

    host& add_host(const std::string& domain) {
        host new_host;
        new_host.info.id = static_cast<member_id>(hosts.size() + 1);
        new_host.info.failure_domain = domain;
        replica_settings settings;
        settings.self = new_host.info.id;
        settings.failure_domain = domain;
        settings.use_store = use_store_;
        new_host.replica = std::make_unique<configuration_replica>(settings, time, random());
        hosts.push_back(std::move(new_host));
        return hosts.back();
    }

    void distribute_members() {
        std::vector<member> members;
        for (const auto& item : hosts)
            members.push_back(item.info);
        for (auto& item : hosts)
            item.replica->set_members(members);
    }

    void kill(std::size_t index) {
        hosts[index].info.state = member_state::dead;
        distribute_members();
    }

    // Stops early when the condition holds. Returns the simulated time that has passed.
    duration run(
        duration limit, const std::function<bool()>& is_done = [] { return false; }) {
        const auto start = time.steady_now();
        while (time.steady_now() - start < limit && !is_done())
            advance();
        return time.steady_now() - start;
    }

    std::uint32_t random_below(std::uint32_t limit) { return static_cast<std::uint32_t>(random() % limit); }

    bool all_hold(revision_number revision) const {
        return std::all_of(hosts.begin(), hosts.end(), [&](const host& item) {
            return item.info.state == member_state::dead || item.replica->revision() >= revision;
        });
    }

    std::size_t count_holders(revision_number revision) const {
        return static_cast<std::size_t>(std::count_if(
            hosts.begin(), hosts.end(), [&](const host& item) { return item.replica->revision() >= revision; }));
    }

    void submit(std::size_t index, std::string operation_id, change command, revision_number base = 0,
                bool dry_run = false) {
        hosts[index].replica->submit({std::move(operation_id), "anna", base, dry_run, std::move(command)});
    }

    // Submits a change, runs the loop until its result arrives, and returns it.
    change_result commit(std::size_t index, const std::string& operation_id, const change& command,
                         revision_number base = 0) {
        hosts[index].results.erase(operation_id);
        submit(index, operation_id, command, base);
        run(std::chrono::seconds(12), [&] { return hosts[index].results.contains(operation_id); });
        return hosts[index].results.at(operation_id);
    }

    manual_clock            time;
    standin::platform_store store;
    std::mt19937_64         random;
    std::vector<host>       hosts;
    bool                    are_watches_answered = true;
    double                  message_loss_rate = 0; // share of the messages between hosts, 0 to 1
    std::uint32_t           late_writes = 0;       // number of next writes that reach the store after their deadline

private:
    struct pending_watch {
        std::size_t   sender = 0;
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
            if (hosts[i].info.state == member_state::dead) continue;
            hosts[i].replica->tick();
            execute_actions(i);
        }
        check_watches();
        send_digests();
        update_rates();
    }

    void schedule(duration delay, std::function<void()> event) {
        events_.emplace(time.steady_now() + delay, std::move(event));
    }

    void execute_actions(std::size_t sender) {
        auto actions = hosts[sender].replica->take_actions();
        for (auto& result : actions.changes)
            hosts[sender].results[result.operation_id] = std::move(result);
        for (auto& request : actions.store)
            call_store(sender, std::move(request));
        for (auto& message : actions.messages)
            deliver_message(sender, std::move(message));
    }

    void deliver_message(std::size_t sender, replica_message message) {
        hosts[sender].bytes_this_second += message.payload.size() + replica_settings{}.message_overhead;
        if (std::uniform_real_distribution<double>()(random) < message_loss_rate) return;
        schedule(message_latency, [this, sender, item = std::move(message)] {
            auto& receiver = hosts.at(item.recipient - 1);
            if (receiver.info.state == member_state::dead) return;
            ++receiver.messages_this_second;
            receiver.replica->receive(hosts[sender].info.id, item.payload);
        });
    }

    void call_store(std::size_t sender, store_request request) {
        const bool is_write = request.operation == store_operation::compare_and_swap;
        if (is_write && late_writes > 0) {
            --late_writes;
            schedule(request.deadline, [this, sender, id = request.id] {
                answer_store(sender, {id, store_status::unknown_outcome, {}, 0});
            });
            const duration late_arrival = request.deadline + milliseconds(500);
            return schedule(late_arrival, [this, item = std::move(request)] { store.handle(item); });
        }
        schedule(message_latency, [this, sender, item = std::move(request)] {
            auto answer = store.handle(item);
            if (answer.is_waiting) {
                pending_watches_.push_back({sender, item, time.steady_now() + item.deadline});
            } else if (answer.is_lost) {
                schedule(item.deadline, [this, sender, id = item.id] {
                    answer_store(sender, {id, store_status::unknown_outcome, {}, 0});
                });
            } else {
                schedule(message_latency,
                         [this, sender, response = std::move(answer.response)] { answer_store(sender, response); });
            }
        });
    }

    void answer_store(std::size_t receiver, const store_response& response) {
        if (hosts[receiver].info.state != member_state::dead) hosts[receiver].replica->store_answered(response);
    }

    void check_watches() {
        if (!are_watches_answered) return;
        std::erase_if(pending_watches_, [&](const pending_watch& item) {
            auto answer = store.recheck(item.request);
            if (answer.is_waiting && time.steady_now() < item.deadline) return false;
            schedule(message_latency,
                     [this, sender = item.sender,
                      response = answer.is_waiting ? store.unchanged_response(item.request) : answer.response] {
                         answer_store(sender, response);
                     });
            return true;
        });
    }

    // Each host sends once per digest_interval; the hosts are spread over the interval.
    void send_digests() {
        const auto steps_per_digest = static_cast<std::size_t>(digest_interval / step);
        for (std::size_t i = ++steps_ % steps_per_digest; i < hosts.size(); i += steps_per_digest) {
            const std::size_t receiver = random() % hosts.size();
            if (receiver == i || hosts[i].info.state == member_state::dead) continue;
            schedule(message_latency, [this, i, receiver, revision = hosts[i].replica->revision()] {
                hosts[receiver].replica->receive_digest(hosts[i].info.id, revision);
            });
        }
    }

    void update_rates() {
        if (time.steady_now() - second_start_ < std::chrono::seconds(1)) return;
        second_start_ = time.steady_now();
        for (auto& item : hosts) {
            item.max_bytes_per_second = std::max(item.max_bytes_per_second, std::exchange(item.bytes_this_second, 0));
            item.max_messages_per_second =
                std::max(item.max_messages_per_second, std::exchange(item.messages_this_second, 0));
        }
    }

    std::multimap<steady_time, std::function<void()>> events_;
    std::vector<pending_watch>                        pending_watches_;
    std::size_t                                       steps_ = 0;
    steady_time                                       second_start_ = time.steady_now();
    bool                                              use_store_;
};

// A configuration with this number of backend servers; 2'167 is the expected size of a cluster.
inline configuration large_configuration(std::uint32_t servers) {
    configuration config;
    config.next_id = 1;
    config.accepted = wall_time(std::chrono::seconds(1'750'000'000));
    service* owner = nullptr;
    for (std::uint32_t i = 0; i < servers; ++i) {
        if (i % 2 == 0) {
            service item;
            item.id = config.next_id++;
            item.name = "service-" + std::to_string(i / 2);
            item.address = {ip_address::v4(0xcb007100U + i / 2), 443};
            config.services.push_back(std::move(item));
            owner = &config.services.back();
        }
        backend_server server;
        server.id = config.next_id++;
        server.name = "server-" + std::to_string(i);
        server.tunnel = {ip_address::v4(0x0a010000U + i), 6080};
        server.health = {ip_address::v4(0x0a010000U + i), 6081};
        server.joined = config.accepted + std::chrono::milliseconds(1'237 * i);
        owner->backend_servers.push_back(std::move(server));
    }
    return config;
}

// Adds a history of the given length to a configuration: changes of the weights of random backend servers.
inline head with_history(configuration config, std::size_t changes, std::mt19937_64& random) {
    config.revision = 0;
    head result{std::move(config), {}};
    for (std::size_t i = 0; i < changes; ++i) {
        const auto&   owner = result.config.services[random() % result.config.services.size()];
        const auto&   server = owner.backend_servers[random() % owner.backend_servers.size()];
        weigh_backend command{owner.name, server.name, static_cast<std::uint32_t>(random() % 1'000)};
        std::string   operation_id;
        for (int digit = 0; digit < 16; ++digit)
            operation_id += "0123456789abcdef"[random() % 16];
        result = append(result,
                        {operation_id, "operator-" + std::to_string(random() % 9), result.revision(), false, command},
                        result.config.accepted + std::chrono::seconds(random() % 200))
                     .value();
    }
    return result;
}

} // namespace tamarack::testing
