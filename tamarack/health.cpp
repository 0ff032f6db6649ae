// Assignment of observers, probes, availability verdicts, and the gossip of opinions and loads.
#include "tamarack/health.h"

#include "health.pb.h"

#include <algorithm>
#include <cmath>
#include <map>

#define XXH_INLINE_ALL // the library is not linked
#include <xxhash.h>

namespace tamarack {

namespace {

using load_level = std::uint8_t;

// A load level is a utilisation of 0 .. 1 in steps of 1/8, or refusing_level. Level 0 is neutral.
constexpr load_level    level_steps = 8;
constexpr load_level    refusing_level = 9; // full or shedding load
constexpr float         max_penalty = 4.0F;
constexpr std::uint64_t level_bits = 4;
constexpr std::uint64_t sequence_bits = 5;
constexpr std::uint64_t age_bits = 5;
constexpr duration      age_unit = std::chrono::milliseconds(200);
constexpr std::uint8_t  sequence_mask = (1U << sequence_bits) - 1;
constexpr std::size_t   load_size = 5;          // upper bound in bytes of a load in a message, for ids under 2,097,152
constexpr std::size_t   max_loads = 200;        // in one message
constexpr std::size_t   max_down_servers = 250; // in one opinion; an observer has fewer at the expected size
constexpr std::size_t   max_opinions = 8;       // in one message
constexpr unsigned      sends_per_opinion = 2;  // rounds in which an opinion is sent, each to gossip_peers peers
constexpr double        load_burst = 4'096;     // bytes
constexpr duration      assignment_interval = std::chrono::seconds(1); // ranking all members takes milliseconds
constexpr duration      verdict_interval = std::chrono::milliseconds(200);
constexpr duration min_level_interval = std::chrono::seconds(1); // between two published levels of a backend server
constexpr duration late_result_grace = std::chrono::milliseconds(500);

std::uint64_t rank(backend_server_id backend_server, member_id observer) {
    const std::array<std::uint32_t, 2> pair = {backend_server, observer};
    return XXH3_64bits(pair.data(), sizeof pair);
}

bool may_observe(const member& candidate) {
    return candidate.state == member_state::alive || candidate.state == member_state::suspect;
}

float penalty_of(load_level level) {
    if (level >= refusing_level) return max_penalty;
    const float utilisation = static_cast<float>(level) / level_steps;
    return 1.0F + (max_penalty - 1.0F) * utilisation * utilisation;
}

struct load_entry {
    backend_server_id id = 0;
    load_level        level = 0;
    std::uint8_t      sequence = 0;
    duration          age{};
};

std::uint64_t pack_load(const load_entry& load) {
    const auto units = static_cast<std::uint64_t>((load.age + age_unit - duration(1)) / age_unit); // rounded up
    const auto age = std::min<std::uint64_t>(units, (1U << age_bits) - 1);
    return ((std::uint64_t{load.id} << level_bits | load.level) << sequence_bits | load.sequence) << age_bits | age;
}

std::optional<load_entry> unpack_load(std::uint64_t value) {
    load_entry load;
    load.age = age_unit * (value & ((1U << age_bits) - 1));
    value >>= age_bits;
    load.sequence = static_cast<std::uint8_t>(value & sequence_mask);
    value >>= sequence_bits;
    load.level = static_cast<load_level>(value & ((1U << level_bits) - 1));
    value >>= level_bits;
    if (value == 0 || value > UINT32_MAX || load.level > refusing_level) return std::nullopt;
    load.id = static_cast<backend_server_id>(value);
    return load;
}

} // namespace

std::vector<member_id> observers_of(backend_server_id id, std::span<const member> members) {
    std::array<std::pair<std::uint64_t, member_id>, observers_per_server> best{}; // highest first
    for (const member& candidate : members) {
        if (!may_observe(candidate)) continue;
        std::pair<std::uint64_t, member_id> ranked{rank(id, candidate.id), candidate.id};
        for (auto& slot : best)
            if (ranked > slot) std::swap(ranked, slot);
    }
    std::vector<member_id> chosen;
    chosen.reserve(best.size());
    for (const auto& [hash, member] : best)
        if (member != 0) chosen.push_back(member);
    return chosen;
}

//----------------------------------------------------------------------------------------------------------------------
// State
//----------------------------------------------------------------------------------------------------------------------

class health_monitor::impl {
public:
    impl(const health_settings& settings, control_channel& channel, const clock& time, std::uint64_t random_seed)
        : settings_(settings), channel_(&channel), time_(&time), random_(random_seed),
          load_budget_(settings.load_bytes_per_second, load_burst, time.steady_now()), last_tick_(now()) {}

    // Results of this balancer's own probes of a backend server.
    struct observation {
        steady_time   next_probe_at{};
        std::uint64_t pending_probe_id = 0; // 0: no probe is under way
        steady_time   probe_expires_at{};   // without a result until then, the pending probe has failed
        unsigned      failures = 0;         // in a row
        unsigned      successes = 0;        // in a row
        bool          down = false;
        load_report   last_report;
        steady_time   reported_at{};       // time of the last report; zero: none
        steady_time   report_changed_at{}; // when a report last differed from the one before it
        steady_time   shedding_at{};       // last report of shedding; zero: none
        double        utilisation = 0;     // smoothed, 0 .. 1
    };

    struct server_state {
        service_id                 service = 0;
        endpoint                   target;
        bool                       active = true;
        std::uint32_t              max_flows = 0;
        std::vector<member_id>     observers; // highest rank first
        steady_time                observers_changed_at{};
        std::optional<observation> own_observation; // set while this balancer is an observer
        // Load level, as published by the first observer.
        load_level                 level = 0;
        std::uint8_t               sequence = 0;
        steady_time                level_measured_at{};  // when the level was measured; zero: never
        bool                       level_unsent = false; // the level has not been sent to peers yet
        // Verdict.
        bool                       failing = false; // enough observers report it as down
        bool                       out = false;     // failing, and the service is not in panic mode
        steady_time                out_since{};
        bool                       full = false; // by this balancer's own flow counts
    };

    // The backend servers that one observer reports as down.
    struct opinion {
        incarnation_number             incarnation = 0;
        std::uint32_t                  stamp = 0;    // version number of the opinion within this incarnation
        std::vector<backend_server_id> down_servers; // sorted
        steady_time                    received_at{};
        unsigned                       remaining_sends = 0;
    };

    const health_settings settings_;
    control_channel*      channel_;
    const clock*          time_;
    random_source         random_;
    token_bucket          load_budget_;

    std::map<backend_server_id, server_state> servers_;
    std::vector<backend_server_id>            observed_servers_; // by this balancer
    std::map<service_id, bool>                panic_modes_;
    std::vector<member>                       members_;
    std::map<member_id, opinion>              opinions_; // of members_ only; this balancer's own included
    bool                                      assignment_outdated_ = false;
    std::uint64_t                             next_probe_id_ = 1;

    steady_time last_tick_;
    steady_time next_assignment_{};
    steady_time next_verdict_update_{};
    steady_time next_gossip_{};
    steady_time next_opinion_publication_{};
    steady_time refresh_opinion_until_{}; // peers may hold an opinion that names a backend server until then

    std::vector<backend_status> statuses_;
    std::uint64_t               version_ = 1;
    std::vector<probe_request>  outgoing_probes_;
    std::vector<datagram>       outgoing_datagrams_;
    health_counters             counters_;

    steady_time now() const { return time_->steady_now(); }

    void set_configuration(const configuration& new_configuration);
    void set_members(std::span<const member> members);
    bool receive(const envelope& message);
    void probe_finished(const probe_result& result);
    void tick();

private:
    duration   jittered(duration interval);
    void       assign_observers();
    void       detect_pause();
    void       send_due_probes();
    void       record_probe(observation& own_observation, bool reachable);
    void       apply_report(server_state& server, const load_report& report);
    load_level measured_level(const server_state& server) const;
    load_level current_level(const server_state& server) const;
    bool       observer_reports_down(const server_state& server, member_id observer, backend_server_id id) const;
    void       update_verdicts();
    void       update_panic_modes();
    void       rebuild_statuses();
    void       publish_opinion();
    void       publish_loads();
    void       receive_opinion(const wire::Opinions& received);
    void       receive_load(const load_entry& received);
    std::vector<const member*> choose_gossip_peers();
    void                       send_gossip();
    bool                       add_opinions(wire::HealthMessage& message);
    void                       add_loads(wire::HealthMessage& message, std::size_t peer_count);
};

duration health_monitor::impl::jittered(duration interval) {
    std::uniform_real_distribution<double> factor(0.9, 1.1);
    return std::chrono::duration_cast<duration>(interval * factor(random_));
}

//----------------------------------------------------------------------------------------------------------------------
// Assignment
//----------------------------------------------------------------------------------------------------------------------

void health_monitor::impl::set_configuration(const configuration& new_configuration) {
    std::map<backend_server_id, server_state> next;
    for (const service& each : new_configuration.services) {
        for (const backend_server& configured : each.backend_servers) {
            if (configured.health.port == 0) continue;
            server_state& server = next[configured.id];
            const auto    previous = servers_.find(configured.id);
            if (previous != servers_.end()) server = std::move(previous->second);
            if (server.target != configured.health) server.own_observation.reset();
            server.service = each.id;
            server.target = configured.health;
            server.active = configured.state == backend_state::active;
            server.max_flows = configured.limits.max_flows;
        }
    }
    servers_ = std::move(next);
    observed_servers_.clear();
    assignment_outdated_ = true;
    next_assignment_ = now();
}

void health_monitor::impl::set_members(std::span<const member> members) {
    const auto is_new = [this](const member& each) {
        return std::ranges::none_of(
            members_, [&](const member& old) { return old.id == each.id && old.incarnation == each.incarnation; });
    };
    // A member that has just started has no opinions yet; the own opinion is sent soon instead of at the next refresh.
    if (std::ranges::any_of(members, is_new)) {
        next_opinion_publication_ = std::min(next_opinion_publication_, now() + jittered(std::chrono::seconds(1)));
    }
    const auto ids_of_observers = [](std::span<const member> all) {
        std::vector<member_id> ids;
        for (const member& each : all)
            if (may_observe(each)) ids.push_back(each.id);
        return ids;
    };
    if (ids_of_observers(members_) != ids_of_observers(members)) assignment_outdated_ = true;
    members_.assign(members.begin(), members.end());
    std::erase_if(opinions_, [this](const auto& stored) {
        return std::ranges::none_of(members_, [&](const member& each) {
            return each.id == stored.first && each.incarnation <= stored.second.incarnation &&
                   each.state != member_state::dead;
        });
    });
}

void health_monitor::impl::assign_observers() {
    if (!assignment_outdated_ || now() < next_assignment_) return;
    assignment_outdated_ = false;
    next_assignment_ = now() + assignment_interval;
    observed_servers_.clear();
    for (auto& [id, server] : servers_) {
        auto observers = observers_of(id, members_);
        if (observers != server.observers) {
            server.observers = std::move(observers);
            server.observers_changed_at = now();
        }
        const bool observed = std::ranges::find(server.observers, channel_->self()) != server.observers.end();
        if (observed) observed_servers_.push_back(id);
        if (!observed) server.own_observation.reset();
        if (!observed || server.own_observation) continue;
        // A new observer starts from the current verdict and level, so that a change of observers changes neither.
        const load_level level = current_level(server);
        server.own_observation = observation{};
        server.own_observation->down = server.failing;
        if (server.failing) next_opinion_publication_ = now();
        server.own_observation->utilisation = static_cast<double>(std::min(level, level_steps)) / level_steps;
        server.own_observation->next_probe_at =
            now() + std::chrono::duration_cast<duration>(settings_.probe_interval *
                                                         std::uniform_real_distribution<>(0, 1)(random_));
    }
}

//----------------------------------------------------------------------------------------------------------------------
// Probes
//----------------------------------------------------------------------------------------------------------------------

void health_monitor::impl::detect_pause() {
    const bool paused = now() - last_tick_ > settings_.pause_threshold;
    last_tick_ = now();
    if (!paused) return;
    for (const backend_server_id id : observed_servers_)
        servers_.at(id).own_observation->pending_probe_id = 0;
}

void health_monitor::impl::send_due_probes() {
    for (const backend_server_id id : observed_servers_) {
        server_state& server = servers_.at(id);
        observation&  own_observation = *server.own_observation;
        if (own_observation.pending_probe_id != 0 && now() >= own_observation.probe_expires_at)
            record_probe(own_observation, false);
        if (own_observation.pending_probe_id != 0 || now() < own_observation.next_probe_at) continue;
        own_observation.pending_probe_id = next_probe_id_++;
        own_observation.probe_expires_at = now() + settings_.probe_deadline + late_result_grace;
        own_observation.next_probe_at = now() + jittered(settings_.probe_interval);
        outgoing_probes_.push_back({own_observation.pending_probe_id, id, server.target, settings_.probe_deadline});
        ++counters_.probes_sent;
    }
}

void health_monitor::impl::record_probe(observation& own_observation, bool reachable) {
    own_observation.pending_probe_id = 0;
    own_observation.failures = reachable ? 0 : own_observation.failures + 1;
    own_observation.successes = reachable ? own_observation.successes + 1 : 0;
    if (!reachable) ++counters_.probes_failed;
    const bool down = own_observation.down ? own_observation.successes < settings_.successes_until_up
                                           : own_observation.failures >= settings_.failures_until_down;
    if (down != own_observation.down) next_opinion_publication_ = now();
    own_observation.down = down;
}

void health_monitor::impl::probe_finished(const probe_result& result) {
    const auto found = servers_.find(result.backend_server);
    if (found == servers_.end() || !found->second.own_observation ||
        found->second.own_observation->pending_probe_id != result.id || result.id == 0)
        return;
    record_probe(*found->second.own_observation, result.reachable);
    if (result.reachable && result.load) apply_report(found->second, *result.load);
}

void health_monitor::impl::apply_report(server_state& server, const load_report& report) {
    observation& own_observation = *server.own_observation;
    const bool   first = own_observation.reported_at == steady_time{};
    if (first || report != own_observation.last_report) own_observation.report_changed_at = now();
    own_observation.last_report = report;
    own_observation.reported_at = now();
    if (report.shedding) own_observation.shedding_at = now();
    if (report.total_slots == 0) return;
    const double busy = std::min(1.0, static_cast<double>(report.busy_slots) / report.total_slots);
    own_observation.utilisation += (busy - own_observation.utilisation) *
                                   (busy > own_observation.utilisation ? settings_.rise_factor : settings_.fall_factor);
}

// The level that follows from this balancer's own probes.
load_level health_monitor::impl::measured_level(const server_state& server) const {
    const observation& own_observation = *server.own_observation;
    if (own_observation.reported_at == steady_time{} || now() - own_observation.reported_at > settings_.report_lifetime)
        return 0;
    const bool shedding =
        own_observation.shedding_at != steady_time{} && now() - own_observation.shedding_at <= settings_.shedding_hold;
    const bool at_limit = server.max_flows != 0 && own_observation.last_report.connections >= server.max_flows;
    if (shedding || at_limit) return refusing_level;
    if (now() - own_observation.report_changed_at > settings_.report_lifetime ||
        own_observation.last_report.total_slots == 0)
        return 0;
    return static_cast<load_level>(std::lround(own_observation.utilisation * level_steps));
}

load_level health_monitor::impl::current_level(const server_state& server) const {
    if (server.full) return refusing_level;
    if (server.own_observation && server.own_observation->reported_at != steady_time{}) return measured_level(server);
    if (server.level_measured_at == steady_time{} || now() - server.level_measured_at > settings_.report_lifetime)
        return 0;
    return server.level;
}

//----------------------------------------------------------------------------------------------------------------------
// Verdicts
//----------------------------------------------------------------------------------------------------------------------

bool health_monitor::impl::observer_reports_down(const server_state& server, member_id observer,
                                                 backend_server_id id) const {
    if (observer == channel_->self()) return server.own_observation && server.own_observation->down;
    const auto found = opinions_.find(observer);
    const bool current = found != opinions_.end() && now() - found->second.received_at <= settings_.opinion_lifetime;
    // A new observer may not have sent an opinion about this backend server yet; the previous verdict holds until then.
    const bool in_grace = now() - server.observers_changed_at < settings_.handover_grace;
    if (in_grace && (!current || found->second.received_at < server.observers_changed_at)) return server.failing;
    return current && std::ranges::binary_search(found->second.down_servers, id);
}

void health_monitor::impl::update_verdicts() {
    if (now() < next_verdict_update_) return;
    next_verdict_update_ = now() + verdict_interval;
    for (auto& [id, server] : servers_) {
        std::size_t reports_down = 0;
        for (const member_id observer : server.observers)
            if (observer_reports_down(server, observer, id)) ++reports_down;
        const std::size_t required = std::min(settings_.observers_required, server.observers.size());
        server.failing = required != 0 && reports_down >= required;
    }
    update_panic_modes();
    rebuild_statuses();
}

// A service is in panic mode while more than half of its backend servers fail their probes: a fault of the probing is
// then more likely than a fault of all these servers, so none of them is taken out.
void health_monitor::impl::update_panic_modes() {
    struct tally {
        std::size_t active = 0;
        std::size_t failing = 0;
    };
    std::map<service_id, tally> tallies;
    for (const auto& [id, server] : servers_) {
        if (!server.active) continue;
        ++tallies[server.service].active;
        if (server.failing) ++tallies[server.service].failing;
    }
    std::erase_if(panic_modes_, [&](const auto& stored) { return !tallies.contains(stored.first); });
    for (const auto& [service, counts] : tallies) {
        const bool panic = 2 * counts.failing > counts.active;
        if (panic && !panic_modes_[service]) ++counters_.panics;
        panic_modes_[service] = panic;
    }
    for (auto& [id, server] : servers_) {
        const auto panic = panic_modes_.find(server.service);
        const bool out = server.failing && (panic == panic_modes_.end() || !panic->second);
        if (out && !server.out) {
            server.out_since = now();
            ++counters_.taken_out;
        }
        server.out = out;
    }
}

void health_monitor::impl::rebuild_statuses() {
    std::map<service_id, std::vector<load_level>> levels;
    for (const auto& [id, server] : servers_)
        if (server.active && !server.out) levels[server.service].push_back(current_level(server));
    std::map<service_id, float> medians;
    for (auto& [service, values] : levels) {
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
        std::ranges::nth_element(values, middle);
        medians[service] = penalty_of(*middle);
    }
    std::vector<backend_status> next;
    for (const auto& [id, server] : servers_) {
        const load_level level = current_level(server);
        const auto       median = medians.find(server.service);
        float            penalty = penalty_of(level);
        // The penalty is relative to the median, so that a backend server without a report is not preferred when all
        // others are loaded. A backend server that refuses work keeps the full penalty.
        if (level != refusing_level && median != medians.end()) penalty = std::max(1.0F, penalty / median->second);
        if (server.out || penalty > 1.0F)
            next.push_back({id, !server.out, server.out ? server.out_since : steady_time{}, penalty});
    }
    const auto same = [](const backend_status& a, const backend_status& b) {
        return a.id == b.id && a.available == b.available && a.out_since == b.out_since &&
               a.load_penalty == b.load_penalty;
    };
    if (std::ranges::equal(next, statuses_, same)) return;
    statuses_ = std::move(next);
    ++version_;
}

//----------------------------------------------------------------------------------------------------------------------
// Gossip
//----------------------------------------------------------------------------------------------------------------------

// Creates a new version of this balancer's opinion when the opinion has changed or is due for a refresh.
void health_monitor::impl::publish_opinion() {
    if (now() < next_opinion_publication_) return;
    next_opinion_publication_ = now() + jittered(settings_.opinion_refresh);
    std::vector<backend_server_id> down_servers;
    for (const backend_server_id id : observed_servers_)
        if (servers_.at(id).own_observation->down) down_servers.push_back(id);
    if (down_servers.size() > max_down_servers) {
        down_servers.resize(max_down_servers);
        ++counters_.opinions_cut;
    }
    opinion& own_opinion = opinions_[channel_->self()];
    if (!down_servers.empty()) refresh_opinion_until_ = now() + settings_.opinion_lifetime;
    own_opinion.incarnation = channel_->incarnation();
    own_opinion.received_at = now();
    own_opinion.down_servers = std::move(down_servers);
    // The last opinion that named a backend server has expired at all peers, so nothing has to be retracted.
    if (now() >= refresh_opinion_until_) return;
    ++own_opinion.stamp;
    own_opinion.remaining_sends = sends_per_opinion;
}

void health_monitor::impl::publish_loads() {
    for (const backend_server_id id : observed_servers_) {
        server_state& server = servers_.at(id);
        if (server.observers.front() != channel_->self() || server.own_observation->reported_at == steady_time{})
            continue;
        const load_level level = measured_level(server);
        const bool       refresh_due = level != 0 && now() - server.level_measured_at >= settings_.load_refresh;
        const bool       changed = level != server.level && now() - server.level_measured_at >= min_level_interval;
        if (!refresh_due && !changed) continue;
        server.level = level;
        server.sequence = (server.sequence + 1) & sequence_mask;
        server.level_measured_at = now();
        server.level_unsent = true;
    }
}

void health_monitor::impl::receive_opinion(const wire::Opinions& received) {
    if (received.observer() == channel_->self()) return;
    const bool from_member = std::ranges::any_of(members_, [&](const member& peer) {
        return peer.id == received.observer() && peer.incarnation <= received.life() &&
               peer.state != member_state::dead;
    });
    if (!from_member) return;
    opinion&   stored = opinions_[received.observer()];
    const bool expired = now() - stored.received_at > settings_.opinion_lifetime;
    if (!expired && std::pair(received.life(), received.stamp()) <= std::pair(stored.incarnation, stored.stamp)) return;
    stored.incarnation = received.life();
    stored.stamp = received.stamp();
    stored.down_servers.assign(received.down().begin(), received.down().end());
    std::ranges::sort(stored.down_servers);
    stored.received_at = now();
    stored.remaining_sends = sends_per_opinion;
}

void health_monitor::impl::receive_load(const load_entry& received) {
    const auto found = servers_.find(received.id);
    if (found == servers_.end() || received.age > settings_.report_lifetime) return;
    server_state& stored = found->second;
    const bool    expired =
        stored.level_measured_at == steady_time{} || now() - stored.level_measured_at > settings_.report_lifetime;
    const auto ahead = static_cast<std::uint8_t>((received.sequence - stored.sequence) & sequence_mask);
    if (!expired && (ahead == 0 || ahead > sequence_mask / 2)) return; // a repetition or an older level
    stored.level = received.level;
    stored.sequence = received.sequence;
    stored.level_measured_at = now() - received.age;
    stored.level_unsent = true;
}

bool health_monitor::impl::receive(const envelope& message) {
    wire::HealthMessage received;
    const bool parsed = received.ParseFromArray(message.payload.data(), static_cast<int>(message.payload.size()));
    if (!parsed) {
        ++counters_.malformed;
        return false;
    }
    for (const wire::Opinions& received_opinion : received.opinions())
        receive_opinion(received_opinion);
    for (const std::uint64_t value : received.loads()) {
        const auto load = unpack_load(value);
        if (load) {
            receive_load(*load);
        } else {
            ++counters_.malformed;
        }
    }
    return true;
}

std::vector<const member*> health_monitor::impl::choose_gossip_peers() {
    std::vector<const member*> peers;
    for (const member& peer : members_)
        if (peer.id != channel_->self() && may_observe(peer)) peers.push_back(&peer);
    std::ranges::shuffle(peers, random_);
    if (peers.size() > settings_.gossip_peers) peers.resize(settings_.gossip_peers);
    return peers;
}

bool health_monitor::impl::add_opinions(wire::HealthMessage& message) {
    std::size_t size = 0;
    for (auto& [observer, stored] : opinions_) {
        if (stored.remaining_sends == 0) continue;
        wire::Opinions encoded;
        encoded.set_observer(observer);
        encoded.set_life(stored.incarnation);
        encoded.set_stamp(stored.stamp);
        encoded.mutable_down()->Assign(stored.down_servers.begin(), stored.down_servers.end());
        size += encoded.ByteSizeLong() + 3; // tag and length
        if (size > max_control_payload) break;
        --stored.remaining_sends;
        *message.add_opinions() = std::move(encoded);
        if (message.opinions_size() >= static_cast<int>(max_opinions)) break;
    }
    return message.opinions_size() != 0;
}

// Adds the highest loads first. Loads that do not fit are dropped, and peers treat those backend servers as neutral.
void health_monitor::impl::add_loads(wire::HealthMessage& message, std::size_t peer_count) {
    std::vector<std::pair<load_level, backend_server_id>> pending;
    for (const auto& [id, server] : servers_)
        if (server.level_unsent) pending.emplace_back(server.level, id);
    std::ranges::sort(pending, std::greater<>());
    const std::size_t room = (max_control_payload - std::min(max_control_payload, message.ByteSizeLong())) / load_size;
    std::size_t       added = 0;
    for (const auto& [level, id] : pending) {
        server_state& server = servers_.at(id);
        server.level_unsent = false;
        if (now() - server.level_measured_at > settings_.report_lifetime) continue;
        if (added >= std::min(room, max_loads) ||
            !load_budget_.take(static_cast<double>(load_size * peer_count), now())) {
            ++counters_.loads_not_sent;
            continue;
        }
        message.add_loads(pack_load({id, server.level, server.sequence, now() - server.level_measured_at}));
        ++added;
    }
}

void health_monitor::impl::send_gossip() {
    if (now() < next_gossip_) return;
    next_gossip_ = now() + jittered(settings_.gossip_interval);
    const auto peers = choose_gossip_peers();
    const bool opinions_pending =
        std::ranges::any_of(opinions_, [](const auto& stored) { return stored.second.remaining_sends != 0; });
    const auto required_budget = opinions_pending ? message_priority::normal : message_priority::low;
    // Without budget, the pending opinions and loads stay pending for the next round.
    if (peers.empty() || !channel_->has_budget(required_budget, max_control_payload)) return;
    wire::HealthMessage message;
    const bool          has_opinions = add_opinions(message);
    add_loads(message, peers.size());
    if (!has_opinions && message.loads_size() == 0) return;
    const std::string payload = message.SerializeAsString();
    const auto        priority = has_opinions ? message_priority::normal : message_priority::low;
    for (const member* peer : peers) {
        auto sealed = channel_->seal(message_type::health, priority, std::as_bytes(std::span(payload)), peer->id);
        if (sealed.has_error()) {
            counters_.loads_not_sent += static_cast<std::uint64_t>(message.loads_size());
            return;
        }
        ++counters_.messages_sent;
        outgoing_datagrams_.push_back({peer->control, std::move(sealed.value())});
    }
}

void health_monitor::impl::tick() {
    detect_pause();
    assign_observers();
    send_due_probes();
    publish_opinion();
    publish_loads();
    update_verdicts();
    send_gossip();
}

//----------------------------------------------------------------------------------------------------------------------
// Public interface
//----------------------------------------------------------------------------------------------------------------------

health_monitor::health_monitor(const health_settings& settings, control_channel& channel, const clock& time,
                               std::uint64_t random_seed)
    : impl_(std::make_unique<impl>(settings, channel, time, random_seed)) {}
health_monitor::~health_monitor() = default;

void health_monitor::set_configuration(const configuration& new_configuration) {
    impl_->set_configuration(new_configuration);
}

void health_monitor::set_members(std::span<const member> members) {
    impl_->set_members(members);
}

void health_monitor::set_full(backend_server_id id, bool full) {
    const auto found = impl_->servers_.find(id);
    if (found != impl_->servers_.end()) found->second.full = full;
}

bool health_monitor::receive(const envelope& message) {
    return impl_->receive(message);
}

void health_monitor::probe_finished(const probe_result& result) {
    impl_->probe_finished(result);
}

void health_monitor::tick() {
    impl_->tick();
}

std::vector<probe_request> health_monitor::take_probes() {
    return std::exchange(impl_->outgoing_probes_, {});
}

std::vector<datagram> health_monitor::take_datagrams() {
    return std::exchange(impl_->outgoing_datagrams_, {});
}

const std::vector<backend_status>& health_monitor::statuses() const {
    return impl_->statuses_;
}

std::uint64_t health_monitor::version() const {
    return impl_->version_;
}

const health_counters& health_monitor::counters() const {
    return impl_->counters_;
}

} // namespace tamarack
