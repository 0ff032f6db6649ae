// Schedule of faults, the ends' behaviour, and the promises that are checked.
#include "soak/world.h"

#include "soak/balancer_process.h"
#include "soak/ends.h"
#include "standins/kv_server.h"
#include "tamarack/clock.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace soak {

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using standin::kv_fault;

constexpr duration      tick = 5ms;
constexpr duration      readiness_interval = 500ms;
constexpr unsigned      checks_to_leave = 2;
constexpr duration      flow_interval = 12ms; // about 80 new flows a second
constexpr duration      load_time = 20ms;     // of the program and its libraries
constexpr duration      contact_time = 4s;    // after the last fault the bounds hold
constexpr duration      drain_bound = 3s;
constexpr duration      configuration_bound = 3s;
constexpr duration      lease_silence = 2s;              // a crashed backend server's registration lapses
constexpr duration      reuse_time = 2s;                 // its address may be used again
constexpr std::uint16_t packet_port = 8172;              // of balancers, and of callers for packets to them
constexpr std::uint32_t route_network = 0xc6120000;      // 198.18.0.0
constexpr std::size_t   hash_multiplier = 2'654'435'761; // Knuth's multiplicative hash
constexpr std::array    services = {"desk", "ledger"};
constexpr std::array    domains = {"north", "south"};

endpoint loopback(unsigned network, unsigned third, unsigned fourth, std::uint16_t port) {
    return {tamarack::ip_address::v4((127U << 24U) | (network << 16U) | (third << 8U) | fourth), port};
}

std::uint32_t v4(const endpoint& where) {
    return packet::take<std::uint32_t>(std::as_bytes(std::span(where.address.bytes)), 12);
}

constexpr std::string_view id_field = "Attempt-Id: ";
constexpr unsigned         request_copies = 4; // then the caller gives up

std::string request_text(const caller_flow& flow) {
    return "GET / HTTP/1.1\r\n" + std::string(id_field) + flow.request + "\r\n\r\n";
}

class world {
public:
    explicit world(const run_settings& settings);
    run_report run();

private:
    void          on_tick();
    // Surroundings
    void          write_configuration(const std::string& service);
    void          add_backend(const std::string& service, const std::optional<endpoint>& address);
    void          register_backend(soak_backend& backend);
    void          end_backend(soak_backend& backend);
    void          step_backends();
    void          step_balancers();
    void          check_readiness(unsigned index);
    // Faults
    void          inject();
    void          disturb(balancer_process& balancer) { balancer.disturbed_at = now(); }
    void          harm_process(balancer_process& balancer);
    void          harm_connections(balancer_process& balancer);
    void          harm_packets(balancer_process& balancer);
    void          harm_store();
    void          harm_backend();
    void          end_faults();
    // Flows
    void          start_flow();
    void          step_flows();
    void          step_opening(caller_flow& flow);
    void          step_open(caller_flow& flow);
    void          repeat_request(caller_flow& flow);
    void          send(caller_flow& flow, std::uint8_t flags, const std::string& payload, unsigned copy);
    void          receive_at_callers();
    void          receive_at(soak_backend& backend);
    void          take_syn(soak_backend& backend, const packet& received);
    void          take_packet(soak_backend& backend, const packet& received);
    void          run_request(soak_backend& backend, const packet& received);
    void          take_reset(std::uint16_t port);
    void          answer(soak_backend& backend, const packet& received, std::uint8_t flags, std::uint32_t sequence,
                         const std::string& payload);
    void          take_answer(const packet& received, const std::string& backend);
    // Promises
    void          violated(const std::string& what);
    void          check_flow(const soak_backend& backend, const packet& received);
    void          check_placement(const soak_backend& backend, const caller_flow& flow, bool is_fixed_route);
    std::string   name_of(unsigned balancer) const { return balancers_[balancer]->settings().name; }
    bool          in_touch(unsigned balancer) const;
    soak_backend* find_backend(const std::string& id);

    steady_time now() const { return time_.steady_now(); }
    unsigned    pick(std::size_t count) { return static_cast<unsigned>(random_() % count); }
    bool        faults_on() const { return now() < faults_end_; }

    run_settings                                   settings_;
    tamarack::system_clock                         time_;
    std::mt19937_64                                random_;
    asio::io_context                               context_{1};
    standin::kv_store                              keys_;
    standin::kv_server                             store_;
    asio::steady_timer                             timer_{context_};
    std::vector<std::unique_ptr<balancer_process>> balancers_;
    std::vector<std::unique_ptr<soak_backend>>     backends_;
    std::vector<std::pair<endpoint, steady_time>>  free_addresses_; // with the time from which they may be used again
    std::unique_ptr<tamarack::udp_socket>          caller_socket_;
    std::map<std::uint16_t, caller_flow>           flows_; // by the caller's port
    std::map<std::string, std::string>             runs_;  // backend server by request
    tamarack::receive_batch                        batch_;
    run_report                                     report_;
    steady_time                                    started_{};
    steady_time                                    faults_end_{};
    steady_time                                    next_fault_{};
    steady_time                                    next_flow_{};
    steady_time                                    next_check_{};
    steady_time                                    store_disturbed_{};
    std::optional<steady_time>                     store_mend_at_;
    std::uint64_t                                  version_ = 0;
    std::string                                    route_service_; // of the route that changes
    steady_time                                    route_changed_{};
    std::uint16_t                                  last_port_ = 1'024;
    std::uint64_t                                  last_request_ = 0;
    std::uint64_t                                  last_identity_ = 0x1000;
    unsigned                                       last_backend_ = 0;
};

//----------------------------------------------------------------------------------------------------------------------
// Surroundings
//----------------------------------------------------------------------------------------------------------------------

world::world(const run_settings& settings)
    : settings_(settings), random_(settings.seed),
      store_(context_, loopback(settings.network, 0, 1, 8169), keys_, time_) {
    caller_socket_ = std::make_unique<tamarack::udp_socket>(
        tamarack::udp_socket::open(loopback(settings.network, 1, 1, packet_port)).value());
    std::string contacts;
    for (unsigned i = 0; i < 3; ++i)
        contacts += (i == 0 ? "" : ",") + loopback(settings.network, 2, i + 1, 8166).to_string();
    for (unsigned i = 0; i < settings.balancers; ++i) {
        const auto at = [&](std::uint16_t port) { return loopback(settings.network, 2, i + 1, port); };
        balancers_.push_back(std::make_unique<balancer_process>(
            context_, balancer_settings{.program = settings.program,
                                        .folder = settings.folder,
                                        .name = "balancer-" + std::to_string(i + 1),
                                        .failure_domain = domains.at(i % domains.size()),
                                        .packets = at(packet_port),
                                        .readiness = at(8167),
                                        .status = at(9109),
                                        .peers = at(7720),
                                        .proxy = at(8169),
                                        .store = loopback(settings.network, 0, 1, 8169),
                                        .contacts = contacts}));
    }
    for (unsigned i = 0; i < settings.backends; ++i)
        add_backend(services.at(i % services.size()), std::nullopt);
    write_configuration(services[0]);
}

// Route 1 stays, route 2 changes its service, route 3 is there with every second version.
void world::write_configuration(const std::string& service) {
    version_ += 1 + pick(3);
    if (service != route_service_) route_changed_ = now();
    route_service_ = service;
    const auto route = [](const char* name, int host, const std::string& to) {
        return std::string("{\"name\":\"") + name + "\",\"host\":\"198.18.0." + std::to_string(host) +
               "\",\"prefix\":\"/443/\",\"type\":\"idempotent\",\"service\":\"" + to + "\"}";
    };
    std::string routes = route("fixed", 1, services[0]) + "," + route("changing", 2, service);
    if (version_ % 2 == 0) routes += "," + route("passing", 3, services[1]);
    keys_.put("op/config", "{\"version\":" + std::to_string(version_) + ",\"routes\":[" + routes +
                               "],\"services\":[],\"limits\":{\"idle_timeout_ms\":15000}}");
}

void world::add_backend(const std::string& service, const std::optional<endpoint>& address) {
    auto backend = std::make_unique<soak_backend>();
    backend->identity = ++last_identity_;
    std::array<char, 20> id{};
    std::snprintf(id.data(), id.size(), "i-%llx", static_cast<unsigned long long>(backend->identity));
    backend->id = id.data();
    backend->service = service;
    backend->failure_domain = domains.at(last_backend_ / services.size() % domains.size());
    backend->address = address.value_or(loopback(settings_.network, 3, ++last_backend_, 8080));
    backend->socket = std::make_unique<tamarack::udp_socket>(tamarack::udp_socket::open(backend->address).value());
    register_backend(*backend);
    backends_.push_back(std::move(backend));
}

void world::register_backend(soak_backend& backend) {
    const std::string state = backend.at == soak_backend::state::draining ? "draining" : "ready";
    keys_.put("servers/" + backend.id,
              "{\"service\":\"" + backend.service + "\",\"address\":\"" + backend.address.to_string() +
                  "\",\"zone\":\"" + backend.failure_domain + "\",\"capacity\":2,\"state\":\"" + state +
                  "\",\"warmup_left_ms\":0,\"sequence\":" + std::to_string(++backend.sequence) + "}");
    backend.changed_at = now();
}

void world::end_backend(soak_backend& backend) {
    keys_.remove("servers/" + backend.id);
    backend.socket.reset();
    free_addresses_.emplace_back(backend.address, now() + reuse_time);
}

void world::step_backends() {
    for (auto& backend : backends_) {
        if (backend->socket) receive_at(*backend);
        const bool leaves = backend->at != soak_backend::state::active && now() >= backend->leaves_at;
        if (leaves && backend->socket) end_backend(*backend);
    }
    // Addresses are used again, by another service where it falls so.
    std::erase_if(free_addresses_, [this](const auto& each) {
        if (now() < each.second) return false;
        add_backend(services.at(pick(services.size())), each.first);
        return true;
    });
}

void world::step_balancers() {
    for (unsigned i = 0; i < balancers_.size(); ++i) {
        balancer_process& balancer = *balancers_[i];
        if (balancer.running()) {
            if (const auto status = balancer.collect()) {
                if (!balancer.stopping()) {
                    violated("balancer " + balancer.settings().name + " ended by itself, status " +
                             std::to_string(*status));
                }
                balancer.start_at = now() + 300ms;
            }
        } else if (!balancer.start_at || now() >= *balancer.start_at) {
            balancer.start_at.reset();
            balancer.start(now());
        }
        if (balancer.resume_at && now() >= *balancer.resume_at) {
            balancer.kill(SIGCONT);
            balancer.resume_at.reset();
            disturb(balancer);
        }
        if (balancer.mend_at && now() >= *balancer.mend_at) {
            balancer.to_store.faults() = {};
            balancer.lost_percent = 0;
            balancer.doubled_percent = 0;
            balancer.mend_at.reset();
            disturb(balancer);
        }
    }
    if (now() < next_check_) return;
    next_check_ = now() + readiness_interval;
    for (unsigned i = 0; i < balancers_.size(); ++i)
        check_readiness(i);
}

void world::check_readiness(unsigned index) {
    namespace http = boost::beast::http;
    struct check {
        explicit check(asio::io_context& context) : stream(context) {}
        boost::beast::tcp_stream          stream;
        boost::beast::flat_buffer         buffer;
        http::request<http::empty_body>   request;
        http::response<http::string_body> response;
    };
    auto       probe = std::make_shared<check>(context_);
    const auto done = [this, index](bool ready) {
        balancer_process& balancer = *balancers_[index];
        balancer.missed_checks = ready ? 0 : balancer.missed_checks + 1;
        if (ready) balancer.in_rotation = true;
        if (balancer.missed_checks >= checks_to_leave) balancer.in_rotation = false;
    };
    const endpoint& where = balancers_[index]->settings().readiness;
    probe->request = {http::verb::get, "/tamarackshore/ready", 11};
    probe->stream.expires_after(400ms);
    probe->stream.async_connect(
        {asio::ip::make_address(where.address.to_string()), where.port},
        [probe, done](const boost::system::error_code& error) {
            if (error) return done(false);
            http::async_write(probe->stream, probe->request,
                              [probe, done](const boost::system::error_code& failed, std::size_t) {
                                  if (failed) return done(false);
                                  http::async_read(probe->stream, probe->buffer, probe->response,
                                                   [probe, done](const boost::system::error_code& unread, std::size_t) {
                                                       done(!unread && probe->response.result_int() == 200);
                                                   });
                              });
        });
}

//----------------------------------------------------------------------------------------------------------------------
// Faults
//----------------------------------------------------------------------------------------------------------------------

void world::inject() {
    if (now() < next_fault_) return;
    next_fault_ = now() + 100ms + std::chrono::milliseconds(pick(400));
    ++report_.faults;
    balancer_process& balancer = *balancers_[pick(balancers_.size())];
    switch (pick(settings_.packet_faults ? 9 : 8)) {
    case 0:
    case 1:
        return harm_process(balancer);
    case 2:
    case 3:
        return harm_connections(balancer);
    case 4:
        return harm_store();
    case 5:
    case 6:
        return harm_backend();
    case 8:
        return harm_packets(balancer);
    default:
        return write_configuration(services.at(pick(services.size())));
    }
}

void world::harm_process(balancer_process& balancer) {
    if (!balancer.running() || balancer.stopping() || balancer.paused()) return;
    disturb(balancer);
    switch (pick(5)) {
    case 0:
        return balancer.kill(SIGTERM);
    case 1:
        return balancer.kill(SIGKILL);
    case 2: // many at once
        for (auto& each : balancers_) {
            if (pick(2) == 0) continue;
            disturb(*each);
            each->kill(SIGCONT);
            each->kill(SIGKILL);
        }
        return;
    case 3:
        balancer.write_settings(2 + static_cast<int>(pick(3)));
        // Before main it ends any program.
        if (now() - balancer.started_at < load_time) return;
        return balancer.kill(SIGHUP);
    default:
        balancer.kill(SIGSTOP);
        balancer.resume_at = now() + 100ms + std::chrono::milliseconds(pick(2'500));
    }
}

void world::harm_connections(balancer_process& balancer) {
    disturb(balancer);
    balancer.mend_at = now() + 200ms + std::chrono::milliseconds(pick(3'000));
    proxy_faults& faults = balancer.to_store.faults();
    switch (pick(5)) {
    case 0:
        faults.delay = std::chrono::milliseconds(20 + pick(400));
        return;
    case 1:
        faults.silent_to_server = true;
        return;
    case 2:
        faults.silent_to_client = true;
        return;
    case 3:
        faults.refuse = true;
        return balancer.to_store.reset_connections();
    default:
        return balancer.to_store.silence_connections();
    }
}

void world::harm_packets(balancer_process& balancer) {
    constexpr unsigned most_percent = 60;
    disturb(balancer);
    balancer.mend_at = now() + 200ms + std::chrono::milliseconds(pick(3'000));
    (pick(2) == 0 ? balancer.lost_percent : balancer.doubled_percent) = pick(most_percent);
}

void world::harm_store() {
    store_disturbed_ = now();
    store_mend_at_ = now() + 200ms + std::chrono::milliseconds(pick(3'000));
    switch (pick(6)) {
    case 0:
        store_.fault = kv_fault::busy;
        return;
    case 1:
        store_.fault = kv_fault::over_rate;
        return;
    case 2:
        store_.fault = kv_fault::silent;
        return;
    case 3:
        store_.lose_write_answers = true;
        return;
    case 4:
        store_.hold_events = true;
        return keys_.drop_history();
    default: // registrations lapse while the store is away; they are back when it returns
        store_.fault = kv_fault::busy;
        for (auto& backend : backends_) {
            if (backend->alive()) keys_.remove("servers/" + backend->id);
        }
    }
}

void world::harm_backend() {
    std::vector<soak_backend*>         active;
    std::map<std::string, std::size_t> of_service;
    for (auto& backend : backends_) {
        if (backend->at != soak_backend::state::active) continue;
        active.push_back(backend.get());
        ++of_service[backend->service];
    }
    if (active.size() <= settings_.backends / 2) return;
    // Each service keeps one: without any its flows can only be refused.
    std::erase_if(active, [&](const soak_backend* each) { return of_service[each->service] < 2; });
    soak_backend& backend = *active[pick(active.size())];
    backend.changed_at = now();
    switch (pick(3)) {
    case 0:
        backend.at = soak_backend::state::dark;
        backend.leaves_at = now() + lease_silence;
        return;
    case 1:
        backend.at = soak_backend::state::crashed;
        backend.flows.clear();
        backend.leaves_at = now() + lease_silence;
        return;
    default:
        backend.at = soak_backend::state::draining;
        register_backend(backend);
        backend.leaves_at = now() + drain_bound + 2s;
    }
}

void world::end_faults() {
    if (!store_mend_at_ || now() < *store_mend_at_) return;
    store_mend_at_.reset();
    store_disturbed_ = now();
    store_.fault = kv_fault::none;
    store_.lose_write_answers = false;
    store_.hold_events = false;
    for (auto& backend : backends_) {
        if (backend->alive() && !keys_.items().contains("servers/" + backend->id)) register_backend(*backend);
    }
}

//----------------------------------------------------------------------------------------------------------------------
// Callers
//----------------------------------------------------------------------------------------------------------------------

void world::start_flow() {
    caller_flow flow;
    flow.port = ++last_port_;
    flow.route_address = route_network + 1 + pick(2);
    flow.route_port = 443;
    flow.started = now();
    flow.sequence = static_cast<std::uint32_t>(random_());
    flow.requests_left = 1 + pick(5);
    ++report_.flows;
    send(flow, syn, {}, 0);
    flows_[flow.port] = flow;
}

void world::send(caller_flow& flow, std::uint8_t flags, const std::string& payload, unsigned copy) {
    std::vector<unsigned> rotation;
    for (unsigned i = 0; i < balancers_.size(); ++i) {
        if (balancers_[i]->in_rotation) rotation.push_back(i);
    }
    flow.sent_at = now();
    if (rotation.empty()) return;
    // Nearly all flows move when the rotation changes, as with the fabric's hash.
    const unsigned index = rotation[std::hash<std::uint16_t>()(flow.port) * hash_multiplier % rotation.size()];
    flow.balancer = index;
    packet                  out{.sequence = flow.sequence,
                                .acknowledged = (flags & syn) != 0 ? copy : flow.acknowledged,
                                .echo = flow.echo,
                                .source_port = flow.port,
                                .source = v4(caller_socket_->address()),
                                .destination_port = flow.route_port,
                                .destination = flow.route_address,
                                .flags = flags,
                                .payload = payload};
    const balancer_process& taker = *balancers_[index];
    if (taker.lost_percent > 0 && pick(100) < taker.lost_percent) return;
    const std::size_t times = taker.doubled_percent > 0 && pick(100) < taker.doubled_percent ? 2 : 1;
    const auto        bytes = out.encode();
    const std::vector<tamarack::outgoing_datagram> datagrams(times, {taker.settings().packets, bytes});
    caller_socket_->send(datagrams);
}

void world::step_flows() {
    if (now() >= next_flow_) {
        next_flow_ = now() + flow_interval;
        start_flow();
    }
    for (auto& [port, flow] : flows_) {
        if (flow.at == caller_flow::state::opening) step_opening(flow);
        if (flow.at == caller_flow::state::open) step_open(flow);
    }
    std::erase_if(flows_, [this](const auto& each) {
        return each.second.at == caller_flow::state::closed && now() - each.second.sent_at > 3s;
    });
}

// Copies of the SYN after 200 ms and 600 ms; the attempt ends after 1.4 s.
void world::step_opening(caller_flow& flow) {
    const duration silent = now() - flow.sent_at;
    if (now() - flow.started > 1'400ms) {
        flow.at = caller_flow::state::closed;
        ++report_.failed;
    } else if (silent >= (flow.copies == 0 ? 200ms : 400ms) && flow.copies < 2) {
        send(flow, syn, {}, ++flow.copies);
    }
}

void world::step_open(caller_flow& flow) {
    if (!flow.request.empty()) return repeat_request(flow);
    if (now() < flow.next_request) return;
    if (flow.requests_left == 0) {
        send(flow, fin | ack, {}, 0);
        flow.at = caller_flow::state::closed;
        return;
    }
    --flow.requests_left;
    flow.copies = 0;
    flow.request = std::to_string(++last_request_);
    send(flow, ack, request_text(flow), 0);
}

// After 200 ms, doubling.
void world::repeat_request(caller_flow& flow) {
    if (flow.copies >= request_copies) {
        flow.at = caller_flow::state::closed;
        ++report_.failed;
    } else if (now() - flow.sent_at >= 200ms * (1U << flow.copies)) {
        ++flow.copies;
        send(flow, ack, request_text(flow), 0);
    }
}

void world::take_answer(const packet& received, const std::string& backend) {
    const auto found = flows_.find(received.destination_port);
    if (found == flows_.end() || found->second.at == caller_flow::state::closed) return;
    caller_flow& flow = found->second;
    flow.echo = received.echo;
    if ((received.flags & rst) != 0) {
        flow.at = caller_flow::state::closed;
        ++report_.failed;
        return;
    }
    if ((received.flags & syn) != 0) {
        if (flow.at != caller_flow::state::opening) return;
        flow.at = caller_flow::state::open;
        flow.backend = backend;
        flow.acknowledged = received.sequence + 1;
        ++flow.sequence;
        send(flow, ack, {}, 0);
        flow.next_request = now();
        return;
    }
    if (flow.backend != backend) return violated("an answer of " + backend + " on a flow of " + flow.backend);
    if (received.payload != flow.request || flow.request.empty()) return; // a repeated answer
    flow.acknowledged = received.sequence + static_cast<std::uint32_t>(received.payload.size());
    flow.sequence += static_cast<std::uint32_t>(request_text(flow).size());
    flow.request.clear();
    flow.next_request = now() + std::chrono::milliseconds(20 + pick(400));
    ++report_.answered;
    send(flow, ack, {}, 0);
}

// What balancers send to callers are resets only.
void world::receive_at_callers() {
    while (caller_socket_->receive(batch_).datagrams > 0) {
        for (const auto& item : batch_.items()) {
            const auto received = packet::decode(item.bytes);
            if (received && received->flags == rst) {
                take_reset(received->destination_port);
            } else {
                violated("a balancer sent a caller something else than a reset");
            }
        }
    }
}

void world::take_reset(std::uint16_t port) {
    const auto found = flows_.find(port);
    if (found == flows_.end() || found->second.at == caller_flow::state::closed) return;
    caller_flow& flow = found->second;
    const auto*  backend = find_backend(flow.backend);
    if (flow.at == caller_flow::state::open && backend != nullptr && backend->alive()) {
        violated("flow " + std::to_string(flow.port) + " was reset by " + name_of(flow.balancer) +
                 " while its backend server " + flow.backend + " lives");
    }
    flow.at = caller_flow::state::closed;
    ++report_.failed;
}

//----------------------------------------------------------------------------------------------------------------------
// Backend servers
//----------------------------------------------------------------------------------------------------------------------

void world::receive_at(soak_backend& backend) {
    constexpr std::size_t identity_size = 8; // bytes
    while (backend.socket->receive(batch_).datagrams > 0) {
        std::vector<packet> packets;
        for (const auto& item : batch_.items()) {
            if (item.bytes.size() < identity_size) continue;
            const auto identity = packet::take<std::uint64_t>(item.bytes, 0);
            const auto received = packet::decode(item.bytes.subspan(identity_size));
            if (received && (identity == 0 || identity == backend.identity)) packets.push_back(*received);
        }
        for (const packet& received : packets)
            take_packet(backend, received);
    }
}

void world::take_packet(soak_backend& backend, const packet& received) {
    if (backend.at == soak_backend::state::dark) return;
    if (backend.at == soak_backend::state::crashed) return answer(backend, received, rst, 0, {});
    if ((received.flags & syn) != 0) return take_syn(backend, received);
    check_flow(backend, received);
    const auto found = backend.flows.find(received.source_port);
    if (found != backend.flows.end()) {
        found->second.open = true;
        if (!received.payload.empty()) run_request(backend, received);
    } else if ((received.flags & fin) == 0) {
        answer(backend, received, rst, 0, {});
    }
}

// An open flow's packets go to its own backend server only, as long as that lives.
void world::check_flow(const soak_backend& backend, const packet& received) {
    const auto found = flows_.find(received.source_port);
    if (found == flows_.end() || found->second.at != caller_flow::state::open) return;
    if (found->second.backend == backend.id) return;
    const auto* own = find_backend(found->second.backend);
    if (own != nullptr && own->alive()) violated("a packet of a flow of " + own->id + " reached " + backend.id);
}

void world::run_request(soak_backend& backend, const packet& received) {
    const std::size_t start = received.payload.find(id_field) + id_field.size();
    const std::string id = received.payload.substr(start, received.payload.find('\r', start) - start);
    const auto [run, first] = runs_.emplace(id, backend.id);
    if (!first && run->second != backend.id)
        violated("request " + id + " ran at " + run->second + " and " + backend.id);
    answer(backend, received, ack, received.acknowledged, id);
}

void world::take_syn(soak_backend& backend, const packet& received) {
    const auto found = flows_.find(received.source_port);
    if (found == flows_.end()) return;
    check_placement(backend, found->second, received.destination == route_network + 1);
    backend_flow& opened = backend.flows[received.source_port];
    if (opened.sequence == 0) opened.sequence = static_cast<std::uint32_t>(random_()) | 1U;
    answer(backend, received, syn | ack, opened.sequence, {});
}

// The bounds hold for hosts that were left alone for a while.
void world::check_placement(const soak_backend& backend, const caller_flow& flow, bool is_fixed_route) {
    if (is_fixed_route && backend.service != services[0])
        violated("a flow of service desk reached " + backend.id + " of " + backend.service);
    if (!in_touch(flow.balancer)) return;
    if (backend.at == soak_backend::state::draining && flow.started - backend.changed_at > drain_bound) {
        violated(backend.id + " got a new flow from " + name_of(flow.balancer) + " too long after it began to drain");
    }
    if (!is_fixed_route && backend.service != route_service_ && flow.started - route_changed_ > configuration_bound)
        violated(name_of(flow.balancer) + " placed a flow by an old configuration");
}

// Straight to the caller, as on the platform.
void world::answer(soak_backend& backend, const packet& received, std::uint8_t flags, std::uint32_t sequence,
                   const std::string& payload) {
    const packet out{.sequence = sequence,
                     .acknowledged = received.sequence + 1,
                     .echo = received.echo,
                     .source_port = received.destination_port,
                     .source = received.destination,
                     .destination_port = received.source_port,
                     .destination = received.source,
                     .flags = flags,
                     .payload = payload};
    take_answer(out, backend.id);
}

//----------------------------------------------------------------------------------------------------------------------
// Promises
//----------------------------------------------------------------------------------------------------------------------

void world::violated(const std::string& what) {
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(now() - started_).count();
    report_.violations.push_back(std::to_string(at) + " ms: " + what);
}

bool world::in_touch(unsigned balancer) const {
    const steady_time disturbed = std::max(store_disturbed_, balancers_[balancer]->disturbed_at);
    return !store_mend_at_ && !balancers_[balancer]->mend_at && now() - disturbed > contact_time;
}

soak_backend* world::find_backend(const std::string& id) {
    const auto found = std::ranges::find_if(backends_, [&](const auto& each) { return each->id == id; });
    return found == backends_.end() ? nullptr : found->get();
}

void world::on_tick() {
    timer_.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(tick));
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (error) return;
        store_.poll();
        receive_at_callers();
        step_backends();
        step_balancers();
        end_faults();
        if (faults_on()) inject();
        step_flows();
        on_tick();
    });
}

run_report world::run() {
    started_ = now();
    faults_end_ = started_ + 1s + settings_.faults_for;
    next_fault_ = started_ + 1s;
    on_tick();
    context_.run_for(std::chrono::duration_cast<std::chrono::milliseconds>(settings_.faults_for) + 5s);
    // Calm: changes go on, and the bounds hold for all.
    write_configuration(services.at(version_ % 2));
    if (!backends_.empty()) harm_backend();
    context_.run_for(std::chrono::duration_cast<std::chrono::milliseconds>(settings_.calm_for) - 4s);
    const std::uint64_t flows = report_.flows;
    const std::uint64_t failed = report_.failed;
    context_.run_for(2s);
    const std::uint64_t lost = report_.failed - failed;
    if (lost * 10 > report_.flows - flows)
        violated(std::to_string(lost) + " flows failed in the last two seconds, long after the last fault");
    if (report_.answered == 0) violated("no request was answered");
    report_.store_calls = store_.calls();
    return report_;
}

} // namespace

run_report run(const run_settings& settings) {
    return world(settings).run();
}

} // namespace soak
