// Decides which instance reads the platform's target list: one instance reads it and sends it to the others,
// and an instance that has not received the list for long enough reads it itself. The instances need no
// agreement, as with the suppression timers of scalable reliable multicast (Floyd et al., SIGCOMM 1995).
#pragma once

#include "coordination/platform.hpp"

#include <chrono>
#include <cstdint>
#include <span>

namespace pomelospread {

struct list_poll_limits {
    std::chrono::milliseconds poll_interval{800}; ///< Between two reads of the first in rank.
    std::chrono::milliseconds rank_delay{60};     ///< Each rank waits this much longer than the one before.
    std::uint32_t max_rank = 7;                   ///< Later ranks wait only as long as this one.
    /// Between a failed read and the next one of the first in rank; later ranks wait longer.
    std::chrono::milliseconds retry_interval{700};
};

/// An instance that may read the list.
struct poll_candidate {
    instance_id id = 0;
    std::uint32_t processor_permille = 1000;
};

/// Computes an instance's rank among the live instances, and when an instance of a rank reads. Has no state.
class list_poll_schedule {
public:
    explicit list_poll_schedule(list_poll_limits limits = {}) : m_limits(limits) {}

    /// The largest instances come first: a small instance would need seconds to send a change to the complete
    /// fleet, and the list would then be older than its stated age. Instances of equal size are ordered by
    /// id, so that every instance computes the same order.
    [[nodiscard]] static std::uint32_t poll_rank(poll_candidate self, std::span<poll_candidate const> alive);

    /// The age of the list at which an instance of this rank reads it.
    [[nodiscard]] std::chrono::milliseconds max_list_age(std::uint32_t rank) const;
    /// How long an instance of this rank waits after a failed read.
    [[nodiscard]] std::chrono::milliseconds retry_delay(std::uint32_t rank) const;

private:
    list_poll_limits m_limits;
};

} // namespace pomelospread
