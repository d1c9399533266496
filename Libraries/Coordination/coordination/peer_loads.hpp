// The in-flight counts that other instances sent for the targets of one pool.
#pragma once

#include "coordination/platform.hpp"
#include "coordination/target_pool.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace pomelospread {

/// Sums the latest counts of every other instance. Not thread-safe; time is passed in.
class peer_loads {
public:
    /// The counts of an instance are dropped when it sent none for this long.
    static constexpr nanoseconds max_age = std::chrono::seconds(1);

    explicit peer_loads(std::size_t targets) : m_sums(targets) {}

    /// Replaces the counts of an instance, ordered as the targets of the pool row; missing counts are zero.
    void update(instance_id peer, std::span<std::uint16_t const> in_flight, nanoseconds now);
    /// Drops the counts of instances that sent none for `max_age`.
    void expire(nanoseconds now);

    /// How many requests the instances of `sending_peers` together have in flight at a target.
    [[nodiscard]] std::uint32_t in_flight(std::size_t target) const { return m_sums[target]; }
    [[nodiscard]] std::size_t size() const noexcept { return m_sums.size(); }
    /// The instances whose counts are included.
    [[nodiscard]] std::vector<instance_id> sending_peers() const;
    /// Copies the sums into a pool, which chooses targets by them.
    void apply_to(target_pool& pool) const;

private:
    struct received_counts {
        std::vector<std::uint16_t> in_flight;
        nanoseconds received_at{};
    };

    void subtract(received_counts const& counts);

    std::map<instance_id, received_counts> m_counts_by_peer;
    std::vector<std::uint32_t> m_sums;
};

} // namespace pomelospread
