// Table of the settings, and the parsing of an INI file according to it.
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

// When a changed value takes effect.
enum class change_effect : std::uint8_t { after_restart, immediate };

struct setting_row {
    const char*                                      section;
    const char*                                      key;
    bool                                             is_required;
    const char*                                      accepted_values;
    const char*                                      description;
    change_effect                                    effect;
    std::function<bool(std::string_view, settings&)> parse; // stores the value; false: the text is not accepted
};

bool parse_text(std::string_view text, std::string& output) {
    output = text;
    return !text.empty();
}

bool parse_endpoint(std::string_view text, endpoint& output) {
    const auto value = endpoint::parse(text);
    if (!value || value->port == 0) return false;
    output = *value;
    return true;
}

// A loopback address is only reachable from programs on the same host, so that callers need no authentication.
bool parse_loopback_endpoint(std::string_view text, endpoint& output) {
    constexpr std::uint8_t loopback_network = 127;
    constexpr std::size_t  first_v4_byte = 12;
    if (!parse_endpoint(text, output)) return false;
    return output.address.is_v4() && output.address.bytes.at(first_v4_byte) == loopback_network;
}

std::string_view trim(std::string_view text) {
    constexpr std::string_view blanks = " \t";
    const std::size_t          first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) return {};
    return text.substr(first, text.find_last_not_of(blanks) + 1 - first);
}

// The ports may be 0: they are not used.
bool parse_contacts(std::string_view text, std::vector<endpoint>& output) {
    output.clear();
    while (!text.empty()) {
        const std::size_t comma = std::min(text.find(','), text.size());
        const auto        contact = endpoint::parse(trim(text.substr(0, comma)));
        if (!contact) return false;
        output.push_back(*contact);
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return true;
}

// Pairs DOMAIN:REGION, separated by commas.
bool parse_regions(std::string_view text, std::map<std::string, std::string, std::less<>>& output) {
    output.clear();
    while (!text.empty()) {
        const std::size_t      comma = std::min(text.find(','), text.size());
        const std::string_view pair = trim(text.substr(0, comma));
        const std::size_t      colon = pair.find(':');
        if (colon == std::string_view::npos || colon == 0 || colon + 1 == pair.size()) return false;
        output[std::string(pair.substr(0, colon))] = pair.substr(colon + 1);
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return true;
}

template <class Number>
bool parse_number(std::string_view text, Number low, Number high, Number& output) {
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || value < low || value > high) return false;
    output = value;
    return true;
}

bool parse_seconds(std::string_view text, double low, double high, duration& output) {
    double seconds = 0;
    if (!parse_number(text, low, high, seconds)) return false;
    output = std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
    return true;
}

bool parse_bool(std::string_view text, bool& output) {
    output = text == "true";
    return text == "true" || text == "false";
}

bool parse_milliseconds(std::string_view text, double low, double high, duration& output) {
    constexpr double milliseconds_per_second = 1'000.0;
    double           milliseconds = 0;
    if (!parse_number(text, low, high, milliseconds)) return false;
    output =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(milliseconds / milliseconds_per_second));
    return true;
}

const std::vector<setting_row>& setting_table() {
    static const std::vector<setting_row> table = {
        {"balancer", "name", true, "non-empty text", "Name of this balancer, unique among the balancers.",
         change_effect::after_restart,
         [](std::string_view text, settings& values) { return parse_text(text, values.name); }},
        {"balancer", "failure_domain", true, "non-empty text",
         "Failure domain of the host; its backend servers are preferred.", change_effect::after_restart,
         [](std::string_view text, settings& values) { return parse_text(text, values.failure_domain); }},
        {"balancer", "regions", false, "DOMAIN:REGION, separated by commas",
         "Region of each failure domain, for routes that are restricted to regions.", change_effect::after_restart,
         [](std::string_view text, settings& values) { return parse_regions(text, values.regions); }},
        {"balancer", "first_start", false, "true or false",
         "The whole system starts for the first time: hosts with little capacity wait for others to read the store. "
         "Default false.",
         change_effect::after_restart,
         [](std::string_view text, settings& values) { return parse_bool(text, values.is_first_start); }},
        {"balancer", "packets_address", true, "ADDRESS:PORT",
         "Receives callers' packets from the fabric (UDP). Resets are sent to the same port number at the caller's "
         "address.",
         change_effect::after_restart,
         [](std::string_view text, settings& values) { return parse_endpoint(text, values.packets_address); }},
        {"balancer", "readiness_address", true, "ADDRESS:PORT", "Answers the fabric's readiness checks (HTTP).",
         change_effect::after_restart,
         [](std::string_view text, settings& values) { return parse_endpoint(text, values.readiness_address); }},
        {"balancer", "metrics_address", false, "ADDRESS:PORT",
         "Serves metrics (HTTP). If not set, metrics are not served.", change_effect::after_restart,
         [](std::string_view text, settings& values) {
             return parse_endpoint(text, values.metrics_address.emplace());
         }},
        {"balancer", "status_address", false, "ADDRESS:PORT with a loopback address",
         "Serves the status pages to operators on this host (HTTP, tamarackctl --entry). If not set, they are not "
         "served.",
         change_effect::after_restart,
         [](std::string_view text, settings& values) {
             return parse_loopback_endpoint(text, values.status_address.emplace());
         }},
        {"peers", "address", true, "ADDRESS:PORT",
         "Serves this balancer's replica of the store to other balancers (HTTP). The port is the same on all "
         "balancers.",
         change_effect::after_restart,
         [](std::string_view text, settings& values) { return parse_endpoint(text, values.peer_address); }},
        {"peers", "contacts", false, "ADDRESS:PORT, separated by commas",
         "Hosts of other balancers to ask if the store does not answer at the start; their ports are ignored.",
         change_effect::after_restart,
         [](std::string_view text, settings& values) { return parse_contacts(text, values.contacts); }},
        {"store", "address", true, "ADDRESS:PORT", "Address of the platform's key-value store.",
         change_effect::after_restart,
         [](std::string_view text, settings& values) { return parse_endpoint(text, values.store_address); }},
        {"stop", "grace_seconds", false, "0.5 to 3600",
         "Time after which the host kills a stopping process; a graceful stop ends before it. Default 6.",
         change_effect::immediate,
         [](std::string_view text, settings& values) { return parse_seconds(text, 0.5, 3600.0, values.stop_grace); }},
        {"limits", "processor_share", false, "0.01 to 1024",
         "Cores that the process may use. Hosts with few cores leave reading the store for other balancers to stronger "
         "hosts. Default 1.",
         change_effect::after_restart,
         [](std::string_view text, settings& values) {
             return parse_number(text, 0.01, 1'024.0, values.processor_share);
         }},
        {"limits", "link_mbps", false, "0.1 to 1000000", "Speed of the host's link in Mbit/s. Default 1000.",
         change_effect::after_restart,
         [](std::string_view text, settings& values) {
             return parse_number(text, 0.1, 1'000'000.0, values.link_mbps);
         }},
        {"limits", "change_deadline_ms", false, "100 to 600000",
         "Time within which a change in the store must be in force on every host. Below 4000 the fleet counts as "
         "small. A value below 3000 counts as 3000. Default 3000.",
         change_effect::after_restart,
         [](std::string_view text, settings& values) {
             return parse_milliseconds(text, 100, 600'000, values.change_deadline);
         }},
        {"limits", "warmup_overrun", false, "1 to 100",
         "Factor by which all balancers together may exceed the rate of new flows that a service states for the "
         "warm-up of its backend servers. Default 1.",
         change_effect::after_restart,
         [](std::string_view text, settings& values) { return parse_number(text, 1.0, 100.0, values.warmup_overrun); }},
        {"limits", "warmup_slack", false, "0 to 100000",
         "New flows per second that a backend server may get in addition to its rate times warmup_overrun during its "
         "warm-up. Default 0.",
         change_effect::after_restart,
         [](std::string_view text, settings& values) {
             return parse_number(text, 0.0, 100'000.0, values.warmup_slack);
         }},
        {"limits", "memory_mb", false, "16 to 1048576", "Memory that the process may use, in MB. Default 64.",
         change_effect::after_restart,
         [](std::string_view text, settings& values) {
             double megabytes = 0;
             if (!parse_number(text, 16.0, 1'048'576.0, megabytes)) return false;
             values.memory_mb = static_cast<std::size_t>(megabytes);
             return true;
         }},
    };
    return table;
}

struct parse_state {
    std::string           file_name;
    settings              values;
    findings              problems;
    std::set<std::string> keys_seen; // "[section] key"
    bool                  lacks_required_key = false;
};

std::string location_of(const std::string& file_name, const std::string& section, const std::string& key) {
    return file_name + " [" + section + "] " + key;
}

int handle_key(void* context, const char* section, const char* key, const char* value) {
    auto&       state = *static_cast<parse_state*>(context);
    const auto& table = setting_table();
    const auto  row = std::ranges::find_if(table, [&](const setting_row& candidate) {
        return std::string_view(candidate.section) == section && std::string_view(candidate.key) == key;
    });
    if (row == table.end()) {
        state.problems.push_back({location_of(state.file_name, section, key), "unknown key", ""});
        return 1;
    }
    const std::string id = std::string("[") + section + "] " + key;
    if (!state.keys_seen.insert(id).second) {
        state.problems.push_back({location_of(state.file_name, section, key), "the key is set twice", ""});
        return 1;
    }
    state.values.raw_values[id] = value;
    const bool is_omitted = !row->is_required && *value == '\0';
    settings   changed_values = state.values;
    if (is_omitted) return 1;
    if (row->parse(value, changed_values)) {
        state.values = std::move(changed_values);
        return 1;
    }
    state.lacks_required_key = state.lacks_required_key || row->is_required;
    state.problems.push_back({location_of(state.file_name, section, key),
                              "'" + std::string(value) + "' is not accepted", row->accepted_values});
    return 1;
}

parse_state parse_settings(const std::string& text, const std::string& file_name) {
    parse_state state{.file_name = file_name, .values = {}, .problems = {}, .keys_seen = {}};
    const int   invalid_line = ini_parse_string(text.c_str(), handle_key, &state);
    if (invalid_line != 0) {
        state.problems.push_back({file_name + ":" + std::to_string(invalid_line), "the line is not valid INI",
                                  "[section], key = value, or a comment"});
    }
    for (const setting_row& row : setting_table()) {
        if (!row.is_required || state.keys_seen.contains(std::string("[") + row.section + "] " + row.key)) continue;
        state.lacks_required_key = true;
        state.problems.push_back(
            {location_of(file_name, row.section, row.key), "the key is missing", row.accepted_values});
    }
    return state;
}

result<std::string, findings> read_text(const std::string& file_name) {
    // Opening a pipe would wait for its writer, and reading a device might not end.
    std::error_code error;
    const bool      is_regular = std::filesystem::is_regular_file(file_name, error);
    if (!is_regular && std::filesystem::exists(file_name, error))
        return findings{{file_name, "it is not a regular file", ""}};
    std::ifstream file(file_name, std::ios::binary);
    if (!file) return findings{{file_name, "the file cannot be opened", ""}};
    std::ostringstream text;
    text << file.rdbuf();
    if (text.view().size() > max_file_size)
        return findings{{file_name, "the file is too large", "at most 65536 bytes"}};
    return std::move(text).str();
}

} // namespace

result<settings, findings> read_settings(std::string_view text, const std::string& file_name) {
    parse_state state = parse_settings(std::string(text), file_name);
    if (!state.problems.empty()) return std::move(state.problems);
    return std::move(state.values);
}

std::filesystem::file_time_type modification_time(const std::string& file_name) {
    std::error_code error;
    const auto      modified_at = std::filesystem::last_write_time(file_name, error);
    return error ? std::filesystem::file_time_type{} : modified_at;
}

result<settings, findings> read_settings_file(const std::string& file_name) {
    const auto modified_at = modification_time(file_name);
    const auto text = read_text(file_name);
    if (!text) return text.error();
    auto values = read_settings(text.value(), file_name);
    if (values) values.value().modified_at = modified_at;
    return values;
}

start_settings read_start_settings(const std::string& file_name) {
    const auto modified_at = modification_time(file_name);
    auto       text = read_text(file_name);
    if (!text) return {.values = {}, .problems = text.error(), .text = {}};
    parse_state state = parse_settings(text.value(), file_name);
    state.values.modified_at = modified_at;
    start_settings read{.values = {}, .problems = std::move(state.problems), .text = std::move(text).value()};
    if (!state.lacks_required_key) read.values = std::move(state.values);
    return read;
}

settings_difference compare_settings(const settings& current, const settings& next) {
    settings_difference difference;
    for (const setting_row& row : setting_table()) {
        const std::string id = std::string("[") + row.section + "] " + row.key;
        const auto        before = current.raw_values.find(id);
        const auto        after = next.raw_values.find(id);
        const auto        text_of = [](const auto& found, const auto& raw_values) {
            return found == raw_values.end() ? std::string() : found->second;
        };
        if (text_of(before, current.raw_values) == text_of(after, next.raw_values)) continue;
        (row.effect == change_effect::immediate ? difference.immediate_keys : difference.restart_keys).push_back(id);
    }
    return difference;
}

std::string settings_reference() {
    std::string text =
        "# Settings of tamarack-entry\n\n"
        "<!-- Generated by `tamarack-entry --reference=settings`; a test compares it with the settings table. -->\n\n"
        "An INI file. It is read again on SIGHUP and when the file changes.\n\n"
        "| Section | Key | Required | Accepted | Change takes effect | Meaning |\n|---|---|---|---|---|---|\n";
    for (const setting_row& row : setting_table()) {
        text += std::string("| ") + row.section + " | " + row.key + " | " + (row.is_required ? "yes" : "no") + " | " +
                row.accepted_values + " | " +
                (row.effect == change_effect::immediate ? "immediately" : "after a restart") + " | " + row.description +
                " |\n";
    }
    return text;
}

} // namespace tamarack::entry
