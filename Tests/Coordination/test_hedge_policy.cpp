#include "slow_moments_load.hpp"

#include <CppUTest/TestHarness.h>

using namespace pomelospread;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr auto send = hedge_action::send;
constexpr auto look_again = hedge_action::look_again;
constexpr auto never = hedge_action::never;

hedge_room room_with(hedge_target target, double capacity = 20, bool has_queue = false) {
    return {.best_target = target, .has_queued_requests = has_queue, .available_capacity = capacity};
}
hedge_target const idle{.is_idle = true, .report_age = 5ms};
hedge_target const busy{.report_age = 5ms};
hedge_target const idle_by_old_report{.is_idle = true, .report_age = 26ms};
hedge_target const idle_and_slow{.is_idle = true, .slowdown = 5, .report_age = 5ms};

struct single_decision {
    char const* failure; ///< That the row guards against.
    hedge_action expected;
    milliseconds age;
    double slowdown = 1.0;
    milliseconds report_delay{10}; ///< After the sending.
    std::int64_t attempts = 1;
    hedge_room room = room_with(idle);
    milliseconds deadline{1000};
};

/// The objective is 500 ms, the typical service time 100 ms, the 95th percentile 250 ms, the mean slowdown 2.
single_decision const single_decisions[] = {
    {"a slow moment is not answered until the 95th percentile", send, 50ms, 5.0},
    {"a usual variation of the slowdown causes a hedge", look_again, 50ms, 2.9},
    {"a report from before the sending causes a hedge", look_again, 50ms, 5.0, -5ms},
    {"a slow moment after the start of the attempt causes a hedge", look_again, 50ms, 5.0, 21ms},
    {"a slow attempt that ends before its hedge causes one", look_again, 230ms, 3.1},
    {"a usual attempt is hedged", look_again, 249ms},
    {"an attempt that outlived its peers is not hedged", send, 250ms},
    {"a hedge that cannot be on time is sent", look_again, 401ms},
    {"a stuck attempt keeps its request until the deadline", send, 450ms},
    {"a hedge that cannot meet the deadline is sent", never, 401ms, 1.0, 10ms, 1, room_with(idle), 500ms},
    {"more targets than max_attempts get the request", never, 250ms, 1.0, 10ms, 2},
    {"a hedge goes to an unknown target", look_again, 250ms, 1.0, 10ms, 1, {.available_capacity = 20}},
    {"a hedge goes to a busy target", look_again, 250ms, 1.0, 10ms, 1, room_with(busy)},
    {"an old report counts", look_again, 250ms, 1.0, 10ms, 1, room_with(idle_by_old_report)},
    {"a hedge goes to a slow target", look_again, 250ms, 1.0, 10ms, 1, room_with(idle_and_slow)},
    {"a hedge precedes a queued request", look_again, 250ms, 1.0, 10ms, 1, room_with(idle, 20, true)},
    {"hedges fill the pool", look_again, 250ms, 1.0, 10ms, 1, room_with(idle, 2)},
};

} // namespace

TEST_GROUP(hedge_policies){};

TEST(hedge_policies, each_condition_decides_on_its_own) {
    for (auto const& row : single_decisions) {
        hedged_request const request{row.age,      row.age, 500ms,        row.deadline,
                                     row.attempts, 2,       row.slowdown, row.age - row.report_delay};
        auto const decision = hedge_policy().decide(request, {100ms, 150ms, 250ms, 2.0}, row.room);
        CHECK_TEXT(decision.action == row.expected, row.failure);
        // A look that is not later than the last one would keep the caller busy.
        CHECK_TEXT(decision.action != look_again || decision.look_at > request.age, row.failure);
    }
}

TEST(hedge_policies, a_fast_pool_is_not_hedged_for_a_delay_of_milliseconds) {
    // Guards against hedges that answer pauses of threads: they use up the limit before an attempt is slow.
    hedge_pool_times const times{1ms, 1ms, 2ms, 1.0};
    hedged_request request{9ms, 9ms, 500ms, 1000ms, 1, 2, std::nullopt, 0ms};
    CHECK(hedge_policy().decide(request, times, room_with(idle)).action == look_again);
    request.age = request.time_since_sent = 10ms;
    CHECK(hedge_policy().decide(request, times, room_with(idle)).action == send);
}

TEST(hedge_policies, slow_moments_are_hedged_within_the_limit) {
    // Guards against hedges that are spent on attempts which end soon anyway: the limit is then used up, and
    // the slowest requests remain. An instance uses 0.04 of the default --hedge_share of 0.05.
    for (std::int64_t const interval_ms : {15, 25}) {
        slow_moments_load without(0.0);
        slow_moments_load hedged(0.04);
        without.play(10000, interval_ms);
        hedged.play(10000, interval_ms);
        CHECK(without.p99_ms() > 1000);
        CHECK(hedged.p99_ms() < 400);
        CHECK(hedged.hedge_share() <= 0.04);
        CHECK(hedged.extra_work() <= 0.05);
    }
}
