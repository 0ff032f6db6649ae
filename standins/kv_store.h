// Stand-in for the users' store, without I/O: keys with revisions, leases, a history of changes.
#pragma once

#include "entry/model.h"

#include <algorithm>
#include <deque>
#include <map>

namespace standin {

using tamarack::duration;
using tamarack::steady_time;

class kv_store {
public:
    struct item {
        std::string   value;
        std::uint64_t revision = 0;
        std::uint64_t lease = 0; // 0: none
    };
    struct event {
        std::string                key;
        std::uint64_t              revision = 0;
        std::optional<std::string> value; // none: removed
    };

    std::uint64_t                      revision() const { return revision_; }
    const std::map<std::string, item>& items() const { return items_; }

    void put(const std::string& key, const std::string& value, std::uint64_t lease = 0) {
        items_[key] = {value, ++revision_, lease};
        history_.push_back({key, revision_, value});
    }
    void remove(const std::string& key) {
        if (items_.erase(key) == 0) return;
        history_.push_back({key, ++revision_, std::nullopt});
    }
    // Only if the key's revision is the expected one; 0: it does not exist.
    bool put_if(const std::string& key, std::uint64_t expected, const std::string& value, std::uint64_t lease) {
        const auto found = items_.find(key);
        if ((found == items_.end() ? 0 : found->second.revision) != expected) return false;
        put(key, value, lease);
        return true;
    }
    // Nullopt: the history does not reach back so far.
    std::optional<std::vector<event>> events_after(std::uint64_t after) const {
        if (after < compacted_) return std::nullopt;
        std::vector<event> events;
        std::ranges::copy_if(history_, std::back_inserter(events),
                             [&](const event& each) { return each.revision > after; });
        return events;
    }
    void drop_history() {
        history_.clear();
        compacted_ = revision_;
    }

    std::uint64_t grant(duration time_to_live, steady_time now) {
        leases_[++last_lease_] = {time_to_live, now + time_to_live};
        return last_lease_;
    }
    bool renew(std::uint64_t lease, steady_time now) {
        const auto found = leases_.find(lease);
        if (found == leases_.end()) return false;
        found->second.until = now + found->second.time_to_live;
        return true;
    }
    bool has_lease(std::uint64_t lease) const { return leases_.contains(lease); }
    bool end_lease(std::uint64_t lease) {
        if (leases_.erase(lease) == 0) return false;
        std::vector<std::string> keys;
        for (const auto& [key, value] : items_) {
            if (value.lease == lease) keys.push_back(key);
        }
        for (const std::string& key : keys)
            remove(key);
        return true;
    }
    void expire(steady_time now) {
        std::vector<std::uint64_t> ended;
        for (const auto& [lease, granted] : leases_) {
            if (now >= granted.until) ended.push_back(lease);
        }
        for (const std::uint64_t lease : ended)
            end_lease(lease);
    }

private:
    struct terms {
        duration    time_to_live{};
        steady_time until{};
    };

    std::map<std::string, item>    items_;
    std::deque<event>              history_; // oldest first
    std::map<std::uint64_t, terms> leases_;
    std::uint64_t                  revision_ = 1;
    std::uint64_t                  compacted_ = 0; // events up to here are no longer known
    std::uint64_t                  last_lease_ = 0;
};

} // namespace standin
