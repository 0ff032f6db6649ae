// Repeats the start until everything that it needs is there.
#include "tamarack/startup.h"

#include "tamarack/events.h"
#include "tamarack/process_environment.h"

#include <glog/logging.h>
#include <thread>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds retry_interval(100);
// A settings file that ends within a line may be incomplete. It is used when it has not changed for this long.
constexpr duration                  settle_time = std::chrono::seconds(1);

} // namespace

std::unique_ptr<balancer_process> startup::open_balancer() {
    while (!is_stop_requested()) {
        if (auto balancer = try_to_open()) return balancer;
        std::this_thread::sleep_for(retry_interval);
    }
    return nullptr;
}

std::unique_ptr<balancer_process> startup::try_to_open() {
    const auto text = read_settings_text(settings_file_);
    const auto settings = text ? read_settings(text.value(), settings_file_) : text.error();
    if (!settings) {
        if (!report_.is_due(to_string(settings.error()), time_.steady_now())) return nullptr;
        for (const finding& problem : settings.error())
            log_event(event::settings_problem, {{"problem", problem.to_string()}});
        return nullptr;
    }
    if (!is_settled(text.value())) return nullptr;
    FLAGS_minloglevel = static_cast<int>(settings.value().min_log_level);
    auto balancer = balancer_process::open(settings.value(), settings_file_);
    if (balancer) return std::move(balancer).value();
    if (report_.is_due(balancer.error(), time_.steady_now()))
        log_event(event::socket_failed, {{"reason", balancer.error()}});
    return nullptr;
}

bool startup::is_settled(const std::string& text) {
    if (text != latest_text_) {
        latest_text_ = text;
        text_changed_at_ = time_.steady_now();
    }
    return text.ends_with('\n') || time_.steady_now() - text_changed_at_ >= settle_time;
}

} // namespace tamarack
