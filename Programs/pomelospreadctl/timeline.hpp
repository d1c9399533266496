// Counts the logged events per second and renders them as a table and as an SVG chart.
#pragma once

#include "log_reader.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace pomelospread {

class timeline {
public:
    /// `no_permit` counts the requests that found no permit available, whether they then waited or were
    /// refused.
    enum class series : std::uint8_t {
        requests,
        refused,
        unknown,
        retries,
        hedges,
        failed_attempts,
        no_permit
    };
    static constexpr std::size_t series_count = 7;

    void add_entry(log_entry const& entry);

    [[nodiscard]] bool is_empty() const noexcept { return m_summaries_by_second.empty(); }
    /// Returns a heading and one line for each second with an event.
    [[nodiscard]] std::string to_text() const;
    /// Returns an SVG chart: a curve for each series, a mark where a version came into force or the store
    /// became unreachable. Requires that `is_empty()` is false.
    [[nodiscard]] std::string to_svg() const;

private:
    struct second_summary {
        std::array<std::uint64_t, series_count> counts{};
        std::set<std::string> tables_versions; ///< Versions of the tables that came into force.
        std::uint64_t store_losses = 0;        ///< How often an instance found the store unreachable.
        std::uint64_t store_recoveries = 0;    ///< How often an instance reached the store again.
        std::uint64_t dropped_log_lines = 0;
    };

    std::map<std::string, second_summary> m_summaries_by_second;
};

} // namespace pomelospread
