#include "platform/document_codec.hpp"
#include "platform/wire_format.hpp"

#include <CppUTest/TestHarness.h>

#include <array>
#include <string>

using namespace pomelospread;

namespace {

std::string const target_entry =
    R"({"service":"s","addr":"10.0.0.9:80","zone":"z","version":"v1","slots":6,"state":"ready","warmup_left_s":1.5,)"
    R"("seq":4,"born":1700000000000})";
std::string const manifest =
    R"({"version":"r12","services":[{"name":"s","health_path":"/health","max_conns":220,"protocol":"h1","tls":false}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":1024,"header_timeout_s":3,"idle_timeout_s":0.5},)"
    R"("hosts":[{"host":"A.example","paths":[{"name":"r","prefix":"/a/","kind":"unsafe","timeout_s":1.2,)"
    R"("target_latency_s":0.4,"priority":2,"split":[{"service":"s","weight":90},{"service":"t","weight":10}],)"
    R"("max_attempts":2}]}]})";

std::string const workspace =
    R"({"name":"w","api_keys":["k1","k2"],"priority":1,"rate_per_s":2.5,"burst":7})";

std::string replaced(std::string text, std::string const& from, std::string const& to) {
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_GROUP(document_codec){};

TEST(document_codec, decodes_a_manifest_into_tables) {
    auto const tables = platform::decode_manifest(manifest);
    LONGS_EQUAL(12, tables.version);
    LONGS_EQUAL(500, tables.limits.idle_timeout.count());
    auto const& route = tables.routes.front();
    STRCMP_EQUAL("a.example", route.host.c_str());
    CHECK_FALSE(route.idempotent);
    LONGS_EQUAL(1200, route.deadline.count());
    LONGS_EQUAL(90, route.weighted_pools.front().weight);
    STRCMP_EQUAL("/health", tables.pools.front().health_path.c_str());
}

TEST(document_codec, downloads_are_idempotent_and_unknown_kinds_are_not) {
    // A download that counts as not idempotent would get no retry; an unknown kind that counts as idempotent
    // could run twice.
    struct row {
        char const* kind;
        bool is_idempotent;
    };
    for (auto const& [kind, is_idempotent] :
         std::array<row, 4>{{{"safe", true}, {"download", true}, {"unsafe", false}, {"ordered", false}}}) {
        auto const document = replaced(manifest, "\"unsafe\"", "\"" + std::string(kind) + "\"");
        CHECK_EQUAL(is_idempotent, platform::decode_manifest(document).routes.front().idempotent);
    }
}

TEST(document_codec, decodes_workspaces_public_routes_and_warm_up_rates) {
    auto document = replaced(manifest, "\"limits\"", "\"tenants\":[" + workspace + "],\"limits\"");
    document = replaced(document, "\"max_attempts\":2", "\"max_attempts\":2,\"public\":true");
    document = replaced(document, "\"tls\":false", "\"tls\":false,\"warmup_s\":3.0,\"warmup_per_s\":3.7");
    auto const tables = platform::decode_manifest(document);
    auto const& decoded = tables.workspaces->front();
    STRCMP_EQUAL("w", decoded.name.c_str());
    CHECK((decoded.key_digests == std::vector{digest_of_key("k1"), digest_of_key("k2")}));
    LONGS_EQUAL(1, *decoded.priority);
    DOUBLES_EQUAL(2.5, decoded.requests_per_second, 0.001);
    DOUBLES_EQUAL(7, decoded.burst, 0.001);
    CHECK(tables.routes.front().is_public);
    DOUBLES_EQUAL(3.7, tables.pools.front().warm_up_requests_per_second, 0.001);
    LONGS_EQUAL(3000, tables.pools.front().warm_up_time.count());
    CHECK_FALSE(platform::decode_manifest(manifest).workspaces.has_value());
}

TEST(document_codec, rejects_malformed_workspaces_without_naming_their_keys) {
    // A key in an error would end up in a log.
    std::array<std::string, 5> const malformed{
        replaced(workspace, "\"w\"", "\"\""), replaced(workspace, "\"w\"", "\"a\\r\\nb\""),
        replaced(workspace, "\"k2\"", "7"), replaced(workspace, "2.5", "-1"),
        replaced(workspace, "\"burst\":7", "\"burst\":\"7\"")};
    for (auto const& each : malformed) {
        try {
            static_cast<void>(platform::decode_manifest(
                replaced(manifest, "\"limits\"", "\"tenants\":[" + each + "],\"limits\"")));
            FAIL(each.c_str());
        } catch (malformed_message const& failure) {
            CHECK(std::string(failure.what()).find("k1") == std::string::npos);
        }
    }
}

TEST(document_codec, rejects_malformed_manifests) {
    std::array<std::string, 6> const malformed_manifests{
        "",
        "[]",
        manifest.substr(0, 200),
        replaced(manifest, "\"r12\"", "\"12\""),
        replaced(manifest, "\"timeout_s\":1.2", "\"timeout_s\":\"1\""),
        replaced(manifest, "\"weight\":90", "\"wight\":90")};
    for (auto const& document : malformed_manifests) {
        CHECK_THROWS(malformed_message, static_cast<void>(platform::decode_manifest(document)));
    }
}

TEST(document_codec, decodes_a_target_entry) {
    auto const target = platform::decode_target_entry("i-1", target_entry).target;
    STRCMP_EQUAL("10.0.0.9:80", to_string(target.address).c_str());
    LONGS_EQUAL(1500, target.warm_up_remaining_ms);
    CHECK_FALSE(target.leaving);
    CHECK(platform::decode_target_entry("i-1", replaced(target_entry, "\"ready\"", "\"draining\""))
              .target.leaving);
}

TEST(document_codec, rejects_malformed_target_entries) {
    // Entries of other writers in the table must not become targets.
    std::array<std::string, 8> const malformed_entries{
        "\xff\xfe",
        "{}",
        replaced(target_entry, "\"ready\"", "\"dancing\""),
        replaced(target_entry, "\"slots\":6", "\"slots\":\"6\""),
        replaced(target_entry, "\"slots\":6", "\"slots\":0"),
        replaced(target_entry, "10.0.0.9:80", "here"),
        replaced(target_entry, "1700000000000", "1.5"),
        replaced(target_entry, "\"seq\":4", "\"sec\":4")};
    for (auto const& document : malformed_entries) {
        CHECK_THROWS(malformed_message, static_cast<void>(platform::decode_target_entry("i-1", document)));
    }
}

TEST(document_codec, base64_round_trips_and_other_text_is_rejected) {
    std::string const bytes("\0\xff ok", 5);
    CHECK(platform::decode_base64(platform::encode_base64(bytes)) == bytes);
    CHECK_THROWS(malformed_message, static_cast<void>(platform::decode_base64("?")));
}

TEST(document_codec, parses_load_reports_with_and_without_slowdown) {
    platform::wire_format const wire_format;
    auto const report = wire_format.parse_load("3,1,8,500");
    LONGS_EQUAL(3, report->running);
    DOUBLES_EQUAL(5.0, report->slowdown, 0.001);
    DOUBLES_EQUAL(1.0, wire_format.parse_load("3,0,8")->slowdown, 0.001);
    CHECK_FALSE(wire_format.parse_load("").has_value());
    CHECK_FALSE(wire_format.parse_load("a,b,c").has_value());
}
