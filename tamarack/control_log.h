// Logs operators' changes, and what changes in a balancer's view: revision, members, backend servers, store.
#pragma once

#include "tamarack/node.h"

#include <set>

namespace tamarack {

class control_log {
public:
    explicit control_log(member_id self) : self_(self) {}

    void        note(const configuration& present, const std::vector<member_status>& members,
                     const std::vector<backend_status>& statuses);
    void        note(store_status status);
    // An operator's change; dry runs are not logged.
    static void note(const change_request& request, const change_result& outcome);

private:
    void note_members(const std::vector<member_status>& members);
    void note_statuses(const configuration& present, const std::vector<backend_status>& statuses);

    member_id                   self_;
    revision_number             revision_ = 0;
    std::map<member_id, member> members_;
    std::set<backend_server_id> out_; // the backend servers that are out
    bool                        store_available_ = true;
};

} // namespace tamarack
