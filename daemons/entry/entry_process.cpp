// The event loop of the entry balancer. One thread: the hosts give a part of one core, and only one thread runs at a
// time.
#include "daemons/entry/entry_process.h"

#include "daemons/entry/entry_metrics.h"
#include "daemons/entry/feed_server.h"
#include "daemons/entry/packet_port.h"
#include "daemons/entry/status_view.h"
#include "entry/lifecycle.h"
#include "platform/http_status.h"
#include "platform/store_client.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <random>

namespace tamarack::entry {

namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds tick_interval(100);
// Packets that arrive before the first sync wait in the socket's buffer for this long at most; callers repeat their SYN
// after 200 ms and 600 ms.
constexpr duration                  first_sync_wait = std::chrono::milliseconds(1'500);
constexpr std::size_t               receive_buffer = 1'048'576; // bytes
constexpr duration                  file_check_interval = std::chrono::seconds(2);

// Hosts with less than these leave reading the store for others to stronger ones, by the delay.
constexpr double   strong_processor_share = 0.4;
constexpr double   strong_link_mbps = 100.0;
constexpr duration weak_host_delay = std::chrono::milliseconds(700);

std::uint64_t random_number() {
    std::random_device device;
    constexpr unsigned half = 32;
    return (static_cast<std::uint64_t>(device()) << half) | device();
}

// Positions of a feed start anywhere, so that a position of an earlier process is told apart; they stay exact in JSON.
std::uint64_t first_generation() {
    constexpr unsigned unused_bits = 16;
    return random_number() >> unused_bits;
}

std::size_t flow_capacity(const settings& values) {
    constexpr std::size_t bytes_per_mb = 1'048'576;
    constexpr std::size_t bytes_per_flow = 256; // of the table, with the memory manager's share
    constexpr std::size_t share = 4;            // a quarter of the memory
    return values.memory_mb * bytes_per_mb / share / bytes_per_flow;
}

source_settings sources_of(const settings& values) {
    source_settings sources{.name = values.name, .failure_domain = values.failure_domain, .contacts = {}};
    for (const endpoint& contact : values.contacts) {
        if (contact.address != values.peer_address.address)
            sources.contacts.push_back({contact.address, values.peer_address.port});
    }
    return sources;
}

claim_settings claim_of(const settings& values, const feed_key& key) {
    const bool strong = values.processor_share >= strong_processor_share && values.link_mbps >= strong_link_mbps;
    return {.self = {.name = values.name,
                     .failure_domain = values.failure_domain,
                     .address = values.peer_address,
                     .key = key},
            .delay = strong ? duration::zero() : weak_host_delay};
}

} // namespace

struct entry_process::impl {
    impl(const settings& given, std::string file, const clock& source, udp_socket socket);

    void start();
    void read_store();
    void records_read(const result<record_page, read_error>& outcome);
    void log_changes();
    void claim_feeder();
    void wait_for_tick();
    void tick();
    void wait_for_signal();
    void note_rejected(std::string_view caller);
    void answer_readiness(const http_responder::reply& respond) const;
    void answer_metrics(const http_responder::reply& respond) const;
    void answer_status(std::string_view target, const http_responder::reply& respond) const;
    void reload();
    void watch_settings_file();

    steady_time now() const { return time.steady_now(); }

    settings                             values;
    std::string                          settings_file;
    const clock&                         time;
    asio::io_context                     context{1};
    event_log                            log;
    replica                              known{first_generation()};
    std::uint64_t                        logged_generation = known.generation(); // changes up to it are in the log
    const feed_key                       key = random_feed_key();
    store_sync                           sync;
    feeder_claim                         claim;
    steering                             decisions;
    status_view                          view{known, decisions};
    lifecycle                            life;
    packet_port                          packets;
    feed_server                          followers;
    platform::store_client               store;
    asio::steady_timer                   ticks;
    asio::signal_set                     signals;
    std::vector<http_responder>          servers;
    steady_time                          started;
    std::filesystem::file_time_type      file_changed; // of the settings file, when it was last read
    steady_time                          file_check_due{};
    bool                                 was_reachable = false;
    bool                                 was_feeding = false;
    std::map<std::string, std::uint64_t> calls;              // by result
    std::uint64_t                        rejected_calls = 0; // of followers
};

entry_process::impl::impl(const settings& given, std::string file, const clock& source, udp_socket socket)
    : values(given), settings_file(std::move(file)), time(source), log(source, given.name),
      sync(known, sources_of(given), random_number()), claim(claim_of(given, key), known, random_number()),
      decisions({.failure_domain = given.failure_domain, .flow_capacity = flow_capacity(given)}, known,
                random_number()),
      life(given.stop_grace), packets(context, std::move(socket), decisions, known, log, source),
      followers(feed(known, given.name, key, source.steady_now())), store(context, given.store_address), ticks(context),
      signals(context, SIGTERM, SIGINT, SIGHUP), started(source.steady_now()), file_changed(given.modified_at) {}

void entry_process::impl::start() {
    read_store();
    wait_for_tick();
    wait_for_signal();
}

//----------------------------------------------------------------------------------------------------------------------
// Store
//----------------------------------------------------------------------------------------------------------------------

void entry_process::impl::read_store() {
    const auto next = sync.next_call(now());
    if (!next) return;
    store.read(*next, [this](const result<record_page, read_error>& outcome) { records_read(outcome); });
}

void entry_process::impl::records_read(const result<record_page, read_error>& outcome) {
    const steady_time answered = now();
    if (outcome) {
        ++calls["ok"];
        const std::uint64_t before = known.generation();
        sync.succeeded(outcome.value(), answered);
        if (known.generation() != before) log.note_unusable(outcome.value().records);
        log_changes();
    } else {
        ++calls[std::string(to_string(outcome.error()))];
        sync.failed(outcome.error(), answered);
    }
    if (sync.is_store_available() != was_reachable) {
        was_reachable = sync.is_store_available();
        log.note_store_state(was_reachable, outcome ? "" : to_string(outcome.error()));
    }
    if (known.routing() != nullptr && known.is_complete()) life.note_synchronized();
    if (life.is_ready() && !packets.started()) {
        log.note_synchronized(answered - started, known);
        packets.start();
    }
    followers.poll(sync.is_current_from_store(answered), answered);
    read_store();
    claim_feeder();
}

void entry_process::impl::log_changes() {
    if (known.generation() == logged_generation) return;
    if (const auto changes = known.changes_after(logged_generation)) log.note_changes(*changes);
    logged_generation = known.generation();
}

void entry_process::impl::claim_feeder() {
    const steady_time current = now();
    const bool        eligible = sync.is_current_from_store(current) && life.is_ready();
    const auto        next = claim.next_call(current, eligible, sync.open_slot());
    sync.set_is_feeder(claim.holds_slot());
    if (claim.holds_slot() != was_feeding) {
        was_feeding = claim.holds_slot();
        log.note_feeder_state(was_feeding);
    }
    if (!next) return;
    store.claim(*next, [this](const result<std::uint64_t, claim_error>& outcome) {
        ++calls[outcome ? "claim_ok" : "claim_" + std::string(to_string(outcome.error()))];
        if (outcome) {
            claim.succeeded(outcome.value(), now());
        } else {
            claim.failed(outcome.error(), now());
        }
        claim_feeder();
    });
}

//----------------------------------------------------------------------------------------------------------------------
// Timer and signals
//----------------------------------------------------------------------------------------------------------------------

void entry_process::impl::wait_for_tick() {
    ticks.expires_after(tick_interval);
    ticks.async_wait([this](const boost::system::error_code& error) {
        if (!error) tick();
    });
}

void entry_process::impl::tick() {
    packets.note_round();
    const steady_time current = now();
    known.expire(current);
    log_changes();
    decisions.expire(current);
    read_store();
    claim_feeder();
    followers.poll(sync.is_current_from_store(current), current);
    watch_settings_file();
    log.flush();
    if (current - started >= first_sync_wait) packets.start();
    life.note_packet(packets.last_packet());
    if (life.may_exit(current)) {
        context.stop();
        return;
    }
    wait_for_tick();
}

void entry_process::impl::wait_for_signal() {
    signals.async_wait([this](const boost::system::error_code& error, int number) {
        if (error) return;
        if (number == SIGHUP) {
            reload();
        } else {
            log.note_stop_requested();
            life.request_stop(now());
            claim_feeder();
        }
        wait_for_signal();
    });
}

void entry_process::impl::reload() {
    file_changed = modification_time(settings_file);
    const auto next = read_settings_file(settings_file);
    if (!next) return log.note_invalid_settings(next.error());
    const settings_difference difference = compare_settings(values, next.value());
    log.note_reload(difference);
    values.stop_grace = next.value().stop_grace;
    life.set_stop_grace(values.stop_grace);
    values.raw_values = next.value().raw_values;
}

// The file may change without a signal.
void entry_process::impl::watch_settings_file() {
    const steady_time current = now();
    if (current < file_check_due) return;
    file_check_due = current + file_check_interval;
    if (modification_time(settings_file) != file_changed) reload();
}

//----------------------------------------------------------------------------------------------------------------------
// HTTP
//----------------------------------------------------------------------------------------------------------------------

void entry_process::impl::note_rejected(std::string_view caller) {
    ++rejected_calls;
    log.note_rejected_follower(caller);
}

void entry_process::impl::answer_readiness(const http_responder::reply& respond) const {
    if (life.is_ready()) return respond({.body = "ready\n"});
    respond({.status = platform::status_unavailable, .body = life.is_stopping() ? "stopping\n" : "not synchronized\n"});
}

void entry_process::impl::answer_metrics(const http_responder::reply& respond) const {
    const process_status status{.ready = life.is_ready(),
                                .feeding = claim.holds_slot(),
                                .followers = followers.followers(),
                                .flows = decisions.flows().flow_count(),
                                .rejected_calls = rejected_calls,
                                .calls = calls};
    respond(
        {.body = metrics_text(packets.counters(), status, known, now()), .content_type = "text/plain; version=0.0.4"});
}

void entry_process::impl::answer_status(std::string_view target, const http_responder::reply& respond) const {
    if (target == "/counters") return answer_metrics(respond);
    auto text = view.text(target, now());
    if (!text) return respond({.status = platform::status_not_found, .body = "not known, or an address is wrong\n"});
    respond({.body = std::move(*text)});
}

//----------------------------------------------------------------------------------------------------------------------
// Public class
//----------------------------------------------------------------------------------------------------------------------

entry_process::entry_process(std::unique_ptr<impl> parts) : impl_(std::move(parts)) {}
entry_process::~entry_process() = default;

result<std::unique_ptr<entry_process>, std::string> entry_process::open(const settings& values,
                                                                        std::string settings_file, const clock& time) {
    auto socket = udp_socket::open(values.packets_address, {.receive_buffer = receive_buffer});
    if (!socket) return socket.error();
    auto  parts = std::make_unique<impl>(values, std::move(settings_file), time, std::move(socket).value());
    impl* running = parts.get();
    struct listener {
        endpoint                where;
        http_responder::handler handle;
    };
    std::vector<listener> listeners = {
        {values.readiness_address,
         [running](const http_call&, const http_responder::reply& respond) { running->answer_readiness(respond); }},
        {values.peer_address,
         [running](const http_call& call, http_responder::reply respond) {
             const steady_time current = running->now();
             const bool admitted = running->followers.handle(call.target, running->sync.is_current_from_store(current),
                                                             current, std::move(respond));
             if (!admitted) running->note_rejected(call.caller);
         }},
    };
    if (values.metrics_address) {
        listeners.push_back(
            {*values.metrics_address,
             [running](const http_call&, const http_responder::reply& respond) { running->answer_metrics(respond); }});
    }
    if (values.status_address) {
        listeners.push_back(
            {*values.status_address, [running](const http_call& call, const http_responder::reply& respond) {
                 running->answer_status(call.target, respond);
             }});
    }
    for (listener& each : listeners) {
        auto server = http_responder::open(running->context, each.where, std::move(each.handle));
        if (!server) return server.error();
        parts->servers.push_back(std::move(server).value());
    }
    return std::unique_ptr<entry_process>(new entry_process(std::move(parts)));
}

void entry_process::run() {
    impl_->log.note_start();
    impl_->start();
    impl_->context.run();
    impl_->log.note_stopped();
    impl_->log.flush();
}

} // namespace tamarack::entry
