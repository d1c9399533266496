// Estimates how long a datagram waited on its way, so that news which was delayed in a full link is not taken
// for fresh.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace pomelospread {

/// The clocks of two instances differ by an unknown amount, so a datagram's delay is measured against the
/// least one of the last `window` from the same sender (the base delay of RFC 6817). A sender whose clock
/// stood still, as during a suspension, appears late until the window has passed. Not thread-safe; time is
/// passed in.
class transit_delay_estimator {
public:
    using time_point = std::chrono::steady_clock::time_point;

    static constexpr auto window = std::chrono::seconds(10);

    /// The time that a datagram took beyond the base delay of its sender. `sent` is the sender's clock at the
    /// time of sending, as a duration since an arbitrary but fixed time.
    [[nodiscard]] std::chrono::milliseconds extra_delay(std::string const& sender,
                                                        std::chrono::milliseconds sent, time_point received);

private:
    /// The least difference of the two clocks in the current half of the window and in the one before it.
    struct base_delay {
        std::chrono::milliseconds current{};
        std::chrono::milliseconds previous{};
        time_point half_started_at;
    };

    static constexpr std::size_t max_senders = 4096;

    std::map<std::string, base_delay> m_base_delays;
};

} // namespace pomelospread
