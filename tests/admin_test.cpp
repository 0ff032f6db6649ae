// Administration client and server in one process, over loopback, with a fake balancer. Guards against changes that
// arrive altered, that are committed twice after a lost answer, or that are recorded under another operator's name, and
// against calls that never finish.
#define BOOST_TEST_MODULE admin
#include "tamarack/admin_client.h"
#include "tamarack/admin_messages.h"
#include "tamarack/admin_server.h"
#include "tamarack/clock.h"

#include "admin.grpc.pb.h"

#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <deque>
#include <filesystem>
#include <fstream>
#include <grpcpp/grpcpp.h>
#include <mutex>
#include <sstream>
#include <thread>

using namespace tamarack;

namespace {

const endpoint loopback_any_port{ip_address::v4(0x7f000001), 0};

// A control thread that runs queued work in order, except while it is paused.
class control_thread {
public:
    control_thread() : thread_([this](const std::stop_token& stop) { run(stop); }) {}

    control_queue queue() {
        return [this](std::function<void()> work) {
            const std::scoped_lock lock(mutex_);
            work_.push_back(std::move(work));
            changed_.notify_all();
        };
    }
    void set_paused(bool paused) {
        const std::scoped_lock lock(mutex_);
        paused_ = paused;
        changed_.notify_all();
    }

private:
    void run(const std::stop_token& stop) {
        std::unique_lock lock(mutex_);
        while (changed_.wait(lock, stop, [this] { return !paused_ && !work_.empty(); })) {
            const auto work = std::move(work_.front());
            work_.pop_front();
            lock.unlock();
            work();
            lock.lock();
        }
    }

    std::mutex                        mutex_;
    std::condition_variable_any       changed_;
    std::deque<std::function<void()>> work_;
    bool                              paused_ = false;
    std::jthread                      thread_; // the last member, since it uses the others
};

class fake_balancer final : public administered_balancer {
public:
    fake_balancer() {
        current_configuration.revision = 41;
        current_configuration.services = {
            {1, "board", transport::tcp, *endpoint::parse("10.0.0.1:443"), {100, 7}, {}, 40}};
        current_configuration.services[0].backend_servers.resize(2);
        current_configuration.services[0].backend_servers[0].id = 2;
        current_configuration.services[0].backend_servers[0].name = "b1";
        current_configuration.services[0].backend_servers[0].health = *endpoint::parse("10.1.0.1:80");
        current_configuration.services[0].backend_servers[1].id = 3;
        current_configuration.services[0].backend_servers[1].name = "b2";
        self_member.id = 7;
    }

    void submit(const change_request& request, change_callback callback) override {
        requests.push_back(request);
        if (respond) respond(request, std::move(callback));
    }
    void          begin_stop(std::string_view initiator) override { stop_initiator = initiator; }
    stop_state    state() const override { return stop_initiator.empty() ? stop_state::running : stop_state::leaving; }
    const member& self() const override { return self_member; }
    const tamarack::clock&      time() const override { return now; }
    const configuration&        current() const override { return current_configuration; }
    std::vector<change_record>  recent_changes() const override { return records; }
    std::vector<member_status>  members() const override { return {{self_member, 41}}; }
    std::vector<backend_status> statuses() const override {
        return {{2, false, now.steady_now() - std::chrono::seconds(30), 2.5F}};
    }
    counter_map      counters() const override { return {{"tamarack_flows_placed", 12}}; }
    distribution_map distributions() const override { return {}; }
    flow_summary     flows() override { return {20, 1000, 4096, 1, {{2, 13}, {3, 7}}}; }
    flow_explanation explain(const flow_tuple& flow) override {
        flow_explanation found;
        found.key = {1, 0xabc};
        found.service = flow.destination.to_string();
        found.reason = "asked for " + flow.source.to_string();
        return found;
    }

    std::function<void(const change_request&, change_callback)> respond = [](const change_request&  request,
                                                                             const change_callback& callback) {
        callback({request.operation_id, request.dry_run ? change_status::valid : change_status::accepted, 42, {}, {}});
    };
    std::vector<change_request> requests;
    std::vector<change_record>  records;
    configuration               current_configuration;
    member                      self_member;
    manual_clock                now;
    std::string                 stop_initiator;
};

std::string read_file(const char* name) {
    std::ifstream      file(std::filesystem::path(__FILE__).parent_path() / "data" / name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

admin_client_settings client_settings(const admin_server& server) {
    return {{server.address().to_string()}, "", "", "", "anna", std::chrono::seconds(60)};
}

struct balancer_fixture {
    fake_balancer                 balancer;
    control_thread                control;
    std::unique_ptr<admin_server> server;

    explicit balancer_fixture(const admin_server_settings& settings = {loopback_any_port, "", "", "", 256}) {
        auto started = admin_server::start(settings, balancer, control.queue());
        BOOST_REQUIRE(started.has_value());
        server = std::move(started).value();
    }
    command_outcome run(const std::string& line, const command_options& options = {}) const {
        return admin_client(client_settings(*server)).run(parse_command(line).value(), options);
    }
    std::unique_ptr<admin::Administration::Stub> stub() const {
        return admin::Administration::NewStub(
            grpc::CreateChannel(server->address().to_string(), grpc::InsecureChannelCredentials()));
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(the_balancer_receives_the_changes_that_were_typed) {
    const std::string lines[] = {
        "create service s udp [2001:db8::1]:53 max-flows 5 max-rate 6",
        "delete service s",
        "join s b tunnel 10.0.0.1:6080 health [::1]:80 weight 0 max-flows 1 max-rate 2",
        "join s b tunnel 10.0.0.1:6080 weight 100",
        "drain s b",
        "undrain s b",
        "leave s b",
        "weight s b 1000",
    };
    balancer_fixture fixture;
    command_options  options;
    options.base_revision = 12;
    options.dry_run = true;
    for (const std::string& line : lines) {
        const auto outcome = fixture.run(line, options);
        BOOST_TEST((outcome.code == exit_code::success), outcome.error);
        BOOST_TEST(outcome.output.starts_with("valid; nothing was changed"));
        const change_request& request = fixture.balancer.requests.back();
        BOOST_TEST(to_string(request.requested_change) == line);
        BOOST_TEST(request.operator_name == "anna");
        BOOST_TEST(request.base_revision == 12U);
        BOOST_TEST(request.dry_run);
    }
    BOOST_TEST(fixture.balancer.requests.size() == std::size(lines));
    BOOST_TEST(fixture.balancer.requests[0].operation_id != fixture.balancer.requests[1].operation_id);
}

// A limit that the command does not set must keep its value, and the request must carry the base revision of that
// value; otherwise it would overwrite a concurrent change.
BOOST_AUTO_TEST_CASE(limits_that_are_not_set_keep_their_value) {
    balancer_fixture fixture;
    fixture.run("change service board max-rate 0");
    command_options options;
    options.base_revision = 40;
    fixture.run("change service board max-flows 9", options);
    BOOST_TEST(to_string(fixture.balancer.requests[0].requested_change) ==
               "change service board max-flows 100 max-rate 0");
    BOOST_TEST(fixture.balancer.requests[0].base_revision == 41U);
    BOOST_TEST(to_string(fixture.balancer.requests[1].requested_change) ==
               "change service board max-flows 9 max-rate 7");
    BOOST_TEST(fixture.balancer.requests[1].base_revision == 40U);
}

BOOST_AUTO_TEST_CASE(each_outcome_has_its_exit_code) {
    balancer_fixture    fixture;
    const change_record other_change{"op", "bob", {}, 0, 41, drain_backend{"board", "b1"}};
    const auto          respond_with = [&](change_result outcome) {
        fixture.balancer.respond = [outcome](const change_request& request, const change_callback& callback) mutable {
            outcome.operation_id = request.operation_id;
            callback(outcome);
        };
        return fixture.run("drain board b1");
    };
    const auto invalid =
        respond_with({"", change_status::invalid, 41, {{"service board", "no such backend server", "b2"}}, {}});
    BOOST_TEST((invalid.code == exit_code::refused));
    BOOST_TEST(invalid.error.find("service board: no such backend server (expected b2)") != std::string::npos);
    const auto conflict = respond_with({"", change_status::conflict, 41, {}, other_change});
    BOOST_TEST((conflict.code == exit_code::conflict));
    BOOST_TEST(conflict.error.find("bob") != std::string::npos);
    BOOST_TEST(conflict.error.find("drain board b1") != std::string::npos);
    BOOST_TEST((respond_with({"", change_status::store_unavailable, 41, {}, {}}).code == exit_code::unavailable));
    const auto accepted = respond_with({"", change_status::accepted, 42, {}, {}});
    BOOST_TEST((accepted.code == exit_code::success));
    BOOST_TEST(accepted.output == "accepted as revision 42\n");
}

BOOST_AUTO_TEST_CASE(a_change_with_unknown_outcome_is_retried_with_the_same_operation_id) {
    balancer_fixture fixture;
    fixture.balancer.respond = [&](const change_request& request, const change_callback& callback) {
        const bool is_first = fixture.balancer.requests.size() == 1;
        callback(
            {request.operation_id, is_first ? change_status::outcome_unknown : change_status::accepted, 42, {}, {}});
    };
    BOOST_TEST((fixture.run("drain board b1").code == exit_code::success));
    BOOST_REQUIRE(fixture.balancer.requests.size() == 2U);
    BOOST_TEST(fixture.balancer.requests[0].operation_id == fixture.balancer.requests[1].operation_id);
}

BOOST_AUTO_TEST_CASE(a_change_is_retried_at_the_next_balancer_when_the_first_stops) {
    balancer_fixture first;
    balancer_fixture second;
    std::jthread     stopper;
    first.balancer.respond = [&](const change_request&, const change_callback&) { // never answers
        stopper = std::jthread([&] { first.server->stop(); });
    };
    auto settings = client_settings(*first.server);
    settings.servers.push_back(second.server->address().to_string());
    const auto outcome = admin_client(settings).run(parse_command("drain board b1").value(), {});
    BOOST_TEST((outcome.code == exit_code::success), outcome.error);
    BOOST_REQUIRE(second.balancer.requests.size() == 1U);
    BOOST_TEST(second.balancer.requests[0].operation_id == first.balancer.requests[0].operation_id);
}

BOOST_AUTO_TEST_CASE(a_change_without_a_reachable_balancer_ends_as_unavailable) {
    balancer_fixture fixture;
    auto             settings = client_settings(*fixture.server);
    fixture.server->stop();
    settings.timeout = std::chrono::milliseconds(300);
    const auto outcome = admin_client(settings).run(parse_command("drain board b1").value(), {});
    BOOST_TEST((outcome.code == exit_code::unavailable), outcome.error);
    BOOST_TEST(fixture.balancer.requests.empty());
}

BOOST_AUTO_TEST_CASE(malformed_requests_are_refused_without_reaching_the_balancer) {
    const balancer_fixture fixture;
    const auto             stub = fixture.stub();
    const auto             refused = [&](const std::function<void(admin::SubmitRequest&)>& modify) {
        admin::SubmitRequest request;
        request.set_operation_id("op");
        request.set_operator_name("anna");
        request.mutable_drain()->set_service("board");
        request.mutable_drain()->set_backend_server("b1");
        modify(request);
        admin::SubmitResponse response;
        grpc::ClientContext   context;
        const auto            status = stub->Submit(&context, request, &response);
        return status.ok() && response.status() == admin::INVALID && response.problems_size() > 0;
    };
    BOOST_TEST(!refused([](auto&) {}));
    BOOST_TEST(refused([](auto& request) { request.clear_operation_id(); }));
    BOOST_TEST(refused([](auto& request) { request.set_operator_name("anna\nb"); }));
    BOOST_TEST(refused([](auto& request) { request.clear_change(); }));
    BOOST_TEST(refused([](auto& request) { request.mutable_drain()->set_backend_server("b1 b2"); }));
    BOOST_TEST(
        refused([](auto& request) { request.mutable_drain()->set_service(std::string(4000, '\x1f') + "\xc3\xa9"); }));
    BOOST_TEST(refused([](auto& request) { request.mutable_weight()->set_weight(1001); }));
    BOOST_TEST(refused([](auto& request) { request.mutable_change_service()->set_service("board"); }));
    BOOST_TEST(refused([](auto& request) {
        request.mutable_create_service()->set_service("s");
        request.mutable_create_service()->set_address("10.0.0.1:443"); // no protocol
    }));
    BOOST_TEST(refused([](auto& request) {
        request.mutable_join()->set_service("board");
        request.mutable_join()->set_backend_server("b3");
        request.mutable_join()->set_tunnel("10.0.0.1:0");
    }));
    BOOST_TEST(fixture.balancer.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(queries_show_the_state_of_the_balancer) {
    balancer_fixture fixture;
    const auto       now = fixture.balancer.now.wall_now();
    fixture.balancer.records = {{"op1", "bob", now - std::chrono::hours(3), 0, 39, drain_backend{"board", "b1"}},
                                {"op2", "anna", now - std::chrono::hours(1), 0, 40, drain_backend{"board", "b2"}},
                                {"op3", "bob", now, 0, 41, delete_service{"other"}}};
    const auto output_contains = [&](const std::string& line, const std::string& text) {
        const std::string output = fixture.run(line).output;
        return output.find(text) != std::string::npos;
    };
    BOOST_TEST(output_contains(
        "show services", "board    tcp       10.0.0.1:443   1         0    2     20        100         7          40"));
    BOOST_TEST(output_contains("show service board", "b2"));
    BOOST_TEST(
        output_contains("show health", "board    b1              active  out             30s          2.50     13"));
    BOOST_TEST(
        output_contains("show health", "board    b2              active  not probed        -          1.00      7"));
    BOOST_TEST(output_contains("show balancers", "7*"));
    BOOST_TEST(output_contains("show counters", "tamarack_flows_placed     12"));
    BOOST_TEST(output_contains("show flows", "held 20 of 1000 (2.0%), no other holder 1, memory 4096 bytes"));
    BOOST_TEST(output_contains("explain [::1]:5 -> 10.0.0.1:443", "asked for [::1]:5"));
    BOOST_TEST(output_contains("explain [::1]:5 -> 10.0.0.1:443", "00000000000000010000000000000abc"));
    BOOST_TEST(output_contains("show history service board since 2h", "drain board b2"));
    BOOST_TEST(!output_contains("show history service board since 2h", "drain board b1"));
    BOOST_TEST(!output_contains("show history operator bob", "drain board b2"));
    BOOST_TEST(output_contains("show history operator bob since 2000-01-01", "drain board b1"));
    const auto missing = fixture.run("show service absent");
    BOOST_TEST((missing.code == exit_code::refused));
    BOOST_TEST(missing.error == "refused: there is no service 'absent' at revision 41\n");
    command_options output_options;
    output_options.json = true;
    const auto json = fixture.run("show flows", output_options);
    BOOST_TEST(json.output.find("\"held\":\"20\"") != std::string::npos);
    output_options = {};
    output_options.exposition = true;
    BOOST_TEST(fixture.run("show counters", output_options).output.find("# TYPE tamarack_flows_placed counter\n") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(excess_calls_are_refused_and_pending_calls_end_with_the_server) {
    balancer_fixture fixture({loopback_any_port, "", "", "", 1});
    const auto       stub = fixture.stub();
    fixture.control.set_paused(true); // calls wait in the queue
    const auto call = [&] {
        admin::ShowFlowsResponse response;
        grpc::ClientContext      context;
        return stub->ShowFlows(&context, admin::ShowFlowsRequest(), &response).error_code();
    };
    std::array<std::atomic<int>, 2> codes{};
    {
        const std::jthread first([&] { codes[0] = call(); });
        const std::jthread second([&] { codes[1] = call(); });
        while (codes[0] == grpc::OK && codes[1] == grpc::OK) // until one call is refused; the other one waits
            std::this_thread::yield();
        fixture.server->stop();
    }
    BOOST_TEST(std::max<int>(codes[0], codes[1]) == grpc::UNAVAILABLE);
    BOOST_TEST(std::min<int>(codes[0], codes[1]) == grpc::RESOURCE_EXHAUSTED);
    fixture.server.reset();
    fixture.control.set_paused(false); // work that is still queued must not touch the finished calls
}

BOOST_AUTO_TEST_CASE(with_tls_the_certificate_names_the_operator) {
    balancer_fixture fixture(
        {loopback_any_port, read_file("balancer.pem"), read_file("balancer.key.pem"), read_file("authority.pem"), 256});
    auto settings = client_settings(*fixture.server);
    settings.timeout = std::chrono::milliseconds(500);
    const auto run = [&] { return admin_client(settings).run(parse_command("drain board b1").value(), {}).code; };
    BOOST_TEST((run() == exit_code::unavailable)); // without TLS
    settings.authority = read_file("authority.pem");
    BOOST_TEST((run() == exit_code::unavailable)); // without a certificate
    BOOST_TEST(fixture.balancer.requests.empty());
    settings.certificate = read_file("operator.pem");
    settings.key = read_file("operator.key.pem");
    settings.timeout = std::chrono::seconds(60);
    BOOST_TEST((run() == exit_code::success));
    settings.operator_name = ""; // taken from the certificate
    BOOST_TEST((run() == exit_code::success));
    settings.operator_name = "bob";
    BOOST_TEST((run() == exit_code::refused));
    BOOST_REQUIRE(fixture.balancer.requests.size() == 2U);
    BOOST_TEST(fixture.balancer.requests[1].operator_name == "anna");
    BOOST_TEST((admin_client(settings).stop_balancer({}).code == exit_code::refused));
    BOOST_TEST(fixture.balancer.stop_initiator == "");
}

BOOST_AUTO_TEST_CASE(a_port_in_use_is_an_error) {
    balancer_fixture      fixture;
    admin_server_settings settings{fixture.server->address(), "", "", "", 256};
    BOOST_TEST(!admin_server::start(settings, fixture.balancer, fixture.control.queue()).has_value());
}

BOOST_AUTO_TEST_CASE(the_live_view_fits_60_columns) {
    watch_frame before;
    auto&       service = *before.services.add_services();
    service.set_name(std::string(64, 'n'));
    service.add_backend_servers()->set_flows_held(UINT64_MAX / 2);
    before.balancers.add_balancers()->set_failure_domain(std::string(64, 'd'));
    before.flows.set_held(40'000'000);
    before.flows.set_capacity(100'000'000);
    auto& counter = *before.counters.add_counters();
    counter.set_name("tamarack_flows_placed");
    counter.set_value(100);
    watch_frame after = before;
    after.taken_at = before.taken_at + std::chrono::seconds(2);
    after.counters.mutable_counters(0)->set_value(300);
    for (const auto& size : {view_size{60, 0}, view_size{0, 0}, view_size{60, 8}, view_size{20, 1}}) {
        std::istringstream text(watch_view(after, &before, size));
        std::size_t        lines = 0;
        for (std::string line; std::getline(text, line); ++lines)
            BOOST_TEST(line.size() <= 60U, line);
        BOOST_TEST((size.rows != 8 || lines < 8U));
    }
    BOOST_TEST(watch_view(after, &before, {}).find("new flows/s 100 ") != std::string::npos);
    BOOST_TEST(watch_view(before, &after, {}).find("new flows/s ? ") != std::string::npos);
}

// A table that does not fit must be written as records, so that no text is lost.
BOOST_AUTO_TEST_CASE(tables_that_do_not_fit_become_records) {
    text_table table({{"name"}, {"flows", text_table::align::right}});
    table.add({"board", "7"});
    BOOST_TEST(table.to_text(0) == "name   flows\nboard      7\n");
    BOOST_TEST(table.to_text(12) == table.to_text(0));
    BOOST_TEST(table.to_text(11) == "name: board\nflows: 7\n");
}
