// The configuration as a value type: validation, application of changes, text form of changes, protobuf conversion.
//
//   configuration + change -> apply -> configuration, or findings
//
// All functions are pure. Times have a resolution of one millisecond, as in the encoding: apply() rounds down.
#pragma once

#include "tamarack/result.h"
#include "tamarack/tamarack.h"

namespace tamarack {

namespace wire {
class Change;
class ChangeRecord;
class Configuration;
} // namespace wire

// Limits of a configuration. The expected size of a cluster is 2,167 backend servers; twice that number with long names
// stays below the platform's limit of 1 MB per stored value.
inline constexpr std::size_t   max_name_size = 63;
inline constexpr std::uint32_t max_weight = 1'000;
inline constexpr std::size_t   max_services = 4'096;
inline constexpr std::size_t   max_backend_servers = 8'192;
inline constexpr std::size_t   max_operation_id_size = 64;
inline constexpr std::size_t   max_operator_name_size = 64;

// A change requested by an operator.
struct change_request {
    std::string     operation_id; // 1 to 64 printable characters without spaces
    std::string     operator_name;
    revision_number base_revision = 0; // revision that the operator has seen; 0: no conflict detection
    bool            dry_run = false;   // validate only
    change          requested_change;
};

enum class change_status : std::uint8_t {
    accepted,          // committed now, or earlier under the same operation id
    valid,             // dry run: the change would be accepted
    invalid,           // not committed; the findings give the reasons
    conflict,          // not committed: the service was changed after base_revision
    store_unavailable, // not committed: the store could not be reached or did not accept the write in time
    outcome_unknown,   // possibly committed; safe to repeat with the same operation id
};

std::string_view to_string(change_status status);

struct change_result {
    std::string                  operation_id;
    change_status                status = change_status::accepted;
    revision_number              revision = 0; // accepted: produced by the change; otherwise: held by this balancer
    findings                     problems;
    std::optional<change_record> conflicting; // latest change of the service, if it is still among the recent changes
};

// Return all findings at once; empty when valid.
findings validate(const configuration& config);
findings validate(const change& command); // checks that need no configuration: names, addresses, ranges
findings validate(const configuration& current, const change& command);
findings validate(const change_request& request); // operation id, operator name, and the change by itself

// Returns the configuration with the next revision. Deterministic: the same change with the same time of acceptance
// gives the same result on every host.
result<configuration, findings> apply(const configuration& current, const change& command, wall_time accepted);

// Applies a committed change, whose revision must be the next one.
result<configuration, findings> apply(const configuration& current, const change_record& record);

// One line in the command language of tamarackctl, such as "weight board bs1 50". Contains all fields of the change.
std::string      to_string(const change& command);
std::string_view service_name_of(const change& command); // name of the service that the change applies to

// Return null if there is no such object.
const service*        find_service(const configuration& config, std::string_view name);
const backend_server* find_backend_server(const service& owner, std::string_view name);

wall_time     round_to_milliseconds(wall_time time);
std::uint64_t fingerprint(const configuration& config); // hash of the encoded form; the same on every host

// Serialized protobuf messages (proto/configuration.proto). The decoding functions validate the result.
std::string                     encode(const configuration& config);
result<configuration, findings> decode_configuration(std::string_view bytes);
std::string                     encode(const change_record& record);
result<change_record, findings> decode_change_record(std::string_view bytes);

// Conversion to and from the generated classes.
void                            to_wire(const configuration& config, wire::Configuration& message);
void                            to_wire(const change& command, wire::Change& message);
void                            to_wire(const change_record& record, wire::ChangeRecord& message);
result<configuration, findings> from_wire(const wire::Configuration& message);
result<change, findings>        from_wire(const wire::Change& message);
result<change_record, findings> from_wire(const wire::ChangeRecord& message);

} // namespace tamarack
