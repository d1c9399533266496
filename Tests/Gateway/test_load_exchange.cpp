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

TEST_GROUP(load_exchanges) {
    forwarding_wire_format dialect;
    forwarding_state state{gateway_settings{}, dialect, 1};
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

TEST(load_exchanges, news_go_to_the_homes_of_the_pool_and_to_those_that_use_it) {
    routing_tables content{.version = 1};
    content.pools.push_back({.name = "p"});
    content.routes.push_back({.name = "r", .host = "a.example", .path_prefix = "/", .pool = "p"});
    route_index const routes(content);
    for (instance_id id = 4; id < 40; ++id) {
        members.push_back(member(id, "10.0.0." + std::to_string(id)));
    }
    homes.refresh(routes, members);
    LONGS_EQUAL(2, homes.max_homes_per_host());
    auto const at_home = homes.peer_addresses_for_pool("p");
    endpoint visitor{"10.0.0.3", 7000};
    while (at_home.contains(visitor)) {
        visitor.address += "1";
    }
    state.pending_load_changes.record_request_started("a");
    exchange.send_updates(members, 1);
    for (auto const& [address, message] : sent) {
        CHECK(at_home.contains({address, 7000}));
    }
    LONGS_EQUAL(at_home.contains({"10.0.0.1", 7000}) ? 1 : 2, sent.size());
    auto const told = sent.size();
    std::vector<target_load_update> const news{{.target_hash = target_id_hash("a"), .in_flight = 2}};
    exchange.receive(news, visitor);
    state.pending_load_changes.record_request_started("a");
    exchange.send_updates(members, 1);
    LONGS_EQUAL(2 * told, sent.size());
    for (int i = 0; i < 2; ++i) {
        exchange.receive(news, visitor);
    }
    state.pending_load_changes.record_request_started("a");
    exchange.send_updates(members, 1);
    LONGS_EQUAL(3 * told + 1, sent.size());
}

TEST(load_exchanges, what_a_peer_has_in_flight_takes_places) {
    auto const now = std::chrono::steady_clock::now();
    DOUBLES_EQUAL(4, state.selector.available_capacity("p", now), 0.01);
    std::vector<target_load_update> const news{{.target_hash = target_id_hash("a"), .in_flight = 3},
                                               {.target_hash = 12345, .in_flight = 9}};
    exchange.receive(news, {"10.0.0.3", 7000});
    DOUBLES_EQUAL(1, state.selector.available_capacity("p", now), 0.01);
}

TEST_GROUP(fleet_messages_codec){};

TEST(fleet_messages_codec, messages_are_read_back_and_any_other_bytes_are_a_typed_error) {
    fleet_datagram const message{
        .has_list_update = true,
        .list_update = {.version = 7, .digest = 8, .changed_targets = {{.id = "a", .pool = "p"}}},
        .load_updates = {{.target_hash = 5, .in_flight = 3, .slowdown_percent = 500}}};
    auto const bytes = encode_datagram(message);
    auto const seen = decode_datagram(bytes);
    LONGS_EQUAL(7, seen.list_update.version);
    STRCMP_EQUAL("a", seen.list_update.changed_targets.front().id.c_str());
    LONGS_EQUAL(500, seen.load_updates.front().slowdown_percent);
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
