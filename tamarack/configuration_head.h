// The head: the configuration with its recent changes, as the platform's store holds it under one key.
//
//   head + request -> append -> head
//   revision   1 ... 128 | 129 ... 256 | 257 ... 300
//              archived    <------- recent -------->
//
// The recent changes begin at a multiple of the audit block size, so that the head of a revision has the same bytes on
// every host and each change belongs to exactly one audit block. Everything here is a pure function.
#pragma once

#include "tamarack/configuration.h"

namespace tamarack {

inline constexpr std::size_t audit_block_size = 128;
inline constexpr std::size_t max_recent = 2 * audit_block_size; // when one more comes, the oldest block is archived
inline constexpr std::size_t max_value_size = 1'000'000;        // bytes that the platform takes for a value

struct head {
    configuration              now;
    std::vector<change_record> recent; // oldest first, without gaps, from first_recent(revision) to now.revision

    revision_number revision() const { return now.revision; }
    friend bool     operator==(const head&, const head&) = default;
};

std::string head_key(std::string_view cluster);
std::string audit_key(std::string_view cluster, revision_number first);

revision_number        first_recent(revision_number newest); // revision of the oldest recent change; 1 for 0
revision_number        block_of(revision_number revision);   // first revision of its audit block
std::string            encode(const head& whole);
std::string            encode_audit(std::span<const change_record> records);
std::string            pack(const head& whole); // encoded and compressed, for peers
result<head, findings> decode_head(std::string_view bytes);
result<std::vector<change_record>, findings> decode_audit(std::string_view bytes);
result<head, findings>                       unpack(std::string_view bytes);

// The head after a new change, which is valid for the base.
result<head, findings> append(const head& base, const change_request& request, wall_time accepted);

// The head after committed changes; checks the fingerprint of the last one.
result<head, findings> append(const head& base, std::span<const change_record> records);

// Null when there is none.
const change_record* find_operation(const head& whole, std::string_view operation_id);
const change_record* find_revision(const head& whole, revision_number revision);
const change_record* last_change_of(const head& whole, std::string_view service_name);

// Two histories differ when a restored store has taken changes of its own. Gives the changes of one head that the other
// lacks; empty when one history continues the other, or when they have no recent revision in common.
std::vector<change_record> changes_missing_from(const head& other, const head& one);

// Changes that leave the store when the next head replaces the stored one, by audit block.
std::map<revision_number, std::vector<change_record>> leaving_changes(const head& stored, const head& next);

// Both lists as one, in order of revision, each operation once.
std::vector<change_record> merge_records(std::span<const change_record> first, std::span<const change_record> second);

} // namespace tamarack
