// Stateful fuzzing of the decisions on claims, checked by an oracle that counts executions.
#include "claim_simulation.hpp"

#include <CppUTest/TestHarness.h>

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <array>
#include <iostream>
#include <map>
#include <random>

using namespace pomelospread;

namespace {

struct named_action {
    char const* name;
    void (claim_simulation::*run)(unsigned);
};

/// Deliveries are listed several times, so that most random walks reach an outcome. The order of the table
/// determines the seeded walks.
constexpr std::array actions{
    named_action{"send_to_primary", &claim_simulation::send_to_primary},
    named_action{"send_to_witness", &claim_simulation::send_to_witness},
    named_action{"deliver_in_order", &claim_simulation::deliver_in_order},
    named_action{"deliver_in_order", &claim_simulation::deliver_in_order},
    named_action{"deliver_in_order", &claim_simulation::deliver_in_order},
    named_action{"deliver_any", &claim_simulation::deliver_any},
    named_action{"deliver_any", &claim_simulation::deliver_any},
    named_action{"drop_message", &claim_simulation::drop_message},
    named_action{"duplicate_message", &claim_simulation::duplicate_message},
    named_action{"abandon_at_primary", &claim_simulation::abandon_at_primary},
    named_action{"crash_primary", &claim_simulation::crash_primary},
    named_action{"crash_witness", &claim_simulation::crash_witness},
    named_action{"advance_epoch", &claim_simulation::advance_epoch},
};

struct empty_model {};

/// One action of the simulation, followed by the check of the oracle.
struct action_command final : rc::state::Command<empty_model, claim_simulation> {
    std::size_t action = *rc::gen::inRange<std::size_t>(0, actions.size());
    unsigned choice = *rc::gen::inRange<unsigned>(0, 16);

    void run(empty_model const&, claim_simulation& simulation) const override {
        (simulation.*actions[action].run)(choice);
        RC_ASSERT(simulation.violated_invariant().empty());
    }

    void show(std::ostream& out) const override { out << actions[action].name << "(" << choice << ")"; }
};

bool violates_no_invariant(claim_protocol_variant variant) {
    return rc::check([variant] {
        claim_simulation simulation(variant);
        rc::state::check(empty_model{}, simulation, rc::state::gen::execOneOfWithArgs<action_command>());
    });
}

/// Seeded random walks, which are longer and more numerous than those of rapidcheck. Returns the first
/// violated invariant, or an empty string.
std::string random_walks(claim_protocol_variant variant, std::uint64_t seed, std::size_t walk_count,
                         std::size_t steps_per_walk, std::map<outcome_kind, std::size_t>& reported) {
    std::mt19937_64 random(seed);
    for (std::size_t i = 0; i < walk_count; ++i) {
        claim_simulation simulation(variant);
        for (std::size_t step = 0; step < steps_per_walk; ++step) {
            auto const& action = actions[random() % actions.size()];
            // After a crash or an epoch change, a walk reaches few new states, so most of these are
            // skipped.
            bool const is_terminal = std::string_view(action.name).find("crash") != std::string_view::npos ||
                                     std::string_view(action.name) == "advance_epoch";
            if (is_terminal && random() % 8 != 0) {
                continue;
            }
            (simulation.*action.run)(static_cast<unsigned>(random() % 16));
            if (!simulation.violated_invariant().empty()) {
                return simulation.violated_invariant();
            }
        }
        for (auto const kind : {outcome_kind::ran, outcome_kind::not_run, outcome_kind::unknown}) {
            reported[kind] += simulation.reported_count(kind);
        }
    }
    return {};
}

constexpr std::uint64_t walk_seed = 20261204;

} // namespace

TEST_GROUP(claim_fuzzing){};

TEST(claim_fuzzing, protocol_in_use_violates_no_invariant) {
    CHECK(violates_no_invariant({}));
}

TEST(claim_fuzzing, protocol_in_use_violates_no_invariant_in_long_walks) {
    std::map<outcome_kind, std::size_t> reported;
    STRCMP_EQUAL("", random_walks({}, walk_seed, 100000, 120, reported).c_str());
    std::cout << "\nwalk seed " << walk_seed << ": reported ran " << reported[outcome_kind::ran]
              << ", not run " << reported[outcome_kind::not_run] << ", unknown "
              << reported[outcome_kind::unknown] << "\n";
    for (auto const& [kind, count] : reported) {
        CHECK(count > 1000);
    }
}

TEST(claim_fuzzing, each_incomplete_protocol_violates_an_invariant) {
    struct incomplete_protocol {
        char const* name;
        claim_protocol_variant variant;
    };
    std::array const protocols{
        incomplete_protocol{"dispatch without a granted claim", {.requires_grant = false}},
        incomplete_protocol{"no fencing of unclaimed keys", {.fences_unclaimed_keys = false}},
        incomplete_protocol{"the witness dispatches requests", {.witness_dispatches = true}},
        incomplete_protocol{"a restarted witness keeps its instance id", {.witness_new_identity = false}},
        incomplete_protocol{"the primary does not retain refusals", {.retains_refusals = false}},
        incomplete_protocol{"keys of evicted epochs are accepted", {.rejects_evicted_epochs = false}},
        incomplete_protocol{"a request is sent again after a broken exchange",
                            {.retries_broken_exchange = true}},
    };
    for (auto const& each : protocols) {
        std::map<outcome_kind, std::size_t> reported;
        auto const violation = random_walks(each.variant, walk_seed, 100000, 120, reported);
        std::cout << each.name << ": " << violation << "\n";
        CHECK_FALSE_TEXT(violation.empty(), each.name);
    }
}
