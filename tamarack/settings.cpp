// The table of settings keys, and the parser that reads an INI file by this table.
#include "tamarack/settings.h"

#include "tamarack/command.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <ini.h>
#include <sodium.h>
#include <sstream>
#include <sys/stat.h>

namespace tamarack {

namespace {

//----------------------------------------------------------------------------------------------------------------------
// Values
//----------------------------------------------------------------------------------------------------------------------

// Error of a value: std::nullopt when the value was accepted, an empty text when its form or range is wrong, otherwise
// a description of the problem.
using value_error = std::optional<std::string>;

constexpr mode_t access_by_group_or_others = S_IRWXG | S_IRWXO;

value_error malformed_value() {
    return std::string();
}

template <class Number>
value_error read_number(std::string_view text, Number low, Number high, Number& destination) {
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) return malformed_value();
    if (!(value >= low && value <= high)) return malformed_value();
    destination = value;
    return std::nullopt;
}

value_error read_name(std::string_view text, std::string& destination) {
    if (!is_name(text)) return malformed_value();
    destination = text;
    return std::nullopt;
}

value_error read_endpoint(std::string_view text, endpoint& destination) {
    const auto value = endpoint::parse(text);
    if (!value || value->port == 0) return malformed_value();
    destination = *value;
    return std::nullopt;
}

bool is_wildcard(const ip_address& address) {
    return address == ip_address() || address == ip_address::v4(0);
}

bool is_loopback(const ip_address& address) {
    constexpr std::size_t  first_v4_byte = 12;
    constexpr std::uint8_t loopback_network = 127;
    if (address.is_v4()) return address.bytes[first_v4_byte] == loopback_network;
    return address == ip_address::parse("::1");
}

// An address that is announced to peers or operators must not be a wildcard address.
value_error read_own_endpoint(std::string_view text, endpoint& destination) {
    if (auto error = read_endpoint(text, destination)) return error;
    if (is_wildcard(destination.address)) return "peers cannot send to " + destination.to_string();
    return std::nullopt;
}

value_error read_seed(std::string_view text, std::uint64_t& destination) {
    constexpr int decimal = 10;
    constexpr int hexadecimal = 16;
    const bool    hex = text.starts_with("0x");
    if (hex) text.remove_prefix(2);
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), destination, hex ? hexadecimal : decimal);
    if (error != std::errc{} || end != text.data() + text.size()) return malformed_value();
    return std::nullopt;
}

//----------------------------------------------------------------------------------------------------------------------
// Table of keys
//----------------------------------------------------------------------------------------------------------------------

struct parse_context {
    daemon_settings settings;
    std::string     folder; // of the settings file

    std::string path(std::string_view name) const {
        return name.starts_with('/') || folder.empty() ? std::string(name) : folder + "/" + std::string(name);
    }
};

enum class apply_time : std::uint8_t { at_restart, at_reload }; // when a changed value takes effect

struct key_row {
    std::string                                                       section;
    std::string                                                       key;
    std::optional<std::string>                                        default_value; // none: required
    std::string                                                       accepted;
    apply_time                                                        takes_effect = apply_time::at_restart;
    std::string                                                       meaning;
    std::function<value_error(std::string_view text, parse_context&)> read;
    bool is_list = false; // may be continued on indented lines
};

// The part of a row that does not depend on the type of the value.
struct key_properties {
    const char* section;
    const char* key;
    const char* default_value; // nullptr: required
    apply_time  takes_effect;
    const char* meaning;
};

template <class Read>
key_row make_row(const key_properties& properties, std::string accepted, Read read) {
    auto default_value =
        properties.default_value == nullptr ? std::nullopt : std::optional<std::string>(properties.default_value);
    return {properties.section,      properties.key,     std::move(default_value), std::move(accepted),
            properties.takes_effect, properties.meaning, std::move(read)};
}

std::string range(auto low, auto high) {
    std::ostringstream text;
    text << low << " to " << high;
    return text.str();
}

// Field is a function that returns a reference to the value in the settings.
template <class Number, class Field>
key_row number_row(const key_properties& properties, Number low, Number high, Field field) {
    return make_row(properties, range(low, high), [=](std::string_view text, parse_context& context) {
        return read_number<Number>(text, low, high, field(context.settings));
    });
}

template <class Unit, class Field>
key_row duration_row(const key_properties& properties, std::int64_t low, std::int64_t high, Field field) {
    return make_row(properties, range(low, high), [=](std::string_view text, parse_context& context) {
        std::int64_t count = 0;
        auto         error = read_number(text, low, high, count);
        if (!error) field(context.settings) = Unit(count);
        return error;
    });
}

template <class Field>
key_row name_row(const key_properties& properties, Field field) {
    return make_row(
        properties, "1 to 63 letters, digits, '.', '_', '-', the first a letter or digit",
        [=](std::string_view text, parse_context& context) { return read_name(text, field(context.settings)); });
}

// Addresses of this balancer that are announced to peers or operators.
template <class Field>
key_row own_address_row(const key_properties& properties, Field field) {
    return make_row(properties, "ADDRESS:PORT, IPv6 addresses in brackets, not 0.0.0.0 or [::]",
                    [=](std::string_view text, parse_context& context) {
                        return read_own_endpoint(text, field(context.settings));
                    });
}

// TLS files are parsed when the administration interface starts; the settings only check that they are readable.
value_error read_readable_file(std::string_view text, const parse_context& context, std::string& name) {
    name = context.path(text);
    struct stat status {};
    const bool  regular = ::stat(name.c_str(), &status) == 0 && S_ISREG(status.st_mode);
    if (!regular || !std::ifstream(name).good()) return "cannot read '" + name + "'";
    return std::nullopt;
}

value_error check_private(const std::string& name) {
    struct stat status {};
    if (::stat(name.c_str(), &status) != 0) return "cannot read '" + name + "'";
    if ((status.st_mode & access_by_group_or_others) != 0)
        return "'" + name + "' can be accessed by its group or by others";
    return std::nullopt;
}

value_error read_private_file(std::string_view text, const parse_context& context, std::string& name) {
    if (auto error = read_readable_file(text, context, name)) return error;
    return check_private(name);
}

template <class Field>
key_row file_row(const key_properties& properties, Field field) {
    return make_row(properties, "name of a PEM file", [=](std::string_view text, parse_context& context) {
        return read_readable_file(text, context, field(context.settings));
    });
}

// Appends to the list: the value may be continued on further lines, each of which gives a call.
value_error read_endpoints(std::string_view text, std::vector<endpoint>& list) {
    std::istringstream words(std::string(text.begin(), text.end()));
    std::string        word;
    while (words >> word) {
        if (word.ends_with(',')) word.pop_back();
        endpoint address;
        if (read_own_endpoint(word, address)) return "'" + word + "' is not an address and port";
        list.push_back(address);
    }
    return std::nullopt;
}

value_error read_peers(std::string_view text, parse_context& context) {
    return read_endpoints(text, context.settings.node.peers);
}

value_error read_platform(std::string_view text, parse_context& context) {
    context.settings.node.use_store = text != "none";
    if (text == "none") return std::nullopt;
    if (text.empty()) return malformed_value();
    return read_endpoints(text, context.settings.platform);
}

value_error read_key_file(std::string_view text, const parse_context& context, control_key& key) {
    auto read = read_control_key(context.path(text));
    if (!read) return read.error();
    key = read.value();
    return std::nullopt;
}

value_error read_signing(std::string_view text, parse_context& context) {
    return read_key_file(text, context, context.settings.node.keys.signing);
}

value_error read_also_accepted(std::string_view text, parse_context& context) {
    context.settings.node.keys.also_accepted.reset();
    if (text == "none") return std::nullopt;
    return read_key_file(text, context, context.settings.node.keys.also_accepted.emplace());
}

value_error read_level(std::string_view text, parse_context& context) {
    constexpr std::array<std::string_view, 3> names = {"info", "warning", "error"}; // in order of log_level
    const auto*                               found = std::ranges::find(names, text);
    if (found == names.end()) return malformed_value();
    context.settings.min_log_level = static_cast<log_level>(found - names.begin());
    return std::nullopt;
}

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* required = nullptr;
constexpr const char* list_of_addresses =
    "ADDRESS:PORT, separated by spaces or commas; may be continued on indented lines";

std::vector<key_row> balancer_rows() {
    constexpr auto restart = apply_time::at_restart;
    return {
        number_row<member_id>(
            {"balancer", "member_id", required, restart, "Number of this balancer, unique in its cluster."}, 1,
            UINT32_MAX, [](daemon_settings& settings) -> decltype(auto) { return (settings.node.self.id); }),
        name_row({"balancer", "failure_domain", required, restart,
                  "Failure domain of the host. The two holders of a flow are in different failure domains."},
                 [](daemon_settings& settings) -> decltype(auto) { return (settings.node.self.failure_domain); }),
        make_row(
            {"balancer", "fabric_address", "0.0.0.0:6080", restart,
             "Where the fabric sends callers' packets (GUE over UDP)."},
            "ADDRESS:PORT, IPv6 addresses in brackets",
            [](std::string_view text, parse_context& context) { return read_endpoint(text, context.settings.fabric); }),
        own_address_row({"balancer", "relay_address", required, restart, "Where peers send relay frames (UDP)."},
                        [](daemon_settings& settings) -> decltype(auto) { return (settings.node.self.relay); }),
        own_address_row({"balancer", "control_address", required, restart, "Where peers send control messages (UDP)."},
                        [](daemon_settings& settings) -> decltype(auto) { return (settings.node.self.control); }),
        own_address_row({"balancer", "admin_address", "127.0.0.1:6083", restart,
                         "Where the administration interface listens (gRPC over TCP). Needs the files of [admin] "
                         "unless it is a loopback address."},
                        [](daemon_settings& settings) -> decltype(auto) { return (settings.node.self.admin); }),
        number_row<std::size_t>({"balancer", "traffic_threads", "2", restart,
                                 "Threads that handle packets. Each has a part of the flow table."},
                                1, 64,
                                [](daemon_settings& settings) -> decltype(auto) { return (settings.traffic_threads); }),
        number_row<std::size_t>({"balancer", "receive_buffer_bytes", "4194304", restart,
                                 "Receive buffer of each traffic socket. The host's net.core.rmem_max limits it."},
                                65'536, 268'435'456,
                                [](daemon_settings& settings) -> decltype(auto) { return (settings.receive_buffer); }),
        duration_row<seconds>({"balancer", "stop_grace_seconds", "300", restart,
                               "Longest time that a graceful stop waits until other balancers hold all flows."},
                              0, 3600,
                              [](daemon_settings& settings) -> decltype(auto) { return (settings.node.stop_grace); }),
    };
}

std::vector<key_row> cluster_rows() {
    constexpr auto restart = apply_time::at_restart;
    key_row        peers =
        make_row({"cluster", "peers", "", restart,
                  "Control addresses of balancers to contact first. A few are enough: the others are discovered "
                  "from them."},
                 list_of_addresses, read_peers);
    peers.is_list = true;
    return {
        name_row({"cluster", "name", "default", restart, "Name of the cluster, the same on all of its balancers."},
                 [](daemon_settings& settings) -> decltype(auto) { return (settings.node.cluster); }),
        make_row({"cluster", "hash_seed", required, restart,
                  "Seed of the flow hash, the same on all balancers of the cluster. A random value keeps callers from "
                  "aiming at one balancer."},
                 "0 to 18446744073709551615, or 0x and up to 16 hexadecimal digits",
                 [](std::string_view text, parse_context& context) {
                     return read_seed(text, context.settings.node.hash_seed);
                 }),
        std::move(peers),
    };
}

std::vector<key_row> platform_rows() {
    key_row addresses = make_row({"platform", "addresses", required, apply_time::at_restart,
                                  "The platform's key-value service; the first one that answers is used. With none the "
                                  "configuration comes from peers only and changes are refused."},
                                 std::string(list_of_addresses) + ", or none", read_platform);
    addresses.is_list = true;
    return {
        std::move(addresses),
        file_row({"platform", "authority_file", "", apply_time::at_restart,
                  "Authority that signs the certificate of the service. Without it the service is called in plain "
                  "text."},
                 [](daemon_settings& settings) -> decltype(auto) { return (settings.platform_authority); }),
        duration_row<milliseconds>(
            {"platform", "deadline_milliseconds", "2000", apply_time::at_restart,
             "Deadline of a call of the key-value service."},
            100, 60'000, [](daemon_settings& settings) -> decltype(auto) { return (settings.node.store_deadline); }),
    };
}

std::vector<key_row> key_rows() {
    const std::string accepted = "name of a file with 64 hexadecimal digits, mode 0600 or less";
    return {
        make_row({"keys", "signing_file", required, apply_time::at_reload, "Key that signs messages to peers."},
                 accepted, read_signing),
        make_row({"keys", "also_accepted_file", "none", apply_time::at_reload,
                  "Second key that is accepted from peers while the keys are being replaced."},
                 accepted + ", or none", read_also_accepted),
    };
}

std::vector<key_row> limit_rows() {
    constexpr auto reload = apply_time::at_reload;
    return {
        number_row<std::size_t>(
            {"limits", "max_flows", "1000000", apply_time::at_restart, "Hard cap of the flow table."}, 1'000,
            100'000'000, [](daemon_settings& settings) -> decltype(auto) { return (settings.node.table.max_flows); }),
        number_row<double>(
            {"limits", "max_service_share", "0.5", reload,
             "Share of the flow table that one service may fill when the table is nearly full."},
            0.01, 1.0,
            [](daemon_settings& settings) -> decltype(auto) { return (settings.node.table.max_service_share); }),
        duration_row<seconds>(
            {"limits", "half_open_timeout_seconds", "30", reload,
             "A TCP flow of which only the SYN has been seen expires after this time without packets."},
            1, 3600,
            [](daemon_settings& settings) -> decltype(auto) { return (settings.node.table.half_open_timeout); }),
        duration_row<seconds>(
            {"limits", "idle_timeout_seconds", "7800", reload,
             "An established TCP flow expires after this time without packets. Keep it above "
             "the callers' keep-alive time."},
            60, 604'800,
            [](daemon_settings& settings) -> decltype(auto) { return (settings.node.table.idle_timeout); }),
        duration_row<seconds>(
            {"limits", "udp_idle_timeout_seconds", "120", reload,
             "A UDP flow expires after this time without packets."},
            1, 86'400,
            [](daemon_settings& settings) -> decltype(auto) { return (settings.node.table.udp_idle_timeout); }),
        duration_row<seconds>(
            {"limits", "closing_timeout_seconds", "60", reload,
             "A TCP flow expires after this time without packets once the caller has closed it."},
            1, 3600, [](daemon_settings& settings) -> decltype(auto) { return (settings.node.table.closing_timeout); }),
    };
}

std::vector<key_row> admin_rows() {
    constexpr auto restart = apply_time::at_restart;
    return {
        file_row({"admin", "certificate_file", "", restart, "Certificate of this balancer."},
                 [](daemon_settings& settings) -> decltype(auto) { return (settings.admin_tls.certificate); }),
        make_row({"admin", "key_file", "", restart, "Key of the certificate."}, "name of a PEM file, mode 0600 or less",
                 [](std::string_view text, parse_context& context) {
                     return read_private_file(text, context, context.settings.admin_tls.key);
                 }),
        file_row({"admin", "authority_file", "", restart,
                  "Authority that signs the certificates of operators. The common name of such a certificate is the "
                  "operator's name."},
                 [](daemon_settings& settings) -> decltype(auto) { return (settings.admin_tls.authority); }),
    };
}

const std::vector<key_row>& key_table() {
    static const std::vector<key_row> table = [] {
        std::vector<key_row> all;
        for (auto rows : {balancer_rows(), cluster_rows(), platform_rows(), key_rows(), limit_rows(), admin_rows()})
            all.insert(all.end(), rows.begin(), rows.end());
        all.push_back(make_row({"log", "level", "info", apply_time::at_reload, "Lowest severity that is logged."},
                               "info, warning or error", read_level));
        return all;
    }();
    return table;
}

bool section_exists(std::string_view section) {
    return std::ranges::any_of(key_table(), [&](const key_row& row) { return section == row.section; });
}

const key_row* find_row(std::string_view section, std::string_view key) {
    for (const key_row& row : key_table())
        if (row.section == section && row.key == key) return &row;
    return nullptr;
}

std::string keys_of(std::string_view section) {
    std::string list;
    for (const key_row& row : key_table()) {
        if (section != row.section) continue;
        if (!list.empty()) list += ", ";
        list += row.key;
    }
    return list;
}

std::string all_sections() {
    std::string list;
    for (const key_row& row : key_table()) {
        const std::string name = "[" + row.section + "]";
        if (list.find(name) == std::string::npos) list += list.empty() ? name : ", " + name;
    }
    return list;
}

std::string full_name(std::string_view section, std::string_view key) {
    return "[" + std::string(section) + "] " + std::string(key);
}

//----------------------------------------------------------------------------------------------------------------------
// Reading
//----------------------------------------------------------------------------------------------------------------------

// Feeds lines to inih and handles the keys that it finds. inih reports neither unknown sections nor more than one
// malformed line, and truncates long lines; therefore each line is checked before it is passed to inih.
class settings_parser {
public:
    settings_parser(std::string_view text, const std::string& file_name) : remaining_(text), file_name_(file_name) {
        const auto slash = file_name.rfind('/');
        if (slash != std::string::npos) context_.folder = file_name.substr(0, slash + 1);
        for (const key_row& row : key_table())
            if (row.default_value && !row.default_value->empty()) row.read(*row.default_value, context_);
    }

    result<daemon_settings, findings> run() {
        ::ini_parse_stream(next_line, this, handle_key, this);
        check_previous_line();
        check_required();
        check_combinations();
        if (!problems_.empty()) return std::move(problems_);
        context_.settings.node.partitions = context_.settings.traffic_threads;
        return std::move(context_.settings);
    }

private:
    static char* next_line(char* buffer, int size, void* self) {
        return static_cast<settings_parser*>(self)->read_line(buffer, static_cast<std::size_t>(size));
    }
    static int handle_key(void* self, const char* /*section*/, const char* key, const char* value) {
        static_cast<settings_parser*>(self)->read_key(key, value);
        return 1;
    }

    void report(const std::string& name, std::string message, std::string expected) {
        problems_.push_back({place_in_file(name), std::move(message), std::move(expected)});
    }
    std::string place_in_file(const std::string& name) const {
        return file_name_ + ":" + std::to_string(line_) + (name.empty() ? "" : " " + name);
    }
    std::string place_of_key(const std::string& name) const {
        const auto found = key_lines_.find(name);
        return file_name_ + (found == key_lines_.end() ? "" : ":" + std::to_string(found->second)) + " " + name;
    }

    char* read_line(char* buffer, std::size_t size) {
        check_previous_line();
        if (remaining_.empty()) return nullptr;
        std::string_view line = remaining_.substr(0, remaining_.find('\n'));
        remaining_.remove_prefix(std::min(line.size() + 1, remaining_.size()));
        ++line_;
        if (line.ends_with('\r')) line.remove_suffix(1);
        if (!check_line(line, size)) line = "";
        std::ranges::copy(line, buffer);
        buffer[line.size()] = '\0';
        return buffer;
    }

    // Returns false when the line must not be passed to inih.
    bool check_line(std::string_view line, std::size_t size) {
        line_is_indented_ = line.starts_with(' ') || line.starts_with('\t');
        const auto is_control = [](char letter) { return letter >= 0 && letter < ' ' && letter != '\t'; };
        if (std::ranges::any_of(line, is_control)) {
            report("", "the line contains a control character", "text");
            return false;
        }
        if (line.size() + 1 >= size) {
            report("", "the line is too long",
                   "at most " + std::to_string(size - 2) + " bytes; lists may be continued on indented lines");
            return false;
        }
        if (line_ == 1 && line.starts_with("\xEF\xBB\xBF")) line.remove_prefix(3);
        const auto start = line.find_first_not_of(" \t");
        if (start == std::string_view::npos || line[start] == ';' || line[start] == '#') return true;
        if (line[start] == '[') return check_section(line.substr(start + 1));
        expects_key_ = true;
        return true;
    }

    bool check_section(std::string_view rest) {
        last_key_.clear();
        section_ = rest.substr(0, rest.find(']'));
        const bool closed = section_.size() < rest.size();
        section_is_known_ = closed && section_exists(section_);
        const char* problem_text = closed ? "unknown section" : "the line lacks ']'";
        if (!section_is_known_) report("[" + section_ + "]", problem_text, all_sections());
        return true;
    }

    // Reports the previous line if inih could not parse it, in which case read_key was not called for it.
    void check_previous_line() {
        if (expects_key_) report("", "not a setting", "[section], KEY = VALUE, or ; and a comment");
        expects_key_ = false;
    }

    void read_key(const char* key, const char* value) {
        expects_key_ = false;
        if (section_.empty()) return report(key, "the key stands before the first section", all_sections());
        if (!section_is_known_) return;
        const std::string name = full_name(section_, key);
        const key_row*    row = find_row(section_, key);
        if (row == nullptr) return report(name, "unknown key", keys_of(section_));
        const bool continued = line_is_indented_ && last_key_ == name;
        last_key_ = name;
        if (continued && !row->is_list) {
            return report(name, "an indented line continues the value of the key before it",
                          "keys at the start of the line");
        }
        if (!continued && !key_lines_.emplace(name, line_).second) {
            return report(name, "the key is already set in line " + std::to_string(key_lines_[name]),
                          "one line for each key");
        }
        apply_value(*row, name, continued ? without_comment(value) : value);
    }

    // inih 55 does not remove comments from continued lines.
    static std::string_view without_comment(std::string_view value) {
        const auto comment = std::min(value.find(" ;"), value.find("\t;"));
        return value.starts_with(';') ? "" : value.substr(0, comment);
    }

    void apply_value(const key_row& row, const std::string& name, std::string_view value) {
        std::string& text = context_.settings.raw_values[name];
        text += (text.empty() ? "" : " ") + std::string(value);
        if (auto error = row.read(value, context_))
            report(name, error->empty() ? "'" + std::string(value) + "' is not accepted" : *error, row.accepted);
    }

    void check_required() {
        for (const key_row& row : key_table()) {
            const std::string name = full_name(row.section, row.key);
            if (!row.default_value && !key_lines_.contains(name))
                problems_.push_back({file_name_ + " " + name, "the key is missing", row.accepted});
        }
    }

    void check_combinations() {
        const daemon_settings& read = context_.settings;
        check_ports("[balancer] relay_address", read.node.self.relay, read.fabric);
        check_ports("[balancer] control_address", read.node.self.control, read.fabric);
        check_ports("[balancer] control_address", read.node.self.control, read.node.self.relay);
        if (read.admin_tls.complete()) return;
        const std::string message =
            read.admin_tls.empty() ? "an interface that is not on loopback needs TLS" : "TLS needs all three files";
        if (read.admin_tls.empty() && is_loopback(read.node.self.admin.address)) return;
        problems_.push_back({place_of_key("[balancer] admin_address"), message,
                             "certificate_file, key_file and authority_file in [admin]"});
    }

    void check_ports(const std::string& name, const endpoint& checked, const endpoint& other) {
        if (checked.port == 0 || checked.port != other.port) return; // port 0: the key was missing or invalid
        if (checked.address == other.address || is_wildcard(other.address))
            problems_.push_back({place_of_key(name), other.to_string() + " is used twice", "a different UDP port"});
    }

    std::string_view           remaining_;
    std::string                file_name_;
    parse_context              context_;
    findings                   problems_;
    int                        line_ = 0;
    bool                       line_is_indented_ = false;
    bool                       expects_key_ = false; // the current line must result in a call of read_key
    std::string                section_;
    bool                       section_is_known_ = false;
    std::string                last_key_;
    std::map<std::string, int> key_lines_; // line number of each key that is set
};

} // namespace

result<control_key, std::string> read_control_key(const std::string& file_name) {
    if (auto error = check_private(file_name)) return *error;
    std::ifstream file(file_name);
    std::string   digits;
    file >> digits;
    std::string excess;
    file >> excess;
    control_key key{};
    std::size_t size = 0;
    const char* end = nullptr;
    const int   failed = ::sodium_hex2bin(reinterpret_cast<unsigned char*>(key.data()), key.size(), digits.data(),
                                          digits.size(), nullptr, &size, &end);
    const bool  is_key = failed == 0 && size == key.size() && digits.size() == 2 * key.size() && excess.empty();
    ::sodium_memzero(digits.data(), digits.size());
    if (!is_key) return "'" + file_name + "' does not hold a key";
    return key;
}

result<daemon_settings, findings> read_settings(std::string_view text, const std::string& file_name) {
    return settings_parser(text, file_name).run();
}

result<std::string, findings> read_settings_text(const std::string& file_name) {
    std::ifstream      file(file_name);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file.good() || text.fail()) return findings{{file_name, "the file cannot be read or is empty", "an INI file"}};
    return text.str();
}

result<daemon_settings, findings> read_settings_file(const std::string& file_name) {
    const auto text = read_settings_text(file_name);
    if (!text) return text.error();
    return read_settings(text.value(), file_name);
}

settings_difference compare(const daemon_settings& current, const daemon_settings& reloaded) {
    const auto text_of = [](const daemon_settings& settings, const key_row& row) {
        const auto found = settings.raw_values.find(full_name(row.section, row.key));
        return found == settings.raw_values.end() ? row.default_value.value_or("") : found->second;
    };
    settings_difference difference;
    for (const key_row& row : key_table()) {
        if (text_of(current, row) == text_of(reloaded, row)) continue;
        auto& names = row.takes_effect == apply_time::at_reload ? difference.in_force : difference.needs_restart;
        names.push_back(full_name(row.section, row.key));
    }
    const control_keys& before = current.node.keys;
    const control_keys& after = reloaded.node.keys;
    if (before.signing != after.signing || before.also_accepted != after.also_accepted)
        difference.in_force.emplace_back("[keys] (contents of the files)");
    return difference;
}

daemon_settings apply_reloadable(const daemon_settings& current, const daemon_settings& reloaded) {
    daemon_settings merged = current;
    merged.node.keys = reloaded.node.keys;
    merged.node.table = reloaded.node.table;
    merged.node.table.max_flows = current.node.table.max_flows;
    merged.min_log_level = reloaded.min_log_level;
    for (const key_row& row : key_table()) {
        if (row.takes_effect != apply_time::at_reload) continue;
        const std::string name = full_name(row.section, row.key);
        merged.raw_values.erase(name);
        if (const auto found = reloaded.raw_values.find(name); found != reloaded.raw_values.end())
            merged.raw_values.insert(*found);
    }
    return merged;
}

std::string settings_reference() {
    std::string text =
        "# Settings of tamarackd\n\n"
        "<!-- Written by `tamarackd --reference=settings`; a test compares it with the table of keys. -->\n\n"
        "The file named by `--config` is an INI file. Lines that start with `;` or `#` are comments, and so is the "
        "rest of a line after a space\nand `;`. Names of files are relative to the folder of the settings file. "
        "`tamarackd --check` reports all problems of a file at once.\nOn SIGHUP the file is read again; keys that "
        "take effect at restart keep their value until then.\n";
    std::string_view section;
    for (const key_row& row : key_table()) {
        if (section != row.section) {
            section = row.section;
            text += "\n## [" + std::string(section) +
                    "]\n\n| Key | Default | Accepted | A change takes effect | Meaning |\n|---|---|---|---|---|\n";
        }
        const std::string default_value = !row.default_value           ? "required"
                                          : row.default_value->empty() ? "empty"
                                                                       : "`" + *row.default_value + "`";
        text += "| `" + row.key + "` | " + default_value + " | " + row.accepted + " | " +
                (row.takes_effect == apply_time::at_reload ? "at SIGHUP" : "at restart") + " | " + row.meaning + " |\n";
    }
    return text;
}

} // namespace tamarack
