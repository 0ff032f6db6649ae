// Settings: the table of keys, and the reading of an INI file by it.
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

// Nothing when the value was taken over; else what is wrong with it, or an empty text when only its form is.
using problem = std::optional<std::string>;

constexpr mode_t others_may_access = S_IRWXG | S_IRWXO;

problem wrong_form() {
    return std::string();
}

template <class Number>
problem read_number(std::string_view text, Number low, Number high, Number& target) {
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) return wrong_form();
    if (!(value >= low && value <= high)) return wrong_form();
    target = value;
    return std::nullopt;
}

problem read_name(std::string_view text, std::string& target) {
    if (!is_name(text)) return wrong_form();
    target = text;
    return std::nullopt;
}

problem read_endpoint(std::string_view text, endpoint& target) {
    const auto value = endpoint::parse(text);
    if (!value || value->port == 0) return wrong_form();
    target = *value;
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

// An address that others are told must be a real one.
problem read_own_endpoint(std::string_view text, endpoint& target) {
    if (auto wrong = read_endpoint(text, target)) return wrong;
    if (is_wildcard(target.address)) return "peers cannot send to " + target.to_string();
    return std::nullopt;
}

problem read_seed(std::string_view text, std::uint64_t& target) {
    constexpr int decimal = 10;
    constexpr int hexadecimal = 16;
    const bool    hex = text.starts_with("0x");
    if (hex) text.remove_prefix(2);
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), target, hex ? hexadecimal : decimal);
    if (error != std::errc{} || end != text.data() + text.size()) return wrong_form();
    return std::nullopt;
}

//----------------------------------------------------------------------------------------------------------------------
// Table of keys
//----------------------------------------------------------------------------------------------------------------------

struct target {
    daemon_settings settings;
    std::string     folder; // of the settings file

    std::string path(std::string_view name) const {
        return name.starts_with('/') || folder.empty() ? std::string(name) : folder + "/" + std::string(name);
    }
};

enum class when : std::uint8_t { at_restart, at_once }; // a changed value takes effect

struct key_row {
    std::string                                            section;
    std::string                                            key;
    std::optional<std::string>                             preset; // none: required
    std::string                                            accepted;
    when                                                   takes_effect = when::at_restart;
    std::string                                            meaning;
    std::function<problem(std::string_view text, target&)> read;
    bool                                                   list = false; // may be continued on indented lines
};

// What all rows have: section, key, preset, when a change takes effect, meaning.
struct key_head {
    const char* section;
    const char* key;
    const char* preset; // nullptr: required
    when        takes_effect;
    const char* meaning;
};

template <class Read>
key_row row_of(const key_head& head, std::string accepted, Read read) {
    auto preset = head.preset == nullptr ? std::nullopt : std::optional<std::string>(head.preset);
    return {head.section,      head.key,     std::move(preset), std::move(accepted),
            head.takes_effect, head.meaning, std::move(read)};
}

std::string range(auto low, auto high) {
    std::ostringstream text;
    text << low << " to " << high;
    return text.str();
}

// Field gives the place of the value in the settings.
template <class Number, class Field>
key_row number_row(const key_head& head, Number low, Number high, Field field) {
    return row_of(head, range(low, high), [=](std::string_view text, target& into) {
        return read_number<Number>(text, low, high, field(into.settings));
    });
}

template <class Unit, class Field>
key_row duration_row(const key_head& head, std::int64_t low, std::int64_t high, Field field) {
    return row_of(head, range(low, high), [=](std::string_view text, target& into) {
        std::int64_t count = 0;
        auto         wrong = read_number(text, low, high, count);
        if (!wrong) field(into.settings) = Unit(count);
        return wrong;
    });
}

template <class Field>
key_row name_row(const key_head& head, Field field) {
    return row_of(head, "1 to 63 letters, digits, '.', '_', '-', the first a letter or digit",
                  [=](std::string_view text, target& into) { return read_name(text, field(into.settings)); });
}

// The addresses that peers and operators are told.
template <class Field>
key_row own_address_row(const key_head& head, Field field) {
    return row_of(head, "ADDRESS:PORT, IPv6 addresses in brackets, not 0.0.0.0 or [::]",
                  [=](std::string_view text, target& into) { return read_own_endpoint(text, field(into.settings)); });
}

// TLS files are parsed when the interface starts; here they only have to be readable.
problem read_readable_file(std::string_view text, const target& into, std::string& name) {
    name = into.path(text);
    struct stat status {};
    const bool  regular = ::stat(name.c_str(), &status) == 0 && S_ISREG(status.st_mode);
    if (!regular || !std::ifstream(name).good()) return "cannot read '" + name + "'";
    return std::nullopt;
}

problem check_private(const std::string& name) {
    struct stat status {};
    if (::stat(name.c_str(), &status) != 0) return "cannot read '" + name + "'";
    if ((status.st_mode & others_may_access) != 0) return "'" + name + "' can be accessed by its group or by others";
    return std::nullopt;
}

problem read_private_file(std::string_view text, const target& into, std::string& name) {
    if (auto wrong = read_readable_file(text, into, name)) return wrong;
    return check_private(name);
}

template <class Field>
key_row file_row(const key_head& head, Field field) {
    return row_of(head, "name of a PEM file", [=](std::string_view text, target& into) {
        return read_readable_file(text, into, field(into.settings));
    });
}

// Adds to the list, since the value may be continued on further lines.
problem read_endpoints(std::string_view text, std::vector<endpoint>& list) {
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

problem read_peers(std::string_view text, target& into) {
    return read_endpoints(text, into.settings.node.peers);
}

problem read_platform(std::string_view text, target& into) {
    into.settings.node.use_store = text != "none";
    if (text == "none") return std::nullopt;
    if (text.empty()) return wrong_form();
    return read_endpoints(text, into.settings.platform);
}

problem read_key_file(std::string_view text, const target& into, control_key& key) {
    auto read = read_control_key(into.path(text));
    if (!read) return read.error();
    key = read.value();
    return std::nullopt;
}

problem read_signing(std::string_view text, target& into) {
    return read_key_file(text, into, into.settings.node.keys.signing);
}

problem read_also_accepted(std::string_view text, target& into) {
    into.settings.node.keys.also_accepted.reset();
    if (text == "none") return std::nullopt;
    return read_key_file(text, into, into.settings.node.keys.also_accepted.emplace());
}

problem read_level(std::string_view text, target& into) {
    constexpr std::array<std::string_view, 3> names = {"info", "warning", "error"}; // in order of log_level
    const auto*                               found = std::ranges::find(names, text);
    if (found == names.end()) return wrong_form();
    into.settings.level = static_cast<log_level>(found - names.begin());
    return std::nullopt;
}

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* required = nullptr;
constexpr const char* list_of_addresses = "ADDRESS:PORT, separated by blanks or commas; further ones on indented lines";

std::vector<key_row> balancer_rows() {
    constexpr auto restart = when::at_restart;
    return {
        number_row<member_id>(
            {"balancer", "member_id", required, restart, "Number of this balancer, unique in its cluster."}, 1,
            UINT32_MAX, [](daemon_settings& to) -> decltype(auto) { return (to.node.self.id); }),
        name_row({"balancer", "failure_domain", required, restart,
                  "Failure domain of the host. The two holders of a flow are taken from different ones."},
                 [](daemon_settings& to) -> decltype(auto) { return (to.node.self.failure_domain); }),
        row_of({"balancer", "fabric_address", "0.0.0.0:6080", restart,
                "Where the fabric sends callers' packets (GUE over UDP)."},
               "ADDRESS:PORT, IPv6 addresses in brackets",
               [](std::string_view text, target& into) { return read_endpoint(text, into.settings.fabric); }),
        own_address_row({"balancer", "relay_address", required, restart, "Where peers send relay frames (UDP)."},
                        [](daemon_settings& to) -> decltype(auto) { return (to.node.self.relay); }),
        own_address_row({"balancer", "control_address", required, restart, "Where peers send control messages (UDP)."},
                        [](daemon_settings& to) -> decltype(auto) { return (to.node.self.control); }),
        own_address_row({"balancer", "admin_address", "127.0.0.1:6083", restart,
                         "Where the administration interface listens (gRPC over TCP). Needs the files of [admin] "
                         "unless it is a loopback address."},
                        [](daemon_settings& to) -> decltype(auto) { return (to.node.self.admin); }),
        number_row<std::size_t>({"balancer", "traffic_threads", "2", restart,
                                 "Threads that handle packets. Each has a part of the flow table."},
                                1, 64, [](daemon_settings& to) -> decltype(auto) { return (to.traffic_threads); }),
        number_row<std::size_t>({"balancer", "receive_buffer_bytes", "4194304", restart,
                                 "Receive buffer of each traffic socket. The host's net.core.rmem_max limits it."},
                                65'536, 268'435'456,
                                [](daemon_settings& to) -> decltype(auto) { return (to.receive_buffer); }),
        duration_row<seconds>({"balancer", "stop_grace_seconds", "300", restart,
                               "A graceful stop waits no longer than this until other balancers hold all flows."},
                              0, 3600, [](daemon_settings& to) -> decltype(auto) { return (to.node.stop_grace); }),
    };
}

std::vector<key_row> cluster_rows() {
    constexpr auto restart = when::at_restart;
    key_row        peers = row_of({"cluster", "peers", "", restart,
                                   "Control addresses of balancers to contact first. A few are enough: the others are learnt "
                                          "from them."},
                                  list_of_addresses, read_peers);
    peers.list = true;
    return {
        name_row({"cluster", "name", "default", restart, "Name of the cluster, the same on all of its balancers."},
                 [](daemon_settings& to) -> decltype(auto) { return (to.node.cluster); }),
        row_of({"cluster", "hash_seed", required, restart,
                "Seed of the flow hash, the same on all balancers of the cluster. A random value keeps callers from "
                "aiming at one balancer."},
               "0 to 18446744073709551615, or 0x and up to 16 hexadecimal digits",
               [](std::string_view text, target& into) { return read_seed(text, into.settings.node.hash_seed); }),
        std::move(peers),
    };
}

std::vector<key_row> platform_rows() {
    key_row addresses = row_of({"platform", "addresses", required, when::at_restart,
                                "The platform's key-value service; the first one that answers is used. With none the "
                                "configuration comes from peers only and changes are refused."},
                               std::string(list_of_addresses) + ", or none", read_platform);
    addresses.list = true;
    return {
        std::move(addresses),
        file_row({"platform", "authority_file", "", when::at_restart,
                  "Authority that signs the certificate of the service. Without it the service is called in plain "
                  "text."},
                 [](daemon_settings& to) -> decltype(auto) { return (to.platform_authority); }),
        duration_row<milliseconds>({"platform", "deadline_milliseconds", "2000", when::at_restart,
                                    "Deadline of a call of the key-value service."},
                                   100, 60'000,
                                   [](daemon_settings& to) -> decltype(auto) { return (to.node.store_deadline); }),
    };
}

std::vector<key_row> key_rows() {
    const std::string accepted = "name of a file with 64 hexadecimal digits, mode 0600 or less";
    return {
        row_of({"keys", "signing_file", required, when::at_once, "Key that signs messages to peers."}, accepted,
               read_signing),
        row_of({"keys", "also_accepted_file", "none", when::at_once,
                "Second key that is accepted from peers while the keys are being replaced."},
               accepted + ", or none", read_also_accepted),
    };
}

std::vector<key_row> limit_rows() {
    constexpr auto once = when::at_once;
    return {
        number_row<std::size_t>({"limits", "max_flows", "1000000", when::at_restart, "Hard cap of the flow table."},
                                1'000, 100'000'000,
                                [](daemon_settings& to) -> decltype(auto) { return (to.node.table.max_flows); }),
        number_row<double>({"limits", "max_service_share", "0.5", once,
                            "Share of the flow table that one service may fill when the table is nearly full."},
                           0.01, 1.0,
                           [](daemon_settings& to) -> decltype(auto) { return (to.node.table.max_service_share); }),
        duration_row<seconds>({"limits", "half_open_timeout_seconds", "30", once,
                               "A TCP flow of which only the SYN has been seen is forgotten after this time without "
                               "packets."},
                              1, 3600,
                              [](daemon_settings& to) -> decltype(auto) { return (to.node.table.half_open_timeout); }),
        duration_row<seconds>({"limits", "idle_timeout_seconds", "7800", once,
                               "An established TCP flow is forgotten after this time without packets. Keep it above "
                               "the callers' keep-alive time."},
                              60, 604'800,
                              [](daemon_settings& to) -> decltype(auto) { return (to.node.table.idle_timeout); }),
        duration_row<seconds>({"limits", "udp_idle_timeout_seconds", "120", once,
                               "A UDP flow is forgotten after this time without packets."},
                              1, 86'400,
                              [](daemon_settings& to) -> decltype(auto) { return (to.node.table.udp_idle_timeout); }),
        duration_row<seconds>(
            {"limits", "closing_timeout_seconds", "60", once,
             "A TCP flow is forgotten after this time without packets once the caller has closed it."},
            1, 3600, [](daemon_settings& to) -> decltype(auto) { return (to.node.table.closing_timeout); }),
    };
}

std::vector<key_row> admin_rows() {
    constexpr auto restart = when::at_restart;
    return {
        file_row({"admin", "certificate_file", "", restart, "Certificate of this balancer."},
                 [](daemon_settings& to) -> decltype(auto) { return (to.admin_tls.certificate); }),
        row_of({"admin", "key_file", "", restart, "Key of the certificate."}, "name of a PEM file, mode 0600 or less",
               [](std::string_view text, target& into) {
                   return read_private_file(text, into, into.settings.admin_tls.key);
               }),
        file_row({"admin", "authority_file", "", restart,
                  "Authority that signs the certificates of operators. The common name of such a certificate is the "
                  "operator's name."},
                 [](daemon_settings& to) -> decltype(auto) { return (to.admin_tls.authority); }),
    };
}

const std::vector<key_row>& key_table() {
    static const std::vector<key_row> table = [] {
        std::vector<key_row> all;
        for (auto rows : {balancer_rows(), cluster_rows(), platform_rows(), key_rows(), limit_rows(), admin_rows()})
            all.insert(all.end(), rows.begin(), rows.end());
        all.push_back(row_of({"log", "level", "info", when::at_once, "Least severity that is logged."},
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

// Hands lines to inih and receives its keys. inih reports neither unknown sections nor more than one malformed line,
// and shortens long lines; so lines are checked here on their way to it.
class file_reading {
public:
    file_reading(std::string_view text, const std::string& file_name) : rest_(text), file_(file_name) {
        const auto slash = file_name.rfind('/');
        if (slash != std::string::npos) into_.folder = file_name.substr(0, slash + 1);
        for (const key_row& row : key_table())
            if (row.preset && !row.preset->empty()) row.read(*row.preset, into_);
    }

    result<daemon_settings, findings> run() {
        ::ini_parse_stream(next_line, this, take_key, this);
        check_previous_line();
        check_required();
        check_together();
        if (!problems_.empty()) return std::move(problems_);
        into_.settings.node.partitions = into_.settings.traffic_threads;
        return std::move(into_.settings);
    }

private:
    static char* next_line(char* buffer, int size, void* self) {
        return static_cast<file_reading*>(self)->read_line(buffer, static_cast<std::size_t>(size));
    }
    static int take_key(void* self, const char* /*section*/, const char* key, const char* value) {
        static_cast<file_reading*>(self)->read_key(key, value);
        return 1;
    }

    void report(const std::string& name, std::string message, std::string expected) {
        problems_.push_back({place(name), std::move(message), std::move(expected)});
    }
    std::string place(const std::string& name) const {
        return file_ + ":" + std::to_string(line_) + (name.empty() ? "" : " " + name);
    }
    std::string known_place(const std::string& name) const {
        const auto found = lines_.find(name);
        return file_ + (found == lines_.end() ? "" : ":" + std::to_string(found->second)) + " " + name;
    }

    char* read_line(char* buffer, std::size_t size) {
        check_previous_line();
        if (rest_.empty()) return nullptr;
        std::string_view line = rest_.substr(0, rest_.find('\n'));
        rest_.remove_prefix(std::min(line.size() + 1, rest_.size()));
        ++line_;
        if (line.ends_with('\r')) line.remove_suffix(1);
        if (!check_line(line, size)) line = "";
        std::ranges::copy(line, buffer);
        buffer[line.size()] = '\0';
        return buffer;
    }

    // False when the line must not reach inih.
    bool check_line(std::string_view line, std::size_t size) {
        indented_ = line.starts_with(' ') || line.starts_with('\t');
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
        key_expected_ = true;
        return true;
    }

    bool check_section(std::string_view rest) {
        last_key_.clear();
        section_ = rest.substr(0, rest.find(']'));
        const bool closed = section_.size() < rest.size();
        section_known_ = closed && section_exists(section_);
        const char* problem_text = closed ? "unknown section" : "the line lacks ']'";
        if (!section_known_) report("[" + section_ + "]", problem_text, all_sections());
        return true;
    }

    // A line that inih could not read gives no call of read_key.
    void check_previous_line() {
        if (key_expected_) report("", "not a setting", "[section], KEY = VALUE, or ; and a comment");
        key_expected_ = false;
    }

    void read_key(const char* key, const char* value) {
        key_expected_ = false;
        if (section_.empty()) return report(key, "the key stands before the first section", all_sections());
        if (!section_known_) return;
        const std::string name = full_name(section_, key);
        const key_row*    row = find_row(section_, key);
        if (row == nullptr) return report(name, "unknown key", keys_of(section_));
        const bool continued = indented_ && last_key_ == name;
        last_key_ = name;
        if (continued && !row->list) {
            return report(name, "an indented line continues the value of the key before it",
                          "keys at the start of the line");
        }
        if (!continued && !lines_.emplace(name, line_).second) {
            return report(name, "the key is already set in line " + std::to_string(lines_[name]),
                          "one line for each key");
        }
        take_value(*row, name, continued ? without_comment(value) : value);
    }

    // inih 55 leaves comments on continued lines.
    static std::string_view without_comment(std::string_view value) {
        const auto comment = std::min(value.find(" ;"), value.find("\t;"));
        return value.starts_with(';') ? "" : value.substr(0, comment);
    }

    void take_value(const key_row& row, const std::string& name, std::string_view value) {
        std::string& text = into_.settings.texts[name];
        text += (text.empty() ? "" : " ") + std::string(value);
        if (auto wrong = row.read(value, into_))
            report(name, wrong->empty() ? "'" + std::string(value) + "' is not accepted" : *wrong, row.accepted);
    }

    void check_required() {
        for (const key_row& row : key_table()) {
            const std::string name = full_name(row.section, row.key);
            if (!row.preset && !lines_.contains(name))
                problems_.push_back({file_ + " " + name, "the key is missing", row.accepted});
        }
    }

    void check_together() {
        const daemon_settings& read = into_.settings;
        check_ports("[balancer] relay_address", read.node.self.relay, read.fabric);
        check_ports("[balancer] control_address", read.node.self.control, read.fabric);
        check_ports("[balancer] control_address", read.node.self.control, read.node.self.relay);
        if (read.admin_tls.complete()) return;
        const std::string message =
            read.admin_tls.empty() ? "an interface that is not on loopback needs TLS" : "TLS needs all three files";
        if (read.admin_tls.empty() && is_loopback(read.node.self.admin.address)) return;
        problems_.push_back({known_place("[balancer] admin_address"), message,
                             "certificate_file, key_file and authority_file in [admin]"});
    }

    void check_ports(const std::string& name, const endpoint& one, const endpoint& other) {
        if (one.port == 0 || one.port != other.port) return; // port 0: not read
        if (one.address == other.address || is_wildcard(other.address))
            problems_.push_back({known_place(name), other.to_string() + " is used twice", "a UDP port of its own"});
    }

    std::string_view           rest_;
    std::string                file_;
    target                     into_;
    findings                   problems_;
    int                        line_ = 0;
    bool                       indented_ = false;
    bool                       key_expected_ = false; // the line should give a call of read_key
    std::string                section_;
    bool                       section_known_ = false;
    std::string                last_key_;
    std::map<std::string, int> lines_; // where each key is set
};

} // namespace

result<control_key, std::string> read_control_key(const std::string& file_name) {
    if (auto wrong = check_private(file_name)) return *wrong;
    std::ifstream file(file_name);
    std::string   digits;
    file >> digits;
    std::string more;
    file >> more;
    control_key key{};
    std::size_t size = 0;
    const char* end = nullptr;
    const int   failed = ::sodium_hex2bin(reinterpret_cast<unsigned char*>(key.data()), key.size(), digits.data(),
                                          digits.size(), nullptr, &size, &end);
    const bool  whole = failed == 0 && size == key.size() && digits.size() == 2 * key.size() && more.empty();
    ::sodium_memzero(digits.data(), digits.size());
    if (!whole) return "'" + file_name + "' does not hold a key";
    return key;
}

result<daemon_settings, findings> read_settings(std::string_view text, const std::string& file_name) {
    return file_reading(text, file_name).run();
}

result<daemon_settings, findings> read_settings_file(const std::string& file_name) {
    std::ifstream      file(file_name);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file.good() || text.fail()) return findings{{file_name, "the file cannot be read or is empty", "an INI file"}};
    return read_settings(text.str(), file_name);
}

settings_difference compare(const daemon_settings& present, const daemon_settings& next) {
    const auto text_of = [](const daemon_settings& settings, const key_row& row) {
        const auto found = settings.texts.find(full_name(row.section, row.key));
        return found == settings.texts.end() ? row.preset.value_or("") : found->second;
    };
    settings_difference difference;
    for (const key_row& row : key_table()) {
        if (text_of(present, row) == text_of(next, row)) continue;
        auto& list = row.takes_effect == when::at_once ? difference.in_force : difference.needs_restart;
        list.push_back(full_name(row.section, row.key));
    }
    const control_keys& before = present.node.keys;
    const control_keys& after = next.node.keys;
    if (before.signing != after.signing || before.also_accepted != after.also_accepted)
        difference.in_force.emplace_back("[keys] (contents of the files)");
    return difference;
}

daemon_settings take_over(const daemon_settings& present, const daemon_settings& next) {
    daemon_settings taken = present;
    taken.node.keys = next.node.keys;
    taken.node.table = next.node.table;
    taken.node.table.max_flows = present.node.table.max_flows;
    taken.level = next.level;
    for (const key_row& row : key_table()) {
        if (row.takes_effect != when::at_once) continue;
        const std::string name = full_name(row.section, row.key);
        taken.texts.erase(name);
        if (const auto found = next.texts.find(name); found != next.texts.end()) taken.texts.insert(*found);
    }
    return taken;
}

std::string settings_reference() {
    std::string text =
        "# Settings of tamarackd\n\n"
        "<!-- Written by `tamarackd --reference=settings`; a test compares it with the table of keys. -->\n\n"
        "The file named by `--config` is an INI file. Lines that start with `;` or `#` are comments, and so is the "
        "rest "
        "of a line after a blank\nand `;`. Names of files are relative to the folder of the settings file. `tamarackd "
        "--check` reports all problems of a file at once.\nOn SIGHUP the file is read again; the other keys keep their "
        "value until a restart.\n";
    std::string_view section;
    for (const key_row& row : key_table()) {
        if (section != row.section) {
            section = row.section;
            text += "\n## [" + std::string(section) +
                    "]\n\n| Key | Default | Accepted | A change takes effect | Meaning |\n|---|---|---|---|---|\n";
        }
        const std::string preset = !row.preset ? "required" : row.preset->empty() ? "empty" : "`" + *row.preset + "`";
        text += "| `" + row.key + "` | " + preset + " | " + row.accepted + " | " +
                (row.takes_effect == when::at_once ? "at SIGHUP" : "at restart") + " | " + row.meaning + " |\n";
    }
    return text;
}

} // namespace tamarack
