#include "platform/document_codec.hpp"
#include "platform/wire_format.hpp"

#include <CppUTest/TestHarness.h>

#include <array>
#include <string>

using namespace pomelospread;

namespace {

std::string const server =
    R"({"service":"s","addr":"10.0.0.9:80","zone":"z","version":"v1","slots":6,"state":"ready","warmup_left_s":1.5,)"
    R"("seq":4,"born":1700000000000})";
std::string const manifest =
    R"({"version":"r12","services":[{"name":"s","health_path":"/health","max_conns":220,"protocol":"h1","tls":false}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":1024,"header_timeout_s":3,"idle_timeout_s":0.5},)"
    R"("hosts":[{"host":"A.example","paths":[{"name":"r","prefix":"/a/","kind":"unsafe","timeout_s":1.2,)"
    R"("target_latency_s":0.4,"priority":2,"split":[{"service":"s","weight":90},{"service":"t","weight":10}],)"
    R"("max_attempts":2}]}]})";

std::string replaced(std::string text, std::string const& from, std::string const& to) {
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_GROUP(platform_decoding){};

TEST(platform_decoding, a_manifest_becomes_tables) {
    auto const seen = platform::decode_manifest(manifest);
    LONGS_EQUAL(12, seen.version);
    LONGS_EQUAL(500, seen.limits.idle_timeout.count());
    auto const& route = seen.routes.front();
    STRCMP_EQUAL("a.example", route.host.c_str());
    CHECK_FALSE(route.idempotent);
    LONGS_EQUAL(1200, route.deadline.count());
    LONGS_EQUAL(90, route.weighted_pools.front().weight);
    STRCMP_EQUAL("/health", seen.pools.front().health_path.c_str());
}

TEST(platform_decoding, a_manifest_that_cannot_be_read_is_a_typed_error) {
    std::array<std::string, 6> const bad{"",
                                         "[]",
                                         manifest.substr(0, 200),
                                         replaced(manifest, "\"r12\"", "\"12\""),
                                         replaced(manifest, "\"timeout_s\":1.2", "\"timeout_s\":\"1\""),
                                         replaced(manifest, "\"weight\":90", "\"wight\":90")};
    for (auto const& each : bad) {
        CHECK_THROWS(malformed_message, static_cast<void>(platform::decode_manifest(each)));
    }
}

TEST(platform_decoding, an_entry_names_one_life_of_a_target) {
    auto const seen = platform::decode_target_entry("i-1", server);
    STRCMP_EQUAL("10.0.0.9:80", to_string(seen.address).c_str());
    LONGS_EQUAL(1500, seen.warm_up_remaining_ms);
    CHECK_FALSE(seen.leaving);
    CHECK(platform::decode_target_entry("i-1", replaced(server, "\"ready\"", "\"draining\"")).leaving);
}

TEST(platform_decoding, an_entry_of_another_writer_names_no_target) {
    std::array<std::string, 8> const bad{"\xff\xfe",
                                         "{}",
                                         replaced(server, "\"ready\"", "\"dancing\""),
                                         replaced(server, "\"slots\":6", "\"slots\":\"6\""),
                                         replaced(server, "\"slots\":6", "\"slots\":0"),
                                         replaced(server, "10.0.0.9:80", "here"),
                                         replaced(server, "1700000000000", "1.5"),
                                         replaced(server, "\"seq\":4", "\"sec\":4")};
    for (auto const& each : bad) {
        CHECK_THROWS(malformed_message, static_cast<void>(platform::decode_target_entry("i-1", each)));
    }
}

TEST(platform_decoding, base64_is_read_back_and_other_bytes_are_a_typed_error) {
    std::string const bytes("\0\xff ok", 5);
    CHECK(platform::decode_base64(platform::encode_base64(bytes)) == bytes);
    CHECK_THROWS(malformed_message, static_cast<void>(platform::decode_base64("?")));
}

TEST(platform_decoding, a_load_field_with_and_without_the_speed) {
    platform::wire_format const dialect;
    auto const seen = dialect.parse_load("3,1,8,500");
    LONGS_EQUAL(3, seen->running);
    DOUBLES_EQUAL(5.0, seen->slowdown, 0.001);
    DOUBLES_EQUAL(1.0, dialect.parse_load("3,0,8")->slowdown, 0.001);
    CHECK_FALSE(dialect.parse_load("").has_value());
    CHECK_FALSE(dialect.parse_load("a,b,c").has_value());
}
