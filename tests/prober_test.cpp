// Prober with a small gRPC server in process: guards against wrong results for a host, results that never arrive, and
// connections that are never closed.
#define BOOST_TEST_MODULE prober
#include "tamarack/prober_grpc.h"

#include "load_report.grpc.pb.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <grpcpp/grpcpp.h>

using namespace tamarack;

namespace {

// Answers with a fixed status, or does not answer until the call is cancelled.
struct reporter final : load::LoadReporter::Service {
    grpc::Status      status;
    std::atomic<bool> is_silent = false;

    grpc::Status Report(grpc::ServerContext*  context, const load::ReportRequest* /*request*/,
                        load::ReportResponse* response) override {
        while (is_silent && !context->IsCancelled())
            std::this_thread::yield();
        response->set_busy_slots(2);
        response->set_total_slots(3);
        response->set_connections(1'900);
        return status;
    }
};

struct backend_host {
    reporter                      service;
    grpc::CallbackGenericService  unimplemented; // answers any call with UNIMPLEMENTED
    int                           port = 0;
    std::unique_ptr<grpc::Server> server;

    explicit backend_host(bool has_reports = true) {
        grpc::ServerBuilder builder;
        builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
        if (has_reports) builder.RegisterService(&service);
        if (!has_reports) builder.RegisterCallbackGenericService(&unimplemented);
        server = builder.BuildAndStart();
        BOOST_REQUIRE(server != nullptr);
    }
    endpoint address() const { return {ip_address::v4(0x7f000001), static_cast<std::uint16_t>(port)}; }
};

probe_result probe(prober_grpc& prober, const endpoint& target, duration deadline = std::chrono::seconds(60)) {
    // Shared, because set_value may still access the promise after the waiting thread has continued.
    const auto promised_result = std::make_shared<std::promise<probe_result>>();
    prober.start({7, 3, target, deadline},
                 [promised_result](const probe_result& result) { promised_result->set_value(result); });
    const probe_result result = promised_result->get_future().get();
    BOOST_TEST(result.id == 7U);
    BOOST_TEST(result.backend_server == 3U);
    return result;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_load_report_is_part_of_the_result) {
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
    const backend_host host_without_reports(false);
    const auto         unreported = probe(prober, host_without_reports.address());
    BOOST_TEST(unreported.reachable);
    BOOST_TEST(!unreported.load.has_value());
}

BOOST_AUTO_TEST_CASE(an_absent_failing_or_silent_host_is_not_reachable) {
    prober_grpc prober;
    endpoint    absent_address;
    {
        backend_host host;
        absent_address = host.address();
        host.service.status = grpc::Status(grpc::INTERNAL, "broken");
        BOOST_TEST(!probe(prober, absent_address).reachable);
        host.service.is_silent = true;
        BOOST_TEST(!probe(prober, absent_address, std::chrono::milliseconds(100)).reachable);
        host.service.is_silent = false;
    }
    BOOST_TEST(!probe(prober, absent_address, std::chrono::milliseconds(500)).reachable);
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
    host.service.is_silent = true;
    std::atomic<int> results = 0;
    {
        prober_grpc prober;
        for (std::uint64_t id = 0; id < 10; ++id)
            prober.start({id, 1, host.address(), std::chrono::hours(1)}, [&](const probe_result&) { ++results; });
    }
    BOOST_TEST(results == 10);
}
