// Replays a load pattern in virtual time: callers that retry, balancers with the real steering, and backend servers
// with two slots and a queue of eight requests.
#pragma once

#include "entry_fixture.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <functional>
#include <queue>

namespace tamarack::entry {

// One kind of requests.
struct request_pattern {
    std::string   name;
    std::uint32_t priority = 0;
    double        per_second = 0; // usual demand of a failure domain
    double        work_ms = 0;    // mean
    int           goal_ms = 0;
    double        worth = 1;
    unsigned      requests = 1; // of a flow, 500 ms apart; callers do not repeat those after the first
};

constexpr std::uint32_t short_answer_size = 130; // bytes, of a refusal; others have 1,000

struct replay_settings {
    unsigned                     domains = 1;
    unsigned                     hosts = 20;   // per failure domain
    unsigned                     servers = 30; // per failure domain
    std::vector<request_pattern> patterns = {{"report", 1, 121.75, 39, 500, 2}, {"poll", 2, 246, 30, 400, 1}};
    std::function<double(double, unsigned)> demand = [](double, unsigned) { return 1.0; };   // at a second
    std::function<double(double, unsigned)> slowness = [](double, unsigned) { return 1.0; }; // at a second, of a server
    std::function<bool(unsigned)>           is_dark = [](unsigned) { return false; };        // never answers
    double                                  crossing_ms = 0.9;                               // one way
    double                                  refusal_wait_ms = 0; // for which a request that is refused has waited
    std::uint64_t                           seed = 1;
};

struct pattern_result {
    std::uint64_t owed = 0, served = 0, late = 0, refused_by_hosts = 0, refused_by_servers = 0;
    double        served_share() const { return static_cast<double>(served) / static_cast<double>(owed); }
};

struct second_result {
    std::uint64_t       answered = 0, refused_by_hosts = 0;
    double              busy_ms = 0;   // of all slots
    std::vector<double> spilled_share; // by failure domain, mean of its balancers
};

class load_replay {
public:
    explicit load_replay(replay_settings settings) : settings_(std::move(settings)), random_(settings_.seed) {
        results.resize(settings_.patterns.size());
        for (std::size_t kind = 0; kind < settings_.patterns.size(); ++kind)
            routes_.push_back(route_of(kind));
        const unsigned server_count = settings_.domains * settings_.servers;
        servers_.resize(server_count);
        std::vector<record> records = {configuration_record(1, 1, routes_)};
        for (unsigned server = 0; server < server_count; ++server) {
            records.push_back(
                backend_record(server + 2, registration_of(server + 1, domain_name(server / settings_.servers))));
        }
        store_.note_store_available(start_);
        store_.apply_listing(records, at_revision(server_count + 2), start_);
        for (unsigned host = 0; host < settings_.domains * settings_.hosts; ++host) {
            const steering_settings own{.failure_domain = domain_name(host / settings_.hosts)};
            hosts_.push_back(std::make_unique<steering>(own, store_, settings_.seed * 1'000 + host));
        }
        for (std::size_t subject = 0; subject < settings_.domains * settings_.patterns.size(); ++subject)
            add(0, event_kind::demand, subject);
        add(100, event_kind::tick, 0);
    }

    void run_until(double seconds) {
        while (!events_.empty() && events_.top().at_ms < seconds * 1'000) {
            const event_item next = events_.top();
            events_.pop();
            now_ms_ = next.at_ms;
            if (seconds_.size() <= static_cast<std::size_t>(now_ms_ / 1'000)) seconds_.resize(seconds_.size() + 1);
            handle(next);
        }
    }

    static std::string domain_name(unsigned domain) { return std::string(1, static_cast<char>('a' + domain)); }
    const std::vector<second_result>& seconds() const { return seconds_; }
    steering&                         host(unsigned index) { return *hosts_[index]; }
    std::uint64_t                     refused_by_hosts() const {
                            std::uint64_t sum = 0;
                            for (const auto& result : results)
            sum += result.refused_by_hosts;
        return sum;
    }
    // Mean over the seconds.
    template <class Value>
    double mean(std::size_t first, std::size_t last, Value value) const {
        double sum = 0;
        for (std::size_t at = first; at < last; ++at)
            sum += value(seconds_.at(at));
        return sum / static_cast<double>(last - first);
    }
    double busy_share(std::size_t first, std::size_t last) const {
        const double slots_ms = 2'000.0 * static_cast<double>(servers_.size());
        return mean(first, last, [&](const second_result& second) { return second.busy_ms / slots_ms; });
    }

    std::vector<pattern_result> results;            // by pattern
    std::uint64_t               refused_copies = 0; // of SYNs that were delivered

private:
    enum class event_kind : std::uint8_t { demand, attempt, copy, request, finished, answer, refusal, tick };
    struct event_item {
        double      at_ms = 0;
        event_kind  kind = event_kind::tick;
        std::size_t subject = 0; // a caller, or of a demand the failure domain and pattern
        unsigned    attempt = 0; // of the caller
        bool        operator<(const event_item& other) const { return at_ms > other.at_ms; }
    };
    struct caller {
        std::size_t kind = 0;
        unsigned    domain = 0, host = 0, server = 0, attempt = 0;
        unsigned    sent = 0; // requests on the flow
        double      began_ms = 0;
        bool        is_open = false; // the backend server has answered the SYN
        bool        is_done = false;
        segment     syn{};
    };
    struct server_state {
        unsigned                busy = 0;
        std::queue<std::size_t> waiting; // callers
    };

    route route_of(std::size_t kind) const {
        const request_pattern& pattern = settings_.patterns[kind];
        route                  configured{pattern.name, service_address, {{"desk", 1}}, request_kind::idempotent};
        configured.address.port = static_cast<std::uint16_t>(1'000 + kind);
        configured.priority = pattern.priority;
        configured.response_goal = std::chrono::milliseconds(pattern.goal_ms);
        configured.time_limit = std::chrono::seconds(2);
        return configured;
    }
    steady_time now() const { return start_ + std::chrono::microseconds(static_cast<std::int64_t>(now_ms_ * 1'000)); }
    double      uniform(double low, double high) { return std::uniform_real_distribution<double>(low, high)(random_); }
    void        add(double after_ms, event_kind kind, std::size_t subject, unsigned attempt = 0) {
               events_.push({now_ms_ + after_ms, kind, subject, attempt});
    }
    second_result& second() { return seconds_.back(); }

    void handle(const event_item& item) {
        if (item.kind == event_kind::tick) return tick();
        if (item.kind == event_kind::demand) return demand(item.subject);
        caller& who = callers_[item.subject];
        if (item.kind == event_kind::finished) return finished(item.subject);
        if (who.is_done || item.attempt != who.attempt) return;
        if (item.kind == event_kind::attempt) return attempt(item.subject);
        if (item.kind == event_kind::copy) return who.is_open ? void() : send_syn(item.subject);
        if (item.kind == event_kind::request) return request(item.subject);
        answer(item.subject, item.kind == event_kind::refusal);
    }

    void tick() {
        second().spilled_share.assign(settings_.domains, 0.0);
        for (std::size_t host = 0; host < hosts_.size(); ++host) {
            hosts_[host]->expire(now());
            second().spilled_share[host / settings_.hosts] +=
                hosts_[host]->new_flow_spillover().total_share("desk") / settings_.hosts;
        }
        store_.note_store_available(now());
        add(100, event_kind::tick, 0);
    }

    void demand(std::size_t subject) {
        const std::size_t      kind = subject % settings_.patterns.size();
        const unsigned         domain = static_cast<unsigned>(subject / settings_.patterns.size());
        const request_pattern& pattern = settings_.patterns[kind];
        const double           rate = pattern.per_second * settings_.demand(now_ms_ / 1'000, domain);
        add(std::exponential_distribution<double>(rate / 1'000)(random_), event_kind::demand, subject);
        ++results[kind].owed;
        callers_.push_back({.kind = kind, .domain = domain, .began_ms = now_ms_});
        attempt(callers_.size() - 1);
    }

    void attempt(std::size_t id) {
        caller& who = callers_[id];
        who.host = who.domain * settings_.hosts + static_cast<unsigned>(uniform(0, settings_.hosts));
        who.is_open = false;
        who.sent = 0;
        who.syn = syn_packet(1);
        who.syn.source = {ip_address::v4(0x64000000U + ++next_source_), static_cast<std::uint16_t>(id % 60'000 + 1)};
        who.syn.destination = routes_[who.kind].address;
        add(200, event_kind::copy, id, who.attempt);
        add(600, event_kind::copy, id, who.attempt);
        who.syn.acknowledged = 0;
        send_syn(id);
    }

    void send_syn(std::size_t id) {
        caller&       who = callers_[id];
        steering&     host = *hosts_[who.host];
        const segment syn = who.syn;
        ++who.syn.acknowledged;
        const auto decision = host.decide(syn, now());
        if (decision.action == packet_action::reset) {
            ++results[who.kind].refused_by_hosts;
            refused_copies += syn.acknowledged > 0 && decision.reason == decision_reason::not_admitted ? 1 : 0;
            ++second().refused_by_hosts;
            return retry(id);
        }
        who.server = static_cast<unsigned>(decision.backend->registration.identity - 1);
        if (!settings_.is_dark(who.server)) add(2 + 2 * distance(who), event_kind::request, id, who.attempt);
    }

    double distance(const caller& who) const {
        return who.server / settings_.servers == who.domain ? 0.0 : settings_.crossing_ms;
    }

    segment packet_of(const caller& who, std::uint32_t answers, std::uint16_t size) const {
        segment packet = later_packet(1, reference_of(who.server + 1), 5'000 + 1'000 * answers, size);
        packet.sequence += 500 * who.sent;
        packet.source = who.syn.source;
        packet.destination = who.syn.destination;
        return packet;
    }

    void retry(std::size_t id) {
        caller& who = callers_[id];
        if (++who.attempt == 3) {
            who.is_done = true;
        } else {
            add(1, event_kind::attempt, id, who.attempt);
        }
    }

    void request(std::size_t id) {
        caller& who = callers_[id];
        who.is_open = true;
        if (who.sent > 0) ++results[who.kind].owed;
        who.began_ms = who.sent > 0 ? now_ms_ : who.began_ms;
        hosts_[who.host]->decide(packet_of(who, who.sent, 500), now());
        ++who.sent;
        server_state& server = servers_[who.server];
        if (server.busy < 2) return process(id);
        if (server.waiting.size() < 8) return server.waiting.push(id);
        ++results[who.kind].refused_by_servers;
        add(settings_.refusal_wait_ms + uniform(1, 4) + distance(who), event_kind::refusal, id, who.attempt);
    }

    // The work varies by a factor of three either way.
    void process(std::size_t id) {
        caller& who = callers_[id];
        ++servers_[who.server].busy;
        constexpr double mean_factor = 1.2137;
        const double     factor = std::exp(uniform(-std::log(3.0), std::log(3.0))) / mean_factor;
        const double     work =
            settings_.patterns[who.kind].work_ms * factor * settings_.slowness(now_ms_ / 1'000, who.server);
        second().busy_ms += work;
        add(work, event_kind::finished, id, who.attempt);
    }

    void finished(std::size_t id) {
        const caller& who = callers_[id];
        server_state& server = servers_[who.server];
        --server.busy;
        add(2 + 2 * distance(who), event_kind::answer, id, who.attempt);
        if (server.waiting.empty()) return;
        const std::size_t next = server.waiting.front();
        server.waiting.pop();
        process(next);
    }

    void answer(std::size_t id, bool is_refusal) {
        caller& who = callers_[id];
        segment packet = packet_of(who, who.sent, 0);
        packet.fin = who.sent == settings_.patterns[who.kind].requests || is_refusal;
        if (is_refusal) packet.acknowledged -= 1'000 - short_answer_size;
        hosts_[who.host]->decide(packet, now());
        if (is_refusal && who.sent > 1) {
            who.is_done = true;
            return;
        }
        if (is_refusal) return retry(id);
        who.is_done = packet.fin;
        if (!who.is_done) add(500, event_kind::request, id, who.attempt);
        ++second().answered;
        pattern_result& result = results[who.kind];
        ++(now_ms_ - who.began_ms <= settings_.patterns[who.kind].goal_ms ? result.served : result.late);
    }

    replay_settings                        settings_;
    std::mt19937_64                        random_;
    const steady_time                      start_{std::chrono::seconds(1'000)};
    double                                 now_ms_ = 0;
    std::uint32_t                          next_source_ = 0;
    std::vector<route>                     routes_;
    replica                                store_;
    std::vector<std::unique_ptr<steering>> hosts_;
    std::vector<server_state>              servers_;
    std::vector<caller>                    callers_;
    std::priority_queue<event_item>        events_;
    std::vector<second_result>             seconds_;
};

inline replay_settings with_demand(const std::function<double(double)>& demand) {
    replay_settings settings;
    settings.demand = [demand](double second, unsigned) { return demand(second); };
    return settings;
}

// Shown with --log_level=message.
inline void print(std::string_view name, const load_replay& replay, std::size_t first, std::size_t last) {
    std::string line(name);
    for (const auto& result : replay.results) {
        line += " served=" + std::to_string(result.served_share()) + " late=" + std::to_string(result.late) +
                " refused_by_hosts=" + std::to_string(result.refused_by_hosts) +
                " refused_by_servers=" + std::to_string(result.refused_by_servers);
    }
    BOOST_TEST_MESSAGE(line << " busy=" << replay.busy_share(first, last));
}

} // namespace tamarack::entry
