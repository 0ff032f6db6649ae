// Stand-in for the key-value store that tamarack-entry uses, without I/O: keys with revisions, leases, and a history of
// changes.
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
        std::optional<std::string> value; // nullopt: the key was removed
    };

    std::uint64_t                      revision() const { return revision_; }
    std::uint64_t                      epoch() const { return epoch_; }
    const std::map<std::string, item>& items() const { return items_; }

    void put(const std::string& key, const std::string& value, std::uint64_t lease = 0) {
        items_[key] = {value, ++revision_, lease};
        history_.push_back({key, revision_, value});
    }
    void remove(const std::string& key) {
        if (items_.erase(key) == 0) return;
        history_.push_back({key, ++revision_, std::nullopt});
    }
    // Writes only if the key has the expected revision; 0: the key must not exist.
    bool put_if_revision(const std::string& key, std::uint64_t expected_revision, const std::string& value,
                         std::uint64_t lease) {
        const auto found = items_.find(key);
        if ((found == items_.end() ? 0 : found->second.revision) != expected_revision) return false;
        put(key, value, lease);
        return true;
    }
    // The changes since the copy are lost, leases included, and their numbers are issued again.
    void restore(const kv_store& copy) {
        const std::uint64_t next_epoch = epoch_ + 1;
        *this = copy;
        epoch_ = next_epoch;
    }
    // Nullopt: the history does not hold all events after that revision.
    std::optional<std::vector<event>> events_after(std::uint64_t after_revision) const {
        if (after_revision < dropped_revision_ || after_revision > revision_) return std::nullopt;
        std::vector<event> events;
        std::ranges::copy_if(history_, std::back_inserter(events),
                             [&](const event& candidate) { return candidate.revision > after_revision; });
        return events;
    }
    void drop_history() {
        history_.clear();
        dropped_revision_ = revision_;
    }

    std::uint64_t grant_lease(duration time_to_live, steady_time now) {
        leases_[++last_lease_id_] = {time_to_live, now + time_to_live};
        return last_lease_id_;
    }
    bool renew_lease(std::uint64_t lease, steady_time now) {
        const auto found = leases_.find(lease);
        if (found == leases_.end()) return false;
        found->second.expires_at = now + found->second.time_to_live;
        return true;
    }
    bool has_lease(std::uint64_t lease) const { return leases_.contains(lease); }
    bool end_lease(std::uint64_t lease) {
        if (leases_.erase(lease) == 0) return false;
        std::vector<std::string> keys;
        for (const auto& [key, stored_item] : items_) {
            if (stored_item.lease == lease) keys.push_back(key);
        }
        for (const std::string& key : keys)
            remove(key);
        return true;
    }
    void expire_leases(steady_time now) {
        std::vector<std::uint64_t> expired_leases;
        for (const auto& [lease, terms] : leases_) {
            if (now >= terms.expires_at) expired_leases.push_back(lease);
        }
        for (const std::uint64_t lease : expired_leases)
            end_lease(lease);
    }

private:
    struct lease_terms {
        duration    time_to_live{};
        steady_time expires_at{};
    };

    std::map<std::string, item>          items_;
    std::deque<event>                    history_; // oldest first
    std::map<std::uint64_t, lease_terms> leases_;
    std::uint64_t                        epoch_ = 1; // rises with each restore
    std::uint64_t                        revision_ = 1;
    std::uint64_t                        dropped_revision_ = 0; // the history holds no events up to this revision
    std::uint64_t                        last_lease_id_ = 0;
};

} // namespace standin
