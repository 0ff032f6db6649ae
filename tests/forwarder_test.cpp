// Tests of the forwarder's decisions (docs/design.md section 2.2). Each test names the failure that it guards against.
#define BOOST_TEST_MODULE forwarder
#include "tests/forwarder_mesh.h"

#include <boost/test/unit_test.hpp>

using namespace mesh;

namespace tamarack {
std::ostream& operator<<(std::ostream& out, const endpoint& item) {
    return out << item.to_string();
}
} // namespace tamarack

namespace {

constexpr std::uint16_t first_port = 10'000;
constexpr std::uint16_t flow_count = 50;

template <class Function>
void for_each_flow(const Function& function) {
    for (std::uint16_t i = 0; i < flow_count; ++i)
        function(forwarder_mesh::flow(static_cast<std::uint16_t>(first_port + i)));
}

// Sends a frame of another flow from a host to its owner. The frame acknowledges the owner's place frames.
void acknowledge(forwarder_mesh& net, std::size_t from, std::size_t owner) {
    for (std::uint16_t port = 20'000;; ++port) {
        const auto other = forwarder_mesh::flow(port);
        if (net.owner_of(other) == owner) return net.send(from, other, standin::syn_flag);
    }
}

// Replicates idle placements once between all hosts, starting with the latest host.
void replicate(forwarder_mesh& net) {
    for (std::size_t host = net.hosts.size(); host-- > 0;) {
        if (!net.hosts[host]) continue;
        for (const auto& [target, items] : net.hosts[host]->placements_to_replicate(1000)) {
            std::vector<flow_key> stored;
            for (const auto& item : items) {
                if (net.hosts[target - 1]->store_replicated(net.members[host].id, item)) stored.push_back(item.key);
            }
            net.hosts[host]->acknowledge_replicated(target, stored);
        }
    }
}

// Opens a flow through hosts 1 to 4 after a fifth host, not yet known to them, has proposed a different placement for
// it. A sixth host then joins as the flow's owner; the fifth host is its second holder.
flow_tuple open_flow_with_conflicting_proposal(forwarder_mesh& net, bool with_data) {
    net.services().services.front().backend_servers.front().state = backend_state::draining;
    net.increase_revision();
    net.add_host();
    net.publish(4);
    const auto present = net.members;
    auto       later = net.members;
    later.push_back({6, 0, "domain-2", {}, {}, {}, member_state::alive});
    for (std::uint16_t port = first_port;; ++port) {
        const auto flow = forwarder_mesh::flow(port);
        const auto bucket = bucket_of(make_flow_key(flow, 0));
        const auto final_pair = ownership(later).holders_of(bucket);
        if (final_pair.owner() != 6 || final_pair.second != 5 || ownership(present).holders_of(bucket).owner() != 5)
            continue;
        // The flow must be one that hosts 1 to 4, which do not know of the drain, place on the draining backend server.
        forwarder_mesh trial(4, 2);
        if (trial.open_flow(flow) != trial.services().services.front().backend_servers.front().tunnel) continue;
        net.drop_frame = [](const frame&) { return true; };
        net.send(4, flow, standin::syn_flag);
        if (with_data) net.send(4, flow, standin::ack_flag, 2, "request");
        net.drop_frame = {};
        net.delivered.clear();
        net.send(net.owner_of(flow), flow, standin::syn_flag);
        net.send(net.second_of(flow), flow, standin::ack_flag, 2, "request");
        net.add_host();
        net.publish_all();
        if (net.delivered.front() == net.services().services.front().backend_servers.front().tunnel) return flow;
        std::abort(); // placed differently than in the trial
    }
}

void send_through_all(forwarder_mesh& net, const flow_tuple& flow, const endpoint& expected) {
    for (std::size_t host = 0; host < net.hosts.size(); ++host) {
        if (!net.hosts[host]) continue;
        net.delivered.clear();
        net.send(host, flow, standin::ack_flag, 3, "more");
        BOOST_REQUIRE_EQUAL(net.delivered.size(), 1U);
        BOOST_TEST(net.delivered.front() == expected);
    }
}

} // namespace

// Guards against a choice of backend server that depends on the balancer that receives the packet.
BOOST_AUTO_TEST_CASE(every_balancer_delivers_a_flow_to_the_same_backend_server) {
    forwarder_mesh net(6);
    for_each_flow([&](const flow_tuple& flow) { send_through_all(net, flow, net.open_flow(flow)); });
}

// Guards against delivery of a SYN while only one balancer knows the placement.
BOOST_AUTO_TEST_CASE(syn_is_delivered_by_the_second_holder_only) {
    forwarder_mesh net(6);
    for_each_flow([&](const flow_tuple& flow) {
        const std::size_t second = net.second_of(flow);
        net.drop_frame = [second](const frame& item) { return item.receiving_host == second; };
        net.delivered.clear();
        net.send(net.owner_of(flow), flow, standin::syn_flag);
        BOOST_TEST(net.delivered.empty());
        net.drop_frame = {};
        net.send(net.owner_of(flow), flow, standin::syn_flag);
        BOOST_TEST(net.delivered.size() == 1U);
    });
}

// Guards against the loss of a flow when either holder crashes, before and after the peers detect it.
BOOST_AUTO_TEST_CASE(flows_survive_the_crash_of_either_holder) {
    for (const bool crash_owner : {true, false}) {
        for_each_flow([&](const flow_tuple& flow) {
            forwarder_mesh    net(6);
            const endpoint    expected = net.open_flow(flow);
            const std::size_t lost = crash_owner ? net.owner_of(flow) : net.second_of(flow);
            net.remove_host(lost);
            net.publish_all();
            send_through_all(net, flow, expected);
            BOOST_TEST(net.replies.empty());
        });
    }
}

// Guards against a second holder that keeps an established flow as half-open and lets it expire.
BOOST_AUTO_TEST_CASE(second_holder_learns_that_a_flow_is_established) {
    for_each_flow([](const flow_tuple& flow) {
        forwarder_mesh    net(3);
        const std::size_t owner = net.owner_of(flow);
        net.send(owner, flow, standin::syn_flag);
        const endpoint expected = net.delivered.front();
        // The second holder's frame acknowledges the placement before the owner has passed on any data.
        net.send(net.second_of(flow), flow, standin::ack_flag, 2, "request");
        net.advance_time(40s);
        net.remove_host(owner);
        net.publish_all();
        send_through_all(net, flow, expected);
    });
}

// Guards against the loss of a flow whose second holder received it as half-open, let it expire, and still counts as a
// holder when it becomes the second holder again.
BOOST_AUTO_TEST_CASE(acknowledgement_of_the_syn_expires_with_a_change_of_the_owner) {
    for_each_flow([](const flow_tuple& flow) {
        forwarder_mesh    net(3);
        const std::size_t owner = net.owner_of(flow);
        const std::size_t second = net.second_of(flow);
        net.send(owner, flow, standin::syn_flag);
        const endpoint expected = net.delivered.front();
        acknowledge(net, second, owner);
        net.add_host();
        net.publish_all();
        net.send(3, flow, standin::ack_flag, 2, "request");
        net.send(3, flow, standin::ack_flag, 3, "request");
        net.advance_time(40s);
        net.remove_host(3);
        net.publish_all();
        net.send(owner, flow, standin::ack_flag, 4, "request");
        net.remove_host(owner);
        net.publish_all();
        net.advance_time(4s);
        send_through_all(net, flow, expected);
    });
}

// Guards against a lookup that returns an unacknowledged proposal although another host has the acknowledged placement.
BOOST_AUTO_TEST_CASE(lookup_prefers_acknowledged_placements) {
    forwarder_mesh   net(4, 2);
    const flow_tuple flow = open_flow_with_conflicting_proposal(net, false);
    net.advance_time(4s);
    net.publish_all();
    send_through_all(net, flow, net.services().services.front().backend_servers.front().tunnel);
}

// Guards against an unacknowledged proposal that is replicated to other holders over the control channel.
BOOST_AUTO_TEST_CASE(acknowledged_placements_win_over_replicated_proposals) {
    forwarder_mesh   net(4, 2);
    const flow_tuple flow = open_flow_with_conflicting_proposal(net, true);
    for (int i = 0; i < 20; ++i) {
        net.advance_time(2s);
        replicate(net);
    }
    send_through_all(net, flow, net.services().services.front().backend_servers.front().tunnel);
}

// Guards against the loss of flows when new balancers become both owner and second holder at the same time.
BOOST_AUTO_TEST_CASE(flows_survive_the_join_of_several_empty_balancers) {
    forwarder_mesh                               net(3);
    std::vector<std::pair<flow_tuple, endpoint>> flows;
    for_each_flow([&](const flow_tuple& flow) { flows.emplace_back(flow, net.open_flow(flow)); });
    for (int i = 0; i < 6; ++i)
        net.add_host();
    net.publish_all();
    net.advance_time(4s);
    net.publish_all();
    for (const auto& [flow, expected] : flows)
        send_through_all(net, flow, expected);
    BOOST_TEST(net.replies.empty());
}

// Guards against two backend servers for one flow when a SYN is repeated while balancers have different rankings.
BOOST_AUTO_TEST_CASE(repeated_syn_under_a_different_ranking_finds_the_placement) {
    forwarder_mesh                               net(4);
    std::vector<std::pair<flow_tuple, endpoint>> flows;
    for_each_flow([&](const flow_tuple& flow) {
        net.delivered.clear();
        net.send(net.other_than_holders(flow), flow, standin::syn_flag);
        BOOST_REQUIRE_EQUAL(net.delivered.size(), 1U);
        flows.emplace_back(flow, net.delivered.front());
    });
    net.add_host();
    net.add_host();
    net.publish(4);
    net.publish(5);
    net.publish(0); // hosts 1 to 3 do not know the new members yet
    for (const auto& [flow, expected] : flows) {
        for (std::size_t host = 0; host < net.hosts.size(); ++host) {
            net.delivered.clear();
            net.send(host, flow, standin::syn_flag);
            for (const auto& tunnel : net.delivered)
                BOOST_TEST(tunnel == expected);
        }
    }
}

// Guards against a second holder that accepts an outdated proposal: a backend server known to be draining must get no
// new flows.
BOOST_AUTO_TEST_CASE(second_holder_replaces_a_choice_that_it_knows_to_be_draining) {
    forwarder_mesh net(4);
    for_each_flow([&](const flow_tuple& flow) {
        for (auto& server : net.services().services.front().backend_servers)
            server.state = backend_state::active;
        net.increase_revision();
        net.publish_all();
        for (std::size_t i = 0; i + 1 < net.services().services.front().backend_servers.size(); ++i) {
            net.services().services.front().backend_servers[i].state = backend_state::draining;
        }
        net.increase_revision();
        net.publish(net.second_of(flow));
        const endpoint expected = net.services().services.front().backend_servers.back().tunnel;
        net.delivered.clear();
        net.send(net.owner_of(flow), flow, standin::syn_flag);
        BOOST_REQUIRE_EQUAL(net.delivered.size(), 1U);
        BOOST_TEST(net.delivered.front() == expected);
        net.delivered.clear();
        net.send(net.owner_of(flow), flow, standin::ack_flag, 2, "request");
        BOOST_REQUIRE_EQUAL(net.delivered.size(), 1U);
        BOOST_TEST(net.delivered.front() == expected);
    });
}

// Guards against delivery by a replacement choice while the owner knows only its own choice: if the second holder then
// fails, the repeated SYN would reach the owner's choice too.
BOOST_AUTO_TEST_CASE(replacement_choice_is_delivered_only_after_the_owner_knows_it) {
    for_each_flow([](const flow_tuple& flow) {
        forwarder_mesh    net(4, 2);
        const std::size_t owner = net.owner_of(flow);
        const std::size_t second = net.second_of(flow);
        net.services().services.front().backend_servers.front().state = backend_state::draining;
        net.increase_revision();
        net.publish(second);
        net.drop_frame = [&](const frame& item) { return item.receiving_host == owner; };
        net.send(owner, flow, standin::syn_flag);
        net.drop_frame = {};
        net.remove_host(second);
        net.publish_all();
        net.send(owner, flow, standin::syn_flag);
        BOOST_REQUIRE(!net.delivered.empty());
        for (const auto& tunnel : net.delivered)
            BOOST_TEST(tunnel == net.delivered.front());
    });
}

// Guards against a new owner that treats an offered placement as new: the second holder could then replace it although
// it has been delivered.
BOOST_AUTO_TEST_CASE(offered_placement_is_not_replaced) {
    for_each_flow([](const flow_tuple& flow) {
        forwarder_mesh    net(4, 2);
        const std::size_t old_owner = net.owner_of(flow);
        net.send(old_owner, flow, standin::syn_flag);
        BOOST_REQUIRE(net.delivered.size() == 1U);
        net.add_host();
        net.add_host();
        net.publish_all();
        for (auto& server : net.services().services.front().backend_servers) {
            if (server.tunnel == net.delivered.front()) server.state = backend_state::draining;
        }
        net.increase_revision();
        net.publish(net.second_of(flow));
        net.send(old_owner, flow, standin::syn_flag);
        BOOST_TEST(net.delivered.size() == 2U);
        BOOST_TEST(net.delivered.front() == net.delivered.back());
    });
}

// Guards against established flows that leave a draining backend server, and against new flows that are placed on it.
BOOST_AUTO_TEST_CASE(draining_backend_server_keeps_its_flows_and_gets_no_new_ones) {
    forwarder_mesh                               net(4);
    std::vector<std::pair<flow_tuple, endpoint>> flows;
    for_each_flow([&](const flow_tuple& flow) { flows.emplace_back(flow, net.open_flow(flow)); });
    backend_server& drained = net.services().services.front().backend_servers.front();
    drained.state = backend_state::draining;
    net.increase_revision();
    net.publish_all();
    for (const auto& [flow, expected] : flows)
        send_through_all(net, flow, expected);
    for (std::uint16_t i = 0; i < flow_count; ++i) {
        BOOST_TEST(net.open_flow(forwarder_mesh::flow(static_cast<std::uint16_t>(30'000 + i))) != drained.tunnel);
    }
}

// A refused caller is told "not run". Guards against delivery of a late duplicate of the refused SYN when a backend
// server has become available since.
BOOST_AUTO_TEST_CASE(late_duplicate_of_a_refused_syn_is_refused) {
    forwarder_mesh net(4, 0);
    for_each_flow([&](const flow_tuple& flow) {
        net.replies.clear();
        net.send(net.other_than_holders(flow), flow, standin::syn_flag);
        BOOST_TEST(net.replies.size() == 1U);
    });
    net.add_backend();
    net.increase_revision();
    net.publish_all();
    net.delivered.clear();
    for_each_flow([&](const flow_tuple& flow) { net.send(net.owner_of(flow), flow, standin::syn_flag); });
    BOOST_TEST(net.delivered.empty());
    constexpr std::uint32_t next_attempt = 500'000; // a different initial sequence number
    for_each_flow([&](const flow_tuple& flow) { net.send(net.owner_of(flow), flow, standin::syn_flag, next_attempt); });
    BOOST_TEST(net.delivered.size() == flow_count);
}

// Guards against delivery of a refused SYN when the owner that refused it is no longer the owner.
BOOST_AUTO_TEST_CASE(late_duplicate_of_a_refused_syn_is_refused_under_a_new_owner) {
    forwarder_mesh net(4, 0);
    for_each_flow([&](const flow_tuple& flow) { net.send(net.owner_of(flow), flow, standin::syn_flag); });
    net.add_backend();
    net.increase_revision();
    net.add_host();
    net.add_host();
    net.publish_all();
    for_each_flow([&](const flow_tuple& flow) { net.send(net.owner_of(flow), flow, standin::syn_flag); });
    BOOST_TEST(net.delivered.empty());
}

// Guards against a refusal that expires early because it was repeated, or because the caller made another attempt.
BOOST_AUTO_TEST_CASE(refusals_are_remembered_from_the_last_one_and_for_each_attempt) {
    forwarder_mesh net(3, 0);
    const auto     flow = forwarder_mesh::flow(first_port);
    net.send(0, flow, standin::syn_flag, 1);
    net.advance_time(8s);
    net.send(0, flow, standin::syn_flag, 1);
    net.send(0, flow, standin::syn_flag, 500'000);
    net.add_backend();
    net.increase_revision();
    net.publish_all();
    net.advance_time(4s);
    net.send(0, flow, standin::syn_flag, 1);
    net.send(0, flow, standin::syn_flag, 500'000);
    BOOST_TEST(net.delivered.empty());
    net.send(0, flow, standin::syn_flag, 900'000);
    BOOST_TEST(net.delivered.size() == 1U);
    net.send(0, flow, standin::syn_flag, 500'000); // the placement belongs to the later SYN
    BOOST_TEST(net.delivered.size() == 1U);
}

// A RST in answer to a SYN means "not run". Guards against that answer when the backend server dies after the delivery.
BOOST_AUTO_TEST_CASE(syn_of_a_delivered_flow_is_never_answered_with_reset) {
    forwarder_mesh net(4, 1);
    for_each_flow([&](const flow_tuple& flow) { net.send(net.other_than_holders(flow), flow, standin::syn_flag); });
    net.statuses = {{net.services().services.front().backend_servers.front().id, false, net.time.steady_now(), 1.0F}};
    net.advance_time(12s);
    net.publish_all();
    net.replies.clear();
    net.delivered.clear();
    for_each_flow([&](const flow_tuple& flow) { net.send(net.other_than_holders(flow), flow, standin::syn_flag); });
    BOOST_TEST(net.replies.empty());
}

// Guards against a flow of a dead backend server that gets no answer, or is moved to another backend server.
BOOST_AUTO_TEST_CASE(flow_of_a_dead_backend_server_is_reset_after_the_grace_time) {
    forwarder_mesh net(4, 2);
    const auto     flow = forwarder_mesh::flow(first_port);
    const endpoint expected = net.open_flow(flow);
    for (const auto& server : net.services().services.front().backend_servers) {
        if (server.tunnel == expected) net.statuses = {{server.id, false, net.time.steady_now(), 1.0F}};
    }
    net.publish_all();
    send_through_all(net, flow, expected);
    BOOST_TEST(net.replies.empty());
    net.advance_time(11s);
    net.delivered.clear();
    net.send(0, flow, standin::ack_flag, 9, "request");
    BOOST_TEST(net.delivered.empty());
    BOOST_TEST(net.replies.size() == 1U);
}

// Guards against a flow that gets no answer after both holders are lost, and against a reset while a holder may still
// be found.
BOOST_AUTO_TEST_CASE(flow_without_any_holder_is_reset_once_the_ranking_has_settled) {
    forwarder_mesh net(6);
    const auto     flow = forwarder_mesh::flow(first_port);
    const auto     owner = net.owner_of(flow);
    const auto     second = net.second_of(flow);
    net.open_flow(flow);
    net.remove_host(owner);
    net.remove_host(second);
    net.publish_all();
    const std::size_t receiving_host = net.other_than_holders(flow);
    net.send(receiving_host, flow, standin::ack_flag, 3, "request");
    BOOST_TEST(net.replies.empty());
    net.advance_time(3s);
    net.publish_all([](forwarding_state& state) { state.network_partition_suspected = true; });
    net.send(receiving_host, flow, standin::ack_flag, 3, "request");
    BOOST_TEST(net.replies.empty());
    net.publish_all();
    net.send(receiving_host, flow, standin::ack_flag, 3, "request");
    BOOST_TEST(net.replies.size() == 1U);
    BOOST_TEST(net.delivered.empty());
}

// Guards against a new connection that is mistaken for an earlier one with the same 5-tuple.
BOOST_AUTO_TEST_CASE(five_tuple_can_be_reused_after_fin) {
    forwarder_mesh net(5);
    for_each_flow([&](const flow_tuple& flow) {
        net.open_flow(flow);
        net.send(net.other_than_holders(flow), flow, standin::fin_flag | standin::ack_flag, 9);
        // Callers choose a higher initial sequence number than before.
        const endpoint new_backend = net.open_flow(flow, 1'000);
        send_through_all(net, flow, new_backend);
        BOOST_TEST(net.hosts[net.owner_of(flow)]->explain(flow).held_placement->generation == 2U);
    });
}

// Guards against a former holder that delivers a new connection by the placement of an earlier one.
BOOST_AUTO_TEST_CASE(former_holders_drop_a_flow_whose_tuple_is_reused) {
    for_each_flow([](const flow_tuple& flow) {
        forwarder_mesh net(4);
        const endpoint old_backend = net.open_flow(flow);
        net.send(net.owner_of(flow), flow, standin::fin_flag | standin::ack_flag, 9);
        net.add_host();
        net.add_host();
        for (auto& server : net.services().services.front().backend_servers) {
            if (server.tunnel == old_backend) server.state = backend_state::draining;
        }
        net.increase_revision();
        net.publish_all();
        net.send(net.owner_of(flow), flow, standin::syn_flag, 1'000);
        net.advance_time(35s); // the new half-open placement expires before the old closing one
        net.delivered.clear();
        net.send(net.owner_of(flow), flow, standin::ack_flag, 1'001, "request");
        BOOST_TEST(net.delivered.empty());
    });
}

// Guards against a late FIN of an earlier connection that closes a live flow, which would expire within a minute.
BOOST_AUTO_TEST_CASE(late_fin_of_an_earlier_connection_does_not_close_a_flow) {
    forwarder_mesh net(5);
    for_each_flow([&](const flow_tuple& flow) {
        net.open_flow(flow);
        net.send(net.other_than_holders(flow), flow, standin::fin_flag | standin::ack_flag, 9);
        net.open_flow(flow, 1'000);
        net.send(net.other_than_holders(flow), flow, standin::fin_flag | standin::ack_flag, 9);
        net.send(net.other_than_holders(flow), flow, standin::ack_flag, 1'010, "more");
    });
    net.advance_time(70s);
    net.replies.clear();
    net.delivered.clear();
    for_each_flow(
        [&](const flow_tuple& flow) { net.send(net.owner_of(flow), flow, standin::ack_flag, 1'020, "more"); });
    BOOST_TEST(net.delivered.size() == flow_count);
    BOOST_TEST(net.replies.empty());
}

// Guards against a late duplicate of the first SYN that counts as a new connection and reaches a different backend
// server.
BOOST_AUTO_TEST_CASE(late_duplicate_of_a_syn_stays_with_its_flow_after_fin) {
    forwarder_mesh net(5);
    for_each_flow([&](const flow_tuple& flow) {
        auto& servers = net.services().services.front().backend_servers;
        for (auto& server : servers)
            server.state = backend_state::active;
        net.increase_revision();
        net.publish_all();
        const endpoint expected = net.open_flow(flow);
        net.send(net.other_than_holders(flow), flow, standin::fin_flag | standin::ack_flag, 9);
        for (auto& server : servers) {
            if (server.tunnel == expected) server.state = backend_state::draining;
        }
        net.increase_revision();
        net.publish_all();
        net.delivered.clear();
        net.send(net.other_than_holders(flow), flow, standin::syn_flag, 1);
        for (const auto& tunnel : net.delivered)
            BOOST_TEST(tunnel == expected);
        BOOST_TEST((net.open_flow(flow, 1'000) != expected));
    });
}

// Guards against a process that handles queued packets with an old state after a pause.
BOOST_AUTO_TEST_CASE(paused_balancer_drops_packets_until_a_later_state_is_published) {
    forwarder_mesh net(4);
    const auto     flow = forwarder_mesh::flow(first_port);
    const auto     owner = net.owner_of(flow);
    const auto     stale_state = net.state_for(owner);
    net.time.advance(5s);
    net.delivered.clear();
    net.send(owner, flow, standin::syn_flag);
    BOOST_TEST(net.delivered.empty());
    net.hosts[owner]->publish(std::make_shared<forwarding_state>(stale_state));
    net.send(owner, flow, standin::syn_flag);
    BOOST_TEST(net.delivered.empty());
    net.time.advance(100ms);
    net.tick_all();
    net.time.advance(100ms);
    net.publish_all();
    net.send(owner, flow, standin::syn_flag);
    BOOST_TEST(net.delivered.size() == 1U);
}

// Guards against a balancer that resumes after a pause and delivers by an old placement, although the flow's 5-tuple
// has been placed again since.
BOOST_AUTO_TEST_CASE(placements_from_before_a_pause_are_replaced) {
    for_each_flow([](const flow_tuple& flow) {
        forwarder_mesh    net(5, 2);
        const std::size_t owner = net.owner_of(flow);
        const std::size_t second = net.second_of(flow);
        const endpoint    old_backend = net.open_flow(flow);
        acknowledge(net, second, owner);
        net.send(owner, flow, standin::ack_flag, 3, "more");
        net.paused_hosts.insert(owner);
        net.members[owner].state = member_state::dead;
        net.remove_host(second);
        for (auto& server : net.services().services.front().backend_servers) {
            if (server.tunnel == old_backend) server.state = backend_state::draining;
        }
        net.increase_revision();
        for (std::size_t host = 0; host < net.hosts.size(); ++host) {
            if (host != owner && host != second) net.publish(host);
        }
        net.advance_time(5s);
        net.delivered.clear();
        for (std::size_t receiving_host = 0; net.delivered.empty(); ++receiving_host) {
            if (receiving_host != owner && receiving_host != second)
                net.send(receiving_host, flow, standin::syn_flag, 1'000);
        }
        BOOST_REQUIRE_EQUAL(net.delivered.size(), 1U);
        const endpoint expected = net.delivered.front();
        net.delivered.clear();
        net.paused_hosts.erase(owner);
        net.members[owner].state = member_state::alive;
        net.tick_all();
        net.time.advance(100ms);
        net.publish_all();
        net.send(owner, flow, standin::ack_flag, 1'010, "more");
        BOOST_REQUIRE_EQUAL(net.delivered.size(), 1U);
        BOOST_TEST(net.delivered.front() == expected);
    });
}

// Guards against delivery of a place frame by a process that has restarted since it was sent, or after the owner has
// restarted and may have chosen differently.
BOOST_AUTO_TEST_CASE(place_frames_are_bound_to_the_incarnations_of_owner_and_second_holder) {
    forwarder_mesh net(4);
    const auto     flow = forwarder_mesh::flow(first_port);
    const auto     second = net.second_of(flow);
    net.inject_packet(net.owner_of(flow), flow, standin::syn_flag);
    net.restart_host(second);
    net.publish_all();
    net.deliver_all_frames();
    BOOST_TEST(net.delivered.empty());
    BOOST_TEST(net.hosts[second]->counters().frames_stale_receiver == 1U);

    net.advance_time(1s);
    net.add_host(); // its place frames are routed through the previous holders
    net.publish_all();
    for_each_flow([&](const flow_tuple& other) {
        if (net.owner_of(other) != 4) return;
        net.inject_packet(4, other, standin::syn_flag);
        net.deliver_frame(net.frames.front());
        net.frames.pop_front();
    });
    BOOST_TEST(!net.frames.empty());
    net.delivered.clear();
    net.advance_time(1s);
    net.restart_host(4);
    net.publish_all();
    net.deliver_all_frames();
    BOOST_TEST(net.delivered.empty());
}

// Guards against frames sent by a balancer before its restart.
BOOST_AUTO_TEST_CASE(frames_of_an_earlier_incarnation_are_rejected) {
    forwarder_mesh net(4);
    const auto     flow = forwarder_mesh::flow(first_port);
    const auto     receiving_host = net.other_than_holders(flow);
    net.inject_packet(receiving_host, flow, standin::syn_flag);
    net.restart_host(receiving_host);
    net.publish_all();
    net.delivered.clear();
    net.deliver_all_frames();
    BOOST_TEST(net.delivered.empty());
    BOOST_TEST(net.hosts[net.owner_of(flow)]->counters().frames_stale_sender == 1U);
}

// Guards against a flow that hangs because an element of the path has lost its state.
BOOST_AUTO_TEST_CASE(dead_path_is_reset_and_counted) {
    forwarder_mesh net(2);
    const auto     flow = forwarder_mesh::flow(first_port);
    net.delivered.clear();
    net.send(0, flow, standin::syn_flag);
    net.send(0, flow, standin::ack_flag, 2, "request");
    for (int i = 0; i < 30 && net.replies.empty(); ++i) {
        net.advance_time(1s);
        net.send(0, flow, standin::ack_flag, 2, "request");
    }
    BOOST_TEST(net.replies.size() == 1U);
    const auto idle = forwarder_mesh::flow(first_port + 1);
    net.send(0, idle, standin::syn_flag);
    net.replies.clear();
    for (int i = 0; i < 60; ++i) {
        net.advance_time(1s);
        net.send(0, idle, standin::ack_flag, 2, "x"); // zero-window probe
    }
    BOOST_TEST(net.replies.empty());
}

// Guards against idle flows that stay on a single balancer after the other holder has failed.
BOOST_AUTO_TEST_CASE(idle_placements_are_replicated_to_the_missing_holder) {
    forwarder_mesh net(5);
    for_each_flow([&](const flow_tuple& flow) { net.open_flow(flow); });
    net.remove_host(0);
    net.publish_all();
    net.advance_time(2s);
    for (int i = 0; i < 10; ++i)
        replicate(net);
    for (const auto& host : net.hosts) {
        if (host) BOOST_TEST(host->unreplicated_placements() == 0U);
    }
    net.remove_host(1);
    net.publish_all();
    net.replies.clear();
    for_each_flow([&](const flow_tuple& flow) {
        net.delivered.clear();
        net.send(net.owner_of(flow), flow, standin::ack_flag, 3, "more");
        BOOST_TEST(net.delivered.size() == 1U);
    });
    BOOST_TEST(net.replies.empty());
}

// Guards against a service that takes flows above its limit, and against established flows that are dropped for new
// ones.
BOOST_AUTO_TEST_CASE(flow_limit_refuses_new_flows_only) {
    forwarder_mesh net(2);
    net.services().services.front().limits.max_flows = 10;
    net.increase_revision();
    net.publish_all();
    std::size_t established = 0;
    for_each_flow([&](const flow_tuple& flow) {
        net.delivered.clear();
        net.send(0, flow, standin::syn_flag);
        established += net.delivered.size();
    });
    BOOST_TEST(established == 10U);
    BOOST_TEST(net.replies.size() == flow_count - 10U);
}

// Guards against expiry of the second holder's copy while only the owner receives packets: as half-open after the SYN,
// and later as idle.
BOOST_AUTO_TEST_CASE(second_holder_keeps_its_copy_while_only_the_owner_sees_packets) {
    forwarder_mesh net(4);
    const auto     flow = forwarder_mesh::flow(first_port);
    const auto     owner = net.owner_of(flow);
    const auto     second = net.second_of(flow);
    net.send(owner, flow, standin::syn_flag);
    // A frame from the second holder to the owner acknowledges the placement before the caller's next packet.
    for (std::uint16_t port = first_port + 1; port < first_port + flow_count; ++port) {
        net.send(second, forwarder_mesh::flow(port), standin::syn_flag);
    }
    net.send(owner, flow, standin::ack_flag, 2, "request");
    for (int minute = 0; minute < 200; ++minute) {
        net.advance_time(60s);
        net.publish_all();
        net.send(owner, flow, standin::ack_flag, 3U + static_cast<std::uint32_t>(minute), "request");
    }
    BOOST_TEST(net.hosts[second]->explain(flow).held_placement.has_value());
}

// Guards against a refusal by balancers that have just started and have no configuration yet, for the first SYN or for
// a repeated one.
BOOST_AUTO_TEST_CASE(balancer_without_configuration_refuses_nothing) {
    forwarder_mesh net(4);
    const auto     complete = net.services();
    for_each_flow([&](const flow_tuple& flow) {
        const auto owner = net.owner_of(flow);
        net.restart_host(owner);
        net.services() = {};
        net.publish(owner);
        net.services() = complete;
        // As if the owner's peers did not know it yet.
        net.drop_frame = [owner](const frame& item) { return item.receiving_host == owner; };
        net.send(owner, flow, standin::syn_flag);
        net.drop_frame = {};
        for (std::size_t host = 0; host < net.hosts.size(); ++host)
            net.publish(host);
        net.delivered.clear();
        net.send(owner, flow, standin::syn_flag);
        BOOST_TEST(net.delivered.size() == 1U);
    });
    BOOST_TEST(net.replies.empty());
}
