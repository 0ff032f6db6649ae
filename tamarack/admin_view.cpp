// Tables and texts for the answers of the administration interface.
#include "tamarack/admin_view.h"

#include "tamarack/command.h"
#include "tamarack/metrics.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace tamarack {

namespace {

using std::to_string;
using align = text_table::align;

constexpr std::size_t min_live_columns = 60; // the live view is never narrower
constexpr std::size_t min_live_rows = 6;     // with fewer rows, the live view ignores the height

std::string pad(std::string text, std::size_t width, align alignment) {
    if (text.size() >= width) return text;
    text.insert(alignment == align::left ? text.size() : 0, width - text.size(), ' ');
    return text;
}

// Shortens a text to the width; a final '~' marks a shortened text.
std::string truncate(const std::string& text, std::size_t width) {
    return text.size() <= width ? text : text.substr(0, width - 1) + "~";
}

std::string format_fixed(double value, int digits) {
    std::array<char, 64> text{};
    const int            size = std::snprintf(text.data(), text.size(), "%.*f", digits, value);
    return {text.data(), std::min(static_cast<std::size_t>(size), text.size() - 1)};
}

std::string format_short(double value) {
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "%g", value);
    return text.data();
}

std::string time_text(const google::protobuf::Timestamp& time) {
    return to_text(wall_time(std::chrono::seconds(time.seconds())));
}

std::string limit_text(std::uint32_t limit) {
    return limit == 0 ? "-" : to_string(limit);
}

std::string protocol_text(admin::Protocol protocol) {
    return protocol == admin::UDP ? "udp" : "tcp";
}

std::string health_text(const admin::BackendServer& server) {
    if (server.health().empty()) return "not probed";
    return server.available() ? "up" : "out";
}

std::uint64_t flows_of(const admin::Service& service) {
    std::uint64_t sum = 0;
    for (const auto& server : service.backend_servers())
        sum += server.flows_held();
    return sum;
}

struct server_counts {
    int up = 0; // available and active
    int draining = 0;
};

server_counts count_servers(const admin::Service& service) {
    server_counts counts;
    for (const auto& server : service.backend_servers()) {
        const bool draining = server.state() == "draining";
        counts.draining += draining ? 1 : 0;
        counts.up += server.available() && !draining ? 1 : 0;
    }
    return counts;
}

std::string revision_line(const admin::ShowServicesResponse& answer) {
    if (answer.revision() == 0) return "no configuration yet, by balancer " + to_string(answer.balancer()) + "\n";
    return "revision " + to_string(answer.revision()) + " of " + time_text(answer.accepted()) + ", by balancer " +
           to_string(answer.balancer()) + "\n";
}

std::string record_text(const admin::ChangeRecord& record) {
    return "revision " + to_string(record.revision()) + "  " + time_text(record.time()) + "  " +
           record.operator_name() + "  " + record.operation_id() + "\n    " + record.command() + "\n";
}

std::string finding_text(const admin::Finding& problem) {
    return finding{problem.place(), problem.message(), problem.expected()}.to_string() + "\n";
}

std::uint64_t counter_of(const watch_frame& frame, const std::string& name) {
    for (const auto& counter : frame.counters.counters())
        if (counter.name() == metric_prefix + name || counter.name() == name) return counter.value();
    return 0;
}

std::string rate_text(const watch_frame& frame, const watch_frame& previous, const std::string& name) {
    const double seconds = std::chrono::duration<double>(frame.taken_at - previous.taken_at).count();
    const auto   before = counter_of(previous, name);
    const auto   after = counter_of(frame, name);
    if (seconds <= 0 || after < before) return "?"; // another balancer answered, or the balancer was restarted
    return format_fixed(static_cast<double>(after - before) / seconds, 0);
}

std::string share_text(std::uint64_t part, std::uint64_t whole) {
    if (whole == 0) return "0.0%";
    return format_fixed(100.0 * static_cast<double>(part) / static_cast<double>(whole), 1) + "%";
}

std::string unreplicated_text(const admin::ShowFlowsResponse& answer) {
    return answer.has_unreplicated() ? ", no other holder " + to_string(answer.unreplicated()) : "";
}

void add_overview(const watch_frame& frame, const watch_frame* previous, std::vector<std::string>& lines) {
    lines.push_back("revision " + to_string(frame.services.revision()) + "  by balancer " +
                    to_string(frame.services.balancer()));
    lines.push_back("flows " + to_string(frame.flows.held()) + " of " + to_string(frame.flows.capacity()) + " (" +
                    share_text(frame.flows.held(), frame.flows.capacity()) + ")" + unreplicated_text(frame.flows));
    if (previous == nullptr) return;
    lines.push_back("packets/s " + rate_text(frame, *previous, "packets_from_fabric") + "  new flows/s " +
                    rate_text(frame, *previous, "flows_placed") + "  refused/s " +
                    rate_text(frame, *previous, "flows_refused") + "  lost/s " +
                    rate_text(frame, *previous, "flows_reset_lost"));
}

void add_services(const admin::ShowServicesResponse& answer, std::size_t width, std::vector<std::string>& lines) {
    constexpr std::size_t number_width = 10; // columns
    const std::size_t     name_width = width - 3 * number_width;
    const auto            add = [&](const std::string& name, const std::string& up, const std::string& draining,
                         const std::string& flows) {
        lines.push_back(pad(truncate(name, name_width - 1), name_width, align::left) +
                                   pad(up, number_width, align::right) + pad(draining, number_width, align::right) +
                                   pad(flows, number_width, align::right));
    };
    lines.emplace_back();
    add("service", "up/all", "draining", "flows");
    for (const auto& each : answer.services()) {
        const server_counts counts = count_servers(each);
        add(each.name(), to_string(counts.up) + "/" + to_string(each.backend_servers_size()),
            to_string(counts.draining), to_string(flows_of(each)));
    }
}

void add_balancers(const admin::ShowBalancersResponse& answer, std::size_t width, std::vector<std::string>& lines) {
    constexpr std::size_t number_width = 12; // columns
    constexpr std::size_t state_width = 10;
    const std::size_t     domain_width = width - 2 * number_width - state_width;
    const auto            add = [&](const std::string& id, const std::string& domain, const std::string& state,
                         const std::string& revision) {
        lines.push_back(pad(id, number_width, align::left) +
                                   pad(truncate(domain, domain_width - 1), domain_width, align::left) +
                                   pad(state, state_width, align::left) + pad(revision, number_width, align::right));
    };
    lines.emplace_back();
    add("balancer", "failure-domain", "state", "revision");
    for (const auto& each : answer.balancers())
        add(to_string(each.id()), each.failure_domain(), each.state(), to_string(each.revision()));
}

} // namespace

void text_table::add(std::vector<std::string> row) {
    rows_.push_back(std::move(row));
}

std::vector<std::size_t> text_table::widths() const {
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < columns_.size(); ++i) {
        std::size_t width = columns_[i].name.size();
        for (const auto& row : rows_)
            width = std::max(width, row[i].size());
        result.push_back(width);
    }
    return result;
}

std::string text_table::to_records() const {
    std::string text;
    for (const auto& row : rows_) {
        if (!text.empty()) text += '\n';
        for (std::size_t i = 0; i < columns_.size(); ++i)
            text += columns_[i].name + ": " + row[i] + '\n';
    }
    return text;
}

std::string text_table::to_text(std::size_t width) const {
    constexpr std::size_t gap = 2;
    const auto            sizes = widths();
    std::size_t           total_width = 0;
    for (const std::size_t size : sizes)
        total_width += size + gap;
    if (width != 0 && total_width > width + gap) return to_records();
    std::string text;
    const auto  add_line = [&](const auto& cell) {
        std::string line;
        for (std::size_t i = 0; i < columns_.size(); ++i)
            line += pad(cell(i), sizes[i], columns_[i].alignment) + std::string(gap, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + '\n';
    };
    add_line([&](std::size_t i) { return columns_[i].name; });
    for (const auto& row : rows_)
        add_line([&](std::size_t i) { return row[i]; });
    return text;
}

std::string services_view(const admin::ShowServicesResponse& answer, const view_size& size) {
    text_table table({{"service"},
                      {"protocol"},
                      {"address"},
                      {"up", align::right},
                      {"draining", align::right},
                      {"all", align::right},
                      {"flows", align::right},
                      {"max-flows", align::right},
                      {"max-rate", align::right},
                      {"changed-at", align::right}});
    for (const auto& each : answer.services()) {
        const server_counts counts = count_servers(each);
        table.add({each.name(), protocol_text(each.protocol()), each.address(), to_string(counts.up),
                   to_string(counts.draining), to_string(each.backend_servers_size()), to_string(flows_of(each)),
                   limit_text(each.limits().max_flows()), limit_text(each.limits().max_new_flows_per_second()),
                   to_string(each.changed_at())});
    }
    return revision_line(answer) + table.to_text(size.columns);
}

std::string backend_servers_view(const admin::ShowServicesResponse& answer, const view_size& size) {
    text_table table({{"service"},
                      {"backend-server"},
                      {"state"},
                      {"health"},
                      {"weight", align::right},
                      {"flows", align::right},
                      {"tunnel"},
                      {"health-address"},
                      {"max-flows", align::right},
                      {"max-rate", align::right},
                      {"joined"}});
    for (const auto& each : answer.services()) {
        for (const auto& server : each.backend_servers()) {
            table.add({each.name(), server.name(), server.state(), health_text(server), to_string(server.weight()),
                       to_string(server.flows_held()), server.tunnel(), server.health().empty() ? "-" : server.health(),
                       limit_text(server.limits().max_flows()), limit_text(server.limits().max_new_flows_per_second()),
                       time_text(server.joined())});
        }
    }
    return revision_line(answer) + table.to_text(size.columns);
}

std::string service_view(const admin::ShowServicesResponse& answer, const view_size& size) {
    std::string text = services_view(answer, size);
    const auto  servers = backend_servers_view(answer, size);
    return text + "\n" + servers.substr(servers.find('\n') + 1);
}

std::string health_view(const admin::ShowServicesResponse& answer, const view_size& size) {
    text_table table({{"service"},
                      {"backend-server"},
                      {"state"},
                      {"health"},
                      {"out-for", align::right},
                      {"load-penalty", align::right},
                      {"flows", align::right}});
    for (const auto& each : answer.services()) {
        for (const auto& server : each.backend_servers()) {
            table.add({each.name(), server.name(), server.state(), health_text(server),
                       server.available() ? "-" : to_string(server.out_for().seconds()) + "s",
                       format_fixed(static_cast<double>(server.load_penalty()), 2), to_string(server.flows_held())});
        }
    }
    return revision_line(answer) + table.to_text(size.columns);
}

std::string balancers_view(const admin::ShowBalancersResponse& answer, const view_size& size) {
    text_table table({{"balancer", align::right},
                      {"failure-domain"},
                      {"state"},
                      {"revision", align::right},
                      {"control"},
                      {"relay"},
                      {"admin"},
                      {"started"}});
    for (const auto& each : answer.balancers()) {
        const wall_time started{std::chrono::milliseconds(each.incarnation())};
        table.add({to_string(each.id()) + (each.answering() ? "*" : ""), each.failure_domain(), each.state(),
                   to_string(each.revision()), each.control(), each.relay(), each.admin(), to_text(started)});
    }
    return table.to_text(size.columns) + "* answers this query\n";
}

std::string history_view(const admin::ShowHistoryResponse& answer) {
    if (answer.changes().empty()) return "no such changes among those that the balancer holds\n";
    std::string text;
    for (const auto& record : answer.changes())
        text += record_text(record);
    return text;
}

std::string counters_view(const admin::ShowCountersResponse& answer, const view_size& size) {
    text_table counters({{"counter"}, {"value", align::right}});
    for (const auto& each : answer.counters())
        counters.add({each.name(), to_string(each.value())});
    text_table distributions({{"distribution"},
                              {"count", align::right},
                              {"mean", align::right},
                              {"half-below", align::right},
                              {"99%-below", align::right}});
    for (const auto& each : answer.distributions()) {
        const distribution_snapshot values{
            {each.bounds().begin(), each.bounds().end()}, {each.counts().begin(), each.counts().end()}, each.sum()};
        const std::uint64_t total = values.total();
        distributions.add({each.name(), to_string(total),
                           total == 0 ? "-" : format_short(values.sum / static_cast<double>(total)),
                           format_short(values.quantile(0.5)), format_short(values.quantile(0.99))});
    }
    return counters.to_text(size.columns) + "\n" + distributions.to_text(size.columns);
}

std::string flows_view(const admin::ShowFlowsResponse& answer, const view_size& size) {
    text_table table({{"service"}, {"backend-server"}, {"flows", align::right}});
    for (const auto& each : answer.counts())
        table.add({each.service(), each.backend_server(), to_string(each.flows())});
    return "held " + to_string(answer.held()) + " of " + to_string(answer.capacity()) + " (" +
           share_text(answer.held(), answer.capacity()) + ")" + unreplicated_text(answer) + ", memory " +
           to_string(answer.memory_bytes()) + " bytes\n" + table.to_text(size.columns);
}

std::string explanation_view(const admin::ExplainResponse& answer) {
    const auto  or_none = [](const std::string& text) { return text.empty() ? std::string("none") : text; };
    std::string ranks;
    for (const auto id : answer.ranks()) {
        if (id != 0) ranks += (ranks.empty() ? "" : ", ") + to_string(id);
    }
    std::string text = answer.reason() + "\n";
    text += "service:        " + or_none(answer.service()) + "\n";
    text += "backend server: " + or_none(answer.backend_server()) + "\n";
    text += "owner:          " + to_string(answer.owner()) + "\n";
    text += "second holder:  " + to_string(answer.second_holder()) + "\n";
    text += "ranks:          " + ranks + "\n";
    text += "bucket:         " + to_string(answer.bucket()) + "\n";
    text += "flow key:       " + answer.flow_key() + "\n";
    text += "at balancer " + to_string(answer.balancer()) + ": ";
    if (!answer.has_held()) return text + "no placement is held\n";
    return text + "placement " + answer.held().state() + ", generation " + to_string(answer.held().generation()) +
           (answer.held().acknowledged() ? ", also held by another balancer\n" : ", held by no other balancer yet\n");
}

std::string outcome_view(const admin::SubmitResponse& answer) {
    std::string text;
    switch (answer.status()) {
    case admin::ACCEPTED:
        return "accepted as revision " + to_string(answer.revision()) + "\n";
    case admin::VALID:
        return "valid; nothing was changed (revision " + to_string(answer.revision()) + ")\n";
    case admin::INVALID:
        text = "refused; nothing was changed (revision " + to_string(answer.revision()) + ")\n";
        break;
    case admin::CONFLICT:
        text = "refused: the service was changed concurrently; nothing was changed (revision " +
               to_string(answer.revision()) + ")\n";
        break;
    case admin::STORE_UNAVAILABLE:
        text = "the store is unavailable; nothing was changed\n";
        break;
    default:
        text = "the outcome is unknown; repeat the command with --operation-id=" + answer.operation_id() + "\n";
    }
    for (const auto& problem : answer.problems())
        text += finding_text(problem);
    if (answer.has_conflicting()) text += record_text(answer.conflicting());
    return text;
}

std::string watch_view(const watch_frame& frame, const watch_frame* previous, const view_size& size) {
    const std::size_t        width = std::max(size.columns, min_live_columns);
    std::vector<std::string> lines;
    add_overview(frame, previous, lines);
    add_services(frame.services, width, lines);
    add_balancers(frame.balancers, width, lines);
    const bool        shows_all = size.rows < min_live_rows || lines.size() < size.rows;
    const std::size_t shown = shows_all ? lines.size() : size.rows - 2; // one row for "more lines", one for the cursor
    std::string       text;
    for (std::size_t i = 0; i < shown; ++i)
        text += truncate(lines[i], width) + "\n";
    if (!shows_all) text += "... " + to_string(lines.size() - shown) + " more lines\n";
    return text;
}

} // namespace tamarack
