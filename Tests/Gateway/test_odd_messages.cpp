#include "base/errors.hpp"
#include "gateway/fleet_messages.hpp"
#include "protocol/platform_json_codec.hpp"

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

using namespace pomelospread;

namespace {

listed_target make_target(std::string const& id) {
    return {.id = id, .pool = "p", .address = {"10.0.0.9", 80}, .zone = "z", .slots = 6};
}

instance_entry make_member(instance_id id) {
    return {.id = id,
            .zone = "z",
            .caller_address = {"10.0.0.1", 1},
            .peer_address = {"10.0.0.1", 2},
            .admin_address = {"10.0.0.1", 0}};
}

std::vector<listed_target> make_odd_targets() {
    std::vector<listed_target> targets(8, make_target("i-2"));
    targets[0].slots = std::int64_t{1} << 62U;
    targets[1].slots = 0;
    targets[2].address = {"10.0.0.9", 0};
    targets[3].address.address = "host.example";
    targets[4].warm_up_remaining_ms = std::numeric_limits<std::int64_t>::max();
    targets[5].id = "i\r\nX: y";
    targets[6].pool = std::string(201, 'p');
    targets[7].started_unix_ms = -1;
    return targets;
}

std::vector<instance_entry> make_odd_members() {
    std::vector<instance_entry> members(4, make_member(8));
    members[0].peer_address.address = "";
    members[1].peer_address.port = 0;
    members[2].caller_address.address = "host.example";
    members[3].zone = "\xff\n";
    return members;
}

void check_rejected(fleet_datagram const& message) {
    auto const bytes = encode_datagram(message);
    CHECK_THROWS(malformed_message, static_cast<void>(decode_datagram(bytes)));
}

} // namespace

TEST_GROUP(odd_messages){};

TEST(odd_messages, a_datagram_with_an_odd_target_or_sender_is_rejected) {
    for (auto const& target : make_odd_targets()) {
        check_rejected({.has_list_update = true, .list_update = {.version = 2, .changed_targets = {target}}});
    }
    for (auto const& member : make_odd_members()) {
        check_rejected({.has_members = true, .members = {.sender = member}});
    }
}

TEST(odd_messages, the_odd_entries_of_a_snapshot_are_left_out_and_the_others_hold) {
    peer_snapshot snapshot{.targets = make_odd_targets(), .members = make_odd_members()};
    snapshot.targets.insert(snapshot.targets.begin() + 3, make_target("i-1"));
    snapshot.members.push_back(make_member(9));
    auto const decoded = decode_snapshot(encode_snapshot(snapshot));
    LONGS_EQUAL(1, decoded.targets.size());
    STRCMP_EQUAL("i-1", decoded.targets.front().id.c_str());
    LONGS_EQUAL(1, decoded.members.size());
    LONGS_EQUAL(9, decoded.members.front().id);
}
