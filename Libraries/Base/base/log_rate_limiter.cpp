#include "base/log_rate_limiter.hpp"

#include <utility>
#include <vector>

namespace pomelospread {

using std::chrono::seconds;

void log_rate_limiter::set_lines_per_second(std::uint32_t value) {
    std::lock_guard const lock(m_mutex);
    m_lines_per_second = value;
}

bool log_rate_limiter::admit(std::string_view event, time_point now) {
    std::lock_guard const lock(m_mutex);
    auto entry = m_events.find(event);
    if (entry == m_events.end()) {
        entry = m_events.emplace(event, event_window{.window_start = now}).first;
    }
    auto& window = entry->second;
    if (now - window.window_start >= seconds(1)) {
        window.window_start = now;
        window.admitted_lines = 0;
    }
    if (window.admitted_lines >= m_lines_per_second) {
        ++window.suppressed_lines;
        return false;
    }
    ++window.admitted_lines;
    return true;
}

void log_rate_limiter::report_suppressed(
    time_point now, std::function<void(std::string_view event, std::uint64_t lines)> const& report) {
    std::vector<std::pair<std::string, std::uint64_t>> counts;
    {
        std::lock_guard const lock(m_mutex);
        for (auto& [event, window] : m_events) {
            if (window.suppressed_lines > 0 && now - window.window_start >= seconds(1)) {
                counts.emplace_back(event, std::exchange(window.suppressed_lines, 0));
            }
        }
    }
    for (auto const& [event, lines] : counts) {
        report(event, lines);
    }
}

} // namespace pomelospread
