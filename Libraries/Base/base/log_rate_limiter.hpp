// Limits the number of log lines per second of each event and counts the suppressed lines.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace pomelospread {

/// Thread-safe; time is passed in.
class log_rate_limiter {
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit log_rate_limiter(std::uint32_t lines_per_second) : m_lines_per_second(lines_per_second) {}

    void set_lines_per_second(std::uint32_t value);
    /// Whether a line of the event may be written now. When not, the line is counted as suppressed.
    [[nodiscard]] bool admit(std::string_view event, time_point now);
    /// Passes each event's count of suppressed lines to `report` and resets it, once the event's one-second
    /// window has ended.
    void report_suppressed(time_point now,
                           std::function<void(std::string_view event, std::uint64_t lines)> const& report);

private:
    struct event_window {
        time_point window_start;
        std::uint32_t admitted_lines = 0;
        std::uint64_t suppressed_lines = 0;
    };

    std::mutex m_mutex;
    std::uint32_t m_lines_per_second;
    std::map<std::string, event_window, std::less<>> m_events;
};

} // namespace pomelospread
