// Who reads the platform's list of targets: one instance reads and tells the rest, and each one that was told
// nothing for long enough reads for itself. No agreement is needed, as with the suppression timers of
// scalable reliable multicast (Floyd et al., SIGCOMM 1995).
#pragma once

#include "coordination/platform.hpp"

#include <chrono>
#include <cstdint>
#include <span>

namespace pomelospread {

struct list_poll_limits {
    std::chrono::milliseconds poll_interval{800}; ///< Between the readings of the first in rank.
    std::chrono::milliseconds rank_delay{60}; ///< Each rank waits this much longer before it reads itself.
    std::uint32_t max_rank = 7;               ///< Later ranks wait no longer than this one.
    std::chrono::milliseconds retry_interval{
        700}; ///< After a failure of the first in rank; later ranks wait longer.
};

/// An instance that may read.
struct poll_candidate {
    instance_id id = 0;
    std::uint32_t processor_permille = 1000;
};

/// The instance's rank among the live ones, and when it reads. Pure.
class list_poll_schedule {
public:
    explicit list_poll_schedule(list_poll_limits limits = {}) : m_limits(limits) {}

    /// The largest instances come first, since telling a change to the whole fleet fills a small one's link
    /// for seconds and the rest takes late news for fresh; then the identities decide, so that every instance
    /// comes to the same order.
    [[nodiscard]] static std::uint32_t poll_rank(poll_candidate self, std::span<poll_candidate const> alive);

    /// How old the list may become at this rank before the instance reads it.
    [[nodiscard]] std::chrono::milliseconds max_list_age(std::uint32_t rank) const;
    /// The pause before the next try after a failure at this rank.
    [[nodiscard]] std::chrono::milliseconds retry_delay(std::uint32_t rank) const;

private:
    list_poll_limits m_limits;
};

} // namespace pomelospread
