// Dissemination of heads among the peers.
//
//   new change  -> pushed as a delta to push_fanout random peers at once; peers that did not have it do the same
//   digest      -> a member that is behind waits a random time, then requests deltas from a peer that holds more
//   request     -> answered with deltas if the recent changes reach back far enough, else with a first chunk
//   first chunk -> the other chunks of the snapshot are requested from many peers, one at a time from each
//
// Nothing is queued: a message that exceeds the byte budget is not sent, and the requesting member tries another peer.
#include "tamarack/configuration_parts.h"

#include "configuration.pb.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace tamarack::replica {

namespace {

constexpr std::size_t push_fanout = 5; // reaches about 94% of the members; the others learn of changes from digests
// Pushed deltas reach most members within this time, so few of them have to request anything.
constexpr duration    max_request_delay = std::chrono::milliseconds(150);
constexpr duration    request_timeout = std::chrono::milliseconds(500);
constexpr duration    peer_cooldown = std::chrono::seconds(1); // after a request that the peer did not answer
constexpr std::size_t chunk_size = 1'024;                      // bytes
constexpr std::size_t parallel_chunks = 8;
constexpr duration    fetch_timeout = std::chrono::seconds(5); // since the last new chunk
constexpr std::size_t max_snapshot_size = max_value_size;
constexpr std::size_t max_message_size = 1'400;                         // bytes, of a received message
constexpr duration    old_snapshot_lifetime = std::chrono::seconds(60); // for peers that are fetching one
constexpr std::size_t max_snapshots = 4;
constexpr std::size_t max_source_attempts = 8; // random peers considered as the source of a chunk
// Bytes of the budget that serving other members leaves for this member's own requests.
constexpr double      own_request_reserve = 256;

struct snapshot {
    std::shared_ptr<const head> source;
    std::string                 bytes;
    std::uint64_t               digest = 0;
    steady_time                 replaced_at{}; // by a newer head; zero: still current

    std::size_t chunk_count() const { return (bytes.size() + chunk_size - 1) / chunk_size; }
};

struct chunk_fetch {
    revision_number                    revision = 0;
    std::uint64_t                      digest = 0;
    std::size_t                        total_size = 0;
    std::vector<std::string>           chunks; // empty: not received yet
    std::size_t                        missing_count = 0;
    std::map<std::size_t, steady_time> requested_chunks; // by index: time at which the request expires
    std::map<member_id, steady_time>   busy_peers;       // time from which the peer may be asked again
    std::map<member_id, bool>          declining_peers;
    steady_time                        last_progress{};
    std::size_t size_of(std::size_t index) const { return std::min(chunk_size, total_size - index * chunk_size); }
};

} // namespace

class disseminator::impl {
public:
    explicit impl(context& shared)
        : shared_(shared), send_budget_(shared.settings.burst_bytes), budget_refilled_at_(shared.now()) {}

    void set_peers(std::vector<member_id> peers) {
        peers_ = std::move(peers);
        std::sort(peers_.begin(), peers_.end());
        const auto is_gone = [&](const auto& entry) { return !is_peer(entry.first); };
        std::erase_if(peer_revisions_, is_gone);
        std::erase_if(cooldowns_, is_gone);
        update_highest_peer_revision();
    }

    // Keeps the last digest, not the highest: a member that restarts begins with revision 0 again.
    void receive_digest(member_id sender, revision_number revision) {
        if (!is_peer(sender)) return;
        const revision_number previous_revision = std::exchange(peer_revisions_[sender], revision);
        if (revision >= shared_.highest_peer_revision) {
            shared_.highest_peer_revision = revision;
        } else if (previous_revision == shared_.highest_peer_revision) {
            update_highest_peer_revision();
        }
        if (is_behind() && !next_request_at_)
            next_request_at_ = shared_.now() + shared_.random_below(max_request_delay);
    }

    void receive(member_id sender, byte_view payload);
    void push_changes_since(const head& previous_head);
    void tick();

private:
    struct open_request {
        member_id   recipient = 0;
        steady_time expires_at{};
    };

    bool is_peer(member_id id) const { return std::binary_search(peers_.begin(), peers_.end(), id); }
    bool is_behind() const { return shared_.highest_peer_revision > shared_.current_head->revision(); }
    void update_highest_peer_revision() {
        shared_.highest_peer_revision = 0;
        for (const auto& [id, revision] : peer_revisions_)
            shared_.highest_peer_revision = std::max(shared_.highest_peer_revision, revision);
    }
    void raise_peer_revision(member_id sender, revision_number revision) {
        if (revision > peer_revisions_[sender]) receive_digest(sender, revision);
    }
    std::size_t random_index(std::size_t count) {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(shared_.random);
    }

    bool send(member_id recipient, const wire::PeerMessage& message, replica_priority priority, double reserve);
    void refill_send_budget();

    // Requests
    void                     request_deltas();
    std::optional<member_id> choose_delta_source();
    void                     request_snapshot(member_id source);
    void                     handle_deltas(member_id sender, const wire::Deltas& message);
    void                     handle_chunk(member_id sender, const wire::SnapshotChunk& message);
    bool                     begin_fetch(member_id sender, const wire::SnapshotChunk& message);
    void                     request_chunks();
    bool                     request_chunk(std::size_t index);
    std::optional<member_id> choose_chunk_source();
    void                     finish_fetch();
    void                     abandon_fetch();
    void                     count_malformed() { ++shared_.counters.peer_messages_malformed; }

    // Responses
    void      serve_deltas(member_id sender, const wire::DeltaRequest& message);
    void      serve_chunk(member_id sender, const wire::SnapshotRequest& message);
    void      send_chunk(member_id recipient, const snapshot& source, std::size_t index);
    void      count_served(bool sent);
    snapshot* find_snapshot(revision_number revision);

    context&                             shared_;
    std::vector<member_id>               peers_;          // sorted
    std::map<member_id, revision_number> peer_revisions_; // from the last digest of each peer
    std::map<member_id, steady_time> cooldowns_; // peers that did not answer: time from which they may be asked again
    std::optional<steady_time>       next_request_at_;
    std::optional<open_request>      open_request_; // for deltas or for the first chunk
    std::optional<chunk_fetch>       fetch_;
    bool is_head_from_snapshot_ = false; // the current head comes from a snapshot and has not been pushed
    std::vector<snapshot> snapshots_;    // of the current head (last) and of earlier ones
    double                send_budget_;  // bytes; a token bucket
    steady_time           budget_refilled_at_;
};

//----------------------------------------------------------------------------------------------------------------------
// Sending
//----------------------------------------------------------------------------------------------------------------------

void disseminator::impl::refill_send_budget() {
    const double seconds = std::chrono::duration<double>(shared_.now() - budget_refilled_at_).count();
    budget_refilled_at_ = shared_.now();
    send_budget_ =
        std::min<double>(shared_.settings.burst_bytes, send_budget_ + seconds * shared_.settings.bytes_per_second);
}

bool disseminator::impl::send(member_id recipient, const wire::PeerMessage& message, replica_priority priority,
                              double reserve) {
    refill_send_budget();
    const std::string bytes = message.SerializeAsString();
    const std::size_t cost = bytes.size() + shared_.settings.message_overhead;
    if (send_budget_ < static_cast<double>(cost) + reserve) return false;
    send_budget_ -= static_cast<double>(cost);
    shared_.counters.peer_bytes_sent += cost;
    const byte_view view = std::as_bytes(std::span(bytes));
    shared_.actions.messages.push_back({recipient, priority, {view.begin(), view.end()}});
    return true;
}

// Pushes the changes since the previous head if they fit into one message. A peer that lacks more changes requests
// them.
void disseminator::impl::push_changes_since(const head& previous_head) {
    if (snapshots_.empty() || snapshots_.back().source != shared_.current_head) {
        if (!snapshots_.empty()) snapshots_.back().replaced_at = shared_.now();
        snapshots_.push_back({shared_.current_head, {}, 0, {}});
        if (snapshots_.size() > max_snapshots) snapshots_.erase(snapshots_.begin());
    }
    if (std::exchange(is_head_from_snapshot_, false)) return; // new to this member only, so there is nothing to push
    wire::PeerMessage message;
    for (const auto& record : shared_.current_head->recent_changes) {
        if (record.revision <= previous_head.revision()) continue;
        to_wire(record, *message.mutable_deltas()->add_records());
        if (message.ByteSizeLong() > max_replica_payload) return;
    }
    if (message.deltas().records().empty()) return;
    if (message.deltas().records(0).revision() != previous_head.revision() + 1) return;
    std::vector<member_id> push_targets;
    std::vector<member_id> unaware_peers;
    std::copy_if(peers_.begin(), peers_.end(), std::back_inserter(unaware_peers), [&](member_id id) {
        const auto found = peer_revisions_.find(id);
        return found == peer_revisions_.end() || found->second < shared_.current_head->revision();
    });
    std::sample(unaware_peers.begin(), unaware_peers.end(), std::back_inserter(push_targets), push_fanout,
                shared_.random);
    for (const member_id id : push_targets) {
        if (send(id, message, replica_priority::normal, 0)) ++shared_.counters.deltas_pushed;
    }
}

//----------------------------------------------------------------------------------------------------------------------
// Requests
//----------------------------------------------------------------------------------------------------------------------

void disseminator::impl::tick() {
    const steady_time now = shared_.now();
    if (open_request_ && now >= open_request_->expires_at) {
        ++shared_.counters.peer_requests_expired;
        cooldowns_[open_request_->recipient] = now + peer_cooldown;
        open_request_.reset();
        next_request_at_ = now;
    }
    std::erase_if(snapshots_, [&](const snapshot& item) {
        return item.replaced_at != steady_time{} && now - item.replaced_at > old_snapshot_lifetime;
    });
    if (fetch_) return request_chunks();
    if (!is_behind()) return next_request_at_.reset();
    if (!open_request_ && next_request_at_ && now >= *next_request_at_) request_deltas();
    if (!open_request_ && !next_request_at_) next_request_at_ = now + shared_.random_below(max_request_delay);
}

std::optional<member_id> disseminator::impl::choose_delta_source() {
    std::vector<member_id> sources;
    for (const auto& [id, revision] : peer_revisions_) {
        const auto cooldown = cooldowns_.find(id);
        if (revision <= shared_.current_head->revision()) continue;
        if (cooldown == cooldowns_.end() || shared_.now() >= cooldown->second) sources.push_back(id);
    }
    if (sources.empty()) return std::nullopt;
    return sources[random_index(sources.size())];
}

void disseminator::impl::request_deltas() {
    const auto source = choose_delta_source();
    if (!source) return;
    wire::PeerMessage message;
    auto&             submessage = *message.mutable_delta_request();
    submessage.set_revision(shared_.current_head->revision());
    if (!shared_.current_head->recent_changes.empty())
        submessage.set_fingerprint(shared_.current_head->recent_changes.back().fingerprint);
    if (!send(*source, message, replica_priority::normal, 0)) return;
    ++shared_.counters.peer_requests_sent;
    open_request_ = open_request{*source, shared_.now() + request_timeout};
    next_request_at_.reset();
}

void disseminator::impl::request_snapshot(member_id source) {
    if (fetch_) return;
    wire::PeerMessage message;
    message.mutable_snapshot_request();
    if (!send(source, message, replica_priority::normal, 0)) return;
    ++shared_.counters.peer_requests_sent;
    open_request_ = open_request{source, shared_.now() + request_timeout};
}

void disseminator::impl::handle_deltas(member_id sender, const wire::Deltas& message) {
    std::vector<change_record> records;
    for (const auto& item : message.records()) {
        auto record = from_wire(item);
        if (!record) return count_malformed();
        if (!records.empty() && record.value().revision != records.back().revision + 1) return count_malformed();
        records.push_back(std::move(record.value()));
    }
    if (records.empty()) return count_malformed();
    if (open_request_ && open_request_->recipient == sender) open_request_.reset();
    const revision_number last = records.back().revision;
    raise_peer_revision(sender, last);
    if (last <= shared_.current_head->revision()) {
        ++shared_.counters.deltas_duplicate;
        return;
    }
    std::erase_if(records,
                  [&](const change_record& record) { return record.revision <= shared_.current_head->revision(); });
    if (records.front().revision != shared_.current_head->revision() + 1)
        return; // a gap: the recorded digest leads to a request
    auto next = append(*shared_.current_head, records);
    if (!next) return request_snapshot(sender); // the sender has another history
    shared_.adopt_if_newer(next.value(), false);
    if (is_behind() && !open_request_) next_request_at_ = shared_.now();
}

//----------------------------------------------------------------------------------------------------------------------
// Fetching a snapshot
//----------------------------------------------------------------------------------------------------------------------

void disseminator::impl::handle_chunk(member_id sender, const wire::SnapshotChunk& message) {
    const bool answers_request = open_request_ && open_request_->recipient == sender;
    if (message.total_size() > max_snapshot_size) return count_malformed();
    const bool is_same_fetch = fetch_ && fetch_->revision == message.revision() && fetch_->digest == message.digest();
    if (message.total_size() == 0) {
        if (is_same_fetch) fetch_->declining_peers[sender] = true;
        return;
    }
    const std::size_t offset = std::size_t{message.index()} * chunk_size;
    if (offset >= message.total_size()) return count_malformed();
    if (message.data().size() != std::min<std::size_t>(chunk_size, message.total_size() - offset))
        return count_malformed();
    if (!is_same_fetch && (fetch_ || !answers_request || !begin_fetch(sender, message))) {
        ++shared_.counters.peer_messages_unsolicited;
        return;
    }
    if (answers_request) open_request_.reset();
    if (fetch_->total_size != message.total_size()) return count_malformed();
    fetch_->busy_peers.erase(sender);
    fetch_->requested_chunks.erase(message.index());
    auto& chunk = fetch_->chunks[message.index()];
    if (!chunk.empty()) return;
    chunk = message.data();
    fetch_->last_progress = shared_.now();
    if (--fetch_->missing_count == 0) return finish_fetch();
    request_chunks();
}

bool disseminator::impl::begin_fetch(member_id sender, const wire::SnapshotChunk& message) {
    if (message.index() != 0 || message.revision() <= shared_.current_head->revision()) return false;
    raise_peer_revision(sender, message.revision());
    chunk_fetch next;
    next.revision = message.revision();
    next.digest = message.digest();
    next.total_size = message.total_size();
    next.missing_count = (next.total_size + chunk_size - 1) / chunk_size;
    next.chunks.resize(next.missing_count);
    next.last_progress = shared_.now();
    fetch_ = std::move(next);
    return true;
}

void disseminator::impl::request_chunks() {
    const steady_time now = shared_.now();
    const bool        is_useless =
        fetch_->revision <= shared_.current_head->revision() || fetch_->declining_peers.size() >= peers_.size();
    if (is_useless || now - fetch_->last_progress > fetch_timeout) return abandon_fetch();
    for (auto item = fetch_->requested_chunks.begin(); item != fetch_->requested_chunks.end();) {
        const bool expired = now >= item->second;
        if (expired) ++shared_.counters.peer_requests_expired;
        item = expired ? fetch_->requested_chunks.erase(item) : std::next(item);
    }
    const std::size_t count = fetch_->chunks.size();
    const std::size_t start = random_index(count);
    for (std::size_t i = 0; i < count && fetch_->requested_chunks.size() < parallel_chunks; ++i) {
        const std::size_t index = (start + i) % count;
        if (!fetch_->chunks[index].empty() || fetch_->requested_chunks.contains(index)) continue;
        if (!request_chunk(index)) return;
    }
}

// Any live member is likely to have the snapshot: normally all hold the same revision.
std::optional<member_id> disseminator::impl::choose_chunk_source() {
    for (std::size_t i = 0; i < max_source_attempts && !peers_.empty(); ++i) {
        const member_id id = peers_[random_index(peers_.size())];
        const auto      busy_peer = fetch_->busy_peers.find(id);
        if (fetch_->declining_peers.contains(id)) continue;
        if (busy_peer == fetch_->busy_peers.end() || shared_.now() >= busy_peer->second) return id;
    }
    return std::nullopt;
}

bool disseminator::impl::request_chunk(std::size_t index) {
    const auto source = choose_chunk_source();
    if (!source) return false;
    wire::PeerMessage message;
    auto&             submessage = *message.mutable_snapshot_request();
    submessage.set_revision(fetch_->revision);
    submessage.set_digest(fetch_->digest);
    submessage.set_index(static_cast<std::uint32_t>(index));
    if (!send(*source, message, replica_priority::normal, 0)) return false;
    ++shared_.counters.peer_requests_sent;
    fetch_->requested_chunks[index] = shared_.now() + request_timeout;
    fetch_->busy_peers[*source] = shared_.now() + peer_cooldown;
    return true;
}

void disseminator::impl::finish_fetch() {
    std::string bytes;
    for (const auto& chunk : fetch_->chunks)
        bytes += chunk;
    const bool is_intact = XXH3_64bits(bytes.data(), bytes.size()) == fetch_->digest;
    auto       next = is_intact ? decompress(bytes) : result<head, findings>(findings{});
    if (!next || next.value().revision() != fetch_->revision) {
        count_malformed();
        return abandon_fetch();
    }
    ++shared_.counters.snapshots_fetched;
    fetch_.reset();
    is_head_from_snapshot_ = shared_.adopt_if_newer(next.value(), false);
    if (is_behind()) next_request_at_ = shared_.now();
}

void disseminator::impl::abandon_fetch() {
    ++shared_.counters.snapshots_abandoned;
    fetch_.reset();
    next_request_at_ = shared_.now() + shared_.random_below(max_request_delay);
}

//----------------------------------------------------------------------------------------------------------------------
// Responses
//----------------------------------------------------------------------------------------------------------------------

void disseminator::impl::count_served(bool sent) {
    if (sent) ++shared_.counters.peer_requests_served;
    if (!sent) ++shared_.counters.peer_requests_declined;
}

void disseminator::impl::serve_deltas(member_id sender, const wire::DeltaRequest& message) {
    raise_peer_revision(sender, message.revision());
    if (message.revision() >= shared_.current_head->revision()) return;
    const change_record* present = find_revision(*shared_.current_head, message.revision());
    const bool           is_continuation =
        present != nullptr ? present->fingerprint == message.fingerprint()
                                     : message.revision() + 1 == first_recent_revision(shared_.current_head->revision());
    if (!is_continuation) {
        if (const snapshot* newest = find_snapshot(shared_.current_head->revision())) send_chunk(sender, *newest, 0);
        return;
    }
    wire::PeerMessage reply;
    for (revision_number next = message.revision() + 1; next <= shared_.current_head->revision(); ++next) {
        to_wire(*find_revision(*shared_.current_head, next), *reply.mutable_deltas()->add_records());
        if (reply.ByteSizeLong() <= max_replica_payload) continue;
        reply.mutable_deltas()->mutable_records()->RemoveLast();
        break;
    }
    count_served(send(sender, reply, replica_priority::normal, own_request_reserve));
}

void disseminator::impl::serve_chunk(member_id sender, const wire::SnapshotRequest& message) {
    const bool      newest = message.revision() == 0;
    const snapshot* source = find_snapshot(newest ? shared_.current_head->revision() : message.revision());
    if (source == nullptr || (!newest && source->digest != message.digest())) {
        wire::PeerMessage reply;
        reply.mutable_snapshot_chunk()->set_revision(message.revision());
        reply.mutable_snapshot_chunk()->set_digest(message.digest());
        send(sender, reply, replica_priority::normal, own_request_reserve);
        return count_served(false);
    }
    const std::size_t index = newest ? 0 : message.index();
    if (index >= source->chunk_count()) return count_malformed();
    send_chunk(sender, *source, index);
}

void disseminator::impl::send_chunk(member_id recipient, const snapshot& source, std::size_t index) {
    wire::PeerMessage reply;
    auto&             submessage = *reply.mutable_snapshot_chunk();
    submessage.set_revision(source.source->revision());
    submessage.set_digest(source.digest);
    submessage.set_total_size(static_cast<std::uint32_t>(source.bytes.size()));
    submessage.set_index(static_cast<std::uint32_t>(index));
    submessage.set_data(source.bytes.substr(index * chunk_size, chunk_size));
    count_served(send(recipient, reply, replica_priority::bulk, own_request_reserve));
}

// Null if no snapshot of the revision is held. Encodes the snapshot on first use.
snapshot* disseminator::impl::find_snapshot(revision_number revision) {
    const auto found = std::find_if(snapshots_.begin(), snapshots_.end(),
                                    [&](const snapshot& item) { return item.source->revision() == revision; });
    if (found == snapshots_.end() || revision == 0) return nullptr;
    if (found->bytes.empty()) {
        found->bytes = compress(*found->source);
        found->digest = XXH3_64bits(found->bytes.data(), found->bytes.size());
    }
    return &*found;
}

//----------------------------------------------------------------------------------------------------------------------
// Receiving
//----------------------------------------------------------------------------------------------------------------------

void disseminator::impl::receive(member_id sender, byte_view payload) {
    if (!is_peer(sender)) {
        ++shared_.counters.peer_messages_unknown;
        return;
    }
    wire::PeerMessage message;
    if (payload.size() > max_message_size || !message.ParseFromArray(payload.data(), static_cast<int>(payload.size())))
        return count_malformed();
    switch (message.what_case()) {
    case wire::PeerMessage::kDeltaRequest:
        return serve_deltas(sender, message.delta_request());
    case wire::PeerMessage::kDeltas:
        return handle_deltas(sender, message.deltas());
    case wire::PeerMessage::kSnapshotRequest:
        return serve_chunk(sender, message.snapshot_request());
    case wire::PeerMessage::kSnapshotChunk:
        return handle_chunk(sender, message.snapshot_chunk());
    case wire::PeerMessage::WHAT_NOT_SET:
        return count_malformed();
    }
}

disseminator::disseminator(context& shared) : impl_(std::make_unique<impl>(shared)) {}
disseminator::~disseminator() = default;

void disseminator::set_peers(std::vector<member_id> peers) {
    impl_->set_peers(std::move(peers));
}

void disseminator::receive_digest(member_id sender, revision_number revision) {
    impl_->receive_digest(sender, revision);
}

void disseminator::receive(member_id sender, byte_view payload) {
    impl_->receive(sender, payload);
}

void disseminator::push_changes_since(const head& previous_head) {
    impl_->push_changes_since(previous_head);
}

void disseminator::tick() {
    impl_->tick();
}

} // namespace tamarack::replica
