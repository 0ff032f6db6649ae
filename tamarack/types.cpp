// Parsing and formatting of the shared types.
#include "tamarack/tamarack.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>

namespace tamarack {

namespace {

constexpr std::array<std::uint8_t, 12> v4_mapped_prefix = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};

std::optional<std::uint16_t> parse_port(std::string_view text) {
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    return port;
}

} // namespace

std::uint64_t to_milliseconds(duration value) {
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    return milliseconds > 0 ? static_cast<std::uint64_t>(milliseconds) : 0;
}

bool ip_address::is_v4() const {
    return std::equal(v4_mapped_prefix.begin(), v4_mapped_prefix.end(), bytes.begin());
}

std::string ip_address::to_string() const {
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (is_v4()) {
        ::inet_ntop(AF_INET, bytes.data() + v4_mapped_prefix.size(), text.data(), text.size());
    } else {
        ::inet_ntop(AF_INET6, bytes.data(), text.data(), text.size());
    }
    return text.data();
}

std::optional<ip_address> ip_address::parse(std::string_view text) {
    const std::string terminated(text);
    ip_address        result;
    if (::inet_pton(AF_INET6, terminated.c_str(), result.bytes.data()) == 1) return result;
    std::copy(v4_mapped_prefix.begin(), v4_mapped_prefix.end(), result.bytes.begin());
    if (::inet_pton(AF_INET, terminated.c_str(), result.bytes.data() + v4_mapped_prefix.size()) == 1) return result;
    return std::nullopt;
}

ip_address ip_address::v4(std::uint32_t host_order) {
    ip_address result;
    std::copy(v4_mapped_prefix.begin(), v4_mapped_prefix.end(), result.bytes.begin());
    for (std::size_t i = 0; i < 4; ++i)
        result.bytes[12 + i] = static_cast<std::uint8_t>(host_order >> (24 - 8 * i));
    return result;
}

std::string endpoint::to_string() const {
    const std::string host = address.is_v4() ? address.to_string() : std::string("[") + address.to_string() + "]";
    return host + ":" + std::to_string(port);
}

std::optional<endpoint> endpoint::parse(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) return std::nullopt;
    std::string_view host = text.substr(0, colon);
    const bool       bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) host = host.substr(1, host.size() - 2);
    if (!bracketed && host.find(':') != std::string_view::npos) return std::nullopt; // IPv6 needs brackets
    const auto address = ip_address::parse(host);
    const auto port = parse_port(text.substr(colon + 1));
    if (!address || !port) return std::nullopt;
    return endpoint{*address, *port};
}

std::string_view to_string(transport protocol) {
    return protocol == transport::tcp ? "tcp" : "udp";
}

std::optional<transport> parse_transport(std::string_view text) {
    if (text == "tcp") return transport::tcp;
    if (text == "udp") return transport::udp;
    return std::nullopt;
}

std::string_view to_string(backend_state state) {
    return state == backend_state::active ? "active" : "draining";
}

std::string_view to_string(member_state state) {
    switch (state) {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::leaving:
        return "leaving";
    case member_state::dead:
        return "dead";
    }
    return "unknown";
}

std::string finding::to_string() const {
    std::string text = place + ": " + message;
    if (!expected.empty()) text += " (expected " + expected + ")";
    return text;
}

std::string to_string(const findings& problems) {
    std::string text;
    for (const finding& problem : problems)
        text += problem.to_string() + "\n";
    return text;
}

} // namespace tamarack
