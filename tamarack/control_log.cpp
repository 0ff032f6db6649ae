// Differences between two views as log events.
#include "tamarack/control_log.h"

#include "tamarack/events.h"

#include <algorithm>

namespace tamarack {

namespace {

// "board/b1", or the id of a backend server that the configuration no longer has.
std::string name_of(const configuration& present, backend_server_id id) {
    for (const service& each : present.services) {
        const auto found = std::ranges::find(each.backend_servers, id, &backend_server::id);
        if (found != each.backend_servers.end()) return each.name + "/" + found->name;
    }
    return std::to_string(id);
}

std::string text_of(const findings& problems) {
    std::string text;
    for (const finding& problem : problems)
        text += (text.empty() ? "" : "; ") + problem.to_string();
    return text;
}

} // namespace

void control_log::note(const configuration& present, const std::vector<member_status>& members,
                       const std::vector<backend_status>& statuses) {
    if (present.revision != revision_) {
        revision_ = present.revision;
        log_event(event::revision_in_force, {{"revision", revision_}, {"services", present.services.size()}});
    }
    note_members(members);
    note_statuses(present, statuses);
}

void control_log::note_members(const std::vector<member_status>& members) {
    for (const member_status& each : members) {
        const member& now = each.who;
        const auto    found = members_.find(now.id);
        const bool same = found != members_.end() && found->second.state == now.state && found->second.life == now.life;
        if (same || now.id == self_) continue;
        members_[now.id] = now;
        log_event(event::member_changed, {{"member_id", now.id},
                                          {"state", to_string(now.state)},
                                          {"failure_domain", now.failure_domain},
                                          {"incarnation", now.life}});
    }
}

void control_log::note_statuses(const configuration& present, const std::vector<backend_status>& statuses) {
    std::set<backend_server_id> out;
    for (const backend_status& each : statuses) {
        if (each.available) continue;
        out.insert(each.id);
        if (!out_.contains(each.id)) log_event(event::backend_server_out, {{"name", name_of(present, each.id)}});
    }
    for (const backend_server_id id : out_)
        if (!out.contains(id)) log_event(event::backend_server_back, {{"name", name_of(present, id)}});
    out_ = std::move(out);
}

void control_log::note(store_status status) {
    const bool available = status != store_status::unavailable && status != store_status::unknown_outcome;
    if (available == store_available_) return;
    store_available_ = available;
    if (available) {
        log_event(event::store_available, {});
    } else {
        log_event(event::store_unavailable, {{"status", to_string(status)}});
    }
}

void control_log::note(const change_request& request, const change_result& outcome) {
    if (request.dry_run) return;
    const std::string text = to_string(request.command);
    switch (outcome.status) {
    case change_status::accepted:
        log_event(event::change_accepted, {{"operator", request.operator_name},
                                           {"operation", request.operation_id},
                                           {"revision", outcome.revision},
                                           {"command", text}});
        break;
    case change_status::outcome_unknown:
        log_event(event::change_unknown,
                  {{"operator", request.operator_name}, {"operation", request.operation_id}, {"command", text}});
        break;
    default:
        log_event(event::change_refused, {{"operator", request.operator_name},
                                          {"operation", request.operation_id},
                                          {"status", to_string(outcome.status)},
                                          {"reason", text_of(outcome.problems)},
                                          {"command", text}});
    }
}

} // namespace tamarack
