#include "timeline.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <string_view>

namespace pomelospread {

namespace {

constexpr std::array<std::string_view, timeline::series_count> series_labels{
    "requests", "refused", "unknown", "retries", "hedges", "failed tries", "waits"};
constexpr std::array<std::string_view, timeline::series_count> series_colors{
    "#999999", "#d62728", "#9467bd", "#ff7f0e", "#2ca02c", "#8c564b", "#1f77b4"};
/// Length of a log entry's time without its fraction, for example `2026-01-26T09:55:25`.
constexpr std::size_t second_length = 19;

std::string joined(std::set<std::string> const& parts) {
    std::string text;
    for (auto const& part : parts) {
        text += (text.empty() ? "" : ",") + part;
    }
    return text;
}

} // namespace

void timeline::add_entry(log_entry const& entry) {
    auto& summary = m_summaries_by_second[entry.time.substr(0, second_length)];
    auto const count = [&](series which) { ++summary.counts[static_cast<std::size_t>(which)]; };
    if (entry.event == "request_done") {
        count(series::requests);
        if (entry.field("outcome") == "not-run") {
            count(series::refused);
        } else if (entry.field("outcome") == "unknown") {
            count(series::unknown);
        }
    } else if (entry.event == "target_chosen" && entry.field("purpose") == "retry") {
        count(series::retries);
    } else if (entry.event == "target_chosen" && entry.field("purpose") == "hedge") {
        count(series::hedges);
    } else if (entry.event == "try_failed") {
        count(series::failed_attempts);
    } else if (entry.event == "no_place") {
        count(series::no_permit);
    } else if (entry.event == "tables_applied") {
        summary.tables_versions.emplace(entry.field("version"));
    } else if (entry.event == "store_lost") {
        ++summary.store_losses;
    } else if (entry.event == "store_regained") {
        ++summary.store_recoveries;
    } else if (entry.event == "log_lines_left_out") {
        summary.dropped_log_lines += static_cast<std::uint64_t>(entry.numeric_field("lines"));
    }
}

std::string timeline::to_text() const {
    std::ostringstream text;
    text << std::left << std::setw(second_length + 1) << "second";
    for (auto const name : series_labels) {
        text << std::right << std::setw(13) << name;
    }
    text << "  events\n";
    for (auto const& [second, summary] : m_summaries_by_second) {
        text << std::left << std::setw(second_length + 1) << second;
        for (auto const value : summary.counts) {
            text << std::right << std::setw(13) << value;
        }
        text << " ";
        if (!summary.tables_versions.empty()) {
            text << " tables " << joined(summary.tables_versions);
        }
        if (summary.store_losses > 0) {
            text << " store lost by " << summary.store_losses;
        }
        if (summary.store_recoveries > 0) {
            text << " store regained by " << summary.store_recoveries;
        }
        if (summary.dropped_log_lines > 0) {
            text << " log left out " << summary.dropped_log_lines << " lines";
        }
        text << "\n";
    }
    return text.str();
}

std::string timeline::to_svg() const {
    constexpr int width = 960;
    constexpr int height = 360;
    constexpr int left = 60;
    constexpr int top = 40;
    std::uint64_t max_count = 1;
    for (auto const& [second, summary] : m_summaries_by_second) {
        max_count = std::max(max_count, std::ranges::max(summary.counts));
    }
    auto const x = [&](std::size_t index) {
        return left + static_cast<double>(index) * (width - left) /
                          static_cast<double>(std::max<std::size_t>(1, m_summaries_by_second.size() - 1));
    };
    auto const y = [&](std::uint64_t value) {
        return top + height - static_cast<double>(value) * height / static_cast<double>(max_count);
    };
    std::ostringstream svg;
    svg << R"(<svg xmlns="http://www.w3.org/2000/svg" font-family="sans-serif" font-size="11" viewBox="0 0 )"
        << width + 20 << ' ' << height + top + 40 << "\">\n"
        << "<text x=\"4\" y=\"" << top << "\">" << max_count << "/s</text><text x=\"4\" y=\"" << top + height
        << "\">0</text>\n";
    for (std::size_t which = 0; which < series_count; ++which) {
        svg << "<text x=\"" << left + which * 120 << "\" y=\"16\" fill=\"" << series_colors[which] << "\">"
            << series_labels[which] << "</text>\n<polyline fill=\"none\" stroke=\"" << series_colors[which]
            << "\" points=\"";
        std::size_t index = 0;
        for (auto const& [second, summary] : m_summaries_by_second) {
            svg << x(index++) << ',' << y(summary.counts[which]) << ' ';
        }
        svg << "\"/>\n";
    }
    std::size_t index = 0;
    for (auto const& [second, summary] : m_summaries_by_second) {
        auto const mark_x = x(index++);
        auto const mark = [&](std::string_view color, std::string const& label) {
            svg << "<line x1=\"" << mark_x << "\" x2=\"" << mark_x << "\" y1=\"" << top << "\" y2=\""
                << top + height << "\" stroke=\"" << color << "\" stroke-dasharray=\"3\"/><text x=\""
                << mark_x << "\" y=\"" << top + height + 14 << "\" fill=\"" << color << "\">" << label
                << "</text>\n";
        };
        if (!summary.tables_versions.empty()) {
            mark("#17becf", "tables " + *summary.tables_versions.rbegin());
        }
        if (summary.store_losses > 0) {
            mark("#000000", "store lost");
        }
    }
    svg << "<text x=\"" << left << "\" y=\"" << top + height + 32 << "\">"
        << m_summaries_by_second.begin()->first << " to " << m_summaries_by_second.rbegin()->first
        << "</text>\n</svg>\n";
    return svg.str();
}

} // namespace pomelospread
