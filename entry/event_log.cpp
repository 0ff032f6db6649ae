// Events of the structured log.
#include "entry/event_log.h"

#include <ctime>
#include <utility>

namespace tamarack::entry {

namespace {

constexpr double   failure_lines_per_second = 30.0;
constexpr double   placement_lines_per_second = 10.0;
constexpr double   request_lines_per_second = 10.0;
constexpr duration summary_interval = std::chrono::seconds(1);

std::string timestamp(wall_time now) {
    // Rounded down, since a host without a clock of its own may start before 1970.
    const auto  whole_seconds = std::chrono::floor<std::chrono::seconds>(now);
    const auto  seconds = static_cast<std::time_t>(whole_seconds.time_since_epoch().count());
    const auto  milliseconds = std::chrono::floor<std::chrono::milliseconds>(now - whole_seconds).count();
    std::tm     parts{};
    std::string text(sizeof "2026-01-01T00:00:00", '\0');
    ::gmtime_r(&seconds, &parts);
    text.resize(std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts));
    const std::string fraction = std::to_string(milliseconds);
    return text + "." + std::string(3 - fraction.size(), '0') + fraction + "Z";
}

std::string flow_name(const segment& packet) {
    return packet.source.to_string() + ">" + packet.destination.to_string();
}

// Value of the field knowledge_age_ms: the age of the last confirmation by the store.
std::string confirmation_age_text(const replica& store_replica, steady_time now) {
    if (store_replica.last_confirmation() == steady_time{}) return "none"; // all records came from a contact
    return std::to_string(to_milliseconds(now - store_replica.last_confirmation()));
}

std::string join(std::span<const std::string> texts) {
    std::string joined;
    for (const std::string& text : texts)
        joined += (joined.empty() ? "" : ",") + text;
    return joined;
}

std::uint64_t version_of(const replica& store_replica) {
    return store_replica.routing() == nullptr ? 0 : store_replica.routing()->version;
}

} // namespace

event_log::event_log(const clock& time, std::string balancer, log_writer& output)
    : time_(time), balancer_(std::move(balancer)), output_(output),
      failure_budget_(failure_lines_per_second, failure_lines_per_second, time.steady_now()),
      placement_budget_(placement_lines_per_second, placement_lines_per_second, time.steady_now()),
      request_budget_(request_lines_per_second, request_lines_per_second, time.steady_now()),
      summary_due_(time.steady_now() + summary_interval) {}

std::string event_log::line_of(event number, std::initializer_list<event_field> fields) const {
    return timestamp(time_.wall_now()) + " " + balancer_ + " " + format_event(number, fields) + "\n";
}

void event_log::write(event number, std::initializer_list<event_field> fields) {
    output_.append(line_of(number, fields));
}

// Without room for it the summary waits: its counts would be lost with it.
void event_log::write_summary() {
    const std::uint64_t dropped = output_.unreported_lines();
    const std::uint64_t count = omitted_lines_ + dropped;
    if (count == 0) return;
    if (!output_.append_report(line_of(event::lines_left_out, {{"count", count}, {"dropped", dropped}}), dropped))
        return;
    total_omitted_lines_ += std::exchange(omitted_lines_, 0);
}

void event_log::flush() {
    const steady_time now = time_.steady_now();
    if (now >= summary_due_) {
        summary_due_ = now + summary_interval;
        write_summary();
    }
    output_.flush();
}

void event_log::note_start() {
    write(event::starting, {{"balancer", balancer_}});
    flush();
}

void event_log::note_synchronized(duration time_since_start, const replica& store_replica) {
    write(event::synchronized, {{"after_ms", to_milliseconds(time_since_start)},
                                {"version", version_of(store_replica)},
                                {"backend_servers", store_replica.backends().size()},
                                {"store_revision", store_replica.complete_revision().number}});
}

void event_log::note_pause() {
    write(event::pause_detected, {});
}

void event_log::note_stop_requested() {
    write(event::stop_requested, {{"by", "signal"}});
}

void event_log::note_stopped() {
    write(event::stopped, {});
}

void event_log::note_reload(const settings_difference& difference) {
    write(event::settings_reread, {{"in_force", join(difference.immediate_keys)}});
    for (const std::string& key : difference.restart_keys)
        write(event::setting_needs_restart, {{"key", key}});
}

void event_log::note_settings_problems(const findings& problems) {
    for (const finding& problem : problems)
        write(event::settings_problem, {{"problem", problem.to_string()}});
}

void event_log::note_invalid_settings(const findings& problems) {
    note_settings_problems(problems);
    write(event::settings_kept, {});
}

void event_log::note_socket_failed(std::string_view reason) {
    write(event::socket_failed, {{"reason", reason}});
}

void event_log::note_listening(const endpoint& address) {
    write(event::listening, {{"address", address.to_string()}});
}

void event_log::note_restart(std::string_view reason) {
    write(event::restarted, {{"reason", reason}});
}

void event_log::note_store_state(bool is_available, std::string_view error) {
    if (is_available) return write(event::store_available, {});
    write(event::store_unavailable, {{"error", error}});
}

void event_log::note_feeder_state(bool is_feeder) {
    write(is_feeder ? event::feeding_began : event::feeding_ended, {});
}

void event_log::note_source(const record_source& source, unsigned distance) {
    const bool is_store = source.kind == source_kind::store;
    write(event::source_changed, {{"source", to_string(source.kind)},
                                  {"address", is_store ? std::string() : source.address.to_string()},
                                  {"distance", distance}});
}

void event_log::note_store_epoch(std::uint64_t epoch, std::uint64_t previous_epoch, const read_call& call,
                                 std::string_view result) {
    write(event::store_epoch_changed, {{"epoch", epoch},
                                       {"previous", previous_epoch},
                                       {"call", to_string(call.kind)},
                                       {"after", call.after_position},
                                       {"result", result}});
}

void event_log::note_used_reference(const known_backend& backend, const known_backend& holder) {
    write(event::reference_used, {{"backend_server", backend.registration.name},
                                  {"service", backend.registration.service},
                                  {"holder", holder.registration.name}});
}

void event_log::note_late_changes(duration bound, std::size_t listing_size) {
    write(event::changes_late,
          {{"bound_ms", static_cast<std::uint64_t>(to_milliseconds(bound))}, {"listing_bytes", listing_size}});
}

void event_log::note_ignored(const replica& store_replica) {
    if (!failure_budget_.take(1.0, time_.steady_now())) {
        ++omitted_lines_;
        return;
    }
    const ignored_record& ignored = store_replica.last_ignored();
    write(event::record_ignored, {{"key", ignored.key},
                                  {"epoch", ignored.revision.epoch},
                                  {"revision", ignored.revision.number},
                                  {"known_epoch", ignored.known_revision.epoch},
                                  {"known_revision", ignored.known_revision.number},
                                  {"count", store_replica.ignored_count()}});
}

void event_log::note_rejected_follower(std::string_view caller) {
    if (failure_budget_.take(1.0, time_.steady_now())) {
        write(event::follower_rejected, {{"caller", std::string(caller)}});
    } else {
        ++omitted_lines_;
    }
}

void event_log::note_admission(std::span<const admission_change> changes) {
    for (const admission_change& change : changes) {
        write(change.is_refusing ? event::refusing_began : event::refusing_ended,
              {{"service", change.service}, {"delay_ms", to_milliseconds(change.delay)}});
    }
}

void event_log::note_unusable(std::span<const record> records) {
    for (const record& item : records) {
        const auto* unusable = std::get_if<unusable_record>(&item.content);
        if (unusable == nullptr) continue;
        if (!failure_budget_.take(1.0, time_.steady_now())) {
            ++omitted_lines_;
            continue;
        }
        write(event::record_unusable, {{"key", item.key},
                                       {"epoch", item.revision.epoch},
                                       {"revision", item.revision.number},
                                       {"reason", unusable->reason}});
    }
}

void event_log::note_first_listing(std::span<const record> records) {
    for (const record& item : records) {
        if (!std::holds_alternative<backend_registration>(item.content)) note_changes({&item, 1});
    }
}

void event_log::note_changes(std::span<const record> changes) {
    for (const record& item : changes) {
        if (const auto* table = std::get_if<std::shared_ptr<const routing_table>>(&item.content)) {
            write(event::revision_in_force,
                  {{"version", (*table)->version}, {"epoch", item.revision.epoch}, {"revision", item.revision.number}});
        } else if (const auto* registration = std::get_if<backend_registration>(&item.content)) {
            write(event::backend_server_registered, {{"backend_server", registration->name},
                                                     {"service", registration->service},
                                                     {"address", registration->address.to_string()},
                                                     {"failure_domain", registration->failure_domain},
                                                     {"state", to_string(registration->state)},
                                                     {"epoch", item.revision.epoch},
                                                     {"revision", item.revision.number}});
        } else if (const auto* feeder = std::get_if<feeder_registration>(&item.content)) {
            write(event::feeder_registered, {{"feeder", feeder->name},
                                             {"failure_domain", feeder->failure_domain},
                                             {"slot", feeder->slot},
                                             {"epoch", item.revision.epoch},
                                             {"revision", item.revision.number}});
        } else if (const auto* order = std::get_if<evacuation>(&item.content)) {
            write(event::domain_evacuated, {{"failure_domain", order->failure_domain},
                                            {"epoch", item.revision.epoch},
                                            {"revision", item.revision.number}});
        } else {
            write(event::record_removed,
                  {{"key", item.key}, {"epoch", item.revision.epoch}, {"revision", item.revision.number}});
        }
    }
}

token_bucket* event_log::budget_of(const segment& packet, const steering_decision& decision) {
    switch (decision.reason) {
    case decision_reason::placed:
    case decision_reason::placed_again:
        return &placement_budget_;
    case decision_reason::by_reference:
    case decision_reason::by_flow:
        return packet.request_id.empty() ? nullptr : &request_budget_;
    default:
        return &failure_budget_;
    }
}

void event_log::note_decision(const segment& packet, const steering_decision& decision, const replica& store_replica,
                              steady_time now) {
    token_bucket* budget = budget_of(packet, decision);
    if (budget == nullptr) return;
    if (!budget->take(1.0, now)) {
        ++omitted_lines_;
        return;
    }
    const bool        is_delivered = decision.action == packet_action::deliver;
    const std::string request = decision.flow != nullptr ? decision.flow->request_id : std::string(packet.request_id);
    write(is_delivered ? event::packet_delivered : event::packet_not_delivered,
          {{"request", request.empty() ? "unknown" : request},
           {"flow", flow_name(packet)},
           {"reason", to_string(decision.reason)},
           {"outcome", to_string(decision.action)},
           {"backend_server", decision.backend != nullptr ? decision.backend->registration.name : std::string("none")},
           {"copy", packet.syn ? packet.acknowledged : 0},
           {"version", version_of(store_replica)},
           {"store_revision", store_replica.complete_revision().number},
           {"knowledge_age_ms", confirmation_age_text(store_replica, now)}});
}

} // namespace tamarack::entry
