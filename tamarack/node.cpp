// Connects the components of one balancer: takes events from the control thread, returns actions and publishes states.
//
// Sections: events; messages and revisions; publication; replication of idle placements; graceful stop; queries; public
// functions.
#include "tamarack/node.h"

#include "tamarack/configuration_replica.h"
#include "tamarack/counter_names.h"
#include "tamarack/membership.h"
#include "tamarack/placement_replication.h"

#include <algorithm>
#include <mutex>
#include <sodium.h>

namespace tamarack {

namespace {

// A state is published at least this often. A forwarder that was paused resumes with the next state.
constexpr duration    publish_interval = std::chrono::milliseconds(250);
constexpr duration    replication_interval = std::chrono::milliseconds(250);
constexpr std::size_t placements_per_interval = 120;                     // per partition
constexpr duration    leave_announcement_time = std::chrono::seconds(3); // for peers to learn of the stop
constexpr duration    stop_check_interval = std::chrono::seconds(1);     // each check scans the flow table
// After a network partition has healed, balancers act on rankings that are still converging. After this time their
// placements have been found.
constexpr duration    ranking_merge_time = std::chrono::seconds(10);
// A failure domain whose hosts have all died counts as separated by a network partition during this time, then as dead.
constexpr duration    network_partition_suspicion_time = std::chrono::minutes(10);

// The relay keys are derived from the control keys, so that one secret per cluster is enough.
relay_key derive_relay_key(const control_key& key) {
    constexpr std::string_view purpose = "tamarack relay frames";
    relay_key                  derived{};
    crypto_generichash(reinterpret_cast<unsigned char*>(derived.data()), derived.size(),
                       reinterpret_cast<const unsigned char*>(purpose.data()), purpose.size(),
                       reinterpret_cast<const unsigned char*>(key.data()), key.size());
    return derived;
}

relay_keys derive_relay_keys(const control_keys& keys) {
    relay_keys derived{derive_relay_key(keys.signing), std::nullopt};
    if (keys.also_accepted) derived.also_accepted = derive_relay_key(*keys.also_accepted);
    return derived;
}

incarnation_number milliseconds_of(wall_time time) {
    return static_cast<incarnation_number>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count());
}

node_settings with_incarnation(node_settings settings, const clock& time) {
    if (settings.self.incarnation == 0) {
        settings.self.incarnation = milliseconds_of(time.wall_now());
    }
    settings.partitions = std::max<std::size_t>(1, settings.partitions);
    return settings;
}

control_channel_settings channel_settings(const node_settings& settings) {
    return {settings.self.id, settings.self.incarnation, settings.cluster, settings.keys};
}

membership_settings membership_settings_of(const node_settings& settings) {
    membership_settings result;
    result.self = settings.self;
    result.seeds = settings.peers;
    return result;
}

replica_settings replica_settings_of(const node_settings& settings) {
    replica_settings result;
    result.self = settings.self.id;
    result.failure_domain = settings.self.failure_domain;
    result.cluster = settings.cluster;
    result.use_store = settings.use_store;
    result.store_deadline = settings.store_deadline;
    return result;
}

forwarder_settings forwarder_settings_of(const node_settings& settings) {
    forwarder_settings result;
    result.self = settings.self.id;
    result.self_incarnation = settings.self.incarnation;
    result.hash_seed = settings.hash_seed;
    result.table = settings.table;
    result.keys = derive_relay_keys(settings.keys);
    result.table.max_flows = std::max<std::size_t>(1, settings.table.max_flows / settings.partitions);
    return result;
}

// A traffic partition: a forwarder, and the lock under which it is used.
struct partition {
    partition(const forwarder_settings& settings, const clock& time) : target(settings, time) {}
    std::mutex lock;
    forwarder  target; // guarded by lock
};

// State of a member at the latest ranking, to detect members that return.
struct member_presence {
    incarnation_number         incarnation = 0; // 0: not seen before
    bool                       ranked = false;
    std::optional<steady_time> returned_at; // last return under the same incarnation
};

bool owns_buckets(member_state state) {
    return state == member_state::alive || state == member_state::suspect;
}

} // namespace

class node::impl {
public:
    impl(const node_settings& settings, const clock& time, std::uint64_t random_seed)
        : settings_(with_incarnation(settings, time)), time_(time), channel_(channel_settings(settings_), time),
          membership_(membership_settings_of(settings_), channel_, time, random_seed),
          replica_(replica_settings_of(settings_), time, random_seed + 1), health_({}, channel_, time, random_seed + 2),
          replication_(time) {
        const auto partition_settings = forwarder_settings_of(settings_);
        for (std::size_t i = 0; i < settings_.partitions; ++i)
            partitions_.push_back(std::make_unique<partition>(partition_settings, time));
        members_changed();
        publish(time.steady_now());
    }

    //------------------------------------------------------------------------------------------------------------------
    // Events
    //------------------------------------------------------------------------------------------------------------------

    void receive_control(byte_view bytes, const endpoint& sender) {
        if (state_ == stop_state::finished) return;
        const auto opened = channel_.open(bytes);
        if (opened.has_error()) {
            if (opened.error().error == open_error::superseded) membership_.receive_superseded(opened.error(), sender);
            return;
        }
        const envelope& message = opened.value();
        if (membership::handles(message.type)) {
            membership_.receive(message, sender);
        } else if (message.type == message_type::health) {
            health_.receive(message);
        } else if (message.type == message_type::configuration_delta) {
            replica_.receive(message.sender, message.payload);
        } else if (message.type == message_type::placements) {
            receive_placements(message);
        } else if (message.type == message_type::placements_stored) {
            receive_batch_answer(message);
        }
    }

    void tick() {
        if (state_ == stop_state::finished) return;
        const steady_time now = time_.steady_now();
        membership_.set_revision(replica_.revision());
        membership_.tick();
        if (membership_.version() != membership_version_) members_changed();
        collect_peer_revisions();
        replica_.tick();
        if (replica_.current() != health_configuration_) {
            health_configuration_ = replica_.current();
            health_.set_configuration(*health_configuration_);
        }
        health_.tick();
        if (publish_needed(now)) publish(now);
        replicate_idle_placements(now);
        continue_stop(now);
    }

    void members_changed() {
        membership_version_ = membership_.version();
        const auto members = membership_.members();
        replica_.set_members(members);
        health_.set_members(members);
        update_unreachable_domains(members);
        ranking_outdated_ = true;
    }

    //------------------------------------------------------------------------------------------------------------------
    // Messages and revisions
    //------------------------------------------------------------------------------------------------------------------

    void collect_peer_revisions() {
        for (const auto& item : membership_.members()) {
            const revision_number heard = membership_.revision_of(item.id);
            if (item.id != settings_.self.id && heard > replica_.revision()) replica_.receive_digest(item.id, heard);
        }
        for (const auto& part : partitions_) {
            const std::lock_guard guard(part->lock);
            const auto            seen = part->target.newest_revision_seen();
            if (seen.revision > replica_.revision() && seen.sender != 0)
                replica_.receive_digest(seen.sender, seen.revision);
        }
    }

    void send(member_id recipient, message_type type, message_priority priority, byte_view payload) {
        const member* peer = membership_.find(recipient);
        if (peer == nullptr || peer->state == member_state::dead) return;
        auto sealed = channel_.seal(type, priority, payload, recipient);
        if (sealed.has_value()) pending_actions_.datagrams.push_back({peer->control, std::move(sealed).value()});
    }

    static message_priority priority_of(replica_priority priority) {
        return priority == replica_priority::normal ? message_priority::high : message_priority::normal;
    }

    control_actions take_actions() {
        for (auto& item : health_.take_datagrams())
            pending_actions_.datagrams.push_back(std::move(item));
        for (const auto& item : health_.take_probes())
            pending_actions_.probe_requests.push_back(item);
        for (auto& item : membership_.take_datagrams())
            pending_actions_.datagrams.push_back(std::move(item));
        replica_actions actions = replica_.take_actions();
        for (auto& item : actions.store)
            pending_actions_.store_requests.push_back(std::move(item));
        for (auto& item : actions.changes)
            pending_actions_.change_results.push_back(std::move(item));
        for (const auto& item : actions.messages) {
            send(item.recipient, message_type::configuration_delta, priority_of(item.priority), item.payload);
        }
        control_actions actions_taken;
        std::swap(actions_taken, pending_actions_);
        return actions_taken;
    }

    //------------------------------------------------------------------------------------------------------------------
    // Publication
    //------------------------------------------------------------------------------------------------------------------

    bool publish_needed(steady_time now) const {
        return ranking_outdated_ || replica_.current() != published_->services ||
               health_.version() != published_health_version_ || may_place() != published_->may_place ||
               now - published_->built_at >= publish_interval;
    }

    bool may_place() const { return membership_.is_acknowledged() && !membership_.superseded_by(); }

    void publish(steady_time now) {
        auto next = std::make_shared<forwarding_state>();
        next->built_at = now;
        next->services = replica_.current();
        for (const auto& item : membership_.members()) {
            if (item.state != member_state::dead) next->members.push_back(item);
        }
        if (ranking_outdated_) {
            detect_returned_members(membership_.members(), now);
            update_ranking(next->members, now);
        }
        history_ = advance(history_, history_.present, now); // drops expired rankings
        next->owners = history_;
        if (returned_ranking_.ranking && now - returned_ranking_.replaced_at < previous_ranking_lifetime) {
            next->owners.previous.insert(next->owners.previous.begin(), returned_ranking_);
        }
        next->statuses = health_.statuses();
        published_health_version_ = health_.version();
        next->may_place = may_place();
        if (returned_ranking_.ranking) next->no_reset_before = returned_ranking_.replaced_at + ranking_merge_time;
        next->leaving = state_ != stop_state::running;
        next->network_partition_suspected = network_partition_suspected(now);
        published_ = next;
        for (const auto& part : partitions_) {
            const std::lock_guard guard(part->lock);
            part->target.publish(next);
        }
    }

    // Detects members from the other side of a healed network partition: they return under the same incarnation, or
    // have been running for a while before this balancer first sees them. Flows placed on that side are held by the
    // owner and second holder under a ranking of those members only, which this balancer has never seen.
    void detect_returned_members(std::span<const member> members, steady_time now) {
        std::vector<member> returned;
        bool                changed = false;
        for (const auto& item : members) {
            member_presence& presence = presence_[item.id];
            const bool       ranked = owns_buckets(item.state);
            if (ranked && !presence.ranked && has_returned_after_partition(item, presence)) {
                presence.returned_at = now;
                changed = true;
            }
            presence.ranked = ranked;
            presence.incarnation = item.incarnation;
            if (ranked && presence.returned_at && now - *presence.returned_at < previous_ranking_lifetime)
                returned.push_back(item);
        }
        if (changed) returned_ranking_ = {std::make_shared<ownership>(returned), now};
    }

    bool has_returned_after_partition(const member& item, const member_presence& before) const {
        if (item.id == settings_.self.id) return false;
        if (before.incarnation != 0) return before.incarnation == item.incarnation;
        return item.incarnation < milliseconds_of(time_.wall_now() - previous_ranking_lifetime);
    }

    void update_ranking(std::span<const member> members, steady_time now) {
        ranking_outdated_ = false;

        // A balancer that has just joined has not seen the previous rankings.
        const bool joined = !reconstructed_ && membership_.is_acknowledged();
        if (joined) {
            reconstructed_ = true;
            history_ = reconstruct_history(members, time_.wall_now(), now);
            return;
        }
        history_ = advance(history_, std::make_shared<ownership>(members), now);
    }

    // If all hosts of a failure domain have died without leaving, they may be separated by a network partition instead.
    void update_unreachable_domains(std::span<const member> members) {
        std::map<std::string, std::pair<std::size_t, std::size_t>> domains; // numbers of dead and of other members
        for (const auto& item : members) {
            auto& [dead, present] = domains[item.failure_domain];
            ++(item.state == member_state::dead ? dead : present);
        }
        for (const auto& [name, counts] : domains) {
            const bool unreachable = counts.first > 0 && counts.second == 0;
            if (unreachable) {
                unreachable_since_.try_emplace(name, time_.steady_now());
            } else {
                unreachable_since_.erase(name);
            }
        }
    }

    bool network_partition_suspected(steady_time now) const {
        return std::any_of(unreachable_since_.begin(), unreachable_since_.end(),
                           [now](const auto& item) { return now - item.second < network_partition_suspicion_time; });
    }

    //------------------------------------------------------------------------------------------------------------------
    // Replication of idle placements
    //------------------------------------------------------------------------------------------------------------------

    void replicate_idle_placements(steady_time now) {
        if (now - last_replication_ < replication_interval) return;
        last_replication_ = now;
        constexpr std::size_t usual_payload = 512; // bytes; without a budget for it no placements are collected
        if (!channel_.has_budget(message_priority::low, usual_payload)) return;
        for (const auto& part : partitions_) {
            std::map<member_id, std::vector<replicated_placement>> batches;
            {
                const std::lock_guard guard(part->lock);
                batches = part->target.placements_to_replicate(placements_per_interval);
            }
            for (const auto& [peer, items] : batches)
                send_batch(peer, items);
        }
    }

    void send_batch(member_id peer, std::span<const replicated_placement> items) {
        if (replication_.awaits_answer_from(peer) || !channel_.has_budget(message_priority::low, max_control_payload))
            return;
        send(peer, message_type::placements, message_priority::low, replication_.make_batch(peer, items));
    }

    void receive_placements(const envelope& message) {
        const auto batch = placement_replication::read_batch(message.payload, *replica_.current());
        if (!batch) {
            ++malformed_batches_;
            return;
        }
        std::vector<bool> stored;
        for (const auto& item : batch->items) {
            partition&            part = partition_of(item.key);
            const std::lock_guard guard(part.lock);
            stored.push_back(item.record.tunnel.port != 0 && part.target.store_replicated(message.sender, item));
        }
        send(message.sender, message_type::placements_stored, message_priority::normal,
             placement_replication::make_answer(batch->number, stored));
    }

    void receive_batch_answer(const envelope& message) {
        const auto confirmed = replication_.read_answer(message.sender, message.payload);
        if (!confirmed) return;
        for (const auto& key : confirmed->flows) {
            partition&            part = partition_of(key);
            const std::lock_guard guard(part.lock);
            part.target.acknowledge_replicated(confirmed->peer, std::span(&key, 1));
        }
    }

    std::size_t partition_index(const flow_key& key) const {
        return static_cast<std::size_t>(key.high % partitions_.size());
    }
    partition& partition_of(const flow_key& key) { return *partitions_[partition_index(key)]; }

    //------------------------------------------------------------------------------------------------------------------
    // Graceful stop
    //------------------------------------------------------------------------------------------------------------------

    void begin_stop() {
        if (state_ != stop_state::running) return;
        state_ = stop_state::leaving;
        stop_started_ = time_.steady_now();
        last_stop_check_ = stop_started_;
        membership_.leave();
        ranking_outdated_ = true;
    }

    // Finishes the stop when another balancer holds every placement, or after stop_grace.
    void continue_stop(steady_time now) {
        if (state_ != stop_state::leaving || now - stop_started_ < leave_announcement_time) return;
        if (now - last_stop_check_ < stop_check_interval) return;
        last_stop_check_ = now;
        const std::size_t unreplicated = peers_present() ? unreplicated_placements() : 0;
        if (unreplicated > 0 && now - stop_started_ < settings_.stop_grace) return;
        abandoned_placements_ = unreplicated;
        membership_.depart();
        state_ = stop_state::finished;
    }

    void reconfigure(const node_settings& settings) {
        settings_.keys = settings.keys;
        channel_.set_keys(settings.keys);
        const auto keys = derive_relay_keys(settings.keys);
        for (const auto& part : partitions_) {
            const std::lock_guard guard(part->lock);
            part->target.reconfigure(keys, settings.table);
        }
    }

    bool peers_present() const {
        const auto members = membership_.members();
        return std::any_of(members.begin(), members.end(), [this](const member& item) {
            return item.id != settings_.self.id && owns_buckets(item.state);
        });
    }

    std::size_t unreplicated_placements() {
        std::size_t sum = 0;
        for (const auto& part : partitions_) {
            const std::lock_guard guard(part->lock);
            sum += part->target.unreplicated_placements();
        }
        return sum;
    }

    //------------------------------------------------------------------------------------------------------------------
    // Queries
    //------------------------------------------------------------------------------------------------------------------

    std::vector<member_status> members() const {
        std::vector<member_status> result;
        for (const auto& item : membership_.members()) {
            const bool self = item.id == settings_.self.id;
            result.push_back({item, self ? replica_.revision() : membership_.revision_of(item.id)});
        }
        return result;
    }

    std::map<std::string, std::uint64_t> counters() const {
        std::map<std::string, std::uint64_t> totals;
        for (const auto& part : partitions_) {
            const std::lock_guard guard(part->lock);
            add_counters(part->target.counters(), totals);
            totals["flows_held"] += part->target.flows().size();
            totals["flow_table_capacity"] += part->target.flows().capacity();
            totals["flow_table_bytes"] += part->target.flows().memory_bytes();
        }
        add_counters(channel_.counters(), totals);
        add_counters(membership_.counters(), totals);
        add_counters(replica_.counters(), totals);
        add_counters(health_.counters(), totals);
        totals["replication_malformed"] = malformed_batches_;
        totals["stop_placements_abandoned"] = abandoned_placements_;
        totals["configuration_revision"] = replica_.revision();
        return totals;
    }

    node_settings                           settings_;
    const clock&                            time_;
    control_channel                         channel_;
    membership                              membership_;
    configuration_replica                   replica_;
    health_monitor                          health_;
    placement_replication                   replication_;
    std::vector<std::unique_ptr<partition>> partitions_; // never empty; constant after construction
    control_actions                         pending_actions_;
    std::uint64_t                           membership_version_ = 0;
    bool                                    ranking_outdated_ = true;
    bool                                    reconstructed_ = false;
    ownership_history                       history_;
    std::map<member_id, member_presence>    presence_;
    ownership_history::entry returned_ranking_; // ranking of the members that returned within previous_ranking_lifetime
    std::shared_ptr<const forwarding_state> published_;
    std::uint64_t                           published_health_version_ = 0; // version of the statuses in published_
    std::shared_ptr<const configuration>    health_configuration_;         // last one passed to health_
    std::map<std::string, steady_time>      unreachable_since_;            // by failure domain without a reachable host
    steady_time                             last_replication_{};
    stop_state                              state_ = stop_state::running;
    steady_time                             stop_started_{};
    steady_time                             last_stop_check_{};
    std::uint64_t                           abandoned_placements_ = 0;
    std::uint64_t                           malformed_batches_ = 0;
};

//----------------------------------------------------------------------------------------------------------------------
// Public functions
//----------------------------------------------------------------------------------------------------------------------

node::node(const node_settings& settings, const clock& time, std::uint64_t random_seed)
    : impl_(std::make_unique<impl>(settings, time, random_seed)) {}
node::~node() = default;

void node::receive_control(byte_view datagram, const endpoint& sender) {
    impl_->receive_control(datagram, sender);
}
void node::probe_finished(const probe_result& result) {
    impl_->health_.probe_finished(result);
}
void node::store_answered(const store_response& response) {
    impl_->replica_.store_answered(response);
}
void node::submit(const change_request& request) {
    impl_->replica_.submit(request);
}
void node::tick() {
    impl_->tick();
}
void node::begin_stop() {
    impl_->begin_stop();
}
void node::reconfigure(const node_settings& settings) {
    impl_->reconfigure(settings);
}
control_actions node::take_actions() {
    return impl_->take_actions();
}

stop_state node::state() const {
    return impl_->state_;
}
const configuration& node::current() const {
    return *impl_->replica_.current();
}
std::vector<change_record> node::recent_changes() const {
    const auto recent = impl_->replica_.recent_changes();
    return {recent.begin(), recent.end()};
}
std::vector<member_status> node::members() const {
    return impl_->members();
}
std::vector<backend_status> node::statuses() const {
    return impl_->health_.statuses();
}
std::map<std::string, std::uint64_t> node::counters() const {
    return impl_->counters();
}
std::uint64_t node::control_bytes_sent() const {
    return impl_->channel_.counters().bytes_sent;
}

flow_explanation node::explain(const flow_tuple& flow) {
    partition&            part = impl_->partition_of(make_flow_key(flow, impl_->settings_.hash_seed));
    const std::lock_guard guard(part.lock);
    return part.target.explain(flow);
}

void node::with_forwarder(std::size_t index, const std::function<void(forwarder&)>& function) {
    partition&            part = *impl_->partitions_.at(index);
    const std::lock_guard guard(part.lock);
    function(part.target);
}

std::size_t node::partition_of_fabric_packet(byte_view udp_payload) const {
    if (impl_->partitions_.size() == 1) return 0;
    const auto inner = decapsulate(udp_payload);
    if (!inner.has_value()) return 0;
    const auto info = parse_packet(inner.value());
    if (!info.has_value()) return 0;
    return impl_->partition_index(make_flow_key(info.value().flow, impl_->settings_.hash_seed));
}

std::size_t node::partition_of_relay_frame(byte_view datagram) const {
    if (impl_->partitions_.size() == 1) return 0;
    const auto key = peek_flow_key(datagram);
    return key ? impl_->partition_index(*key) : 0;
}

} // namespace tamarack
