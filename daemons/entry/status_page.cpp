// Formats the lines of the status page.
#include "daemons/entry/status_page.h"

#include "platform/feed_format.h"

#include <cmath>

namespace tamarack::entry {

namespace {

std::string format_line(std::string_view subject, std::initializer_list<event_field> fields) {
    return std::string(subject) + format_fields(fields) + "\n";
}

std::string format_age(steady_time last_time, steady_time now) {
    if (last_time == steady_time{}) return "never";
    return std::to_string(to_milliseconds(now - last_time));
}

std::string_view state_of(const known_backend& backend) {
    if (backend.removed_at) return "removed";
    if (!backend.is_usable) return "unusable";
    return to_string(backend.registration.state);
}

std::string format_shares(const route& configured_route) {
    std::string shares;
    for (const service_share& share : configured_route.services)
        shares += (shares.empty() ? "" : ",") + share.service + ":" + std::to_string(share.weight);
    return shares;
}

std::string_view name_of(request_kind kind) {
    switch (kind) {
    case request_kind::idempotent:
        return "idempotent";
    case request_kind::non_idempotent:
        return "non_idempotent";
    case request_kind::upload:
        return "upload";
    case request_kind::download:
        return "download";
    }
    return "unknown";
}

std::string format_regions(const route& configured_route) {
    std::string regions;
    for (const std::string& region : configured_route.allowed_regions)
        regions += (regions.empty() ? "" : ",") + region;
    return regions.empty() ? "all" : regions;
}

std::string format_hundredths(double value) {
    constexpr int hundred = 100;
    const auto    rounded_hundredths = std::lround(value * hundred);
    const auto    fraction = std::to_string(rounded_hundredths % hundred);
    return std::to_string(rounded_hundredths / hundred) + "." + (fraction.size() < 2 ? "0" : "") + fraction;
}

// A line for each service of the route, with the number of its candidates.
std::string shares(const flow_explanation& explanation) {
    const auto count_of = [&explanation](const auto& matches) {
        return static_cast<std::uint64_t>(std::ranges::count_if(explanation.candidates, matches));
    };
    std::string text;
    for (const service_share& share : explanation.matched_route->services) {
        const auto is_of_service = [&share](const backend_candidate& candidate) {
            return candidate.backend->registration.service == share.service;
        };
        const auto is_eligible = [&](const backend_candidate& candidate) {
            return is_of_service(candidate) && candidate.excluded == exclusion::none;
        };
        text += format_line("share", {{"service", share.service},
                                      {"weight", share.weight},
                                      {"candidates", count_of(is_of_service)},
                                      {"eligible", count_of(is_eligible)}});
    }
    return text;
}

std::string format_outlooks(const flow_explanation& explanation) {
    std::string text;
    for (const service_flow_status& outlook : explanation.outlooks) {
        text += format_line("admission", {{"service", outlook.service},
                                          {"refusing", outlook.status.is_refusing ? "yes" : "no"},
                                          {"admitted_share", format_hundredths(outlook.admitted_share)},
                                          {"delay_ms", to_milliseconds(outlook.status.delay)},
                                          {"target_ms", to_milliseconds(outlook.status.target)}});
        for (const auto& [failure_domain, share] : outlook.spilled) {
            text += format_line("spillover", {{"service", outlook.service},
                                              {"failure_domain", failure_domain},
                                              {"share", format_hundredths(share)}});
        }
    }
    return text;
}

} // namespace

std::optional<std::string> status_page::render(std::string_view target, steady_time now) const {
    const std::string_view path = target.substr(0, target.find('?'));
    if (path == "/services") return services();
    if (path == "/backend-servers") return backend_servers(platform::query_parameter(target, "service"), now);
    if (path == "/balancers") return balancers();
    if (path == "/flow") return flow(target, now);
    return std::nullopt;
}

std::string status_page::services() const {
    const routing_table* table = store_replica_.routing();
    if (table == nullptr) return format_line("configuration", {{"state", "unknown"}});
    std::string text = format_line("configuration", {{"version", table->version},
                                                     {"routes", table->routes.size()},
                                                     {"idle_timeout_ms", to_milliseconds(table->idle_timeout)}});
    for (const route& configured_route : table->routes) {
        text += format_line("route", {{"name", configured_route.name},
                                      {"address", configured_route.address.to_string()},
                                      {"services", format_shares(configured_route)}});
    }
    for (const std::string& service : steering_.new_flow_admission().services()) {
        const admission_status status = steering_.new_flow_admission().status(service);
        text += format_line(
            "load", {{"service", service},
                     {"refusing", status.is_refusing ? "yes" : "no"},
                     {"delay_ms", to_milliseconds(status.delay)},
                     {"target_ms", to_milliseconds(status.target)},
                     {"admitted_share", format_hundredths(status.share)},
                     {"spilled_share", format_hundredths(steering_.new_flow_spillover().total_share(service))}});
    }
    for (const auto& [key, evacuated] : store_replica_.evacuations()) {
        text += format_line("evacuation", {{"failure_domain", evacuated.failure_domain},
                                           {"epoch", evacuated.revision.epoch},
                                           {"revision", evacuated.revision.number},
                                           {"held", evacuated.held_removal_due ? "yes" : "no"}});
    }
    return text;
}

std::string status_page::backend_servers(std::optional<std::string_view> service, steady_time now) const {
    std::string text;
    for (const auto& [key, backend] : store_replica_.backends()) {
        const backend_registration& registration = backend.registration;
        if (service && registration.service != *service) continue;
        const backend_activity& activity = steering_.flows().activity(backend.reference);
        const duration          avoided_for =
            std::max(steering_.conditions().avoided_until(backend.reference) - now, duration::zero());
        const bool holds_reference = store_replica_.find_backend(backend.reference) == &backend;
        text += format_line("backend_server", {{"name", registration.name},
                                               {"service", registration.service},
                                               {"address", registration.address.to_string()},
                                               {"failure_domain", registration.failure_domain},
                                               {"state", state_of(backend)},
                                               {"holds_reference", holds_reference ? "yes" : "no"},
                                               {"epoch", backend.revision.epoch},
                                               {"revision", backend.revision.number},
                                               {"slots", registration.slots},
                                               {"requests", activity.waiting_flows},
                                               {"flows", activity.open_flows},
                                               {"unanswered_syns", activity.unanswered_syns},
                                               {"failures", activity.consecutive_failures},
                                               {"avoided_for_ms", to_milliseconds(avoided_for)},
                                               {"last_sign_age_ms", format_age(activity.last_response, now)}});
    }
    return text;
}

std::string status_page::balancers() const {
    std::string text;
    for (const auto& [slot, feeder] : store_replica_.feeders()) {
        text += format_line("feeder", {{"name", feeder.registration.name},
                                       {"failure_domain", slot.first},
                                       {"slot", slot.second},
                                       {"address", feeder.registration.address.to_string()},
                                       {"epoch", feeder.revision.epoch},
                                       {"revision", feeder.revision.number}});
    }
    return text;
}

std::optional<std::string> status_page::flow(std::string_view target, steady_time now) const {
    const auto caller = endpoint::parse(platform::query_parameter(target, "caller").value_or(""));
    const auto route_address = endpoint::parse(platform::query_parameter(target, "route").value_or(""));
    if (!caller || !route_address) return std::nullopt;
    const flow_explanation   explanation = steering_.explain(*caller, *route_address, now);
    const steering_decision& next = explanation.next_decision;
    if (explanation.matched_route == nullptr)
        return format_line("flow", {{"outcome", to_string(next.action)}, {"reason", to_string(next.reason)}});
    const route& matched_route = *explanation.matched_route;
    std::string  text = format_line("route", {{"name", matched_route.name},
                                              {"services", format_shares(matched_route)},
                                              {"kind", name_of(matched_route.kind)},
                                              {"priority", matched_route.priority},
                                              {"response_goal_ms", to_milliseconds(matched_route.response_goal)},
                                              {"time_limit_ms", to_milliseconds(matched_route.time_limit)},
                                              {"regions", format_regions(matched_route)}});
    if (explanation.flow != nullptr) {
        const known_backend* backend = store_replica_.find_backend(explanation.flow->backend());
        text += format_line(
            "flow",
            {{"backend_server", backend == nullptr ? "unknown" : backend->registration.name},
             {"state", explanation.flow->is_closing ? "closing" : (explanation.flow->is_open ? "open" : "opening")},
             {"request", explanation.flow->request_id.empty() ? "unknown" : explanation.flow->request_id},
             {"waits", explanation.flow->is_waiting ? "yes" : "no"},
             {"last_progress_age_ms", format_age(explanation.flow->last_progress, now)}});
    } else {
        text += format_line("flow",
                            {{"state", "not tracked here"}, {"goes_to", "where the reference in its packets points"}});
    }
    text += format_line("new_flow",
                        {{"outcome", to_string(next.action)},
                         {"reason", to_string(next.reason)},
                         {"backend_server", next.backend == nullptr ? "none" : next.backend->registration.name}});
    text += shares(explanation);
    text += format_outlooks(explanation);
    for (const backend_candidate& candidate : explanation.candidates) {
        const backend_registration& registration = candidate.backend->registration;
        text += format_line("candidate", {{"backend_server", registration.name},
                                          {"service", registration.service},
                                          {"cost", format_hundredths(candidate.cost)},
                                          {"avoided", candidate.excluded == exclusion::unresponsive ? "yes" : "no"},
                                          {"excluded", to_string(candidate.excluded)},
                                          {"chosen", candidate.backend == next.backend ? "yes" : "no"},
                                          {"failure_domain", registration.failure_domain},
                                          {"region", candidate.region.empty() ? "none" : candidate.region}});
    }
    return text;
}

} // namespace tamarack::entry
