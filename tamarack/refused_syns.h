// SYNs that were refused. A late duplicate must be refused again, because the caller has been told "not run".
#pragma once

#include "tamarack/flow_table.h"

#include <deque>
#include <unordered_map>

namespace tamarack {

class refused_syns {
public:
    // False if there is no room; then the SYN must not be refused.
    bool remember(const flow_key& key, std::uint32_t sequence, steady_time now);
    bool contains(const flow_key& key, std::uint32_t sequence, steady_time now);

private:
    struct refused_syn {
        flow_key      key;
        std::uint32_t sequence = 0;

        friend bool operator==(const refused_syn&, const refused_syn&) = default;
    };
    struct syn_hash {
        std::size_t operator()(const refused_syn& syn) const { return syn.key.low ^ syn.sequence; }
    };

    void remove_expired(steady_time now);

    std::deque<std::pair<steady_time, refused_syn>>        order_;        // oldest first
    std::unordered_map<refused_syn, steady_time, syn_hash> last_refused_; // time of the last refusal, by SYN
};

} // namespace tamarack
