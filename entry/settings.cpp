// Table of the keys, and the reading of an INI file by it.
#include "entry/settings.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <functional>
#include <ini.h>
#include <set>
#include <sstream>

namespace tamarack::entry {

namespace {

constexpr std::size_t max_file_size = 65'536; // bytes

enum class when : std::uint8_t { at_restart, at_once }; // a changed value takes effect

struct key_row {
    const char*                                      section;
    const char*                                      key;
    bool                                             required;
    const char*                                      accepted;
    const char*                                      meaning;
    when                                             takes_effect;
    std::function<bool(std::string_view, settings&)> read; // false: the text has not the accepted form
};

bool read_text(std::string_view text, std::string& into) {
    into = text;
    return !text.empty();
}

bool read_endpoint(std::string_view text, endpoint& into) {
    const auto value = endpoint::parse(text);
    if (!value || value->port == 0) return false;
    into = *value;
    return true;
}

// Only programs on the host reach it, so that nothing has to be proved.
bool read_loopback(std::string_view text, endpoint& into) {
    constexpr std::uint8_t loopback_network = 127;
    constexpr std::size_t  first_v4_byte = 12;
    if (!read_endpoint(text, into)) return false;
    return into.address.is_v4() && into.address.bytes.at(first_v4_byte) == loopback_network;
}

bool read_endpoints(std::string_view text, std::vector<endpoint>& into) {
    into.clear();
    while (!text.empty()) {
        const std::size_t comma = std::min(text.find(','), text.size());
        endpoint          each;
        if (!read_endpoint(text.substr(0, comma), each)) return false;
        into.push_back(each);
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return true;
}

template <class Number>
bool read_number(std::string_view text, Number low, Number high, Number& into) {
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || value < low || value > high) return false;
    into = value;
    return true;
}

bool read_seconds(std::string_view text, double low, double high, duration& into) {
    double seconds = 0;
    if (!read_number(text, low, high, seconds)) return false;
    into = std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
    return true;
}

const std::vector<key_row>& rows() {
    static const std::vector<key_row> table = {
        {"balancer", "name", true, "a text", "Name of this balancer, unique among the balancers.", when::at_restart,
         [](std::string_view text, settings& to) { return read_text(text, to.name); }},
        {"balancer", "failure_domain", true, "a text", "Failure domain of the host; its backend servers are preferred.",
         when::at_restart, [](std::string_view text, settings& to) { return read_text(text, to.failure_domain); }},
        {"balancer", "packets_address", true, "ADDRESS:PORT",
         "Where the fabric sends callers' packets (UDP). Callers receive resets at the same port number.",
         when::at_restart, [](std::string_view text, settings& to) { return read_endpoint(text, to.packets); }},
        {"balancer", "readiness_address", true, "ADDRESS:PORT", "Where the fabric asks for readiness (HTTP).",
         when::at_restart, [](std::string_view text, settings& to) { return read_endpoint(text, to.readiness); }},
        {"balancer", "metrics_address", false, "ADDRESS:PORT", "Where metrics are served (HTTP); without it nowhere.",
         when::at_restart,
         [](std::string_view text, settings& to) { return read_endpoint(text, to.metrics.emplace()); }},
        {"balancer", "status_address", false, "ADDRESS:PORT with a loopback address",
         "Where an operator on this host may look into the balancer (HTTP, tamarackctl --entry); without it nowhere.",
         when::at_restart,
         [](std::string_view text, settings& to) { return read_loopback(text, to.status.emplace()); }},
        {"peers", "address", true, "ADDRESS:PORT",
         "Where other balancers read what this one knows of the store (HTTP). The port is the same on all balancers.",
         when::at_restart, [](std::string_view text, settings& to) { return read_endpoint(text, to.peer_address); }},
        {"peers", "contacts", false, "ADDRESS:PORT, separated by commas",
         "Hosts of other balancers to ask when the store does not answer at the start; only their addresses count.",
         when::at_restart, [](std::string_view text, settings& to) { return read_endpoints(text, to.contacts); }},
        {"store", "address", true, "ADDRESS:PORT", "The platform's key-value store.", when::at_restart,
         [](std::string_view text, settings& to) { return read_endpoint(text, to.store); }},
        {"stop", "grace_seconds", false, "0.5 to 3600",
         "A graceful stop ends before this time, since the host then ends the process. Default 6.", when::at_once,
         [](std::string_view text, settings& to) { return read_seconds(text, 0.5, 3600.0, to.stop_grace); }},
        {"limits", "processor_share", false, "0.01 to 1024",
         "Cores that the process may use. Weak hosts leave reading the store for others to strong ones. Default 1.",
         when::at_restart,
         [](std::string_view text, settings& to) { return read_number(text, 0.01, 1'024.0, to.processor_share); }},
        {"limits", "link_mbps", false, "0.1 to 1000000", "Speed of the host's link in Mbit/s. Default 1000.",
         when::at_restart,
         [](std::string_view text, settings& to) { return read_number(text, 0.1, 1'000'000.0, to.link_mbps); }},
        {"limits", "memory_mb", false, "16 to 1048576", "Memory that the process may use. Default 64.",
         when::at_restart,
         [](std::string_view text, settings& to) {
             return read_number<std::size_t>(text, 16, 1'048'576, to.memory_mb);
         }},
    };
    return table;
}

struct reading {
    std::string           file_name;
    settings              values;
    findings              problems;
    std::set<std::string> seen; // "[section] key"
};

std::string place_of(const std::string& file_name, const std::string& section, const std::string& key) {
    return file_name + " [" + section + "] " + key;
}

int take_key(void* context, const char* section, const char* key, const char* value) {
    auto&       state = *static_cast<reading*>(context);
    const auto& table = rows();
    const auto  row = std::ranges::find_if(table, [&](const key_row& each) {
        return std::string_view(each.section) == section && std::string_view(each.key) == key;
    });
    if (row == table.end()) {
        state.problems.push_back({place_of(state.file_name, section, key), "the key is not known", ""});
        return 1;
    }
    const std::string id = std::string("[") + section + "] " + key;
    if (!state.seen.insert(id).second) {
        state.problems.push_back({place_of(state.file_name, section, key), "the key is set twice", ""});
        return 1;
    }
    state.values.texts[id] = value;
    const bool left_out = !row->required && *value == '\0';
    if (!left_out && !row->read(value, state.values)) {
        state.problems.push_back(
            {place_of(state.file_name, section, key), "'" + std::string(value) + "' is not accepted", row->accepted});
    }
    return 1;
}

} // namespace

result<settings, findings> read_settings(std::string_view text, const std::string& file_name) {
    reading           state{.file_name = file_name, .values = {}, .problems = {}, .seen = {}};
    const std::string terminated(text);
    const int         wrong_line = ini_parse_string(terminated.c_str(), take_key, &state);
    if (wrong_line != 0) {
        state.problems.push_back({file_name + ":" + std::to_string(wrong_line), "the line is not in INI form",
                                  "[section], key = value, or a comment"});
    }
    for (const key_row& row : rows()) {
        if (!row.required || state.seen.contains(std::string("[") + row.section + "] " + row.key)) continue;
        state.problems.push_back({place_of(file_name, row.section, row.key), "the key is missing", row.accepted});
    }
    if (!state.problems.empty()) return std::move(state.problems);
    return std::move(state.values);
}

std::filesystem::file_time_type last_change(const std::string& file_name) {
    std::error_code error;
    const auto      changed = std::filesystem::last_write_time(file_name, error);
    return error ? std::filesystem::file_time_type{} : changed;
}

result<settings, findings> read_settings_file(const std::string& file_name) {
    const auto    written = last_change(file_name);
    std::ifstream file(file_name, std::ios::binary);
    if (!file) return findings{{file_name, "the file cannot be opened", ""}};
    std::ostringstream text;
    text << file.rdbuf();
    if (text.view().size() > max_file_size) return findings{{file_name, "the file is too long", "at most 65536 bytes"}};
    auto values = read_settings(text.view(), file_name);
    if (values) values.value().written = written;
    return values;
}

settings_difference compare(const settings& present, const settings& next) {
    settings_difference difference;
    for (const key_row& row : rows()) {
        const std::string id = std::string("[") + row.section + "] " + row.key;
        const auto        before = present.texts.find(id);
        const auto        after = next.texts.find(id);
        const auto        text_of = [](const auto& found, const auto& texts) {
            return found == texts.end() ? std::string() : found->second;
        };
        if (text_of(before, present.texts) == text_of(after, next.texts)) continue;
        (row.takes_effect == when::at_once ? difference.in_force : difference.needs_restart).push_back(id);
    }
    return difference;
}

std::string settings_reference() {
    std::string text =
        "# Settings of tamarack-entry\n\n"
        "<!-- Written by `tamarack-entry --reference=settings`; a test compares it with the table of keys. -->\n\n"
        "An INI file. SIGHUP reads it again, and so does a change of the file.\n\n"
        "| Section | Key | Required | Accepted | Change takes effect | Meaning |\n|---|---|---|---|---|---|\n";
    for (const key_row& row : rows()) {
        text += std::string("| ") + row.section + " | " + row.key + " | " + (row.required ? "yes" : "no") + " | " +
                row.accepted + " | " + (row.takes_effect == when::at_once ? "at once" : "at a restart") + " | " +
                row.meaning + " |\n";
    }
    return text;
}

} // namespace tamarack::entry
