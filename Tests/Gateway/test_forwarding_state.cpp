// An instance's share of what its fleet divides among the homes.
#include "gateway/forwarding_state.hpp"

#include <CppUTest/TestHarness.h>

using namespace pomelospread;

// Guards against starting instances that each take the whole budget of the fleet (BUDGET).
TEST_GROUP(forwarding_states) {
    forwarding_wire_format wire_format;
    forwarding_state state{gateway_settings{.zone = "z",
                                            .extra_attempt_ratio = 1,
                                            .extra_attempt_burst = 60,
                                            .fleet_probes_per_target_per_second = 40},
                           wire_format, 1};

    double balance_after_many_requests() {
        auto& budget = state.extra_attempts.budget_for("p");
        for (int i = 0; i < 100; ++i) {
            budget.deposit();
        }
        return budget.balance();
    }
};

TEST(forwarding_states, an_instance_that_does_not_know_the_fleet_has_no_share) {
    state.set_fleet_share(false, true, 1);
    DOUBLES_EQUAL(1, balance_after_many_requests(), 1e-6);
    DOUBLES_EQUAL(0, state.probes_per_second("t"), 0);
}

TEST(forwarding_states, a_home_has_its_share_of_the_fleet) {
    state.set_fleet_share(true, true, 4);
    DOUBLES_EQUAL(15, balance_after_many_requests(), 1e-6);
    CHECK(state.probes_per_second("t") > 0);
    state.set_fleet_share(true, false, 4);
    DOUBLES_EQUAL(1, balance_after_many_requests(), 1e-6);
}
