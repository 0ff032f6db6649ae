// Forwarders joined by an in-memory queue of relay frames, with frames that can be lost, kept back or picked in any
// order.
#pragma once

#include "standins/inner_packet.h"
#include "tamarack/clock.h"
#include "tamarack/forwarder.h"
#include "tamarack/invariant.h"

#include <deque>
#include <functional>
#include <set>

namespace mesh {

using namespace tamarack;
using namespace std::chrono_literals;

inline const endpoint fabric{ip_address::v4(0x7f000001), 5000};
inline const endpoint service_address{ip_address::v4(0x0a010001), 443};

struct frame {
    std::size_t            from = 0;
    std::size_t            to = 0;
    std::vector<std::byte> bytes;
    steady_time            born{}; // when the caller sent the packet that caused the frame
};

class forwarder_mesh {
public:
    explicit forwarder_mesh(std::size_t host_count, std::size_t backend_servers = 4, std::size_t table_size = 1000)
        : max_flows_(table_size) {
        set_violations_fatal(true);
        services_.revision = 1;
        services_.next_id = 2;
        service board;
        board.id = 1;
        board.name = "board";
        board.address = service_address;
        services_.services.push_back(board);
        for (std::size_t i = 0; i < backend_servers; ++i)
            add_backend();
        for (std::size_t i = 0; i < host_count; ++i)
            add_host();
        publish_all();
        wait(10s); // past the grace time after the start
    }

    void add_service(const endpoint& address) {
        service added;
        added.id = services_.next_id++;
        added.name = "service-" + std::to_string(added.id);
        added.address = address;
        services_.services.push_back(added);
    }

    void add_backend(std::size_t service = 0) {
        backend_server server;
        server.id = services_.next_id++;
        server.name = "server-" + std::to_string(server.id);
        server.tunnel = {ip_address::v4(0x7f020001), static_cast<std::uint16_t>(20'000 + server.id)};
        services_.services.at(service).backend_servers.push_back(server);
    }

    std::size_t add_host() {
        member self;
        self.id = static_cast<member_id>(hosts.size() + 1);
        self.life = static_cast<incarnation>(time.wall_now().time_since_epoch() / 1ms);
        self.failure_domain = "domain-" + std::to_string(hosts.size() % 3);
        self.relay = {ip_address::v4(0x7f010001), static_cast<std::uint16_t>(4000 + self.id)};
        members.push_back(self);
        hosts.push_back(make_forwarder(self));
        return hosts.size() - 1;
    }

    // A process under the same id with a new life and no state.
    void restart(std::size_t host) {
        const auto now = static_cast<incarnation>(time.wall_now().time_since_epoch() / 1ms);
        members[host].life = std::max(members[host].life + 1, now);
        members[host].state = member_state::alive;
        history_.erase(host);
        hosts[host] = make_forwarder(members[host]);
    }

    std::unique_ptr<forwarder> make_forwarder(const member& self) {
        forwarder_settings settings;
        settings.self = self.id;
        settings.life = self.life;
        settings.table.max_flows = max_flows_;
        return std::make_unique<forwarder>(settings, time);
    }

    void remove(std::size_t host) {
        hosts[host].reset();
        members[host].state = member_state::dead;
    }

    configuration& services() { return services_; }
    void           revise() { ++services_.revision; }

    forwarding_state state_for(std::size_t host) {
        forwarding_state state;
        state.built = time.steady_now();
        state.services = std::make_shared<configuration>(services_);
        state.statuses = statuses;
        for (const auto& item : members) {
            if (item.state != member_state::dead) state.members.push_back(item);
        }
        if (!history_[host].present) history_[host] = first_history(state.members);
        history_[host] = advance(history_[host], ranking_of(state.members), time.steady_now());
        state.owners = history_[host];
        return state;
    }

    // Hosts that start together share their history, since building one takes milliseconds.
    ownership_history first_history(const std::vector<member>& of) {
        if (of != started_members_ || started_history_.present_since != time.steady_now()) {
            started_members_ = of;
            started_history_ = reconstruct_history(of, time.wall_now(), time.steady_now());
        }
        return started_history_;
    }

    // Rankings are shared among all hosts with the same members for the same reason.
    static std::shared_ptr<const ownership> ranking_of(const std::vector<member>& of) {
        static std::map<std::vector<std::pair<member_id, std::string>>, std::shared_ptr<const ownership>> rankings;

        std::vector<std::pair<member_id, std::string>> name;
        name.reserve(of.size());
        for (const auto& item : of)
            name.emplace_back(item.id, item.state == member_state::leaving ? "" : item.failure_domain);
        auto& known = rankings[name];
        if (!known) known = std::make_shared<ownership>(of);
        return known;
    }

    void publish(std::size_t host, const std::function<void(forwarding_state&)>& edit = {}) {
        forwarding_state state = state_for(host);
        if (edit) edit(state);
        hosts[host]->publish(std::make_shared<forwarding_state>(std::move(state)));
    }

    void publish_all(const std::function<void(forwarding_state&)>& edit = {}) {
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            if (hosts[i]) publish(i, edit);
        }
    }

    // Lets time pass in steps that are no pause.
    void wait(duration time_to_pass) {
        for (duration passed{}; passed < time_to_pass; passed += 500ms) {
            time.advance(500ms);
            tick_all();
        }
    }

    void tick_all() {
        action_buffer out;
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            if (hosts[i] && !paused.contains(i)) hosts[i]->tick(out);
        }
    }

    static flow_tuple flow(std::uint16_t port) {
        return {transport::tcp, {ip_address::v4(0x0a000001), port}, service_address};
    }

    // Hands a segment to one host and lets all frames arrive.
    void send(std::size_t host, const flow_tuple& what, std::uint8_t flags, std::uint32_t sequence = 1,
              std::string_view payload = {}) {
        hand_over(host, what, flags, sequence, payload);
        settle();
    }

    void hand_over(std::size_t host, const flow_tuple& what, std::uint8_t flags, std::uint32_t sequence = 1,
                   std::string_view payload = {}) {
        hand_over(host, standin::make_gue_segment(what, {flags, sequence, 2, payload}), time.steady_now());
    }

    void hand_over(std::size_t host, byte_view packet, steady_time born) {
        action_buffer out;
        hosts[host]->receive_from_fabric(packet, fabric, out);
        perform(host, out, born);
    }

    void settle() {
        while (!frames.empty()) {
            const frame next = std::move(frames.front());
            frames.pop_front();
            if (lose && lose(next)) continue;
            arrive(next);
        }
    }

    void arrive(const frame& next) {
        if (!hosts[next.to]) return;
        action_buffer out;
        hosts[next.to]->receive_from_peer(next.bytes, out);
        perform(next.to, out, next.born);
    }

    void perform(std::size_t host, const action_buffer& out, steady_time born) {
        for (const auto& item : out.actions()) {
            const auto payload = out.payload(item);
            if (observe) observe(host, item, payload);
            if (item.kind == action_kind::deliver) {
                delivered.push_back(item.destination);
            } else if (item.kind == action_kind::reply_to_caller) {
                replies.emplace_back(payload.begin(), payload.end());
            } else {
                for (std::size_t i = 0; i < members.size(); ++i) {
                    if (members[i].relay == item.destination)
                        frames.push_back({host, i, {payload.begin(), payload.end()}, born});
                }
            }
        }
    }

    holders responsible(const flow_tuple& what) { return hosts_alive().explain(what).responsible; }

    forwarder& hosts_alive() {
        for (auto& item : hosts) {
            if (item) return *item;
        }
        std::abort();
    }

    std::size_t owner_of(const flow_tuple& what) { return responsible(what).owner() - 1; }
    std::size_t second_of(const flow_tuple& what) { return responsible(what).second - 1; }
    std::size_t other_than_holders(const flow_tuple& what) {
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            if (hosts[i] && i != owner_of(what) && i != second_of(what)) return i;
        }
        std::abort();
    }

    // Opens a flow through a host that does not hold it; returns the tunnel of its backend server.
    endpoint open(const flow_tuple& what, std::uint32_t initial_sequence = 1) {
        const std::size_t entry = other_than_holders(what);
        delivered.clear();
        send(entry, what, standin::syn_flag, initial_sequence);
        if (delivered.size() != 1) std::abort();
        const endpoint chosen = delivered.front();
        send(entry, what, standin::ack_flag, initial_sequence + 1, "request");
        delivered.clear();
        return chosen;
    }

    using observer = std::function<void(std::size_t host, const action&, byte_view payload)>;

    manual_clock                            time;
    std::vector<member>                     members;
    std::vector<std::unique_ptr<forwarder>> hosts;
    std::set<std::size_t>                   paused; // hosts without ticks
    std::vector<backend_status>             statuses;
    std::deque<frame>                       frames;
    std::function<bool(const frame&)>       lose;      // true: the frame is lost
    observer                                observe;   // sees every action
    std::vector<endpoint>                   delivered; // tunnels, in order
    std::vector<std::vector<std::byte>>     replies;   // to callers

private:
    std::size_t                              max_flows_; // of each host
    configuration                            services_;
    std::map<std::size_t, ownership_history> history_;
    std::vector<member>                      started_members_;
    ownership_history                        started_history_;
};

} // namespace mesh
