// Rendezvous hashing of buckets over members.
//
// A member's score for a bucket depends on nothing but the two, so a change of one member moves only the buckets that
// it gains or loses.
#include "tamarack/ownership.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <boost/endian/conversion.hpp>

namespace tamarack {

namespace {

struct candidate {
    member_id     id = 0;
    std::uint32_t domain = 0; // number of the failure domain within this ranking
};

struct scored {
    std::uint64_t score = 0;
    candidate     who;
};

// Equal scores are ordered by member id, so that all members rank alike.
bool ranks_before(const scored& left, const scored& right) {
    return left.score != right.score ? left.score > right.score : left.who.id < right.who.id;
}

std::uint64_t score_of(std::uint32_t bucket, member_id id) {
    std::array<unsigned char, 8> bytes; // NOLINT: every byte is written below
    boost::endian::store_little_u32(bytes.data(), bucket);
    boost::endian::store_little_u32(bytes.data() + 4, id);
    return XXH3_64bits(bytes.data(), bytes.size());
}

// Live members in order of id, one entry for each.
std::vector<candidate> ranked_members(std::span<const member> members) {
    std::vector<candidate>               candidates;
    std::map<std::string, std::uint32_t> domains;
    for (const member& item : members) {
        if (item.id == 0 || item.state == member_state::leaving || item.state == member_state::dead) continue;
        const auto domain = domains.try_emplace(item.failure_domain, static_cast<std::uint32_t>(domains.size())).first;
        candidates.push_back({item.id, domain->second});
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const candidate& left, const candidate& right) { return left.id < right.id; });
    const auto duplicates =
        std::unique(candidates.begin(), candidates.end(),
                    [](const candidate& left, const candidate& right) { return left.id == right.id; });
    candidates.erase(duplicates, candidates.end());
    return candidates;
}

using top_ranks = std::array<scored, ranks_kept>; // unused ranks have member 0 and score 0

// Puts a candidate into its place; the last rank gives way.
void rank_in(top_ranks& top, const scored& item) {
    std::size_t place = ranks_kept - 1;
    for (; place > 0 && (top[place - 1].who.id == 0 || ranks_before(item, top[place - 1])); --place)
        top[place] = top[place - 1];
    top[place] = item;
}

top_ranks best_of(std::uint32_t bucket, std::span<const candidate> candidates) {
    top_ranks top{};
    for (const candidate& who : candidates) {
        const scored  item{score_of(bucket, who.id), who};
        const scored& last = top.back();
        if (last.who.id != 0 && !ranks_before(item, last)) continue;
        rank_in(top, item);
    }
    return top;
}

// Best member outside the owner's failure domain, which may lie beyond the ranks kept; else rank 2.
member_id second_of(std::uint32_t bucket, const top_ranks& top, std::span<const candidate> candidates) {
    const candidate& owner = top[0].who;
    for (const scored& item : top)
        if (item.who.id != 0 && item.who.domain != owner.domain) return item.who.id;
    scored best;
    for (const candidate& who : candidates) {
        if (who.domain == owner.domain) continue;
        const scored item{score_of(bucket, who.id), who};
        if (best.who.id == 0 || ranks_before(item, best)) best = item;
    }
    return best.who.id != 0 ? best.who.id : top[1].who.id;
}

bool same_ranking(const ownership& left, const ownership& right) {
    if (&left == &right) return true;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket)
        if (left.of(bucket) != right.of(bucket)) return false;
    return true;
}

} // namespace

struct ownership::impl {
    std::size_t          members = 0;
    std::vector<holders> buckets; // bucket_count entries
};

ownership::ownership(std::span<const member> members) : impl_(std::make_unique<impl>()) {
    const std::vector<candidate> candidates = ranked_members(members);
    impl_->members = candidates.size();
    impl_->buckets.resize(bucket_count);
    if (candidates.empty()) return;
    for (std::uint32_t bucket = 0; bucket < bucket_count; ++bucket) {
        const top_ranks top = best_of(bucket, candidates);
        holders&        entry = impl_->buckets[bucket];
        std::transform(top.begin(), top.end(), entry.ranks.begin(), [](const scored& item) { return item.who.id; });
        entry.second = second_of(bucket, top, candidates);
    }
}

ownership::~ownership() = default;
ownership::ownership(ownership&&) noexcept = default;
ownership& ownership::operator=(ownership&&) noexcept = default;

const holders& ownership::of(std::size_t bucket) const {
    return impl_->buckets[bucket % bucket_count];
}

std::size_t ownership::member_count() const {
    return impl_->members;
}

std::size_t bucket_of(const flow_key& key) {
    return static_cast<std::size_t>(key.low % bucket_count);
}

ownership_history advance(const ownership_history& history, std::shared_ptr<const ownership> next, steady_time now) {
    ownership_history result = history;
    if (next && !(history.present && same_ranking(*history.present, *next))) {
        if (history.present) result.previous.insert(result.previous.begin(), {history.present, now});
        result.present = std::move(next);
        result.present_since = now;
    }
    std::erase_if(result.previous, [now](const ownership_history::entry& item) {
        return now - item.replaced >= previous_view_lifetime;
    });
    if (result.previous.size() > max_previous) result.previous.resize(max_previous);
    return result;
}

} // namespace tamarack
