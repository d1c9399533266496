#include "coordination/distribution_plan.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

using namespace pomelospread;

namespace {

struct fleet_shape {
    char const* name;
    std::size_t zones;
    std::size_t large_per_zone;
    std::size_t small_per_zone;
};

/// Every instance of a fleet with the plan that it computes.
class simulated_fleet {
public:
    explicit simulated_fleet(fleet_shape const& shape) {
        for (std::size_t zone = 0; zone < shape.zones; ++zone) {
            for (std::size_t i = 0; i < shape.large_per_zone + shape.small_per_zone; ++i) {
                auto const id = (zone * 1000 + i) * 7919 % 100003 + 1;
                m_members.push_back(
                    {.entry = {
                         .id = id,
                         .zone = "zone-" + std::to_string(zone),
                         .peer_address = {"10." + std::to_string(zone) + ".0." + std::to_string(i), 7200},
                         .processor_permille = i < shape.large_per_zone ? 500U : 100U}});
            }
        }
        for (auto const& member : m_members) {
            m_plans.emplace(member.entry.peer_address, distribution_plan(member.entry, m_members));
        }
    }

    struct outcome {
        std::set<endpoint> reached;
        std::map<std::string, std::size_t> crossings; ///< Datagrams that entered a zone from another one.
    };

    /// Sends a change from `origin` along the plans; those in `silent` do not forward anything.
    [[nodiscard]] outcome distribute(endpoint const& origin, std::set<endpoint> const& silent) const {
        outcome result;
        result.reached.insert(origin);
        auto const& plan = m_plans.at(origin);
        for (auto const& receiver : plan.receivers()) {
            deliver(origin, receiver, silent, result);
        }
        return result;
    }

    [[nodiscard]] std::vector<member_view> const& members() const { return m_members; }
    [[nodiscard]] distribution_plan const& plan(endpoint const& of) const { return m_plans.at(of); }
    [[nodiscard]] std::string const& zone_of(endpoint const& address) const {
        return std::ranges::find(m_members, address, [](auto const& each) { return each.entry.peer_address; })
            ->entry.zone;
    }

private:
    void deliver(endpoint const& sender, endpoint const& receiver, std::set<endpoint> const& silent,
                 outcome& result) const {
        result.reached.insert(receiver);
        if (zone_of(sender) != zone_of(receiver)) {
            ++result.crossings[zone_of(receiver)];
        }
        auto const& plan = m_plans.at(receiver);
        if (!silent.contains(receiver) && plan.forwards_from(sender)) {
            for (auto const& next : plan.zone_members()) {
                result.reached.insert(next);
            }
        }
    }

    std::vector<member_view> m_members;
    std::map<endpoint, distribution_plan> m_plans;
};

fleet_shape const shapes[] = {{"13 equal", 3, 0, 4}, {"113", 3, 3, 35}, {"472", 5, 3, 92}, {"660", 9, 2, 72}};

} // namespace

TEST_GROUP(distribution_plans){};

TEST(distribution_plans, a_change_from_any_instance_reaches_all) {
    for (auto const& shape : shapes) {
        simulated_fleet const fleet(shape);
        for (auto const& origin : {fleet.members().front(), fleet.members().back()}) {
            auto const result = fleet.distribute(origin.entry.peer_address, {});
            LONGS_EQUAL_TEXT(fleet.members().size(), result.reached.size(), shape.name);
        }
    }
}

TEST(distribution_plans, a_change_enters_a_zone_of_a_large_fleet_twice_at_most) {
    for (auto const& shape : shapes) {
        simulated_fleet const fleet(shape);
        auto const result = fleet.distribute(fleet.members().front().entry.peer_address, {});
        auto const zone_size = shape.large_per_zone + shape.small_per_zone;
        auto const bound = fleet.members().size() <= distribution_limits{}.max_direct_fleet_size
                               ? zone_size
                               : distribution_limits{}.relays_per_zone;
        for (auto const& [zone, count] : result.crossings) {
            CHECK_TEXT(count <= bound, shape.name);
        }
    }
}

TEST(distribution_plans, a_change_reaches_all_while_one_relay_of_each_zone_is_silent) {
    for (auto const& shape : shapes) {
        simulated_fleet const fleet(shape);
        std::set<endpoint> silent;
        std::set<std::string> zones;
        auto const& origin = fleet.members().front().entry.peer_address;
        for (auto const& member : fleet.members()) {
            auto const& address = member.entry.peer_address;
            auto const remote = std::ranges::find_if(
                fleet.members(), [&](auto const& other) { return other.entry.zone != member.entry.zone; });
            if (fleet.plan(address).forwards_from(remote->entry.peer_address) &&
                zones.insert(member.entry.zone).second) {
                silent.insert(address);
            }
        }
        LONGS_EQUAL_TEXT(fleet.members().size(), fleet.distribute(origin, silent).reached.size(), shape.name);
    }
}

TEST(distribution_plans, table_watchers_do_not_grow_with_the_instances_of_a_zone) {
    for (auto const& shape : shapes) {
        simulated_fleet const fleet(shape);
        auto const watchers = std::ranges::count_if(fleet.members(), [&](auto const& member) {
            return fleet.plan(member.entry.peer_address).watches_tables();
        });
        if (fleet.members().size() <= distribution_limits{}.max_direct_fleet_size) {
            LONGS_EQUAL_TEXT(fleet.members().size(), watchers, shape.name);
        } else {
            auto const bound =
                shape.zones * distribution_limits{}.relays_per_zone + distribution_limits{}.table_watchers;
            CHECK_TEXT(watchers >= 2 && static_cast<std::size_t>(watchers) <= bound, shape.name);
        }
    }
}

TEST(distribution_plans, large_instances_are_relays_and_suspect_ones_are_not) {
    simulated_fleet const fleet({"472", 5, 3, 92});
    auto members = fleet.members();
    auto const& small = members.back().entry;
    auto const& remote = members.front().entry.peer_address;
    CHECK_FALSE(distribution_plan(small, members).forwards_from(remote));
    for (auto& member : members) {
        if (member.entry.processor_permille == 500 && member.entry.zone == small.zone) {
            member.status = member_status::suspect;
        }
    }
    auto const relays = std::ranges::count_if(members, [&](auto const& member) {
        return member.entry.zone == small.zone &&
               distribution_plan(member.entry, members).forwards_from(remote);
    });
    LONGS_EQUAL(2, relays);
}

TEST(distribution_plans, what_another_zone_announces_is_fetched_by_relays_alone) {
    simulated_fleet const fleet({"472", 5, 3, 92});
    auto const& origin = fleet.members().front().entry.peer_address;
    std::map<std::string, std::size_t> fetching;
    for (auto const& member : fleet.members()) {
        auto const& address = member.entry.peer_address;
        if (member.entry.zone != fleet.members().front().entry.zone) {
            fetching[member.entry.zone] += fleet.plan(address).fetch_source(origin) ? 1 : 0;
            CHECK(fleet.plan(address).zone_relay().has_value());
        }
    }
    LONGS_EQUAL(4, fetching.size());
    for (auto const& [zone, count] : fetching) {
        LONGS_EQUAL(2, count);
    }
}

TEST(distribution_plans, the_objects_of_a_zone_are_submitted_to_one_instance) {
    for (auto const& shape : shapes) {
        simulated_fleet const fleet(shape);
        bool const is_direct = fleet.members().size() <= distribution_limits{}.max_direct_fleet_size;
        std::map<std::string, std::set<endpoint>> collectors;
        for (auto const& member : fleet.members()) {
            auto const& plan = fleet.plan(member.entry.peer_address);
            CHECK_TEXT(!(plan.collects_objects() && plan.object_collector()), shape.name);
            if (auto const collector = plan.object_collector()) {
                collectors[member.entry.zone].insert(*collector);
                CHECK_TEXT(fleet.plan(*collector).collects_objects(), shape.name);
            }
        }
        LONGS_EQUAL_TEXT(is_direct ? 0 : shape.zones, collectors.size(), shape.name);
        for (auto const& [zone, addresses] : collectors) {
            LONGS_EQUAL_TEXT(1, addresses.size(), shape.name);
        }
    }
}
