#include "coordination/zone_evacuations.hpp"

#include <algorithm>

namespace pomelospread {

bool zone_evacuations::merge(std::span<zone_evacuation const> changes) {
    bool changed = false;
    for (auto const& change : changes) {
        auto const known = m_changes.find(change.zone);
        if (known == m_changes.end()) {
            if (m_changes.size() < max_zones) {
                m_changes.emplace(change.zone, change);
                changed = true;
            }
            continue;
        }
        if (change.changed_at > known->second.changed_at) {
            known->second = change;
            changed = true;
        }
    }
    return changed;
}

bool zone_evacuations::apply_complete_read(std::span<zone_evacuation const> evacuated,
                                           store_version read_at) {
    std::vector<zone_evacuation> changes(evacuated.begin(), evacuated.end());
    for (auto const& [zone, known] : m_changes) {
        bool const is_listed = std::ranges::find(evacuated, zone, &zone_evacuation::zone) != evacuated.end();
        if (!is_listed && known.is_evacuated) {
            changes.push_back({.zone = zone, .changed_at = read_at, .is_evacuated = false});
        }
    }
    return merge(changes);
}

bool zone_evacuations::is_evacuated(std::string_view zone) const {
    auto const found = m_changes.find(zone);
    return found != m_changes.end() && found->second.is_evacuated;
}

std::vector<zone_evacuation> zone_evacuations::changes() const {
    std::vector<zone_evacuation> result;
    for (auto const& [zone, change] : m_changes) {
        result.push_back(change);
    }
    return result;
}

} // namespace pomelospread
