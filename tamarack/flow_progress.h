// State of a flow as its caller's packets tell it: half-open, established, closing, or stalled on a dead path.
//
// The balancer sees one direction only. Copies of packets may arrive late, also those of an earlier connection with the
// same 5-tuple; sequence numbers tell them apart.
#pragma once

#include "tamarack/flow_table.h"

namespace tamarack {

// Changes the state of the placement by a packet of its flow. True if the state is another one than before.
bool advance_state(placement& item, const packet_info& packet);

// A packet of the caller after its SYN has been seen.
void establish(placement& item);

// The balancer, or the caller's FIN or RST, ends the flow.
void close_flow(placement& item, const packet_info& packet);

// A SYN after the end of the flow, rather than a late copy of one that belongs to it. Callers choose a higher initial
// sequence number for a 5-tuple that they use again (RFC 9293 section 3.6.1, RFC 6528).
bool starts_anew(const placement& item, const packet_info& packet);

// Dead path: the caller repeats the same bytes and nothing makes it go on. Notes the packet. Ticks are those of
// flow_table::ticks_of.
bool stalled(placement& item, const packet_info& packet, std::uint32_t now_ticks);

// The flow has been ended for a dead path; the caller may not have got the RST.
void close_stalled(placement& item, const packet_info& packet);

} // namespace tamarack
