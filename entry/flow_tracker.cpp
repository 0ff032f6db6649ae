// Flow table, and load and responsiveness of backend servers.
#include "entry/flow_tracker.h"

#include <algorithm>
#include <utility>
#define XXH_INLINE_ALL // the library is not linked
#include <xxhash.h>

namespace tamarack::entry {

namespace {

constexpr duration    closed_flow_retention = std::chrono::seconds(3); // for late packets of a closed flow
constexpr int         handshake_smoothing = 16;                        // weight of a new handshake time is 1/16
// Load and failures of a backend server are out of date after this time without a flow.
constexpr duration    activity_retention = std::chrono::minutes(2);
constexpr duration    activity_scan_interval = std::chrono::seconds(30);
constexpr std::size_t scan_divisor = 8; // each call of expire checks one in eight buckets

// Compares sequence numbers, which wrap around.
bool is_after(std::uint32_t left, std::uint32_t right) {
    return static_cast<std::int32_t>(left - right) > 0;
}

} // namespace

flow_key key_of(const segment& packet) {
    std::array<std::uint8_t, 36> bytes{}; // two addresses of 16 bytes and two ports of 2 bytes
    auto                         out = std::ranges::copy(packet.source.address.bytes, bytes.begin()).out;
    out = std::ranges::copy(packet.destination.address.bytes, out).out;
    *out++ = static_cast<std::uint8_t>(packet.source.port >> 8U);
    *out++ = static_cast<std::uint8_t>(packet.source.port);
    *out++ = static_cast<std::uint8_t>(packet.destination.port >> 8U);
    *out = static_cast<std::uint8_t>(packet.destination.port);
    return XXH3_64bits(bytes.data(), bytes.size());
}

tracked_flow* flow_tracker::find(const segment& packet) {
    return find(key_of(packet));
}

tracked_flow* flow_tracker::find(flow_key key) {
    const auto found = flows_.find(key);
    return found == flows_.end() ? nullptr : &found->second;
}

const tracked_flow* flow_tracker::find(const segment& packet) const {
    const auto found = flows_.find(key_of(packet));
    return found == flows_.end() ? nullptr : &found->second;
}

const backend_activity* flow_tracker::find_activity(backend_reference reference) const {
    const auto found = activity_.find(reference);
    return found == activity_.end() ? nullptr : &found->second;
}

const backend_activity& flow_tracker::activity(backend_reference reference) const {
    static const backend_activity no_activity;
    const backend_activity*       found = find_activity(reference);
    return found == nullptr ? no_activity : *found;
}

flow_tracker flow_tracker::without_flows() const {
    flow_tracker copy(capacity_);
    copy.activity_ = activity_;
    copy.handshake_time_ = handshake_time_;
    return copy;
}

tracked_flow* flow_tracker::start(const segment& packet, const backend_id& backend, steady_time now) {
    const flow_key key = key_of(packet);
    const auto     existing = flows_.find(key);
    if (existing == flows_.end() && flows_.size() >= capacity_) return nullptr;
    tracked_flow& flow = existing == flows_.end() ? flows_[key] : existing->second;
    if (existing != flows_.end()) close(flow);
    flow = {.caller = packet.source,
            .route_address = packet.destination,
            .reference = backend.reference,
            .identity = backend.identity,
            .syn_sequence = packet.sequence,
            .next_sequence = packet.sequence + packet.payload_size,
            .acknowledged = packet.syn ? 0 : packet.acknowledged,
            .first_syn = now,
            .last_seen = now,
            .last_progress = now,
            .syn_was_seen = packet.syn};
    return &flow;
}

void flow_tracker::reassign(tracked_flow& flow, const backend_id& backend) {
    close(flow);
    flow.is_closing = false;
    flow.reference = backend.reference;
    flow.identity = backend.identity;
}

flow_progress flow_tracker::note_packet(tracked_flow& flow, const segment& packet, steady_time now) {
    flow_progress progress;
    flow.last_seen = now;
    backend_activity& activity = activity_[flow.reference];
    const bool        completes_handshake = flow.syn_was_seen && !flow.is_open && !flow.is_closing;
    const bool        acknowledges_answer =
        packet.ack && (completes_handshake || is_after(packet.acknowledged, flow.acknowledged));
    if (!flow.is_open && !flow.is_closing) {
        flow.is_open = true;
        ++activity.open_flows;
    }
    if (acknowledges_answer) {
        if (completes_handshake && !flow.syn_was_retransmitted) {
            progress.handshake_time = now - flow.first_syn;
            handshake_time_ += (now - flow.first_syn - handshake_time_) / handshake_smoothing;
        }
        const std::uint32_t acknowledged_bytes =
            packet.acknowledged - std::exchange(flow.acknowledged, packet.acknowledged);
        flow.last_progress = now;
        note_response(activity, now);
        if (flow.is_waiting) {
            progress.answer_time = now - flow.request_received;
            progress.answered_bytes = acknowledged_bytes;
        }
        stop_waiting(flow);
    }
    const std::uint32_t end = packet.sequence + packet.payload_size;
    if (packet.payload_size > 0 && is_after(end, flow.next_sequence)) {
        flow.next_sequence = end;
        flow.last_progress = now;
        if (!flow.is_waiting && !flow.is_closing) {
            flow.is_waiting = true;
            flow.is_overdue = false;
            progress.starts_request = true;
            flow.request_received = now;
            ++activity.waiting_flows;
        }
    } else if (packet.payload_size > 0) {
        progress.is_retransmission = true;
    }
    if (!packet.request_id.empty()) flow.request_id = packet.request_id;
    if (packet.fin || packet.rst) close(flow);
    return progress;
}

std::vector<tracked_flow*> flow_tracker::idle_flows(const std::unordered_set<std::uint64_t>& identities) {
    std::vector<tracked_flow*> idle;
    for (auto& [key, flow] : flows_) {
        if (flow.is_open && !flow.is_waiting && identities.contains(flow.identity)) idle.push_back(&flow);
    }
    return idle;
}

void flow_tracker::note_reset(tracked_flow& flow, steady_time now) {
    close(flow);
    flow.last_seen = now;
}

void flow_tracker::note_response(backend_activity& activity, steady_time now) {
    activity.last_response = now;
    activity.consecutive_failures = 0;
    activity.avoid_until = {};
    activity.unanswered_syns = 0;
}

void flow_tracker::note_syn(backend_reference reference, steady_time now) {
    backend_activity& activity = activity_[reference];
    activity.last_chosen = now;
    if (activity.unanswered_syns++ == 0) activity.first_unanswered_syn = now;
}

void flow_tracker::stop_waiting(tracked_flow& flow) {
    if (!flow.is_waiting) return;
    flow.is_waiting = false;
    backend_activity& activity = activity_[flow.reference];
    if (activity.waiting_flows > 0) --activity.waiting_flows;
}

void flow_tracker::close(tracked_flow& flow) {
    stop_waiting(flow);
    backend_activity& activity = activity_[flow.reference];
    if (flow.is_open && activity.open_flows > 0) --activity.open_flows;
    flow.is_open = false;
    flow.is_closing = true;
}

void flow_tracker::expire(steady_time now, duration idle_timeout) {
    const std::size_t     buckets = flows_.bucket_count();
    const std::size_t     buckets_to_scan = buckets / scan_divisor + 1;
    std::vector<flow_key> expired_keys;
    for (std::size_t scanned = 0; scanned < buckets_to_scan; ++scanned) {
        const std::size_t bucket = next_scan_bucket_++ % buckets;
        for (auto flow = flows_.begin(bucket); flow != flows_.end(bucket); ++flow) {
            const duration limit = flow->second.is_closing ? closed_flow_retention : idle_timeout;
            if (now > flow->second.last_seen + limit) expired_keys.push_back(flow->first);
        }
    }
    for (const flow_key key : expired_keys) {
        const auto found = flows_.find(key);
        close(found->second);
        flows_.erase(found);
    }
    expire_activity(now);
}

void flow_tracker::expire_activity(steady_time now) {
    if (now < activity_scan_due_) return;
    activity_scan_due_ = now + activity_scan_interval;
    std::erase_if(activity_, [&](const auto& reference_and_activity) {
        const backend_activity& activity = reference_and_activity.second;
        if (activity.open_flows > 0 || activity.waiting_flows > 0) return false;
        return now >
               std::max({activity.last_chosen, activity.last_response, activity.avoid_until}) + activity_retention;
    });
}

} // namespace tamarack::entry
