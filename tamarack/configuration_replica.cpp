// Joins the parts of the configuration replica, and elects the watchers.
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

constexpr duration shortest_backoff = std::chrono::milliseconds(100);
constexpr duration longest_backoff = std::chrono::seconds(10);
constexpr unsigned backoff_doublings = 7; // 100 ms to 12.8 s
// An adapter answers within the deadline and a small delay; beyond this the answer is taken for lost.
constexpr duration answer_margin = std::chrono::seconds(5);

} // namespace

bool context::adopt_if_newer(const head& next, bool from_store) {
    if (next.revision() < known->revision()) return false;
    const auto lost = changes_missing_from(next, *known);
    if (next.revision() == known->revision()) {
        const bool same = next.recent.empty() || next.recent.back() == known->recent.back();
        if (same || !from_store) return false;
    }
    check(invariant::revision_monotonic, next.revision() >= known->revision());
    if (!lost.empty()) {
        ++counters.histories_different;
        log_event(event::history_differs,
                  {{"revision", next.revision()}, {"known", known->revision()}, {"missing_changes", lost.size()}});
        // One of the watchers is enough: the operation id keeps the change from being committed twice.
        if (elected) commit_again(lost);
    }
    ++counters.revisions_adopted;
    known = std::make_shared<const head>(next);
    return true;
}

void context::commit_again(const std::vector<change_record>& lost) {
    for (const auto& record : lost) {
        if (lost_changes.size() < max_recent) lost_changes.push_back(record);
    }
}

std::uint64_t context::call_store(owner part, store_request request) {
    request.id = ++calls_ << owner_bits | static_cast<std::uint64_t>(part);
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
    return random_below(std::min(longest_backoff, shortest_backoff * (1U << std::min(failures, backoff_doublings))));
}

void pending_call::start(context& shared, owner part, store_request request) {
    const duration deadline = request.deadline == duration{} ? shared.settings.store_deadline : request.deadline;
    give_up_ = shared.now() + deadline + answer_margin;
    id_ = shared.call_store(part, std::move(request));
}

bool pending_call::take(const store_response& response) {
    if (id_ == 0 || response.id != id_) return false;
    id_ = 0;
    return true;
}

std::optional<store_response> pending_call::overdue(context& shared) const {
    if (id_ == 0 || shared.now() < give_up_) return std::nullopt;
    ++shared.counters.store_answers_missing;
    store_response lost;
    lost.id = id_;
    lost.status = store_status::unknown_outcome;
    return lost;
}

} // namespace replica

namespace {

using namespace replica;

constexpr std::size_t watchers_per_domain = 2;
// A starting member does not know its failure domain yet, and would take itself for a watcher.
constexpr duration    election_grace = std::chrono::seconds(2);

bool is_live(const member& item) {
    return item.state == member_state::alive || item.state == member_state::suspect;
}

bool is_failure(store_status status) {
    return status == store_status::rate_limited || status == store_status::unavailable ||
           status == store_status::unknown_outcome;
}

// Rendezvous hash: when a watcher leaves, the others keep their ranks.
std::uint64_t rank_of(std::string_view cluster, member_id id) {
    return XXH3_64bits_withSeed(&id, sizeof(id), XXH3_64bits(cluster.data(), cluster.size()));
}

} // namespace

class configuration_replica::impl {
public:
    impl(const replica_settings& settings, const clock& time, std::uint64_t seed)
        : shared(settings, time, seed), commit(shared), watch(shared), spread(shared), started_(time.steady_now()) {}

    // Runs an event, then passes on what it changed.
    template <class Event>
    void handle(Event event) {
        const auto before = shared.known;
        event();
        for (const auto& lost : std::exchange(shared.lost_changes, {}))
            commit.submit_again(lost);
        if (shared.known != before) spread.announce(*before);
    }

    void set_members(std::span<const member> members) {
        std::vector<member_id> peers;
        domain_.assign(1, shared.settings.self);
        for (const auto& item : members) {
            if (item.id == shared.settings.self) {
                if (!is_live(item)) domain_.erase(domain_.begin()); // this one is leaving
                continue;
            }
            if (item.state == member_state::dead) continue;
            peers.push_back(item.id); // a leaving member still needs the configuration
            if (is_live(item) && item.failure_domain == shared.settings.failure_domain) domain_.push_back(item.id);
        }
        spread.set_peers(std::move(peers));
        watch.set_domain_size(domain_.size());
        elect();
    }

    void elect() {
        if (shared.now() - started_ < election_grace) return;
        const auto rank = [&](member_id id) { return rank_of(shared.settings.cluster, id); };
        const auto better = [&](member_id id) { return rank(id) < rank(shared.settings.self); };
        const bool eligible = std::find(domain_.begin(), domain_.end(), shared.settings.self) != domain_.end();
        const auto ahead = static_cast<std::size_t>(std::count_if(domain_.begin(), domain_.end(), better));
        shared.elected = eligible && ahead < watchers_per_domain;
    }

    void tick() {
        if (!elected_once_ && shared.now() - started_ >= election_grace) {
            elected_once_ = true;
            elect();
        }
        commit.tick();
        watch.tick();
        spread.tick();
    }

    void store_answered(const store_response& response) {
        if (is_failure(response.status)) ++shared.counters.store_failures;
        commit.answered(response);
        watch.answered(response);
    }

    context   shared;
    committer commit;
    watcher   watch;
    spreader  spread;

private:
    steady_time            started_;
    bool                   elected_once_ = false;
    std::vector<member_id> domain_; // live members of this failure domain, this one included unless it leaves
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

void configuration_replica::heard(member_id from, revision_number revision) {
    impl_->spread.heard(from, revision);
}

void configuration_replica::receive(member_id from, byte_view payload) {
    impl_->handle([&] { impl_->spread.receive(from, payload); });
}

void configuration_replica::store_answered(const store_response& response) {
    impl_->handle([&] { impl_->store_answered(response); });
}

void configuration_replica::submit(const change_request& request) {
    impl_->commit.submit(request);
}

void configuration_replica::tick() {
    impl_->handle([&] { impl_->tick(); });
}

replica_actions configuration_replica::take_actions() {
    return std::exchange(impl_->shared.actions, {});
}

revision_number configuration_replica::revision() const {
    return impl_->shared.known->revision();
}

std::shared_ptr<const configuration> configuration_replica::current() const {
    return {impl_->shared.known, &impl_->shared.known->now};
}

std::span<const change_record> configuration_replica::recent_changes() const {
    return impl_->shared.known->recent;
}

bool configuration_replica::watches_store() const {
    return impl_->shared.elected;
}

const replica_counters& configuration_replica::counters() const {
    return impl_->shared.counters;
}

} // namespace tamarack
