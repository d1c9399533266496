#include "coordination/admission_queue.hpp"
#include "coordination/home_selection.hpp"
#include "coordination/ratio_budget.hpp"
#include "coordination/target_selector.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

using namespace pomelospread;
using namespace std::chrono_literals;

namespace {

listed_target target(std::string id, std::int64_t slots = 6) {
    return {.id = std::move(id), .pool = "p", .address = {"127.0.0.1", 80}, .zone = "z", .slots = slots};
}

load_report const normal{.running = 0, .waiting = 0, .slots = 6, .slowdown = 1.0};
load_report const slow{.running = 0, .waiting = 0, .slots = 6, .slowdown = 5.0};

} // namespace

TEST_GROUP(target_selectors) {
    random_source random{20261204};
    target_selector selector{"z", target_selector_policy{}};
    target_selector::time_point now{100s};

    void list(std::vector<listed_target> const& targets) {
        selector.set_targets(targets, now);
    }

    std::map<std::string, int> count_choices(int count) {
        std::map<std::string, int> counts;
        for (int i = 0; i < count; ++i) {
            ++counts[selector.choose("p", {}, now, random)->id];
        }
        return counts;
    }
};

TEST(target_selectors, slow_target_is_avoided_while_its_report_is_fresh) {
    list({target("a"), target("b")});
    selector.apply_load_report("a", slow, now);
    selector.apply_load_report("b", normal, now);
    LONGS_EQUAL(100, count_choices(100)["b"]);
    now += 10s;
    CHECK(count_choices(100)["a"] > 0);
}

TEST(target_selectors, requests_of_other_instances_count_like_own_requests) {
    list({target("a"), target("b")});
    selector.update_peer_load(7, "a", 6, 0, now);
    LONGS_EQUAL(100, count_choices(100)["b"]);
    selector.update_peer_load(7, "a", 0, 0, now);
    CHECK(count_choices(100)["a"] > 0);
}

TEST(target_selectors, count_of_a_peer_expires) {
    list({target("a", 2)});
    selector.update_peer_load(7, "a", 2, 0, now);
    CHECK(selector.available_capacity("p", now) < 1);
    DOUBLES_EQUAL(2, selector.available_capacity("p", now + 3s), 0.01);
}

TEST(target_selectors, requests_in_both_a_report_and_a_peer_count_are_counted_once) {
    list({target("a")});
    selector.attempt_started("a", now);
    selector.update_peer_load(7, "a", 1, 0, now);
    selector.apply_load_report("a", {.running = 2, .waiting = 0, .slots = 6, .slowdown = 1.0}, now);
    DOUBLES_EQUAL(2, selector.available_capacity("p", now),
                  0.01); // Four of the six slots are usable; two requests are in flight.
}

TEST(target_selectors, unresponsive_target_has_no_capacity_and_is_not_chosen_beside_healthy_ones) {
    list({target("unresponsive"), target("healthy")});
    DOUBLES_EQUAL(8, selector.available_capacity("p", now), 0.01);
    for (int i = 0; i < 3; ++i) {
        selector.attempt_started("unresponsive", now);
        selector.attempt_finished(
            {.target = "unresponsive", .outcome = attempt_outcome::timed_out, .latency = 1s}, now);
    }
    DOUBLES_EQUAL(4, selector.available_capacity("p", now), 0.01);
    LONGS_EQUAL(100, count_choices(100)["healthy"]);
}

TEST(target_selectors, pool_in_which_all_targets_fail_still_has_capacity) {
    list({target("a"), target("b")});
    for (auto const* id : {"a", "b"}) {
        selector.attempt_started(id, now);
        selector.attempt_finished({.target = id, .outcome = attempt_outcome::failed, .latency = 10ms}, now);
    }
    DOUBLES_EQUAL(8, selector.available_capacity("p", now), 0.01);
    CHECK(selector.choose("p", {}, now, random).has_value());
}

TEST(target_selectors, leaving_or_disabled_target_is_not_chosen) {
    auto leaving = target("a");
    leaving.leaving = true;
    list({leaving, target("b"), target("c")});
    selector.disable("b");
    LONGS_EQUAL(50, count_choices(50)["c"]);
    LONGS_EQUAL(1, selector.usable_target_count("p", {}, now));
}

TEST(target_selectors, new_incarnation_under_the_same_id_starts_without_state) {
    list({target("a")});
    selector.attempt_started("a", now);
    selector.disable("a");
    auto new_incarnation = target("a");
    new_incarnation.started_unix_ms = 7;
    list({new_incarnation});
    LONGS_EQUAL(0, selector.own_in_flight("a"));
    CHECK(selector.is_usable("a"));
}

TEST(target_selectors, incarnation_that_said_that_it_leaves_stays_excluded_when_its_entry_returns) {
    auto restarted = target("a");
    restarted.started_unix_ms = 7;
    list({target("a"), target("b")});
    CHECK(selector.record_leaving("a", 0, now));
    CHECK_FALSE(selector.record_leaving("a", 0, now));
    auto moved = target("a");
    moved.address.port = 81;
    for (auto const& entry : {target("a"), moved, restarted, target("a")}) {
        list({target("b")});
        now += target_exclusions::max_unlisted_age;
        list({entry, target("b")});
        bool const is_same = entry.started_unix_ms == 0;
        CHECK_EQUAL(!is_same, selector.is_usable("a"));
        LONGS_EQUAL(is_same ? 1 : 2, selector.usable_target_count("p", {}, now));
        DOUBLES_EQUAL(is_same ? 4 : 8, selector.available_capacity("p", now), 0.01);
        LONGS_EQUAL(is_same ? 1 : 2, selector.probe_candidates("p", {}, 3, 100ms, now, random).size());
        CHECK_EQUAL(!is_same, count_choices(50)["a"] > 0);
    }
}

TEST(target_selectors, paused_incarnation_is_excluded_until_the_latest_stated_end) {
    auto restarted = target("a");
    restarted.started_unix_ms = 7;
    list({target("a"), target("b")});
    CHECK(selector.record_pause("a", 0, now + 2s, now));
    CHECK_FALSE(selector.record_pause("a", 0, now + 1s, now));
    struct {
        std::chrono::milliseconds after;
        listed_target entry;
        bool usable;
    } const cases[] = {{0s, target("a"), false},
                       {1s, restarted, true},
                       {1999ms, target("a"), false},
                       {2s, target("a"), true}};
    auto const start = now;
    for (auto const& each : cases) {
        now = start + each.after;
        list({target("b")});
        list({each.entry, target("b")});
        LONGS_EQUAL(each.usable ? 2 : 1, selector.usable_target_count("p", {}, now));
        DOUBLES_EQUAL(each.usable ? 8 : 4, selector.available_capacity("p", now), 0.01);
        LONGS_EQUAL(each.usable ? 2 : 1, selector.probe_candidates("p", {}, 3, 100ms, now, random).size());
        CHECK_EQUAL(each.usable, count_choices(50)["a"] > 0);
    }
}

TEST(target_selectors, pool_is_paused_until_the_first_of_its_usable_targets_is_not) {
    auto leaving = target("c");
    leaving.leaving = true;
    list({target("a"), target("b"), leaving});
    selector.record_pause("a", 0, now + 3s, now);
    CHECK_FALSE(selector.paused_until("p", now).has_value());
    selector.record_pause("b", 0, now + 2s, now);
    CHECK(selector.paused_until("p", now) == now + 2s);
    CHECK_FALSE(selector.choose("p", {}, now, random).has_value());
    CHECK_FALSE(selector.paused_until("p", now + 2s).has_value());
    selector.record_leaving("b", 0, now);
    CHECK(selector.paused_until("p", now) == now + 3s);
}

TEST(target_selectors, notice_of_an_incarnation_that_is_not_listed_applies_once_it_is) {
    list({target("a"), target("b")});
    selector.record_leaving("a", 7, now);
    selector.record_leaving("c", 0, now);
    CHECK(selector.is_usable("a"));
    auto restarted = target("a");
    restarted.started_unix_ms = 7;
    list({restarted, target("b"), target("c")});
    LONGS_EQUAL(50, count_choices(50)["b"]);
}

TEST(target_selectors, leaving_incarnations_are_remembered_within_bounds) {
    target_exclusions exclusions;
    for (std::size_t i = 0; i < target_exclusions::max_incarnations; ++i) {
        exclusions.record_leaving({"t", static_cast<std::int64_t>(i)}, now + std::chrono::milliseconds(i));
    }
    exclusions.record_listed({"t", 0}, now + 10s);
    exclusions.record_leaving({"new", 0}, now + 11s);
    LONGS_EQUAL(target_exclusions::max_incarnations, exclusions.size());
    CHECK(exclusions.is_leaving({"t", 0}));
    CHECK_FALSE(exclusions.is_leaving({"t", 1}));
    exclusions.drop_expired(now + 10s + target_exclusions::max_unlisted_age);
    LONGS_EQUAL(2, exclusions.size());
}

TEST(target_selectors, a_free_target_is_probed_also_while_a_full_one_has_a_fresh_report) {
    list({target("full"), target("free")});
    selector.apply_load_report("free", normal, now - 400ms);
    selector.apply_load_report("full", normal, now);
    for (int request = 0; request < 4; ++request) {
        selector.attempt_started("full", now - 100ms);
    }
    selector.apply_load_report("full", {.running = 4, .waiting = 0, .slots = 6, .slowdown = 1.0}, now);
    auto const probed = selector.probe_candidates("p", {}, 3, 25ms, now, random);
    LONGS_EQUAL(1, probed.size());
    STRCMP_EQUAL("free", probed.front().id.c_str());
}

TEST(target_selectors, only_targets_without_a_fresh_report_are_probed) {
    list({target("a"), target("b"), target("c"), target("d")});
    LONGS_EQUAL(3, selector.probe_candidates("p", {}, 3, 25ms, now, random).size());
    selector.apply_load_report("a", normal, now);
    LONGS_EQUAL(0, selector.probe_candidates("p", {}, 3, 25ms, now, random).size());
    selector.apply_load_report("a", slow, now);
    LONGS_EQUAL(3, selector.probe_candidates("p", {}, 3, 25ms, now, random).size());
}

TEST_GROUP(admission_queues) {
    admission_queue<int> queue;
    admission_deadlines::time_point now{100s};

    admission_deadlines deadlines(std::int64_t priority, std::chrono::milliseconds until_late) const {
        return {
            .priority = priority, .soft_start_deadline = now + until_late, .hard_start_deadline = now + 1s};
    }
};

TEST(admission_queues, on_time_requests_precede_late_ones_and_urgent_ones_precede_others) {
    queue.push(deadlines(0, -10ms), 1);
    queue.push(deadlines(2, 100ms), 2);
    queue.push(deadlines(1, 100ms), 3);
    LONGS_EQUAL(3, *queue.pop(now));
    LONGS_EQUAL(2, *queue.pop(now));
    LONGS_EQUAL(1, *queue.pop(now));
    CHECK_FALSE(queue.pop(now).has_value());
}

TEST(admission_queues, request_that_would_be_late_behind_others_is_refused_at_once) {
    CHECK(queue.decide(deadlines(1, 100ms), {.release_interval = 40ms}, now) == admission_decision::wait);
    queue.push(deadlines(1, 100ms), 1);
    queue.push(deadlines(1, 100ms), 2);
    CHECK(queue.decide(deadlines(1, 100ms), {.release_interval = 40ms}, now) == admission_decision::refuse);
    // A more urgent request is served before the queued ones and is on time.
    CHECK(queue.decide(deadlines(0, 100ms), {.release_interval = 40ms}, now) == admission_decision::wait);
}

TEST(admission_queues, removed_waiter_is_not_popped) {
    queue.push(deadlines(0, 100ms), 1);
    CHECK(queue.remove(1));
    CHECK_FALSE(queue.remove(1));
    CHECK_FALSE(queue.pop(now).has_value());
}

TEST_GROUP(home_selection){};

TEST(home_selection, zone_has_few_home_instances_and_the_others_stay_when_one_is_removed) {
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

TEST(home_selection, zone_without_instances_uses_instances_of_other_zones) {
    std::vector<home_candidate> const all{{.address = {"10.0.0.1", 80}, .zone = "a"}};
    LONGS_EQUAL(1, select_home_instances("pool", "b", all, {.min_instances = 2}).size());
}

TEST(home_selection, large_instances_are_selected_first_and_small_ones_fill_the_minimum) {
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

TEST_GROUP(ratio_budgets){};

TEST(ratio_budgets, smaller_burst_reduces_the_balance_at_once) {
    ratio_budget budget(1.0, 10.0);
    for (int i = 0; i < 10; ++i) {
        budget.deposit();
    }
    budget.set_burst(2.0);
    CHECK(budget.try_withdraw());
    CHECK(budget.try_withdraw());
    CHECK_FALSE(budget.try_withdraw());
}

namespace {

/// The homes of a pool, each with its own knowledge, which load updates bring up to date.
class simulated_homes {
public:
    simulated_homes(std::size_t count, std::vector<listed_target> const& targets, bool with_claims,
                    target_selector::time_point now) {
        for (std::size_t i = 0; i < count; ++i) {
            m_homes.insert({"10.0.0." + std::to_string(i + 1), 7200});
        }
        for (auto const& home : m_homes) {
            m_selectors.emplace_back("z", target_selector_policy{});
            m_selectors.back().set_targets(targets, now);
            if (with_claims) {
                m_selectors.back().set_slot_claims("p", home, m_homes);
            }
        }
    }

    [[nodiscard]] std::vector<target_selector>& selectors() { return m_selectors; }

    /// How many homes would send a waiting request now.
    [[nodiscard]] std::ptrdiff_t ready_count(target_selector::time_point now) const {
        return std::ranges::count_if(
            m_selectors, [&](auto const& each) { return each.available_capacity("p", now) >= 1.0; });
    }

private:
    std::set<endpoint> m_homes;
    std::vector<target_selector> m_selectors;
};

constexpr std::size_t home_count = 8;

/// Fills the target up to one slot as the first home's requests, of which one ended just now.
void free_one_slot(simulated_homes& homes, target_selector::time_point now) {
    for (std::size_t i = 0; i < home_count; ++i) {
        auto& selector = homes.selectors()[i];
        for (int request = 0; i == 0 && request < 4; ++request) {
            selector.attempt_started("busy", now - 500ms);
        }
        if (i == 0) {
            selector.attempt_finished(
                {.target = "busy", .outcome = attempt_outcome::succeeded, .latency = 200ms}, now);
        } else {
            selector.update_peer_load(1, "busy", 4, 0, now - 500ms);
            selector.update_peer_load(1, "busy", 3, 0, now);
        }
    }
}

} // namespace

TEST(target_selectors, a_slot_that_becomes_free_is_used_by_one_home_at_a_time) {
    simulated_homes homes(home_count, {target("busy")}, true, now);
    free_one_slot(homes, now);
    LONGS_EQUAL(1, homes.ready_count(now));
    LONGS_EQUAL(1, homes.ready_count(now + 39ms));
    LONGS_EQUAL(2, homes.ready_count(now + 41ms));
    LONGS_EQUAL(3, homes.ready_count(now + 56ms));
    LONGS_EQUAL(home_count, homes.ready_count(now + 200ms));
}

TEST(target_selectors, without_claims_all_homes_use_the_same_slot) {
    simulated_homes homes(home_count, {target("busy")}, false, now);
    free_one_slot(homes, now);
    LONGS_EQUAL(home_count, homes.ready_count(now));
}

TEST(target_selectors, claims_do_not_hold_back_requests_while_targets_are_idle) {
    simulated_homes homes(home_count, {target("a"), target("b")}, true, now);
    LONGS_EQUAL(home_count, homes.ready_count(now));
}

TEST(target_selectors, each_home_comes_first_at_a_fair_share_of_the_targets) {
    std::set<endpoint> homes;
    for (std::size_t i = 0; i < home_count; ++i) {
        homes.insert({"10.0.0." + std::to_string(i + 1), 7200});
    }
    for (auto const& home : homes) {
        int first_count = 0;
        for (int id = 0; id < 400; ++id) {
            first_count += slot_claim_rank("i-" + std::to_string(id), home, homes) == 0 ? 1 : 0;
        }
        CHECK(first_count > 25);
        CHECK(first_count < 75);
    }
    LONGS_EQUAL(home_count, slot_claim_rank("i-1", {"10.9.9.9", 7200}, homes));
}

TEST(target_selectors, typical_service_time_is_free_of_the_slowdown_that_the_choice_knew) {
    list({target("a"), target("b")});
    for (int i = 0; i < 400; ++i) {
        bool const is_slow = i % 4 == 0;
        selector.apply_load_report("a", is_slow ? slow : normal, now);
        selector.attempt_started("a", now);
        selector.attempt_finished(
            {.target = "a", .latency = is_slow ? 1000ms : 200ms, .slowdown = is_slow ? 5.0 : 1.0}, now);
    }
    DOUBLES_EQUAL(200e6, static_cast<double>(selector.typical_service_time("p").count()), 5e6);
    CHECK(selector.current_service_time("p") > 300ms);
    CHECK(selector.current_service_time("p") < 600ms);
}

TEST(target_selectors, probe_rates_of_the_homes_add_up_to_the_rate_of_the_target) {
    for (std::size_t homes = 1; homes <= 20; ++homes) {
        double sum = 0;
        for (std::uint32_t rank = 0; rank < homes; ++rank) {
            sum += probe_rate_share(rank, homes);
        }
        DOUBLES_EQUAL(1.0, sum, 1e-9);
    }
}

TEST(target_selectors, a_request_of_an_earlier_incarnation_does_not_lower_the_count_of_the_new_one) {
    list({target("a")});
    auto const before = *selector.choose("p", {}, now, random);
    selector.attempt_started("a", now);
    auto restarted = target("a");
    restarted.started_unix_ms = 7;
    list({restarted});
    auto const after = *selector.choose("p", {}, now, random);
    selector.attempt_started("a", now);
    selector.attempt_finished(
        {.target = "a", .incarnation = before.incarnation, .outcome = attempt_outcome::failed}, now);
    LONGS_EQUAL(1, selector.own_in_flight("a"));
    DOUBLES_EQUAL(0, selector.choose("p", {}, now, random)->failure_rate, 1e-9);
    selector.attempt_finished({.target = "a", .incarnation = after.incarnation, .latency = 10ms}, now);
    LONGS_EQUAL(0, selector.own_in_flight("a"));
}

TEST(target_selectors, a_slow_target_has_no_capacity_while_the_fast_ones_are_full) {
    list({target("fast", 4), target("slow", 4)});
    for (int request = 0; request < 6; ++request) {
        selector.attempt_started("fast", now);
    }
    selector.apply_load_report("fast", {.running = 4, .waiting = 2, .slots = 4, .slowdown = 1.0}, now);
    selector.apply_load_report("slow", {.running = 0, .waiting = 0, .slots = 4, .slowdown = 5.0}, now);
    CHECK(selector.available_capacity("p", now) < 1);
    CHECK_FALSE(selector.choose("p", {}, now, random)->is_preferred);
    selector.apply_load_report("slow", {.running = 0, .waiting = 0, .slots = 4, .slowdown = 1.0}, now + 1ms);
    CHECK(selector.available_capacity("p", now + 1ms) >= 1);
}

TEST(target_selectors, one_failure_leaves_a_target_its_capacity_and_a_series_takes_it) {
    list({target("failing"), target("sound")});
    auto const fail = [&] {
        selector.attempt_started("failing", now);
        selector.attempt_finished({.target = "failing", .outcome = attempt_outcome::timed_out}, now);
    };
    fail();
    DOUBLES_EQUAL(8, selector.available_capacity("p", now), 0.01);
    LONGS_EQUAL(100, count_choices(100)["sound"]);
    fail();
    fail();
    DOUBLES_EQUAL(4, selector.available_capacity("p", now), 0.01);
}

TEST(target_selectors, all_slots_of_a_target_with_few_are_used_by_every_home) {
    simulated_homes homes(home_count, {target("small", 2)}, true, now);
    for (std::size_t i = 0; i < home_count; ++i) {
        auto& selector = homes.selectors()[i];
        if (i == 0) {
            selector.attempt_started("small", now);
        } else {
            selector.update_peer_load(1, "small", 1, 0, now);
        }
    }
    LONGS_EQUAL(home_count, homes.ready_count(now));
    for (auto const& selector : homes.selectors()) {
        CHECK(selector.choose("p", {}, now, random)->is_preferred);
    }
}

TEST(target_selectors, losers_of_hedges_do_not_lower_the_high_response_time) {
    // Guards against an estimate that only sees the attempts which hedges left: it would fall towards the
    // typical time and cause ever more hedges.
    list({target("a")});
    auto const finish = [&](attempt_outcome outcome, std::chrono::milliseconds latency) {
        std::string const id = "a";
        selector.attempt_started(id, now);
        selector.attempt_finished(
            {.target = id, .outcome = outcome, .latency = latency, .slowdown = std::nullopt}, now);
    };
    for (int i = 0; i < 2000; ++i) {
        // One of ten attempts is slow and is cancelled when it outlives the others.
        bool const is_slow = i % 10 == 0;
        finish(is_slow ? attempt_outcome::cancelled : attempt_outcome::succeeded, is_slow ? 500ms : 100ms);
    }
    CHECK(selector.high_response_time("p") > 300ms);
    CHECK(selector.high_response_time("p") < 600ms);
}

TEST(target_selectors, best_reported_target_has_a_recent_report) {
    // Guards against a hedge to a target whose state is unknown or was reported too long ago.
    list({target("a"), target("b"), target("c")});
    CHECK_FALSE(selector.best_reported_target("p", {}, 25ms, now));
    selector.apply_load_report("a", normal, now);
    selector.apply_load_report("b", slow, now + 10ms);
    now += 20ms;
    STRCMP_EQUAL("a", selector.best_reported_target("p", {}, 25ms, now)->id.c_str());
    now += 10ms;
    STRCMP_EQUAL("b", selector.best_reported_target("p", {}, 25ms, now)->id.c_str());
    std::vector<std::string> const excluded{"b"};
    CHECK_FALSE(selector.best_reported_target("p", excluded, 25ms, now));
    DOUBLES_EQUAL(5.0, selector.last_report("b")->slowdown, 0.0);
    CHECK_FALSE(selector.last_report("c"));
}
