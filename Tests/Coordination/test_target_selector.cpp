#include "coordination/admission_queue.hpp"
#include "coordination/home_selection.hpp"
#include "coordination/ratio_budget.hpp"
#include "coordination/target_selector.hpp"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace pomelospread;
using namespace std::chrono_literals;

namespace {

listed_target target(std::string id, std::int64_t slots = 6) {
    return {.id = std::move(id), .pool = "p", .address = {"127.0.0.1", 80}, .zone = "z", .slots = slots};
}

load_report const calm{.running = 0, .waiting = 0, .slots = 6, .slowdown = 1.0};
load_report const slow{.running = 0, .waiting = 0, .slots = 6, .slowdown = 5.0};

} // namespace

TEST_GROUP(target_boards) {
    random_source random{20261204};
    target_selector board{"z", target_selector_policy{}};
    target_selector::time_point now{100s};

    void list(std::vector<listed_target> const& targets) {
        board.set_targets(targets, now);
    }

    std::map<std::string, int> draw(int count) {
        std::map<std::string, int> seen;
        for (int i = 0; i < count; ++i) {
            ++seen[board.choose("p", {}, now, random)->id];
        }
        return seen;
    }
};

TEST(target_boards, a_target_that_says_it_is_slow_is_passed_over_while_the_report_is_fresh) {
    list({target("a"), target("b")});
    board.apply_load_report("a", slow, now);
    board.apply_load_report("b", calm, now);
    LONGS_EQUAL(100, draw(100)["b"]);
    now += 10s;
    CHECK(draw(100)["a"] > 0);
}

TEST(target_boards, requests_of_other_instances_count_like_own_ones) {
    list({target("a"), target("b")});
    board.update_peer_load(7, "a", 6, 0, now);
    LONGS_EQUAL(100, draw(100)["b"]);
    board.update_peer_load(7, "a", 0, 0, now);
    CHECK(draw(100)["a"] > 0);
}

TEST(target_boards, a_told_count_is_not_believed_for_ever) {
    list({target("a", 2)});
    board.update_peer_load(7, "a", 2, 0, now);
    CHECK(board.available_capacity("p", now) < 1);
    DOUBLES_EQUAL(2, board.available_capacity("p", now + 3s), 0.01);
}

TEST(target_boards, a_report_that_counts_requests_already_told_does_not_count_them_twice) {
    list({target("a")});
    board.request_started("a");
    board.update_peer_load(7, "a", 1, 0, now);
    board.apply_load_report("a", {.running = 2, .waiting = 0, .slots = 6, .slowdown = 1.0}, now);
    DOUBLES_EQUAL(2, board.available_capacity("p", now),
                  0.01); // four of six slots are used, less two requests
}

TEST(target_boards, a_silent_target_has_no_places_and_gets_nothing_beside_sound_ones) {
    list({target("dark"), target("sound")});
    DOUBLES_EQUAL(8, board.available_capacity("p", now), 0.01);
    for (int i = 0; i < 3; ++i) {
        board.request_started("dark");
        board.request_finished("dark", attempt_outcome::timed_out, 1s, now);
    }
    DOUBLES_EQUAL(4, board.available_capacity("p", now), 0.01);
    LONGS_EQUAL(100, draw(100)["sound"]);
}

TEST(target_boards, a_pool_in_which_all_fail_still_has_places) {
    list({target("a"), target("b")});
    for (auto const* id : {"a", "b"}) {
        board.request_started(id);
        board.request_finished(id, attempt_outcome::failed, 10ms, now);
    }
    DOUBLES_EQUAL(8, board.available_capacity("p", now), 0.01);
    CHECK(board.choose("p", {}, now, random).has_value());
}

TEST(target_boards, a_leaving_or_retired_target_gets_nothing) {
    auto leaving = target("a");
    leaving.leaving = true;
    list({leaving, target("b"), target("c")});
    board.disable("b");
    LONGS_EQUAL(50, draw(50)["c"]);
    LONGS_EQUAL(1, board.usable_target_count("p"));
}

TEST(target_boards, another_life_under_the_same_id_starts_with_nothing_known) {
    list({target("a")});
    board.request_started("a");
    board.disable("a");
    auto again = target("a");
    again.started_unix_ms = 7;
    list({again});
    LONGS_EQUAL(0, board.own_in_flight("a"));
    CHECK(board.is_usable("a"));
}

TEST(target_boards, only_targets_without_a_fresh_report_are_worth_a_check) {
    list({target("a"), target("b"), target("c"), target("d")});
    LONGS_EQUAL(3, board.probe_candidates("p", {}, 3, 25ms, now, random).size());
    board.apply_load_report("a", calm, now);
    LONGS_EQUAL(0, board.probe_candidates("p", {}, 3, 25ms, now, random).size());
    board.apply_load_report("a", slow, now);
    LONGS_EQUAL(3, board.probe_candidates("p", {}, 3, 25ms, now, random).size());
}

TEST_GROUP(admission_queues) {
    admission_queue<int> queue;
    admission_deadlines::time_point now{100s};

    admission_deadlines claim(std::int64_t priority, std::chrono::milliseconds in_time) const {
        return {.priority = priority, .soft_start_deadline = now + in_time, .hard_start_deadline = now + 1s};
    }
};

TEST(admission_queues, the_timely_go_before_the_late_and_the_urgent_before_others) {
    queue.push(claim(0, -10ms), 1);
    queue.push(claim(2, 100ms), 2);
    queue.push(claim(1, 100ms), 3);
    LONGS_EQUAL(3, *queue.pop(now));
    LONGS_EQUAL(2, *queue.pop(now));
    LONGS_EQUAL(1, *queue.pop(now));
    CHECK_FALSE(queue.pop(now).has_value());
}

TEST(admission_queues, a_request_that_would_be_late_behind_others_is_refused_at_once) {
    CHECK(queue.decide(claim(1, 100ms), {.release_interval = 40ms}, now) == admission_decision::wait);
    queue.push(claim(1, 100ms), 1);
    queue.push(claim(1, 100ms), 2);
    CHECK(queue.decide(claim(1, 100ms), {.release_interval = 40ms}, now) == admission_decision::refuse);
    // One that is more urgent passes them.
    CHECK(queue.decide(claim(0, 100ms), {.release_interval = 40ms}, now) == admission_decision::wait);
}

TEST(admission_queues, a_waiter_that_gave_up_is_not_given_a_place) {
    queue.push(claim(0, 100ms), 1);
    CHECK(queue.remove(1));
    CHECK_FALSE(queue.remove(1));
    CHECK_FALSE(queue.pop(now).has_value());
}

TEST_GROUP(homes){};

TEST(homes, callers_of_a_zone_are_sent_to_few_of_its_instances_and_stay_when_another_goes) {
    std::vector<home_candidate> all;
    for (std::uint16_t i = 1; i <= 12; ++i) {
        all.push_back({.address = {"10.0.0." + std::to_string(i), 80}, .zone = i % 2 == 0 ? "even" : "odd"});
    }
    auto const before = select_home_instances("pool", "even", all, {.min_instances = 2});
    LONGS_EQUAL(2, before.size());
    for (auto const& home : before) {
        CHECK(std::ranges::find(all, home.address, &home_candidate::address)->zone == "even");
    }
    std::erase_if(all, [&](auto const& each) { return each.address == before[0].address; });
    auto const after = select_home_instances("pool", "even", all, {.min_instances = 2});
    CHECK(std::ranges::find(after, before[1].address, &home_candidate::address) != after.end());
}

TEST(homes, a_zone_without_instances_is_served_by_the_others) {
    std::vector<home_candidate> const all{{.address = {"10.0.0.1", 80}, .zone = "a"}};
    LONGS_EQUAL(1, select_home_instances("pool", "b", all, {.min_instances = 2}).size());
}

TEST(homes, large_instances_come_first_and_small_ones_fill_up) {
    std::vector<home_candidate> all;
    for (std::uint16_t i = 1; i <= 12; ++i) {
        all.push_back({.address = {"10.0.0." + std::to_string(i), 80},
                       .zone = "z",
                       .processor_permille = i == 7 ? 500U : 100U});
    }
    auto const homes =
        select_home_instances("pool", "z", all, {.min_instances = 2, .min_processor_permille = 800});
    LONGS_EQUAL(4, homes.size());
    STRCMP_EQUAL("10.0.0.7", homes.front().address.address.c_str());
    LONGS_EQUAL(
        2,
        select_home_instances("pool", "z", all, {.min_instances = 2, .min_processor_permille = 400}).size());
    LONGS_EQUAL(
        12,
        select_home_instances("pool", "z", all, {.min_instances = 2, .min_processor_permille = 9000}).size());
}

TEST_GROUP(shared_budgets){};

TEST(shared_budgets, a_smaller_burst_takes_saved_units_away_at_once) {
    ratio_budget budget(1.0, 10.0);
    for (int i = 0; i < 10; ++i) {
        budget.deposit();
    }
    budget.set_burst(2.0);
    CHECK(budget.try_withdraw());
    CHECK(budget.try_withdraw());
    CHECK_FALSE(budget.try_withdraw());
}
