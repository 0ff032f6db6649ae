// Event queue, network, backend servers and callers of the fakes.
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

constexpr duration first_timeout = std::chrono::milliseconds(300); // of a caller; doubles with each repeat
constexpr duration last_timeout = std::chrono::milliseconds(4800);
constexpr unsigned max_repeats = 10;
constexpr duration sample_period = std::chrono::milliseconds(100);
constexpr duration budget_window = std::chrono::seconds(10);

const endpoint fabric_endpoint{ip_address::v4(0x7f000001), fabric_port};

using bytes = std::vector<std::byte>;

bytes copy(byte_view view) {
    return {view.begin(), view.end()};
}

class node_balancer final : public balancer {
public:
    node_balancer(const node_settings& settings, const tamarack::clock& time, std::uint64_t seed)
        : node_(settings, time, seed) {}
    void from_fabric(byte_view packet, const endpoint& fabric, action_buffer& out) override {
        node_.with_forwarder(node_.partition_of_fabric_packet(packet),
                             [&](forwarder& target) { target.receive_from_fabric(packet, fabric, out); });
    }
    void from_peer(byte_view frame, action_buffer& out) override {
        node_.with_forwarder(node_.partition_of_relay_frame(frame),
                             [&](forwarder& target) { target.receive_from_peer(frame, out); });
    }
    void tick(action_buffer& out) override {
        node_.tick();
        node_.with_forwarder(0, [&](forwarder& target) { target.tick(out); });
    }
    node* control() override { return &node_; }
    bool  finished() const override { return node_.state() == stop_state::finished; }

private:
    node node_;
};

//----------------------------------------------------------------------------------------------------------------------
// Parts
//----------------------------------------------------------------------------------------------------------------------

struct host {
    node_settings             settings;
    std::unique_ptr<balancer> logic;           // null: down
    std::uint64_t             incarnation = 0; // rises with each start; events of earlier incarnations are dropped
    steady_time               paused_until{};
    std::uint64_t             bytes_before = 0;               // control bytes at the last sample
    std::deque<std::pair<steady_time, std::uint64_t>> window; // control bytes by time
    std::uint64_t                                     window_bytes = 0;
};

struct connection {
    bool          open = true;
    std::uint64_t last = 0; // highest request that ran
    std::uint64_t executed = 0;
};

struct backend {
    std::string                                 service;
    std::string                                 name;
    std::string                                 failure_domain;
    endpoint                                    tunnel;
    endpoint                                    health;
    std::uint32_t                               slots = 2;
    duration                                    service_time{};
    bool                                        up = true;
    reporting                                   mode = reporting::truthful;
    std::unordered_map<std::string, connection> connections; // by caller
    std::deque<std::function<void()>>           waiting;     // requests without a slot
    std::uint32_t                               busy = 0;
    std::uint64_t                               open = 0;
    std::vector<steady_time>                    accepted_at;
    double                                      busy_sum = 0; // busy and waiting requests over the samples
    std::uint64_t                               samples = 0;
    std::optional<steady_time>                  drained_at;
};

enum class phase : std::uint8_t { opening, idle, waiting, closing, finished, refused, reset, silent, timed_out };

struct caller_flow {
    flow_tuple               tuple;
    std::string              source;    // text form of tuple.source
    std::size_t              group = 0; // of callers
    phase                    state = phase::opening;
    std::string              server;
    std::uint32_t            sequence = 1;
    std::uint64_t            request = 0;
    std::uint64_t            answered = 0;
    std::uint64_t            limit = 0;
    unsigned                 repeats = 0;
    std::uint64_t            timer = 0;
    std::set<const backend*> receivers; // backend servers that received its SYN or a request
    bool                     established = false;
};

struct caller_group {
    caller_settings settings;
    std::uint64_t   opened = 0;
    steady_time     started{};
};

struct event {
    steady_time           at;
    std::uint64_t         order = 0;
    std::function<void()> run;

    bool operator<(const event& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
};

struct stored_value {
    std::uint64_t            version = 0;
    std::string              value;
    std::vector<std::string> history; // earlier values, for stale reads; version - 1 is the last
};

} // namespace

//----------------------------------------------------------------------------------------------------------------------
// Implementation
//----------------------------------------------------------------------------------------------------------------------

class cluster::impl {
public:
    explicit impl(const cluster_settings& settings) : settings_(settings), random_(settings.seed) {
        factory_ = [](const node_settings& what, const tamarack::clock& time, std::uint64_t seed) {
            return std::make_unique<node_balancer>(what, time, seed);
        };
        after(sample_period, [this] { sample(); });
    }

    // Event queue.

    void after(duration delay, std::function<void()> run) { at(time_.steady_now() + delay, std::move(run)); }

    void at(steady_time when, std::function<void()> run) {
        queue_.push_back({when, ++order_, std::move(run)});
        std::push_heap(queue_.begin(), queue_.end());
    }

    void run(duration time) {
        const steady_time end = time_.steady_now() + time;
        while (!queue_.empty() && queue_.front().at <= end) {
            std::pop_heap(queue_.begin(), queue_.end());
            event next = std::move(queue_.back());
            queue_.pop_back();
            if (next.at > time_.steady_now()) time_.advance(next.at - time_.steady_now());
            next.run();
        }
        if (end > time_.steady_now()) time_.advance(end - time_.steady_now());
    }

    // Network.

    double draw() { return std::uniform_real_distribution<>()(random_); }

    duration jitter() {
        return duration(std::uniform_int_distribution<duration::rep>(0, settings_.jitter.count())(random_));
    }

    bool connected(const std::string& a, const std::string& b) const {
        return a == b || (!cut_.contains(a) && !cut_.contains(b));
    }

    // Sends between failure domains, with loss, duplication and delay.
    void transmit(const std::string& from, const std::string& to, const std::function<void()>& arrive) {
        if (!connected(from, to)) return;
        const unsigned copies = settings_.duplication > 0 && draw() < settings_.duplication ? 2 : 1;
        for (unsigned i = 0; i < copies; ++i) {
            if (settings_.loss > 0 && draw() < settings_.loss) continue;
            after((from == to ? settings_.local_delay : settings_.domain_delay) + jitter(), arrive);
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
        by_control_[self.control] = index;
        by_relay_[self.relay] = index;
        hosts_.push_back(std::move(added));
        return index;
    }

    void start(std::size_t index) {
        host& target = hosts_[index];
        ++target.incarnation;
        target.paused_until = {};
        target.bytes_before = 0;
        target.settings.peers.clear();
        for (std::size_t i = 0; i < hosts_.size() && target.settings.peers.size() < max_seeds; ++i) {
            if (i != index) target.settings.peers.push_back(hosts_[i].settings.self.control);
        }
        target.logic = factory_(target.settings, time_, random_());
        schedule_tick(index, target.incarnation);
    }

    void schedule_tick(std::size_t index, std::uint64_t incarnation) {
        after(settings_.tick, [this, index, incarnation] {
            if (hosts_[index].incarnation != incarnation || !hosts_[index].logic) return;
            on_host(index, incarnation, [this, index](balancer& logic) {
                action_buffer out;
                logic.tick(out);
                perform(index, out);
            });
            if (hosts_[index].logic && hosts_[index].logic->finished()) return take_down(index);
            schedule_tick(index, incarnation);
        });
    }

    void take_down(std::size_t index) {
        hosts_[index].logic.reset();
        ++hosts_[index].incarnation;
    }

    // Runs use now, or when the pause of the host ends; then carries out what the host wants to do.
    void on_host(std::size_t index, std::uint64_t incarnation, const std::function<void(balancer&)>& use) {
        host& target = hosts_[index];
        if (!target.logic || target.incarnation != incarnation) return;
        if (target.paused_until > time_.steady_now()) {
            return at(target.paused_until, [this, index, incarnation, use] { on_host(index, incarnation, use); });
        }
        use(*target.logic);
        collect(index);
    }

    // For events that come from outside and do not know the incarnation of the host.
    void deliver_to_host(std::size_t index, const std::function<void(balancer&)>& use) {
        on_host(index, hosts_[index].incarnation, use);
    }

    void perform(std::size_t index, const action_buffer& out) {
        for (const auto& item : out.actions()) {
            bytes payload = copy(out.payload(item));
            switch (item.kind) {
            case action_kind::deliver:
                deliver_to_backend(index, item.destination, std::move(payload));
                break;
            case action_kind::relay:
                relay(index, item.destination, std::move(payload));
                break;
            case action_kind::reply_to_caller:
                reply_to_caller(std::move(payload));
                break;
            }
        }
    }

    void relay(std::size_t index, const endpoint& to, bytes payload) {
        const auto found = by_relay_.find(to);
        if (found == by_relay_.end()) return;
        ++relayed_;
        const std::size_t target = found->second;
        transmit(domain_of(index), domain_of(target),
                 [this, target, payload = std::make_shared<const bytes>(std::move(payload))] {
                     deliver_to_host(target, [this, target, payload](balancer& logic) {
                         action_buffer out;
                         logic.from_peer(*payload, out);
                         perform(target, out);
                     });
                 });
    }

    const std::string& domain_of(std::size_t index) const { return hosts_[index].settings.self.failure_domain; }

    void collect(std::size_t index) {
        if (!hosts_[index].logic || hosts_[index].logic->control() == nullptr) return;
        node&           logic = *hosts_[index].logic->control();
        control_actions actions = logic.take_actions();
        for (auto& message : actions.datagrams)
            send_control(index, std::move(message));
        for (const auto& probe : actions.probe_requests)
            answer_probe(index, probe);
        for (const auto& request : actions.store_requests)
            answer_store(index, request);
        for (auto& result : actions.change_results)
            finish_change(std::move(result));
        note_revision(index, logic.current().revision);
    }

    void send_control(std::size_t index, datagram message) {
        const auto found = by_control_.find(message.destination);
        if (found == by_control_.end()) return;
        const std::size_t target = found->second;
        const endpoint    from = hosts_[index].settings.self.control;
        transmit(domain_of(index), domain_of(target),
                 [this, target, from, payload = std::make_shared<const bytes>(std::move(message.bytes))] {
                     deliver_to_host(target, [from, payload](balancer& logic) { logic.from_control(*payload, from); });
                 });
    }

    // Revisions.

    void note_revision(std::size_t index, revision_number revision) {
        if (revision > newest_revision_) {
            newest_revision_ = revision;
            newest_accepted_at_ = time_.steady_now();
            converged_at_.reset();
        }
        host_revision_[index] = revision;
        if (converged_at_) return;
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            if (hosts_[i].logic && host_revision_[i] != newest_revision_) return;
        }
        converged_at_ = time_.steady_now();
    }

    // Operators.

    void submit(std::size_t index, const change_request& request) {
        pending_[request.operation_id] = request;
        deliver_to_host(index, [request](balancer& logic) {
            if (logic.control() != nullptr) logic.control()->submit(request);
        });
    }

    void finish_change(change_result result) {
        if (result.status == change_status::accepted) {
            if (const auto* drain = std::get_if<drain_backend>(&pending_[result.operation_id].requested_change)) {
                auto& target = find_backend(drain->service, drain->backend_server);
                if (!target.drained_at) target.drained_at = time_.steady_now();
            }
            if (const auto* undrain = std::get_if<undrain_backend>(&pending_[result.operation_id].requested_change)) {
                find_backend(undrain->service, undrain->backend_server).drained_at.reset();
            }
        }
        results_.push_back(std::move(result));
    }

    // Probes and platform.

    void answer_probe(std::size_t index, const probe_request& probe) {
        const auto*  target = backend_at(probe.target, &backend::health);
        probe_result result{probe.id, probe.backend_server, false, std::nullopt};
        duration     delay = probe.deadline;
        if (target != nullptr && target->up && connected(domain_of(index), target->failure_domain)) {
            delay = 2 * settings_.domain_delay;
            result.reachable = true;
            result.load = report_of(*target);
        }
        const std::uint64_t incarnation = hosts_[index].incarnation;
        after(delay, [this, index, incarnation, result] {
            on_host(index, incarnation, [result](balancer& logic) { logic.control()->probe_finished(result); });
        });
    }

    static std::optional<load_report> report_of(const backend& target) {
        const auto connections = static_cast<std::uint32_t>(target.open);
        switch (target.mode) {
        case reporting::truthful:
            return load_report{target.busy, target.slots, connections, target.waiting.size() > target.slots};
        case reporting::zero:
            return load_report{0, target.slots, 0, false};
        case reporting::constant:
            return load_report{1, target.slots, 1000, false};
        case reporting::missing:
            return std::nullopt;
        }
        return std::nullopt;
    }

    void answer_store(std::size_t index, const store_request& request) {
        ++store_calls_;
        if (request.operation == store_operation::compare_and_swap) ++store_writes_;
        const std::uint64_t incarnation = hosts_[index].incarnation;
        const bool          alone = cut_.contains(domain_of(index));
        store_response      response;
        response.id = request.id;
        duration delay = settings_.store_delay + jitter();
        if (store_down_ || alone) {
            response.status = store_status::unavailable;
            delay = request.deadline;
        } else if (request.operation == store_operation::watch) {
            return watch(index, incarnation, request);
        } else {
            response = apply(request);
            if (request.operation == store_operation::compare_and_swap && response.status == store_status::ok &&
                draw() < store_lost_answers_) {
                response.status = store_status::unknown_outcome;
                response.value = {};
                response.version = 0;
                delay = request.deadline;
            }
        }
        answer(index, incarnation, delay, std::move(response));
    }

    void answer(std::size_t index, std::uint64_t incarnation, duration delay, store_response response) {
        after(delay, [this, index, incarnation, response = std::move(response)] {
            on_host(index, incarnation, [response](balancer& logic) { logic.control()->store_answered(response); });
        });
    }

    store_response apply(const store_request& request) {
        store_response response;
        response.id = request.id;
        auto& stored = store_[request.key];
        switch (request.operation) {
        case store_operation::get:
            if (stored.version == 0) {
                response.status = store_status::not_found;
            } else if (!stored.history.empty() && draw() < store_stale_reads_) {
                response.value = stored.history.back();
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
            if (stored.version > 0) stored.history.assign(1, stored.value);
            stored.value = request.value;
            response.version = ++stored.version;
            return response;
        case store_operation::list:
            for (const auto& [key, value] : store_) {
                if (value.version > 0 && key.starts_with(request.key)) response.value += key + "\n";
            }
            return response;
        default:
            return response;
        }
    }

    void watch(std::size_t index, std::uint64_t incarnation, const store_request& request) {
        const steady_time deadline = time_.steady_now() + request.deadline;
        poll_watch(index, incarnation, request, deadline);
    }

    void poll_watch(std::size_t index, std::uint64_t incarnation, const store_request& request, steady_time deadline) {
        const auto&    stored = store_[request.key];
        store_response response;
        response.id = request.id;
        if (store_down_ || cut_.contains(domain_of(index))) {
            response.status = store_status::unavailable;
        } else if (stored.version > request.expected_version) {
            response.value = stored.value;
            response.version = stored.version;
        } else if (time_.steady_now() >= deadline) {
            response.status = store_status::unchanged;
        } else {
            constexpr duration watch_granularity = std::chrono::milliseconds(10);
            return after(watch_granularity, [this, index, incarnation, request, deadline] {
                poll_watch(index, incarnation, request, deadline);
            });
        }
        answer(index, incarnation, settings_.store_delay, std::move(response));
    }

    // Backend servers.

    backend& find_backend(const std::string& service, const std::string& name) {
        for (auto& item : backends_) {
            if (item->service == service && item->name == name) return *item;
        }
        LOG(FATAL) << "no backend server " << service << '/' << name;
    }

    backend* backend_at(const endpoint& where, endpoint backend::*field) {
        const auto& index = field == &backend::tunnel ? by_tunnel_ : by_health_;
        const auto  found = index.find(where);
        return found == index.end() ? nullptr : found->second;
    }

    void add_backend(backend added) {
        const auto number = static_cast<std::uint16_t>(backends_.size());
        added.tunnel = {ip_address::v4(0x7f020001), static_cast<std::uint16_t>(20'000 + 2 * number)};
        added.health = {ip_address::v4(0x7f020001), static_cast<std::uint16_t>(20'001 + 2 * number)};
        backends_.push_back(std::make_unique<backend>(std::move(added)));
        by_tunnel_[backends_.back()->tunnel] = backends_.back().get();
        by_health_[backends_.back()->health] = backends_.back().get();
    }

    void deliver_to_backend(std::size_t index, const endpoint& to, bytes payload) {
        backend* target = backend_at(to, &backend::tunnel);
        if (target == nullptr) return;
        transmit(domain_of(index), target->failure_domain,
                 [this, target, payload = std::move(payload)] { serve(*target, payload); });
    }

    void serve(backend& target, byte_view payload) {
        if (!target.up) return;
        const auto segment = standin::read_gue_segment(payload);
        if (!segment || segment->info.flow.protocol != transport::tcp) return;
        const std::string caller = segment->info.flow.source.to_string();
        const auto        known = by_source_.find(caller);
        if (known == by_source_.end()) return;
        note_receiver(*known->second, target, *segment);
        if (segment->info.syn) return accept(target, caller, *segment);
        const auto found = target.connections.find(caller);
        if (found == target.connections.end() || !found->second.open) {
            if (!segment->info.rst) reply(*segment, {standin::rst_flag, segment->info.acknowledgement, 0, {}});
            return;
        }
        if (segment->info.rst || segment->info.fin) {
            found->second.open = false;
            --target.open;
            if (segment->info.fin) {
                reply(*segment, {standin::ack_flag | standin::fin_flag,
                                 segment->info.acknowledgement,
                                 segment->info.sequence + 1,
                                 {}});
            }
            return;
        }
        if (!segment->payload.empty()) work(target, found->second, *segment);
    }

    void note_receiver(caller_flow& flow, const backend& target, const standin::received_segment& segment) {
        const bool counts = segment.info.syn || !segment.payload.empty();
        if (counts && flow.receivers.insert(&target).second && flow.receivers.size() == 2) ++doubled_[flow.group];
        if (callers_[flow.group].settings.service != target.service) ++wrong_service_[flow.group];
    }

    void accept(backend& target, const std::string& caller, const standin::received_segment& segment) {
        const auto [found, added] = target.connections.try_emplace(caller);
        if (added) target.accepted_at.push_back(time_.steady_now());
        if (added || !found->second.open) ++target.open;
        found->second.open = true;
        reply(segment, {standin::syn_flag | standin::ack_flag, 1, segment.info.sequence + 1, {}});
    }

    void work(backend& target, connection& state, const standin::received_segment& segment) {
        const std::uint64_t number = std::strtoull(std::string(segment.payload).c_str(), nullptr, 10);
        const std::string   text = target.service + " " + target.name + " " + std::to_string(number);
        const auto          size = static_cast<std::uint32_t>(segment.payload.size());
        const packet_info   info = segment.info;
        auto                answer = [this, info, text, size] {
            reply({info, 0, {}}, {standin::ack_flag, info.acknowledgement, info.sequence + size, text});
        };
        if (number <= state.last) return answer();
        state.last = number;
        ++state.executed;
        target.waiting.push_back(std::move(answer));
        start_work(target);
    }

    void start_work(backend& target) {
        while (target.busy < target.slots && !target.waiting.empty()) {
            auto finish = std::move(target.waiting.front());
            target.waiting.pop_front();
            ++target.busy;
            std::exponential_distribution<> length(1.0);
            const auto                      time = duration(
                                     static_cast<duration::rep>(static_cast<double>(target.service_time.count()) * length(random_)));
            after(time, [this, &target, finish = std::move(finish)] {
                --target.busy;
                if (target.up) finish();
                start_work(target);
            });
        }
    }

    void reply(const standin::received_segment& segment, const standin::tcp_segment& answer) {
        const flow_tuple back{segment.info.flow.protocol, segment.info.flow.destination, segment.info.flow.source};
        reply_to_caller(standin::make_gue_segment(back, answer));
    }

    void sample() {
        for (auto& item : backends_) {
            item->busy_sum += static_cast<double>(item->busy + item->waiting.size());
            ++item->samples;
        }
        for (auto& item : hosts_)
            sample_control(item);
        after(sample_period, [this] { sample(); });
    }

    void sample_control(host& item) {
        const steady_time now = time_.steady_now();
        if (item.logic && item.logic->control() != nullptr) {
            const std::uint64_t total = item.logic->control()->control_bytes_sent();
            item.window.emplace_back(now, total - item.bytes_before);
            item.window_bytes += total - item.bytes_before;
            item.bytes_before = total;
        }
        while (!item.window.empty() && item.window.front().first <= now - budget_window) {
            item.window_bytes -= item.window.front().second;
            item.window.pop_front();
        }
        largest_window_ = std::max(largest_window_, item.window_bytes);
    }

    // Callers.

    void add_callers(const caller_settings& settings) {
        callers_.push_back({settings, 0, time_.steady_now()});
        doubled_.push_back(0);
        wrong_service_.push_back(0);
        moved_.push_back(0);
        refused_delivered_.push_back(0);
        open_next(callers_.size() - 1);
    }

    void open_next(std::size_t group) {
        caller_group& from = callers_[group];
        if (!opening_ || from.opened >= from.settings.flows) return;
        ++from.opened;
        open_flow(group);
        std::exponential_distribution<> gap(from.settings.open_rate);
        after(seconds(gap(random_)), [this, group] { open_next(group); });
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
        flow->tuple.destination = callers_[group].settings.address;
        flow->source = flow->tuple.source.to_string();
        if (draw() < callers_[group].settings.short_share) flow->limit = callers_[group].settings.short_requests;
        by_source_.emplace(flow->source, flow.get());
        flows_.push_back(std::move(flow));
        send_current(*flows_.back());
        arm(*flows_.back(), first_timeout);
    }

    void send_current(caller_flow& flow) {
        switch (flow.state) {
        case phase::opening:
            return send(flow, standin::syn_flag, {});
        case phase::waiting:
            return send(flow, standin::ack_flag, std::to_string(flow.request));
        case phase::closing:
            return send(flow, standin::ack_flag | standin::fin_flag, {});
        default:
            return;
        }
    }

    // The fabric hands the packet to any host that is up: it notices a closed port, not a paused process.
    void send(caller_flow& flow, std::uint8_t flags, std::string_view payload) {
        ++packets_;
        bytes packet = standin::make_gue_segment(flow.tuple, {flags, flow.sequence, 2, payload});
        after(settings_.caller_delay + jitter(), [this, packet = std::move(packet)] { spray(packet); });
    }

    void spray(byte_view packet) {
        if (settings_.loss > 0 && draw() < settings_.loss) return;
        std::vector<std::size_t> up;
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            if (hosts_[i].logic) up.push_back(i);
        }
        if (up.empty()) return;
        const std::size_t chosen = up[std::uniform_int_distribution<std::size_t>(0, up.size() - 1)(random_)];
        auto              held = copy(packet);
        deliver_to_host(chosen, [this, chosen, held = std::move(held)](balancer& logic) {
            action_buffer out;
            logic.from_fabric(held, fabric_endpoint, out);
            perform(chosen, out);
        });
    }

    void arm(caller_flow& flow, duration delay) {
        const std::uint64_t number = ++flow.timer;
        after(delay, [this, &flow, number] {
            if (flow.timer == number) timer_fired(flow);
        });
    }

    void timer_fired(caller_flow& flow) {
        if (flow.state == phase::idle) return next_request(flow);
        if (flow.state > phase::closing) return;
        if (++flow.repeats > max_repeats) {
            if (flow.state == phase::opening) flow.state = phase::timed_out;
            if (flow.state == phase::waiting) flow.state = phase::silent;
            if (flow.state == phase::closing) flow.state = phase::finished;
            return;
        }
        send_current(flow);
        arm(flow, std::min(last_timeout, first_timeout * (1 << std::min(flow.repeats, 4U))));
    }

    void next_request(caller_flow& flow) {
        if ((flow.limit > 0 && flow.request >= flow.limit) || finishing_) return start_closing(flow);
        ++flow.request;
        flow.state = phase::waiting;
        flow.repeats = 0;
        send_current(flow);
        arm(flow, first_timeout);
    }

    void start_closing(caller_flow& flow) {
        flow.state = phase::closing;
        flow.repeats = 0;
        send_current(flow);
        arm(flow, first_timeout);
    }

    void reply_to_caller(bytes packet) {
        after(settings_.caller_delay + jitter(), [this, packet = std::move(packet)] { receive(packet); });
    }

    void receive(byte_view packet) {
        const auto segment = standin::read_gue_segment(packet);
        if (!segment) return;
        const auto found = by_source_.find(segment->info.flow.destination.to_string());
        if (found == by_source_.end() || segment->info.flow.source != found->second->tuple.destination) return;
        caller_flow& flow = *found->second;
        if ((segment->flags & standin::rst_flag) != 0) return receive_reset(flow);
        if ((segment->flags & standin::syn_flag) != 0) return receive_accept(flow);
        if ((segment->flags & standin::fin_flag) != 0 && flow.state == phase::closing) {
            flow.state = phase::finished;
            return;
        }
        if (!segment->payload.empty()) receive_answer(flow, segment->payload);
    }

    void receive_reset(caller_flow& flow) {
        if (flow.state == phase::opening) {
            flow.state = phase::refused;
            if (!flow.receivers.empty()) ++refused_delivered_[flow.group];
        } else if (flow.state == phase::closing) {
            flow.state = phase::finished;
        } else if (flow.state < phase::closing) {
            flow.state = phase::reset;
        }
    }

    void receive_accept(caller_flow& flow) {
        if (flow.state != phase::opening) return;
        ++flow.sequence;
        flow.established = true;
        next_request(flow);
    }

    void receive_answer(caller_flow& flow, std::string_view text) {
        const auto        first = text.find(' ');
        const auto        second = text.find(' ', first + 1);
        const std::string server(text.substr(first + 1, second - first - 1));
        const auto        number = std::strtoull(std::string(text.substr(second + 1)).c_str(), nullptr, 10);
        if (!flow.server.empty() && server != flow.server) ++moved_[flow.group];
        flow.server = server;
        if (flow.state != phase::waiting || number != flow.request) return;
        ++flow.answered;
        flow.sequence += static_cast<std::uint32_t>(std::to_string(number).size());
        flow.state = phase::idle;
        std::exponential_distribution<> pause(1.0);
        const double mean = std::chrono::duration<double>(callers_[flow.group].settings.request_interval).count();
        arm(flow, seconds(mean * pause(random_)));
    }

    void finish_flows() {
        opening_ = false;
        finishing_ = true;
        for (auto& flow : flows_) {
            if (flow->state == phase::idle) start_closing(*flow);
        }
    }

    // Data. Elements of flows_ and backends_ keep their address.

    static constexpr std::size_t max_seeds = 8;

    cluster_settings                              settings_;
    std::mt19937_64                               random_;
    manual_clock                                  time_;
    std::vector<event>                            queue_; // heap, earliest first
    std::uint64_t                                 order_ = 0;
    balancer_factory                              factory_;
    std::vector<host>                             hosts_;
    std::map<endpoint, std::size_t>               by_control_;
    std::map<endpoint, std::size_t>               by_relay_;
    std::map<std::size_t, revision_number>        host_revision_;
    revision_number                               newest_revision_ = 0;
    steady_time                                   newest_accepted_at_{};
    std::optional<steady_time>                    converged_at_;
    std::set<std::string>                         cut_;
    std::vector<std::unique_ptr<backend>>         backends_;
    std::map<endpoint, backend*>                  by_tunnel_;
    std::map<endpoint, backend*>                  by_health_;
    std::map<std::string, stored_value>           store_;
    bool                                          store_down_ = false;
    double                                        store_lost_answers_ = 0;
    double                                        store_stale_reads_ = 0;
    std::uint64_t                                 store_calls_ = 0;
    std::uint64_t                                 store_writes_ = 0;
    std::map<std::string, change_request>         pending_; // by operation id
    std::vector<change_result>                    results_;
    std::vector<caller_group>                     callers_;
    std::vector<std::unique_ptr<caller_flow>>     flows_;
    std::unordered_map<std::string, caller_flow*> by_source_;
    bool                                          opening_ = true;
    bool                                          finishing_ = false;
    std::uint64_t                                 packets_ = 0;
    std::uint64_t                                 relayed_ = 0;
    std::uint64_t                                 largest_window_ = 0;
    std::uint64_t                                 operations_ = 0;
    std::vector<std::uint64_t>                    doubled_; // by group of callers, as the next three
    std::vector<std::uint64_t>                    wrong_service_;
    std::vector<std::uint64_t>                    moved_;
    std::vector<std::uint64_t>                    refused_delivered_;
};

//----------------------------------------------------------------------------------------------------------------------
// Public functions
//----------------------------------------------------------------------------------------------------------------------

void balancer::from_control(byte_view datagram, const endpoint& from) {
    if (control() != nullptr) control()->receive_control(datagram, from);
}

cluster::cluster(const cluster_settings& settings) : impl_(std::make_unique<impl>(settings)) {}
cluster::~cluster() = default;

std::size_t cluster::add_host(const std::string& failure_domain) {
    return impl_->add_host(failure_domain);
}
void cluster::set_factory(balancer_factory factory) {
    impl_->factory_ = std::move(factory);
}
void cluster::start(std::size_t host) {
    impl_->start(host);
}
void cluster::crash(std::size_t host) {
    impl_->take_down(host);
}
void cluster::stop(std::size_t host) {
    impl_->deliver_to_host(host, [](balancer& logic) {
        if (logic.control() != nullptr) logic.control()->begin_stop();
    });
}
void cluster::pause(std::size_t host, duration time) {
    impl_->hosts_[host].paused_until = now() + time;
}
bool cluster::running(std::size_t host) const {
    return impl_->hosts_[host].logic != nullptr;
}
std::size_t cluster::hosts() const {
    return impl_->hosts_.size();
}
tamarack::node* cluster::node_of(std::size_t host) {
    return running(host) ? impl_->hosts_[host].logic->control() : nullptr;
}

void cluster::cut(const std::set<std::string>& failure_domains) {
    impl_->cut_ = failure_domains;
}
void cluster::heal() {
    impl_->cut_.clear();
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
void cluster::set_reporting(const std::string& service, const std::string& name, reporting mode) {
    impl_->find_backend(service, name).mode = mode;
}
void cluster::set_backend_up(const std::string& service, const std::string& name, bool up) {
    impl_->find_backend(service, name).up = up;
}
join_backend cluster::join_command(const std::string& service, const std::string& name, std::uint32_t weight) const {
    return {service, name, tunnel_of(service, name), health_of(service, name), weight, {}};
}

void cluster::submit(std::size_t host, change what, const std::string& operator_name, revision_number base_revision,
                     const std::string& operation_id) {
    const std::string id = operation_id.empty() ? "operation-" + std::to_string(++impl_->operations_) : operation_id;
    impl_->submit(host, {id, operator_name, base_revision, false, std::move(what)});
}
const std::vector<change_result>& cluster::results() const {
    return impl_->results_;
}

change_result cluster::change_now(std::size_t host, const change& what) {
    constexpr int     max_tries = 20;
    constexpr auto    step = std::chrono::milliseconds(50);
    constexpr int     max_steps = 400;
    const std::string id = "operation-" + std::to_string(++impl_->operations_);
    change_result     last;
    for (int i = 0; i < max_tries; ++i) {
        const std::size_t before = impl_->results_.size();
        impl_->submit(host, {id, "operator", 0, false, what});
        for (int j = 0; j < max_steps && impl_->results_.size() == before; ++j)
            run(step);
        if (impl_->results_.size() == before) continue;
        last = impl_->results_.back();
        if (last.status != change_status::outcome_unknown && last.status != change_status::store_unavailable)
            return last;
    }
    return last;
}

void cluster::set_store_outage(bool down) {
    impl_->store_down_ = down;
}
void cluster::set_store_lost_answers(double share) {
    impl_->store_lost_answers_ = share;
}
void cluster::set_store_stale_reads(double share) {
    impl_->store_stale_reads_ = share;
}
std::uint64_t cluster::store_calls() const {
    return impl_->store_calls_;
}
std::uint64_t cluster::store_writes() const {
    return impl_->store_writes_;
}
void cluster::put(const std::string& key, const std::string& value) {
    stored_value& stored = impl_->store_[key];
    stored.value = value;
    ++stored.version;
}

void cluster::add_callers(const caller_settings& settings) {
    impl_->add_callers(settings);
}
void cluster::stop_opening() {
    impl_->opening_ = false;
}
void cluster::finish_flows() {
    impl_->finish_flows();
}

void cluster::run(duration time) {
    impl_->run(time);
}
steady_time cluster::now() const {
    return impl_->time_.steady_now();
}

flow_totals cluster::totals(const std::string& service) const {
    flow_totals sum;
    for (std::size_t i = 0; i < impl_->callers_.size(); ++i) {
        if (!service.empty() && impl_->callers_[i].settings.service != service) continue;
        sum.doubled += impl_->doubled_[i];
        sum.wrong_service += impl_->wrong_service_[i];
        sum.moved += impl_->moved_[i];
        sum.refused_delivered += impl_->refused_delivered_[i];
    }
    for (const auto& flow : impl_->flows_) {
        if (!service.empty() && impl_->callers_[flow->group].settings.service != service) continue;
        ++sum.opened;
        sum.established += flow->established ? 1 : 0;
        sum.answered += flow->answered;
        sum.finished += flow->state == phase::finished ? 1 : 0;
        sum.refused += flow->state == phase::refused ? 1 : 0;
        sum.reset += flow->state == phase::reset ? 1 : 0;
        sum.silent += flow->state == phase::silent ? 1 : 0;
        sum.timed_out += flow->state == phase::timed_out ? 1 : 0;
    }
    return sum;
}

std::vector<backend_load> cluster::loads() const {
    std::vector<backend_load> result;
    for (const auto& item : impl_->backends_) {
        const double mean = item->samples == 0 ? 0 : item->busy_sum / static_cast<double>(item->samples);
        result.push_back({item->service, item->name, 0, item->accepted_at.size(), item->open, item->busy, mean});
    }
    return result;
}

void cluster::reset_load_samples() {
    for (auto& item : impl_->backends_) {
        item->busy_sum = 0;
        item->samples = 0;
    }
}

std::uint64_t cluster::packets_from_callers() const {
    return impl_->packets_;
}
std::uint64_t cluster::packets_relayed() const {
    return impl_->relayed_;
}
std::uint64_t cluster::control_bytes(std::size_t host) const {
    const auto& logic = impl_->hosts_[host].logic;
    return logic && logic->control() != nullptr ? logic->control()->control_bytes_sent() : 0;
}
std::uint64_t cluster::largest_control_window() const {
    return impl_->largest_window_;
}

std::uint64_t cluster::accepted_after_drain(duration bound) const {
    std::uint64_t late = 0;
    for (const auto& item : impl_->backends_) {
        if (!item->drained_at) continue;
        late +=
            static_cast<std::uint64_t>(std::count_if(item->accepted_at.begin(), item->accepted_at.end(),
                                                     [&](steady_time at) { return at > *item->drained_at + bound; }));
    }
    return late;
}

std::optional<duration> cluster::convergence() const {
    if (!impl_->converged_at_) return std::nullopt;
    return *impl_->converged_at_ - impl_->newest_accepted_at_;
}

} // namespace fakes
