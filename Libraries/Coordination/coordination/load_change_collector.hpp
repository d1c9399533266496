// What changed at targets since the other instances were last told.
#pragma once

#include "coordination/target_selector.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace pomelospread {

struct load_change {
    std::optional<load_report> report;
    std::chrono::steady_clock::time_point reported_at;
    std::uint32_t failures = 0;
};

/// Collects changes by target. Not thread-safe.
class load_change_collector {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// A request was sent to the target.
    void record_request_started(std::string const& target) { m_changes[target]; }
    /// A request ended there.
    void record_request_finished(std::string const& target, std::optional<load_report> const& report,
                                 bool failed, time_point now) {
        auto& change = m_changes[target];
        if (report) {
            change.report = report;
            change.reported_at = now;
        }
        change.failures += failed ? 1 : 0;
    }
    [[nodiscard]] bool empty() const noexcept { return m_changes.empty(); }
    /// Hands over what was collected and starts anew.
    [[nodiscard]] std::map<std::string, load_change> take() { return std::exchange(m_changes, {}); }

private:
    std::map<std::string, load_change> m_changes;
};

} // namespace pomelospread
