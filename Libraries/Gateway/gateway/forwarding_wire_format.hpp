// The header fields and paths that a fleet agrees on with its callers and targets.
#pragma once

#include "coordination/target_selector.hpp"
#include "protocol/http_types.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace pomelospread {

/// A caller's question for addresses.
struct address_query {
    std::string host;
    std::string zone;
};

/// Names and forms; the defaults are the product's own. An adapter replaces them.
class forwarding_wire_format {
public:
    virtual ~forwarding_wire_format() = default;

    std::string request_id_header{header::request_id};
    std::string deadline_header{header::deadline_ms};
    std::string expected_target_header = "Pomelospread-Expected-Target";
    std::string target_signature_header =
        "Pomelospread-Answered-By"; ///< A target's mark on each of its own answers.
    std::string load_header = "Pomelospread-Load";
    std::string not_started_header{header::not_started};
    std::string retry_after_header = "Retry-After";
    std::string ready_path = "/.pomelospread/ready";
    std::string addresses_path{"/.pomelospread/addresses"};

    /// Reads the load field of an answer: running, waiting, slots and the slowdown in percent.
    [[nodiscard]] virtual std::optional<load_report> parse_load(std::string_view text) const;
    [[nodiscard]] virtual address_query parse_address_query(std::string_view target) const;
    [[nodiscard]] virtual http_response make_address_response(std::span<endpoint const> addresses,
                                                              std::chrono::milliseconds keep) const;
};

} // namespace pomelospread
