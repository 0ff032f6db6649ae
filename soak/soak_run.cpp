// Injects the faults, simulates callers and backend servers, and checks the invariants of the balancers.
#include "soak/soak_run.h"

#include "soak/balancer_process.h"
#include "soak/flow_ends.h"
#include "soak/store_history.h"
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

constexpr duration      tick_interval = 5ms;
constexpr duration      readiness_interval = 500ms;
constexpr unsigned      failed_checks_to_leave_rotation = 2;
constexpr duration      flow_interval = 12ms;      // about 80 new flows per second
constexpr duration      program_load_time = 20ms;  // from exec until main has started, libraries included
constexpr duration      recovery_bound = 4s;       // after the latest fault; the two bounds below hold from then on
constexpr duration      drain_bound = 3s;          // no new flows to a draining backend server after this time
constexpr duration      configuration_bound = 3s;  // no new flows by an old configuration after this time
constexpr duration      lease_expiry = 2s;         // a failed backend server's registration disappears after this time
constexpr duration      evacuation_bound = 3s;     // no SYN to an evacuated failure domain after this time
constexpr duration      late_reset_allowance = 1s; // balancers may take a server for hanging for this long afterwards
constexpr duration      warmup_time = 3s;          // of the service with a warm-up limit
constexpr unsigned      warmup_flows_per_second = 2;
constexpr double        warmup_overrun = 1.5;
constexpr double        warmup_slack = 2.0;     // flows per second
constexpr duration      slow_work_time = 300ms; // of a request at a slow backend server
constexpr duration      surge_work_time = 30ms; // of a request while there are too many flows
constexpr duration      surge_flow_interval = 4ms;
constexpr duration      final_evacuation_time = 5s;      // of the evacuation after the last fault
constexpr duration      address_reuse_delay = 2s;        // until the address of a removed backend server is used again
constexpr std::uint16_t packet_port = 8172;              // on which balancers receive packets, and callers resets
constexpr std::uint32_t route_network = 0xc6120000;      // 198.18.0.0; the host number is the number of the route
constexpr std::size_t   hash_multiplier = 2'654'435'761; // Knuth's multiplicative hash
constexpr std::array    services = {"desk", "ledger"};
constexpr std::array    failure_domains = {"north", "south"};
constexpr std::array    route_priorities = {1U, 2U}; // of the routes that callers use

std::string evacuation_key(const std::string& failure_domain) {
    return "op/evacuate/" + failure_domain;
}

endpoint loopback(unsigned network, unsigned third_byte, unsigned fourth_byte, std::uint16_t port) {
    return {tamarack::ip_address::v4((127U << 24U) | (network << 16U) | (third_byte << 8U) | fourth_byte), port};
}

std::uint32_t ipv4_of(const endpoint& endpoint) {
    return packet::read_big_endian<std::uint32_t>(std::as_bytes(std::span(endpoint.address.bytes)), 12);
}

constexpr std::string_view request_id_field = "Attempt-Id: ";
constexpr unsigned         max_request_retransmissions = 4; // the caller gives up after them

std::string request_text(const caller_flow& flow) {
    return "GET / HTTP/1.1\r\n" + std::string(request_id_field) + flow.pending_request + "\r\n\r\n";
}

class soak_run {
public:
    explicit soak_run(const run_settings& settings);
    run_report run();

private:
    struct evacuation {
        steady_time                       written_at{};
        steady_time                       ends_at{};
        std::set<const balancer_process*> informed_balancers; // must know it; not those that started again since
    };

    void          on_tick();
    // Environment
    void          write_configuration(const std::string& service);
    void          add_backend(const std::string& service, const std::optional<endpoint>& address);
    void          register_backend(soak_backend& backend);
    void          remove_backend(soak_backend& backend);
    void          step_disturbance(soak_backend& backend);
    void          step_backends();
    void          step_balancers();
    void          step_process(balancer_process& balancer);
    void          start_balancer(balancer_process& balancer);
    void          check_readiness(unsigned index);
    // Faults
    void          inject_fault();
    void          record_fault(balancer_process& balancer) { balancer.last_fault_at = now(); }
    void          inject_process_fault(balancer_process& balancer);
    void          inject_connection_fault(balancer_process& balancer);
    void          inject_packet_fault(balancer_process& balancer);
    void          inject_store_fault();
    void          inject_backend_fault();
    void          end_store_fault();
    bool          restore_store(); // false: there is no copy of the age
    void          write_again();
    void          inject_load_fault(balancer_process& balancer);
    void          disturb_backend(soak_backend::disturbance disturbance);
    void          begin_evacuation(const std::string& failure_domain, duration time);
    void          end_evacuation(const std::string& failure_domain, bool is_known_everywhere);
    void          step_evacuations();
    void          note_informed_balancers(evacuation& order);
    bool          begin_final_evacuation();
    void          run_final_evacuation();
    // Flows
    void          start_flow();
    void          step_flows();
    void          step_opening(caller_flow& flow);
    void          step_open(caller_flow& flow);
    void          retransmit_request(caller_flow& flow);
    void          send(caller_flow& flow, std::uint8_t flags, const std::string& payload, unsigned retransmission);
    void          receive_at_callers();
    void          receive_at(soak_backend& backend);
    void          handle_syn(soak_backend& backend, const packet& received);
    void          handle_packet(soak_backend& backend, const packet& received);
    void          execute_request(soak_backend& backend, const packet& received);
    void          handle_reset(std::uint16_t port);
    void          send_answer(soak_backend& backend, const packet& received, std::uint8_t flags, std::uint32_t sequence,
                              const std::string& payload);
    void          handle_answer(const packet& received, const std::string& backend_id);
    // Invariants
    void          report_violation(const std::string& description);
    void          check_flow(const soak_backend& backend, const packet& received);
    void          check_placement(const soak_backend& backend, const caller_flow& flow, unsigned balancer_index,
                                  bool is_fixed_route);
    std::string   balancer_name(unsigned index) const { return balancers_[index]->name(); }
    bool          bounds_apply_to(unsigned balancer_index) const;
    void          check_warmup(soak_backend& backend, unsigned balancer_index);
    soak_backend* find_backend(const std::string& id);
    bool          is_usable(const soak_backend& backend) const;
    std::vector<soak_backend*> dispensable_backends();

    steady_time now() const { return time_.steady_now(); }
    unsigned    random_below(std::size_t count) { return static_cast<unsigned>(random_() % count); }
    bool        is_surge() const { return now() < surge_ends_at_; }
    bool        is_injecting_faults() const { return now() < fault_injection_ends_at_; }

    run_settings                                   settings_;
    tamarack::system_clock                         time_;
    std::mt19937_64                                random_;
    asio::io_context                               context_{1};
    standin::kv_store                              store_;
    standin::kv_server                             store_server_;
    asio::steady_timer                             tick_timer_{context_};
    std::vector<std::unique_ptr<balancer_process>> balancers_;
    std::vector<std::unique_ptr<soak_backend>>     backends_;
    std::vector<std::pair<endpoint, steady_time>>  released_addresses_; // each with the time of its reuse
    std::unique_ptr<tamarack::udp_socket>          caller_socket_;
    std::map<std::uint16_t, caller_flow>           flows_;             // by the caller's port
    std::map<std::string, std::string>             request_executors_; // executing backend server by request id
    tamarack::receive_batch                        batch_;
    run_report                                     report_;
    steady_time                                    started_at_{};
    steady_time                                    fault_injection_ends_at_{};
    steady_time                                    next_fault_at_{};
    steady_time                                    next_flow_at_{};
    steady_time                                    next_readiness_check_at_{};
    steady_time                                    last_store_fault_at_{};
    std::optional<steady_time>                     store_fault_ends_at_;
    store_history                                  store_copies_;
    std::optional<duration>                        restored_age_; // of the copy that the store returns with
    std::optional<steady_time>                     written_again_at_;
    std::map<std::string, evacuation>              evacuations_; // that the operator wants, by failure domain
    steady_time                                    surge_ends_at_{};
    std::string                                    configuration_; // as written last
    std::uint64_t                                  configuration_version_ = 0;
    std::string                                    changing_route_service_; // current service of route 2
    steady_time                                    changing_route_changed_at_{};
    std::uint16_t                                  last_caller_port_ = 1'024;
    std::uint64_t                                  last_request_id_ = 0;
    std::uint64_t                                  last_identity_ = 0x1000;
    unsigned                                       last_backend_number_ = 0;
};

//----------------------------------------------------------------------------------------------------------------------
// Environment
//----------------------------------------------------------------------------------------------------------------------

soak_run::soak_run(const run_settings& settings)
    : settings_(settings), random_(settings.seed),
      store_server_(context_, loopback(settings.network, 0, 1, 8169), store_, time_) {
    caller_socket_ = std::make_unique<tamarack::udp_socket>(
        tamarack::udp_socket::open(loopback(settings.network, 1, 1, packet_port)).value());
    const auto limit_setting = [&](double value) {
        return settings.has_load_faults ? std::to_string(value) : std::string();
    };
    std::string contacts;
    for (unsigned i = 0; i < 3; ++i)
        contacts += (i == 0 ? "" : ",") + loopback(settings.network, 2, i + 1, 8166).to_string();
    for (unsigned i = 0; i < settings.balancer_count; ++i) {
        balancers_.push_back(std::make_unique<balancer_process>(
            context_, balancer_settings{.program = settings.program,
                                        .folder = settings.folder,
                                        .host = {.name = "balancer-" + std::to_string(i + 1),
                                                 .failure_domain = failure_domains.at(i % failure_domains.size()),
                                                 .host = loopback(settings.network, 2, i + 1, 0).address,
                                                 .contacts = contacts,
                                                 .store = loopback(settings.network, 2, i + 1, 8169),
                                                 .warmup_overrun = limit_setting(warmup_overrun),
                                                 .warmup_slack = limit_setting(warmup_slack)},
                                        .store_address = loopback(settings.network, 0, 1, 8169)}));
    }
    for (unsigned i = 0; i < settings.backend_count; ++i)
        add_backend(services.at(i % services.size()), std::nullopt);
    write_configuration(services[0]);
}

// Route 1 keeps its service, route 2 gets the given one, and route 3 exists in versions with an even number only.
void soak_run::write_configuration(const std::string& service) {
    configuration_version_ += 1 + random_below(3);
    if (service != changing_route_service_) changing_route_changed_at_ = now();
    changing_route_service_ = service;
    const auto admission_fields = [this](int host) -> std::string {
        if (!settings_.has_load_faults) return "";
        if (host == 1) return ",\"priority\":1,\"aim_ms\":400,\"timeout_ms\":2000";
        return ",\"priority\":2,\"aim_ms\":1200,\"timeout_ms\":6000";
    };
    const auto route = [&](const char* name, int host, const std::string& route_service) {
        return std::string("{\"name\":\"") + name + "\",\"host\":\"198.18.0." + std::to_string(host) +
               "\",\"prefix\":\"/443/\",\"type\":\"idempotent\",\"service\":\"" + route_service + "\"" +
               admission_fields(host) + "}";
    };
    std::string routes = route("fixed", 1, services[0]) + "," + route("changing", 2, service);
    if (configuration_version_ % 2 == 0) routes += "," + route("passing", 3, services[1]);
    // The policy is that of the service of the fixed route, which always has flows.
    const std::string policies = !settings_.has_load_faults
                                     ? std::string()
                                     : std::string("{\"name\":\"") + services[0] +
                                           "\",\"warmup_s\":" + std::to_string(warmup_time / 1s) +
                                           ",\"warmup_per_s\":" + std::to_string(warmup_flows_per_second) + "}";
    configuration_ = "{\"version\":" + std::to_string(configuration_version_) + ",\"routes\":[" + routes +
                     "],\"services\":[" + policies + "],\"limits\":{\"idle_timeout_ms\":15000}}";
    store_.put("op/config", configuration_);
}

void soak_run::add_backend(const std::string& service, const std::optional<endpoint>& address) {
    auto backend = std::make_unique<soak_backend>();
    backend->identity = ++last_identity_;
    std::array<char, 20> id{};
    std::snprintf(id.data(), id.size(), "i-%llx", static_cast<unsigned long long>(backend->identity));
    backend->id = id.data();
    backend->service = service;
    backend->failure_domain = failure_domains.at(last_backend_number_ / services.size() % failure_domains.size());
    backend->address = address.value_or(loopback(settings_.network, 3, ++last_backend_number_, 8080));
    backend->socket = std::make_unique<tamarack::udp_socket>(tamarack::udp_socket::open(backend->address).value());
    const bool is_replacement = address.has_value();
    if (settings_.has_load_faults && is_replacement) {
        backend->failure_domain = failure_domains.at(random_below(failure_domains.size()));
        if (service == services[0]) backend->warmup.begin_start(now() + warmup_time);
    }
    register_backend(*backend);
    backends_.push_back(std::move(backend));
}

void soak_run::register_backend(soak_backend& backend) {
    const std::string state_name = backend.current_state == soak_backend::state::draining ? "draining" : "ready";
    store_.put("servers/" + backend.id,
               "{\"service\":\"" + backend.service + "\",\"address\":\"" + backend.address.to_string() +
                   "\",\"zone\":\"" + backend.failure_domain + "\",\"capacity\":2,\"state\":\"" + state_name +
                   "\",\"warmup_left_ms\":" + std::to_string(backend.warmup.remaining_after_start(now()) / 1ms) +
                   ",\"sequence\":" + std::to_string(++backend.registration_sequence) + "}");
    backend.changed_at = now();
}

void soak_run::remove_backend(soak_backend& backend) {
    store_.remove("servers/" + backend.id);
    backend.socket.reset();
    released_addresses_.emplace_back(backend.address, now() + address_reuse_delay);
}

void soak_run::step_backends() {
    for (auto& backend : backends_) {
        if (backend->socket) receive_at(*backend);
        if (backend->socket) step_disturbance(*backend);
        const bool is_removal_due =
            backend->current_state != soak_backend::state::active && now() >= backend->removal_at;
        if (is_removal_due && backend->socket) remove_backend(*backend);
    }
    // A new backend server takes over each released address, possibly for another service.
    std::erase_if(released_addresses_, [this](const auto& each) {
        if (now() < each.second) return false;
        add_backend(services.at(random_below(services.size())), each.first);
        return true;
    });
}

void soak_run::step_disturbance(soak_backend& backend) {
    if (backend.current_disturbance != soak_backend::disturbance::none && now() >= backend.disturbance_ends_at) {
        if (backend.is_hanging()) backend.last_hang_ended_at = now();
        backend.current_disturbance = soak_backend::disturbance::none;
    }
    if (!backend.is_alive()) backend.requests.clear();
    if (backend.is_hanging()) return;
    backend.requests.take_done(now(), [&](const std::string& id, const packet& request) {
        send_answer(backend, request, ack, request.acknowledged, id);
    });
}

void soak_run::step_process(balancer_process& balancer) {
    if (balancer.reap_predecessor()) record_fault(balancer); // its ports are free for the successor
    if (balancer.settings_complete_at && now() >= *balancer.settings_complete_at) {
        balancer.settings_complete_at.reset();
        balancer.write_settings(3);
        record_fault(balancer);
    }
    if (!balancer.is_running()) {
        if (balancer.restart_at && now() < *balancer.restart_at) return;
        balancer.restart_at.reset();
        return start_balancer(balancer);
    }
    const auto status = balancer.reap();
    if (!status) return;
    if (!balancer.is_stopping()) {
        report_violation("balancer " + balancer.name() + " exited unexpectedly, wait status " +
                         std::to_string(*status));
    }
    balancer.restart_at = now() + 300ms;
}

// Some starts find little: few descriptors, a log that is full, missing or not read, or a settings file that is just
// being written.
void soak_run::start_balancer(balancer_process& balancer) {
    standin::start_conditions conditions;
    const bool                has_trouble = settings_.has_start_faults && is_injecting_faults();
    switch (has_trouble ? random_below(8) : 7) {
    case 0:
        conditions.descriptor_limit = 32 + random_below(32);
        break;
    case 1:
        conditions.file_size_limit = 1'000 + random_below(20'000);
        break;
    case 2:
        conditions.has_standard_files = false;
        break;
    case 3:
        conditions.blocked_signal = SIGHUP;
        break;
    case 4:
        balancer.write_part_of_settings(random_below(400));
        balancer.settings_complete_at = now() + 50ms + std::chrono::milliseconds(random_below(1'500));
        break;
    case 5:
        conditions.is_log_unread = true;
        break;
    default:
        break;
    }
    balancer.start(now(), conditions);
    for (auto& [failure_domain, order] : evacuations_)
        order.informed_balancers.erase(&balancer);
}

void soak_run::step_balancers() {
    for (unsigned i = 0; i < balancers_.size(); ++i) {
        balancer_process& balancer = *balancers_[i];
        step_process(balancer);
        if (balancer.resume_at && now() >= *balancer.resume_at) {
            balancer.send_signal(SIGCONT);
            balancer.resume_at.reset();
            record_fault(balancer);
        }
        if (balancer.faults_end_at && now() >= *balancer.faults_end_at) {
            balancer.store_proxy.faults() = {};
            balancer.loss_percent = 0;
            balancer.duplication_percent = 0;
            balancer.faults_end_at.reset();
            record_fault(balancer);
        }
    }
    if (now() < next_readiness_check_at_) return;
    next_readiness_check_at_ = now() + readiness_interval;
    for (unsigned i = 0; i < balancers_.size(); ++i)
        check_readiness(i);
}

void soak_run::check_readiness(unsigned index) {
    namespace http = boost::beast::http;
    struct readiness_call {
        explicit readiness_call(asio::io_context& context) : stream(context) {}
        boost::beast::tcp_stream          stream;
        boost::beast::flat_buffer         buffer;
        http::request<http::empty_body>   request;
        http::response<http::string_body> response;
    };
    auto       call = std::make_shared<readiness_call>(context_);
    const auto on_result = [this, index](bool is_ready) {
        balancer_process& balancer = *balancers_[index];
        balancer.failed_readiness_checks = is_ready ? 0 : balancer.failed_readiness_checks + 1;
        if (is_ready) balancer.is_in_rotation = true;
        if (balancer.failed_readiness_checks >= failed_checks_to_leave_rotation) balancer.is_in_rotation = false;
    };
    const endpoint address = balancers_[index]->readiness_address();
    call->request = {http::verb::get, "/tamarackshore/ready", 11};
    call->stream.expires_after(400ms);
    call->stream.async_connect(
        {asio::ip::make_address(address.address.to_string()), address.port},
        [call, on_result](const boost::system::error_code& connect_error) {
            if (connect_error) return on_result(false);
            http::async_write(call->stream, call->request,
                              [call, on_result](const boost::system::error_code& write_error, std::size_t) {
                                  if (write_error) return on_result(false);
                                  http::async_read(
                                      call->stream, call->buffer, call->response,
                                      [call, on_result](const boost::system::error_code& read_error, std::size_t) {
                                          on_result(!read_error && call->response.result_int() == 200);
                                      });
                              });
        });
}

//----------------------------------------------------------------------------------------------------------------------
// Faults
//----------------------------------------------------------------------------------------------------------------------

void soak_run::inject_fault() {
    if (now() < next_fault_at_) return;
    next_fault_at_ = now() + 100ms + std::chrono::milliseconds(random_below(400));
    ++report_.injected_faults;
    balancer_process& balancer = *balancers_[random_below(balancers_.size())];
    if (settings_.has_load_faults && random_below(3) == 0) return inject_load_fault(balancer);
    switch (random_below(settings_.has_packet_faults ? 9 : 8)) {
    case 0:
    case 1:
        return inject_process_fault(balancer);
    case 2:
    case 3:
        return inject_connection_fault(balancer);
    case 4:
        return inject_store_fault();
    case 5:
    case 6:
        return inject_backend_fault();
    case 8:
        return inject_packet_fault(balancer);
    default:
        return write_configuration(services.at(random_below(services.size())));
    }
}

void soak_run::inject_process_fault(balancer_process& balancer) {
    if (!balancer.is_running() || balancer.is_stopping() || balancer.is_paused()) return;
    record_fault(balancer);
    switch (random_below(settings_.has_start_faults ? 6 : 5)) {
    case 0:
        return balancer.send_signal(SIGTERM);
    case 5:
        if (!balancer.has_predecessor()) balancer.begin_replacement();
        return;
    case 1:
        return balancer.send_signal(SIGKILL);
    case 2: // kills several balancers at once
        for (auto& each : balancers_) {
            if (random_below(2) == 0) continue;
            record_fault(*each);
            each->send_signal(SIGCONT);
            each->send_signal(SIGKILL);
        }
        return;
    case 3:
        balancer.write_settings(2 + random_below(3));
        // SIGHUP ends a process that has not installed its handler yet, which is no fault of the balancer.
        if (now() - balancer.started_at < program_load_time) return;
        return balancer.send_signal(SIGHUP);
    default:
        balancer.send_signal(SIGSTOP);
        balancer.resume_at = now() + 100ms + std::chrono::milliseconds(random_below(2'500));
    }
}

void soak_run::inject_connection_fault(balancer_process& balancer) {
    record_fault(balancer);
    balancer.faults_end_at = now() + 200ms + std::chrono::milliseconds(random_below(3'000));
    proxy_faults& faults = balancer.store_proxy.faults();
    switch (random_below(5)) {
    case 0:
        faults.delay = std::chrono::milliseconds(20 + random_below(400));
        return;
    case 1:
        faults.blackholes_to_server = true;
        return;
    case 2:
        faults.blackholes_to_client = true;
        return;
    case 3:
        faults.refuses_connections = true;
        return balancer.store_proxy.reset_connections();
    default:
        return balancer.store_proxy.blackhole_connections();
    }
}

void soak_run::inject_packet_fault(balancer_process& balancer) {
    constexpr unsigned max_percent = 60;
    record_fault(balancer);
    balancer.faults_end_at = now() + 200ms + std::chrono::milliseconds(random_below(3'000));
    (random_below(2) == 0 ? balancer.loss_percent : balancer.duplication_percent) = random_below(max_percent);
}

void soak_run::inject_store_fault() {
    last_store_fault_at_ = now();
    store_fault_ends_at_ = now() + 200ms + std::chrono::milliseconds(random_below(3'000));
    switch (random_below(settings_.has_restores ? 7 : 6)) {
    case 0:
        store_server_.fault = kv_fault::unavailable;
        return;
    case 1:
        store_server_.fault = kv_fault::rate_limited;
        return;
    case 2:
        store_server_.fault = kv_fault::unresponsive;
        return;
    case 3:
        store_server_.loses_write_answers = true;
        return;
    case 4:
        store_server_.withholds_events = true;
        return store_.drop_history();
    case 6:
        store_server_.fault = kv_fault::unavailable;
        restored_age_ = 500ms + std::chrono::milliseconds(random_below(6'000));
        return;
    default: // registrations expire during an outage of the store and come back when it ends
        store_server_.fault = kv_fault::unavailable;
        for (auto& backend : backends_) {
            if (backend->is_alive()) store_.remove("servers/" + backend->id);
        }
    }
}

// Backend servers without which each service keeps one that can take flows, so that they need not be refused.
std::vector<soak_backend*> soak_run::dispensable_backends() {
    std::vector<soak_backend*>         candidates;
    std::map<std::string, std::size_t> usable_per_service;
    for (auto& backend : backends_) {
        if (backend->current_state != soak_backend::state::active) continue;
        candidates.push_back(backend.get());
        if (is_usable(*backend)) ++usable_per_service[backend->service];
    }
    if (candidates.size() <= settings_.backend_count / 2) return {};
    std::erase_if(candidates,
                  [&](const soak_backend* each) { return is_usable(*each) && usable_per_service[each->service] < 2; });
    return candidates;
}

void soak_run::inject_backend_fault() {
    const std::vector<soak_backend*> candidates = dispensable_backends();
    if (candidates.empty()) return;
    soak_backend& backend = *candidates[random_below(candidates.size())];
    backend.changed_at = now();
    switch (random_below(3)) {
    case 0:
        backend.current_state = soak_backend::state::unresponsive;
        backend.removal_at = now() + lease_expiry;
        return;
    case 1:
        backend.current_state = soak_backend::state::crashed;
        backend.flows.clear();
        backend.removal_at = now() + lease_expiry;
        return;
    default:
        backend.current_state = soak_backend::state::draining;
        register_backend(backend);
        backend.removal_at = now() + drain_bound + 2s;
    }
}

void soak_run::inject_load_fault(balancer_process& balancer) {
    switch (random_below(6)) {
    case 0:
        return disturb_backend(soak_backend::disturbance::slow);
    case 1:
        return disturb_backend(soak_backend::disturbance::hanging);
    case 2:
        surge_ends_at_ = now() + 300ms + std::chrono::milliseconds(random_below(1'200));
        return;
    default:
        break;
    }
    const std::string failure_domain = failure_domains.at(random_below(failure_domains.size()));
    // Both failure domains are evacuated at once for a moment only.
    const bool        is_moment = !evacuations_.empty();
    begin_evacuation(failure_domain, 100ms + std::chrono::milliseconds(random_below(is_moment ? 500 : 4'400)));
    if (random_below(3) == 0) inject_process_fault(balancer);
}

void soak_run::disturb_backend(soak_backend::disturbance disturbance) {
    const std::vector<soak_backend*> candidates = dispensable_backends();
    if (candidates.empty()) return;
    soak_backend& backend = *candidates[random_below(candidates.size())];
    if (backend.current_disturbance != soak_backend::disturbance::none) return;
    backend.current_disturbance = disturbance;
    backend.disturbance_ends_at = now() + 500ms + std::chrono::milliseconds(random_below(3'500));
}

void soak_run::begin_evacuation(const std::string& failure_domain, duration time) {
    if (evacuations_.contains(failure_domain)) return;
    ++report_.evacuations;
    evacuations_[failure_domain] = {.written_at = now(), .ends_at = now() + time, .informed_balancers = {}};
    store_.put(evacuation_key(failure_domain), "{}");
}

void soak_run::end_evacuation(const std::string& failure_domain, bool is_known_everywhere) {
    evacuations_.erase(failure_domain);
    store_.remove(evacuation_key(failure_domain));
    for (auto& backend : backends_) {
        if (backend->failure_domain == failure_domain && backend->service == services[0])
            backend->warmup.begin_return(now() + warmup_time, is_known_everywhere);
    }
}

void soak_run::note_informed_balancers(evacuation& order) {
    if (now() - order.written_at <= evacuation_bound) return;
    for (unsigned i = 0; i < balancers_.size(); ++i) {
        if (bounds_apply_to(i)) order.informed_balancers.insert(balancers_[i].get());
    }
}

// A removal while the store lacks the key would be lost: balancers hold what the copy of a restored store lacks.
void soak_run::step_evacuations() {
    if (written_again_at_) return;
    for (const std::string failure_domain : failure_domains) {
        const auto found = evacuations_.find(failure_domain);
        if (found == evacuations_.end()) continue;
        note_informed_balancers(found->second);
        if (now() < found->second.ends_at) continue;
        end_evacuation(failure_domain, now() - found->second.written_at > evacuation_bound);
    }
}

// An evacuation for which the bounds hold everywhere, of a failure domain without which each service can take flows.
bool soak_run::begin_final_evacuation() {
    if (!evacuations_.empty()) return false;
    for (const std::string failure_domain : failure_domains) {
        const bool is_dispensable = std::ranges::all_of(services, [&](const std::string& service) {
            return std::ranges::any_of(backends_, [&](const auto& each) {
                return each->service == service && each->failure_domain != failure_domain && is_usable(*each);
            });
        });
        if (!is_dispensable) continue;
        begin_evacuation(failure_domain, final_evacuation_time);
        return true;
    }
    return false;
}

// In half of the runs the store is restored from a copy that is older than the evacuation. The operator takes longer to
// write again than balancers take to read the restored store.
void soak_run::run_final_evacuation() {
    constexpr unsigned max_attempts = 3;
    const auto         run_until = [this](steady_time time) {
        context_.run_for(std::chrono::duration_cast<std::chrono::milliseconds>(time - now()));
    };
    const steady_time ends_at = now() + 12s; // leaves time for the warm-up after the evacuation
    for (unsigned i = 0; i < max_attempts && !begin_final_evacuation(); ++i)
        run_until(now() + 1s);
    run_until(now() + evacuation_bound + 500ms);
    if (settings_.has_restores && !evacuations_.empty() && random_below(2) == 0) {
        last_store_fault_at_ = now();
        store_fault_ends_at_ = now() + 200ms;
        store_server_.fault = kv_fault::unavailable;
        restored_age_ = now() - evacuations_.begin()->second.written_at + 500ms;
        run_until(now() + 300ms);
        if (written_again_at_) written_again_at_ = now() + 3s;
    }
    run_until(ends_at);
}

// The store has lost what was written since the copy, until the operator and the backend servers write it again.
bool soak_run::restore_store() {
    const standin::kv_store* copy = store_copies_.copy_before(now() - *restored_age_);
    restored_age_.reset();
    if (copy == nullptr) return false;
    store_.restore(*copy);
    written_again_at_ = now() + 100ms + std::chrono::milliseconds(random_below(1'500));
    return true;
}

void soak_run::write_again() {
    if (!written_again_at_ || now() < *written_again_at_) return;
    written_again_at_.reset();
    last_store_fault_at_ = now();
    const auto configuration = store_.items().find("op/config");
    if (configuration == store_.items().end() || configuration->second.value != configuration_)
        store_.put("op/config", configuration_);
    for (const std::string failure_domain : failure_domains) {
        const bool is_wanted = evacuations_.contains(failure_domain);
        const bool is_stored = store_.items().contains(evacuation_key(failure_domain));
        if (is_wanted && !is_stored) store_.put(evacuation_key(failure_domain), "{}");
        if (!is_wanted && is_stored) end_evacuation(failure_domain, false);
    }
    for (auto& backend : backends_) {
        if (backend->is_alive()) register_backend(*backend);
        if (!backend->socket) store_.remove("servers/" + backend->id); // has left, and is only in the copy
    }
}

void soak_run::end_store_fault() {
    if (!store_fault_ends_at_ || now() < *store_fault_ends_at_) return;
    store_fault_ends_at_.reset();
    last_store_fault_at_ = now();
    store_server_.fault = kv_fault::none;
    store_server_.loses_write_answers = false;
    store_server_.withholds_events = false;
    if (restored_age_ && restore_store()) return;
    // An earlier fault that this one has replaced may have removed the registrations.
    for (auto& backend : backends_) {
        if (backend->is_alive() && !store_.items().contains("servers/" + backend->id)) register_backend(*backend);
    }
}

//----------------------------------------------------------------------------------------------------------------------
// Callers
//----------------------------------------------------------------------------------------------------------------------

void soak_run::start_flow() {
    caller_flow flow;
    flow.port = ++last_caller_port_;
    flow.route_index = random_below(2);
    flow.route_address = route_network + 1 + static_cast<std::uint32_t>(flow.route_index);
    flow.route_port = 443;
    flow.started_at = now();
    flow.sequence = static_cast<std::uint32_t>(random_());
    flow.remaining_requests = 1 + random_below(5);
    ++report_.opened_flows;
    send(flow, syn, {}, 0);
    flows_[flow.port] = flow;
}

void soak_run::send(caller_flow& flow, std::uint8_t flags, const std::string& payload, unsigned retransmission) {
    std::vector<unsigned> rotation;
    for (unsigned i = 0; i < balancers_.size(); ++i) {
        if (balancers_[i]->is_in_rotation) rotation.push_back(i);
    }
    flow.last_sent_at = now();
    if (rotation.empty()) return;
    // A modulo hash, as in the fabric: a change of the rotation moves nearly all flows to other balancers.
    const unsigned index = rotation[std::hash<std::uint16_t>()(flow.port) * hash_multiplier % rotation.size()];
    flow.balancer_index = index;
    if ((flags & syn) != 0) flow.syn_balancers.at(retransmission) = index;
    packet                  outgoing{.sequence = flow.sequence,
                                     .acknowledged = (flags & syn) != 0 ? retransmission : flow.acknowledged,
                                     .reference = flow.reference,
                                     .source_port = flow.port,
                                     .source = ipv4_of(caller_socket_->address()),
                                     .destination_port = flow.route_port,
                                     .destination = flow.route_address,
                                     .flags = flags,
                                     .payload = payload};
    const balancer_process& receiver = *balancers_[index];
    if (receiver.loss_percent > 0 && random_below(100) < receiver.loss_percent) return;
    const std::size_t datagram_count =
        receiver.duplication_percent > 0 && random_below(100) < receiver.duplication_percent ? 2 : 1;
    const auto                                     bytes = outgoing.encode();
    const std::vector<tamarack::outgoing_datagram> datagrams(datagram_count, {receiver.packets_address(), bytes});
    caller_socket_->send(datagrams);
}

void soak_run::step_flows() {
    if (now() >= next_flow_at_) {
        next_flow_at_ = now() + (is_surge() ? surge_flow_interval : flow_interval);
        start_flow();
    }
    for (auto& [port, flow] : flows_) {
        if (flow.current_state == caller_flow::state::opening) step_opening(flow);
        if (flow.current_state == caller_flow::state::open) step_open(flow);
    }
    std::erase_if(flows_, [this](const auto& each) {
        return each.second.current_state == caller_flow::state::closed && now() - each.second.last_sent_at > 3s;
    });
}

// Retransmits the SYN 200 ms and 600 ms after the first one, and gives up after 1.4 s.
void soak_run::step_opening(caller_flow& flow) {
    const duration since_last_packet = now() - flow.last_sent_at;
    if (now() - flow.started_at > 1'400ms) {
        flow.current_state = caller_flow::state::closed;
        ++report_.failed_flows;
    } else if (since_last_packet >= (flow.retransmissions == 0 ? 200ms : 400ms) && flow.retransmissions < 2) {
        send(flow, syn, {}, ++flow.retransmissions);
    }
}

void soak_run::step_open(caller_flow& flow) {
    if (!flow.pending_request.empty()) return retransmit_request(flow);
    if (now() < flow.next_request_at) return;
    if (flow.remaining_requests == 0) {
        send(flow, fin | ack, {}, 0);
        flow.current_state = caller_flow::state::closed;
        return;
    }
    --flow.remaining_requests;
    flow.retransmissions = 0;
    flow.pending_request = std::to_string(++last_request_id_);
    send(flow, ack, request_text(flow), 0);
}

// Waits 200 ms before the first retransmission, and doubles the wait with each further one.
void soak_run::retransmit_request(caller_flow& flow) {
    if (flow.retransmissions >= max_request_retransmissions) {
        flow.current_state = caller_flow::state::closed;
        ++report_.failed_flows;
    } else if (now() - flow.last_sent_at >= 200ms * (1U << flow.retransmissions)) {
        ++flow.retransmissions;
        send(flow, ack, request_text(flow), 0);
    }
}

void soak_run::handle_answer(const packet& received, const std::string& backend_id) {
    const auto found = flows_.find(received.destination_port);
    if (found == flows_.end() || found->second.current_state == caller_flow::state::closed) return;
    caller_flow& flow = found->second;
    flow.reference = received.reference;
    if ((received.flags & rst) != 0) {
        flow.current_state = caller_flow::state::closed;
        ++report_.failed_flows;
        return;
    }
    if ((received.flags & syn) != 0) {
        if (flow.current_state != caller_flow::state::opening) return;
        flow.current_state = caller_flow::state::open;
        flow.backend_id = backend_id;
        flow.acknowledged = received.sequence + 1;
        ++flow.sequence;
        send(flow, ack, {}, 0);
        flow.next_request_at = now();
        return;
    }
    if (flow.backend_id != backend_id)
        return report_violation("backend server " + backend_id + " answered on a flow of " + flow.backend_id);
    if (received.payload != flow.pending_request || flow.pending_request.empty()) return; // a duplicate answer
    flow.acknowledged = received.sequence + static_cast<std::uint32_t>(received.payload.size());
    flow.sequence += static_cast<std::uint32_t>(request_text(flow).size());
    flow.pending_request.clear();
    flow.next_request_at = now() + std::chrono::milliseconds(20 + random_below(400));
    ++report_.answered_requests;
    send(flow, ack, {}, 0);
}

// Balancers send callers nothing but resets.
void soak_run::receive_at_callers() {
    while (caller_socket_->receive(batch_).datagrams > 0) {
        for (const auto& item : batch_.items()) {
            const auto received = packet::decode(item.bytes);
            if (received && received->flags == rst) {
                handle_reset(received->destination_port);
            } else {
                report_violation("a balancer sent a caller a packet other than a reset");
            }
        }
    }
}

void soak_run::handle_reset(std::uint16_t port) {
    const auto found = flows_.find(port);
    if (found == flows_.end() || found->second.current_state == caller_flow::state::closed) return;
    caller_flow& flow = found->second;
    const auto*  backend = find_backend(flow.backend_id);
    if (flow.current_state == caller_flow::state::opening)
        ++report_.refused_syns.at(route_priorities.at(flow.route_index));
    const bool is_undisturbed =
        backend != nullptr && backend->is_alive() && !backend->was_hanging_since(now() - late_reset_allowance);
    if (flow.current_state == caller_flow::state::open && is_undisturbed) {
        report_violation("flow " + std::to_string(flow.port) + " was reset by " + balancer_name(flow.balancer_index) +
                         " while its backend server " + flow.backend_id + " was alive");
    }
    flow.current_state = caller_flow::state::closed;
    ++report_.failed_flows;
}

//----------------------------------------------------------------------------------------------------------------------
// Backend servers
//----------------------------------------------------------------------------------------------------------------------

void soak_run::receive_at(soak_backend& backend) {
    constexpr std::size_t identity_size = 8; // bytes
    while (backend.socket->receive(batch_).datagrams > 0) {
        std::vector<packet> packets;
        for (const auto& item : batch_.items()) {
            if (item.bytes.size() < identity_size) continue;
            const auto identity = packet::read_big_endian<std::uint64_t>(item.bytes, 0);
            const auto received = packet::decode(item.bytes.subspan(identity_size));
            if (received && (identity == 0 || identity == backend.identity)) packets.push_back(*received);
        }
        for (const packet& received : packets)
            handle_packet(backend, received);
    }
}

void soak_run::handle_packet(soak_backend& backend, const packet& received) {
    if (backend.current_state == soak_backend::state::unresponsive) return;
    if (backend.current_state == soak_backend::state::crashed) return send_answer(backend, received, rst, 0, {});
    if ((received.flags & syn) != 0) return handle_syn(backend, received);
    check_flow(backend, received);
    if (backend.is_hanging()) return;
    const auto found = backend.flows.find(received.source_port);
    if (found != backend.flows.end()) {
        found->second.is_open = true;
        if (!received.payload.empty()) execute_request(backend, received);
    } else if ((received.flags & fin) == 0) {
        send_answer(backend, received, rst, 0, {});
    }
}

// While its backend server is alive, the packets of an open flow must reach no other one.
void soak_run::check_flow(const soak_backend& backend, const packet& received) {
    const auto found = flows_.find(received.source_port);
    if (found == flows_.end() || found->second.current_state != caller_flow::state::open) return;
    if (found->second.backend_id == backend.id) return;
    const auto* flow_backend = find_backend(found->second.backend_id);
    if (flow_backend != nullptr && flow_backend->is_alive())
        report_violation("a packet of a flow of " + flow_backend->id + " was delivered to " + backend.id);
}

void soak_run::execute_request(soak_backend& backend, const packet& received) {
    const std::size_t start = received.payload.find(request_id_field) + request_id_field.size();
    const std::string id = received.payload.substr(start, received.payload.find('\r', start) - start);
    const auto [executor, is_first_execution] = request_executors_.emplace(id, backend.id);
    if (!is_first_execution && executor->second != backend.id)
        report_violation("request " + id + " was executed by " + executor->second + " and " + backend.id);
    const duration work = backend.current_disturbance == soak_backend::disturbance::slow ? slow_work_time
                          : is_surge()                                                   ? surge_work_time
                                                                                         : 0ms;
    if (work == 0ms) return send_answer(backend, received, ack, received.acknowledged, id);
    backend.requests.push(id, received, work, now());
}

void soak_run::handle_syn(soak_backend& backend, const packet& received) {
    const auto found = flows_.find(received.source_port);
    if (found == flows_.end()) return;
    // The copies of a SYN may have gone to different balancers.
    const unsigned balancer_index = found->second.syn_balancers.at(received.acknowledged);
    check_placement(backend, found->second, balancer_index, received.destination == route_network + 1);
    if (!backend.flows.contains(received.source_port)) check_warmup(backend, balancer_index);
    backend_flow& flow = backend.flows[received.source_port];
    if (backend.is_hanging()) return;
    if (flow.sequence == 0 && backend.requests.is_full()) {
        ++report_.overflowed_syns.at(route_priorities.at(found->second.route_index));
        return send_answer(backend, received, rst, 0, {});
    }
    if (flow.sequence == 0) flow.sequence = static_cast<std::uint32_t>(random_()) | 1U;
    send_answer(backend, received, syn | ack, flow.sequence, {});
}

// The time bounds apply only to placements by balancers that have had no fault for recovery_bound. A balancer that must
// know an evacuation keeps it whatever happens to its connections and to the store.
void soak_run::check_placement(const soak_backend& backend, const caller_flow& flow, unsigned balancer_index,
                               bool is_fixed_route) {
    if (is_fixed_route && backend.service != services[0])
        report_violation("a new flow of service desk was placed on " + backend.id + " of service " + backend.service);
    const auto evacuated = evacuations_.find(backend.failure_domain);
    if (evacuated != evacuations_.end() &&
        evacuated->second.informed_balancers.contains(balancers_[balancer_index].get())) {
        report_violation(backend.id + " got a SYN from " + balancer_name(balancer_index) +
                         " although evacuation_bound had passed since the evacuation of " + backend.failure_domain);
    }
    if (!bounds_apply_to(balancer_index)) return;
    if (backend.current_state == soak_backend::state::draining && flow.started_at - backend.changed_at > drain_bound) {
        report_violation(backend.id + " got a new flow from " + balancer_name(balancer_index) +
                         " although drain_bound had passed since it began to drain");
    }
    if (!is_fixed_route && backend.service != changing_route_service_ &&
        flow.started_at - changing_route_changed_at_ > configuration_bound) {
        report_violation(balancer_name(balancer_index) +
                         " placed a new flow by a configuration that was replaced longer ago than configuration_bound");
    }
}

// Holds for all balancers together, also for those with faults. But a balancer that has started after the end of an
// evacuation does not know of it (docs/design/warm-up-limit.md).
void soak_run::check_warmup(soak_backend& backend, unsigned balancer_index) {
    constexpr double limit = warmup_flows_per_second * warmup_overrun + warmup_slack;
    const bool       is_checked = backend.warmup.is_checked_after_start(now()) ||
                            (backend.warmup.is_checked_after_return(now()) && bounds_apply_to(balancer_index));
    if (!is_checked) return;
    const std::size_t new_flows = backend.warmup.note_new_flow(now());
    ++report_.warmup_flows;
    report_.busiest_warmup_second = std::max<std::uint64_t>(report_.busiest_warmup_second, new_flows);
    if (static_cast<double>(new_flows) > limit) {
        report_violation(backend.id + " got " + std::to_string(new_flows) +
                         " new flows in a second while it warmed up, the last one from " +
                         balancer_name(balancer_index));
    }
}

// Answers go to the caller directly, bypassing the balancers, as on the platform.
void soak_run::send_answer(soak_backend& backend, const packet& received, std::uint8_t flags, std::uint32_t sequence,
                           const std::string& payload) {
    const packet outgoing{.sequence = sequence,
                          .acknowledged = received.sequence + 1,
                          .reference = received.reference,
                          .source_port = received.destination_port,
                          .source = received.destination,
                          .destination_port = received.source_port,
                          .destination = received.source,
                          .flags = flags,
                          .payload = payload};
    handle_answer(outgoing, backend.id);
}

//----------------------------------------------------------------------------------------------------------------------
// Invariants
//----------------------------------------------------------------------------------------------------------------------

void soak_run::report_violation(const std::string& description) {
    const auto elapsed_ms = std::chrono::duration_cast<std::chrono::milliseconds>(now() - started_at_).count();
    report_.violations.push_back(std::to_string(elapsed_ms) + " ms: " + description);
}

bool soak_run::bounds_apply_to(unsigned balancer_index) const {
    const steady_time last_fault_at = std::max(last_store_fault_at_, balancers_[balancer_index]->last_fault_at);
    return !store_fault_ends_at_ && !written_again_at_ && !balancers_[balancer_index]->faults_end_at &&
           now() - last_fault_at > recovery_bound;
}

soak_backend* soak_run::find_backend(const std::string& id) {
    const auto found = std::ranges::find_if(backends_, [&](const auto& each) { return each->id == id; });
    return found == backends_.end() ? nullptr : found->get();
}

// It can take new flows without a limit.
bool soak_run::is_usable(const soak_backend& backend) const {
    return backend.current_state == soak_backend::state::active && !backend.warmup.is_active(now()) &&
           !backend.is_hanging();
}

void soak_run::on_tick() {
    tick_timer_.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(tick_interval));
    tick_timer_.async_wait([this](const boost::system::error_code& error) {
        if (error) return;
        store_server_.poll();
        receive_at_callers();
        step_backends();
        store_copies_.note(store_, now());
        write_again();
        step_evacuations();
        step_balancers();
        end_store_fault();
        if (is_injecting_faults()) inject_fault();
        step_flows();
        on_tick();
    });
}

run_report soak_run::run() {
    started_at_ = now();
    fault_injection_ends_at_ = started_at_ + 1s + settings_.fault_duration;
    next_fault_at_ = started_at_ + 1s;
    on_tick();
    context_.run_for(std::chrono::duration_cast<std::chrono::milliseconds>(settings_.fault_duration) + 5s);
    // No more faults: one change of the configuration and one of a backend server, for which the bounds hold
    // everywhere.
    write_configuration(services.at(configuration_version_ % 2));
    if (!backends_.empty()) inject_backend_fault();
    if (settings_.has_load_faults) {
        run_final_evacuation();
    } else {
        context_.run_for(std::chrono::duration_cast<std::chrono::milliseconds>(settings_.calm_duration) - 4s);
    }
    const std::uint64_t opened_flows_before = report_.opened_flows;
    const std::uint64_t failed_flows_before = report_.failed_flows;
    context_.run_for(2s);
    const std::uint64_t failed_flows = report_.failed_flows - failed_flows_before;
    if (failed_flows * 10 > report_.opened_flows - opened_flows_before) {
        report_violation(std::to_string(failed_flows) +
                         " flows failed in the last two seconds, long after the last fault");
    }
    if (report_.answered_requests == 0) report_violation("no request was answered");
    for (const auto& balancer : balancers_) {
        if (!balancer->is_in_rotation)
            report_violation("balancer " + balancer->name() + " is not ready, long after the last fault");
    }
    report_.store_calls = store_server_.call_count();
    return report_;
}

} // namespace

run_report run(const run_settings& settings) {
    return soak_run(settings).run();
}

} // namespace soak
