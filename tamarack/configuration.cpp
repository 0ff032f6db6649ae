// Configuration and changes: validation, application, text form, and conversion to and from protobuf.
//
// Index
//   [1] Names and ranges
//   [2] Validation of a complete configuration
//   [3] Validation of a change
//   [4] Application
//   [5] Text form
//   [6] Conversion to protobuf
//   [7] Conversion from protobuf
#include "tamarack/configuration.h"

#include "configuration.pb.h"

#include <algorithm>
#include <limits>
#include <set>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace tamarack {

namespace {

template <class... Functions>
struct overloaded : Functions... {
    using Functions::operator()...;
};
template <class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

//----------------------------------------------------------------------------------------------------------------------
// [1] Names and ranges
//----------------------------------------------------------------------------------------------------------------------

constexpr std::string_view expected_name = "1 to 63 letters, digits, '-', '_' or '.', the first a letter or digit";
constexpr std::string_view expected_id = "1 to 64 printable ASCII characters without spaces";
constexpr std::string_view expected_endpoint = "a numeric address other than the unspecified one, and a port above 0";

// Does not depend on the locale, so that all hosts give the same result.
bool is_alphanumeric(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool is_name(std::string_view text) {
    if (text.empty() || text.size() > max_name_size || !is_alphanumeric(text.front())) return false;
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return is_alphanumeric(c) || c == '-' || c == '_' || c == '.'; });
}

bool is_printable_word(std::string_view text, std::size_t limit) {
    if (text.empty() || text.size() > limit) return false;
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

// Makes a name safe for messages: cuts it to the maximum length, and replaces spaces, control characters and non-ASCII
// characters, which could corrupt a terminal or a log.
std::string printable(std::string_view name) {
    std::string text(name.substr(0, max_name_size));
    std::replace_if(
        text.begin(), text.end(), [](char c) { return c <= ' ' || c > '~'; }, '?');
    return text;
}

std::string place_of(std::string_view service_name) {
    return "service " + printable(service_name);
}

std::string place_of(std::string_view service_name, std::string_view backend_server_name) {
    return place_of(service_name) + ", backend server " + printable(backend_server_name);
}

bool is_unspecified(const ip_address& address) {
    return address == ip_address{} || address == ip_address::v4(0);
}

bool is_reachable(const endpoint& target) {
    return target.port != 0 && !is_unspecified(target.address);
}

void check_name(findings& problems, const std::string& place, std::string_view kind, std::string_view name) {
    if (is_name(name)) return;
    problems.push_back({place, std::string(kind) + " is not a valid name", std::string(expected_name)});
}

void check_endpoint(findings& problems, const std::string& place, std::string_view kind, const endpoint& target) {
    if (is_reachable(target)) return;
    problems.push_back(
        {place, std::string(kind) + " " + target.to_string() + " can't be used", std::string(expected_endpoint)});
}

// Port 0 means that the backend server is not probed.
void check_health_endpoint(findings& problems, const std::string& place, const endpoint& health) {
    if (health.port != 0) return check_endpoint(problems, place, "health endpoint", health);
    if (health == endpoint{}) return;
    problems.push_back({place, "the health endpoint has an address, but no port", "both, or neither"});
}

void check_weight(findings& problems, const std::string& place, std::uint32_t weight) {
    if (weight <= max_weight) return;
    problems.push_back({place, "weight " + std::to_string(weight) + " is out of range", "0 to 1000"});
}

void check_protocol(findings& problems, const std::string& place, transport protocol) {
    if (protocol == transport::tcp || protocol == transport::udp) return;
    problems.push_back({place, "unknown transport protocol", "tcp or udp"});
}

//----------------------------------------------------------------------------------------------------------------------
// [2] Validation of a complete configuration
//----------------------------------------------------------------------------------------------------------------------

void check_id(findings& problems, const std::string& place, std::uint32_t id, std::uint32_t next_id,
              std::set<std::uint32_t>& ids) {
    if (id == 0 || id >= next_id) {
        problems.push_back({place, "id " + std::to_string(id) + " is out of range",
                            "1 to " + std::to_string(next_id == 0 ? 0 : next_id - 1)});
    }
    if (!ids.insert(id).second) problems.push_back({place, "id " + std::to_string(id) + " is used twice", ""});
}

void check_backend_server(findings& problems, const std::string& place, const backend_server& server) {
    check_name(problems, place, "the backend server's name", server.name);
    check_endpoint(problems, place, "tunnel endpoint", server.tunnel);
    check_health_endpoint(problems, place, server.health);
    check_weight(problems, place, server.weight);
    const bool has_time = server.draining_since != wall_time{};
    if ((server.state == backend_state::draining) != has_time)
        problems.push_back({place, "the state and the time of draining disagree", "a time exactly when draining"});
}

void check_backend_servers(findings& problems, const service& owner, std::uint32_t next_id,
                           std::set<std::uint32_t>& ids) {
    std::set<std::string_view> names;
    std::set<endpoint>         tunnels;
    backend_server_id          previous = 0;
    for (const auto& server : owner.backend_servers) {
        const std::string place = place_of(owner.name, server.name);
        check_backend_server(problems, place, server);
        check_id(problems, place, server.id, next_id, ids);
        if (server.id < previous) problems.push_back({place, "backend servers are out of order", "order of id"});
        if (!names.insert(server.name).second) problems.push_back({place, "the name is used twice", ""});
        if (!tunnels.insert(server.tunnel).second)
            problems.push_back({place, "tunnel endpoint " + server.tunnel.to_string() + " is used twice", ""});
        previous = server.id;
    }
}

void check_sizes(findings& problems, const configuration& config) {
    std::size_t servers = 0;
    for (const auto& item : config.services)
        servers += item.backend_servers.size();
    if (config.services.size() > max_services)
        problems.push_back({"configuration", "too many services", "at most " + std::to_string(max_services)});
    if (servers > max_backend_servers) {
        problems.push_back(
            {"configuration", "too many backend servers", "at most " + std::to_string(max_backend_servers)});
    }
}

} // namespace

findings validate(const configuration& config) {
    findings                                 problems;
    std::set<std::uint32_t>                  ids;
    std::set<std::string_view>               names;
    std::set<std::pair<transport, endpoint>> addresses;
    service_id                               previous = 0;
    if (config.next_id == 0) problems.push_back({"configuration", "the next id is 0", "at least 1"});
    check_sizes(problems, config);
    for (const auto& item : config.services) {
        const std::string place = place_of(item.name);
        check_name(problems, place, "the service's name", item.name);
        check_protocol(problems, place, item.protocol);
        check_endpoint(problems, place, "address", item.address);
        check_id(problems, place, item.id, config.next_id, ids);
        if (item.id < previous) problems.push_back({place, "services are out of order", "order of id"});
        if (!names.insert(item.name).second) problems.push_back({place, "the name is used twice", ""});
        if (!addresses.emplace(item.protocol, item.address).second)
            problems.push_back({place, "address " + item.address.to_string() + " is used twice", ""});
        if (item.changed_at > config.revision)
            problems.push_back({place, "changed after the revision of the configuration", ""});
        check_backend_servers(problems, item, config.next_id, ids);
        previous = item.id;
    }
    return problems;
}

//----------------------------------------------------------------------------------------------------------------------
// [3] Validation of a change
//----------------------------------------------------------------------------------------------------------------------

namespace {

std::string_view backend_server_name_of(const change& command) {
    return std::visit(overloaded{[](const create_service&) { return std::string_view{}; },
                                 [](const change_service&) { return std::string_view{}; },
                                 [](const delete_service&) { return std::string_view{}; },
                                 [](const auto& details) { return std::string_view(details.backend_server); }},
                      command);
}

bool names_backend_server(const change& command) {
    return !std::holds_alternative<create_service>(command) && !std::holds_alternative<change_service>(command) &&
           !std::holds_alternative<delete_service>(command);
}

std::string place_of(const change& command) {
    return names_backend_server(command) ? place_of(service_name_of(command), backend_server_name_of(command))
                                         : place_of(service_name_of(command));
}

void check_new_service(findings& problems, const configuration& current, const create_service& command) {
    const std::string place = place_of(command.service);
    if (find_service(current, command.service) != nullptr) problems.push_back({place, "exists already", "a new name"});
    for (const auto& other : current.services) {
        if (other.protocol != command.protocol || other.address != command.address) continue;
        problems.push_back({place,
                            "address " + std::string(to_string(command.protocol)) + " " + command.address.to_string() +
                                " belongs to service " + other.name,
                            "another address"});
    }
    if (current.services.size() >= max_services)
        problems.push_back({place, "there are too many services", "at most " + std::to_string(max_services)});
}

void check_new_backend_server(findings& problems, const configuration& current, const service& owner,
                              const join_backend& command) {
    const std::string place = place_of(command.service, command.backend_server);
    if (find_backend_server(owner, command.backend_server) != nullptr)
        problems.push_back({place, "exists already", "a new name"});
    for (const auto& other : owner.backend_servers) {
        if (other.tunnel == command.tunnel) {
            problems.push_back(
                {place, "tunnel endpoint " + command.tunnel.to_string() + " belongs to backend server " + other.name,
                 "another endpoint"});
        }
    }
    std::size_t servers = 0;
    for (const auto& item : current.services)
        servers += item.backend_servers.size();
    if (servers >= max_backend_servers) {
        problems.push_back(
            {place, "there are too many backend servers", "at most " + std::to_string(max_backend_servers)});
    }
}

// Checks the rules that depend on the state of an existing backend server.
void check_backend_state(findings& problems, const backend_server& server, const change& command) {
    const std::string place = place_of(command);
    const bool        draining = server.state == backend_state::draining;
    if (std::holds_alternative<drain_backend>(command) && draining)
        problems.push_back({place, "is draining already", "an active backend server"});
    if (std::holds_alternative<undrain_backend>(command) && !draining)
        problems.push_back({place, "is not draining", "a draining backend server"});
    if (std::holds_alternative<leave_backend>(command) && !draining)
        problems.push_back({place, "is still active", "a draining backend server; drain it first"});
}

void check_preconditions(findings& problems, const configuration& current, const change& command) {
    if (const auto* creation = std::get_if<create_service>(&command))
        return check_new_service(problems, current, *creation);
    const service* owner = find_service(current, service_name_of(command));
    if (owner == nullptr) return problems.push_back({place_of(service_name_of(command)), "does not exist", ""});
    if (std::holds_alternative<delete_service>(command) && !owner->backend_servers.empty()) {
        return problems.push_back({place_of(command),
                                   "still has " + std::to_string(owner->backend_servers.size()) + " backend servers",
                                   "a service without backend servers"});
    }
    if (const auto* join = std::get_if<join_backend>(&command))
        return check_new_backend_server(problems, current, *owner, *join);
    if (!names_backend_server(command)) return;
    const backend_server* server = find_backend_server(*owner, backend_server_name_of(command));
    if (server == nullptr) return problems.push_back({place_of(command), "does not exist", ""});
    check_backend_state(problems, *server, command);
}

} // namespace

std::string_view service_name_of(const change& command) {
    return std::visit([](const auto& details) { return std::string_view(details.service); }, command);
}

const service* find_service(const configuration& config, std::string_view name) {
    const auto found = std::find_if(config.services.begin(), config.services.end(),
                                    [&](const service& item) { return item.name == name; });
    return found == config.services.end() ? nullptr : &*found;
}

const backend_server* find_backend_server(const service& owner, std::string_view name) {
    const auto found = std::find_if(owner.backend_servers.begin(), owner.backend_servers.end(),
                                    [&](const backend_server& server) { return server.name == name; });
    return found == owner.backend_servers.end() ? nullptr : &*found;
}

findings validate(const change& command) {
    findings          problems;
    const std::string place = place_of(command);
    check_name(problems, place, "the service's name", service_name_of(command));
    if (names_backend_server(command))
        check_name(problems, place, "the backend server's name", backend_server_name_of(command));
    std::visit(overloaded{[&](const create_service& details) {
                              check_protocol(problems, place, details.protocol);
                              check_endpoint(problems, place, "address", details.address);
                          },
                          [&](const join_backend& details) {
                              check_endpoint(problems, place, "tunnel endpoint", details.tunnel);
                              check_health_endpoint(problems, place, details.health);
                              check_weight(problems, place, details.weight);
                          },
                          [&](const weigh_backend& details) { check_weight(problems, place, details.weight); },
                          [](const auto&) {}},
               command);
    return problems;
}

findings validate(const configuration& current, const change& command) {
    findings problems = validate(command);
    check_preconditions(problems, current, command);
    return problems;
}

findings validate(const change_request& request) {
    findings problems = validate(request.requested_change);
    if (!is_printable_word(request.operation_id, max_operation_id_size))
        problems.push_back({"operation id", "is not valid", std::string(expected_id)});
    if (!is_printable_word(request.operator_name, max_operator_name_size))
        problems.push_back({"operator name", "is not valid", std::string(expected_id)});
    return problems;
}

std::string_view to_string(change_status status) {
    switch (status) {
    case change_status::accepted:
        return "accepted";
    case change_status::valid:
        return "valid";
    case change_status::invalid:
        return "invalid";
    case change_status::conflict:
        return "conflict";
    case change_status::store_unavailable:
        return "store_unavailable";
    case change_status::outcome_unknown:
        return "outcome_unknown";
    }
    return "unknown";
}

//----------------------------------------------------------------------------------------------------------------------
// [4] Application
//----------------------------------------------------------------------------------------------------------------------

namespace {

// Applies a change that has been validated.
struct change_applier {
    configuration& next;
    wall_time      accepted;

    service& find_owner(const std::string& name) const {
        return *std::find_if(next.services.begin(), next.services.end(),
                             [&](const service& item) { return item.name == name; });
    }
    static std::vector<backend_server>::iterator find_position(service& owner, const std::string& name) {
        return std::find_if(owner.backend_servers.begin(), owner.backend_servers.end(),
                            [&](const backend_server& server) { return server.name == name; });
    }
    service& mark_changed(const std::string& name) const {
        service& owner = find_owner(name);
        owner.changed_at = next.revision;
        return owner;
    }

    void operator()(const create_service& command) const {
        next.services.push_back(
            {next.next_id++, command.service, command.protocol, command.address, command.limits, {}, next.revision});
    }
    void operator()(const change_service& command) const { mark_changed(command.service).limits = command.limits; }
    void operator()(const delete_service& command) const {
        std::erase_if(next.services, [&](const service& item) { return item.name == command.service; });
    }
    void operator()(const join_backend& command) const {
        backend_server server;
        server.id = next.next_id++;
        server.name = command.backend_server;
        server.tunnel = command.tunnel;
        server.health = command.health;
        server.weight = command.weight;
        server.joined = accepted;
        server.limits = command.limits;
        mark_changed(command.service).backend_servers.push_back(std::move(server));
    }
    void operator()(const drain_backend& command) const {
        auto& server = *find_position(mark_changed(command.service), command.backend_server);
        server.state = backend_state::draining;
        server.draining_since = accepted;
    }
    // A new time of joining starts the warm-up again: the backend server has had no new flows for a while.
    void operator()(const undrain_backend& command) const {
        auto& server = *find_position(mark_changed(command.service), command.backend_server);
        server.state = backend_state::active;
        server.draining_since = {};
        server.joined = accepted;
    }
    void operator()(const leave_backend& command) const {
        service& owner = mark_changed(command.service);
        owner.backend_servers.erase(find_position(owner, command.backend_server));
    }
    void operator()(const weigh_backend& command) const {
        find_position(mark_changed(command.service), command.backend_server)->weight = command.weight;
    }
};

} // namespace

wall_time round_to_milliseconds(wall_time time) {
    return std::chrono::floor<std::chrono::milliseconds>(time);
}

result<configuration, findings> apply(const configuration& current, const change& command, wall_time accepted) {
    findings problems = validate(current, command);
    if (current.next_id == std::numeric_limits<std::uint32_t>::max())
        problems.push_back({"configuration", "no id is left for a new object", ""});
    if (!problems.empty()) return problems;
    configuration next = current;
    next.revision = current.revision + 1;
    next.accepted = round_to_milliseconds(accepted);
    std::visit(change_applier{next, next.accepted}, command);
    return next;
}

result<configuration, findings> apply(const configuration& current, const change_record& record) {
    if (record.revision != current.revision + 1) {
        return findings{{"revision " + std::to_string(record.revision), "does not follow the present revision",
                         std::to_string(current.revision + 1)}};
    }
    return apply(current, record.committed_change, record.time);
}

//----------------------------------------------------------------------------------------------------------------------
// [5] Text form
//----------------------------------------------------------------------------------------------------------------------

namespace {

std::string limits_text(const flow_limits& limits, bool include_zero) {
    std::string text;
    if (include_zero || limits.max_flows != 0) text += " max-flows " + std::to_string(limits.max_flows);
    if (include_zero || limits.max_new_flows_per_second != 0)
        text += " max-rate " + std::to_string(limits.max_new_flows_per_second);
    return text;
}

struct command_formatter {
    std::string operator()(const create_service& command) const {
        return "create service " + command.service + " " + std::string(to_string(command.protocol)) + " " +
               command.address.to_string() + limits_text(command.limits, false);
    }
    // The change replaces both limits, so the text contains both, also when they are 0.
    std::string operator()(const change_service& command) const {
        return "change service " + command.service + limits_text(command.limits, true);
    }
    std::string operator()(const delete_service& command) const { return "delete service " + command.service; }
    std::string operator()(const join_backend& command) const {
        const std::string health = command.health.port == 0 ? "" : " health " + command.health.to_string();
        return "join " + command.service + " " + command.backend_server + " tunnel " + command.tunnel.to_string() +
               health + " weight " + std::to_string(command.weight) + limits_text(command.limits, false);
    }
    std::string operator()(const drain_backend& command) const {
        return "drain " + command.service + " " + command.backend_server;
    }
    std::string operator()(const undrain_backend& command) const {
        return "undrain " + command.service + " " + command.backend_server;
    }
    std::string operator()(const leave_backend& command) const {
        return "leave " + command.service + " " + command.backend_server;
    }
    std::string operator()(const weigh_backend& command) const {
        return "weight " + command.service + " " + command.backend_server + " " + std::to_string(command.weight);
    }
};

} // namespace

std::string to_string(const change& command) {
    return std::visit(command_formatter{}, command);
}

//----------------------------------------------------------------------------------------------------------------------
// [6] Conversion to protobuf
//----------------------------------------------------------------------------------------------------------------------

namespace {

constexpr std::size_t v4_offset = 12; // of the IPv4 address within an IPv4-mapped IPv6 address

std::string to_bytes(const endpoint& target) {
    if (target == endpoint{}) return {};
    const std::size_t first = target.address.is_v4() ? v4_offset : 0;
    std::string       bytes;
    for (std::size_t i = first; i < target.address.bytes.size(); ++i)
        bytes.push_back(static_cast<char>(target.address.bytes[i]));
    bytes.push_back(static_cast<char>(target.port >> 8));
    bytes.push_back(static_cast<char>(target.port & 0xff));
    return bytes;
}

std::int64_t to_milliseconds(wall_time time) {
    return std::chrono::floor<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

template <class Message>
void set_limits(const flow_limits& limits, Message& message) {
    if (limits == flow_limits{}) return; // the default is not encoded, to save space
    message.mutable_limits()->set_max_flows(limits.max_flows);
    message.mutable_limits()->set_max_new_flows_per_second(limits.max_new_flows_per_second);
}

void to_wire(const backend_server& server, wire::BackendServer& message) {
    message.set_id(server.id);
    message.set_name(server.name);
    message.set_tunnel(to_bytes(server.tunnel));
    message.set_health(to_bytes(server.health));
    message.set_weight(server.weight);
    message.set_draining(server.state == backend_state::draining);
    message.set_joined(to_milliseconds(server.joined));
    message.set_draining_since(to_milliseconds(server.draining_since));
    set_limits(server.limits, message);
}

void to_wire(const service& item, wire::Service& message) {
    message.set_id(item.id);
    message.set_name(item.name);
    message.set_transport(static_cast<wire::Transport>(item.protocol));
    message.set_address(to_bytes(item.address));
    set_limits(item.limits, message);
    for (const auto& server : item.backend_servers)
        to_wire(server, *message.add_backend_servers());
    message.set_changed_at(item.changed_at);
}

} // namespace

void to_wire(const configuration& config, wire::Configuration& message) {
    message.set_revision(config.revision);
    message.set_accepted(to_milliseconds(config.accepted));
    message.set_next_id(config.next_id);
    for (const auto& item : config.services)
        to_wire(item, *message.add_services());
}

void to_wire(const change& command, wire::Change& message) {
    message.set_service(std::string(service_name_of(command)));
    std::visit(overloaded{[&](const create_service& details) {
                              auto& part = *message.mutable_create_service();
                              part.set_transport(static_cast<wire::Transport>(details.protocol));
                              part.set_address(to_bytes(details.address));
                              set_limits(details.limits, part);
                          },
                          [&](const change_service& details) {
                              set_limits(details.limits, *message.mutable_change_service());
                          },
                          [&](const delete_service&) { message.mutable_delete_service(); },
                          [&](const join_backend& details) {
                              auto& part = *message.mutable_join_backend();
                              part.set_backend_server(details.backend_server);
                              part.set_tunnel(to_bytes(details.tunnel));
                              part.set_health(to_bytes(details.health));
                              part.set_weight(details.weight);
                              set_limits(details.limits, part);
                          },
                          [&](const drain_backend& details) {
                              message.mutable_drain_backend()->set_backend_server(details.backend_server);
                          },
                          [&](const undrain_backend& details) {
                              message.mutable_undrain_backend()->set_backend_server(details.backend_server);
                          },
                          [&](const leave_backend& details) {
                              message.mutable_leave_backend()->set_backend_server(details.backend_server);
                          },
                          [&](const weigh_backend& details) {
                              message.mutable_weigh_backend()->set_backend_server(details.backend_server);
                              message.mutable_weigh_backend()->set_weight(details.weight);
                          }},
               command);
}

void to_wire(const change_record& record, wire::ChangeRecord& message) {
    message.set_operation_id(record.operation_id);
    message.set_operator_name(record.operator_name);
    message.set_time(to_milliseconds(record.time));
    message.set_base_revision(record.base_revision);
    message.set_revision(record.revision);
    to_wire(record.committed_change, *message.mutable_change());
    message.set_fingerprint(record.fingerprint);
}

std::string encode(const configuration& config) {
    wire::Configuration message;
    to_wire(config, message);
    return message.SerializeAsString();
}

std::string encode(const change_record& record) {
    wire::ChangeRecord message;
    to_wire(record, message);
    return message.SerializeAsString();
}

std::uint64_t fingerprint(const configuration& config) {
    const std::string bytes = encode(config);
    return XXH3_64bits(bytes.data(), bytes.size());
}

//----------------------------------------------------------------------------------------------------------------------
// [7] Conversion from protobuf
//----------------------------------------------------------------------------------------------------------------------

namespace {

constexpr std::size_t v4_endpoint_size = 6;
constexpr std::size_t v6_endpoint_size = 18;

// Larger values would overflow in the conversion to nanoseconds (year 2262).
constexpr std::int64_t max_milliseconds = std::numeric_limits<std::int64_t>::max() / 1'000'000;

// Converts the parts of one message, and collects the findings.
struct message_reader {
    findings problems;

    void add_finding(const std::string& place, std::string message, std::string expected) {
        problems.push_back({place, std::move(message), std::move(expected)});
    }

    endpoint read_endpoint(const std::string& place, const std::string& bytes) {
        if (bytes.empty()) return {};
        if (bytes.size() != v4_endpoint_size && bytes.size() != v6_endpoint_size) {
            add_finding(place, "an endpoint has " + std::to_string(bytes.size()) + " bytes", "0, 6 or 18 bytes");
            return {};
        }
        endpoint target;
        if (bytes.size() == v4_endpoint_size) target.address = ip_address::v4(0);
        const std::size_t size = bytes.size() - sizeof(target.port);
        std::transform(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(size),
                       target.address.bytes.end() - static_cast<std::ptrdiff_t>(size),
                       [](char c) { return static_cast<std::uint8_t>(c); });
        target.port = static_cast<std::uint16_t>(static_cast<std::uint8_t>(bytes[size]) << 8 |
                                                 static_cast<std::uint8_t>(bytes[size + 1]));
        return target;
    }

    wall_time read_time(const std::string& place, std::int64_t milliseconds) {
        if (milliseconds >= 0 && milliseconds <= max_milliseconds)
            return wall_time(std::chrono::milliseconds(milliseconds));
        add_finding(place, "a time is out of range", "milliseconds since 1970");
        return {};
    }

    transport read_transport(const std::string& place, wire::Transport value) {
        if (value == wire::TRANSPORT_TCP) return transport::tcp;
        if (value == wire::TRANSPORT_UDP) return transport::udp;
        add_finding(place, "unknown transport protocol", "6 (tcp) or 17 (udp)");
        return transport::tcp;
    }

    static flow_limits read_limits(const wire::FlowLimits& message) {
        return {message.max_flows(), message.max_new_flows_per_second()};
    }

    backend_server read_server(const std::string& owner, const wire::BackendServer& message) {
        const std::string place = place_of(owner, message.name());
        backend_server    server;
        server.id = message.id();
        server.name = message.name();
        server.tunnel = read_endpoint(place, message.tunnel());
        server.health = read_endpoint(place, message.health());
        server.weight = message.weight();
        server.state = message.draining() ? backend_state::draining : backend_state::active;
        server.joined = read_time(place, message.joined());
        server.draining_since = read_time(place, message.draining_since());
        server.limits = read_limits(message.limits());
        return server;
    }

    service read_service(const wire::Service& message) {
        const std::string place = place_of(message.name());
        service           item;
        item.id = message.id();
        item.name = message.name();
        item.protocol = read_transport(place, message.transport());
        item.address = read_endpoint(place, message.address());
        item.limits = read_limits(message.limits());
        for (const auto& server : message.backend_servers())
            item.backend_servers.push_back(read_server(message.name(), server));
        item.changed_at = message.changed_at();
        return item;
    }

    create_service read_creation(const wire::Change& message) {
        const std::string place = place_of(message.service());
        const auto&       part = message.create_service();
        return {message.service(), read_transport(place, part.transport()), read_endpoint(place, part.address()),
                read_limits(part.limits())};
    }

    join_backend read_join(const wire::Change& message) {
        const auto&       part = message.join_backend();
        const std::string place = place_of(message.service(), part.backend_server());
        return {message.service(),
                part.backend_server(),
                read_endpoint(place, part.tunnel()),
                read_endpoint(place, part.health()),
                part.weight(),
                read_limits(part.limits())};
    }

    change read_change(const wire::Change& message) {
        const auto& name = message.service();
        switch (message.what_case()) {
        case wire::Change::kCreateService:
            return read_creation(message);
        case wire::Change::kChangeService:
            return change_service{name, read_limits(message.change_service().limits())};
        case wire::Change::kDeleteService:
            return delete_service{name};
        case wire::Change::kJoinBackend:
            return read_join(message);
        case wire::Change::kDrainBackend:
            return drain_backend{name, message.drain_backend().backend_server()};
        case wire::Change::kUndrainBackend:
            return undrain_backend{name, message.undrain_backend().backend_server()};
        case wire::Change::kLeaveBackend:
            return leave_backend{name, message.leave_backend().backend_server()};
        case wire::Change::kWeighBackend:
            return weigh_backend{name, message.weigh_backend().backend_server(), message.weigh_backend().weight()};
        case wire::Change::WHAT_NOT_SET:
            break;
        }
        add_finding(place_of(name), "unknown kind of change", "a kind of change that this version supports");
        return {};
    }
};

void append(findings& all, const findings& more) {
    all.insert(all.end(), more.begin(), more.end());
}

findings unreadable_message(std::string_view kind) {
    return {{std::string(kind), "can't be read", "a serialized protobuf message"}};
}

} // namespace

result<configuration, findings> from_wire(const wire::Configuration& message) {
    message_reader input;
    configuration  config;
    config.revision = message.revision();
    config.accepted = input.read_time("configuration", message.accepted());
    config.next_id = message.next_id();
    config.services.reserve(static_cast<std::size_t>(message.services_size()));
    for (const auto& item : message.services())
        config.services.push_back(input.read_service(item));
    append(input.problems, validate(config));
    if (!input.problems.empty()) return input.problems;
    return config;
}

result<change, findings> from_wire(const wire::Change& message) {
    message_reader input;
    change         command = input.read_change(message);
    append(input.problems, validate(command));
    if (!input.problems.empty()) return input.problems;
    return command;
}

result<change_record, findings> from_wire(const wire::ChangeRecord& message) {
    message_reader input;
    change_record  record;
    record.operation_id = message.operation_id();
    record.operator_name = message.operator_name();
    record.time = input.read_time("change record", message.time());
    record.base_revision = message.base_revision();
    record.revision = message.revision();
    record.committed_change = input.read_change(message.change());
    record.fingerprint = message.fingerprint();
    append(input.problems,
           validate(change_request{record.operation_id, record.operator_name, 0, false, record.committed_change}));
    if (record.revision == 0) input.add_finding("change record", "revision 0 is never committed", "at least 1");
    if (!input.problems.empty()) return input.problems;
    return record;
}

result<configuration, findings> decode_configuration(std::string_view bytes) {
    wire::Configuration message;
    if (bytes.size() > std::numeric_limits<int>::max() ||
        !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return unreadable_message("configuration");
    return from_wire(message);
}

result<change_record, findings> decode_change_record(std::string_view bytes) {
    wire::ChangeRecord message;
    if (bytes.size() > std::numeric_limits<int>::max() ||
        !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return unreadable_message("change record");
    return from_wire(message);
}

} // namespace tamarack
