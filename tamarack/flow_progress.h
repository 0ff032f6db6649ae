// State of a flow, derived from its caller's packets: half-open, established, closing, or stalled on a dead path.
//
// The balancer sees only the packets from the caller. Duplicates may arrive late, also from an earlier connection with
// the same 5-tuple; sequence numbers distinguish them.
#pragma once

#include "tamarack/flow_table.h"

namespace tamarack {

// Updates the state of the placement from a packet of its flow. True if the state has changed.
bool advance_state(placement& item, const packet_info& packet);

// Marks the flow as established.
void mark_established(placement& item);

// Marks the flow as closing. The packet is the caller's FIN or RST, or the one at which the balancer resets the flow.
void close_flow(placement& item, const packet_info& packet);

// True for a SYN that starts a new connection on the 5-tuple of a closing flow, false for a late duplicate of the
// flow's own SYN. Callers choose a higher initial sequence number when they use a 5-tuple again (RFC 9293
// section 3.6.1, RFC 6528).
bool is_tuple_reuse(const placement& item, const packet_info& packet);

// Records the packet, and returns true if the path is dead: the caller keeps repeating the same bytes. now_ticks is the
// time as returned by flow_table::ticks_of.
bool detect_stall(placement& item, const packet_info& packet, std::uint32_t now_ticks);

// Marks the flow as closing because of a dead path. The caller may not have received the RST, so detect_stall keeps
// returning true for it.
void close_stalled_flow(placement& item, const packet_info& packet);

} // namespace tamarack
