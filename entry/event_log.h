// Structured log on standard output: one line an event, key=value fields, numbers as in docs/events.md.
//
// Never blocks: lines wait in memory, are written when the pipe takes them, and are dropped and counted beyond a limit.
// Lines of single packets are limited by rate, failures before placements; a summary tells how many were left out.
#pragma once

#include "entry/settings.h"
#include "entry/steering.h"
#include "tamarack/events.h"

namespace tamarack::entry {

class event_log {
public:
    event_log(const clock& time, std::string balancer);

    void note_start();
    void note_synchronized(duration after, const replica& known);
    void note_pause();
    void note_stop_requested();
    void note_stopped();
    void note_reload(const settings_difference& difference);
    void note_bad_settings(const findings& problems);
    void note_store(bool reachable, std::string_view error);
    void note_feeding(bool feeding);
    void note_rejected(std::string_view caller); // a follower without a proof
    // Records that cannot be used.
    void note_unusable(std::span<const record> records);
    // What the balancer knows since then, in its new state.
    void note_changes(std::span<const record> changes);
    void note_decision(const segment& packet, const steering_decision& decision, const replica& known, steady_time now);

    // Writes what the pipe takes, and the summary of what was left out.
    void flush();

private:
    token_bucket* budget_of(const segment& packet, const steering_decision& decision);
    void          write(event number, std::initializer_list<event_field> fields);

    const clock&  time_;
    std::string   balancer_;
    std::string   pending_;      // not yet written
    token_bucket  failures_;     // lines of packets that were not delivered, or elsewhere
    token_bucket  placements_;   // lines of placed flows
    token_bucket  requests_;     // lines of requests on open flows
    std::uint64_t left_out_ = 0; // since the last summary
    steady_time   summary_due_;
};

} // namespace tamarack::entry
