// Neighbors in the tree, duplicates and the rate limit of condition reports.
#include "entry/condition_reports.h"

#include <algorithm>

namespace tamarack::entry {

namespace {

// Reports that arrive within this time go into one datagram.
constexpr duration    collection_time = std::chrono::milliseconds(20);
// Until reports that could not be sent are tried again.
constexpr duration    retry_time = std::chrono::milliseconds(100);
// While more reports wait than may be sent, a datagram waits for this many reports, but not for longer than this time:
// the headers and the MAC are longer than two reports.
constexpr std::size_t efficient_report_count = 8;
constexpr duration    max_accumulation_time = std::chrono::seconds(1);
constexpr std::size_t max_waiting = 1'024;
constexpr std::size_t max_origins = 512;
constexpr std::size_t max_queued_conditions = 4'096;
// A second report of a condition replaces a first one that was lost.
constexpr unsigned    reports_of_condition = 2;

bool has_address(std::span<const report_neighbor> neighbors, const endpoint& address) {
    return std::ranges::find(neighbors, address, &report_neighbor::address) != neighbors.end();
}

// The key of the tree that the balancer belongs to; nullopt: it belongs to none.
std::optional<feed_key> tree_key(const tree_position& position, const replica& store_replica) {
    if (position.is_feeder) return position.own_key;
    if (position.source.kind == source_kind::feeder) return position.source.key;
    const auto feeder = store_replica.feeders().lower_bound({position.failure_domain, 0});
    if (feeder == store_replica.feeders().end() || feeder->first.first != position.failure_domain) return std::nullopt;
    return feeder->second.registration.key;
}

} // namespace

std::string_view to_string(report_drop reason) {
    switch (reason) {
    case report_drop::duplicate:
        return "duplicate";
    case report_drop::expired:
        return "expired";
    case report_drop::too_many_hops:
        return "too_many_hops";
    case report_drop::not_current:
        return "not_current";
    case report_drop::superseded:
        return "superseded";
    case report_drop::repeated:
        return "repeated";
    case report_drop::overflow:
        return "overflow";
    }
    return "unknown";
}

std::vector<report_neighbor> report_neighbors(const tree_position& position, const replica& store_replica) {
    std::vector<report_neighbor> neighbors;
    const auto                   add = [&](const endpoint& address, const feed_key& key) {
        if (address == position.address || has_address(neighbors, address)) return;
        neighbors.push_back({address, key});
    };
    if (position.is_feeder) {
        for (const auto& [domain_and_slot, feeder] : store_replica.feeders()) {
            if (domain_and_slot.first == position.failure_domain) continue;
            add(feeder.registration.address, feeder.registration.key);
        }
    }
    const auto key = tree_key(position, store_replica);
    if (!key) return neighbors;
    if (position.source.kind == source_kind::feeder) add(position.source.address, position.source.key);
    for (const endpoint& follower : position.followers)
        add(follower, *key);
    return neighbors;
}

//----------------------------------------------------------------------------------------------------------------------
// Duplicates
//----------------------------------------------------------------------------------------------------------------------

bool condition_reports::sequence_window::add(std::uint32_t sequence) {
    if (sequence == 0) return false;
    if (sequence > highest_) {
        if (sequence - highest_ >= size) is_received_.reset();
        for (std::uint32_t skipped = highest_ + 1; sequence - highest_ < size && skipped < sequence; ++skipped)
            is_received_.reset(skipped % size);
        highest_ = sequence;
    } else if (highest_ - sequence >= size || is_received_.test(sequence % size)) {
        return false;
    }
    is_received_.set(sequence % size);
    return true;
}

condition_reports::sequence_window& condition_reports::window_of(std::uint32_t origin, steady_time now) {
    if (windows_.size() >= max_origins && !windows_.contains(origin)) {
        windows_.erase(std::ranges::min_element(
            windows_, {}, [](const auto& origin_and_window) { return origin_and_window.second.last_used; }));
    }
    sequence_window& window = windows_[origin];
    window.last_used = now;
    return window;
}

bool condition_reports::is_new(const forwarded_report& item, steady_time now) {
    if (item.origin == settings_.origin) return false;
    return window_of(item.origin, now).add(item.sequence);
}

//----------------------------------------------------------------------------------------------------------------------
// Reports that wait to be sent
//----------------------------------------------------------------------------------------------------------------------

condition_reports::condition_reports(const report_settings& settings, const replica& store_replica, steady_time now)
    : settings_(settings), store_replica_(store_replica),
      byte_budget_(settings.bytes_per_second, settings.bytes_per_second, now) {}

void condition_reports::add_own(std::span<const condition_report> reports, steady_time now) {
    for (const condition_report& report : reports) {
        const forwarded_report item{.report = report, .origin = settings_.origin, .sequence = ++last_sequence_};
        enqueue({.item = item, .sender = std::nullopt, .observed_at = now - report.age}, now);
    }
}

std::vector<condition_report> condition_reports::receive(std::span<const forwarded_report> reports,
                                                         const endpoint& sender, steady_time now) {
    std::vector<condition_report> accepted;
    counters_.received += reports.size();
    for (const forwarded_report& item : reports) {
        if (!store_replica_.is_current(now)) {
            drop(report_drop::not_current);
        } else if (!is_new(item, now)) {
            drop(report_drop::duplicate);
        } else if (item.report.age >= item.report.validity) {
            drop(report_drop::expired);
        } else {
            ++counters_.accepted;
            accepted.push_back(item.report);
            enqueue({.item = item, .sender = sender, .observed_at = now - item.report.age}, now);
        }
    }
    return accepted;
}

void condition_reports::enqueue(const waiting_report& waiting, steady_time now) {
    const condition_report& report = waiting.item.report;
    if (report.age >= report.validity) return drop(report_drop::expired);
    if (waiting.item.hops >= max_store_distance) return drop(report_drop::too_many_hops);
    const auto earlier = std::ranges::find(waiting_, report.reference,
                                           [](const waiting_report& other) { return other.item.report.reference; });
    const bool is_waiting = earlier != waiting_.end();
    if (!is_waiting && waiting_.size() >= max_waiting) return drop(report_drop::overflow);
    if (const auto reason = note_queued(waiting, is_waiting, now)) return drop(*reason);
    if (is_waiting) {
        *earlier = waiting;
        return drop(report_drop::superseded);
    }
    if (waiting_.empty()) due_ = now + collection_time;
    waiting_.push_back(waiting);
}

// Returns why the report need not be forwarded; nullopt: it is.
std::optional<report_drop> condition_reports::note_queued(const waiting_report& waiting, bool is_waiting,
                                                          steady_time now) {
    const condition_report& report = waiting.item.report;
    const queued_condition  next{.condition = report.condition,
                                 .observed_at = waiting.observed_at,
                                 .expires_at = waiting.observed_at + report.validity,
                                 .count = 1};
    const auto              known = queued_.find(report.reference);
    if (known == queued_.end()) {
        if (!make_room_for_queued(now)) return report_drop::overflow;
        queued_.emplace(report.reference, next);
        return std::nullopt;
    }
    queued_condition& latest = known->second;
    const bool        is_known = latest.expires_at > now;
    const bool        is_same = latest.condition == next.condition;
    if (is_known && !is_same && next.observed_at < latest.observed_at) return report_drop::superseded;
    if (!is_known || !is_same || next.expires_at - latest.expires_at >= report.validity / 2) {
        latest = next;
        return std::nullopt;
    }
    if (is_waiting || latest.count >= reports_of_condition) return report_drop::repeated;
    ++latest.count;
    return std::nullopt;
}

bool condition_reports::make_room_for_queued(steady_time now) {
    if (queued_.size() < max_queued_conditions) return true;
    std::erase_if(queued_, [&](const auto& entry) { return entry.second.expires_at <= now; });
    return queued_.size() < max_queued_conditions;
}

void condition_reports::drop_expired(steady_time now) {
    const auto removed = std::erase_if(waiting_, [&](const waiting_report& waiting) {
        return now - waiting.observed_at >= waiting.item.report.validity;
    });
    counters_.dropped.at(static_cast<std::size_t>(report_drop::expired)) += removed;
}

//----------------------------------------------------------------------------------------------------------------------
// Sending
//----------------------------------------------------------------------------------------------------------------------

std::optional<steady_time> condition_reports::next_due() const {
    return waiting_.empty() ? std::nullopt : std::optional(due_);
}

std::vector<outgoing_reports> condition_reports::take_due(const tree_position& position, steady_time now) {
    if (waiting_.empty() || now < due_) return {};
    drop_expired(now);
    due_ = now + retry_time;
    if (!store_replica_.is_current(now)) return {};
    const auto neighbors = report_neighbors(position, store_replica_);
    if (neighbors.empty()) return {};
    const std::size_t count = std::min(waiting_.size(), affordable_reports(neighbors.size(), now));
    const bool        is_accumulating =
        count < waiting_.size() && count < efficient_report_count && now - last_sent_ < max_accumulation_time;
    if (count == 0 || is_accumulating) return {};
    last_sent_ = now;
    auto datagrams = distribute(std::span(waiting_).first(count), neighbors, now);
    waiting_.erase(waiting_.begin(), waiting_.begin() + static_cast<std::ptrdiff_t>(count));
    charge(datagrams, now);
    return datagrams;
}

// The number of reports that may be sent now to so many neighbors.
std::size_t condition_reports::affordable_reports(std::size_t neighbors, steady_time now) {
    const report_sizes& sizes = settings_.sizes;
    const auto          smallest = static_cast<double>(neighbors * (sizes.datagram + sizes.report));
    const double        rate =
        std::min(settings_.bytes_per_second, settings_.neighbor_bytes_per_second * static_cast<double>(neighbors));
    // The budget must suffice for a single report.
    byte_budget_.set_rate(rate, std::max(rate, smallest), now);
    const double bytes = byte_budget_.available(now) / static_cast<double>(neighbors);
    const double for_reports = bytes - static_cast<double>(sizes.datagram);
    if (for_reports < static_cast<double>(sizes.report)) return 0;
    return std::min(static_cast<std::size_t>(for_reports) / sizes.report, sizes.max_reports);
}

std::vector<outgoing_reports> condition_reports::distribute(std::span<const waiting_report>  reports,
                                                            std::span<const report_neighbor> neighbors,
                                                            steady_time                      now) {
    std::vector<outgoing_reports> datagrams;
    for (const report_neighbor& neighbor : neighbors) {
        outgoing_reports datagram{.neighbor = neighbor, .reports = {}};
        for (const waiting_report& waiting : reports) {
            if (waiting.sender == neighbor.address) continue;
            forwarded_report item = waiting.item;
            item.report.age = now - waiting.observed_at;
            ++item.hops;
            datagram.reports.push_back(item);
        }
        if (!datagram.reports.empty()) datagrams.push_back(std::move(datagram));
    }
    return datagrams;
}

void condition_reports::charge(std::span<const outgoing_reports> datagrams, steady_time now) {
    std::size_t bytes = 0;
    for (const outgoing_reports& datagram : datagrams) {
        bytes += settings_.sizes.datagram + datagram.reports.size() * settings_.sizes.report;
        counters_.sent += datagram.reports.size();
    }
    counters_.bytes_sent += bytes;
    byte_budget_.take(static_cast<double>(bytes), now);
}

} // namespace tamarack::entry
