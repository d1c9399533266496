#include "gateway/admission_controller.hpp"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace pomelospread;
using namespace std::chrono_literals;

TEST_GROUP(admission_controllers) {
    forwarding_wire_format wire_format;
    forwarding_state state{gateway_settings{}, wire_format, 1};
    admission_controller admission{state};
    steady_time const now = std::chrono::steady_clock::now();

    void setup() override {
        state.selector.set_targets(
            std::vector<listed_target>{{.id = "a", .pool = "p", .zone = "z", .slots = 6},
                                       {.id = "b", .pool = "q", .zone = "z", .slots = 6}},
            now);
        for (auto const* target : {"a", "b"}) {
            state.selector.attempt_started(target, now);
            state.selector.attempt_finished(
                {.target = target, .outcome = attempt_outcome::succeeded, .latency = 60ms}, now);
        }
    }
};

// Guards against a rate that does not reach the advice, which then spreads all callers over the same 0.15 s,
// and against one schedule for all pools.
TEST(admission_controllers, refused_requests_of_a_pool_return_one_after_the_other) {
    auto const first = admission.retry_delay("p", now);
    auto const second = admission.retry_delay("p", now);
    auto const third = admission.retry_delay("p", now);
    auto const of_other_pool = admission.retry_delay("q", now);
    CHECK(first >= 50ms);
    CHECK(second >= first);
    CHECK(third >= second);
    CHECK(third <= 1s);
    CHECK(of_other_pool <= second);
}
