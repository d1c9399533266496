#include "base/log_rate_limiter.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace pomelospread;
using namespace std::chrono_literals;

TEST_GROUP(log_rate_limits) {
    log_rate_limiter limiter{3};
    log_rate_limiter::time_point now{};
    std::string reported;

    int admitted_lines(char const* event, int lines) {
        int admitted = 0;
        for (int i = 0; i < lines; ++i) {
            admitted += limiter.admit(event, now) ? 1 : 0;
        }
        return admitted;
    }
    void report() {
        limiter.report_suppressed(now, [this](std::string_view event, std::uint64_t lines) {
            reported += std::string(event) + " " + std::to_string(lines) + ";";
        });
    }
};

TEST(log_rate_limits, limits_each_event_separately_in_one_second) {
    LONGS_EQUAL(3, admitted_lines("a", 10));
    LONGS_EQUAL(2, admitted_lines("b", 2));
    now += 999ms;
    LONGS_EQUAL(0, admitted_lines("a", 1));
    now += 1ms;
    LONGS_EQUAL(3, admitted_lines("a", 4));
}

TEST(log_rate_limits, reports_the_suppressed_lines_of_each_event_once) {
    admitted_lines("a", 5);
    admitted_lines("b", 4);
    report();
    STRCMP_EQUAL("", reported.c_str());
    now += 1s;
    report();
    report();
    STRCMP_EQUAL("a 2;b 1;", reported.c_str());
}
