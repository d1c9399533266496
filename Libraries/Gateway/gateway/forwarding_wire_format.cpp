#include "gateway/forwarding_wire_format.hpp"

#include "coordination/entry_checks.hpp"
#include "protocol/platform_client.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace pomelospread {

std::optional<load_report> forwarding_wire_format::parse_load(std::string_view text) const {
    std::array<std::uint32_t, 4> values{0, 0, 1, 100};
    std::size_t count = 0;
    while (!text.empty() && count < values.size()) {
        auto const parsed = std::from_chars(text.data(), text.data() + text.size(), values[count]);
        if (parsed.ec != std::errc()) {
            return std::nullopt;
        }
        ++count;
        text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()));
        while (!text.empty() && (text.front() == ',' || text.front() == ' ')) {
            text.remove_prefix(1);
        }
    }
    if (count < 3) {
        return std::nullopt;
    }
    return load_report{.running = values[0],
                       .waiting = values[1],
                       .slots = std::max(1U, values[2]),
                       .slowdown = static_cast<double>(std::max(1U, values[3])) / 100.0};
}

std::optional<std::chrono::milliseconds> forwarding_wire_format::parse_warm_up(std::string_view text) const {
    std::int64_t value = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end || value < 0 || value > entry_limits::max_warm_up_ms) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(value);
}

std::optional<std::chrono::nanoseconds>
forwarding_wire_format::parse_retry_after(std::string_view text) const {
    double seconds = 0;
    auto const parsed =
        std::from_chars(text.data(), text.data() + text.size(), seconds, std::chars_format::fixed);
    bool const is_number = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    if (!is_number || !std::isfinite(seconds) || std::signbit(seconds)) {
        return std::nullopt;
    }
    std::chrono::duration<double> const bounded(
        std::min(seconds, std::chrono::duration<double>(max_retry_after).count()));
    return std::chrono::duration_cast<std::chrono::nanoseconds>(bounded);
}

address_query forwarding_wire_format::parse_address_query(std::string_view target) const {
    return {.host = query_parameter(target, "host"), .zone = query_parameter(target, "zone")};
}

http_response forwarding_wire_format::make_address_response(std::span<endpoint const> addresses,
                                                            std::chrono::milliseconds ttl) const {
    nlohmann::json address_list = nlohmann::json::array();
    for (auto const& address : addresses) {
        address_list.push_back(to_string(address));
    }
    return make_response(200, "application/json",
                         nlohmann::json{{"addresses", address_list}, {"keep_ms", ttl.count()}}.dump() + "\n");
}

} // namespace pomelospread
