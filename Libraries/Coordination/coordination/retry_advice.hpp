// Decides when a refused request should be sent again.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace pomelospread {

struct retry_advice_policy {
    std::chrono::nanoseconds min_delay = std::chrono::milliseconds(50);
    /// A longer wait leaves no time for most latency objectives.
    std::chrono::nanoseconds max_delay = std::chrono::milliseconds(1000);
    /// Spread of the delays while the pool's rate is unknown.
    std::chrono::nanoseconds initial_spread = std::chrono::milliseconds(150);
    /// Returning requests are expected no more often than once in so many releases of capacity; the others
    /// are left to new requests.
    int releases_per_return = 2;
};

/// Assigns the refused requests of a pool consecutive times after the queue is expected to be served, so that
/// callers who return when told neither find the same queue nor all return at once. Not thread-safe; time is
/// passed in.
class retry_advice {
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit retry_advice(retry_advice_policy policy = {}) : m_policy(policy) {}

    /// The delay of the next refused request. `release_interval`: mean time between two releases of capacity,
    /// zero while unknown. `random`: from 0 to 1.
    [[nodiscard]] std::chrono::nanoseconds delay(std::size_t queue_length,
                                                 std::chrono::nanoseconds release_interval, double random,
                                                 time_point now) {
        if (release_interval.count() <= 0) {
            return m_policy.min_delay + scaled(m_policy.initial_spread, random);
        }
        auto const spacing = release_interval * m_policy.releases_per_return;
        auto const queue_time = release_interval * static_cast<std::int64_t>(queue_length + 1);
        auto const time = std::max(now + std::max(m_policy.min_delay, queue_time), m_last_return + spacing);
        if (time + spacing > now + m_policy.max_delay) {
            // The times up to the maximum are assigned: the rest is spread over the later half.
            return m_policy.max_delay - scaled(m_policy.max_delay / 2, random);
        }
        m_last_return = time;
        return time - now + scaled(spacing, random);
    }

private:
    static std::chrono::nanoseconds scaled(std::chrono::nanoseconds value, double factor) {
        return std::chrono::nanoseconds(
            static_cast<std::int64_t>(static_cast<double>(value.count()) * factor));
    }

    retry_advice_policy m_policy;
    time_point m_last_return;
};

} // namespace pomelospread
