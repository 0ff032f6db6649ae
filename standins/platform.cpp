// Stand-in for the platform's key-value service: in memory, on loopback addresses only, with faults on demand.
//
//   standin-platform --listen 127.0.0.1:7100 --delay_ms 50 --lose_answers 3
//
// Faults can also be changed at run time through the control service (proto/platform_control.proto). The number of
// calls of each kind is logged at exit.
#include "standins/platform_service.h"

#include <csignal>
#include <gflags/gflags.h>
#include <glog/logging.h>

DEFINE_string(listen, "127.0.0.1:7100", "loopback address and port to listen on");
DEFINE_bool(outage, false, "refuse all calls");
DEFINE_uint32(delay_ms, 0, "delay of each call in milliseconds");
DEFINE_uint32(lose_answers, 0, "number of writes that take effect but are never answered");
DEFINE_uint32(lose_requests, 0, "number of writes that neither take effect nor are answered");
DEFINE_uint32(stale_writes, 0, "reads return the state before this number of latest writes of the key");
DEFINE_double(writes_per_second, 0, "rate limit of writes; 0: unlimited");
DEFINE_double(reads_per_second, 0, "rate limit of reads, lists and watches; 0: unlimited");

namespace {

using namespace tamarack;

bool is_loopback(const ip_address& address) {
    if (address.is_v4()) return address.bytes[12] == 127;
    return address == *ip_address::parse("::1");
}

standin::store_faults faults_from_flags() {
    standin::store_faults faults;
    faults.outage = FLAGS_outage;
    faults.delay = std::chrono::milliseconds(FLAGS_delay_ms);
    faults.lose_answers = FLAGS_lose_answers;
    faults.lose_requests = FLAGS_lose_requests;
    faults.stale_writes = FLAGS_stale_writes;
    faults.writes_per_second = FLAGS_writes_per_second;
    faults.reads_per_second = FLAGS_reads_per_second;
    return faults;
}

void log_counts(const standin::store_counts& counts) {
    LOG(INFO) << "calls: get " << counts.gets << ", compare-and-swap " << counts.compare_and_swaps << ", watch "
              << counts.watches << ", lease " << counts.lease_calls << ", list " << counts.lists << "; refused "
              << counts.refused << ", rate limited " << counts.rate_limited << ", answers lost " << counts.answers_lost;
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("in-memory stand-in for the platform's key-value service");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    const auto listen = endpoint::parse(FLAGS_listen);
    if (!listen || !is_loopback(listen->address)) {
        LOG(ERROR) << "--listen " << FLAGS_listen << ": expected a loopback address and a port, such as 127.0.0.1:7100";
        return 2;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr); // before other threads start, so that sigwait receives them

    standin::platform_server server(*listen);
    if (server.port() == 0) {
        LOG(ERROR) << "--listen " << FLAGS_listen << ": cannot listen on this address and port";
        return 1;
    }
    server.store().with_lock([](standin::platform_store& store) { store.faults = faults_from_flags(); });
    LOG(INFO) << "listening on port " << server.port();
    int received_signal = 0;
    sigwait(&signals, &received_signal);
    log_counts(server.store().with_lock([](standin::platform_store& store) { return store.counts(); }));
    server.stop();
    return 0;
}
