#include "coordination/kind_shares.hpp"

#include <cmath>

namespace pomelospread {

kind_shares::counts kind_shares::decayed(counts const& value, time_point now) const {
    if (now <= value.updated_at) {
        return value;
    }
    std::chrono::duration<double, std::milli> const age = now - value.updated_at;
    auto const factor = std::exp2(-age.count() / static_cast<double>(m_policy.half_life.count()));
    return {.arrived = value.arrived * factor, .admitted = value.admitted * factor, .updated_at = now};
}

void kind_shares::add(std::uint32_t kind, double arrived, double admitted, time_point now) {
    if (m_kinds.size() >= max_kinds && !m_kinds.contains(kind)) {
        std::erase_if(m_kinds, [&](auto const& entry) { return decayed(entry.second, now).arrived < 1.0; });
    }
    for (auto* const each : {&m_total, &m_kinds[kind]}) {
        *each = decayed(*each, now);
        each->arrived += arrived;
        each->admitted += admitted;
    }
}

void kind_shares::record_arrival(std::uint32_t kind, time_point now) {
    add(kind, 1.0, 0.0, now);
}

void kind_shares::record_admission(std::uint32_t kind, time_point now) {
    add(kind, 0.0, 1.0, now);
}

bool kind_shares::is_underserved(std::uint32_t kind, time_point now) const {
    auto const found = m_kinds.find(kind);
    if (found == m_kinds.end()) {
        return false;
    }
    auto const own = decayed(found->second, now);
    auto const total = decayed(m_total, now);
    return own.arrived >= m_policy.min_arrivals &&
           own.admitted * total.arrived < m_policy.min_relative_share * total.admitted * own.arrived;
}

} // namespace pomelospread
