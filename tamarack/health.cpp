// Probes, opinions of the observers, verdicts, and the spread of loads.
#include "tamarack/health.h"

#include "health.pb.h"

#include <algorithm>
#include <cmath>
#include <map>

#define XXH_INLINE_ALL // the library is not linked
#include <xxhash.h>

namespace tamarack {

namespace {

using level_number = std::uint8_t;

constexpr level_number  level_steps = 8;    // of utilisation 0 .. 1; 0 is neutral
constexpr level_number  level_refusing = 9; // full or shedding
constexpr float         max_penalty = 4.0F;
constexpr std::uint64_t level_bits = 4;
constexpr std::uint64_t sequence_bits = 5;
constexpr std::uint64_t age_bits = 5;
constexpr duration      age_unit = std::chrono::milliseconds(200);
constexpr std::uint8_t  sequence_mask = (1U << sequence_bits) - 1;
constexpr std::size_t   load_size = 5;      // bytes of one load in a message, at most for ids under 2,097,152
constexpr std::size_t   max_loads = 200;    // of one message
constexpr std::size_t   max_down = 250;     // of one opinion; more than an observer has at the expected size
constexpr std::size_t   max_opinions = 8;   // of one message
constexpr unsigned      opinion_sends = 2;  // times spread_members
constexpr double        load_burst = 4'096; // bytes
constexpr duration      assign_interval = std::chrono::seconds(1); // ranking all members takes milliseconds
constexpr duration      judge_interval = std::chrono::milliseconds(200);
constexpr duration      min_load_change = std::chrono::seconds(1); // between two spread levels of a backend server
constexpr duration      late_result_time = std::chrono::milliseconds(500);

std::uint64_t rank(backend_server_id server, member_id member) {
    const std::array<std::uint32_t, 2> pair = {server, member};
    return XXH3_64bits(pair.data(), sizeof pair);
}

bool observes(const member& who) {
    return who.state == member_state::alive || who.state == member_state::suspect;
}

float penalty_of(level_number level) {
    if (level >= level_refusing) return max_penalty;
    const float utilisation = static_cast<float>(level) / level_steps;
    return 1.0F + (max_penalty - 1.0F) * utilisation * utilisation;
}

struct load_entry {
    backend_server_id id = 0;
    level_number      level = 0;
    std::uint8_t      sequence = 0;
    duration          age{};
};

std::uint64_t pack(const load_entry& item) {
    const auto units = static_cast<std::uint64_t>((item.age + age_unit - duration(1)) / age_unit);
    const auto age = std::min<std::uint64_t>(units, (1U << age_bits) - 1);
    return ((std::uint64_t{item.id} << level_bits | item.level) << sequence_bits | item.sequence) << age_bits | age;
}

std::optional<load_entry> unpack(std::uint64_t value) {
    load_entry item;
    item.age = age_unit * (value & ((1U << age_bits) - 1));
    value >>= age_bits;
    item.sequence = static_cast<std::uint8_t>(value & sequence_mask);
    value >>= sequence_bits;
    item.level = static_cast<level_number>(value & ((1U << level_bits) - 1));
    value >>= level_bits;
    if (value == 0 || value > UINT32_MAX || item.level > level_refusing) return std::nullopt;
    item.id = static_cast<backend_server_id>(value);
    return item;
}

} // namespace

std::vector<member_id> observers_of(backend_server_id id, std::span<const member> members) {
    std::array<std::pair<std::uint64_t, member_id>, observers_per_server> best{}; // highest first
    for (const member& who : members) {
        if (!observes(who)) continue;
        std::pair<std::uint64_t, member_id> item{rank(id, who.id), who.id};
        for (auto& place : best)
            if (item > place) std::swap(item, place);
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

class health::impl {
public:
    impl(const health_settings& settings, control_channel& channel, const clock& time, std::uint64_t random_seed)
        : settings_(settings), channel_(&channel), time_(&time), random_(random_seed),
          load_share_(settings.load_rate, load_burst, time.steady_now()), last_tick_(now()) {}

    // What this balancer found by its own probes.
    struct observation {
        steady_time   next_probe{};
        std::uint64_t probe = 0; // id of the one under way; 0: none
        steady_time   probe_lost{};
        unsigned      failures = 0;  // in a row
        unsigned      successes = 0; // in a row
        bool          down = false;
        load_report   report;
        steady_time   reported{};      // last report; zero: none
        steady_time   changed{};       // when the report last differed from the one before
        steady_time   shedding{};      // last report of shedding; zero: none
        double        utilisation = 0; // damped, 0 .. 1
    };

    struct server {
        service_id                 service = 0;
        endpoint                   target;
        bool                       active = true;
        std::uint32_t              max_flows = 0;
        std::vector<member_id>     observers; // best first
        steady_time                observers_changed{};
        std::optional<observation> own; // while this balancer is an observer
        // Load as spread by the first observer.
        level_number               level = 0;
        std::uint8_t               sequence = 0;
        steady_time                origin{};        // when the level was found; zero: never
        bool                       waiting = false; // to be spread
        // Verdict.
        bool                       failing = false; // by the observers
        bool                       out = false;     // failing, and the service is not in panic mode
        steady_time                out_since{};
        bool                       full = false;
    };

    struct opinion {
        incarnation                    life = 0;
        std::uint32_t                  stamp = 0;
        std::vector<backend_server_id> down; // sorted
        steady_time                    received{};
        unsigned                       sends = 0; // still to be made
    };

    const health_settings settings_;
    control_channel*      channel_;
    const clock*          time_;
    random_source         random_;
    token_bucket          load_share_;

    std::map<backend_server_id, server> servers_;
    std::vector<backend_server_id>      observed_; // by this balancer
    std::map<service_id, bool>          panic_;
    std::vector<member>                 members_;
    std::map<member_id, opinion>        opinions_; // of members_ only; this balancer's own included
    bool                                assignment_old_ = false;
    std::uint64_t                       next_probe_id_ = 1;

    steady_time last_tick_;
    steady_time next_assignment_{};
    steady_time next_judgement_{};
    steady_time next_spread_{};
    steady_time next_publication_{};
    steady_time publish_until_{}; // opinions are refreshed until then

    std::vector<backend_status> statuses_;
    std::uint64_t               version_ = 1;
    std::vector<probe_request>  probes_;
    std::vector<datagram>       datagrams_;
    health_counters             counters_;

    steady_time now() const { return time_->steady_now(); }

    void set_configuration(const configuration& services);
    void set_members(std::span<const member> members);
    bool receive(const envelope& message);
    void probe_finished(const probe_result& result);
    void tick();

private:
    duration                   jittered(duration about);
    void                       assign();
    void                       notice_pause();
    void                       probe_due();
    void                       count_probe(observation& own, bool reachable);
    void                       take_report(server& item, const load_report& report);
    level_number               own_level(const server& item) const;
    level_number               known_level(const server& item) const;
    bool                       says_down(const server& item, member_id observer, backend_server_id id) const;
    void                       judge();
    void                       judge_panic();
    void                       rebuild_statuses();
    void                       publish_opinion();
    void                       publish_loads();
    void                       take_opinion(const wire::Opinions& news);
    void                       take_load(const load_entry& news);
    std::vector<const member*> pick_peers();
    void                       spread();
    bool                       add_opinions(wire::HealthMessage& message);
    void                       add_loads(wire::HealthMessage& message, std::size_t copies);
};

duration health::impl::jittered(duration about) {
    std::uniform_real_distribution<double> factor(0.9, 1.1);
    return std::chrono::duration_cast<duration>(about * factor(random_));
}

//----------------------------------------------------------------------------------------------------------------------
// Assignment
//----------------------------------------------------------------------------------------------------------------------

void health::impl::set_configuration(const configuration& services) {
    std::map<backend_server_id, server> next;
    for (const service& group : services.services) {
        for (const backend_server& configured : group.backend_servers) {
            if (configured.health.port == 0) continue;
            server&    item = next[configured.id];
            const auto known = servers_.find(configured.id);
            if (known != servers_.end()) item = std::move(known->second);
            if (item.target != configured.health) item.own.reset();
            item.service = group.id;
            item.target = configured.health;
            item.active = configured.state == backend_state::active;
            item.max_flows = configured.limits.max_flows;
        }
    }
    servers_ = std::move(next);
    observed_.clear();
    assignment_old_ = true;
    next_assignment_ = now();
}

void health::impl::set_members(std::span<const member> members) {
    const auto is_new = [this](const member& who) {
        return std::ranges::none_of(members_,
                                    [&](const member& old) { return old.id == who.id && old.life == who.life; });
    };
    // A member that has just started knows no opinion; it need not wait for the next refresh.
    if (std::ranges::any_of(members, is_new)) {
        next_publication_ = std::min(next_publication_, now() + jittered(std::chrono::seconds(1)));
    }
    const auto ids_of_observers = [](std::span<const member> all) {
        std::vector<member_id> ids;
        for (const member& who : all)
            if (observes(who)) ids.push_back(who.id);
        return ids;
    };
    if (ids_of_observers(members_) != ids_of_observers(members)) assignment_old_ = true;
    members_.assign(members.begin(), members.end());
    std::erase_if(opinions_, [this](const auto& item) {
        return std::ranges::none_of(members_, [&](const member& who) {
            return who.id == item.first && who.life <= item.second.life && who.state != member_state::dead;
        });
    });
}

void health::impl::assign() {
    if (!assignment_old_ || now() < next_assignment_) return;
    assignment_old_ = false;
    next_assignment_ = now() + assign_interval;
    observed_.clear();
    for (auto& [id, item] : servers_) {
        auto observers = observers_of(id, members_);
        if (observers != item.observers) {
            item.observers = std::move(observers);
            item.observers_changed = now();
        }
        const bool observed = std::ranges::find(item.observers, channel_->self()) != item.observers.end();
        if (observed) observed_.push_back(id);
        if (!observed) item.own.reset();
        if (!observed || item.own) continue;
        // A new observer starts from what it knows, so that a change of observers changes no verdict.
        const level_number level = known_level(item);
        item.own = observation{};
        item.own->down = item.failing;
        if (item.failing) next_publication_ = now();
        item.own->utilisation = static_cast<double>(std::min(level, level_steps)) / level_steps;
        item.own->next_probe = now() + std::chrono::duration_cast<duration>(
                                           settings_.probe_interval * std::uniform_real_distribution<>(0, 1)(random_));
    }
}

//----------------------------------------------------------------------------------------------------------------------
// Probes
//----------------------------------------------------------------------------------------------------------------------

void health::impl::notice_pause() {
    const bool paused = now() - last_tick_ > settings_.pause_gap;
    last_tick_ = now();
    if (!paused) return;
    for (const backend_server_id id : observed_)
        servers_.at(id).own->probe = 0;
}

void health::impl::probe_due() {
    for (const backend_server_id id : observed_) {
        server&      item = servers_.at(id);
        observation& own = *item.own;
        if (own.probe != 0 && now() >= own.probe_lost) count_probe(own, false);
        if (own.probe != 0 || now() < own.next_probe) continue;
        own.probe = next_probe_id_++;
        own.probe_lost = now() + settings_.probe_deadline + late_result_time;
        own.next_probe = now() + jittered(settings_.probe_interval);
        probes_.push_back({own.probe, id, item.target, settings_.probe_deadline});
        ++counters_.probes_sent;
    }
}

void health::impl::count_probe(observation& own, bool reachable) {
    own.probe = 0;
    own.failures = reachable ? 0 : own.failures + 1;
    own.successes = reachable ? own.successes + 1 : 0;
    if (!reachable) ++counters_.probes_failed;
    const bool down = own.down ? own.successes < settings_.successes_to_up : own.failures >= settings_.failures_to_down;
    if (down != own.down) next_publication_ = now();
    own.down = down;
}

void health::impl::probe_finished(const probe_result& result) {
    const auto found = servers_.find(result.backend_server);
    if (found == servers_.end() || !found->second.own || found->second.own->probe != result.id || result.id == 0)
        return;
    count_probe(*found->second.own, result.reachable);
    if (result.reachable && result.load) take_report(found->second, *result.load);
}

void health::impl::take_report(server& item, const load_report& report) {
    observation& own = *item.own;
    const bool   first = own.reported == steady_time{};
    if (first || report != own.report) own.changed = now();
    own.report = report;
    own.reported = now();
    if (report.shedding) own.shedding = now();
    if (report.total_slots == 0) return;
    const double busy = std::min(1.0, static_cast<double>(report.busy_slots) / report.total_slots);
    own.utilisation += (busy - own.utilisation) * (busy > own.utilisation ? settings_.rise : settings_.fall);
}

// The level by this balancer's own probes.
level_number health::impl::own_level(const server& item) const {
    const observation& own = *item.own;
    if (own.reported == steady_time{} || now() - own.reported > settings_.report_lifetime) return 0;
    const bool shedding = own.shedding != steady_time{} && now() - own.shedding <= settings_.shedding_hold;
    const bool at_limit = item.max_flows != 0 && own.report.connections >= item.max_flows;
    if (shedding || at_limit) return level_refusing;
    if (now() - own.changed > settings_.report_lifetime || own.report.total_slots == 0) return 0;
    return static_cast<level_number>(std::lround(own.utilisation * level_steps));
}

level_number health::impl::known_level(const server& item) const {
    if (item.full) return level_refusing;
    if (item.own && item.own->reported != steady_time{}) return own_level(item);
    if (item.origin == steady_time{} || now() - item.origin > settings_.report_lifetime) return 0;
    return item.level;
}

//----------------------------------------------------------------------------------------------------------------------
// Verdicts
//----------------------------------------------------------------------------------------------------------------------

bool health::impl::says_down(const server& item, member_id observer, backend_server_id id) const {
    if (observer == channel_->self()) return item.own && item.own->down;
    const auto found = opinions_.find(observer);
    const bool known = found != opinions_.end() && now() - found->second.received <= settings_.opinion_lifetime;
    // An observer that has just become one may not have spoken about this backend server yet.
    const bool in_grace = now() - item.observers_changed < settings_.handover_grace;
    if (in_grace && (!known || found->second.received < item.observers_changed)) return item.failing;
    return known && std::ranges::binary_search(found->second.down, id);
}

void health::impl::judge() {
    if (now() < next_judgement_) return;
    next_judgement_ = now() + judge_interval;
    for (auto& [id, item] : servers_) {
        std::size_t down = 0;
        for (const member_id observer : item.observers)
            if (says_down(item, observer, id)) ++down;
        const std::size_t needed = std::min(settings_.observers_to_out, item.observers.size());
        item.failing = needed != 0 && down >= needed;
    }
    judge_panic();
    rebuild_statuses();
}

// When more than half of a service fails its probes, the probes are more likely at fault than all these servers.
void health::impl::judge_panic() {
    struct tally {
        std::size_t active = 0;
        std::size_t failing = 0;
    };
    std::map<service_id, tally> tallies;
    for (const auto& [id, item] : servers_) {
        if (!item.active) continue;
        ++tallies[item.service].active;
        if (item.failing) ++tallies[item.service].failing;
    }
    std::erase_if(panic_, [&](const auto& item) { return !tallies.contains(item.first); });
    for (const auto& [service, counts] : tallies) {
        const bool panic = 2 * counts.failing > counts.active;
        if (panic && !panic_[service]) ++counters_.panics;
        panic_[service] = panic;
    }
    for (auto& [id, item] : servers_) {
        const auto panic = panic_.find(item.service);
        const bool out = item.failing && (panic == panic_.end() || !panic->second);
        if (out && !item.out) {
            item.out_since = now();
            ++counters_.taken_out;
        }
        item.out = out;
    }
}

void health::impl::rebuild_statuses() {
    std::map<service_id, std::vector<level_number>> levels;
    for (const auto& [id, item] : servers_)
        if (item.active && !item.out) levels[item.service].push_back(known_level(item));
    std::map<service_id, float> medians;
    for (auto& [service, values] : levels) {
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
        std::ranges::nth_element(values, middle);
        medians[service] = penalty_of(*middle);
    }
    std::vector<backend_status> next;
    for (const auto& [id, item] : servers_) {
        const level_number level = known_level(item);
        const auto         median = medians.find(item.service);
        float              penalty = penalty_of(level);
        // Relative to the others: a server without a report must not be preferred when all others are loaded. One that
        // refuses work keeps the full penalty.
        if (level != level_refusing && median != medians.end()) penalty = std::max(1.0F, penalty / median->second);
        if (item.out || penalty > 1.0F)
            next.push_back({id, !item.out, item.out ? item.out_since : steady_time{}, penalty});
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
// Spread
//----------------------------------------------------------------------------------------------------------------------

// Makes a new version of this balancer's opinion when it changed, or when it has to be refreshed.
void health::impl::publish_opinion() {
    if (now() < next_publication_) return;
    next_publication_ = now() + jittered(settings_.opinion_refresh);
    std::vector<backend_server_id> down;
    for (const backend_server_id id : observed_)
        if (servers_.at(id).own->down) down.push_back(id);
    if (down.size() > max_down) {
        down.resize(max_down);
        ++counters_.opinions_cut;
    }
    opinion& own = opinions_[channel_->self()];
    if (!down.empty()) publish_until_ = now() + settings_.opinion_lifetime;
    own.life = channel_->life();
    own.received = now();
    own.down = std::move(down);
    if (now() >= publish_until_) return; // no peer holds an older version any more
    ++own.stamp;
    own.sends = opinion_sends;
}

void health::impl::publish_loads() {
    for (const backend_server_id id : observed_) {
        server& item = servers_.at(id);
        if (item.observers.front() != channel_->self() || item.own->reported == steady_time{}) continue;
        const level_number level = own_level(item);
        const bool         late = level != 0 && now() - item.origin >= settings_.load_refresh;
        const bool         changed = level != item.level && now() - item.origin >= min_load_change;
        if (!late && !changed) continue;
        item.level = level;
        item.sequence = (item.sequence + 1) & sequence_mask;
        item.origin = now();
        item.waiting = true;
    }
}

void health::impl::take_opinion(const wire::Opinions& news) {
    if (news.observer() == channel_->self()) return;
    const bool known = std::ranges::any_of(members_, [&](const member& who) {
        return who.id == news.observer() && who.life <= news.life() && who.state != member_state::dead;
    });
    if (!known) return;
    opinion&   held = opinions_[news.observer()];
    const bool expired = now() - held.received > settings_.opinion_lifetime;
    if (!expired && std::pair(news.life(), news.stamp()) <= std::pair(held.life, held.stamp)) return;
    held.life = news.life();
    held.stamp = news.stamp();
    held.down.assign(news.down().begin(), news.down().end());
    std::ranges::sort(held.down);
    held.received = now();
    held.sends = opinion_sends;
}

void health::impl::take_load(const load_entry& news) {
    const auto found = servers_.find(news.id);
    if (found == servers_.end() || news.age > settings_.report_lifetime) return;
    server&    held = found->second;
    const bool expired = held.origin == steady_time{} || now() - held.origin > settings_.report_lifetime;
    const auto ahead = static_cast<std::uint8_t>((news.sequence - held.sequence) & sequence_mask);
    if (!expired && (ahead == 0 || ahead > sequence_mask / 2)) return;
    held.level = news.level;
    held.sequence = news.sequence;
    held.origin = now() - news.age;
    held.waiting = true;
}

bool health::impl::receive(const envelope& message) {
    wire::HealthMessage news;
    const bool          parsed = news.ParseFromArray(message.payload.data(), static_cast<int>(message.payload.size()));
    if (!parsed) {
        ++counters_.malformed;
        return false;
    }
    for (const wire::Opinions& item : news.opinions())
        take_opinion(item);
    for (const std::uint64_t value : news.loads()) {
        const auto item = unpack(value);
        if (item) {
            take_load(*item);
        } else {
            ++counters_.malformed;
        }
    }
    return true;
}

std::vector<const member*> health::impl::pick_peers() {
    std::vector<const member*> peers;
    for (const member& who : members_)
        if (who.id != channel_->self() && observes(who)) peers.push_back(&who);
    std::ranges::shuffle(peers, random_);
    if (peers.size() > settings_.spread_members) peers.resize(settings_.spread_members);
    return peers;
}

bool health::impl::add_opinions(wire::HealthMessage& message) {
    std::size_t size = 0;
    for (auto& [observer, item] : opinions_) {
        if (item.sends == 0) continue;
        wire::Opinions news;
        news.set_observer(observer);
        news.set_life(item.life);
        news.set_stamp(item.stamp);
        news.mutable_down()->Assign(item.down.begin(), item.down.end());
        size += news.ByteSizeLong() + 3; // tag and length
        if (size > max_control_payload) break;
        --item.sends;
        *message.add_opinions() = std::move(news);
        if (message.opinions_size() >= static_cast<int>(max_opinions)) break;
    }
    return message.opinions_size() != 0;
}

// The highest loads first: when not all can be sent, the others count as neutral.
void health::impl::add_loads(wire::HealthMessage& message, std::size_t copies) {
    std::vector<std::pair<level_number, backend_server_id>> waiting;
    for (const auto& [id, item] : servers_)
        if (item.waiting) waiting.emplace_back(item.level, id);
    std::ranges::sort(waiting, std::greater<>());
    const std::size_t room = (max_control_payload - std::min(max_control_payload, message.ByteSizeLong())) / load_size;
    std::size_t       taken = 0;
    for (const auto& [level, id] : waiting) {
        server& item = servers_.at(id);
        item.waiting = false;
        if (now() - item.origin > settings_.report_lifetime) continue;
        if (taken >= std::min(room, max_loads) || !load_share_.take(static_cast<double>(load_size * copies), now())) {
            ++counters_.loads_not_sent;
            continue;
        }
        message.add_loads(pack({id, item.level, item.sequence, now() - item.origin}));
        ++taken;
    }
}

void health::impl::spread() {
    if (now() < next_spread_) return;
    next_spread_ = now() + jittered(settings_.spread_interval);
    const auto peers = pick_peers();
    const bool pending = std::ranges::any_of(opinions_, [](const auto& item) { return item.second.sends != 0; });
    const auto lowest = pending ? message_priority::normal : message_priority::low;
    // What is waiting is sent later rather than lost.
    if (peers.empty() || !channel_->has_budget(lowest, max_control_payload)) return;
    wire::HealthMessage message;
    const bool          verdicts = add_opinions(message);
    add_loads(message, peers.size());
    if (!verdicts && message.loads_size() == 0) return;
    const std::string payload = message.SerializeAsString();
    const auto        priority = verdicts ? message_priority::normal : message_priority::low;
    for (const member* peer : peers) {
        auto sealed = channel_->seal(message_type::health, priority, std::as_bytes(std::span(payload)), peer->id);
        if (sealed.has_error()) {
            counters_.loads_not_sent += static_cast<std::uint64_t>(message.loads_size());
            return;
        }
        ++counters_.messages_sent;
        datagrams_.push_back({peer->control, std::move(sealed.value())});
    }
}

void health::impl::tick() {
    notice_pause();
    assign();
    probe_due();
    publish_opinion();
    publish_loads();
    judge();
    spread();
}

//----------------------------------------------------------------------------------------------------------------------
// Public interface
//----------------------------------------------------------------------------------------------------------------------

health::health(const health_settings& settings, control_channel& channel, const clock& time, std::uint64_t random_seed)
    : impl_(std::make_unique<impl>(settings, channel, time, random_seed)) {}
health::~health() = default;

void health::set_configuration(const configuration& services) {
    impl_->set_configuration(services);
}

void health::set_members(std::span<const member> members) {
    impl_->set_members(members);
}

void health::set_full(backend_server_id id, bool full) {
    const auto found = impl_->servers_.find(id);
    if (found != impl_->servers_.end()) found->second.full = full;
}

bool health::receive(const envelope& message) {
    return impl_->receive(message);
}

void health::probe_finished(const probe_result& result) {
    impl_->probe_finished(result);
}

void health::tick() {
    impl_->tick();
}

std::vector<probe_request> health::take_probes() {
    return std::exchange(impl_->probes_, {});
}

std::vector<datagram> health::take_datagrams() {
    return std::exchange(impl_->datagrams_, {});
}

const std::vector<backend_status>& health::statuses() const {
    return impl_->statuses_;
}

std::uint64_t health::version() const {
    return impl_->version_;
}

const health_counters& health::counters() const {
    return impl_->counters_;
}

} // namespace tamarack
