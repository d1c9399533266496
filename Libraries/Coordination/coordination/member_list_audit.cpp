#include "coordination/member_list_audit.hpp"

#include <algorithm>
#include <random>

namespace pomelospread {

member_list_findings member_list_audit::compare(std::span<listed_member const> listed,
                                                membership const& members, time_point now) {
    member_list_findings findings{.is_unregistered = true, .own_row_version = 0, .unheard = {}, .gone = {}};
    std::map<instance_id, time_point> silent_since;
    m_unheard.clear();
    for (auto const& row : listed) {
        if (row.entry.peer_address == members.self().peer_address) {
            findings.is_unregistered = row.entry.id != members.self().id;
            findings.own_row_version = row.row_version;
            continue;
        }
        if (members.is_heard(row.entry.id)) {
            continue;
        }
        auto const known_since = m_silent_since.find(row.entry.id);
        auto const since = known_since == m_silent_since.end() ? now : known_since->second;
        silent_since[row.entry.id] = since;
        if (now - since >= m_policy.silence_until_removal) {
            findings.gone.push_back(row);
        } else {
            findings.unheard.push_back(row.entry);
            m_unheard.insert(row.entry.id);
        }
    }
    m_silent_since = std::move(silent_since);
    return findings;
}

bool member_list_audit::is_read_due(membership const& members, time_point now, random_source& random) {
    auto const mean = m_policy.fleet_interval * static_cast<double>(members.view().size());
    bool const is_first_call = m_last_read == time_point{};
    if (!is_first_call && now - m_last_read < mean * m_intervals_until_read) {
        return false;
    }
    m_last_read = now;
    m_intervals_until_read = std::exponential_distribution<double>(1.0)(random);
    return !is_first_call;
}

bool member_list_audit::should_introduce(instance_id sender, membership const& members, time_point now) {
    bool const was_unheard = m_unheard.erase(sender) > 0 && !members.is_heard(sender);
    if (sender == members.self().id || (!was_unheard && members.is_member(sender))) {
        return false;
    }
    if (now - m_introductions_since >= std::chrono::seconds(1)) {
        m_introductions_since = now;
        m_introductions = 0;
    }
    return ++m_introductions <= m_policy.max_introductions_per_second;
}

} // namespace pomelospread
