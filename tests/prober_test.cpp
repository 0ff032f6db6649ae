// Prober against a small gRPC server in process: guards against hosts that are judged wrongly, results that never come,
// and connections that pile up.
#define BOOST_TEST_MODULE prober
#include "tamarack/prober_grpc.h"

#include "load_report.grpc.pb.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <grpcpp/grpcpp.h>

using namespace tamarack;

namespace {

// Answers with a fixed status, or not at all before the call is cancelled.
struct reporter final : load::LoadReporter::Service {
    grpc::Status      status;
    std::atomic<bool> silent = false;

    grpc::Status Report(grpc::ServerContext*  context, const load::ReportRequest* /*request*/,
                        load::ReportResponse* response) override {
        while (silent && !context->IsCancelled())
            std::this_thread::yield();
        response->set_busy_slots(2);
        response->set_total_slots(3);
        response->set_connections(1'900);
        return status;
    }
};

struct backend_host {
    reporter                      service;
    grpc::CallbackGenericService  unimplemented; // answers any call so
    int                           port = 0;
    std::unique_ptr<grpc::Server> server;

    explicit backend_host(bool with_reports = true) {
        grpc::ServerBuilder builder;
        builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
        if (with_reports) builder.RegisterService(&service);
        if (!with_reports) builder.RegisterCallbackGenericService(&unimplemented);
        server = builder.BuildAndStart();
        BOOST_REQUIRE(server != nullptr);
    }
    endpoint address() const { return {ip_address::v4(0x7f000001), static_cast<std::uint16_t>(port)}; }
};

probe_result probe(prober_grpc& prober, const endpoint& target, duration deadline = std::chrono::seconds(60)) {
    // Shared: set_value may still use the promise after the waiting thread has gone on.
    const auto given = std::make_shared<std::promise<probe_result>>();
    prober.start({7, 3, target, deadline}, [given](const probe_result& result) { given->set_value(result); });
    const probe_result result = given->get_future().get();
    BOOST_TEST(result.id == 7U);
    BOOST_TEST(result.backend_server == 3U);
    return result;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_report_is_taken_over) {
    const backend_host host;
    prober_grpc        prober;
    const auto         result = probe(prober, host.address());
    BOOST_TEST(result.reachable);
    BOOST_TEST((result.load == load_report{2, 3, 1'900, false}));
}

BOOST_AUTO_TEST_CASE(a_host_that_sheds_or_does_not_report_is_reachable) {
    backend_host host;
    prober_grpc  prober;
    host.service.status = grpc::Status(grpc::RESOURCE_EXHAUSTED, "busy");
    const auto shedding = probe(prober, host.address());
    BOOST_TEST(shedding.reachable);
    BOOST_TEST((shedding.load == load_report{0, 0, 0, true}));
    const backend_host plain(false);
    const auto         without = probe(prober, plain.address());
    BOOST_TEST(without.reachable);
    BOOST_TEST(!without.load.has_value());
}

BOOST_AUTO_TEST_CASE(an_absent_failing_or_silent_host_is_not_reachable) {
    prober_grpc prober;
    endpoint    gone;
    {
        backend_host host;
        gone = host.address();
        host.service.status = grpc::Status(grpc::INTERNAL, "broken");
        BOOST_TEST(!probe(prober, gone).reachable);
        host.service.silent = true;
        BOOST_TEST(!probe(prober, gone, std::chrono::milliseconds(100)).reachable);
        host.service.silent = false;
    }
    BOOST_TEST(!probe(prober, gone, std::chrono::milliseconds(500)).reachable);
}

BOOST_AUTO_TEST_CASE(a_host_is_probed_again_after_its_connection_was_closed) {
    const backend_host host;
    prober_grpc        prober;
    BOOST_TEST(probe(prober, host.address()).reachable);
    prober.close_unused(std::chrono::steady_clock::now() + std::chrono::hours(1));
    BOOST_TEST(probe(prober, host.address()).reachable);
}

BOOST_AUTO_TEST_CASE(open_probes_end_with_the_prober) {
    backend_host host;
    host.service.silent = true;
    std::atomic<int> results = 0;
    {
        prober_grpc prober;
        for (std::uint64_t id = 0; id < 10; ++id)
            prober.start({id, 1, host.address(), std::chrono::hours(1)}, [&](const probe_result&) { ++results; });
    }
    BOOST_TEST(results == 10);
}
