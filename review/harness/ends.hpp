// Clients and targets. Requests and answers fit into one packet each; a flow carries one request at a time.
#pragma once

#include "machines.hpp"
#include "store.hpp"

namespace review {

// Judged events of one attempt of a client.
struct attempt {
    std::string id;
    std::string route;
    ms          opening_sent_at = 0; // when the client sent the first SYN of the flow
    std::string run_by{};            // service of the target that ran it; empty: not run
};
using attempts = std::map<std::string, attempt>;

class target {
public:
    struct settings {
        std::string   id; // its hex digits after the hyphen are the identity
        std::string   service;
        std::string   zone;
        endpoint      address;
        std::uint64_t identity = 0;
        ms            work = 20;
    };

    target(event_loop& loop, run_record& record, store& platform_store, attempts& all, settings own)
        : record_(record), store_(platform_store), attempts_(all), settings_(std::move(own)), born_(unix_ms()),
          port_(loop, settings_.address, [this](std::string_view bytes) { receive(bytes); }) {
        loop.on_tick([this] { tick(); });
    }

    const settings& own() const { return settings_; }
    // The flow with this client's end is open here.
    bool            holds(const endpoint& client) const {
                   const auto found = flows_.find(client);
                   return found != flows_.end() && found->second.is_open;
    }

private:
    static constexpr ms first_retransmission = 200;
    static constexpr ms longest_retransmission = 1'600;

    struct flow {
        endpoint      route;
        std::uint32_t echo = 0;
        std::uint32_t own_seq = 0;  // of the next byte that the target sends
        std::uint32_t next_seq = 0; // expected from the client
        bool          is_open = false;
        std::string   response{}; // not acknowledged yet
        ms            response_due_at = 0;
        ms            retransmit_at = 0;
        ms            interval = 0;
        unsigned      retransmissions = 0;
    };

    void send(const endpoint& client, const flow& to, std::uint8_t flags, std::uint32_t seq, const std::string& data) {
        packet out{.seq = seq,
                   .ack = to.next_seq,
                   .echo = to.echo,
                   .source = to.route,
                   .destination = client,
                   .flags = flags,
                   .data = data};
        port_.send({client.address, datagram_port}, out.encode());
    }

    void receive(std::string_view bytes) {
        if (bytes.size() < 8) return;
        std::uint64_t identity = 0;
        for (std::size_t i = 0; i < 8; ++i)
            identity = identity << 8 | static_cast<unsigned char>(bytes[i]);
        const auto received = packet::decode(bytes.substr(8));
        if (!received) return;
        if (identity != 0 && identity != settings_.identity) return; // another target is meant
        if (received->sum != received->compute_sum()) {
            record_.line("target " + settings_.id + " got a packet that its sender did not write so");
            return;
        }
        handle(*received);
    }

    void handle(const packet& received) {
        const endpoint& client = received.source;
        const auto      found = flows_.find(client);
        if (received.has(flag_syn)) {
            if (found == flows_.end()) {
                flow opened{.route = received.destination,
                            .echo = received.echo,
                            .own_seq = static_cast<std::uint32_t>(std::rand()) * 2U + 1U,
                            .next_seq = received.seq + 1};
                send(client, opened, flag_syn | flag_ack, opened.own_seq, {});
                ++opened.own_seq;
                flows_[client] = opened;
            } else if (!found->second.is_open) {
                send(client, found->second, flag_syn | flag_ack, found->second.own_seq - 1, {});
            }
            return;
        }
        if (received.has(flag_rst)) {
            if (found != flows_.end()) flows_.erase(found);
            return;
        }
        if (found == flows_.end() || (!found->second.is_open && received.ack != found->second.own_seq)) {
            flow unknown{.route = received.destination, .echo = received.echo, .next_seq = received.seq};
            send(client, unknown, flag_rst, received.ack, {});
            return;
        }
        flow& held = found->second;
        held.is_open = true;
        held.echo = received.echo;
        if (!held.response.empty() && received.ack == held.own_seq + held.response.size()) {
            held.own_seq += static_cast<std::uint32_t>(held.response.size());
            held.response.clear();
        }
        if (received.has(flag_fin)) {
            ++held.next_seq;
            send(client, held, flag_fin | flag_ack, held.own_seq, {});
            flows_.erase(found);
            return;
        }
        if (received.data.empty() || received.seq != held.next_seq || !held.response.empty()) return;
        held.next_seq += static_cast<std::uint32_t>(received.data.size());
        run(held, received.data);
    }

    void run(flow& held, const std::string& request) {
        const std::size_t start = request.find("Attempt-Id: ");
        const std::string id =
            start == std::string::npos ? "" : request.substr(start + 12, request.find('\r', start) - start - 12);
        record_.line("run " + id + " by " + settings_.service + " at " + settings_.id);
        const auto found = attempts_.find(id);
        if (found != attempts_.end()) {
            found->second.run_by = settings_.service;
        }
        const std::string body = "done " + id;
        held.response = "HTTP/1.1 200 OK\r\nResponse-Seal: " + id +
                        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        held.response_due_at = now() + settings_.work;
        held.retransmit_at = held.response_due_at;
        held.interval = first_retransmission;
        held.retransmissions = 0;
    }

    void tick() {
        for (auto& [client, held] : flows_) {
            if (held.response.empty() || now() < held.retransmit_at || held.retransmissions > 8) continue;
            send(client, held, flag_ack, held.own_seq, held.response);
            held.retransmit_at = now() + held.interval;
            held.interval = std::min(2 * held.interval, longest_retransmission);
            ++held.retransmissions;
        }
        if (is_registered_) return;
        is_registered_ = true;
        // It reports again and again, but the entry changes only when more than the sequence does.
        store_.put("servers/" + settings_.id,
                   "{\"service\":\"" + settings_.service + "\",\"address\":\"" + settings_.address.text() +
                       "\",\"zone\":\"" + settings_.zone +
                       "\",\"version\":\"v1\",\"capacity\":2,\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":1,"
                       "\"born\":" +
                       std::to_string(born_) + "}");
    }

    run_record&              record_;
    store&                   store_;
    attempts&                attempts_;
    settings                 settings_;
    std::int64_t             born_;
    bool                     is_registered_ = false;
    std::map<endpoint, flow> flows_; // by the client's end
    udp_port                 port_;  // last: its handler uses the members above
};

// One address of clients in a zone. It may move to another zone, as clients do (`shift`).
class client {
public:
    static constexpr ms time_limit = 2'500; // of a request

    struct flow_plan {
        std::string route; // name
        endpoint    address;
        unsigned    requests = 1;
        ms          pause = 0; // between requests
    };
    // What a client sees of a reset.
    struct reset {
        endpoint    end; // of the client
        std::string route;
        bool        was_open = false;
        bool        is_from_target = false;
        std::string from_machine; // that took the latest packet
        std::string target_id;    // holds the flow; empty: none
        ms          at = 0;
    };

    client(event_loop& loop, run_record& record, const routers& platform_routers, attempts& all,
           const std::vector<std::unique_ptr<target>>& targets, std::string zone, ip address)
        : record_(record), routers_(platform_routers), attempts_(all), targets_(targets), zone_(std::move(zone)),
          address_(address), port_(loop, {address, datagram_port}, [this](std::string_view bytes) { receive(bytes); }) {
        loop.on_tick([this] { tick(); });
    }

    void open(const flow_plan& plan) {
        flow opened{
            .plan = plan, .seq = static_cast<std::uint32_t>(std::rand()), .started_at = now(), .left = plan.requests};
        const endpoint end{address_, ++last_port_};
        flows_[end.port] = opened;
        send_syn(end.port, flows_[end.port]);
    }
    void                      move_to(const std::string& zone) { zone_ = zone; }
    const std::vector<reset>& resets() const { return resets_; }
    unsigned                  served() const { return served_; }

private:
    struct flow {
        flow_plan     plan;
        std::uint32_t seq = 0;
        std::uint32_t ack = 0;
        std::uint32_t echo = 0;
        ms            started_at = 0;
        unsigned      left = 0;
        unsigned      copies = 0; // of the SYN
        bool          is_open = false;
        bool          is_over = false;
        std::string   request{}; // waits for its answer
        std::string   id{};
        ms            request_sent_at = 0;
        ms            retransmit_at = 0;
        ms            interval = 0;
        ms            next_request_at = 0;
        std::string   machine{}; // that took the latest packet
    };

    void send(std::uint16_t port, flow& from, std::uint8_t flags, std::uint32_t ack, const std::string& data) {
        packet         out{.seq = from.seq,
                           .ack = ack,
                           .echo = (flags & flag_syn) != 0 ? 0 : from.echo,
                           .source = {address_, port},
                           .destination = from.plan.address,
                           .flags = flags,
                           .data = data};
        const machine* taker = routers_.machine_for(zone_, out);
        if (taker == nullptr) return;
        from.machine = taker->settings().name;
        port_.send(taker->datagram_address(), out.encode());
    }

    void send_syn(std::uint16_t port, flow& from) { send(port, from, flag_syn, from.copies, {}); }

    void begin_request(std::uint16_t port, flow& from) {
        --from.left;
        from.id = text_of(address_) + "-" + std::to_string(port) + "-" + std::to_string(from.left);
        from.request = "GET /work HTTP/1.1\r\nHost: service\r\nAttempt-Id: " + from.id + "\r\n\r\n";
        from.request_sent_at = now();
        from.interval = 200;
        from.retransmit_at = now() + from.interval;
        attempts_[from.id] = {.id = from.id, .route = from.plan.route, .opening_sent_at = from.started_at};
        record_.line("sent " + from.id + " on " + from.plan.route);
        send(port, from, flag_ack, from.ack, from.request);
    }

    void receive(std::string_view bytes) {
        const auto received = packet::decode(bytes);
        if (!received) return;
        const auto found = flows_.find(received->destination.port);
        if (found == flows_.end() || found->second.is_over) return;
        const std::uint16_t port = found->first;
        flow&               mine = found->second;
        if (received->has(flag_rst)) return handle_reset(port, mine, *received);
        if (received->sum != received->compute_sum()) {
            record_.line("a client got a packet that its sender did not write so");
            return;
        }
        mine.echo = received->echo;
        if (received->has(flag_syn)) {
            if (mine.is_open) return;
            mine.is_open = true;
            mine.ack = received->seq + 1;
            ++mine.seq;
            begin_request(port, mine);
            return;
        }
        if (received->has(flag_fin)) {
            mine.is_over = true;
            return;
        }
        if (mine.request.empty() || received->seq != mine.ack || received->data.find(mine.id) == std::string::npos) {
            if (!received->data.empty()) send(port, mine, flag_ack, mine.ack, {}); // a copy
            return;
        }
        mine.ack += static_cast<std::uint32_t>(received->data.size());
        mine.seq += static_cast<std::uint32_t>(mine.request.size());
        mine.request.clear();
        record_.line("answered " + mine.id);
        ++served_;
        send(port, mine, flag_ack, mine.ack, {});
        mine.next_request_at = now() + mine.plan.pause;
    }

    // A reset of the system has no sum; a target's has one.
    void handle_reset(std::uint16_t port, flow& mine, const packet& received) {
        const bool is_from_target = received.sum != 0 && received.sum == received.compute_sum();
        const bool is_in_window = received.seq - mine.ack + 76'800U <= 153'600U;
        if (mine.is_open && !is_from_target && !is_in_window) return;
        reset seen{.end = {address_, port},
                   .route = mine.plan.route,
                   .was_open = mine.is_open,
                   .is_from_target = is_from_target,
                   .from_machine = mine.machine,
                   .at = now()};
        for (const auto& each : targets_) {
            if (each->holds({address_, port})) seen.target_id = each->own().id;
        }
        record_.line("reset of flow " + seen.end.text() + " on " + seen.route +
                     (seen.was_open ? ", open" : ", not open") +
                     (is_from_target ? ", by a target" : ", by the system") + ", latest packet taken by " +
                     seen.from_machine + (seen.target_id.empty() ? "" : ", held by " + seen.target_id));
        resets_.push_back(seen);
        mine.is_over = true;
    }

    void tick() {
        for (auto& [port, mine] : flows_) {
            if (mine.is_over) continue;
            if (!mine.is_open) {
                const ms age = now() - mine.started_at;
                if (age >= 1'400) {
                    mine.is_over = true;
                    record_.line("flow " + endpoint{address_, port}.text() + " on " + mine.plan.route +
                                 " did not open");
                } else if ((mine.copies == 0 && age >= 200) || (mine.copies == 1 && age >= 600)) {
                    ++mine.copies;
                    send_syn(port, mine);
                }
                continue;
            }
            if (!mine.request.empty()) {
                if (now() - mine.request_sent_at >= time_limit) {
                    record_.line("gave up " + mine.id);
                    mine.is_over = true;
                } else if (now() >= mine.retransmit_at) {
                    mine.interval = std::min<ms>(2 * mine.interval, 1'600);
                    mine.retransmit_at = now() + mine.interval;
                    send(port, mine, flag_ack, mine.ack, mine.request);
                }
                continue;
            }
            if (now() < mine.next_request_at) continue;
            if (mine.left > 0) {
                begin_request(port, mine);
            } else {
                send(port, mine, flag_fin | flag_ack, mine.ack, {});
                mine.is_over = true;
            }
        }
        if (now() - last_clean_up_ < 1'000) return;
        last_clean_up_ = now();
        std::erase_if(flows_, [](const auto& each) { return each.second.is_over; });
    }

    run_record&                                 record_;
    const routers&                              routers_;
    attempts&                                   attempts_;
    const std::vector<std::unique_ptr<target>>& targets_;
    std::string                                 zone_;
    ip                                          address_ = 0;
    std::uint16_t                               last_port_ = 20'000;
    std::map<std::uint16_t, flow>               flows_; // by port
    std::vector<reset>                          resets_;
    unsigned                                    served_ = 0;
    ms                                          last_clean_up_ = 0;
    udp_port                                    port_; // last: its handler uses the members above
};

} // namespace review
