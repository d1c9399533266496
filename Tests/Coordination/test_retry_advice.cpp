#include "base/random.hpp"
#include "coordination/retry_advice.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace pomelospread;
using namespace std::chrono_literals;

namespace {

using time_point = retry_advice::time_point;
using nanoseconds = std::chrono::nanoseconds;

/// A pool that releases capacity at equal intervals, with a queue at the time of a burst of refusals.
struct refusal_case {
    char const* name;
    std::size_t queue_length;
    nanoseconds release_interval;
    int refused;
    bool is_within_maximum; ///< Whether the times of all returns are before the maximum delay.
};

refusal_case const refusals[] = {
    {"no queue", 0, 5ms, 40, true},
    {"short queue", 20, 5ms, 40, true},
    {"long queue", 80, 5ms, 40, true},
    {"slow pool", 4, 50ms, 6, true},
    {"more than the pool can take", 20, 5ms, 600, false},
    {"a queue of more than the maximum delay", 500, 5ms, 100, false},
};

std::vector<nanoseconds> delays_of(refusal_case const& shape, time_point now) {
    retry_advice advice;
    random_source random(20261206);
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    std::vector<nanoseconds> result;
    for (int i = 0; i < shape.refused; ++i) {
        result.push_back(advice.delay(shape.queue_length, shape.release_interval, uniform(random), now));
    }
    std::ranges::sort(result);
    return result;
}

/// How many of the callers who return at these times start within `max_wait` where each release serves the
/// queue first, then the returned requests, and every second one after the queue is left to new requests.
int started_soon(refusal_case const& shape, std::vector<nanoseconds> const& returns, nanoseconds max_wait) {
    int started = 0;
    nanoseconds next_free = shape.release_interval * static_cast<std::int64_t>(shape.queue_length + 1);
    for (auto const& time : returns) {
        auto const start = std::max(time, next_free);
        if (start - time > max_wait) {
            continue;
        }
        ++started;
        next_free = start + shape.release_interval * 2;
    }
    return started;
}

} // namespace

TEST_GROUP(retry_advice_values) {
    time_point const now{100s};
};

// Guards against callers who return while the queue that refused them is still waiting.
TEST(retry_advice_values, callers_who_return_when_told_find_capacity) {
    for (auto const& shape : refusals) {
        if (shape.is_within_maximum) {
            auto const returns = delays_of(shape, now);
            LONGS_EQUAL_TEXT(shape.refused, started_soon(shape, returns, shape.release_interval * 2),
                             shape.name);
        }
    }
}

// Guards against a burst of refusals that returns as a burst.
TEST(retry_advice_values, callers_do_not_return_at_once) {
    for (auto const& shape : refusals) {
        auto const returns = delays_of(shape, now);
        auto const window = shape.release_interval * 20;
        std::ptrdiff_t most = 0;
        for (auto const& first : returns) {
            most = std::max(most, std::ranges::count_if(returns, [&](auto const& each) {
                                return each >= first && each < first + window;
                            }));
        }
        // Within the maximum, one returns in two releases; beyond it, all are spread over half of it.
        auto const expected = shape.is_within_maximum
                                  ? 10
                                  : std::max<std::ptrdiff_t>(10, shape.refused * window / nanoseconds(500ms));
        CHECK_TEXT(most <= expected * 3 / 2 + 2, shape.name);
    }
}

// Guards against delays outside of what callers accept.
TEST(retry_advice_values, delays_stay_within_the_limits) {
    for (auto const& shape : refusals) {
        auto const returns = delays_of(shape, now);
        CHECK_TEXT(returns.front() >= 50ms, shape.name);
        CHECK_TEXT(returns.back() <= 1000ms, shape.name);
    }
}

// Guards against times that remain assigned after their callers have returned.
TEST(retry_advice_values, assigned_times_pass) {
    retry_advice advice;
    for (int i = 0; i < 600; ++i) {
        static_cast<void>(advice.delay(0, 5ms, 0.5, now));
    }
    CHECK(advice.delay(0, 5ms, 0.5, now + 2s) < 60ms);
}

// Guards against a division by, or a delay of, an unknown rate.
TEST(retry_advice_values, without_a_known_rate_delays_are_random) {
    retry_advice advice;
    CHECK(advice.delay(10, 0ns, 0.0, now) == nanoseconds(50ms));
    CHECK(advice.delay(10, 0ns, 1.0, now) == nanoseconds(200ms));
}
