// Encoding, growth and comparison of heads; audit blocks.
#include "tamarack/configuration_head.h"

#include "configuration.pb.h"

#include <algorithm>
#include <google/protobuf/io/gzip_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <set>

namespace tamarack {

namespace {

constexpr std::size_t max_audit_records = 8 * audit_block_size; // several histories of a store that was restored
constexpr int         read_piece = 64 * 1024;                   // bytes

findings problem(std::string place, std::string message, std::string expected = {}) {
    return {{std::move(place), std::move(message), std::move(expected)}};
}

result<std::vector<change_record>, findings>
read_records(const google::protobuf::RepeatedPtrField<wire::ChangeRecord>& messages, std::size_t limit) {
    if (static_cast<std::size_t>(messages.size()) > limit)
        return problem("change records", "too many", "at most " + std::to_string(limit));
    std::vector<change_record> records;
    records.reserve(static_cast<std::size_t>(messages.size()));
    for (const auto& message : messages) {
        auto record = from_wire(message);
        if (!record) return record.error();
        records.push_back(std::move(record.value()));
    }
    return records;
}

// The properties of a head that its parts don't show by themselves.
findings check_history(const head& whole) {
    findings              problems;
    const auto&           records = whole.recent;
    revision_number       expected = first_recent(whole.revision());
    const revision_number expected_size = whole.revision() + 1 - expected;
    if (records.size() != expected_size) {
        return problem("head", "has " + std::to_string(records.size()) + " recent changes",
                       std::to_string(expected_size));
    }
    std::set<std::string_view> operations;
    for (const auto& record : records) {
        const std::string place = "change " + std::to_string(record.revision);
        if (record.revision != expected++) problems.push_back({place, "is out of order", "revisions without gaps"});
        if (!operations.insert(record.operation_id).second)
            problems.push_back({place, "has the operation id of another change", ""});
    }
    if (!records.empty() && records.back().fingerprint != fingerprint(whole.now))
        problems.push_back({"head", "the last change gives another configuration", "equal fingerprints"});
    return problems;
}

void drop_archived(head& whole) {
    const revision_number first = first_recent(whole.revision());
    std::erase_if(whole.recent, [&](const change_record& record) { return record.revision < first; });
}

} // namespace

std::string head_key(std::string_view cluster) {
    return "tamarack/" + std::string(cluster) + "/head";
}

std::string audit_key(std::string_view cluster, revision_number first) {
    return "tamarack/" + std::string(cluster) + "/audit/" + std::to_string(first);
}

revision_number block_of(revision_number revision) {
    return (revision - 1) / audit_block_size * audit_block_size + 1;
}

revision_number first_recent(revision_number newest) {
    if (newest <= max_recent) return 1;
    return block_of(newest) - audit_block_size;
}

std::string encode(const head& whole) {
    wire::Head message;
    to_wire(whole.now, *message.mutable_configuration());
    for (const auto& record : whole.recent)
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
        return problem("head", "can't be read", "a serialized protobuf message");
    auto now = from_wire(message.configuration());
    if (!now) return now.error();
    auto recent = read_records(message.recent(), max_recent);
    if (!recent) return recent.error();
    head whole{std::move(now.value()), std::move(recent.value())};
    if (findings problems = check_history(whole); !problems.empty()) return problems;
    return whole;
}

result<std::vector<change_record>, findings> decode_audit(std::string_view bytes) {
    wire::AuditBlock message;
    if (bytes.size() > 2 * max_value_size || !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return problem("audit block", "can't be read", "a serialized protobuf message");
    return read_records(message.records(), max_audit_records);
}

std::string pack(const head& whole) {
    const std::string                               bytes = encode(whole);
    std::string                                     packed;
    google::protobuf::io::StringOutputStream        output(&packed);
    google::protobuf::io::GzipOutputStream::Options options;
    options.format = google::protobuf::io::GzipOutputStream::ZLIB;
    google::protobuf::io::GzipOutputStream compressor(&output, options);
    google::protobuf::io::CodedOutputStream(&compressor).WriteString(bytes);
    compressor.Close();
    return packed;
}

result<head, findings> unpack(std::string_view bytes) {
    if (bytes.size() > 2 * max_value_size) return problem("snapshot", "is too large");
    google::protobuf::io::ArrayInputStream input(bytes.data(), static_cast<int>(bytes.size()));
    google::protobuf::io::GzipInputStream decompressor(&input, google::protobuf::io::GzipInputStream::ZLIB, read_piece);
    std::string                           unpacked;
    const void*                           piece = nullptr;
    int                                   size = 0;
    while (decompressor.Next(&piece, &size)) {
        unpacked.append(static_cast<const char*>(piece), static_cast<std::size_t>(size));
        if (unpacked.size() > 2 * max_value_size) return problem("snapshot", "is too large");
    }
    return decode_head(unpacked);
}

result<head, findings> append(const head& base, const change_request& request, wall_time accepted) {
    auto next = apply(base.now, request.what, accepted);
    if (!next) return next.error();
    head whole{std::move(next.value()), base.recent};
    whole.recent.push_back({request.operation_id, request.operator_name, whole.now.accepted, request.base_revision,
                            whole.revision(), request.what, fingerprint(whole.now)});
    drop_archived(whole);
    return whole;
}

result<head, findings> append(const head& base, std::span<const change_record> records) {
    head whole = base;
    for (const auto& record : records) {
        if (find_operation(whole, record.operation_id) != nullptr)
            return problem("change " + std::to_string(record.revision), "has the operation id of another change");
        auto next = apply(whole.now, record);
        if (!next) return next.error();
        whole.now = std::move(next.value());
        whole.recent.push_back(record);
    }
    if (!records.empty() && records.back().fingerprint != fingerprint(whole.now))
        return problem("revision " + std::to_string(whole.revision()), "belongs to another history");
    drop_archived(whole);
    return whole;
}

const change_record* find_operation(const head& whole, std::string_view operation_id) {
    const auto found = std::find_if(whole.recent.begin(), whole.recent.end(),
                                    [&](const change_record& record) { return record.operation_id == operation_id; });
    return found == whole.recent.end() ? nullptr : &*found;
}

const change_record* find_revision(const head& whole, revision_number revision) {
    if (whole.recent.empty() || revision < whole.recent.front().revision || revision > whole.recent.back().revision)
        return nullptr;
    return &whole.recent[revision - whole.recent.front().revision];
}

const change_record* last_change_of(const head& whole, std::string_view service_name) {
    const auto found = std::find_if(whole.recent.rbegin(), whole.recent.rend(), [&](const change_record& record) {
        return service_of(record.committed_change) == service_name;
    });
    return found == whole.recent.rend() ? nullptr : &*found;
}

std::vector<change_record> changes_missing_from(const head& other, const head& one) {
    const auto differs = [&](const change_record& record) {
        const change_record* theirs = find_revision(other, record.revision);
        return theirs != nullptr &&
               (theirs->fingerprint != record.fingerprint || theirs->operation_id != record.operation_id);
    };
    std::vector<change_record> missing;
    for (auto from = std::find_if(one.recent.begin(), one.recent.end(), differs); from != one.recent.end(); ++from) {
        if (find_operation(other, from->operation_id) == nullptr) missing.push_back(*from);
    }
    return missing;
}

std::map<revision_number, std::vector<change_record>> leaving_changes(const head& stored, const head& next) {
    std::map<revision_number, std::vector<change_record>> blocks;
    for (const auto& record : stored.recent) {
        if (record.revision < first_recent(next.revision())) blocks[block_of(record.revision)].push_back(record);
    }
    return blocks;
}

std::vector<change_record> merge_records(std::span<const change_record> first, std::span<const change_record> second) {
    std::vector<change_record> all(first.begin(), first.end());
    std::set<std::string>      known;
    for (const auto& record : first)
        known.insert(record.operation_id);
    for (const auto& record : second) {
        if (known.insert(record.operation_id).second) all.push_back(record);
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const change_record& a, const change_record& b) { return a.revision < b.revision; });
    return all;
}

} // namespace tamarack
