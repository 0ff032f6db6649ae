// The settings file of a host, as the platform fills in its template (platform/entry.ini.in).
#pragma once

#include "tamarack/tamarack.h"

#include <fstream>
#include <map>
#include <sstream>

namespace standin {

using tamarack::endpoint;

inline constexpr std::uint16_t packets_port = 8'172;
inline constexpr std::uint16_t readiness_port = 8'167;
inline constexpr std::uint16_t peers_port = 7'720;
inline constexpr std::uint16_t metrics_port = 9'108; // of the template

inline std::string read_file(const std::string& path) {
    std::ostringstream text;
    text << std::ifstream(path, std::ios::binary).rdbuf();
    return text.str();
}

// Replaces {{name}} by its value, and a section {{#name}}..{{/name}} by its content if there is a value.
inline std::string fill_in_template(std::string text, const std::map<std::string, std::string>& values) {
    const auto value_of = [&](const std::string& name) {
        const auto value = values.find(name);
        return value == values.end() ? std::string() : value->second;
    };
    for (std::size_t start = 0; (start = text.find("{{", start)) != std::string::npos;) {
        const std::size_t end = text.find("}}", start);
        const std::string name = text.substr(start + 2, end - start - 2);
        if (!name.starts_with("#")) {
            text.replace(start, end + 2 - start, value_of(name));
            continue;
        }
        const std::string closing_tag = "{{/" + name.substr(1) + "}}";
        const std::size_t closing = text.find(closing_tag, end);
        const std::string value = value_of(name.substr(1));
        std::string       content = value.empty() ? "" : text.substr(end + 2, closing - end - 2);
        if (const auto current = content.find("{{.}}"); current != std::string::npos)
            content.replace(current, std::string_view("{{.}}").size(), value);
        text.replace(start, closing + closing_tag.size() - start, content);
    }
    return text;
}

struct host_settings {
    std::string          name;
    std::string          failure_domain;
    tamarack::ip_address host;
    std::string          contacts; // ADDRESS:PORT, separated by commas
    endpoint             store;
    unsigned             grace_seconds = 6;
    std::string          warmup_overrun{}; // empty: the platform does not supply it
    std::string          warmup_slack{};

    std::string to_text() const {
        return fill_in_template(read_file(SOURCE_FOLDER "/platform/entry.ini.in"),
                                {{"node_name", name},
                                 {"zone", failure_domain},
                                 {"ip", host.to_string()},
                                 {"listen.datagram_addr", endpoint{host, packets_port}.to_string()},
                                 {"listen.ready_addr", endpoint{host, readiness_port}.to_string()},
                                 {"internal_ports.0", std::to_string(peers_port)},
                                 {"seeds", contacts},
                                 {"platform.address", store.to_string()},
                                 {"bounds.grace_s", std::to_string(grace_seconds)},
                                 {"limits.cpu_share", "0.25"},
                                 {"limits.link_mbps", "1000.0"},
                                 {"limits.memory_mb", "260"},
                                 {"bounds.config_apply_ms", "3000"},
                                 {"bounds.warmup_overrun", warmup_overrun},
                                 {"bounds.warmup_slack", warmup_slack}});
    }
};

} // namespace standin
