// Structured log on standard output: one line per event with key=value fields; docs/events.md lists the event numbers.
//
// Never waits for the reader of the log: log_writer keeps the lines until it accepts them, and drops and counts them
// when it is too far behind. Lines about single packets are rate-limited; failures have a budget of their own, which is
// larger than those of placements and requests. A summary reports how many lines were omitted or dropped.
#pragma once

#include "entry/settings.h"
#include "entry/steering.h"
#include "entry/store_sync.h"
#include "tamarack/events.h"
#include "tamarack/log_writer.h"

namespace tamarack::entry {

class event_log {
public:
    // The lines go to the output, which several logs may share.
    event_log(const clock& time, std::string balancer, log_writer& output);

    void note_start();
    void note_synchronized(duration time_since_start, const replica& store_replica);
    void note_pause();
    void note_stop_requested();
    void note_stopped();
    void note_reload(const settings_difference& difference);
    void note_settings_problems(const findings& problems);
    void note_invalid_settings(const findings& problems); // the settings in force are kept
    void note_socket_failed(std::string_view reason);
    void note_listening(const endpoint& address); // after a failure
    void note_restart(std::string_view reason);   // after an exception
    void note_store_state(bool is_available, std::string_view error);
    void note_feeder_state(bool is_feeder);
    void note_source(const record_source& source, unsigned distance); // has answered, unlike the source before it
    void note_store_epoch(std::uint64_t epoch, std::uint64_t previous_epoch, const read_call& call,
                          std::string_view result);
    void note_used_reference(const known_backend& backend, const known_backend& holder);
    void note_late_changes(duration bound, std::size_t listing_size); // bytes
    void note_ignored(const replica& store_replica);                  // the last record that was ignored
    void note_rejected_follower(std::string_view caller);             // its call was not authenticated
    void note_admission(std::span<const admission_change> changes);
    // Logs the records that cannot be used.
    void note_unusable(std::span<const record> records);
    // Logs what the first listing brought, without a line for each backend server: hundreds of lines would push out
    // others.
    void note_first_listing(std::span<const record> records);
    // Logs changes of the replica, each in its latest state.
    void note_changes(std::span<const record> changes);
    void note_decision(const segment& packet, const steering_decision& decision, const replica& store_replica,
                       steady_time now);

    // Lets the output write the lines, and the summary when it is due.
    void flush();

    // Lines that are not in the log: beyond their rate since the construction, and dropped by the output.
    std::uint64_t omitted_lines() const { return total_omitted_lines_ + omitted_lines_ + output_.dropped_lines(); }
    std::uint64_t dropped_lines() const { return output_.dropped_lines(); }

private:
    token_bucket* budget_of(const segment& packet, const steering_decision& decision);
    std::string   line_of(event number, std::initializer_list<event_field> fields) const;
    void          write(event number, std::initializer_list<event_field> fields);
    void          write_summary();

    const clock&  time_;
    std::string   balancer_;
    log_writer&   output_;
    token_bucket  failure_budget_;          // lines about packets not delivered, or not to the usual backend server
    token_bucket  placement_budget_;        // lines about placed flows
    token_bucket  request_budget_;          // lines about requests on open flows
    std::uint64_t omitted_lines_ = 0;       // beyond their rate, since the last summary
    std::uint64_t total_omitted_lines_ = 0; // until the last summary
    steady_time   summary_due_;
};

} // namespace tamarack::entry
