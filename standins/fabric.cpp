// Stand-in for the network fabric: hands each packet of a caller to a random balancer, and passes the balancers'
// replies back to the callers. A balancer whose port is closed gets no packet for half a second.
#include "standins/socket.h"

#include <atomic>
#include <boost/algorithm/string.hpp>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <random>

DEFINE_string(listen, "127.0.0.1:5000", "address that callers send GUE packets to");
DEFINE_string(callers, "127.0.0.1:5001", "address of the callers, for replies of balancers");
DEFINE_string(balancers, "", "comma-separated fabric addresses of the balancers, present and future");
DEFINE_double(loss, 0.0, "share of packets that are lost, 0 to 1");
DEFINE_uint64(seed, 1, "seed of the spraying");
DEFINE_int32(max_seconds, 600, "the program ends after this time");

namespace {

std::atomic<bool> stop_requested{false};

using steady = std::chrono::steady_clock;

constexpr auto retry_after = std::chrono::milliseconds(500); // of a balancer whose port was closed

struct link {
    standin::udp_socket socket;
    steady::time_point  down_until{};
    std::uint64_t       packets = 0;
};

class fabric {
public:
    fabric()
        : callers_(standin::loopback_endpoint(FLAGS_callers)), entry_(standin::loopback_endpoint(FLAGS_listen)),
          random_(FLAGS_seed) {
        std::vector<std::string> names;
        boost::split(names, FLAGS_balancers, boost::is_any_of(","));
        links_.reserve(names.size());
        for (const auto& name : names) {
            links_.push_back({standin::udp_socket(std::nullopt), {}, 0});
            links_.back().socket.connect(standin::loopback_endpoint(name));
        }
    }

    void run(steady::time_point end) {
        std::vector<pollfd> polled{{entry_.handle(), POLLIN, 0}};
        for (const auto& item : links_)
            polled.push_back({item.socket.handle(), POLLIN, 0});
        while (!stop_requested && steady::now() < end) {
            constexpr int poll_ms = 100;
            ::poll(polled.data(), polled.size(), poll_ms);
            for (auto packet = entry_.receive(); !packet.empty(); packet = entry_.receive())
                spray(packet);
            for (auto& item : links_) {
                for (auto reply = item.socket.receive(); !reply.empty(); reply = item.socket.receive()) {
                    entry_.send_to(callers_, reply);
                }
            }
        }
    }

    void report() const {
        std::cout << "fabric: packets " << packets_ << ", lost on purpose " << lost_ << ", sent to a closed port "
                  << closed_ << ", without a balancer " << without_balancer_ << ", per balancer";
        for (const auto& item : links_)
            std::cout << ' ' << item.packets;
        std::cout << std::endl;
    }

private:
    void spray(tamarack::byte_view packet) {
        ++packets_;
        if (std::uniform_real_distribution<>()(random_) < FLAGS_loss) {
            ++lost_;
            return;
        }
        const auto         now = steady::now();
        std::vector<link*> up;
        for (auto& item : links_) {
            if (item.down_until <= now) up.push_back(&item);
        }
        if (up.empty()) {
            ++without_balancer_;
            return;
        }
        link& chosen = *up[std::uniform_int_distribution<std::size_t>(0, up.size() - 1)(random_)];
        ++chosen.packets;
        if (chosen.socket.send(packet) != ECONNREFUSED) return;
        ++closed_;
        chosen.down_until = now + retry_after;
    }

    tamarack::endpoint  callers_;
    standin::udp_socket entry_;
    std::vector<link>   links_;
    std::mt19937_64     random_;
    std::uint64_t       packets_ = 0;
    std::uint64_t       lost_ = 0;
    std::uint64_t       closed_ = 0;
    std::uint64_t       without_balancer_ = 0;
};

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    google::InitGoogleLogging(argv[0]);
    std::signal(SIGTERM, [](int) { stop_requested = true; });
    fabric network;
    network.run(steady::now() + std::chrono::seconds(FLAGS_max_seconds));
    network.report();
    return 0;
}
