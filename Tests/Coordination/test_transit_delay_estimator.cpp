#include "coordination/transit_delay_estimator.hpp"

#include <CppUTest/TestHarness.h>

using namespace pomelospread;
using namespace std::chrono_literals;

TEST_GROUP(transit_delay_estimators) {
    std::chrono::steady_clock::time_point start{std::chrono::hours(5)};
    transit_delay_estimator estimator;

    /// A datagram that the sender, whose clock is 7 s behind, sends at `sent` and that takes `transit`.
    std::chrono::milliseconds receive(std::chrono::milliseconds sent, std::chrono::milliseconds transit) {
        return estimator.extra_delay(
            "10.0.0.1",
            std::chrono::duration_cast<std::chrono::milliseconds>(start.time_since_epoch()) + sent - 7s,
            start + sent + transit);
    }
};

TEST(transit_delay_estimators, a_delay_beyond_the_least_one_is_seen) {
    LONGS_EQUAL(0, receive(0ms, 3ms).count());
    LONGS_EQUAL(0, receive(100ms, 2ms).count());
    LONGS_EQUAL(1400, receive(200ms, 1402ms).count());
    LONGS_EQUAL(3, receive(1700ms, 5ms).count());
}

TEST(transit_delay_estimators, senders_are_independent) {
    LONGS_EQUAL(0, receive(0ms, 3ms).count());
    LONGS_EQUAL(0, estimator.extra_delay("10.0.0.2", 1ms, start + 5s).count());
}

TEST(transit_delay_estimators, a_sender_whose_clock_stood_still_counts_as_late_for_the_window_only) {
    LONGS_EQUAL(0, receive(0ms, 3ms).count());
    constexpr auto stood_still = 2000ms;
    for (auto sent = 500ms; sent < 12000ms; sent += 500ms) {
        auto const extra = receive(sent, stood_still).count();
        CHECK(extra == 0 || sent < transit_delay_estimator::window + 500ms);
    }
    LONGS_EQUAL(0, receive(12500ms, stood_still).count());
}

TEST(transit_delay_estimators, a_lasting_queue_is_seen_for_at_least_half_of_the_window) {
    LONGS_EQUAL(0, receive(0ms, 2ms).count());
    for (auto sent = 100ms; sent < transit_delay_estimator::window / 2; sent += 100ms) {
        LONGS_EQUAL(1000, receive(sent, 1002ms).count());
    }
}
