#include "coordination/group_shares.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>

namespace pomelospread {

namespace {

using milliseconds_f = std::chrono::duration<double, std::milli>;

/// The decayed count of one event per millisecond, `age` after the first.
double steady_count(std::chrono::milliseconds half_life, milliseconds_f age) {
    auto const half_life_ms = static_cast<double>(half_life.count());
    return half_life_ms / std::numbers::ln2 * (1.0 - std::exp2(-age.count() / half_life_ms));
}

} // namespace

group_shares::counts group_shares::decayed(counts const& value, std::chrono::milliseconds half_life,
                                           time_point now) {
    if (now <= value.updated_at) {
        return value;
    }
    milliseconds_f const age = now - value.updated_at;
    auto const factor = std::exp2(-age.count() / static_cast<double>(half_life.count()));
    return {.arrived = value.arrived * factor, .admitted = value.admitted * factor, .updated_at = now};
}

group_shares::counts group_shares::sum(counts value, double arrived, double admitted) {
    value.arrived += arrived;
    value.admitted += admitted;
    return value;
}

void group_shares::forget_inactive(time_point now) {
    std::erase_if(m_groups, [&](auto const& entry) {
        auto const& value = entry.second;
        return (keeps_usual() ? decayed(value.usual, m_policy.usual_half_life, now)
                              : decayed(value.recent, m_policy.half_life, now))
                   .arrived < 1.0;
    });
    // With more active groups than this, a scan for each new group would cost more than the memory.
    m_forget_at = std::max(min_groups_to_forget, 2 * m_groups.size());
}

void group_shares::add(std::uint32_t group, double arrived, double admitted, time_point now) {
    if (m_groups.size() >= m_forget_at && !m_groups.contains(group)) {
        forget_inactive(now);
    }
    auto const [found, added] = m_groups.try_emplace(group);
    if (added) {
        found->second.first_seen = now;
    }
    auto& own = found->second;
    own.recent = sum(decayed(own.recent, m_policy.half_life, now), arrived, admitted);
    m_total.recent = sum(decayed(m_total.recent, m_policy.half_life, now), arrived, admitted);
    if (!keeps_usual()) {
        return;
    }
    if (arrived > 0) {
        own.usual_weight = usual_weight(own, now);
        own.last_arrival = now;
    }
    auto const weight = own.usual_weight;
    own.usual = sum(decayed(own.usual, m_policy.usual_half_life, now), arrived * weight, admitted * weight);
    m_total.usual =
        sum(decayed(m_total.usual, m_policy.usual_half_life, now), arrived * weight, admitted * weight);
}

void group_shares::record_arrival(std::uint32_t group, time_point now) {
    add(group, 1.0, 0.0, now);
}

void group_shares::record_admission(std::uint32_t group, time_point now) {
    add(group, 0.0, 1.0, now);
}

bool group_shares::is_underserved(counts const& own, counts const& total) const {
    return own.arrived >= m_policy.min_arrivals &&
           own.admitted * total.arrived < m_policy.min_relative_share * total.admitted * own.arrived;
}

bool group_shares::is_underserved(std::uint32_t group, time_point now) const {
    auto const found = m_groups.find(group);
    if (found == m_groups.end()) {
        return false;
    }
    auto const recent = decayed(found->second.recent, m_policy.half_life, now);
    if (recent.arrived >= m_policy.min_arrivals || !keeps_usual()) {
        return is_underserved(recent, decayed(m_total.recent, m_policy.half_life, now));
    }
    return is_underserved(decayed(found->second.usual, m_policy.usual_half_life, now),
                          decayed(m_total.usual, m_policy.usual_half_life, now));
}

double group_shares::usual_recent(group_counts const& own, time_point now) const {
    if (now <= own.first_seen) {
        return std::numeric_limits<double>::infinity();
    }
    milliseconds_f const age = now - own.first_seen;
    return decayed(own.usual, m_policy.usual_half_life, now).arrived * steady_count(m_policy.half_life, age) /
           steady_count(m_policy.usual_half_life, age);
}

double group_shares::burst_limit(group_counts const& own, time_point now) const {
    return m_policy.min_burst_multiple * usual_recent(own, now) + m_policy.min_arrivals;
}

double group_shares::usual_weight(group_counts const& own, time_point now) const {
    auto const limit = burst_limit(own, now);
    if (own.recent.arrived <= limit) {
        return 1.0;
    }
    auto const limit_per_ms = limit / steady_count(m_policy.half_life, now - own.first_seen);
    return std::min(1.0, limit_per_ms * milliseconds_f(now - own.last_arrival).count());
}

bool group_shares::is_over_usual(std::uint32_t group, time_point now) const {
    auto const found = m_groups.find(group);
    if (!keeps_usual() || found == m_groups.end()) {
        return false;
    }
    auto const& own = found->second;
    auto const recent = decayed(own.recent, m_policy.half_life, now);
    return recent.arrived > burst_limit(own, now) && recent.admitted > usual_recent(own, now);
}

} // namespace pomelospread
