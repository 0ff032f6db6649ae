// Stand-in for a backend server: decapsulates GUE, answers callers directly, and reports health and load over gRPC.
//
// It behaves like a TCP stack towards the balancer: a segment of an unknown connection gets a RST. Each request is run
// once per connection and number; a repeat gets the first answer again. The report lists the connections and what ran.
#include "load_report.grpc.pb.h"
#include "standins/inner_packet.h"
#include "standins/socket.h"

#include <atomic>
#include <csignal>
#include <deque>
#include <fstream>
#include <gflags/gflags.h>
#include <grpcpp/grpcpp.h>
#include <iostream>
#include <unordered_map>

DEFINE_string(service, "", "name of the service that it belongs to");
DEFINE_string(name, "", "name of this backend server");
DEFINE_string(tunnel, "127.0.0.1:7001", "address that receives GUE");
DEFINE_string(health, "127.0.0.1:7002", "address of the health and load report");
DEFINE_string(callers, "127.0.0.1:5001", "address that replies to callers are sent to");
DEFINE_uint32(slots, 2, "requests that can be worked on at once");
DEFINE_uint32(service_time_ms, 20, "time that a request occupies a slot, for the load report");
DEFINE_string(load_report, "true",
              "what the load report says: true, zero (no load, never shedding) or none (refuses the call)");
DEFINE_string(report, "", "file for the list of connections at the end");
DEFINE_int32(max_seconds, 600, "the program ends after this time");

namespace {

std::atomic<bool> stop_requested{false};

using steady = std::chrono::steady_clock;

struct connection {
    std::uint32_t syns = 0;
    std::uint64_t executed = 0; // requests that ran
    std::uint64_t last = 0;     // highest request number that ran
    bool          open = true;
};

// Load as the reporting thread sees it.
struct load_state {
    std::atomic<std::uint32_t> busy_slots{0};
    std::atomic<std::uint32_t> connections{0};
};

class reporter final : public tamarack::load::LoadReporter::Service {
public:
    explicit reporter(const load_state& load) : load_(load) {}
    grpc::Status Report(grpc::ServerContext*,
                        const tamarack::load::ReportRequest*, // NOLINT(readability-identifier-naming)
                        tamarack::load::ReportResponse* response) override {
        if (FLAGS_load_report == "none") return {grpc::StatusCode::UNIMPLEMENTED, "no load report"};
        response->set_total_slots(FLAGS_slots);
        if (FLAGS_load_report == "zero") return grpc::Status::OK;
        response->set_busy_slots(load_.busy_slots);
        response->set_connections(load_.connections);
        response->set_shedding(load_.busy_slots >= FLAGS_slots);
        return grpc::Status::OK;
    }

private:
    const load_state& load_;
};

class server {
public:
    explicit server(load_state& load)
        : load_(load), callers_(standin::loopback_endpoint(FLAGS_callers)),
          socket_(standin::loopback_endpoint(FLAGS_tunnel)) {}

    void run(steady::time_point end) {
        pollfd polled{socket_.handle(), POLLIN, 0};
        while (!stop_requested && steady::now() < end) {
            constexpr int poll_ms = 50;
            ::poll(&polled, 1, poll_ms);
            for (auto bytes = socket_.receive(); !bytes.empty(); bytes = socket_.receive())
                receive(bytes);
            update_load();
        }
    }

    void write_report() const {
        if (FLAGS_report.empty()) return;
        std::ofstream file(FLAGS_report);
        for (const auto& [caller, state] : connections_) {
            file << "server " << FLAGS_service << ' ' << FLAGS_name << ' ' << caller << ' ' << state.syns << ' '
                 << state.executed << '\n';
        }
        file << "strays " << FLAGS_service << ' ' << FLAGS_name << ' ' << strays_ << '\n';
    }

private:
    void receive(tamarack::byte_view bytes) {
        const auto segment = standin::read_gue_segment(bytes);
        if (!segment || segment->info.flow.protocol != tamarack::transport::tcp) return;
        const std::string caller = segment->info.flow.source.to_string();
        if (segment->info.syn) return accept(caller, *segment);
        const auto found = connections_.find(caller);
        if (found == connections_.end() || !found->second.open) return refuse_stray(*segment);
        if (segment->info.rst) return close(found->second);
        if (segment->info.fin) {
            close(found->second);
            return reply(
                *segment,
                {standin::ack_flag | standin::fin_flag, segment->info.acknowledgement, segment->info.sequence + 1, {}});
        }
        if (!segment->payload.empty()) answer(found->second, *segment);
    }

    void accept(const std::string& caller, const standin::received_segment& segment) {
        connection& state = connections_[caller];
        if (state.syns == 0 || !state.open) ++load_.connections;
        ++state.syns;
        state.open = true;
        reply(segment, {standin::syn_flag | standin::ack_flag, 1, segment.info.sequence + 1, {}});
    }

    void refuse_stray(const standin::received_segment& segment) {
        if (segment.info.rst) return;
        ++strays_;
        reply(segment, {standin::rst_flag, segment.info.acknowledgement, 0, {}});
    }

    void close(connection& state) {
        state.open = false;
        --load_.connections;
    }

    // A request is its number in decimal digits.
    void answer(connection& state, const standin::received_segment& segment) {
        const std::uint64_t number = std::strtoull(std::string(segment.payload).c_str(), nullptr, 10);
        if (number > state.last) {
            state.last = number;
            ++state.executed;
            finishing_.push_back(steady::now() + std::chrono::milliseconds(FLAGS_service_time_ms));
        }
        const std::string text = FLAGS_service + " " + FLAGS_name + " " + std::to_string(number);
        reply(segment, {standin::ack_flag, segment.info.acknowledgement,
                        segment.info.sequence + static_cast<std::uint32_t>(segment.payload.size()), text});
    }

    void reply(const standin::received_segment& segment, const standin::tcp_segment& answer) {
        const tamarack::flow_tuple back{segment.info.flow.protocol, segment.info.flow.destination,
                                        segment.info.flow.source};
        socket_.send_to(callers_, standin::make_gue_segment(back, answer));
    }

    void update_load() {
        while (!finishing_.empty() && finishing_.front() <= steady::now())
            finishing_.pop_front();
        load_.busy_slots = std::min<std::uint32_t>(FLAGS_slots, static_cast<std::uint32_t>(finishing_.size()));
    }

    load_state&                                 load_;
    tamarack::endpoint                          callers_;
    standin::udp_socket                         socket_;
    std::unordered_map<std::string, connection> connections_; // by caller
    std::deque<steady::time_point>              finishing_;   // ends of the requests being worked on
    std::uint64_t                               strays_ = 0;  // segments of unknown connections
};

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    google::InitGoogleLogging(argv[0]);
    std::signal(SIGTERM, [](int) { stop_requested = true; });
    load_state          load;
    reporter            reports(load);
    grpc::ServerBuilder builder;
    builder.AddListeningPort(standin::loopback_endpoint(FLAGS_health).to_string(), grpc::InsecureServerCredentials());
    builder.RegisterService(&reports);
    const auto health = builder.BuildAndStart();
    CHECK(health != nullptr) << "cannot listen on " << FLAGS_health;
    server worker(load);
    worker.run(steady::now() + std::chrono::seconds(FLAGS_max_seconds));
    health->Shutdown(std::chrono::system_clock::now());
    worker.write_report();
    return 0;
}
