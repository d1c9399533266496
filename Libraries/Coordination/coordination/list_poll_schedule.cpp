#include "coordination/list_poll_schedule.hpp"

#include <algorithm>

namespace pomelospread {

std::uint32_t list_poll_schedule::poll_rank(poll_candidate self, std::span<poll_candidate const> alive) {
    auto const is_before_self = [&](poll_candidate const& other) {
        return other.processor_permille != self.processor_permille
                   ? other.processor_permille > self.processor_permille
                   : other.id < self.id;
    };
    return static_cast<std::uint32_t>(std::ranges::count_if(alive, is_before_self));
}

std::chrono::milliseconds list_poll_schedule::max_list_age(std::uint32_t rank) const {
    return m_limits.poll_interval + m_limits.rank_delay * std::min(rank, m_limits.max_rank);
}

std::chrono::milliseconds list_poll_schedule::retry_delay(std::uint32_t rank) const {
    // During an outage of the platform, frequent reads of one or two instances suffice to detect its end.
    return m_limits.retry_interval * (1 + std::min(rank, std::uint32_t{2}));
}

} // namespace pomelospread
