// The head: the configuration with its recent changes, stored under one key of the platform's store.
//
//   head + request -> append -> head
//   revision   1 ... 128 | 129 ... 256 | 257 ... 300
//              archived    <------- recent -------->
//
// Changes are archived in whole audit blocks, so the recent changes always start at the first revision of a block. As a
// result the head of a revision has the same bytes on every host, and each change belongs to exactly one audit block.
// All functions are pure.
#pragma once

#include "tamarack/configuration.h"

namespace tamarack {

inline constexpr std::size_t audit_block_size = 128;                    // changes
inline constexpr std::size_t max_recent_changes = 2 * audit_block_size; // the next change archives the oldest block
inline constexpr std::size_t max_value_size = 1'000'000;                // bytes; the platform's limit for a value

struct head {
    configuration              config;
    std::vector<change_record> recent_changes; // oldest first, without gaps, from first_recent_revision(revision())

    revision_number revision() const { return config.revision; }
    friend bool     operator==(const head&, const head&) = default;
};

std::string head_key(std::string_view cluster);
std::string audit_key(std::string_view cluster, revision_number first_revision); // key of the audit block

// Revision of the oldest recent change of a head with this revision; 1 for revision 0.
revision_number first_recent_revision(revision_number head_revision);
// First revision of the audit block that contains the revision.
revision_number audit_block_start(revision_number revision);

// Serialized protobuf messages (proto/configuration.proto). The decoding functions validate the result.
std::string            encode(const head& source);
std::string            encode_audit(std::span<const change_record> records);
std::string            compress(const head& source); // encoded and compressed with zlib, for snapshots sent to peers
result<head, findings> decode_head(std::string_view bytes);
result<std::vector<change_record>, findings> decode_audit(std::string_view bytes);
result<head, findings>                       decompress(std::string_view bytes);

// Returns the head after a new change; findings if the change is not valid for the base.
result<head, findings> append(const head& base, const change_request& request, wall_time accepted);

// Returns the head after committed changes. Checks the fingerprint of the last one.
result<head, findings> append(const head& base, std::span<const change_record> records);

// Return null if there is no such change among the recent ones.
const change_record* find_operation(const head& source, std::string_view operation_id);
const change_record* find_revision(const head& source, revision_number revision);
const change_record* last_change_of(const head& source, std::string_view service_name);

// Compares two histories, which diverge when a store that was restored from a backup has accepted other changes.
// Returns the changes of the source, from the point of divergence on, that the reference lacks. Empty when one history
// continues the other, or when they have no recent revision in common.
std::vector<change_record> changes_missing_from(const head& reference, const head& source);

// Changes that are dropped from the store when the next head replaces the stored one, by first revision of their audit
// block. They must be archived first.
std::map<revision_number, std::vector<change_record>> changes_to_archive(const head& stored, const head& next);

// Merges both lists in order of revision; each operation occurs once.
std::vector<change_record> merge_records(std::span<const change_record> first, std::span<const change_record> second);

} // namespace tamarack
