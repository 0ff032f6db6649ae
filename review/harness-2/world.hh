// The platform around the entry balancers: their processes, the routers, clients and targets (SYSTEM.md, PROTOCOL.md,
// DEPLOY.md). One thread runs all but the store and the readiness checks.
#pragma once

#include "store.hh"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <memory>
#include <set>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

namespace rv {

constexpr std::uint16_t datagram_port = 8172;
constexpr double        client_delay = 0.003; // one way, between a client and the platform
constexpr double        probe_interval = 0.5;
constexpr unsigned      misses_to_leave = 2;
constexpr unsigned      target_retransmissions = 8;

struct world_settings {
    std::vector<std::string> zones;
    std::vector<unsigned>    machines_per_zone;
    double                   heartbeat = 0.77;      // seconds
    std::string              extra_limits;          // lines of the settings' [limits]
    bool                     has_log_pipes = false; // a collector reads the logs of the processes from pipes
};

// A client attempt to open a flow and to send requests on it.
struct client_flow {
    enum class state { opening, open, closed };

    std::uint64_t number = 0;
    unsigned      zone = 0;
    std::uint32_t client = 0; // address
    std::uint16_t port = 0;
    std::uint32_t route = 0; // address
    std::uint16_t route_port = 0;
    std::string   service; // that the route names
    state         current = state::opening;
    double        started_at = 0;
    double        opened_at = 0;
    std::uint32_t seq = 0; // next byte to send
    std::uint32_t acknowledged = 0;
    std::uint32_t echo = 0;
    unsigned      syn_copies = 0;
    int           target = -1; // that has the flow
    unsigned      requests_left = 1;
    double        pause = 0.5; // seconds between an answer and the next request
    double        time_limit = 2.5;
    std::string   pending_id; // of the request without an answer; empty: none
    std::string   pending_data;
    double        request_sent_at = 0;
    double        last_sent_at = 0;
    unsigned      retransmissions = 0;
    int           machine = -1; // that got the last packet
    std::set<int> machines;     // that got packets
    std::string   end;          // why it was closed
};

struct target_flow {
    std::uint32_t client_seq = 0; // of the SYN
    std::uint32_t seq = 0;        // next byte to send
    std::uint32_t syn_seq = 0;    // of the SYN+ACK
    std::uint32_t expected = 0;   // next byte of the client
    std::uint32_t echo = 0;
    bool          is_open = false;
    bool          is_ended = false;
    std::string   unacknowledged; // the response that the client has not acknowledged
    std::uint32_t unacknowledged_seq = 0;
    bool          closes = false; // the response ends with a FIN
    double        opened_at = 0;
};

struct target {
    unsigned      number = 0;
    std::string   id;
    std::uint64_t identity = 0;
    std::string   service;
    std::string   zone;
    std::uint32_t address = 0;
    int           socket = -1;
    unsigned      slots = 3;
    double        work = 0.055; // seconds, mean
    std::uint64_t born = 0;     // Unix milliseconds
    std::uint64_t sequence = 0;
    std::string   state = "ready";
    double        cold_until = 0;
    double        last_report = 0;
    double        next_report = 0;
    bool          reaches_store = true;
    std::map<std::tuple<std::uint32_t, std::uint16_t, std::uint32_t, std::uint16_t>, target_flow> flows;
    unsigned                                                                                      busy = 0;
    std::deque<std::function<void()>>                                                             waiting;
};

struct machine {
    unsigned              number = 0;
    std::string           name;
    unsigned              zone = 0;
    std::uint32_t         address = 0;
    std::string           settings_path;
    pid_t                 pid = 0;
    bool                  first_start = true;
    double                restart_at = 0; // 0: not waiting
    bool                  is_removed = false;
    std::atomic<unsigned> misses{misses_to_leave};
    std::atomic<bool>     is_in_rotation{false};
    int                   log_reader = -1; // of the pipe, which stays the same over restarts
    int                   log_writer = -1;
};

class world {
public:
    world(world_settings settings, run_record& the_record)
        : record(the_record), settings_(std::move(settings)), random(static_cast<unsigned>(::getpid())) {
        char folder[] = "/tmp/review_XXXXXX";
        if (::mkdtemp(folder) == nullptr) give_up("no temporary folder");
        folder_ = folder;
        choose_network();
        unsigned number = 0;
        for (unsigned zone = 0; zone < settings_.zones.size(); ++zone) {
            for (unsigned i = 0; i < settings_.machines_per_zone[zone]; ++i) {
                auto added = std::make_unique<machine>();
                added->number = number++;
                added->name = "frontend-" + settings_.zones[zone] + "-" + std::to_string(i + 1);
                added->zone = zone;
                added->address = ipv4(127, network_, 2, added->number + 1);
                added->settings_path = folder_ + "/" + added->name + ".ini";
                machines.push_back(std::move(added));
            }
        }
        for (auto& each : machines) {
            if (!platform_store.listen(each->number, store_address(*each), 8169)) give_up("the store cannot listen");
        }
    }
    ~world() { end_processes(); }

    [[noreturn]] void give_up(const char* reason) {
        record.line("the case cannot run: %s", reason);
        finish(2);
    }

    //------------------------------------------------------------------------------------------------------------------
    // Machines
    //------------------------------------------------------------------------------------------------------------------

    std::uint32_t store_address(const machine& on) const { return ipv4(127, network_, 4, on.number + 1); }

    void write_settings(machine& on) {
        std::string regions;
        for (const std::string& zone : settings_.zones)
            regions += (regions.empty() ? "" : ",") + zone + ":region-1";
        std::string contacts;
        for (std::size_t i = 0; i < machines.size() && i < 3; ++i)
            contacts += (i == 0 ? "" : ",") + ip_text(machines[i]->address) + ":8166";
        const std::string ip = ip_text(on.address);
        // The fields of platform/entry.ini.in, filled in; the status page is at the host's own loopback address.
        std::ofstream(on.settings_path) << "[balancer]\nname = " << on.name
                                        << "\nfailure_domain = " << settings_.zones[on.zone]
                                        << "\nregions = " << regions << "\n"
                                        << (on.first_start ? "first_start = true\n" : "") << "packets_address = " << ip
                                        << ":" << datagram_port << "\nreadiness_address = " << ip
                                        << ":8167\nmetrics_address = " << ip << ":9108\nstatus_address = " << ip
                                        << ":9109\n[peers]\naddress = " << ip << ":7720\ncontacts = " << contacts
                                        << "\n[stop]\ngrace_seconds = 6\n"
                                        << "[limits]\nprocessor_share = 0.25\nlink_mbps = 1000\nmemory_mb = 260\n"
                                        << "change_deadline_ms = 3000\n"
                                        << settings_.extra_limits << "[store]\naddress = " << ip_text(store_address(on))
                                        << ":8169\n";
    }
    void start(machine& on) {
        write_settings(on);
        if (settings_.has_log_pipes && on.log_writer < 0) {
            int ends[2];
            if (::pipe2(ends, O_CLOEXEC) != 0) give_up("no pipe");
            ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
            on.log_reader = ends[0];
            on.log_writer = ends[1];
        }
        on.first_start = false;
        on.restart_at = 0;
        const std::string log = folder_ + "/" + on.name + ".log";
        const std::string variable = "TAMARACKSHORE_CONFIG=" + on.settings_path;
        on.pid = ::fork();
        if (on.pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out =
                on.log_writer >= 0 ? on.log_writer : ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            char* arguments[] = {const_cast<char*>("target/tamarack-entry"), nullptr};
            char* environment[] = {const_cast<char*>(variable.c_str()), const_cast<char*>("PATH=/usr/bin:/bin"),
                                   nullptr};
            ::execve(arguments[0], arguments, environment);
            std::_Exit(127);
        }
        record.line("machine %s: process %d started", on.name.c_str(), on.pid);
    }
    void signal(machine& on, int number) {
        if (on.pid <= 0) return;
        record.line("machine %s: signal %d (%s)", on.name.c_str(), number, ::strsignal(number));
        ::kill(on.pid, number);
    }
    void end_processes() {
        for (auto& each : machines) {
            if (each->pid > 0) ::kill(each->pid, SIGKILL);
        }
        for (auto& each : machines) {
            if (each->pid > 0) ::waitpid(each->pid, nullptr, 0);
            each->pid = 0;
        }
    }
    // Ends the processes and this program at once, since the threads of the store and the readiness checks go on.
    [[noreturn]] void finish(int status) {
        end_processes();
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
        std::_Exit(status);
    }

    // Starts all machines, waits until they are in rotation; false: they are not.
    bool start_all() {
        for (auto& each : machines) {
            start(*each);
            std::thread([this, on = each.get()] { check_readiness(*on); }).detach();
        }
        const double until = now() + 10.0;
        while (now() < until) {
            run_for(0.1);
            if (std::all_of(machines.begin(), machines.end(), [](auto& each) { return each->is_in_rotation.load(); }))
                return true;
        }
        return false;
    }

    //------------------------------------------------------------------------------------------------------------------
    // Targets
    //------------------------------------------------------------------------------------------------------------------

    target& add_target(const std::string& service, unsigned zone) {
        auto added = std::make_unique<target>();
        added->number = static_cast<unsigned>(targets.size());
        added->identity = (std::uint64_t{random()} << 8U) | added->number; // 40 bits, as in the examples
        char id[32];
        std::snprintf(id, sizeof id, "i-%llx", static_cast<unsigned long long>(added->identity));
        added->id = id;
        added->service = service;
        added->zone = settings_.zones[zone];
        added->address = ipv4(127, network_, 3, added->number + 1);
        added->born = unix_ms();
        added->socket = open_socket(added->address, 8080);
        added->next_report = now();
        targets.push_back(std::move(added));
        return *targets.back();
    }
    static std::uint64_t unix_ms() {
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                .count());
    }
    std::string address_of(const target& at) const { return ip_text(at.address) + ":8080"; }

    // Writes the target's entry if more than its sequence has changed.
    void report(target& on) {
        on.next_report = now() + settings_.heartbeat;
        ++on.sequence;
        if (!on.reaches_store || platform_store.is_away()) return;
        on.last_report = now();
        const auto left = on.cold_until > now() ? static_cast<int>((on.cold_until - now()) * 1000) : 0;
        const auto entry_until_sequence =
            "{\"service\":\"" + on.service + "\",\"address\":\"" + address_of(on) + "\",\"zone\":\"" + on.zone +
            "\",\"version\":\"v1\",\"capacity\":" + std::to_string(on.slots) + ",\"state\":\"" + on.state +
            "\",\"born\":" + std::to_string(on.born) + ",\"warmup_left_ms\":" + std::to_string(left);
        const auto stored = platform_store.value_of("servers/" + on.id);
        if (stored && stored->substr(0, stored->find(",\"sequence\"")) == entry_until_sequence) return;
        platform_store.put("servers/" + on.id,
                           entry_until_sequence + ",\"sequence\":" + std::to_string(on.sequence) + "}");
        record.line("target %s: entry written, state %s, sequence %llu", on.id.c_str(), on.state.c_str(),
                    static_cast<unsigned long long>(on.sequence));
    }
    // The store has come back with the entries of a copy: their silence counts from now.
    void forgive_silence() {
        for (auto& each : targets)
            each->last_report = now();
    }

    //------------------------------------------------------------------------------------------------------------------
    // Clients
    //------------------------------------------------------------------------------------------------------------------

    // The route's address is 127.18.0.NUMBER:8443.
    client_flow& open_flow(unsigned zone, unsigned route_number, const std::string& service, unsigned requests,
                           double pause, double time_limit) {
        auto added = std::make_unique<client_flow>();
        added->number = ++flow_count_;
        added->zone = zone;
        added->client = ipv4(127, network_, 10 + zone, 1 + added->number % clients_per_zone);
        added->port = static_cast<std::uint16_t>(1'024 + added->number % 60'000);
        added->route = ipv4(127, 18, 0, route_number);
        added->route_port = 8443;
        added->service = service;
        added->started_at = now();
        added->seq = static_cast<std::uint32_t>(random());
        added->requests_left = requests;
        added->pause = pause;
        added->time_limit = time_limit;
        client_flow& flow = *added;
        flows[{flow.client, flow.port}] = std::move(added);
        send_syn(flow, 0);
        events.after(0.2, [this, key = std::pair(flow.client, flow.port)] { repeat_syn(key, 1); });
        events.after(0.6, [this, key = std::pair(flow.client, flow.port)] { repeat_syn(key, 2); });
        events.after(1.4, [this, key = std::pair(flow.client, flow.port)] {
            client_flow* each = find(key);
            if (each != nullptr && each->current == client_flow::state::opening) close(*each, "no SYN+ACK");
        });
        return flow;
    }
    void open_client_sockets() {
        for (unsigned zone = 0; zone < settings_.zones.size(); ++zone) {
            for (unsigned i = 0; i < clients_per_zone; ++i) {
                const std::uint32_t address = ipv4(127, network_, 10 + zone, 1 + i);
                client_sockets_[address] = open_socket(address, datagram_port);
            }
        }
    }

    // Runs all for the time.
    void run_for(double seconds) {
        const double until = now() + seconds;
        while (now() < until) {
            events.run_due();
            step_processes();
            step_targets();
            std::vector<pollfd> handles;
            for (auto& [address, handle] : client_sockets_)
                handles.push_back({handle, POLLIN, 0});
            for (auto& each : targets) {
                if (each->socket >= 0) handles.push_back({each->socket, POLLIN, 0});
            }
            const double wait = std::max(0.0, std::min({until, events.next_time(), now() + 0.01}) - now());
            timespec     time{0, static_cast<long>(wait * 1e9)};
            if (::ppoll(handles.data(), handles.size(), &time, nullptr) <= 0) continue;
            for (auto& [address, handle] : client_sockets_)
                receive_at_client(handle);
            for (auto& each : targets)
                receive_at_target(*each);
        }
    }

    //------------------------------------------------------------------------------------------------------------------
    // What a case watches
    //------------------------------------------------------------------------------------------------------------------

    // A client got a reset on an open flow. The target that sent it, or -1: the system did.
    std::function<void(client_flow&, int)>                         on_reset = [](client_flow&, int) {};
    std::function<void(target&, client_flow&, const std::string&)> on_run = [](target&, client_flow&,
                                                                               const std::string&) {};
    std::function<void(target&, client_flow&)>                     on_open_at_target = [](target&, client_flow&) {};
    std::function<void(client_flow&)>                              on_closed = [](client_flow&) {};
    // Whether the network loses a packet from the target to the client.
    std::function<bool(target&, const packet&)> loses_packet = [](target&, const packet&) { return false; };
    std::function<bool(const machine&)>         keeps_down = [](const machine&) { return false; };

    bool                                  is_collector_stopped = false; // reads no logs
    run_record&                           record;
    store                                 platform_store{record};
    timed_events                          events;
    std::vector<std::unique_ptr<machine>> machines;
    std::vector<std::unique_ptr<target>>  targets;
    std::map<std::pair<std::uint32_t, std::uint16_t>, std::unique_ptr<client_flow>> flows;
    std::map<std::string, unsigned>                                                 runs; // by id of the request
    unsigned long                                                                   answered = 0;
    unsigned long                                                                   sent = 0;
    std::mt19937 random_engine{std::random_device{}()};

    double random_seconds(double least, double most) {
        return std::uniform_real_distribution<double>(least, most)(random_engine);
    }

private:
    static constexpr unsigned clients_per_zone = 8;

    world_settings settings_;

public:
    std::mt19937 random;

private:
    std::string                  folder_;
    unsigned                     network_ = 0;
    std::uint64_t                flow_count_ = 0;
    std::uint64_t                request_count_ = 0;
    std::map<std::uint32_t, int> client_sockets_;

    void choose_network() {
        for (unsigned attempt = 0; attempt < 50; ++attempt) {
            network_ = 20 + (static_cast<unsigned>(::getpid()) + attempt * 7) % 80;
            const int handle = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
            auto      where = socket_address(ipv4(127, network_, 10, 1), datagram_port);
            const int result = ::bind(handle, reinterpret_cast<sockaddr*>(&where), sizeof where);
            ::close(handle);
            if (result == 0) return;
        }
        give_up("no free network");
    }
    int open_socket(std::uint32_t address, std::uint16_t port) {
        const int handle = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const int size = 1 << 20;
        ::setsockopt(handle, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
        auto where = socket_address(address, port);
        if (::bind(handle, reinterpret_cast<sockaddr*>(&where), sizeof where) != 0) give_up("an address is in use");
        return handle;
    }

    //------------------------------------------------------------------------------------------------------------------
    // Processes and routers
    //------------------------------------------------------------------------------------------------------------------

    void collect_logs() {
        if (is_collector_stopped) return;
        char bytes[65536];
        for (auto& each : machines) {
            while (each->log_reader >= 0 && ::read(each->log_reader, bytes, sizeof bytes) > 0) {
            }
        }
    }
    void step_processes() {
        collect_logs();
        for (auto& each : machines) {
            int status = 0;
            if (each->pid > 0 && ::waitpid(each->pid, &status, WNOHANG) == each->pid) {
                record.line("machine %s: process %d ended, status %d", each->name.c_str(), each->pid, status);
                each->pid = 0;
                each->restart_at = now() + 0.3;
            }
            if (each->pid == 0 && each->restart_at > 0 && now() >= each->restart_at && !each->is_removed &&
                !keeps_down(*each))
                start(*each);
        }
    }
    static bool is_ready(const machine& on) {
        const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        timeval   limit{0, 400'000};
        ::setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        ::setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        auto                  where = socket_address(on.address, 8167);
        constexpr const char* request = "GET /tamarackshore/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        char                  answer[64]{};
        const bool            is_answered = ::connect(handle, reinterpret_cast<sockaddr*>(&where), sizeof where) == 0 &&
                                 ::send(handle, request, std::strlen(request), MSG_NOSIGNAL) > 0 &&
                                 ::recv(handle, answer, sizeof answer - 1, 0) > 12;
        ::close(handle);
        return is_answered && std::strncmp(answer + 9, "200", 3) == 0;
    }
    static void check_readiness(machine& on) {
        for (;;) {
            const bool ready = is_ready(on);
            on.misses = ready ? 0 : on.misses + 1;
            if (ready) on.is_in_rotation = true;
            if (on.misses >= misses_to_leave) on.is_in_rotation = false;
            std::this_thread::sleep_for(std::chrono::duration<double>(probe_interval));
        }
    }
    // The daemon that the routers of the client's zone choose for the flow; null: there is none.
    machine* route_packet(const client_flow& flow) {
        std::vector<machine*> all;
        std::vector<machine*> ready;
        for (auto& each : machines) {
            if (each->zone != flow.zone || each->is_removed) continue;
            all.push_back(each.get());
            if (each->is_in_rotation) ready.push_back(each.get());
        }
        if (!ready.empty() && 2 * ready.size() < all.size()) ready = all;
        if (ready.empty()) {
            for (auto& each : machines) {
                if (each->is_in_rotation) ready.push_back(each.get());
            }
        }
        if (ready.empty()) return nullptr;
        std::uint64_t hash =
            (std::uint64_t{flow.client} << 32U) ^ flow.route ^ (std::uint64_t{flow.port} << 16U) ^ flow.route_port;
        hash *= 0x9e3779b97f4a7c15ULL;
        return ready[(hash >> 33U) % ready.size()];
    }

    //------------------------------------------------------------------------------------------------------------------
    // Client
    //------------------------------------------------------------------------------------------------------------------

    client_flow* find(const std::pair<std::uint32_t, std::uint16_t>& key) {
        const auto found = flows.find(key);
        return found == flows.end() ? nullptr : found->second.get();
    }
    void send(client_flow& flow, std::uint8_t flags, std::uint32_t acknowledged, const std::string& data,
              std::uint32_t seq) {
        packet p{.seq = seq,
                 .acknowledged = acknowledged,
                 .echo = flow.echo,
                 .sport = flow.port,
                 .src = flow.client,
                 .dport = flow.route_port,
                 .dst = flow.route,
                 .flags = flags,
                 .data = data};
        p.sum = p.expected_sum();
        flow.last_sent_at = now();
        events.after(client_delay, [this, bytes = p.encode(), key = std::pair(flow.client, flow.port)] {
            client_flow* each = find(key);
            if (each == nullptr) return;
            machine* on = route_packet(*each);
            if (on == nullptr) return;
            each->machine = static_cast<int>(on->number);
            each->machines.insert(each->machine);
            auto where = socket_address(on->address, datagram_port);
            ::sendto(client_sockets_[each->client], bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&where),
                     sizeof where);
        });
    }
    void send_syn(client_flow& flow, unsigned copy) { send(flow, syn, copy, {}, flow.seq); }
    void repeat_syn(const std::pair<std::uint32_t, std::uint16_t>& key, unsigned copy) {
        client_flow* flow = find(key);
        if (flow == nullptr || flow->current != client_flow::state::opening) return;
        flow->syn_copies = copy;
        send_syn(*flow, copy);
    }
    void close(client_flow& flow, const std::string& reason) {
        if (flow.current == client_flow::state::closed) return;
        flow.current = client_flow::state::closed;
        flow.end = reason;
        on_closed(flow);
        events.after(3.0, [this, key = std::pair(flow.client, flow.port)] { flows.erase(key); });
    }
    void send_request(client_flow& flow) {
        if (flow.current != client_flow::state::open) return;
        if (flow.requests_left == 0) {
            send(flow, fin | ack, flow.acknowledged, {}, flow.seq);
            return close(flow, "done");
        }
        --flow.requests_left;
        ++sent;
        flow.pending_id = "r" + std::to_string(++request_count_);
        flow.pending_data = "GET /x HTTP/1.1\r\nHost: x\r\nAttempt-Id: " + flow.pending_id + "\r\n\r\n";
        flow.request_sent_at = now();
        flow.retransmissions = 0;
        send(flow, ack, flow.acknowledged, flow.pending_data, flow.seq);
        schedule_retransmission(flow, 0.2);
    }
    void schedule_retransmission(client_flow& flow, double delay) {
        events.after(delay, [this, key = std::pair(flow.client, flow.port), id = flow.pending_id, delay] {
            client_flow* each = find(key);
            if (each == nullptr || each->current != client_flow::state::open || each->pending_id != id) return;
            if (now() - each->request_sent_at >= each->time_limit) {
                send(*each, rst, each->acknowledged, {}, each->seq);
                return close(*each, "time limit");
            }
            ++each->retransmissions;
            send(*each, ack, each->acknowledged, each->pending_data, each->seq);
            schedule_retransmission(*each, std::min(1.6, 2 * delay));
        });
    }
    // From a target (its number), or from the system (-1).
    void receive(client_flow& flow, const packet& p, int sender) {
        if (flow.current == client_flow::state::closed) return;
        if ((p.flags & rst) != 0) {
            const bool was_open = flow.current == client_flow::state::open;
            if (was_open) on_reset(flow, sender);
            return close(flow, sender < 0 ? "reset by the system" : "reset by " + targets[sender]->id);
        }
        flow.echo = p.echo; // the last one received on the flow
        if ((p.flags & syn) != 0) {
            if (flow.current != client_flow::state::opening) return;
            flow.current = client_flow::state::open;
            flow.opened_at = now();
            flow.target = sender;
            flow.acknowledged = p.seq + 1;
            ++flow.seq;
            send(flow, ack, flow.acknowledged, {}, flow.seq);
            return send_request(flow);
        }
        if (sender != flow.target) return;
        if (!p.data.empty() && p.seq != flow.acknowledged) // a copy
            return send(flow, ack, flow.acknowledged, {}, flow.seq);
        if (p.data.empty()) return;
        flow.acknowledged += static_cast<std::uint32_t>(p.data.size());
        const std::string id = p.data.substr(p.data.find("Attempt-Id: ") + 12);
        const bool        is_own = !flow.pending_id.empty() && id.rfind(flow.pending_id + "\r", 0) == 0;
        if (!is_own)
            record.line("MIXED flow %llu: an answer of another request", static_cast<unsigned long long>(flow.number));
        ++answered;
        flow.seq += static_cast<std::uint32_t>(flow.pending_data.size());
        flow.pending_id.clear();
        send(flow, ack, flow.acknowledged, {}, flow.seq);
        if ((p.flags & fin) != 0) {
            send(flow, fin | ack, flow.acknowledged + 1, {}, flow.seq);
            return close(flow, "closed by the target");
        }
        events.after(flow.pause * random_seconds(0.5, 1.5), [this, key = std::pair(flow.client, flow.port)] {
            client_flow* each = find(key);
            if (each != nullptr) send_request(*each);
        });
    }
    void receive_at_client(int handle) {
        char bytes[2048];
        for (;;) {
            const ssize_t size = ::recv(handle, bytes, sizeof bytes, 0);
            if (size < 0) return;
            const auto p = packet::decode({bytes, static_cast<std::size_t>(size)});
            if (!p || p->flags != rst || p->sum != 0 || !p->data.empty()) {
                record.line("MIXED a client got a packet of the system that is no reset");
                continue;
            }
            client_flow* flow = find({p->dst, p->dport});
            if (flow == nullptr || flow->route != p->src || flow->route_port != p->sport) continue;
            events.after(client_delay, [this, reset = *p, key = std::pair(flow->client, flow->port)] {
                client_flow* each = find(key);
                if (each != nullptr) receive(*each, reset, -1);
            });
        }
    }

    //------------------------------------------------------------------------------------------------------------------
    // Target
    //------------------------------------------------------------------------------------------------------------------

    void step_targets() {
        for (auto& each : targets) {
            if (each->state == "gone") continue;
            if (now() >= each->next_report) report(*each);
            // Three intervals without a report; the silence does not count while the store is away.
            if (platform_store.is_away()) each->last_report = std::max(each->last_report, now() - settings_.heartbeat);
            if (each->last_report > 0 && now() - each->last_report > 3 * settings_.heartbeat &&
                platform_store.value_of("servers/" + each->id)) {
                platform_store.remove("servers/" + each->id);
                record.line("store: the entry of %s is removed after three intervals of silence", each->id.c_str());
            }
        }
    }
    void answer(target& from, const packet& request, std::uint8_t flags, std::uint32_t seq, std::uint32_t acknowledged,
                const std::string& data, std::uint32_t echo) {
        packet p{.seq = seq,
                 .acknowledged = acknowledged,
                 .echo = echo,
                 .sport = request.dport,
                 .src = request.dst,
                 .dport = request.sport,
                 .dst = request.src,
                 .flags = flags,
                 .data = data};
        p.sum = p.expected_sum();
        if (loses_packet(from, p)) return;
        events.after(client_delay, [this, p, number = static_cast<int>(from.number)] {
            client_flow* flow = find({p.dst, p.dport});
            if (flow != nullptr) receive(*flow, p, number);
        });
    }
    void receive_at_target(target& at) {
        if (at.socket < 0) return;
        char bytes[2048];
        for (;;) {
            const ssize_t size = ::recv(at.socket, bytes, sizeof bytes, 0);
            if (size < 0) return;
            if (size < 8) continue;
            std::uint64_t identity = 0;
            for (unsigned i = 0; i < 8; ++i)
                identity = (identity << 8U) | static_cast<unsigned char>(bytes[i]);
            if (identity != 0 && identity != at.identity) continue; // for another target
            const auto p = packet::decode({bytes + 8, static_cast<std::size_t>(size) - 8});
            if (!p || p->sum != p->expected_sum()) {
                record.line("UNASKED %s got a packet that its sender did not write so", at.id.c_str());
                continue;
            }
            handle(at, *p);
        }
    }
    using flow_key = std::tuple<std::uint32_t, std::uint16_t, std::uint32_t, std::uint16_t>;
    static flow_key key_of(const packet& p) { return {p.src, p.sport, p.dst, p.dport}; }

    void handle(target& at, const packet& p) {
        if ((p.flags & syn) != 0) return handle_syn(at, p);
        const auto found = at.flows.find(key_of(p));
        if ((p.flags & rst) != 0) {
            if (found != at.flows.end()) at.flows.erase(found);
            return;
        }
        const bool is_held =
            found != at.flows.end() && (found->second.is_open || p.acknowledged == found->second.syn_seq + 1);
        if (!is_held) return answer(at, p, rst, p.acknowledged, p.seq, {}, p.echo);
        target_flow& flow = found->second;
        flow.echo = p.echo;
        if (flow.is_ended) {
            if ((p.flags & fin) != 0) return answer(at, p, ack, flow.seq, p.seq + 1, {}, flow.echo);
            if (!p.data.empty()) return answer(at, p, rst, p.acknowledged, p.seq, {}, p.echo);
            return;
        }
        if (!flow.is_open) {
            flow.is_open = true;
            flow.opened_at = now();
            client_flow* opened = find({p.src, p.sport});
            if (opened != nullptr) on_open_at_target(at, *opened);
        }
        if (!flow.unacknowledged.empty() && p.acknowledged == flow.unacknowledged_seq + flow.unacknowledged.size())
            flow.unacknowledged.clear();
        if ((p.flags & fin) != 0) {
            flow.is_ended = true;
            return answer(at, p, ack, flow.seq, p.seq + 1, {}, flow.echo);
        }
        if (p.data.empty()) return;
        if (p.seq != flow.expected) return answer(at, p, ack, flow.seq, flow.expected, {}, flow.echo); // a copy
        flow.expected += static_cast<std::uint32_t>(p.data.size());
        run_request(at, p);
    }
    void handle_syn(target& at, const packet& p) {
        auto [found, is_new] = at.flows.try_emplace(key_of(p));
        if (!is_new && found->second.client_seq != p.seq) {
            found->second = {};
            is_new = true;
        }
        target_flow& flow = found->second;
        flow.echo = p.echo;
        if (flow.is_open) return;
        if (is_new) {
            flow.client_seq = p.seq;
            flow.expected = p.seq + 1;
            flow.syn_seq = static_cast<std::uint32_t>(random_engine());
            flow.seq = flow.syn_seq + 1;
            schedule_syn_ack(at, p, 0.2, 0);
        }
        answer(at, p, syn | ack, flow.syn_seq, p.seq + 1, {}, flow.echo);
    }
    void schedule_syn_ack(target& at, const packet& p, double delay, unsigned count) {
        events.after(delay, [this, &at, p, delay, count] {
            const auto found = at.flows.find(key_of(p));
            if (found == at.flows.end() || found->second.is_open || found->second.client_seq != p.seq) return;
            if (count >= target_retransmissions) return void(at.flows.erase(found));
            answer(at, p, syn | ack, found->second.syn_seq, p.seq + 1, {}, found->second.echo);
            schedule_syn_ack(at, p, std::min(1.6, 2 * delay), count + 1);
        });
    }
    void run_request(target& at, const packet& p) {
        const std::size_t start = p.data.find("Attempt-Id: ") + 12;
        const std::string id = p.data.substr(start, p.data.find('\r', start) - start);
        auto              run = [this, &at, p, id] {
            ++at.busy;
            if (++runs[id] > 1) record.line("UNASKED request %s runs again, at %s", id.c_str(), at.id.c_str());
            client_flow* flow = find({p.src, p.sport});
            if (flow != nullptr) on_run(at, *flow, id);
            events.after(at.work * random_seconds(0.5, 1.5) * (now() < at.cold_until ? 1.6 : 1.0), [this, &at, p, id] {
                --at.busy;
                respond(at, p, id);
                if (at.waiting.empty() || at.busy >= at.slots) return;
                const auto next = std::move(at.waiting.front());
                at.waiting.pop_front();
                next();
            });
        };
        if (at.busy < at.slots) return run();
        at.waiting.push_back(run);
    }
    void respond(target& at, const packet& p, const std::string& id) {
        const auto found = at.flows.find(key_of(p));
        if (found == at.flows.end() || found->second.is_ended) return;
        target_flow& flow = found->second;
        flow.unacknowledged = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nAttempt-Id: " + id + "\r\n\r\n";
        flow.unacknowledged_seq = flow.seq;
        flow.seq += static_cast<std::uint32_t>(flow.unacknowledged.size());
        flow.closes = at.state == "draining";
        send_response(at, p, 0.2, 0, flow.unacknowledged_seq);
    }
    void send_response(target& at, const packet& p, double delay, unsigned count, std::uint32_t seq) {
        const auto found = at.flows.find(key_of(p));
        if (found == at.flows.end() || found->second.unacknowledged.empty() || found->second.unacknowledged_seq != seq)
            return;
        if (count > target_retransmissions) return void(at.flows.erase(found));
        const target_flow& flow = found->second;
        answer(at, p, flow.closes ? fin | ack : ack, seq, flow.expected, flow.unacknowledged, flow.echo);
        events.after(delay, [this, &at, p, delay, count, seq] {
            send_response(at, p, std::min(1.6, 2 * delay), count + 1, seq);
        });
    }
};

// A configuration as the operator writes it.
struct route_row {
    unsigned    number;
    std::string service;
    std::string type = "idempotent";
};
inline std::string configuration(std::uint64_t version, const std::vector<route_row>& routes,
                                 const std::string& services) {
    std::string rows;
    for (const route_row& row : routes) {
        rows += (rows.empty() ? "" : ",") + std::string("{\"name\":\"r-") + std::to_string(row.number) +
                "\",\"host\":\"127.18.0." + std::to_string(row.number) + "\",\"prefix\":\"/8443/\",\"type\":\"" +
                row.type + "\",\"timeout_ms\":2500,\"aim_ms\":250,\"priority\":1,\"service\":\"" + row.service +
                "\",\"max_attempts\":2}";
    }
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + rows + "],\"services\":[" + services +
           "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000," +
           "\"idle_timeout_ms\":15000}}";
}
inline std::string service_row(const std::string& name, double warmup_s = 0, double warmup_per_s = 0) {
    return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_conns\":2000,\"protocol\":\"h1\"," +
           "\"tls\":false,\"warmup_s\":" + std::to_string(warmup_s) +
           ",\"warmup_per_s\":" + std::to_string(warmup_per_s) + "}";
}

inline bool has_trouble() {
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string_view(text) != "0";
}

} // namespace rv
