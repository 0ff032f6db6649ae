// Distributions based on Boost.Histogram, and the text exposition format.
#include "tamarack/metrics.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/histogram.hpp>
#include <boost/histogram/accumulators/thread_safe.hpp>
#include <charconv>
#include <cmath>
#include <limits>

namespace tamarack {

namespace {

namespace bh = boost::histogram;

// The underflow bin counts the values up to the first bound.
using axis_options = decltype(bh::axis::option::underflow | bh::axis::option::overflow);
using axis_type = bh::axis::variable<double, bh::use_default, axis_options>;
using storage_type = bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;
using histogram_type = bh::histogram<std::tuple<axis_type>, storage_type>;

// The axis has half-open intervals [a, b), but a value equal to a bound belongs to the bucket of this bound. The edges
// are therefore the next larger numbers. The last edge, infinity, keeps the axis valid when there is a single bound.
axis_type make_axis(std::span<const double> bounds) {
    std::vector<double> edges;
    for (const double bound : bounds)
        edges.push_back(std::nextafter(bound, std::numeric_limits<double>::infinity()));
    edges.push_back(std::numeric_limits<double>::infinity());
    return axis_type(edges);
}

enum class metric_kind : std::uint8_t { counter, gauge, histogram };

struct metric_description {
    std::string_view name; // without the prefix
    metric_kind      kind;
    std::string_view help;
};

constexpr std::array metric_descriptions = std::to_array<metric_description>({
    {"packets_from_fabric", metric_kind::counter, "Packets received from the fabric."},
    {"packets_from_peers", metric_kind::counter, "Relay frames received from peers."},
    {"packets_delivered", metric_kind::counter, "Packets sent to backend servers."},
    {"packets_relayed", metric_kind::counter, "Packets sent to peers."},
    {"packets_malformed", metric_kind::counter, "Packets dropped because they could not be parsed."},
    {"packets_fragment", metric_kind::counter, "IP fragments dropped."},
    {"frames_rejected", metric_kind::counter, "Relay frames dropped for their MAC, version or a field."},
    {"frames_stale_sender", metric_kind::counter, "Relay frames dropped because their sender has been replaced."},
    {"hops_exceeded", metric_kind::counter, "Relay frames dropped after too many hops."},
    {"no_service", metric_kind::counter, "Packets for an address without a service."},
    {"flows_placed", metric_kind::counter, "Flows placed as owner."},
    {"flows_adopted", metric_kind::counter, "Own proposals replaced by another holder's placement."},
    {"flows_refused", metric_kind::counter, "New flows refused: no backend server, a limit, or a full table."},
    {"flows_reset_lost", metric_kind::counter, "Flows reset because no balancer holds their placement."},
    {"flows_reset_dead", metric_kind::counter, "Flows reset because their backend server is gone."},
    {"flows_stalled", metric_kind::counter, "Flows with a dead path."},
    {"dropped_unsettled", metric_kind::counter, "Packets without a placement dropped while views settle."},
    {"placement_conflicts", metric_kind::counter, "Two different established placements of one flow."},
    {"replies_suppressed", metric_kind::counter, "Replies to callers over the rate limit."},
    {"evictions", metric_kind::counter, "Placements evicted from the full table."},
    {"invariants_violated", metric_kind::counter, "Violated invariants; each is a fault of the program."},
    {"control_bytes_sent", metric_kind::counter, "Control bytes sent to peers, with IP and UDP headers."},
    {"datagrams_received", metric_kind::counter, "Datagrams received by the traffic threads."},
    {"datagrams_sent", metric_kind::counter, "Datagrams sent by the traffic threads."},
    {"datagrams_not_sent", metric_kind::counter, "Datagrams that the host could not send."},
    {"datagrams_too_long", metric_kind::counter, "Received datagrams dropped because they exceed the receive buffer."},
    {"datagrams_discarded_after_pause", metric_kind::counter, "Datagrams that waited while the process was paused."},
    {"control_datagrams_received", metric_kind::counter, "Datagrams received on the control port."},
    {"control_datagrams_not_sent", metric_kind::counter, "Control datagrams that the host could not send."},
    {"flows_held", metric_kind::gauge, "Placements in the flow table."},
    {"flow_table_capacity", metric_kind::gauge, "Cap of the flow table."},
    {"flow_table_bytes", metric_kind::gauge, "Memory of the flow table."},
    {"flows_unreplicated", metric_kind::gauge, "Placements that no other balancer is known to hold."},
    {"configuration_revision", metric_kind::gauge, "Revision of the configuration in force."},
    {"batch_packets", metric_kind::histogram, "Packets handled together by a traffic thread."},
    {"batch_seconds", metric_kind::histogram, "Time to handle a batch, without sending it."},
    {"tick_seconds", metric_kind::histogram, "Time of a round of the control thread."},
});

const metric_description* describe(std::string_view name) {
    name.remove_prefix(std::string_view(metric_prefix).size());
    const auto* found = std::ranges::find(metric_descriptions, name, &metric_description::name);
    return found == metric_descriptions.end() ? nullptr : found;
}

// Shortest text that parses to the same number.
std::string number_text(double value) {
    if (std::isinf(value)) return "+Inf";
    std::array<char, 32> text{};
    const auto           end = std::to_chars(text.data(), text.data() + text.size(), value).ptr;
    return {text.data(), end};
}

void append_header(std::string& text, const std::string& name, std::string_view type) {
    const auto* description = describe(name);
    if (description != nullptr) text += "# HELP " + name + " " + std::string(description->help) + "\n";
    text += "# TYPE " + name + " " + std::string(type) + "\n";
}

void append_counter(std::string& text, const std::string& name, std::uint64_t value) {
    const auto* description = describe(name);
    append_header(text, name,
                  description == nullptr                    ? "untyped"
                  : description->kind == metric_kind::gauge ? "gauge"
                                                            : "counter");
    text += name + " " + std::to_string(value) + "\n";
}

void append_distribution(std::string& text, const std::string& name, const distribution_snapshot& values) {
    append_header(text, name, "histogram");
    std::uint64_t cumulative_count = 0;
    for (std::size_t i = 0; i < values.counts.size(); ++i) {
        cumulative_count += values.counts[i];
        const double bound = i < values.bounds.size() ? values.bounds[i] : std::numeric_limits<double>::infinity();
        text += name + "_bucket{le=\"" + number_text(bound) + "\"} " + std::to_string(cumulative_count) + "\n";
    }
    text += name + "_sum " + number_text(values.sum) + "\n";
    text += name + "_count " + std::to_string(cumulative_count) + "\n";
}

} // namespace

std::string metric_name(std::string_view raw_name) {
    std::string name(raw_name);
    const auto  is_allowed = [](char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') || letter == '_' || letter == ':' ||
               (letter >= '0' && letter <= '9');
    };
    std::ranges::replace_if(
        name, [&](char letter) { return !is_allowed(letter); }, '_');
    return name.starts_with(metric_prefix) ? name : metric_prefix + name;
}

std::uint64_t distribution_snapshot::total() const {
    std::uint64_t sum_of_counts = 0;
    for (const std::uint64_t count : counts)
        sum_of_counts += count;
    return sum_of_counts;
}

double distribution_snapshot::quantile(double share) const {
    const std::uint64_t total_count = total();
    if (total_count == 0) return 0;
    const auto    wanted_rank = std::max(1.0, std::ceil(share * static_cast<double>(total_count)));
    std::uint64_t cumulative_count = 0;
    for (std::size_t i = 0; i < bounds.size(); ++i) {
        cumulative_count += counts[i];
        if (static_cast<double>(cumulative_count) >= wanted_rank) return bounds[i];
    }
    return std::numeric_limits<double>::infinity();
}

void distribution_snapshot::merge(const distribution_snapshot& other) {
    if (counts.empty()) {
        *this = other;
        return;
    }
    for (std::size_t i = 0; i < counts.size() && i < other.counts.size(); ++i)
        counts[i] += other.counts[i];
    sum += other.sum;
}

struct distribution::impl {
    explicit impl(std::span<const double> upper_bounds)
        : bounds(upper_bounds.begin(), upper_bounds.end()),
          values(std::make_tuple(make_axis(upper_bounds)), storage_type()) {}

    std::vector<double> bounds;
    histogram_type      values;
    std::atomic<double> sum{0};
};

distribution::distribution(std::span<const double> bounds) : impl_(std::make_unique<impl>(bounds)) {}
distribution::~distribution() = default;
distribution::distribution(distribution&&) noexcept = default;
distribution& distribution::operator=(distribution&&) noexcept = default;

void distribution::add(double value) {
    impl_->values(value);
    impl_->sum.fetch_add(value, std::memory_order_relaxed);
}

distribution_snapshot distribution::snapshot() const {
    distribution_snapshot result{impl_->bounds, {}, impl_->sum.load(std::memory_order_relaxed)};
    const int             bound_count = static_cast<int>(impl_->bounds.size());
    for (int index = -1; index < bound_count; ++index) // -1: values up to the first bound
        result.counts.push_back(impl_->values.at(index));
    return result;
}

std::span<const double> latency_bounds() {
    static constexpr std::array bounds = {1e-6, 2e-6, 5e-6, 1e-5, 2e-5, 5e-5, 1e-4, 2e-4, 5e-4, 1e-3,
                                          2e-3, 5e-3, 1e-2, 2e-2, 5e-2, 1e-1, 2e-1, 5e-1, 1.0};
    return bounds;
}

std::span<const double> batch_size_bounds() {
    static constexpr std::array bounds = {1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0};
    return bounds;
}

std::string exposition_text(const counter_map& counters, const distribution_map& distributions) {
    std::string text;
    for (const auto& [name, value] : counters)
        append_counter(text, metric_name(name), value);
    for (const auto& [name, values] : distributions)
        append_distribution(text, metric_name(name), values);
    return text;
}

} // namespace tamarack
