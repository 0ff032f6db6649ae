// Spreading heads among the peers.
//
//   a new change  -> its delta goes to 3 random peers at once; those who learn it do the same
//   a digest      -> who is behind asks, after a random delay, one of the members that hold more
//   a request     -> deltas while the ring has them, else the first chunk of a snapshot
//   a first chunk -> the others are asked from many peers, one at a time from each
//
// Nothing is queued: what does not fit the byte budget is not sent, and the asking member tries another one.
#include "tamarack/configuration_parts.h"

#include "configuration.pb.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace tamarack::replica {

namespace {

constexpr std::size_t push_fanout = 5; // reaches about 94% of the members; digests reach the others
// Deltas that are pushed reach most members within this time, so few of them ask.
constexpr duration    ask_delay = std::chrono::milliseconds(150);
constexpr duration    request_timeout = std::chrono::milliseconds(500);
constexpr duration    member_rest = std::chrono::seconds(1); // after a request to it without answer
constexpr std::size_t chunk_size = 1'024;                    // bytes
constexpr std::size_t parallel_chunks = 8;
constexpr duration    fetch_patience = std::chrono::seconds(5); // without a new chunk
constexpr std::size_t max_packed_size = max_value_size;
constexpr std::size_t max_message_size = 1'400;                     // received
constexpr duration    old_head_lifetime = std::chrono::seconds(60); // for snapshots that are being fetched
constexpr std::size_t max_old_heads = 4;
constexpr std::size_t peer_choices = 8; // random members that are tried for a chunk
// Kept in the byte budget for this member's own requests when it serves others.
constexpr double      own_reserve = 256;

struct snapshot {
    std::shared_ptr<const head> source;
    std::string                 bytes;
    std::uint64_t               digest = 0;
    steady_time                 replaced{}; // time at which the head was no longer the newest one

    std::size_t chunks() const { return (bytes.size() + chunk_size - 1) / chunk_size; }
};

struct chunk_fetch {
    revision_number                    revision = 0;
    std::uint64_t                      digest = 0;
    std::size_t                        total_size = 0;
    std::vector<std::string>           chunks; // empty: missing
    std::size_t                        missing = 0;
    std::map<std::size_t, steady_time> asked; // by chunk: when the request expires
    std::map<member_id, steady_time>   busy;  // members asked: when they may be asked again
    std::map<member_id, bool>          declined;
    steady_time                        progress{};
    std::size_t size_of(std::size_t index) const { return std::min(chunk_size, total_size - index * chunk_size); }
};

} // namespace

class spreader::impl {
public:
    explicit impl(context& shared) : shared_(shared), tokens_(shared.settings.burst_bytes), filled_(shared.now()) {}

    void set_peers(std::vector<member_id> peers) {
        peers_ = std::move(peers);
        std::sort(peers_.begin(), peers_.end());
        const auto gone = [&](const auto& entry) { return !is_peer(entry.first); };
        std::erase_if(heard_, gone);
        std::erase_if(resting_, gone);
        find_newest();
    }

    // A member that restarts begins with revision 0 again, so the last digest counts, not the highest.
    void heard(member_id from, revision_number revision) {
        if (!is_peer(from)) return;
        const revision_number before = std::exchange(heard_[from], revision);
        if (revision >= shared_.newest_heard) {
            shared_.newest_heard = revision;
        } else if (before == shared_.newest_heard) {
            find_newest();
        }
        if (is_behind() && !ask_at_) ask_at_ = shared_.now() + shared_.random_below(ask_delay);
    }

    void receive(member_id from, byte_view payload);
    void announce(const head& before);
    void tick();

private:
    struct request {
        member_id   to = 0;
        steady_time expires{};
    };

    bool is_peer(member_id id) const { return std::binary_search(peers_.begin(), peers_.end(), id); }
    bool is_behind() const { return shared_.newest_heard > shared_.known->revision(); }
    void find_newest() {
        shared_.newest_heard = 0;
        for (const auto& [id, revision] : heard_)
            shared_.newest_heard = std::max(shared_.newest_heard, revision);
    }
    void raise_heard(member_id from, revision_number revision) {
        if (revision > heard_[from]) heard(from, revision);
    }
    std::size_t random_index(std::size_t count) {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(shared_.random);
    }

    bool send(member_id to, const wire::PeerMessage& message, replica_priority priority, double reserve);
    void fill_tokens();

    // Asking
    void                     ask();
    std::optional<member_id> choose_source();
    void                     ask_for_snapshot(member_id from);
    void                     deltas_arrived(member_id from, const wire::Deltas& message);
    void                     chunk_arrived(member_id from, const wire::SnapshotChunk& message);
    bool                     begin_fetch(member_id from, const wire::SnapshotChunk& message);
    void                     ask_for_chunks();
    bool                     ask_for_chunk(std::size_t index);
    std::optional<member_id> choose_chunk_source();
    void                     finish_fetch();
    void                     abandon_fetch();
    void                     malformed() { ++shared_.counters.peer_messages_malformed; }

    // Serving
    void      serve_deltas(member_id from, const wire::DeltaRequest& message);
    void      serve_chunk(member_id from, const wire::SnapshotRequest& message);
    void      send_chunk(member_id to, const snapshot& source, std::size_t index);
    void      served(bool sent);
    snapshot* packed(revision_number revision);

    context&                             shared_;
    std::vector<member_id>               peers_;   // sorted
    std::map<member_id, revision_number> heard_;   // last digest of each peer
    std::map<member_id, steady_time>     resting_; // members that did not answer: until when they are not asked
    std::optional<steady_time>           ask_at_;
    std::optional<request>               asked_; // for deltas or for the first chunk
    std::optional<chunk_fetch>           fetch_;
    bool                  fetched_ = false; // the known head comes from a snapshot and was not announced yet
    std::vector<snapshot> snapshots_;       // of the known head (last) and of the ones before it
    double                tokens_;          // bytes that may be sent now
    steady_time           filled_;
};

//----------------------------------------------------------------------------------------------------------------------
// Sending
//----------------------------------------------------------------------------------------------------------------------

void spreader::impl::fill_tokens() {
    const double seconds = std::chrono::duration<double>(shared_.now() - filled_).count();
    filled_ = shared_.now();
    tokens_ = std::min<double>(shared_.settings.burst_bytes, tokens_ + seconds * shared_.settings.bytes_per_second);
}

bool spreader::impl::send(member_id to, const wire::PeerMessage& message, replica_priority priority, double reserve) {
    fill_tokens();
    const std::string bytes = message.SerializeAsString();
    const std::size_t cost = bytes.size() + shared_.settings.message_overhead;
    if (tokens_ < static_cast<double>(cost) + reserve) return false;
    tokens_ -= static_cast<double>(cost);
    shared_.counters.peer_bytes_sent += cost;
    const byte_view view = std::as_bytes(std::span(bytes));
    shared_.actions.messages.push_back({to, priority, {view.begin(), view.end()}});
    return true;
}

// Pushes the changes after the given head, if they fit one message. A member that misses more asks.
void spreader::impl::announce(const head& before) {
    if (snapshots_.empty() || snapshots_.back().source != shared_.known) {
        if (!snapshots_.empty()) snapshots_.back().replaced = shared_.now();
        snapshots_.push_back({shared_.known, {}, 0, {}});
        if (snapshots_.size() > max_old_heads) snapshots_.erase(snapshots_.begin());
    }
    if (std::exchange(fetched_, false)) return; // new to this member only
    wire::PeerMessage message;
    for (const auto& record : shared_.known->recent) {
        if (record.revision <= before.revision()) continue;
        to_wire(record, *message.mutable_deltas()->add_records());
        if (message.ByteSizeLong() > max_replica_payload) return;
    }
    if (message.deltas().records().empty()) return;
    if (message.deltas().records(0).revision() != before.revision() + 1) return;
    std::vector<member_id> chosen;
    std::vector<member_id> unaware;
    std::copy_if(peers_.begin(), peers_.end(), std::back_inserter(unaware), [&](member_id id) {
        const auto found = heard_.find(id);
        return found == heard_.end() || found->second < shared_.known->revision();
    });
    std::sample(unaware.begin(), unaware.end(), std::back_inserter(chosen), push_fanout, shared_.random);
    for (const member_id id : chosen) {
        if (send(id, message, replica_priority::news, 0)) ++shared_.counters.deltas_pushed;
    }
}

//----------------------------------------------------------------------------------------------------------------------
// Asking
//----------------------------------------------------------------------------------------------------------------------

void spreader::impl::tick() {
    const steady_time now = shared_.now();
    if (asked_ && now >= asked_->expires) {
        ++shared_.counters.peer_requests_expired;
        resting_[asked_->to] = now + member_rest;
        asked_.reset();
        ask_at_ = now;
    }
    std::erase_if(snapshots_, [&](const snapshot& item) {
        return item.replaced != steady_time{} && now - item.replaced > old_head_lifetime;
    });
    if (fetch_) return ask_for_chunks();
    if (!is_behind()) return ask_at_.reset();
    if (!asked_ && ask_at_ && now >= *ask_at_) ask();
    if (!asked_ && !ask_at_) ask_at_ = now + shared_.random_below(ask_delay);
}

std::optional<member_id> spreader::impl::choose_source() {
    std::vector<member_id> sources;
    for (const auto& [id, revision] : heard_) {
        const auto rest = resting_.find(id);
        if (revision <= shared_.known->revision()) continue;
        if (rest == resting_.end() || shared_.now() >= rest->second) sources.push_back(id);
    }
    if (sources.empty()) return std::nullopt;
    return sources[random_index(sources.size())];
}

void spreader::impl::ask() {
    const auto source = choose_source();
    if (!source) return;
    wire::PeerMessage message;
    auto&             part = *message.mutable_delta_request();
    part.set_revision(shared_.known->revision());
    if (!shared_.known->recent.empty()) part.set_fingerprint(shared_.known->recent.back().fingerprint);
    if (!send(*source, message, replica_priority::news, 0)) return;
    ++shared_.counters.peer_requests_sent;
    asked_ = request{*source, shared_.now() + request_timeout};
    ask_at_.reset();
}

void spreader::impl::ask_for_snapshot(member_id from) {
    if (fetch_) return;
    wire::PeerMessage message;
    message.mutable_snapshot_request();
    if (!send(from, message, replica_priority::news, 0)) return;
    ++shared_.counters.peer_requests_sent;
    asked_ = request{from, shared_.now() + request_timeout};
}

void spreader::impl::deltas_arrived(member_id from, const wire::Deltas& message) {
    std::vector<change_record> records;
    for (const auto& item : message.records()) {
        auto record = from_wire(item);
        if (!record) return malformed();
        if (!records.empty() && record.value().revision != records.back().revision + 1) return malformed();
        records.push_back(std::move(record.value()));
    }
    if (records.empty()) return malformed();
    if (asked_ && asked_->to == from) asked_.reset();
    const revision_number last = records.back().revision;
    raise_heard(from, last);
    if (last <= shared_.known->revision()) {
        ++shared_.counters.deltas_duplicate;
        return;
    }
    std::erase_if(records, [&](const change_record& record) { return record.revision <= shared_.known->revision(); });
    if (records.front().revision != shared_.known->revision() + 1) return; // the digest leads to a request
    auto next = append(*shared_.known, records);
    if (!next) return ask_for_snapshot(from); // the sender has another history
    shared_.adopt_if_newer(next.value(), false);
    if (is_behind() && !asked_) ask_at_ = shared_.now();
}

//----------------------------------------------------------------------------------------------------------------------
// Fetching a snapshot
//----------------------------------------------------------------------------------------------------------------------

void spreader::impl::chunk_arrived(member_id from, const wire::SnapshotChunk& message) {
    const bool answers_request = asked_ && asked_->to == from;
    if (message.total_size() > max_packed_size) return malformed();
    const bool same_fetch = fetch_ && fetch_->revision == message.revision() && fetch_->digest == message.digest();
    if (message.total_size() == 0) {
        if (same_fetch) fetch_->declined[from] = true;
        return;
    }
    const std::size_t offset = std::size_t{message.index()} * chunk_size;
    if (offset >= message.total_size()) return malformed();
    if (message.data().size() != std::min<std::size_t>(chunk_size, message.total_size() - offset)) return malformed();
    if (!same_fetch && (fetch_ || !answers_request || !begin_fetch(from, message))) {
        ++shared_.counters.peer_messages_unsolicited;
        return;
    }
    if (answers_request) asked_.reset();
    if (fetch_->total_size != message.total_size()) return malformed();
    fetch_->busy.erase(from);
    fetch_->asked.erase(message.index());
    auto& place = fetch_->chunks[message.index()];
    if (!place.empty()) return;
    place = message.data();
    fetch_->progress = shared_.now();
    if (--fetch_->missing == 0) return finish_fetch();
    ask_for_chunks();
}

bool spreader::impl::begin_fetch(member_id from, const wire::SnapshotChunk& message) {
    if (message.index() != 0 || message.revision() <= shared_.known->revision()) return false;
    raise_heard(from, message.revision());
    chunk_fetch next;
    next.revision = message.revision();
    next.digest = message.digest();
    next.total_size = message.total_size();
    next.missing = (next.total_size + chunk_size - 1) / chunk_size;
    next.chunks.resize(next.missing);
    next.progress = shared_.now();
    fetch_ = std::move(next);
    return true;
}

void spreader::impl::ask_for_chunks() {
    const steady_time now = shared_.now();
    const bool useless = fetch_->revision <= shared_.known->revision() || fetch_->declined.size() >= peers_.size();
    if (useless || now - fetch_->progress > fetch_patience) return abandon_fetch();
    for (auto item = fetch_->asked.begin(); item != fetch_->asked.end();) {
        const bool expired = now >= item->second;
        if (expired) ++shared_.counters.peer_requests_expired;
        item = expired ? fetch_->asked.erase(item) : std::next(item);
    }
    const std::size_t count = fetch_->chunks.size();
    const std::size_t start = random_index(count);
    for (std::size_t i = 0; i < count && fetch_->asked.size() < parallel_chunks; ++i) {
        const std::size_t index = (start + i) % count;
        if (!fetch_->chunks[index].empty() || fetch_->asked.contains(index)) continue;
        if (!ask_for_chunk(index)) return;
    }
}

// Any live member may have the snapshot: in ordinary times all of them hold the same revision.
std::optional<member_id> spreader::impl::choose_chunk_source() {
    for (std::size_t i = 0; i < peer_choices && !peers_.empty(); ++i) {
        const member_id id = peers_[random_index(peers_.size())];
        const auto      busy = fetch_->busy.find(id);
        if (fetch_->declined.contains(id)) continue;
        if (busy == fetch_->busy.end() || shared_.now() >= busy->second) return id;
    }
    return std::nullopt;
}

bool spreader::impl::ask_for_chunk(std::size_t index) {
    const auto source = choose_chunk_source();
    if (!source) return false;
    wire::PeerMessage message;
    auto&             part = *message.mutable_snapshot_request();
    part.set_revision(fetch_->revision);
    part.set_digest(fetch_->digest);
    part.set_index(static_cast<std::uint32_t>(index));
    if (!send(*source, message, replica_priority::news, 0)) return false;
    ++shared_.counters.peer_requests_sent;
    fetch_->asked[index] = shared_.now() + request_timeout;
    fetch_->busy[*source] = shared_.now() + member_rest;
    return true;
}

void spreader::impl::finish_fetch() {
    std::string bytes;
    for (const auto& chunk : fetch_->chunks)
        bytes += chunk;
    const bool intact = XXH3_64bits(bytes.data(), bytes.size()) == fetch_->digest;
    auto       next = intact ? unpack(bytes) : result<head, findings>(findings{});
    if (!next || next.value().revision() != fetch_->revision) {
        malformed();
        return abandon_fetch();
    }
    ++shared_.counters.snapshots_fetched;
    fetch_.reset();
    fetched_ = shared_.adopt_if_newer(next.value(), false);
    if (is_behind()) ask_at_ = shared_.now();
}

void spreader::impl::abandon_fetch() {
    ++shared_.counters.snapshots_abandoned;
    fetch_.reset();
    ask_at_ = shared_.now() + shared_.random_below(ask_delay);
}

//----------------------------------------------------------------------------------------------------------------------
// Serving
//----------------------------------------------------------------------------------------------------------------------

void spreader::impl::served(bool sent) {
    if (sent) ++shared_.counters.peer_requests_served;
    if (!sent) ++shared_.counters.peer_requests_declined;
}

void spreader::impl::serve_deltas(member_id from, const wire::DeltaRequest& message) {
    raise_heard(from, message.revision());
    if (message.revision() >= shared_.known->revision()) return;
    const change_record* present = find_revision(*shared_.known, message.revision());
    const bool           follows = present != nullptr ? present->fingerprint == message.fingerprint()
                                                      : message.revision() + 1 == first_recent(shared_.known->revision());
    if (!follows) {
        if (const snapshot* newest = packed(shared_.known->revision())) send_chunk(from, *newest, 0);
        return;
    }
    wire::PeerMessage reply;
    for (revision_number next = message.revision() + 1; next <= shared_.known->revision(); ++next) {
        to_wire(*find_revision(*shared_.known, next), *reply.mutable_deltas()->add_records());
        if (reply.ByteSizeLong() <= max_replica_payload) continue;
        reply.mutable_deltas()->mutable_records()->RemoveLast();
        break;
    }
    served(send(from, reply, replica_priority::news, own_reserve));
}

void spreader::impl::serve_chunk(member_id from, const wire::SnapshotRequest& message) {
    const bool      newest = message.revision() == 0;
    const snapshot* source = packed(newest ? shared_.known->revision() : message.revision());
    if (source == nullptr || (!newest && source->digest != message.digest())) {
        wire::PeerMessage reply;
        reply.mutable_snapshot_chunk()->set_revision(message.revision());
        reply.mutable_snapshot_chunk()->set_digest(message.digest());
        send(from, reply, replica_priority::news, own_reserve);
        return served(false);
    }
    const std::size_t index = newest ? 0 : message.index();
    if (index >= source->chunks()) return malformed();
    send_chunk(from, *source, index);
}

void spreader::impl::send_chunk(member_id to, const snapshot& source, std::size_t index) {
    wire::PeerMessage reply;
    auto&             part = *reply.mutable_snapshot_chunk();
    part.set_revision(source.source->revision());
    part.set_digest(source.digest);
    part.set_total_size(static_cast<std::uint32_t>(source.bytes.size()));
    part.set_index(static_cast<std::uint32_t>(index));
    part.set_data(source.bytes.substr(index * chunk_size, chunk_size));
    served(send(to, reply, replica_priority::bulk, own_reserve));
}

// Null when the revision is not held any more, or not yet.
snapshot* spreader::impl::packed(revision_number revision) {
    const auto found = std::find_if(snapshots_.begin(), snapshots_.end(),
                                    [&](const snapshot& item) { return item.source->revision() == revision; });
    if (found == snapshots_.end() || revision == 0) return nullptr;
    if (found->bytes.empty()) {
        found->bytes = pack(*found->source);
        found->digest = XXH3_64bits(found->bytes.data(), found->bytes.size());
    }
    return &*found;
}

//----------------------------------------------------------------------------------------------------------------------
// Receiving
//----------------------------------------------------------------------------------------------------------------------

void spreader::impl::receive(member_id from, byte_view payload) {
    if (!is_peer(from)) {
        ++shared_.counters.peer_messages_unknown;
        return;
    }
    wire::PeerMessage message;
    if (payload.size() > max_message_size || !message.ParseFromArray(payload.data(), static_cast<int>(payload.size())))
        return malformed();
    switch (message.what_case()) {
    case wire::PeerMessage::kDeltaRequest:
        return serve_deltas(from, message.delta_request());
    case wire::PeerMessage::kDeltas:
        return deltas_arrived(from, message.deltas());
    case wire::PeerMessage::kSnapshotRequest:
        return serve_chunk(from, message.snapshot_request());
    case wire::PeerMessage::kSnapshotChunk:
        return chunk_arrived(from, message.snapshot_chunk());
    case wire::PeerMessage::WHAT_NOT_SET:
        return malformed();
    }
}

spreader::spreader(context& shared) : impl_(std::make_unique<impl>(shared)) {}
spreader::~spreader() = default;

void spreader::set_peers(std::vector<member_id> peers) {
    impl_->set_peers(std::move(peers));
}

void spreader::heard(member_id from, revision_number revision) {
    impl_->heard(from, revision);
}

void spreader::receive(member_id from, byte_view payload) {
    impl_->receive(from, payload);
}

void spreader::announce(const head& before) {
    impl_->announce(before);
}

void spreader::tick() {
    impl_->tick();
}

} // namespace tamarack::replica
