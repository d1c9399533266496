// Bounds the requests that a fleet sends to a target that is warming up.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace pomelospread {

struct cold_target_policy {
    /// Requests that all instances together may send to a cold target beyond its rate within one second.
    double fleet_slack = 8.0;
    /// The parts of the rate and of the slack that are used. The rest is headroom for homes that have not
    /// discovered each other yet.
    double used_rate_share = 0.9;
    double used_slack_share = 0.75;
};

/// One instance's part of a cold target's rate: a token bucket that holds one request. Homes share the rate
/// evenly, in the order in which they use the target's last free slot; each bucket may be full at once, so
/// only as many homes as the slack has requests use a cold target.
class cold_target_budget {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Whether a request may be sent now.
    [[nodiscard]] bool is_available(double fleet_rate, std::uint32_t rank, std::size_t home_count,
                                    cold_target_policy const& policy, time_point now) const {
        if (rank >= static_cast<std::uint32_t>(policy.fleet_slack * policy.used_slack_share)) {
            return false;
        }
        auto const rate =
            fleet_rate * policy.used_rate_share / static_cast<double>(std::max<std::size_t>(1, home_count));
        return m_sent_at == time_point{} ||
               std::chrono::duration<double>(now - m_sent_at).count() * rate >= 1.0;
    }
    void record_request(time_point now) { m_sent_at = now; }

private:
    time_point m_sent_at{};
};

} // namespace pomelospread
