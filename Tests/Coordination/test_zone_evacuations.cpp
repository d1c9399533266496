#include "coordination/target_selector.hpp"
#include "coordination/zone_evacuations.hpp"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <vector>

using namespace pomelospread;
using namespace std::chrono_literals;

namespace {

zone_evacuation change(std::string zone, std::uint64_t number, bool is_evacuated, std::uint64_t era = 1) {
    return {
        .zone = std::move(zone), .changed_at = {.era = era, .number = number}, .is_evacuated = is_evacuated};
}

/// One store version names one change, as the platform's store assigns them.
rc::Gen<std::vector<zone_evacuation>> any_changes() {
    return rc::gen::container<std::vector<zone_evacuation>>(rc::gen::map(
        rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange<std::uint64_t>(1, 20),
                       rc::gen::inRange<std::uint64_t>(1, 3)),
        [](auto const& value) {
            auto const& [zone, number, era] = value;
            return change(std::string(1, static_cast<char>('a' + zone)), number, number % 2 == 0, era);
        }));
}

zone_evacuations merged(std::vector<std::vector<zone_evacuation>> const& parts) {
    zone_evacuations result;
    for (auto const& part : parts) {
        result.merge(part);
    }
    return result;
}

} // namespace

TEST_GROUP(zone_evacuation_merges){};

TEST(zone_evacuation_merges, order_grouping_and_repetition_do_not_matter) {
    // Changes arrive by the store, by datagrams and by snapshots, repeated and in any order. A merge for
    // which that matters would let an ended evacuation come back at some instances.
    CHECK(rc::check("laws of the merge", [] {
        auto const a = *any_changes();
        auto const b = *any_changes();
        auto const c = *any_changes();
        auto const expected = merged({a, b, c}).changes();
        RC_ASSERT(merged({c, a, b}).changes() == expected);
        RC_ASSERT(merged({a, merged({b, c}).changes()}).changes() == expected);
        RC_ASSERT(merged({a, b, c, b, a}).changes() == expected);
    }));
}

TEST(zone_evacuation_merges, an_older_change_never_replaces_a_newer_one) {
    zone_evacuations evacuations;
    CHECK(evacuations.merge(std::array{change("a", 5, true)}));
    CHECK_FALSE(evacuations.merge(std::array{change("a", 4, false)}));
    CHECK(evacuations.is_evacuated("a"));
    CHECK(evacuations.merge(std::array{change("a", 1, false, 2)}));
    CHECK_FALSE(evacuations.is_evacuated("a"));
}

TEST(zone_evacuation_merges, a_complete_read_ends_the_evacuations_that_it_lacks) {
    // Its history may be lost, so that nothing else tells of the end.
    zone_evacuations evacuations;
    evacuations.merge(std::array{change("a", 5, true), change("b", 6, true)});
    CHECK(evacuations.apply_complete_read(std::array{change("b", 6, true)}, {.era = 1, .number = 9}));
    CHECK_FALSE(evacuations.is_evacuated("a"));
    CHECK(evacuations.is_evacuated("b"));
    CHECK_FALSE(evacuations.apply_complete_read(std::array{change("b", 6, true)}, {.era = 1, .number = 9}));
}

TEST_GROUP(cold_and_evacuated_targets) {
    random_source random{20261206};
    target_selector selector{"z", target_selector_policy{}};
    target_selector::time_point now{100s};

    listed_target target(std::string id, std::string zone, std::int64_t warm_up_ms = 0) {
        return {.id = std::move(id),
                .pool = "p",
                .address = {"127.0.0.1", 80},
                .zone = std::move(zone),
                .slots = 2,
                .warm_up_remaining_ms = warm_up_ms};
    }
    /// Sends as many requests as may be sent within a second, one each millisecond, and returns their number.
    int sent_within_a_second(std::uint32_t home, std::size_t homes) {
        std::set<endpoint> addresses;
        for (std::size_t i = 0; i < homes; ++i) {
            addresses.insert({"10.0.0." + std::to_string(i + 1), 1});
        }
        selector.set_slot_claims("p", {"10.0.0." + std::to_string(home + 1), 1}, addresses);
        int sent = 0;
        for (auto const end = now + 1s; now < end; now += 1ms) {
            if (auto const choice = selector.choose("p", {}, now, random)) {
                selector.attempt_started(choice->id, now);
                std::string const id = choice->id;
                selector.attempt_finished({.target = id, .latency = 1ms}, now);
                ++sent;
            }
        }
        return sent;
    }
};

TEST(cold_and_evacuated_targets, an_evacuated_zone_gets_neither_requests_nor_probes) {
    selector.set_targets(std::array{target("a", "x"), target("b", "y")}, now);
    selector.set_evacuated_zones({"x"}, now);
    for (int i = 0; i < 100; ++i) {
        STRCMP_EQUAL("b", selector.choose("p", {}, now, random)->id.c_str());
    }
    for (auto const& each : selector.probe_candidates("p", {}, 3, 25ms, now, random)) {
        STRCMP_EQUAL("b", each.id.c_str());
    }
    // A list that arrives during the evacuation does not end it.
    selector.set_targets(std::array{target("a", "x"), target("c", "x")}, now);
    CHECK_FALSE(selector.choose("p", {}, now, random).has_value());
    selector.set_evacuated_zones({}, now);
    CHECK(selector.choose("p", {}, now, random).has_value());
}

TEST(cold_and_evacuated_targets, all_homes_together_keep_the_rate_of_a_cold_target) {
    // Every home finds the target idle; without a common bound, all of them send to it and it crashes.
    struct row {
        std::size_t homes;
        double rate;
    };
    for (auto const& [homes, rate] : std::array<row, 5>{{{1, 3.7}, {2, 3.7}, {6, 3.7}, {6, 20}, {40, 3.7}}}) {
        int sent = 0;
        for (std::uint32_t home = 0; home < homes; ++home) {
            selector = target_selector("z", target_selector_policy{});
            selector.set_warm_up("p", rate, 3s);
            selector.set_targets(std::array{target("a", "z", 3000)}, now);
            sent += sent_within_a_second(home, homes);
        }
        CHECK(sent >= 1);
        CHECK(sent <= rate * 1.5 + 8);
    }
}

// Guards against starting instances that each take the whole rate of a cold target (FAILBACK).
TEST(cold_and_evacuated_targets, an_instance_that_does_not_know_the_homes_has_no_share_of_a_cold_target) {
    selector.set_warm_up("p", 3.7, 3s);
    selector.set_targets(std::array{target("a", "z", 3000)}, now);
    selector.set_knows_homes(false);
    LONGS_EQUAL(0, sent_within_a_second(0, 1));
    DOUBLES_EQUAL(0, selector.probe_share("a", 1), 0);
    selector.set_knows_homes(true);
    CHECK(sent_within_a_second(0, 1) > 0);
}

TEST(cold_and_evacuated_targets, targets_count_as_cold_after_their_zone_was_evacuated) {
    // The list does not say yet that they became cold in the meantime.
    selector.set_warm_up("p", 3.7, 3s);
    selector.set_targets(std::array{target("a", "x")}, now);
    selector.set_evacuated_zones({"x"}, now);
    now += 10s;
    selector.set_evacuated_zones({}, now);
    CHECK(sent_within_a_second(0, 1) <= 13);
    now += 3s;
    CHECK(sent_within_a_second(0, 1) > 100);
}

TEST(cold_and_evacuated_targets, a_report_tells_that_a_target_became_cold_again) {
    selector.set_warm_up("p", 3.7, 3s);
    selector.set_targets(std::array{target("a", "z")}, now);
    CHECK(sent_within_a_second(0, 1) > 100);
    selector.apply_load_report("a", {.slots = 2, .warm_up_remaining = 2000ms}, now);
    CHECK(sent_within_a_second(0, 1) <= 13);
    now += 2s;
    CHECK(sent_within_a_second(0, 1) > 100);
}

TEST(cold_and_evacuated_targets, without_a_rate_a_cold_target_is_not_limited) {
    selector.set_targets(std::array{target("a", "z", 3000)}, now);
    CHECK(sent_within_a_second(0, 1) > 100);
}
