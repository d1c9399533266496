// Instances that exchange tokens of a workspace's rate through encoded datagrams.
#include "gateway/workspace_rates.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <thread>

using namespace pomelospread;
using namespace std::chrono_literals;

TEST_GROUP(workspace_rate_exchanges) {
    workspace_row const workspace{.name = "w", .requests_per_second = 300, .burst = 1};
    std::vector<endpoint> const holders{{"127.0.0.1", 1}, {"127.0.0.1", 2}, {"127.0.0.1", 3}};
    endpoint const other{"127.0.0.1", 4};
    boot_clock::time_point const valid_until = boot_clock::now() + 10s;
    std::map<endpoint, workspace_rates> instances;

    void setup() override {
        for (std::uint16_t port = 1; port <= 4; ++port) {
            endpoint const self{"127.0.0.1", port};
            auto& rates = instances.try_emplace(self, shared_rate_policy{.fleet_slack = 2}).first->second;
            rates.set_sender([this, self](fleet_datagram const& message, endpoint const& receiver) {
                instances.at(receiver).receive(decode_datagram(encode_datagram(message)).tokens, self);
            });
            rates.set_limits({.workspaces = {{workspace}}});
            auto others = holders;
            bool const is_held = std::erase(others, self) > 0;
            rates.set_part({.divisor = holders.size(), .is_held = is_held}, valid_until, others);
        }
    }
};

TEST(workspace_rate_exchanges, an_instance_that_is_no_holder_admits_with_the_tokens_of_several) {
    // Each holder keeps at most one token. With parts rounded down in messages, the last thousandth of a
    // token never arrives.
    std::this_thread::sleep_for(20ms);
    for (int i = 0; i < 2; ++i) {
        CHECK_FALSE(instances.at(other).admit(workspace).has_value());
    }
    CHECK(instances.at(holders[0]).balance(workspace) < 1);
}

TEST(workspace_rate_exchanges, holders_that_do_not_answer_are_not_asked) {
    // Requests would wait for them in vain.
    std::this_thread::sleep_for(20ms);
    auto& rates = instances.at(other);
    std::size_t sent = 0;
    rates.set_sender([&](fleet_datagram const&, endpoint const& receiver) {
        sent += 1;
        CHECK(receiver == holders[1]);
    });
    rates.set_part({.divisor = holders.size(), .is_held = false}, valid_until, {holders[1]});
    CHECK(rates.admit(workspace).has_value());
    CHECK_EQUAL(1, sent);
}

// Guards against a holder that goes on after its part may have been given to others (QUOTA).
TEST(workspace_rate_exchanges, a_part_ends_when_its_lease_ends) {
    std::this_thread::sleep_for(20ms);
    auto& rates = instances.at(holders[0]);
    rates.set_part({.divisor = holders.size(), .is_held = true}, boot_clock::now() + 30ms, {});
    CHECK_FALSE(rates.admit(workspace).has_value());
    std::this_thread::sleep_for(50ms);
    CHECK(rates.admit(workspace).has_value());
    CHECK_EQUAL(0, rates.balance(workspace));
}

// Guards against a rate that is divided among the few members that a starting instance knows (QUOTA).
TEST(workspace_rate_exchanges, an_instance_that_knows_no_division_has_no_part) {
    workspace_rates rates{shared_rate_policy{}};
    rates.set_limits({.workspaces = {{workspace}}});
    std::this_thread::sleep_for(20ms);
    auto const retry_after = rates.admit(workspace);
    CHECK(retry_after.has_value());
    CHECK(*retry_after >= 400ms);
}
