// Conversions between messages and types, without any decision logic.
#include "tamarack/admin_messages.h"

#include <algorithm>
#include <cstdio>

namespace tamarack {

namespace {

// Texts from clients appear in error messages and logs; longer ones are rejected without being parsed.
constexpr std::size_t max_text_size = 256; // bytes

// A text from a client, made safe for a message: truncated, and without bytes that could break the line or the UTF-8.
std::string sanitized(std::string_view text) {
    std::string result(text.substr(0, max_text_size));
    std::ranges::replace_if(
        result, [](char letter) { return letter < ' ' || letter > '~'; }, '?');
    return result;
}

using timestamp = google::protobuf::Timestamp;
using proto_duration = google::protobuf::Duration;

// Sets seconds and nanoseconds of a Timestamp or a Duration. The nanoseconds are never negative, as both messages
// require for times after 1970.
void set_time(duration value, auto& message) {
    const auto seconds = std::chrono::floor<std::chrono::seconds>(value);
    message.set_seconds(seconds.count());
    message.set_nanos(static_cast<std::int32_t>((value - seconds).count()));
}

void set_time(wall_time time, timestamp& message) {
    set_time(time.time_since_epoch(), message);
}

// Values out of range are clamped to what duration can hold (292 years).
duration read_duration(const auto& message) {
    constexpr std::int64_t max_seconds = 9'000'000'000;
    return std::chrono::seconds(std::clamp<std::int64_t>(message.seconds(), -max_seconds, max_seconds)) +
           std::chrono::nanoseconds(message.nanos());
}

admin::Protocol message_of(transport protocol) {
    return protocol == transport::tcp ? admin::TCP : admin::UDP;
}

void set_limits(const flow_limits& limits, admin::Limits& message) {
    message.set_max_flows(limits.max_flows);
    message.set_max_new_flows_per_second(limits.max_new_flows_per_second);
}

flow_limits read_limits(const admin::Limits& message) {
    return {message.max_flows(), message.max_new_flows_per_second()};
}

//----------------------------------------------------------------------------------------------------------------------
// Change requests
//----------------------------------------------------------------------------------------------------------------------

struct change_setter {
    admin::SubmitRequest& request;

    void operator()(const create_service& requested) const {
        auto& message = *request.mutable_create_service();
        message.set_service(requested.service);
        message.set_protocol(message_of(requested.protocol));
        message.set_address(requested.address.to_string());
        set_limits(requested.limits, *message.mutable_limits());
    }
    void operator()(const change_service& requested) const {
        auto& message = *request.mutable_change_service();
        message.set_service(requested.service);
        message.set_max_flows(requested.limits.max_flows);
        message.set_max_new_flows_per_second(requested.limits.max_new_flows_per_second);
    }
    void operator()(const delete_service& requested) const {
        request.mutable_delete_service()->set_service(requested.service);
    }
    void operator()(const join_backend& requested) const {
        auto& message = *request.mutable_join();
        set_names(requested, message);
        message.set_tunnel(requested.tunnel.to_string());
        if (requested.health.port != 0) message.set_health(requested.health.to_string());
        message.set_weight(requested.weight);
        set_limits(requested.limits, *message.mutable_limits());
    }
    void operator()(const drain_backend& requested) const { set_names(requested, *request.mutable_drain()); }
    void operator()(const undrain_backend& requested) const { set_names(requested, *request.mutable_undrain()); }
    void operator()(const leave_backend& requested) const { set_names(requested, *request.mutable_leave()); }
    void operator()(const weigh_backend& requested) const {
        set_names(requested, *request.mutable_weight());
        request.mutable_weight()->set_weight(requested.weight);
    }

    static void set_names(const auto& requested, auto& message) {
        message.set_service(requested.service);
        message.set_backend_server(requested.backend_server);
    }
};

// Converts one request and collects its problems.
class request_reader {
public:
    request_reader(const admin::SubmitRequest& request, const configuration& current)
        : request_(request), current_(current) {}

    result<change_request, findings> read() {
        change_request built{request_.operation_id(), request_.operator_name(), request_.base_revision(),
                             request_.dry_run(), read_change()};
        if (problems_.empty()) problems_ = validate(built);
        if (!problems_.empty()) return std::move(problems_);
        if (request_.has_change_service() && built.base_revision == 0) built.base_revision = current_.revision;
        return built;
    }

private:
    change read_change() {
        switch (request_.change_case()) {
        case admin::SubmitRequest::kCreateService:
            return read_create(request_.create_service());
        case admin::SubmitRequest::kChangeService:
            return read_limits_change(request_.change_service());
        case admin::SubmitRequest::kDeleteService:
            return delete_service{request_.delete_service().service()};
        case admin::SubmitRequest::kJoin:
            return read_join(request_.join());
        case admin::SubmitRequest::kDrain:
            return drain_backend{request_.drain().service(), request_.drain().backend_server()};
        case admin::SubmitRequest::kUndrain:
            return undrain_backend{request_.undrain().service(), request_.undrain().backend_server()};
        case admin::SubmitRequest::kLeave:
            return leave_backend{request_.leave().service(), request_.leave().backend_server()};
        case admin::SubmitRequest::kWeight:
            return weigh_backend{request_.weight().service(), request_.weight().backend_server(),
                                 request_.weight().weight()};
        case admin::SubmitRequest::CHANGE_NOT_SET:
            break;
        }
        problems_.push_back({"change", "the request holds no change", "one of the changes"});
        return delete_service{};
    }

    create_service read_create(const admin::CreateService& message) {
        if (message.protocol() != admin::TCP && message.protocol() != admin::UDP)
            problems_.push_back({"create_service.protocol", "unknown protocol", "TCP or UDP"});
        return {message.service(), message.protocol() == admin::UDP ? transport::udp : transport::tcp,
                read_endpoint("create_service.address", message.address()), read_limits(message.limits())};
    }

    change_service read_limits_change(const admin::ChangeService& message) {
        if (!message.has_max_flows() && !message.has_max_new_flows_per_second())
            problems_.push_back({"change_service", "no limit is set", "max_flows or max_new_flows_per_second"});
        change_service requested{message.service(), {}};
        const service* found = find_service(current_, message.service());
        if (found != nullptr) requested.limits = found->limits;
        if (message.has_max_flows()) requested.limits.max_flows = message.max_flows();
        if (message.has_max_new_flows_per_second())
            requested.limits.max_new_flows_per_second = message.max_new_flows_per_second();
        return requested;
    }

    join_backend read_join(const admin::Join& message) {
        join_backend requested{message.service(),
                               message.backend_server(),
                               read_endpoint("join.tunnel", message.tunnel()),
                               {},
                               100,
                               read_limits(message.limits())};
        if (!message.health().empty()) requested.health = read_endpoint("join.health", message.health());
        if (message.has_weight()) requested.weight = message.weight();
        return requested;
    }

    endpoint read_endpoint(const char* place, const std::string& text) {
        const auto read = text.size() > max_text_size ? std::nullopt : endpoint::parse(text);
        if (!read || read->port == 0) problems_.push_back({place, "not an address", "ADDRESS:PORT"});
        return read.value_or(endpoint());
    }

    const admin::SubmitRequest& request_;
    const configuration&        current_;
    findings                    problems_;
};

admin::ChangeStatus message_of(change_status status) {
    switch (status) {
    case change_status::accepted:
        return admin::ACCEPTED;
    case change_status::valid:
        return admin::VALID;
    case change_status::invalid:
        return admin::INVALID;
    case change_status::conflict:
        return admin::CONFLICT;
    case change_status::store_unavailable:
        return admin::STORE_UNAVAILABLE;
    case change_status::outcome_unknown:
        return admin::OUTCOME_UNKNOWN;
    }
    return admin::CHANGE_STATUS_UNSPECIFIED;
}

void set_record(const change_record& record, admin::ChangeRecord& message) {
    message.set_operation_id(record.operation_id);
    message.set_operator_name(record.operator_name);
    set_time(record.time, *message.mutable_time());
    message.set_base_revision(record.base_revision);
    message.set_revision(record.revision);
    message.set_command(to_string(record.committed_change));
}

//----------------------------------------------------------------------------------------------------------------------
// Answers
//----------------------------------------------------------------------------------------------------------------------

// Status and flow counts of the backend servers, which are not part of the configuration.
struct backend_details {
    std::map<backend_server_id, backend_status> statuses;
    std::map<backend_server_id, std::uint64_t>  flows;
    steady_time                                 now;
};

void set_backend_server(const backend_server& server, const backend_details& details, admin::BackendServer& message) {
    message.set_id(server.id);
    message.set_name(server.name);
    message.set_tunnel(server.tunnel.to_string());
    if (server.health.port != 0) message.set_health(server.health.to_string());
    message.set_weight(server.weight);
    message.set_state(std::string(to_string(server.state)));
    set_time(server.joined, *message.mutable_joined());
    if (server.state == backend_state::draining) set_time(server.draining_since, *message.mutable_draining_since());
    set_limits(server.limits, *message.mutable_limits());
    const auto           found = details.statuses.find(server.id);
    const backend_status status = found == details.statuses.end() ? backend_status() : found->second;
    message.set_available(status.available);
    if (!status.available) set_time(details.now - status.out_since, *message.mutable_out_for());
    message.set_load_penalty(status.load_penalty);
    const auto held = details.flows.find(server.id);
    message.set_flows_held(held == details.flows.end() ? 0 : held->second);
}

void set_service(const service& each, const backend_details& details, admin::Service& message) {
    message.set_id(each.id);
    message.set_name(each.name);
    message.set_protocol(message_of(each.protocol));
    message.set_address(each.address.to_string());
    set_limits(each.limits, *message.mutable_limits());
    message.set_changed_at(each.changed_at);
    for (const backend_server& server : each.backend_servers)
        set_backend_server(server, details, *message.add_backend_servers());
}

std::string_view text_of(flow_state state) {
    switch (state) {
    case flow_state::half_open:
        return "half_open";
    case flow_state::established:
        return "established";
    case flow_state::closing:
        return "closing";
    }
    return "unknown";
}

std::string text_of(const flow_key& key) {
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx", static_cast<unsigned long long>(key.high),
                  static_cast<unsigned long long>(key.low));
    return text.data();
}

} // namespace

void set_change(const change& requested, admin::SubmitRequest& request) {
    std::visit(change_setter{request}, requested);
}

void set_change(const change_limits& requested, admin::SubmitRequest& request) {
    auto& message = *request.mutable_change_service();
    message.set_service(requested.service);
    if (requested.max_flows) message.set_max_flows(*requested.max_flows);
    if (requested.max_new_flows_per_second) message.set_max_new_flows_per_second(*requested.max_new_flows_per_second);
}

admin::ShowHistoryRequest history_request(const show_history& query) {
    admin::ShowHistoryRequest request;
    request.set_service(query.service.value_or(""));
    request.set_operator_name(query.operator_name.value_or(""));
    if (query.since != wall_time()) set_time(query.since, *request.mutable_since());
    if (query.age != duration()) set_time(query.age, *request.mutable_max_age());
    return request;
}

admin::ExplainRequest explain_request(const explain_flow& query) {
    admin::ExplainRequest request;
    request.set_protocol(message_of(query.flow.protocol));
    request.set_source(query.flow.source.to_string());
    request.set_destination(query.flow.destination.to_string());
    return request;
}

result<change_request, findings> read_request(const admin::SubmitRequest& request, const configuration& current) {
    return request_reader(request, current).read();
}

admin::SubmitResponse message_of(const change_result& outcome) {
    admin::SubmitResponse message;
    message.set_status(message_of(outcome.status));
    message.set_operation_id(outcome.operation_id);
    message.set_revision(outcome.revision);
    for (const finding& problem : outcome.problems) {
        admin::Finding& added = *message.add_problems();
        added.set_place(problem.place);
        added.set_message(problem.message);
        added.set_expected(problem.expected);
    }
    if (outcome.conflicting) set_record(*outcome.conflicting, *message.mutable_conflicting());
    return message;
}

result<admin::ShowServicesResponse, unknown_service_message> answer(const admin::ShowServicesRequest& request,
                                                                    administered_balancer&            balancer) {
    const configuration&        current = balancer.current();
    backend_details             details{{}, balancer.flows().counts, balancer.time().steady_now()};
    admin::ShowServicesResponse message;
    for (const backend_status& status : balancer.statuses())
        details.statuses.emplace(status.id, status);
    message.set_balancer(balancer.self().id);
    message.set_revision(current.revision);
    set_time(current.accepted, *message.mutable_accepted());
    for (const service& each : current.services) {
        const bool is_selected = request.service().empty() || request.service() == each.name;
        if (is_selected) set_service(each, details, *message.add_services());
    }
    if (!request.service().empty() && message.services().empty()) {
        return "there is no service '" + sanitized(request.service()) + "' at revision " +
               std::to_string(current.revision);
    }
    return message;
}

admin::ShowBalancersResponse answer(const admin::ShowBalancersRequest& /*request*/, administered_balancer& balancer) {
    admin::ShowBalancersResponse message;
    for (const member_status& each : balancer.members()) {
        admin::Balancer& added = *message.add_balancers();
        added.set_id(each.balancer.id);
        added.set_incarnation(each.balancer.incarnation);
        added.set_failure_domain(each.balancer.failure_domain);
        added.set_control(each.balancer.control.to_string());
        added.set_relay(each.balancer.relay.to_string());
        added.set_admin(each.balancer.admin.to_string());
        added.set_state(std::string(to_string(each.balancer.state)));
        added.set_revision(each.revision);
        added.set_answering(each.balancer.id == balancer.self().id);
    }
    return message;
}

admin::ShowHistoryResponse answer(const admin::ShowHistoryRequest& request, administered_balancer& balancer) {
    admin::ShowHistoryResponse message;
    wall_time                  since{};
    if (request.has_since()) since = wall_time(read_duration(request.since()));
    if (request.has_max_age()) since = std::max(since, balancer.time().wall_now() - read_duration(request.max_age()));
    for (const change_record& record : balancer.recent_changes()) {
        if (!request.service().empty() && request.service() != service_name_of(record.committed_change)) continue;
        if (!request.operator_name().empty() && request.operator_name() != record.operator_name) continue;
        if (record.time >= since) set_record(record, *message.add_changes());
    }
    return message;
}

admin::ShowCountersResponse answer(const admin::ShowCountersRequest& /*request*/, administered_balancer& balancer) {
    admin::ShowCountersResponse message;
    const counter_map           counters = balancer.counters();
    const distribution_map      distributions = balancer.distributions();
    for (const auto& [name, value] : counters) {
        admin::Counter& added = *message.add_counters();
        added.set_name(name);
        added.set_value(value);
    }
    for (const auto& [name, values] : distributions) {
        admin::Distribution& added = *message.add_distributions();
        added.set_name(name);
        added.mutable_bounds()->Assign(values.bounds.begin(), values.bounds.end());
        added.mutable_counts()->Assign(values.counts.begin(), values.counts.end());
        added.set_sum(values.sum);
    }
    message.set_exposition(exposition_text(counters, distributions));
    return message;
}

admin::ShowFlowsResponse answer(const admin::ShowFlowsRequest& /*request*/, administered_balancer& balancer) {
    admin::ShowFlowsResponse message;
    const flow_summary       flows = balancer.flows();
    message.set_held(flows.held);
    message.set_capacity(flows.capacity);
    message.set_memory_bytes(flows.memory_bytes);
    if (flows.unreplicated) message.set_unreplicated(*flows.unreplicated);
    for (const service& each : balancer.current().services) {
        for (const backend_server& server : each.backend_servers) {
            const auto        found = flows.counts.find(server.id);
            admin::FlowCount& added = *message.add_counts();
            added.set_service(each.name);
            added.set_backend_server(server.name);
            added.set_flows(found == flows.counts.end() ? 0 : found->second);
        }
    }
    return message;
}

result<admin::ExplainResponse, findings> answer(const admin::ExplainRequest& request, administered_balancer& balancer) {
    findings   problems;
    const auto read = [&](const char* place, const std::string& text) {
        const auto address = text.size() > max_text_size ? std::nullopt : endpoint::parse(text);
        if (!address) problems.push_back({place, "not an address", "ADDRESS:PORT"});
        return address.value_or(endpoint());
    };
    const flow_tuple flow{request.protocol() == admin::UDP ? transport::udp : transport::tcp,
                          read("source", request.source()), read("destination", request.destination())};
    if (!problems.empty()) return problems;
    const flow_explanation found = balancer.explain(flow);
    admin::ExplainResponse message;
    message.set_balancer(balancer.self().id);
    message.set_flow_key(text_of(found.key));
    message.set_bucket(static_cast<std::uint32_t>(found.bucket));
    message.set_owner(found.bucket_holders.owner());
    message.set_second_holder(found.bucket_holders.second);
    message.mutable_ranks()->Assign(found.bucket_holders.ranks.begin(), found.bucket_holders.ranks.end());
    message.set_service(found.service);
    message.set_backend_server(found.backend_server);
    message.set_reason(found.reason);
    if (!found.held_placement) return message;
    message.mutable_held()->set_state(std::string(text_of(found.held_placement->state)));
    message.mutable_held()->set_acknowledged(found.held_placement->other_holder_token != 0);
    message.mutable_held()->set_generation(found.held_placement->generation);
    return message;
}

} // namespace tamarack
