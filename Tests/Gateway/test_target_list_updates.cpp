#include "gateway/target_list_updates.hpp"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <string>

using namespace pomelospread;

namespace {

target_list_snapshot make_list(std::uint64_t version, std::vector<int> const& ids, int slots = 6) {
    target_list_snapshot result{.version = {.number = version}, .targets = {}};
    for (int const id : ids) {
        result.targets.push_back({.id = "i-" + std::to_string(1000 + id),
                                  .pool = "p",
                                  .address = {"10.0.0.9", 80},
                                  .slots = slots});
    }
    return result;
}

std::vector<int> id_range(int from, int to) {
    std::vector<int> ids;
    for (int id = from; id < to; ++id) {
        ids.push_back(id);
    }
    return ids;
}

} // namespace

TEST_GROUP(target_list_update_sequence){};

TEST(target_list_update_sequence, updates_lead_to_the_next_list_and_fit_datagrams) {
    auto const before = make_list(3, id_range(0, 40));
    auto const after = make_list(9, id_range(20, 70));
    auto const updates = make_target_list_updates(before, after, 5);
    LONGS_EQUAL(7, updates.size());
    auto list = before;
    for (auto const& update : updates) {
        CHECK(encode_datagram({.has_list_update = true, .list_update = update}).size() <= 1400);
        list = *apply_target_list_update(list, target_list_digest(list.targets), update);
    }
    CHECK(list.targets == after.targets);
    LONGS_EQUAL(9, list.version.number);
}

TEST(target_list_update_sequence, updates_of_targets_with_long_names_fit_datagrams) {
    auto const before = make_list(3, id_range(0, 2));
    for (std::size_t length = 1; length <= 200; ++length) {
        auto after = make_list(9, id_range(0, 60));
        for (auto& target : after.targets) {
            target.id += std::string(length - length / 20, 'i');
            target.pool = std::string(length, 'p');
            target.zone = std::string(200 - length / 2, 'z');
        }
        after.targets.resize(20);
        auto const updates = make_target_list_updates(before, after, 5);
        auto list = before;
        for (auto const& update : updates) {
            auto const bytes =
                encode_datagram({.has_list_update = true, .list_update = update, .has_tables = true}).size();
            CHECK_TEXT(bytes <= 1400, std::to_string(length).c_str());
            list = *apply_target_list_update(list, target_list_digest(list.targets), update);
        }
        CHECK(list.targets == after.targets);
    }
}

TEST(target_list_update_sequence,
     after_a_missed_update_later_ones_do_not_apply_and_the_version_stays_behind) {
    auto const before = make_list(3, id_range(0, 4));
    auto const updates = make_target_list_updates(before, make_list(9, id_range(0, 30)), 5);
    auto const first = *apply_target_list_update(before, target_list_digest(before.targets), updates.front());
    LONGS_EQUAL(3, first.version.number);
    CHECK_FALSE(
        apply_target_list_update(first, target_list_digest(first.targets), updates.back()).has_value());
    CHECK(updates.back().version > first.version);
}

TEST(target_list_update_sequence, large_change_of_a_large_list_is_sent_without_entries) {
    auto const updates =
        make_target_list_updates(make_list(3, id_range(0, 800)), make_list(9, id_range(0, 800), 7), 5);
    LONGS_EQUAL(1, updates.size());
    LONGS_EQUAL(0, updates.front().delta_base_digest);
    LONGS_EQUAL(9, updates.front().version.number);
}

TEST(target_list_update_sequence, updates_lead_from_any_list_to_any_other) {
    bool const holds =
        rc::check("any change", [](std::set<std::uint8_t> const& from, std::set<std::uint8_t> const& to) {
            auto list = make_list(1, {from.begin(), from.end()});
            auto const after = make_list(2, {to.begin(), to.end()}, 5);
            auto const updates = make_target_list_updates(list, after, 0);
            if (updates.front().delta_base_digest == 0) {
                RC_ASSERT(from.size() + to.size() > 380);
                return;
            }
            for (auto const& update : updates) {
                list = *apply_target_list_update(list, target_list_digest(list.targets), update);
            }
            RC_ASSERT(list.targets == after.targets);
            RC_ASSERT(list.version.number == 2U);
        });
    CHECK(holds);
}
