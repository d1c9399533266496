// Counts what logs tell by second, as a table and as a picture.
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
    enum class series : std::uint8_t { requests, refused, unknown, retries, hedges, failed_tries, no_place };
    static constexpr std::size_t series_count = 7;

    void add_entry(log_entry const& entry);

    [[nodiscard]] bool is_empty() const noexcept { return m_summaries_by_second.empty(); }
    /// A line for each second with an event.
    [[nodiscard]] std::string to_text() const;
    /// An SVG picture: a curve for each series, a mark for each new version and each loss of the store.
    [[nodiscard]] std::string to_svg() const;

private:
    struct second_summary {
        std::array<std::uint64_t, series_count> counts{};
        std::set<std::string> tables_versions; ///< Of the tables, that came into force.
        std::uint64_t store_losses = 0;        ///< Instances that lost the store.
        std::uint64_t store_recoveries = 0;
        std::uint64_t dropped_log_lines = 0;
    };

    std::map<std::string, second_summary> m_summaries_by_second;
};

} // namespace pomelospread
