// An instance's share of what its fleet divides.
#include "gateway/forwarding_state.hpp"

#include <CppUTest/TestHarness.h>

#include <thread>

using namespace pomelospread;
using namespace std::chrono_literals;

TEST_GROUP(forwarding_states) {
    forwarding_wire_format wire_format;
    forwarding_state state{gateway_settings{.zone = "z",
                                            .extra_attempt_ratio = 1,
                                            .extra_attempt_burst = 60,
                                            .fleet_probes_per_target_per_second = 40},
                           wire_format, 1};

    double balance_after_many_requests() {
        for (int i = 0; i < 100; ++i) {
            state.extra_attempts.deposit("p");
        }
        return state.extra_attempts.balance("p");
    }
    /// Withdraws until the budget refuses.
    void withdraw_all() {
        while (state.extra_attempts.try_withdraw("p")) {
        }
    }
};

// Guards against instances that each take the whole burst of the fleet, which they do not know (BUDGET).
TEST(forwarding_states, the_burst_of_extra_attempts_follows_the_part_whatever_homes_are_known) {
    struct {
        rate_part part;
        boot_clock::duration validity;
        double balance;
    } const rows[] = {
        {{.divisor = 1, .is_held = false}, 1h, 1}, {{.divisor = 4, .is_held = true}, 1h, 15},
        {{.divisor = 1, .is_held = true}, 1h, 60}, {{.divisor = 1, .is_held = true}, 0s, 1},
        {{.divisor = 4, .is_held = false}, 1h, 1}, {{.divisor = 100, .is_held = true}, 1h, 1},
    };
    for (auto const known_homes : {1U, 6U}) {
        for (auto const& row : rows) {
            state.set_homes(true, known_homes);
            state.set_part(row.part, boot_clock::now() + row.validity, {});
            DOUBLES_EQUAL(row.balance, balance_after_many_requests(), 1e-6);
        }
    }
}

TEST(forwarding_states, an_instance_has_no_part_before_one_is_set) {
    state.set_homes(true, 1);
    DOUBLES_EQUAL(1, balance_after_many_requests(), 1e-6);
}

// Guards against a holder that uses its part after others may have it (BUDGET).
TEST(forwarding_states, the_burst_ends_with_the_part) {
    state.set_part({.divisor = 4, .is_held = true}, boot_clock::now() + 30ms, {});
    DOUBLES_EQUAL(15, balance_after_many_requests(), 1e-6);
    std::this_thread::sleep_for(40ms);
    DOUBLES_EQUAL(1, state.extra_attempts.balance("p"), 1e-6);
}

TEST(forwarding_states, a_part_is_needed_after_a_refusal_without_one) {
    balance_after_many_requests();
    CHECK_FALSE(state.extra_attempts.needs_part());
    withdraw_all();
    CHECK(state.extra_attempts.needs_part());
    state.set_part({.divisor = 2, .is_held = true}, boot_clock::now() + 1h, {});
    CHECK_FALSE(state.extra_attempts.needs_part());
}

TEST(forwarding_states, load_probes_are_nobodys_before_the_fleet_is_known) {
    state.set_homes(false, 1);
    DOUBLES_EQUAL(0, state.probes_per_second("t"), 0);
    state.set_homes(true, 4);
    CHECK(state.probes_per_second("t") > 0);
}
