// Lines of the operator's view.
#include "daemons/entry/status_view.h"

#include "platform/feed_format.h"

#include <cmath>

namespace tamarack::entry {

namespace {

std::string line(std::string_view subject, std::initializer_list<event_field> fields) {
    return std::string(subject) + format_fields(fields) + "\n";
}

std::string age(steady_time since, steady_time now) {
    if (since == steady_time{}) return "never";
    return std::to_string(to_milliseconds(now - since));
}

std::string_view state_of(const known_backend& backend) {
    if (backend.removed_at) return "removed";
    if (!backend.is_usable) return "unusable";
    return to_string(backend.registration.state);
}

std::string shares_of(const route& to) {
    std::string shares;
    for (const service_share& share : to.services)
        shares += (shares.empty() ? "" : ",") + share.service + ":" + std::to_string(share.weight);
    return shares;
}

std::string hundredths(double value) {
    constexpr int hundred = 100;
    const auto    rounded = std::lround(value * hundred);
    const auto    rest = std::to_string(rounded % hundred);
    return std::to_string(rounded / hundred) + "." + (rest.size() < 2 ? "0" : "") + rest;
}

} // namespace

std::optional<std::string> status_view::text(std::string_view target, steady_time now) const {
    const std::string_view path = target.substr(0, target.find('?'));
    if (path == "/services") return services();
    if (path == "/backend-servers") return backend_servers(platform::query_parameter(target, "service"), now);
    if (path == "/balancers") return balancers();
    if (path == "/flow") return flow(target, now);
    return std::nullopt;
}

std::string status_view::services() const {
    const routing_table* table = known_.routing();
    if (table == nullptr) return line("configuration", {{"state", "unknown"}});
    std::string all = line("configuration", {{"version", table->version},
                                             {"routes", table->routes.size()},
                                             {"idle_timeout_ms", to_milliseconds(table->idle_timeout)}});
    for (const route& each : table->routes) {
        all +=
            line("route", {{"name", each.name}, {"address", each.address.to_string()}, {"services", shares_of(each)}});
    }
    return all;
}

std::string status_view::backend_servers(std::optional<std::string_view> service, steady_time now) const {
    std::string all;
    for (const auto& [key, backend] : known_.backends()) {
        const backend_registration& given = backend.registration;
        if (service && given.service != *service) continue;
        const backend_activity& seen = decisions_.flows().activity(backend.reference);
        const duration          avoided = std::max(seen.avoid_until - now, duration::zero());
        all += line("backend_server", {{"name", given.name},
                                       {"service", given.service},
                                       {"address", given.address.to_string()},
                                       {"failure_domain", given.failure_domain},
                                       {"state", state_of(backend)},
                                       {"revision", backend.revision},
                                       {"slots", given.slots},
                                       {"requests", seen.waiting_flows},
                                       {"flows", seen.open_flows},
                                       {"unanswered_syns", seen.unanswered_syns},
                                       {"failures", seen.consecutive_failures},
                                       {"avoided_for_ms", to_milliseconds(avoided)},
                                       {"last_sign_age_ms", age(seen.last_response, now)}});
    }
    return all;
}

std::string status_view::balancers() const {
    std::string all;
    for (const auto& [place, feeder] : known_.feeders()) {
        all += line("feeder", {{"name", feeder.registration.name},
                               {"failure_domain", place.first},
                               {"slot", place.second},
                               {"address", feeder.registration.address.to_string()},
                               {"revision", feeder.revision}});
    }
    return all;
}

std::optional<std::string> status_view::flow(std::string_view target, steady_time now) const {
    const auto caller = endpoint::parse(platform::query_parameter(target, "caller").value_or(""));
    const auto address = endpoint::parse(platform::query_parameter(target, "route").value_or(""));
    if (!caller || !address) return std::nullopt;
    const flow_explanation found = decisions_.explain(*caller, *address, now);
    if (found.matched_route == nullptr)
        return line("flow", {{"outcome", "reset"}, {"reason", to_string(decision_reason::no_route)}});
    std::string all =
        line("route", {{"name", found.matched_route->name}, {"services", shares_of(*found.matched_route)}});
    if (found.flow != nullptr) {
        const known_backend* taker = known_.find_backend(found.flow->reference);
        all += line("flow", {{"backend_server", taker == nullptr ? "unknown" : taker->registration.name},
                             {"state", found.flow->is_closing ? "closing" : (found.flow->is_open ? "open" : "opening")},
                             {"request", found.flow->request_id.empty() ? "unknown" : found.flow->request_id},
                             {"waits", found.flow->is_waiting ? "yes" : "no"},
                             {"last_progress_age_ms", age(found.flow->last_progress, now)}});
    } else {
        all += line("flow", {{"state", "not tracked here"}, {"goes_to", "where the reference in its packets points"}});
    }
    for (const backend_candidate& each : found.candidates) {
        all += line("candidate", {{"backend_server", each.backend->registration.name},
                                  {"service", each.backend->registration.service},
                                  {"cost", hundredths(each.cost)},
                                  {"avoided", each.is_avoided ? "yes" : "no"}});
    }
    return all;
}

} // namespace tamarack::entry
