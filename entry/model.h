// Types of the entry balancer: a balancer whose flows are steered by a reference that their packets carry.
//
// Index
//   [1] Routing    request_kind, service_share, route, routing_table
//   [2] Backends   backend_registration, backend_reference
//   [3] Records    feeder_registration, record, record_content
//   [4] Packets    segment
//
// The adapter in platform/ decodes wire forms into these types; nothing here knows a wire name.
#pragma once

#include "entry/feed_key.h"

#include <unordered_map>

namespace tamarack::entry {

//----------------------------------------------------------------------------------------------------------------------
// [1] Routing
//----------------------------------------------------------------------------------------------------------------------

enum class request_kind : std::uint8_t {
    idempotent,     // callers repeat it after any failure
    non_idempotent, // runs once at most
    upload,         // a large body; runs once at most
};

struct service_share {
    std::string   service;
    std::uint32_t weight = 1; // relative to the other shares of the route
};

// Where new flows to one address go.
struct route {
    std::string                name;
    endpoint                   address;  // that callers connect to
    std::vector<service_share> services; // at least one
    request_kind               kind = request_kind::non_idempotent;
};

// One version of the operator's configuration. Immutable once published.
struct routing_table {
    std::uint64_t      version = 0;
    duration           idle_timeout = std::chrono::seconds(15); // an idle flow may be forgotten after it
    std::vector<route> routes;
};

//----------------------------------------------------------------------------------------------------------------------
// [2] Backends
//----------------------------------------------------------------------------------------------------------------------

// Names a backend server in the packets of its flows; 0: none.
using backend_reference = std::uint32_t;

// What a backend server says of itself.
struct backend_registration {
    std::string   name;         // unique; a new life has mostly a new name
    std::uint64_t identity = 0; // heads each delivery, so that a later owner of the address ignores it
    std::string   service;
    endpoint      address;
    std::string   failure_domain;
    std::uint32_t slots = 1; // requests worked on at the same time
    backend_state state = backend_state::active;
    duration      warmup_left{}; // slow after its start, counted from the registration
    std::int64_t  born = 0;      // Unix milliseconds of its start; 0: unknown
};

// The same on every balancer without coordination; never 0.
backend_reference reference_of(std::uint64_t identity);

//----------------------------------------------------------------------------------------------------------------------
// [3] Records
//----------------------------------------------------------------------------------------------------------------------

// A balancer that reads the store for the others of its failure domain.
struct feeder_registration {
    std::string name; // of the balancer
    std::string failure_domain;
    unsigned    slot = 0; // 0: the first; others follow when those before are full
    endpoint    address;  // serves its replica as the store would
    feed_key    key{};    // known to all that read the store
};

struct removed_record {};
struct unusable_record {
    std::string reason; // why it names nothing to use
};

using record_content = std::variant<removed_record, unusable_record, std::shared_ptr<const routing_table>,
                                    backend_registration, feeder_registration>;

// One key of the store in one state. Of two states of a key, the one with the higher revision is newer.
struct record {
    std::string    key;
    std::uint64_t  revision = 0;
    record_content content;
    std::string    raw; // as stored, for peers
};

//----------------------------------------------------------------------------------------------------------------------
// [4] Packets
//----------------------------------------------------------------------------------------------------------------------

// What steering looks at in a caller's packet.
struct segment {
    endpoint      source;      // the caller
    endpoint      destination; // a route's address
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0; // next byte expected from the backend server; in a SYN: 0 first, then its copies
    backend_reference reference = 0;
    std::uint16_t     payload = 0; // bytes
    bool              syn = false;
    bool              ack = false;
    bool              fin = false;
    bool              rst = false;
    std::string_view  request_id; // where the payload begins a request that names one; valid as long as the packet
};

} // namespace tamarack::entry
