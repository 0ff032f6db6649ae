// The decision on each packet of a caller: to which backend server it goes, or whether it is answered with a reset.
//
// A packet of an open flow goes where its reference points, through whatever balancer. A SYN is placed by load, close
// by first; the backend server then hands its reference to the caller.
#pragma once

#include "entry/flow_tracker.h"
#include "entry/replica.h"
#include "tamarack/resilience.h"

namespace tamarack::entry {

enum class verdict : std::uint8_t {
    deliver, // to the backend server
    reset,   // tell the caller that the flow is over
    drop,    // the caller repeats it
};

// Why; a counter and a log field.
enum class reason : std::uint8_t {
    placed,            // a new flow
    placed_again,      // a copy of a SYN, on the same backend server
    placed_elsewhere,  // a copy of a SYN: the first backend server gave no sign of life
    by_reference,      // a later packet
    stalled,           // a later packet: data sent again, and no sign of life of the backend server since
    by_flow,           // a later packet whose reference differs from the backend server that the caller acknowledged
    no_route,          // no route has the address
    no_backend,        // the service has no backend server that takes new flows
    not_synchronized,  // the balancer does not know enough yet
    unknown_reference, // perhaps of a backend server that is not known yet
    backend_gone,      // the flow's backend server has been removed
};
inline constexpr std::size_t reason_count = 11;

std::string_view to_string(reason why);

struct steering_decision {
    verdict              what = verdict::drop;
    reason               why = reason::not_synchronized;
    const known_backend* target = nullptr; // set when delivered; valid until the replica changes
    const tracked_flow*  flow = nullptr;   // of a later packet, where it is tracked; valid until the next decision
    flow_progress        progress{};       // what the packet showed
};

// A backend server as a choice for a new flow.
struct weighed_backend {
    const known_backend* target = nullptr;
    double               cost = 0;        // waiting requests per slot, with the extra of another failure domain
    bool                 avoided = false; // gave no sign of life lately
};

// Why a flow goes where it goes. The pointers are valid until the next packet or change of the replica.
struct flow_explanation {
    const route*                 to = nullptr;   // null: no route has the address
    const tracked_flow*          flow = nullptr; // null: this balancer has not seen it, or has forgotten it
    std::vector<weighed_backend> candidates;     // for a new flow, cheapest first
};

struct steering_settings {
    std::string failure_domain; // of this balancer
    std::size_t flow_capacity = 65'536;
    duration    settle_time = std::chrono::seconds(4); // after the first sync and a store's return nothing is reset for
                                                       // an unknown reference
};

class steering {
public:
    steering(const steering_settings& settings, const replica& known, std::uint64_t random_seed);

    steering_decision   decide(const segment& packet, steady_time now);
    flow_explanation    explain(const endpoint& caller, const endpoint& route_address, steady_time now) const;
    void                expire(steady_time now);
    const flow_tracker& flows() const { return flows_; }

private:
    steering_decision    decide_syn(const segment& packet, steady_time now);
    steering_decision    decide_open(const segment& packet, steady_time now);
    static bool          is_copy_of(const segment& packet, const tracked_flow& flow); // both of a SYN
    steering_decision    place(const segment& packet, const route& to, tracked_flow* earlier, steady_time now);
    const known_backend* choose(const route& to, backend_reference except, steady_time now);
    bool                 is_better_tie(const known_backend& left, const known_backend& right);
    double               cost_of(const known_backend& candidate, const backend_activity& seen, steady_time now) const;
    std::string_view     pick_service(const route& to);
    void                 note_silence(backend_reference target, steady_time now);
    duration             silence_limit() const;
    bool                 is_stalled(const tracked_flow& flow, steady_time now);
    bool                 settled(steady_time now) const;
    bool                 is_certainly_unknown(backend_reference reference, steady_time now);

    steering_settings settings_;
    const replica&    known_;
    flow_tracker      flows_;
    random_source     random_;
    std::uint64_t     order_; // of this balancer among equal backend servers
    std::unordered_map<backend_reference, steady_time>
        unknown_since_; // first packet with a reference that is not known
};

} // namespace tamarack::entry
