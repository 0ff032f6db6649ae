// Compares delays between failure domains and adjusts the shares.
#include "entry/spillover.h"

#include <algorithm>
#include <utility>

namespace tamarack::entry {

namespace {

constexpr duration update_interval = std::chrono::milliseconds(500);
constexpr duration max_update_gap = std::chrono::seconds(5); // after it the shares are out of date
// What a request must gain to cross failure domains, besides the longer handshake: bytes between domains are charged.
constexpr duration crossing_penalty = std::chrono::milliseconds(15);
// A gain, less the penalty, of at most this in either direction changes nothing.
constexpr duration hysteresis = std::chrono::milliseconds(6);
// Share per second that moves at a gain of gain_unit. It grows with the square of the gain: quick while the own domain
// is full, slow near the balance.
constexpr double   move_rate = 0.01;
constexpr duration gain_unit = std::chrono::milliseconds(40);
constexpr double   max_gain = 2.5;          // units
constexpr double   min_return_rate = 0.006; // per second
// Share that goes to a failure domain whose delay is not known.
constexpr double   probe_share = 0.04;
constexpr double   max_domain_share = 0.3;
constexpr duration retention = std::chrono::minutes(1);

} // namespace

spillover::spillover(std::string own_domain, const replica& store_replica, const congestion& waiting,
                     std::uint64_t random_seed)
    : own_domain_(std::move(own_domain)), store_replica_(store_replica), congestion_(waiting), random_(random_seed) {}

spillover::spillover(const spillover& other, const congestion& waiting)
    : own_domain_(other.own_domain_), store_replica_(other.store_replica_), congestion_(waiting),
      random_(other.random_), services_(other.services_) {}

const std::string& spillover::choose_domain(const std::string& service, steady_time now) {
    service_state& state = services_[service];
    state.last_used = now;
    update(service, state, now);
    if (state.shares.empty()) return own_domain_;
    double position = std::uniform_real_distribution<double>()(random_);
    for (const auto& [failure_domain, share] : state.shares) {
        if (position < share) return failure_domain;
        position -= share;
    }
    return own_domain_;
}

void spillover::update(const std::string& service, service_state& state, steady_time now) {
    if (state.last_update != steady_time{} && now - state.last_update < update_interval) return;
    const duration elapsed = now - std::exchange(state.last_update, now);
    if (elapsed > max_update_gap) return state.shares.clear();
    const double                  seconds = std::chrono::duration<double>(elapsed).count();
    std::map<std::string, double> changed;
    for (const std::string& failure_domain : other_domains(service)) {
        const auto   current = state.shares.find(failure_domain);
        const double share = current == state.shares.end() ? 0.0 : current->second;
        const double new_share = changed_share(service, failure_domain, share, seconds, now);
        if (new_share > 0) changed[failure_domain] = new_share;
    }
    state.shares = std::move(changed);
}

double spillover::changed_share(const std::string& service, const std::string& failure_domain, double share,
                                double seconds, steady_time now) const {
    const auto     own = congestion_.estimate(service, own_domain_, now);
    const auto     other = congestion_.coarse_estimate(service, failure_domain, now);
    const duration own_delay = own ? own->delay : duration::zero();
    const duration other_delay = other ? other->delay : duration::zero();
    const duration gain = own_delay - other_delay - penalty_of(service, failure_domain);
    if (gain > hysteresis && !other) return std::max(share, probe_share);
    const double units = std::min(max_gain, std::abs(std::chrono::duration<double>(gain) / gain_unit));
    const double step = move_rate * units * units * seconds;
    if (gain > hysteresis) return std::min(max_domain_share, share + step);
    if (gain < -hysteresis) return std::max(0.0, share - std::max(step, min_return_rate * seconds));
    return share;
}

duration spillover::penalty_of(const std::string& service, const std::string& failure_domain) const {
    const duration own = congestion_.handshake_time(service, own_domain_);
    const duration other = congestion_.handshake_time(service, failure_domain);
    return crossing_penalty + std::max(duration::zero(), other - own);
}

std::set<std::string> spillover::other_domains(const std::string& service) const {
    std::set<std::string> domains;
    for (const known_backend* backend : store_replica_.available_backends(service)) {
        const std::string& failure_domain = backend->registration.failure_domain;
        if (failure_domain != own_domain_ && !store_replica_.is_evacuated(failure_domain))
            domains.insert(failure_domain);
    }
    return domains;
}

std::map<std::string, double> spillover::shares(const std::string& service) const {
    const auto found = services_.find(service);
    return found == services_.end() ? std::map<std::string, double>{} : found->second.shares;
}

double spillover::total_share(const std::string& service) const {
    double total = 0;
    for (const auto& [failure_domain, share] : shares(service))
        total += share;
    return total;
}

void spillover::expire(steady_time now) {
    std::erase_if(services_, [&](const auto& item) { return now - item.second.last_used > retention; });
}

} // namespace tamarack::entry
