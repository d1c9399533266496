// The network address of a process: an IP address and a port.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace pomelospread {

/// An IPv4 or IPv6 address and a port. Host names are not accepted.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(endpoint const&) const = default;
};

/// Whether the text is an IPv4 or IPv6 address.
[[nodiscard]] bool is_ip_address(std::string const& text);

/// Parses `127.0.0.1:8080` or `[::1]:8080`.
/// Throws `invalid_input` naming `field` when the text is not an IP address and a port from 0 to 65535.
[[nodiscard]] endpoint parse_endpoint(std::string_view text, std::string_view field);

/// Formats the endpoint as `parse_endpoint` reads it.
[[nodiscard]] std::string to_string(endpoint const& value);

} // namespace pomelospread
