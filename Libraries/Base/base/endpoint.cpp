#include "base/endpoint.hpp"

#include "base/errors.hpp"
#include "base/foreign_text.hpp"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace pomelospread {

namespace {

[[noreturn]] void throw_invalid(std::string_view text, std::string_view field) {
    throw invalid_input({{.field = std::string(field),
                          .problem = "\"" + excerpt(text) + "\" is not an address",
                          .allowed = "IP-ADDRESS:PORT or [IPV6-ADDRESS]:PORT, port 0 to 65535"}});
}

} // namespace

bool is_ip_address(std::string const& text) {
    // The C function would ignore what follows a zero byte.
    if (text.find('\0') != std::string::npos) {
        return false;
    }
    std::array<unsigned char, sizeof(in6_addr)> buffer{};
    return inet_pton(AF_INET, text.c_str(), buffer.data()) == 1 ||
           inet_pton(AF_INET6, text.c_str(), buffer.data()) == 1;
}

endpoint parse_endpoint(std::string_view text, std::string_view field) {
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        throw_invalid(text, field);
    }
    auto address = std::string(text.substr(0, colon));
    if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
        address = address.substr(1, address.size() - 2);
    }
    auto const port_text = text.substr(colon + 1);
    std::uint16_t port = 0;
    auto const parsed = std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
    if (parsed.ec != std::errc() || parsed.ptr != port_text.data() + port_text.size() ||
        !is_ip_address(address)) {
        throw_invalid(text, field);
    }
    return {.address = std::move(address), .port = port};
}

std::string to_string(endpoint const& value) {
    if (value.address.find(':') != std::string::npos) {
        return "[" + value.address + "]:" + std::to_string(value.port);
    }
    return value.address + ":" + std::to_string(value.port);
}

} // namespace pomelospread
