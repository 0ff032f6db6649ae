// Stand-in for the network fabric: forwards each packet of a caller to a random balancer, and the replies of balancers
// to the callers. After a packet to a closed port, that balancer gets no packets for half a second.
#include "standins/socket.h"

#include <atomic>
#include <boost/algorithm/string.hpp>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <random>

DEFINE_string(listen, "127.0.0.1:5000", "address to which callers send GUE packets");
DEFINE_string(callers, "127.0.0.1:5001", "address to which replies of balancers are sent");
DEFINE_string(balancers, "", "comma-separated fabric addresses of the balancers, including those that start later");
DEFINE_double(loss, 0.0, "share of packets to drop, 0 to 1");
DEFINE_uint64(seed, 1, "seed of the random choice of drops and balancers");
DEFINE_int32(max_seconds, 600, "exit after this number of seconds");

namespace {

std::atomic<bool> stop_requested{false};

using steady_clock = std::chrono::steady_clock;

// Time after which a balancer whose port was closed is tried again.
constexpr auto closed_port_retry_delay = std::chrono::milliseconds(500);

struct balancer_link {
    standin::udp_socket      socket;
    steady_clock::time_point avoided_until{};
    std::uint64_t            packets = 0;
};

class fabric {
public:
    fabric()
        : callers_endpoint_(standin::loopback_endpoint(FLAGS_callers)),
          caller_socket_(standin::loopback_endpoint(FLAGS_listen)), random_(FLAGS_seed) {
        std::vector<std::string> addresses;
        boost::split(addresses, FLAGS_balancers, boost::is_any_of(","));
        links_.reserve(addresses.size());
        for (const auto& address : addresses) {
            links_.push_back({standin::udp_socket(std::nullopt), {}, 0});
            links_.back().socket.connect(standin::loopback_endpoint(address));
        }
    }

    void run(steady_clock::time_point end_time) {
        std::vector<pollfd> polled{{caller_socket_.handle(), POLLIN, 0}};
        for (const auto& link : links_)
            polled.push_back({link.socket.handle(), POLLIN, 0});
        while (!stop_requested && steady_clock::now() < end_time) {
            constexpr int poll_ms = 100;
            ::poll(polled.data(), polled.size(), poll_ms);
            for (auto packet = caller_socket_.receive(); !packet.empty(); packet = caller_socket_.receive())
                send_to_random_balancer(packet);
            for (auto& link : links_) {
                for (auto reply = link.socket.receive(); !reply.empty(); reply = link.socket.receive()) {
                    caller_socket_.send_to(callers_endpoint_, reply);
                }
            }
        }
    }

    void print_report() const {
        std::cout << "fabric: packets " << packets_ << ", dropped by --loss " << dropped_ << ", sent to a closed port "
                  << sent_to_closed_port_ << ", without an available balancer " << without_balancer_
                  << ", per balancer";
        for (const auto& link : links_)
            std::cout << ' ' << link.packets;
        std::cout << std::endl;
    }

private:
    void send_to_random_balancer(tamarack::byte_view packet) {
        ++packets_;
        if (std::uniform_real_distribution<>()(random_) < FLAGS_loss) {
            ++dropped_;
            return;
        }
        const auto                  now = steady_clock::now();
        std::vector<balancer_link*> available;
        for (auto& link : links_) {
            if (link.avoided_until <= now) available.push_back(&link);
        }
        if (available.empty()) {
            ++without_balancer_;
            return;
        }
        balancer_link& chosen =
            *available[std::uniform_int_distribution<std::size_t>(0, available.size() - 1)(random_)];
        ++chosen.packets;
        if (chosen.socket.send(packet) != ECONNREFUSED) return;
        ++sent_to_closed_port_;
        chosen.avoided_until = now + closed_port_retry_delay;
    }

    tamarack::endpoint         callers_endpoint_;
    standin::udp_socket        caller_socket_;
    std::vector<balancer_link> links_;
    std::mt19937_64            random_;
    std::uint64_t              packets_ = 0;
    std::uint64_t              dropped_ = 0;
    std::uint64_t              sent_to_closed_port_ = 0;
    std::uint64_t              without_balancer_ = 0;
};

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    google::InitGoogleLogging(argv[0]);
    std::signal(SIGTERM, [](int) { stop_requested = true; });
    fabric network;
    network.run(steady_clock::now() + std::chrono::seconds(FLAGS_max_seconds));
    network.print_report();
    return 0;
}
