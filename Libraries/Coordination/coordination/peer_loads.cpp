#include "coordination/peer_loads.hpp"

#include <algorithm>

namespace pomelospread {

void peer_loads::update(instance_id peer, std::span<std::uint16_t const> in_flight, nanoseconds now) {
    auto& counts = m_counts_by_peer[peer];
    subtract(counts);
    counts.received_at = now;
    counts.in_flight.assign(in_flight.begin(), in_flight.end());
    counts.in_flight.resize(m_sums.size());
    for (std::size_t i = 0; i < m_sums.size(); ++i) {
        m_sums[i] += counts.in_flight[i];
    }
}

void peer_loads::expire(nanoseconds now) {
    std::erase_if(m_counts_by_peer, [&](auto const& entry) {
        bool const expired = now - entry.second.received_at > max_age;
        if (expired) {
            subtract(entry.second);
        }
        return expired;
    });
}

std::vector<instance_id> peer_loads::sending_peers() const {
    std::vector<instance_id> result;
    for (auto const& [peer, counts] : m_counts_by_peer) {
        result.push_back(peer);
    }
    return result;
}

void peer_loads::apply_to(target_pool& pool) const {
    auto const count = std::min(m_sums.size(), pool.size());
    for (std::size_t i = 0; i < count; ++i) {
        pool.set_peer_in_flight(static_cast<std::uint32_t>(i), m_sums[i]);
    }
}

void peer_loads::subtract(received_counts const& counts) {
    for (std::size_t i = 0; i < counts.in_flight.size(); ++i) {
        m_sums[i] -= counts.in_flight[i];
    }
}

} // namespace pomelospread
