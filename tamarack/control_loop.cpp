// Event loop of the control thread.
#include "tamarack/control_loop.h"

#include "tamarack/control_log.h"
#include "tamarack/events.h"
#include "tamarack/invariant.h"
#include "tamarack/process_environment.h"

#include <boost/asio.hpp>
#include <glog/logging.h>

namespace tamarack {

namespace asio = boost::asio;

namespace {

constexpr duration pause_threshold = std::chrono::seconds(1); // between two iterations; docs/design.md section 2.2
constexpr duration housekeeping_interval = std::chrono::seconds(1);

std::string join_names(const std::vector<std::string>& names) {
    std::string text;
    for (const std::string& name : names)
        text += (text.empty() ? "" : ", ") + name;
    return text;
}

// A submitted change that is not finished, and the callbacks that wait for its result.
struct pending_change {
    change_request               request;
    std::vector<change_callback> callers;
};

} // namespace

class control_loop::impl {
public:
    impl(node& balancer, const clock& time, udp_socket control_socket, const daemon_settings& settings,
         std::string settings_file)
        : balancer_(balancer), time_(time), socket_(std::move(control_socket)), settings_(settings),
          settings_file_(std::move(settings_file)), last_iteration_(time.steady_now()), log_(settings.node.self.id) {}

    ~impl() { socket_readiness_.release(); } // socket_ closes the handle
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    void run() {
        last_iteration_ = time_.steady_now();
        wait_for_datagrams();
        wait_for_tick(std::chrono::steady_clock::now());
        handle_signals();
        io_.run();
    }

    void submit(const change_request& request, change_callback done) {
        pending_change& entry = pending_changes_[request.operation_id];
        const bool      is_repeated = !entry.callers.empty(); // a client's retry waits for the result of the first call
        entry.callers.push_back(std::move(done));
        if (is_repeated) return;
        entry.request = request;
        balancer_.submit(request);
        perform_actions();
    }

    void begin_stop(std::string_view requester) {
        if (balancer_.state() != stop_state::running) return;
        log_event(event::stop_requested, {{"by", requester}});
        balancer_.begin_stop();
        perform_actions();
    }

    counter_map counters() const {
        counter_map totals;
        const auto  add = [&totals](const counter_map& source) {
            for (const auto& [name, value] : source)
                totals[metric_name(name)] += value;
        };
        add(balancer_.counters());
        if (collaborators_.traffic_counters) add(collaborators_.traffic_counters());
        add({{"control_datagrams_received", received_}, {"control_datagrams_not_sent", not_sent_}});
        totals.insert({metric_name("control_bytes_sent"), balancer_.control_bytes_sent()});
        totals.insert({metric_name("configuration_revision"), balancer_.current().revision});
        totals.insert({metric_name("invariants_violated"), total_violations()});
        return totals;
    }

    distribution_map distributions() const {
        distribution_map merged;
        if (collaborators_.traffic_distributions) merged = collaborators_.traffic_distributions();
        merged["tick_seconds"] = tick_seconds_.snapshot();
        return merged;
    }

    flow_summary flows() {
        flow_summary summary;
        const bool   leaving = balancer_.state() != stop_state::running;
        for (std::size_t partition = 0; partition < settings_.node.partitions; ++partition) {
            balancer_.with_forwarder(partition, [&](forwarder& target) { add_flows(target, leaving, summary); });
        }
        return summary;
    }

    node&            balancer_;
    const clock&     time_;
    udp_socket       socket_;
    daemon_settings  settings_;
    std::string      settings_file_;
    collaborators    collaborators_;
    asio::io_context io_{1}; // one thread
    distribution     tick_seconds_{latency_bounds()};

private:
    //------------------------------------------------------------------------------------------------------------------
    // Events
    //------------------------------------------------------------------------------------------------------------------

    void wait_for_datagrams() {
        socket_readiness_.async_wait(asio::posix::stream_descriptor::wait_read,
                                     [this](const boost::system::error_code& error) {
                                         if (error) return;
                                         discard_after_pause();
                                         receive_datagrams();
                                         perform_actions();
                                         wait_for_datagrams();
                                     });
    }

    // Receives one batch only, so that ticks are not delayed.
    void receive_datagrams() {
        received_ += socket_.receive(batch_).datagrams;
        for (const receive_batch::item& item : batch_.items())
            balancer_.receive_control(item.bytes, item.source);
    }

    void wait_for_tick(std::chrono::steady_clock::time_point planned) {
        // A late tick does not make the next one come early.
        next_tick_ = std::max(planned, std::chrono::steady_clock::now() - tick_interval) + tick_interval;
        timer_.expires_at(next_tick_);
        timer_.async_wait([this](const boost::system::error_code& error) {
            if (error) return;
            discard_after_pause();
            tick();
            if (balancer_.state() == stop_state::finished) return finish();
            wait_for_tick(next_tick_);
        });
    }

    void tick() {
        const steady_time start = time_.steady_now();
        balancer_.tick();
        perform_actions();
        if (start - last_housekeeping_ >= housekeeping_interval) {
            last_housekeeping_ = start;
            log_.log_view(balancer_.current(), balancer_.members(), balancer_.statuses());
            if (collaborators_.every_second) collaborators_.every_second();
        }
        tick_seconds_.add(std::chrono::duration<double>(time_.steady_now() - start).count());
    }

    // Discards datagrams that were queued during a pause: an old acknowledgement must not count as a new one.
    void discard_after_pause() {
        const steady_time now = time_.steady_now();
        const duration    gap = now - last_iteration_;
        last_iteration_ = now;
        if (gap <= pause_threshold) return;
        const auto milliseconds = to_milliseconds(gap);
        log_event(event::pause_detected,
                  {{"thread", "control"}, {"milliseconds", static_cast<std::uint64_t>(milliseconds)}});
        while (socket_.receive(batch_).datagrams == receive_batch::max_datagrams) {
        }
    }

    // Until now the process has noted a request to stop; see process_environment.h.
    void handle_signals() {
        for (const int signal : {SIGTERM, SIGINT, SIGHUP})
            signals_.add(signal);
        if (is_stop_requested()) begin_stop("a signal at the start");
        wait_for_signal();
    }

    void wait_for_signal() {
        signals_.async_wait([this](const boost::system::error_code& error, int number) {
            if (error) return;
            if (number == SIGHUP) {
                reload_settings();
            } else if (balancer_.state() == stop_state::running) {
                begin_stop(number == SIGTERM ? "SIGTERM" : "SIGINT");
            } else {
                return finish();
            }
            wait_for_signal();
        });
    }

    void finish() {
        std::uint64_t unreplicated = 0;
        for (std::size_t partition = 0; partition < settings_.node.partitions; ++partition) {
            balancer_.with_forwarder(
                partition, [&unreplicated](forwarder& target) { unreplicated += target.unreplicated_placements(); });
        }
        log_event(event::stopped, {{"unreplicated", unreplicated}});
        io_.stop();
    }

    //------------------------------------------------------------------------------------------------------------------
    // Actions
    //------------------------------------------------------------------------------------------------------------------

    void perform_actions() {
        const control_actions actions = balancer_.take_actions();
        send(actions.datagrams);
        for (const probe_request& request : actions.probe_requests)
            start_probe(request);
        for (const store_request& request : actions.store_requests)
            send_store_request(request);
        for (const change_result& outcome : actions.change_results)
            report_outcome(outcome);
    }

    void send(const std::vector<datagram>& datagrams) {
        outgoing_.clear();
        for (const datagram& item : datagrams)
            outgoing_.push_back({item.destination, item.bytes});
        not_sent_ += socket_.send(outgoing_);
    }

    void start_probe(const probe_request& request) {
        if (!collaborators_.probe) return;
        collaborators_.probe(request, [this](const probe_result& result) {
            asio::post(io_, [this, result] {
                balancer_.probe_finished(result);
                perform_actions();
            });
        });
    }

    void send_store_request(const store_request& request) {
        if (!collaborators_.store) return;
        collaborators_.store(request, [this](store_response response) {
            asio::post(io_, [this, response = std::move(response)] {
                log_.log_store_status(response.status);
                balancer_.store_answered(response);
                perform_actions();
            });
        });
    }

    void report_outcome(const change_result& outcome) {
        const auto entry = pending_changes_.extract(outcome.operation_id);
        if (entry.empty()) return;
        control_log::log_change(entry.mapped().request, outcome);
        for (const change_callback& caller : entry.mapped().callers)
            caller(outcome);
    }

    //------------------------------------------------------------------------------------------------------------------
    // Settings and flows
    //------------------------------------------------------------------------------------------------------------------

    void reload_settings() {
        const auto new_settings = read_settings_file(settings_file_);
        if (!new_settings) {
            for (const finding& problem : new_settings.error())
                log_event(event::settings_problem, {{"problem", problem.to_string()}});
            log_event(event::settings_kept, {{"problems", new_settings.error().size()}});
            return;
        }
        const settings_difference difference = compare(settings_, new_settings.value());
        settings_ = apply_reloadable(settings_, new_settings.value());
        balancer_.reconfigure(settings_.node);
        FLAGS_minloglevel = static_cast<int>(settings_.min_log_level);
        log_event(event::settings_reread, {{"in_force", join_names(difference.in_force)}});
        for (const std::string& name : difference.needs_restart)
            log_event(event::setting_needs_restart, {{"key", name}});
    }

    void add_flows(forwarder& target, bool leaving, flow_summary& summary) const {
        summary.held += target.flows().size();
        summary.capacity += target.flows().capacity();
        summary.memory_bytes += target.flows().memory_bytes();
        if (leaving) summary.unreplicated = summary.unreplicated.value_or(0) + target.unreplicated_placements();
        for (const service& item : balancer_.current().services) {
            for (const backend_server& server : item.backend_servers)
                summary.counts[server.id] += target.flows().backend_flow_count(server.id);
        }
    }

    asio::posix::stream_descriptor        socket_readiness_{io_, socket_.handle()};
    asio::steady_timer                    timer_{io_};
    asio::signal_set                      signals_{io_};
    std::chrono::steady_clock::time_point next_tick_;
    steady_time                           last_iteration_;
    steady_time                           last_housekeeping_{};
    receive_batch                         batch_;
    std::vector<outgoing_datagram>        outgoing_;
    std::map<std::string, pending_change> pending_changes_; // by operation id
    control_log                           log_;
    std::uint64_t                         received_ = 0;
    std::uint64_t                         not_sent_ = 0;
};

control_loop::control_loop(node& balancer, const clock& time, udp_socket control_socket,
                           const daemon_settings& settings, std::string settings_file)
    : impl_(std::make_unique<impl>(balancer, time, std::move(control_socket), settings, std::move(settings_file))) {}

control_loop::~control_loop() = default;

void control_loop::set_collaborators(collaborators new_collaborators) {
    impl_->collaborators_ = std::move(new_collaborators);
}

control_queue control_loop::queue() {
    return [this](std::function<void()> work) { asio::post(impl_->io_, std::move(work)); };
}

void control_loop::run() {
    impl_->run();
}

void control_loop::submit(const change_request& request, change_callback done) {
    impl_->submit(request, std::move(done));
}

void control_loop::begin_stop(std::string_view requester) {
    impl_->begin_stop(requester);
}

stop_state control_loop::state() const {
    return impl_->balancer_.state();
}

const member& control_loop::self() const {
    return impl_->settings_.node.self;
}

const clock& control_loop::time() const {
    return impl_->time_;
}

const configuration& control_loop::current() const {
    return impl_->balancer_.current();
}

std::vector<change_record> control_loop::recent_changes() const {
    return impl_->balancer_.recent_changes();
}

std::vector<member_status> control_loop::members() const {
    return impl_->balancer_.members();
}

std::vector<backend_status> control_loop::statuses() const {
    return impl_->balancer_.statuses();
}

counter_map control_loop::counters() const {
    return impl_->counters();
}

distribution_map control_loop::distributions() const {
    return impl_->distributions();
}

flow_summary control_loop::flows() {
    return impl_->flows();
}

flow_explanation control_loop::explain(const flow_tuple& flow) {
    return impl_->balancer_.explain(flow);
}

} // namespace tamarack
