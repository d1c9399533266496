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
    auto found = m_events.find(event);
    if (found == m_events.end()) {
        found = m_events.emplace(event, event_window{.window_start = now}).first;
    }
    auto& state = found->second;
    if (now - state.window_start >= seconds(1)) {
        state.window_start = now;
        state.admitted_lines = 0;
    }
    if (state.admitted_lines >= m_lines_per_second) {
        ++state.suppressed_lines;
        return false;
    }
    ++state.admitted_lines;
    return true;
}

void log_rate_limiter::report_suppressed(
    time_point now, std::function<void(std::string_view event, std::uint64_t left_out)> const& tell) {
    std::vector<std::pair<std::string, std::uint64_t>> counts;
    {
        std::lock_guard const lock(m_mutex);
        for (auto& [event, state] : m_events) {
            if (state.suppressed_lines > 0 && now - state.window_start >= seconds(1)) {
                counts.emplace_back(event, std::exchange(state.suppressed_lines, 0));
            }
        }
    }
    for (auto const& [event, left_out] : counts) {
        tell(event, left_out);
    }
}

} // namespace pomelospread
