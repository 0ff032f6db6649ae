// The configuration as a value: validation, application of changes, text form of changes, and protobuf conversion.
//
//   configuration + change -> apply -> configuration, or findings
//
// Everything here is a pure function. Times are kept in milliseconds: apply rounds down, the encoding holds no more.
#pragma once

#include "tamarack/result.h"
#include "tamarack/tamarack.h"

namespace tamarack {

namespace wire {
class Change;
class ChangeRecord;
class Configuration;
} // namespace wire

// Limits of a configuration. The expected size of a cluster is 2,167 backend servers; twice that with long names stays
// below the 1 MB that the platform takes for a value.
inline constexpr std::size_t   max_name_size = 63;
inline constexpr std::uint32_t max_weight = 1'000;
inline constexpr std::size_t   max_services = 4'096;
inline constexpr std::size_t   max_backend_servers = 8'192;
inline constexpr std::size_t   max_operation_id_size = 64;
inline constexpr std::size_t   max_operator_name_size = 64;

// A change that an operator asks for.
struct change_request {
    std::string     operation_id; // 1 to 64 printable characters without spaces
    std::string     operator_name;
    revision_number base_revision = 0; // 0: no conflict detection
    bool            dry_run = false;
    change          what;
};

enum class change_status : std::uint8_t {
    accepted,          // committed, or found committed under the same operation id
    valid,             // dry run: would be accepted
    invalid,           // findings say why; not committed
    conflict,          // the service was changed after base_revision; not committed
    store_unavailable, // not committed
    outcome_unknown,   // may be committed; repeat with the same operation id
};

std::string_view to_string(change_status status);

struct change_result {
    std::string                  operation_id;
    change_status                status = change_status::accepted;
    revision_number              revision = 0; // produced (accepted) or known (otherwise)
    findings                     problems;
    std::optional<change_record> conflicting; // the change that came in between, unless it is too long ago
};

// All findings together; empty when valid.
findings validate(const configuration& whole);
findings validate(const change& what); // what can be said without a configuration: names, addresses, ranges
findings validate(const configuration& present, const change& what);
findings validate(const change_request& request); // ids and the change itself

// The configuration with the next revision. The same change at the same time gives the same result on every host.
result<configuration, findings> apply(const configuration& present, const change& what, wall_time accepted);

// Applies a committed change, whose revision must be the next one.
result<configuration, findings> apply(const configuration& present, const change_record& record);

// One line in the operators' command language, such as "weight board bs1 50". Loses nothing.
std::string      to_string(const change& what);
std::string_view service_of(const change& what); // name of the service that the change is about

// Null when there is none.
const service*        find_service(const configuration& whole, std::string_view name);
const backend_server* find_backend_server(const service& owner, std::string_view name);

wall_time     round_to_milliseconds(wall_time time);
std::uint64_t fingerprint(const configuration& whole); // equal for equal configurations, on every host

// Serialized protobuf messages (proto/configuration.proto). Decoding validates.
std::string                     encode(const configuration& whole);
result<configuration, findings> decode_configuration(std::string_view bytes);
std::string                     encode(const change_record& record);
result<change_record, findings> decode_change_record(std::string_view bytes);

// Conversion to and from the generated classes.
void                            to_wire(const configuration& whole, wire::Configuration& message);
void                            to_wire(const change& what, wire::Change& message);
void                            to_wire(const change_record& record, wire::ChangeRecord& message);
result<configuration, findings> from_wire(const wire::Configuration& message);
result<change, findings>        from_wire(const wire::Change& message);
result<change_record, findings> from_wire(const wire::ChangeRecord& message);

} // namespace tamarack
