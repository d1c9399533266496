// The address of a process: an IP number and a port.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace pomelospread {

/// An IPv4 or IPv6 number and a port; names are never resolved.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(endpoint const&) const = default;
};

/// Parses `127.0.0.1:8080` or `[::1]:8080`.
/// Throws `invalid_input` naming `field` when the text is not an IP number and a port from 0 to 65535.
[[nodiscard]] endpoint parse_endpoint(std::string_view text, std::string_view field);

/// Renders the endpoint in the form that `parse_endpoint` reads.
[[nodiscard]] std::string to_string(endpoint const& value);

} // namespace pomelospread
