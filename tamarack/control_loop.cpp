// Event loop of the control thread.
#include "tamarack/control_loop.h"

#include "tamarack/control_log.h"
#include "tamarack/events.h"
#include "tamarack/invariant.h"

#include <boost/asio.hpp>
#include <glog/logging.h>

namespace tamarack {

namespace asio = boost::asio;

namespace {

constexpr duration pause_threshold = std::chrono::seconds(1); // between two rounds, see section 2.2
constexpr duration housekeeping_interval = std::chrono::seconds(1);

std::string joined(const std::vector<std::string>& names) {
    std::string text;
    for (const std::string& name : names)
        text += (text.empty() ? "" : ", ") + name;
    return text;
}

// A change that the node has not finished, and who waits for it.
struct waiting_change {
    change_request               request;
    std::vector<change_callback> callers;
};

} // namespace

class control_loop::impl {
public:
    impl(node& balancer, const clock& time, udp_socket control_socket, const daemon_settings& settings,
         std::string settings_file)
        : balancer_(balancer), time_(time), socket_(std::move(control_socket)), settings_(settings),
          settings_file_(std::move(settings_file)), last_round_(time.steady_now()), log_(settings.node.self.id) {}

    ~impl() { readable_.release(); } // the socket closes its handle itself
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    void run() {
        last_round_ = time_.steady_now();
        wait_for_datagrams();
        wait_for_tick(std::chrono::steady_clock::now());
        wait_for_signal();
        io_.run();
    }

    void submit(const change_request& request, change_callback done) {
        waiting_change& entry = waiting_[request.operation_id];
        const bool      repeated = !entry.callers.empty(); // a client's retry joins the first call
        entry.callers.push_back(std::move(done));
        if (repeated) return;
        entry.request = request;
        balancer_.submit(request);
        carry_out();
    }

    void begin_stop(std::string_view by) {
        if (balancer_.state() != stop_state::running) return;
        log_event(event::stop_requested, {{"by", by}});
        balancer_.begin_stop();
        carry_out();
    }

    counter_map counters() const {
        counter_map all;
        const auto  add = [&all](const counter_map& some) {
            for (const auto& [name, value] : some)
                all[metric_name(name)] += value;
        };
        add(balancer_.counters());
        if (others_.traffic_counters) add(others_.traffic_counters());
        add({{"control_datagrams_received", received_}, {"control_datagrams_not_sent", not_sent_}});
        all.insert({metric_name("control_bytes_sent"), balancer_.control_bytes_sent()});
        all.insert({metric_name("configuration_revision"), balancer_.current().revision});
        all.insert({metric_name("invariants_violated"), total_violations()});
        return all;
    }

    distribution_map distributions() const {
        distribution_map all;
        if (others_.traffic_distributions) all = others_.traffic_distributions();
        all["tick_seconds"] = tick_seconds_.snapshot();
        return all;
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
    collaborators    others_;
    asio::io_context io_{1}; // one thread
    distribution     tick_seconds_{latency_bounds()};

private:
    //------------------------------------------------------------------------------------------------------------------
    // Events
    //------------------------------------------------------------------------------------------------------------------

    void wait_for_datagrams() {
        readable_.async_wait(asio::posix::stream_descriptor::wait_read, [this](const boost::system::error_code& error) {
            if (error) return;
            discard_after_pause();
            receive_datagrams();
            carry_out();
            wait_for_datagrams();
        });
    }

    // One batch, so that ticks get their turn.
    void receive_datagrams() {
        received_ += socket_.receive(batch_).taken;
        for (const receive_batch::item& item : batch_.items())
            balancer_.receive_control(item.bytes, item.from);
    }

    void wait_for_tick(std::chrono::steady_clock::time_point planned) {
        // After a delay the next tick is not earlier for it.
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
        carry_out();
        if (start - last_housekeeping_ >= housekeeping_interval) {
            last_housekeeping_ = start;
            log_.note(balancer_.current(), balancer_.members(), balancer_.statuses());
            if (others_.every_second) others_.every_second();
        }
        tick_seconds_.add(std::chrono::duration<double>(time_.steady_now() - start).count());
    }

    // What waited during a pause is old: an acknowledgement in it must not count as a new one.
    void discard_after_pause() {
        const steady_time now = time_.steady_now();
        const duration    gap = now - last_round_;
        last_round_ = now;
        if (gap <= pause_threshold) return;
        const auto milliseconds = to_milliseconds(gap);
        log_event(event::pause_detected,
                  {{"thread", "control"}, {"milliseconds", static_cast<std::uint64_t>(milliseconds)}});
        while (socket_.receive(batch_).taken == receive_batch::max_datagrams) {
        }
    }

    void wait_for_signal() {
        signals_.async_wait([this](const boost::system::error_code& error, int number) {
            if (error) return;
            if (number == SIGHUP) {
                reread_settings();
            } else if (balancer_.state() == stop_state::running) {
                begin_stop(number == SIGTERM ? "SIGTERM" : "SIGINT");
            } else {
                return finish();
            }
            wait_for_signal();
        });
    }

    void finish() {
        std::uint64_t alone = 0;
        for (std::size_t partition = 0; partition < settings_.node.partitions; ++partition) {
            balancer_.with_forwarder(partition,
                                     [&alone](forwarder& target) { alone += target.unreplicated_placements(); });
        }
        log_event(event::stopped, {{"unreplicated", alone}});
        io_.stop();
    }

    //------------------------------------------------------------------------------------------------------------------
    // Actions
    //------------------------------------------------------------------------------------------------------------------

    void carry_out() {
        const control_actions actions = balancer_.take_actions();
        send(actions.datagrams);
        for (const probe_request& request : actions.probes)
            start_probe(request);
        for (const store_request& request : actions.store)
            ask_store(request);
        for (const change_result& outcome : actions.changes)
            give_outcome(outcome);
    }

    void send(const std::vector<datagram>& datagrams) {
        outgoing_.clear();
        for (const datagram& each : datagrams)
            outgoing_.push_back({each.to, each.bytes});
        not_sent_ += socket_.send(outgoing_);
    }

    void start_probe(const probe_request& request) {
        if (!others_.probe) return;
        others_.probe(request, [this](const probe_result& result) {
            asio::post(io_, [this, result] {
                balancer_.probe_finished(result);
                carry_out();
            });
        });
    }

    void ask_store(const store_request& request) {
        if (!others_.store) return;
        others_.store(request, [this](store_response response) {
            asio::post(io_, [this, response = std::move(response)] {
                log_.note(response.status);
                balancer_.store_answered(response);
                carry_out();
            });
        });
    }

    void give_outcome(const change_result& outcome) {
        const auto entry = waiting_.extract(outcome.operation_id);
        if (entry.empty()) return;
        control_log::note(entry.mapped().request, outcome);
        for (const change_callback& caller : entry.mapped().callers)
            caller(outcome);
    }

    //------------------------------------------------------------------------------------------------------------------
    // Settings and flows
    //------------------------------------------------------------------------------------------------------------------

    void reread_settings() {
        const auto read = read_settings_file(settings_file_);
        if (!read) {
            for (const finding& problem : read.error())
                log_event(event::settings_problem, {{"problem", problem.to_string()}});
            log_event(event::settings_kept, {{"problems", read.error().size()}});
            return;
        }
        const settings_difference difference = compare(settings_, read.value());
        settings_ = apply_reloadable(settings_, read.value());
        balancer_.reconfigure(settings_.node);
        FLAGS_minloglevel = static_cast<int>(settings_.min_log_level);
        log_event(event::settings_reread, {{"in_force", joined(difference.in_force)}});
        for (const std::string& name : difference.needs_restart)
            log_event(event::setting_needs_restart, {{"key", name}});
    }

    void add_flows(forwarder& target, bool leaving, flow_summary& summary) const {
        summary.held += target.flows().size();
        summary.capacity += target.flows().capacity();
        summary.memory_bytes += target.flows().memory_bytes();
        if (leaving) summary.unreplicated = summary.unreplicated.value_or(0) + target.unreplicated_placements();
        for (const service& each : balancer_.current().services) {
            for (const backend_server& server : each.backend_servers)
                summary.counts[server.id] += target.flows().count(server.id);
        }
    }

    asio::posix::stream_descriptor        readable_{io_, socket_.handle()};
    asio::steady_timer                    timer_{io_};
    asio::signal_set                      signals_{io_, SIGTERM, SIGINT, SIGHUP};
    std::chrono::steady_clock::time_point next_tick_;
    steady_time                           last_round_;
    steady_time                           last_housekeeping_{};
    receive_batch                         batch_;
    std::vector<outgoing_datagram>        outgoing_;
    std::map<std::string, waiting_change> waiting_; // by operation id
    control_log                           log_;
    std::uint64_t                         received_ = 0;
    std::uint64_t                         not_sent_ = 0;
};

control_loop::control_loop(node& balancer, const clock& time, udp_socket control_socket,
                           const daemon_settings& settings, std::string settings_file)
    : impl_(std::make_unique<impl>(balancer, time, std::move(control_socket), settings, std::move(settings_file))) {}

control_loop::~control_loop() = default;

void control_loop::use(collaborators others) {
    impl_->others_ = std::move(others);
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

void control_loop::begin_stop(std::string_view by) {
    impl_->begin_stop(by);
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
