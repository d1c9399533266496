#include "gateway/fleet_messages.hpp"
#include "gateway/load_exchange.hpp"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <utility>

using namespace pomelospread;

namespace {

member_view member(instance_id id, std::string const& ip, member_status status = member_status::alive) {
    return {.entry = {.id = id, .zone = "z", .caller_address = {ip, 80}, .peer_address = {ip, 7000}},
            .status = status};
}

} // namespace

TEST_GROUP(load_exchange_updates) {
    forwarding_wire_format wire_format;
    forwarding_state state{gateway_settings{.zone = "z"}, wire_format, 1};
    std::vector<std::pair<std::string, fleet_datagram>> sent;
    home_directory homes{{.min_instances = 2, .min_processor_permille = 0}};
    load_exchange exchange{state, homes, [this](fleet_datagram const& message, endpoint const& to) {
                               sent.emplace_back(to.address, message);
                           }};
    std::vector<member_view> members{member(1, "10.0.0.1"), member(2, "10.0.0.2"), member(3, "10.0.0.3")};

    void setup() override {
        std::vector<listed_target> const targets{{.id = "a", .pool = "p", .zone = "z", .slots = 6}};
        state.selector.set_targets(targets, std::chrono::steady_clock::now());
    }
};

TEST(load_exchange_updates, updates_are_sent_to_the_homes_and_to_other_users_of_the_pool) {
    routing_tables content{.version = 1};
    content.pools.push_back({.name = "p"});
    content.routes.push_back({.name = "r", .host = "a.example", .path_prefix = "/", .pool = "p"});
    route_index const routes(content);
    for (instance_id id = 4; id < 40; ++id) {
        members.push_back(member(id, "10.0.0." + std::to_string(id)));
    }
    homes.refresh(routes, members);
    LONGS_EQUAL(2, homes.max_homes_per_host());
    auto const home_addresses = homes.peer_addresses_for_pool("p");
    endpoint other_peer{"10.0.0.3", 7000};
    while (home_addresses.contains(other_peer)) {
        other_peer.address += "1";
    }
    state.pending_load_changes.record_attempt_started("a");
    exchange.send_updates(members, 1);
    for (auto const& [address, message] : sent) {
        CHECK(home_addresses.contains({address, 7000}));
    }
    LONGS_EQUAL(home_addresses.contains({"10.0.0.1", 7000}) ? 1 : 2, sent.size());
    auto const sent_per_round = sent.size();
    std::vector<target_load_update> const updates{{.target_hash = target_id_hash("a"), .in_flight = 2}};
    exchange.receive(updates, other_peer);
    state.pending_load_changes.record_attempt_started("a");
    exchange.send_updates(members, 1);
    LONGS_EQUAL(2 * sent_per_round, sent.size());
    for (int i = 0; i < 2; ++i) {
        exchange.receive(updates, other_peer);
    }
    state.pending_load_changes.record_attempt_started("a");
    exchange.send_updates(members, 1);
    LONGS_EQUAL(3 * sent_per_round + 1, sent.size());
}

TEST(load_exchange_updates, other_zones_hear_seldom_of_targets_that_they_search_last) {
    // Told of each change and probe like the homes of the target's zone, they made half of the bytes between
    // zones of a fleet with 363 targets.
    routing_tables content{.version = 1};
    content.pools.push_back({.name = "p"});
    content.routes.push_back({.name = "r", .host = "a.example", .path_prefix = "/", .pool = "p"});
    for (auto& member : members) {
        member.entry.zone = member.entry.id == 2 ? "z" : "y";
    }
    homes.refresh(route_index(content), members);
    std::vector<listed_target> targets;
    for (int i = 0; i < 20; ++i) {
        targets.push_back({.id = "t" + std::to_string(i), .pool = "p", .zone = "z", .slots = 2});
    }
    state.selector.set_targets(targets, std::chrono::steady_clock::now());
    CHECK(state.selector.uses_search("p"));
    std::map<std::string, int> told;
    for (int round = 0; round < 5; ++round) {
        state.pending_load_changes.record_attempt_started("t1");
        state.pending_load_changes.record_probe_finished("t2", {}, std::chrono::steady_clock::now());
        exchange.send_updates(members, 1);
    }
    for (auto const& [address, message] : sent) {
        told[address] += static_cast<int>(message.load_updates.size());
    }
    for (auto const& member : members) {
        if (member.entry.id != 1) {
            LONGS_EQUAL(member.entry.zone == "z" ? 10 : 1, told[member.entry.peer_address.address]);
        }
    }
    // That a target leaves reaches everybody at once.
    sent.clear();
    state.pending_load_changes.record_leaving("t3", 7);
    exchange.send_updates(members, 1);
    LONGS_EQUAL(members.size() - 1, sent.size());
}

TEST(load_exchange_updates, requests_in_flight_of_a_peer_reduce_available_capacity) {
    auto const now = std::chrono::steady_clock::now();
    DOUBLES_EQUAL(4, state.selector.available_capacity("p", now), 0.01);
    std::vector<target_load_update> const updates{{.target_hash = target_id_hash("a"), .in_flight = 3},
                                                  {.target_hash = 12345, .in_flight = 9}};
    exchange.receive(updates, {"10.0.0.3", 7000});
    DOUBLES_EQUAL(1, state.selector.available_capacity("p", now), 0.01);
}

TEST(load_exchange_updates, leaving_targets_are_told_within_the_size_of_a_datagram) {
    routing_tables content{.version = 1};
    content.pools.push_back({.name = "p"});
    content.routes.push_back({.name = "r", .host = "a.example", .path_prefix = "/", .pool = "p"});
    homes.refresh(route_index(content), members);
    std::vector<listed_target> targets;
    for (char c = 'a'; c <= 'z'; ++c) {
        targets.push_back({.id = std::string(150, c), .pool = "p", .zone = "z", .started_unix_ms = 7});
        state.pending_load_changes.record_leaving(targets.back().id, 7);
    }
    state.selector.set_targets(targets, std::chrono::steady_clock::now());
    exchange.send_updates(members, 1);
    CHECK_FALSE(sent.empty());
    for (auto const& [address, message] : sent) {
        auto const decoded = decode_datagram(encode_datagram(message));
        LONGS_EQUAL(2, decoded.leaving_targets.size());
        LONGS_EQUAL(7, decoded.leaving_targets.front().started_unix_ms);
        CHECK(encode_datagram(message).size() <= 1400);
    }
}

TEST(load_exchange_updates, a_round_with_many_changes_is_sent_completely) {
    constexpr std::size_t target_count = 150;
    std::vector<listed_target> targets;
    for (std::size_t i = 0; i < target_count; ++i) {
        targets.push_back({.id = "t" + std::to_string(i), .pool = "p", .zone = "z", .slots = 6});
        state.pending_load_changes.record_attempt_started(targets.back().id);
    }
    state.selector.set_targets(targets, std::chrono::steady_clock::now());
    routing_tables content{.version = 1};
    content.pools.push_back({.name = "p"});
    content.routes.push_back({.name = "r", .host = "a.example", .path_prefix = "/", .pool = "p"});
    homes.refresh(route_index(content), members);
    exchange.send_updates(members, 1);
    std::map<std::string, std::size_t> counts;
    for (auto const& [address, message] : sent) {
        counts[address] += message.load_updates.size();
        CHECK(encode_datagram(message).size() <= 1400);
    }
    CHECK(!counts.empty());
    for (auto const& [address, count] : counts) {
        LONGS_EQUAL(target_count, count);
    }
}

TEST_GROUP(fleet_messages_codec){};

TEST(fleet_messages_codec, messages_round_trip_and_other_bytes_throw_malformed_message) {
    fleet_datagram const message{
        .has_list_update = true,
        .list_update = {.version = {.era = 2, .number = 7},
                        .digest = 8,
                        .changed_targets = {{.id = "a", .pool = "p", .address = {"10.0.0.9", 80}}}},
        .load_updates = {{.target_hash = 5, .in_flight = 3, .slowdown_percent = 500}}};
    auto const bytes = encode_datagram(message);
    auto const decoded = decode_datagram(bytes);
    CHECK(decoded.list_update.version == store_version(2, 7));
    CHECK(decoded.list_update.changed_targets == message.list_update.changed_targets);
    LONGS_EQUAL(500, decoded.load_updates.front().slowdown_percent);
    rc::check("arbitrary bytes", [&](std::string const& text, std::size_t cut) {
        for (auto const& each : {text, bytes.substr(0, cut % bytes.size()) + text}) {
            try {
                static_cast<void>(decode_datagram(each));
                static_cast<void>(decode_snapshot(each));
            } catch (malformed_message const&) {
                continue;
            }
        }
    });
}
