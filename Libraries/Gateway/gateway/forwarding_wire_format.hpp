// The header fields and paths of the protocol between a fleet, its callers and its targets.
#pragma once

#include "coordination/target_selector.hpp"
#include "protocol/http_types.hpp"

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace pomelospread {

/// A caller's query for instance addresses.
struct address_query {
    std::string host;
    std::string zone;
};

/// A target that asks for a longer pause is asked again after this time.
constexpr auto max_retry_after = std::chrono::hours(24);

/// The names and formats; the defaults are the product's own. An adapter may replace them.
class forwarding_wire_format {
public:
    virtual ~forwarding_wire_format() = default;

    std::string request_id_header{header::request_id};
    std::string deadline_header{header::deadline_ms};
    std::string expected_target_header = "Pomelospread-Expected-Target";
    /// Set by a target on each of its own responses.
    std::string target_signature_header = "Pomelospread-Answered-By";
    std::string load_header = "Pomelospread-Load";
    std::string not_started_header{header::not_started};
    /// A target states with the value 1 that it leaves.
    std::string leaving_header{header::leaving};
    std::string retry_after_header = "Retry-After";
    /// A caller's key, which names a workspace. Never forwarded.
    std::string key_header = "Pomelospread-Key";
    /// The name of the caller's workspace, set on requests to targets.
    std::string workspace_header = "Pomelospread-Workspace";
    /// How long a target is still cold, in milliseconds; in responses to load probes.
    std::string warm_up_header = "Pomelospread-Warm-Up-Ms";
    std::string ready_path = "/.pomelospread/ready";
    std::string addresses_path{"/.pomelospread/addresses"};

    /// Parses the load header field of a response: running, waiting, slots and optionally the slowdown in
    /// percent.
    [[nodiscard]] virtual std::optional<load_report> parse_load(std::string_view text) const;
    /// Parses a remaining warm-up time: milliseconds, at most `entry_limits::max_warm_up_ms`.
    [[nodiscard]] virtual std::optional<std::chrono::milliseconds> parse_warm_up(std::string_view text) const;
    /// Parses the time that a refusal asks to wait: seconds, which may have a fraction, at most
    /// `max_retry_after`. Nothing when the text is no such number.
    [[nodiscard]] virtual std::optional<std::chrono::nanoseconds>
    parse_retry_after(std::string_view text) const;
    [[nodiscard]] virtual address_query parse_address_query(std::string_view target) const;
    [[nodiscard]] virtual http_response make_address_response(std::span<endpoint const> addresses,
                                                              std::chrono::milliseconds ttl) const;
};

} // namespace pomelospread
