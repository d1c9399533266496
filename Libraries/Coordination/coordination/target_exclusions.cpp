#include "coordination/target_exclusions.hpp"

#include <algorithm>

namespace pomelospread {

bool target_exclusions::record_leaving(incarnation_key const& target, time_point now) {
    auto& known = find_or_add(target, now);
    return !std::exchange(known.leaving, true);
}

bool target_exclusions::is_leaving(incarnation_key const& target) const {
    auto const found = m_entries.find(target);
    return found != m_entries.end() && found->second.leaving;
}

bool target_exclusions::record_pause(incarnation_key const& target, time_point until, time_point now) {
    auto& known = find_or_add(target, now);
    bool const is_later = until > known.paused_until;
    known.paused_until = std::max(known.paused_until, until);
    return is_later;
}

target_exclusions::time_point target_exclusions::paused_until(incarnation_key const& target) const {
    auto const found = m_entries.find(target);
    return found == m_entries.end() ? time_point{} : found->second.paused_until;
}

void target_exclusions::record_listed(incarnation_key const& target, time_point now) {
    if (auto const found = m_entries.find(target); found != m_entries.end()) {
        found->second.last_listed_at = now;
    }
}

void target_exclusions::drop_expired(time_point now) {
    std::erase_if(m_entries, [now](auto const& each) {
        auto const& [last_listed_at, leaving, paused_until] = each.second;
        return paused_until <= now && (!leaving || now - last_listed_at > max_unlisted_age);
    });
}

target_exclusions::entry& target_exclusions::find_or_add(incarnation_key const& target, time_point now) {
    if (m_entries.size() >= max_incarnations && !m_entries.contains(target)) {
        drop_expired(now);
    }
    if (m_entries.size() >= max_incarnations && !m_entries.contains(target)) {
        m_entries.erase(std::ranges::min_element(
            m_entries, {}, [](auto const& each) { return each.second.last_listed_at; }));
    }
    auto& found = m_entries[target];
    found.last_listed_at = now;
    return found;
}

} // namespace pomelospread
