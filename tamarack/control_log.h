// Logs operators' changes, and changes of a balancer's view: revision, members, backend servers, availability of the
// store.
#pragma once

#include "tamarack/node.h"

#include <set>

namespace tamarack {

class control_log {
public:
    explicit control_log(member_id self) : self_(self) {}

    void        log_view(const configuration& config, const std::vector<member_status>& members,
                         const std::vector<backend_status>& statuses);
    void        log_store_status(store_status status);
    // Logs an operator's change and its result. Dry runs are not logged.
    static void log_change(const change_request& request, const change_result& result);

private:
    void log_members(const std::vector<member_status>& members);
    void log_backend_statuses(const configuration& config, const std::vector<backend_status>& statuses);

    member_id                   self_;
    revision_number             revision_ = 0;
    std::map<member_id, member> members_;
    std::set<backend_server_id> unavailable_; // backend servers that were unavailable in the last call
    bool                        store_available_ = true;
};

} // namespace tamarack
