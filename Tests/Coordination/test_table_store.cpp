// Racing operators, lost answers and outages against a plain list of accepted edits.
#include "coordination/in_memory_platform.hpp"
#include "coordination/table_store.hpp"
#include "expect_invalid_input.hpp"
#include "state/routing_tables_merge.hpp"

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <array>
#include <map>

using namespace pomelospread;

namespace {

/// A table service whose next calls fail as told.
class unreliable_service final : public table_service {
public:
    table_cell read(std::string_view key) override {
        if (refused_reads > 0) {
            --refused_reads;
            throw platform_unavailable("outage");
        }
        return m_platform.read(key);
    }

    std::vector<table_cell> list(std::string_view prefix) override { return m_platform.list(prefix); }

    void transact(std::span<table_condition const> conditions, std::span<table_write const> writes) override {
        if (race) {
            // Another operator commits between this one's read and its write.
            auto const other = std::exchange(race, nullptr);
            other();
        }
        if (std::exchange(lose_before, false)) {
            throw platform_outcome_unknown("lost before it took effect");
        }
        m_platform.transact(conditions, writes);
        if (std::exchange(lose_after, false)) {
            throw platform_outcome_unknown("lost after it took effect");
        }
    }

    int refused_reads = 0;
    bool lose_before = false;
    bool lose_after = false;
    std::function<void()> race;

private:
    in_memory_platform m_platform;
};

routing_tables with_pool(routing_tables value, std::string const& name, std::int64_t slots) {
    std::erase_if(value.pools, [&](auto const& pool) { return pool.name == name; });
    value.pools.push_back({.name = name, .slots_per_target = slots});
    return value;
}

/// What was accepted, by version; the oracle.
struct accepted_list {
    std::uint64_t version = 0;
};

struct store_world {
    unreliable_service service;
    std::vector<routing_tables> accepted{routing_tables{}};
    std::uint64_t next_edit = 0;
};

/// An operator based on an older version changes one pool, while faults and another operator interfere.
struct edit_command final : rc::state::Command<accepted_list, store_world> {
    unsigned pool = *rc::gen::inRange<unsigned>(0, 3);
    std::int64_t slots = *rc::gen::inRange<std::int64_t>(1, 4);
    unsigned behind = *rc::gen::inRange<unsigned>(0, 3);
    unsigned fault = *rc::gen::inRange<unsigned>(0, 6);

    void run(accepted_list const&, store_world& world) const override {
        table_store store(world.service);
        auto const base =
            world.accepted.size() - 1 - std::min<std::size_t>(behind, world.accepted.size() - 1);
        auto const declared = with_pool(world.accepted[base], "pool-" + std::to_string(pool), slots);
        auto const id = "edit-" + std::to_string(world.next_edit++);
        world.service.lose_before = fault == 1;
        world.service.lose_after = fault == 2;
        world.service.refused_reads = fault == 3 ? 1 : 0;
        if (fault == 4) {
            world.service.race = [&] { race(world); };
        }
        try {
            auto const result = store.merge_and_commit(declared, base, id, "operator", 0);
            check_accepted(world, store, result, declared, base);
        } catch (merge_conflict const&) {
            RC_ASSERT(base + 1 < world.accepted.size());
        } catch (platform_unavailable const&) {
            RC_ASSERT(fault == 3);
        }
        world.service.lose_before = world.service.lose_after = false;
        world.service.refused_reads = 0;
        world.service.race = nullptr;
        RC_ASSERT(store.current().version == world.accepted.size() - 1);
        RC_ASSERT(diff_tables(store.current().tables_content, world.accepted.back()).empty());
    }

    static void race(store_world& world) {
        table_store other(world.service);
        auto const declared =
            with_pool(world.accepted.back(), "raced", static_cast<std::int64_t>(world.next_edit % 9) + 1);
        auto const base = world.accepted.size() - 1;
        auto const result =
            other.merge_and_commit(declared, base, "race-" + std::to_string(world.next_edit++), "other", 0);
        if (!result.unchanged) {
            world.accepted.push_back(result.revision.tables_content);
        }
    }

    void check_accepted(store_world& world, table_store& store, edit_result const& result,
                        routing_tables const& declared, std::size_t base) const {
        if (result.unchanged) {
            return;
        }
        RC_ASSERT(result.revision.version == world.accepted.size());
        // The new version is the one before with just this operator's difference applied.
        auto const expected = merge_tables(world.accepted[base], declared, world.accepted.back());
        RC_ASSERT(diff_tables(expected, result.revision.tables_content).empty());
        RC_ASSERT(diff_tables(store.revision(result.revision.version).tables_content,
                              result.revision.tables_content)
                      .empty());
        world.accepted.push_back(result.revision.tables_content);
    }

    void show(std::ostream& out) const override {
        out << "edit(pool " << pool << ", slots " << slots << ", behind " << behind << ", fault " << fault
            << ")";
    }
};

} // namespace

TEST_GROUP(table_stores){};

TEST(table_stores, accept_each_edit_once_and_never_revert_another) {
    CHECK(rc::check([] {
        store_world world;
        rc::state::check(accepted_list{}, world, rc::state::gen::execOneOfWithArgs<edit_command>());
    }));
}

TEST(table_stores, an_edit_id_tells_what_became_of_a_lost_try) {
    unreliable_service service;
    table_store store(service);
    auto const declared = with_pool({}, "p", 1);
    auto const first = store.merge_and_commit(declared, 0, "id", "a", 5);
    auto const again = store.merge_and_commit(with_pool({}, "q", 1), 0, "id", "a", 6);
    LONGS_EQUAL(first.revision.version, again.revision.version);
    LONGS_EQUAL(1, *store.version_of("id"));
    CHECK_FALSE(store.version_of("other").has_value());
    LONGS_EQUAL(1, store.history(9).size());
    expect_invalid_input([&] { static_cast<void>(store.revision(9)); }, "9 was never accepted");
}

TEST(table_stores, an_outage_after_a_lost_answer_leaves_the_outcome_open) {
    unreliable_service service;
    table_store store(service);
    service.lose_after = true;
    struct outage_after_transact {};
    service.race = [&] { service.refused_reads = 100; };
    CHECK_THROWS(platform_outcome_unknown, store.merge_and_commit(with_pool({}, "p", 1), 0, "id", "a", 5));
    service.refused_reads = 0;
    LONGS_EQUAL(1, *store.version_of("id"));
}

TEST(table_stores, damaged_cells_are_refused) {
    CHECK_THROWS(malformed_message, decode_revision("{}"));
    CHECK_THROWS(malformed_message, decode_revision("not json"));
}
