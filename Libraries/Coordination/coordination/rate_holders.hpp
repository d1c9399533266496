// Decides among which instances a fleet-wide rate is divided.
#pragma once

#include "base/endpoint.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace pomelospread {

struct rate_holder_policy {
    /// A holder that is silent may be cut off and still serve callers, so its part is not given to others for
    /// so long. Partitions of a fleet last minutes.
    std::chrono::minutes silence_limit{60};
    /// Each holder keeps a whole token of every limit, so their number is bounded.
    std::size_t max_holders = 16;
};

/// What is known of an instance at a peer address.
enum class holder_status : std::uint8_t {
    alive,
    gone,   ///< It announced that it leaves.
    silent, ///< Dead, or cut off from this instance.
};

/// The instances that hold parts of the fleet's rates: its homes, also those that are silent. A new home
/// becomes one when none is silent; until then it gets its tokens from the others. Not thread-safe; time is
/// passed in.
class rate_holders {
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit rate_holders(rate_holder_policy policy = {}) : m_policy(policy) {}

    /// `homes` are the instances that are homes of any pool; `status_of` tells what is known of an address.
    template<class StatusOf>
    void refresh(std::set<endpoint> const& homes, StatusOf const& status_of, time_point now) {
        bool has_silent_holder = false;
        std::erase_if(m_last_seen, [&](auto const& entry) {
            if (homes.contains(entry.first)) {
                return false;
            }
            // An instance that is alive and no home any more knows that it is none.
            bool const is_over = status_of(entry.first) != holder_status::silent ||
                                 now - entry.second > m_policy.silence_limit;
            has_silent_holder = has_silent_holder || !is_over;
            return is_over;
        });
        // In a partition, each side may replace the homes of the other one. New holders on both sides would
        // together generate more than the rate.
        for (auto const& home : homes) {
            if (!has_silent_holder || m_last_seen.contains(home)) {
                m_last_seen[home] = now;
            }
        }
    }

    /// The holders in order of their addresses, which every instance with the same knowledge agrees on.
    [[nodiscard]] std::vector<endpoint> holders() const {
        std::vector<endpoint> result;
        for (auto const& [address, seen] : m_last_seen) {
            if (result.size() < m_policy.max_holders) {
                result.push_back(address);
            }
        }
        return result;
    }

private:
    rate_holder_policy m_policy;
    std::map<endpoint, time_point> m_last_seen;
};

} // namespace pomelospread
