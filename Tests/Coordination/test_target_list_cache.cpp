#include "coordination/list_poll_schedule.hpp"
#include "coordination/target_list_cache.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <optional>

using namespace pomelospread;
using namespace std::chrono_literals;

namespace {

listed_target target(std::string id, bool leaving = false) {
    return {.id = std::move(id), .pool = "p", .address = {"127.0.0.1", 80}, .zone = "z", .leaving = leaving};
}

} // namespace

TEST_GROUP(target_list_caches) {
    target_list_cache cache;
    target_list_cache::time_point now{100s};
};

TEST(target_list_caches, missing_entry_is_removed_at_once_without_an_outage) {
    cache.apply_platform_snapshot({.version = {.number = 1}, .targets = {target("a"), target("b")}}, now);
    CHECK(cache.apply_platform_snapshot({.version = {.number = 2}, .targets = {target("a")}}, now + 800ms));
    LONGS_EQUAL(1, cache.current().targets.size());
}

TEST(target_list_caches, entry_that_expired_in_an_outage_is_retained_until_it_could_register_again) {
    cache.apply_platform_snapshot({.version = {.number = 1}, .targets = {target("a"), target("b")}}, now);
    cache.record_read_failure(now + 3s);
    cache.apply_platform_snapshot({.version = {.number = 2}, .targets = {}}, now + 6s);
    LONGS_EQUAL(2, cache.current().targets.size());
    cache.apply_platform_snapshot({.version = {.number = 3}, .targets = {target("b")}}, now + 7s);
    LONGS_EQUAL(2, cache.current().targets.size());
    cache.apply_platform_snapshot({.version = {.number = 4}, .targets = {target("b")}}, now + 9s);
    LONGS_EQUAL(1, cache.current().targets.size());
    STRCMP_EQUAL("b", cache.current().targets.front().id.c_str());
}

namespace {

/// How an instance that saw an outage hears of a peer's read, and whether it retains, as the reader `after`
/// that read, an entry that the platform's list lacks. The outage was last seen at 3 s.
struct peer_read_case {
    char const* name;
    bool is_confirmation; ///< The peer's list is unchanged.
    std::chrono::milliseconds peer_read;
    std::chrono::milliseconds after;
    bool is_retained;
};

std::array<peer_read_case, 5> const peer_read_cases{{
    {"long after a list", false, 6s, 2300ms, false},
    {"long after a confirmation", true, 6s, 2300ms, false},
    {"soon after a list", false, 6s, 800ms, true},
    {"soon after a confirmation", true, 6s, 800ms, true},
    {"a list that was read before the failure", false, 2900ms, 2300ms, true},
}};

} // namespace

// Guards against a new reader of the list that takes its first read for the end of an outage long past and
// keeps removed targets (review/3).
TEST(target_list_caches, read_of_a_peer_ends_an_outage) {
    for (auto const& each : peer_read_cases) {
        target_list_cache list;
        target_list_snapshot const both{.version = {.number = 1}, .targets = {target("a"), target("b")}};
        list.apply_platform_snapshot(both, now);
        list.record_read_failure(now + 3s);
        if (each.is_confirmation) {
            list.confirm_unchanged({.number = 2}, list.digest(), now + each.peer_read);
        } else {
            list.apply_peer_snapshot({.version = {.number = 2}, .targets = both.targets},
                                     now + each.peer_read);
        }
        list.apply_platform_snapshot({.version = {.number = 3}, .targets = {target("a")}},
                                     now + each.peer_read + each.after);
        CHECK_EQUAL_TEXT(each.is_retained ? 2U : 1U, list.current().targets.size(), each.name);
    }
}

namespace {

/// What an instance knows when it receives a peer's list in which the peer retained the ready target "b".
struct retained_entry_case {
    char const* name;
    std::optional<target_list_snapshot> known;
    std::size_t targets;
    std::size_t retained;
    bool is_leaving;
};

std::array<retained_entry_case, 4> const retained_entry_cases{{
    {"target left", target_list_snapshot{.version = {.number = 1}, .targets = {target("a")}}, 1, 0, false},
    {"target known", target_list_snapshot{.version = {.number = 1}, .targets = {target("a"), target("b")}}, 2,
     1, false},
    {"target known as leaving",
     target_list_snapshot{.version = {.number = 1}, .targets = {target("a"), target("b", true)}}, 2, 1, true},
    {"no list yet", std::nullopt, 2, 1, false},
}};

} // namespace

// Guards against an instance that was suspended or cut off and gives the fleet removed targets back
// (review/4).
TEST(target_list_caches, entry_that_a_peer_retained_does_not_return) {
    target_list_cache suspended;
    suspended.apply_platform_snapshot({.version = {.number = 1}, .targets = {target("a"), target("b")}}, now);
    suspended.apply_platform_snapshot({.version = {.number = 2}, .targets = {target("a")}}, now + 4s);
    LONGS_EQUAL(2, suspended.current().targets.size());
    for (auto const& each : retained_entry_cases) {
        target_list_cache list;
        if (each.known) {
            list.apply_peer_snapshot(*each.known, now + 3s);
        }
        list.apply_peer_snapshot(suspended.current(), now + 4s);
        auto const& current = list.current();
        CHECK_EQUAL_TEXT(each.targets, current.targets.size(), each.name);
        CHECK_EQUAL_TEXT(each.retained, current.retained_ids.size(), each.name);
        CHECK_EQUAL_TEXT(each.is_leaving, current.targets.back().leaving, each.name);
        CHECK_EQUAL_TEXT(2U, current.version.number, each.name);
    }
}

// Guards against an assumption that becomes a fact on its way through an instance that has no list yet.
TEST(target_list_caches, entry_that_a_peers_peer_retained_does_not_return) {
    target_list_cache started;
    started.apply_peer_snapshot(
        {.version = {.number = 2}, .targets = {target("a"), target("b")}, .retained_ids = {"b"}}, now);
    cache.apply_platform_snapshot({.version = {.number = 1}, .targets = {target("a")}}, now);
    cache.apply_peer_snapshot(started.current(), now);
    LONGS_EQUAL(1, cache.current().targets.size());
}

TEST(target_list_caches, listed_entry_is_no_longer_retained) {
    cache.apply_platform_snapshot({.version = {.number = 1}, .targets = {target("a"), target("b")}}, now);
    cache.apply_platform_snapshot({.version = {.number = 2}, .targets = {target("a")}}, now + 4s);
    LONGS_EQUAL(1, cache.current().retained_ids.size());
    cache.apply_platform_snapshot({.version = {.number = 3}, .targets = {target("a"), target("b")}},
                                  now + 5s);
    LONGS_EQUAL(0, cache.current().retained_ids.size());
}

TEST(target_list_caches, leaving_flag_is_applied_also_after_an_outage) {
    cache.apply_platform_snapshot({.version = {.number = 1}, .targets = {target("a")}}, now);
    cache.record_read_failure(now + 3s);
    cache.apply_platform_snapshot({.version = {.number = 2}, .targets = {target("a", true)}}, now + 6s);
    CHECK(cache.current().targets.front().leaving);
}

TEST(target_list_caches, older_version_never_replaces_a_newer_one) {
    cache.apply_platform_snapshot({.version = {.number = 5}, .targets = {target("a", true)}}, now);
    CHECK_FALSE(
        cache.apply_platform_snapshot({.version = {.number = 4}, .targets = {target("a")}}, now + 1s));
    CHECK_FALSE(cache.apply_peer_snapshot({.version = {.number = 4}, .targets = {target("a")}}, now + 1s));
    CHECK(cache.current().targets.front().leaving);
}

TEST(target_list_caches, confirmation_applies_only_to_the_same_list) {
    cache.apply_platform_snapshot({.version = {.number = 1}, .targets = {target("a")}}, now);
    cache.confirm_unchanged({.number = 3}, cache.digest() + 1, now + 1s);
    CHECK(cache.read_at() == now);
    cache.confirm_unchanged({.number = 3}, cache.digest(), now + 1s);
    CHECK(cache.read_at() == now + 1s);
    LONGS_EQUAL(3, cache.current().version.number);
}

TEST(target_list_caches, remaining_warm_up_time_is_not_a_change) {
    auto warm = target("a");
    warm.warm_up_remaining_ms = 3000;
    cache.apply_platform_snapshot({.version = {.number = 1}, .targets = {warm}}, now);
    warm.warm_up_remaining_ms = 1500;
    CHECK_FALSE(cache.apply_platform_snapshot({.version = {.number = 2}, .targets = {warm}}, now + 1s));
}

namespace {

/// A row of the store's copy: `first` as the first read of the era shows it, `later` as the second.
struct restored_row_case {
    char const* name;
    std::optional<listed_target> known;
    listed_target row;
    row_write first;
    row_write later;
    char const* expected; ///< After each read: absent (-), ready (R) or leaving (L).
};

listed_target incarnation(std::int64_t started, bool leaving = false) {
    auto result = target("a", leaving);
    result.started_unix_ms = started;
    return result;
}

std::array<restored_row_case, 9> const restored_row_cases{{
    {"old row of a leaving target", incarnation(1, true), incarnation(1), {40, 5}, {40, 5}, "LL"},
    {"leaving target wrote", incarnation(1, true), incarnation(1), {40, 5}, {62, 5}, "LL"},
    {"leaving target wrote without a version", incarnation(1, true), incarnation(1), {40, 5}, {40, 6}, "LL"},
    {"old row of a target that left", std::nullopt, incarnation(1), {40, 5}, {40, 5}, "--"},
    {"target that was not known wrote", std::nullopt, incarnation(1), {40, 5}, {40, 6}, "-R"},
    {"old row announces a stop", incarnation(1), incarnation(1, true), {40, 5}, {40, 5}, "LL"},
    {"old row of an earlier start", incarnation(2, true), incarnation(1), {40, 5}, {40, 5}, "LL"},
    {"old row of a later start", incarnation(1, true), incarnation(2), {40, 5}, {40, 5}, "RR"},
    {"ready target did not write", incarnation(1), incarnation(1), {40, 5}, {40, 5}, "RR"},
}};

target_list_snapshot read_of(store_version version, listed_target row, row_write write) {
    return {.version = version, .targets = {std::move(row)}, .row_writes = {write}};
}

char state_of_a(target_list_cache const& cache) {
    auto const& targets = cache.current().targets;
    auto const found = std::ranges::find(targets, "a", &listed_target::id);
    return found == targets.end() ? '-' : found->leaving ? 'L' : 'R';
}

} // namespace

TEST_GROUP(restored_target_lists) {
    target_list_cache cache;
    target_list_cache::time_point now{100s};
};

TEST(restored_target_lists, rows_count_once_they_are_written_in_the_new_era) {
    for (auto const& each : restored_row_cases) {
        target_list_cache list;
        target_list_snapshot known{.version = {1, 55}, .targets = {target("other")}};
        if (each.known) {
            known.targets.insert(known.targets.begin(), *each.known);
        }
        list.apply_platform_snapshot(std::move(known), now);
        list.apply_platform_snapshot(read_of({2, 53}, each.row, each.first), now + 3s);
        CHECK_EQUAL_TEXT(each.expected[0], state_of_a(list), each.name);
        list.apply_platform_snapshot(read_of({2, 70}, each.row, each.later), now + 8s);
        CHECK_EQUAL_TEXT(each.expected[1], state_of_a(list), each.name);
    }
}

TEST(restored_target_lists, lower_number_of_a_newer_era_replaces_the_list) {
    cache.apply_platform_snapshot({.version = {1, 55}, .targets = {target("b")}}, now);
    cache.apply_platform_snapshot(read_of({2, 10}, incarnation(1, true), {9, 5}), now + 1s);
    CHECK(cache.current().version == store_version(2, 10));
    CHECK_FALSE(cache.apply_peer_snapshot({.version = {1, 99}, .targets = {}}, now + 1s));
    LONGS_EQUAL(1, cache.current().targets.size());
}

TEST(restored_target_lists, missing_entry_is_kept_while_it_may_register_again) {
    cache.apply_platform_snapshot({.version = {1, 55}, .targets = {incarnation(1)}}, now);
    cache.apply_platform_snapshot({.version = {2, 53}, .targets = {}}, now + 800ms);
    cache.apply_platform_snapshot({.version = {2, 54}, .targets = {}}, now + 2800ms);
    CHECK_EQUAL('R', state_of_a(cache));
    cache.apply_platform_snapshot({.version = {2, 54}, .targets = {}}, now + 3100ms);
    CHECK_EQUAL('-', state_of_a(cache));
}

TEST(restored_target_lists, peer_list_of_a_newer_era_does_not_take_back_an_announced_stop) {
    cache.apply_platform_snapshot({.version = {1, 55}, .targets = {incarnation(1, true)}}, now);
    for (std::uint64_t number : {53, 54}) {
        cache.apply_peer_snapshot({.version = {2, number}, .targets = {incarnation(1)}}, now + 1s);
        CHECK_EQUAL('L', state_of_a(cache));
    }
    cache.apply_peer_snapshot({.version = {2, 55}, .targets = {incarnation(2)}}, now + 2s);
    CHECK_EQUAL('R', state_of_a(cache));
}

TEST(restored_target_lists, new_reader_continues_from_the_list_of_the_reader_before) {
    for (bool const is_written : {false, true}) {
        target_list_cache list;
        list.apply_platform_snapshot({.version = {1, 55}, .targets = {target("other")}}, now);
        list.confirm_unchanged({2, 53}, list.digest(), now + 1s);
        list.apply_platform_snapshot(read_of({2, 60}, incarnation(1), {is_written ? 54U : 53U, 5}), now + 2s);
        CHECK_EQUAL(is_written ? 'R' : '-', state_of_a(list));
    }
}

TEST(restored_target_lists, unknown_target_that_never_writes_is_used_once_an_ended_one_would_have_expired) {
    cache.apply_platform_snapshot({.version = {1, 55}, .targets = {target("other")}}, now);
    cache.apply_platform_snapshot(read_of({2, 54}, incarnation(1), {54, 5}), now + 1s);
    cache.apply_platform_snapshot(read_of({2, 54}, incarnation(1), {54, 5}), now + 8s);
    CHECK_EQUAL('-', state_of_a(cache));
    cache.apply_platform_snapshot(read_of({2, 54}, incarnation(1), {54, 5}), now + 8100ms);
    CHECK_EQUAL('R', state_of_a(cache));
}

TEST(restored_target_lists, instance_without_a_list_takes_every_row) {
    cache.apply_platform_snapshot(read_of({2, 53}, incarnation(1), {40, 5}), now);
    CHECK_EQUAL('R', state_of_a(cache));
}

TEST_GROUP(list_poll_schedules){};

TEST(list_poll_schedules, large_instances_rank_before_small_ones) {
    std::array<poll_candidate, 3> const alive{{{.id = 10, .processor_permille = 100},
                                               {.id = 20, .processor_permille = 100},
                                               {.id = 30, .processor_permille = 500}}};
    LONGS_EQUAL(0, list_poll_schedule::poll_rank(alive[2], alive));
    LONGS_EQUAL(1, list_poll_schedule::poll_rank(alive[0], alive));
    LONGS_EQUAL(2, list_poll_schedule::poll_rank(alive[1], alive));
}

TEST(list_poll_schedules, lower_rank_reads_at_a_lower_list_age) {
    list_poll_schedule const schedule;
    std::array<poll_candidate, 3> const alive{{{.id = 30}, {.id = 10}, {.id = 20}}};
    LONGS_EQUAL(0, list_poll_schedule::poll_rank({.id = 10}, alive));
    LONGS_EQUAL(2, list_poll_schedule::poll_rank({.id = 30}, alive));
    CHECK(schedule.max_list_age(0) < schedule.max_list_age(1));
    // Even the last rank reads well within the two seconds after which every instance must have received that
    // a target is leaving.
    CHECK(schedule.max_list_age(1000) < 1500ms);
}
