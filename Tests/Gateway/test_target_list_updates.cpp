#include "gateway/target_list_updates.hpp"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <string>

using namespace pomelospread;

namespace {

target_list_snapshot reading(std::uint64_t version, std::vector<int> const& ids, int slots = 6) {
    target_list_snapshot result{.version = version, .targets = {}};
    for (int const id : ids) {
        result.targets.push_back({.id = "i-" + std::to_string(1000 + id),
                                  .pool = "p",
                                  .address = {"10.0.0.9", 80},
                                  .slots = slots});
    }
    return result;
}

std::vector<int> range(int from, int to) {
    std::vector<int> ids;
    for (int id = from; id < to; ++id) {
        ids.push_back(id);
    }
    return ids;
}

} // namespace

TEST_GROUP(list_notes_between){};

TEST(list_notes_between, the_notes_of_a_change_lead_to_the_next_list_and_fit_datagrams) {
    auto const before = reading(3, range(0, 40));
    auto const after = reading(9, range(20, 70));
    auto const notes = make_target_list_updates(before, after, 5);
    LONGS_EQUAL(7, notes.size());
    auto list = before;
    for (auto const& note : notes) {
        CHECK(encode_datagram({.has_list_update = true, .list_update = note}).size() <= 1400);
        list = *apply_target_list_update(list, target_list_digest(list.targets), note);
    }
    CHECK(list.targets == after.targets);
    LONGS_EQUAL(9, list.version);
}

TEST(list_notes_between, one_that_misses_a_note_applies_no_later_one_and_stays_behind) {
    auto const before = reading(3, range(0, 4));
    auto const notes = make_target_list_updates(before, reading(9, range(0, 30)), 5);
    auto const first = *apply_target_list_update(before, target_list_digest(before.targets), notes.front());
    LONGS_EQUAL(3, first.version);
    CHECK_FALSE(apply_target_list_update(first, target_list_digest(first.targets), notes.back()).has_value());
    CHECK(notes.back().version > first.version);
}

TEST(list_notes_between, a_change_of_most_of_a_large_list_is_fetched) {
    auto const notes = make_target_list_updates(reading(3, range(0, 200)), reading(9, range(0, 200), 7), 5);
    LONGS_EQUAL(1, notes.size());
    LONGS_EQUAL(0, notes.front().delta_base_digest);
    LONGS_EQUAL(9, notes.front().version);
}

TEST(list_notes_between, any_two_lists_are_bridged) {
    bool const holds =
        rc::check("any change", [](std::set<std::uint8_t> const& from, std::set<std::uint8_t> const& to) {
            auto list = reading(1, {from.begin(), from.end()});
            auto const after = reading(2, {to.begin(), to.end()}, 5);
            auto const notes = make_target_list_updates(list, after, 0);
            if (notes.front().delta_base_digest == 0) {
                RC_ASSERT(from.size() + to.size() > 100);
                return;
            }
            for (auto const& note : notes) {
                list = *apply_target_list_update(list, target_list_digest(list.targets), note);
            }
            RC_ASSERT(list.targets == after.targets);
            RC_ASSERT(list.version == 2U);
        });
    CHECK(holds);
}
