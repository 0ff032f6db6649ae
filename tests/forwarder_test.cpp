// The forwarder's rules of docs/design.md section 2.2, each with the fault that it guards against.
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

template <class Use>
void for_each_flow(const Use& use) {
    for (std::uint16_t i = 0; i < flow_count; ++i)
        use(forwarder_mesh::flow(static_cast<std::uint16_t>(first_port + i)));
}

// A frame from one host to the owner of a further flow, which acknowledges what the owner has placed.
void acknowledge(forwarder_mesh& net, std::size_t from, std::size_t owner) {
    for (std::uint16_t port = 20'000;; ++port) {
        const auto other = forwarder_mesh::flow(port);
        if (net.owner_of(other) == owner) return net.send(from, other, standin::syn_flag);
    }
}

// One exchange of quiet placements between the control threads of all hosts, the latest first.
void replicate(forwarder_mesh& net) {
    for (std::size_t host = net.hosts.size(); host-- > 0;) {
        if (!net.hosts[host]) continue;
        for (const auto& [target, items] : net.hosts[host]->placements_to_replicate(1000)) {
            std::vector<flow_key> stored;
            for (const auto& item : items) {
                if (net.hosts[target - 1]->store_replicated(net.members[host].id, item)) stored.push_back(item.flow);
            }
            net.hosts[host]->acknowledge_replicated(target, stored);
        }
    }
}

// A flow that hosts 1 to 4 have opened, and that a fifth one has proposed to place elsewhere before it was known to the
// others. Its owner is a sixth host, its second holder the fifth.
flow_tuple open_beside_a_lost_proposal(forwarder_mesh& net, bool with_data) {
    net.services().services.front().backend_servers.front().state = backend_state::draining;
    net.revise();
    net.add_host();
    net.publish(4);
    const auto present = net.members;
    auto       later = net.members;
    later.push_back({6, 0, "domain-2", {}, {}, {}, member_state::alive});
    for (std::uint16_t port = first_port;; ++port) {
        const auto flow = forwarder_mesh::flow(port);
        const auto bucket = bucket_of(make_flow_key(flow, 0));
        const auto final_pair = ownership(later).of(bucket);
        if (final_pair.owner() != 6 || final_pair.second != 5 || ownership(present).of(bucket).owner() != 5) continue;
        // Only a flow that the balancers without the drain place on the draining backend server makes the case.
        forwarder_mesh trial(4, 2);
        if (trial.open(flow) != trial.services().services.front().backend_servers.front().tunnel) continue;
        net.lose = [](const frame&) { return true; };
        net.send(4, flow, standin::syn_flag);
        if (with_data) net.send(4, flow, standin::ack_flag, 2, "request");
        net.lose = {};
        net.delivered.clear();
        net.send(net.owner_of(flow), flow, standin::syn_flag);
        net.send(net.second_of(flow), flow, standin::ack_flag, 2, "request");
        net.add_host();
        net.publish_all();
        if (net.delivered.front() == net.services().services.front().backend_servers.front().tunnel) return flow;
        std::abort(); // the trial was placed differently
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

// Guards against a backend server that depends on the balancer that a packet happens to reach.
BOOST_AUTO_TEST_CASE(every_balancer_delivers_a_flow_to_the_same_backend_server) {
    forwarder_mesh net(6);
    for_each_flow([&](const flow_tuple& flow) { send_through_all(net, flow, net.open(flow)); });
}

// Guards against a SYN that is delivered while only one balancer knows the placement.
BOOST_AUTO_TEST_CASE(syn_is_delivered_by_the_second_holder_only) {
    forwarder_mesh net(6);
    for_each_flow([&](const flow_tuple& flow) {
        const std::size_t second = net.second_of(flow);
        net.lose = [second](const frame& item) { return item.to == second; };
        net.delivered.clear();
        net.send(net.owner_of(flow), flow, standin::syn_flag);
        BOOST_TEST(net.delivered.empty());
        net.lose = {};
        net.send(net.owner_of(flow), flow, standin::syn_flag);
        BOOST_TEST(net.delivered.size() == 1U);
    });
}

// Guards against the loss of a flow by the crash of either holder, before and after the peers notice.
BOOST_AUTO_TEST_CASE(flows_survive_the_crash_of_either_holder) {
    for (const bool crash_owner : {true, false}) {
        for_each_flow([&](const flow_tuple& flow) {
            forwarder_mesh    net(6);
            const endpoint    expected = net.open(flow);
            const std::size_t lost = crash_owner ? net.owner_of(flow) : net.second_of(flow);
            net.remove(lost);
            net.publish_all();
            send_through_all(net, flow, expected);
            BOOST_TEST(net.replies.empty());
        });
    }
}

// Guards against a second holder that takes an established flow for a half-open one and forgets it.
BOOST_AUTO_TEST_CASE(second_holder_learns_that_a_flow_is_established) {
    for_each_flow([](const flow_tuple& flow) {
        forwarder_mesh    net(3);
        const std::size_t owner = net.owner_of(flow);
        net.send(owner, flow, standin::syn_flag);
        const endpoint expected = net.delivered.front();
        // The second holder's frame acknowledges the placement before the owner has passed on any data.
        net.send(net.second_of(flow), flow, standin::ack_flag, 2, "request");
        net.wait(40s);
        net.remove(owner);
        net.publish_all();
        send_through_all(net, flow, expected);
    });
}

// Guards against the loss of a flow whose second holder got to know it as half-open, forgot it, and is taken for a
// holder when it becomes the second one again.
BOOST_AUTO_TEST_CASE(acknowledgement_of_the_syn_does_not_outlast_a_change_of_the_owner) {
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
        net.wait(40s);
        net.remove(3);
        net.publish_all();
        net.send(owner, flow, standin::ack_flag, 4, "request");
        net.remove(owner);
        net.publish_all();
        net.wait(4s);
        send_through_all(net, flow, expected);
    });
}

// Guards against a lookup that is answered by a proposal that lost, though a holder of the placement would be found.
BOOST_AUTO_TEST_CASE(lookup_prefers_acknowledged_placements) {
    forwarder_mesh   net(4, 2);
    const flow_tuple flow = open_beside_a_lost_proposal(net, false);
    net.wait(4s);
    net.publish_all();
    send_through_all(net, flow, net.services().services.front().backend_servers.front().tunnel);
}

// Guards against a proposal that lost and reaches other holders over the control channel.
BOOST_AUTO_TEST_CASE(replicated_proposals_yield_to_acknowledged_placements) {
    forwarder_mesh   net(4, 2);
    const flow_tuple flow = open_beside_a_lost_proposal(net, true);
    for (int i = 0; i < 20; ++i) {
        net.wait(2s);
        replicate(net);
    }
    send_through_all(net, flow, net.services().services.front().backend_servers.front().tunnel);
}

// Guards against flows that break when empty balancers become both owner and second holder at once.
BOOST_AUTO_TEST_CASE(flows_survive_the_join_of_several_empty_balancers) {
    forwarder_mesh                               net(3);
    std::vector<std::pair<flow_tuple, endpoint>> flows;
    for_each_flow([&](const flow_tuple& flow) { flows.emplace_back(flow, net.open(flow)); });
    for (int i = 0; i < 6; ++i)
        net.add_host();
    net.publish_all();
    net.wait(4s);
    net.publish_all();
    for (const auto& [flow, expected] : flows)
        send_through_all(net, flow, expected);
    BOOST_TEST(net.replies.empty());
}

// Guards against two backend servers for one flow when a SYN is repeated while balancers hold different views.
BOOST_AUTO_TEST_CASE(repeated_syn_under_another_view_finds_the_placement) {
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

// Guards against a second holder that follows an outdated proposal: a backend server known to be draining gets nothing
// new.
BOOST_AUTO_TEST_CASE(second_holder_replaces_a_choice_that_it_knows_to_be_draining) {
    forwarder_mesh net(4);
    for_each_flow([&](const flow_tuple& flow) {
        for (auto& server : net.services().services.front().backend_servers)
            server.state = backend_state::active;
        net.revise();
        net.publish_all();
        for (std::size_t i = 0; i + 1 < net.services().services.front().backend_servers.size(); ++i) {
            net.services().services.front().backend_servers[i].state = backend_state::draining;
        }
        net.revise();
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

// Guards against a replaced choice that is delivered while the owner still knows the old one only: with the loss of the
// second holder the repeated SYN would reach the old one too.
BOOST_AUTO_TEST_CASE(replaced_choice_is_delivered_after_the_owner_knows_it) {
    for_each_flow([](const flow_tuple& flow) {
        forwarder_mesh    net(4, 2);
        const std::size_t owner = net.owner_of(flow);
        const std::size_t second = net.second_of(flow);
        net.services().services.front().backend_servers.front().state = backend_state::draining;
        net.revise();
        net.publish(second);
        net.lose = [&](const frame& item) { return item.to == owner; };
        net.send(owner, flow, standin::syn_flag);
        net.lose = {};
        net.remove(second);
        net.publish_all();
        net.send(owner, flow, standin::syn_flag);
        BOOST_REQUIRE(!net.delivered.empty());
        for (const auto& tunnel : net.delivered)
            BOOST_TEST(tunnel == net.delivered.front());
    });
}

// Guards against a new owner that takes an offered placement for a new one, which the second holder may replace
// although it has been delivered.
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
        net.revise();
        net.publish(net.second_of(flow));
        net.send(old_owner, flow, standin::syn_flag);
        BOOST_TEST(net.delivered.size() == 2U);
        BOOST_TEST(net.delivered.front() == net.delivered.back());
    });
}

// Guards against established flows that follow a drain, and against new ones that do not.
BOOST_AUTO_TEST_CASE(draining_keeps_old_flows_and_gets_no_new_one) {
    forwarder_mesh                               net(4);
    std::vector<std::pair<flow_tuple, endpoint>> flows;
    for_each_flow([&](const flow_tuple& flow) { flows.emplace_back(flow, net.open(flow)); });
    backend_server& drained = net.services().services.front().backend_servers.front();
    drained.state = backend_state::draining;
    net.revise();
    net.publish_all();
    for (const auto& [flow, expected] : flows)
        send_through_all(net, flow, expected);
    for (std::uint16_t i = 0; i < flow_count; ++i) {
        BOOST_TEST(net.open(forwarder_mesh::flow(static_cast<std::uint16_t>(30'000 + i))) != drained.tunnel);
    }
}

// Guards against "not run" for something that ran: a refused SYN stays refused, also when a backend server appears.
BOOST_AUTO_TEST_CASE(late_copy_of_a_refused_syn_is_refused) {
    forwarder_mesh net(4, 0);
    for_each_flow([&](const flow_tuple& flow) {
        net.replies.clear();
        net.send(net.other_than_holders(flow), flow, standin::syn_flag);
        BOOST_TEST(net.replies.size() == 1U);
    });
    net.add_backend();
    net.revise();
    net.publish_all();
    net.delivered.clear();
    for_each_flow([&](const flow_tuple& flow) { net.send(net.owner_of(flow), flow, standin::syn_flag); });
    BOOST_TEST(net.delivered.empty());
    constexpr std::uint32_t next_attempt = 500'000; // another initial sequence number
    for_each_flow([&](const flow_tuple& flow) { net.send(net.owner_of(flow), flow, standin::syn_flag, next_attempt); });
    BOOST_TEST(net.delivered.size() == flow_count);
}

// Guards against "not run" for something that ran, when the owner that refused the SYN is no longer the owner.
BOOST_AUTO_TEST_CASE(late_copy_of_a_refused_syn_is_refused_under_a_new_owner) {
    forwarder_mesh net(4, 0);
    for_each_flow([&](const flow_tuple& flow) { net.send(net.owner_of(flow), flow, standin::syn_flag); });
    net.add_backend();
    net.revise();
    net.add_host();
    net.add_host();
    net.publish_all();
    for_each_flow([&](const flow_tuple& flow) { net.send(net.owner_of(flow), flow, standin::syn_flag); });
    BOOST_TEST(net.delivered.empty());
}

// Guards against a refusal that is forgotten early because it was repeated, or because the caller tried again.
BOOST_AUTO_TEST_CASE(refusals_are_remembered_from_the_last_one_and_for_each_attempt) {
    forwarder_mesh net(3, 0);
    const auto     flow = forwarder_mesh::flow(first_port);
    net.send(0, flow, standin::syn_flag, 1);
    net.wait(8s);
    net.send(0, flow, standin::syn_flag, 1);
    net.send(0, flow, standin::syn_flag, 500'000);
    net.add_backend();
    net.revise();
    net.publish_all();
    net.wait(4s);
    net.send(0, flow, standin::syn_flag, 1);
    net.send(0, flow, standin::syn_flag, 500'000);
    BOOST_TEST(net.delivered.empty());
    net.send(0, flow, standin::syn_flag, 900'000);
    BOOST_TEST(net.delivered.size() == 1U);
    net.send(0, flow, standin::syn_flag, 500'000); // the placement belongs to the later SYN
    BOOST_TEST(net.delivered.size() == 1U);
}

// Guards against "not run" for a SYN whose backend server died after the delivery.
BOOST_AUTO_TEST_CASE(syn_of_a_delivered_flow_is_never_answered_with_reset) {
    forwarder_mesh net(4, 1);
    for_each_flow([&](const flow_tuple& flow) { net.send(net.other_than_holders(flow), flow, standin::syn_flag); });
    net.statuses = {{net.services().services.front().backend_servers.front().id, false, net.time.steady_now(), 1.0F}};
    net.wait(12s);
    net.publish_all();
    net.replies.clear();
    net.delivered.clear();
    for_each_flow([&](const flow_tuple& flow) { net.send(net.other_than_holders(flow), flow, standin::syn_flag); });
    BOOST_TEST(net.replies.empty());
}

// Guards against a flow of a dead backend server that goes silent, or is moved.
BOOST_AUTO_TEST_CASE(flow_of_a_dead_backend_server_is_reset_after_the_grace_time) {
    forwarder_mesh net(4, 2);
    const auto     flow = forwarder_mesh::flow(first_port);
    const endpoint expected = net.open(flow);
    for (const auto& server : net.services().services.front().backend_servers) {
        if (server.tunnel == expected) net.statuses = {{server.id, false, net.time.steady_now(), 1.0F}};
    }
    net.publish_all();
    send_through_all(net, flow, expected);
    BOOST_TEST(net.replies.empty());
    net.wait(11s);
    net.delivered.clear();
    net.send(0, flow, standin::ack_flag, 9, "request");
    BOOST_TEST(net.delivered.empty());
    BOOST_TEST(net.replies.size() == 1U);
}

// Guards against silence when both holders are lost, and against a reset while a holder may still be found.
BOOST_AUTO_TEST_CASE(flow_without_any_holder_is_reset_once_the_view_has_settled) {
    forwarder_mesh net(6);
    const auto     flow = forwarder_mesh::flow(first_port);
    const auto     owner = net.owner_of(flow);
    const auto     second = net.second_of(flow);
    net.open(flow);
    net.remove(owner);
    net.remove(second);
    net.publish_all();
    const std::size_t entry = net.other_than_holders(flow);
    net.send(entry, flow, standin::ack_flag, 3, "request");
    BOOST_TEST(net.replies.empty());
    net.wait(3s);
    net.publish_all([](forwarding_state& state) { state.partition_suspected = true; });
    net.send(entry, flow, standin::ack_flag, 3, "request");
    BOOST_TEST(net.replies.empty());
    net.publish_all();
    net.send(entry, flow, standin::ack_flag, 3, "request");
    BOOST_TEST(net.replies.size() == 1U);
    BOOST_TEST(net.delivered.empty());
}

// Guards against a new connection that is taken for the old one with the same 5-tuple.
BOOST_AUTO_TEST_CASE(five_tuple_is_used_again_after_fin) {
    forwarder_mesh net(5);
    for_each_flow([&](const flow_tuple& flow) {
        net.open(flow);
        net.send(net.other_than_holders(flow), flow, standin::fin_flag | standin::ack_flag, 9);
        const endpoint again = net.open(flow, 1'000); // callers choose a higher sequence number than the old flow's
        send_through_all(net, flow, again);
        BOOST_TEST(net.hosts[net.owner_of(flow)]->explain(flow).held->generation == 2U);
    });
}

// Guards against a former holder that delivers a new connection by the placement of the one before.
BOOST_AUTO_TEST_CASE(former_holders_forget_a_flow_whose_tuple_is_used_again) {
    for_each_flow([](const flow_tuple& flow) {
        forwarder_mesh net(4);
        const endpoint before = net.open(flow);
        net.send(net.owner_of(flow), flow, standin::fin_flag | standin::ack_flag, 9);
        net.add_host();
        net.add_host();
        for (auto& server : net.services().services.front().backend_servers) {
            if (server.tunnel == before) server.state = backend_state::draining;
        }
        net.revise();
        net.publish_all();
        net.send(net.owner_of(flow), flow, standin::syn_flag, 1'000);
        net.wait(35s); // the new placement expires as half-open, before the old one as closing
        net.delivered.clear();
        net.send(net.owner_of(flow), flow, standin::ack_flag, 1'001, "request");
        BOOST_TEST(net.delivered.empty());
    });
}

// Guards against a late FIN of the connection before, after which a live flow would be forgotten within a minute.
BOOST_AUTO_TEST_CASE(late_fin_of_the_connection_before_does_not_close_a_flow) {
    forwarder_mesh net(5);
    for_each_flow([&](const flow_tuple& flow) {
        net.open(flow);
        net.send(net.other_than_holders(flow), flow, standin::fin_flag | standin::ack_flag, 9);
        net.open(flow, 1'000);
        net.send(net.other_than_holders(flow), flow, standin::fin_flag | standin::ack_flag, 9);
        net.send(net.other_than_holders(flow), flow, standin::ack_flag, 1'010, "more");
    });
    net.wait(70s);
    net.replies.clear();
    net.delivered.clear();
    for_each_flow(
        [&](const flow_tuple& flow) { net.send(net.owner_of(flow), flow, standin::ack_flag, 1'020, "more"); });
    BOOST_TEST(net.delivered.size() == flow_count);
    BOOST_TEST(net.replies.empty());
}

// Guards against a late copy of the first SYN that is taken for a new connection and reaches another backend server.
BOOST_AUTO_TEST_CASE(late_copy_of_a_syn_stays_with_its_flow_after_fin) {
    forwarder_mesh net(5);
    for_each_flow([&](const flow_tuple& flow) {
        auto& servers = net.services().services.front().backend_servers;
        for (auto& server : servers)
            server.state = backend_state::active;
        net.revise();
        net.publish_all();
        const endpoint expected = net.open(flow);
        net.send(net.other_than_holders(flow), flow, standin::fin_flag | standin::ack_flag, 9);
        for (auto& server : servers) {
            if (server.tunnel == expected) server.state = backend_state::draining;
        }
        net.revise();
        net.publish_all();
        net.delivered.clear();
        net.send(net.other_than_holders(flow), flow, standin::syn_flag, 1);
        for (const auto& tunnel : net.delivered)
            BOOST_TEST(tunnel == expected);
        BOOST_TEST((net.open(flow, 1'000) != expected));
    });
}

// Guards against a process that acts on queued packets and an old view after a pause.
BOOST_AUTO_TEST_CASE(paused_balancer_drops_packets_until_a_later_state_is_published) {
    forwarder_mesh net(4);
    const auto     flow = forwarder_mesh::flow(first_port);
    const auto     owner = net.owner_of(flow);
    const auto     stale = net.state_for(owner);
    net.time.advance(5s);
    net.delivered.clear();
    net.send(owner, flow, standin::syn_flag);
    BOOST_TEST(net.delivered.empty());
    net.hosts[owner]->publish(std::make_shared<forwarding_state>(stale));
    net.send(owner, flow, standin::syn_flag);
    BOOST_TEST(net.delivered.empty());
    net.time.advance(100ms);
    net.tick_all();
    net.time.advance(100ms);
    net.publish_all();
    net.send(owner, flow, standin::syn_flag);
    BOOST_TEST(net.delivered.size() == 1U);
}

// Guards against a balancer that comes back from a pause and delivers by what it knew before, although the flow's
// 5-tuple has been placed anew.
BOOST_AUTO_TEST_CASE(placements_from_before_a_pause_yield) {
    for_each_flow([](const flow_tuple& flow) {
        forwarder_mesh    net(5, 2);
        const std::size_t owner = net.owner_of(flow);
        const std::size_t second = net.second_of(flow);
        const endpoint    before = net.open(flow);
        acknowledge(net, second, owner);
        net.send(owner, flow, standin::ack_flag, 3, "more");
        net.paused.insert(owner);
        net.members[owner].state = member_state::dead;
        net.remove(second);
        for (auto& server : net.services().services.front().backend_servers) {
            if (server.tunnel == before) server.state = backend_state::draining;
        }
        net.revise();
        for (std::size_t host = 0; host < net.hosts.size(); ++host) {
            if (host != owner && host != second) net.publish(host);
        }
        net.wait(5s);
        net.delivered.clear();
        for (std::size_t entry = 0; net.delivered.empty(); ++entry) {
            if (entry != owner && entry != second) net.send(entry, flow, standin::syn_flag, 1'000);
        }
        BOOST_REQUIRE_EQUAL(net.delivered.size(), 1U);
        const endpoint expected = net.delivered.front();
        net.delivered.clear();
        net.paused.erase(owner);
        net.members[owner].state = member_state::alive;
        net.tick_all();
        net.time.advance(100ms);
        net.publish_all();
        net.send(owner, flow, standin::ack_flag, 1'010, "more");
        BOOST_REQUIRE_EQUAL(net.delivered.size(), 1U);
        BOOST_TEST(net.delivered.front() == expected);
    });
}

// Guards against a place frame that is delivered by a process that has restarted since it was sent, or after the owner
// has restarted and chosen anew.
BOOST_AUTO_TEST_CASE(place_frames_are_bound_to_the_lives_of_owner_and_second_holder) {
    forwarder_mesh net(4);
    const auto     flow = forwarder_mesh::flow(first_port);
    const auto     second = net.second_of(flow);
    net.hand_over(net.owner_of(flow), flow, standin::syn_flag);
    net.restart(second);
    net.publish_all();
    net.settle();
    BOOST_TEST(net.delivered.empty());
    BOOST_TEST(net.hosts[second]->counters().frames_stale_receiver == 1U);

    net.wait(1s);
    net.add_host(); // places through the former holders
    net.publish_all();
    for_each_flow([&](const flow_tuple& other) {
        if (net.owner_of(other) != 4) return;
        net.hand_over(4, other, standin::syn_flag);
        net.arrive(net.frames.front());
        net.frames.pop_front();
    });
    BOOST_TEST(!net.frames.empty());
    net.delivered.clear();
    net.wait(1s);
    net.restart(4);
    net.publish_all();
    net.settle();
    BOOST_TEST(net.delivered.empty());
}

// Guards against a restarted balancer being mistaken for its predecessor.
BOOST_AUTO_TEST_CASE(frames_of_an_earlier_life_are_rejected) {
    forwarder_mesh net(4);
    const auto     flow = forwarder_mesh::flow(first_port);
    const auto     entry = net.other_than_holders(flow);
    net.hand_over(entry, flow, standin::syn_flag);
    net.restart(entry);
    net.publish_all();
    net.delivered.clear();
    net.settle();
    BOOST_TEST(net.delivered.empty());
    BOOST_TEST(net.hosts[net.owner_of(flow)]->counters().frames_stale_sender == 1U);
}

// Guards against a flow that hangs because something between the ends lost track of it.
BOOST_AUTO_TEST_CASE(dead_path_is_reset_and_counted) {
    forwarder_mesh net(2);
    const auto     flow = forwarder_mesh::flow(first_port);
    net.delivered.clear();
    net.send(0, flow, standin::syn_flag);
    net.send(0, flow, standin::ack_flag, 2, "request");
    for (int i = 0; i < 30 && net.replies.empty(); ++i) {
        net.wait(1s);
        net.send(0, flow, standin::ack_flag, 2, "request");
    }
    BOOST_TEST(net.replies.size() == 1U);
    const auto idle = forwarder_mesh::flow(first_port + 1);
    net.send(0, idle, standin::syn_flag);
    net.replies.clear();
    for (int i = 0; i < 60; ++i) {
        net.wait(1s);
        net.send(0, idle, standin::ack_flag, 2, "x"); // zero-window probe
    }
    BOOST_TEST(net.replies.empty());
}

// Guards against quiet flows that stay on one balancer after its partner has gone.
BOOST_AUTO_TEST_CASE(quiet_placements_are_handed_to_the_missing_holder) {
    forwarder_mesh net(5);
    for_each_flow([&](const flow_tuple& flow) { net.open(flow); });
    net.remove(0);
    net.publish_all();
    net.wait(2s);
    for (int i = 0; i < 10; ++i)
        replicate(net);
    for (const auto& host : net.hosts) {
        if (host) BOOST_TEST(host->unreplicated_placements() == 0U);
    }
    net.remove(1);
    net.publish_all();
    net.replies.clear();
    for_each_flow([&](const flow_tuple& flow) {
        net.delivered.clear();
        net.send(net.owner_of(flow), flow, standin::ack_flag, 3, "more");
        BOOST_TEST(net.delivered.size() == 1U);
    });
    BOOST_TEST(net.replies.empty());
}

// Guards against a service at its limit taking more flows, and against established flows that pay for it.
BOOST_AUTO_TEST_CASE(flow_limit_refuses_new_flows_only) {
    forwarder_mesh net(2);
    net.services().services.front().limits.max_flows = 10;
    net.revise();
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

// Guards against the copy of the second holder that expires while the owner sees all packets: after the SYN as
// half-open, later as idle.
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
        net.wait(60s);
        net.publish_all();
        net.send(owner, flow, standin::ack_flag, 3U + static_cast<std::uint32_t>(minute), "request");
    }
    BOOST_TEST(net.hosts[second]->explain(flow).held.has_value());
}

// Guards against a refusal by balancers that have just started and have no configuration yet, at once or for a repeated
// SYN.
BOOST_AUTO_TEST_CASE(balancer_without_configuration_refuses_nothing) {
    forwarder_mesh net(4);
    const auto     complete = net.services();
    for_each_flow([&](const flow_tuple& flow) {
        const auto owner = net.owner_of(flow);
        net.restart(owner);
        net.services() = {};
        net.publish(owner);
        net.services() = complete;
        net.lose = [owner](const frame& item) { return item.to == owner; }; // its peers do not know it yet
        net.send(owner, flow, standin::syn_flag);
        net.lose = {};
        for (std::size_t host = 0; host < net.hosts.size(); ++host)
            net.publish(host);
        net.delivered.clear();
        net.send(owner, flow, standin::syn_flag);
        BOOST_TEST(net.delivered.size() == 1U);
    });
    BOOST_TEST(net.replies.empty());
}
