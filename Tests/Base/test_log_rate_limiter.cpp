#include "base/log_rate_limiter.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace pomelospread;
using namespace std::chrono_literals;

TEST_GROUP(log_budgets) {
    log_rate_limiter budget{3};
    log_rate_limiter::time_point now{};
    std::string told;

    int write(char const* event, int lines) {
        int written = 0;
        for (int i = 0; i < lines; ++i) {
            written += budget.admit(event, now) ? 1 : 0;
        }
        return written;
    }
    void report() {
        budget.report_suppressed(now, [this](std::string_view event, std::uint64_t lines) {
            told += std::string(event) + " " + std::to_string(lines) + ";";
        });
    }
};

TEST(log_budgets, each_event_has_its_own_lines_a_second) {
    LONGS_EQUAL(3, write("a", 10));
    LONGS_EQUAL(2, write("b", 2));
    now += 999ms;
    LONGS_EQUAL(0, write("a", 1));
    now += 1ms;
    LONGS_EQUAL(3, write("a", 4));
}

TEST(log_budgets, what_was_left_out_is_told_once_by_event) {
    write("a", 5);
    write("b", 4);
    report();
    STRCMP_EQUAL("", told.c_str());
    now += 1s;
    report();
    report();
    STRCMP_EQUAL("a 2;b 1;", told.c_str());
}
