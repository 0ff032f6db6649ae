// The placements that a balancer holds: which backend server serves which flow.
//
// Open addressing with a hard cap, under 64 bytes a flow. Not safe for concurrent use: each traffic partition has its
// own.
#pragma once

#include "tamarack/packet.h"

namespace tamarack {

enum class flow_state : std::uint8_t {
    half_open,   // only a SYN has been seen; the first to be evicted
    established, // also every UDP flow after its first datagram
    closing,     // FIN or RST of the caller has been seen
};

// One placement. Invariant: backend_server and service never change while generation stays the same.
struct placement {
    backend_server_id backend_server = 0;
    service_id        service = 0;
    std::uint32_t     other_holder = 0;       // token of the member and life that has acknowledged it; 0: proposed
    member_id         pending_holder = 0;     // the member that the last place frame was sent to
    std::uint32_t     place_sequence = 0;     // of that frame; 0: the holder has acknowledged the present state
    std::uint32_t     last_seen = 0;          // ticks of the table's clock, see flow_table::tick_length
    std::uint16_t     last_sequence_hash = 0; // TCP, for dead path detection; otherwise high half of the mark
    std::uint16_t     repeats_since = 0;      // first of the repeats, low 16 bits of the ticks; otherwise low half
    std::uint16_t     generation = 1;
    flow_state        state = flow_state::half_open;
    std::uint8_t      repeats : 7 = 0;      // of one sequence number with payload
    bool              doubtful : 1 = false; // from before a pause of this process, and not acknowledged since

    // TCP. Half-open: initial sequence number of the caller. Closing: the number that follows its last byte.
    std::uint32_t sequence_mark() const { return std::uint32_t{last_sequence_hash} << 16U | repeats_since; }
    void          set_sequence_mark(std::uint32_t sequence) {
                 last_sequence_hash = static_cast<std::uint16_t>(sequence >> 16U);
                 repeats_since = static_cast<std::uint16_t>(sequence);
    }
};

struct flow_table_settings {
    std::size_t max_flows = 1'000'000;   // hard cap
    double      max_service_share = 0.5; // of the cap, applied when the table is nearly full
    duration    half_open_timeout = std::chrono::seconds(30);
    duration    idle_timeout = std::chrono::minutes(130); // over the usual TCP keep-alive time of 2 h
    duration    udp_idle_timeout = std::chrono::minutes(2);
    duration    closing_timeout = std::chrono::seconds(60);
    bool        huge_pages = false; // faster at 10^5 flows and more; resident memory then grows in steps of 2 MB
};

class flow_table {
public:
    static constexpr duration tick_length = std::chrono::milliseconds(100);

    explicit flow_table(const flow_table_settings& settings);
    ~flow_table();
    flow_table(const flow_table&) = delete;
    flow_table& operator=(const flow_table&) = delete;
    flow_table(flow_table&&) noexcept;
    flow_table& operator=(flow_table&&) noexcept;

    // The pointer is valid until the next insert, erase or expire. Touches nothing.
    placement* find(const flow_key& key);

    // Starts loading what find and touch will read. With a million flows nearly every find waits for memory; these
    // waits overlap when the keys of a batch of packets are prefetched before the first of them is looked for.
    void prefetch(const flow_key& key) const;

    // Inserts a placement for a key that is not present; a present one wins and is returned unchanged. When the cap or
    // the service's share is reached it first evicts one half-open, else closing flow of the same service, else (only
    // when another service exceeds its share) of that service; nullptr if nothing may give way. Established flows are
    // never evicted for a new one.
    placement* insert(const flow_key& key, const placement& value, steady_time now);

    // Takes over the timeouts and the service share; max_flows stays, since the memory is allocated once.
    void set_limits(const flow_table_settings& settings);

    void erase(const flow_key& key);

    // Marks use at the given time; call it for each packet of the flow, after changing the placement. Changes in place
    // of state, backend_server or service are counted from the next touch, scan or expire that meets the placement.
    void touch(placement& item, steady_time now);

    // True when the state's timeout has passed since the last touch, to within a tick. UDP flows use udp_idle_timeout.
    bool                 expired(const placement& item, transport protocol, steady_time now) const;
    // Time since the last touch.
    duration             idle_time(const placement& item, steady_time now) const;
    // The time in ticks, as last_seen holds it.
    static std::uint32_t ticks_of(steady_time now);

    // Erases expired placements, looking at no more than max_slots slots after the last position; returns how many were
    // erased. Repeated calls cover the whole table. protocol_of tells the transport of a service.
    std::size_t expire(steady_time now, std::size_t max_slots, transport (*protocol_of)(service_id, const void*),
                       const void* context);

    // Visits up to max_slots slots after the last position of the visitor (a position of its own); capacity() or more
    // visits every slot once. The visitor may change or erase the placement that it is given.
    struct visitor {
        virtual ~visitor() = default;
        virtual void visit(const flow_key& key, placement& item) = 0;
    };
    void scan(std::size_t& position, std::size_t max_slots, visitor& target);

    std::size_t   size() const;
    std::size_t   capacity() const;                   // hard cap
    std::size_t   slot_count() const;                 // more than capacity(); what expire and scan step through
    std::size_t   memory_bytes() const;               // allocated, whether used yet or not
    std::size_t   count(backend_server_id id) const;  // placements held for a backend server
    std::size_t   service_count(service_id id) const; // placements held for a service
    std::uint64_t evictions() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace tamarack
