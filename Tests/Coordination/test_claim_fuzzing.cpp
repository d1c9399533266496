// Stateful fuzzing of the claim decisions against an oracle that counts executions.
#include "claim_world.hpp"

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
    void (claim_world::*run)(unsigned);
};

/// Deliveries stand more than once, so that most walks get somewhere.
constexpr std::array actions{
    named_action{"send_to_primary", &claim_world::send_to_primary},
    named_action{"send_to_witness", &claim_world::send_to_witness},
    named_action{"deliver_in_order", &claim_world::deliver_in_order},
    named_action{"deliver_in_order", &claim_world::deliver_in_order},
    named_action{"deliver_in_order", &claim_world::deliver_in_order},
    named_action{"deliver", &claim_world::deliver},
    named_action{"deliver", &claim_world::deliver},
    named_action{"lose", &claim_world::lose},
    named_action{"repeat", &claim_world::repeat},
    named_action{"primary_gives_up", &claim_world::primary_gives_up},
    named_action{"crash_primary", &claim_world::crash_primary},
    named_action{"crash_witness", &claim_world::crash_witness},
    named_action{"let_epoch_pass", &claim_world::let_epoch_pass},
};

struct no_model {};

/// One action of the world; the check after it is the oracle's.
struct action_command final : rc::state::Command<no_model, claim_world> {
    std::size_t action = *rc::gen::inRange<std::size_t>(0, actions.size());
    unsigned choice = *rc::gen::inRange<unsigned>(0, 16);

    void run(no_model const&, claim_world& world) const override {
        (world.*actions[action].run)(choice);
        RC_ASSERT(world.broken_promise().empty());
    }

    void show(std::ostream& out) const override { out << actions[action].name << "(" << choice << ")"; }
};

bool holds(claim_design design) {
    return rc::check([design] {
        claim_world world(design);
        rc::state::check(no_model{}, world, rc::state::gen::execOneOfWithArgs<action_command>());
    });
}

/// A fixed random walk that is longer and more numerous than rapidcheck's; answers the first broken promise.
std::string walk(claim_design design, std::uint64_t seed, std::size_t walks, std::size_t length,
                 std::map<outcome_kind, std::size_t>& told) {
    std::mt19937_64 random(seed);
    for (std::size_t i = 0; i < walks; ++i) {
        claim_world world(design);
        for (std::size_t step = 0; step < length; ++step) {
            auto const& action = actions[random() % actions.size()];
            // Crashes and lost epochs end a walk's interest early, so most are passed over.
            bool const ends = std::string_view(action.name).find("crash") != std::string_view::npos ||
                              std::string_view(action.name) == "let_epoch_pass";
            if (ends && random() % 8 != 0) {
                continue;
            }
            (world.*action.run)(static_cast<unsigned>(random() % 16));
            if (!world.broken_promise().empty()) {
                return world.broken_promise();
            }
        }
        for (auto const kind : {outcome_kind::ran, outcome_kind::not_run, outcome_kind::unknown}) {
            told[kind] += world.told(kind);
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
        claim_design design;
    };
    std::array const designs{
        weakened{"a key bound to one instance", {.asks_witness = false}},
        weakened{"no fence", {.fences = false}},
        weakened{"the witness runs after a time-out", {.witness_runs = true}},
        weakened{"a restarted witness keeps its identity", {.witness_new_identity = false}},
        weakened{"a refusal is forgotten", {.refusal_is_kept = false}},
        weakened{"forgotten epochs stay open", {.forgetting_closes = false}},
        weakened{"a broken exchange is sent again", {.resends_to_target = true}},
    };
    for (auto const& each : designs) {
        std::map<outcome_kind, std::size_t> told;
        auto const broken = walk(each.design, walk_seed, 100000, 120, told);
        std::cout << each.name << ": " << broken << "\n";
        CHECK_FALSE_TEXT(broken.empty(), each.name);
    }
}
