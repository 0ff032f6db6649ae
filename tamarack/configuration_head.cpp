// Heads and audit blocks: encoding, appending of changes, comparison of histories.
#include "tamarack/configuration_head.h"

#include "configuration.pb.h"

#include <algorithm>
#include <google/protobuf/io/gzip_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <set>

namespace tamarack {

namespace {

constexpr std::size_t max_audit_records = 8 * audit_block_size; // a block of a restored store holds several histories
constexpr int         decompression_buffer_size = 64 * 1024;    // bytes

findings single_finding(std::string place, std::string message, std::string expected = {}) {
    return {{std::move(place), std::move(message), std::move(expected)}};
}

result<std::vector<change_record>, findings>
read_records(const google::protobuf::RepeatedPtrField<wire::ChangeRecord>& messages, std::size_t limit) {
    if (static_cast<std::size_t>(messages.size()) > limit)
        return single_finding("change records", "too many", "at most " + std::to_string(limit));
    std::vector<change_record> records;
    records.reserve(static_cast<std::size_t>(messages.size()));
    for (const auto& message : messages) {
        auto record = from_wire(message);
        if (!record) return record.error();
        records.push_back(std::move(record.value()));
    }
    return records;
}

// Checks the properties that involve several parts of a head: revisions, operation ids, and the last fingerprint.
findings check_history(const head& source) {
    findings              problems;
    const auto&           records = source.recent_changes;
    revision_number       expected = first_recent_revision(source.revision());
    const revision_number expected_size = source.revision() + 1 - expected;
    if (records.size() != expected_size) {
        return single_finding("head", "has " + std::to_string(records.size()) + " recent changes",
                              std::to_string(expected_size));
    }
    std::set<std::string_view> operations;
    for (const auto& record : records) {
        const std::string place = "change " + std::to_string(record.revision);
        if (record.revision != expected++) problems.push_back({place, "is out of order", "revisions without gaps"});
        if (!operations.insert(record.operation_id).second)
            problems.push_back({place, "has the operation id of another change", ""});
    }
    if (!records.empty() && records.back().fingerprint != fingerprint(source.config))
        problems.push_back({"head", "the last change gives another configuration", "equal fingerprints"});
    return problems;
}

void drop_archived_changes(head& target) {
    const revision_number first = first_recent_revision(target.revision());
    std::erase_if(target.recent_changes, [&](const change_record& record) { return record.revision < first; });
}

} // namespace

std::string head_key(std::string_view cluster) {
    return "tamarack/" + std::string(cluster) + "/head";
}

std::string audit_key(std::string_view cluster, revision_number first_revision) {
    return "tamarack/" + std::string(cluster) + "/audit/" + std::to_string(first_revision);
}

revision_number audit_block_start(revision_number revision) {
    return (revision - 1) / audit_block_size * audit_block_size + 1;
}

revision_number first_recent_revision(revision_number head_revision) {
    if (head_revision <= max_recent_changes) return 1;
    return audit_block_start(head_revision) - audit_block_size;
}

std::string encode(const head& source) {
    wire::Head message;
    to_wire(source.config, *message.mutable_configuration());
    for (const auto& record : source.recent_changes)
        to_wire(record, *message.add_recent());
    return message.SerializeAsString();
}

std::string encode_audit(std::span<const change_record> records) {
    wire::AuditBlock message;
    for (const auto& record : records)
        to_wire(record, *message.add_records());
    return message.SerializeAsString();
}

result<head, findings> decode_head(std::string_view bytes) {
    wire::Head message;
    if (bytes.size() > 2 * max_value_size || !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return single_finding("head", "can't be read", "a serialized protobuf message");
    auto config = from_wire(message.configuration());
    if (!config) return config.error();
    auto recent = read_records(message.recent(), max_recent_changes);
    if (!recent) return recent.error();
    head decoded{std::move(config.value()), std::move(recent.value())};
    if (findings problems = check_history(decoded); !problems.empty()) return problems;
    return decoded;
}

result<std::vector<change_record>, findings> decode_audit(std::string_view bytes) {
    wire::AuditBlock message;
    if (bytes.size() > 2 * max_value_size || !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return single_finding("audit block", "can't be read", "a serialized protobuf message");
    return read_records(message.records(), max_audit_records);
}

std::string compress(const head& source) {
    const std::string                               bytes = encode(source);
    std::string                                     compressed;
    google::protobuf::io::StringOutputStream        output(&compressed);
    google::protobuf::io::GzipOutputStream::Options options;
    options.format = google::protobuf::io::GzipOutputStream::ZLIB;
    google::protobuf::io::GzipOutputStream compressor(&output, options);
    google::protobuf::io::CodedOutputStream(&compressor).WriteString(bytes);
    compressor.Close();
    return compressed;
}

result<head, findings> decompress(std::string_view bytes) {
    if (bytes.size() > 2 * max_value_size) return single_finding("snapshot", "is too large");
    google::protobuf::io::ArrayInputStream input(bytes.data(), static_cast<int>(bytes.size()));
    google::protobuf::io::GzipInputStream  decompressor(&input, google::protobuf::io::GzipInputStream::ZLIB,
                                                        decompression_buffer_size);
    std::string                            decompressed;
    const void*                            buffer = nullptr;
    int                                    size = 0;
    while (decompressor.Next(&buffer, &size)) {
        decompressed.append(static_cast<const char*>(buffer), static_cast<std::size_t>(size));
        if (decompressed.size() > 2 * max_value_size) return single_finding("snapshot", "is too large");
    }
    return decode_head(decompressed);
}

result<head, findings> append(const head& base, const change_request& request, wall_time accepted) {
    auto next_config = apply(base.config, request.requested_change, accepted);
    if (!next_config) return next_config.error();
    head next_head{std::move(next_config.value()), base.recent_changes};
    next_head.recent_changes.push_back({request.operation_id, request.operator_name, next_head.config.accepted,
                                        request.base_revision, next_head.revision(), request.requested_change,
                                        fingerprint(next_head.config)});
    drop_archived_changes(next_head);
    return next_head;
}

result<head, findings> append(const head& base, std::span<const change_record> records) {
    head next_head = base;
    for (const auto& record : records) {
        if (find_operation(next_head, record.operation_id) != nullptr) {
            return single_finding("change " + std::to_string(record.revision),
                                  "has the operation id of another change");
        }
        auto next_config = apply(next_head.config, record);
        if (!next_config) return next_config.error();
        next_head.config = std::move(next_config.value());
        next_head.recent_changes.push_back(record);
    }
    if (!records.empty() && records.back().fingerprint != fingerprint(next_head.config))
        return single_finding("revision " + std::to_string(next_head.revision()), "belongs to another history");
    drop_archived_changes(next_head);
    return next_head;
}

const change_record* find_operation(const head& source, std::string_view operation_id) {
    const auto found = std::find_if(source.recent_changes.begin(), source.recent_changes.end(),
                                    [&](const change_record& record) { return record.operation_id == operation_id; });
    return found == source.recent_changes.end() ? nullptr : &*found;
}

const change_record* find_revision(const head& source, revision_number revision) {
    if (source.recent_changes.empty() || revision < source.recent_changes.front().revision ||
        revision > source.recent_changes.back().revision)
        return nullptr;
    return &source.recent_changes[revision - source.recent_changes.front().revision];
}

const change_record* last_change_of(const head& source, std::string_view service_name) {
    const auto found =
        std::find_if(source.recent_changes.rbegin(), source.recent_changes.rend(), [&](const change_record& record) {
            return service_name_of(record.committed_change) == service_name;
        });
    return found == source.recent_changes.rend() ? nullptr : &*found;
}

std::vector<change_record> changes_missing_from(const head& reference, const head& source) {
    const auto diverges = [&](const change_record& record) {
        const change_record* counterpart = find_revision(reference, record.revision);
        return counterpart != nullptr &&
               (counterpart->fingerprint != record.fingerprint || counterpart->operation_id != record.operation_id);
    };
    std::vector<change_record> missing;
    for (auto record = std::find_if(source.recent_changes.begin(), source.recent_changes.end(), diverges);
         record != source.recent_changes.end(); ++record) {
        if (find_operation(reference, record->operation_id) == nullptr) missing.push_back(*record);
    }
    return missing;
}

std::map<revision_number, std::vector<change_record>> changes_to_archive(const head& stored, const head& next) {
    std::map<revision_number, std::vector<change_record>> blocks;
    for (const auto& record : stored.recent_changes) {
        if (record.revision < first_recent_revision(next.revision()))
            blocks[audit_block_start(record.revision)].push_back(record);
    }
    return blocks;
}

std::vector<change_record> merge_records(std::span<const change_record> first, std::span<const change_record> second) {
    std::vector<change_record> all(first.begin(), first.end());
    std::set<std::string>      operation_ids;
    for (const auto& record : first)
        operation_ids.insert(record.operation_id);
    for (const auto& record : second) {
        if (operation_ids.insert(record.operation_id).second) all.push_back(record);
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const change_record& a, const change_record& b) { return a.revision < b.revision; });
    return all;
}

} // namespace tamarack
