#include "admission_simulation.hpp"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace pomelospread;
using namespace std::chrono_literals;

namespace {

using time_point = group_shares::time_point;

/// Three routes at one pool: an urgent one, one that can wait long and one that can not.
overload const overloads[] = {
    {"slightly", {{1, 1, 120, 800ms, 2000ms}, {2, 2, 60, 1000ms, 5000ms}, {3, 2, 60, 500ms, 1200ms}}, 50},
    {"twice", {{1, 1, 220, 800ms, 2000ms}, {2, 2, 100, 1000ms, 5000ms}, {3, 2, 120, 500ms, 1200ms}}, 55},
    {"mostly urgent",
     {{1, 1, 400, 800ms, 2000ms}, {2, 2, 40, 1000ms, 5000ms}, {3, 2, 40, 500ms, 1200ms}},
     60},
    {"three times",
     {{1, 0, 300, 800ms, 2000ms}, {2, 1, 300, 1000ms, 5000ms}, {3, 3, 300, 500ms, 1200ms}},
     75},
};

} // namespace

TEST_GROUP(route_share_counts) {
    group_shares shares;
    time_point now{100s};

    void record(std::uint32_t route, int arrived, int admitted) {
        for (int i = 0; i < arrived; ++i) {
            shares.record_arrival(route, now);
        }
        for (int i = 0; i < admitted; ++i) {
            shares.record_admission(route, now);
        }
    }
};

TEST(route_share_counts, a_route_that_is_admitted_less_than_half_as_often_is_underserved) {
    record(1, 100, 80);
    record(2, 100, 20);
    CHECK_FALSE(shares.is_underserved(1, now));
    CHECK(shares.is_underserved(2, now));
    record(2, 0, 30);
    CHECK_FALSE(shares.is_underserved(2, now));
}

TEST(route_share_counts, unknown_routes_and_few_requests_say_nothing) {
    record(1, 100, 80);
    record(2, 2, 0);
    CHECK_FALSE(shares.is_underserved(2, now));
    CHECK_FALSE(shares.is_underserved(3, now));
}

TEST(route_share_counts, an_overload_is_forgotten) {
    record(1, 100, 80);
    record(2, 100, 0);
    now += 30s;
    record(1, 100, 100);
    record(2, 100, 100);
    CHECK_FALSE(shares.is_underserved(2, now));
}

TEST_GROUP(overloaded_pools){};

TEST(overloaded_pools, no_route_is_served_less_than_half_as_often_as_all_requests) {
    constexpr double sampling_error = 0.05;
    for (auto const& shape : overloads) {
        played_overload const played(shape);
        for (auto const& each : shape.loads) {
            CHECK_TEXT(played.served_share(each.route) >= played.total_served_share() * 0.5 - sampling_error,
                       shape.name);
        }
    }
}

TEST(overloaded_pools, a_more_urgent_route_is_served_no_less_than_a_less_urgent_one) {
    constexpr double sampling_error = 0.05;
    for (auto const& shape : overloads) {
        played_overload const played(shape);
        for (auto const& urgent : shape.loads) {
            for (auto const& other : shape.loads) {
                CHECK_TEXT(urgent.priority >= other.priority ||
                               played.served_share(urgent.route) >=
                                   played.served_share(other.route) - sampling_error,
                           shape.name);
            }
        }
    }
}
