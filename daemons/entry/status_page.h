// The status page of a running entry balancer: the configuration in force, backend servers with their load, feeders,
// and the explanation of a flow's routing. Read-only; each line has key=value fields.
#pragma once

#include "daemons/entry/entry_metrics.h"
#include "entry/steering.h"

namespace tamarack::entry {

class status_page {
public:
    status_page(const replica& store_replica, const steering& flow_steering)
        : store_replica_(store_replica), steering_(flow_steering) {}

    // Returns the text for a target:
    //   /services                          the configuration in force
    //   /backend-servers[?service=NAME]    the registered backend servers with the load that this balancer sees
    //   /balancers                         the feeders: balancers that read the store for others
    //   /flow?caller=ADDRESS:PORT&route=ADDRESS:PORT
    //                                      the explanation of a flow, and where a new one would go now and why
    // Returns nullopt for other targets and for invalid addresses.
    std::optional<std::string> render(std::string_view target, steady_time now) const;

private:
    std::string                services() const;
    std::string                backend_servers(std::optional<std::string_view> service, steady_time now) const;
    std::string                balancers() const;
    std::optional<std::string> flow(std::string_view target, steady_time now) const;

    const replica&  store_replica_;
    const steering& steering_;
};

} // namespace tamarack::entry
