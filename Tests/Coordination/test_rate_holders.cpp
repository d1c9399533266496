// Which instances hold parts of the fleet's rates, as others leave, fall silent and return.
#include "coordination/rate_holders.hpp"

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>

using namespace pomelospread;
using namespace std::chrono_literals;

namespace {

endpoint address(std::uint16_t number) {
    return {"127.0.0.1", number};
}

} // namespace

TEST_GROUP(rate_holder_sets) {
    rate_holders holders;
    rate_holders::time_point now{100s};
    std::map<endpoint, holder_status> status;

    void refresh(std::set<std::uint16_t> const& homes) {
        std::set<endpoint> addresses;
        for (auto const number : homes) {
            addresses.insert(address(number));
        }
        holders.refresh(
            addresses,
            [&](endpoint const& each) {
                auto const found = status.find(each);
                return found == status.end() ? holder_status::silent : found->second;
            },
            now);
    }
    void check(std::set<std::uint16_t> const& expected) {
        std::vector<endpoint> addresses;
        for (auto const number : expected) {
            addresses.push_back(address(number));
        }
        CHECK(holders.holders() == addresses);
    }
};

TEST(rate_holder_sets, a_silent_holder_keeps_its_part) {
    // It may be cut off and serve callers; with its part given to others, both sides exceed the rate.
    refresh({1, 2, 3});
    refresh({1, 2});
    check({1, 2, 3});
    now += 59min;
    refresh({1, 2});
    check({1, 2, 3});
    now += 2min;
    refresh({1, 2});
    check({1, 2});
}

TEST(rate_holder_sets, a_holder_that_left_or_is_no_home_gives_its_part_back) {
    refresh({1, 2, 3, 4});
    status = {{address(3), holder_status::gone}, {address(4), holder_status::alive}};
    refresh({1, 2});
    check({1, 2});
}

TEST(rate_holder_sets, a_holder_that_returns_is_counted_once) {
    refresh({1, 2, 3});
    refresh({1, 2});
    now += 50min;
    refresh({1, 2, 3});
    refresh({1, 2});
    now += 50min;
    refresh({1, 2});
    check({1, 2, 3});
}

TEST(rate_holder_sets, homes_that_replace_silent_ones_get_no_part) {
    // Each side of a partition replaces the homes of the other: with 3 and 3 of 6 holders and 3 new ones on
    // each side, the sides together generated 12 ninths of the rate.
    refresh({1, 2, 3, 4, 5, 6});
    refresh({1, 2, 3, 7, 8, 9});
    check({1, 2, 3, 4, 5, 6});
    refresh({1, 2, 3, 4, 5, 6});
    check({1, 2, 3, 4, 5, 6});
    refresh({1, 2, 3, 4, 5, 6, 7});
    check({1, 2, 3, 4, 5, 6, 7});
}
