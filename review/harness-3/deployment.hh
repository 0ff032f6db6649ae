// A small deployment on loopback: a store, balancers, targets and one client host, and the loop that drives them.
#pragma once

#include "world.hh"

namespace world {

struct route_terms {
    std::string   name, service;
    std::uint32_t address = 0;
    std::string   type = "non_idempotent";
    ms            time_limit = 4000, aim = 300;
    unsigned      priority = 1;
};

class deployment {
public:
    static constexpr std::uint16_t route_port = 8443;

    explicit deployment(const std::string& case_folder)
        : record(case_folder + "/record.txt"), base_(find_base()), folder_(make_folder()) {
        client_handle_ = open_udp(client_ip(), datagram_port);
        if (client_handle_ < 0) cannot_run("the client's address is taken");
        the_store = std::make_unique<store>(base_ | 1U);
        record.line("addresses %s/16", text_of(base_).c_str());
        if (std::getenv("KEEP_LOGS") != nullptr) std::fprintf(stderr, "logs of the balancers: %s\n", folder_.c_str());
    }
    ~deployment() {
        balancers.clear(); // ends the processes
        if (std::getenv("KEEP_LOGS") == nullptr) {
            const std::string command = "rm -rf '" + folder_ + "'";
            (void)!std::system(command.c_str());
        }
    }
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    ms            born() const { return born_; } // of all targets, Unix time
    std::uint32_t client_ip() const { return base_ | 0x101U; }

    // A machine with terms of its own; the address and the zones of all machines are filled in.
    void add_balancer(host_terms host, const std::vector<std::string>& zones, double link_bytes_per_ms) {
        const auto number = static_cast<std::uint32_t>(balancers.size() + 1);
        host.ip = base_ | 0x200U | number;
        host.store_ip = base_ | 0x10U | number;
        the_store->listen(host.store_ip);
        the_store->limit_link(host.store_ip, link_bytes_per_ms);
        balancers.push_back(std::make_unique<balancer>(host, folder_, fill_in_settings(host, base_, zones)));
    }
    void add_balancers(const std::vector<std::string>& zones, unsigned per_zone) {
        std::uint32_t number = 0;
        for (const auto& zone : zones) {
            for (unsigned i = 1; i <= per_zone; ++i) {
                const host_terms host{"frontend-" + zone + "-" + std::to_string(i), zone, base_ | 0x200U | ++number};
                balancers.push_back(
                    std::make_unique<balancer>(host, folder_, fill_in_settings(host, base_, zones)));
            }
        }
    }
    target& add_target(const std::string& service, const std::string& zone, target_terms terms = {}) {
        const auto number = static_cast<std::uint32_t>(targets.size() + 1);
        terms.service = service;
        terms.zone = zone;
        if (terms.identity == 0) terms.identity = 0x7f3a91c200ULL + number * 0x1f35U;
        char id[32];
        std::snprintf(id, sizeof id, "i-%llx", static_cast<unsigned long long>(terms.identity));
        terms.id = id;
        terms.ip = base_ | 0x300U | number;
        targets.push_back(std::make_unique<target>(terms, client_ip(), record));
        the_store->put("servers/" + terms.id, targets.back()->registration("ready", born_));
        return *targets.back();
    }
    // The operator's change of the configuration; acknowledged on return.
    void write_configuration(std::uint64_t version, const std::vector<route_terms>& routes) {
        std::string           list, services;
        std::set<std::string> names;
        for (const auto& route : routes) {
            list += (list.empty() ? "" : ",") + ("{\"name\":\"" + route.name + "\",\"host\":\"" + text_of(route.address)) +
                    "\",\"prefix\":\"/" + std::to_string(route_port) + "/\",\"type\":\"" + route.type +
                    "\",\"timeout_ms\":" + std::to_string(route.time_limit) + ",\"aim_ms\":" + std::to_string(route.aim) +
                    ",\"priority\":" + std::to_string(route.priority) + ",\"service\":\"" + route.service +
                    "\",\"max_attempts\":2}";
        }
        for (const auto& each : targets)
            names.insert(each->terms().service);
        for (const auto& name : names)
            services += (services.empty() ? "" : ",") + ("{\"name\":\"" + name + "\",\"health_path\":\"/health\"}");
        the_store->put("op/config", "{\"version\":" + std::to_string(version) + ",\"routes\":[" + list +
                                        "],\"services\":[" + services +
                                        "],\"limits\":{\"idle_timeout_ms\":12000}}");
        record.line("the store acknowledges configuration %llu", static_cast<unsigned long long>(version));
    }
    client_flow& open_flow(std::uint32_t route, unsigned requests) {
        client_flow flow;
        flow.port = ++last_port_;
        flow.route = route;
        flow.first_seq = static_cast<std::uint32_t>(random());
        flow.next_seq = flow.first_seq + 1;
        flow.opened_at = clock_ms();
        flow.requests_left = requests;
        client_flow& stored = flows[flow.port] = flow;
        send_syn(stored);
        return stored;
    }
    // Runs until a time, with a call in each round (about a millisecond).
    void run_until(ms end, const std::function<void(ms)>& on_round = {}) {
        while (clock_ms() < end) {
            std::vector<pollfd> handles;
            the_store->add_to(handles);
            handles.push_back({client_handle_, POLLIN, 0});
            for (const auto& each : targets)
                handles.push_back({each->handle(), POLLIN, 0});
            ::poll(handles.data(), handles.size(), 1);
            step(clock_ms());
            if (on_round) on_round(clock_ms());
        }
    }
    bool are_all_ready() const {
        return std::ranges::all_of(balancers, [](const auto& each) { return each->is_in_rotation(); });
    }
    void start_and_wait() {
        for (const auto& each : balancers)
            each->start(record);
        const ms limit = clock_ms() + 15'000;
        while (!are_all_ready() && clock_ms() < limit)
            run_until(clock_ms() + 50);
        if (!are_all_ready()) cannot_run("the balancers did not become ready");
        run_until(clock_ms() + 5'000); // calm, longer than contact_ms
        record.line("traffic starts");
    }
    unsigned own_ends() const {
        unsigned count = 0;
        for (const auto& each : balancers)
            count += each->own_ends();
        return count;
    }
    target* find_target(const std::string& id) const {
        for (const auto& each : targets)
            if (each->terms().id == id) return each.get();
        return nullptr;
    }
    std::string balancer_name(std::uint32_t ip) const {
        for (const auto& each : balancers)
            if (each->terms().ip == ip) return each->terms().name;
        return "nobody";
    }

    recorder                               record;
    std::unique_ptr<store>                 the_store;
    std::vector<std::unique_ptr<balancer>> balancers;
    std::vector<std::unique_ptr<target>>   targets;
    std::map<std::uint16_t, client_flow>   flows;
    std::string                            client_zone; // empty: all balancers
    ms                                     request_interval = 2000;
    std::mt19937                           random{std::random_device{}()};
    unsigned                               answered = 0, unanswered = 0;
    // A reset that a client accepted, and the address of its sender.
    std::function<void(client_flow&, std::uint32_t)> on_reset;

private:
    static std::uint32_t find_base() {
        std::mt19937 random{std::random_device{}()};
        for (int i = 0; i < 50; ++i) {
            const std::uint32_t base = 127U << 24 | (64 + random() % 128) << 16;
            const int           first = open_udp(base | 0x101U, datagram_port), second = open_udp(base | 0x201U, datagram_port);
            if (first >= 0) ::close(first);
            if (second >= 0) ::close(second);
            if (first >= 0 && second >= 0) return base;
        }
        cannot_run("no free loopback addresses");
    }
    static std::string make_folder() {
        char name[] = "/tmp/review-3-XXXXXX";
        if (::mkdtemp(name) == nullptr) cannot_run("no temporary folder");
        return name;
    }
    // The router: a hash over the balancers of the client's zone that are in rotation.
    balancer* choose(const client_flow& flow) {
        std::vector<balancer*> zone, rotation;
        for (const auto& each : balancers)
            if (client_zone.empty() || each->terms().zone == client_zone) zone.push_back(each.get());
        for (auto* each : zone)
            if (each->is_in_rotation()) rotation.push_back(each);
        if (2 * rotation.size() < zone.size()) rotation = zone;
        std::uint32_t hash = flow.port * 2654435761U ^ flow.route;
        hash ^= hash >> 15;
        return rotation[hash % rotation.size()];
    }
    void send(client_flow& flow, std::uint8_t flags, std::uint32_t seq, std::uint32_t ack, const std::string& data) {
        const packet      out{seq, ack, flow.echo, flow.port, client_ip(), route_port, flow.route, 0x5eed, flags, data};
        const std::string bytes = out.encode();
        const auto        address = address_of(choose(flow)->terms().ip, datagram_port);
        ::sendto(client_handle_, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    }
    void send_syn(client_flow& flow) {
        record.line("client sends SYN copy %u of port %u by %s", flow.syns_sent, flow.port, choose(flow)->terms().name.c_str());
        flow.syn_times.push_back(clock_ms());
        send(flow, syn_flag, flow.first_seq, flow.syns_sent++, "");
    }
    void end(client_flow& flow, const std::string& why) {
        flow.current = client_flow::state::closed;
        flow.ended_by = why;
        record.line("flow of port %u ends: %s", flow.port, why.c_str());
        if (!flow.pending_id.empty()) {
            ++unanswered;
            record.line("request %s has no answer", flow.pending_id.c_str());
        }
    }
    void begin_request(client_flow& flow, ms now) {
        --flow.requests_left;
        flow.pending_id = std::to_string(flow.port) + "-" + std::to_string(++last_request_);
        std::string body(600, 'x');
        flow.pending = "POST /orders HTTP/1.1\r\nHost: desk\r\nAttempt-Id: " + flow.pending_id +
                       "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        flow.pending_since = now;
        flow.resend_at = now + 200;
        flow.resent = 0;
        record.line("client sends request %s with echo %08x by %s", flow.pending_id.c_str(), flow.echo,
                    choose(flow)->terms().name.c_str());
        send(flow, ack_flag, flow.next_seq, flow.peer_next, flow.pending);
    }
    void step_flow(client_flow& flow, ms now) {
        if (flow.current == client_flow::state::opening) {
            constexpr std::array<ms, 3> times = {0, 200, 600};
            if (now >= flow.opened_at + 1400) return end(flow, "not opened within 1.4 s");
            if (flow.syns_sent < times.size() && now >= flow.opened_at + times.at(flow.syns_sent)) send_syn(flow);
            return;
        }
        if (flow.current != client_flow::state::open) return;
        if (flow.pending_id.empty()) {
            if (flow.requests_left > 0 && now >= flow.next_request_at) begin_request(flow, now);
            return;
        }
        if (now >= flow.pending_since + time_limit) return end(flow, "time limit of a request");
        if (now < flow.resend_at) return;
        flow.resend_at = now + retransmission_delay(++flow.resent);
        send(flow, ack_flag, flow.next_seq, flow.peer_next, flow.pending);
    }
    void handle(const packet& in, std::uint32_t from, ms now) {
        const auto found = flows.find(in.dport);
        if (found == flows.end() || found->second.current == client_flow::state::closed) return;
        client_flow& flow = found->second;
        if (in.src != flow.route) return;
        if ((in.flags & rst_flag) != 0) {
            const bool is_system = in.sum == 0;
            if (is_system && flow.current == client_flow::state::open) {
                const auto distance = static_cast<std::int32_t>(in.seq - flow.peer_next);
                if (std::abs(distance) > 76'800) return;
            }
            record.line("client gets a reset for port %u from %s", flow.port, text_of(from).c_str());
            if (on_reset) on_reset(flow, from);
            return end(flow, "reset");
        }
        flow.echo = in.echo; // "the last echo that they received on a flow"
        if ((in.flags & syn_flag) != 0) {
            if (flow.current == client_flow::state::opening && in.ack == flow.first_seq + 1) {
                flow.current = client_flow::state::open;
                flow.peer_next = in.seq + 1;
                for (const auto& each : targets)
                    if (each->terms().ip == from) flow.peer_id = each->terms().id;
                record.line("client takes the SYN+ACK of %s for port %u, echo %08x", flow.peer_id.c_str(), flow.port, flow.echo);
                if (flow.requests_left > 0) return begin_request(flow, now);
                send(flow, ack_flag, flow.next_seq, flow.peer_next, "");
            } else if (in.seq + 1 != flow.peer_next) {
                record.line("client gets another SYN+ACK for port %u, of %s, echo %08x", flow.port, text_of(from).c_str(), flow.echo);
            }
            return;
        }
        if (in.data.empty()) return;
        if (in.seq == flow.peer_next && !flow.pending_id.empty() && in.data.find("done " + flow.pending_id) != std::string::npos) {
            flow.peer_next += static_cast<std::uint32_t>(in.data.size());
            flow.next_seq += static_cast<std::uint32_t>(flow.pending.size());
            record.line("request %s is answered after %lld ms", flow.pending_id.c_str(), static_cast<long long>(now - flow.pending_since));
            ++answered;
            flow.pending_id.clear();
            flow.next_request_at = now + request_interval;
        }
        send(flow, ack_flag, flow.next_seq, flow.peer_next, "");
    }
    void step(ms now) {
        the_store->step(now);
        for (const auto& each : balancers)
            each->step(now, record);
        for (const auto& each : targets)
            each->step(now);
        char        buffer[2048];
        sockaddr_in from{};
        socklen_t   size = sizeof from;
        for (ssize_t length; (length = ::recvfrom(client_handle_, buffer, sizeof buffer, 0, reinterpret_cast<sockaddr*>(&from), &size)) > 0;) {
            if (const auto in = packet::decode(std::string(buffer, static_cast<std::size_t>(length))))
                handle(*in, ntohl(from.sin_addr.s_addr), now);
        }
        for (auto& [port, flow] : flows)
            step_flow(flow, now);
        if (now < next_heartbeat_) return;
        next_heartbeat_ = now + 1200;
        for (const auto& each : targets)
            the_store->put("servers/" + each->terms().id, each->registration(each->is_draining ? "draining" : "ready", born_));
    }

    std::uint32_t base_;
    std::string   folder_;
    int           client_handle_ = -1;
    std::uint16_t last_port_ = 20'000;
    unsigned      last_request_ = 0;
    ms            next_heartbeat_ = 1200;
    ms            born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count();

public:
    ms time_limit = 4000;
};

} // namespace world
