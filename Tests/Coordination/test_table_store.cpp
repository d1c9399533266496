// Concurrent edits, lost responses and outages, compared with a plain list of the accepted versions.
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

/// A table service whose next calls fail as a test has configured.
class unreliable_service final : public table_service {
public:
    table_cell read(std::string_view key) override {
        if (failing_reads > 0) {
            --failing_reads;
            throw platform_unavailable("outage");
        }
        return m_platform.read(key);
    }

    std::vector<table_cell> list(std::string_view prefix) override { return m_platform.list(prefix); }

    void transact(std::span<table_condition const> conditions, std::span<table_write const> writes) override {
        if (race) {
            // Another operator commits between the read and the write of this one.
            auto const other = std::exchange(race, nullptr);
            other();
        }
        if (std::exchange(lose_before_effect, false)) {
            throw platform_outcome_unknown("lost before it took effect");
        }
        m_platform.transact(conditions, writes);
        if (std::exchange(lose_after_effect, false)) {
            throw platform_outcome_unknown("lost after it took effect");
        }
    }

    int failing_reads = 0;
    bool lose_before_effect = false;
    bool lose_after_effect = false;
    std::function<void()> race;

private:
    in_memory_platform m_platform;
};

routing_tables with_pool(routing_tables value, std::string const& name, std::int64_t slots) {
    std::erase_if(value.pools, [&](auto const& pool) { return pool.name == name; });
    value.pools.push_back({.name = name, .slots_per_target = slots});
    return value;
}

/// The state that rapidcheck requires for its commands; it is not used.
struct unused_model {
    std::uint64_t version = 0;
};

/// The service under test and the accepted tables by version, which are the oracle.
struct store_simulation {
    unreliable_service service;
    std::vector<routing_tables> accepted{routing_tables{}};
    std::uint64_t next_edit = 0;
};

/// An operator whose declared tables may be based on an older version changes one pool. The commit may meet a
/// fault or a concurrent edit.
struct edit_command final : rc::state::Command<unused_model, store_simulation> {
    unsigned pool = *rc::gen::inRange<unsigned>(0, 3);
    std::int64_t slots = *rc::gen::inRange<std::int64_t>(1, 4);
    unsigned behind = *rc::gen::inRange<unsigned>(0, 3);
    unsigned fault = *rc::gen::inRange<unsigned>(0, 6);

    void run(unused_model const&, store_simulation& simulation) const override {
        table_store store(simulation.service);
        auto const base =
            simulation.accepted.size() - 1 - std::min<std::size_t>(behind, simulation.accepted.size() - 1);
        auto const declared = with_pool(simulation.accepted[base], "pool-" + std::to_string(pool), slots);
        auto const id = "edit-" + std::to_string(simulation.next_edit++);
        simulation.service.lose_before_effect = fault == 1;
        simulation.service.lose_after_effect = fault == 2;
        simulation.service.failing_reads = fault == 3 ? 1 : 0;
        if (fault == 4) {
            simulation.service.race = [&] { race(simulation); };
        }
        try {
            auto const result = store.merge_and_commit(declared, base, id, "operator", 0);
            check_accepted(simulation, store, result, declared, base);
        } catch (merge_conflict const&) {
            RC_ASSERT(base + 1 < simulation.accepted.size());
        } catch (platform_unavailable const&) {
            RC_ASSERT(fault == 3);
        }
        simulation.service.lose_before_effect = simulation.service.lose_after_effect = false;
        simulation.service.failing_reads = 0;
        simulation.service.race = nullptr;
        RC_ASSERT(store.current().version == simulation.accepted.size() - 1);
        RC_ASSERT(diff_tables(store.current().tables_content, simulation.accepted.back()).empty());
    }

    static void race(store_simulation& simulation) {
        table_store other(simulation.service);
        auto const declared = with_pool(simulation.accepted.back(), "raced",
                                        static_cast<std::int64_t>(simulation.next_edit % 9) + 1);
        auto const base = simulation.accepted.size() - 1;
        auto const result = other.merge_and_commit(
            declared, base, "race-" + std::to_string(simulation.next_edit++), "other", 0);
        if (!result.unchanged) {
            simulation.accepted.push_back(result.revision.tables_content);
        }
    }

    void check_accepted(store_simulation& simulation, table_store& store, edit_result const& result,
                        routing_tables const& declared, std::size_t base) const {
        if (result.unchanged) {
            return;
        }
        RC_ASSERT(result.revision.version == simulation.accepted.size());
        // The new version is the previous one with only the changes of this operator applied.
        auto const expected = merge_tables(simulation.accepted[base], declared, simulation.accepted.back());
        RC_ASSERT(diff_tables(expected, result.revision.tables_content).empty());
        RC_ASSERT(diff_tables(store.revision(result.revision.version).tables_content,
                              result.revision.tables_content)
                      .empty());
        simulation.accepted.push_back(result.revision.tables_content);
    }

    void show(std::ostream& out) const override {
        out << "edit(pool " << pool << ", slots " << slots << ", behind " << behind << ", fault " << fault
            << ")";
    }
};

} // namespace

TEST_GROUP(table_stores){};

TEST(table_stores, each_edit_is_accepted_once_and_reverts_no_other) {
    CHECK(rc::check([] {
        store_simulation simulation;
        rc::state::check(unused_model{}, simulation, rc::state::gen::execOneOfWithArgs<edit_command>());
    }));
}

TEST(table_stores, edit_id_identifies_an_edit_that_was_accepted_before) {
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

TEST(table_stores, outage_after_a_lost_response_leaves_the_outcome_unknown) {
    unreliable_service service;
    table_store store(service);
    service.lose_after_effect = true;
    struct outage_after_transact {};
    service.race = [&] { service.failing_reads = 100; };
    CHECK_THROWS(platform_outcome_unknown, store.merge_and_commit(with_pool({}, "p", 1), 0, "id", "a", 5));
    service.failing_reads = 0;
    LONGS_EQUAL(1, *store.version_of("id"));
}

TEST(table_stores, malformed_cells_are_rejected) {
    CHECK_THROWS(malformed_message, decode_revision("{}"));
    CHECK_THROWS(malformed_message, decode_revision("not json"));
}
