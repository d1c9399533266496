#include "base/errors.hpp"
#include "protocol/peer_messages.hpp"
#include "protocol/platform_client.hpp"

#include <CppUTest/TestHarness.h>

using namespace pomelospread;

namespace {

peer_batch sample_batch() {
    peer_batch batch;
    batch.claims.push_back(
        {.sequence = 1, .key = "k", .epoch = 3, .record_sequence = 4, .record = {.id = "r"}});
    batch.outcomes.push_back(
        {.key = "k", .epoch = 3, .outcome = {.kind = outcome_kind::ran, .status = 200, .body = "b"}});
    batch.load_updates.push_back({.pool = "p", .tables_version = 2, .in_flight = {1, 0, 7}});
    batch.last_stored_sequence = 9;
    return batch;
}

} // namespace

TEST_GROUP(peer_messages){};

TEST(peer_messages, a_decoded_batch_equals_the_encoded_one) {
    auto const decoded = decode<peer_batch>(encode(sample_batch()));
    STRCMP_EQUAL("r", decoded.claims.front().record.id.c_str());
    CHECK(decoded.outcomes.front().outcome.kind == outcome_kind::ran);
    LONGS_EQUAL(7, decoded.load_updates.front().in_flight.back());
    LONGS_EQUAL(9, decoded.last_stored_sequence);
}

TEST(peer_messages, every_truncated_or_extended_message_is_rejected) {
    auto const encoded = encode(sample_batch());
    for (std::size_t size = 0; size < encoded.size(); ++size) {
        CHECK_THROWS(malformed_message, decode<peer_batch>(std::string_view(encoded).substr(0, size)));
    }
    CHECK_THROWS(malformed_message, decode<peer_batch>(encoded + "x"));
}

TEST(peer_messages, the_largest_heartbeat_fits_into_a_datagram) {
    gossip_message message{.sender = {.id = ~0ULL,
                                      .zone = std::string(64, 'z'),
                                      .caller_address = {"255.255.255.255", 65535},
                                      .peer_address = {"255.255.255.255", 65535},
                                      .admin_address = {"255.255.255.255", 65535}}};
    message.digests.resize(membership_limits{}.digests_per_message + 1);
    CHECK(encode(message).size() <= max_datagram_bytes);
}

TEST_GROUP(query_parameters){};

TEST(query_parameters, values_are_restored_by_decoding) {
    auto const value = std::string("a b&c=%/\xC3\xBC");
    STRCMP_EQUAL(value.c_str(), query_parameter("/x?other=1&path=" + percent_encode(value), "path").c_str());
    STRCMP_EQUAL("", query_parameter("/x?other=1", "path").c_str());
    STRCMP_EQUAL("%", query_parameter("/x?path=%", "path").c_str());
    STRCMP_EQUAL("%4", query_parameter("/x?path=%4", "path").c_str());
}
