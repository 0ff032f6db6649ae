// Stand-in for callers: opens long-lived TCP-like flows through the fabric, sends numbered requests, and checks that
// every answer comes from the right service, from one backend server for the life of the flow, and for the request that
// was sent.
#include "standins/inner_packet.h"
#include "standins/socket.h"

#include <atomic>
#include <boost/algorithm/string.hpp>
#include <csignal>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <queue>
#include <random>
#include <sstream>
#include <unordered_map>

DEFINE_string(listen, "127.0.0.1:5001", "address that replies arrive at");
DEFINE_string(fabric, "127.0.0.1:5000", "address of the fabric");
DEFINE_string(services, "", "comma-separated NAME=ADDRESS:PORT");
DEFINE_uint64(flows, 1000, "flows to open in all, spread evenly over the services");
DEFINE_double(open_rate, 1000, "flows opened a second");
DEFINE_double(request_interval, 1.0, "seconds between the requests of a flow");
DEFINE_double(duration, 20, "seconds until all flows are closed");
DEFINE_double(short_share, 0.25, "share of flows that end after three requests");
DEFINE_uint64(seed, 1, "seed of the random choices");
DEFINE_string(report, "", "file for the list of flows at the end");

namespace {

std::atomic<bool> stop_requested{false};

using steady = std::chrono::steady_clock;

constexpr auto     first_timeout = std::chrono::milliseconds(300); // doubles with each repeat
constexpr auto     last_timeout = std::chrono::milliseconds(2400);
constexpr unsigned max_repeats = 8;
constexpr auto     closing_time = std::chrono::seconds(5); // for FIN to be answered at the end

enum class flow_phase { opening, idle, waiting, closing, closed, refused, reset, silent };

std::string_view to_string(flow_phase phase) {
    constexpr std::array<std::string_view, 8> names = {"opening", "idle",    "waiting", "closing",
                                                       "closed",  "refused", "reset",   "silent"};
    return names.at(static_cast<std::size_t>(phase));
}

struct caller_flow {
    tamarack::flow_tuple tuple;
    std::size_t          service = 0;
    flow_phase           phase = flow_phase::opening;
    std::string          server;       // backend server that answered
    std::uint32_t        sequence = 1; // next byte to send
    std::uint64_t        request = 0;  // number of the last request sent
    std::uint64_t        answered = 0;
    std::uint64_t        limit = 0; // requests until it is closed; 0: none
    unsigned             repeats = 0;
    std::uint64_t        timer = 0; // number of the valid timer
};

struct service_target {
    std::string        name;
    tamarack::endpoint address;
};

struct timer {
    steady::time_point at;
    std::size_t        flow = 0;
    std::uint64_t      number = 0;

    bool operator>(const timer& other) const { return at > other.at; }
};

class callers {
public:
    callers()
        : fabric_(standin::loopback_endpoint(FLAGS_fabric)), socket_(standin::loopback_endpoint(FLAGS_listen)),
          random_(FLAGS_seed) {
        std::vector<std::string> items;
        boost::split(items, FLAGS_services, boost::is_any_of(","));
        for (const auto& item : items) {
            const auto equals = item.find('=');
            const auto address = tamarack::endpoint::parse(item.substr(equals + 1));
            CHECK(equals != std::string::npos && address.has_value()) << "not NAME=ADDRESS:PORT: " << item;
            services_.push_back({item.substr(0, equals), *address});
        }
        flows_.reserve(FLAGS_flows);
    }

    void run() {
        const auto start = steady::now();
        const auto close =
            start + std::chrono::duration_cast<steady::duration>(std::chrono::duration<double>(FLAGS_duration));
        pollfd polled{socket_.handle(), POLLIN, 0};
        while (steady::now() < close + closing_time) {
            if (stop_requested || steady::now() >= close) finish_all();
            if (closing_ && open_flows() == 0) return;
            open_due(start);
            ::poll(&polled, 1, 1);
            for (auto bytes = socket_.receive(); !bytes.empty(); bytes = socket_.receive())
                receive(bytes);
            run_timers();
        }
    }

    // One row per service; false if a promise was broken.
    bool report() const {
        std::cout << "service  opened  established  refused  broken  silent  wrong-service  moved  wrong-answer"
                  << std::endl;
        bool kept = wrong_service_ == 0 && moved_ == 0 && wrong_answer_ == 0;
        for (std::size_t i = 0; i < services_.size(); ++i) {
            std::map<flow_phase, std::uint64_t> phases;
            std::uint64_t                       opened = 0;
            std::uint64_t                       established = 0;
            for (const auto& flow : flows_) {
                if (flow.service != i) continue;
                ++opened;
                ++phases[flow.phase];
                if (!flow.server.empty()) ++established;
            }
            kept = kept && phases[flow_phase::reset] + phases[flow_phase::silent] == 0;
            std::cout << services_[i].name << "  " << opened << "  " << established << "  "
                      << phases[flow_phase::refused] << "  " << phases[flow_phase::reset] << "  "
                      << phases[flow_phase::silent] << "  " << wrong_service_ << "  " << moved_ << "  " << wrong_answer_
                      << std::endl;
        }
        return kept;
    }

    void write_report() const {
        if (FLAGS_report.empty()) return;
        std::ofstream file(FLAGS_report);
        for (const auto& flow : flows_) {
            file << "caller " << services_[flow.service].name << ' ' << (flow.server.empty() ? "-" : flow.server) << ' '
                 << flow.tuple.source.to_string() << ' ' << to_string(flow.phase) << ' ' << flow.request << ' '
                 << flow.answered << '\n';
        }
    }

private:
    std::size_t open_flows() const {
        return static_cast<std::size_t>(std::count_if(
            flows_.begin(), flows_.end(), [](const caller_flow& flow) { return flow.phase <= flow_phase::closing; }));
    }

    void open_due(steady::time_point start) {
        const double elapsed = std::chrono::duration<double>(steady::now() - start).count();
        const auto   due = std::min<std::uint64_t>(FLAGS_flows, static_cast<std::uint64_t>(elapsed * FLAGS_open_rate));
        while (!closing_ && flows_.size() < due)
            open_flow();
    }

    void open_flow() {
        const std::size_t index = flows_.size();
        caller_flow       flow;
        flow.service = index % services_.size();
        flow.tuple.source = {tamarack::ip_address::v4(static_cast<std::uint32_t>(0x0a090000U + index / 50'000)),
                             static_cast<std::uint16_t>(10'000 + index % 50'000)};
        flow.tuple.destination = services_[flow.service].address;
        if (std::uniform_real_distribution<>()(random_) < FLAGS_short_share) flow.limit = 3;
        by_source_.emplace(flow.tuple.source.to_string(), index);
        flows_.push_back(flow);
        send(index, standin::syn_flag, 0);
        arm(index, first_timeout);
    }

    void send(std::size_t index, std::uint8_t flags, std::uint64_t request) {
        caller_flow&      flow = flows_[index];
        const std::string text = request > 0 ? std::to_string(request) : std::string();
        socket_.send_to(fabric_, standin::make_gue_segment(flow.tuple, {flags, flow.sequence, 2, text}));
    }

    void send_current(std::size_t index) {
        switch (flows_[index].phase) {
        case flow_phase::opening:
            return send(index, standin::syn_flag, 0);
        case flow_phase::waiting:
            return send(index, standin::ack_flag, flows_[index].request);
        case flow_phase::closing:
            return send(index, standin::ack_flag | standin::fin_flag, 0);
        default:
            return;
        }
    }

    void arm(std::size_t index, steady::duration delay) {
        timers_.push({steady::now() + delay, index, ++flows_[index].timer});
    }

    void run_timers() {
        while (!timers_.empty() && timers_.top().at <= steady::now()) {
            const timer due = timers_.top();
            timers_.pop();
            if (flows_[due.flow].timer == due.number) timer_fired(due.flow);
        }
    }

    void timer_fired(std::size_t index) {
        caller_flow& flow = flows_[index];
        if (flow.phase == flow_phase::idle) return next_request(index);
        if (flow.phase > flow_phase::closing) return;
        if (++flow.repeats > max_repeats) {
            flow.phase = flow.phase == flow_phase::closing ? flow_phase::closed : flow_phase::silent;
            return;
        }
        send_current(index);
        arm(index, std::min<steady::duration>(last_timeout, first_timeout * (1 << std::min(flow.repeats, 3U))));
    }

    void next_request(std::size_t index) {
        caller_flow& flow = flows_[index];
        if (flow.limit > 0 && flow.request >= flow.limit) return start_closing(index);
        ++flow.request;
        flow.phase = flow_phase::waiting;
        flow.repeats = 0;
        send_current(index);
        arm(index, first_timeout);
    }

    void start_closing(std::size_t index) {
        flows_[index].phase = flow_phase::closing;
        flows_[index].repeats = 0;
        send_current(index);
        arm(index, first_timeout);
    }

    void finish_all() {
        if (closing_) return;
        closing_ = true;
        for (std::size_t i = 0; i < flows_.size(); ++i) {
            if (flows_[i].phase == flow_phase::idle) start_closing(i);
            flows_[i].limit = 1;
        }
    }

    void receive(tamarack::byte_view bytes) {
        const auto segment = standin::read_gue_segment(bytes);
        if (!segment) return;
        const auto found = by_source_.find(segment->info.flow.destination.to_string());
        if (found == by_source_.end()) return;
        caller_flow& flow = flows_[found->second];
        if (segment->info.flow.source != flow.tuple.destination) return;
        if ((segment->flags & standin::rst_flag) != 0) return receive_reset(flow);
        if ((segment->flags & standin::syn_flag) != 0) return receive_accept(found->second);
        if ((segment->flags & standin::fin_flag) != 0 && flow.phase == flow_phase::closing) {
            flow.phase = flow_phase::closed;
            return;
        }
        if (!segment->payload.empty()) receive_answer(found->second, segment->payload);
    }

    static void receive_reset(caller_flow& flow) {
        if (flow.phase == flow_phase::opening) flow.phase = flow_phase::refused;
        if (flow.phase == flow_phase::closing) flow.phase = flow_phase::closed;
        if (flow.phase <= flow_phase::closing) flow.phase = flow_phase::reset;
    }

    void receive_accept(std::size_t index) {
        caller_flow& flow = flows_[index];
        if (flow.phase != flow_phase::opening) return;
        ++flow.sequence;
        next_request(index);
    }

    void receive_answer(std::size_t index, std::string_view text) {
        caller_flow&       flow = flows_[index];
        std::istringstream fields{std::string(text)};
        std::string        service;
        std::string        server;
        std::uint64_t      number = 0;
        fields >> service >> server >> number;
        if (service != services_[flow.service].name) ++wrong_service_;
        if (!flow.server.empty() && server != flow.server) ++moved_;
        if (number > flow.request) ++wrong_answer_;
        flow.server = server;
        if (flow.phase != flow_phase::waiting || number != flow.request) return; // answer to a repeat
        ++flow.answered;
        flow.sequence += static_cast<std::uint32_t>(std::to_string(number).size());
        flow.phase = flow_phase::idle;
        if (closing_) return start_closing(index);
        std::exponential_distribution<> pause(1.0 / FLAGS_request_interval);
        arm(index, std::chrono::duration_cast<steady::duration>(std::chrono::duration<double>(pause(random_))));
    }

    tamarack::endpoint                                             fabric_;
    standin::udp_socket                                            socket_;
    std::mt19937_64                                                random_;
    std::vector<service_target>                                    services_;
    std::vector<caller_flow>                                       flows_;
    std::unordered_map<std::string, std::size_t>                   by_source_; // index into flows_
    std::priority_queue<timer, std::vector<timer>, std::greater<>> timers_;
    bool                                                           closing_ = false;
    std::uint64_t                                                  wrong_service_ = 0;
    std::uint64_t                                                  moved_ = 0;
    std::uint64_t                                                  wrong_answer_ = 0;
};

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    google::InitGoogleLogging(argv[0]);
    std::signal(SIGTERM, [](int) { stop_requested = true; });
    callers all;
    all.run();
    all.write_report();
    return all.report() ? 0 : 1;
}
