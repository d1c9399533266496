#include "base/log_budget.hpp"

#include <utility>
#include <vector>

namespace pomelospread {

using std::chrono::seconds;

void log_budget::set_lines_per_second(std::uint32_t value) {
    std::lock_guard const lock(m_mutex);
    m_lines_per_second = value;
}

bool log_budget::admit(std::string_view event, time_point now) {
    std::lock_guard const lock(m_mutex);
    auto found = m_events.find(event);
    if (found == m_events.end()) {
        found = m_events.emplace(event, event_state{.second_began = now}).first;
    }
    auto& state = found->second;
    if (now - state.second_began >= seconds(1)) {
        state.second_began = now;
        state.written = 0;
    }
    if (state.written >= m_lines_per_second) {
        ++state.left_out;
        return false;
    }
    ++state.written;
    return true;
}

void log_budget::report(time_point now,
                        std::function<void(std::string_view event, std::uint64_t left_out)> const& tell) {
    std::vector<std::pair<std::string, std::uint64_t>> counts;
    {
        std::lock_guard const lock(m_mutex);
        for (auto& [event, state] : m_events) {
            if (state.left_out > 0 && now - state.second_began >= seconds(1)) {
                counts.emplace_back(event, std::exchange(state.left_out, 0));
            }
        }
    }
    for (auto const& [event, left_out] : counts) {
        tell(event, left_out);
    }
}

} // namespace pomelospread
