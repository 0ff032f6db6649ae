// Connects the parts of the configuration replica, and elects the watchers.
#include "tamarack/configuration_replica.h"

#include "tamarack/configuration_parts.h"
#include "tamarack/events.h"
#include "tamarack/invariant.h"

#include <algorithm>
#include <glog/logging.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace tamarack {

namespace replica {

namespace {

constexpr duration min_backoff = std::chrono::milliseconds(100);
constexpr duration max_backoff = std::chrono::seconds(10);
constexpr unsigned backoff_doublings = 7; // 100 ms to 12.8 s
// An adapter answers within the deadline and a small delay; after this margin the answer counts as lost.
constexpr duration answer_margin = std::chrono::seconds(5);

} // namespace

bool context::adopt_if_newer(const head& next, bool from_store) {
    if (next.revision() < current_head->revision()) return false;
    const auto missing_changes = changes_missing_from(next, *current_head);
    if (next.revision() == current_head->revision()) {
        const bool is_same_history =
            next.recent_changes.empty() || next.recent_changes.back() == current_head->recent_changes.back();
        if (is_same_history || !from_store) return false;
    }
    check(invariant::revision_monotonic, next.revision() >= current_head->revision());
    if (!missing_changes.empty()) {
        ++counters.histories_different;
        log_event(event::history_differs, {{"revision", next.revision()},
                                           {"known", current_head->revision()},
                                           {"missing_changes", missing_changes.size()}});
        // Only elected watchers resubmit. The operation id prevents two of them from committing the change twice.
        if (is_elected_watcher) queue_lost_changes(missing_changes);
    }
    ++counters.revisions_adopted;
    current_head = std::make_shared<const head>(next);
    return true;
}

void context::queue_lost_changes(const std::vector<change_record>& records) {
    for (const auto& record : records) {
        if (lost_changes.size() < max_recent_changes) lost_changes.push_back(record);
    }
}

std::uint64_t context::call_store(requester origin, store_request request) {
    request.id = ++call_count_ << requester_bits | static_cast<std::uint64_t>(origin);
    if (request.deadline == duration{}) request.deadline = settings.store_deadline;
    ++counters.store_calls;
    actions.store.push_back(std::move(request));
    return actions.store.back().id;
}

std::optional<stored_head> context::read_head(const store_response& response) {
    if (response.status == store_status::not_found || response.version == 0) return stored_head{};
    auto decoded = decode_head(response.value);
    if (decoded) return stored_head{std::move(decoded.value()), response.version};
    ++counters.heads_unreadable;
    LOG_EVERY_N(ERROR, 100) << format_event(event::head_unreadable, {{"reason", decoded.error().front().to_string()}});
    return std::nullopt;
}

duration context::random_below(duration limit) {
    if (limit <= duration{}) return {};
    return duration(std::uniform_int_distribution<duration::rep>(0, limit.count() - 1)(random));
}

duration context::backoff(unsigned failures) {
    return random_below(std::min(max_backoff, min_backoff * (1U << std::min(failures, backoff_doublings))));
}

void pending_call::start(context& shared, requester origin, store_request request) {
    const duration deadline = request.deadline == duration{} ? shared.settings.store_deadline : request.deadline;
    times_out_at_ = shared.now() + deadline + answer_margin;
    id_ = shared.call_store(origin, std::move(request));
}

bool pending_call::complete(const store_response& response) {
    if (id_ == 0 || response.id != id_) return false;
    id_ = 0;
    return true;
}

std::optional<store_response> pending_call::timeout_response(context& shared) const {
    if (id_ == 0 || shared.now() < times_out_at_) return std::nullopt;
    ++shared.counters.store_answers_missing;
    store_response timeout;
    timeout.id = id_;
    timeout.status = store_status::unknown_outcome;
    return timeout;
}

} // namespace replica

namespace {

using namespace replica;

constexpr std::size_t watchers_per_domain = 2;
// No election before the end of this time: a starting member does not know the members of its failure domain yet, and
// would elect itself.
constexpr duration    election_grace = std::chrono::seconds(2);

bool is_live(const member& item) {
    return item.state == member_state::alive || item.state == member_state::suspect;
}

bool is_failure(store_status status) {
    return status == store_status::rate_limited || status == store_status::unavailable ||
           status == store_status::unknown_outcome;
}

// Rendezvous hashing: when a watcher leaves, the order of the other members does not change.
std::uint64_t rank_of(std::string_view cluster, member_id id) {
    return XXH3_64bits_withSeed(&id, sizeof(id), XXH3_64bits(cluster.data(), cluster.size()));
}

} // namespace

class configuration_replica::impl {
public:
    impl(const replica_settings& settings, const clock& time, std::uint64_t seed)
        : shared(settings, time, seed), change_committer(shared), head_watcher(shared), peer_disseminator(shared),
          started_(time.steady_now()) {}

    // Processes an event, then resubmits lost changes and pushes new ones to peers.
    template <class Event>
    void handle(Event event) {
        const auto previous_head = shared.current_head;
        event();
        for (const auto& lost_change : std::exchange(shared.lost_changes, {}))
            change_committer.resubmit(lost_change);
        if (shared.current_head != previous_head) peer_disseminator.push_changes_since(*previous_head);
    }

    void set_members(std::span<const member> members) {
        std::vector<member_id> peers;
        live_domain_members_.assign(1, shared.settings.self);
        for (const auto& item : members) {
            if (item.id == shared.settings.self) {
                if (!is_live(item)) live_domain_members_.erase(live_domain_members_.begin()); // this member is leaving
                continue;
            }
            if (item.state == member_state::dead) continue;
            peers.push_back(item.id); // a leaving member still needs the configuration
            if (is_live(item) && item.failure_domain == shared.settings.failure_domain)
                live_domain_members_.push_back(item.id);
        }
        peer_disseminator.set_peers(std::move(peers));
        head_watcher.set_domain_size(live_domain_members_.size());
        elect();
    }

    void elect() {
        if (shared.now() - started_ < election_grace) return;
        const auto rank = [&](member_id id) { return rank_of(shared.settings.cluster, id); };
        const auto ranks_higher = [&](member_id id) { return rank(id) < rank(shared.settings.self); };
        const bool is_eligible = std::find(live_domain_members_.begin(), live_domain_members_.end(),
                                           shared.settings.self) != live_domain_members_.end();
        const auto higher_ranked_count = static_cast<std::size_t>(
            std::count_if(live_domain_members_.begin(), live_domain_members_.end(), ranks_higher));
        shared.is_elected_watcher = is_eligible && higher_ranked_count < watchers_per_domain;
    }

    void tick() {
        if (!is_initial_election_done_ && shared.now() - started_ >= election_grace) {
            is_initial_election_done_ = true;
            elect();
        }
        change_committer.tick();
        head_watcher.tick();
        peer_disseminator.tick();
    }

    void store_answered(const store_response& response) {
        if (is_failure(response.status)) ++shared.counters.store_failures;
        change_committer.store_answered(response);
        head_watcher.store_answered(response);
    }

    context      shared;
    committer    change_committer;
    watcher      head_watcher;
    disseminator peer_disseminator;

private:
    steady_time            started_;
    bool                   is_initial_election_done_ = false;
    std::vector<member_id> live_domain_members_; // of this failure domain; includes this member unless it is leaving
};

configuration_replica::configuration_replica(const replica_settings& settings, const clock& time,
                                             std::uint64_t random_seed)
    : impl_(std::make_unique<impl>(settings, time, random_seed)) {
    impl_->set_members({});
}

configuration_replica::~configuration_replica() = default;

void configuration_replica::set_members(std::span<const member> members) {
    impl_->set_members(members);
}

void configuration_replica::receive_digest(member_id sender, revision_number revision) {
    impl_->peer_disseminator.receive_digest(sender, revision);
}

void configuration_replica::receive(member_id sender, byte_view payload) {
    impl_->handle([&] { impl_->peer_disseminator.receive(sender, payload); });
}

void configuration_replica::store_answered(const store_response& response) {
    impl_->handle([&] { impl_->store_answered(response); });
}

void configuration_replica::submit(const change_request& request) {
    impl_->change_committer.submit(request);
}

void configuration_replica::tick() {
    impl_->handle([&] { impl_->tick(); });
}

replica_actions configuration_replica::take_actions() {
    return std::exchange(impl_->shared.actions, {});
}

revision_number configuration_replica::revision() const {
    return impl_->shared.current_head->revision();
}

std::shared_ptr<const configuration> configuration_replica::current() const {
    return {impl_->shared.current_head, &impl_->shared.current_head->config};
}

std::span<const change_record> configuration_replica::recent_changes() const {
    return impl_->shared.current_head->recent_changes;
}

bool configuration_replica::watches_store() const {
    return impl_->shared.is_elected_watcher;
}

const replica_counters& configuration_replica::counters() const {
    return impl_->shared.counters;
}

} // namespace tamarack
