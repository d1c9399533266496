#include "coordination/membership.hpp"
#include "coordination/placement.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <set>

using namespace pomelospread;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seed = 20261204;

/// Instances that exchange heartbeats over a simulated network. A test can stop instances and block links.
class gossip_simulation {
public:
    explicit gossip_simulation(std::size_t size) {
        for (std::size_t i = 0; i < size; ++i) {
            entries.push_back({.id = i + 1, .zone = std::string(1, static_cast<char>('a' + i % 3))});
        }
        for (auto const& entry : entries) {
            members.push_back(std::make_unique<membership>(entry, limits));
            members.back()->merge_platform_list(entries, now);
        }
        running.assign(size, true);
    }

    void run(std::chrono::milliseconds duration) {
        for (auto const end = now + duration; now < end; now += limits.heartbeat_period) {
            for (std::size_t i = 0; i < members.size(); ++i) {
                if (running[i]) {
                    send_heartbeat(i);
                }
            }
        }
    }

    member_status status(std::size_t observer, std::size_t subject) const {
        auto const view = members[observer]->view();
        auto const found =
            std::ranges::find_if(view, [&](auto const& member) { return member.entry.id == subject + 1; });
        return found == view.end() ? member_status::dead : found->status;
    }

    unsigned lost_percent = 0;
    membership_limits limits;
    std::vector<instance_entry> entries;
    std::vector<std::unique_ptr<membership>> members;
    std::vector<bool> running;
    std::function<bool(std::size_t, std::size_t)> link_works = [](auto, auto) { return true; };
    membership::time_point now{1h};
    random_source random{seed};

private:
    void send_heartbeat(std::size_t from) {
        members[from]->tick(now);
        auto const message = members[from]->make_gossip_message(0, random);
        for (auto const& receiver : members[from]->choose_gossip_peers(random)) {
            auto const to = static_cast<std::size_t>(receiver.id - 1);
            if (running[to] && link_works(from, to) && random() % 100 >= lost_percent) {
                members[to]->apply_gossip(message, now);
            }
        }
    }
};

} // namespace

TEST_GROUP(members){};

TEST(members, all_members_stay_alive_while_all_run) {
    for (std::size_t const size : {2U, 17U, 60U}) {
        gossip_simulation simulation(size);
        simulation.run(30s);
        for (std::size_t i = 0; i < size; ++i) {
            CHECK(simulation.status(0, i) == member_status::alive);
        }
    }
}

TEST(members, stopped_member_becomes_suspect_then_dead_at_every_instance) {
    gossip_simulation simulation(17);
    simulation.run(5s);
    simulation.running[3] = false;
    simulation.run(4500ms);
    std::size_t suspecting = 0;
    for (std::size_t i = 0; i < 17; ++i) {
        suspecting += i != 3 && simulation.status(i, 3) != member_status::alive ? 1 : 0;
    }
    LONGS_EQUAL(16, suspecting);
    simulation.run(5s);
    for (std::size_t i = 0; i < 17; ++i) {
        CHECK(i == 3 || simulation.status(i, 3) == member_status::dead);
    }
}

TEST(members, single_broken_link_does_not_make_a_member_dead) {
    gossip_simulation simulation(17);
    simulation.link_works = [](std::size_t from, std::size_t to) { return !(from == 3 && to == 5); };
    simulation.run(30s);
    CHECK(simulation.status(5, 3) == member_status::alive);
}

TEST(members, partitions_merge_after_the_network_recovers) {
    gossip_simulation simulation(10);
    simulation.run(5s);
    simulation.link_works = [](std::size_t from, std::size_t to) { return from % 2 == to % 2; };
    simulation.run(20s);
    CHECK(simulation.status(0, 1) == member_status::dead);
    simulation.link_works = [](auto, auto) { return true; };
    for (auto& member : simulation.members) {
        member->merge_platform_list(simulation.entries, simulation.now);
    }
    CHECK(simulation.status(0, 1) == member_status::dead);
    simulation.run(10s);
    for (std::size_t i = 0; i < 10; ++i) {
        for (std::size_t j = 0; j < 10; ++j) {
            CHECK(simulation.status(i, j) == member_status::alive);
        }
    }
}

TEST(members, resumed_instance_does_not_declare_members_dead) {
    gossip_simulation simulation(5);
    simulation.run(5s);
    simulation.running[0] = false;
    simulation.run(60s);
    simulation.running[0] = true;
    CHECK(simulation.members[0]->tick(simulation.now));
    for (std::size_t i = 1; i < 5; ++i) {
        CHECK(simulation.status(0, i) == member_status::alive);
    }
}

TEST(members, unresponsive_member_is_suspect_until_its_heartbeat_advances) {
    gossip_simulation simulation(5);
    simulation.run(5s);
    simulation.members[0]->mark_suspect(3);
    CHECK(simulation.status(0, 2) == member_status::suspect);
    CHECK(simulation.status(1, 2) == member_status::alive);
    simulation.run(3s);
    CHECK(simulation.status(0, 2) == member_status::alive);
}

// Guards against a directory that names an instance which was lost over 6 s ago (DRAIN).
TEST(members, a_lost_instance_that_callers_are_sent_to_is_noticed_within_6_s_in_a_large_fleet) {
    constexpr std::size_t homes = 6;
    constexpr std::size_t lost = 2;
    for (std::size_t const size : {94U, 132U}) {
        gossip_simulation simulation(size);
        simulation.lost_percent = 10;
        auto const watch_homes = [&] {
            for (std::size_t i = 0; i < size; ++i) {
                std::set<instance_id> ids;
                for (std::size_t home = 0; home < homes; ++home) {
                    if (simulation.status(i, home) == member_status::alive) {
                        ids.insert(home + 1);
                    }
                }
                simulation.members[i]->set_watched(ids);
            }
        };
        for (int i = 0; i < 60; ++i) {
            watch_homes();
            simulation.run(500ms);
            for (std::size_t observer = 0; observer < size; ++observer) {
                CHECK(simulation.status(observer, lost) == member_status::alive);
            }
        }
        simulation.running[lost] = false;
        for (int i = 0; i < 30; ++i) {
            watch_homes();
            simulation.run(500ms);
            for (std::size_t observer = 0; i >= 12 && observer < size; ++observer) {
                CHECK(observer == lost || simulation.status(observer, lost) != member_status::alive);
            }
        }
    }
}

TEST_GROUP(placement){};

TEST(placement, home_instances_are_in_different_zones_and_only_a_lost_one_is_replaced) {
    gossip_simulation simulation(15);
    auto const before = simulation.members[0]->view();
    std::size_t moved = 0;
    for (int pool = 0; pool < 58; ++pool) {
        auto const name = "pool-" + std::to_string(pool);
        auto const homes = ranked_home_instances(name, 3, before);
        std::set<std::string> zones;
        for (auto const& home : homes) {
            zones.insert(home.zone);
        }
        LONGS_EQUAL(3, zones.size());
        auto remaining = before;
        std::erase_if(remaining, [&](auto const& member) { return member.entry.id == homes[0].id; });
        auto const after = ranked_home_instances(name, 3, remaining);
        for (auto const& home : after) {
            moved += std::ranges::find(homes, home.id, &instance_entry::id) == homes.end() ? 1 : 0;
        }
    }
    LONGS_EQUAL(58, moved);
}

TEST(placement, addresses_omit_leaving_and_suspect_members_and_the_witness_is_in_another_zone) {
    gossip_simulation simulation(6);
    auto members = simulation.members[0]->view();
    members[1].status = member_status::leaving;
    members[2].status = member_status::suspect;
    random_source random(seed);
    pool_row const pool{.name = "p", .homes = 3};
    for (int i = 0; i < 200; ++i) {
        auto const response = *select_caller_addresses(pool, "a", members, 7, {}, random);
        for (auto const& entry : response.addresses) {
            CHECK(entry.id != 2 && entry.id != 3);
        }
        CHECK(response.prefix.primary == response.addresses.front().id);
        auto const zone_of = [&](instance_id id) { return simulation.entries[id - 1].zone; };
        CHECK(zone_of(response.prefix.primary) != zone_of(response.prefix.witness));
        CHECK(response.ttl <= 10s && response.ttl >= 7s);
    }
}

TEST(placement, suspect_members_are_used_when_none_is_alive) {
    gossip_simulation simulation(2);
    auto members = simulation.members[0]->view();
    for (auto& member : members) {
        member.status = member_status::suspect;
    }
    random_source random(seed);
    CHECK(select_caller_addresses({.name = "p"}, "", members, 7, {}, random).has_value());
    CHECK_FALSE(select_caller_addresses({.name = "p"}, "", {}, 7, {}, random).has_value());
}
