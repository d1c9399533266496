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

TEST_GROUP(target_lists) {
    target_list_cache list;
    target_list_cache::time_point now{100s};
};

TEST(target_lists, a_missing_entry_is_gone_at_once_on_a_calm_day) {
    list.apply_platform_snapshot({.version = 1, .targets = {target("a"), target("b")}}, now);
    CHECK(list.apply_platform_snapshot({.version = 2, .targets = {target("a")}}, now + 800ms));
    LONGS_EQUAL(1, list.current().targets.size());
}

TEST(target_lists, an_entry_that_lapsed_in_an_outage_is_kept_until_it_had_time_to_return) {
    list.apply_platform_snapshot({.version = 1, .targets = {target("a"), target("b")}}, now);
    list.record_read_failure(now + 3s);
    list.apply_platform_snapshot({.version = 2, .targets = {}}, now + 6s);
    LONGS_EQUAL(2, list.current().targets.size());
    list.apply_platform_snapshot({.version = 3, .targets = {target("b")}}, now + 7s);
    LONGS_EQUAL(2, list.current().targets.size());
    list.apply_platform_snapshot({.version = 4, .targets = {target("b")}}, now + 9s);
    LONGS_EQUAL(1, list.current().targets.size());
    STRCMP_EQUAL("b", list.current().targets.front().id.c_str());
}

TEST(target_lists, a_leaving_entry_is_believed_also_after_an_outage) {
    list.apply_platform_snapshot({.version = 1, .targets = {target("a")}}, now);
    list.record_read_failure(now + 3s);
    list.apply_platform_snapshot({.version = 2, .targets = {target("a", true)}}, now + 6s);
    CHECK(list.current().targets.front().leaving);
}

TEST(target_lists, an_older_version_never_replaces_a_newer_one) {
    list.apply_platform_snapshot({.version = 5, .targets = {target("a", true)}}, now);
    CHECK_FALSE(list.apply_platform_snapshot({.version = 4, .targets = {target("a")}}, now + 1s));
    CHECK_FALSE(list.apply_peer_snapshot({.version = 4, .targets = {target("a")}}, now + 1s));
    CHECK(list.current().targets.front().leaving);
}

TEST(target_lists, a_confirmation_counts_only_for_the_same_list) {
    list.apply_platform_snapshot({.version = 1, .targets = {target("a")}}, now);
    list.confirm_unchanged(3, list.digest() + 1, now + 1s);
    CHECK(list.read_at() == now);
    list.confirm_unchanged(3, list.digest(), now + 1s);
    CHECK(list.read_at() == now + 1s);
    LONGS_EQUAL(3, list.current().version);
}

TEST(target_lists, the_rest_of_a_warm_up_is_not_news) {
    auto warm = target("a");
    warm.warm_up_remaining_ms = 3000;
    list.apply_platform_snapshot({.version = 1, .targets = {warm}}, now);
    warm.warm_up_remaining_ms = 1500;
    CHECK_FALSE(list.apply_platform_snapshot({.version = 2, .targets = {warm}}, now + 1s));
}

TEST_GROUP(read_schedules){};

TEST(read_schedules, large_instances_read_before_small_ones) {
    std::array<poll_candidate, 3> const alive{{{.id = 10, .processor_permille = 100},
                                               {.id = 20, .processor_permille = 100},
                                               {.id = 30, .processor_permille = 500}}};
    LONGS_EQUAL(0, list_poll_schedule::poll_rank(alive[2], alive));
    LONGS_EQUAL(1, list_poll_schedule::poll_rank(alive[0], alive));
    LONGS_EQUAL(2, list_poll_schedule::poll_rank(alive[1], alive));
}

TEST(read_schedules, one_instance_reads_first_and_the_rest_stand_by_in_order) {
    list_poll_schedule const schedule;
    std::array<poll_candidate, 3> const alive{{{.id = 30}, {.id = 10}, {.id = 20}}};
    LONGS_EQUAL(0, list_poll_schedule::poll_rank({.id = 10}, alive));
    LONGS_EQUAL(2, list_poll_schedule::poll_rank({.id = 30}, alive));
    CHECK(schedule.max_list_age(0) < schedule.max_list_age(1));
    // The last to stand by still reads well within the two seconds in which a leaving target must be known.
    CHECK(schedule.max_list_age(1000) < 1500ms);
}
