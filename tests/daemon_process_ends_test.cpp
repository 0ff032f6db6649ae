// tamarackd as a real process, under what made it end, refuse to start or waste a core (issue 34).
#define BOOST_TEST_MODULE daemon_process_ends
#include "child_program.h"
#include "loopback_endpoint.h"
#include "tamarack/admin_client.h"
#include "unread_pipe.h"

#include <boost/test/unit_test.hpp>
#include <poll.h>
#include <sys/stat.h>

using namespace tamarack;
namespace fs = std::filesystem;

namespace {

constexpr duration ready_bound = 5s;  // from a start to the first answer to an operator; a start takes some tens of ms
constexpr duration end_bound = 5s;    // from SIGTERM to the end; a stop without flows takes about 1 s
constexpr duration staying_time = 1s; // a process that is still alive after it did not end because of its start

// One balancer with its settings file. Nothing listens at the address of the platform. Each test case has addresses of
// its own, so that nothing of an earlier one is in the way.
struct host_fixture {
    static std::uint8_t next_network() {
        static std::uint8_t last_network = 91;
        return ++last_network;
    }

    temporary_folder folder;
    endpoint         host = loopback_endpoint(next_network(), 0);
    std::string      settings_path = folder.file("one.ini");
    std::string      log_path = folder.file("one.log");
    child_program    program{DAEMON_PROGRAM, settings_path, log_path};

    host_fixture() {
        write_key(folder.file("key"));
        write_settings(settings_text(host, admin_address()));
    }

    static void write_key(const std::string& path) {
        std::ofstream(path) << std::string(64, '7');
        fs::permissions(path, fs::perms::owner_read | fs::perms::owner_write);
    }
    static endpoint with_port(endpoint address, std::uint16_t port) {
        address.port = port;
        return address;
    }
    endpoint fabric_address() const { return with_port(host, 6'080); }
    endpoint relay_address() const { return with_port(host, 6'081); }
    endpoint control_address() const { return with_port(host, 6'082); }
    endpoint admin_address() const { return with_port(host, 6'083); }

    static std::string settings_text(const endpoint& host, const endpoint& admin) {
        return "[balancer]\nmember_id = 1\nfailure_domain = north\nfabric_address = " +
               with_port(host, 6'080).to_string() + "\nrelay_address = " + with_port(host, 6'081).to_string() +
               "\ncontrol_address = " + with_port(host, 6'082).to_string() + "\nadmin_address = " + admin.to_string() +
               "\nstop_grace_seconds = 1\n[cluster]\nhash_seed = 1\n[platform]\naddresses = " +
               with_port(host, 2'379).to_string() + "\n[keys]\nsigning_file = key\n";
    }
    void write_settings(const std::string& text) const { std::ofstream(settings_path, std::ios::trunc) << text; }

    static bool answers_operators(const endpoint& admin) {
        if (tcp_connection(admin).handle() < 0) return false;
        admin_client client({{admin.to_string()}, "", "", "", "anna", 2s});
        return client.run(parse_command("show balancers").value(), {}).code == exit_code::success;
    }
    bool becomes_ready() const {
        return wait_until(ready_bound, [&] { return answers_operators(admin_address()); });
    }
    bool logs(std::string_view text) const {
        return wait_until(ready_bound, [&] { return program.log().find(text) != std::string::npos; });
    }
    bool stays_alive() { return !program.wait_for_end(staying_time).has_value(); }
    bool stops_gracefully() {
        program.send_signal(SIGTERM);
        return ends_with_success(program.wait_for_end(end_bound));
    }
    static bool ends_with_success(std::optional<int> status) {
        return status && WIFEXITED(*status) && WEXITSTATUS(*status) == 0;
    }
    std::size_t count_of(std::string_view text) const {
        const std::string log = program.log();
        std::size_t       count = 0;
        for (std::size_t at = log.find(text); at != std::string::npos; at = log.find(text, at + 1))
            ++count;
        return count;
    }
};

// Without SO_REUSEADDR, as another program would hold the port.
int hold_port(const endpoint& address, int type) {
    constexpr std::size_t v4_offset = 12;
    const int             handle = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in           name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port);
    std::memcpy(&name.sin_addr, address.address.bytes.data() + v4_offset, sizeof name.sin_addr);
    BOOST_REQUIRE(::bind(handle, reinterpret_cast<const sockaddr*>(&name), sizeof name) == 0);
    if (type == SOCK_STREAM) BOOST_REQUIRE(::listen(handle, 1) == 0);
    return handle;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(process_ends, host_fixture)

//----------------------------------------------------------------------------------------------------------------------
// What a start finds missing
//----------------------------------------------------------------------------------------------------------------------

// Operators can ask any balancer, so that packets need not wait for this port. Its default is the same on all hosts.
BOOST_AUTO_TEST_CASE(a_balancer_without_its_admin_port_serves) {
    const int holder = hold_port(admin_address(), SOCK_STREAM);
    program.start();
    BOOST_TEST(logs("T1006"));
    BOOST_TEST(logs("T1002 listening port=fabric"));
    BOOST_TEST(stays_alive());
    BOOST_TEST(count_of("T1006") == 1U);
    ::close(holder);
    BOOST_TEST(becomes_ready());
    BOOST_TEST(stops_gracefully());
}

// The files were just being written.
BOOST_AUTO_TEST_CASE(empty_certificates_do_not_open_the_admin_port_without_tls) {
    for (const char* name : {"certificate", "private", "authority"})
        host_fixture::write_key(folder.file(name));
    std::ofstream(folder.file("certificate"), std::ios::trunc).flush();
    write_settings(settings_text(host, admin_address()) +
                   "[admin]\ncertificate_file = certificate\nkey_file = private\nauthority_file = authority\n");
    program.start();
    BOOST_TEST(logs("T1002 listening port=fabric"));
    BOOST_TEST(stays_alive());
    BOOST_TEST(logs("T1006"));
    BOOST_TEST(!answers_operators(admin_address()));
}

BOOST_AUTO_TEST_CASE(an_empty_authority_does_not_lead_to_calls_of_the_platform_without_tls) {
    std::ofstream(folder.file("authority")).flush();
    write_settings(settings_text(host, admin_address()) + "[platform]\nauthority_file = authority\n");
    const int platform = hold_port(with_port(host, 2'379), SOCK_STREAM);
    program.start();
    BOOST_TEST(stays_alive());
    pollfd entry{platform, POLLIN, 0};
    BOOST_TEST(::poll(&entry, 1, 3'000) == 0); // no connection; the first one comes 2 s after a start
    BOOST_TEST(logs("T1006"));
    write_key(folder.file("authority"));
    BOOST_TEST(becomes_ready());
    ::close(platform);
}

BOOST_AUTO_TEST_CASE(a_start_waits_for_the_ports_that_a_predecessor_still_holds) {
    for (const endpoint& port : {control_address(), fabric_address(), relay_address()}) {
        BOOST_TEST_CONTEXT("port " << port.to_string()) {
            const int holder = hold_port(port, SOCK_DGRAM);
            program.start();
            BOOST_TEST(stays_alive());
            BOOST_TEST(count_of("T1006") == 1U);
            BOOST_TEST(count_of("T1002") == 0U); // a port is not open before all are
            ::close(holder);
            BOOST_TEST(becomes_ready());
            BOOST_TEST(stops_gracefully());
            fs::remove(log_path);
        }
    }
}

// A restart overlaps the graceful stop of the process before.
BOOST_AUTO_TEST_CASE(a_process_that_starts_while_its_predecessor_stops_takes_over) {
    program.start();
    BOOST_REQUIRE(becomes_ready());
    child_program successor(DAEMON_PROGRAM, settings_path, folder.file("successor.log"));
    program.send_signal(SIGTERM);
    successor.start();
    BOOST_TEST(ends_with_success(program.wait_for_end(end_bound)));
    BOOST_TEST(becomes_ready());
    BOOST_TEST(successor.is_running());
}

BOOST_AUTO_TEST_CASE(a_start_waits_for_the_address_of_its_host) {
    const endpoint missing_host{ip_address::v4(0xc6336401), 0}; // 198.51.100.1, which no machine has
    write_settings(settings_text(missing_host, admin_address()));
    program.start();
    BOOST_TEST(stays_alive());
    BOOST_TEST(logs("Cannot assign requested address"));
    BOOST_TEST(program.processor_time() < 200ms);
    BOOST_TEST(stops_gracefully());
}

BOOST_AUTO_TEST_CASE(a_start_waits_for_a_settings_file_that_is_being_written) {
    const std::string complete = settings_text(host, admin_address());
    for (const std::string& incomplete : {std::string(), complete.substr(0, complete.size() / 2)}) {
        BOOST_TEST_CONTEXT("size " << incomplete.size()) {
            write_settings(incomplete);
            program.start();
            BOOST_TEST(stays_alive());
            BOOST_TEST(logs("T2001"));
            write_settings(complete);
            BOOST_TEST(becomes_ready());
            BOOST_TEST(stops_gracefully());
            fs::remove(log_path);
        }
    }
}

// The text up to the cut is valid: "max_flows = 50" of "max_flows = 50000" would be too small, "5000" is not.
BOOST_AUTO_TEST_CASE(a_settings_file_that_ends_within_a_value_is_not_used_at_once) {
    const std::string complete = settings_text(host, admin_address()) + "[limits]\nmax_flows = 50000\n";
    write_settings(complete.substr(0, complete.size() - 2));
    program.start();
    std::this_thread::sleep_for(300ms);
    write_settings(complete);
    BOOST_REQUIRE(becomes_ready());
    admin_client client({{admin_address().to_string()}, "", "", "", "anna", 2s});
    const auto   flows = client.run(parse_command("show flows").value(), {});
    BOOST_TEST(flows.output.find("held 0 of 50000 ") != std::string::npos, flows.output);
}

BOOST_AUTO_TEST_CASE(a_start_waits_for_the_signing_key) {
    fs::remove(folder.file("key"));
    program.start();
    BOOST_TEST(stays_alive());
    BOOST_TEST(logs("T2001"));
    write_key(folder.file("key"));
    BOOST_TEST(becomes_ready());
    BOOST_TEST(stops_gracefully());
}

BOOST_AUTO_TEST_CASE(a_stop_ends_the_wait_for_settings) {
    fs::remove(settings_path);
    program.start();
    BOOST_TEST(stays_alive());
    BOOST_TEST(stops_gracefully());
}

//----------------------------------------------------------------------------------------------------------------------
// Signals
//----------------------------------------------------------------------------------------------------------------------

// The starting program blocks SIGHUP, the one thing that it can do for the time before main.
BOOST_AUTO_TEST_CASE(a_sighup_at_the_start_does_not_end_the_process) {
    program.start({.blocked_signal = SIGHUP});
    BOOST_TEST(becomes_ready());
    program.send_signal(SIGHUP);
    BOOST_TEST(logs("T2002"));
}

BOOST_AUTO_TEST_CASE(a_stop_that_is_requested_at_the_start_is_carried_out) {
    program.start({.blocked_signal = SIGTERM});
    BOOST_TEST(ends_with_success(program.wait_for_end(end_bound)));
}

BOOST_AUTO_TEST_CASE(signals_that_the_starting_program_has_blocked_are_handled) {
    program.start({.masked_signal = SIGHUP});
    BOOST_REQUIRE(becomes_ready());
    program.send_signal(SIGHUP);
    BOOST_TEST(logs("T2002"));
    BOOST_TEST(stops_gracefully());
    fs::remove(log_path);
    program.start({.masked_signal = SIGTERM});
    BOOST_REQUIRE(becomes_ready());
    BOOST_TEST(stops_gracefully());
    BOOST_TEST(logs("T1003 stop requested by=SIGTERM"));
}

// Tools that rotate logs and terminals send these.
BOOST_AUTO_TEST_CASE(signals_without_a_meaning_for_the_program_do_not_end_it) {
    constexpr std::array signals = {SIGPIPE, SIGUSR1, SIGUSR2, SIGXFSZ, SIGALRM, SIGTTOU, SIGTTIN};
    for (const int signal : signals) {
        BOOST_TEST_CONTEXT("signal " << signal << " at the start") {
            program.start({.blocked_signal = signal});
            BOOST_TEST(becomes_ready());
            program.send_signal(SIGKILL);
            program.wait_for_end(end_bound);
        }
        BOOST_TEST_CONTEXT("signal " << signal << " in service") {
            program.start();
            BOOST_REQUIRE(becomes_ready());
            program.send_signal(signal);
            BOOST_TEST(!program.wait_for_end(100ms).has_value());
            BOOST_TEST(answers_operators(admin_address()));
            program.send_signal(SIGKILL);
            program.wait_for_end(end_bound);
        }
    }
}

// A reload that arrives while the process ends must not change its exit status.
BOOST_AUTO_TEST_CASE(signals_during_the_end_do_not_change_its_status) {
    program.start();
    BOOST_REQUIRE(becomes_ready());
    program.send_signal(SIGTERM);
    std::optional<int> status;
    for (int i = 0; i < 100'000 && !status; ++i) { // dense, since the window is short
        program.send_signal(SIGHUP);
        std::this_thread::sleep_for(50us);
        status = program.wait_for_end(0ms);
    }
    BOOST_TEST(ends_with_success(status), "status " << status.value_or(-1));
}

//----------------------------------------------------------------------------------------------------------------------
// Resources
//----------------------------------------------------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(a_log_file_at_the_limit_of_file_size_does_not_end_the_process) {
    program.start({.file_size_limit = 200});
    BOOST_TEST(becomes_ready());
    BOOST_TEST(stays_alive());
    BOOST_TEST(stops_gracefully());
}

BOOST_AUTO_TEST_CASE(a_log_on_a_full_device_does_not_end_the_process) {
    child_program full(DAEMON_PROGRAM, settings_path, "/dev/full");
    full.start();
    BOOST_TEST(becomes_ready());
    BOOST_TEST(!full.wait_for_end(staying_time).has_value());
    full.send_signal(SIGTERM);
    BOOST_TEST(ends_with_success(full.wait_for_end(end_bound)));
}

BOOST_AUTO_TEST_CASE(a_log_whose_reader_is_gone_does_not_end_the_process) {
    const std::string pipe = folder.file("pipe");
    BOOST_REQUIRE(::mkfifo(pipe.c_str(), 0600) == 0);
    const int     reader = ::open(pipe.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
    child_program piped(DAEMON_PROGRAM, settings_path, pipe);
    piped.start();
    BOOST_TEST(becomes_ready());
    ::close(reader);
    piped.send_signal(SIGHUP); // logs a line
    BOOST_TEST(!piped.wait_for_end(staying_time).has_value());
    BOOST_TEST(answers_operators(admin_address()));
    piped.send_signal(SIGTERM);
    BOOST_TEST(ends_with_success(piped.wait_for_end(end_bound)));
}

// Log lines went to descriptors that were sockets and the event loop's.
BOOST_AUTO_TEST_CASE(closed_standard_files_are_not_taken_for_other_purposes) {
    program.start({.has_standard_files = false});
    BOOST_REQUIRE(becomes_ready());
    for (int handle = STDIN_FILENO; handle <= STDERR_FILENO; ++handle) {
        std::error_code   error;
        const std::string link = "/proc/" + std::to_string(program.pid()) + "/fd/" + std::to_string(handle);
        BOOST_TEST(fs::read_symlink(link, error).string() == "/dev/null");
    }
}

BOOST_AUTO_TEST_CASE(idle_connections_beyond_the_descriptors_neither_end_it_nor_close_its_admin_port) {
    for (const rlim_t limit : {rlim_t{40}, rlim_t{64}}) {
        BOOST_TEST_CONTEXT("descriptors " << limit) {
            program.start({.descriptor_limit = limit});
            BOOST_REQUIRE(becomes_ready());
            constexpr int               connection_count = 80;
            std::vector<tcp_connection> idle;
            idle.reserve(connection_count);
            for (int i = 0; i < connection_count; ++i)
                idle.emplace_back(admin_address());
            const duration before = program.processor_time();
            BOOST_TEST(!program.wait_for_end(2s).has_value());
            BOOST_TEST(program.processor_time() - before < 200ms);
            idle.clear();
            BOOST_TEST(becomes_ready());
            BOOST_TEST(stops_gracefully());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_start_with_too_few_descriptors_waits_and_says_so) {
    for (const rlim_t limit : {rlim_t{6}, rlim_t{8}, rlim_t{12}, rlim_t{16}, rlim_t{20}}) {
        BOOST_TEST_CONTEXT("descriptors " << limit) {
            program.start({.descriptor_limit = limit});
            BOOST_TEST(stays_alive());
            BOOST_TEST(logs("Too many open files"));
            BOOST_TEST(program.processor_time() < 200ms);
            BOOST_TEST(stops_gracefully());
            fs::remove(log_path);
        }
    }
}

// Whatever the number, it serves or waits.
BOOST_AUTO_TEST_CASE(no_number_of_descriptors_ends_the_process) {
    for (rlim_t limit = 5; limit <= 40; ++limit) {
        BOOST_TEST_CONTEXT("descriptors " << limit) {
            program.start({.descriptor_limit = limit});
            BOOST_TEST(!program.wait_for_end(300ms).has_value());
            BOOST_TEST(stops_gracefully());
        }
    }
}

//----------------------------------------------------------------------------------------------------------------------
// A log that nobody reads
//----------------------------------------------------------------------------------------------------------------------

// Every thread that logged waited for the reader, and with it the answers to operators and the end of the process.
BOOST_AUTO_TEST_CASE(a_balancer_whose_log_is_not_read_answers_and_stops) {
    unread_pipe   log;
    child_program unread(DAEMON_PROGRAM, settings_path, log.path());
    log.fill();
    unread.start();
    BOOST_TEST(becomes_ready());
    for (int i = 0; i < 3; ++i) {
        unread.send_signal(SIGHUP); // worth a line
        std::this_thread::sleep_for(300ms);
    }
    BOOST_TEST(answers_operators(admin_address()));
    unread.send_signal(SIGTERM);
    BOOST_TEST(ends_with_success(unread.wait_for_end(end_bound)));
}

// The balancer's own output took the place of glog's: no line may be lost with it.
BOOST_AUTO_TEST_CASE(a_reader_that_continues_gets_the_lines_of_the_meantime) {
    unread_pipe   log;
    child_program unread(DAEMON_PROGRAM, settings_path, log.path());
    log.fill();
    unread.start();
    BOOST_TEST(becomes_ready());
    std::string text;
    wait_until(ready_bound, [&] {
        text += log.read(log.size(), ready_bound);
        return text.find("T1002 listening port=admin") != std::string::npos;
    });
    BOOST_TEST(text.find("T1001") != std::string::npos, text);
    unread.send_signal(SIGTERM);
    BOOST_TEST(ends_with_success(unread.wait_for_end(end_bound)));
    BOOST_TEST(log.read(log.size(), ready_bound).find("T1004") != std::string::npos); // the last line
}

BOOST_AUTO_TEST_SUITE_END()
