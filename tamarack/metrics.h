// Counters and distributions, and their text exposition format 0.0.4 for metrics collectors.
//
// Each module provides its counters as a map. Distributions (Boost.Histogram) are updated by the traffic threads
// without locks and read by the control thread.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

inline constexpr const char* metric_prefix = "tamarack_";

// Snapshot of a distribution. A value is counted in the first bucket whose bound is not less than the value.
struct distribution_snapshot {
    std::vector<double>        bounds; // ascending
    std::vector<std::uint64_t> counts; // one more than bounds: the last counts values above all bounds
    double                     sum = 0;

    std::uint64_t total() const;
    // Bound of the bucket that holds the given share (0..1) of the values; infinity above the last bound, 0 if empty.
    double        quantile(double share) const;
    // Adds the values of a snapshot with the same bounds.
    void          merge(const distribution_snapshot& other);
};

// Thread-safe: any number of threads may call add() while another thread takes snapshots.
class distribution {
public:
    explicit distribution(std::span<const double> bounds); // ascending, not empty
    ~distribution();
    distribution(distribution&&) noexcept;
    distribution& operator=(distribution&&) noexcept;
    distribution(const distribution&) = delete;
    distribution& operator=(const distribution&) = delete;

    void                  add(double value);
    distribution_snapshot snapshot() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

// Bounds of the distributions that the daemon keeps.
std::span<const double> latency_bounds();    // seconds, 1 us to 1 s
std::span<const double> batch_size_bounds(); // packets, 1 to 64

using counter_map = std::map<std::string, std::uint64_t>;
using distribution_map = std::map<std::string, distribution_snapshot>;

// Adds the prefix unless the name has it, and replaces characters that the format does not allow by '_'.
std::string metric_name(std::string_view raw_name);

// Metrics without an entry in the table of descriptions have the type untyped.
std::string exposition_text(const counter_map& counters, const distribution_map& distributions);

} // namespace tamarack
