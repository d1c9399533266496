#include "coordination/list_poll_schedule.hpp"
#include "coordination/target_list_cache.hpp"

#include <CppUTest/TestHarness.h>

#include <array>

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
    cache.apply_platform_snapshot({.version = 1, .targets = {target("a"), target("b")}}, now);
    CHECK(cache.apply_platform_snapshot({.version = 2, .targets = {target("a")}}, now + 800ms));
    LONGS_EQUAL(1, cache.current().targets.size());
}

TEST(target_list_caches, entry_that_expired_in_an_outage_is_retained_until_it_could_register_again) {
    cache.apply_platform_snapshot({.version = 1, .targets = {target("a"), target("b")}}, now);
    cache.record_read_failure(now + 3s);
    cache.apply_platform_snapshot({.version = 2, .targets = {}}, now + 6s);
    LONGS_EQUAL(2, cache.current().targets.size());
    cache.apply_platform_snapshot({.version = 3, .targets = {target("b")}}, now + 7s);
    LONGS_EQUAL(2, cache.current().targets.size());
    cache.apply_platform_snapshot({.version = 4, .targets = {target("b")}}, now + 9s);
    LONGS_EQUAL(1, cache.current().targets.size());
    STRCMP_EQUAL("b", cache.current().targets.front().id.c_str());
}

TEST(target_list_caches, leaving_flag_is_applied_also_after_an_outage) {
    cache.apply_platform_snapshot({.version = 1, .targets = {target("a")}}, now);
    cache.record_read_failure(now + 3s);
    cache.apply_platform_snapshot({.version = 2, .targets = {target("a", true)}}, now + 6s);
    CHECK(cache.current().targets.front().leaving);
}

TEST(target_list_caches, older_version_never_replaces_a_newer_one) {
    cache.apply_platform_snapshot({.version = 5, .targets = {target("a", true)}}, now);
    CHECK_FALSE(cache.apply_platform_snapshot({.version = 4, .targets = {target("a")}}, now + 1s));
    CHECK_FALSE(cache.apply_peer_snapshot({.version = 4, .targets = {target("a")}}, now + 1s));
    CHECK(cache.current().targets.front().leaving);
}

TEST(target_list_caches, confirmation_applies_only_to_the_same_list) {
    cache.apply_platform_snapshot({.version = 1, .targets = {target("a")}}, now);
    cache.confirm_unchanged(3, cache.digest() + 1, now + 1s);
    CHECK(cache.read_at() == now);
    cache.confirm_unchanged(3, cache.digest(), now + 1s);
    CHECK(cache.read_at() == now + 1s);
    LONGS_EQUAL(3, cache.current().version);
}

TEST(target_list_caches, remaining_warm_up_time_is_not_a_change) {
    auto warm = target("a");
    warm.warm_up_remaining_ms = 3000;
    cache.apply_platform_snapshot({.version = 1, .targets = {warm}}, now);
    warm.warm_up_remaining_ms = 1500;
    CHECK_FALSE(cache.apply_platform_snapshot({.version = 2, .targets = {warm}}, now + 1s));
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
