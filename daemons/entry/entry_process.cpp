// The event loop of the entry balancer. One thread: the hosts give a part of one core, and only one thread runs at a
// time.
#include "daemons/entry/entry_process.h"

#include "daemons/entry/http_responder.h"
#include "entry/event_log.h"
#include "entry/lifecycle.h"
#include "entry/steering.h"
#include "entry/store_sync.h"
#include "platform/packet_format.h"
#include "platform/store_client.h"
#include "tamarack/udp_socket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
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
constexpr unsigned                  service_unavailable = 503;

std::uint64_t random_seed() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace

struct entry_process::impl {
    impl(const settings& given, std::string file, const clock& source, udp_socket socket);
    ~impl() { packet_events.release(); }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    void        start();
    void        wait_for_packets();
    void        receive_packets();
    void        handle_packet(byte_view bytes, steady_time now);
    void        flush();
    void        call_store();
    void        store_answered(result<store_page, store_error> outcome);
    void        wait_for_tick();
    void        tick();
    void        wait_for_signal();
    http_answer answer(std::string_view path) const;

    steady_time now() const { return time.steady_now(); }

    settings                                values;
    std::string                             settings_file;
    const clock&                            time;
    asio::io_context                        context{1};
    event_log                               log;
    replica                                 known;
    store_sync                              sync;
    steering                                decisions;
    lifecycle                               life;
    udp_socket                              packets;
    asio::posix::stream_descriptor          packet_events;
    receive_batch                           batch;
    action_buffer                           outgoing;
    std::vector<outgoing_datagram>          datagrams;
    platform::store_client                  store;
    asio::steady_timer                      ticks;
    asio::signal_set                        signals;
    std::optional<http_responder>           readiness;
    std::optional<http_responder>           metrics;
    steady_time                             started;
    bool                                    receiving = false;
    bool                                    store_was_reachable = false;
    std::array<std::uint64_t, reason_count> reasons{};
    std::uint64_t                           malformed = 0;
    std::uint64_t                           unsent = 0;
    std::map<std::string, std::uint64_t>    store_calls; // by result
};

entry_process::impl::impl(const settings& given, std::string file, const clock& source, udp_socket socket)
    : values(given), settings_file(std::move(file)), time(source), log(source, given.name), sync(known, random_seed()),
      decisions({.failure_domain = given.failure_domain}, known, random_seed()), life(given.stop_grace),
      packets(std::move(socket)), packet_events(context, packets.handle()), store(context, given.store), ticks(context),
      signals(context, SIGTERM, SIGINT, SIGHUP), started(source.steady_now()) {}

void entry_process::impl::start() {
    call_store();
    wait_for_tick();
    wait_for_signal();
}

//----------------------------------------------------------------------------------------------------------------------
// Packets
//----------------------------------------------------------------------------------------------------------------------

void entry_process::impl::wait_for_packets() {
    packet_events.async_wait(asio::posix::stream_descriptor::wait_read, [this](const boost::system::error_code& error) {
        if (error) return;
        receive_packets();
        wait_for_packets();
    });
}

void entry_process::impl::receive_packets() {
    const steady_time received = now();
    for (;;) {
        const auto taken = packets.receive(batch);
        malformed += taken.too_long;
        for (const receive_batch::item& item : batch.items())
            handle_packet(item.bytes, received);
        flush();
        if (taken.taken < receive_batch::max_datagrams) break;
    }
    life.note_packet(received);
}

void entry_process::impl::handle_packet(byte_view bytes, steady_time received) {
    const auto decoded = platform::decode_packet(bytes);
    if (!decoded) {
        ++malformed;
        return;
    }
    const segment&          packet = decoded.value();
    const steering_decision decision = decisions.decide(packet, received);
    ++reasons.at(static_cast<std::size_t>(decision.why));
    log.note_decision(packet, decision, known, received);
    if (decision.what == verdict::deliver) {
        const known_backend& target = *decision.target;
        const auto           head = platform::delivery_head(bytes, target.registration.identity, target.reference);
        outgoing.add(action_kind::deliver, target.registration.address, head, bytes.subspan(platform::head_size));
    } else if (decision.what == verdict::reset) {
        outgoing.add(action_kind::reply_to_caller, {packet.source.address, values.packets.port},
                     platform::reset_for(packet), {});
    }
}

void entry_process::impl::flush() {
    datagrams.clear();
    for (const action& each : outgoing.actions())
        datagrams.push_back({each.to, outgoing.payload(each)});
    if (!datagrams.empty()) unsent += packets.send(datagrams);
    outgoing.clear();
}

//----------------------------------------------------------------------------------------------------------------------
// Store
//----------------------------------------------------------------------------------------------------------------------

void entry_process::impl::call_store() {
    const auto next = sync.next_call(now());
    if (!next) return;
    store.call(*next, [this](result<store_page, store_error> outcome) { store_answered(std::move(outcome)); });
}

void entry_process::impl::store_answered(result<store_page, store_error> outcome) {
    const steady_time answered = now();
    if (outcome) {
        ++store_calls["ok"];
        const std::uint64_t before = known.generation();
        sync.succeeded(outcome.value(), answered);
        if (known.generation() != before) log.note_records(outcome.value().records, known);
    } else {
        ++store_calls[std::string(to_string(outcome.error()))];
        sync.failed(outcome.error(), answered);
    }
    if (sync.reachable() != store_was_reachable) {
        store_was_reachable = sync.reachable();
        log.note_store(store_was_reachable, outcome ? "" : to_string(outcome.error()));
    }
    if (known.routing() != nullptr && known.complete()) life.note_synchronized();
    if (life.ready() && !receiving) {
        receiving = true;
        log.note_synchronized(answered - started, known);
        wait_for_packets();
    }
    call_store();
}

//----------------------------------------------------------------------------------------------------------------------
// Timer, signals, HTTP
//----------------------------------------------------------------------------------------------------------------------

void entry_process::impl::wait_for_tick() {
    ticks.expires_after(tick_interval);
    ticks.async_wait([this](const boost::system::error_code& error) {
        if (!error) tick();
    });
}

void entry_process::impl::tick() {
    const steady_time current = now();
    known.expire(current);
    decisions.expire(current);
    call_store();
    log.flush();
    if (!receiving && current - started >= first_sync_wait) {
        receiving = true;
        wait_for_packets();
    }
    if (life.may_end(current)) {
        context.stop();
        return;
    }
    wait_for_tick();
}

void entry_process::impl::wait_for_signal() {
    signals.async_wait([this](const boost::system::error_code& error, int number) {
        if (error) return;
        if (number == SIGHUP) {
            log.note_reload(settings_file);
        } else {
            log.note_stop_requested();
            life.ask_to_stop(now());
        }
        wait_for_signal();
    });
}

http_answer entry_process::impl::answer(std::string_view path) const {
    if (path.starts_with("/metrics"))
        return {.body = "tamarack_flows " + std::to_string(decisions.flows().size()) + "\n"};
    if (life.ready()) return {.body = "ready\n"};
    return {.status = service_unavailable, .body = life.stopping() ? "stopping\n" : "not synchronized\n"};
}

//----------------------------------------------------------------------------------------------------------------------
// Public class
//----------------------------------------------------------------------------------------------------------------------

entry_process::entry_process(std::unique_ptr<impl> parts) : impl_(std::move(parts)) {}
entry_process::~entry_process() = default;

result<std::unique_ptr<entry_process>, std::string> entry_process::open(const settings& values,
                                                                        std::string settings_file, const clock& time) {
    auto socket = udp_socket::open(values.packets, {.receive_buffer = receive_buffer});
    if (!socket) return socket.error();
    auto       parts = std::make_unique<impl>(values, std::move(settings_file), time, std::move(socket).value());
    impl*      running = parts.get();
    const auto answer = [running](std::string_view path) { return running->answer(path); };
    auto       readiness = http_responder::open(running->context, values.readiness, answer);
    if (!readiness) return readiness.error();
    parts->readiness.emplace(std::move(readiness).value());
    if (values.metrics) {
        auto metrics = http_responder::open(running->context, *values.metrics, answer);
        if (!metrics) return metrics.error();
        parts->metrics.emplace(std::move(metrics).value());
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
