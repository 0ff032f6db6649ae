// Stand-in for callers: opens long-lived TCP-like flows through the fabric and sends numbered requests. Checks that
// each answer comes from the right service, from the same backend server for the life of the flow, and belongs to a
// request that was sent.
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

DEFINE_string(listen, "127.0.0.1:5001", "address on which replies arrive");
DEFINE_string(fabric, "127.0.0.1:5000", "address of the fabric");
DEFINE_string(services, "", "comma-separated NAME=ADDRESS:PORT");
DEFINE_uint64(flows, 1000, "total number of flows to open, spread evenly over the services");
DEFINE_double(open_rate, 1000, "flows opened per second");
DEFINE_double(request_interval, 1.0, "seconds between the requests of a flow");
DEFINE_double(duration, 20, "seconds after which all flows are closed");
DEFINE_double(short_share, 0.25, "share of flows that are closed after three requests");
DEFINE_uint64(seed, 1, "seed of the random choices");
DEFINE_string(report, "", "file to which the list of flows is written at exit");

namespace {

std::atomic<bool> stop_requested{false};

using steady_clock = std::chrono::steady_clock;

constexpr auto     initial_timeout = std::chrono::milliseconds(300); // doubles with each retransmission
constexpr auto     max_timeout = std::chrono::milliseconds(2400);
constexpr unsigned max_retransmissions = 8;
constexpr auto     closing_grace = std::chrono::seconds(5); // for the last FINs to be answered

enum class flow_phase { opening, idle, waiting, closing, closed, refused, reset, silent };

std::string_view to_string(flow_phase phase) {
    constexpr std::array<std::string_view, 8> names = {"opening", "idle",    "waiting", "closing",
                                                       "closed",  "refused", "reset",   "silent"};
    return names.at(static_cast<std::size_t>(phase));
}

struct caller_flow {
    tamarack::flow_tuple tuple;
    std::size_t          service_index = 0; // into services_
    flow_phase           phase = flow_phase::opening;
    std::string          backend_server;   // name of the backend server that answered; empty: none so far
    std::uint32_t        sequence = 1;     // next byte to send
    std::uint64_t        last_request = 0; // number of the last request sent
    std::uint64_t        answered_requests = 0;
    std::uint64_t        request_limit = 0; // the flow is closed after this number of requests; 0: no limit
    unsigned             retransmissions = 0;
    std::uint64_t        latest_timer_number = 0; // earlier timers are ignored
};

struct service_address {
    std::string        name;
    tamarack::endpoint address;
};

struct timer {
    steady_clock::time_point due_at;
    std::size_t              flow_index = 0;
    std::uint64_t            number = 0;

    bool operator>(const timer& other) const { return due_at > other.due_at; }
};

class callers {
public:
    callers()
        : fabric_endpoint_(standin::loopback_endpoint(FLAGS_fabric)), socket_(standin::loopback_endpoint(FLAGS_listen)),
          random_(FLAGS_seed) {
        std::vector<std::string> targets;
        boost::split(targets, FLAGS_services, boost::is_any_of(","));
        for (const auto& target : targets) {
            const auto equals = target.find('=');
            const auto address = tamarack::endpoint::parse(target.substr(equals + 1));
            CHECK(equals != std::string::npos && address.has_value())
                << "--services: expected NAME=ADDRESS:PORT: " << target;
            services_.push_back({target.substr(0, equals), *address});
        }
        flows_.reserve(FLAGS_flows);
    }

    void run() {
        const auto start_time = steady_clock::now();
        const auto close_time = start_time + std::chrono::duration_cast<steady_clock::duration>(
                                                 std::chrono::duration<double>(FLAGS_duration));
        pollfd polled{socket_.handle(), POLLIN, 0};
        while (steady_clock::now() < close_time + closing_grace) {
            if (stop_requested || steady_clock::now() >= close_time) start_closing_all();
            if (is_closing_ && open_flow_count() == 0) return;
            open_due_flows(start_time);
            ::poll(&polled, 1, 1);
            for (auto bytes = socket_.receive(); !bytes.empty(); bytes = socket_.receive())
                receive(bytes);
            run_expired_timers();
        }
    }

    // Prints one row per service; the last three columns are totals over all services. Returns false if a flow was
    // broken or an answer was wrong.
    bool print_report() const {
        std::cout << "service  opened  established  refused  broken  silent  wrong-service  moved  wrong-answer"
                  << std::endl;
        bool passed = wrong_service_answers_ == 0 && moved_answers_ == 0 && wrong_request_answers_ == 0;
        for (std::size_t i = 0; i < services_.size(); ++i) {
            std::map<flow_phase, std::uint64_t> phases;
            std::uint64_t                       opened = 0;
            std::uint64_t                       established = 0;
            for (const auto& flow : flows_) {
                if (flow.service_index != i) continue;
                ++opened;
                ++phases[flow.phase];
                if (!flow.backend_server.empty()) ++established;
            }
            passed = passed && phases[flow_phase::reset] + phases[flow_phase::silent] == 0;
            std::cout << services_[i].name << "  " << opened << "  " << established << "  "
                      << phases[flow_phase::refused] << "  " << phases[flow_phase::reset] << "  "
                      << phases[flow_phase::silent] << "  " << wrong_service_answers_ << "  " << moved_answers_ << "  "
                      << wrong_request_answers_ << std::endl;
        }
        return passed;
    }

    void write_report() const {
        if (FLAGS_report.empty()) return;
        std::ofstream file(FLAGS_report);
        for (const auto& flow : flows_) {
            file << "caller " << services_[flow.service_index].name << ' '
                 << (flow.backend_server.empty() ? "-" : flow.backend_server) << ' ' << flow.tuple.source.to_string()
                 << ' ' << to_string(flow.phase) << ' ' << flow.last_request << ' ' << flow.answered_requests << '\n';
        }
    }

private:
    std::size_t open_flow_count() const {
        return static_cast<std::size_t>(std::count_if(
            flows_.begin(), flows_.end(), [](const caller_flow& flow) { return flow.phase <= flow_phase::closing; }));
    }

    void open_due_flows(steady_clock::time_point start_time) {
        const double elapsed = std::chrono::duration<double>(steady_clock::now() - start_time).count();
        const auto   due_flows =
            std::min<std::uint64_t>(FLAGS_flows, static_cast<std::uint64_t>(elapsed * FLAGS_open_rate));
        while (!is_closing_ && flows_.size() < due_flows)
            open_flow();
    }

    void open_flow() {
        const std::size_t index = flows_.size();
        caller_flow       flow;
        flow.service_index = index % services_.size();
        flow.tuple.source = {tamarack::ip_address::v4(static_cast<std::uint32_t>(0x0a090000U + index / 50'000)),
                             static_cast<std::uint16_t>(10'000 + index % 50'000)};
        flow.tuple.destination = services_[flow.service_index].address;
        if (std::uniform_real_distribution<>()(random_) < FLAGS_short_share) flow.request_limit = 3;
        flow_index_by_source_.emplace(flow.tuple.source.to_string(), index);
        flows_.push_back(flow);
        send(index, standin::syn_flag, 0);
        start_timer(index, initial_timeout);
    }

    void send(std::size_t index, std::uint8_t flags, std::uint64_t request) {
        caller_flow&      flow = flows_[index];
        const std::string text = request > 0 ? std::to_string(request) : std::string();
        socket_.send_to(fabric_endpoint_, standin::make_gue_segment(flow.tuple, {flags, flow.sequence, 2, text}));
    }

    void send_for_phase(std::size_t index) {
        switch (flows_[index].phase) {
        case flow_phase::opening:
            return send(index, standin::syn_flag, 0);
        case flow_phase::waiting:
            return send(index, standin::ack_flag, flows_[index].last_request);
        case flow_phase::closing:
            return send(index, standin::ack_flag | standin::fin_flag, 0);
        default:
            return;
        }
    }

    void start_timer(std::size_t index, steady_clock::duration delay) {
        timers_.push({steady_clock::now() + delay, index, ++flows_[index].latest_timer_number});
    }

    void run_expired_timers() {
        while (!timers_.empty() && timers_.top().due_at <= steady_clock::now()) {
            const timer expired = timers_.top();
            timers_.pop();
            if (flows_[expired.flow_index].latest_timer_number == expired.number) on_timer(expired.flow_index);
        }
    }

    void on_timer(std::size_t index) {
        caller_flow& flow = flows_[index];
        if (flow.phase == flow_phase::idle) return send_next_request(index);
        if (flow.phase > flow_phase::closing) return;
        if (++flow.retransmissions > max_retransmissions) {
            flow.phase = flow.phase == flow_phase::closing ? flow_phase::closed : flow_phase::silent;
            return;
        }
        send_for_phase(index);
        start_timer(index, std::min<steady_clock::duration>(
                               max_timeout, initial_timeout * (1 << std::min(flow.retransmissions, 3U))));
    }

    void send_next_request(std::size_t index) {
        caller_flow& flow = flows_[index];
        if (flow.request_limit > 0 && flow.last_request >= flow.request_limit) return start_closing(index);
        ++flow.last_request;
        flow.phase = flow_phase::waiting;
        flow.retransmissions = 0;
        send_for_phase(index);
        start_timer(index, initial_timeout);
    }

    void start_closing(std::size_t index) {
        flows_[index].phase = flow_phase::closing;
        flows_[index].retransmissions = 0;
        send_for_phase(index);
        start_timer(index, initial_timeout);
    }

    void start_closing_all() {
        if (is_closing_) return;
        is_closing_ = true;
        for (std::size_t i = 0; i < flows_.size(); ++i) {
            if (flows_[i].phase == flow_phase::idle) start_closing(i);
            flows_[i].request_limit = 1;
        }
    }

    void receive(tamarack::byte_view bytes) {
        const auto segment = standin::read_gue_segment(bytes);
        if (!segment) return;
        const auto found = flow_index_by_source_.find(segment->info.flow.destination.to_string());
        if (found == flow_index_by_source_.end()) return;
        caller_flow& flow = flows_[found->second];
        if (segment->info.flow.source != flow.tuple.destination) return;
        if ((segment->flags & standin::rst_flag) != 0) return handle_reset(flow);
        if ((segment->flags & standin::syn_flag) != 0) return handle_syn_ack(found->second);
        if ((segment->flags & standin::fin_flag) != 0 && flow.phase == flow_phase::closing) {
            flow.phase = flow_phase::closed;
            return;
        }
        if (!segment->payload.empty()) handle_answer(found->second, segment->payload);
    }

    static void handle_reset(caller_flow& flow) {
        if (flow.phase == flow_phase::opening) flow.phase = flow_phase::refused;
        if (flow.phase == flow_phase::closing) flow.phase = flow_phase::closed;
        if (flow.phase <= flow_phase::closing) flow.phase = flow_phase::reset;
    }

    void handle_syn_ack(std::size_t index) {
        caller_flow& flow = flows_[index];
        if (flow.phase != flow_phase::opening) return;
        ++flow.sequence;
        send_next_request(index);
    }

    void handle_answer(std::size_t index, std::string_view text) {
        caller_flow&       flow = flows_[index];
        std::istringstream fields{std::string(text)};
        std::string        service_name;
        std::string        server_name;
        std::uint64_t      number = 0;
        fields >> service_name >> server_name >> number;
        if (service_name != services_[flow.service_index].name) ++wrong_service_answers_;
        if (!flow.backend_server.empty() && server_name != flow.backend_server) ++moved_answers_;
        if (number > flow.last_request) ++wrong_request_answers_;
        flow.backend_server = server_name;
        if (flow.phase != flow_phase::waiting || number != flow.last_request) return; // duplicate answer
        ++flow.answered_requests;
        flow.sequence += static_cast<std::uint32_t>(std::to_string(number).size());
        flow.phase = flow_phase::idle;
        if (is_closing_) return start_closing(index);
        std::exponential_distribution<> pause_seconds(1.0 / FLAGS_request_interval);
        start_timer(index, std::chrono::duration_cast<steady_clock::duration>(
                               std::chrono::duration<double>(pause_seconds(random_))));
    }

    tamarack::endpoint                                             fabric_endpoint_;
    standin::udp_socket                                            socket_;
    std::mt19937_64                                                random_;
    std::vector<service_address>                                   services_;
    std::vector<caller_flow>                                       flows_;
    std::unordered_map<std::string, std::size_t>                   flow_index_by_source_; // index into flows_
    std::priority_queue<timer, std::vector<timer>, std::greater<>> timers_;
    bool                                                           is_closing_ = false;
    std::uint64_t                                                  wrong_service_answers_ = 0;
    std::uint64_t                                                  moved_answers_ = 0;
    std::uint64_t                                                  wrong_request_answers_ = 0;
};

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    google::InitGoogleLogging(argv[0]);
    std::signal(SIGTERM, [](int) { stop_requested = true; });
    callers simulation;
    simulation.run();
    simulation.write_report();
    return simulation.print_report() ? 0 : 1;
}
