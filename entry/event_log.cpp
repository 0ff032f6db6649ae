// Lines of the structured log.
#include "entry/event_log.h"

#include <cerrno>
#include <ctime>
#include <unistd.h>

namespace tamarack::entry {

namespace {

constexpr std::size_t max_pending = 262'144; // bytes
constexpr double      failure_lines_per_second = 30.0;
constexpr double      placement_lines_per_second = 10.0;
constexpr double      request_lines_per_second = 10.0;
constexpr duration    summary_interval = std::chrono::seconds(1);

std::string timestamp(wall_time now) {
    const auto  milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    const auto  seconds = static_cast<std::time_t>(milliseconds / 1000);
    std::tm     parts{};
    std::string text(sizeof "2026-01-01T00:00:00", '\0');
    ::gmtime_r(&seconds, &parts);
    text.resize(std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts));
    const std::string fraction = std::to_string(milliseconds % 1000);
    return text + "." + std::string(3 - fraction.size(), '0') + fraction + "Z";
}

std::string flow_name(const segment& packet) {
    return packet.source.to_string() + ">" + packet.destination.to_string();
}

std::string age_of(const replica& known, steady_time now) {
    if (known.last_proof() == steady_time{}) return "none"; // a contact gave what is known
    return std::to_string(to_milliseconds(now - known.last_proof()));
}

std::string join(std::span<const std::string> texts) {
    std::string all;
    for (const std::string& each : texts)
        all += (all.empty() ? "" : ",") + each;
    return all;
}

std::uint64_t version_of(const replica& known) {
    return known.routing() == nullptr ? 0 : known.routing()->version;
}

std::string_view outcome_of(verdict what) {
    switch (what) {
    case verdict::deliver:
        return "delivered";
    case verdict::reset:
        return "reset";
    case verdict::drop:
        return "dropped";
    }
    return "unknown";
}

} // namespace

event_log::event_log(const clock& time, std::string balancer)
    : time_(time), balancer_(std::move(balancer)),
      failures_(failure_lines_per_second, failure_lines_per_second, time.steady_now()),
      placements_(placement_lines_per_second, placement_lines_per_second, time.steady_now()),
      requests_(request_lines_per_second, request_lines_per_second, time.steady_now()),
      summary_due_(time.steady_now() + summary_interval) {}

void event_log::write(event number, std::initializer_list<event_field> fields) {
    std::string line = timestamp(time_.wall_now()) + " " + balancer_ + " " + format_event(number, fields) + "\n";
    if (pending_.size() + line.size() > max_pending) {
        ++left_out_;
        return;
    }
    pending_ += line;
}

void event_log::flush() {
    const steady_time now = time_.steady_now();
    if (left_out_ > 0 && now >= summary_due_) {
        summary_due_ = now + summary_interval;
        write(event::lines_left_out, {{"count", left_out_}});
        left_out_ = 0;
    }
    while (!pending_.empty()) {
        const ssize_t written = ::write(STDOUT_FILENO, pending_.data(), pending_.size());
        if (written > 0) {
            pending_.erase(0, static_cast<std::size_t>(written));
        } else if (written == 0 || errno != EINTR) {
            return; // the pipe is full, or gone; the lines wait
        }
    }
}

void event_log::note_start() {
    write(event::starting, {{"balancer", balancer_}});
    flush();
}

void event_log::note_synchronized(duration after, const replica& known) {
    write(event::synchronized, {{"after_ms", to_milliseconds(after)},
                                {"version", version_of(known)},
                                {"backend_servers", known.backends().size()},
                                {"store_revision", known.complete_to()}});
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
    write(event::settings_reread, {{"in_force", join(difference.in_force)}});
    for (const std::string& key : difference.needs_restart)
        write(event::setting_needs_restart, {{"key", key}});
}

void event_log::note_bad_settings(const findings& problems) {
    for (const finding& each : problems)
        write(event::settings_problem, {{"problem", each.to_string()}});
    write(event::settings_kept, {});
}

void event_log::note_store(bool reachable, std::string_view error) {
    if (reachable) return write(event::store_available, {});
    write(event::store_unavailable, {{"error", error}});
}

void event_log::note_feeding(bool feeding) {
    write(feeding ? event::feeding_began : event::feeding_ended, {});
}

void event_log::note_rejected(std::string_view caller) {
    if (failures_.take(1.0, time_.steady_now())) {
        write(event::follower_rejected, {{"caller", std::string(caller)}});
    } else {
        ++left_out_;
    }
}

void event_log::note_unusable(std::span<const record> records) {
    for (const record& item : records) {
        const auto* unusable = std::get_if<unusable_record>(&item.content);
        if (unusable == nullptr) continue;
        write(event::record_unusable, {{"key", item.key}, {"revision", item.revision}, {"reason", unusable->reason}});
    }
}

void event_log::note_changes(std::span<const record> changes) {
    for (const record& item : changes) {
        if (const auto* table = std::get_if<std::shared_ptr<const routing_table>>(&item.content)) {
            write(event::revision_in_force, {{"version", (*table)->version}, {"revision", item.revision}});
        } else if (const auto* registration = std::get_if<backend_registration>(&item.content)) {
            write(event::backend_server_registered, {{"backend_server", registration->name},
                                                     {"service", registration->service},
                                                     {"address", registration->address.to_string()},
                                                     {"failure_domain", registration->failure_domain},
                                                     {"state", to_string(registration->state)},
                                                     {"revision", item.revision}});
        } else if (const auto* feeder = std::get_if<feeder_registration>(&item.content)) {
            write(event::feeder_registered, {{"feeder", feeder->name},
                                             {"failure_domain", feeder->failure_domain},
                                             {"slot", feeder->slot},
                                             {"revision", item.revision}});
        } else {
            write(event::record_removed, {{"key", item.key}, {"revision", item.revision}});
        }
    }
}

token_bucket* event_log::budget_of(const segment& packet, const steering_decision& decision) {
    switch (decision.why) {
    case reason::placed:
    case reason::placed_again:
        return &placements_;
    case reason::by_reference:
    case reason::by_flow:
        return packet.request_id.empty() ? nullptr : &requests_;
    default:
        return &failures_;
    }
}

void event_log::note_decision(const segment& packet, const steering_decision& decision, const replica& known,
                              steady_time now) {
    token_bucket* budget = budget_of(packet, decision);
    if (budget == nullptr) return;
    if (!budget->take(1.0, now)) {
        ++left_out_;
        return;
    }
    const bool        delivered = decision.what == verdict::deliver;
    const std::string request = decision.flow != nullptr ? decision.flow->request_id : std::string(packet.request_id);
    write(delivered ? event::packet_delivered : event::packet_not_delivered,
          {{"request", request.empty() ? "unknown" : request},
           {"flow", flow_name(packet)},
           {"reason", to_string(decision.why)},
           {"outcome", outcome_of(decision.what)},
           {"backend_server", delivered ? decision.target->registration.name : std::string("none")},
           {"copy", packet.syn ? packet.acknowledged : 0},
           {"version", version_of(known)},
           {"store_revision", known.complete_to()},
           {"knowledge_age_ms", age_of(known, now)}});
}

} // namespace tamarack::entry
