#include "coordination/transit_delay_estimator.hpp"

#include <algorithm>

namespace pomelospread {

using std::chrono::milliseconds;

milliseconds transit_delay_estimator::extra_delay(std::string const& sender, milliseconds sent,
                                                  time_point received) {
    auto const difference = std::chrono::duration_cast<milliseconds>(received.time_since_epoch()) - sent;
    if (m_base_delays.size() >= max_senders && !m_base_delays.contains(sender)) {
        m_base_delays.clear();
    }
    auto const [found, added] = m_base_delays.try_emplace(
        sender, base_delay{.current = difference, .previous = difference, .half_started_at = received});
    auto& base = found->second;
    if (received - base.half_started_at >= window) {
        base = {.current = difference, .previous = difference, .half_started_at = received};
    } else if (received - base.half_started_at >= window / 2) {
        base = {.current = difference, .previous = base.current, .half_started_at = received};
    }
    base.current = std::min(base.current, difference);
    return difference - std::min(base.current, base.previous);
}

} // namespace pomelospread
