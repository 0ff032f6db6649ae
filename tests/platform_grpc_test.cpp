// Adapter for the platform's store, with the stand-in's service on loopback: guards against wrongly classified
// failures, which lose or repeat a change, against requests that are never answered, and against missed watch
// notifications.
#define BOOST_TEST_MODULE platform_grpc
#include "loopback_endpoint.h"
#include "soak/loopback_proxy.h"
#include "standins/platform_service.h"
#include "tamarack/configuration_replica.h"
#include "tamarack/platform_grpc.h"

#include <boost/test/unit_test.hpp>
#include <future>

using namespace tamarack;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Long enough for a busy machine: it is only reached if the adapter does not answer at all.
constexpr auto answer_limit = seconds(30);

endpoint loopback(int port) {
    return {ip_address::v4(0x7f000001), static_cast<std::uint16_t>(port)};
}

struct fixture {
    standin::platform_server       server{loopback(0)};
    std::unique_ptr<platform_grpc> adapter =
        std::make_unique<platform_grpc>(platform_grpc_settings{{loopback(server.port())}, {}});

    std::future<store_response> start(store_request request) {
        auto promise = std::make_shared<std::promise<store_response>>();
        adapter->submit(std::move(request),
                        [promise](store_response answer) { promise->set_value(std::move(answer)); });
        return promise->get_future();
    }
    static store_response wait(std::future<store_response> future) {
        BOOST_REQUIRE((future.wait_for(answer_limit) == std::future_status::ready));
        return future.get();
    }
    store_response call(store_operation operation, const std::string& key, const std::string& value = {},
                        std::uint64_t version = 0, duration deadline = seconds(20)) {
        store_request request;
        request.id = ++last_id;
        request.operation = operation;
        request.key = key;
        request.value = value;
        request.expected_version = version;
        request.lease_time = seconds(60);
        request.deadline = deadline;
        auto answer = wait(start(std::move(request)));
        BOOST_TEST(answer.id == last_id);
        return answer;
    }
    store_response write(const std::string& key, const std::string& value, std::uint64_t version,
                         duration deadline = seconds(20)) {
        return call(store_operation::compare_and_swap, key, value, version, deadline);
    }
    store_response read(const std::string& key) { return call(store_operation::get, key); }

    // Sets faults through the stand-in's control service, as the demos do. Returns the counts of calls.
    platform::Counts set_faults(const std::function<void(platform::Faults&)>& change = [](platform::Faults&) {}) {
        const auto channel =
            grpc::CreateChannel(loopback(server.port()).to_string(), grpc::InsecureChannelCredentials());
        const auto          control = platform::StandInControl::NewStub(channel);
        grpc::ClientContext context;
        platform::Faults    faults;
        platform::Counts    counts;
        change(faults);
        BOOST_REQUIRE(control->SetFaults(&context, faults, &counts).ok());
        return counts;
    }

    std::uint64_t last_id = 0;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(every_operation_has_its_answers, fixture) {
    BOOST_TEST((read("a").status == store_status::not_found));
    auto answer = write("a", "one", 0);
    BOOST_TEST((answer.status == store_status::ok));
    BOOST_TEST(answer.version == 1U);
    answer = write("a", "two", 0);
    BOOST_TEST((answer.status == store_status::conflict));
    BOOST_TEST(answer.value == "one");
    BOOST_TEST(answer.version == 1U);
    const std::string binary{"\0\xff\n", 3};
    BOOST_TEST((write("a", binary, 1).status == store_status::ok));
    answer = read("a");
    BOOST_TEST(answer.value == binary);
    BOOST_TEST(answer.version == 2U);
    BOOST_TEST((call(store_operation::grant_lease, "b", "host1").status == store_status::ok));
    BOOST_TEST((call(store_operation::grant_lease, "b", "host1").status == store_status::ok)); // renewed
    answer = call(store_operation::grant_lease, "b", "host2");
    BOOST_TEST((answer.status == store_status::conflict));
    BOOST_TEST(answer.value == "host1");
    BOOST_TEST((call(store_operation::revoke_lease, "b", "host2").status == store_status::conflict));
    BOOST_TEST((call(store_operation::list, "").status == store_status::unavailable)); // rejected: empty prefix
    BOOST_TEST((write("ab", "", 0).status == store_status::ok));
    BOOST_TEST(call(store_operation::list, "a").value == "a\nab\n");
    BOOST_TEST((call(store_operation::revoke_lease, "b", "host1").status == store_status::ok));
    BOOST_TEST((call(store_operation::revoke_lease, "b", "host1").status == store_status::not_found));
    BOOST_TEST((write("big", std::string(1'000'001, 'x'), 0).status == store_status::unavailable)); // too large
    BOOST_TEST((write("big", std::string(1'000'000, 'x'), 0).status == store_status::ok));
}

BOOST_FIXTURE_TEST_CASE(a_watch_answers_on_a_later_version_or_unchanged_before_its_deadline, fixture) {
    store_request request;
    request.operation = store_operation::watch;
    request.key = "a";
    request.deadline = seconds(25);
    auto early = start(request);
    BOOST_TEST((write("a", "one", 0).status == store_status::ok));
    const auto changed = wait(std::move(early));
    BOOST_TEST((changed.status == store_status::ok));
    BOOST_TEST(changed.value == "one");
    BOOST_TEST(changed.version == 1U);
    const auto unchanged = call(store_operation::watch, "a", {}, 5, seconds(4));
    BOOST_TEST((unchanged.status == store_status::unchanged));
    BOOST_TEST(unchanged.version == 1U); // lets the client detect a restored store
}

// Guards against an unknown outcome that is reported as "not written", and vice versa.
BOOST_FIXTURE_TEST_CASE(failures_are_classified_by_their_possible_effect, fixture) {
    set_faults([](auto& faults) { faults.set_outage(true); });
    BOOST_TEST((write("a", "one", 0).status == store_status::unavailable));
    BOOST_TEST((read("a").status == store_status::unavailable));
    set_faults([](auto& faults) { faults.set_writes_per_second(1); });
    BOOST_TEST((write("a", "one", 0).status == store_status::ok));
    store_response limited;
    for (int i = 0; i < 1'000 && limited.status != store_status::rate_limited; ++i)
        limited = write("a", "one", 1 + static_cast<std::uint64_t>(i));
    BOOST_TEST((limited.status == store_status::rate_limited));
    BOOST_TEST(set_faults().rate_limited() >= 1U);
    const auto version = read("a").version;
    set_faults([](auto& faults) { faults.set_lose_answers(1); });
    BOOST_TEST((write("a", "applied", version, seconds(2)).status == store_status::unknown_outcome));
    BOOST_TEST(read("a").value == "applied");
    set_faults([](auto& faults) { faults.set_lose_requests(1); });
    BOOST_TEST((write("a", "ignored", version + 1, seconds(2)).status == store_status::unknown_outcome));
    BOOST_TEST(read("a").value == "applied");
    set_faults([](auto& faults) { faults.set_delay_milliseconds(60'000); });
    BOOST_TEST((call(store_operation::get, "a", {}, 0, milliseconds(300)).status == store_status::unavailable));
    set_faults([](auto& faults) { faults.set_stale_writes(1); });
    BOOST_TEST(read("a").value == "one");
}

BOOST_FIXTURE_TEST_CASE(calls_are_answered_when_the_service_or_the_adapter_stops, fixture) {
    store_request request;
    request.operation = store_operation::watch;
    request.key = "a";
    request.deadline = seconds(600);
    auto pending = start(request);
    while (server.store().with_lock([](standin::platform_store& inner) { return inner.counts().watches; }) == 0)
        std::this_thread::yield();
    adapter.reset(); // cancels the call
    const auto cancelled = wait(std::move(pending));
    BOOST_TEST((cancelled.status == store_status::unavailable));
    adapter = std::make_unique<platform_grpc>(platform_grpc_settings{{loopback(server.port())}, {}});
    BOOST_TEST((write("a", "one", 0).status == store_status::ok));
    server.stop();
    BOOST_TEST((read("a").status == store_status::unavailable));
    // The client can't distinguish a refused connection from one that broke after the request was sent.
    BOOST_TEST((write("a", "two", 1).status == store_status::unknown_outcome));
}

// Guards against attempts to connect that are given up while the connection is being set up: a service that is far away
// or a host that is busy would be unreachable for good.
BOOST_FIXTURE_TEST_CASE(a_connection_that_takes_some_time_to_set_up_is_not_given_up, fixture) {
    const endpoint          proxy_address = loopback_endpoint(91, 8'170);
    boost::asio::io_context context;
    soak::loopback_proxy    proxy(context, proxy_address, loopback(server.port()));
    proxy.faults().delay = milliseconds(150); // of each chunk, both ways
    const auto  keeps_running = boost::asio::make_work_guard(context);
    std::thread proxy_thread([&] { context.run(); });
    adapter = std::make_unique<platform_grpc>(platform_grpc_settings{{proxy_address}, {}});
    BOOST_TEST((read("a").status == store_status::not_found));
    BOOST_TEST((write("a", "one", 0).status == store_status::ok));
    context.stop();
    proxy_thread.join();
}

// Guards against incompatible assumptions of the adapter and the replica.
BOOST_FIXTURE_TEST_CASE(a_replica_commits_through_the_service_after_a_lost_answer, fixture) {
    system_clock     time;
    replica_settings settings;
    settings.self = 1;
    settings.store_deadline = milliseconds(500);
    configuration_replica       replica(settings, time, 20261204);
    std::mutex                  mutex;
    std::vector<store_response> answers;
    set_faults([](auto& faults) { faults.set_lose_answers(1); });
    replica.submit({"make-board", "anna", 0, false, create_service{"board", transport::tcp, loopback(443), {}}});
    std::optional<change_result> result;
    for (const auto start = std::chrono::steady_clock::now();
         std::chrono::steady_clock::now() - start < answer_limit;) {
        replica.tick();
        for (const auto& answer : [&] {
                 const std::lock_guard lock(mutex);
                 return std::exchange(answers, {});
             }())
            replica.store_answered(answer);
        auto actions = replica.take_actions();
        for (auto& request : actions.store) {
            adapter->submit(std::move(request), [&](store_response answer) {
                const std::lock_guard lock(mutex);
                answers.push_back(std::move(answer));
            });
        }
        if (!actions.changes.empty()) result = actions.changes.front();
        if (result) break;
        std::this_thread::sleep_for(milliseconds(10));
    }
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST((result->status == change_status::accepted));
    BOOST_TEST(replica.revision() == 1U);
    adapter.reset(); // its handlers use the variables above
}
