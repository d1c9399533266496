#include "coordination/target_list_cache.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace pomelospread {

std::uint64_t target_list_digest(std::vector<listed_target> const& targets) {
    std::string text;
    for (auto const& target : targets) {
        // The remaining warm-up time is left out: it shrinks with each read and is not a change of the list.
        text += target.id + '\n' + target.pool + '\n' + to_string(target.address) + '\n' + target.zone +
                '\n' + std::to_string(target.slots) + (target.leaving ? "L" : "R") +
                std::to_string(target.started_unix_ms) + '\n';
    }
    return XXH3_64bits(text.data(), text.size());
}

bool target_list_cache::apply_platform_snapshot(target_list_snapshot snapshot, time_point read_at) {
    if (snapshot.version < m_snapshot.version) {
        return false;
    }
    begin_era_if_newer(snapshot.version, read_at);
    m_restored_list_filter.correct_platform_list(snapshot, m_snapshot.targets, read_at);
    snapshot.row_writes.clear();
    if (m_outage_seen_at || is_outdated(read_at)) {
        m_outage_ended_at = read_at;
    }
    m_outage_seen_at.reset();
    if (m_outage_ended_at != time_point{} && read_at - m_outage_ended_at < m_limits.reregistration_time) {
        for (auto const& known : m_snapshot.targets) {
            auto const listed = std::ranges::lower_bound(snapshot.targets, known.id, {}, &listed_target::id);
            if (listed == snapshot.targets.end() || listed->id != known.id) {
                snapshot.targets.insert(listed, known);
                snapshot.retained_ids.push_back(known.id);
            }
        }
    }
    return replace(std::move(snapshot), read_at);
}

bool target_list_cache::apply_peer_snapshot(target_list_snapshot snapshot, time_point read_at) {
    if (snapshot.version < m_snapshot.version) {
        return false;
    }
    begin_era_if_newer(snapshot.version, read_at);
    if (!has_snapshot() && snapshot.version.era > first_store_era) {
        m_restored_list_filter.begin_era(snapshot.version, snapshot.targets, read_at);
    }
    m_restored_list_filter.correct_peer_list(snapshot);
    if (has_snapshot()) {
        replace_retained_entries(snapshot);
    }
    end_outage_by_peer(read_at);
    return replace(std::move(snapshot), read_at);
}

void target_list_cache::begin_era_if_newer(store_version version, time_point read_at) {
    if (has_snapshot() && version.era > m_snapshot.version.era) {
        m_restored_list_filter.begin_era(version, m_snapshot.targets, read_at);
        m_outage_ended_at = read_at;
    }
}

void target_list_cache::replace_retained_entries(target_list_snapshot& snapshot) const {
    for (auto const& id : std::exchange(snapshot.retained_ids, {})) {
        auto const listed = std::ranges::find(snapshot.targets, id, &listed_target::id);
        auto const known = std::ranges::lower_bound(m_snapshot.targets, id, {}, &listed_target::id);
        if (listed == snapshot.targets.end()) {
            continue;
        }
        if (known == m_snapshot.targets.end() || known->id != id) {
            snapshot.targets.erase(listed);
            continue;
        }
        *listed = *known;
        snapshot.retained_ids.push_back(id);
    }
}

void target_list_cache::end_outage_by_peer(time_point read_at) {
    if (m_outage_seen_at && read_at > *m_outage_seen_at) {
        m_outage_ended_at = read_at;
        m_outage_seen_at.reset();
    }
}

bool target_list_cache::replace(target_list_snapshot snapshot, time_point read_at) {
    m_read_at = std::max(m_read_at, read_at);
    m_snapshot = std::move(snapshot);
    auto const digest = target_list_digest(m_snapshot.targets);
    bool const changed = digest != m_digest;
    m_digest = digest;
    return changed;
}

void target_list_cache::record_read_failure(time_point now) {
    if (now - m_read_at > m_limits.max_read_gap / 2) {
        m_outage_seen_at = now;
    }
}

void target_list_cache::confirm_unchanged(store_version version, std::uint64_t digest, time_point read_at) {
    if (digest != m_digest || version < m_snapshot.version) {
        return;
    }
    begin_era_if_newer(version, read_at);
    end_outage_by_peer(read_at);
    m_snapshot.version = version;
    m_read_at = std::max(m_read_at, read_at);
}

} // namespace pomelospread
