#include "admission_simulation.hpp"

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <string>
#include <vector>

using namespace pomelospread;
using namespace std::chrono_literals;

namespace {

using time_point = admission_deadlines::time_point;

constexpr std::uint32_t bursting = 1;

/// A pool of 200 requests/s with 20 workspaces, which send 0.9 of that together.
struct burst_case {
    char const* name;
    double burst_multiple;
    std::int64_t burst_priority;
    std::int64_t other_priority;
    double min_kept; ///< Share on time of the others, as a part of the share without the burst.
};

burst_case const bursts[] = {
    {"equal priorities", 8, 1, 1, 0.9},
    {"an urgent workspace", 8, 0, 1, 0.9},
    {"a workspace of low priority", 8, 2, 1, 0.9},
    // The floor admits half as large a part of the burst, up to half of the capacity.
    {"a workspace that sends twice the capacity", 45, 0, 1, 0.6},
};

overload burst_of(burst_case const& shape, double burst_multiple) {
    overload result{
        .name = shape.name, .loads = {}, .slots = 50, .measured_from = 30s, .measured_until = 36s};
    for (std::uint32_t workspace = 1; workspace <= 20; ++workspace) {
        bool const is_bursting = workspace == bursting;
        result.loads.push_back({.route = workspace % 2,
                                .priority = is_bursting ? shape.burst_priority : shape.other_priority,
                                .per_second = 9,
                                .target_latency = 800ms,
                                .deadline = 2000ms,
                                .workspace = workspace,
                                .burst_multiple = is_bursting ? burst_multiple : 1});
    }
    return result;
}

bool is_bursting(load const& each) {
    return each.workspace == bursting;
}
bool is_other(load const& each) {
    return each.workspace != bursting;
}

} // namespace

TEST_GROUP(workspace_bursts){};

// Guards against a burst that takes the capacity of other workspaces, by its number or by its priority.
TEST(workspace_bursts, other_workspaces_keep_their_share_on_time) {
    for (auto const& shape : bursts) {
        auto const with_burst = burst_of(shape, shape.burst_multiple);
        auto const without_burst = burst_of(shape, 1);
        auto const before = played_overload(without_burst).total(is_other).on_time_share();
        auto const during = played_overload(with_burst).total(is_other).on_time_share();
        CHECK_TEXT(during >= shape.min_kept * before, shape.name);
    }
}

// Guards against a workspace that gets nothing because it sends more than usual: it gets its usual requests
// and half of the mean share of the pool.
TEST(workspace_bursts, the_bursting_workspace_gets_its_part) {
    constexpr double sampling_error = 0.05;
    for (auto const& shape : bursts) {
        auto const with_burst = burst_of(shape, shape.burst_multiple);
        auto const without_burst = burst_of(shape, 1);
        played_overload const played(with_burst);
        auto const own = played.total(is_bursting);
        auto const usual = played_overload(without_burst).total(is_bursting);
        CHECK_TEXT(own.on_time >= usual.on_time, shape.name);
        CHECK_TEXT(own.served_share() >= played.total_served_share() * 0.5 - sampling_error, shape.name);
    }
}

TEST_GROUP(workspace_shares) {
    group_shares shares{workspace_share_policy};
    time_point now{100s};
    admission_queue<int> queue;

    void admit_for_a_second(int requests) {
        for (int i = 0; i < requests; ++i, now += std::chrono::nanoseconds(1s) / requests) {
            shares.record_arrival(1, now);
            shares.record_admission(1, now);
        }
    }
    admission_deadlines deadlines(std::uint32_t workspace, std::chrono::milliseconds until_late) const {
        return {.priority = 1,
                .groups = {.route = 1, .workspace = workspace},
                .soft_start_deadline = now + until_late,
                .hard_start_deadline = now + until_late + 1s};
    }
};

// Guards against urgent requests that leave nothing to a route of low priority or long target latency, where
// both belong to several workspaces.
TEST(workspace_shares, an_urgent_and_a_slow_route_both_get_their_shares) {
    overload shape{.name = "two routes", .loads = {}, .slots = 50};
    for (std::uint32_t workspace = 1; workspace <= 10; ++workspace) {
        shape.loads.push_back({1, 0, 25, 500ms, 1500ms, workspace});
        shape.loads.push_back({2, 3, 8, 1500ms, 5000ms, workspace});
    }
    played_overload const played(shape);
    CHECK(played.served_share(1) >= played.served_share(2));
    CHECK(played.served_share(2) >= played.total_served_share() * 0.5 - 0.05);
}

// Guards against a workspace that is never judged underserved because it sends too rarely for the recent
// counts, and is given up under a long overload by more urgent ones.
TEST(workspace_shares, a_workspace_of_few_requests_is_not_given_up) {
    constexpr std::uint32_t rare = 9;
    overload shape{.name = "few requests", .loads = {}, .slots = 50, .measured_until = 300s};
    for (std::uint32_t workspace = 1; workspace <= 8; ++workspace) {
        shape.loads.push_back({1, 0, 50, 800ms, 2000ms, workspace});
    }
    shape.loads.push_back({1, 2, 0.25, 800ms, 2000ms, rare});
    played_overload const played(shape);
    auto const own = played.total([](load const& each) { return each.workspace == rare; });
    CHECK(own.served_share() >= played.total_served_share() * 0.5 - 0.05);
}

// Guards against earliest deadline first across workspaces, where the one that fills the queue is served
// alone.
TEST(workspace_shares, workspaces_of_equal_rank_have_turns) {
    for (int const waiter : {11, 12, 13}) {
        queue.push(deadlines(1, std::chrono::milliseconds(100 + waiter)), waiter);
    }
    queue.push(deadlines(2, 900ms), 21);
    queue.push(deadlines(3, 800ms), 31);
    queue.push(deadlines(3, 700ms), 32);
    CHECK(queue.remove(31));
    for (int const expected : {11, 21, 32, 12, 13}) {
        LONGS_EQUAL(expected, *queue.pop(now));
    }
    CHECK_FALSE(queue.pop(now).has_value());
}

// Guards against refusing a workspace's only request for the length of another one's queue.
TEST(workspace_shares, a_burst_in_the_queue_refuses_only_its_own_workspace) {
    for (int waiter = 0; waiter < 10; ++waiter) {
        queue.push(deadlines(1, 200ms), waiter);
    }
    capacity_release_rate const rate{.release_interval = 20ms};
    CHECK(queue.decide(deadlines(1, 200ms), rate, now) == admission_decision::refuse);
    CHECK(queue.decide(deadlines(2, 200ms), rate, now) == admission_decision::wait);
}

// Guards against a queue that one workspace fills, so that it refuses all others.
TEST(workspace_shares, a_workspace_does_not_fill_the_queue) {
    for (int waiter = 0; waiter < 1000; ++waiter) {
        queue.push(deadlines(1, 900s), waiter);
    }
    capacity_release_rate const rate{.release_interval = 1ms};
    CHECK(queue.decide(deadlines(1, 900s), rate, now) == admission_decision::refuse);
    CHECK(queue.decide(deadlines(2, 900s), rate, now) == admission_decision::wait);
}

// Guards against a steady workspace or a new one that is taken for a bursting one, and a burst that is not
// seen.
TEST(workspace_shares, only_a_burst_is_over_the_usual_rate) {
    for (int second = 0; second < 120; ++second) {
        admit_for_a_second(10);
        CHECK_FALSE(shares.is_over_usual(1, now));
    }
    admit_for_a_second(80);
    CHECK(shares.is_over_usual(1, now));
    now += 10s;
    CHECK_FALSE(shares.is_over_usual(1, now));
}

// Guards against a burst that raises the usual rate so much that the next one is taken as usual, and against
// a lasting increase that never becomes usual.
TEST(workspace_shares, a_burst_is_not_usual_at_its_end_and_a_lasting_increase_is_after_minutes) {
    for (int second = 0; second < 30; ++second) {
        admit_for_a_second(10);
    }
    for (int second = 0; second < 5; ++second) {
        admit_for_a_second(80);
    }
    now += 5s;
    for (int second = 0; second < 5; ++second) {
        admit_for_a_second(40);
    }
    CHECK(shares.is_over_usual(1, now));
    for (int second = 0; second < 240; ++second) {
        admit_for_a_second(80);
    }
    CHECK_FALSE(shares.is_over_usual(1, now));
}
