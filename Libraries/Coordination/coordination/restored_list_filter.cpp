#include "coordination/restored_list_filter.hpp"

#include <algorithm>

namespace pomelospread {

void restored_list_filter::begin_era(store_version version, std::span<listed_target const> known,
                                     time_point now) {
    m_began_at = now;
    m_first = version;
    m_first_rows.clear();
    m_leaving.clear();
    for (auto const& target : known) {
        if (target.leaving) {
            m_leaving[target.id] = target.started_unix_ms;
        }
    }
}

bool restored_list_filter::was_written_since(listed_target const& target, row_write const& write) {
    auto const [first, added] = m_first_rows.try_emplace(
        target.id, first_row{.started_unix_ms = target.started_unix_ms, .sequence = write.sequence});
    if (write.version > m_first.number) {
        return true;
    }
    return target.started_unix_ms == first->second.started_unix_ms
               ? write.sequence > first->second.sequence
               : target.started_unix_ms > first->second.started_unix_ms;
}

void restored_list_filter::correct_platform_list(target_list_snapshot& list,
                                                 std::span<listed_target const> known, time_point read_at) {
    if (m_first.era == 0 || list.version.era != m_first.era) {
        return;
    }
    std::vector<listed_target> corrected;
    for (std::size_t i = 0; i < list.targets.size(); ++i) {
        auto& target = list.targets[i];
        if (i < list.row_writes.size() && was_written_since(target, list.row_writes[i])) {
            // A stop is never taken back; the write may be one of before the restore, performed late.
            target.leaving = target.leaving || was_leaving(target);
            corrected.push_back(std::move(target));
            continue;
        }
        auto const found = std::ranges::lower_bound(known, target.id, {}, &listed_target::id);
        if (found == known.end() || found->id != target.id) {
            if (read_at - m_began_at > entry_expiry_time) {
                corrected.push_back(std::move(target));
            }
            continue;
        }
        if (target.started_unix_ms > found->started_unix_ms) {
            corrected.push_back(std::move(target));
            continue;
        }
        bool const leaves = target.leaving && target.started_unix_ms == found->started_unix_ms;
        corrected.push_back(*found);
        corrected.back().leaving = found->leaving || leaves;
    }
    list.targets = std::move(corrected);
    list.row_writes.clear();
}

void restored_list_filter::correct_peer_list(target_list_snapshot& list) const {
    if (m_first.era == 0 || list.version.era != m_first.era) {
        return;
    }
    for (auto& target : list.targets) {
        target.leaving = target.leaving || was_leaving(target);
    }
}

bool restored_list_filter::was_leaving(listed_target const& target) const {
    auto const found = m_leaving.find(target.id);
    return found != m_leaving.end() && found->second == target.started_unix_ms;
}

} // namespace pomelospread
