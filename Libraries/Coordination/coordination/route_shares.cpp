#include "coordination/route_shares.hpp"

#include <cmath>

namespace pomelospread {

route_shares::counts route_shares::decayed(counts const& value, time_point now) const {
    if (now <= value.updated_at) {
        return value;
    }
    std::chrono::duration<double, std::milli> const age = now - value.updated_at;
    auto const factor = std::exp2(-age.count() / static_cast<double>(m_policy.half_life.count()));
    return {.arrived = value.arrived * factor, .admitted = value.admitted * factor, .updated_at = now};
}

void route_shares::add(std::uint32_t route, double arrived, double admitted, time_point now) {
    if (m_routes.size() >= max_routes && !m_routes.contains(route)) {
        std::erase_if(m_routes, [&](auto const& entry) { return decayed(entry.second, now).arrived < 1.0; });
    }
    for (auto* const each : {&m_total, &m_routes[route]}) {
        *each = decayed(*each, now);
        each->arrived += arrived;
        each->admitted += admitted;
    }
}

void route_shares::record_arrival(std::uint32_t route, time_point now) {
    add(route, 1.0, 0.0, now);
}

void route_shares::record_admission(std::uint32_t route, time_point now) {
    add(route, 0.0, 1.0, now);
}

bool route_shares::is_underserved(std::uint32_t route, time_point now) const {
    auto const found = m_routes.find(route);
    if (found == m_routes.end()) {
        return false;
    }
    auto const own = decayed(found->second, now);
    auto const total = decayed(m_total, now);
    return own.arrived >= m_policy.min_arrivals &&
           own.admitted * total.arrived < m_policy.min_relative_share * total.admitted * own.arrived;
}

} // namespace pomelospread
