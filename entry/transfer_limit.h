// Time limit of a call, as a function of how much of the answer has arrived.
//
// Load pattern: an answer may carry a few bytes or megabytes, over a link that is narrow, or shared with callers'
// packets and with other readers. A fixed limit that suits a short answer ends each call for a long one, however often
// it is repeated; one that suits a long answer notices a silent source late. Therefore an answer gets more time only as
// long as it arrives, and arrives at a least rate: a source that sends nothing, or single bytes, gets none.
#pragma once

#include "tamarack/tamarack.h"

#include <algorithm>

namespace tamarack::entry {

// Bytes per second. Less than the share of one of eight readers of a link of 10 Mbit/s.
inline constexpr std::size_t least_transfer_rate = 100'000;
// Longest time without a byte of an answer that has begun to arrive.
inline constexpr duration    longest_transfer_gap = std::chrono::milliseconds(700);

struct transfer_limit {
    std::size_t least_rate = 0;                 // bytes per second; 0: a long answer gets no more time
    duration    longest_time = duration::max(); // of the whole call

    friend bool operator==(const transfer_limit&, const transfer_limit&) = default;
};

// Time that bytes take at a rate in bytes per second. Zero at a rate of zero.
constexpr duration transfer_time(std::size_t bytes, double rate) {
    if (rate <= 0) return {};
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(static_cast<double>(bytes) / rate));
}

// From the start of a call to its end, if no more of the answer arrives. Timeout: of a call without an answer. The last
// byte arrived this long after the start.
constexpr duration time_limit(duration timeout, const transfer_limit& limit, std::size_t received, duration last_byte) {
    const duration by_rate = timeout + transfer_time(received, static_cast<double>(limit.least_rate));
    const duration extended = std::max(timeout, std::min(by_rate, last_byte + longest_transfer_gap));
    return std::min(extended, std::max(timeout, limit.longest_time));
}

} // namespace tamarack::entry
