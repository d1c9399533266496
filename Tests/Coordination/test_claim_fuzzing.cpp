// Stateful fuzzing of the claim decisions against an oracle that counts executions.
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

/// Deliveries stand more than once, so that most walks get somewhere.
constexpr std::array actions{
    named_action{"send_to_primary", &claim_simulation::send_to_primary},
    named_action{"send_to_witness", &claim_simulation::send_to_witness},
    named_action{"deliver_in_order", &claim_simulation::deliver_in_order},
    named_action{"deliver_in_order", &claim_simulation::deliver_in_order},
    named_action{"deliver_in_order", &claim_simulation::deliver_in_order},
    named_action{"deliver", &claim_simulation::deliver_any},
    named_action{"deliver", &claim_simulation::deliver_any},
    named_action{"lose", &claim_simulation::drop_message},
    named_action{"repeat", &claim_simulation::duplicate_message},
    named_action{"primary_gives_up", &claim_simulation::abandon_at_primary},
    named_action{"crash_primary", &claim_simulation::crash_primary},
    named_action{"crash_witness", &claim_simulation::crash_witness},
    named_action{"let_epoch_pass", &claim_simulation::advance_epoch},
};

struct no_model {};

/// One action of the world; the check after it is the oracle's.
struct action_command final : rc::state::Command<no_model, claim_simulation> {
    std::size_t action = *rc::gen::inRange<std::size_t>(0, actions.size());
    unsigned choice = *rc::gen::inRange<unsigned>(0, 16);

    void run(no_model const&, claim_simulation& world) const override {
        (world.*actions[action].run)(choice);
        RC_ASSERT(world.violated_invariant().empty());
    }

    void show(std::ostream& out) const override { out << actions[action].name << "(" << choice << ")"; }
};

bool holds(claim_protocol_variant design) {
    return rc::check([design] {
        claim_simulation world(design);
        rc::state::check(no_model{}, world, rc::state::gen::execOneOfWithArgs<action_command>());
    });
}

/// A fixed random walk that is longer and more numerous than rapidcheck's; answers the first broken promise.
std::string walk(claim_protocol_variant design, std::uint64_t seed, std::size_t walks, std::size_t length,
                 std::map<outcome_kind, std::size_t>& told) {
    std::mt19937_64 random(seed);
    for (std::size_t i = 0; i < walks; ++i) {
        claim_simulation world(design);
        for (std::size_t step = 0; step < length; ++step) {
            auto const& action = actions[random() % actions.size()];
            // Crashes and lost epochs end a walk's interest early, so most are passed over.
            bool const ends = std::string_view(action.name).find("crash") != std::string_view::npos ||
                              std::string_view(action.name) == "let_epoch_pass";
            if (ends && random() % 8 != 0) {
                continue;
            }
            (world.*action.run)(static_cast<unsigned>(random() % 16));
            if (!world.violated_invariant().empty()) {
                return world.violated_invariant();
            }
        }
        for (auto const kind : {outcome_kind::ran, outcome_kind::not_run, outcome_kind::unknown}) {
            told[kind] += world.reported_count(kind);
        }
    }
    return {};
}

constexpr std::uint64_t walk_seed = 20261204;

} // namespace

TEST_GROUP(claim_fuzzing){};

TEST(claim_fuzzing, the_chosen_design_keeps_every_promise) {
    CHECK(holds({}));
}

TEST(claim_fuzzing, the_chosen_design_keeps_every_promise_over_long_walks) {
    std::map<outcome_kind, std::size_t> told;
    STRCMP_EQUAL("", walk({}, walk_seed, 100000, 120, told).c_str());
    std::cout << "\nwalk seed " << walk_seed << ": told ran " << told[outcome_kind::ran] << ", not run "
              << told[outcome_kind::not_run] << ", unknown " << told[outcome_kind::unknown] << "\n";
    for (auto const& [kind, count] : told) {
        CHECK(count > 1000);
    }
}

TEST(claim_fuzzing, each_design_with_a_part_left_out_is_caught) {
    struct weakened {
        char const* name;
        claim_protocol_variant design;
    };
    std::array const designs{
        weakened{"a key bound to one instance", {.requires_grant = false}},
        weakened{"no fence", {.fences_unclaimed_keys = false}},
        weakened{"the witness runs after a time-out", {.witness_dispatches = true}},
        weakened{"a restarted witness keeps its identity", {.witness_new_identity = false}},
        weakened{"a refusal is forgotten", {.retains_refusals = false}},
        weakened{"forgotten epochs stay open", {.rejects_evicted_epochs = false}},
        weakened{"a broken exchange is sent again", {.retries_broken_exchange = true}},
    };
    for (auto const& each : designs) {
        std::map<outcome_kind, std::size_t> told;
        auto const broken = walk(each.design, walk_seed, 100000, 120, told);
        std::cout << each.name << ": " << broken << "\n";
        CHECK_FALSE_TEXT(broken.empty(), each.name);
    }
}
