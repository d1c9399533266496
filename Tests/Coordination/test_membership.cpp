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

/// Instances that exchange heartbeats over a network that a test cuts.
class gossip_world {
public:
    explicit gossip_world(std::size_t size) {
        for (std::size_t i = 0; i < size; ++i) {
            entries.push_back({.id = i + 1, .zone = std::string(1, static_cast<char>('a' + i % 3))});
        }
        for (auto const& entry : entries) {
            members.push_back(std::make_unique<membership>(entry, limits));
            members.back()->merge_platform_list(entries, now);
        }
        running.assign(size, true);
    }

    void run(std::chrono::milliseconds length) {
        for (auto const end = now + length; now < end; now += limits.heartbeat_period) {
            for (std::size_t i = 0; i < members.size(); ++i) {
                if (running[i]) {
                    beat(i);
                }
            }
        }
    }

    member_status status(std::size_t seen_by, std::size_t of) const {
        auto const view = members[seen_by]->view();
        auto const found =
            std::ranges::find_if(view, [&](auto const& seen) { return seen.entry.id == of + 1; });
        return found == view.end() ? member_status::dead : found->status;
    }

    membership_limits limits;
    std::vector<instance_entry> entries;
    std::vector<std::unique_ptr<membership>> members;
    std::vector<bool> running;
    std::function<bool(std::size_t, std::size_t)> passes = [](auto, auto) { return true; };
    membership::time_point now{1h};
    random_source random{seed};

private:
    void beat(std::size_t from) {
        members[from]->tick(now);
        auto const message = members[from]->make_gossip_message(0, random);
        for (auto const& receiver : members[from]->choose_gossip_peers(random)) {
            auto const to = static_cast<std::size_t>(receiver.id - 1);
            if (running[to] && passes(from, to)) {
                members[to]->apply_gossip(message, now);
            }
        }
    }
};

} // namespace

TEST_GROUP(members){};

TEST(members, stay_alive_while_all_run) {
    for (std::size_t const size : {2U, 17U, 60U}) {
        gossip_world world(size);
        world.run(30s);
        for (std::size_t i = 0; i < size; ++i) {
            CHECK(world.status(0, i) == member_status::alive);
        }
    }
}

TEST(members, a_silent_one_is_suspect_then_dead_for_everybody) {
    gossip_world world(17);
    world.run(5s);
    world.running[3] = false;
    world.run(4500ms);
    std::size_t doubted = 0;
    for (std::size_t i = 0; i < 17; ++i) {
        doubted += i != 3 && world.status(i, 3) != member_status::alive ? 1 : 0;
    }
    LONGS_EQUAL(16, doubted);
    world.run(5s);
    for (std::size_t i = 0; i < 17; ++i) {
        CHECK(i == 3 || world.status(i, 3) == member_status::dead);
    }
}

TEST(members, one_bad_link_is_not_a_death) {
    gossip_world world(17);
    world.passes = [](std::size_t from, std::size_t to) { return !(from == 3 && to == 5); };
    world.run(30s);
    CHECK(world.status(5, 3) == member_status::alive);
}

TEST(members, halves_that_were_cut_find_each_other_again) {
    gossip_world world(10);
    world.run(5s);
    world.passes = [](std::size_t from, std::size_t to) { return from % 2 == to % 2; };
    world.run(20s);
    CHECK(world.status(0, 1) == member_status::dead);
    world.passes = [](auto, auto) { return true; };
    for (auto& member : world.members) {
        member->merge_platform_list(world.entries, world.now);
    }
    CHECK(world.status(0, 1) == member_status::dead);
    world.run(10s);
    for (std::size_t i = 0; i < 10; ++i) {
        for (std::size_t j = 0; j < 10; ++j) {
            CHECK(world.status(i, j) == member_status::alive);
        }
    }
}

TEST(members, a_paused_instance_concludes_nothing_from_its_own_silence) {
    gossip_world world(5);
    world.run(5s);
    world.running[0] = false;
    world.run(60s);
    world.running[0] = true;
    CHECK(world.members[0]->tick(world.now));
    for (std::size_t i = 1; i < 5; ++i) {
        CHECK(world.status(0, i) == member_status::alive);
    }
}

TEST(members, a_member_that_did_not_answer_is_suspect_until_its_heartbeat_advances) {
    gossip_world world(5);
    world.run(5s);
    world.members[0]->mark_suspect(3);
    CHECK(world.status(0, 2) == member_status::suspect);
    CHECK(world.status(1, 2) == member_status::alive);
    world.run(3s);
    CHECK(world.status(0, 2) == member_status::alive);
}

TEST_GROUP(placements){};

TEST(placements, homes_lie_in_different_zones_and_few_move_when_one_is_lost) {
    gossip_world world(15);
    auto const before = world.members[0]->view();
    std::size_t moved = 0;
    for (int pool = 0; pool < 58; ++pool) {
        auto const name = "pool-" + std::to_string(pool);
        auto const homes = ranked_home_instances(name, 3, before);
        std::set<std::string> zones;
        for (auto const& home : homes) {
            zones.insert(home.zone);
        }
        LONGS_EQUAL(3, zones.size());
        auto without = before;
        std::erase_if(without, [&](auto const& seen) { return seen.entry.id == homes[0].id; });
        auto const after = ranked_home_instances(name, 3, without);
        for (auto const& home : after) {
            moved += std::ranges::find(homes, home.id, &instance_entry::id) == homes.end() ? 1 : 0;
        }
    }
    LONGS_EQUAL(58, moved);
}

TEST(placements, leave_out_who_leaves_or_is_suspect_and_name_a_witness_elsewhere) {
    gossip_world world(6);
    auto members = world.members[0]->view();
    members[1].status = member_status::leaving;
    members[2].status = member_status::suspect;
    random_source random(seed);
    pool_row const pool{.name = "p", .homes = 3};
    for (int i = 0; i < 200; ++i) {
        auto const answer = *select_caller_addresses(pool, "a", members, 7, {}, random);
        for (auto const& entry : answer.addresses) {
            CHECK(entry.id != 2 && entry.id != 3);
        }
        CHECK(answer.prefix.primary == answer.addresses.front().id);
        auto const zone_of = [&](instance_id id) { return world.entries[id - 1].zone; };
        CHECK(zone_of(answer.prefix.primary) != zone_of(answer.prefix.witness));
        CHECK(answer.ttl <= 10s && answer.ttl >= 7s);
    }
}

TEST(placements, suspect_members_are_better_than_none) {
    gossip_world world(2);
    auto members = world.members[0]->view();
    for (auto& seen : members) {
        seen.status = member_status::suspect;
    }
    random_source random(seed);
    CHECK(select_caller_addresses({.name = "p"}, "", members, 7, {}, random).has_value());
    CHECK_FALSE(select_caller_addresses({.name = "p"}, "", {}, 7, {}, random).has_value());
}
