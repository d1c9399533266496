#include "coordination/customer_fair_queue.hpp"
#include "coordination/peer_loads.hpp"
#include "coordination/target_pool.hpp"

#include <CppUTest/TestHarness.h>

#include <array>
#include <atomic>
#include <set>
#include <thread>

using namespace pomelospread;
using namespace std::chrono_literals;

namespace {

pool_row make_row(std::uint16_t targets, std::int64_t slots = 2) {
    pool_row row{.name = "p", .slots_per_target = slots};
    for (std::uint16_t i = 1; i <= targets; ++i) {
        row.targets.push_back({.address = {"127.0.0.1", i}, .zone = "z"});
    }
    return row;
}

std::vector<target_permit> acquire_all(target_pool& pool, nanoseconds now, random_source& random) {
    std::vector<target_permit> permits;
    while (auto const permit = pool.try_acquire(now, random)) {
        permits.push_back(*permit);
    }
    return permits;
}

} // namespace

TEST_GROUP(target_pools) {
    random_source random{20261204};
    nanoseconds now{1s};
};

TEST(target_pools, requests_are_spread_evenly_up_to_the_permit_limit) {
    target_pool pool(make_row(3), "z", {}, now);
    auto const permits = acquire_all(pool, now, random);
    LONGS_EQUAL(9, permits.size());
    for (std::uint32_t i = 0; i < 3; ++i) {
        LONGS_EQUAL(3, pool.in_flight(i));
    }
    pool.release(permits.front(), now, exchange_result::succeeded);
    LONGS_EQUAL(permits.front().target, pool.try_acquire(now, random)->target);
}

TEST(target_pools, leaving_target_gets_no_request_even_when_all_others_are_full) {
    auto row = make_row(2);
    row.targets[0].leaving = true;
    target_pool by_table(row, "z", {}, now);
    LONGS_EQUAL(3, acquire_all(by_table, now, random).size());
    LONGS_EQUAL(0, by_table.in_flight(0));
    target_pool by_announcement(make_row(2), "z", {}, now);
    by_announcement.set_leaving_until(1, now + 30s);
    LONGS_EQUAL(3, acquire_all(by_announcement, now, random).size());
    LONGS_EQUAL(0, by_announcement.in_flight(1));
    CHECK(by_announcement.try_acquire(now + 31s, random)->target == 1);
}

TEST(target_pools, failing_targets_are_ejected_but_never_more_than_half) {
    target_pool pool(make_row(4), "z", {}, now);
    for (int round = 0; round < 50; ++round) {
        for (auto const& permit : acquire_all(pool, now, random)) {
            pool.release(permit, now, exchange_result::failed);
        }
    }
    std::set<std::uint32_t> used;
    for (int i = 0; i < 6; ++i) {
        used.insert(pool.try_acquire(now, random)->target);
    }
    LONGS_EQUAL(2, used.size());
}

TEST(target_pools, added_target_gets_a_slow_start_and_the_others_keep_their_requests) {
    auto const small = make_row(1, 5);
    target_pool first(small, "z", {}, now);
    auto const permit = *first.try_acquire(now, random);
    target_pool second(make_row(2, 5), "z", {}, now, &first);
    LONGS_EQUAL(1, second.in_flight(0));
    static_cast<void>(acquire_all(second, now, random));
    LONGS_EQUAL(6, second.in_flight(0));
    LONGS_EQUAL(1, second.in_flight(1));
    first.release(permit, now, exchange_result::succeeded);
    LONGS_EQUAL(5, second.in_flight(0));
    static_cast<void>(acquire_all(second, now + 10s, random));
    LONGS_EQUAL(6, second.in_flight(1));
}

TEST(target_pools, counts_of_peers_order_targets_and_expire_with_their_peer) {
    target_pool pool(make_row(3), "z", {}, now);
    peer_loads loads(3);
    std::array<std::uint16_t, 3> const counts{2, 0, 2};
    loads.update(7, counts, now);
    loads.update(8, counts, now);
    loads.update(7, counts, now);
    LONGS_EQUAL(4, loads.in_flight(0));
    loads.apply_to(pool);
    LONGS_EQUAL(1, pool.try_acquire(now, random)->target);
    loads.expire(now + peer_loads::max_age + 1ns);
    LONGS_EQUAL(0, loads.in_flight(0));
    CHECK(loads.sending_peers().empty());
}

TEST(target_pools, target_with_an_overdue_request_is_chosen_last) {
    target_pool pool(make_row(2, 6), "z", {}, now);
    for (int i = 0; i < 100; ++i) {
        auto const permit = *pool.try_acquire(now, random);
        now += 10ms;
        pool.release(permit, now, exchange_result::succeeded);
    }
    auto const stuck = *pool.try_acquire(now, random);
    now += 1s;
    for (int i = 0; i < 3; ++i) {
        CHECK(pool.try_acquire(now, random)->target != stuck.target);
    }
}

TEST(target_pools, budget_limits_extra_attempts_to_its_share) {
    ratio_budget budget(0.02, 10);
    std::size_t spent = 0;
    for (int i = 0; i < 10000; ++i) {
        budget.deposit();
        spent += budget.try_withdraw() ? 1 : 0;
    }
    LONGS_EQUAL(200, spent);
}

TEST(target_pools, threads_never_acquire_more_permits_than_the_limit) {
    target_pool pool(make_row(4, 3), "z", {}, now);
    std::atomic<bool> exceeded{false};
    std::vector<std::thread> threads;
    for (std::uint64_t thread_seed = 0; thread_seed < 4; ++thread_seed) {
        threads.emplace_back([&, thread_seed] {
            random_source thread_random(thread_seed);
            for (int i = 0; i < 20000; ++i) {
                auto const first = pool.try_acquire(nanoseconds(i + 1), thread_random);
                auto const second = pool.try_acquire(nanoseconds(i + 1), thread_random);
                for (std::uint32_t target = 0; target < 4; ++target) {
                    exceeded = exceeded || pool.in_flight(target) > 4;
                }
                for (auto const& permit : {first, second}) {
                    if (permit) {
                        pool.release(*permit, nanoseconds(i + 2), exchange_result::succeeded);
                    }
                }
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    CHECK_FALSE(exceeded);
    for (std::uint32_t target = 0; target < 4; ++target) {
        LONGS_EQUAL(0, pool.in_flight(target));
    }
}

TEST(target_pools, all_targets_of_a_large_pool_are_used) {
    target_pool pool(make_row(660, 1), "z", {}, now);
    LONGS_EQUAL(1320, acquire_all(pool, now, random).size());
}

TEST_GROUP(customer_fair_queues){};

TEST(customer_fair_queues, customers_are_served_round_robin_and_each_by_earliest_deadline) {
    customer_fair_queue<int> queue(5);
    CHECK(queue.push("noisy", 3s, 3));
    CHECK(queue.push("noisy", 1s, 1));
    CHECK(queue.push("noisy", 2s, 2));
    CHECK(queue.push("quiet", 9s, 9));
    CHECK(queue.push("quiet", 8s, 8));
    CHECK_FALSE(queue.push("quiet", 1s, 0));
    CHECK(queue.remove("quiet", 8));
    CHECK_FALSE(queue.remove("quiet", 8));
    for (int const expected : {1, 9, 2, 3}) {
        LONGS_EQUAL(expected, *queue.pop());
    }
    CHECK_FALSE(queue.pop().has_value());
}
