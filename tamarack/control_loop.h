// The control thread of a daemon (Boost.Asio): passes control messages, store responses, probe results, operators'
// calls and ticks to the node, and performs the actions that the node returns.
//
//   sockets, store, probes, operators, signals -> node -> datagrams, store requests, probes, results
#pragma once

#include "tamarack/admin_server.h"
#include "tamarack/settings.h"
#include "tamarack/udp_socket.h"

namespace tamarack {

class control_loop final : public administered_balancer {
public:
    static constexpr duration tick_interval = std::chrono::milliseconds(20);

    using store_done = std::function<void(store_response)>;
    using probe_done = std::function<void(const probe_result&)>;

    struct collaborators {
        std::function<void(store_request, store_done)>        store; // empty if no store is used
        std::function<void(const probe_request&, probe_done)> probe;
        std::function<counter_map()>                          traffic_counters;
        std::function<distribution_map()>                     traffic_distributions;
        std::function<void()>                                 every_second; // periodic cleanup; may be empty
    };

    // Node and clock must outlive the loop. The settings file is read again on SIGHUP.
    control_loop(node& balancer, const clock& time, udp_socket control_socket, const daemon_settings& settings,
                 std::string settings_file);
    ~control_loop() override;
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;

    // Call it before run. The collaborators must not call back after the loop has been destroyed.
    void          set_collaborators(collaborators new_collaborators);
    control_queue queue(); // posts work to the control thread; any thread

    // Runs on the calling thread until the node has finished its stop.
    void run();

    void       submit(const change_request& request, change_callback done) override;
    void       begin_stop(std::string_view requester) override;
    stop_state state() const override;

    const member&               self() const override;
    const clock&                time() const override;
    const configuration&        current() const override;
    std::vector<change_record>  recent_changes() const override;
    std::vector<member_status>  members() const override;
    std::vector<backend_status> statuses() const override;
    counter_map                 counters() const override;
    distribution_map            distributions() const override;
    flow_summary                flows() override;
    flow_explanation            explain(const flow_tuple& flow) override;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace tamarack
