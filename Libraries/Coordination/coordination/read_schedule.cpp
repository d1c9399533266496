#include "coordination/read_schedule.hpp"

#include <algorithm>

namespace pomelospread {

std::uint32_t read_schedule::rank_of(list_reader self, std::span<list_reader const> alive) {
    auto const is_before_self = [&](list_reader const& other) {
        return other.processor_permille != self.processor_permille
                   ? other.processor_permille > self.processor_permille
                   : other.id < self.id;
    };
    return static_cast<std::uint32_t>(std::ranges::count_if(alive, is_before_self));
}

std::chrono::milliseconds read_schedule::allowed_age(std::uint32_t rank) const {
    return m_limits.period + m_limits.step * std::min(rank, m_limits.max_rank);
}

std::chrono::milliseconds read_schedule::pause_after_failure(std::uint32_t rank) const {
    // While the platform is away, one or two instances that ask are enough to find it back.
    return m_limits.retry * (1 + std::min(rank, std::uint32_t{2}));
}

} // namespace pomelospread
