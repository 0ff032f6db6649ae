// Forwarders connected by an in-memory queue of relay frames. Tests can drop, delay or reorder the frames.
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

inline const endpoint fabric_endpoint{ip_address::v4(0x7f000001), 5000};
inline const endpoint service_address{ip_address::v4(0x0a010001), 443};

struct frame {
    std::size_t            sending_host = 0;
    std::size_t            receiving_host = 0;
    std::vector<std::byte> bytes;
    steady_time            sent_at{}; // time at which the caller sent the packet
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
        advance_time(10s); // longer than reset_grace
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
        self.incarnation = static_cast<incarnation_number>(time.wall_now().time_since_epoch() / 1ms);
        self.failure_domain = "domain-" + std::to_string(hosts.size() % 3);
        self.relay = {ip_address::v4(0x7f010001), static_cast<std::uint16_t>(4000 + self.id)};
        members.push_back(self);
        hosts.push_back(make_forwarder(self));
        return hosts.size() - 1;
    }

    // Restarts the process of a host: same id, new incarnation, no state.
    void restart_host(std::size_t host) {
        const auto now = static_cast<incarnation_number>(time.wall_now().time_since_epoch() / 1ms);
        members[host].incarnation = std::max(members[host].incarnation + 1, now);
        members[host].state = member_state::alive;
        history_.erase(host);
        hosts[host] = make_forwarder(members[host]);
    }

    std::unique_ptr<forwarder> make_forwarder(const member& self) {
        forwarder_settings settings;
        settings.self = self.id;
        settings.self_incarnation = self.incarnation;
        settings.table.max_flows = max_flows_;
        return std::make_unique<forwarder>(settings, time);
    }

    void remove_host(std::size_t host) {
        hosts[host].reset();
        members[host].state = member_state::dead;
    }

    configuration& services() { return services_; }
    void           increase_revision() { ++services_.revision; }

    forwarding_state state_for(std::size_t host) {
        forwarding_state state;
        state.built_at = time.steady_now();
        state.services = std::make_shared<configuration>(services_);
        state.statuses = statuses;
        for (const auto& item : members) {
            if (item.state != member_state::dead) state.members.push_back(item);
        }
        if (!history_[host].present) history_[host] = initial_history(state.members);
        history_[host] = advance(history_[host], ranking_of(state.members), time.steady_now());
        state.owners = history_[host];
        return state;
    }

    // Hosts that start at the same time share their history, since building one takes milliseconds.
    ownership_history initial_history(const std::vector<member>& current_members) {
        if (current_members != initial_members_ || initial_history_.present_since != time.steady_now()) {
            initial_members_ = current_members;
            initial_history_ = reconstruct_history(current_members, time.wall_now(), time.steady_now());
        }
        return initial_history_;
    }

    // Hosts with the same members share their ranking, since building one takes milliseconds.
    static std::shared_ptr<const ownership> ranking_of(const std::vector<member>& current_members) {
        static std::map<std::vector<std::pair<member_id, std::string>>, std::shared_ptr<const ownership>> rankings;

        std::vector<std::pair<member_id, std::string>> ranking_key;
        ranking_key.reserve(current_members.size());
        for (const auto& item : current_members)
            ranking_key.emplace_back(item.id, item.state == member_state::leaving ? "" : item.failure_domain);
        auto& ranking = rankings[ranking_key];
        if (!ranking) ranking = std::make_shared<ownership>(current_members);
        return ranking;
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

    // Advances the clock in steps too short to count as a pause.
    void advance_time(duration time_to_pass) {
        for (duration passed{}; passed < time_to_pass; passed += 500ms) {
            time.advance(500ms);
            tick_all();
        }
    }

    void tick_all() {
        action_buffer out;
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            if (hosts[i] && !paused_hosts.contains(i)) hosts[i]->tick(out);
        }
    }

    static flow_tuple flow(std::uint16_t port) {
        return {transport::tcp, {ip_address::v4(0x0a000001), port}, service_address};
    }

    // Sends a segment to one host and delivers all resulting relay frames.
    void send(std::size_t host, const flow_tuple& tuple, std::uint8_t flags, std::uint32_t sequence = 1,
              std::string_view payload = {}) {
        inject_packet(host, tuple, flags, sequence, payload);
        deliver_all_frames();
    }

    void inject_packet(std::size_t host, const flow_tuple& tuple, std::uint8_t flags, std::uint32_t sequence = 1,
                       std::string_view payload = {}) {
        inject_packet(host, standin::make_gue_segment(tuple, {flags, sequence, 2, payload}), time.steady_now());
    }

    void inject_packet(std::size_t host, byte_view packet, steady_time sent_at) {
        action_buffer out;
        hosts[host]->receive_from_fabric(packet, fabric_endpoint, out);
        perform_actions(host, out, sent_at);
    }

    void deliver_all_frames() {
        while (!frames.empty()) {
            const frame next_frame = std::move(frames.front());
            frames.pop_front();
            if (drop_frame && drop_frame(next_frame)) continue;
            deliver_frame(next_frame);
        }
    }

    void deliver_frame(const frame& item) {
        if (!hosts[item.receiving_host]) return;
        action_buffer out;
        hosts[item.receiving_host]->receive_from_peer(item.bytes, out);
        perform_actions(item.receiving_host, out, item.sent_at);
    }

    void perform_actions(std::size_t host, const action_buffer& out, steady_time sent_at) {
        for (const auto& item : out.actions()) {
            const auto payload = out.payload(item);
            if (on_action) on_action(host, item, payload);
            if (item.kind == action_kind::deliver) {
                delivered.push_back(item.destination);
            } else if (item.kind == action_kind::reply_to_caller) {
                replies.emplace_back(payload.begin(), payload.end());
            } else {
                for (std::size_t i = 0; i < members.size(); ++i) {
                    if (members[i].relay == item.destination)
                        frames.push_back({host, i, {payload.begin(), payload.end()}, sent_at});
                }
            }
        }
    }

    holders holders_of(const flow_tuple& tuple) { return any_live_host().explain(tuple).bucket_holders; }

    forwarder& any_live_host() {
        for (auto& item : hosts) {
            if (item) return *item;
        }
        std::abort();
    }

    std::size_t owner_of(const flow_tuple& tuple) { return holders_of(tuple).owner() - 1; }
    std::size_t second_of(const flow_tuple& tuple) { return holders_of(tuple).second - 1; }
    std::size_t other_than_holders(const flow_tuple& tuple) {
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            if (hosts[i] && i != owner_of(tuple) && i != second_of(tuple)) return i;
        }
        std::abort();
    }

    // Opens a flow through a host that does not hold it; returns the tunnel of its backend server.
    endpoint open_flow(const flow_tuple& tuple, std::uint32_t initial_sequence = 1) {
        const std::size_t receiving_host = other_than_holders(tuple);
        delivered.clear();
        send(receiving_host, tuple, standin::syn_flag, initial_sequence);
        if (delivered.size() != 1) std::abort();
        const endpoint chosen = delivered.front();
        send(receiving_host, tuple, standin::ack_flag, initial_sequence + 1, "request");
        delivered.clear();
        return chosen;
    }

    using observer = std::function<void(std::size_t host, const action&, byte_view payload)>;

    manual_clock                            time;
    std::vector<member>                     members;
    std::vector<std::unique_ptr<forwarder>> hosts;
    std::set<std::size_t>                   paused_hosts; // hosts that get no ticks
    std::vector<backend_status>             statuses;
    std::deque<frame>                       frames;
    std::function<bool(const frame&)>       drop_frame; // true: the frame is dropped
    observer                                on_action;  // called for every action
    std::vector<endpoint>                   delivered;  // tunnel of each delivery, in order
    std::vector<std::vector<std::byte>>     replies;    // to callers

private:
    std::size_t                              max_flows_; // capacity of each host's flow table
    configuration                            services_;
    std::map<std::size_t, ownership_history> history_;
    std::vector<member>                      initial_members_;
    ownership_history                        initial_history_;
};

} // namespace mesh
