// The event loop of the entry balancer. It has a single thread, since a host assigns the process a part of one core, so
// that only one thread could run at a time anyway.
#include "daemons/entry/entry_process.h"

#include "daemons/entry/entry_metrics.h"
#include "daemons/entry/feed_server.h"
#include "daemons/entry/listeners.h"
#include "daemons/entry/packet_handler.h"
#include "daemons/entry/replica_log.h"
#include "daemons/entry/report_socket.h"
#include "daemons/entry/status_page.h"
#include "entry/change_deadline.h"
#include "entry/lifecycle.h"
#include "platform/http_status.h"
#include "platform/report_format.h"
#include "platform/store_client.h"
#include "tamarack/process_environment.h"

#include <boost/asio/steady_timer.hpp>
#include <random>

namespace tamarack::entry {

namespace {

namespace asio = boost::asio;

constexpr duration    least_listing_pause = std::chrono::milliseconds(1);
constexpr std::size_t receive_buffer_size = 1'048'576; // bytes
constexpr duration    settings_check_interval = std::chrono::seconds(2);

// Hosts below one of these limits delay their claim to be a feeder, so that stronger hosts win it, and serve fewer
// followers.
constexpr double      strong_host_processor_share = 0.4;
constexpr double      strong_host_link_mbps = 100.0;
constexpr duration    strong_host_claim_spread = std::chrono::milliseconds(400);
constexpr duration    weak_host_claim_delay = std::chrono::milliseconds(1'200);
constexpr duration    weak_host_claim_spread = std::chrono::milliseconds(1'600);
// A tree of three levels reaches a failure domain of several hundred hosts.
constexpr std::size_t strong_host_followers = 16;
constexpr std::size_t weak_host_followers = 8;

std::uint64_t random_number() {
    std::random_device entropy;
    constexpr unsigned half_bits = 32;
    return (static_cast<std::uint64_t>(entropy()) << half_bits) | entropy();
}

// The generations of the replica start at a random number. Followers use them as positions of the feed, so that a
// position given by an earlier process is recognized as such. They have at most 48 bits, so that JSON readers represent
// them exactly.
std::uint64_t first_generation() {
    constexpr unsigned unused_bits = 16;
    return random_number() >> unused_bits;
}

std::size_t flow_capacity(const settings& initial_settings) {
    constexpr std::size_t bytes_per_mb = 1'048'576;
    constexpr std::size_t bytes_per_flow = 256; // of the flow table, including the allocator's overhead
    constexpr std::size_t memory_divisor = 4;   // the flow table may use a quarter of the memory
    return initial_settings.memory_mb * bytes_per_mb / memory_divisor / bytes_per_flow;
}

bool is_strong_host(const settings& initial_settings) {
    return initial_settings.processor_share >= strong_host_processor_share &&
           initial_settings.link_mbps >= strong_host_link_mbps;
}

source_settings make_source_settings(const settings& initial_settings) {
    source_settings sources{.name = initial_settings.name,
                            .failure_domain = initial_settings.failure_domain,
                            .address = initial_settings.peer_address,
                            .contacts = {},
                            .change_deadline = initial_settings.change_deadline,
                            .link_mbps = initial_settings.link_mbps,
                            .awaits_first_feeder =
                                initial_settings.is_first_start && !is_strong_host(initial_settings)};
    // The port of a contact is not used: all balancers serve their followers on the same port.
    for (const endpoint& contact : initial_settings.contacts) {
        if (contact.address != initial_settings.peer_address.address)
            sources.contacts.push_back({contact.address, initial_settings.peer_address.port});
    }
    return sources;
}

feed_settings make_feed_settings(const settings& initial_settings, const feed_key& key) {
    return {.key = key,
            .max_followers = is_strong_host(initial_settings) ? strong_host_followers : weak_host_followers,
            .peer_port = initial_settings.peer_address.port};
}

claim_settings make_claim_settings(const settings& initial_settings, const feed_key& key) {
    const bool is_strong = is_strong_host(initial_settings);
    return {.self = {.name = initial_settings.name,
                     .failure_domain = initial_settings.failure_domain,
                     .address = initial_settings.peer_address,
                     .key = key},
            .delay = is_strong ? duration::zero() : weak_host_claim_delay,
            .spread = is_strong ? strong_host_claim_spread : weak_host_claim_spread};
}

report_socket_settings make_report_settings(const settings& initial_settings, const feed_key& key) {
    return {
        .address = initial_settings.peer_address,
        .own_key = key,
        .reports = {.origin = static_cast<std::uint32_t>(random_number()), .sizes = platform::report_datagram_sizes},
        .is_enabled = descriptor_limit() >= reserved_descriptors};
}

} // namespace

struct entry_process::impl {
    impl(const settings& initial_settings, std::string path, const clock& time_source, log_writer& log_output,
         udp_socket socket, unsigned restart_count);

    std::optional<std::string> open_listeners(); // the reason if a required one cannot be opened
    void                       start();
    void                       read_store();
    void                       schedule_first_listing();
    void                       count_read(const read_call& call);
    void                       handle_read_outcome(const result<record_page, read_failure>& outcome);
    void                       handle_claim_outcome(const result<claim_answer, claim_error>& outcome);
    tree_position              position_in_tree() const;
    void                       send_condition_reports();
    claim_permission           permission_to_claim() const;
    void                       update_feeder_slot();
    void                       schedule_tick();
    void                       tick();
    void                       handle_signals();
    void                       request_stop();
    void                       count_rejected_request(std::string_view caller);
    void                       respond_to_readiness_check(const http_server::response_callback& respond) const;
    void                       respond_with_metrics(const http_server::response_callback& respond) const;
    void respond_with_status(std::string_view target, const http_server::response_callback& respond) const;
    void reload_settings();
    void check_settings_file_for_changes();

    steady_time now() const { return time.steady_now(); }

    settings                             current_settings;
    std::string                          settings_path;
    const clock&                         time;
    asio::io_context                     context{1};
    event_log                            log;
    replica                              store_replica{first_generation()};
    const feed_key                       own_feed_key = random_feed_key();
    store_sync                           sync;
    replica_log                          changes_log;
    feeder_claim                         slot_claim;
    steering                             flow_steering;
    status_page                          status{store_replica, flow_steering};
    lifecycle                            process_lifecycle;
    packet_handler                       packets;
    feed_server                          follower_feed;
    report_socket                        peer_reports;
    platform::store_client               store;
    asio::steady_timer                   tick_timer;
    asio::steady_timer                   first_listing_timer;
    listeners                            http_listeners;
    steady_time                          started_at;
    std::filesystem::file_time_type      settings_modified_at; // of the settings file when it was last read
    steady_time                          next_settings_check{};
    bool                                 was_store_available = false;
    bool                                 was_synchronized = false;
    bool                                 was_feeder = false;
    std::map<std::string, std::uint64_t> calls_by_result;
    std::map<std::string, std::uint64_t> calls_by_kind;
    std::uint64_t                        rejected_requests = 0; // of followers without the feeder's key
    unsigned                             restarts;              // of this process, after exceptions
};

entry_process::impl::impl(const settings& initial_settings, std::string path, const clock& time_source,
                          log_writer& log_output, udp_socket socket, unsigned restart_count)
    : current_settings(initial_settings), settings_path(std::move(path)), time(time_source),
      log(time_source, initial_settings.name, log_output),
      sync(store_replica, make_source_settings(initial_settings), random_number()),
      changes_log(log, store_replica, sync, initial_settings.change_deadline),
      slot_claim(make_claim_settings(initial_settings, own_feed_key), store_replica, random_number()),
      flow_steering({.failure_domain = initial_settings.failure_domain,
                     .regions = initial_settings.regions,
                     .flow_capacity = flow_capacity(initial_settings),
                     .warmup = {.balancer = initial_settings.name,
                                .overrun = initial_settings.warmup_overrun,
                                .slack = initial_settings.warmup_slack}},
                    store_replica, random_number()),
      process_lifecycle(initial_settings.stop_grace),
      packets(context, std::move(socket), flow_steering, store_replica, log, time_source),
      follower_feed(feed(store_replica, make_feed_settings(initial_settings, own_feed_key), time_source.steady_now())),
      peer_reports(context, make_report_settings(initial_settings, own_feed_key), store_replica, log, time_source,
                   {.position = [this] { return position_in_tree(); },
                    .accept = [this](const condition_report& report,
                                     steady_time             now) { flow_steering.conditions().accept(report, now); }}),
      store(context, initial_settings.store_address), tick_timer(context), first_listing_timer(context),
      http_listeners(context, log, descriptor_limit()), started_at(time_source.steady_now()),
      settings_modified_at(initial_settings.modified_at), restarts(restart_count) {}

void entry_process::impl::start() {
    packets.set_after_batches([this] { send_condition_reports(); });
    peer_reports.tick();
    packets.start();
    read_store();
    schedule_tick();
}

//----------------------------------------------------------------------------------------------------------------------
// Store
//----------------------------------------------------------------------------------------------------------------------

void entry_process::impl::read_store() {
    const auto next_read = sync.next_call(now());
    if (!next_read) return schedule_first_listing();
    count_read(*next_read);
    store.read(*next_read, [this](const result<record_page, read_failure>& outcome) { handle_read_outcome(outcome); });
}

// Callers wait for the first listing, so that its calls do not wait for the tick.
void entry_process::impl::schedule_first_listing() {
    const auto due = sync.first_listing_due();
    if (!due) return;
    first_listing_timer.expires_after(std::max<duration>(*due - now(), least_listing_pause));
    first_listing_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error) read_store();
    });
}

void entry_process::impl::count_read(const read_call& call) {
    ++calls_by_kind[std::string(to_string(call.source.kind)) + "_" + std::string(to_string(call.kind))];
}

void entry_process::impl::handle_read_outcome(const result<record_page, read_failure>& outcome) {
    const steady_time received_at = now();
    if (outcome) {
        ++calls_by_result["ok"];
        changes_log.note_epoch(outcome.value().revision.epoch, "ok");
        sync.succeeded(outcome.value(), received_at);
        log.note_unusable(outcome.value().records);
        changes_log.note_answer();
    } else {
        ++calls_by_result[std::string(to_string(outcome.error().error))];
        changes_log.note_epoch(outcome.error().store_epoch, to_string(outcome.error().error));
        sync.failed(outcome.error(), received_at);
    }
    if (sync.is_store_available() != was_store_available) {
        was_store_available = sync.is_store_available();
        log.note_store_state(was_store_available, outcome ? "" : to_string(outcome.error().error));
    }
    if (store_replica.routing() != nullptr && store_replica.is_complete()) process_lifecycle.note_synchronized();
    if (process_lifecycle.is_ready() && !was_synchronized) {
        was_synchronized = true;
        log.note_synchronized(received_at - started_at, store_replica);
    }
    packets.release_pending();
    follower_feed.poll(received_at);
    read_store();
    update_feeder_slot();
}

claim_permission entry_process::impl::permission_to_claim() const {
    if (!store_replica.is_current(now()) || !process_lifecycle.is_ready()) return claim_permission::none;
    if (!http_listeners.is_open(current_settings.peer_address)) return claim_permission::none; // nobody could read
    return sync.may_replace_feeder() ? claim_permission::if_vacant_or_lost : claim_permission::if_vacant;
}

// Claims, renews or releases the slot, as feeder_claim decides.
void entry_process::impl::update_feeder_slot() {
    const steady_time current_time = now();
    const auto next_claim = slot_claim.next_call(current_time, permission_to_claim(), process_lifecycle.is_stopping());
    sync.set_holds_slot(slot_claim.holds_slot());
    if (slot_claim.holds_slot() != was_feeder) {
        was_feeder = slot_claim.holds_slot();
        log.note_feeder_state(was_feeder);
    }
    if (!next_claim) return;
    ++calls_by_kind["store_" + std::string(to_string(*next_claim))];
    store.claim(*next_claim,
                [this](const result<claim_answer, claim_error>& outcome) { handle_claim_outcome(outcome); });
}

void entry_process::impl::handle_claim_outcome(const result<claim_answer, claim_error>& outcome) {
    ++calls_by_result[outcome ? "claim_ok" : "claim_" + std::string(to_string(outcome.error()))];
    if (outcome) {
        slot_claim.succeeded(outcome.value(), now());
    } else {
        slot_claim.failed(outcome.error(), now());
    }
    update_feeder_slot();
}

//----------------------------------------------------------------------------------------------------------------------
// Condition reports
//----------------------------------------------------------------------------------------------------------------------

tree_position entry_process::impl::position_in_tree() const {
    return {.address = current_settings.peer_address,
            .failure_domain = current_settings.failure_domain,
            .source = sync.source(),
            .followers = follower_feed.followers(now()),
            .own_key = own_feed_key,
            .is_feeder = slot_claim.holds_slot()};
}

void entry_process::impl::send_condition_reports() {
    peer_reports.send(flow_steering.conditions().take_reports(now()));
}

//----------------------------------------------------------------------------------------------------------------------
// Timer and signals
//----------------------------------------------------------------------------------------------------------------------

void entry_process::impl::schedule_tick() {
    tick_timer.expires_after(tick_interval);
    tick_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error) tick();
    });
}

void entry_process::impl::tick() {
    packets.check_for_pause();
    handle_signals();
    const steady_time current_time = now();
    store_replica.expire(current_time);
    changes_log.note_changes();
    packets.reset_orphaned_flows();
    flow_steering.expire(current_time);
    log.note_admission(flow_steering.new_flow_admission().take_changes());
    sync.set_own_followers(follower_feed.followers(current_time));
    read_store();
    update_feeder_slot();
    follower_feed.poll(current_time);
    http_listeners.retry(current_time);
    peer_reports.tick();
    send_condition_reports();
    check_settings_file_for_changes();
    log.flush();
    packets.release_pending();
    process_lifecycle.note_packet(packets.last_packet_at());
    if (process_lifecycle.may_exit(current_time)) {
        context.stop();
        return;
    }
    schedule_tick();
}

void entry_process::impl::handle_signals() {
    if (is_stop_requested() && !process_lifecycle.is_stopping()) request_stop();
    if (take_reload_request()) reload_settings();
}

void entry_process::impl::request_stop() {
    process_lifecycle.request_stop(now());
    log.note_stop_requested();
    update_feeder_slot();
}

void entry_process::impl::reload_settings() {
    settings_modified_at = modification_time(settings_path);
    const auto new_settings = read_settings_file(settings_path);
    if (!new_settings) return log.note_invalid_settings(new_settings.error());
    const settings_difference difference = compare_settings(current_settings, new_settings.value());
    log.note_reload(difference);
    // Only the stop grace takes effect without a restart. The raw values are compared at the next reload.
    current_settings.stop_grace = new_settings.value().stop_grace;
    process_lifecycle.set_stop_grace(current_settings.stop_grace);
    current_settings.raw_values = new_settings.value().raw_values;
}

// The file may be replaced without a SIGHUP.
void entry_process::impl::check_settings_file_for_changes() {
    const steady_time current_time = now();
    if (current_time < next_settings_check) return;
    next_settings_check = current_time + settings_check_interval;
    if (modification_time(settings_path) != settings_modified_at) reload_settings();
}

//----------------------------------------------------------------------------------------------------------------------
// HTTP
//----------------------------------------------------------------------------------------------------------------------

// The fabric sends packets only to a host that answers its readiness checks. All else can be done without: a host that
// other balancers cannot reach does not become a feeder.
std::optional<std::string> entry_process::impl::open_listeners() {
    auto reason =
        http_listeners.open_required(current_settings.readiness_address,
                                     [this](const server_request&, const http_server::response_callback& respond) {
                                         respond_to_readiness_check(respond);
                                     });
    if (reason) return reason;
    http_listeners.open_optional(
        current_settings.peer_address,
        [this](const server_request& request, http_server::response_callback respond) {
            const bool is_admitted = follower_feed.handle(request.target, request.caller, now(), std::move(respond));
            if (!is_admitted) count_rejected_request(request.caller);
        },
        now());
    if (current_settings.metrics_address) {
        http_listeners.open_optional(
            *current_settings.metrics_address,
            [this](const server_request&, const http_server::response_callback& respond) {
                respond_with_metrics(respond);
            },
            now());
    }
    if (current_settings.status_address) {
        http_listeners.open_optional(
            *current_settings.status_address,
            [this](const server_request& request, const http_server::response_callback& respond) {
                respond_with_status(request.target, respond);
            },
            now());
    }
    return std::nullopt;
}

void entry_process::impl::count_rejected_request(std::string_view caller) {
    ++rejected_requests;
    log.note_rejected_follower(caller);
}

void entry_process::impl::respond_to_readiness_check(const http_server::response_callback& respond) const {
    if (process_lifecycle.is_ready()) return respond({.body = "ready\n"});
    respond({.status = platform::status_unavailable,
             .body = process_lifecycle.is_stopping() ? "stopping\n" : "not synchronized\n"});
}

void entry_process::impl::respond_with_metrics(const http_server::response_callback& respond) const {
    const process_status process{.is_ready = process_lifecycle.is_ready(),
                                 .is_feeder = slot_claim.holds_slot(),
                                 .follower_count = follower_feed.followers(now()).size(),
                                 .flow_count = flow_steering.flows().flow_count(),
                                 .avoided_backend_servers = flow_steering.conditions().avoided_count(now()),
                                 .slow_backend_servers = flow_steering.conditions().outlier_count(),
                                 .rejected_requests = rejected_requests,
                                 .restarts = restarts,
                                 .omitted_log_lines = log.omitted_lines(),
                                 .dropped_log_lines = log.dropped_lines(),
                                 .store_fallbacks = sync.fallbacks(),
                                 .change_bound = sync.change_bound(),
                                 .failed_accepts = http_listeners.failed_accepts(),
                                 .missing_listeners = http_listeners.missing() + (peer_reports.is_open() ? 0 : 1),
                                 .warmup_flows = flow_steering.warmup().placed_count(),
                                 .warmup_servers = flow_steering.warmup().limited_count(now()),
                                 .warmup_servers_owned = flow_steering.warmup().owned_count(now()),
                                 .reports = peer_reports.counters(),
                                 .report_datagrams = peer_reports.datagram_counters(),
                                 .calls_by_result = calls_by_result,
                                 .calls_by_kind = calls_by_kind,
                                 .load_metrics = load_metrics(flow_steering)};
    respond({.body = format_metrics(packets.counters(), packets.pending(), process, store_replica, now()),
             .content_type = "text/plain; version=0.0.4"});
}

void entry_process::impl::respond_with_status(std::string_view                      target,
                                              const http_server::response_callback& respond) const {
    if (target == "/counters") return respond_with_metrics(respond);
    auto text = status.render(target, now());
    if (!text) return respond({.status = platform::status_not_found, .body = "unknown target or invalid address\n"});
    respond({.body = std::move(*text)});
}

//----------------------------------------------------------------------------------------------------------------------
// Public class
//----------------------------------------------------------------------------------------------------------------------

entry_process::entry_process(std::unique_ptr<impl> implementation) : impl_(std::move(implementation)) {}
entry_process::~entry_process() = default;

result<std::unique_ptr<entry_process>, std::string> entry_process::open(const settings& initial_settings,
                                                                        std::string settings_path, const clock& time,
                                                                        log_writer& log_output, unsigned restarts) {
    auto socket = udp_socket::open(initial_settings.packets_address, {.receive_buffer = receive_buffer_size});
    if (!socket) return socket.error();
    auto implementation = std::make_unique<impl>(initial_settings, std::move(settings_path), time, log_output,
                                                 std::move(socket).value(), restarts);
    if (auto reason = implementation->open_listeners()) return std::move(*reason);
    return std::unique_ptr<entry_process>(new entry_process(std::move(implementation)));
}

void entry_process::run() {
    try {
        impl_->log.note_start();
        impl_->start();
        impl_->context.run();
        impl_->log.note_stopped();
        impl_->log.flush();
    } catch (...) {
        impl_->log.flush(); // what led to the exception
        throw;
    }
}

} // namespace tamarack::entry
