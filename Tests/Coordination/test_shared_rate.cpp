// Rates that a fleet shares, in virtual time: the bound under any faults, and what a workspace gets.
#include "faulty_rate_fleet.hpp"
#include "rate_fleet_play.hpp"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <cmath>
#include <cstdio>
#include <string>
#include <tuple>
#include <vector>

using namespace pomelospread;
using namespace std::chrono_literals;

TEST_GROUP(shared_rates) {
    shared_rate::time_point now{100s};
};

TEST(shared_rates, no_fault_makes_a_window_exceed_the_bound) {
    // Tokens that are counted twice, or kept where no capacity accounts for them, exceed a workspace's limit.
    CHECK(rc::check("bound of every window", [] {
        auto const limit =
            *rc::gen::elementOf(std::vector<rate_limit>{{1.5, 1.5}, {20, 10}, {100, 100}, {1000, 10}});
        auto const kinds = rc::gen::inRange(0U, faulty_rate_fleet::kind_count);
        auto const actions = *rc::gen::scale(
            3.0, rc::gen::container<std::vector<std::tuple<unsigned, unsigned, unsigned>>>(
                     rc::gen::tuple(kinds, rc::gen::inRange(0U, 64U), rc::gen::inRange(0U, 64U))));
        faulty_rate_fleet fleet(limit);
        for (auto const& [kind, instance, value] : actions) {
            fleet.run({kind, instance, value});
            RC_ASSERT(fleet.holds_bound());
        }
    }));
}

TEST(shared_rates, a_workspace_below_its_limit_loses_hardly_any_request) {
    // One bucket for the entire fleet loses 0.4% with the small burst, the fleet without pooling 6% and 10%.
    // Fixed shares, tokens that stay where nobody needs them, and holders that answer nothing lose requests.
    struct row {
        char const* name;
        rate_fleet_options options;
        double max_lost = 0.001;
    };
    std::string failed;
    for (auto const& [name, options, max_lost] :
         {row{"one instance of 6", {.limit = {100, 100}, .entries = 1}}, row{"evenly", {.limit = {100, 100}}},
          row{"one instance of 6, small burst", {.limit = {100, 20}, .entries = 1}, 0.03},
          row{"evenly, small burst", {.limit = {100, 20}}, 0.03},
          row{"evenly, 30/s at 0.9", {.limit = {30, 30}, .load = 0.9}},
          row{"small, evenly", {.limit = {1.5, 1.5}, .load = 0.6, .duration = 36002s}},
          row{"small, one instance", {.limit = {1.5, 1.5}, .load = 0.6, .entries = 1, .duration = 36002s}},
          row{"one instance that is no holder",
              {.limit = {100, 100}, .entries = 1, .first_entry = 6, .instances = 30}},
          row{"24 instances that are no holders",
              {.limit = {100, 100}, .entries = 24, .first_entry = 6, .instances = 30}},
          row{"one instance, one holder silent",
              {.limit = {100, 100}, .load = 0.75, .entries = 1, .silent_holders = 1}}}) {
        auto const result = rate_fleet_play(options).run();
        std::printf("%s: lost %.5f (one bucket %.5f), %.0f bytes/s\n", name, result.lost_share,
                    result.one_bucket_lost_share, result.bytes_per_second);
        failed += result.lost_share < max_lost ? "" : std::string(name) + "; ";
    }
    STRCMP_EQUAL("", failed.c_str());
}

TEST(shared_rates, a_workspace_over_its_limit_gets_its_limit) {
    bool is_within = true;
    for (std::size_t const entries : {1, 6, 30}) {
        auto const result =
            rate_fleet_play({.limit = {100, 100}, .load = 8, .entries = entries, .instances = 30}).run();
        std::printf("8 times the limit on %zu instances: %.1f of 100/s\n", entries,
                    result.admitted_per_second);
        is_within = is_within && std::abs(result.admitted_per_second - 100) <= 5;
    }
    CHECK(is_within);
}

TEST(shared_rates, the_bytes_of_a_fleet_are_reported) {
    // 20 limits, evenly over all instances, 6 of which are holders.
    for (std::size_t const instances : {6, 30, 100, 470}) {
        for (double const load : {0.5, 0.9}) {
            auto const result = rate_fleet_play({.limit = {30, 30},
                                                 .load = load,
                                                 .entries = instances,
                                                 .instances = instances,
                                                 .ignored = 30s,
                                                 .duration = 62s,
                                                 .limits = 20})
                                    .run();
            std::printf("%zu instances at %.1f: %.0f bytes/s, lost %.5f (one bucket %.5f)\n", instances, load,
                        result.bytes_per_second, result.lost_share, result.one_bucket_lost_share);
        }
    }
}

TEST(shared_rates, a_promised_retry_is_admitted) {
    // A caller that waits as long as it was told and is refused again gives up.
    for (double const per_second : {0.5, 1.5, 30.0, 600.0}) {
        auto rate = make_rate_instance({.per_second = per_second, .burst = 12}, 6, true, now);
        now += 60s;
        while (rate.try_take(only_limit_key, now)) {
        }
        std::vector<std::chrono::nanoseconds> promised;
        for (int i = 0; i < 5; ++i) {
            rate.record_arrival(only_limit_key, now);
            CHECK_FALSE(rate.try_take(only_limit_key, now));
            promised.push_back(rate.promise_retry(only_limit_key, now));
        }
        auto const refused_at = now;
        std::chrono::nanoseconds previous{};
        for (auto const& delay : promised) {
            if (delay == previous) {
                break; // The longest Retry-After says only when to try again.
            }
            previous = delay;
            // Others ask for all that it has in the meantime.
            for (; now < refused_at + delay; now += std::max<std::chrono::nanoseconds>(1ns, delay / 7)) {
                static_cast<void>(rate.give({{.key = only_limit_key, .tokens = 100}}, true, now));
            }
            now = refused_at + delay;
            CHECK_TEXT(rate.try_take(only_limit_key, now), std::to_string(per_second).c_str());
        }
    }
}

TEST(shared_rates, tokens_that_are_gathered_in_parts_make_a_whole_one) {
    // With parts of a unit rounded down, the last thousandth never arrives and no request is admitted.
    auto asker = make_rate_instance({.per_second = 0, .burst = 12}, 3, false, now);
    asker.record_arrival(only_limit_key, now);
    for (std::uint64_t holder = 0; holder < 3; ++holder) {
        auto const asked = asker.ask(holder, holder, now, 3 - holder);
        CHECK_FALSE(asked.empty());
        auto const units = std::floor(asked[0].tokens / shared_rate::token_unit + 1e-6);
        asker.receive(holder, {{.key = only_limit_key, .tokens = units * shared_rate::token_unit}}, now);
    }
    CHECK(asker.try_take(only_limit_key, now));
}

TEST(shared_rates, a_repeated_answer_is_dropped) {
    auto asker = make_rate_instance({.per_second = 0, .burst = 12}, 3, true, now);
    asker.record_arrival(only_limit_key, now);
    auto const asked = asker.ask(1, 1, now);
    asker.receive(1, asked, now);
    auto const tokens = asker.balance(only_limit_key, now);
    asker.receive(1, asked, now);
    DOUBLES_EQUAL(tokens, asker.balance(only_limit_key, now), 1e-9);
}

TEST(shared_rates, a_holder_does_not_replace_tokens_while_others_may_use_them) {
    // Tokens at instances that are no holders would add to the bound, one for each instance of the fleet.
    auto holder = make_rate_instance({.per_second = 300, .burst = 100}, 3, true, now);
    now += 10s;
    auto const given = holder.give({{.key = only_limit_key, .tokens = 1000}}, false, now);
    DOUBLES_EQUAL(36, given[0].tokens, 1e-6);
    now += 150ms;
    DOUBLES_EQUAL(0, holder.balance(only_limit_key, now), 1e-6);
    DOUBLES_EQUAL(1, holder.balance(only_limit_key, now + 10ms), 1e-6);
}

TEST(shared_rates, an_instance_that_is_no_holder_gives_nothing) {
    // Tokens that pass from one to the next would outlive the time for which their holder accounts for them.
    auto other = make_rate_instance({.per_second = 300, .burst = 100}, 3, false, now);
    other.record_arrival(only_limit_key, now);
    other.receive(1, other.ask(1, 1, now), now);
    other.give_back(only_limit_key, now);
    DOUBLES_EQUAL(1, other.balance(only_limit_key, now), 1e-6);
    static_cast<void>(other.promise_retry(only_limit_key, now)); // No request waits for it any more.
    CHECK_EQUAL(0, other.give({{.key = only_limit_key, .tokens = 1}}, true, now)[0].tokens);
    CHECK_EQUAL(0, other.balance(only_limit_key, now + 150ms));
}
