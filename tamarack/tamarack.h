// tamarackshore: a layer-4 load balancer as a library.
//
// This header is the manual of the library: the types that every module shares. docs/design.md gives the reasons.
//
// Index
//   [1] Time          clock, steady_time, wall_time
//   [2] Addresses     ip_address, endpoint, transport, flow_tuple
//   [3] Configuration service, backend_server, configuration, change
//   [4] Members       member, member_id, incarnation_number
//   [5] Status        backend_status, load_report
//   [6] Packets       action_buffer
//   [7] Errors        finding (tamarack/result.h holds the result type)
//
// Structure of a balancer
//   caller -> fabric -> forwarder (traffic threads) -> backend server -> caller
//                          ^ forwarding_state
//                        node (control thread) <-> peers, platform, probes
//
// Terms
//   fabric         network in front of the balancers: sends each packet of a caller to any of them, encapsulated
//   GUE            Generic UDP Encapsulation: UDP datagrams that carry IP packets
//   member         a balancer of the cluster, as known by gossip
//   placement      the assignment of a flow to a backend server
//   holder         a member that stores the placement of a flow; for each bucket of flows a hash ranks the members
//   owner          the holder ranked first; it selects the backend server of a new flow
//   second holder  keeps a copy of the placement, in another failure domain if possible
//   pause          a time in which the process does not run, for example because its host is suspended
//
// The decision logic performs no I/O: it takes events and a clock, and returns actions. The daemons own the sockets.
#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace tamarack {

//----------------------------------------------------------------------------------------------------------------------
// [1] Time
//----------------------------------------------------------------------------------------------------------------------

using duration = std::chrono::nanoseconds;
using steady_time = std::chrono::time_point<std::chrono::steady_clock, duration>; // for intervals and timeouts
using wall_time = std::chrono::time_point<std::chrono::system_clock, duration>;   // for records shown to operators

// Whole milliseconds, for messages and logs; 0 for negative durations.
std::uint64_t to_milliseconds(duration value);

// Source of time. Passed in, so that tests control it.
class clock {
public:
    clock() = default;
    clock(const clock&) = delete;
    clock& operator=(const clock&) = delete;
    virtual ~clock() = default;
    virtual steady_time steady_now() const = 0;
    virtual wall_time   wall_now() const = 0;
    // Like steady_now, but also counts the time during which the host was suspended.
    virtual steady_time boot_now() const { return steady_now(); }
};

//----------------------------------------------------------------------------------------------------------------------
// [2] Addresses
//----------------------------------------------------------------------------------------------------------------------

// IPv4 or IPv6 address in network byte order; IPv4 is held in its IPv4-mapped form (::ffff:a.b.c.d).
struct ip_address {
    std::array<std::uint8_t, 16> bytes{};

    bool                             is_v4() const;
    std::string                      to_string() const;
    friend bool                      operator==(const ip_address&, const ip_address&) = default;
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
    friend auto                      operator<=>(const ip_address&, const ip_address&) = default;
    static std::optional<ip_address> parse(std::string_view text); // numeric forms only, no names
    static ip_address                v4(std::uint32_t host_order);
};

struct endpoint {
    ip_address    address;
    std::uint16_t port = 0; // host byte order

    std::string                    to_string() const; // "10.0.0.1:443", "[2001:db8::1]:443"
    friend bool                    operator==(const endpoint&, const endpoint&) = default;
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
    friend auto                    operator<=>(const endpoint&, const endpoint&) = default;
    static std::optional<endpoint> parse(std::string_view text);
};

// IANA protocol numbers.
enum class transport : std::uint8_t { tcp = 6, udp = 17 };

std::string_view         to_string(transport protocol);
std::optional<transport> parse_transport(std::string_view text);

// Identifies a flow: source is the caller, destination the service address.
struct flow_tuple {
    transport protocol = transport::tcp;
    endpoint  source;
    endpoint  destination;

    friend bool operator==(const flow_tuple&, const flow_tuple&) = default;
};

//----------------------------------------------------------------------------------------------------------------------
// [3] Configuration
//----------------------------------------------------------------------------------------------------------------------

using revision_number = std::uint64_t;   // 0: no configuration is known yet
using service_id = std::uint32_t;        // never used again after deletion; 0: none
using backend_server_id = std::uint32_t; // unique over all services, never used again; 0: none

// The state of a backend server that operators have set.
enum class backend_state : std::uint8_t {
    active,   // gets new flows
    draining, // keeps its flows, gets no new ones
};

std::string_view to_string(backend_state state);

// Zero means unlimited.
struct flow_limits {
    std::uint32_t max_flows = 0;
    std::uint32_t max_new_flows_per_second = 0;

    friend bool operator==(const flow_limits&, const flow_limits&) = default;
};

struct backend_server {
    backend_server_id id = 0;
    std::string       name;         // unique within the service
    endpoint          tunnel;       // receives GUE
    endpoint          health;       // answers probes; port 0: not probed
    std::uint32_t     weight = 100; // share of new flows, 0..1000
    backend_state     state = backend_state::active;
    wall_time         joined{};         // when it was added; slow start begins then
    wall_time         draining_since{}; // when the drain was committed; set while state is draining
    flow_limits       limits;

    friend bool operator==(const backend_server&, const backend_server&) = default;
};

struct service {
    service_id                  id = 0;
    std::string                 name; // unique
    transport                   protocol = transport::tcp;
    endpoint                    address; // unique together with protocol
    flow_limits                 limits;
    std::vector<backend_server> backend_servers; // in order of id
    revision_number             changed_at = 0;  // revision of the last change, for the detection of conflicts

    friend bool operator==(const service&, const service&) = default;
};

// Immutable once published. A higher revision replaces a lower one, never the reverse.
struct configuration {
    revision_number      revision = 0;
    wall_time            accepted{};  // when the revision was committed
    std::uint32_t        next_id = 1; // next service or backend server id
    std::vector<service> services;    // in order of id

    friend bool operator==(const configuration&, const configuration&) = default;
};

// Changes that an operator can ask for. Names refer to existing objects unless the change creates them.
struct create_service {
    std::string service;
    transport   protocol = transport::tcp;
    endpoint    address;
    flow_limits limits;

    friend bool operator==(const create_service&, const create_service&) = default;
};
struct change_service {
    std::string service;
    flow_limits limits;

    friend bool operator==(const change_service&, const change_service&) = default;
};
struct delete_service { // refused while it has backend servers
    std::string service;

    friend bool operator==(const delete_service&, const delete_service&) = default;
};
struct join_backend {
    std::string   service;
    std::string   backend_server;
    endpoint      tunnel;
    endpoint      health;
    std::uint32_t weight = 100;
    flow_limits   limits;

    friend bool operator==(const join_backend&, const join_backend&) = default;
};
struct drain_backend {
    std::string service;
    std::string backend_server;

    friend bool operator==(const drain_backend&, const drain_backend&) = default;
};
struct undrain_backend {
    std::string service;
    std::string backend_server;

    friend bool operator==(const undrain_backend&, const undrain_backend&) = default;
};
struct leave_backend { // removes the backend server; drain it first
    std::string service;
    std::string backend_server;

    friend bool operator==(const leave_backend&, const leave_backend&) = default;
};
struct weigh_backend {
    std::string   service;
    std::string   backend_server;
    std::uint32_t weight = 100;

    friend bool operator==(const weigh_backend&, const weigh_backend&) = default;
};

using change = std::variant<create_service, change_service, delete_service, join_backend, drain_backend,
                            undrain_backend, leave_backend, weigh_backend>;

// One committed change: an entry of the audit trail.
struct change_record {
    std::string     operation_id; // chosen by the client; the same id is never committed twice
    std::string     operator_name;
    wall_time       time{};            // when the change was committed
    revision_number base_revision = 0; // the revision that the operator's change is based on; 0: not given
    revision_number revision = 0;      // the revision that the change produced
    change          committed_change;
    std::uint64_t   fingerprint = 0; // of the configuration that the change produced

    friend bool operator==(const change_record&, const change_record&) = default;
};

//----------------------------------------------------------------------------------------------------------------------
// [4] Members
//----------------------------------------------------------------------------------------------------------------------

using member_id = std::uint32_t;          // from the settings, unique in the cluster; 0: none
using incarnation_number = std::uint64_t; // wall clock milliseconds at the start of the process; higher is newer

enum class member_state : std::uint8_t { alive, suspect, leaving, dead };

std::string_view to_string(member_state state);

// A balancer as its peers see it.
struct member {
    member_id          id = 0;
    incarnation_number incarnation = 0; // identifies the run of the process; `life` in proto/
    std::string        failure_domain;
    endpoint           control; // gossip, UDP
    endpoint           relay;   // relay frames, UDP
    endpoint           admin;   // gRPC
    member_state       state = member_state::alive;

    friend bool operator==(const member&, const member&) = default;
};

//----------------------------------------------------------------------------------------------------------------------
// [5] Status of backend servers
//----------------------------------------------------------------------------------------------------------------------

// Load that a backend server reports about itself. Not reliable: reports may be outdated or wrong.
struct load_report {
    std::uint32_t busy_slots = 0;
    std::uint32_t total_slots = 0; // 0: unknown
    std::uint32_t connections = 0;
    bool          shedding = false; // it rejects work because of overload

    friend bool operator==(const load_report&, const load_report&) = default;
};

// Health and load of a backend server as determined by the control thread, for the forwarder.
struct backend_status {
    backend_server_id id = 0;
    bool              available = true;    // false: taken out because its health checks fail
    steady_time       out_since{};         // set when not available
    float             load_penalty = 1.0F; // 1 (neutral) .. 4 (overloaded), smoothed
};

//----------------------------------------------------------------------------------------------------------------------
// [6] Packets
//----------------------------------------------------------------------------------------------------------------------

using byte_view = std::span<const std::byte>;

// The kinds of datagrams to send. All payloads are complete UDP payloads: GUE packets or relay frames.
enum class action_kind : std::uint8_t {
    deliver,         // GUE packet to a backend server's tunnel endpoint
    relay,           // relay frame to a peer's relay endpoint
    reply_to_caller, // GUE packet to the fabric endpoint that delivered the caller's packet
};

struct action {
    action_kind kind = action_kind::deliver;
    endpoint    destination;
    std::size_t offset = 0; // of the payload in the buffer's bytes
    std::size_t size = 0;   // of the payload
};

// Output of one batch of decisions: actions and their payloads in one arena that is reused from batch to batch.
class action_buffer {
public:
    void clear() {
        actions_.clear();
        bytes_.clear();
    }
    // Adds an action whose payload is the concatenation of head and body.
    void add(action_kind kind, const endpoint& destination, byte_view head, byte_view body) {
        actions_.push_back({kind, destination, bytes_.size(), head.size() + body.size()});
        bytes_.insert(bytes_.end(), head.begin(), head.end());
        bytes_.insert(bytes_.end(), body.begin(), body.end());
    }
    std::span<const action> actions() const { return actions_; }
    byte_view payload(const action& item) const { return byte_view(bytes_).subspan(item.offset, item.size); }

private:
    std::vector<action>    actions_; // offset + size of each lies within bytes_
    std::vector<std::byte> bytes_;
};

//----------------------------------------------------------------------------------------------------------------------
// [7] Errors
//----------------------------------------------------------------------------------------------------------------------

// One problem of an input, with its location. All findings of an input are collected and reported together.
struct finding {
    std::string place;    // "tamarackd.ini:12 [balancer] member_id", "line 1, column 8", "service NAME"
    std::string message;  // description of the problem
    std::string expected; // accepted range or form; may be empty

    std::string to_string() const; // "place: message (expected ...)"
};

using findings = std::vector<finding>;

std::string to_string(const findings& problems); // one a line

} // namespace tamarack
