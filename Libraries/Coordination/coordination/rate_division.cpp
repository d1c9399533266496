#include "coordination/rate_division.hpp"

#include <algorithm>

namespace pomelospread {

rate_part rate_division::part_of(endpoint const& instance) const {
    if (is_settled()) {
        return {.divisor = std::max<std::size_t>(1, holders.size()), .is_held = holders.contains(instance)};
    }
    return {.divisor = std::max({std::size_t{1}, holders.size(), previous_holders->size()}),
            .is_held = holders.contains(instance) && previous_holders->contains(instance)};
}

bool rate_lease::learn(rate_division const& division, time_point as_of, time_point now) {
    if (m_is_known && division.version < m_division.version) {
        return false;
    }
    bool const is_newer = !m_is_known || division.version > m_division.version;
    if (is_newer) {
        m_division = division;
        m_is_known = true;
        m_learned_at = now;
    }
    // An older version was confirmed at an earlier moment, so this one was in the store after that.
    m_confirmed_at = std::max(m_confirmed_at, as_of);
    return is_newer;
}

rate_lease::time_point rate_lease::valid_until() const noexcept {
    return m_confirmed_at == time_point{} ? time_point{} : m_confirmed_at + m_duration;
}

rate_division_state rate_lease::state(time_point now) const {
    rate_division_state result{.division = m_division, .confirmed_age = std::nullopt};
    if (m_confirmed_at != time_point{}) {
        // Rounded up: a receiver must not take the confirmation for a later one.
        result.confirmed_age = std::chrono::ceil<std::chrono::milliseconds>(now - m_confirmed_at);
    }
    return result;
}

} // namespace pomelospread
