// What an operator may see of a running entry balancer: configuration in force, backend servers with their load,
// feeders, and why a flow goes where it goes. Read-only, as lines of key=value fields.
#pragma once

#include "daemons/entry/entry_metrics.h"
#include "entry/steering.h"

namespace tamarack::entry {

class status_view {
public:
    status_view(const replica& known, const steering& decisions) : known_(known), decisions_(decisions) {}

    // The text for a target:
    //   /services                               the configuration in force
    //   /backend-servers[?service=NAME]         as registered, with their load as seen by this balancer
    //   /balancers                              those that read the store for others
    //   /flow?caller=ADDRESS:PORT&route=ADDRESS:PORT
    // Nullopt: none of these, or an address is wrong.
    std::optional<std::string> text(std::string_view target, steady_time now) const;

private:
    std::string                services() const;
    std::string                backend_servers(std::optional<std::string_view> service, steady_time now) const;
    std::string                balancers() const;
    std::optional<std::string> flow(std::string_view target, steady_time now) const;

    const replica&  known_;
    const steering& decisions_;
};

} // namespace tamarack::entry
