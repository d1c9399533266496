// A clock that goes on while the process or its machine is suspended.
#pragma once

#include <chrono>
#include <ctime>

namespace pomelospread {

/// `CLOCK_BOOTTIME`. The steady clock may stand still during a suspension, so it cannot measure how long a
/// permission that others may take back is valid. Thread-safe.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    [[nodiscard]] static time_point now() noexcept {
        timespec value{};
        ::clock_gettime(CLOCK_BOOTTIME, &value);
        return time_point(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
    }
};

} // namespace pomelospread
