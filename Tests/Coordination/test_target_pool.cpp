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

pool_row row_of(std::uint16_t targets, std::int64_t slots = 2) {
    pool_row row{.name = "p", .slots_per_target = slots};
    for (std::uint16_t i = 1; i <= targets; ++i) {
        row.targets.push_back({.address = {"127.0.0.1", i}, .zone = "z"});
    }
    return row;
}

std::vector<target_permit> fill(target_pool& pool, nanoseconds now, random_source& random) {
    std::vector<target_permit> tickets;
    while (auto const ticket = pool.try_acquire(now, random)) {
        tickets.push_back(*ticket);
    }
    return tickets;
}

} // namespace

TEST_GROUP(target_pools) {
    random_source random{20261204};
    nanoseconds now{1s};
};

TEST(target_pools, spread_requests_evenly_and_stop_at_the_places) {
    target_pool pool(row_of(3), "z", {}, now);
    auto const tickets = fill(pool, now, random);
    LONGS_EQUAL(9, tickets.size());
    for (std::uint32_t i = 0; i < 3; ++i) {
        LONGS_EQUAL(3, pool.in_flight(i));
    }
    pool.release(tickets.front(), now, exchange_result::answered);
    LONGS_EQUAL(tickets.front().target, pool.try_acquire(now, random)->target);
}

TEST(target_pools, a_leaving_target_gets_nothing_also_when_all_others_are_full) {
    auto row = row_of(2);
    row.targets[0].leaving = true;
    target_pool by_table(row, "z", {}, now);
    LONGS_EQUAL(3, fill(by_table, now, random).size());
    LONGS_EQUAL(0, by_table.in_flight(0));
    target_pool by_announcement(row_of(2), "z", {}, now);
    by_announcement.set_leaving_until(1, now + 30s);
    LONGS_EQUAL(3, fill(by_announcement, now, random).size());
    LONGS_EQUAL(0, by_announcement.in_flight(1));
    CHECK(by_announcement.try_acquire(now + 31s, random)->target == 1);
}

TEST(target_pools, failing_targets_rest_but_never_more_than_half) {
    target_pool pool(row_of(4), "z", {}, now);
    for (int round = 0; round < 50; ++round) {
        for (auto const& ticket : fill(pool, now, random)) {
            pool.release(ticket, now, exchange_result::failed);
        }
    }
    std::set<std::uint32_t> used;
    for (int i = 0; i < 6; ++i) {
        used.insert(pool.try_acquire(now, random)->target);
    }
    LONGS_EQUAL(2, used.size());
}

TEST(target_pools, a_target_that_joins_is_warmed_slowly_and_the_others_keep_their_requests) {
    auto const small = row_of(1, 5);
    target_pool first(small, "z", {}, now);
    auto const ticket = *first.try_acquire(now, random);
    target_pool second(row_of(2, 5), "z", {}, now, &first);
    LONGS_EQUAL(1, second.in_flight(0));
    static_cast<void>(fill(second, now, random));
    LONGS_EQUAL(6, second.in_flight(0));
    LONGS_EQUAL(1, second.in_flight(1));
    first.release(ticket, now, exchange_result::answered);
    LONGS_EQUAL(5, second.in_flight(0));
    static_cast<void>(fill(second, now + 10s, random));
    LONGS_EQUAL(6, second.in_flight(1));
}

TEST(target_pools, peers_counts_order_targets_and_expire_with_their_teller) {
    target_pool pool(row_of(3), "z", {}, now);
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
    CHECK(loads.reporting_peers().empty());
}

TEST(target_pools, a_target_with_an_overdue_request_comes_last) {
    target_pool pool(row_of(2, 6), "z", {}, now);
    for (int i = 0; i < 100; ++i) {
        auto const ticket = *pool.try_acquire(now, random);
        now += 10ms;
        pool.release(ticket, now, exchange_result::answered);
    }
    auto const stuck = *pool.try_acquire(now, random);
    now += 1s;
    for (int i = 0; i < 3; ++i) {
        CHECK(pool.try_acquire(now, random)->target != stuck.target);
    }
}

TEST(target_pools, budgets_bound_extra_tries_to_their_share) {
    ratio_budget budget(0.02, 10);
    std::size_t spent = 0;
    for (int i = 0; i < 10000; ++i) {
        budget.deposit();
        spent += budget.try_withdraw() ? 1 : 0;
    }
    LONGS_EQUAL(200, spent);
}

TEST(target_pools, threads_never_take_more_places_than_there_are) {
    target_pool pool(row_of(4, 3), "z", {}, now);
    std::atomic<bool> exceeded{false};
    std::vector<std::thread> threads;
    for (std::uint64_t number = 0; number < 4; ++number) {
        threads.emplace_back([&, number] {
            random_source own(number);
            for (int i = 0; i < 20000; ++i) {
                auto const first = pool.try_acquire(nanoseconds(i + 1), own);
                auto const second = pool.try_acquire(nanoseconds(i + 1), own);
                for (std::uint32_t target = 0; target < 4; ++target) {
                    exceeded = exceeded || pool.in_flight(target) > 4;
                }
                for (auto const& ticket : {first, second}) {
                    if (ticket) {
                        pool.release(*ticket, nanoseconds(i + 2), exchange_result::answered);
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

TEST(target_pools, large_pools_are_used_whole) {
    target_pool pool(row_of(660, 1), "z", {}, now);
    LONGS_EQUAL(1320, fill(pool, now, random).size());
}

TEST_GROUP(waiting_queues){};

TEST(waiting_queues, serve_customers_in_turn_and_each_by_its_earliest_deadline) {
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
