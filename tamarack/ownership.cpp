// Rendezvous hashing of buckets over members.
//
// A member's score for a bucket depends only on the member and the bucket, so a change of one member moves only the
// buckets that it gains or loses.
#include "tamarack/ownership.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <boost/endian/conversion.hpp>

namespace tamarack {

namespace {

// Members and buckets are each hashed once, with different seeds.
constexpr std::uint64_t member_seed = 1;
constexpr std::uint64_t bucket_seed = 2;

std::uint64_t hash_of(std::uint32_t number, std::uint64_t seed) {
    std::array<unsigned char, 4> bytes; // NOLINT: every byte is written below
    boost::endian::store_little_u32(bytes.data(), number);
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

// The members to rank, sorted by id, as separate arrays because ranking reads only the hashes.
struct candidate_columns {
    std::vector<member_id>     ids;
    std::vector<std::uint32_t> domains; // index of the failure domain in this ranking
    std::vector<std::uint64_t> hashes;  // of the ids
};

// The high bits hold a member's score for a bucket, the low bits its inverted position in the arrays. Larger keys rank
// first. Equal scores rank by lower member id, so that all balancers compute the same ranking. 0: no member.
using rank_key = std::uint64_t;

constexpr unsigned      position_bits = 24;
constexpr std::uint64_t position_mask = (std::uint64_t{1} << position_bits) - 1;

// One multiplication of the two hashes replaces a full hash per pair of bucket and member.
rank_key make_rank_key(std::uint64_t bucket_hash, std::uint64_t member_hash, std::size_t position) {
    __extension__ using uint128 = unsigned __int128;
    const uint128       product = uint128{bucket_hash ^ member_hash} * 0x9fb21c651e98df25U;
    const std::uint64_t score = static_cast<std::uint64_t>(product) ^ static_cast<std::uint64_t>(product >> 64U);
    return (score & ~position_mask) | (position_mask - position);
}

std::size_t position_of(rank_key key) {
    return position_mask - (key & position_mask);
}

// Live members, one entry per id.
candidate_columns ranked_members(std::span<const member> members) {
    std::map<member_id, std::string_view>     live;
    std::map<std::string_view, std::uint32_t> domains;
    for (const member& item : members) {
        const bool ranked = item.state == member_state::alive || item.state == member_state::suspect;
        if (item.id != 0 && ranked) live.try_emplace(item.id, item.failure_domain);
    }
    candidate_columns columns;
    for (const auto& [id, domain] : live) {
        columns.ids.push_back(id);
        columns.domains.push_back(
            domains.try_emplace(domain, static_cast<std::uint32_t>(domains.size())).first->second);
        columns.hashes.push_back(hash_of(id, member_seed));
    }
    return columns;
}

using top_ranks = std::array<rank_key, ranks_kept>; // best first

// Inserts a key in order and drops the lowest one.
void insert_key(top_ranks& top, rank_key key) {
    for (rank_key& slot : top) {
        const rank_key better = std::max(slot, key);
        key = std::min(slot, key);
        slot = better;
    }
}

// Ranks the members for successive buckets.
class ranker {
public:
    explicit ranker(const candidate_columns& columns) : columns_(columns), candidate_keys_(columns.ids.size()) {
        const std::size_t members = columns.ids.size();
        if (members > expected_candidates) threshold_ = ~std::uint64_t{0} / members * (members - expected_candidates);
    }

    holders rank(std::uint32_t bucket) {
        const std::uint64_t bucket_hash = hash_of(bucket, bucket_seed);
        const top_ranks     top = best_of(bucket_hash);
        holders             found;
        for (std::size_t i = 0; i < ranks_kept; ++i)
            if (top[i] != 0) found.ranks[i] = columns_.ids[position_of(top[i])];
        found.second = second_of(bucket_hash, top);
        return found;
    }

private:
    // Only keys above a threshold that about 16 members exceed are ranked, because ranking is slow compared with
    // hashing: the branch on a new best key is hard to predict.
    static constexpr std::size_t expected_candidates = 16;

    std::size_t collect_candidates(std::uint64_t bucket_hash, rank_key threshold) {
        std::size_t count = 0;
        for (std::size_t position = 0; position < candidate_keys_.size(); ++position) {
            const rank_key key = make_rank_key(bucket_hash, columns_.hashes[position], position);
            candidate_keys_[count] = key;
            count += key > threshold ? 1U : 0U;
        }
        return count;
    }

    top_ranks best_of(std::uint64_t bucket_hash) {
        std::size_t count = collect_candidates(bucket_hash, threshold_);
        if (count < ranks_kept && threshold_ != 0) count = collect_candidates(bucket_hash, 0);
        top_ranks top{};
        for (std::size_t i = 0; i < count; ++i)
            insert_key(top, candidate_keys_[i]);
        return top;
    }

    // Best member outside the owner's failure domain, which may rank below the ranks kept; if there is none, rank 2.
    member_id second_of(std::uint64_t bucket_hash, const top_ranks& top) const {
        const std::uint32_t own_domain = columns_.domains[position_of(top[0])];
        for (const rank_key key : top)
            if (key != 0 && columns_.domains[position_of(key)] != own_domain) return columns_.ids[position_of(key)];
        rank_key best = 0;
        for (std::size_t position = 0; position < columns_.ids.size(); ++position) {
            const rank_key key = make_rank_key(bucket_hash, columns_.hashes[position], position);
            if (columns_.domains[position] != own_domain) best = std::max(best, key);
        }
        if (best == 0) best = top[1];
        return best == 0 ? 0 : columns_.ids[position_of(best)];
    }

    const candidate_columns& columns_;
    std::vector<rank_key>    candidate_keys_;
    rank_key                 threshold_ = 0;
};

bool same_ranking(const ownership& left, const ownership& right) {
    if (&left == &right) return true;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket)
        if (left.holders_of(bucket) != right.holders_of(bucket)) return false;
    return true;
}

} // namespace

struct ownership::impl {
    std::size_t          members = 0;
    std::vector<holders> buckets; // bucket_count entries
};

ownership::ownership(std::span<const member> members) : impl_(std::make_unique<impl>()) {
    const candidate_columns columns = ranked_members(members);
    impl_->members = columns.ids.size();
    impl_->buckets.resize(bucket_count);
    if (columns.ids.empty()) return;
    ranker order(columns);
    for (std::uint32_t bucket = 0; bucket < bucket_count; ++bucket)
        impl_->buckets[bucket] = order.rank(bucket);
}

ownership::~ownership() = default;
ownership::ownership(ownership&&) noexcept = default;
ownership& ownership::operator=(ownership&&) noexcept = default;

const holders& ownership::holders_of(std::size_t bucket) const {
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
        return now - item.replaced_at >= previous_ranking_lifetime;
    });
    if (result.previous.size() > max_previous_rankings) result.previous.resize(max_previous_rankings);
    return result;
}

} // namespace tamarack
