// The placements that a balancer holds: which backend server serves which flow.
//
// Open addressing with a hard cap and under 64 bytes per flow. Not thread-safe: each traffic partition has its own
// table.
#pragma once

#include "tamarack/packet.h"

namespace tamarack {

enum class flow_state : std::uint8_t {
    half_open,   // only a SYN has been seen; evicted first
    established, // UDP flows are established from their first datagram
    closing,     // the caller has sent a FIN or RST
};

// One placement. Invariant: backend_server and service never change while generation stays the same.
struct placement {
    backend_server_id backend_server = 0;
    service_id        service = 0;
    std::uint32_t     other_holder_token = 0; // incarnation token of the acknowledging member; 0: not acknowledged
    member_id         pending_holder = 0;     // member that the latest place frame was sent to
    std::uint32_t     place_sequence = 0;     // of that frame; 0: the present state has been acknowledged
    std::uint32_t     last_seen = 0;          // ticks of the table's clock, see flow_table::tick_length
    std::uint16_t     last_sequence_hash = 0; // TCP, for dead path detection; else high half of sequence_mark
    std::uint16_t     repeats_since = 0;      // first repeat, low 16 bits of the ticks; else low half of sequence_mark
    std::uint16_t     generation = 1;
    flow_state        state = flow_state::half_open;
    std::uint8_t      repeats : 7 = 0;        // packets with payload and the same sequence number; many: dead path
    bool              unverified : 1 = false; // last used before a pause of this process, and not acknowledged since

    // TCP only. Half-open: initial sequence number of the caller. Closing: sequence number after its last byte.
    std::uint32_t sequence_mark() const { return std::uint32_t{last_sequence_hash} << 16U | repeats_since; }
    void          set_sequence_mark(std::uint32_t sequence) {
                 last_sequence_hash = static_cast<std::uint16_t>(sequence >> 16U);
                 repeats_since = static_cast<std::uint16_t>(sequence);
    }
};

struct flow_table_settings {
    std::size_t max_flows = 1'000'000;   // hard cap
    double      max_service_share = 0.5; // fraction of max_flows per service, enforced when the table is nearly full
    duration    half_open_timeout = std::chrono::seconds(30);
    duration    idle_timeout = std::chrono::minutes(130); // longer than the usual TCP keep-alive interval of 2 h
    duration    udp_idle_timeout = std::chrono::minutes(2);
    duration    closing_timeout = std::chrono::seconds(60);
    bool        huge_pages = false; // faster from 10^5 flows; resident memory then grows in steps of 2 MB
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

    // The pointer is valid until the next insert, erase or expire. Does not mark the placement as used.
    placement* find(const flow_key& key);

    // Prefetches the memory that find and touch will read. With a million flows nearly every find waits for memory; the
    // waits overlap if the keys of a batch of packets are prefetched before the first find.
    void prefetch(const flow_key& key) const;

    // Inserts a placement; if the key is present already, returns the present placement unchanged. When the cap or the
    // service's share is reached, first evicts one half-open flow, else one closing flow, of the same service or else
    // of a service that exceeds its share. Returns nullptr if no flow can be evicted. Established flows are never
    // evicted for a new one.
    placement* insert(const flow_key& key, const placement& value, steady_time now);

    // Applies new timeouts and the service share. max_flows does not change, since the memory is allocated once.
    void set_limits(const flow_table_settings& settings);

    void erase(const flow_key& key);

    // Marks the placement as used; call it for each packet of the flow, after changing the placement. In-place changes
    // of state, backend_server or service enter the counts at the next touch, scan or expire of the placement.
    void touch(placement& item, steady_time now);

    // True if the timeout of the placement's state has passed since the last touch, with the precision of a tick. UDP
    // flows use udp_idle_timeout.
    bool                 expired(const placement& item, transport protocol, steady_time now) const;
    // Time since the last touch.
    duration             idle_time(const placement& item, steady_time now) const;
    // The time in ticks, in the format of last_seen.
    static std::uint32_t ticks_of(steady_time now);

    // Erases expired placements among the next max_slots slots and returns their number. Successive calls continue
    // through the whole table. protocol_of returns the transport of a service.
    std::size_t expire(steady_time now, std::size_t max_slots, transport (*protocol_of)(service_id, const void*),
                       const void* context);

    // Visits the placements in the next max_slots slots from position, which the caller keeps between calls. A
    // max_slots of capacity() or more visits every slot once. The visitor may change or erase the placement that it is
    // given.
    struct visitor {
        virtual ~visitor() = default;
        virtual void visit(const flow_key& key, placement& item) = 0;
    };
    void scan(std::size_t& position, std::size_t max_slots, visitor& callback);

    std::size_t   size() const;
    std::size_t   capacity() const;     // hard cap
    std::size_t   slot_count() const;   // slots that expire and scan step through; more than capacity()
    std::size_t   memory_bytes() const; // allocated memory, used or not
    std::size_t   backend_flow_count(backend_server_id id) const; // placements held for a backend server
    std::size_t   service_flow_count(service_id id) const;        // placements held for a service
    std::uint64_t evictions() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace tamarack
