// Flow table and evidence about backend servers.
#include "entry/flow_tracker.h"

#include <algorithm>
#define XXH_INLINE_ALL // the library is not linked
#include <xxhash.h>

namespace tamarack::entry {

namespace {

constexpr duration    closing_timeout = std::chrono::seconds(3); // late packets of a closed flow
constexpr int         smoothing = 16;                            // samples of the handshake time
// Load and failures of a backend server mean nothing after this time without a flow.
constexpr duration    keep_activity = std::chrono::minutes(2);
constexpr duration    activity_scan_interval = std::chrono::seconds(30);
constexpr std::size_t scan_share = 8; // expire looks at one in eight buckets a call

// Sequence numbers wrap around.
bool is_after(std::uint32_t left, std::uint32_t right) {
    return static_cast<std::int32_t>(left - right) > 0;
}

} // namespace

std::uint64_t flow_tracker::key_of(const segment& packet) {
    std::array<std::uint8_t, 36> bytes{};
    auto                         out = std::ranges::copy(packet.source.address.bytes, bytes.begin()).out;
    out = std::ranges::copy(packet.destination.address.bytes, out).out;
    *out++ = static_cast<std::uint8_t>(packet.source.port >> 8U);
    *out++ = static_cast<std::uint8_t>(packet.source.port);
    *out++ = static_cast<std::uint8_t>(packet.destination.port >> 8U);
    *out = static_cast<std::uint8_t>(packet.destination.port);
    return XXH3_64bits(bytes.data(), bytes.size());
}

tracked_flow* flow_tracker::find(const segment& packet) {
    const auto found = flows_.find(key_of(packet));
    return found == flows_.end() ? nullptr : &found->second;
}

const tracked_flow* flow_tracker::find(const segment& packet) const {
    const auto found = flows_.find(key_of(packet));
    return found == flows_.end() ? nullptr : &found->second;
}

const backend_activity* flow_tracker::find_activity(backend_reference target) const {
    const auto found = activity_.find(target);
    return found == activity_.end() ? nullptr : &found->second;
}

const backend_activity& flow_tracker::activity(backend_reference target) const {
    static const backend_activity unseen;
    const backend_activity*       found = find_activity(target);
    return found == nullptr ? unseen : *found;
}

tracked_flow* flow_tracker::start(const segment& packet, backend_reference target, steady_time now) {
    const std::uint64_t key = key_of(packet);
    const auto          known = flows_.find(key);
    if (known == flows_.end() && flows_.size() >= capacity_) return nullptr;
    tracked_flow& flow = known == flows_.end() ? flows_[key] : known->second;
    if (known != flows_.end()) close(flow);
    flow = {.target = target,
            .sent_to = packet.sequence + packet.payload,
            .acknowledged = packet.syn ? 0 : packet.acknowledged,
            .first_syn = now,
            .last_seen = now,
            .progressed = now,
            .seen_syn = packet.syn};
    return &flow;
}

void flow_tracker::move(tracked_flow& flow, backend_reference target) {
    close(flow);
    flow.closing = false;
    flow.target = target;
}

flow_progress flow_tracker::note_packet(tracked_flow& flow, const segment& packet, steady_time now) {
    flow_progress progress;
    flow.last_seen = now;
    backend_activity& target = activity_[flow.target];
    const bool        handshake_answered = flow.seen_syn && !flow.open && !flow.closing;
    const bool        answered = packet.ack && (handshake_answered || is_after(packet.acknowledged, flow.acknowledged));
    if (!flow.open && !flow.closing) {
        flow.open = true;
        ++target.open;
    }
    if (answered) {
        if (handshake_answered && !flow.copied) {
            progress.handshake = now - flow.first_syn;
            handshake_time_ += (now - flow.first_syn - handshake_time_) / smoothing;
        }
        flow.acknowledged = packet.acknowledged;
        flow.progressed = now;
        note_sign(target, now);
        if (flow.waiting) progress.answered = now - flow.request_at;
        stop_waiting(flow);
    }
    const std::uint32_t end = packet.sequence + packet.payload;
    if (packet.payload > 0 && is_after(end, flow.sent_to)) {
        flow.sent_to = end;
        flow.progressed = now;
        if (!flow.waiting && !flow.closing) {
            flow.waiting = true;
            flow.request_at = now;
            ++target.waiting;
        }
    } else if (packet.payload > 0) {
        progress.repeated = true;
    }
    if (!packet.request_id.empty()) flow.request_id = packet.request_id;
    if (packet.fin || packet.rst) close(flow);
    return progress;
}

void flow_tracker::note_sign(backend_activity& target, steady_time now) {
    target.last_sign = now;
    target.failures = 0;
    target.avoid_until = {};
    target.unanswered = 0;
}

void flow_tracker::note_syn(backend_reference target, steady_time now) {
    backend_activity& seen = activity_[target];
    seen.last_chosen = now;
    if (seen.unanswered++ == 0) seen.unanswered_since = now;
}

void flow_tracker::stop_waiting(tracked_flow& flow) {
    if (!flow.waiting) return;
    flow.waiting = false;
    backend_activity& target = activity_[flow.target];
    if (target.waiting > 0) --target.waiting;
}

void flow_tracker::close(tracked_flow& flow) {
    stop_waiting(flow);
    backend_activity& target = activity_[flow.target];
    if (flow.open && target.open > 0) --target.open;
    flow.open = false;
    flow.closing = true;
}

void flow_tracker::expire(steady_time now, duration idle_timeout) {
    const std::size_t          buckets = flows_.bucket_count();
    const std::size_t          steps = buckets / scan_share + 1;
    std::vector<std::uint64_t> old;
    for (std::size_t step = 0; step < steps; ++step) {
        const std::size_t bucket = scan_position_++ % buckets;
        for (auto each = flows_.begin(bucket); each != flows_.end(bucket); ++each) {
            const duration limit = each->second.closing ? closing_timeout : idle_timeout;
            if (now > each->second.last_seen + limit) old.push_back(each->first);
        }
    }
    for (const std::uint64_t key : old) {
        const auto found = flows_.find(key);
        close(found->second);
        flows_.erase(found);
    }
    expire_activity(now);
}

void flow_tracker::expire_activity(steady_time now) {
    if (now < activity_scan_due_) return;
    activity_scan_due_ = now + activity_scan_interval;
    std::erase_if(activity_, [&](const auto& each) {
        const backend_activity& seen = each.second;
        if (seen.open > 0 || seen.waiting > 0) return false;
        return now > std::max({seen.last_chosen, seen.last_sign, seen.avoid_until}) + keep_activity;
    });
}

} // namespace tamarack::entry
