// Compares each view with the previous one, and logs the differences.
#include "tamarack/control_log.h"

#include "tamarack/events.h"

#include <algorithm>

namespace tamarack {

namespace {

// Name such as "board/b1", or the id if the backend server is no longer in the configuration.
std::string backend_server_name(const configuration& config, backend_server_id id) {
    for (const service& item : config.services) {
        const auto found = std::ranges::find(item.backend_servers, id, &backend_server::id);
        if (found != item.backend_servers.end()) return item.name + "/" + found->name;
    }
    return std::to_string(id);
}

std::string joined_text(const findings& problems) {
    std::string text;
    for (const finding& problem : problems)
        text += (text.empty() ? "" : "; ") + problem.to_string();
    return text;
}

} // namespace

void control_log::log_view(const configuration& config, const std::vector<member_status>& members,
                           const std::vector<backend_status>& statuses) {
    if (config.revision != revision_) {
        revision_ = config.revision;
        log_event(event::revision_in_force, {{"revision", revision_}, {"services", config.services.size()}});
    }
    log_members(members);
    log_backend_statuses(config, statuses);
}

void control_log::log_members(const std::vector<member_status>& members) {
    for (const member_status& item : members) {
        const member& current = item.balancer;
        const auto    found = members_.find(current.id);
        const bool    is_unchanged = found != members_.end() && found->second.state == current.state &&
                                  found->second.incarnation == current.incarnation;
        if (is_unchanged || current.id == self_) continue;
        members_[current.id] = current;
        log_event(event::member_changed, {{"member_id", current.id},
                                          {"state", to_string(current.state)},
                                          {"failure_domain", current.failure_domain},
                                          {"incarnation", current.incarnation}});
    }
}

void control_log::log_backend_statuses(const configuration& config, const std::vector<backend_status>& statuses) {
    std::set<backend_server_id> unavailable;
    for (const backend_status& item : statuses) {
        if (item.available) continue;
        unavailable.insert(item.id);
        if (!unavailable_.contains(item.id))
            log_event(event::backend_server_out, {{"name", backend_server_name(config, item.id)}});
    }
    for (const backend_server_id id : unavailable_) {
        if (!unavailable.contains(id))
            log_event(event::backend_server_back, {{"name", backend_server_name(config, id)}});
    }
    unavailable_ = std::move(unavailable);
}

void control_log::log_store_status(store_status status) {
    const bool available = status != store_status::unavailable && status != store_status::unknown_outcome;
    if (available == store_available_) return;
    store_available_ = available;
    if (available) {
        log_event(event::store_available, {});
    } else {
        log_event(event::store_unavailable, {{"status", to_string(status)}});
    }
}

void control_log::log_change(const change_request& request, const change_result& result) {
    if (request.dry_run) return;
    const std::string text = to_string(request.requested_change);
    switch (result.status) {
    case change_status::accepted:
        log_event(event::change_accepted, {{"operator", request.operator_name},
                                           {"operation", request.operation_id},
                                           {"revision", result.revision},
                                           {"command", text}});
        break;
    case change_status::outcome_unknown:
        log_event(event::change_unknown,
                  {{"operator", request.operator_name}, {"operation", request.operation_id}, {"command", text}});
        break;
    default:
        log_event(event::change_refused, {{"operator", request.operator_name},
                                          {"operation", request.operation_id},
                                          {"status", to_string(result.status)},
                                          {"reason", joined_text(result.problems)},
                                          {"command", text}});
    }
}

} // namespace tamarack
