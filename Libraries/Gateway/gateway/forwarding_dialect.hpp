// The header fields and paths that a fleet agrees on with its callers and targets.
#pragma once

#include "coordination/target_board.hpp"
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
class forwarding_dialect {
public:
    virtual ~forwarding_dialect() = default;

    std::string request_id{header::request_id};
    std::string deadline_ms{header::deadline_ms};
    std::string expected_target = "Pomelospread-Expected-Target";
    std::string signature = "Pomelospread-Answered-By"; ///< A target's mark on each of its own answers.
    std::string load = "Pomelospread-Load";
    std::string not_started{header::not_started};
    std::string retry_after = "Retry-After";
    std::string ready_path = "/.pomelospread/ready";
    std::string addresses_path{"/.pomelospread/addresses"};

    /// Reads the load field of an answer: running, waiting, slots and the slowdown in percent.
    [[nodiscard]] virtual std::optional<load_report> parse_load(std::string_view text) const;
    [[nodiscard]] virtual address_query parse_address_query(std::string_view target) const;
    [[nodiscard]] virtual http_response address_answer(std::span<endpoint const> addresses,
                                                       std::chrono::milliseconds keep) const;
};

} // namespace pomelospread
