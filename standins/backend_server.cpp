// Stand-in for a backend server: decapsulates GUE, answers callers directly, and reports health and load over gRPC.
//
// It behaves like a TCP stack towards the balancer: it answers a segment of an unknown connection with a RST. It
// executes each request once per connection and request number, and answers a retransmission without executing it
// again. The report lists the connections and the number of requests executed on each.
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

DEFINE_string(service, "", "name of the service that this backend server belongs to");
DEFINE_string(name, "", "name of this backend server");
DEFINE_string(tunnel, "127.0.0.1:7001", "address on which GUE packets arrive");
DEFINE_string(health, "127.0.0.1:7002", "address on which the health and load report is served");
DEFINE_string(callers, "127.0.0.1:5001", "address to which replies to callers are sent");
DEFINE_uint32(slots, 2, "number of requests that can be processed concurrently");
DEFINE_uint32(service_time_ms, 20, "milliseconds for which a request occupies a slot in the load report");
DEFINE_string(
    load_report, "true",
    "content of the load report: true, zero (no load, never shedding) or none (the call fails as unimplemented)");
DEFINE_string(report, "", "file to which the list of connections is written at exit");
DEFINE_int32(max_seconds, 600, "exit after this number of seconds");

namespace {

std::atomic<bool> stop_requested{false};

using steady_clock = std::chrono::steady_clock;

struct connection {
    std::uint32_t syn_count = 0;
    std::uint64_t executed_requests = 0;
    std::uint64_t last_request = 0; // highest number of an executed request
    bool          is_open = true;
};

// Load of the server, shared with the threads that serve the report.
struct load_state {
    std::atomic<std::uint32_t> busy_slots{0};
    std::atomic<std::uint32_t> connections{0};
};

class load_reporter final : public tamarack::load::LoadReporter::Service {
public:
    explicit load_reporter(const load_state& load) : load_(load) {}
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

class backend_server {
public:
    explicit backend_server(load_state& load)
        : load_(load), callers_endpoint_(standin::loopback_endpoint(FLAGS_callers)),
          socket_(standin::loopback_endpoint(FLAGS_tunnel)) {}

    void run(steady_clock::time_point end_time) {
        pollfd polled{socket_.handle(), POLLIN, 0};
        while (!stop_requested && steady_clock::now() < end_time) {
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
            file << "server " << FLAGS_service << ' ' << FLAGS_name << ' ' << caller << ' ' << state.syn_count << ' '
                 << state.executed_requests << '\n';
        }
        file << "strays " << FLAGS_service << ' ' << FLAGS_name << ' ' << unknown_segments_ << '\n';
    }

private:
    void receive(tamarack::byte_view bytes) {
        const auto segment = standin::read_gue_segment(bytes);
        if (!segment || segment->info.flow.protocol != tamarack::transport::tcp) return;
        const std::string caller = segment->info.flow.source.to_string();
        if (segment->info.syn) return accept(caller, *segment);
        const auto found = connections_.find(caller);
        if (found == connections_.end() || !found->second.is_open) return reset_unknown_connection(*segment);
        if (segment->info.rst) return close(found->second);
        if (segment->info.fin) {
            close(found->second);
            return reply(
                *segment,
                {standin::ack_flag | standin::fin_flag, segment->info.acknowledgement, segment->info.sequence + 1, {}});
        }
        if (!segment->payload.empty()) answer_request(found->second, *segment);
    }

    void accept(const std::string& caller, const standin::received_segment& segment) {
        connection& state = connections_[caller];
        if (state.syn_count == 0 || !state.is_open) ++load_.connections;
        ++state.syn_count;
        state.is_open = true;
        reply(segment, {standin::syn_flag | standin::ack_flag, 1, segment.info.sequence + 1, {}});
    }

    void reset_unknown_connection(const standin::received_segment& segment) {
        if (segment.info.rst) return;
        ++unknown_segments_;
        reply(segment, {standin::rst_flag, segment.info.acknowledgement, 0, {}});
    }

    void close(connection& state) {
        state.is_open = false;
        --load_.connections;
    }

    // The payload of a request is its number in decimal digits.
    void answer_request(connection& state, const standin::received_segment& segment) {
        const std::uint64_t number = std::strtoull(std::string(segment.payload).c_str(), nullptr, 10);
        if (number > state.last_request) {
            state.last_request = number;
            ++state.executed_requests;
            completion_times_.push_back(steady_clock::now() + std::chrono::milliseconds(FLAGS_service_time_ms));
        }
        const std::string answer_text = FLAGS_service + " " + FLAGS_name + " " + std::to_string(number);
        reply(segment, {standin::ack_flag, segment.info.acknowledgement,
                        segment.info.sequence + static_cast<std::uint32_t>(segment.payload.size()), answer_text});
    }

    void reply(const standin::received_segment& segment, const standin::tcp_segment& answer) {
        const tamarack::flow_tuple reply_tuple{segment.info.flow.protocol, segment.info.flow.destination,
                                               segment.info.flow.source};
        socket_.send_to(callers_endpoint_, standin::make_gue_segment(reply_tuple, answer));
    }

    void update_load() {
        while (!completion_times_.empty() && completion_times_.front() <= steady_clock::now())
            completion_times_.pop_front();
        load_.busy_slots = std::min<std::uint32_t>(FLAGS_slots, static_cast<std::uint32_t>(completion_times_.size()));
    }

    load_state&                                 load_;
    tamarack::endpoint                          callers_endpoint_;
    standin::udp_socket                         socket_;
    std::unordered_map<std::string, connection> connections_;          // by caller
    std::deque<steady_clock::time_point>        completion_times_;     // of the requests in progress
    std::uint64_t                               unknown_segments_ = 0; // segments that belonged to no open connection
};

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    google::InitGoogleLogging(argv[0]);
    std::signal(SIGTERM, [](int) { stop_requested = true; });
    load_state          load;
    load_reporter       load_service(load);
    grpc::ServerBuilder builder;
    builder.AddListeningPort(standin::loopback_endpoint(FLAGS_health).to_string(), grpc::InsecureServerCredentials());
    builder.RegisterService(&load_service);
    const auto report_server = builder.BuildAndStart();
    CHECK(report_server != nullptr) << "cannot serve the health and load report on " << FLAGS_health;
    backend_server server(load);
    server.run(steady_clock::now() + std::chrono::seconds(FLAGS_max_seconds));
    report_server->Shutdown(std::chrono::system_clock::now());
    server.write_report();
    return 0;
}
