// Collects the changes of the targets' loads since the last load update to the other instances.
#pragma once

#include "coordination/target_selector.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace pomelospread {

/// The changes at one target.
struct load_change {
    std::optional<load_report> report;
    std::chrono::steady_clock::time_point reported_at;
    std::uint32_t failures = 0;
    bool in_flight_changed = false; ///< A request was started or ended; else there was only a load probe.
    std::optional<std::int64_t> leaving_incarnation; ///< Set when it said that it leaves.
};

/// Collects load changes by target. Not thread-safe.
class load_change_collector {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// A request to the target was started.
    void record_attempt_started(std::string const& target) { m_changes[target].in_flight_changed = true; }
    /// A load probe of the target brought a report.
    void record_probe_finished(std::string const& target, load_report const& report, time_point now) {
        auto& change = m_changes[target];
        change.report = report;
        change.reported_at = now;
    }
    /// A request to the target ended; `report` is the load report of its response, if any.
    void record_exchange_finished(std::string const& target, std::optional<load_report> const& report,
                                  bool failed, time_point now) {
        auto& change = m_changes[target];
        change.in_flight_changed = true;
        if (report) {
            change.report = report;
            change.reported_at = now;
        }
        change.failures += failed ? 1 : 0;
    }
    /// A response of this incarnation of the target said that it leaves.
    void record_leaving(std::string const& target, std::int64_t incarnation) {
        m_changes[target].leaving_incarnation = incarnation;
    }
    [[nodiscard]] bool empty() const noexcept { return m_changes.empty(); }
    /// Returns the collected changes and clears them.
    [[nodiscard]] std::map<std::string, load_change> take() { return std::exchange(m_changes, {}); }

private:
    std::map<std::string, load_change> m_changes;
};

} // namespace pomelospread
