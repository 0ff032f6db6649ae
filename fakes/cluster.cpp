// Event queue, network, platform, backend servers and callers of the simulated cluster.
#include "fakes/cluster.h"

#include "standins/inner_packet.h"

#include <algorithm>
#include <glog/logging.h>

namespace fakes {

using namespace tamarack;

namespace {

constexpr std::uint16_t fabric_port = 5000;
constexpr std::uint16_t control_port = 4001;
constexpr std::uint16_t relay_port = 4002;
constexpr std::uint16_t admin_port = 4003;

// Retransmission timeouts of a caller. The timeout doubles with each retransmission.
constexpr duration initial_retransmission_timeout = std::chrono::milliseconds(300);
constexpr duration max_retransmission_timeout = std::chrono::milliseconds(4800);
constexpr unsigned max_retransmissions = 10;
constexpr duration sample_period = std::chrono::milliseconds(100);
constexpr duration control_budget_window = std::chrono::seconds(10);

const endpoint fabric_endpoint{ip_address::v4(0x7f000001), fabric_port};

using bytes = std::vector<std::byte>;

bytes copy(byte_view view) {
    return {view.begin(), view.end()};
}

class node_balancer final : public balancer {
public:
    node_balancer(const node_settings& settings, const tamarack::clock& time, std::uint64_t seed)
        : node_(settings, time, seed) {}
    void handle_fabric_packet(byte_view packet, const endpoint& fabric, action_buffer& out) override {
        node_.with_forwarder(node_.partition_of_fabric_packet(packet),
                             [&](forwarder& target) { target.receive_from_fabric(packet, fabric, out); });
    }
    void handle_relay_frame(byte_view frame, action_buffer& out) override {
        node_.with_forwarder(node_.partition_of_relay_frame(frame),
                             [&](forwarder& target) { target.receive_from_peer(frame, out); });
    }
    void tick(action_buffer& out) override {
        node_.tick();
        node_.with_forwarder(0, [&](forwarder& target) { target.tick(out); });
    }
    node* control_node() override { return &node_; }
    bool  has_stopped() const override { return node_.state() == stop_state::finished; }

private:
    node node_;
};

//----------------------------------------------------------------------------------------------------------------------
// State of the simulated parts
//----------------------------------------------------------------------------------------------------------------------

struct host {
    node_settings             settings;
    std::unique_ptr<balancer> instance;        // null while the host is down
    std::uint64_t             incarnation = 0; // increases with each start; events of earlier incarnations are dropped
    steady_time               paused_until{};
    std::uint64_t             sampled_control_bytes = 0;              // total at the last sample
    std::deque<std::pair<steady_time, std::uint64_t>> window_samples; // control bytes by time of the sample
    std::uint64_t                                     window_bytes = 0;
};

struct connection {
    bool          is_open = true;
    std::uint64_t last_request = 0; // highest number of a request that was executed
    std::uint64_t executed_requests = 0;
};

struct backend {
    std::string                                 service;
    std::string                                 name;
    std::string                                 failure_domain;
    endpoint                                    tunnel;
    endpoint                                    health;
    std::uint32_t                               slots = 2;
    duration                                    service_time{};
    bool                                        is_up = true;
    load_report_mode                            report_mode = load_report_mode::accurate;
    std::unordered_map<std::string, connection> connections;      // by caller
    std::deque<std::function<void()>>           waiting_requests; // requests that wait for a free slot
    std::uint32_t                               busy_slots = 0;
    std::uint64_t                               open_flows = 0;
    std::vector<steady_time>                    accept_times;
    double                     pending_request_sum = 0; // running and waiting requests, summed over the samples
    std::uint64_t              sample_count = 0;
    std::optional<steady_time> drained_at;
};

enum class flow_phase : std::uint8_t {
    opening,
    idle,
    awaiting_answer,
    closing,
    finished,
    refused,
    reset,
    unanswered,
    timed_out
};

struct caller_flow {
    flow_tuple               tuple;
    std::string              source;    // text form of tuple.source
    std::size_t              group = 0; // index of its group of callers
    flow_phase               phase = flow_phase::opening;
    std::string              answering_backend; // name of the backend server that answered last
    std::uint32_t            sequence = 1;
    std::uint64_t            current_request = 0;
    std::uint64_t            answered_requests = 0;
    std::uint64_t            request_limit = 0; // 0: unlimited
    unsigned                 retransmissions = 0;
    std::uint64_t            timer_number = 0; // of the timer that is running; earlier ones are ignored
    std::set<const backend*> receivers;        // backend servers that received its SYN or a request
    bool                     was_established = false;
};

struct caller_group {
    caller_settings settings;
    std::uint64_t   opened_flows = 0;
    steady_time     started{};
};

struct event {
    steady_time           due;
    std::uint64_t         sequence_number = 0; // events due at the same time run in this order
    std::function<void()> callback;

    bool operator<(const event& other) const {
        return std::tie(other.due, other.sequence_number) < std::tie(due, sequence_number);
    }
};

struct stored_value {
    std::uint64_t            version = 0;
    std::string              value;
    std::vector<std::string> earlier_values; // for stale reads; the last has version - 1
};

} // namespace

//----------------------------------------------------------------------------------------------------------------------
// Implementation
//----------------------------------------------------------------------------------------------------------------------

class cluster::impl {
public:
    explicit impl(const cluster_settings& settings) : settings_(settings), random_(settings.seed) {
        factory_ = [](const node_settings& host_settings, const tamarack::clock& time, std::uint64_t seed) {
            return std::make_unique<node_balancer>(host_settings, time, seed);
        };
        schedule_after(sample_period, [this] { sample_loads(); });
    }

    // Event queue.

    void schedule_after(duration delay, std::function<void()> callback) {
        schedule_at(clock_.steady_now() + delay, std::move(callback));
    }

    void schedule_at(steady_time due, std::function<void()> callback) {
        events_.push_back({due, ++last_event_number_, std::move(callback)});
        std::push_heap(events_.begin(), events_.end());
    }

    void run(duration time) {
        const steady_time end = clock_.steady_now() + time;
        while (!events_.empty() && events_.front().due <= end) {
            std::pop_heap(events_.begin(), events_.end());
            event next = std::move(events_.back());
            events_.pop_back();
            if (next.due > clock_.steady_now()) clock_.advance(next.due - clock_.steady_now());
            next.callback();
        }
        if (end > clock_.steady_now()) clock_.advance(end - clock_.steady_now());
    }

    // Network.

    double draw_probability() { return std::uniform_real_distribution<>()(random_); }

    duration draw_jitter() {
        return duration(std::uniform_int_distribution<duration::rep>(0, settings_.max_jitter.count())(random_));
    }

    bool are_connected(const std::string& a, const std::string& b) const {
        return a == b || (!isolated_domains_.contains(a) && !isolated_domains_.contains(b));
    }

    // Schedules the arrival of a packet or message, with loss, duplication and delay. Drops it when it would enter or
    // leave an isolated failure domain.
    void transmit(const std::string& from, const std::string& to, const std::function<void()>& arrive) {
        if (!are_connected(from, to)) return;
        const unsigned copies =
            settings_.duplication_probability > 0 && draw_probability() < settings_.duplication_probability ? 2 : 1;
        for (unsigned i = 0; i < copies; ++i) {
            if (settings_.loss_probability > 0 && draw_probability() < settings_.loss_probability) continue;
            schedule_after((from == to ? settings_.local_delay : settings_.domain_delay) + draw_jitter(), arrive);
        }
    }

    // Hosts.

    std::size_t add_host(const std::string& failure_domain) {
        const auto index = hosts_.size();
        host       added;
        member&    self = added.settings.self;
        self.id = static_cast<member_id>(index + 1);
        self.failure_domain = failure_domain;
        const ip_address address = ip_address::v4(static_cast<std::uint32_t>(0x7f010001U + index));
        self.control = {address, control_port};
        self.relay = {address, relay_port};
        self.admin = {address, admin_port};
        added.settings.hash_seed = 42;
        added.settings.table = settings_.table;
        host_by_control_[self.control] = index;
        host_by_relay_[self.relay] = index;
        hosts_.push_back(std::move(added));
        return index;
    }

    void start(std::size_t index) {
        host& target = hosts_[index];
        ++target.incarnation;
        target.paused_until = {};
        target.sampled_control_bytes = 0;
        target.settings.peers.clear();
        for (std::size_t i = 0; i < hosts_.size() && target.settings.peers.size() < max_seed_peers; ++i) {
            if (i != index) target.settings.peers.push_back(hosts_[i].settings.self.control);
        }
        target.instance = factory_(target.settings, clock_, random_());
        schedule_tick(index, target.incarnation);
    }

    void schedule_tick(std::size_t index, std::uint64_t incarnation) {
        schedule_after(settings_.tick_interval, [this, index, incarnation] {
            if (hosts_[index].incarnation != incarnation || !hosts_[index].instance) return;
            run_on_host(index, incarnation, [this, index](balancer& instance) {
                action_buffer out;
                instance.tick(out);
                perform_actions(index, out);
            });
            if (hosts_[index].instance && hosts_[index].instance->has_stopped()) return take_down(index);
            schedule_tick(index, incarnation);
        });
    }

    void take_down(std::size_t index) {
        hosts_[index].instance.reset();
        ++hosts_[index].incarnation;
    }

    // Runs the task now, or when the pause of the host ends; then performs the control actions that the host requests.
    void run_on_host(std::size_t index, std::uint64_t incarnation, const std::function<void(balancer&)>& task) {
        host& target = hosts_[index];
        if (!target.instance || target.incarnation != incarnation) return;
        if (target.paused_until > clock_.steady_now()) {
            return schedule_at(target.paused_until,
                               [this, index, incarnation, task] { run_on_host(index, incarnation, task); });
        }
        task(*target.instance);
        perform_control_actions(index);
    }

    // For events from outside the host, which are not bound to an incarnation.
    void run_on_current_incarnation(std::size_t index, const std::function<void(balancer&)>& task) {
        run_on_host(index, hosts_[index].incarnation, task);
    }

    void perform_actions(std::size_t index, const action_buffer& out) {
        for (const auto& item : out.actions()) {
            bytes payload = copy(out.payload(item));
            switch (item.kind) {
            case action_kind::deliver:
                deliver_to_backend(index, item.destination, std::move(payload));
                break;
            case action_kind::relay:
                relay_frame(index, item.destination, std::move(payload));
                break;
            case action_kind::reply_to_caller:
                reply_to_caller(std::move(payload));
                break;
            }
        }
    }

    void relay_frame(std::size_t index, const endpoint& to, bytes payload) {
        const auto found = host_by_relay_.find(to);
        if (found == host_by_relay_.end()) return;
        ++relayed_packets_;
        const std::size_t target = found->second;
        transmit(domain_of(index), domain_of(target),
                 [this, target, payload = std::make_shared<const bytes>(std::move(payload))] {
                     run_on_current_incarnation(target, [this, target, payload](balancer& instance) {
                         action_buffer out;
                         instance.handle_relay_frame(*payload, out);
                         perform_actions(target, out);
                     });
                 });
    }

    const std::string& domain_of(std::size_t index) const { return hosts_[index].settings.self.failure_domain; }

    void perform_control_actions(std::size_t index) {
        if (!hosts_[index].instance || hosts_[index].instance->control_node() == nullptr) return;
        node&           control = *hosts_[index].instance->control_node();
        control_actions actions = control.take_actions();
        for (auto& message : actions.datagrams)
            send_control(index, std::move(message));
        for (const auto& probe : actions.probe_requests)
            answer_probe(index, probe);
        for (const auto& request : actions.store_requests)
            handle_store_request(index, request);
        for (auto& result : actions.change_results)
            record_change_result(std::move(result));
        note_revision(index, control.current().revision);
    }

    void send_control(std::size_t index, datagram message) {
        const auto found = host_by_control_.find(message.destination);
        if (found == host_by_control_.end()) return;
        const std::size_t target = found->second;
        const endpoint    from = hosts_[index].settings.self.control;
        transmit(domain_of(index), domain_of(target),
                 [this, target, from, payload = std::make_shared<const bytes>(std::move(message.bytes))] {
                     run_on_current_incarnation(target, [from, payload](balancer& instance) {
                         instance.handle_control_datagram(*payload, from);
                     });
                 });
    }

    // Revisions.

    void note_revision(std::size_t index, revision_number revision) {
        if (revision > newest_revision_) {
            newest_revision_ = revision;
            newest_accepted_at_ = clock_.steady_now();
            converged_at_.reset();
        }
        host_revision_[index] = revision;
        if (converged_at_) return;
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            if (hosts_[i].instance && host_revision_[i] != newest_revision_) return;
        }
        converged_at_ = clock_.steady_now();
    }

    // Operators.

    void submit(std::size_t index, const change_request& request) {
        pending_changes_[request.operation_id] = request;
        run_on_current_incarnation(index, [request](balancer& instance) {
            if (instance.control_node() != nullptr) instance.control_node()->submit(request);
        });
    }

    void record_change_result(change_result result) {
        if (result.status == change_status::accepted) {
            if (const auto* drain =
                    std::get_if<drain_backend>(&pending_changes_[result.operation_id].requested_change)) {
                auto& target = find_backend(drain->service, drain->backend_server);
                if (!target.drained_at) target.drained_at = clock_.steady_now();
            }
            if (const auto* undrain =
                    std::get_if<undrain_backend>(&pending_changes_[result.operation_id].requested_change)) {
                find_backend(undrain->service, undrain->backend_server).drained_at.reset();
            }
        }
        change_results_.push_back(std::move(result));
    }

    // Probes and platform.

    void answer_probe(std::size_t index, const probe_request& probe) {
        const auto*  target = backend_at(probe.target, &backend::health);
        probe_result result{probe.id, probe.backend_server, false, std::nullopt};
        duration     delay = probe.deadline;
        if (target != nullptr && target->is_up && are_connected(domain_of(index), target->failure_domain)) {
            delay = 2 * settings_.domain_delay;
            result.reachable = true;
            result.load = report_of(*target);
        }
        const std::uint64_t incarnation = hosts_[index].incarnation;
        schedule_after(delay, [this, index, incarnation, result] {
            run_on_host(index, incarnation,
                        [result](balancer& instance) { instance.control_node()->probe_finished(result); });
        });
    }

    static std::optional<load_report> report_of(const backend& target) {
        const auto connections = static_cast<std::uint32_t>(target.open_flows);
        switch (target.report_mode) {
        case load_report_mode::accurate:
            return load_report{target.busy_slots, target.slots, connections,
                               target.waiting_requests.size() > target.slots};
        case load_report_mode::zero:
            return load_report{0, target.slots, 0, false};
        case load_report_mode::constant:
            return load_report{1, target.slots, 1000, false};
        case load_report_mode::missing:
            return std::nullopt;
        }
        return std::nullopt;
    }

    void handle_store_request(std::size_t index, const store_request& request) {
        ++store_call_count_;
        if (request.operation == store_operation::compare_and_swap) ++store_write_count_;
        const std::uint64_t incarnation = hosts_[index].incarnation;
        const bool          is_isolated = isolated_domains_.contains(domain_of(index));
        store_response      response;
        response.id = request.id;
        duration delay = settings_.store_delay + draw_jitter();
        if (is_store_down_ || is_isolated) {
            response.status = store_status::unavailable;
            delay = request.deadline;
        } else if (request.operation == store_operation::watch) {
            return start_watch(index, incarnation, request);
        } else {
            response = execute_store_request(request);
            if (request.operation == store_operation::compare_and_swap && response.status == store_status::ok &&
                draw_probability() < store_lost_answer_share_) {
                response.status = store_status::unknown_outcome;
                response.value = {};
                response.version = 0;
                delay = request.deadline;
            }
        }
        send_store_response(index, incarnation, delay, std::move(response));
    }

    void send_store_response(std::size_t index, std::uint64_t incarnation, duration delay, store_response response) {
        schedule_after(delay, [this, index, incarnation, response = std::move(response)] {
            run_on_host(index, incarnation,
                        [response](balancer& instance) { instance.control_node()->store_answered(response); });
        });
    }

    store_response execute_store_request(const store_request& request) {
        store_response response;
        response.id = request.id;
        auto& stored = store_values_[request.key];
        switch (request.operation) {
        case store_operation::get:
            if (stored.version == 0) {
                response.status = store_status::not_found;
            } else if (!stored.earlier_values.empty() && draw_probability() < store_stale_read_share_) {
                response.value = stored.earlier_values.back();
                response.version = stored.version - 1;
            } else {
                response.value = stored.value;
                response.version = stored.version;
            }
            return response;
        case store_operation::compare_and_swap:
            if (stored.version != request.expected_version) {
                response.status = store_status::conflict;
                response.value = stored.value;
                response.version = stored.version;
                return response;
            }
            if (stored.version > 0) stored.earlier_values.assign(1, stored.value);
            stored.value = request.value;
            response.version = ++stored.version;
            return response;
        case store_operation::list:
            for (const auto& [key, value] : store_values_) {
                if (value.version > 0 && key.starts_with(request.key)) response.value += key + "\n";
            }
            return response;
        default:
            return response;
        }
    }

    void start_watch(std::size_t index, std::uint64_t incarnation, const store_request& request) {
        const steady_time deadline = clock_.steady_now() + request.deadline;
        poll_watch(index, incarnation, request, deadline);
    }

    void poll_watch(std::size_t index, std::uint64_t incarnation, const store_request& request, steady_time deadline) {
        const auto&    stored = store_values_[request.key];
        store_response response;
        response.id = request.id;
        if (is_store_down_ || isolated_domains_.contains(domain_of(index))) {
            response.status = store_status::unavailable;
        } else if (stored.version > request.expected_version) {
            response.value = stored.value;
            response.version = stored.version;
        } else if (clock_.steady_now() >= deadline) {
            response.status = store_status::unchanged;
        } else {
            constexpr duration watch_granularity = std::chrono::milliseconds(10);
            return schedule_after(watch_granularity, [this, index, incarnation, request, deadline] {
                poll_watch(index, incarnation, request, deadline);
            });
        }
        send_store_response(index, incarnation, settings_.store_delay, std::move(response));
    }

    // Backend servers.

    backend& find_backend(const std::string& service, const std::string& name) {
        for (auto& item : backends_) {
            if (item->service == service && item->name == name) return *item;
        }
        LOG(FATAL) << "no backend server " << service << '/' << name;
    }

    backend* backend_at(const endpoint& where, endpoint backend::*field) {
        const auto& index = field == &backend::tunnel ? backend_by_tunnel_ : backend_by_health_;
        const auto  found = index.find(where);
        return found == index.end() ? nullptr : found->second;
    }

    void add_backend(backend added) {
        const auto number = static_cast<std::uint16_t>(backends_.size());
        added.tunnel = {ip_address::v4(0x7f020001), static_cast<std::uint16_t>(20'000 + 2 * number)};
        added.health = {ip_address::v4(0x7f020001), static_cast<std::uint16_t>(20'001 + 2 * number)};
        backends_.push_back(std::make_unique<backend>(std::move(added)));
        backend_by_tunnel_[backends_.back()->tunnel] = backends_.back().get();
        backend_by_health_[backends_.back()->health] = backends_.back().get();
    }

    void deliver_to_backend(std::size_t index, const endpoint& to, bytes payload) {
        backend* target = backend_at(to, &backend::tunnel);
        if (target == nullptr) return;
        transmit(domain_of(index), target->failure_domain,
                 [this, target, payload = std::move(payload)] { receive_at_backend(*target, payload); });
    }

    void receive_at_backend(backend& target, byte_view payload) {
        if (!target.is_up) return;
        const auto segment = standin::read_gue_segment(payload);
        if (!segment || segment->info.flow.protocol != transport::tcp) return;
        const std::string caller = segment->info.flow.source.to_string();
        const auto        sender = flow_by_source_.find(caller);
        if (sender == flow_by_source_.end()) return;
        note_receiver(*sender->second, target, *segment);
        if (segment->info.syn) return accept_flow(target, caller, *segment);
        const auto found = target.connections.find(caller);
        if (found == target.connections.end() || !found->second.is_open) {
            if (!segment->info.rst) send_reply(*segment, {standin::rst_flag, segment->info.acknowledgement, 0, {}});
            return;
        }
        if (segment->info.rst || segment->info.fin) {
            found->second.is_open = false;
            --target.open_flows;
            if (segment->info.fin) {
                send_reply(*segment, {standin::ack_flag | standin::fin_flag,
                                      segment->info.acknowledgement,
                                      segment->info.sequence + 1,
                                      {}});
            }
            return;
        }
        if (!segment->payload.empty()) queue_request(target, found->second, *segment);
    }

    void note_receiver(caller_flow& flow, const backend& target, const standin::received_segment& segment) {
        const bool is_syn_or_request = segment.info.syn || !segment.payload.empty();
        if (is_syn_or_request && flow.receivers.insert(&target).second && flow.receivers.size() == 2)
            ++delivered_to_two_backends_[flow.group];
        if (caller_groups_[flow.group].settings.service != target.service) ++wrong_service_packets_[flow.group];
    }

    void accept_flow(backend& target, const std::string& caller, const standin::received_segment& segment) {
        const auto [found, added] = target.connections.try_emplace(caller);
        if (added) target.accept_times.push_back(clock_.steady_now());
        if (added || !found->second.is_open) ++target.open_flows;
        found->second.is_open = true;
        send_reply(segment, {standin::syn_flag | standin::ack_flag, 1, segment.info.sequence + 1, {}});
    }

    void queue_request(backend& target, connection& state, const standin::received_segment& segment) {
        const std::uint64_t number = std::strtoull(std::string(segment.payload).c_str(), nullptr, 10);
        const std::string   text = target.service + " " + target.name + " " + std::to_string(number);
        const auto          size = static_cast<std::uint32_t>(segment.payload.size());
        const packet_info   info = segment.info;
        auto                answer = [this, info, text, size] {
            send_reply({info, 0, {}}, {standin::ack_flag, info.acknowledgement, info.sequence + size, text});
        };
        if (number <= state.last_request) return answer();
        state.last_request = number;
        ++state.executed_requests;
        target.waiting_requests.push_back(std::move(answer));
        start_waiting_requests(target);
    }

    void start_waiting_requests(backend& target) {
        while (target.busy_slots < target.slots && !target.waiting_requests.empty()) {
            auto finish = std::move(target.waiting_requests.front());
            target.waiting_requests.pop_front();
            ++target.busy_slots;
            std::exponential_distribution<> length(1.0);
            const auto                      time = duration(
                                     static_cast<duration::rep>(static_cast<double>(target.service_time.count()) * length(random_)));
            schedule_after(time, [this, &target, finish = std::move(finish)] {
                --target.busy_slots;
                if (target.is_up) finish();
                start_waiting_requests(target);
            });
        }
    }

    void send_reply(const standin::received_segment& segment, const standin::tcp_segment& answer) {
        const flow_tuple reply_tuple{segment.info.flow.protocol, segment.info.flow.destination,
                                     segment.info.flow.source};
        reply_to_caller(standin::make_gue_segment(reply_tuple, answer));
    }

    void sample_loads() {
        for (auto& item : backends_) {
            item->pending_request_sum += static_cast<double>(item->busy_slots + item->waiting_requests.size());
            ++item->sample_count;
        }
        for (auto& item : hosts_)
            sample_control_traffic(item);
        schedule_after(sample_period, [this] { sample_loads(); });
    }

    void sample_control_traffic(host& item) {
        const steady_time now = clock_.steady_now();
        if (item.instance && item.instance->control_node() != nullptr) {
            const std::uint64_t total = item.instance->control_node()->control_bytes_sent();
            item.window_samples.emplace_back(now, total - item.sampled_control_bytes);
            item.window_bytes += total - item.sampled_control_bytes;
            item.sampled_control_bytes = total;
        }
        while (!item.window_samples.empty() && item.window_samples.front().first <= now - control_budget_window) {
            item.window_bytes -= item.window_samples.front().second;
            item.window_samples.pop_front();
        }
        max_window_bytes_ = std::max(max_window_bytes_, item.window_bytes);
    }

    // Callers.

    void add_callers(const caller_settings& settings) {
        caller_groups_.push_back({settings, 0, clock_.steady_now()});
        delivered_to_two_backends_.push_back(0);
        wrong_service_packets_.push_back(0);
        backend_changes_.push_back(0);
        refused_after_delivery_.push_back(0);
        open_next_flow(caller_groups_.size() - 1);
    }

    void open_next_flow(std::size_t group) {
        caller_group& callers = caller_groups_[group];
        if (!may_open_flows_ || callers.opened_flows >= callers.settings.flows) return;
        ++callers.opened_flows;
        open_flow(group);
        std::exponential_distribution<> gap(callers.settings.open_rate);
        schedule_after(seconds(gap(random_)), [this, group] { open_next_flow(group); });
    }

    static duration seconds(double value) {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
    }

    void open_flow(std::size_t group) {
        constexpr std::uint32_t ports_per_address = 50'000;
        const auto              number = static_cast<std::uint32_t>(flows_.size());
        auto                    flow = std::make_unique<caller_flow>();
        flow->group = group;
        flow->tuple.source = {ip_address::v4(0x0a000001U + number / ports_per_address),
                              static_cast<std::uint16_t>(10'000 + number % ports_per_address)};
        flow->tuple.destination = caller_groups_[group].settings.address;
        flow->source = flow->tuple.source.to_string();
        if (draw_probability() < caller_groups_[group].settings.short_flow_share)
            flow->request_limit = caller_groups_[group].settings.short_flow_requests;
        flow_by_source_.emplace(flow->source, flow.get());
        flows_.push_back(std::move(flow));
        send_pending_segment(*flows_.back());
        start_timer(*flows_.back(), initial_retransmission_timeout);
    }

    void send_pending_segment(caller_flow& flow) {
        switch (flow.phase) {
        case flow_phase::opening:
            return send_segment(flow, standin::syn_flag, {});
        case flow_phase::awaiting_answer:
            return send_segment(flow, standin::ack_flag, std::to_string(flow.current_request));
        case flow_phase::closing:
            return send_segment(flow, standin::ack_flag | standin::fin_flag, {});
        default:
            return;
        }
    }

    // The fabric delivers the packet to a random host that is up. It detects a closed port, but not a paused process.
    void send_segment(caller_flow& flow, std::uint8_t flags, std::string_view payload) {
        ++caller_packets_;
        bytes packet = standin::make_gue_segment(flow.tuple, {flags, flow.sequence, 2, payload});
        schedule_after(settings_.caller_delay + draw_jitter(),
                       [this, packet = std::move(packet)] { deliver_to_random_host(packet); });
    }

    void deliver_to_random_host(byte_view packet) {
        if (settings_.loss_probability > 0 && draw_probability() < settings_.loss_probability) return;
        std::vector<std::size_t> hosts_up;
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            if (hosts_[i].instance) hosts_up.push_back(i);
        }
        if (hosts_up.empty()) return;
        const std::size_t chosen_host =
            hosts_up[std::uniform_int_distribution<std::size_t>(0, hosts_up.size() - 1)(random_)];
        auto packet_copy = copy(packet);
        run_on_current_incarnation(chosen_host,
                                   [this, chosen_host, packet_copy = std::move(packet_copy)](balancer& instance) {
                                       action_buffer out;
                                       instance.handle_fabric_packet(packet_copy, fabric_endpoint, out);
                                       perform_actions(chosen_host, out);
                                   });
    }

    void start_timer(caller_flow& flow, duration delay) {
        const std::uint64_t number = ++flow.timer_number;
        schedule_after(delay, [this, &flow, number] {
            if (flow.timer_number == number) handle_timer(flow);
        });
    }

    void handle_timer(caller_flow& flow) {
        if (flow.phase == flow_phase::idle) return next_request(flow);
        if (flow.phase > flow_phase::closing) return;
        if (++flow.retransmissions > max_retransmissions) {
            if (flow.phase == flow_phase::opening) flow.phase = flow_phase::timed_out;
            if (flow.phase == flow_phase::awaiting_answer) flow.phase = flow_phase::unanswered;
            if (flow.phase == flow_phase::closing) flow.phase = flow_phase::finished;
            return;
        }
        send_pending_segment(flow);
        start_timer(flow, std::min(max_retransmission_timeout,
                                   initial_retransmission_timeout * (1 << std::min(flow.retransmissions, 4U))));
    }

    void next_request(caller_flow& flow) {
        if ((flow.request_limit > 0 && flow.current_request >= flow.request_limit) || is_closing_flows_)
            return start_closing(flow);
        ++flow.current_request;
        flow.phase = flow_phase::awaiting_answer;
        flow.retransmissions = 0;
        send_pending_segment(flow);
        start_timer(flow, initial_retransmission_timeout);
    }

    void start_closing(caller_flow& flow) {
        flow.phase = flow_phase::closing;
        flow.retransmissions = 0;
        send_pending_segment(flow);
        start_timer(flow, initial_retransmission_timeout);
    }

    void reply_to_caller(bytes packet) {
        schedule_after(settings_.caller_delay + draw_jitter(),
                       [this, packet = std::move(packet)] { receive_reply(packet); });
    }

    void receive_reply(byte_view packet) {
        const auto segment = standin::read_gue_segment(packet);
        if (!segment) return;
        const auto found = flow_by_source_.find(segment->info.flow.destination.to_string());
        if (found == flow_by_source_.end() || segment->info.flow.source != found->second->tuple.destination) return;
        caller_flow& flow = *found->second;
        if ((segment->flags & standin::rst_flag) != 0) return receive_reset(flow);
        if ((segment->flags & standin::syn_flag) != 0) return receive_syn_ack(flow);
        if ((segment->flags & standin::fin_flag) != 0 && flow.phase == flow_phase::closing) {
            flow.phase = flow_phase::finished;
            return;
        }
        if (!segment->payload.empty()) receive_answer(flow, segment->payload);
    }

    void receive_reset(caller_flow& flow) {
        if (flow.phase == flow_phase::opening) {
            flow.phase = flow_phase::refused;
            if (!flow.receivers.empty()) ++refused_after_delivery_[flow.group];
        } else if (flow.phase == flow_phase::closing) {
            flow.phase = flow_phase::finished;
        } else if (flow.phase < flow_phase::closing) {
            flow.phase = flow_phase::reset;
        }
    }

    void receive_syn_ack(caller_flow& flow) {
        if (flow.phase != flow_phase::opening) return;
        ++flow.sequence;
        flow.was_established = true;
        next_request(flow);
    }

    void receive_answer(caller_flow& flow, std::string_view text) {
        const auto        first_space = text.find(' ');
        const auto        second_space = text.find(' ', first_space + 1);
        const std::string backend_name(text.substr(first_space + 1, second_space - first_space - 1));
        const auto        number = std::strtoull(std::string(text.substr(second_space + 1)).c_str(), nullptr, 10);
        if (!flow.answering_backend.empty() && backend_name != flow.answering_backend) ++backend_changes_[flow.group];
        flow.answering_backend = backend_name;
        if (flow.phase != flow_phase::awaiting_answer || number != flow.current_request) return;
        ++flow.answered_requests;
        flow.sequence += static_cast<std::uint32_t>(std::to_string(number).size());
        flow.phase = flow_phase::idle;
        std::exponential_distribution<> pause(1.0);
        const double mean = std::chrono::duration<double>(caller_groups_[flow.group].settings.request_interval).count();
        start_timer(flow, seconds(mean * pause(random_)));
    }

    void close_flows() {
        may_open_flows_ = false;
        is_closing_flows_ = true;
        for (auto& flow : flows_) {
            if (flow->phase == flow_phase::idle) start_closing(*flow);
        }
    }

    // Data. Elements of flows_ and backends_ never move: events and indexes refer to them by address.

    static constexpr std::size_t max_seed_peers = 8;

    cluster_settings                              settings_;
    std::mt19937_64                               random_;
    manual_clock                                  clock_;
    std::vector<event>                            events_; // binary heap; the earliest event is at the front
    std::uint64_t                                 last_event_number_ = 0;
    balancer_factory                              factory_;
    std::vector<host>                             hosts_;
    std::map<endpoint, std::size_t>               host_by_control_;
    std::map<endpoint, std::size_t>               host_by_relay_;
    std::map<std::size_t, revision_number>        host_revision_;
    revision_number                               newest_revision_ = 0;
    steady_time                                   newest_accepted_at_{};
    std::optional<steady_time>                    converged_at_;
    std::set<std::string>                         isolated_domains_;
    std::vector<std::unique_ptr<backend>>         backends_;
    std::map<endpoint, backend*>                  backend_by_tunnel_;
    std::map<endpoint, backend*>                  backend_by_health_;
    std::map<std::string, stored_value>           store_values_;
    bool                                          is_store_down_ = false;
    double                                        store_lost_answer_share_ = 0;
    double                                        store_stale_read_share_ = 0;
    std::uint64_t                                 store_call_count_ = 0;
    std::uint64_t                                 store_write_count_ = 0;
    std::map<std::string, change_request>         pending_changes_; // by operation id
    std::vector<change_result>                    change_results_;
    std::vector<caller_group>                     caller_groups_;
    std::vector<std::unique_ptr<caller_flow>>     flows_;
    std::unordered_map<std::string, caller_flow*> flow_by_source_;
    bool                                          may_open_flows_ = true;
    bool                                          is_closing_flows_ = false;
    std::uint64_t                                 caller_packets_ = 0;
    std::uint64_t                                 relayed_packets_ = 0;
    std::uint64_t                                 max_window_bytes_ = 0;
    std::uint64_t                                 last_operation_number_ = 0;
    std::vector<std::uint64_t> delivered_to_two_backends_; // by group of callers, like the next three members
    std::vector<std::uint64_t> wrong_service_packets_;
    std::vector<std::uint64_t> backend_changes_;
    std::vector<std::uint64_t> refused_after_delivery_;
};

//----------------------------------------------------------------------------------------------------------------------
// Public functions
//----------------------------------------------------------------------------------------------------------------------

void balancer::handle_control_datagram(byte_view datagram, const endpoint& from) {
    if (control_node() != nullptr) control_node()->receive_control(datagram, from);
}

cluster::cluster(const cluster_settings& settings) : impl_(std::make_unique<impl>(settings)) {}
cluster::~cluster() = default;

std::size_t cluster::add_host(const std::string& failure_domain) {
    return impl_->add_host(failure_domain);
}
void cluster::set_balancer_factory(balancer_factory factory) {
    impl_->factory_ = std::move(factory);
}
void cluster::start(std::size_t host) {
    impl_->start(host);
}
void cluster::crash(std::size_t host) {
    impl_->take_down(host);
}
void cluster::stop(std::size_t host) {
    impl_->run_on_current_incarnation(host, [](balancer& instance) {
        if (instance.control_node() != nullptr) instance.control_node()->begin_stop();
    });
}
void cluster::pause(std::size_t host, duration pause_time) {
    impl_->hosts_[host].paused_until = now() + pause_time;
}
bool cluster::is_running(std::size_t host) const {
    return impl_->hosts_[host].instance != nullptr;
}
std::size_t cluster::host_count() const {
    return impl_->hosts_.size();
}
tamarack::node* cluster::node_of(std::size_t host) {
    return is_running(host) ? impl_->hosts_[host].instance->control_node() : nullptr;
}

void cluster::isolate_domains(const std::set<std::string>& failure_domains) {
    impl_->isolated_domains_ = failure_domains;
}
void cluster::end_isolation() {
    impl_->isolated_domains_.clear();
}

void cluster::add_backend(const std::string& service, const std::string& name, const std::string& failure_domain,
                          std::uint32_t slots, duration service_time) {
    backend added;
    added.service = service;
    added.name = name;
    added.failure_domain = failure_domain;
    added.slots = slots;
    added.service_time = service_time;
    impl_->add_backend(std::move(added));
}
endpoint cluster::tunnel_of(const std::string& service, const std::string& name) const {
    return impl_->find_backend(service, name).tunnel;
}
endpoint cluster::health_of(const std::string& service, const std::string& name) const {
    return impl_->find_backend(service, name).health;
}
void cluster::set_load_report_mode(const std::string& service, const std::string& name, load_report_mode mode) {
    impl_->find_backend(service, name).report_mode = mode;
}
void cluster::set_backend_up(const std::string& service, const std::string& name, bool is_up) {
    impl_->find_backend(service, name).is_up = is_up;
}
join_backend cluster::join_command(const std::string& service, const std::string& name, std::uint32_t weight) const {
    return {service, name, tunnel_of(service, name), health_of(service, name), weight, {}};
}

void cluster::submit(std::size_t host, change command, const std::string& operator_name, revision_number base_revision,
                     const std::string& operation_id) {
    const std::string id =
        operation_id.empty() ? "operation-" + std::to_string(++impl_->last_operation_number_) : operation_id;
    impl_->submit(host, {id, operator_name, base_revision, false, std::move(command)});
}
const std::vector<change_result>& cluster::change_results() const {
    return impl_->change_results_;
}

change_result cluster::submit_and_wait(std::size_t host, const change& command) {
    constexpr int     max_attempts = 20;
    constexpr auto    step = std::chrono::milliseconds(50);
    constexpr int     max_steps = 400;
    const std::string id = "operation-" + std::to_string(++impl_->last_operation_number_);
    change_result     last;
    for (int i = 0; i < max_attempts; ++i) {
        const std::size_t results_before = impl_->change_results_.size();
        impl_->submit(host, {id, "operator", 0, false, command});
        for (int j = 0; j < max_steps && impl_->change_results_.size() == results_before; ++j)
            run(step);
        if (impl_->change_results_.size() == results_before) continue;
        last = impl_->change_results_.back();
        if (last.status != change_status::outcome_unknown && last.status != change_status::store_unavailable)
            return last;
    }
    return last;
}

void cluster::set_store_outage(bool is_down) {
    impl_->is_store_down_ = is_down;
}
void cluster::set_store_lost_answer_share(double share) {
    impl_->store_lost_answer_share_ = share;
}
void cluster::set_store_stale_read_share(double share) {
    impl_->store_stale_read_share_ = share;
}
std::uint64_t cluster::store_call_count() const {
    return impl_->store_call_count_;
}
std::uint64_t cluster::store_write_count() const {
    return impl_->store_write_count_;
}
void cluster::write_store_value(const std::string& key, const std::string& value) {
    stored_value& stored = impl_->store_values_[key];
    stored.value = value;
    ++stored.version;
}

void cluster::add_callers(const caller_settings& settings) {
    impl_->add_callers(settings);
}
void cluster::stop_opening_flows() {
    impl_->may_open_flows_ = false;
}
void cluster::close_flows() {
    impl_->close_flows();
}

void cluster::run(duration time) {
    impl_->run(time);
}
steady_time cluster::now() const {
    return impl_->clock_.steady_now();
}

flow_totals cluster::totals(const std::string& service) const {
    flow_totals sum;
    for (std::size_t i = 0; i < impl_->caller_groups_.size(); ++i) {
        if (!service.empty() && impl_->caller_groups_[i].settings.service != service) continue;
        sum.delivered_to_two_backends += impl_->delivered_to_two_backends_[i];
        sum.wrong_service_packets += impl_->wrong_service_packets_[i];
        sum.backend_changes += impl_->backend_changes_[i];
        sum.refused_after_delivery += impl_->refused_after_delivery_[i];
    }
    for (const auto& flow : impl_->flows_) {
        if (!service.empty() && impl_->caller_groups_[flow->group].settings.service != service) continue;
        ++sum.opened;
        sum.established += flow->was_established ? 1 : 0;
        sum.answered_requests += flow->answered_requests;
        sum.finished += flow->phase == flow_phase::finished ? 1 : 0;
        sum.refused += flow->phase == flow_phase::refused ? 1 : 0;
        sum.reset += flow->phase == flow_phase::reset ? 1 : 0;
        sum.unanswered += flow->phase == flow_phase::unanswered ? 1 : 0;
        sum.timed_out += flow->phase == flow_phase::timed_out ? 1 : 0;
    }
    return sum;
}

std::vector<backend_load> cluster::backend_loads() const {
    std::vector<backend_load> result;
    for (const auto& item : impl_->backends_) {
        const double mean =
            item->sample_count == 0 ? 0 : item->pending_request_sum / static_cast<double>(item->sample_count);
        result.push_back(
            {item->service, item->name, 0, item->accept_times.size(), item->open_flows, item->busy_slots, mean});
    }
    return result;
}

void cluster::reset_load_samples() {
    for (auto& item : impl_->backends_) {
        item->pending_request_sum = 0;
        item->sample_count = 0;
    }
}

std::uint64_t cluster::caller_packet_count() const {
    return impl_->caller_packets_;
}
std::uint64_t cluster::relayed_packet_count() const {
    return impl_->relayed_packets_;
}
std::uint64_t cluster::control_bytes_sent(std::size_t host) const {
    const auto& instance = impl_->hosts_[host].instance;
    return instance && instance->control_node() != nullptr ? instance->control_node()->control_bytes_sent() : 0;
}
std::uint64_t cluster::max_control_bytes_in_window() const {
    return impl_->max_window_bytes_;
}

std::uint64_t cluster::flows_accepted_after_drain(duration bound) const {
    std::uint64_t late_flows = 0;
    for (const auto& item : impl_->backends_) {
        if (!item->drained_at) continue;
        late_flows += static_cast<std::uint64_t>(
            std::count_if(item->accept_times.begin(), item->accept_times.end(),
                          [&](steady_time accepted) { return accepted > *item->drained_at + bound; }));
    }
    return late_flows;
}

std::optional<duration> cluster::convergence_time() const {
    if (!impl_->converged_at_) return std::nullopt;
    return *impl_->converged_at_ - impl_->newest_accepted_at_;
}

} // namespace fakes
