// Data types of the entry balancer, which steers each flow by a backend reference that the flow's packets carry.
//
// Index
//   [1] Routing    request_kind, service_share, route, service_policy, routing_table
//   [2] Backends   backend_reference, backend_id, backend_registration
//   [3] Records    feeder_registration, evacuation, store_revision, record, record_content
//   [4] Packets    segment
//
// The platform provides the fabric, which sends callers' packets to the balancers that report to be ready, so that the
// packets of a flow may reach several balancers, and the store, a key-value store that holds the records below.
//
// The adapter in platform/ decodes wire formats into these types; no code in this directory uses wire names.
#pragma once

#include "entry/feed_key.h"

#include <compare>
#include <unordered_map>

namespace tamarack::entry {

//----------------------------------------------------------------------------------------------------------------------
// [1] Routing
//----------------------------------------------------------------------------------------------------------------------

enum class request_kind : std::uint8_t {
    idempotent,     // callers may retry it after any failure
    non_idempotent, // must run at most once
    upload,         // has a large body; must run at most once
    download,       // has a large response; callers may retry it after any failure
};

constexpr bool is_idempotent(request_kind kind) {
    return kind == request_kind::idempotent || kind == request_kind::download;
}

struct service_share {
    std::string   service;
    std::uint32_t weight = 1; // relative to the other shares of the route
};

// Maps an address to the services that receive its new flows.
struct route {
    std::string                name;
    endpoint                   address;  // callers connect to it
    std::vector<service_share> services; // at least one
    request_kind               kind = request_kind::non_idempotent;
    std::uint32_t              priority = 0;    // 0 is the highest
    duration                   response_goal{}; // for an answer, from the caller's first attempt; zero: none is stated
    duration                   time_limit{};    // after which the caller gives up; zero: none is stated
    std::vector<std::string>   allowed_regions{}; // backend servers of these regions only; empty: of all
};

// What the configuration says of the backend servers of a service.
struct service_policy {
    std::string name;
    duration    warmup_time{};                    // after the start of a backend server
    double      warmup_requests_per_second = 0.0; // that a backend server bears meanwhile; 0: not limited
};

// One version of the operator's configuration. Immutable once published.
struct routing_table {
    std::uint64_t               version = 0;
    duration                    idle_timeout = std::chrono::seconds(15); // flows idle for longer may be forgotten
    std::vector<route>          routes;
    std::vector<service_policy> services;
};

//----------------------------------------------------------------------------------------------------------------------
// [2] Backends
//----------------------------------------------------------------------------------------------------------------------

// Identifies a backend server in the packets of its flows; 0: none.
using backend_reference = std::uint32_t;

// Names the backend server of a flow that this balancer has seen. The reference alone may be that of another one, too.
struct backend_id {
    backend_reference reference = 0;
    std::uint64_t     identity = 0; // 0: not known

    friend bool operator==(const backend_id&, const backend_id&) = default;
};

// Self-description that a backend server publishes in the store.
struct backend_registration {
    std::string   name;         // unique; usually changes when the backend server restarts
    std::uint64_t identity = 0; // prefixes each delivery, so that a later owner of the address ignores the packet
    std::string   service;
    endpoint      address;
    std::string   failure_domain;
    std::uint32_t slots = 1; // requests that it processes concurrently
    backend_state state = backend_state::active;
    duration      warmup_remaining{};  // reduced speed after the start, counted from the registration
    std::int64_t  started_unix_ms = 0; // start time in Unix milliseconds; 0: unknown
    std::uint64_t report_number = 0;   // counts the reports of the backend server since its start; 0: unknown
};

// Derives the reference from the identity alone, so that all balancers agree without coordination. Never returns 0.
backend_reference reference_of(std::uint64_t identity);

//----------------------------------------------------------------------------------------------------------------------
// [3] Records
//----------------------------------------------------------------------------------------------------------------------

// Registration of a feeder: the balancer that reads the store for its failure domain. It serves the records to a
// limited number of balancers, its followers, each of which serves further ones, so that the failure domain forms a
// tree.
struct feeder_registration {
    std::string name; // of the balancer
    std::string failure_domain;
    unsigned    slot = 0; // always 0; part of the key in the store
    endpoint    address;  // serves the feeder's replica in the format of the store
    feed_key    key{};    // readable by everyone who can read the store; valid at every balancer of the tree
};

// Order of the operator: backend servers of the failure domain get no new flows as long as the record exists.
struct evacuation {
    std::string failure_domain;
};

struct removed_record {};
struct unusable_record {
    std::string reason; // why the stored value cannot be used
};

using record_content = std::variant<removed_record, unusable_record, std::shared_ptr<const routing_table>,
                                    backend_registration, feeder_registration, evacuation>;

// Position in the history of the store. A store that is restored from a copy begins a new epoch: it has lost the
// changes since the copy, and issues their revision numbers again. So numbers are only compared within an epoch.
struct store_revision {
    std::uint64_t epoch = 0;  // 0: not told by the store itself; older than all others
    std::uint64_t number = 0; // 0: none

    friend auto operator<=>(const store_revision&, const store_revision&) = default;
};

// One state of one key of the store. Within an epoch, the state with the higher revision is the newer one; the replica
// also compares what the writers say of states from different epochs.
struct record {
    std::string    key;
    store_revision revision{};
    record_content content;
    std::string raw_value; // as stored, forwarded unchanged to other balancers; empty: unusable and too large to keep
};

//----------------------------------------------------------------------------------------------------------------------
// [4] Packets
//----------------------------------------------------------------------------------------------------------------------

// The fields of a caller's packet that steering uses.
struct segment {
    endpoint          source;      // the caller
    endpoint          destination; // a route's address
    std::uint32_t     sequence = 0;
    // Next byte expected from the backend server. In a SYN: 0, or the number of the retransmission, counted from 1.
    std::uint32_t     acknowledged = 0;
    backend_reference reference = 0;
    std::uint16_t     payload_size = 0; // bytes
    bool              syn = false;
    bool              ack = false;
    bool              fin = false;
    bool              rst = false;
    std::string_view  request_id; // if the payload starts a request that carries one; valid as long as the packet
};

} // namespace tamarack::entry
